"""What a peer may send that costs this side work and moves no call on: a bucket for each kind of frame.

RFC 9113, 10.5, names the ways: resets of streams just opened, pings, settings, empty frames. Each is lawful
by itself, so that only its rate tells. Beyond its budget a peer's connection ends with ENHANCE_YOUR_CALM.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Literal

SECOND = 1_000_000
Kind = Literal["reset", "ping", "settings", "empty", "window", "priority"]


@dataclass(frozen=True, slots=True)
class Allowance:
    """``burst`` frames at once, and ``rate`` a second after that."""

    rate: float
    burst: float


ALLOWED: dict[Kind, Allowance] = {
    "reset": Allowance(20.0, 200.0),  # a client that gives up calls; all of a connection's at once
    "ping": Allowance(2.0, 20.0),
    "settings": Allowance(1.0, 10.0),
    "empty": Allowance(10.0, 100.0),
    "window": Allowance(5_000.0, 20_000.0),
    "priority": Allowance(10.0, 200.0),
}


@dataclass(slots=True)
class FrameBudget:
    """Of one connection. Times in whole microseconds."""

    spent: dict[Kind, tuple[float, int]] = field(default_factory=dict)

    def take(self, kind: Kind, now: int) -> bool:
        """Whether one more such frame is within what is allowed."""
        allowed = ALLOWED[kind]
        debt, at = self.spent.get(kind, (0.0, now))
        debt = max(0.0, debt - allowed.rate * (now - at) / SECOND) + 1.0
        self.spent[kind] = (debt, now)
        return debt <= allowed.burst
