"""The first few of a long stream in order of their keys, in memory for those few only."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any, Generic, TypeVar

from gorsefork.plans.changes import Change

T = TypeVar("T")


class SmallestByKey(Generic[T]):
    """``values`` with the ``most`` smallest keys, in their order; ``more``: whether there were others."""

    def __init__(self, most: int) -> None:
        self.limit = most
        self.found: list[tuple[Any, T]] = []
        self.more = False
        self.bound: Any = None  # keys above it are no longer wanted

    def wants(self, key: Any) -> bool:
        """False: this key would not be among them, and counts as one more."""
        if self.bound is not None and key > self.bound:
            self.more = True
            return False
        return True

    def add(self, key: Any, value: T) -> None:
        if self.wants(key):
            self.found.append((key, value))
            if len(self.found) > 2 * self.limit:
                self.cut()

    def add_all(self: SmallestByKey[Change], changes: Iterable[Change]) -> None:
        """Changes, by number."""
        for change in changes:
            self.add(change.number, change)

    def cut(self) -> None:
        self.found.sort(key=lambda each: each[0])
        if len(self.found) > self.limit:
            del self.found[self.limit :]
            self.more, self.bound = True, self.found[-1][0]

    def values(self) -> list[T]:
        self.cut()
        return [value for _, value in self.found]
