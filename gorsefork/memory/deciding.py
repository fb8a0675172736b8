"""The module's actor: hands the decision module what came and carries out what it answers."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Any

import trio

from gorsefork.decisions import interface as i
from gorsefork.decisions.rules import Gatekeeper
from gorsefork.memory.call import (
    NEVER_RAN,
    Answer,
    Call,
    Delegation,
    Denied,
    Ending,
    Failed,
    Long,
    Overload,
    Served,
)
from gorsefork.memory.clock import SECOND, Clock
from gorsefork.memory.figures import Figures
from gorsefork.memory.mailbox import Mailbox
from gorsefork.memory.ports import Backends, Counter, Discovery, Peers, Terms, Uses
from gorsefork.memory.registry import News
from gorsefork.memory.timers import Timers

LATE = "!"  # begins the tokens of the core's own timers
MILLION = 1_000_000
MOST_MESSAGES = 100_000  # far above what open calls, delegations and counter calls can owe at once


class MailboxFull(RuntimeError):
    """The module's actor has stopped keeping up: losing an event would lose an answer."""


class Decider:
    """One turn: drain the mailbox, ``handle`` once, carry out the actions in order without waiting."""

    def __init__(self, settings: i.Settings, seed: int, clock: Clock, log: Callable[[str], None]) -> None:
        self.gate, self.clock, self.log, self.settings = Gatekeeper(settings, seed), clock, log, settings
        self.mailbox: Mailbox[i.Event] = Mailbox(MOST_MESSAGES)
        self.calls: dict[str, Call] = {}
        self.traces: dict[str, Call] = {}  # the same by their clients' ids
        self.timers = Timers(self.calls)
        self.figures = Figures([cls.name for cls in settings.classes])
        self.backends: Backends
        self.counter: Counter
        self.peers: Peers
        self.discovery: Discovery
        self.terms: Terms | None = None  # the plan book, where there is one
        self.uses: Uses | None = None  # who records use, where that is switched on
        self.sites: list[str] = []
        self.kinds: list[str] = []
        self.doers: Mapping[type, Callable[[Any], None]] = {
            i.Send: self.send,
            i.Cancel: self.cancel,
            i.Refuse: self.refuse,
            i.Fail: self.fail,
            i.SetTimer: self.set_timer,
            i.Count: self.count,
            i.Tell: self.tell,
            i.CloseIdle: self.close_idle,
            i.FetchList: self.fetch,
            i.Watch: self.watch,
            i.Log: self.write_log,
        }

    # What the fronts and the wire say.

    def post(self, event: i.Event) -> None:
        if not self.mailbox.put(event):
            raise MailboxFull(type(event).__name__)

    def hear(self, message: i.PeerMessage) -> None:
        """Messages may be lost: one that finds no place is."""
        self.mailbox.put(message)

    def take(self, call: Call) -> None:
        """A call is this ingress's from here on: it gets one final answer. Guards against one with the id of
        another that is open: a backend could not tell the two apart."""
        call.figures = self.figures
        self.figures.taken[call.cls] += 1
        if call.trace in self.traces and not self.traces[call.trace].over:
            call.finish(Denied(409))
            return
        self.traces[call.trace] = call
        left = (call.ends_at - self.clock.now) / SECOND
        self.calls[call.id] = call
        terms = self.terms.terms(call.customer, call.plan, self.clock.unix_us()) if self.terms else None
        call.contract = terms.name if terms else ""
        self.post(
            i.Request(
                call.id,
                call.cls,
                call.plan,
                call.customer,
                left,
                call.units,
                call.spread,
                call.first,
                call.retry,
                self.settings.classes[call.cls].effect != "repeatable",
                terms,
            )
        )

    def avoided(self) -> int:
        """Servers in the list that get nothing just now, by hand, by discovery's word or by choice."""
        now, fleet = self.clock.unix(self.clock.now), self.gate.fleet
        return sum(s.entry.state != "gone" and fleet.suspect(s, now) for s in fleet.servers.values())

    def gone(self, call: Call) -> None:
        if call.abandon():
            self.post(i.Gone(call.id))

    def ended(self, delegation: Delegation, ending: Ending) -> None:
        """A good answer goes to the client by itself, at once."""
        call = delegation.call
        delegation.ended, delegation.may_have_run = True, ending.status not in NEVER_RAN
        if ending.status == "ok" and self.uses is None:
            call.finish(Served(ending.body, ending.media))
        elif ending.status == "ok":
            self.settle(self.uses, call, ending)
        latency = max(0, self.clock.now - delegation.sent_at) / SECOND
        self.post(
            i.Outcome(
                call.id,
                delegation.number,
                delegation.host,
                ending.status,
                latency,
                call.over or call.settled,
                billed=ending.billed,
            )
        )

    async def opened(self, delegation: Delegation, answer: Long, billed: float) -> bool:
        """A good answer begins that is too large to hold: whether it is this one that the client gets.

        For the module it has ended well: what is left is to pass on bytes. Nothing of it may be sent again.
        """
        call = delegation.call
        if call.over or call.settled:
            return False
        if self.uses is not None:
            call.settled, recorded, kept = True, trio.Event(), list[bool]()

            def then(good: bool) -> None:
                kept.append(good)
                recorded.set()

            self.timers.set(max(self.clock.now, call.ends_at), LATE + call.id, call.id)
            self.uses.record(call, round((billed or call.units) * MILLION), then)
            await recorded.wait()
            if not kept[0]:
                call.finish(Failed())
        first = call.finish(answer)
        delegation.ended = delegation.may_have_run = True
        self.post(
            i.Outcome(
                call.id,
                delegation.number,
                delegation.host,
                "ok" if first else "error",
                max(0, self.clock.now - delegation.sent_at) / SECOND,
                True,
                billed=billed,
            )
        )
        return first

    def settle(self, uses: Uses | None, call: Call, ending: Ending) -> None:
        """The first good answer's units are recorded before the answer's first byte leaves, whoever still
        waits for it; not kept, or not in time, the client hears that it failed."""
        if call.settled or uses is None:
            return
        call.settled = True
        micro = round((ending.billed or call.units) * MILLION)

        def then(kept: bool) -> None:
            call.finish(Served(ending.body, ending.media) if kept else Failed())
            self.drop(call)

        self.timers.set(max(self.clock.now, call.ends_at), LATE + call.id, call.id)
        uses.record(call, micro, then)

    def terms_changed(self, customers: Iterable[str]) -> None:
        """The terms of these customers may be others now: the module hears so for those it may know."""
        now = self.clock.unix_us()
        waiting = {call.customer: call for call in self.calls.values() if not call.over}
        for customer in customers:
            call = waiting.get(customer)
            terms = self.terms.terms(customer, call.plan, now) if self.terms and call else None
            self.post(i.Terms(customer, terms))

    def listed(self, news: News) -> None:
        entries = [
            i.ServerEntry(
                h.name,
                h.state,
                max(1e-6, self.clock.unix(h.started)) if h.started else 0.0,
                place(self.kinds, h.kind),
                place(self.sites, h.site),
                h.block,
                h.share,
            )
            for h in news.hosts
        ]
        self.post(i.ServerList(news.kind, entries, news.version))

    # The turn.

    async def run(self) -> None:
        while True:
            with trio.CancelScope() as scope:  # serves turn after turn, until a timer ends it
                armed = None
                while True:
                    if (due := self.timers.next_due()) != armed:
                        armed = due
                        scope.deadline = math.inf if due is None else self.clock.trio_deadline(due)
                    await self.mailbox.wait(math.inf)
                    await self.read_first()
                    self.turn()
            await self.read_first()
            self.turn()

    async def read_first(self) -> None:
        """Guards against timers that a hold has made due ahead of what came meanwhile: a call would be
        refused, or sent a second time, with its answer there to be read."""
        if self.clock.late():
            await trio.lowlevel.checkpoint()

    def turn(self) -> None:
        now = self.clock.now
        events: list[i.Event] = self.mailbox.drain()
        for token in self.timers.due(now):
            if token.startswith(LATE):
                self.late(token.removeprefix(LATE))
            else:
                events.append(i.Timer(token))
        if not events:
            return
        actions = self.gate.handle(self.clock.unix(now), events)
        for action in actions:
            self.doers[type(action)](action)
        self.forget(events, actions)

    def forget(self, events: Sequence[i.Event], actions: Sequence[i.Action]) -> None:
        """Drop the calls that this turn has brought to their end on both sides."""
        for item in (*events, *actions):
            if isinstance(item, i.Outcome | i.Gone | i.Refuse | i.Fail):
                call = self.calls.get(item.id)
                if call is not None:
                    self.drop(call)

    def drop(self, call: Call) -> None:
        """Forget a call that is over on both sides."""
        if (
            call.over
            and not call.open_delegations()
            and self.calls.pop(call.id, None) is not None
            and self.traces.get(call.trace) is call
        ):
            del self.traces[call.trace]

    def late(self, name: str) -> None:
        """Its use was not recorded in the call's time: nothing can be promised."""
        if (call := self.calls.get(name)) is not None:
            call.finish(Failed())
            self.drop(call)

    # What the module asks for.

    def send(self, action: i.Send) -> None:
        call, now = self.calls[action.id], self.clock.now
        ends = min(call.ends_at, now + round(action.timeout * SECOND)) if action.timeout else call.ends_at
        number, begin_by = len(call.delegations), self.clock.at(action.by)
        delegation = Delegation(call, number, action.server, now, ends, begin_by)
        call.delegations.append(delegation)
        gone = call.flow is not None and call.flow.taken  # nobody has its body a second time
        if call.over or gone:  # it ended in the batch that the module answers here
            self.ended(delegation, Ending("moot"))
        else:
            self.backends.delegate(delegation)

    def cancel(self, action: i.Cancel) -> None:
        call = self.calls.get(action.id)
        if call is not None and not call.delegations[action.attempt].ended:
            call.delegations[action.attempt].call_off()

    def refuse(self, action: i.Refuse) -> None:
        self.answer(action.id, Overload(action.retry_after))

    def fail(self, action: i.Fail) -> None:
        self.answer(action.id, Failed())

    def answer(self, name: str, answer: Answer) -> None:
        """The module's word on a call. Guards against one that crossed a good answer, whose use is being
        recorded: the client is owed that answer, and the call may even be forgotten by now."""
        call = self.calls.get(name)
        if call is not None and not call.settled:
            call.finish(answer)

    def set_timer(self, action: i.SetTimer) -> None:
        self.timers.set(self.clock.now + max(0, round(action.delay * SECOND)), action.token, action.request)

    def count(self, action: i.Count) -> None:
        self.counter.add(action.name, action.amount, round(action.ttl * SECOND))

    def tell(self, action: i.Tell) -> None:
        self.peers.tell(action.peer, action.data)

    def close_idle(self, action: i.CloseIdle) -> None:
        self.backends.close_idle(action.server)

    def fetch(self, action: i.FetchList) -> None:
        self.discovery.fetch()

    def watch(self, action: i.Watch) -> None:
        """Nothing to do: discovery's client keeps its watch up by itself."""

    def write_log(self, action: i.Log) -> None:
        self.log(action.text)


def place(names: list[str], name: str) -> int:
    """The place of a site or kind in the settings; one that the settings lack gets a place of its own."""
    if name not in names:
        names.append(name)
    return names.index(name)
