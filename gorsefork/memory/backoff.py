"""How long to wait before a call that failed is made again."""

from __future__ import annotations

import random


class Backoff:
    """Pauses that double from ``first`` to ``most`` seconds, each by chance within a half of it either way.

    Guards against a service that is overbooked and stays so: where a whole fleet asks again at once, or all
    at the same moments, it is kept busy turning them away.
    """

    def __init__(self, first: float, most: float, rng: random.Random) -> None:
        self.first, self.longest, self.rng, self.failures = first, most, rng, 0

    def next_pause(self) -> float:
        """The pause in seconds after one more failure, at most 1.5 times ``most``."""
        pause = min(self.longest, self.first * 2.0 ** min(self.failures, 30))
        self.failures += 1
        return pause * self.rng.uniform(0.5, 1.5)

    def reset(self) -> None:
        self.failures = 0
