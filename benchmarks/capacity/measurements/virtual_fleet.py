"""Fleets of the real membership core in virtual time, and what their view does when many fail at once.

By ``tests/fleet_world.py``, without sockets and without loss.
"""

from __future__ import annotations

import random
import sys
from collections.abc import Callable

from benchmarks.capacity.results import ROOT, Measured, Size

sys.path.insert(0, str(ROOT / "tests"))

from fleet_world import World, halves

from benchmarks.fleet_view import QUIET, grown
from gorsefork.fleet.membership import SECOND, Timings

DELAY = 0.005  # s, the longest of one datagram
RACK, ZONE, REGION = 0.05, 1 / 8, 1 / 3  # of the fleet
CUT, HOUR = 60.0, 3600.0  # s that a region is away
LONGEST = 300.0  # s of virtual time that anything may take


def rested(members: int, seed: int) -> World:
    """A fleet whose members know each other, after a second."""
    return grown(members, seed, 0.0, DELAY, 1.0)


def seconds_until_called_dead(world: World, seed: int) -> float:
    """Kill one, and wait until all others call it unreachable."""
    victim = f"n{random.Random(seed).randrange(len(world.places))}"
    others = [name for name in world.places if name != victim]
    world.kill(victim)
    return world.run_until(lambda: all(world.shown(n, victim) == "unreachable" for n in others), LONGEST, 0.5)


class Meter:
    """Time and bytes from here on, and what the same time costs at rest."""

    def __init__(self, world: World, members: int) -> None:
        self.world, self.members = world, members
        began, counted = world.now, world.bytes
        world.run(5.0)
        self.rest = (world.bytes - counted) / (world.now - began)
        self.start()

    def start(self) -> None:
        self.began, self.counted = self.world.now, self.world.bytes

    def extra(self) -> float:
        """Bytes sent by each member beyond those at rest."""
        spent = self.world.bytes - self.counted
        return max(0.0, spent - self.rest * (self.world.now - self.began)) / self.members


def measure_faults(members: int, seed: int) -> list[Measured]:
    """A rack, then a zone, then a region, each in a settled fleet of its own."""
    found = lost(members, seed, RACK, "a rack lost") + lost(members, seed, ZONE, "a zone lost")
    return found + region_away(members, seed) + all_at_once(members, seed)


def row(members: int, seed: int) -> Callable[[str, float, str, str], Measured]:
    def made(metric: str, value: float, unit: str, note: str) -> Measured:
        return Measured("fleet view", metric, Size(ingresses=members), value, unit, seed, note)

    return made


def lost(members: int, seed: int, share: float, what: str) -> list[Measured]:
    world = grown(members, seed, 0.0, DELAY)
    meter, many = Meter(world, members), max(1, round(share * members))
    dead = world.rng.sample(sorted(world.places), many)
    left = [name for name in world.places if name not in dead]
    meter.start()
    world.kill(*dead)
    took = world.run_until(lambda: world.one_view(left), LONGEST, 0.5)
    made = row(members, seed)
    return [
        made(f"{what}: one settled view", took, "s", f"{many} killed at once"),
        made(f"{what}: bytes sent", meter.extra(), "B", "by each member, beyond its rest"),
    ]


def region_away(
    members: int, seed: int, seconds: float = CUT, what: str = "a region away", back: str = "a region back"
) -> list[Measured]:
    world = grown(members, seed, 0.0, DELAY)
    meter = Meter(world, members)
    away = world.rng.sample(sorted(world.places), max(1, round(REGION * members)))
    world.cut = halves(away)
    meter.start()
    world.run(seconds)
    apart = meter.extra()
    world.cut = lambda sender, hearer: False
    meter.start()
    took = world.run_until(world.one_view, LONGEST, 0.5)
    ended = len(world.happened("ended")) + len(world.happened("given up"))
    made = row(members, seed)
    return [
        made(f"{what}: bytes sent", apart, "B", f"by each member in {seconds:.0f} s, beyond its rest"),
        made(f"{back}: one settled view", took, "s", f"after {seconds:.0f} s away"),
        made(f"{back}: bytes sent", meter.extra(), "B", "by each member, beyond its rest"),
        made(f"{back}: lives ended", ended, "", "none is to be"),
    ]


def measure_hour(members: int, seed: int) -> list[Measured]:
    """A region away for an hour, as long as one that is unreachable stays a member."""
    return region_away(members, seed, HOUR, "a region away for an hour", "a region back after an hour")


def all_at_once(members: int, seed: int) -> list[Measured]:
    world = World(members, seed, Timings(quiet=int(QUIET * SECOND)), 0.0, (0.2 * DELAY, DELAY), seeds=3)
    world.start(*world.places)
    took = world.run_until(world.one_view, LONGEST, 0.5)
    made = row(members, seed)
    return [
        made("all started at once: one settled view", took, "s", "three seeds known to each"),
        made("all started at once: bytes sent", world.bytes / members, "B", "by each member until then"),
    ]
