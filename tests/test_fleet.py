"""What many ingresses do together: harmless in each, too much in all. Virtual time, fixed seeds."""

from __future__ import annotations

import random

import trio
import trio.testing

from gorsefork.memory.backoff import Backoff
from gorsefork.memory.clock import Clock
from gorsefork.memory.registry import Host, News, Registry
from gorsefork.wire.discovery import DiscoveryWatch

FLEET = 40


class TurnedAway(DiscoveryWatch):
    """Notes when it asks; every call fails at once."""

    def __init__(self, me: int) -> None:
        registry = Registry(lambda news: None, lambda host: None)
        registry.apply(News("cached", 1, (Host("box", "127.0.0.1:1", "ready"),)))
        super().__init__("", registry, Clock(), 1, random.Random(me), FLEET)
        self.times: list[float] = []

    async def ask_there(self) -> None:
        self.times.append(trio.current_time())


def test_an_overbooked_discovery_is_not_kept_so_by_a_fleet_that_asks_again() -> None:
    fleet = [TurnedAway(me) for me in range(FLEET)]

    async def main() -> None:
        with trio.move_on_after(60):
            async with trio.open_nursery() as nursery:
                for watch in fleet:
                    nursery.start_soon(watch.run)

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    began = min(watch.times[0] for watch in fleet)
    firsts = sorted(watch.times[0] - began for watch in fleet)
    assert 1.5 < firsts[-1] <= 3.0
    assert max(sum(at <= other < at + 0.2 for other in firsts) for at in firsts) < FLEET / 4
    later = sorted(at for watch in fleet for at in watch.times if at > began + 20)
    assert FLEET * 40 / 12.0 < len(later) < FLEET * 40 / 4.0  # one call in 8 s each; it was ten a second
    assert max(sum(at <= other < at + 0.05 for other in later) for at in later) < FLEET / 4  # not in step


def test_a_pause_is_short_again_once_the_service_was_reached() -> None:
    backoff = Backoff(0.1, 2.0, random.Random(1))
    pauses = [backoff.missed() for _ in range(50)]
    assert pauses[0] <= 0.15 and min(pauses[10:]) >= 1.0 and max(pauses) <= 3.0
    backoff.reached()
    assert backoff.missed() <= 0.15
