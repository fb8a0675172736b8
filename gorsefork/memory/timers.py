"""The timer heap of the decision actor."""

from __future__ import annotations

import heapq
from collections.abc import Container

MIN_COMPACTION_LENGTH = 1024  # stale timers are not searched for in a shorter heap


class Timers:
    """Tokens ordered by their due time, in whole microseconds.

    A timer of a call that is no longer in ``open_calls`` is dropped without firing: most timers of a call
    outlive it, and would only wake the loop.
    """

    def __init__(self, open_calls: Container[str]) -> None:
        self.open_calls = open_calls
        self.heap: list[tuple[int, int, str, str]] = []
        self.serial = 0
        self.compaction_length = MIN_COMPACTION_LENGTH

    def set(self, due: int, token: str, call: str = "") -> None:
        """Add a timer; one without a ``call`` always fires."""
        self.serial += 1
        heapq.heappush(self.heap, (due, self.serial, token, call))
        if len(self.heap) > self.compaction_length:
            self.compact()

    def compact(self) -> None:
        """Drop the timers of calls that are over. Guards against clients with hours to wait, whose calls end
        soon: each would leave its timers here until then."""
        self.heap = [timer for timer in self.heap if not timer[3] or timer[3] in self.open_calls]
        heapq.heapify(self.heap)
        self.compaction_length = max(MIN_COMPACTION_LENGTH, 2 * len(self.heap))

    def next_due(self) -> int | None:
        """Return the due time of the next timer, or None if there is none."""
        while self.heap and self.heap[0][3] and self.heap[0][3] not in self.open_calls:
            heapq.heappop(self.heap)
        return self.heap[0][0] if self.heap else None

    def due(self, now: int) -> list[str]:
        """Remove and return the tokens that are due at ``now``, in order of their due time."""
        tokens = []
        while (first := self.next_due()) is not None and first <= now:
            tokens.append(heapq.heappop(self.heap)[2])
        return tokens
