"""Tests of the five routing rules, and of faults found since, through the engine's interface."""

from __future__ import annotations

from collections.abc import Callable

import pytest
from conftest import RATED_PLAN, REPEATABLE_CLASS, Driver, settings

from gorsefork.decisions import DecisionEngine
from gorsefork.decisions import interface as i

DriverFactory = Callable[..., Driver]


def final_answers(driver: Driver, request_id: str) -> list[i.Action]:
    return [
        action
        for action in driver.actions_of(i.RejectRequest) + driver.actions_of(i.FailRequest)
        if action.id == request_id
    ]


def test_one_answer_when_nothing_comes_back(make_driver: DriverFactory) -> None:
    driver = make_driver()
    driver.send_request(class_index=1, time_left=1.5)
    driver.run(5.0)
    assert final_answers(driver, "r1") == [i.FailRequest("r1")]
    assert (
        driver.now - 100.0 > 1.5
        and next(t for t, action in driver.log if isinstance(action, i.FailRequest)) <= 101.5
    )
    assert (
        driver.feed(i.AttemptEnded("r1", 0, driver.actions_of(i.StartAttempt)[0].backend, "timeout", 1.5))
        == []
    )


def test_no_server_holds_then_refuses_in_time(make_driver: DriverFactory) -> None:
    driver = make_driver(backends=0)
    driver.feed(i.BackendList("cached", []))
    assert not any(isinstance(action, i.RejectRequest) for action in driver.send_request())
    driver.run(3.0)
    assert len(final_answers(driver, "r1")) == 1 and isinstance(
        final_answers(driver, "r1")[0], i.RejectRequest
    )
    assert not driver.actions_of(i.StartAttempt)


def test_once_is_not_repeated_or_refused_after_it_may_have_run(make_driver: DriverFactory) -> None:
    driver = make_driver()
    sent = [action for action in driver.send_request(class_index=1) if isinstance(action, i.StartAttempt)]
    driver.feed(i.AttemptEnded("r1", 0, sent[0].backend, "reset", 0.1))
    assert len(driver.actions_of(i.StartAttempt)) == 1
    assert final_answers(driver, "r1") == [i.FailRequest("r1")]


def test_once_goes_on_when_it_never_ran(make_driver: DriverFactory) -> None:
    driver = make_driver()
    sent = [action for action in driver.send_request(class_index=1) if isinstance(action, i.StartAttempt)]
    driver.feed(i.AttemptEnded("r1", 0, sent[0].backend, "full", 0.01))
    again = driver.actions_of(i.StartAttempt)
    assert len(again) == 2 and again[1].backend != sent[0].backend


def test_keyed_stays_in_its_cell_and_window(make_driver: DriverFactory) -> None:
    driver = make_driver(backends=4)
    first = next(
        action for action in driver.send_request(class_index=2) if isinstance(action, i.StartAttempt)
    )
    driver.feed(i.AttemptEnded("r1", 0, first.backend, "reset", 0.1))
    second = driver.actions_of(i.StartAttempt)[1]
    assert int(second.backend[1:]) % 2 == int(first.backend[1:]) % 2
    driver.now += 2.1
    driver.feed(i.AttemptEnded("r1", 1, second.backend, "reset", 2.1))
    assert len(driver.actions_of(i.StartAttempt)) == 2
    assert final_answers(driver, "r1") == [i.FailRequest("r1")]


def test_no_second_copy_where_none_is_allowed(make_driver: DriverFactory) -> None:
    driver = make_driver(backends=4)
    driver.send_request()
    driver.run(0.99)
    assert len(driver.actions_of(i.StartAttempt)) == 1


def test_second_copy_where_allowed(make_driver: DriverFactory) -> None:
    driver = make_driver(backends=4, limits=i.Limits(max_attempts=4, cancel=True, hedging=True))
    driver.send_request()
    driver.run(0.99)
    assert len({action.backend for action in driver.actions_of(i.StartAttempt)}) == 2


@pytest.mark.parametrize("state", ["draining", "gone"])
def test_nothing_goes_to_a_draining_or_gone_server(make_driver: DriverFactory, state: i.State) -> None:
    driver = make_driver()
    driver.feed(i.BackendList("delta", [i.BackendEntry("s0", state)]))
    for n in range(20):
        driver.send_request(customer=f"c{n}")
    driver.run(1.0)
    assert driver.actions_of(i.StartAttempt) and {
        action.backend for action in driver.actions_of(i.StartAttempt)
    } == {"s1"}


def test_absent_from_a_complete_list_is_gone(make_driver: DriverFactory) -> None:
    driver = make_driver()
    driver.feed(i.BackendList("full", [i.BackendEntry("s1")]))
    for n in range(20):
        driver.send_request(customer=f"c{n}")
    assert driver.actions_of(i.StartAttempt) and {
        action.backend for action in driver.actions_of(i.StartAttempt)
    } == {"s1"}


def test_cold_server_gets_little(make_driver: DriverFactory) -> None:
    driver = make_driver(backends=3)
    driver.feed(i.BackendList("delta", [i.BackendEntry("s0", started=driver.now)]))
    for n in range(100):
        driver.feed(driver.request(customer=f"c{n}"))
        sent = driver.actions_of(i.StartAttempt)[-1]
        driver.now += 0.01
        driver.feed(i.AttemptEnded(sent.id, 0, sent.backend, "ok", 0.01, request_done=True))
        driver.run(0.0)
    in_slow_start = sum(action.backend == "s0" for action in driver.actions_of(i.StartAttempt))
    fully_started = sum(action.backend != "s0" for action in driver.actions_of(i.StartAttempt)) / 2
    assert in_slow_start <= 0.3 * 2.0 * fully_started


def test_ceiling_holds_with_no_counter(make_driver: DriverFactory) -> None:
    plan = i.Plan("capped", ceiling_rate=2.0, ceiling_burst=8.0, ceiling_slack=1.0)
    driver = make_driver(plans=[plan])
    for _ in range(200):
        driver.send_request(ingress_count=2)
        driver.run(0.05)
    assert 0 < len(driver.actions_of(i.StartAttempt)) <= 8.0 / 2 + 2.0 / 2 * 10.0


def test_quota_is_shared_out_before_the_first_read(make_driver: DriverFactory) -> None:
    driver = make_driver(plans=[RATED_PLAN], accounting=i.Accounting(counter=True))
    for _ in range(20):
        driver.send_request(ingress_count=2)
    assert len(driver.actions_of(i.StartAttempt)) == 4
    assert driver.actions_of(i.AddToCounter)


def test_a_read_total_opens_the_room_that_is_left(make_driver: DriverFactory) -> None:
    driver = make_driver(plans=[RATED_PLAN], accounting=i.Accounting(counter=True))
    for _ in range(20):
        driver.send_request(ingress_count=2)
    for _ in range(3):
        count = driver.actions_of(i.AddToCounter)[-1]
        total = sum(c.amount for c in driver.actions_of(i.AddToCounter) if c.name == count.name)
        driver.feed(i.CounterReply(count.name, "ok", total, 0.003))
    # Of the 8 units in the store, a little more than the last one is kept back.
    assert len(driver.actions_of(i.StartAttempt)) == 6


def test_silent_counter_is_called_less_and_the_share_holds(make_driver: DriverFactory) -> None:
    driver = make_driver(plans=[RATED_PLAN], accounting=i.Accounting(counter=True))
    for _ in range(100):
        driver.send_request(ingress_count=2)
        count = driver.actions_of(i.AddToCounter)
        if count:
            driver.feed(i.CounterReply(count[-1].name, "timeout"))
        driver.run(0.1)
    assert len(driver.actions_of(i.AddToCounter)) < 40
    assert len(driver.actions_of(i.StartAttempt)) <= 4 + 2.0 / 2 * 10.0 + 1


def test_unknown_things_change_nothing(make_driver: DriverFactory) -> None:
    driver = make_driver()
    unknown: list[i.Event] = [
        i.AttemptEnded("x", 0, "s0", "ok"), i.ClientGone("x"),
        i.TimerExpired("d:x"), i.CounterReply("x.0", "ok", 5.0),
        i.ResponseStarted("x", 0, "s0"), i.ProbeResult("x", "ok"),
        i.PeerMessage(3, b"hi"), i.TimerExpired("p:0:x"),
    ]  # fmt: skip
    assert driver.feed(*unknown) == []


def test_settings_that_make_no_sense_are_named() -> None:
    with pytest.raises(ValueError, match="classes"):
        DecisionEngine(settings(classes=[]), 1)
    with pytest.raises(ValueError, match="gatekeepers"):
        DecisionEngine(settings(ingresses=0), 1)
    with pytest.raises(ValueError, match=r"plans\.bad\.rate"):
        DecisionEngine(settings(plans=[i.Plan("bad", rate=-1.0)]), 1)


def test_same_seed_and_events_same_actions(make_driver: DriverFactory) -> None:
    def run_requests() -> list[tuple[float, i.Action]]:
        driver = make_driver(backends=5, plans=[RATED_PLAN])
        for n in range(60):
            driver.send_request(customer=f"c{n % 7}", class_index=n % 3)
            driver.run(0.03)
        return driver.log

    assert run_requests() == run_requests()


def test_a_lull_does_not_throttle(make_driver: DriverFactory) -> None:
    driver = make_driver(classes=[REPEATABLE_CLASS])
    for n in range(80):
        driver.send_request(customer=f"c{n}")
        sent = driver.actions_of(i.StartAttempt)[-1]
        driver.run(0.05)
        driver.feed(i.AttemptEnded(sent.id, 0, sent.backend, "ok", 0.05, request_done=True))
    driver.run(30.0)
    before = len(driver.actions_of(i.StartAttempt))
    for n in range(4):
        driver.send_request(customer=f"d{n}")
    assert len(driver.actions_of(i.StartAttempt)) == before + 4


def test_a_cap_on_open_tries_is_dealt_out_whole_and_not_passed(make_driver: DriverFactory) -> None:
    plan = i.Plan("capped", parallel=3, over_worth=0.2)
    sent = []
    for own_index in range(2):
        driver = make_driver(plans=[plan], ingresses=2, own_index=own_index)
        for _ in range(6):
            driver.send_request(ingress_count=2)
        sent.append(len(driver.actions_of(i.StartAttempt)))
    assert sent == [2, 1]


def test_open_counts_do_not_drift_between_lanes(make_driver: DriverFactory) -> None:
    driver = make_driver(classes=[REPEATABLE_CLASS], backends=4)
    for n in range(40):
        driver.send_request(customer=f"c{n}", units=1.0 + n % 5)
        sent = driver.actions_of(i.StartAttempt)[-1]
        driver.send_request(customer=f"d{n}", units=9.0)
        driver.feed(i.AttemptEnded(sent.id, 0, sent.backend, "ok", 0.01, request_done=True))
        last = driver.actions_of(i.StartAttempt)[-1]
        driver.feed(i.AttemptEnded(last.id, 0, last.backend, "ok", 0.01, request_done=True))
        driver.run(0.05)
    assert (driver.engine.premium.open_attempts, driver.engine.basic.open_attempts) == (0, 0)


def test_a_call_with_little_time_is_given_up_before_half_of_it() -> None:
    """A request held for half of its time left comes too late once the way back to the client is added."""
    engine_settings = settings(plans=[i.Plan("rated", rate=1.0, burst=1.0)])
    for left in (0.4, 1.0, 1.05):
        engine = DecisionEngine(engine_settings, 7)
        engine.handle(0.0, [i.BackendList("cached", [i.BackendEntry("s")])])
        actions = engine.handle(1.0, [i.Request("r", 0, 0, "c", left, units=1.0)])
        holds = [
            action.delay for action in actions if isinstance(action, i.SetTimer) and action.token == "h:r"
        ]
        assert len(holds) == 1 and holds[0] <= 0.45 * left + 1e-9
