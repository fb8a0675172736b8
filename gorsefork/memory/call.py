"""A call: one try of a client, which gets exactly one final answer. A delegation: one attempt of it at one
backend."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Protocol

from gorsefork.decisions.interface import Status
from gorsefork.memory.body_stream import BodyStream

if TYPE_CHECKING:
    from gorsefork.memory.metrics import EndKind, Metrics

NEVER_RAN: frozenset[Status] = frozenset(("full", "connect_failed", "moot"))


@dataclass(frozen=True, slots=True)
class ServedAnswer:
    """The body that a backend made for this call, unchanged."""

    body: bytes
    content_type: str = ""


class AnswerSink(Protocol):
    """Where a long answer goes, piece by piece."""

    async def write_chunk(self, piece: bytes | bytearray) -> None:
        """As fast as the client reads. ``OSError``, ``trio.TooSlowError`` or ``trio.ClosedResourceError``
        once it reads no more; cancelled, the answer is torn."""
        ...

    def end(self, whole: bool) -> None:
        """No more comes. One that is not whole is ended so that the client can tell."""
        ...


@dataclass(slots=True, eq=False)
class StreamedAnswer:
    """As ``ServedAnswer``, but too large to hold: its body follows through ``sink``, which the front sets."""

    content_type: str
    length: int | None  # in bytes; None where it is not told ahead
    sink: AnswerSink | None = None


@dataclass(frozen=True, slots=True)
class OverloadAnswer:
    """An overload reply: declined, trying again is harmless. ``retry_after`` in seconds, 0: no advice."""

    retry_after: float = 0.0


@dataclass(frozen=True, slots=True)
class FailedAnswer:
    """Nothing is promised about whether it took effect."""


@dataclass(frozen=True, slots=True)
class DeniedAnswer:
    """The front's own answer: the client may not have this (any more)."""

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""


CompleteAnswer = ServedAnswer | OverloadAnswer | FailedAnswer | DeniedAnswer
Answer = CompleteAnswer | StreamedAnswer


class Permit(Protocol):
    """What a front asks of a call again just before a delegation's first byte."""

    async def renew(self, delegation: BackendAttempt) -> bool:
        """Whether it may go. If not it never runs, and the call may have had its answer here."""
        ...


@dataclass(slots=True, eq=False)
class Call:
    """``id`` is this program's own: a client may repeat a trace id, an id of ours never comes twice."""

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
    plan_name: str = ""  # the plan that holds for it, where the book names one
    # a good answer has come: its use is recorded, if this installation records any
    answer_accepted: bool = False
    # its body, where that is passed on as it comes; ``body`` is empty then
    body_stream: BodyStream | None = None
    answer_time: int = 0  # us from its last byte on within which the client is to have its answer
    attempts: list[BackendAttempt] = field(default_factory=list)
    metrics: Metrics | None = None  # where its end is counted
    # asked of its connection, ahead of what is read from it
    client_has_left: Callable[[], bool] = lambda: False

    def finish(self, answer: Answer) -> bool:
        """The one way to the final answer; the first wins and all later ones are dropped."""
        if self.finished:
            return False
        self.finished = True
        if not isinstance(answer, StreamedAnswer):  # that one has its end still to come
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
        """The last byte of a body has come that was passed on: its time counts from here."""
        self.deadline = now + self.answer_time
        for delegation in self.attempts:
            if not delegation.ended:
                delegation.deadline = self.deadline
                if delegation.on_deadline_change is not None:
                    delegation.on_deadline_change()

    def count_end(self, kind: EndKind) -> None:
        if self.metrics is not None:
            self.metrics.ended[kind][self.class_index] += 1

    def abandon(self) -> bool:
        """The client has gone: nobody is left to answer."""
        was_open, self.finished = not self.finished, True
        if was_open:
            self.count_end("gone")
        return was_open

    def open_attempts(self) -> int:
        return sum(not d.ended for d in self.attempts)

    def may_have_run(self) -> bool:
        return any(d.fully_sent if not d.ended else d.may_have_run for d in self.attempts)


@dataclass(slots=True, eq=False)
class BackendAttempt:
    """``written``: its last byte has gone out, so that from here on it may have run."""

    call: Call
    number: int
    backend: str
    sent_at: int
    deadline: int
    start_before: float = math.inf  # us: from then on it is not to be begun
    fully_sent: bool = False
    ended: bool = False
    may_have_run: bool = False
    cancelled: bool = False
    on_cancel: Callable[[], None] | None = None  # set by whoever carries it out
    on_deadline_change: Callable[[], None] | None = None  # the same, for another ``deadline``
    # its answer is passed on: no end of its time cuts it off
    clear_deadline: Callable[[], None] = lambda: None

    def mark_sent(self) -> None:
        """Its last byte has left."""
        self.fully_sent = True
        if self.call.metrics is not None:
            self.call.metrics.sent_to_backends[self.call.class_index] += 1

    def cancel(self) -> None:
        self.cancelled = True
        if self.on_cancel is not None:
            self.on_cancel()


@dataclass(frozen=True, slots=True)
class AttemptResult:
    """How a delegation ended, as its connection saw it."""

    status: Status
    body: bytes = b""
    content_type: str = ""
    settled_units: float = 0.0
    already_reported: bool = False  # the module was told when it began to pass
