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
from gorsefork.decisions.rules import CHOICES_MOST, LOOKS, WIDER, Fleet
from gorsefork.decisions.state import Server, Servers

COPIES = i.Limits(max_attempts=4, cancel=True, second_copies=True)
CELLS = 64


def entries(names: range, **values: float) -> list[i.ServerEntry]:
    return [i.ServerEntry(f"s{n}", zone=n % 8, cell=n % CELLS, **values) for n in names]  # type: ignore[arg-type]


def large(servers: int, **changes: object) -> Driver:
    """An ingress of a fleet that has as many servers an ingress as 5,300 for 620 have."""
    given = {"gatekeepers": round(servers / 8.55), "classes": [SAFE, KEYED], "limits": COPIES, **changes}
    d = Driver(settings(**given), servers=0)
    d.feed(i.ServerList("full", entries(range(servers))))
    return d


@contextmanager
def looks() -> Iterator[list[Server]]:
    """The servers whose state is read meanwhile, one entry a look."""
    seen: list[Server] = []
    oldest, slowness, warmth = Server.oldest, Server.slowness, Fleet.warmth

    def seen_oldest(server: Server, now: float) -> tuple[float, float]:
        seen.append(server)
        return oldest(server, now)

    def seen_slowness(server: Server, now: float) -> float:
        seen.append(server)
        return slowness(server, now)

    def seen_warmth(fleet: Fleet, server: Server, now: float) -> float:
        seen.append(server)
        return warmth(fleet, server, now)

    with (
        mock.patch.object(Server, "oldest", seen_oldest),
        mock.patch.object(Server, "slowness", seen_slowness),
        mock.patch.object(Fleet, "warmth", seen_warmth),
    ):
        yield seen


def sends(actions: list[i.Action]) -> list[i.Send]:
    return [action for action in actions if isinstance(action, i.Send)]


@pytest.mark.parametrize("servers", [600, 5300])
def test_a_choice_and_a_further_one_look_at_a_bounded_number(servers: int) -> None:
    d = large(servers)
    with looks() as first:
        (send,) = sends(d.ask())
    assert len(set(first)) <= CHOICES_MOST
    with looks() as further:
        again = sends(d.feed(i.Outcome(send.id, 0, send.server, "error", 0.1)))
    assert len(again) == 1 and again[0].server != send.server
    assert len(set(further)) <= CHOICES_MOST + WIDER  # it was all of them


@pytest.mark.parametrize("servers", [600, 5300])
def test_a_second_copy_looks_at_a_bounded_number(servers: int) -> None:
    d = large(servers)
    (send,) = sends(d.ask())
    assert d.gate.tickets[send.id].open_attempts() == 1
    timer = next(token for _, _, token in d.timers if token.startswith("p:0"))
    d.now += 0.5
    with looks() as seen:
        (copy,) = sends(d.feed(i.Timer(timer)))
    assert copy.server != send.server and len(set(seen)) <= CHOICES_MOST + WIDER + 1


@pytest.mark.parametrize("servers", [600, 5300])
def test_a_tick_and_a_look_at_all_are_bounded(servers: int) -> None:
    d = large(servers)
    for n in range(400):  # most of the few are in use
        for send in sends(d.ask(customer=f"c{n}")):
            d.feed(i.Outcome(send.id, 0, send.server, "ok", 0.1, closed=True))
    d.ask()
    d.now += 1.0
    with looks() as seen:
        d.feed(i.Timer("tick"))
    assert d.gate.fleet.assessed_at == d.now
    # A sample of all for their strength, the few, those in use, and the few anew.
    assert len(set(seen)) <= 2 * LOOKS + d.gate.fleet.few
    assert len(seen) <= 6 * LOOKS


def test_what_a_small_fleet_looks_at_is_all_of_it_as_ever() -> None:
    d = Driver(settings(gatekeepers=200, classes=[SAFE]), servers=LOOKS)
    (send,) = sends(d.ask())
    with looks() as seen:
        d.feed(i.Outcome(send.id, 0, send.server, "error", 0.1))
    assert len(set(seen)) == LOOKS
    d.ask()
    d.now += 1.0
    with looks() as seen:
        d.feed(i.Timer("tick"))
    assert len(set(seen)) == LOOKS


def test_where_the_few_are_all_bad_a_first_attempt_goes_beyond_them() -> None:
    d = large(1000, limits=i.Limits(max_attempts=4))  # no second copies, so no trials of suspects
    fleet = d.gate.fleet
    few = {server.entry.server for server in fleet.ready[: fleet.few]}
    for name in few:
        fleet.servers[name].silent = True
    for n in range(20):  # nothing has looked at the few again in between
        (send,) = sends(d.ask(customer=f"c{n}"))
        assert send.server not in few
    d.run(1.0)
    assert fleet.few > len(few)  # from the next look on others stand in for them


def test_the_few_grow_by_a_bounded_stretch_where_most_are_unfit() -> None:
    d = large(5300)
    fleet = d.gate.fleet
    for server in fleet.servers.values():
        server.silent = True
    with looks() as seen:
        fleet.narrow(d.now)
    assert fleet.few == 2 * LOOKS and len(set(seen)) <= 2 * LOOKS
    assert sends(d.ask())  # a suspect is better than nothing


def test_where_the_few_are_most_of_a_large_fleet_they_are_judged_by_a_sample() -> None:
    d = large(5300, gatekeepers=6)
    fleet = d.gate.fleet
    with looks() as seen:
        fleet.narrow(d.now)
    assert fleet.few == 5300 and len(set(seen)) <= 2 * LOOKS  # each server has lookers enough


def test_a_keyed_repeat_finds_its_cell_in_a_large_fleet() -> None:
    """Of 64 drawn from all there would be one of its cell, as often as not none."""
    d, found = large(5300), 0
    for n in range(10):  # as many as the budget of retries holds
        (send,) = sends(d.ask(cls=1, customer=f"c{n}"))
        again = sends(d.feed(i.Outcome(send.id, 0, send.server, "reset", 0.05)))
        found += len(again)
        assert all(int(a.server[1:]) % CELLS == int(send.server[1:]) % CELLS for a in again)
    assert found == 10


def test_silence_is_noticed_at_any_server_that_was_sent_to() -> None:
    d = large(1000)
    fleet = d.gate.fleet
    (send,) = sends(d.ask())
    far = fleet.ready[900]
    d.gate.send(d.gate.tickets[send.id], far)  # a further attempt beyond the few
    d.now += 2.0
    fleet.assess(d.now)
    assert far.silent and fleet.servers[send.server].silent


def test_those_in_use_are_looked_at_in_turn_and_forgotten_once_unused() -> None:
    d = large(5300, gatekeepers=6)  # all servers are its few
    fleet = d.gate.fleet
    for n in range(2000):
        for send in sends(d.ask(customer=f"c{n}")):
            d.feed(i.Outcome(send.id, 0, send.server, "ok", 0.1, closed=True))
    used = set(fleet.used)
    assert len(used) > 2 * LOOKS
    turns = [fleet.turn(LOOKS) for _ in range(len(used) // LOOKS + 1)]
    assert {server for turn in turns for server in turn} == used and max(map(len, turns)) == LOOKS
    d.now += 11.0
    for _ in range(len(used) // LOOKS + 1):
        d.now += 0.5
        fleet.assess(d.now)
    assert not fleet.used


def test_those_that_leave_are_not_kept_among_those_in_use() -> None:
    d = large(600)
    for n in range(100):
        for send in sends(d.ask(customer=f"c{n}")):
            d.feed(i.Outcome(send.id, 0, send.server, "ok", 0.1, closed=True))
    (held,) = sends(d.ask())
    fleet = d.gate.fleet
    d.feed(i.ServerList("full", entries(range(600, 1200))))
    assert set(fleet.servers) == {held.server, *(f"s{n}" for n in range(600, 1200))}
    assert [server.entry.server for server in fleet.used] == [held.server]
    d.feed(i.Outcome(held.id, 0, held.server, "ok", 0.1, closed=True))
    d.feed(i.ServerList("delta", []))
    assert held.server not in fleet.servers and not fleet.used and not fleet.leaving


def test_a_change_of_the_list_costs_what_has_changed() -> None:
    d = large(5300)
    fleet = d.gate.fleet
    before = list(fleet.ready)
    with looks() as seen, mock.patch.object(Servers, "left_out") as left_out:
        d.feed(i.ServerList("delta", [i.ServerEntry("s17", "gone"), i.ServerEntry("s6000")]))
    left_out.assert_not_called()
    assert len(set(seen)) <= fleet.few  # the few, which are told anew
    assert len(fleet.ready) == 5300 and set(before) ^ set(fleet.ready) == {
        next(server for server in before if server.entry.server == "s17"),
        fleet.servers["s6000"],
    }
    assert [fleet.place(server) for server in fleet.ready] == list(range(5300))
    assert fleet.ring == sorted(fleet.ring, key=lambda server: server.mark)


def test_a_server_that_answers_after_it_left_the_list_is_taken_back_without_a_fault() -> None:
    d = large(600)
    (send,) = sends(d.ask())
    server = d.gate.fleet.servers[send.server]
    server.silent = True
    d.feed(i.ServerList("delta", [i.ServerEntry(send.server, "draining")]))
    d.feed(i.Outcome(send.id, 0, send.server, "ok", 0.1, closed=True))
    assert not server.silent and server not in d.gate.fleet.ready
