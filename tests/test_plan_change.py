"""Plan changes during a burst: units that are spent stay spent, at one ingress and over many."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

import pytest
from conftest import Driver, settings

from benchmarks.plan_change import LARGE, SMALL, Arm, World, arms, bound, ceiling_bound
from gorsefork.decisions import interface as i
from gorsefork.decisions.rules import QuotaManager
from gorsefork.decisions.state import AccountTable, QuotaMessage

DriverFactory = Callable[..., Driver]
LOW_PLAN = i.Plan("low", rate=1.0, burst=4.0)
HIGH_PLAN = i.Plan("high", rate=4.0, burst=16.0, series="-1")
COUNTER_ACCOUNTING = i.Accounting(counter=True, settles_usage=True)


def count_sent(driver: Driver) -> int:
    return len({action.id for action in driver.actions_of(i.StartAttempt)})


def count_admitted(driver: Driver, request_count: int, override: i.Plan | None) -> int:
    """Change the plan, send requests, and return how many attempts start, including those that were held."""
    before = count_sent(driver)
    driver.feed(i.PlanOverride("c", override))
    for _ in range(request_count):
        driver.send_request(plan_override=override)
        for send in driver.actions_of(i.StartAttempt)[-1:]:
            driver.feed(i.AttemptEnded(send.id, 0, send.backend, "ok", 0.01, True))
    return count_sent(driver) - before


def test_an_upgrade_gives_what_the_larger_burst_adds_and_not_a_second_burst(
    make_driver: DriverFactory,
) -> None:
    driver = make_driver(backends=20, plans=[LOW_PLAN, HIGH_PLAN])
    assert count_admitted(driver, 20, None) == 4
    assert count_admitted(driver, 40, HIGH_PLAN) == 16 - 4
    assert count_admitted(driver, 20, None) == 0


def test_changing_to_and_fro_gives_nothing(make_driver: DriverFactory) -> None:
    driver = make_driver(backends=20, plans=[LOW_PLAN, HIGH_PLAN])
    assert count_admitted(driver, 20, None) == 4
    for n in range(10):
        driver.feed(i.PlanOverride("c", replace(HIGH_PLAN, series=f"-{n}")))
        driver.feed(i.PlanOverride("c", replace(LOW_PLAN, series=f"-{n}b")))
    assert count_admitted(driver, 20, replace(LOW_PLAN, series="-9b")) == 0


def test_a_downgrade_while_the_store_is_below_nothing_waits_till_the_debt_is_made_good(
    make_driver: DriverFactory,
) -> None:
    driver = make_driver(backends=20, plans=[LOW_PLAN, HIGH_PLAN])
    assert count_admitted(driver, 30, HIGH_PLAN) == 16
    low = replace(LOW_PLAN, series="-2")
    driver.feed(i.PlanOverride("c", low))
    driver.run(12.5)  # 16 are spent, the new burst is 4, and 1 is refilled per second.
    assert count_admitted(driver, 1, low) == 0
    driver.run(3.0)
    assert count_admitted(driver, 4, low) >= 1


def test_a_reservation_that_begins_frees_a_held_call(make_driver: DriverFactory) -> None:
    driver = make_driver(backends=20, plans=[LOW_PLAN, HIGH_PLAN])
    count_admitted(driver, 4, None)
    driver.send_request()
    sent_before = count_sent(driver)
    driver.feed(i.PlanOverride("c", HIGH_PLAN))
    assert count_sent(driver) == sent_before + 1


def test_terms_that_end_while_units_are_unsettled_settle_what_was_taken(make_driver: DriverFactory) -> None:
    driver = make_driver(backends=20, plans=[LOW_PLAN, HIGH_PLAN], accounting=COUNTER_ACCOUNTING)
    driver.send_request(units=4.0, plan_override=HIGH_PLAN)
    driver.feed(i.PlanOverride("c", replace(LOW_PLAN, series="-2")))
    (send,) = driver.actions_of(i.StartAttempt)
    driver.feed(i.AttemptEnded(send.id, 0, send.backend, "ok", 0.01, True, settled_units=1.0))
    assert count_admitted(driver, 20, replace(LOW_PLAN, series="-2")) == 3


def test_the_ceiling_is_not_passed_by_the_sum_of_old_and_new(make_driver: DriverFactory) -> None:
    low = i.Plan("low", rate=50.0, burst=50.0, ceiling_rate=1.0, ceiling_burst=6.0)
    high = replace(low, ceiling_rate=2.0, ceiling_burst=10.0, series="-1")
    driver = make_driver(backends=20, plans=[low])
    driver.run(30.0)
    driver.send_request(plan_override=low)  # The engine starts to count here, with an empty ceiling store.
    driver.run(20.0)
    assert count_admitted(driver, 20, low) == 6
    assert count_admitted(driver, 20, high) == 4
    assert count_admitted(driver, 20, low) == 0


def test_a_plan_without_a_quota_leaves_no_debt_behind(make_driver: DriverFactory) -> None:
    """A plan without a ceiling draws on the ceiling store; the debt would block the next plan for ever."""
    capped = replace(HIGH_PLAN, ceiling_rate=4.0, ceiling_burst=16.0)
    driver = make_driver(backends=40, plans=[i.Plan("open"), HIGH_PLAN])
    assert count_admitted(driver, 30, None) == 30
    assert count_admitted(driver, 30, capped) == 16


def counter_totals(driver: Driver) -> dict[str, float]:
    totals: dict[str, float] = {}
    for count in driver.actions_of(i.AddToCounter):
        totals[count.name] = totals.get(count.name, 0.0) + count.amount
    return totals


def test_a_change_and_its_rollback_within_a_span_read_no_count_twice(make_driver: DriverFactory) -> None:
    driver = make_driver(backends=20, plans=[LOW_PLAN, HIGH_PLAN], accounting=COUNTER_ACCOUNTING, ingresses=2)

    def request_and_count(override: i.Plan) -> None:
        before = len(driver.actions_of(i.AddToCounter))
        driver.send_request(ingress_count=2, plan_override=override)
        driver.run(1.5)
        for count in driver.actions_of(i.AddToCounter)[before:]:
            driver.feed(i.CounterReply(count.name, "ok", counter_totals(driver)[count.name], 0.001))

    request_and_count(replace(LOW_PLAN, burst=40.0, series="-1"))
    account = driver.engine.quota.accounts[AccountTable.customer_tag("c").hex()]
    request_and_count(replace(LOW_PLAN, burst=60.0, series="-2"))
    request_and_count(replace(LOW_PLAN, burst=40.0, series="-3"))
    assert account.level >= 40.0 - 3.0
    assert len({name.partition(".")[0] for name in counter_totals(driver)}) >= 2


def test_a_call_answered_after_the_change_charges_only_what_others_used(make_driver: DriverFactory) -> None:
    driver = make_driver(backends=20, plans=[LOW_PLAN, HIGH_PLAN], accounting=COUNTER_ACCOUNTING, ingresses=2)
    driver.send_request(ingress_count=2)
    driver.run(1.5)
    (count,) = driver.actions_of(i.AddToCounter)
    driver.feed(i.PlanOverride("c", HIGH_PLAN))
    driver.feed(i.CounterReply(count.name, "ok", count.amount + 2.0, 0.001))
    account = driver.engine.quota.accounts[AccountTable.customer_tag("c").hex()]
    assert 16.0 - 1.0 - 2.0 <= account.level <= 16.0 - 2.0


def test_the_keepers_word_on_the_terms_holds_for_those_that_have_not_heard() -> None:
    limits = i.Limits(peer_messages=True)
    tag = AccountTable.customer_tag("c")
    own_index = int.from_bytes(tag, "little") % 8
    driver = Driver(settings(plans=[LOW_PLAN, HIGH_PLAN], ingresses=8, own_index=own_index, limits=limits))
    generous_plan = replace(LOW_PLAN, burst=5.0, series="-1")
    driver.send_request(ingress_count=8, plan_override=generous_plan)
    for serial in range(1, 6):
        driver.feed(i.PeerMessage(7, QuotaMessage(b"a", tag.hex(), 0, 1.0, serial).encode()))
    replies = [QuotaMessage.decode(message.data, 2) for message in driver.actions_of(i.SendToPeer)]
    assert [reply.kind for reply in replies if reply] == [b"y"] * 4 + [b"n"]
    driver.feed(i.PlanOverride("c"))
    driver.feed(i.PeerMessage(7, QuotaMessage(b"a", tag.hex(), 0, 1.0, 9).encode()))
    assert driver.engine.quota.accounts[tag.hex()].plan == LOW_PLAN


@pytest.mark.parametrize("arm", arms(), ids=lambda arm: arm.name)
def test_over_admission_round_a_change_stays_in_the_stated_bound(arm: Arm) -> None:
    for seed in range(3):
        result = World(arm, seed).run()
        assert result.over <= bound(arm, result)
        assert result.ceiling <= ceiling_bound(arm) + 1e-6


def test_a_counter_name_fits_whatever_the_series() -> None:
    driver = Driver(settings(plans=[LOW_PLAN, HIGH_PLAN], accounting=COUNTER_ACCOUNTING, ingresses=2))
    driver.send_request(ingress_count=2, plan_override=replace(HIGH_PLAN, series="-" + "f" * 15))
    driver.run(2.0)
    assert max(len(count.name) for count in driver.actions_of(i.AddToCounter)) <= 64
    assert isinstance(driver.engine.quota, QuotaManager) and SMALL.rate < LARGE.rate


def make_driver_of_twenty(plan: i.Plan = LOW_PLAN) -> Driver:
    """Return one of 20 ingresses of a customer.

    Its own share rounds to zero, so that only counter totals show free units.
    """
    return Driver(settings(plans=[plan, HIGH_PLAN], accounting=COUNTER_ACCOUNTING, ingresses=20))


def test_what_others_count_under_the_new_name_is_charged_in_full() -> None:
    """The total last read under the old counter name must not reduce the charge."""
    plan = i.Plan("low", rate=1.0, burst=60.0)
    driver = Driver(settings(plans=[plan, HIGH_PLAN], accounting=COUNTER_ACCOUNTING, ingresses=2))
    account = None
    for override, total in ((plan, 31.0), (replace(plan, series="-2"), 21.0)):
        driver.send_request(ingress_count=2, plan_override=override)
        driver.run(1.5)
        driver.feed(i.CounterReply(driver.actions_of(i.AddToCounter)[-1].name, "ok", total, 0.001))
        account = driver.engine.quota.accounts[AccountTable.customer_tag("c").hex()]
    assert account is not None and account.level <= 60.0 - 30.0 - 20.0 - 2.0 + 3.0


def test_an_answer_that_crosses_the_change_tells_of_units_that_are_carried() -> None:
    driver = make_driver_of_twenty()
    driver.send_request(ingress_count=20)
    driver.feed(i.PlanOverride("c", replace(LOW_PLAN, series="-2")))
    driver.feed(i.CounterReply(driver.actions_of(i.AddToCounter)[0].name, "ok", 4.0, 0.001))
    assert (
        count_sent(driver) == 1
        and driver.engine.quota.accounts[AccountTable.customer_tag("c").hex()].remaining_carried_units(
            driver.now
        )
        == 4.0
    )
    driver.send_request(ingress_count=20)
    for count in driver.actions_of(i.AddToCounter)[1:]:
        driver.feed(i.CounterReply(count.name, "ok", 1.0, 0.001))
    assert {send.id for send in driver.actions_of(i.StartAttempt)} == {"r1"}


def test_an_add_that_failed_across_the_change_is_charged_once() -> None:
    driver = make_driver_of_twenty()
    driver.send_request(ingress_count=20)
    driver.feed(i.PlanOverride("c", replace(LOW_PLAN, series="-2")))
    account = driver.engine.quota.accounts[AccountTable.customer_tag("c").hex()]
    driver.feed(i.CounterReply(driver.actions_of(i.AddToCounter)[0].name, "full", 0.0, 0.001))
    # The request waits, and none of its units are added.
    assert account.pending + account.carried_units == 0.0


def test_a_try_that_waited_through_the_change_settles_as_it_was_taken(make_driver: DriverFactory) -> None:
    single = i.Plan("single", parallel=1)
    driver = make_driver(backends=20, plans=[single, HIGH_PLAN], accounting=COUNTER_ACCOUNTING)
    driver.send_request()
    driver.send_request(units=14.0)
    driver.feed(i.PlanOverride("c", HIGH_PLAN))
    second = driver.actions_of(i.StartAttempt)[1]
    driver.feed(i.AttemptEnded(second.id, 0, second.backend, "ok", 0.01, True, settled_units=1.0))
    assert count_admitted(driver, 30, HIGH_PLAN) == 16 - 1
