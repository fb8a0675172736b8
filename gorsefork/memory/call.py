"""Calls and their attempts.

A call is one client request, which gets exactly one final answer. A backend attempt is one attempt to have
one backend serve that call.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Protocol

from gorsefork.decisions.interface import Status
from gorsefork.memory.body_stream import BodyStream

if TYPE_CHECKING:
    from gorsefork.memory.metrics import BreakReason, EndKind, Metrics
    from gorsefork.memory.process_identity import ConnectionIdentity

NEVER_RAN: frozenset[Status] = frozenset(("full", "connect_failed", "moot"))


@dataclass(frozen=True, slots=True)
class ServedAnswer:
    """A backend's answer to this call; its body is passed on unchanged."""

    body: bytes
    content_type: str = ""


class AnswerSink(Protocol):
    """Receives a streamed answer chunk by chunk."""

    async def write_chunk(self, chunk: bytes | bytearray) -> None:
        """Write as fast as the client reads.

        Raises ``OSError`` or ``trio.ClosedResourceError`` once the client no longer reads. Cancelling a write
        aborts the answer.
        """
        ...

    def end(self, whole: bool) -> None:
        """End the answer. If it is not ``whole``, it ends in a way that the client can detect."""
        ...


@dataclass(slots=True, eq=False)
class StreamedAnswer:
    """An answer too large to buffer, unlike ``ServedAnswer``.

    Its body is written to ``sink``, which the front sets.
    """

    content_type: str
    length: int | None  # in bytes; None if it is not known in advance
    sink: AnswerSink | None = None


@dataclass(frozen=True, slots=True)
class OverloadAnswer:
    """The call was declined because of overload; a retry is harmless.

    ``retry_after`` is in seconds; 0 gives no advice.
    """

    retry_after: float = 0.0


@dataclass(frozen=True, slots=True)
class FailedAnswer:
    """The call failed; whether it took effect is unknown."""


@dataclass(frozen=True, slots=True)
class DeniedAnswer:
    """The front's own refusal: the client is not, or no longer, permitted to make this call."""

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""


CompleteAnswer = ServedAnswer | OverloadAnswer | FailedAnswer | DeniedAnswer
Answer = CompleteAnswer | StreamedAnswer


class Permit(Protocol):
    """Lets a front check a call again just before the first byte of an attempt is sent."""

    async def renew(self, attempt: BackendAttempt) -> bool:
        """Return whether the attempt may be sent.

        If not, it never runs, and this method may already have answered the call.
        """
        ...


@dataclass(slots=True, eq=False)
class Call:
    """One client request.

    ``id`` is assigned by this program and is unique, whereas a client may repeat its ``trace_id``.
    ``arrived_at`` and ``deadline`` are in microseconds.
    """

    id: str
    method: str
    target: str
    body: bytes
    trace_id: str
    idempotency_key: str
    class_index: int
    plan_index: int
    customer: str
    units: float
    ingress_count: int
    first_ingress: int
    arrived_at: int
    deadline: int
    reply: Callable[[Answer], None]
    is_retry: bool = False
    permit: Permit | None = None
    finished: bool = False
    plan_name: str = ""  # the effective plan, if the plan book names one
    # A good answer has arrived, and its usage is being recorded if this installation records usage.
    answer_accepted: bool = False
    # The body, if it is forwarded while it arrives; ``body`` is then empty.
    body_stream: BodyStream | None = None
    bound_to_place: bool = False  # its repeats are dropped within one zone or cell only
    answer_time: int = 0  # us, from the body's last byte to the deadline of the answer
    attempts: list[BackendAttempt] = field(default_factory=list)
    metrics: Metrics | None = None  # counts how the call ends
    # Asks the connection itself, without waiting for the data before the close to be read.
    client_has_left: Callable[[], bool] = lambda: False

    def finish(self, answer: Answer) -> bool:
        """Give the final answer; every final answer goes through here.

        Only the first one counts. Later ones are dropped, and ``False`` is returned.
        """
        if self.finished:
            return False
        self.finished = True
        if not isinstance(answer, StreamedAnswer):  # its end is counted once the stream ends
            self.count_end(
                "fulfilled"
                if isinstance(answer, ServedAnswer)
                else "throttled"
                if isinstance(answer, OverloadAnswer)
                else "faulted"
            )
        self.reply(answer)
        return True

    def upload_finished(self, now: int) -> None:
        """Restart the deadline when the last byte of a forwarded body has arrived, at ``now``."""
        self.deadline = now + self.answer_time
        for attempt in self.attempts:
            if not attempt.ended:
                attempt.deadline = self.deadline
                if attempt.on_deadline_change is not None:
                    attempt.on_deadline_change()

    def count_end(self, kind: EndKind) -> None:
        if self.metrics is not None:
            self.metrics.ended[kind][self.class_index] += 1

    def count_break(self, reason: BreakReason) -> None:
        if self.metrics is not None:
            self.metrics.count_break(reason)

    def abandon(self) -> bool:
        """Finish without an answer because the client has gone; return whether the call was still open."""
        was_open, self.finished = not self.finished, True
        if was_open:
            self.count_end("gone")
        return was_open

    def release(self) -> None:
        """Drop what it holds, once it is answered and has no open attempt: at once, not with the next
        collection of reference cycles."""
        self.body, self.body_stream = b"", None
        self.reply = lambda answer: None
        self.client_has_left = lambda: True

    def open_attempts(self) -> int:
        return sum(not attempt.ended for attempt in self.attempts)

    def may_have_run(self) -> bool:
        return any(
            attempt.fully_sent if not attempt.ended else attempt.may_have_run for attempt in self.attempts
        )


@dataclass(slots=True, eq=False)
class BackendAttempt:
    """One attempt to have a backend serve a call.

    ``fully_sent`` means that its last byte has been sent, so that from then on it may have run.
    """

    call: Call
    number: int
    backend: str
    sent_at: int
    deadline: int
    start_before: float = math.inf  # us; the attempt must not begin at or after this time
    fully_sent: bool = False
    ended: bool = False
    may_have_run: bool = False
    cancelled: bool = False
    on_cancel: Callable[[], None] | None = None  # set by the transport that carries it out
    on_deadline_change: Callable[[], None] | None = None  # likewise, for a changed ``deadline``
    connection: ConnectionIdentity | None = None  # on which it was sent
    # Called when its answer is streamed, which the deadline must not cut off.
    clear_deadline: Callable[[], None] = lambda: None

    def may_be_sent_on(self, connection: ConnectionIdentity, now: int) -> bool:
        """Return whether it may be sent on a connection, by where earlier attempts of its call may have run.

        Repeats of a keyed call are dropped only within one place: each attempt must be known to reach the
        process that its place was chosen for, or all must reach the same process.
        """
        if not self.call.bound_to_place:
            return True
        earlier = [
            other.connection
            for other in self.call.attempts
            if other is not self and other.connection is not None and (not other.ended or other.may_have_run)
        ]
        return all(
            other is connection
            or (other.reaches_listed_process(now) and connection.reaches_listed_process(now))
            for other in earlier
        )

    def mark_sent(self) -> None:
        """Record that its last byte has been sent."""
        self.fully_sent = True
        if self.call.metrics is not None:
            self.call.metrics.sent_to_backends[self.call.class_index] += 1

    def detach(self) -> None:
        """Drop the ties to the transport that carried it out: it is over."""
        self.on_cancel = self.on_deadline_change = None
        self.clear_deadline = lambda: None

    def cancel(self) -> None:
        self.cancelled = True
        if self.on_cancel is not None:
            self.on_cancel()


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """How an attempt ended, as seen by its connection."""

    status: Status
    body: bytes = b""
    content_type: str = ""
    settled_units: float = 0.0
    already_reported: bool = False  # the decision engine was notified when streaming began
