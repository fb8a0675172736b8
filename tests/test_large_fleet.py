"""Thousands of servers: what one step looks at is bounded, and what is unfit is passed by all the same.

Cost is counted in servers looked at, never in time. Virtual time, fixed seeds.
"""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from unittest import mock

import pytest
from conftest import KEYED, SAFE, Driver, settings

from gorsefork.decisions import interface as i
from gorsefork.decisions.rules import (
    EXTRA_CANDIDATES,
    MAX_BACKENDS_PER_STEP,
    MAX_CANDIDATES_DRAWN,
    BackendSelector,
)
from gorsefork.decisions.state import Backend, BackendTable

COPIES = i.Limits(max_attempts=4, cancel=True, hedging=True)
CELLS = 64


def entries(names: range, **values: float) -> list[i.BackendEntry]:
    return [i.BackendEntry(f"s{n}", zone=n % 8, cell=n % CELLS, **values) for n in names]  # type: ignore[arg-type]


def large(servers: int, **changes: object) -> Driver:
    """An ingress of a fleet that has as many servers an ingress as 5,300 for 620 have."""
    given = {"ingresses": round(servers / 8.55), "classes": [SAFE, KEYED], "limits": COPIES, **changes}
    d = Driver(settings(**given), servers=0)
    d.feed(i.BackendList("full", entries(range(servers))))
    return d


@contextmanager
def looks() -> Iterator[list[Backend]]:
    """The servers whose state is read meanwhile, one entry a look."""
    seen: list[Backend] = []
    oldest, slowness, warmth = Backend.oldest_attempt, Backend.slowness, BackendSelector.slow_start_share

    def seen_oldest(server: Backend, now: float) -> tuple[float, float]:
        seen.append(server)
        return oldest(server, now)

    def seen_slowness(server: Backend, now: float) -> float:
        seen.append(server)
        return slowness(server, now)

    def seen_warmth(fleet: BackendSelector, server: Backend, now: float) -> float:
        seen.append(server)
        return warmth(fleet, server, now)

    with (
        mock.patch.object(Backend, "oldest_attempt", seen_oldest),
        mock.patch.object(Backend, "slowness", seen_slowness),
        mock.patch.object(BackendSelector, "slow_start_share", seen_warmth),
    ):
        yield seen


def sends(actions: list[i.Action]) -> list[i.StartAttempt]:
    return [action for action in actions if isinstance(action, i.StartAttempt)]


@pytest.mark.parametrize("servers", [600, 5300])
def test_a_choice_and_a_further_one_look_at_a_bounded_number(servers: int) -> None:
    d = large(servers)
    with looks() as first:
        (send,) = sends(d.ask())
    assert len(set(first)) <= MAX_CANDIDATES_DRAWN
    with looks() as further:
        again = sends(d.feed(i.AttemptEnded(send.id, 0, send.backend, "error", 0.1)))
    assert len(again) == 1 and again[0].backend != send.backend
    assert len(set(further)) <= MAX_CANDIDATES_DRAWN + EXTRA_CANDIDATES  # it was all of them


@pytest.mark.parametrize("servers", [600, 5300])
def test_a_second_copy_looks_at_a_bounded_number(servers: int) -> None:
    d = large(servers)
    (send,) = sends(d.ask())
    assert d.gate.pending[send.id].open_attempts() == 1
    timer = next(token for _, _, token in d.timers if token.startswith("p:0"))
    d.now += 0.5
    with looks() as seen:
        (copy,) = sends(d.feed(i.TimerExpired(timer)))
    assert copy.backend != send.backend and len(set(seen)) <= MAX_CANDIDATES_DRAWN + EXTRA_CANDIDATES + 1


@pytest.mark.parametrize("servers", [600, 5300])
def test_a_tick_and_a_look_at_all_are_bounded(servers: int) -> None:
    d = large(servers)
    for n in range(400):  # most of the few are in use
        for send in sends(d.ask(customer=f"c{n}")):
            d.feed(i.AttemptEnded(send.id, 0, send.backend, "ok", 0.1, request_done=True))
    d.ask()
    d.now += 1.0
    with looks() as seen:
        d.feed(i.TimerExpired("tick"))
    assert d.gate.selector.assessed_at == d.now
    # A sample of all for their strength, the few, those in use, and the few anew.
    assert len(set(seen)) <= 2 * MAX_BACKENDS_PER_STEP + d.gate.selector.candidate_count
    assert len(seen) <= 6 * MAX_BACKENDS_PER_STEP


def test_what_a_small_fleet_looks_at_is_all_of_it_as_ever() -> None:
    d = Driver(settings(ingresses=200, classes=[SAFE]), servers=MAX_BACKENDS_PER_STEP)
    (send,) = sends(d.ask())
    with looks() as seen:
        d.feed(i.AttemptEnded(send.id, 0, send.backend, "error", 0.1))
    assert len(set(seen)) == MAX_BACKENDS_PER_STEP
    d.ask()
    d.now += 1.0
    with looks() as seen:
        d.feed(i.TimerExpired("tick"))
    assert len(set(seen)) == MAX_BACKENDS_PER_STEP


def test_where_the_few_are_all_bad_a_first_attempt_goes_beyond_them() -> None:
    d = large(1000, limits=i.Limits(max_attempts=4))  # no second copies, so no trials of suspects
    fleet = d.gate.selector
    few = {server.entry.backend for server in fleet.ready[: fleet.candidate_count]}
    for name in few:
        fleet.backends[name].silent = True
    for n in range(20):  # nothing has looked at the few again in between
        (send,) = sends(d.ask(customer=f"c{n}"))
        assert send.backend not in few
    d.run(1.0)
    assert fleet.candidate_count > len(few)  # from the next look on others stand in for them


def test_the_few_grow_by_a_bounded_stretch_where_most_are_unfit() -> None:
    d = large(5300)
    fleet = d.gate.selector
    for server in fleet.backends.values():
        server.silent = True
    with looks() as seen:
        fleet.update_candidate_count(d.now)
    assert fleet.candidate_count == 2 * MAX_BACKENDS_PER_STEP and len(set(seen)) <= 2 * MAX_BACKENDS_PER_STEP
    assert sends(d.ask())  # a suspect is better than nothing


def test_where_the_few_are_most_of_a_large_fleet_they_are_judged_by_a_sample() -> None:
    d = large(5300, ingresses=6)
    fleet = d.gate.selector
    with looks() as seen:
        fleet.update_candidate_count(d.now)
    # each server has lookers enough
    assert fleet.candidate_count == 5300 and len(set(seen)) <= 2 * MAX_BACKENDS_PER_STEP


def test_a_keyed_repeat_finds_its_cell_in_a_large_fleet() -> None:
    """Of 64 drawn from all there would be one of its cell, as often as not none."""
    d, found = large(5300), 0
    for n in range(10):  # as many as the budget of retries holds
        (send,) = sends(d.ask(class_index=1, customer=f"c{n}"))
        again = sends(d.feed(i.AttemptEnded(send.id, 0, send.backend, "reset", 0.05)))
        found += len(again)
        assert all(int(a.backend[1:]) % CELLS == int(send.backend[1:]) % CELLS for a in again)
    assert found == 10


def test_silence_is_noticed_at_any_server_that_was_sent_to() -> None:
    d = large(1000)
    fleet = d.gate.selector
    (send,) = sends(d.ask())
    far = fleet.ready[900]
    d.gate.start_attempt(d.gate.pending[send.id], far)  # a further attempt beyond the few
    d.now += 2.0
    fleet.assess(d.now)
    assert far.silent and fleet.backends[send.backend].silent


def test_those_in_use_are_looked_at_in_turn_and_forgotten_once_unused() -> None:
    d = large(5300, ingresses=6)  # all servers are its few
    fleet = d.gate.selector
    for n in range(2000):
        for send in sends(d.ask(customer=f"c{n}")):
            d.feed(i.AttemptEnded(send.id, 0, send.backend, "ok", 0.1, request_done=True))
    used = set(fleet.recently_used)
    assert len(used) > 2 * MAX_BACKENDS_PER_STEP
    turns = [
        fleet.next_recently_used(MAX_BACKENDS_PER_STEP) for _ in range(len(used) // MAX_BACKENDS_PER_STEP + 1)
    ]
    assert {server for turn in turns for server in turn} == used and max(
        map(len, turns)
    ) == MAX_BACKENDS_PER_STEP
    d.now += 11.0
    for _ in range(len(used) // MAX_BACKENDS_PER_STEP + 1):
        d.now += 0.5
        fleet.assess(d.now)
    assert not fleet.recently_used


def test_those_that_leave_are_not_kept_among_those_in_use() -> None:
    d = large(600)
    for n in range(100):
        for send in sends(d.ask(customer=f"c{n}")):
            d.feed(i.AttemptEnded(send.id, 0, send.backend, "ok", 0.1, request_done=True))
    (held,) = sends(d.ask())
    fleet = d.gate.selector
    d.feed(i.BackendList("full", entries(range(600, 1200))))
    assert set(fleet.backends) == {held.backend, *(f"s{n}" for n in range(600, 1200))}
    assert [server.entry.backend for server in fleet.recently_used] == [held.backend]
    d.feed(i.AttemptEnded(held.id, 0, held.backend, "ok", 0.1, request_done=True))
    d.feed(i.BackendList("delta", []))
    assert held.backend not in fleet.backends and not fleet.recently_used and not fleet.removed_in_use


def test_a_change_of_the_list_costs_what_has_changed() -> None:
    d = large(5300)
    fleet = d.gate.selector
    before = list(fleet.ready)
    with looks() as seen, mock.patch.object(BackendTable, "mark_unlisted_gone") as left_out:
        d.feed(i.BackendList("delta", [i.BackendEntry("s17", "gone"), i.BackendEntry("s6000")]))
    left_out.assert_not_called()
    assert len(set(seen)) <= fleet.candidate_count  # the few, which are told anew
    assert len(fleet.ready) == 5300 and set(before) ^ set(fleet.ready) == {
        next(server for server in before if server.entry.backend == "s17"),
        fleet.backends["s6000"],
    }
    assert [fleet.ring_rank(server) for server in fleet.ready] == list(range(5300))
    assert fleet.ring == sorted(fleet.ring, key=lambda server: server.ring_hash)


def test_a_server_that_answers_after_it_left_the_list_is_taken_back_without_a_fault() -> None:
    d = large(600)
    (send,) = sends(d.ask())
    server = d.gate.selector.backends[send.backend]
    server.silent = True
    d.feed(i.BackendList("delta", [i.BackendEntry(send.backend, "draining")]))
    d.feed(i.AttemptEnded(send.id, 0, send.backend, "ok", 0.1, request_done=True))
    assert not server.silent and server not in d.gate.selector.ready
