"""The terms that hold for a call, from the book; and when whose terms change."""

from __future__ import annotations

import heapq
from collections import OrderedDict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace

from gorsefork.decisions import interface as i
from gorsefork.plans.book import Book, Standing
from gorsefork.plans.changes import Change, Reserve, SetPlan

MOST_CACHED = 4096


@dataclass(frozen=True, slots=True)
class Held:
    """Terms with the times between which they hold, first included, last not."""

    terms: i.Plan | None
    since: int
    until: int | None


class Contracts:
    """Resolves calls against one book at a time. ``take`` puts another in its place, whole."""

    def __init__(self, plans: Sequence[i.Plan], book: Book | None = None) -> None:
        self.plans = list(plans)
        self.by_name = {plan.name: plan for plan in plans}
        self.book = book or Book()
        self.cache: OrderedDict[tuple[str, int], Held] = OrderedDict()
        self.ahead: list[tuple[int, str]] = []  # times to come at which a customer's terms may change
        self.watched: dict[str, int] = {}  # the one of them that counts, for each customer

    def take(self, book: Book, changes: Iterable[Change], at: int) -> list[str]:
        """Go over to a book with these changes more; the customers whose terms may be others from now on."""
        self.book = book
        names = {change.customer for change in changes}
        touched = sorted(book.of if None in names else [name for name in names if name is not None])
        for customer in touched:
            for place in range(len(self.plans)):
                self.cache.pop((customer, place), None)
            self.watch(customer, at)
        return touched

    def watch(self, customer: str, at: int) -> None:
        boundary = self.book.next_boundary(customer, at)
        if boundary is None:
            self.watched.pop(customer, None)
        elif self.watched.get(customer) != boundary:
            self.watched[customer] = boundary
            heapq.heappush(self.ahead, (boundary, customer))

    def next_due(self) -> int | None:
        while self.ahead and self.watched.get(self.ahead[0][1]) != self.ahead[0][0]:
            heapq.heappop(self.ahead)
        return self.ahead[0][0] if self.ahead else None

    def due(self, at: int) -> list[str]:
        """The customers whose terms may have changed by now, each once."""
        customers: dict[str, None] = {}
        while (first := self.next_due()) is not None and first <= at:
            _, customer = heapq.heappop(self.ahead)
            customers[customer] = None
            del self.watched[customer]
            self.watch(customer, at)
        return list(customers)

    def terms(self, customer: str, place: int, at: int) -> i.Plan | None:
        """What holds at that time for a call that names the plan at ``place``; None: that plan as it stands.

        The same object as long as it holds: the module compares by identity first.
        """
        if customer not in self.book.of:
            return None
        key = (customer, place)
        known = self.cache.get(key)
        if known is None or not (known.since <= at and (known.until is None or at < known.until)):
            standing = self.book.standing(customer, at)
            terms = None if standing is None else self.resolve(standing, self.plans[place])
            since = 0 if standing is None else standing.since
            known = self.cache[key] = Held(terms, since, self.book.next_boundary(customer, at))
            if len(self.cache) > MOST_CACHED:
                self.cache.popitem(last=False)
        else:
            self.cache.move_to_end(key)
        return known.terms

    def resolve(self, standing: Standing, named: i.Plan) -> i.Plan:
        """An entry's plan, or the one that the call names; and what is reserved on top of it.

        A plan without a quota (rate 0) stays without one: a reservation would only narrow it. The ceiling is
        hard, also for what is reserved: ``misfit`` refuses what would pass it when it is asked for.
        """
        plan = named
        if standing.entry is not None and isinstance(standing.entry.act, SetPlan):
            plan = self.by_name.get(standing.entry.act.plan, named)
        rate, burst = plan.rate, plan.burst
        if plan.rate > 0.0:
            for change in standing.reservations:
                assert isinstance(change.act, Reserve)
                rate, burst = rate + change.act.rate, burst + change.act.burst
            if plan.ceiling_rate > 0.0:
                rate, burst = min(rate, plan.ceiling_rate), min(burst, plan.ceiling_burst)
            rate, burst = max(rate, plan.rate), max(burst, plan.burst)
        return replace(plan, rate=rate, burst=burst, series=standing.series)

    def misfit(self, act: object) -> str:
        """Why an act does not fit the plans of this deployment; empty if it does."""
        if isinstance(act, SetPlan) and act.plan not in self.by_name:
            return f"act.plan: no plan {act.plan!r} here; there are {', '.join(self.by_name)}"
        if isinstance(act, Reserve):
            standing = self.book.standing(act.customer, act.starts)
            name = (
                standing.entry.act.plan
                if standing and standing.entry and isinstance(standing.entry.act, SetPlan)
                else ""
            )
            plan = self.by_name.get(name)
            if plan is not None and plan.ceiling_rate > 0.0 and plan.rate + act.rate > plan.ceiling_rate:
                return (
                    f"act.rate: {plan.rate:g} of plan {plan.name} and {act.rate:g} pass its ceiling of "
                    f"{plan.ceiling_rate:g} units a second"
                )
        return ""
