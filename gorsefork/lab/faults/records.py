"""What clients, backends and discovery saw in one play. The oracle reads nothing else.

All times are seconds on this machine's monotonic clock.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Literal

from gorsefork.lab.faults.slow_start import ColdStart

Effect = Literal["repeatable", "by_key", "once"]
End = Literal["answered", "refused", "failed", "left", "no answer", "connection ended", "not connected"]
AttemptEnd = Literal["ran", "refused", "given up", "reset", "hung"]


@dataclass(slots=True)
class Request:
    """One request as its client saw it. ``waits``: seconds from its last byte that the client waits."""

    id: str
    ingress: int
    effect: Effect
    waits: float
    sent_at: float = 0.0  # its last byte was written
    kept: bool = False  # on a connection that had carried another
    end: End = "no answer"
    ended_at: float = 0.0
    body: bytes = b""
    again: str = ""  # the id under which it was sent once more, as its connection had ended


@dataclass(slots=True)
class Attempt:
    """One request as a backend saw it, whole or not. ``begun_at``: its first byte came."""

    id: str
    ingress: int
    backend: str
    begun_at: float
    told: float  # seconds that the ingress said it waits, from the head
    whole_at: float = 0.0  # its last byte came; 0 if it never did
    end: AttemptEnd = "hung"
    ended_at: float = 0.0


@dataclass(slots=True)
class Told:
    """Discovery's word on one backend. ``had_at``: discovery had it; ``written_at``: by ingress, its last
    byte was written there."""

    backend: str
    state: str
    had_at: float
    written_at: dict[int, float] = field(default_factory=dict)


@dataclass(slots=True)
class Life:
    """One process of an ingress. ``status`` is None if it was killed or runs still."""

    ingress: int
    started_at: float
    ready_at: float = 0.0
    told_to_end_at: float = 0.0
    killed_at: float = 0.0
    status: int | None = None
    ended_at: float = 0.0
    peak_memory_bytes: int = 0  # resident, as the system tells


@dataclass(frozen=True, slots=True)
class Hold:
    """A process that the machine held up, from outside of the play. ``who`` is an ingress, or -1: the
    stand-ins and clients themselves."""

    who: int
    since: float
    seconds: float


@dataclass(slots=True)
class Records:
    """All of one play. ``outages``: when discovery could not be reached."""

    requests: dict[str, Request] = field(default_factory=dict)
    attempts: list[Attempt] = field(default_factory=list)
    told: list[Told] = field(default_factory=list)
    lives: list[Life] = field(default_factory=list)
    outages: list[tuple[float, float]] = field(default_factory=list)
    bodies: dict[str, bytes] = field(default_factory=dict)  # what a backend made for each id
    holds: list[Hold] = field(default_factory=list)
    # (backend, ingress) -> its estimate, in requests a second, as that backend fell
    estimates: dict[tuple[str, int], float] = field(default_factory=dict)
    starts: list[ColdStart] = field(default_factory=list)  # of backends, where these have a limited capacity
