"""Figures that decay with time and need no timer."""

from __future__ import annotations

import math


class DecayingRate:
    """A rate per second, averaged with exponential weights. It needs no timer: it decays when it is read."""

    __slots__ = ("time_constant_s", "updated_at", "value")

    def __init__(self, time_constant_s: float) -> None:
        self.time_constant_s = time_constant_s
        self.value = 0.0
        self.updated_at = -math.inf

    def add(self, amount: float, now: float) -> None:
        self.value = self.at(now) + amount / self.time_constant_s
        self.updated_at = now

    def at(self, now: float) -> float:
        if self.value == 0.0:
            return 0.0
        return self.value * math.exp(-max(0.0, now - self.updated_at) / self.time_constant_s)

    def set(self, value: float, now: float) -> None:
        self.value = value
        self.updated_at = now


class DecayingMaximum:
    """The latest value, or the part of a larger one before it that time has left."""

    __slots__ = ("time_constant_s", "updated_at", "value")

    def __init__(self, time_constant_s: float) -> None:
        self.time_constant_s = time_constant_s
        self.value = 0.0
        self.updated_at = -math.inf

    def update(self, value: float, now: float) -> float:
        """Take a new value and return the maximum."""
        if value < self.value:
            elapsed = max(0.0, now - self.updated_at)
            value = max(value, self.value * math.exp(-elapsed / self.time_constant_s))
        self.value, self.updated_at = value, now
        return value
