"""Which changes a book can do without: what is older than a horizon and can hold neither then nor later.

From a horizon on nothing before it can be cancelled or rolled back to (``PlanBook.check_admissible``), so
that what old
changes say of each other is final, unless a cancel or rollback that reaches back before the horizon is young
itself, or takes effect later. As long as there is one, nothing of its customer is forgotten.
"""

from __future__ import annotations

from collections.abc import Sequence

from gorsefork.plans.book import PlanBook, active_changes
from gorsefork.plans.changes import Cancel, Change, ChangeNumber, Reserve, Rollback, SetPlan


class ExpirySweep:
    """One pass over a book: ``look_at`` each part of its log, then ``finish``."""

    def __init__(self, book: PlanBook, horizon: int) -> None:
        self.book, self.horizon = book, horizon
        self.gone: list[Change] = []
        self.held_back = False  # some customer's old changes stay as they are

    def examine_part(self, place: int) -> None:
        for customer, changes in self.book.customers_of_part(place).items():
            if any(reaches_back(change, self.horizon) for change in changes):
                self.held_back = True
                continue
            kept = may_hold(changes, self.horizon)
            self.gone += [
                change
                for change in changes
                if change.customer == customer and change.stamp < self.horizon and change.number not in kept
            ]

    def finish(self) -> list[Change]:
        """All that can go. A rollback of all goes only when no customer needs it any more."""
        if self.held_back:
            return self.gone
        everyones = self.book.log.of_customer(None)
        return self.gone + [change for change in everyones if change.stamp < self.horizon]


def reaches_back(change: Change, horizon: int) -> bool:
    """Whether a cancel or rollback that is young, or not in effect yet, may void what is older."""
    act = change.act
    if not isinstance(act, Cancel | Rollback) or (change.stamp < horizon and act.effective <= horizon):
        return False
    aim = ChangeNumber.parse(act.number if isinstance(act, Cancel) else act.to)
    return aim.stamp < horizon


def may_hold(changes: Sequence[Change], horizon: int) -> set[ChangeNumber]:
    """The entries older than the horizon that may hold at it or later. ``changes`` in order of number."""
    live = active_changes([change for change in changes if change.stamp < horizon], horizon)
    lasting = [
        (change.act.effective, change.number)
        for change in live
        if isinstance(change.act, SetPlan) and change.act.effective <= horizon and not change.act.until
    ]
    best = max(lasting, default=None)  # what holds whenever nothing that is later or for a time does
    kept = set()
    for change in live:
        act = change.act
        if isinstance(act, Reserve):
            holds = act.ends > horizon
        elif isinstance(act, SetPlan):
            ended = 0 < act.until <= horizon
            holds = not ended and (best is None or (act.effective, change.number) >= best)
        else:
            holds = False
        if holds:
            kept.add(change.number)
    return kept
