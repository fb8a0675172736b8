"""What the core asks of the wire. None of these waits."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from gorsefork.decisions import interface as i
from gorsefork.memory.call import BackendAttempt, Call


class Backends(Protocol):
    """The backends."""

    def start_attempt(self, delegation: BackendAttempt) -> None: ...
    def close_idle(self, host: str) -> None: ...


class Counter(Protocol):
    """The quota counter."""

    def add(self, name: str, amount: float, ttl_us: int) -> None: ...


class Peers(Protocol):
    """The other ingresses of this site; ``None`` means all of them."""

    def send(self, peer: int | None, data: bytes) -> None: ...


class PlanOverrides(Protocol):
    """The plan book: what holds for a customer at a time, in microseconds of Unix time."""

    def plan_for(self, customer: str, place: int, at: int) -> i.Plan | None: ...


class UsageRecorder(Protocol):
    """Whoever records use. ``then`` is called once, later: whether it is kept."""

    def record(self, call: Call, micro: int, then: Callable[[bool], None]) -> None: ...


class Log(Protocol):
    """Where events are told: a text for people, a stable name and its fields for programs."""

    def __call__(self, text: str, /, *, event: str, **fields: object) -> None: ...


class Discovery(Protocol):
    """Whoever speaks to discovery."""

    def fetch(self) -> None: ...
