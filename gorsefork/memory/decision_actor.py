"""The decision actor: passes events to the decision engine and carries out the actions that it returns."""

from __future__ import annotations

import math
import re
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
from gorsefork.memory.recent_ids import RecentIds
from gorsefork.memory.registry import RegistryUpdate
from gorsefork.memory.timers import Timers

CORE_TIMER_PREFIX = "!"  # of the tokens of the core's own timers
MICRO_UNITS_PER_UNIT = 1_000_000
UNSAFE_IN_NAMES = re.compile(r"[^A-Za-z0-9_:-]")  # of a backend's id, in a metric's name
MAX_EVENTS = 100_000  # far more than open calls, attempts and counter calls can produce at once


class MailboxFull(RuntimeError):
    """The decision actor no longer keeps up. Dropping the event would lose a client's answer."""


class DecisionActor:
    """Runs the decision engine in turns.

    Each turn drains the mailbox, calls ``handle`` once and carries out the actions in order without waiting.
    """

    def __init__(self, settings: i.Settings, seed: int, clock: Clock, log: Callable[[str], None]) -> None:
        self.engine = DecisionEngine(settings, seed)
        self.clock = clock
        self.log = log
        self.settings = settings
        self.mailbox: Mailbox[i.Event] = Mailbox(MAX_EVENTS)
        self.calls: dict[str, Call] = {}
        self.calls_by_trace: dict[str, Call] = {}  # by the clients' trace ids
        self.spent_ids = RecentIds()
        self.timers = Timers(self.calls)
        self.metrics = Metrics([cls.name for cls in settings.classes])
        self.backends: Backends
        self.counter: Counter
        self.peers: Peers
        self.discovery: Discovery
        self.plan_overrides: PlanOverrides | None = None  # the plan book, if there is one
        self.usage_recorder: UsageRecorder | None = None  # set if usage recording is enabled
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

    # Input from the fronts and the wire.

    def post(self, event: i.Event) -> None:
        if not self.mailbox.put(event):
            raise MailboxFull(type(event).__name__)

    def receive_peer_message(self, message: i.PeerMessage) -> None:
        """Post a peer message, or drop it if the mailbox is full: peer messages may be lost."""
        self.mailbox.put(message)

    def accept_call(self, call: Call) -> None:
        """Take responsibility for a call, which from here on gets exactly one final answer.

        A call with the trace id of another open call is refused, since a backend could not tell the two
        apart; so is one whose id may have run, in a class that is unsafe to repeat.
        """
        call.metrics = self.metrics
        self.metrics.accepted[call.class_index] += 1
        if self.is_repeated_id(call):
            call.finish(DeniedAnswer(409))
            return
        self.calls_by_trace[call.trace_id] = call
        cls = self.settings.classes[call.class_index]
        call.bound_to_place = cls.effect == "by_key" and cls.scope != "all"
        time_left = (call.deadline - self.clock.now) / SECOND
        self.calls[call.id] = call
        plan_override = (
            self.plan_overrides.plan_for(call.customer, call.plan_index, self.clock.unix_us())
            if self.plan_overrides
            else None
        )
        call.plan_name = plan_override.name if plan_override else ""
        self.post(
            i.Request(
                call.id,
                call.class_index,
                call.plan_index,
                call.customer,
                time_left,
                call.units,
                call.ingress_count,
                call.first_ingress,
                call.is_retry,
                self.settings.classes[call.class_index].effect != "repeatable",
                plan_override,
            )
        )

    def is_repeated_id(self, call: Call) -> bool:
        """Return whether the id of a call is in use, or may not be used again.

        Guards against a client that leaves and comes again with the same request: the first one may run yet.
        """
        earlier = self.calls_by_trace.get(call.trace_id)
        if earlier is not None and not earlier.finished:
            return True
        if not self.is_unsafe(call):
            return False
        if earlier is not None and (earlier.open_attempts() or earlier.may_have_run()):
            return True
        return self.spent_ids.holds(call.trace_id, self.clock.now)

    def is_unsafe(self, call: Call) -> bool:
        """Return whether the call's class is unsafe to repeat."""
        return self.settings.classes[call.class_index].effect != "repeatable"

    def ids_not_to_repeat(self) -> list[str]:
        """Return the ids of unsafe requests that may have run or may yet run, oldest first."""
        open_ids = [call.trace_id for call in self.calls.values() if self.is_unsafe(call)]
        return [*self.spent_ids.expiry, *open_ids]

    def avoided_backends(self) -> int:
        """Count the listed backends that currently receive no attempts.

        An operator, discovery or the decision engine itself may have taken them out.
        """
        now, selector = self.clock.unix(self.clock.now), self.engine.selector
        return sum(
            backend.entry.state != "gone" and selector.is_suspect(backend, now)
            for backend in selector.backends.values()
        )

    def slow_start_lines(self) -> list[str]:
        """Return the operators' figures of the backends in slow start, one a line."""
        now = self.clock.unix(self.clock.now)
        lines = []
        for each in self.engine.selector.slow_start_figures(now):
            prefix = f"slow_start.{UNSAFE_IN_NAMES.sub('_', each.backend)}"
            lines += [
                f"{prefix}.age_s={each.age_s:.3f}",
                f"{prefix}.capacity_per_s={each.capacity_per_s:.3f}",
                f"{prefix}.tokens={each.tokens:.3f}",
                f"{prefix}.senders={each.senders:.1f}",
                f"{prefix}.sends={each.sends}",
            ]
        return lines

    def client_gone(self, call: Call) -> None:
        if call.abandon():
            self.post(i.ClientGone(call.id))

    def attempt_ended(self, attempt: BackendAttempt, result: AttemptResult) -> None:
        """Report an attempt's result to the decision engine.

        A good answer goes to the client at once, without waiting for the engine's turn.
        """
        call = attempt.call
        attempt.ended, attempt.may_have_run = True, result.status not in NEVER_RAN
        if result.status == "ok" and self.usage_recorder is None:
            call.finish(ServedAnswer(result.body, result.content_type))
        elif result.status == "ok":
            self.record_usage(self.usage_recorder, call, result)
        latency = max(0, self.clock.now - attempt.sent_at) / SECOND
        self.post(
            i.AttemptEnded(
                call.id,
                attempt.number,
                attempt.backend,
                result.status,
                latency,
                call.finished or call.answer_accepted,
                settled_units=result.settled_units,
            )
        )

    async def begin_streamed_answer(
        self, attempt: BackendAttempt, answer: StreamedAnswer, billed: float
    ) -> bool:
        """Begin a good answer that is too large to buffer; return whether the client gets this answer.

        To the decision engine the attempt has then succeeded, since only bytes remain to be forwarded. From
        here on the call may not be sent again. An attempt that was cancelled in the turn in which its answer
        arrived begins none: it could not finish it.
        """
        await trio.lowlevel.checkpoint_if_cancelled()
        call = attempt.call
        if call.finished or call.answer_accepted:
            return False
        if self.usage_recorder is not None:
            call.answer_accepted, recorded, outcomes = True, trio.Event(), list[bool]()

            def on_recorded(stored: bool) -> None:
                outcomes.append(stored)
                recorded.set()

            self.timers.set(max(self.clock.now, call.deadline), CORE_TIMER_PREFIX + call.id, call.id)
            self.usage_recorder.record(
                call, round((billed or call.units) * MICRO_UNITS_PER_UNIT), on_recorded
            )
            await recorded.wait()
            await trio.lowlevel.checkpoint_if_cancelled()
            if not outcomes[0]:
                call.finish(FailedAnswer())
        is_first = call.finish(answer)
        attempt.ended = attempt.may_have_run = True
        self.post(
            i.AttemptEnded(
                call.id,
                attempt.number,
                attempt.backend,
                "ok" if is_first else "error",
                max(0, self.clock.now - attempt.sent_at) / SECOND,
                True,
                settled_units=billed,
            )
        )
        return is_first

    def record_usage(self, recorder: UsageRecorder | None, call: Call, result: AttemptResult) -> None:
        """Record the units of the first good answer before the first byte of that answer is sent.

        They are recorded even if the client no longer waits. If the record is not stored, or not in time, the
        client gets a failure.
        """
        if call.answer_accepted or recorder is None:
            return
        call.answer_accepted = True
        micro_units = round((result.settled_units or call.units) * MICRO_UNITS_PER_UNIT)

        def on_recorded(stored: bool) -> None:
            call.finish(ServedAnswer(result.body, result.content_type) if stored else FailedAnswer())
            self.drop_if_finished(call)

        self.timers.set(max(self.clock.now, call.deadline), CORE_TIMER_PREFIX + call.id, call.id)
        recorder.record(call, micro_units, on_recorded)

    def terms_changed(self, customers: Iterable[str]) -> None:
        """Notify the decision engine that the plans of these customers may have changed.

        The engine ignores customers that it has no account of.
        """
        now = self.clock.unix_us()
        waiting = {call.customer: call for call in self.calls.values() if not call.finished}
        for customer in customers:
            call = waiting.get(customer)
            plan_override = (
                self.plan_overrides.plan_for(customer, call.plan_index, now)
                if self.plan_overrides and call
                else None
            )
            self.post(i.PlanOverride(customer, plan_override))

    def backends_updated(self, update: RegistryUpdate) -> None:
        entries = [
            i.BackendEntry(
                backend.name,
                backend.state,
                max(1e-6, self.clock.unix(backend.started_at)) if backend.started_at else 0.0,
                index_of(self.kind_names, backend.kind),
                index_of(self.site_names, backend.site),
                backend.block,
                backend.weight,
            )
            for backend in update.backends
        ]
        self.post(i.BackendList(update.kind, entries, update.version))

    # Turns of the engine.

    async def run(self) -> None:
        while True:
            with trio.CancelScope() as scope:  # runs turns until a timer expires
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
        """Read the input that arrived during a stall of this process before timers are handled.

        Otherwise timers that came due during the stall would expire first, and a call would be refused or
        sent a second time although its answer is waiting to be read.
        """
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

    def limit_names(self, accounts: int, ids: int) -> None:
        """Bound what names from outside leave behind: quota accounts, and ids that may not run again."""
        self.engine.quota.accounts.max_accounts = accounts
        self.spent_ids.max_ids = ids

    def drop_finished_calls(self, events: Sequence[i.Event], actions: Sequence[i.Action]) -> None:
        """Drop the calls that this turn has ended both for the client and at the backends."""
        for item in (*events, *actions):
            if isinstance(item, i.AttemptEnded | i.ClientGone | i.RejectRequest | i.FailRequest):
                call = self.calls.get(item.id)
                if call is not None:
                    self.drop_if_finished(call)

    def drop_if_finished(self, call: Call) -> None:
        """Drop a call that is answered and has no open attempt."""
        if not call.finished or call.open_attempts() or self.calls.pop(call.id, None) is None:
            return
        if self.calls_by_trace.get(call.trace_id) is call:
            del self.calls_by_trace[call.trace_id]
        if self.is_unsafe(call) and call.may_have_run():
            self.spent_ids.add(call.trace_id, self.clock.now)
        call.release()

    def fail_unrecorded_call(self, name: str) -> None:
        """Fail a call whose usage was not recorded before its deadline: whether it took effect is unknown."""
        if (call := self.calls.get(name)) is not None:
            call.finish(FailedAnswer())
            self.drop_if_finished(call)

    # Actions of the decision engine.

    def start_attempt(self, action: i.StartAttempt) -> None:
        call, now = self.calls[action.id], self.clock.now
        deadline = (
            min(call.deadline, now + round(action.timeout * SECOND)) if action.timeout else call.deadline
        )
        number, start_before = len(call.attempts), self.clock.from_unix_s(action.start_before)
        attempt = BackendAttempt(call, number, action.backend, now, deadline, start_before)
        call.attempts.append(attempt)
        # A forwarded body is not buffered, so it cannot be sent a second time.
        body_consumed = call.body_stream is not None and call.body_stream.reading_begun
        if call.finished or body_consumed:  # the call ended in the same batch of events
            self.attempt_ended(attempt, AttemptResult("moot"))
        else:
            self.backends.start_attempt(attempt)

    def cancel_attempt(self, action: i.CancelAttempt) -> None:
        call = self.calls.get(action.id)
        if call is not None and not call.attempts[action.attempt].ended:
            call.attempts[action.attempt].cancel()

    def reject_request(self, action: i.RejectRequest) -> None:
        self.answer(action.id, OverloadAnswer(action.retry_after))

    def fail_request(self, action: i.FailRequest) -> None:
        self.answer(action.id, FailedAnswer())

    def answer(self, name: str, answer: Answer) -> None:
        """Answer a call as the decision engine asks, unless a good answer has arrived meanwhile.

        While the usage of that good answer is recorded, the client must still get it. The call may also have
        been dropped already.
        """
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
        """Do nothing: the discovery client maintains its watch by itself."""

    def write_log(self, action: i.WriteLog) -> None:
        self.log(action.text)


def index_of(names: list[str], name: str) -> int:
    """Return the index of a site or kind; a name that is not in the list is appended."""
    if name not in names:
        names.append(name)
    return names.index(name)
