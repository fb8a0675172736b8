"""The five rules and the failures found, through the module's own interface."""

from __future__ import annotations

from collections.abc import Callable

import pytest
from conftest import RATED, SAFE, Driver, settings

from gorsefork.decisions import DecisionEngine
from gorsefork.decisions import interface as i

Drive = Callable[..., Driver]


def answers(drive: Driver, name: str) -> list[i.Action]:
    return [a for a in drive.made(i.RejectRequest) + drive.made(i.FailRequest) if a.id == name]


def test_one_answer_when_nothing_comes_back(drive: Drive) -> None:
    d = drive()
    d.ask(class_index=1, time_left=1.5)
    d.run(5.0)
    assert answers(d, "r1") == [i.FailRequest("r1")]
    assert d.now - 100.0 > 1.5 and next(t for t, a in d.log if isinstance(a, i.FailRequest)) <= 101.5
    assert d.feed(i.AttemptEnded("r1", 0, d.made(i.StartAttempt)[0].backend, "timeout", 1.5)) == []


def test_no_server_holds_then_refuses_in_time(drive: Drive) -> None:
    d = drive(servers=0)
    d.feed(i.BackendList("cached", []))
    assert not any(isinstance(a, i.RejectRequest) for a in d.ask())
    d.run(3.0)
    assert len(answers(d, "r1")) == 1 and isinstance(answers(d, "r1")[0], i.RejectRequest)
    assert not d.made(i.StartAttempt)


def test_once_is_not_repeated_or_refused_after_it_may_have_run(drive: Drive) -> None:
    d = drive()
    sent = [a for a in d.ask(class_index=1) if isinstance(a, i.StartAttempt)]
    d.feed(i.AttemptEnded("r1", 0, sent[0].backend, "reset", 0.1))
    assert len(d.made(i.StartAttempt)) == 1
    assert answers(d, "r1") == [i.FailRequest("r1")]


def test_once_goes_on_when_it_never_ran(drive: Drive) -> None:
    d = drive()
    sent = [a for a in d.ask(class_index=1) if isinstance(a, i.StartAttempt)]
    d.feed(i.AttemptEnded("r1", 0, sent[0].backend, "full", 0.01))
    again = d.made(i.StartAttempt)
    assert len(again) == 2 and again[1].backend != sent[0].backend


def test_keyed_stays_in_its_cell_and_window(drive: Drive) -> None:
    d = drive(servers=4)
    first = next(a for a in d.ask(class_index=2) if isinstance(a, i.StartAttempt))
    d.feed(i.AttemptEnded("r1", 0, first.backend, "reset", 0.1))
    second = d.made(i.StartAttempt)[1]
    assert int(second.backend[1:]) % 2 == int(first.backend[1:]) % 2
    d.now += 2.1
    d.feed(i.AttemptEnded("r1", 1, second.backend, "reset", 2.1))
    assert len(d.made(i.StartAttempt)) == 2
    assert answers(d, "r1") == [i.FailRequest("r1")]


def test_no_second_copy_where_none_is_allowed(drive: Drive) -> None:
    d = drive(servers=4)
    d.ask()
    d.run(0.99)
    assert len(d.made(i.StartAttempt)) == 1


def test_second_copy_where_allowed(drive: Drive) -> None:
    d = drive(servers=4, limits=i.Limits(max_attempts=4, cancel=True, hedging=True))
    d.ask()
    d.run(0.99)
    assert len({a.backend for a in d.made(i.StartAttempt)}) == 2


@pytest.mark.parametrize("state", ["draining", "gone"])
def test_nothing_goes_to_a_draining_or_gone_server(drive: Drive, state: i.State) -> None:
    d = drive()
    d.feed(i.BackendList("delta", [i.BackendEntry("s0", state)]))
    for n in range(20):
        d.ask(customer=f"c{n}")
    d.run(1.0)
    assert d.made(i.StartAttempt) and {a.backend for a in d.made(i.StartAttempt)} == {"s1"}


def test_absent_from_a_complete_list_is_gone(drive: Drive) -> None:
    d = drive()
    d.feed(i.BackendList("full", [i.BackendEntry("s1")]))
    for n in range(20):
        d.ask(customer=f"c{n}")
    assert d.made(i.StartAttempt) and {a.backend for a in d.made(i.StartAttempt)} == {"s1"}


def test_cold_server_gets_little(drive: Drive) -> None:
    d = drive(servers=3)
    d.feed(i.BackendList("delta", [i.BackendEntry("s0", started=d.now)]))
    for n in range(100):
        d.feed(d.request(customer=f"c{n}"))
        sent = d.made(i.StartAttempt)[-1]
        d.now += 0.01
        d.feed(i.AttemptEnded(sent.id, 0, sent.backend, "ok", 0.01, request_done=True))
        d.run(0.0)
    cold = sum(a.backend == "s0" for a in d.made(i.StartAttempt))
    warm = sum(a.backend != "s0" for a in d.made(i.StartAttempt)) / 2
    assert cold <= 0.3 * 2.0 * warm


def test_ceiling_holds_with_no_counter(drive: Drive) -> None:
    plan = i.Plan("capped", ceiling_rate=2.0, ceiling_burst=8.0, ceiling_slack=1.0)
    d = drive(plans=[plan])
    for _ in range(200):
        d.ask(ingress_count=2)
        d.run(0.05)
    assert 0 < len(d.made(i.StartAttempt)) <= 8.0 / 2 + 2.0 / 2 * 10.0


def test_quota_is_shared_out_before_the_first_read(drive: Drive) -> None:
    d = drive(plans=[RATED], accounting=i.Accounting(counter=True))
    for _ in range(20):
        d.ask(ingress_count=2)
    assert len(d.made(i.StartAttempt)) == 4
    assert d.made(i.AddToCounter)


def test_a_read_total_opens_the_room_that_is_left(drive: Drive) -> None:
    d = drive(plans=[RATED], accounting=i.Accounting(counter=True))
    for _ in range(20):
        d.ask(ingress_count=2)
    for _ in range(3):
        count = d.made(i.AddToCounter)[-1]
        total = sum(c.amount for c in d.made(i.AddToCounter) if c.name == count.name)
        d.feed(i.CounterReply(count.name, "ok", total, 0.003))
    assert len(d.made(i.StartAttempt)) == 6  # of 8 in the store, the last one and a bit are kept back


def test_silent_counter_is_called_less_and_the_share_holds(drive: Drive) -> None:
    d = drive(plans=[RATED], accounting=i.Accounting(counter=True))
    for _ in range(100):
        d.ask(ingress_count=2)
        count = d.made(i.AddToCounter)
        if count:
            d.feed(i.CounterReply(count[-1].name, "timeout"))
        d.run(0.1)
    assert len(d.made(i.AddToCounter)) < 40
    assert len(d.made(i.StartAttempt)) <= 4 + 2.0 / 2 * 10.0 + 1


def test_unknown_things_change_nothing(drive: Drive) -> None:
    d = drive()
    strange: list[i.Event] = [
        i.AttemptEnded("x", 0, "s0", "ok"), i.ClientGone("x"),
        i.TimerExpired("d:x"), i.CounterReply("x.0", "ok", 5.0),
        i.ResponseStarted("x", 0, "s0"), i.ProbeResult("x", "ok"),
        i.PeerMessage(3, b"hi"), i.TimerExpired("p:0:x"),
    ]  # fmt: skip
    assert d.feed(*strange) == []


def test_settings_that_make_no_sense_are_named() -> None:
    with pytest.raises(ValueError, match="classes"):
        DecisionEngine(settings(classes=[]), 1)
    with pytest.raises(ValueError, match="gatekeepers"):
        DecisionEngine(settings(ingresses=0), 1)
    with pytest.raises(ValueError, match=r"plans\.bad\.rate"):
        DecisionEngine(settings(plans=[i.Plan("bad", rate=-1.0)]), 1)


def test_same_seed_and_events_same_actions(drive: Drive) -> None:
    def play() -> list[tuple[float, i.Action]]:
        d = drive(servers=5, plans=[RATED])
        for n in range(60):
            d.ask(customer=f"c{n % 7}", class_index=n % 3)
            d.run(0.03)
        return d.log

    assert play() == play()


def test_a_lull_does_not_throttle(drive: Drive) -> None:
    d = drive(classes=[SAFE])
    for n in range(80):
        d.ask(customer=f"c{n}")
        sent = d.made(i.StartAttempt)[-1]
        d.run(0.05)
        d.feed(i.AttemptEnded(sent.id, 0, sent.backend, "ok", 0.05, request_done=True))
    d.run(30.0)
    before = len(d.made(i.StartAttempt))
    for n in range(4):
        d.ask(customer=f"d{n}")
    assert len(d.made(i.StartAttempt)) == before + 4


def test_a_cap_on_open_tries_is_dealt_out_whole_and_not_passed(drive: Drive) -> None:
    plan = i.Plan("capped", parallel=3, over_worth=0.2)
    sent = []
    for me in range(2):
        d = drive(plans=[plan], ingresses=2, own_index=me)
        for _ in range(6):
            d.ask(ingress_count=2)
        sent.append(len(d.made(i.StartAttempt)))
    assert sent == [2, 1]


def test_open_counts_do_not_drift_between_lanes(drive: Drive) -> None:
    d = drive(classes=[SAFE], servers=4)
    for n in range(40):
        d.ask(customer=f"c{n}", units=1.0 + n % 5)
        sent = d.made(i.StartAttempt)[-1]
        d.ask(customer=f"d{n}", units=9.0)
        d.feed(i.AttemptEnded(sent.id, 0, sent.backend, "ok", 0.01, request_done=True))
        last = d.made(i.StartAttempt)[-1]
        d.feed(i.AttemptEnded(last.id, 0, last.backend, "ok", 0.01, request_done=True))
        d.run(0.05)
    assert (d.gate.premium.open_attempts, d.gate.basic.open_attempts) == (0, 0)


def test_a_call_with_little_time_is_given_up_before_half_of_it() -> None:
    """Guards against retries held for exactly half of their time: with the way back they come too late."""
    given = settings(plans=[i.Plan("rated", rate=1.0, burst=1.0)])
    for left in (0.4, 1.0, 1.05):
        gate = DecisionEngine(given, 7)
        gate.handle(0.0, [i.BackendList("cached", [i.BackendEntry("s")])])
        actions = gate.handle(1.0, [i.Request("r", 0, 0, "c", left, units=1.0)])
        holds = [a.delay for a in actions if isinstance(a, i.SetTimer) and a.token == "h:r"]
        assert len(holds) == 1 and holds[0] <= 0.45 * left + 1e-9
