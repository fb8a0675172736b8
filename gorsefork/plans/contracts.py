"""The terms that hold for a call, from the book; and when whose terms change."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace

from gorsefork.decisions import interface as i
from gorsefork.plans.book import EffectivePlan, PlanBook, effective_plan_of, first_boundary, merge_changes
from gorsefork.plans.changes import Change, Reserve, SetPlan

MAX_CACHED_PLANS = 4096


@dataclass(frozen=True, slots=True)
class CachedPlan:
    """Terms with the times between which they hold, first included, last not."""

    plan: i.Plan | None
    since: int
    until: int | None


class PlanResolver:
    """Resolves calls against the book. Resolved terms are cached, those of customers it does not name too."""

    def __init__(self, plans: Sequence[i.Plan], book: PlanBook | None = None) -> None:
        self.plans = list(plans)
        self.by_name = {plan.name: plan for plan in plans}
        self.book = PlanBook() if book is None else book
        self.cache: OrderedDict[tuple[str, int], CachedPlan] = OrderedDict()

    def changed(self, changes: Iterable[Change], at: int) -> list[str | None]:
        """Whose terms may be others from now on, as the book has these changes more; ``None``: everyone's."""
        touched = list(dict.fromkeys(change.customer for change in changes))
        for customer in touched:
            self.book.watch(customer, at)
        self.invalidate(touched)
        return touched

    def invalidate(self, customers: Iterable[str | None]) -> None:
        """Resolve anew at the next call."""
        for customer in customers:
            if customer is None:
                self.cache.clear()
            else:
                for place in range(len(self.plans)):
                    self.cache.pop((customer, place), None)

    def next_due(self) -> int | None:
        return self.book.upcoming.first()

    def due(self, at: int) -> list[str | None]:
        """Whose terms may have changed by now, each once; ``None``: everyone's."""
        due: dict[str | None, None] = {}
        while (customer := self.book.upcoming.pop_due(at)) is not None:
            due[customer or None] = None
            self.book.watch(customer or None, at)
        return list(due)

    def plan_for(self, customer: str, place: int, at: int) -> i.Plan | None:
        """What holds at that time for a call that names the plan at ``place``; None: that plan as it stands.

        The same object as long as it holds: the module compares by identity first.
        """
        key = (customer, place)
        known = self.cache.get(key)
        if known is None or not (known.since <= at and (known.until is None or at < known.until)):
            known = self.cache[key] = self.look_up(customer, place, at)
            if len(self.cache) > MAX_CACHED_PLANS:
                self.cache.popitem(last=False)
        else:
            self.cache.move_to_end(key)
        return known.plan

    def look_up(self, customer: str, place: int, at: int) -> CachedPlan:
        own = self.book.log.of_customer(customer)
        if not own:
            return CachedPlan(None, 0, None)
        changes = merge_changes(own, self.book.log.of_customer(None))
        standing = effective_plan_of(changes, at)
        terms = None if standing is None else self.resolve(standing, self.plans[place])
        return CachedPlan(terms, 0 if standing is None else standing.since, first_boundary(changes, at))

    def resolve(self, standing: EffectivePlan, named: i.Plan) -> i.Plan:
        """An entry's plan, or the one that the call names; and what is reserved on top of it.

        A plan without a quota (rate 0) stays without one: a reservation would only narrow it. The ceiling is
        hard, also for what is reserved: ``why_unsuitable`` refuses what would pass it when it is asked for.
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

    def why_unsuitable(self, act: object) -> str:
        """Why an act does not fit the plans of this deployment; empty if it does."""
        if isinstance(act, SetPlan) and act.plan not in self.by_name:
            return f"act.plan: no plan {act.plan!r} here; there are {', '.join(self.by_name)}"
        if isinstance(act, Reserve):
            standing = self.book.effective_plan(act.customer, act.starts)
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
