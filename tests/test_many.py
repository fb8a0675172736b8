"""Tests of many decision engines at once with scripted events, and of faults found as deployments grew."""

from __future__ import annotations

import math
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import replace
from typing import Any

import pytest
from conftest import REPEATABLE_CLASS, Driver, settings

from gorsefork.decisions import DecisionEngine
from gorsefork.decisions import interface as i
from gorsefork.decisions.state import MAX_ACCOUNTS, AccountTable, QuotaMessage

DriverFactory = Callable[..., Driver]
SMALL_PLAN = i.Plan("small", rate=1.0, burst=4.0, over_cost=0.8)
COUNTER_ACCOUNTING = i.Accounting(counter=True, counter_timeout=0.03)


def make_drivers(ingresses: int, backends: int, **changes: Any) -> list[Driver]:
    """Return one driver for each ingress of a set, with its own index as seed."""
    all_settings = [
        settings(ingresses=ingresses, own_index=own_index, **changes) for own_index in range(ingresses)
    ]
    return [Driver(each, backends, seed=own_index) for own_index, each in enumerate(all_settings)]


def test_first_choices_of_many_spread_over_equal_servers() -> None:
    chosen: Counter[str] = Counter()
    for driver in make_drivers(200, 20):
        driver.send_request()
        chosen[driver.actions_of(i.StartAttempt)[0].backend] += 1
    assert len(chosen) == 20
    assert max(chosen.values()) <= 3 * 200 / 20


def test_counter_calls_at_a_start_stay_bounded_in_sum() -> None:
    calls = 0
    for driver in make_drivers(200, 10, plans=[SMALL_PLAN], accounting=COUNTER_ACCOUNTING):
        for n in range(20):
            driver.send_request(customer=f"c{n}", ingress_count=150)
        driver.run(1.0)
        calls += len(driver.actions_of(i.AddToCounter))
    assert 200 <= calls <= 200 * 5  # 4000 requests, and the counter never replies


def test_a_server_just_started_stays_in_its_budget_for_the_sum_of_many() -> None:
    sent = 0
    for driver in make_drivers(100, 10, classes=[REPEATABLE_CLASS]):
        driver.feed(i.BackendList("delta", [i.BackendEntry("s0", started=driver.now)]))
        for n in range(2):
            driver.send_request(customer=f"c{n}")
            driver.run(0.5)
        sent += sum(action.backend == "s0" for action in driver.actions_of(i.StartAttempt))
    assert sent <= 200 / 10 * 0.2 * 2.0  # the load of a fully started backend x cold_share x fall_multiple


def test_rules_hold_with_the_counter_silent_at_all(make_driver: DriverFactory) -> None:
    for driver in make_drivers(30, 5, plans=[SMALL_PLAN], accounting=COUNTER_ACCOUNTING):
        for n in range(20):
            driver.send_request(customer=f"c{n % 3}", ingress_count=30)
            for count in driver.actions_of(i.AddToCounter)[-1:]:
                driver.feed(i.CounterReply(count.name, "timeout"))
            driver.run(0.1)
        driver.run(5.0)
        ends = Counter(
            action.id for action in driver.actions_of(i.RejectRequest) + driver.actions_of(i.FailRequest)
        )
        assert set(ends) == {f"r{n}" for n in range(1, 21)} and set(ends.values()) == {1}
        assert len({action.id for action in driver.actions_of(i.StartAttempt)}) < 20


def test_one_call_claims_and_confirms_where_a_part_rounds_to_nothing(make_driver: DriverFactory) -> None:
    driver = make_driver(plans=[SMALL_PLAN], accounting=COUNTER_ACCOUNTING, ingresses=100)
    driver.send_request(ingress_count=80)
    (count,) = driver.actions_of(i.AddToCounter)
    assert count.amount == 1.0 and not driver.actions_of(i.StartAttempt)
    driver.feed(i.CounterReply(count.name, "ok", 3.0, 0.002))
    assert len(driver.actions_of(i.StartAttempt)) == 1 and len(driver.actions_of(i.AddToCounter)) == 1


def test_a_span_used_up_refuses_without_asking_again(make_driver: DriverFactory) -> None:
    driver = make_driver(plans=[SMALL_PLAN], accounting=COUNTER_ACCOUNTING, ingresses=100)
    driver.send_request(ingress_count=80)
    driver.feed(i.CounterReply(driver.actions_of(i.AddToCounter)[0].name, "ok", 5.0, 0.002))
    driver.send_request(ingress_count=80)
    assert (
        len(driver.actions_of(i.RejectRequest)) == 2
        and len(driver.actions_of(i.AddToCounter)) == 1
        and not driver.actions_of(i.StartAttempt)
    )


def test_a_small_stream_is_not_held_for_want_of_rounding(make_driver: DriverFactory) -> None:
    driver = make_driver(ingresses=300, backends=20, classes=[REPEATABLE_CLASS])
    for _ in range(30):
        for _ in range(4):  # A few in consecutive periods, answered promptly.
            driver.send_request(customer=f"c{driver.request_count}")
            assert len(driver.actions_of(i.StartAttempt)) == driver.request_count
            driver.run(0.1)
        for sent in driver.actions_of(i.StartAttempt)[-4:]:
            driver.feed(i.AttemptEnded(sent.id, 0, sent.backend, "ok", 0.15, request_done=True))
        driver.run(2.6)


def test_a_suspicion_lapses_so_that_a_mended_server_is_used_again(make_driver: DriverFactory) -> None:
    driver = make_driver(backends=3, classes=[REPEATABLE_CLASS])
    used: list[tuple[float, str]] = []
    rng = random.Random(3)
    for n in range(400):
        driver.send_request(customer=f"c{n}")
        sent = driver.actions_of(i.StartAttempt)[-1]
        used.append((driver.now - 100.0, sent.backend))
        slow = sent.backend == "s0" and driver.now < 110.0
        latency = 2.0 if slow else rng.uniform(0.05, 0.2)
        driver.feed(i.AttemptEnded(sent.id, 0, sent.backend, "ok", latency, request_done=True))
        driver.run(0.1)
    assert sum(backend == "s0" for at, backend in used if 2.0 < at < 9.0) <= 3
    assert sum(backend == "s0" for at, backend in used if at > 25.0) >= 2


def test_full_to_one_plan_leaves_the_server_to_the_others(make_driver: DriverFactory) -> None:
    driver = make_driver(backends=2, plans=[i.Plan("a"), i.Plan("b")], classes=[REPEATABLE_CLASS])
    used: dict[int, Counter[str]] = {0: Counter(), 1: Counter()}
    for n in range(60):
        plan = n % 2
        driver.send_request(customer=f"c{n}", plan_index=plan)
        sent = driver.actions_of(i.StartAttempt)[-1]
        if plan == 0 and sent.backend == "s0":
            driver.feed(i.AttemptEnded(sent.id, 0, "s0", "full", 0.01))
            again = driver.actions_of(i.StartAttempt)[-1]
            assert again.backend == "s1"  # At once, because the attempt never ran.
            driver.feed(i.AttemptEnded(again.id, 1, "s1", "ok", 0.3, request_done=True))
            used[plan]["turned away"] += 1
        else:
            latency = 0.1 if sent.backend == "s0" else 0.3
            driver.feed(i.AttemptEnded(sent.id, 0, sent.backend, "ok", latency, request_done=True))
            used[plan][sent.backend] += 1
        driver.run(0.05)
    assert used[0]["turned away"] <= 2
    assert used[1]["s0"] >= 5


def test_an_answer_overdue_at_a_leaving_server_is_moved(make_driver: DriverFactory) -> None:
    driver = make_driver(backends=2)
    driver.send_request()
    first = driver.actions_of(i.StartAttempt)[0]
    driver.feed(i.BackendList("delta", [i.BackendEntry(first.backend, "draining")]))
    driver.run(0.9)
    assert first.id in {action.id for action in driver.actions_of(i.CancelAttempt)}


def test_no_periods_pass_without_work(make_driver: DriverFactory) -> None:
    driver = make_driver()
    driver.send_request()
    sent = driver.actions_of(i.StartAttempt)[0]
    driver.feed(i.AttemptEnded(sent.id, 0, sent.backend, "ok", 0.1, request_done=True))
    driver.run(2.0)
    before = len(driver.actions_of(i.SetTimer))
    driver.run(60.0)
    assert len(driver.actions_of(i.SetTimer)) == before


@pytest.mark.parametrize(("ingress_count", "first_ingress"), [(0, 0), (-3, 0), (10**6, 0), (3, 999), (3, -7)])
def test_odd_sets_of_gatekeepers_change_nothing_else(ingress_count: int, first_ingress: int) -> None:
    plans = [i.Plan("odd", rate=2.0, burst=6.0, parallel=2, ceiling_rate=2.0, ceiling_burst=9.0)]
    driver = Driver(settings(plans=plans, ingresses=5, accounting=COUNTER_ACCOUNTING))
    driver.send_request(ingress_count=ingress_count, first_ingress=first_ingress)
    driver.feed(i.PeerMessage(10**9, b"\xff\x00torn"), i.ProbeResult("gone-one", "ok", 0.1, {"rps": -1e30}))
    driver.feed(i.ProbeResult("s0", "ok", 0.1, {"waiting": 1e30, "what": 0.0}))
    driver.run(5.0)
    assert len(driver.actions_of(i.RejectRequest) + driver.actions_of(i.FailRequest)) == 1


def test_negative_adds_do_not_upset_the_part() -> None:
    engine = DecisionEngine(settings(plans=[SMALL_PLAN], accounting=COUNTER_ACCOUNTING), 1)
    account = engine.quota.account_for_request(i.Request("r", 0, 0, "c", 3.0), SMALL_PLAN, 1.0)
    for _ in range(5):
        account.current_call = (account.epoch_at(1.0), -1.0)
        account.apply_count(0.0, 1.0)
    assert account.own_share > 0.0


PEER_LIMITS = i.Limits(max_attempts=4, cancel=True, retry_after=True, max_retry_after=2.0, peer_messages=True)
CAPPED_PLAN = i.Plan("capped", parallel=2)


def make_connected_ingresses(ingresses: int, **changes: Any) -> Callable[[int], list[i.Action]]:
    """Build a set of ingresses whose peer messages arrive at once.

    The returned function sends a request through one of them, by index, and returns the actions that follow
    from it at all of them.
    """
    drivers = make_drivers(ingresses, 3, limits=PEER_LIMITS, accounting=COUNTER_ACCOUNTING, **changes)

    def send_request(own_index: int, **overrides: Any) -> list[i.Action]:
        before = [len(driver.log) for driver in drivers]
        drivers[own_index].send_request(ingress_count=ingresses, **overrides)
        delivered = [0] * ingresses
        while any(delivered[n] < len(driver.actions_of(i.SendToPeer)) for n, driver in enumerate(drivers)):
            for n, driver in enumerate(drivers):
                for message in driver.actions_of(i.SendToPeer)[delivered[n] :]:
                    delivered[n] += 1
                    if driver.log.index(next(e for e in driver.log if e[1] is message)) >= before[n]:
                        drivers[message.peer].feed(i.PeerMessage(n, message.data))
        return [action for n, driver in enumerate(drivers) for _, action in driver.log[before[n] :]]

    return send_request


def test_one_keeper_counts_the_tries_of_a_whole_set() -> None:
    send_request = make_connected_ingresses(20, plans=[SMALL_PLAN])
    followed = [send_request(n) for n in range(20)]
    sent = [actions for actions in followed if any(isinstance(action, i.StartAttempt) for action in actions)]
    assert len(sent) == 4  # The burst, whichever ingresses the requests come through.
    refused = [action for actions in followed for action in actions if isinstance(action, i.RejectRequest)]
    assert len(refused) >= 12  # At once; requests that come through the owner itself may wait.
    assert all(0.5 <= action.retry_after <= 2.0 for action in refused)  # One unit is refilled per second.
    assert sum(isinstance(action, i.AddToCounter) for actions in followed for action in actions) <= 2


def test_a_cap_on_open_tries_is_kept_by_the_set_and_places_come_free() -> None:
    engine_settings = [
        settings(ingresses=8, own_index=own_index, limits=PEER_LIMITS, plans=[CAPPED_PLAN])
        for own_index in range(8)
    ]
    drivers = [Driver(each, 2, seed=own_index) for own_index, each in enumerate(engine_settings)]
    send_until_owned_elsewhere(drivers[0], 8)
    customer, owner = f"c{drivers[0].request_count - 1}", drivers[0].actions_of(i.SendToPeer)[0].peer
    requesters = [n for n in range(8) if n != owner][:4]
    replies: list[bytes] = []
    for n in requesters:
        driver, sent_before = drivers[n], len(drivers[owner].actions_of(i.SendToPeer))
        if n:
            driver.send_request(customer=customer, ingress_count=8)
        drivers[owner].feed(i.PeerMessage(n, driver.actions_of(i.SendToPeer)[-1].data))
        driver.feed(i.PeerMessage(owner, drivers[owner].actions_of(i.SendToPeer)[sent_before].data))
        replies.append(drivers[owner].actions_of(i.SendToPeer)[sent_before].data[:1])
    assert replies == [b"y", b"y", b"n", b"n"]
    first = drivers[requesters[0]]
    sent = first.actions_of(i.StartAttempt)[0]
    first.feed(i.AttemptEnded(sent.id, 0, sent.backend, "ok", 0.1, request_done=True))
    drivers[owner].feed(i.PeerMessage(requesters[0], first.actions_of(i.SendToPeer)[-1].data))
    last = drivers[requesters[3]]
    last.send_request(customer=customer, ingress_count=8)
    drivers[owner].feed(i.PeerMessage(requesters[3], last.actions_of(i.SendToPeer)[-1].data))
    assert drivers[owner].actions_of(i.SendToPeer)[-1].data[:1] == b"y"


def send_until_owned_elsewhere(driver: Driver, ingress_count: int) -> None:
    """Send requests of new customers until the account of one is owned by a peer."""
    while not driver.actions_of(i.SendToPeer):
        driver.send_request(customer=f"c{driver.request_count}", ingress_count=ingress_count)


def test_a_keeper_that_says_nothing_is_not_waited_for() -> None:
    driver = Driver(
        settings(ingresses=50, limits=PEER_LIMITS, plans=[SMALL_PLAN], accounting=COUNTER_ACCOUNTING)
    )
    send_until_owned_elsewhere(driver, 50)
    calls = len(driver.actions_of(i.AddToCounter))
    driver.run(0.2)
    assert len(driver.actions_of(i.AddToCounter)) == calls + 1  # It claims the unit itself.
    driver.feed(i.CounterReply(driver.actions_of(i.AddToCounter)[-1].name, "ok", 1.0, 0.002))
    assert driver.actions_of(i.StartAttempt)[-1].id == f"r{driver.request_count}"


def test_a_keepers_no_is_passed_on_at_once_with_its_time() -> None:
    driver = Driver(
        settings(ingresses=50, limits=PEER_LIMITS, plans=[SMALL_PLAN], accounting=COUNTER_ACCOUNTING)
    )
    send_until_owned_elsewhere(driver, 50)
    (message,) = driver.actions_of(i.SendToPeer)
    query = QuotaMessage.decode(message.data, 1)
    assert query is not None
    driver.feed(i.PeerMessage(message.peer, query._replace(kind=b"n", amount=1.0).encode()))
    (refused,) = driver.actions_of(i.RejectRequest)
    assert refused.id == f"r{driver.request_count}" and 0.75 <= refused.retry_after <= 1.25


MALFORMED_MESSAGES = [
    b"",
    b"y",
    b"\xff" * 18,
    b"a" * 17,
    QuotaMessage(b"a", "00" * 8, 200, 1.0, 1).encode(),
    QuotaMessage(b"a", "00" * 8, 0, math.inf, 1).encode(),
    QuotaMessage(b"?", "00" * 8, 0, 1.0, 1).encode(),
    QuotaMessage(b"y", "00" * 8, 0, 1.0, 9).encode(),
]


@pytest.mark.parametrize("data", MALFORMED_MESSAGES)
def test_torn_and_foreign_notes_change_nothing(data: bytes) -> None:
    driver = Driver(
        settings(ingresses=50, limits=PEER_LIMITS, plans=[SMALL_PLAN], accounting=COUNTER_ACCOUNTING)
    )
    before = len(driver.log)
    driver.feed(i.PeerMessage(3, data), i.PeerMessage(-1, data), i.PeerMessage(10**6, data))
    assert len(driver.log) == before


def test_new_connections_that_fail_keep_to_servers_that_answered_of_late() -> None:
    driver = Driver(settings(classes=[REPEATABLE_CLASS], ingresses=100), backends=8)
    for n in range(60):
        driver.send_request(customer=f"c{n}")
        while driver.actions_of(i.StartAttempt)[-1].id == f"r{n + 1}" and driver.engine.pending:
            sent = driver.actions_of(i.StartAttempt)[-1]
            new = sent.backend not in ("s0", "s1", "s2")
            status: i.Status = "connect_failed" if new and n >= 10 else "ok"
            number = sum(action.id == sent.id for action in driver.actions_of(i.StartAttempt)) - 1
            driver.feed(
                i.AttemptEnded(sent.id, number, sent.backend, status, 0.25, request_done=status == "ok")
            )
        driver.run(0.3)
    tried = [action.backend for action in driver.actions_of(i.StartAttempt) if int(action.id[1:]) > 10]
    # Five backends in 15 s: 1 to 3 attempts each.
    assert sum(backend not in ("s0", "s1", "s2") for backend in tried) <= 15
    assert not driver.actions_of(i.RejectRequest) and not driver.actions_of(i.FailRequest)


def test_a_full_lane_passes_none_after_a_period_without_arrivals() -> None:
    driver = Driver(settings(classes=[REPEATABLE_CLASS], ingresses=300), backends=10)
    driver.send_request(customer="a")
    for n in range(12):  # No attempt is answered; a request comes every third period.
        driver.run(0.35)
        driver.send_request(customer=f"b{n}")
    # 4 while answers are prompt, and fewer as they fail to come.
    assert len(driver.actions_of(i.StartAttempt)) <= 8


def test_what_ends_without_an_answer_lowers_what_may_be_open() -> None:
    def target(status: i.Status) -> float:
        driver = Driver(settings(classes=[REPEATABLE_CLASS], ingresses=300), backends=10)
        for n in range(20):
            driver.send_request(customer=f"c{n}")
            if driver.actions_of(i.StartAttempt)[-1].id == f"r{n + 1}":
                sent = driver.actions_of(i.StartAttempt)[-1]
                driver.run(1.0)
                driver.feed(i.AttemptEnded(sent.id, 0, sent.backend, status, 1.0, request_done=True))
        driver.run(0.3)
        return driver.engine.capacity.target_open

    assert target("timeout") < 1.0


def test_what_is_given_up_is_answered_at_once_and_never_near_its_deadline() -> None:
    """Requests with a used-up count span, an ended hold or failed attempts are answered at once."""
    for driver in make_drivers(10, 4, plans=[SMALL_PLAN, CAPPED_PLAN], accounting=COUNTER_ACCOUNTING):
        sent_at: dict[str, float] = {}
        for n in range(60):
            request = driver.request(
                customer=f"c{n % 4}", plan_index=n % 2, class_index=n % 3, ingress_count=10, time_left=3.0
            )
            sent_at[request.id] = driver.now
            driver.feed(request)
            for sent in driver.actions_of(i.StartAttempt)[-1:]:
                driver.feed(i.AttemptEnded(sent.id, 0, sent.backend, ("error", "full", "reset")[n % 3], 0.01))
            for count in driver.actions_of(i.AddToCounter)[-1:]:
                driver.feed(i.CounterReply(count.name, ("ok", "full", "timeout")[n % 3], 4.0, 0.01))
            driver.run(0.02)
        driver.run(5.0)
        sent_ids = {action.id for action in driver.actions_of(i.StartAttempt)}
        ends = [
            (at, action.id)
            for at, action in driver.log
            if isinstance(action, i.RejectRequest | i.FailRequest)
        ]
        waited = [at - sent_at[name] for at, name in ends if name not in sent_ids]
        assert waited and max(waited) <= 0.5 + 0.02  # Up to half the aim it could still be served.


def test_the_dearest_waits_get_the_calls_first(make_driver: DriverFactory) -> None:
    driver = make_driver(plans=[SMALL_PLAN], accounting=COUNTER_ACCOUNTING, ingresses=60)
    for n in range(12):  # More than the counter calls that are allowed at once.
        driver.send_request(customer=f"c{n}", class_index=n % 2, ingress_count=60)  # Worth 1 and 5.
    at_once = len(driver.actions_of(i.AddToCounter))
    driver.run(0.45)
    quota = DecisionEngine(driver.settings, 1).quota
    valuable_tags = {
        quota.account_for_request(i.Request("x", 0, 0, f"c{n}", 3.0), SMALL_PLAN, 0.0).tag
        for n in range(1, 12, 2)
    }
    later = [count.name.partition(".")[0] for count in driver.actions_of(i.AddToCounter)[at_once:]]
    assert later and set(later) <= valuable_tags
    assert len(later) == len(set(later))  # No account calls again while its call is open.


def test_few_gatekeepers_use_all_servers_and_many_a_lasting_few() -> None:
    def count_used(ingresses: int, backends: int) -> int:
        driver = Driver(settings(classes=[REPEATABLE_CLASS], ingresses=ingresses), backends=backends)
        for n in range(300):
            driver.send_request(customer=f"c{n}")
            sent = driver.actions_of(i.StartAttempt)[-1]
            driver.feed(i.AttemptEnded(sent.id, 0, sent.backend, "ok", 0.1, request_done=True))
            driver.run(0.05)
        return len({action.backend for action in driver.actions_of(i.StartAttempt)})

    assert count_used(4, 40) == 40
    assert count_used(300, 90) <= 10


def test_a_lost_note_is_asked_again_and_paid_for_once() -> None:
    engine_settings = settings(
        ingresses=50, limits=PEER_LIMITS, plans=[SMALL_PLAN], accounting=COUNTER_ACCOUNTING
    )
    driver = Driver(engine_settings)
    send_until_owned_elsewhere(driver, 50)
    first = driver.actions_of(i.SendToPeer)[0]
    owner = Driver(replace(engine_settings, own_index=first.peer))
    owner.feed(i.PeerMessage(0, first.data))  # The owner's reply is lost on the way.
    driver.run(0.07)
    again = driver.actions_of(i.SendToPeer)[1]
    assert again == first and not driver.actions_of(i.StartAttempt)
    owner.feed(i.PeerMessage(0, again.data))
    driver.feed(i.PeerMessage(first.peer, owner.actions_of(i.SendToPeer)[-1].data))
    assert driver.actions_of(i.StartAttempt)[-1].id == f"r{driver.request_count}"
    (account,) = owner.engine.quota.accounts.values()
    assert account.pending == 1.0  # One unit for both messages.
    for serial in range(100):
        owner.feed(i.PeerMessage(1, QuotaMessage(b"a", account.tag, 0, 0.01, serial).encode()))
    assert len(account.grants) == 32


def test_a_gatekeepers_next_life_asks_with_other_serials() -> None:
    serials: set[int] = set()
    for start_time in (100.0, 103.0):
        driver = Driver(
            settings(ingresses=50, limits=PEER_LIMITS, plans=[SMALL_PLAN], accounting=COUNTER_ACCOUNTING),
            backends=0,
        )
        driver.now = start_time
        driver.feed(i.BackendList("cached", [i.BackendEntry("s0")]))
        for n in range(20):
            driver.send_request(customer=f"c{n}", ingress_count=50)
        messages = [QuotaMessage.decode(message.data, 1) for message in driver.actions_of(i.SendToPeer)]
        assert not serials & {message.serial for message in messages if message}
        serials |= {message.serial for message in messages if message}


class TestAccounts:
    """Requests under ever new names."""

    def test_their_accounts_are_bounded_and_a_customer_at_its_ceiling_keeps_its_own(
        self, make_driver: Callable[..., Any]
    ) -> None:
        """Guards against memory that grows with each name (issue 54 b), and a ceiling that begins anew."""
        capped = i.Plan("capped", rate=2.0, burst=8.0, ceiling_rate=1.0, ceiling_burst=4.0)
        driver = make_driver(plans=[i.Plan("open"), capped])
        driver.run(10.0)
        driver.send_request(customer="drawn", plan_index=1, units=4.0)
        drawn = driver.engine.quota.accounts[AccountTable.customer_tag("drawn").hex()]
        for number in range(MAX_ACCOUNTS + 100):
            request = driver.request(customer=f"new-{number}")
            driver.feed(request)
            driver.feed(i.ClientGone(request.id))
        accounts = driver.engine.quota.accounts
        assert len(accounts) <= MAX_ACCOUNTS
        assert accounts[AccountTable.customer_tag("drawn").hex()] is drawn

    def test_a_new_name_is_refused_where_no_account_may_give_way(
        self, make_driver: Callable[..., Any]
    ) -> None:
        driver = make_driver(backends=0)
        for number in range(MAX_ACCOUNTS):
            driver.send_request(customer=f"waits-{number}")
        (refused,) = driver.send_request(customer="one more")
        assert isinstance(refused, i.RejectRequest)
        assert not any(isinstance(each, i.RejectRequest) for each in driver.send_request(customer="waits-0"))
