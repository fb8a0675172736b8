"""The one timer heap of the module's actor."""

from __future__ import annotations

import heapq


class Timers:
    """Tokens by the time at which they come due, in whole microseconds."""

    def __init__(self) -> None:
        self.heap: list[tuple[int, int, str]] = []
        self.serial = 0

    def set(self, due: int, token: str) -> None:
        self.serial += 1
        heapq.heappush(self.heap, (due, self.serial, token))

    def next_due(self) -> int | None:
        return self.heap[0][0] if self.heap else None

    def due(self, now: int) -> list[str]:
        tokens = []
        while self.heap and self.heap[0][0] <= now:
            tokens.append(heapq.heappop(self.heap)[2])
        return tokens
