"""The module's actor: hands the decision module what came and carries out what it answers."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Any

import trio

from gorsefork.decisions import interface as i
from gorsefork.decisions.rules import DecisionEngine
from gorsefork.memory.call import (
    NEVER_RAN,
    Answer,
    AttemptResult,
    BackendAttempt,
    Call,
    DeniedAnswer,
    FailedAnswer,
    OverloadAnswer,
    ServedAnswer,
    StreamedAnswer,
)
from gorsefork.memory.clock import SECOND, Clock
from gorsefork.memory.mailbox import Mailbox
from gorsefork.memory.metrics import Metrics
from gorsefork.memory.ports import Backends, Counter, Discovery, Peers, PlanOverrides, UsageRecorder
from gorsefork.memory.registry import RegistryUpdate
from gorsefork.memory.timers import Timers

CORE_TIMER_PREFIX = "!"  # begins the tokens of the core's own timers
MICRO_UNITS_PER_UNIT = 1_000_000
MAX_EVENTS = 100_000  # far above what open calls, delegations and counter calls can owe at once


class MailboxFull(RuntimeError):
    """The module's actor has stopped keeping up: losing an event would lose an answer."""


class DecisionActor:
    """One turn: drain the mailbox, ``handle`` once, carry out the actions in order without waiting."""

    def __init__(self, settings: i.Settings, seed: int, clock: Clock, log: Callable[[str], None]) -> None:
        self.engine, self.clock, self.log, self.settings = (
            DecisionEngine(settings, seed),
            clock,
            log,
            settings,
        )
        self.mailbox: Mailbox[i.Event] = Mailbox(MAX_EVENTS)
        self.calls: dict[str, Call] = {}
        self.calls_by_trace: dict[str, Call] = {}  # the same by their clients' ids
        self.timers = Timers(self.calls)
        self.metrics = Metrics([cls.name for cls in settings.classes])
        self.backends: Backends
        self.counter: Counter
        self.peers: Peers
        self.discovery: Discovery
        self.plan_overrides: PlanOverrides | None = None  # the plan book, where there is one
        self.usage_recorder: UsageRecorder | None = None  # who records use, where that is switched on
        self.site_names: list[str] = []
        self.kind_names: list[str] = []
        self.action_handlers: Mapping[type, Callable[[Any], None]] = {
            i.StartAttempt: self.start_attempt,
            i.CancelAttempt: self.cancel_attempt,
            i.RejectRequest: self.reject_request,
            i.FailRequest: self.fail_request,
            i.SetTimer: self.set_timer,
            i.AddToCounter: self.add_to_counter,
            i.SendToPeer: self.send_to_peer,
            i.CloseIdleConnections: self.close_idle_connections,
            i.FetchBackendList: self.fetch_backend_list,
            i.WatchBackends: self.watch_backends,
            i.WriteLog: self.write_log,
        }

    # What the fronts and the wire say.

    def post(self, event: i.Event) -> None:
        if not self.mailbox.put(event):
            raise MailboxFull(type(event).__name__)

    def receive_peer_message(self, message: i.PeerMessage) -> None:
        """Messages may be lost: one that finds no place is."""
        self.mailbox.put(message)

    def accept_call(self, call: Call) -> None:
        """A call is this ingress's from here on: it gets one final answer. Guards against one with the id of
        another that is open: a backend could not tell the two apart."""
        call.metrics = self.metrics
        self.metrics.accepted[call.class_index] += 1
        if call.trace_id in self.calls_by_trace and not self.calls_by_trace[call.trace_id].finished:
            call.finish(DeniedAnswer(409))
            return
        self.calls_by_trace[call.trace_id] = call
        left = (call.deadline - self.clock.now) / SECOND
        self.calls[call.id] = call
        terms = (
            self.plan_overrides.plan_for(call.customer, call.plan_index, self.clock.unix_us())
            if self.plan_overrides
            else None
        )
        call.plan_name = terms.name if terms else ""
        self.post(
            i.Request(
                call.id,
                call.class_index,
                call.plan_index,
                call.customer,
                left,
                call.units,
                call.ingress_count,
                call.first_ingress,
                call.is_retry,
                self.settings.classes[call.class_index].effect != "repeatable",
                terms,
            )
        )

    def avoided_backends(self) -> int:
        """Servers in the list that get nothing just now, by hand, by discovery's word or by choice."""
        now, fleet = self.clock.unix(self.clock.now), self.engine.selector
        return sum(s.entry.state != "gone" and fleet.is_suspect(s, now) for s in fleet.backends.values())

    def client_gone(self, call: Call) -> None:
        if call.abandon():
            self.post(i.ClientGone(call.id))

    def attempt_ended(self, delegation: BackendAttempt, ending: AttemptResult) -> None:
        """A good answer goes to the client by itself, at once."""
        call = delegation.call
        delegation.ended, delegation.may_have_run = True, ending.status not in NEVER_RAN
        if ending.status == "ok" and self.usage_recorder is None:
            call.finish(ServedAnswer(ending.body, ending.content_type))
        elif ending.status == "ok":
            self.record_usage(self.usage_recorder, call, ending)
        latency = max(0, self.clock.now - delegation.sent_at) / SECOND
        self.post(
            i.AttemptEnded(
                call.id,
                delegation.number,
                delegation.backend,
                ending.status,
                latency,
                call.finished or call.answer_accepted,
                settled_units=ending.settled_units,
            )
        )

    async def begin_streamed_answer(
        self, delegation: BackendAttempt, answer: StreamedAnswer, billed: float
    ) -> bool:
        """A good answer begins that is too large to hold: whether it is this one that the client gets.

        For the module it has ended well: what is left is to pass on bytes. Nothing of it may be sent again.
        """
        call = delegation.call
        if call.finished or call.answer_accepted:
            return False
        if self.usage_recorder is not None:
            call.answer_accepted, recorded, kept = True, trio.Event(), list[bool]()

            def then(good: bool) -> None:
                kept.append(good)
                recorded.set()

            self.timers.set(max(self.clock.now, call.deadline), CORE_TIMER_PREFIX + call.id, call.id)
            self.usage_recorder.record(call, round((billed or call.units) * MICRO_UNITS_PER_UNIT), then)
            await recorded.wait()
            if not kept[0]:
                call.finish(FailedAnswer())
        first = call.finish(answer)
        delegation.ended = delegation.may_have_run = True
        self.post(
            i.AttemptEnded(
                call.id,
                delegation.number,
                delegation.backend,
                "ok" if first else "error",
                max(0, self.clock.now - delegation.sent_at) / SECOND,
                True,
                settled_units=billed,
            )
        )
        return first

    def record_usage(self, uses: UsageRecorder | None, call: Call, ending: AttemptResult) -> None:
        """The first good answer's units are recorded before the answer's first byte leaves, whoever still
        waits for it; not kept, or not in time, the client hears that it failed."""
        if call.answer_accepted or uses is None:
            return
        call.answer_accepted = True
        micro = round((ending.settled_units or call.units) * MICRO_UNITS_PER_UNIT)

        def then(kept: bool) -> None:
            call.finish(ServedAnswer(ending.body, ending.content_type) if kept else FailedAnswer())
            self.drop_if_finished(call)

        self.timers.set(max(self.clock.now, call.deadline), CORE_TIMER_PREFIX + call.id, call.id)
        uses.record(call, micro, then)

    def terms_changed(self, customers: Iterable[str]) -> None:
        """The terms of these customers may be others now: the module hears so for those it may know."""
        now = self.clock.unix_us()
        waiting = {call.customer: call for call in self.calls.values() if not call.finished}
        for customer in customers:
            call = waiting.get(customer)
            terms = (
                self.plan_overrides.plan_for(customer, call.plan_index, now)
                if self.plan_overrides and call
                else None
            )
            self.post(i.PlanOverride(customer, terms))

    def backends_updated(self, news: RegistryUpdate) -> None:
        entries = [
            i.BackendEntry(
                h.name,
                h.state,
                max(1e-6, self.clock.unix(h.started_at)) if h.started_at else 0.0,
                index_of(self.kind_names, h.kind),
                index_of(self.site_names, h.site),
                h.block,
                h.weight,
            )
            for h in news.backends
        ]
        self.post(i.BackendList(news.kind, entries, news.version))

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
                    await self.read_pending_input()
                    self.run_turn()
            await self.read_pending_input()
            self.run_turn()

    async def read_pending_input(self) -> None:
        """Guards against timers that a hold has made due ahead of what came meanwhile: a call would be
        refused, or sent a second time, with its answer there to be read."""
        if self.clock.was_stalled():
            await trio.lowlevel.checkpoint()

    def run_turn(self) -> None:
        now = self.clock.now
        events: list[i.Event] = self.mailbox.drain()
        for token in self.timers.due(now):
            if token.startswith(CORE_TIMER_PREFIX):
                self.fail_unrecorded_call(token.removeprefix(CORE_TIMER_PREFIX))
            else:
                events.append(i.TimerExpired(token))
        if not events:
            return
        actions = self.engine.handle(self.clock.unix(now), events)
        for action in actions:
            self.action_handlers[type(action)](action)
        self.drop_finished_calls(events, actions)

    def drop_finished_calls(self, events: Sequence[i.Event], actions: Sequence[i.Action]) -> None:
        """Drop the calls that this turn has brought to their end on both sides."""
        for item in (*events, *actions):
            if isinstance(item, i.AttemptEnded | i.ClientGone | i.RejectRequest | i.FailRequest):
                call = self.calls.get(item.id)
                if call is not None:
                    self.drop_if_finished(call)

    def drop_if_finished(self, call: Call) -> None:
        """Forget a call that is over on both sides."""
        if (
            call.finished
            and not call.open_attempts()
            and self.calls.pop(call.id, None) is not None
            and self.calls_by_trace.get(call.trace_id) is call
        ):
            del self.calls_by_trace[call.trace_id]

    def fail_unrecorded_call(self, name: str) -> None:
        """Its use was not recorded in the call's time: nothing can be promised."""
        if (call := self.calls.get(name)) is not None:
            call.finish(FailedAnswer())
            self.drop_if_finished(call)

    # What the module asks for.

    def start_attempt(self, action: i.StartAttempt) -> None:
        call, now = self.calls[action.id], self.clock.now
        ends = min(call.deadline, now + round(action.timeout * SECOND)) if action.timeout else call.deadline
        number, begin_by = len(call.attempts), self.clock.from_unix_s(action.start_before)
        delegation = BackendAttempt(call, number, action.backend, now, ends, begin_by)
        call.attempts.append(delegation)
        # nobody has its body a second time
        gone = call.body_stream is not None and call.body_stream.reading_begun
        if call.finished or gone:  # it ended in the batch that the module answers here
            self.attempt_ended(delegation, AttemptResult("moot"))
        else:
            self.backends.start_attempt(delegation)

    def cancel_attempt(self, action: i.CancelAttempt) -> None:
        call = self.calls.get(action.id)
        if call is not None and not call.attempts[action.attempt].ended:
            call.attempts[action.attempt].cancel()

    def reject_request(self, action: i.RejectRequest) -> None:
        self.answer(action.id, OverloadAnswer(action.retry_after))

    def fail_request(self, action: i.FailRequest) -> None:
        self.answer(action.id, FailedAnswer())

    def answer(self, name: str, answer: Answer) -> None:
        """The module's word on a call. Guards against one that crossed a good answer, whose use is being
        recorded: the client is owed that answer, and the call may even be forgotten by now."""
        call = self.calls.get(name)
        if call is not None and not call.answer_accepted:
            call.finish(answer)

    def set_timer(self, action: i.SetTimer) -> None:
        self.timers.set(self.clock.now + max(0, round(action.delay * SECOND)), action.token, action.request)

    def add_to_counter(self, action: i.AddToCounter) -> None:
        self.counter.add(action.name, action.amount, round(action.ttl * SECOND))

    def send_to_peer(self, action: i.SendToPeer) -> None:
        self.peers.send(action.peer, action.data)

    def close_idle_connections(self, action: i.CloseIdleConnections) -> None:
        self.backends.close_idle(action.backend)

    def fetch_backend_list(self, action: i.FetchBackendList) -> None:
        self.discovery.fetch()

    def watch_backends(self, action: i.WatchBackends) -> None:
        """Nothing to do: discovery's client keeps its watch up by itself."""

    def write_log(self, action: i.WriteLog) -> None:
        self.log(action.text)


def index_of(names: list[str], name: str) -> int:
    """The place of a site or kind in the settings; one that the settings lack gets a place of its own."""
    if name not in names:
        names.append(name)
    return names.index(name)
