"""The plan book: one result whatever the order, and what holds for whom at which time."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from gorsefork.decisions import interface as i
from gorsefork.plans.book import MAX_CHANGES_PER_CUSTOMER, EffectivePlan, PlanBook, differences
from gorsefork.plans.change_feed import MOST_KEPT, ChangeFeed, FeedCursor
from gorsefork.plans.changes import (
    SECOND,
    Act,
    Cancel,
    Change,
    ChangeNumber,
    ChangeRefused,
    HybridClock,
    Reserve,
    Rollback,
    SetPlan,
    validate_act,
)
from gorsefork.plans.contracts import PlanResolver
from gorsefork.plans.expiry import ExpirySweep

A, B = "00000000b4d65521", "00000000b4d65522"
SMALL = i.Plan("small", rate=2.0, burst=6.0, ceiling_rate=6.0, ceiling_burst=20.0)
LARGE = i.Plan("large", rate=20.0, burst=60.0)
OPEN = i.Plan("open")
PLANS = [SMALL, LARGE, OPEN]

settings.register_profile("same", derandomize=True, deadline=None, max_examples=150)
settings.load_profile("same")


def change(stamp: int, act: Act, origin: str = "n0", key: str = "") -> Change:
    return Change(stamp, origin, act, "ana", key=key)


def up(
    stamp: int, at: int, plan: str = "large", customer: str = A, until: int = 0, origin: str = "n0"
) -> Change:
    return change(stamp, SetPlan(customer, plan, at, until), origin)


def all_of(book: PlanBook) -> list[Change]:
    """Every change of a book, in order of number."""
    parts = (change for place in range(book.log.parts) for change in book.log.part(place))
    return sorted([*parts, *book.log.of_customer(None)], key=lambda change: change.number)


def without_old(history: list[Change], horizon: int) -> PlanBook:
    """The book of a history once it has forgotten up to a horizon."""
    book = PlanBook.replay(history)
    forgetting = ExpirySweep(book, horizon)
    for place in range(book.log.parts):
        forgetting.examine_part(place)
    book.forget(forgetting.finish(), horizon)
    return book


def plan_of(standing: EffectivePlan | None) -> str:
    if standing is None or standing.entry is None:
        return ""
    assert isinstance(standing.entry.act, SetPlan)
    return standing.entry.act.plan


times = st.integers(0, 40)
customers = st.sampled_from([A, B])


@st.composite
def acts(draw: st.DrawFn) -> Act:
    kind, customer, at = draw(st.integers(0, 3)), draw(customers), draw(times)
    number = f"{draw(st.integers(1, 30))}@{draw(st.sampled_from(['n0', 'n1']))}"
    if kind == 0:
        plan = draw(st.sampled_from(["small", "large"]))
        return SetPlan(customer, plan, at, draw(st.sampled_from([0, at + 9])))
    if kind == 1:
        return Reserve(customer, 1.0, 2.0, at, at + draw(st.integers(1, 20)))
    if kind == 2:
        return Cancel(customer, number, at)
    return Rollback(number, at, draw(st.sampled_from([None, customer])))


@st.composite
def histories(draw: st.DrawFn) -> list[Change]:
    number = st.tuples(st.integers(1, 30), st.sampled_from(["n0", "n1"]))
    numbers = draw(st.lists(number, unique=True, max_size=14))
    return [change(stamp, draw(acts()), origin) for stamp, origin in numbers]


@given(histories(), st.randoms(use_true_random=False), times)
def test_the_same_changes_in_any_order_say_the_same(history: list[Change], rng: Any, at: int) -> None:
    mixed = [*history, *history[: len(history) // 2]]
    rng.shuffle(mixed)
    one, other = PlanBook.replay(history), PlanBook.replay(mixed)
    assert one.digest() == other.digest() and all_of(one) == all_of(other)
    for customer in (A, B):
        assert one.effective_plan(customer, at) == other.effective_plan(customer, at)
    assert list(differences(one, other, at)) == []


@given(histories(), times)
def test_terms_change_at_boundaries_only(history: list[Change], at: int) -> None:
    book = PlanBook.replay(history)
    for customer in (A, B):
        boundary = book.next_boundary(customer, at)
        for later in range(at, min(60, boundary if boundary is not None else 60)):
            assert book.effective_plan(customer, later) == book.effective_plan(customer, at)


@given(histories(), st.integers(0, 30), times)
def test_what_is_forgotten_changes_nothing_from_the_horizon_on(
    history: list[Change], horizon: int, later: int
) -> None:
    book = PlanBook.replay(history)
    short = without_old(history, horizon)
    assert len(short) <= len(book)
    for customer in (A, B):
        old, new = (
            book.effective_plan(customer, horizon + later),
            short.effective_plan(customer, horizon + later),
        )
        assert plan_of(old) == plan_of(new)
        assert (old.reservations if old else ()) == (new.reservations if new else ())


@given(histories())
def test_a_change_comes_back_from_its_bytes_as_it_was(history: list[Change]) -> None:
    for each in history:
        assert msgspec.msgpack.decode(msgspec.msgpack.encode(each), type=Change) == each
        assert msgspec.json.decode(msgspec.json.encode(each), type=Change) == each


def test_an_entry_holds_from_its_time_to_its_end() -> None:
    book = PlanBook.replay([up(1, 10, until=20), up(2, 15, "small", until=18)])
    assert [plan_of(book.effective_plan(A, at)) for at in (9, 10, 15, 17, 18, 20)] == [
        "",
        "large",
        "small",
        "small",
        "large",
        "",
    ]
    assert book.effective_plan(B, 10) is None


def test_two_operators_in_one_instant_end_in_one_result() -> None:
    one, two = up(5, 10, "large", origin="n0"), up(5, 10, "small", origin="n1")
    for order in ([one, two], [two, one]):
        assert plan_of(PlanBook.replay(order).effective_plan(A, 10)) == "small"  # the higher number


def test_a_change_and_its_rollback_in_flight_at_once() -> None:
    """The rollback may come first: the change that it voids is void when it arrives."""
    first, second = up(1, 0, "small"), up(2, 10)
    back = change(3, Rollback("1@n0", 12, A))
    for order in ([first, second, back], [back, second, first], [first, back, second]):
        book = PlanBook.replay(order)
        plans = [plan_of(book.effective_plan(A, at)) for at in (5, 11, 12, 30)]
        assert plans == ["small", "large", "small", "small"]


def test_a_rollback_of_a_rollback_brings_back_what_it_had_voided() -> None:
    book = PlanBook.replay(
        [up(1, 0, "small"), up(2, 10), change(3, Rollback("1@n0", 12)), change(4, Rollback("2@n0", 20))]
    )
    assert [plan_of(book.effective_plan(A, at)) for at in (11, 12, 20)] == ["large", "small", "large"]


def test_cancelling_one_reservation_leaves_the_other() -> None:
    book = PlanBook.replay(
        [
            change(1, Reserve(A, 1.0, 5.0, 10, 30)),
            change(2, Reserve(A, 2.0, 0.0, 10, 30)),
            change(3, Cancel(A, "1@n0", 20)),
        ]
    )
    for at, numbers in ((10, [1, 2]), (20, [2]), (30, [])):
        standing = book.effective_plan(A, at)
        assert standing is not None and [c.stamp for c in standing.reservations] == numbers


def test_a_book_of_the_changes_up_to_a_number_is_not_changed_by_what_comes_later() -> None:
    book = PlanBook.replay([up(1, 0, "small")])
    before = PlanBook.replay(all_of(book))
    assert book.add(up(2, 0)) and not book.add(up(2, 0))
    assert plan_of(before.effective_plan(A, 5)) == "small" and plan_of(book.effective_plan(A, 5)) == "large"
    up_to = PlanBook.replay(c for c in all_of(book) if c.number <= ChangeNumber(1, "n0"))
    assert plan_of(up_to.effective_plan(A, 5)) == "small"
    assert [c.stamp for c in all_of(book) if c not in all_of(before)] == [2] and len(book) == 2


class TestRefused:
    @pytest.mark.parametrize(
        "act",
        [
            SetPlan(A, "large", 10, 10),
            Reserve(A, 1.0, 0.0, 10, 10),
            Reserve(A, 0.0, 0.0, 1, 2),
            Reserve(A, 1.0, 0.0, 0, 400 * 86_400 * SECOND),
            Cancel(A, "nothing", 1),
            Rollback("1@", 1),
        ],
    )
    def test_what_makes_no_sense(self, act: Act) -> None:
        with pytest.raises(ChangeRefused, match=r"^act\."):
            validate_act(act)

    @pytest.mark.parametrize(
        ("act", "status"),
        [
            (Cancel(B, "1@n0", 9), 404),
            (Cancel(A, "7@n0", 9), 404),
            (Cancel(A, "2@n0", 9), 422),
            (Rollback("99@n0", 9), 409),
        ],
    )
    def test_what_names_the_wrong_change(self, act: Act, status: int) -> None:
        book = PlanBook.replay([up(1, 0), change(2, Cancel(A, "1@n0", 5))])
        with pytest.raises(ChangeRefused) as refused:
            book.check_admissible(change(50, act))
        assert refused.value.status == status

    def test_another_change_under_a_number_that_is_taken(self) -> None:
        book = PlanBook.replay([up(1, 0)])
        with pytest.raises(ChangeRefused):
            book.add(up(1, 0, "small"))
        with pytest.raises(ChangeRefused):
            book.add(up(1, 0, customer=B))
        assert all_of(book) == [up(1, 0)]

    def test_what_is_older_than_the_book_goes_back(self) -> None:
        book = without_old([up(1, 0), up(20, 0)], 10)
        for act in (Rollback("1@n0", 30), Cancel(A, "1@n0", 30)):
            with pytest.raises(ChangeRefused):
                book.check_admissible(change(30, act))

    def test_more_changes_of_one_customer_than_there_is_room_for(self) -> None:
        book = PlanBook.replay(up(n, n) for n in range(1, MAX_CHANGES_PER_CUSTOMER + 1))
        with pytest.raises(ChangeRefused) as refused:
            book.check_admissible(up(9000, 0))
        assert refused.value.status == 507


class TestStamps:
    def test_a_clock_that_steps_back_gives_no_number_twice(self) -> None:
        stamps = HybridClock("n0")
        numbers = [stamps.next(now) for now in (100, 100, 40, 41, 200)]
        assert numbers == sorted(set(numbers))

    def test_a_change_made_after_another_was_heard_comes_after_it(self) -> None:
        stamps = HybridClock("n0")
        stamps.observe(500, now=100)
        assert stamps.next(100) > ChangeNumber(500, "zz")

    def test_a_stamp_from_far_ahead_is_refused_and_poisons_nothing(self) -> None:
        stamps = HybridClock("n0")
        with pytest.raises(ChangeRefused):
            stamps.observe(100 + HybridClock.MAX_AHEAD_US + 1, now=100)
        assert stamps.next(100).stamp == 100


class TestContracts:
    def test_a_customer_the_book_does_not_name_keeps_the_plan_of_the_request(self) -> None:
        assert PlanResolver(PLANS, PlanBook.replay([up(1, 0)])).plan_for(B, 0, 10) is None
        assert PlanResolver(PLANS, PlanBook.replay([up(1, 50)])).plan_for(A, 0, 10) is None

    def test_the_entry_wins_over_the_plan_that_the_request_names(self) -> None:
        terms = PlanResolver(PLANS, PlanBook.replay([up(1, 0)])).plan_for(A, 0, 10)
        assert terms is not None and (terms.name, terms.rate) == ("large", 20.0)

    def test_a_reservation_comes_on_top_and_goes(self) -> None:
        contracts = PlanResolver(PLANS, PlanBook.replay([change(1, Reserve(A, 3.0, 4.0, 10, 20))]))
        terms = [contracts.plan_for(A, 0, at) for at in (10, 19, 20)]
        assert [(t.rate, t.burst) for t in terms if t] == [(5.0, 10.0), (5.0, 10.0), (2.0, 6.0)]
        assert terms[0] is terms[1]
        assert len({t.series for t in terms if t}) == 2

    def test_a_reservation_never_passes_the_ceiling_nor_narrows_an_open_plan(self) -> None:
        contracts = PlanResolver(PLANS, PlanBook.replay([change(1, Reserve(A, 50.0, 50.0, 0, 20))]))
        capped, free = contracts.plan_for(A, 0, 5), contracts.plan_for(A, 2, 5)
        assert capped is not None and (capped.rate, capped.burst) == (6.0, 20.0)
        assert free is not None and (free.rate, free.burst) == (0.0, 0.0)

    def test_a_reservation_that_cannot_be_honoured_is_refused_when_it_is_asked_for(self) -> None:
        contracts = PlanResolver(PLANS, PlanBook.replay([up(1, 0, "small")]))
        assert "ceiling" in contracts.why_unsuitable(Reserve(A, 5.0, 0.0, 5, 9))
        assert contracts.why_unsuitable(Reserve(A, 4.0, 0.0, 5, 9)) == ""
        assert "small, large, open" in contracts.why_unsuitable(SetPlan(A, "none", 5))

    def test_an_unknown_plan_from_elsewhere_leaves_the_request_its_own(self) -> None:
        terms = PlanResolver(PLANS, PlanBook.replay([up(1, 0, "gone")])).plan_for(A, 1, 5)
        assert terms is not None and terms.name == "large"

    def test_each_boundary_is_told_once_and_a_late_change_at_once(self) -> None:
        contracts = PlanResolver(PLANS)
        changes = [up(1, 10, until=30), change(2, Reserve(A, 1.0, 0.0, 20, 40)), up(3, 10, customer=B)]
        for each in changes:
            contracts.book.add(each)
        assert contracts.changed(changes, 5) == [A, B]
        seen = [(at, contracts.due(at)) for at in range(6, 50) if contracts.next_due() == at]
        assert seen == [(10, [A, B]), (20, [A]), (30, [A]), (40, [A])]
        late = change(4, Cancel(A, "2@n0", 25))
        contracts = PlanResolver(PLANS, PlanBook.replay(changes))
        contracts.changed(changes, 22)
        contracts.book.add(late)
        assert contracts.changed([late], 26) == [A]
        terms = contracts.plan_for(A, 0, 26)
        assert terms is not None and terms.rate == 20.0

    @given(histories(), times)
    def test_two_that_know_the_same_name_their_counts_alike(self, history: list[Change], at: int) -> None:
        one, two = (PlanResolver(PLANS, PlanBook.replay(order)) for order in (history, history[::-1]))
        assert one.plan_for(A, 0, at) == two.plan_for(A, 0, at)


class TestSpreading:
    def test_a_fellow_gets_what_it_lacks_in_pages_and_then_nothing(self) -> None:
        changes = [up(n, n) for n in range(1, 451)]
        arrivals, there = ChangeFeed("life", PlanBook()), PlanBook()
        book = PlanBook.replay(changes)
        for each in changes:
            arrivals.add(each)
        follower, pages = FeedCursor("peer"), 0
        while True:
            page = arrivals.page(follower.life, follower.position, book)
            there = PlanBook.replay([*all_of(there), *page.changes])
            follower.heard(page, now=0)
            pages += 1
            if page.position == page.newest:
                break
        assert there.digest() == book.digest() and pages <= 4
        assert arrivals.page(follower.life, follower.position, book).changes == ()

    def test_a_new_life_or_a_position_too_old_is_told_the_whole_book(self) -> None:
        book = PlanBook()
        arrivals = ChangeFeed("life", book)
        book.add(up(1, 0))
        arrivals.add(up(1, 0))
        assert arrivals.page("other", 1, book).whole
        assert not arrivals.page("life", 0, book).whole
        for _ in range(MOST_KEPT):
            arrivals.add(up(1, 0))
        assert arrivals.page("life", 0, book).whole and not arrivals.page("life", 1, book).whole

    def test_a_fellow_that_fails_is_asked_less_and_less_often_up_to_a_bound(self) -> None:
        follower = FeedCursor("peer")
        pauses = []
        for _ in range(12):
            follower.failed("refused", now=0, jitter=1.0)
            pauses.append(follower.ask_at)
        assert pauses == sorted(pauses) and pauses[0] == SECOND // 4 and pauses[-1] == 15 * SECOND
        assert follower.state(0, SECOND) == "unheard"
        follower.heard(ChangeFeed("x", PlanBook()).page("", 0, PlanBook()), now=5)
        assert (follower.ask_at, follower.state(5, SECOND), follower.state(5 + 2 * SECOND, SECOND)) == (
            5,
            "current",
            "stale",
        )
