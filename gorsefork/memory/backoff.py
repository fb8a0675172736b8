"""Randomized exponential backoff between the repeats of a failed call."""

from __future__ import annotations

import random


class Backoff:
    """Pauses that double from ``first_s`` to ``max_s`` seconds, each multiplied by a random 0.5 to 1.5.

    Without the growing pauses and the jitter, a whole fleet that repeats its calls immediately, or in step,
    keeps an overloaded service overloaded: the service then spends its time on refusing calls.
    """

    def __init__(self, first_s: float, max_s: float, rng: random.Random) -> None:
        self.first_s, self.max_s, self.rng, self.failures = first_s, max_s, rng, 0

    def next_pause(self) -> float:
        """Count one more failure and return the pause after it, in seconds: at most 1.5 times ``max_s``."""
        pause = min(self.max_s, self.first_s * 2.0 ** min(self.failures, 30))
        self.failures += 1
        return pause * self.rng.uniform(0.5, 1.5)

    def reset(self) -> None:
        """Start again at the shortest pause, after a success."""
        self.failures = 0
