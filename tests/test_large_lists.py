"""Lists of thousands: applied a piece at a time while calls are served; actors only where there is use."""

from __future__ import annotations

import unittest
from collections import Counter
from collections.abc import Awaitable, Callable
from typing import Any
from unittest import mock

import pytest
import trio
from scenario import World, scenario

from gorsefork.memory.clock import Clock
from gorsefork.memory.registry import (
    ENTRIES_PER_STEP,
    MAX_ENTRIES_AT_ONCE,
    MAX_REMEMBERED_IDS,
    STEP_PAUSE_S,
    RegisteredBackend,
    Registry,
    RegistryUpdate,
)
from gorsefork.wire import discovery
from gorsefork.wire.discovery import InvalidBackendList, read_in_steps, read_list

MANY = 5300
IDLE_FOR = 10_000  # us
NO_JSON = (
    "", "{", "}", "{1: 2}", '{"a"; 2}', '{"a" 2}', '{"a": 1; "b": 2}', '{"a": 1 "b": 2}', '{"a": 1,}',
    '{, "a": 1}', '{"a": [1; 2]}', '{"a": [1 2]}', '{"a": [1,]}', '{"a": [,]}', '{"a": [1}', '{"a": [1]',
    '{"a": 1} 2', '{"a": 1}}',
    "[" * 100_000, '{"a": ' + "[" * 100_000,
)  # fmt: skip


def hosts(names: range, state: Any = "ready") -> tuple[RegisteredBackend, ...]:
    return tuple(RegisteredBackend(f"s{n}", f"127.0.0.1:{1 + n}", state) for n in names)


def listed(count: int, **values: Any) -> dict[str, Any]:
    entries = [
        {"host": f"s{n}", "dial": f"127.0.0.1:{1 + n}", "health": "active", "site": "here", **values}
        for n in range(count)
    ]
    return {"seq": 5, "whole": True, "hosts": entries}


class Turns(trio.abc.Instrument):
    """Counts the calls of a function in each turn of the loop."""

    def __init__(self, function: Callable[..., Any]) -> None:
        self.function, self.turn, self.calls = function, 0, Counter[int]()

    def after_io_wait(self, timeout: float) -> None:
        self.turn += 1

    def __call__(self, *given: Any) -> Any:
        self.calls[self.turn] += 1
        return self.function(*given)


def most_in_a_turn(
    work: Callable[[], Awaitable[object]], patched: Any, name: str, done: Callable[[], bool]
) -> int:
    """The most calls of ``patched.name`` in one turn of the loop, while ``work`` runs until ``done``."""
    turns = Turns(getattr(patched, name))

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(work)
            while not done():
                await trio.lowlevel.checkpoint()
            nursery.cancel_scope.cancel()

    with mock.patch.object(patched, name, turns):
        trio.run(main, instruments=[turns])
    return max(turns.calls.values())


class TestRegistry:
    def test_news_of_thousands_are_applied_a_piece_a_turn(self) -> None:
        registry = Registry(lambda news: None, lambda host: None)
        registry.mailbox.put(RegistryUpdate("full", 2, hosts(range(MANY))))
        most = most_in_a_turn(registry.run, registry, "set_backend", lambda: registry.version == 2)
        assert most <= ENTRIES_PER_STEP and len(registry.backends) == MANY
        registry.mailbox.put(RegistryUpdate("full", 3, hosts(range(600, MANY + 600))))
        most = most_in_a_turn(registry.run, registry, "set_backend", lambda: registry.version == 3)
        assert most <= ENTRIES_PER_STEP and set(registry.backends) == {
            host.name for host in hosts(range(600, MANY + 600))
        }

    def test_what_is_told_of_them_adds_up_to_the_list_and_nothing_is_told_twice(self) -> None:
        told: list[RegistryUpdate] = []
        registry = Registry(told.append, lambda host: None)
        registry.apply(RegistryUpdate("cached", 1, hosts(range(MANY))))
        assert [h for news in told for h in news.backends] == list(hosts(range(MANY)))
        told.clear()
        leaving, joined = hosts(range(300), "draining"), hosts(range(MANY, MANY + 300))
        registry.apply(RegistryUpdate("full", 2, (*joined, *leaving, *hosts(range(600, MANY)))))
        changes = [(h.name, h.state) for news in told for h in news.backends]
        gone = [(f"s{n}", "gone") for n in range(300, 600)]
        assert changes == [*gone, *((h.name, h.state) for h in (*leaving, *joined))]  # what is urgent first
        assert all(news.kind == "delta" and len(news.backends) <= ENTRIES_PER_STEP for news in told)

    def test_a_list_is_not_said_to_be_known_before_all_of_it_is(self) -> None:
        """Another process of this ingress asks discovery from the version that it is told."""
        registry = Registry(lambda news: None, lambda host: None)
        versions = [
            registry.version for _ in registry.apply_in_steps(RegistryUpdate("full", 7, hosts(range(MANY))))
        ]
        assert (
            len(versions) == -(-MANY // ENTRIES_PER_STEP) and set(versions) == {0} and registry.version == 7
        )

    def test_of_two_entries_of_one_id_in_large_news_the_last_holds(self) -> None:
        registry = Registry(lambda news: None, lambda host: None)
        twice = (*hosts(range(MANY)), *hosts(range(100), "draining"))
        registry.apply(RegistryUpdate("delta", 1, twice))
        assert [registry.accepts_attempts(f"s{n}") for n in (0, 99, 100)] == [False, False, True]

    def test_pieces_are_apart_while_there_is_something_to_serve(self) -> None:
        """One right after the other, each turn of thousands of entries would be longer by a piece."""
        waits = list[float]()

        async def sleep(seconds: float) -> None:
            waits.append(seconds)
            await trio.lowlevel.checkpoint()

        async def main() -> None:
            registry = Registry(lambda news: None, lambda host: None)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(registry.run)
                for version, names in ((1, range(MANY)), (2, range(600, MANY + 600))):
                    registry.mailbox.put(RegistryUpdate("full", version, hosts(names)))
                    await until(lambda version=version: registry.version == version)  # type: ignore[misc]
                nursery.cancel_scope.cancel()

        with mock.patch("trio.sleep", sleep):
            trio.run(main)
            trio.run(discovery.read_in_steps, listed(MANY), Clock(), STEP_PAUSE_S)
        assert waits.count(0.0) >= MANY // ENTRIES_PER_STEP and waits.count(STEP_PAUSE_S) >= 2 * (
            MANY // ENTRIES_PER_STEP
        )

    def test_short_news_are_one_step_and_told_as_they_came(self) -> None:
        told: list[RegistryUpdate] = []
        registry = Registry(told.append, lambda host: None)
        lists = [RegistryUpdate("full", n, hosts(range(n, MAX_ENTRIES_AT_ONCE))) for n in range(0, 100, 20)]
        for news in lists:
            assert not list(registry.apply_in_steps(news))
        assert told == lists

    def test_a_ban_between_two_pieces_stands(self) -> None:
        told: list[RegistryUpdate] = []
        registry = Registry(told.append, lambda host: None)
        registry.apply(RegistryUpdate("full", 1, hosts(range(MANY))))
        moved = tuple(
            RegisteredBackend(h.name, f"127.0.0.2:{n + 1}", "ready") for n, h in enumerate(hosts(range(MANY)))
        )
        for number, _ in enumerate(registry.apply_in_steps(RegistryUpdate("full", 2, moved))):
            if number == 3:
                assert registry.set_down("s5000") == "" and registry.set_down("s0") == ""
        states = {h.name: (h.state, h.address) for news in told for h in news.backends}
        assert states["s5000"] == ("draining", "127.0.0.2:5001")
        assert states["s0"] == ("draining", "127.0.0.2:1")
        assert not registry.accepts_attempts("s5000") and registry.accepts_attempts("s1")

    def test_ids_that_left_a_list_beyond_the_bound_are_remembered(self) -> None:
        registry = Registry(lambda news: None, lambda host: None)
        assert MANY > MAX_REMEMBERED_IDS
        registry.apply(RegistryUpdate("full", 1, hosts(range(MANY))))
        registry.apply(RegistryUpdate("delta", 2, hosts(range(10), "gone")))
        assert registry.set_down("s3") == "" and registry.set_down(f"s{MANY - 1}") == ""
        assert registry.set_down("never")
        registry.apply(RegistryUpdate("full", 3, hosts(range(MANY, 2 * MANY))))
        # that ban is remembered longest
        assert len(registry.unlisted_ids) < MAX_REMEMBERED_IDS and "s3" in registry.unlisted_ids
        assert set(registry.backends) < set(registry.known_ids)


class TestReading:
    def test_a_list_of_thousands_is_read_some_entries_a_turn_and_comes_to_the_same(self) -> None:
        clock, read = Clock(), list[RegistryUpdate]()

        async def work() -> None:
            read.append(await read_in_steps(listed(MANY), clock))

        most = most_in_a_turn(work, discovery, "read_backend", lambda: bool(read))
        assert most <= ENTRIES_PER_STEP
        assert read == [read_list(listed(MANY), clock)]
        assert read[0].backends[0].site is read[0].backends[-1].site

    @pytest.mark.parametrize(
        "odd", [{"seq": 1, "whole": True}, {"hosts": 7}, {"hosts": {"a": 1}}, {"hosts": "ab"}, []]
    )
    def test_what_cannot_be_read_is_named_so(self, odd: Any) -> None:
        with pytest.raises(InvalidBackendList):
            trio.run(read_in_steps, odd, Clock())

    @pytest.mark.parametrize("text", NO_JSON)
    def test_what_is_no_json_is_refused(self, text: str) -> None:
        with pytest.raises(InvalidBackendList):
            discovery.parse(bytearray(text.encode()))

    def test_one_bad_entry_among_thousands_is_found(self) -> None:
        raw = listed(MANY)
        raw["hosts"][MANY - 1]["dial"] = "nowhere"
        with pytest.raises(InvalidBackendList, match="nowhere"):
            trio.run(read_in_steps, raw, Clock())


async def until(holds: Callable[[], bool]) -> None:
    """Until the program has come to something, turn by turn of its loop."""
    with trio.fail_after(5):
        while not holds():
            await trio.lowlevel.checkpoint()


CALL = """
    c1 send GET /look
    box expect GET /look
    box send 200 | one
    c1 expect 200 | one"""


class Actors(unittest.TestCase):
    def test_one_begins_with_the_first_delegation_and_ends_when_idle_for_long(self) -> None:
        async def then(world: World) -> None:
            pool = world.ingresses[0].pool
            nursery = pool.nursery
            assert nursery is not None
            self.assertEqual((len(world.ingresses[0].registry.backends), pool.backends), (1, {}))
            pool.idle_for = IDLE_FOR
            for _ in range(2):  # the second time it begins anew
                await world.play(CALL)
                (backend,) = pool.backends.values()
                await until(lambda: not pool.backends)
                self.assertTrue(backend.retired and pool.open_connections == 0)
                await until(lambda: not nursery.child_tasks)

        scenario("", then=then)

    def test_one_does_not_end_while_it_carries_a_delegation(self) -> None:
        async def then(world: World) -> None:
            pool, waits = world.ingresses[0].pool, 0
            pool.idle_for = IDLE_FOR
            await world.play("c1 send GET /look\nbox expect GET /look")
            (backend,) = pool.backends.values()
            wait = backend.mailbox.wait

            async def counted(deadline: float) -> None:
                nonlocal waits
                waits += 1
                await wait(deadline)

            with mock.patch.object(backend.mailbox, "wait", counted):
                await until(lambda: waits > 3)  # it has looked about for that often
            self.assertEqual(list(pool.backends.values()), [backend])
            await world.play("box send 200 | one\nc1 expect 200 | one")

        scenario("", then=then)

    def test_one_that_leaves_unused_needs_none(self) -> None:
        async def then(world: World) -> None:
            ingress = world.ingresses[0]
            (host,) = ingress.registry.backends.values()
            ingress.registry.apply(
                RegistryUpdate("delta", 9, (RegisteredBackend(host.name, host.address, "gone"),))
            )
            self.assertEqual(ingress.pool.backends, {})
            self.assertIsNone(ingress.pool.actor(host.name))

        scenario("", then=then)
