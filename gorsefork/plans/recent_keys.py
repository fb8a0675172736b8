"""Which request made which change, for the newest ones: a request that comes again makes no second.

A key is kept as a hash with the customer it was used for, and its change is read from the book. Two keys with
one hash (2**-64) at worst hide each other.
"""

from __future__ import annotations

import heapq
import sys
from hashlib import blake2s

from gorsefork.plans.changes import Change, ChangeNumber

MOST_KEYS = 4096  # almost three days at 1,400 changes a day


class RecentKeys:
    """The keys of the ``MOST_KEYS`` newest changes that had one."""

    def __init__(self) -> None:
        self.by_hash: dict[int, tuple[ChangeNumber, str]] = {}
        self.oldest: list[tuple[ChangeNumber, int]] = []  # a heap

    def note(self, change: Change) -> None:
        """Of two changes with one key the newer one counts."""
        if not change.key:
            return
        hashed, number = hash_of(change.key), ChangeNumber(change.stamp, sys.intern(change.origin))
        known = self.by_hash.get(hashed)
        if known is not None and known[0] >= number:
            return
        if len(self.oldest) >= MOST_KEYS and number < self.oldest[0][0]:
            return
        self.by_hash[hashed] = number, change.customer or ""
        heapq.heappush(self.oldest, (number, hashed))
        while len(self.oldest) > MOST_KEYS:
            dropped, of_hash = heapq.heappop(self.oldest)
            if of_hash in self.by_hash and self.by_hash[of_hash][0] == dropped:
                del self.by_hash[of_hash]

    def find(self, key: str) -> tuple[ChangeNumber, str] | None:
        """The number of the change that a request with this key made, and its customer (empty: all)."""
        return self.by_hash.get(hash_of(key)) if key else None


def hash_of(key: str) -> int:
    return int.from_bytes(blake2s(key.encode(), digest_size=8).digest(), "big")
