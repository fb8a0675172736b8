"""The module's actor: hands the decision module what came and carries out what it answers."""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping, Sequence
from typing import Any

import trio

from gorsefork.decisions import interface as i
from gorsefork.decisions.rules import Gatekeeper
from gorsefork.memory.call import Call, Denied, Failed, Overload, Served
from gorsefork.memory.clock import SECOND, Clock
from gorsefork.memory.delegation import NEVER_RAN, Delegation, Ending
from gorsefork.memory.mailbox import Mailbox
from gorsefork.memory.ports import Boxes, Counter, Discovery, Peers
from gorsefork.memory.registry import News
from gorsefork.memory.timers import Timers

MOST_LETTERS = 100_000  # far above what open calls, delegations and counter calls can owe at once


class MailboxFull(RuntimeError):
    """The module's actor has stopped keeping up: losing an event would lose an answer."""


class Decider:
    """One turn: drain the mailbox, ``handle`` once, carry out the actions in order without waiting."""

    def __init__(self, settings: i.Settings, seed: int, clock: Clock, log: Callable[[str], None]) -> None:
        self.gate, self.clock, self.log, self.settings = Gatekeeper(settings, seed), clock, log, settings
        self.mailbox: Mailbox[i.Event] = Mailbox(MOST_LETTERS)
        self.calls: dict[str, Call] = {}
        self.traces: dict[str, Call] = {}  # the same by their clients' ids
        self.timers = Timers(self.calls)
        self.boxes: Boxes
        self.counter: Counter
        self.peers: Peers
        self.discovery: Discovery
        self.sites: list[str] = []
        self.kinds: list[str] = []
        self.doers: Mapping[type, Callable[[Any], None]] = {
            i.Send: self.send, i.Cancel: self.cancel, i.Refuse: self.refuse, i.Fail: self.fail,
            i.SetTimer: self.set_timer, i.Count: self.count, i.Tell: self.tell, i.CloseIdle: self.close_idle,
            i.FetchList: self.fetch, i.Watch: self.fetch, i.Log: self.write_log}

    # What the fronts and the wire say.

    def post(self, event: i.Event) -> None:
        if not self.mailbox.put(event):
            raise MailboxFull(type(event).__name__)

    def hear(self, message: i.PeerMessage) -> None:
        """Messages may be lost: one that finds no place is."""
        self.mailbox.put(message)

    def take(self, call: Call) -> None:
        """A call is this ingress's from here on: it gets one final answer. Guards against one with the id of
        another that is open: a tour box could not tell the two apart."""
        if call.trace in self.traces and not self.traces[call.trace].over:
            call.finish(Denied(409))
            return
        self.traces[call.trace] = call
        left = (call.ends_at - self.clock.now) / SECOND
        self.calls[call.id] = call
        self.post(i.Request(call.id, call.cls, call.plan, call.customer, left, call.units, call.spread,
                            call.first, call.retry, self.settings.classes[call.cls].effect != "repeatable"))

    def gone(self, call: Call) -> None:
        if call.abandon():
            self.post(i.Gone(call.id))

    def ended(self, delegation: Delegation, ending: Ending) -> None:
        """A good answer goes to the client by itself, at once."""
        call = delegation.call
        delegation.ended, delegation.may_have_run = True, ending.status not in NEVER_RAN
        if ending.status == "ok":
            call.finish(Served(ending.body, ending.media))
        latency = max(0, self.clock.now - delegation.sent_at) / SECOND
        self.post(i.Outcome(call.id, delegation.number, delegation.host, ending.status, latency,
                            call.over, billed=ending.billed))

    def listed(self, news: News) -> None:
        entries = [
            i.ServerEntry(h.name, h.state, max(1e-6, self.clock.unix(h.started)) if h.started else 0.0,
                          place(self.kinds, h.kind), place(self.sites, h.site), h.block, h.share)
            for h in news.hosts]
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
                    self.turn()
            self.turn()

    def turn(self) -> None:
        now = self.clock.now
        events: list[i.Event] = self.mailbox.drain()
        events += [i.Timer(token) for token in self.timers.due(now)]
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
                if call is not None and call.over and not call.open_delegations():
                    del self.calls[item.id]
                    if self.traces.get(call.trace) is call:
                        del self.traces[call.trace]

    # What the module asks for.

    def send(self, action: i.Send) -> None:
        call, now = self.calls[action.id], self.clock.now
        ends = min(call.ends_at, now + round(action.timeout * SECOND)) if action.timeout else call.ends_at
        delegation = Delegation(call, len(call.delegations), action.server, now, ends)
        call.delegations.append(delegation)
        if call.over:  # it ended in the batch that the module answers here
            self.ended(delegation, Ending("moot"))
        else:
            self.boxes.delegate(delegation)

    def cancel(self, action: i.Cancel) -> None:
        call = self.calls.get(action.id)
        if call is not None and not call.delegations[action.attempt].ended:
            call.delegations[action.attempt].call_off()

    def refuse(self, action: i.Refuse) -> None:
        self.calls[action.id].finish(Overload(action.retry_after))

    def fail(self, action: i.Fail) -> None:
        self.calls[action.id].finish(Failed())

    def set_timer(self, action: i.SetTimer) -> None:
        self.timers.set(self.clock.now + max(0, round(action.delay * SECOND)), action.token,
                        action.request)

    def count(self, action: i.Count) -> None:
        self.counter.add(action.name, action.amount, round(action.ttl * SECOND))

    def tell(self, action: i.Tell) -> None:
        self.peers.tell(action.peer, action.data)

    def close_idle(self, action: i.CloseIdle) -> None:
        self.boxes.close_idle(action.server)

    def fetch(self, action: i.FetchList | i.Watch) -> None:
        self.discovery.fetch()

    def write_log(self, action: i.Log) -> None:
        self.log(action.text)


def place(names: list[str], name: str) -> int:
    """The place of a site or kind in the settings; one that the settings lack gets a place of its own."""
    if name not in names:
        names.append(name)
    return names.index(name)
