"""A call: one try of a client, which gets exactly one final answer. A delegation: one attempt of it at one
backend."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Protocol

from gorsefork.decisions.interface import Status
from gorsefork.memory.flow import Flow

if TYPE_CHECKING:
    from gorsefork.memory.figures import Figures, Kind

NEVER_RAN: frozenset[Status] = frozenset(("full", "connect_failed", "moot"))


@dataclass(frozen=True, slots=True)
class Served:
    """The body that a backend made for this call, unchanged."""

    body: bytes
    media: str = ""


class Sink(Protocol):
    """Where a long answer goes, piece by piece."""

    async def pass_on(self, piece: bytes | bytearray) -> None:
        """As fast as the client reads. ``OSError``, ``trio.TooSlowError`` or ``trio.ClosedResourceError``
        once it reads no more; cancelled, the answer is torn."""
        ...

    def end(self, whole: bool) -> None:
        """No more comes. One that is not whole is ended so that the client can tell."""
        ...


@dataclass(slots=True, eq=False)
class Long:
    """As ``Served``, but too large to hold: its body follows through ``sink``, which the front sets."""

    media: str
    length: int | None  # in bytes; None where it is not told ahead
    sink: Sink | None = None


@dataclass(frozen=True, slots=True)
class Overload:
    """An overload reply: declined, trying again is harmless. ``retry_after`` in seconds, 0: no advice."""

    retry_after: float = 0.0


@dataclass(frozen=True, slots=True)
class Failed:
    """Nothing is promised about whether it took effect."""


@dataclass(frozen=True, slots=True)
class Denied:
    """The front's own answer: the client may not have this (any more)."""

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""


Short = Served | Overload | Failed | Denied
Answer = Short | Long


class Permit(Protocol):
    """What a front asks of a call again just before a delegation's first byte."""

    async def renew(self, delegation: Delegation) -> bool:
        """Whether it may go. If not it never runs, and the call may have had its answer here."""
        ...


@dataclass(slots=True, eq=False)
class Call:
    """``id`` is this program's own: a client may repeat a trace id, an id of ours never comes twice."""

    id: str
    method: str
    target: str
    body: bytes
    trace: str
    key: str
    cls: int
    plan: int
    customer: str
    units: float
    spread: int
    first: int
    came_at: int
    ends_at: int
    reply: Callable[[Answer], None]
    retry: bool = False
    permit: Permit | None = None
    over: bool = False
    contract: str = ""  # the plan that holds for it, where the book names one
    settled: bool = False  # a good answer has come: its use is recorded, if this installation records any
    flow: Flow | None = None  # its body, where that is passed on as it comes; ``body`` is empty then
    left: int = 0  # us from its last byte on within which the client is to have its answer
    delegations: list[Delegation] = field(default_factory=list)
    figures: Figures | None = None  # where its end is counted
    client_left: Callable[[], bool] = lambda: False  # asked of its connection, ahead of what is read from it

    def finish(self, answer: Answer) -> bool:
        """The one way to the final answer; the first wins and all later ones are dropped."""
        if self.over:
            return False
        self.over = True
        if not isinstance(answer, Long):  # that one has its end still to come
            self.count(
                "fulfilled"
                if isinstance(answer, Served)
                else "throttled"
                if isinstance(answer, Overload)
                else "faulted"
            )
        self.reply(answer)
        return True

    def uploaded(self, now: int) -> None:
        """The last byte of a body has come that was passed on: its time counts from here."""
        self.ends_at = now + self.left
        for delegation in self.delegations:
            if not delegation.ended:
                delegation.ends_at = self.ends_at
                if delegation.due_anew is not None:
                    delegation.due_anew()

    def count(self, kind: Kind) -> None:
        if self.figures is not None:
            self.figures.ended[kind][self.cls] += 1

    def abandon(self) -> bool:
        """The client has gone: nobody is left to answer."""
        was_open, self.over = not self.over, True
        if was_open:
            self.count("gone")
        return was_open

    def open_delegations(self) -> int:
        return sum(not d.ended for d in self.delegations)

    def may_have_run(self) -> bool:
        return any(d.written if not d.ended else d.may_have_run for d in self.delegations)


@dataclass(slots=True, eq=False)
class Delegation:
    """``written``: its last byte has gone out, so that from here on it may have run."""

    call: Call
    number: int
    host: str
    sent_at: int
    ends_at: int
    begin_by: float = math.inf  # us: from then on it is not to be begun
    written: bool = False
    ended: bool = False
    may_have_run: bool = False
    called_off: bool = False
    stop: Callable[[], None] | None = None  # set by whoever carries it out
    due_anew: Callable[[], None] | None = None  # the same, for another ``ends_at``
    due_never: Callable[[], None] = lambda: None  # its answer is passed on: no end of its time cuts it off

    def wrote(self) -> None:
        """Its last byte has left."""
        self.written = True
        if self.call.figures is not None:
            self.call.figures.relayed[self.call.cls] += 1

    def call_off(self) -> None:
        self.called_off = True
        if self.stop is not None:
            self.stop()


@dataclass(frozen=True, slots=True)
class Ending:
    """How a delegation ended, as its connection saw it."""

    status: Status
    body: bytes = b""
    media: str = ""
    billed: float = 0.0
    passed: bool = False  # the module was told when it began to pass
