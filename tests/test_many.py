"""Many gatekeepers at once, with scripted events, and the failures found when deployments grew."""

from __future__ import annotations

import math
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import replace
from typing import Any

import pytest
from conftest import SAFE, Driver, settings

from gorsefork.decisions import DecisionEngine
from gorsefork.decisions import interface as i
from gorsefork.decisions.state import QuotaMessage

Drive = Callable[..., Driver]
SMALL = i.Plan("small", rate=1.0, burst=4.0, over_cost=0.8)
COUNTER = i.Accounting(counter=True, counter_timeout=0.03)


def fleet(many: int, servers: int, **changes: Any) -> list[Driver]:
    given = [settings(ingresses=many, own_index=me, **changes) for me in range(many)]
    return [Driver(each, servers, seed=me) for me, each in enumerate(given)]


def test_first_choices_of_many_spread_over_equal_servers() -> None:
    chosen: Counter[str] = Counter()
    for d in fleet(200, 20):
        d.ask()
        chosen[d.made(i.StartAttempt)[0].backend] += 1
    assert len(chosen) == 20
    assert max(chosen.values()) <= 3 * 200 / 20


def test_counter_calls_at_a_start_stay_bounded_in_sum() -> None:
    calls = 0
    for d in fleet(200, 10, plans=[SMALL], accounting=COUNTER):
        for n in range(20):
            d.ask(customer=f"c{n}", ingress_count=150)
        d.run(1.0)
        calls += len(d.made(i.AddToCounter))
    assert 200 <= calls <= 200 * 5  # 4000 tries, nobody answers


def test_a_server_just_started_stays_in_its_budget_for_the_sum_of_many() -> None:
    sent = 0
    for d in fleet(100, 10, classes=[SAFE]):
        d.feed(i.BackendList("delta", [i.BackendEntry("s0", started=d.now)]))
        for n in range(2):
            d.ask(customer=f"c{n}")
            d.run(0.5)
        sent += sum(a.backend == "s0" for a in d.made(i.StartAttempt))
    assert sent <= 200 / 10 * 0.2 * 2.0  # a warm one's load x the cold share x the multiple of these settings


def test_rules_hold_with_the_counter_silent_at_all(drive: Drive) -> None:
    for d in fleet(30, 5, plans=[SMALL], accounting=COUNTER):
        for n in range(20):
            d.ask(customer=f"c{n % 3}", ingress_count=30)
            for count in d.made(i.AddToCounter)[-1:]:
                d.feed(i.CounterReply(count.name, "timeout"))
            d.run(0.1)
        d.run(5.0)
        ends = Counter(a.id for a in d.made(i.RejectRequest) + d.made(i.FailRequest))
        assert set(ends) == {f"r{n}" for n in range(1, 21)} and set(ends.values()) == {1}
        assert len({a.id for a in d.made(i.StartAttempt)}) < 20


def test_one_call_claims_and_confirms_where_a_part_rounds_to_nothing(drive: Drive) -> None:
    d = drive(plans=[SMALL], accounting=COUNTER, ingresses=100)
    d.ask(ingress_count=80)
    (count,) = d.made(i.AddToCounter)
    assert count.amount == 1.0 and not d.made(i.StartAttempt)
    d.feed(i.CounterReply(count.name, "ok", 3.0, 0.002))
    assert len(d.made(i.StartAttempt)) == 1 and len(d.made(i.AddToCounter)) == 1


def test_a_span_used_up_refuses_without_asking_again(drive: Drive) -> None:
    d = drive(plans=[SMALL], accounting=COUNTER, ingresses=100)
    d.ask(ingress_count=80)
    d.feed(i.CounterReply(d.made(i.AddToCounter)[0].name, "ok", 5.0, 0.002))
    d.ask(ingress_count=80)
    assert (
        len(d.made(i.RejectRequest)) == 2 and len(d.made(i.AddToCounter)) == 1 and not d.made(i.StartAttempt)
    )


def test_a_small_stream_is_not_held_for_want_of_rounding(drive: Drive) -> None:
    d = drive(ingresses=300, servers=20, classes=[SAFE])
    for _ in range(30):
        for _ in range(4):  # some now and then, in periods that follow each other, answered promptly
            d.ask(customer=f"c{d.ids}")
            assert len(d.made(i.StartAttempt)) == d.ids
            d.run(0.1)
        for sent in d.made(i.StartAttempt)[-4:]:
            d.feed(i.AttemptEnded(sent.id, 0, sent.backend, "ok", 0.15, request_done=True))
        d.run(2.6)


def test_a_suspicion_lapses_so_that_a_mended_server_is_used_again(drive: Drive) -> None:
    d = drive(servers=3, classes=[SAFE])
    used: list[tuple[float, str]] = []
    chance = random.Random(3)
    for n in range(400):
        d.ask(customer=f"c{n}")
        sent = d.made(i.StartAttempt)[-1]
        used.append((d.now - 100.0, sent.backend))
        slow = sent.backend == "s0" and d.now < 110.0
        latency = 2.0 if slow else chance.uniform(0.05, 0.2)
        d.feed(i.AttemptEnded(sent.id, 0, sent.backend, "ok", latency, request_done=True))
        d.run(0.1)
    assert sum(server == "s0" for at, server in used if 2.0 < at < 9.0) <= 3
    assert sum(server == "s0" for at, server in used if at > 25.0) >= 2


def test_full_to_one_plan_leaves_the_server_to_the_others(drive: Drive) -> None:
    d = drive(servers=2, plans=[i.Plan("a"), i.Plan("b")], classes=[SAFE])
    used: dict[int, Counter[str]] = {0: Counter(), 1: Counter()}
    for n in range(60):
        plan = n % 2
        d.ask(customer=f"c{n}", plan_index=plan)
        sent = d.made(i.StartAttempt)[-1]
        if plan == 0 and sent.backend == "s0":
            d.feed(i.AttemptEnded(sent.id, 0, "s0", "full", 0.01))
            again = d.made(i.StartAttempt)[-1]
            assert again.backend == "s1"  # at once, for it never ran
            d.feed(i.AttemptEnded(again.id, 1, "s1", "ok", 0.3, request_done=True))
            used[plan]["turned away"] += 1
        else:
            latency = 0.1 if sent.backend == "s0" else 0.3
            d.feed(i.AttemptEnded(sent.id, 0, sent.backend, "ok", latency, request_done=True))
            used[plan][sent.backend] += 1
        d.run(0.05)
    assert used[0]["turned away"] <= 2
    assert used[1]["s0"] >= 5


def test_an_answer_overdue_at_a_leaving_server_is_moved(drive: Drive) -> None:
    d = drive(servers=2)
    d.ask()
    first = d.made(i.StartAttempt)[0]
    d.feed(i.BackendList("delta", [i.BackendEntry(first.backend, "draining")]))
    d.run(0.9)
    assert first.id in {a.id for a in d.made(i.CancelAttempt)}


def test_no_periods_pass_without_work(drive: Drive) -> None:
    d = drive()
    d.ask()
    sent = d.made(i.StartAttempt)[0]
    d.feed(i.AttemptEnded(sent.id, 0, sent.backend, "ok", 0.1, request_done=True))
    d.run(2.0)
    before = len(d.made(i.SetTimer))
    d.run(60.0)
    assert len(d.made(i.SetTimer)) == before


@pytest.mark.parametrize(("spread", "first"), [(0, 0), (-3, 0), (10**6, 0), (3, 999), (3, -7)])
def test_odd_sets_of_gatekeepers_change_nothing_else(spread: int, first: int) -> None:
    plans = [i.Plan("odd", rate=2.0, burst=6.0, parallel=2, ceiling_rate=2.0, ceiling_burst=9.0)]
    d = Driver(settings(plans=plans, ingresses=5, accounting=COUNTER))
    d.ask(ingress_count=spread, first_ingress=first)
    d.feed(i.PeerMessage(10**9, b"\xff\x00torn"), i.ProbeResult("gone-one", "ok", 0.1, {"rps": -1e30}))
    d.feed(i.ProbeResult("s0", "ok", 0.1, {"waiting": 1e30, "what": 0.0}))
    d.run(5.0)
    assert len(d.made(i.RejectRequest) + d.made(i.FailRequest)) == 1


def test_negative_adds_do_not_upset_the_part() -> None:
    gate = DecisionEngine(settings(plans=[SMALL], accounting=COUNTER), 1)
    account = gate.quota.account_for_request(i.Request("r", 0, 0, "c", 3.0), SMALL, 1.0)
    for _ in range(5):
        account.current_call = (account.epoch_at(1.0), -1.0)
        account.apply_count(0.0, 1.0)
    assert account.own_share > 0.0


POOLED = i.Limits(max_attempts=4, cancel=True, retry_after=True, max_retry_after=2.0, peer_messages=True)
CAPPED = i.Plan("capped", parallel=2)


def pool(many: int, **changes: Any) -> Callable[[int], list[i.Action]]:
    """A set of gatekeepers whose notes arrive at once; asks through one of them, gives all that follows."""
    drivers = fleet(many, 3, limits=POOLED, accounting=COUNTER, **changes)

    def ask(me: int, **given: Any) -> list[i.Action]:
        before = [len(d.log) for d in drivers]
        drivers[me].ask(ingress_count=many, **given)
        told = [0] * many
        while any(told[n] < len(d.made(i.SendToPeer)) for n, d in enumerate(drivers)):
            for n, d in enumerate(drivers):
                for note in d.made(i.SendToPeer)[told[n] :]:
                    told[n] += 1
                    if d.log.index(next(e for e in d.log if e[1] is note)) >= before[n]:
                        drivers[note.peer].feed(i.PeerMessage(n, note.data))
        return [a for n, d in enumerate(drivers) for _, a in d.log[before[n] :]]

    return ask


def test_one_keeper_counts_the_tries_of_a_whole_set() -> None:
    ask = pool(20, plans=[SMALL])
    followed = [ask(n) for n in range(20)]
    sent = [actions for actions in followed if any(isinstance(a, i.StartAttempt) for a in actions)]
    assert len(sent) == 4  # the burst, whoever asks
    refused = [a for actions in followed for a in actions if isinstance(a, i.RejectRequest)]
    assert len(refused) >= 12  # at once; the keeper's own may wait for room
    assert all(0.5 <= a.retry_after <= 2.0 for a in refused)  # a unit comes in a second
    assert sum(isinstance(a, i.AddToCounter) for actions in followed for a in actions) <= 2


def test_a_cap_on_open_tries_is_kept_by_the_set_and_places_come_free() -> None:
    given = [settings(ingresses=8, own_index=me, limits=POOLED, plans=[CAPPED]) for me in range(8)]
    drivers = [Driver(each, 2, seed=me) for me, each in enumerate(given)]
    away(drivers[0], 8)
    customer, keeper = f"c{drivers[0].ids - 1}", drivers[0].made(i.SendToPeer)[0].peer
    asks = [n for n in range(8) if n != keeper][:4]
    words: list[bytes] = []
    for n in asks:
        d, tells = drivers[n], len(drivers[keeper].made(i.SendToPeer))
        if n:
            d.ask(customer=customer, ingress_count=8)
        drivers[keeper].feed(i.PeerMessage(n, d.made(i.SendToPeer)[-1].data))
        d.feed(i.PeerMessage(keeper, drivers[keeper].made(i.SendToPeer)[tells].data))
        words.append(drivers[keeper].made(i.SendToPeer)[tells].data[:1])
    assert words == [b"y", b"y", b"n", b"n"]
    first = drivers[asks[0]]
    sent = first.made(i.StartAttempt)[0]
    first.feed(i.AttemptEnded(sent.id, 0, sent.backend, "ok", 0.1, request_done=True))
    drivers[keeper].feed(i.PeerMessage(asks[0], first.made(i.SendToPeer)[-1].data))
    late = drivers[asks[3]]
    late.ask(customer=customer, ingress_count=8)
    drivers[keeper].feed(i.PeerMessage(asks[3], late.made(i.SendToPeer)[-1].data))
    assert drivers[keeper].made(i.SendToPeer)[-1].data[:1] == b"y"


def away(d: Driver, spread: int) -> None:
    """Ask for customers until one is kept elsewhere."""
    while not d.made(i.SendToPeer):
        d.ask(customer=f"c{d.ids}", ingress_count=spread)


def test_a_keeper_that_says_nothing_is_not_waited_for() -> None:
    d = Driver(settings(ingresses=50, limits=POOLED, plans=[SMALL], accounting=COUNTER))
    away(d, 50)
    calls = len(d.made(i.AddToCounter))
    d.run(0.2)
    assert len(d.made(i.AddToCounter)) == calls + 1  # its own claim
    d.feed(i.CounterReply(d.made(i.AddToCounter)[-1].name, "ok", 1.0, 0.002))
    assert d.made(i.StartAttempt)[-1].id == f"r{d.ids}"


def test_a_keepers_no_is_passed_on_at_once_with_its_time() -> None:
    d = Driver(settings(ingresses=50, limits=POOLED, plans=[SMALL], accounting=COUNTER))
    away(d, 50)
    (note,) = d.made(i.SendToPeer)
    asked = QuotaMessage.decode(note.data, 1)
    assert asked is not None
    d.feed(i.PeerMessage(note.peer, asked._replace(kind=b"n", amount=1.0).encode()))
    (refused,) = d.made(i.RejectRequest)
    assert refused.id == f"r{d.ids}" and 0.75 <= refused.retry_after <= 1.25


ODD_NOTES = [
    b"",
    b"y",
    b"\xff" * 18,
    b"a" * 17,
    QuotaMessage(b"a", "00" * 8, 200, 1.0, 1).encode(),
    QuotaMessage(b"a", "00" * 8, 0, math.inf, 1).encode(),
    QuotaMessage(b"?", "00" * 8, 0, 1.0, 1).encode(),
    QuotaMessage(b"y", "00" * 8, 0, 1.0, 9).encode(),
]


@pytest.mark.parametrize("data", ODD_NOTES)
def test_torn_and_foreign_notes_change_nothing(data: bytes) -> None:
    d = Driver(settings(ingresses=50, limits=POOLED, plans=[SMALL], accounting=COUNTER))
    before = len(d.log)
    d.feed(i.PeerMessage(3, data), i.PeerMessage(-1, data), i.PeerMessage(10**6, data))
    assert len(d.log) == before


def test_new_connections_that_fail_keep_to_servers_that_answered_of_late() -> None:
    d = Driver(settings(classes=[SAFE], ingresses=100), servers=8)
    for n in range(60):
        d.ask(customer=f"c{n}")
        while d.made(i.StartAttempt)[-1].id == f"r{n + 1}" and d.gate.pending:
            sent = d.made(i.StartAttempt)[-1]
            new = sent.backend not in ("s0", "s1", "s2")
            status: i.Status = "connect_failed" if new and n >= 10 else "ok"
            number = sum(a.id == sent.id for a in d.made(i.StartAttempt)) - 1
            d.feed(i.AttemptEnded(sent.id, number, sent.backend, status, 0.25, request_done=status == "ok"))
        d.run(0.3)
    tried = [a.backend for a in d.made(i.StartAttempt) if int(a.id[1:]) > 10]
    assert sum(server not in ("s0", "s1", "s2") for server in tried) <= 15  # five servers, 15 s: 1 to 3 each
    assert not d.made(i.RejectRequest) and not d.made(i.FailRequest)


def test_a_full_lane_passes_none_after_a_period_without_arrivals() -> None:
    d = Driver(settings(classes=[SAFE], ingresses=300), servers=10)
    d.ask(customer="a")
    for n in range(12):  # nobody answers: one more request every third period
        d.run(0.35)
        d.ask(customer=f"b{n}")
    assert len(d.made(i.StartAttempt)) <= 8  # 4 while prompt, and less as the answers fail to come


def test_what_ends_without_an_answer_lowers_what_may_be_open() -> None:
    def target(status: i.Status) -> float:
        d = Driver(settings(classes=[SAFE], ingresses=300), servers=10)
        for n in range(20):
            d.ask(customer=f"c{n}")
            if d.made(i.StartAttempt)[-1].id == f"r{n + 1}":
                sent = d.made(i.StartAttempt)[-1]
                d.run(1.0)
                d.feed(i.AttemptEnded(sent.id, 0, sent.backend, status, 1.0, request_done=True))
        d.run(0.3)
        return d.gate.capacity.target_open

    assert target("timeout") < 1.0


def test_what_is_given_up_is_answered_at_once_and_never_near_its_deadline() -> None:
    """Spans used up, holds that ended, tries that failed for good: none waits for its deadline."""
    for d in fleet(10, 4, plans=[SMALL, CAPPED], accounting=COUNTER):
        asked: dict[str, float] = {}
        for n in range(60):
            request = d.request(
                customer=f"c{n % 4}", plan_index=n % 2, class_index=n % 3, ingress_count=10, time_left=3.0
            )
            asked[request.id] = d.now
            d.feed(request)
            for sent in d.made(i.StartAttempt)[-1:]:
                d.feed(i.AttemptEnded(sent.id, 0, sent.backend, ("error", "full", "reset")[n % 3], 0.01))
            for count in d.made(i.AddToCounter)[-1:]:
                d.feed(i.CounterReply(count.name, ("ok", "full", "timeout")[n % 3], 4.0, 0.01))
            d.run(0.02)
        d.run(5.0)
        sent_ids = {a.id for a in d.made(i.StartAttempt)}
        ends = [(at, a.id) for at, a in d.log if isinstance(a, i.RejectRequest | i.FailRequest)]
        waited = [at - asked[name] for at, name in ends if name not in sent_ids]
        assert waited and max(waited) <= 0.5 + 0.02  # half the aim: so long it could still be served


def test_the_dearest_waits_get_the_calls_first(drive: Drive) -> None:
    d = drive(plans=[SMALL], accounting=COUNTER, ingresses=60)
    for n in range(12):  # more than the calls of the moment
        d.ask(customer=f"c{n}", class_index=n % 2, ingress_count=60)  # worth 1 and 5
    at_once = len(d.made(i.AddToCounter))
    d.run(0.45)
    quota = DecisionEngine(d.given, 1).quota
    dear = {
        quota.account_for_request(i.Request("x", 0, 0, f"c{n}", 3.0), SMALL, 0.0).tag for n in range(1, 12, 2)
    }
    later = [count.name.partition(".")[0] for count in d.made(i.AddToCounter)[at_once:]]
    assert later and set(later) <= dear
    assert len(later) == len(set(later))  # none asks twice while its call is out


def test_few_gatekeepers_use_all_servers_and_many_a_lasting_few() -> None:
    def used(many: int, servers: int) -> int:
        d = Driver(settings(classes=[SAFE], ingresses=many), servers=servers)
        for n in range(300):
            d.ask(customer=f"c{n}")
            sent = d.made(i.StartAttempt)[-1]
            d.feed(i.AttemptEnded(sent.id, 0, sent.backend, "ok", 0.1, request_done=True))
            d.run(0.05)
        return len({a.backend for a in d.made(i.StartAttempt)})

    assert used(4, 40) == 40
    assert used(300, 90) <= 10


def test_a_lost_note_is_asked_again_and_paid_for_once() -> None:
    given = settings(ingresses=50, limits=POOLED, plans=[SMALL], accounting=COUNTER)
    d = Driver(given)
    away(d, 50)
    first = d.made(i.SendToPeer)[0]
    keeper = Driver(replace(given, own_index=first.peer))
    keeper.feed(i.PeerMessage(0, first.data))  # its word is lost on the way
    d.run(0.07)
    again = d.made(i.SendToPeer)[1]
    assert again == first and not d.made(i.StartAttempt)
    keeper.feed(i.PeerMessage(0, again.data))
    d.feed(i.PeerMessage(first.peer, keeper.made(i.SendToPeer)[-1].data))
    assert d.made(i.StartAttempt)[-1].id == f"r{d.ids}"
    (account,) = keeper.gate.quota.accounts.values()
    assert account.pending == 1.0  # one unit, of two asks
    for serial in range(100):
        keeper.feed(i.PeerMessage(1, QuotaMessage(b"a", account.tag, 0, 0.01, serial).encode()))
    assert len(account.grants) == 32


def test_a_gatekeepers_next_life_asks_with_other_serials() -> None:
    serials: set[int] = set()
    for began in (100.0, 103.0):
        d = Driver(settings(ingresses=50, limits=POOLED, plans=[SMALL], accounting=COUNTER), servers=0)
        d.now = began
        d.feed(i.BackendList("cached", [i.BackendEntry("s0")]))
        for n in range(20):
            d.ask(customer=f"c{n}", ingress_count=50)
        notes = [QuotaMessage.decode(tell.data, 1) for tell in d.made(i.SendToPeer)]
        assert not serials & {note.serial for note in notes if note}
        serials |= {note.serial for note in notes if note}
