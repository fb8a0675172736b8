"""How soon a fleet sees what happens to it, and what that costs: the real membership core in virtual time.

Each run begins with a settled fleet, lets one member idle along, kills another, and, in smaller fleets, cuts
it in half for a while and heals it. Written for each run: when the first and the last member called the dead
one unreachable, when all had one settled view again, the same after the cut, wrong verdicts, and datagrams
and bytes a member and second while nothing happened. Each is held against the bounds of
``gorsefork/fleet/bounds.py``.

    python -m benchmarks.fleet_view run --runs 1000 --processes 8 --out fleet_view.parquet
    python -m benchmarks.fleet_view report fleet_view.parquet --plots docs/plots

Needs requirements-lab.txt. ``run`` ends by itself; the largest fleets get fewer runs.
"""

from __future__ import annotations

import argparse
import random
import sys
import time
from collections import defaultdict
from math import ceil
from multiprocessing import Pool
from pathlib import Path
from typing import Any

import trio

sys.path.insert(0, str(Path(__file__).parents[1] / "tests"))

from fleet_world import UNIX, World, halves

from gorsefork.fleet import bounds
from gorsefork.fleet.bounds import Tempo
from gorsefork.fleet.facts import Fact, State
from gorsefork.fleet.membership import SECOND, Timings

MEMBERS = (3, 5, 12, 40, 100, 250, 500)
LOSSES = (0.0, 0.1, 0.2, 0.4)
DELAYS = (0.005, 0.05, 0.25)
QUIET, IDLE, CUT = 3.0, 10.0, 45.0
WORST_SETTLED = 0.2  # loss up to which a settled view is promised
MOST_CUT = 40  # members of a fleet that is cut too
SHARES = {3: 6, 5: 6, 12: 6, 40: 3, 100: 1, 250: 0.25, 500: 0.1}  # of the runs
Row = dict[str, Any]


def grown(members: int, seed: int, loss: float, delay: float, settle: float = 2.0 * QUIET) -> World:
    """A settled fleet, told of each other beforehand: how it came together is measured by the tests."""
    world = World(members, seed, Timings(quiet=int(QUIET * SECOND)), loss, (0.2 * delay, delay), seeds=3)
    world.start(*world.places)
    facts = [Fact(core.name, UNIX, 0, State.ALIVE, core.fact.card) for core in world.cores()]
    for core in world.cores():
        for fact in facts:
            core.view.take(fact, 0, "before")
        core.news.pieces.clear()
        core.events.clear()
    for place in world.places.values():
        place.events.clear()
        world.settle(place)
    world.run(settle)
    return world


def wait(world: World, what: Any, most: float) -> float | None:
    try:
        return world.run_until(what, most, step=0.5)
    except AssertionError:
        return None


def doubt(loss: float) -> int:
    """How far a prober stretches what it waits: answers that are lost make it doubt itself."""
    return 1 + round(8 * min(1.0, 2.0 * loss))


def one(job: tuple[int, int, float, float]) -> Row:
    seed, members, loss, delay = job
    began, world = time.process_time(), grown(members, seed, loss, delay)
    rng = random.Random(seed)
    tempo = Tempo(members, max(1.0, 4.0 * 2.2 * delay), loss, delay, doubt(loss))
    row: Row = {
        "seed": seed,
        "members": members,
        "loss": loss,
        "delay": delay,
        "bound_detection": bounds.detection(tempo),
        "bound_settling": bounds.settling(tempo, QUIET),
    }
    sent, counted = world.sent, world.bytes
    world.run(IDLE)
    row["datagrams"] = (world.sent - sent) / IDLE / members
    row["bytes"] = (world.bytes - counted) / IDLE / members
    victim = f"n{rng.randrange(members)}"
    died = world.now
    world.kill(victim)
    others = [name for name in world.places if name != victim]
    row["detection"] = wait(
        world,
        lambda: all(world.shown(n, victim) == "unreachable" for n in others),
        2.0 * row["bound_detection"],
    )
    verdicts = [at - died for at, _ in world.happened("unreachable", victim)]
    row["first"] = min(verdicts, default=None)
    row["settling"] = wait(world, lambda: world.one_view(others), 2.0 * row["bound_settling"])
    if row["settling"] is not None and row["detection"] is not None:
        row["settling"] += row["detection"]
    row["wrong"] = sum(event.name != victim for _, event in world.happened("unreachable"))
    row["healing"] = None
    if members <= MOST_CUT and members > 3 and loss <= WORST_SETTLED:
        world.cut = halves(rng.sample(others, len(others) // 2))
        world.run(CUT)
        world.cut = lambda sender, hearer: False
        row["healing"] = wait(world, lambda: world.one_view(others), 2.0 * row["bound_settling"] + 80.0)
        row["bound_healing"] = row["bound_settling"] + 64.0 * 1.25
    row["ended"] = len(world.happened("ended")) + len(world.happened("given up"))
    row["longest"] = world.longest
    row["cpu"] = time.process_time() - began
    return row


def jobs(runs: int) -> list[tuple[int, int, float, float]]:
    """The largest first, so that no process is left alone with one at the end."""
    found, seed = [], 0
    whole = sum(SHARES.values())
    for members in reversed(MEMBERS):
        for n in range(ceil(runs * SHARES[members] / whole)):
            seed += 1
            found.append((seed, members, LOSSES[n % len(LOSSES)], DELAYS[n // len(LOSSES) % len(DELAYS)]))
    return found


def run(given: argparse.Namespace) -> None:
    import pyarrow as pa
    import pyarrow.parquet as pq

    rows, work = [], jobs(given.runs)
    with Pool(given.processes) as pool:
        for row in pool.imap_unordered(one, work, chunksize=1):
            rows.append(row)
            if len(rows) % 50 == 0:
                print(f"{len(rows)} of {len(work)}", file=sys.stderr, flush=True)
    names = sorted({name for row in rows for name in row})
    table = pa.table({name: [row.get(name) for row in rows] for name in names})
    pq.write_table(table, given.out)
    report(argparse.Namespace(file=given.out, plots=None))


def loopback(given: argparse.Namespace) -> None:
    """Processes of the program beside the simulation, at the same pace: a crash and a cut, several times."""
    import tempfile

    from fleet_rig import rigged

    period = 200_000
    pace = Timings(period=period, timeout=60_000, quiet=500_000)

    async def real(times: dict[str, list[float]]) -> None:
        with tempfile.TemporaryDirectory() as folder:
            async with rigged(Path(folder), 1) as rig:
                first = await rig.start("n0", seeds=())
                fleet = [first, *await rig.started(*(f"n{n}" for n in range(1, given.members)))]
                await rig.settled(*fleet)
                for turn in range(given.times):
                    victim = fleet.pop(1 + turn % (given.members - 1))
                    marks = [len(running.events) for running in fleet]
                    await rig.kill(victim)
                    died = trio.current_time()
                    for running, mark in zip(fleet, marks, strict=True):
                        await rig.event(running, "fleet.unreachable", victim.name, mark)
                    times["detection"].append(trio.current_time() - died)
                    await rig.settled(*fleet)
                    times["settling"].append(trio.current_time() - died)
                    fleet.append(await rig.start(victim.name))
                    await rig.settled(*fleet)
                half = {f"n{n}" for n in range(given.members // 2)}
                for _ in range(given.times):
                    rig.faults.cut = lambda one, other: (one in half) != (other in half)
                    passed = rig.passed
                    await rig.until(lambda p=passed: enough(rig.passed, p + 60 * given.members))  # type: ignore
                    rig.faults.cut = lambda one, other: False
                    healed = trio.current_time()
                    await rig.settled(*fleet)
                    times["healing"].append(trio.current_time() - healed)

    def simulated(seed: int, times: dict[str, list[float]]) -> None:
        world = World(given.members, seed, pace, 0.0, (0.0001, 0.001))
        world.start(*world.places)
        world.run_until(world.one_view, 60.0)
        died = world.now
        world.kill("n1")
        others = [name for name in world.places if name != "n1"]
        world.run_until(lambda: all(world.shown(n, "n1") == "unreachable" for n in others), 60.0, 0.05)
        times["detection"].append(world.now - died)
        world.run_until(lambda: world.one_view(others), 60.0, 0.05)
        times["settling"].append(world.now - died)
        world.start("n1")
        world.run_until(world.one_view, 60.0)
        world.cut = halves(f"n{n}" for n in range(given.members // 2))
        world.run(6.0)
        world.cut = lambda one, other: False
        times["healing"].append(world.run_until(world.one_view, 60.0, 0.05))

    found: dict[str, dict[str, list[float]]] = {
        "processes": defaultdict(list),
        "simulated": defaultdict(list),
    }
    trio.run(real, found["processes"])
    for seed in range(20 * given.times):
        simulated(seed, found["simulated"])
    for where, times in found.items():
        for what, seconds in times.items():
            some = sorted(seconds)
            print(
                f"{where:10} {what:10} least {some[0]:.2f}, median {some[len(some) // 2]:.2f}, "
                f"most {some[-1]:.2f} s of {len(some)}"
            )


async def enough(count: int, wanted: int) -> bool:
    return count >= wanted


def beyond(row: Row) -> list[str]:
    """Which bounds a run went beyond."""
    found = []
    for what in ("detection", "settling", "healing"):
        promised = what == "detection" or row["loss"] <= WORST_SETTLED
        if what == "healing" and row.get("bound_healing") is None:
            continue
        if promised and (row[what] is None or row[what] > row[f"bound_{what}"]):
            found.append(what)
    return found + (["ended"] if row["ended"] else [])


def report(given: argparse.Namespace) -> None:
    import pyarrow.parquet as pq

    rows: list[Row] = pq.read_table(given.file).to_pylist()
    groups: dict[tuple[int, float], list[Row]] = defaultdict(list)
    for row in rows:
        groups[row["members"], row["loss"]].append(row)
    print(
        "members loss runs  detection s (median, most, bound)  settling s (median, most, bound)  healing s"
        "  wrong  datagrams  bytes a member and s"
    )
    for (members, loss), some in sorted(groups.items()):
        times = "  ".join(shown(some, what) for what in ("detection", "settling", "healing"))
        wrong, datagrams = sum(row["wrong"] for row in some), mean(some, "datagrams")
        cost = f"{datagrams:6.2f} {mean(some, 'bytes'):6.0f}"
        print(f"{members:7} {loss:4} {len(some):4}  {times}  {wrong:5} {cost}")
    keys = ("seed", "members", "loss", "delay")
    bad = [(*(row[key] for key in keys), beyond(row)) for row in rows if beyond(row)]
    print(f"{len(rows)} runs; beyond a bound: {len(bad)}")
    for each in bad[:20]:
        print("  seed {}, {} members, loss {}, delay {}: {}".format(*each[:4], ", ".join(each[4])))
    if given.plots:
        draw(rows, Path(given.plots))


def values(some: list[Row], what: str) -> list[float]:
    return sorted(row[what] for row in some if row[what] is not None)


def mean(some: list[Row], what: str) -> float:
    found = values(some, what)
    return sum(found) / max(1, len(found))


def shown(some: list[Row], what: str) -> str:
    found = values(some, what)
    if not found:
        return f"{'-':>24}"
    bound = min((row[f"bound_{what}"] for row in some if row.get(f"bound_{what}")), default=float("nan"))
    return f"{found[len(found) // 2]:7.1f} {found[-1]:7.1f} {bound:8.1f}"


def draw(rows: list[Row], folder: Path) -> None:
    """Detection and settling against the fleet's size, a line a loss, and cost against size."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    folder.mkdir(parents=True, exist_ok=True)
    figure, axes = pyplot.subplots(1, 3, figsize=(15, 4.5))
    for axis, what, title in zip(
        axes,
        ("detection", "settling", "datagrams"),
        ("all call it unreachable, s", "one settled view again, s", "datagrams a member and second, idle"),
        strict=True,
    ):
        for loss in LOSSES:
            of_loss = [row for row in rows if row["loss"] == loss]
            points = [
                (members, values([row for row in of_loss if row["members"] == members], what))
                for members in MEMBERS
            ]
            points = [(members, found) for members, found in points if found]
            axis.plot(
                [m for m, _ in points],
                [f[len(f) // 2] for _, f in points],
                marker="o",
                label=f"loss {loss:.0%}",
            )
            axis.fill_between(
                [m for m, _ in points], [f[0] for _, f in points], [f[-1] for _, f in points], alpha=0.15
            )
        axis.set_xscale("log")
        axis.set_xlabel("members")
        axis.set_title(title)
        axis.set_ylim(bottom=0)
        axis.legend()
    figure.tight_layout()
    figure.savefig(folder / "fleet_view.png", dpi=80)


def main() -> None:
    parser = argparse.ArgumentParser(description=(__doc__ or "").split("\n", 1)[0])
    parts = parser.add_subparsers(dest="part", required=True)
    some = parts.add_parser("run", help="play seeded runs, and write them as Parquet")
    some.add_argument("--runs", type=int, default=1000)
    some.add_argument("--processes", type=int, default=4)
    some.add_argument("--out", default="fleet_view.parquet")
    some.set_defaults(do=run)
    beside = parts.add_parser("loopback", help="processes of the program beside the simulation")
    beside.add_argument("--members", type=int, default=12)
    beside.add_argument("--times", type=int, default=4)
    beside.set_defaults(do=loopback)
    again = parts.add_parser("report", help="tables from such a file, and plots")
    again.add_argument("file")
    again.add_argument("--plots", default=None, help="a folder for fleet_view.png")
    again.set_defaults(do=report)
    given = parser.parse_args()
    given.do(given)


if __name__ == "__main__":
    main()
