"""A change is heard within 6 s of when discovery had it and could be reached: many worlds in virtual time."""

from __future__ import annotations

import random
from typing import Any
from unittest import mock

import pytest
import trio
import trio.testing

from gorsefork.memory.clock import Clock
from gorsefork.memory.registry import RegisteredBackend, Registry, RegistryUpdate
from gorsefork.wire.discovery import DiscoveryClient, InvalidBackendList

TOLD_WITHIN = 6.0  # s, the operators' term
RETURNED_WITHIN = 0.25  # s from an agent's return, which counts at once: what a drain allows


class Discovery:
    """Away for a while, in which it refuses, is silent or takes no connection; open watches may fall silent
    at any time. A call that was out as it went away or came back is never answered."""

    def __init__(self, rng: random.Random, agent: bool) -> None:
        self.rng, self.agent = rng, agent
        self.away = rng.uniform(4.0, 12.0)
        self.back = self.away + rng.choice((0.0, 0.5, 3.0, 8.0, 20.0))
        self.silent = rng.uniform(4.0, 25.0)  # all that are open then fall silent
        self.change = rng.uniform(4.0, self.back + 5.0)
        self.how = rng.choice(("refuses", "silent", "no connection"))
        self.turns_away = 0.0 if agent else rng.choice((0.0, 0.2))  # share of calls, until the change is due

    def reachable(self) -> bool:
        return not self.away <= trio.current_time() < self.back

    def known_at(self) -> float:
        """When discovery has the change and can be reached."""
        return self.back if self.away <= self.change < self.back else self.change

    async def connect(self, dial: str, timeout: float) -> Any:
        if not self.reachable() and self.how == "no connection":
            await trio.sleep(timeout)
            return None
        await trio.sleep(0.001)
        return mock.Mock()

    async def ask(self, stream: Any, http: Any, target: str) -> dict[str, Any]:
        began, wait = trio.current_time(), int(target.rpartition("=")[2]) / 1000 if "wait=" in target else 0.0
        await trio.sleep(0.001)
        if not self.reachable():
            if self.how == "refuses":
                raise InvalidBackendList("discovery answered 503")
            await trio.sleep_forever()
        if self.rng.random() < self.turns_away and began < self.known_at():
            raise InvalidBackendList("discovery answered 503")
        while True:
            now = trio.current_time()
            if began < self.away <= now or began < self.silent <= now or not self.reachable():
                await trio.sleep_forever()
            if now >= self.known_at():
                host = {"host": "s-1", "dial": "127.0.0.1:1", "health": "leaving"}
                return {"seq": 2, "whole": False, "hosts": [host]}
            if now >= began + wait:
                return {"seq": 1, "whole": False, "hosts": []}
            next_times = (self.away, self.silent, self.known_at(), began + wait)
            await trio.sleep(min(at for at in next_times if at > now) - now + 1e-6)


def heard_at(seed: int, fleet: int) -> tuple[Discovery, float]:
    registry = Registry(lambda news: None, lambda host: None)
    registry.apply(RegistryUpdate("cached", 1, (RegisteredBackend("s-1", "127.0.0.1:1", "ready"),)))
    discovery, heard = Discovery(random.Random(seed), not fleet), []

    async def main() -> None:
        watch = DiscoveryClient("", registry, Clock(), 1, random.Random(seed), fleet)
        with (
            mock.patch("gorsefork.wire.discovery.connect", discovery.connect),
            mock.patch.object(watch, "call", discovery.ask),
            trio.move_on_after(80),
        ):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(watch.run)
                while not registry.mailbox.messages:
                    await registry.mailbox.wait(float("inf"))
                heard.append(trio.current_time())
                nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    return discovery, heard[0]


@pytest.mark.parametrize("fleet", [1, 40, 200])
def test_a_change_is_heard_in_time_where_lists_are_asked_for(fleet: int) -> None:
    for seed in range(60):
        discovery, at = heard_at(seed, fleet)
        assert at <= discovery.known_at() + TOLD_WITHIN, (seed, vars(discovery), at)


def test_a_change_is_heard_in_time_where_lists_are_pushed() -> None:
    """At once where the agent has it, but for what falls silent: that may take 6 s from then."""
    for seed in range(30):
        discovery, at = heard_at(seed, 0)
        known = discovery.known_at()
        silent = [one for one in (discovery.away, discovery.silent) if one <= known < one + TOLD_WITHIN]
        returned = discovery.away < discovery.back <= known  # from there on nothing is allowed
        late = 0.0 if returned and discovery.silent not in silent else max(silent, default=0.0) + TOLD_WITHIN
        assert at <= max(known + RETURNED_WITHIN, late if silent else 0.0), (seed, vars(discovery), at)
