"""One member's part in the fleet's view, in virtual time."""

from __future__ import annotations

import random

from benchmarks.capacity.measurements.stopwatch import UNIX, Stopwatch, allocated
from benchmarks.capacity.measurements.virtual_fleet import rested, seconds_until_called_dead
from benchmarks.capacity.results import Measured, Size
from gorsefork.fleet.facts import Card, Fact, State, pack_address
from gorsefork.fleet.membership import Membership, Timings
from gorsefork.fleet.messages import Codec

UDP_AND_IP = 28  # bytes of heads of one datagram
MOST_PLAYED, MOST_KILLED = 620, 240  # members that are played; of fleets in which one is killed
REST, REST_OF_MANY = 10.0, 4.0  # s of virtual time, whole periods


def view_of(members: int) -> object:
    """One ingress's core that knows so many, each fact its own copy, as if it had come over the wire."""
    own = Card(pack_address("10.0.0.1:7000"), b"", "z0")
    core = Membership("n0", UNIX, own, Codec("site", b"a key of sixteen"), Timings(), random.Random(1), 0)
    for number in range(1, members):
        dial = pack_address(f"10.{number // 62_500}.{number // 250 % 250}.{number % 250 + 1}:7000")
        core.view.take(
            Fact(f"ingress-{number}", UNIX + number, 0, State.ALIVE, Card(dial, dial, "z1")), 0, "wire"
        )
    core.news.pieces.clear()
    core.events.clear()
    return core


def measure_view(members: int, seed: int) -> list[Measured]:
    def row(metric: str, value: float, unit: str, note: str = "") -> Measured:
        return Measured("fleet view", metric, Size(ingresses=members), value, unit, seed, note)

    memory = row("memory", allocated(lambda: view_of(members)), "B", "one core, tracemalloc")
    if members > MOST_PLAYED:
        return [memory]
    world, clock = rested(members, seed), Stopwatch()
    rest = REST if members <= MOST_KILLED else REST_OF_MANY
    sent, counted = world.sent, world.bytes
    with clock.running():
        world.run(rest)
    datagrams = (world.sent - sent) / rest / members
    size = (world.bytes - counted) / rest / members
    found = [
        memory,
        row("CPU at rest", clock.us / rest / members, "us/s", "virtual time, without sockets"),
        row("datagrams sent at rest", datagrams, "1/s"),
        row("bytes sent at rest", size, "B/s", "without UDP and IP heads"),
        row(
            "bytes both ways at rest",
            2.0 * (size + UDP_AND_IP * datagrams),
            "B/s",
            "with 28 bytes of heads for each datagram",
        ),
    ]
    if members <= MOST_KILLED:
        counted = world.bytes
        took = seconds_until_called_dead(world, seed)
        spent = (world.bytes - counted) / members
        found.append(row("detection by all", took, "s", "one killed, no loss, delay to 5 ms"))
        found.append(
            row("bytes sent for one death", max(0.0, spent - took * size), "B", "beyond those at rest")
        )
    return found
