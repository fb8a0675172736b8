"""How soon a change is in force everywhere and what that costs: the real replicators in virtual time.

Each run begins with a settled fleet of some size that holds a book of records. It measures the cost at rest,
single changes (to the first, half, 99% and the last member, bytes and requests a member), a burst of 500 in
one second, and a change while one request in five is lost, a tenth restarts and a zone is away. A request is
lost with the given share on its way there and again on its way back. Bytes are bodies as encoded, and 160 for
each head.

    python -m benchmarks.configuration_spread run --out configuration_spread.jsonl
    python -m benchmarks.configuration_spread report configuration_spread.jsonl
    python -m benchmarks.configuration_spread book

Every line names the commit. ``run`` uses one process and ends by itself.
"""

from __future__ import annotations

import argparse
import json
import random
import resource
import subprocess
import sys
import time
from collections.abc import Iterable
from pathlib import Path
from typing import Any

from tabulate import tabulate

sys.path.insert(0, str(Path(__file__).parents[1] / "tests"))

from configuration_world import SECOND, UNIX, World, halves, old_records

from gorsefork.configuration.records import Record
from gorsefork.configuration.store import RecordStore

SIZES = (20, 40, 80, 160, 320, 620)
BOOK = 5_000
REST = 30.0  # s
CHANGES = 5
BURST = 500
MOST = 60.0  # s that anything is waited for
ZONES = 8
Row = dict[str, Any]


class Meter:
    """What a fleet sent since this was made, by member."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.bytes, self.requests = self.total()
        self.began = time.process_time()

    def total(self) -> tuple[int, int]:
        members = self.world.members.values()
        return sum(member.bytes for member in members), sum(member.sent for member in members)

    def spent(self) -> Row:
        """Bytes both ways and messages sent, a member; CPU of this process in ms a member."""
        count = len(self.world.members)
        total, requests = self.total()
        return {
            "bytes": round((total - self.bytes) / count),
            "messages": round((requests - self.requests) / count, 2),
            "cpu_ms": round(1000 * (time.process_time() - self.began) / count, 2),
        }


def settled(members: int, seed: int) -> World:
    world = World(members, seed, zones=ZONES)
    world.seed(old_records(BOOK))
    world.start()
    world.run(5)
    return world


def times(world: World, record: Record, names: Iterable[str]) -> Row:
    """Seconds from its acceptance until it was in force, among those members."""
    accepted = world.members[record.origin].in_force[record.mark()]
    found = sorted(world.members[name].in_force[record.mark()] - accepted for name in names)
    places = {"first": 1, "half": len(found) // 2, "most": int(0.99 * len(found)), "last": len(found) - 1}
    return {what: round(found[min(place, len(found) - 1)] / SECOND, 3) for what, place in places.items()}


def at_rest(world: World) -> Row:
    meter = Meter(world)
    world.run(REST)
    spent = meter.spent()
    return {"what": "at rest, a second", **{key: round(value / REST, 3) for key, value in spent.items()}}


def single(world: World, number: int) -> Row:
    names = list(world.members)
    meter = Meter(world)
    record = world.change(names[number * 7 % len(names)], f"customer-{number}")
    world.run_until(lambda: world.have(record), MOST, 0.05)
    return {"what": "one change", **meter.spent(), **times(world, record, names)}


def burst(world: World) -> Row:
    names = list(world.members)
    meter = Meter(world)
    last: Record | None = None
    for number in range(BURST):
        last = world.change(names[number % min(7, len(names))], f"burst-{number}")
        world.run(1 / BURST)
    assert last is not None
    took = world.run_until(world.alike, MOST, 0.05)
    return {"what": f"{BURST} changes in 1 s", **meter.spent(), **times(world, last, names), "alike": took}


def faults(world: World) -> Row:
    """Of those that were not restarted nor away: they are the ones of whom it is asked."""
    world.loss = 0.2
    away = {member.name for member in world.up() if member.zone == "z1"}
    world.cut = halves(away)
    rest = [name for name in world.members if name not in away]
    restarted = rest[5::10]
    world.kill(*restarted)
    meter = Meter(world)
    record = world.change(rest[0], "customer-of-faults")
    world.run(1)
    world.start(*restarted)
    world.run_until(lambda: world.have(record, rest), MOST, 0.05)
    row = {"what": "one change, faults", **meter.spent(), **times(world, record, rest)}
    world.cut = lambda sender, hearer: False
    row["healed"] = round(world.run_until(lambda: world.have(record), MOST, 0.05), 2)
    return row


def measured(members: int, seed: int, with_burst: bool) -> Iterable[Row]:
    world = settled(members, seed)
    yield at_rest(world)
    for number in range(CHANGES):
        yield single(world, number)
        world.run(5)
    yield faults(world)
    if not with_burst:
        return
    world.loss = 0.0
    world.run(40)
    yield burst(world)


def book(given: argparse.Namespace) -> None:
    """Bytes a record, and what filling and changing a book of the whole size costs."""
    records = [
        *whole_book("plan", 62_000, 1),
        *whole_book("route", 3_500, 1),
        *whole_book("change", 63_000, 2),
    ]
    before, began = resident(), time.process_time()
    store = RecordStore()
    for start in range(0, len(records), 4_096):
        store.add_all(records[start : start + 4_096])
    filled = time.process_time() - began
    grown = resident() - before
    began = time.process_time()
    for number in range(1_000):
        store.add(Record("plan", f"customer-{number}", UNIX + 1, "ingress-0001", "operator", bytes(60)))
    changed = time.process_time() - began
    row = {
        "records": len(store),
        "packed_mb": round(store.size / 1e6, 2),
        "bytes_a_record": round(store.size / len(store), 1),
        "resident_mb": round(grown / 1e6, 2),
        "filled_s": round(filled, 2),
        "us_an_add": round(changed * 1e3),
    }
    print(json.dumps({"commit": commit(), **row}))


def whole_book(kind: str, keys: int, versions: int) -> Iterable[Record]:
    """Records whose packed form takes 100 bytes or so."""
    rng = random.Random(kind)
    for number in range(keys):
        for version in range(versions):
            origin = f"ingress-{rng.randrange(620):04}"
            stamp = UNIX - rng.randrange(90 * 86_400 * SECOND) - version
            yield Record(kind, f"customer-{number:05}", stamp, origin, "operator", rng.randbytes(50))


def resident() -> int:
    """Bytes of memory in use now."""
    return int(Path("/proc/self/statm").read_text().split()[1]) * resource.getpagesize()


def commit() -> str:
    found = subprocess.run(
        ["git", "describe", "--always", "--dirty"], capture_output=True, text=True, check=True
    )
    return found.stdout.strip()


def run(given: argparse.Namespace) -> None:
    version = commit()
    with open(given.out, "w", encoding="utf-8") as out:
        for members in given.sizes:
            for row in measured(members, given.seed, members <= given.most_burst):
                line = json.dumps({"commit": version, "seed": given.seed, "members": members, **row})
                print(line, file=out, flush=True)
            print(f"{members} members: done", file=sys.stderr, flush=True)
    report(argparse.Namespace(file=given.out))


def report(given: argparse.Namespace) -> None:
    rows = [json.loads(line) for line in Path(given.file).read_text(encoding="utf-8").splitlines()]
    names = ("members", "first", "half", "most", "last", "alike", "healed", "bytes", "messages", "cpu_ms")
    for what in dict.fromkeys(row["what"] for row in rows):
        table = [[row.get(name) for name in names] for row in rows if row["what"] == what]
        print(f"\n{what}\n{tabulate(table, names, tablefmt='pipe')}")
    print(f"\ncommit {rows[0]['commit']}, seed {rows[0]['seed']}")


def main() -> None:
    parser = argparse.ArgumentParser(description=(__doc__ or "").split("\n", 1)[0])
    parts = parser.add_subparsers(dest="part", required=True)
    some = parts.add_parser("run", help="measure, and write a line of JSON for each result")
    some.add_argument("--sizes", type=int, nargs="*", default=SIZES)
    some.add_argument("--seed", type=int, default=1)
    some.add_argument("--most-burst", type=int, default=max(SIZES), help="larger fleets are spared the burst")
    some.add_argument("--out", default="configuration_spread.jsonl")
    some.set_defaults(do=run)
    again = parts.add_parser("report", help="tables from such a file")
    again.add_argument("file")
    again.set_defaults(do=report)
    parts.add_parser("book", help="what a whole book takes").set_defaults(do=book)
    given = parser.parse_args()
    given.do(given)


if __name__ == "__main__":
    main()
