"""Terms that change in the middle of a burst: what is spent stays spent, at one gatekeeper and over many."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

import pytest
from conftest import Driver, settings

from benchmarks.plan_change import LARGE, SMALL, Arm, World, arms, bound, ceiling_bound
from gorsefork.decisions import interface as i
from gorsefork.decisions.rules import QuotaManager
from gorsefork.decisions.state import AccountTable, QuotaMessage

Drive = Callable[..., Driver]
LOW = i.Plan("low", rate=1.0, burst=4.0)
HIGH = i.Plan("high", rate=4.0, burst=16.0, series="-1")
COUNTER = i.Accounting(counter=True, settles_usage=True)


def sends(d: Driver) -> int:
    return len({action.id for action in d.made(i.StartAttempt)})


def burst(d: Driver, many: int, terms: i.Plan | None) -> int:
    """How many of so many tries leave at once, those that waited for the change before them."""
    before = sends(d)
    d.feed(i.PlanOverride("c", terms))
    for _ in range(many):
        d.ask(plan_override=terms)
        for send in d.made(i.StartAttempt)[-1:]:
            d.feed(i.AttemptEnded(send.id, 0, send.backend, "ok", 0.01, True))
    return sends(d) - before


def test_an_upgrade_gives_what_the_larger_burst_adds_and_not_a_second_burst(drive: Drive) -> None:
    d = drive(servers=20, plans=[LOW, HIGH])
    assert burst(d, 20, None) == 4
    assert burst(d, 40, HIGH) == 16 - 4
    assert burst(d, 20, None) == 0


def test_changing_to_and_fro_gives_nothing(drive: Drive) -> None:
    d = drive(servers=20, plans=[LOW, HIGH])
    assert burst(d, 20, None) == 4
    for n in range(10):
        d.feed(i.PlanOverride("c", replace(HIGH, series=f"-{n}")))
        d.feed(i.PlanOverride("c", replace(LOW, series=f"-{n}b")))
    assert burst(d, 20, replace(LOW, series="-9b")) == 0


def test_a_downgrade_while_the_store_is_below_nothing_waits_till_the_debt_is_made_good(drive: Drive) -> None:
    d = drive(servers=20, plans=[LOW, HIGH])
    assert burst(d, 30, HIGH) == 16
    low = replace(LOW, series="-2")
    d.feed(i.PlanOverride("c", low))
    d.run(12.5)  # 16 spent, 4 in the new burst, 1 a second
    assert burst(d, 1, low) == 0
    d.run(3.0)
    assert burst(d, 4, low) >= 1


def test_a_reservation_that_begins_frees_a_held_call(drive: Drive) -> None:
    d = drive(servers=20, plans=[LOW, HIGH])
    burst(d, 4, None)
    d.ask()
    held = sends(d)
    d.feed(i.PlanOverride("c", HIGH))
    assert sends(d) == held + 1


def test_terms_that_end_while_units_are_unsettled_settle_what_was_taken(drive: Drive) -> None:
    d = drive(servers=20, plans=[LOW, HIGH], accounting=COUNTER)
    d.ask(units=4.0, plan_override=HIGH)
    d.feed(i.PlanOverride("c", replace(LOW, series="-2")))
    (send,) = d.made(i.StartAttempt)
    d.feed(i.AttemptEnded(send.id, 0, send.backend, "ok", 0.01, True, settled_units=1.0))
    assert burst(d, 20, replace(LOW, series="-2")) == 3


def test_the_ceiling_is_not_passed_by_the_sum_of_old_and_new(drive: Drive) -> None:
    low = i.Plan("low", rate=50.0, burst=50.0, ceiling_rate=1.0, ceiling_burst=6.0)
    high = replace(low, ceiling_rate=2.0, ceiling_burst=10.0, series="-1")
    d = drive(servers=20, plans=[low])
    d.run(30.0)
    d.ask(plan_override=low)  # the gatekeeper begins here, with an empty ceiling
    d.run(20.0)
    assert burst(d, 20, low) == 6
    assert burst(d, 20, high) == 4
    assert burst(d, 20, low) == 0


def test_a_plan_without_a_quota_leaves_no_debt_behind(drive: Drive) -> None:
    """Its ceiling's store is drawn on though it has none, and would keep the next plan out for ever."""
    capped = replace(HIGH, ceiling_rate=4.0, ceiling_burst=16.0)
    d = drive(servers=40, plans=[i.Plan("open"), HIGH])
    assert burst(d, 30, None) == 30
    assert burst(d, 30, capped) == 16


def counts(d: Driver) -> dict[str, float]:
    totals: dict[str, float] = {}
    for count in d.made(i.AddToCounter):
        totals[count.name] = totals.get(count.name, 0.0) + count.amount
    return totals


def test_a_change_and_its_rollback_within_a_span_read_no_count_twice(drive: Drive) -> None:
    d = drive(servers=20, plans=[LOW, HIGH], accounting=COUNTER, ingresses=2)

    def answer(terms: i.Plan) -> None:
        before = len(d.made(i.AddToCounter))
        d.ask(ingress_count=2, plan_override=terms)
        d.run(1.5)
        for count in d.made(i.AddToCounter)[before:]:
            d.feed(i.CounterReply(count.name, "ok", counts(d)[count.name], 0.001))

    answer(replace(LOW, burst=40.0, series="-1"))
    account = d.gate.quota.accounts[AccountTable.customer_tag("c").hex()]
    answer(replace(LOW, burst=60.0, series="-2"))
    answer(replace(LOW, burst=40.0, series="-3"))
    assert account.level >= 40.0 - 3.0
    assert len({name.partition(".")[0] for name in counts(d)}) >= 2


def test_a_call_answered_after_the_change_charges_only_what_others_used(drive: Drive) -> None:
    d = drive(servers=20, plans=[LOW, HIGH], accounting=COUNTER, ingresses=2)
    d.ask(ingress_count=2)
    d.run(1.5)
    (count,) = d.made(i.AddToCounter)
    d.feed(i.PlanOverride("c", HIGH))
    d.feed(i.CounterReply(count.name, "ok", count.amount + 2.0, 0.001))
    account = d.gate.quota.accounts[AccountTable.customer_tag("c").hex()]
    assert 16.0 - 1.0 - 2.0 <= account.level <= 16.0 - 2.0


def test_the_keepers_word_on_the_terms_holds_for_those_that_have_not_heard() -> None:
    limits = i.Limits(peer_messages=True)
    tag = AccountTable.customer_tag("c")
    me = int.from_bytes(tag, "little") % 8
    d = Driver(settings(plans=[LOW, HIGH], ingresses=8, own_index=me, limits=limits))
    generous = replace(LOW, burst=5.0, series="-1")
    d.ask(ingress_count=8, plan_override=generous)
    for serial in range(1, 6):
        d.feed(i.PeerMessage(7, QuotaMessage(b"a", tag.hex(), 0, 1.0, serial).encode()))
    notes = [QuotaMessage.decode(told.data, 2) for told in d.made(i.SendToPeer)]
    assert [note.kind for note in notes if note] == [b"y"] * 4 + [b"n"]
    d.feed(i.PlanOverride("c"))
    d.feed(i.PeerMessage(7, QuotaMessage(b"a", tag.hex(), 0, 1.0, 9).encode()))
    assert d.gate.quota.accounts[tag.hex()].plan == LOW


@pytest.mark.parametrize("arm", arms(), ids=lambda arm: arm.name)
def test_over_admission_round_a_change_stays_in_the_stated_bound(arm: Arm) -> None:
    for seed in range(3):
        result = World(arm, seed).run()
        assert result.over <= bound(arm, result)
        assert result.ceiling <= ceiling_bound(arm) + 1e-6


def test_a_counter_name_fits_whatever_the_series() -> None:
    d = Driver(settings(plans=[LOW, HIGH], accounting=COUNTER, ingresses=2))
    d.ask(ingress_count=2, plan_override=replace(HIGH, series="-" + "f" * 15))
    d.run(2.0)
    assert max(len(count.name) for count in d.made(i.AddToCounter)) <= 64
    assert isinstance(d.gate.quota, QuotaManager) and SMALL.rate < LARGE.rate


def many(plan: i.Plan = LOW) -> Driver:
    """One of twenty that share a customer: its own part rounds to nothing, only totals tell of room."""
    return Driver(settings(plans=[plan, HIGH], accounting=COUNTER, ingresses=20))


def test_what_others_count_under_the_new_name_is_charged_in_full() -> None:
    """The total last read under the old name must not hide it."""
    plan = i.Plan("low", rate=1.0, burst=60.0)
    d = Driver(settings(plans=[plan, HIGH], accounting=COUNTER, ingresses=2))
    account = None
    for terms, total in ((plan, 31.0), (replace(plan, series="-2"), 21.0)):
        d.ask(ingress_count=2, plan_override=terms)
        d.run(1.5)
        d.feed(i.CounterReply(d.made(i.AddToCounter)[-1].name, "ok", total, 0.001))
        account = d.gate.quota.accounts[AccountTable.customer_tag("c").hex()]
    assert account is not None and account.level <= 60.0 - 30.0 - 20.0 - 2.0 + 3.0


def test_an_answer_that_crosses_the_change_tells_of_units_that_are_carried() -> None:
    d = many()
    d.ask(ingress_count=20)
    d.feed(i.PlanOverride("c", replace(LOW, series="-2")))
    d.feed(i.CounterReply(d.made(i.AddToCounter)[0].name, "ok", 4.0, 0.001))
    assert (
        sends(d) == 1
        and d.gate.quota.accounts[AccountTable.customer_tag("c").hex()].remaining_carried_units(d.now) == 4.0
    )
    d.ask(ingress_count=20)
    for count in d.made(i.AddToCounter)[1:]:
        d.feed(i.CounterReply(count.name, "ok", 1.0, 0.001))
    assert {send.id for send in d.made(i.StartAttempt)} == {"r1"}


def test_an_add_that_failed_across_the_change_is_charged_once() -> None:
    d = many()
    d.ask(ingress_count=20)
    d.feed(i.PlanOverride("c", replace(LOW, series="-2")))
    account = d.gate.quota.accounts[AccountTable.customer_tag("c").hex()]
    d.feed(i.CounterReply(d.made(i.AddToCounter)[0].name, "full", 0.0, 0.001))
    assert account.pending + account.carried_units == 0.0  # it waits, and nothing of it was added


def test_a_try_that_waited_through_the_change_settles_as_it_was_taken(drive: Drive) -> None:
    single = i.Plan("single", parallel=1)
    d = drive(servers=20, plans=[single, HIGH], accounting=COUNTER)
    d.ask()
    d.ask(units=14.0)
    d.feed(i.PlanOverride("c", HIGH))
    second = d.made(i.StartAttempt)[1]
    d.feed(i.AttemptEnded(second.id, 0, second.backend, "ok", 0.01, True, settled_units=1.0))
    assert burst(d, 30, HIGH) == 16 - 1
