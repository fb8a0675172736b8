"""Where a plan book's changes are: what a log of changes offers, and one of plain objects for small books."""

from __future__ import annotations

from bisect import insort
from collections.abc import Iterable
from typing import Protocol

from gorsefork.plans.changes import Change, ChangeNumber, ChangeRefused


class ChangeLog(Protocol):
    """A set of changes. Customers are found one by one, or by parts that have all changes of theirs.

    The customer ``None`` has the changes that concern every customer; no part has those.
    """

    @property
    def parts(self) -> int: ...
    def __len__(self) -> int: ...
    def get(self, number: ChangeNumber) -> Change | None: ...
    def of_customer(self, customer: str | None) -> list[Change]:
        """Its own changes, in order of number."""
        ...

    def part(self, place: int) -> list[Change]:
        """The changes of some customers, a customer's together and in order of number."""
        ...

    def add(self, change: Change) -> bool:
        """False: held already. ``ChangeRefused``: another change has its number, or there is no room."""
        ...

    def has_room(self, more: int) -> bool:
        """Whether so many changes more surely fit."""
        ...

    def discard(self, changes: Iterable[Change]) -> None: ...
    def digest(self) -> str:
        """Equal where two logs hold the same changes. Its cost does not grow with the log."""
        ...


class MemoryLog:
    """Changes as objects: for answers about a few customers, and for tests."""

    parts = 16  # by a customer's last digit

    def __init__(self, changes: Iterable[Change] = ()) -> None:
        self.by_number: dict[ChangeNumber, Change] = {}
        self.by_customer: dict[str | None, list[Change]] = {}
        for change in changes:
            self.add(change)

    def __len__(self) -> int:
        return len(self.by_number)

    def get(self, number: ChangeNumber) -> Change | None:
        return self.by_number.get(number)

    def of_customer(self, customer: str | None) -> list[Change]:
        return list(self.by_customer.get(customer, ()))

    def part(self, place: int) -> list[Change]:
        digit = f"{place:x}"
        return [
            change
            for customer, changes in self.by_customer.items()
            if customer is not None and customer.endswith(digit)
            for change in changes
        ]

    def add(self, change: Change) -> bool:
        if (known := self.by_number.get(change.number)) is not None:
            if known != change:
                raise ChangeRefused(f"change {change.number} is another one here", 409)
            return False
        self.by_number[change.number] = change
        insort(self.by_customer.setdefault(change.customer, []), change, key=lambda each: each.number)
        return True

    def has_room(self, more: int) -> bool:
        return True

    def discard(self, changes: Iterable[Change]) -> None:
        for change in changes:
            if self.by_number.pop(change.number, None) is not None:
                left = self.by_customer[change.customer]
                left.remove(change)
                if not left:
                    del self.by_customer[change.customer]

    def digest(self) -> str:
        return f"{len(self)}-{hash(frozenset(self.by_number)) & (1 << 64) - 1:016x}"
