"""The plan book: an immutable set of changes, and what it says of a customer at any time.

A book is a pointer to persistent maps: whoever holds one reads it whole, however many changes come meanwhile.
What it says depends on the set of its changes alone and not on the order in which they came, so that two
ingresses with the same changes agree.
"""

from __future__ import annotations

from bisect import insort
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from hashlib import blake2s

from pyrsistent import PMap, PVector, pmap, pvector

from gorsefork.plans.changes import Cancel, Change, Number, Refused, Reserve, Rollback, SetPlan

MOST_CHANGES = 20_000
MOST_OF_ONE = 500  # changes that concern one customer


@dataclass(frozen=True, slots=True)
class Standing:
    """What holds for a customer at one time. ``since``: the last time at which that may have changed."""

    entry: Change | None
    reservations: tuple[Change, ...]
    since: int

    @property
    def series(self) -> str:
        """Short; the same at every ingress that knows the same of this customer, and new with each change."""
        held = (self.entry, *self.reservations)
        text = "|".join(str(change.number) if change else "-" for change in held)
        return "-" + blake2s(f"{text}|{self.since}".encode(), digest_size=5).hexdigest()


@dataclass(frozen=True, slots=True)
class Book:
    """``changes`` by number; ``of`` each customer, in their order; ``everyones``: rollbacks of all."""

    changes: PMap[Number, Change] = field(default_factory=pmap)
    of: PMap[str, PVector[Change]] = field(default_factory=pmap)
    everyones: PVector[Change] = field(default_factory=pvector)
    keys: PMap[str, Number] = field(default_factory=pmap)
    horizon: int = 0  # what is older and holds no more has been forgotten

    @staticmethod
    def replay(changes: Iterable[Change], horizon: int = 0) -> Book:
        book = Book(horizon=horizon)
        for change in changes:
            book = book.adding(change)
        return book

    def adding(self, change: Change) -> Book:
        """The book with one more change; itself if it has that already. ``Refused`` if it contradicts it."""
        if (known := self.changes.get(change.number)) is not None:
            if known != change:
                raise Refused(f"change {change.number} is another one here", 409)
            return self
        of, everyones = self.of, self.everyones
        if change.customer is None:
            everyones = inserted(everyones, change)
        else:
            of = of.set(change.customer, inserted(of.get(change.customer, pvector()), change))
        keys = self.keys.set(change.key, change.number) if change.key else self.keys
        return Book(self.changes.set(change.number, change), of, everyones, keys, self.horizon)

    def adding_within(self, change: Change) -> Book:
        """The same, within the bounds, which hold for what others made too."""
        self.check_room(change)
        return self.adding(change)

    def check_room(self, change: Change) -> None:
        if len(self.changes) >= MOST_CHANGES:
            raise Refused(f"the book is full: {MOST_CHANGES} changes", 507)
        if change.customer is not None and len(self.of.get(change.customer, ())) >= MOST_OF_ONE:
            raise Refused(f"customer {change.customer} has {MOST_OF_ONE} changes", 507)

    def asked_before(self, key: str) -> Change | None:
        number = self.keys.get(key) if key else None
        return None if number is None else self.changes[number]

    def of_customer(self, customer: str) -> list[Change]:
        """All that concerns one customer, in order of number."""
        return sorted([*self.of.get(customer, ()), *self.everyones], key=lambda change: change.number)

    def live(self, customer: str, at: int) -> list[Change]:
        """The entries that no cancel or rollback in effect at that time has voided, the latest first.

        Latest first also settles a rollback of a rollback: the earlier one is void before it is looked at.
        """
        floor: Number | None = None
        cancelled: set[Number] = set()
        live: list[Change] = []
        for change in reversed(self.of_customer(customer)):
            act = change.act
            if floor is not None and change.number > floor:
                continue
            if isinstance(act, Rollback):
                if act.effective <= at:
                    to = Number.read(act.to)
                    floor = to if floor is None else min(floor, to)
            elif isinstance(act, Cancel):
                if act.effective <= at:
                    cancelled.add(Number.read(act.number))
            elif change.number not in cancelled:
                live.append(change)
        return live

    def standing(self, customer: str, at: int) -> Standing | None:
        """What holds for a customer at that time; None if this book never changed anything for it by then.

        Of several plans the one that took effect last holds, and of two at the same time the one with the
        higher number: two operators at once end with one result, everywhere the same.
        """
        if customer not in self.of:
            return None
        past = [time for change in self.of_customer(customer) for time in change.boundaries() if time <= at]
        if not past:
            return None
        entry: Change | None = None
        best: tuple[int, Number] | None = None
        reservations = []
        for change in self.live(customer, at):
            act = change.act
            if isinstance(act, SetPlan) and act.effective <= at and not 0 < act.until <= at:
                rank = (act.effective, change.number)
                if best is None or rank > best:
                    entry, best = change, rank
            elif isinstance(act, Reserve) and act.starts <= at < act.ends:
                reservations.append(change)
        return Standing(entry, tuple(sorted(reservations, key=lambda c: c.number)), max(past))

    def next_boundary(self, customer: str, after: int) -> int | None:
        """When this customer's standing may change next."""
        return min(
            (time for change in self.of_customer(customer) for time in change.boundaries() if time > after),
            default=None,
        )

    def forgetting(self, horizon: int) -> Book:
        """The book without what is older than ``horizon`` and holds neither then nor later.

        From then on nothing before the horizon can be cancelled or rolled back to: ``admissible`` refuses it.
        """
        if horizon <= self.horizon:
            return self
        kept = {change.number: change for change in self.changes.values() if change.stamp >= horizon}
        for customer in self.of:
            standing = self.standing(customer, horizon)
            held = {standing.entry, *standing.reservations} if standing is not None else set()
            for change in self.live(customer, horizon):
                if change in held or change.boundaries()[0] > horizon:
                    kept[change.number] = change
        for change in self.changes.values():
            if isinstance(change.act, Cancel | Rollback) and change.act.effective > horizon:
                kept[change.number] = change
        return Book.replay(kept.values(), horizon)

    def admissible(self, change: Change) -> None:
        """Whether a change may be made here and now; ``Refused`` says why not.

        A change that another ingress has made is taken as it stands: it was admissible there.
        """
        act = change.act
        if change.stamp < self.horizon:
            raise Refused(f"stamp: this book goes back to {self.horizon} only", 410)
        self.check_room(change)
        if isinstance(act, Cancel):
            number = Number.read(act.number)
            target = self.changes.get(number)
            if target is None or target.customer != act.customer or number.stamp < self.horizon:
                raise Refused(f"act.number: no change {number} of customer {act.customer}", 404)
            if not isinstance(target.act, SetPlan | Reserve):
                raise Refused("act.number: only a plan or a reservation can be cancelled")
            if number >= change.number:
                raise Refused("act.number: names a later change", 409)
        if isinstance(act, Rollback):
            to = Number.read(act.to)
            if to.stamp < self.horizon:
                raise Refused(f"act.to: this book goes back to {self.horizon} only", 410)
            if to >= change.number:
                raise Refused("act.to: names a later change", 409)

    def history(self, customer: str | None = None) -> Iterator[Change]:
        """In order of number: of all, or of one customer with the rollbacks that concern it."""
        if customer is not None:
            yield from self.of_customer(customer)
        else:
            yield from sorted(self.changes.values(), key=lambda change: change.number)

    def at_number(self, number: Number) -> Book:
        """The book as its changes up to that one make it."""
        return Book.replay((c for c in self.changes.values() if c.number <= number), self.horizon)

    def missing_in(self, other: Book) -> list[Change]:
        """What this book has and another lacks, in order of number."""
        numbers = self.changes.keys() - other.changes.keys()
        return [self.changes[number] for number in sorted(numbers)]

    def digest(self) -> str:
        """Equal where two books hold the same changes."""
        total = 0
        for number in self.changes:
            total ^= int.from_bytes(blake2s(str(number).encode(), digest_size=16).digest(), "big")
        return f"{len(self.changes)}-{total:032x}"


def inserted(changes: PVector[Change], change: Change) -> PVector[Change]:
    """In order of number. Most changes come in that order: then nothing is copied."""
    if not changes or changes[-1].number < change.number:
        return changes.append(change)
    copy = list(changes)
    insort(copy, change, key=lambda each: each.number)
    return pvector(copy)


def differences(old: Book, new: Book, at: int) -> Iterator[tuple[str, Standing | None, Standing | None]]:
    """The customers for whom two books say something else at that time, and what."""
    for customer in sorted({*old.of, *new.of}):
        before, after = old.standing(customer, at), new.standing(customer, at)
        if held(before) != held(after):
            yield customer, before, after


def held(standing: Standing | None) -> tuple[Number | None, tuple[Number, ...]]:
    if standing is None:
        return None, ()
    return (
        standing.entry.number if standing.entry else None,
        tuple(change.number for change in standing.reservations),
    )
