"""The plan book: a set of changes, and what it says of a customer at any time.

What it says depends on the set of its changes alone and not on the order in which they came, so that two
ingresses with the same changes agree. The changes themselves are in a ``ChangeLog``; the book looks at those
of one customer at a time, and its one owner adds to it.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, field
from hashlib import blake2s

from gorsefork.plans.boundaries import EVERYONE, Boundaries
from gorsefork.plans.change_log import ChangeLog, MemoryLog
from gorsefork.plans.changes import Cancel, Change, ChangeNumber, ChangeRefused, Reserve, Rollback, SetPlan
from gorsefork.plans.recent_keys import RecentKeys

MAX_CHANGES = 250_000
MAX_CHANGES_PER_CUSTOMER = 500  # changes that concern one customer


@dataclass(frozen=True, slots=True)
class EffectivePlan:
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


@dataclass(slots=True)
class PendingChanges:
    """Changes that have been checked and are not in the book yet; they count for its bounds."""

    by_number: dict[ChangeNumber, Change] = field(default_factory=dict)
    of_customer: Counter[str] = field(default_factory=Counter)

    def add(self, change: Change) -> None:
        self.by_number[change.number] = change
        if change.customer is not None:
            self.of_customer[change.customer] += 1


class PlanBook:
    """``horizon``: what is older and holds no more has been forgotten. ``upcoming``: whose terms change when.

    Mutable and without a lock: what reads it must not await between two looks that belong together.
    """

    def __init__(self, log: ChangeLog | None = None, horizon: int = 0) -> None:
        self.log: ChangeLog = MemoryLog() if log is None else log
        self.horizon = horizon
        self.keys = RecentKeys()
        self.upcoming = Boundaries()
        self.newest: ChangeNumber | None = None  # of all that were ever added

    @staticmethod
    def replay(changes: Iterable[Change], horizon: int = 0) -> PlanBook:
        """A book of plain objects: for few changes."""
        book = PlanBook(horizon=horizon)
        for change in changes:
            book.add(change)
        return book

    def __len__(self) -> int:
        return len(self.log)

    def get(self, number: ChangeNumber) -> Change | None:
        return self.log.get(number)

    def add(self, change: Change) -> bool:
        """One more change; False if it is there already. ``ChangeRefused`` if it contradicts the book."""
        if not self.log.add(change):
            return False
        self.keys.note(change)
        if self.newest is None or change.number > self.newest:
            self.newest = change.number
        return True

    def index_loaded(self, change: Change, now: int) -> None:
        """Note the key and the times to come of a change that the log had before this book."""
        self.keys.note(change)
        for boundary in change.boundaries():
            if boundary > now:
                self.upcoming.watch_earlier(change.customer or EVERYONE, boundary)

    def is_new(self, change: Change) -> bool:
        """Whether the book lacks a change. ``ChangeRefused``: its number is another's."""
        known = self.get(change.number)
        if known is not None and known != change:
            raise ChangeRefused(f"change {change.number} is another one here", 409)
        return known is None

    def check_room(self, change: Change, pending: PendingChanges | None = None) -> None:
        """``ChangeRefused`` at a bound. The bounds hold for what others made too."""
        more = pending or PendingChanges()
        waiting = len(more.by_number)
        if len(self) + waiting >= MAX_CHANGES:
            raise ChangeRefused(f"the book is full: {MAX_CHANGES} changes", 507)
        if not self.log.has_room(waiting + 1):
            raise ChangeRefused("the book is full: there is no room for the bytes of another change", 507)
        if change.customer is not None:
            held_now = len(self.log.of_customer(change.customer)) + more.of_customer[change.customer]
            if held_now >= MAX_CHANGES_PER_CUSTOMER:
                raise ChangeRefused(f"customer {change.customer} has {MAX_CHANGES_PER_CUSTOMER} changes", 507)

    def find_by_key(self, key: str) -> Change | None:
        """The change that a request with this key made, if it is among the newest with a key."""
        found = self.keys.find(key)
        if found is None:
            return None
        change = next((c for c in self.log.of_customer(found[1] or None) if c.number == found[0]), None)
        return change if change is not None and change.key == key else None

    def of_customer(self, customer: str) -> list[Change]:
        """All that concerns one customer, in order of number."""
        return merge_changes(self.log.of_customer(customer), self.log.of_customer(None))

    def effective_plan(self, customer: str, at: int) -> EffectivePlan | None:
        """What holds for a customer at that time; None if this book never changed anything for it by then."""
        own = self.log.of_customer(customer)
        return effective_plan_of(merge_changes(own, self.log.of_customer(None)), at) if own else None

    def next_boundary(self, customer: str, after: int) -> int | None:
        """When this customer's standing may change next."""
        return first_boundary(self.of_customer(customer), after)

    def watch(self, customer: str | None, at: int) -> None:
        """Bring ``upcoming`` up to date for one customer, or for the changes of all."""
        self.upcoming.watch(customer or EVERYONE, first_boundary(self.log.of_customer(customer), at))

    def customers_of_part(self, place: int) -> dict[str, list[Change]]:
        """The changes that concern each customer of a part of the log."""
        everyones = self.log.of_customer(None)
        own: dict[str, list[Change]] = {}
        for change in self.log.part(place):
            if change.customer is not None:
                own.setdefault(change.customer, []).append(change)
        return {customer: merge_changes(changes, everyones) for customer, changes in own.items()}

    def forget(self, changes: Sequence[Change], horizon: int) -> None:
        """Go on without these, which ``ExpirySweep`` found for that horizon.

        From then on nothing before the horizon can be cancelled or rolled back to: ``check_admissible``
        refuses it.
        """
        self.log.discard(changes)
        self.horizon = max(self.horizon, horizon)

    def check_admissible(self, change: Change) -> None:
        """Whether a change may be made here and now; ``ChangeRefused`` says why not.

        A change that another ingress has made is taken as it stands: it was admissible there.
        """
        act = change.act
        if change.stamp < self.horizon:
            raise ChangeRefused(f"stamp: this book goes back to {self.horizon} only", 410)
        self.check_room(change)
        if isinstance(act, Cancel):
            number = ChangeNumber.parse(act.number)
            target = self.get(number)
            if target is None or target.customer != act.customer or number.stamp < self.horizon:
                raise ChangeRefused(f"act.number: no change {number} of customer {act.customer}", 404)
            if not isinstance(target.act, SetPlan | Reserve):
                raise ChangeRefused("act.number: only a plan or a reservation can be cancelled")
            if number >= change.number:
                raise ChangeRefused("act.number: names a later change", 409)
        if isinstance(act, Rollback):
            to = ChangeNumber.parse(act.to)
            if to.stamp < self.horizon:
                raise ChangeRefused(f"act.to: this book goes back to {self.horizon} only", 410)
            if to >= change.number:
                raise ChangeRefused("act.to: names a later change", 409)

    def digest(self) -> str:
        """Equal where two books hold the same changes."""
        return self.log.digest()


def merge_changes(own: list[Change], everyones: list[Change]) -> list[Change]:
    """Both in order of number."""
    return sorted([*own, *everyones], key=lambda change: change.number) if everyones else own


def active_changes(changes: Sequence[Change], at: int) -> list[Change]:
    """The entries that no cancel or rollback in effect at that time has voided, the latest first.

    ``changes``: all that concern one customer, in order of number. Latest first also settles a rollback of a
    rollback: the earlier one is void before it is looked at.
    """
    floor: ChangeNumber | None = None
    cancelled: set[ChangeNumber] = set()
    live: list[Change] = []
    for change in reversed(changes):
        act = change.act
        if floor is not None and change.number > floor:
            continue
        if isinstance(act, Rollback):
            if act.effective <= at:
                to = ChangeNumber.parse(act.to)
                floor = to if floor is None else min(floor, to)
        elif isinstance(act, Cancel):
            if act.effective <= at:
                cancelled.add(ChangeNumber.parse(act.number))
        elif change.number not in cancelled:
            live.append(change)
    return live


def effective_plan_of(changes: Sequence[Change], at: int) -> EffectivePlan | None:
    """What all changes that concern a customer say of it at that time; None: nothing by then.

    Of several plans the one that took effect last holds, and of two at the same time the one with the higher
    number: two operators at once end with one result, everywhere the same.
    """
    past = [time for change in changes for time in change.boundaries() if time <= at]
    if not past:
        return None
    entry: Change | None = None
    best: tuple[int, ChangeNumber] | None = None
    reservations = []
    for change in active_changes(changes, at):
        act = change.act
        if isinstance(act, SetPlan) and act.effective <= at and not 0 < act.until <= at:
            rank = (act.effective, change.number)
            if best is None or rank > best:
                entry, best = change, rank
        elif isinstance(act, Reserve) and act.starts <= at < act.ends:
            reservations.append(change)
    return EffectivePlan(entry, tuple(sorted(reservations, key=lambda c: c.number)), max(past))


def first_boundary(changes: Iterable[Change], after: int) -> int | None:
    """The first time after that one at which one of these changes may change terms."""
    return min(
        (time for change in changes for time in change.boundaries() if time > after),
        default=None,
    )


def differences(
    old: PlanBook, new: PlanBook, at: int
) -> Iterator[tuple[str, EffectivePlan | None, EffectivePlan | None]]:
    """The customers for whom two books say something else at that time, and what. For small books."""
    names = {
        name
        for book in (old, new)
        for place in range(book.log.parts)
        for name in customers_in_part(book, place)
    }
    for customer in sorted(names):
        before, after = old.effective_plan(customer, at), new.effective_plan(customer, at)
        if change_numbers(before) != change_numbers(after):
            yield customer, before, after


def customers_in_part(book: PlanBook, place: int) -> Iterator[str]:
    """Who has changes of its own in a part of a book's log, each once."""
    yield from dict.fromkeys(
        change.customer for change in book.log.part(place) if change.customer is not None
    )


def change_numbers(standing: EffectivePlan | None) -> tuple[ChangeNumber | None, tuple[ChangeNumber, ...]]:
    if standing is None:
        return None, ()
    return (
        standing.entry.number if standing.entry else None,
        tuple(change.number for change in standing.reservations),
    )
