"""The times to come at which terms change by themselves."""

from __future__ import annotations

import heapq

EVERYONE = ""  # stands for a change that concerns every customer


class Boundaries:
    """For each customer the next such time, if there is one. Microseconds of Unix time."""

    def __init__(self) -> None:
        self.heap: list[tuple[int, str]] = []
        self.next_of: dict[str, int] = {}  # the one entry of the heap that counts, for each customer

    def watch(self, customer: str, boundary: int | None) -> None:
        """From now on this is the next time of a customer; ``None``: there is none."""
        if boundary is None:
            self.next_of.pop(customer, None)
        elif self.next_of.get(customer) != boundary:
            self.next_of[customer] = boundary
            heapq.heappush(self.heap, (boundary, customer))

    def watch_earlier(self, customer: str, boundary: int) -> None:
        """The same where the one known so far is later."""
        known = self.next_of.get(customer)
        if known is None or boundary < known:
            self.watch(customer, boundary)

    def first(self) -> int | None:
        while self.heap and self.next_of.get(self.heap[0][1]) != self.heap[0][0]:
            heapq.heappop(self.heap)
        return self.heap[0][0] if self.heap else None

    def pop_due(self, at: int) -> str | None:
        """A customer whose time has come by then; it is watched no longer."""
        first = self.first()
        if first is None or first > at:
            return None
        _, customer = heapq.heappop(self.heap)
        del self.next_of[customer]
        return customer
