"""The interfaces through which the core uses the outside world. No method blocks or waits."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from gorsefork.decisions import interface as i
from gorsefork.memory.call import BackendAttempt, Call


class Backends(Protocol):
    """Sends attempts to the backends."""

    def start_attempt(self, attempt: BackendAttempt) -> None: ...
    def close_idle(self, backend: str) -> None: ...


class Counter(Protocol):
    """The shared quota counter. ``ttl_us`` is in microseconds."""

    def add(self, name: str, amount: float, ttl_us: int) -> None: ...


class Peers(Protocol):
    """Sends messages to the other ingresses of this site; a ``peer`` of ``None`` means all of them."""

    def send(self, peer: int | None, data: bytes) -> None: ...


class PlanOverrides(Protocol):
    """The plan book: looks up a customer's effective plan at ``at``, in microseconds of Unix time."""

    def plan_for(self, customer: str, place: int, at: int) -> i.Plan | None: ...


class UsageRecorder(Protocol):
    """Records the usage of calls, ``micro`` in millionths of a unit.

    ``on_recorded`` is called once, later, with whether the record was stored.
    """

    def record(self, call: Call, micro: int, on_recorded: Callable[[bool], None]) -> None: ...


class Log(Protocol):
    """Writes a log event: a text for people, and a stable event name with fields for programs."""

    def __call__(self, text: str, /, *, event: str, **fields: object) -> None: ...


class Discovery(Protocol):
    """The discovery client."""

    def fetch(self) -> None: ...
