"""Replicated configuration in virtual time: what it costs to arrive with nothing, and to have been apart.

The real replicators (``tests/configuration_world.py``), without sockets, disks and loss.
"""

from __future__ import annotations

import sys

from benchmarks.capacity.measurements.stopwatch import Stopwatch
from benchmarks.capacity.results import ROOT, Measured, Size

sys.path.insert(0, str(ROOT / "tests"))

from configuration_world import World, halves, old_records

ARRIVAL_MEMBERS, TENTH = 24, 2
ZONES = 8
SETTLE, LONGEST = 5.0, 300.0  # s of virtual time
APART, CHANGES_A_SIDE = 3600.0, 60
BOOK = 5_000  # records that all hold while they are apart


def fleet(members: int, seed: int, records: int) -> World:
    world = World(members, seed, zones=ZONES)
    world.seed(old_records(records))
    world.start()
    world.run(SETTLE)
    return world


def measure_arrival(records: int, seed: int) -> list[Measured]:
    """One member arrives with no records, then a tenth of the fleet at once."""

    def row(metric: str, value: float, unit: str, note: str) -> Measured:
        return Measured("replication", metric, Size(ARRIVAL_MEMBERS, 0, records), value, unit, seed, note)

    found = []
    for names, what in ((["n5"], "one arrives"), ([f"n{n}" for n in range(5, 5 + TENTH)], "a tenth arrives")):
        world, clock = fleet(ARRIVAL_MEMBERS, seed, records), Stopwatch()
        others = [member for name, member in world.members.items() if name not in names]
        world.kill(*names)
        world.start(*names, empty=True)
        before = {member.name: member.bytes for member in others}
        arrived = [world.members[name] for name in names]
        began = [member.bytes for member in arrived]
        with clock.running():
            took = world.run_until(world.alike, LONGEST)
        came = [member.bytes - had for member, had in zip(arrived, began, strict=True)]
        given = max(member.bytes - before[member.name] for member in others)
        note = f"{len(names)} of {ARRIVAL_MEMBERS} with no records"
        found += [
            row(f"{what}: all held", took, "s", note),
            row(f"{what}: bytes of each", sum(came) / len(came), "B", f"{note}, both ways"),
            row(f"{what}: most bytes of another", given, "B", f"{note}, both ways"),
            row(
                f"{what}: CPU",
                clock.us / 1e6 / len(names),
                "s",
                f"{note}, of the whole fleet, for each",
            ),
        ]
    return found


def measure_apart(members: int, seed: int) -> list[Measured]:
    """A third of the fleet is away for an hour, and each side makes 60 changes."""

    def row(metric: str, value: float, unit: str) -> Measured:
        note = f"a third away for {APART:.0f} s, {CHANGES_A_SIDE} changes on each side"
        return Measured("replication", metric, Size(members), value, unit, seed, note)

    world = fleet(members, seed, BOOK)
    names = list(world.members)
    away = names[: max(1, members // 3)]
    world.cut = halves(away)
    for number in range(CHANGES_A_SIDE):
        world.change(away[number % len(away)], f"customer-{number}")
        world.change(names[len(away) + number % (members - len(away))], f"customer-{number}")
        world.run(APART / CHANGES_A_SIDE)
    before = sum(member.bytes for member in world.members.values())
    world.cut = lambda sender, hearer: False
    took = world.run_until(world.alike, LONGEST)
    spent = sum(member.bytes for member in world.members.values()) - before
    return [
        row("joined again: all alike", took, "s"),
        row("joined again: bytes", spent / members, "B"),
    ]
