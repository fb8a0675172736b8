"""The one timer heap of the module's actor."""

from __future__ import annotations

import heapq
from collections.abc import Container


class Timers:
    """Tokens by the time at which they come due, in whole microseconds. One that is for a call which is no
    longer among ``calls`` is dropped unheard: most of a call's timers outlive it, only to wake the loop."""

    def __init__(self, calls: Container[str]) -> None:
        self.open_calls = calls
        self.heap: list[tuple[int, int, str, str]] = []
        self.serial = 0

    def set(self, due: int, token: str, call: str = "") -> None:
        self.serial += 1
        heapq.heappush(self.heap, (due, self.serial, token, call))

    def next_due(self) -> int | None:
        while self.heap and self.heap[0][3] and self.heap[0][3] not in self.open_calls:
            heapq.heappop(self.heap)
        return self.heap[0][0] if self.heap else None

    def due(self, now: int) -> list[str]:
        tokens = []
        while (first := self.next_due()) is not None and first <= now:
            tokens.append(heapq.heappop(self.heap)[2])
        return tokens
