"""The ids of requests that may have run and must not run again."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable

from gorsefork.memory.clock import SECOND
from gorsefork.memory.memory_budget import MAX_REMEMBERED_IDS

ID_LIFETIME_US = 120 * SECOND  # far beyond the time in which a client that left comes again


class RecentIds:
    """Clients' ids of requests of classes that are unsafe to repeat, for ``ID_LIFETIME_US``.

    Beyond ``max_ids`` the oldest is forgotten.
    """

    def __init__(self) -> None:
        self.max_ids = MAX_REMEMBERED_IDS
        self.expiry: OrderedDict[str, int] = OrderedDict()  # us on the process clock, soonest first

    def add(self, trace_id: str, now: int) -> None:
        self.remove_expired(now)
        self.expiry[trace_id] = now + ID_LIFETIME_US
        self.expiry.move_to_end(trace_id)
        while len(self.expiry) > self.max_ids:
            self.expiry.popitem(last=False)

    def add_all(self, trace_ids: Iterable[str], now: int) -> None:
        for trace_id in trace_ids:
            self.add(trace_id, now)

    def holds(self, trace_id: str, now: int) -> bool:
        self.remove_expired(now)
        return trace_id in self.expiry

    def remove_expired(self, now: int) -> None:
        while self.expiry:
            trace_id, expiry = next(iter(self.expiry.items()))
            if expiry > now:
                return
            del self.expiry[trace_id]
