"""Plays an experiment, one size after another, and measures it."""

from __future__ import annotations

import os
import random
import tempfile
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from pathlib import Path

import trio

from gorsefork.lab.scale import messages as m
from gorsefork.lab.scale.changes import Changes
from gorsefork.lab.scale.experiment import Experiment, Fault
from gorsefork.lab.scale.fleet import HostLost, ScaleFleet, hollow_places
from gorsefork.lab.scale.hollow import FIRST_CHANGED, customer
from gorsefork.lab.scale.machine import BeyondBounds, Guard
from gorsefork.lab.scale.meter import Meter
from gorsefork.lab.scale.results import Results

GUARD_EVERY = 0.5  # s
LOOK_EVERY = 0.5  # s; how exact gathering, loading and recovery are timed

Progress = Callable[[str], None]


@dataclass(frozen=True, slots=True)
class Wait:
    """After so many seconds so many of all were as wanted."""

    seconds: float
    good: int
    all: int


class SizeRun:
    """One size of an experiment."""

    def __init__(self, experiment: Experiment, size: int, results: Results, fleet: ScaleFleet) -> None:
        self.experiment, self.size, self.results, self.fleet = experiment, size, results, fleet
        self.rng = random.Random(f"{experiment.seed} {size}")
        self.changes = Changes()
        self.add = partial(results.add, size)
        self.meter = Meter(fleet, self.subjects(), self.add)
        self.progress: Progress = lambda text: None

    async def run(self) -> None:
        await self.fleet.open()
        self.meter.note_ready("hollow")
        await self.begin()
        await self.rest()
        if self.experiment.load.changes or self.experiment.faults:
            await self.busy()

    # The phases.

    async def begin(self) -> None:
        """The first alone, then all others at once, until each sees all and holds what the first held."""
        names, load = list(self.fleet.home), self.experiment.load
        await self.fleet.start(names[:1], tenants=load.tenants)
        await self.fleet.start(names[1:])
        self.meter.note_ready("real")
        if self.experiment.fleet.introduced:
            await self.fleet.introduce()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.gather, len(names))
            if load.tenants:
                nursery.start_soon(self.load, load.tenants)

    async def gather(self, many: int) -> None:
        within = self.experiment.phases.gather_within
        wait = await self.until("gathered", within, lambda s: s.seen == many and s.settled)
        how = "all know each other" if self.experiment.fleet.introduced else "all started at once"
        self.took("gather", wait, f"{how}, until all views are settled")

    async def load(self, tenants: int) -> None:
        wait = await self.until("loaded", self.experiment.phases.load_within, lambda s: s.held >= tenants)
        self.took("first load", wait, f"{tenants} tenants' plans, all started at once")

    async def rest(self) -> None:
        """Nothing happens: what it costs to be there."""
        await self.measure("rest", self.experiment.phases.rest)
        self.meter.tell_sizes()

    async def measure(self, phase: str, seconds: float) -> None:
        self.progress(f"{phase}: {seconds:.0f} s")
        await self.meter.measure(phase, seconds)

    def subjects(self) -> list[str]:
        return ["hollow", "real"] if self.experiment.fleet.real else ["hollow"]

    async def busy(self) -> None:
        """Changes one after another, and the faults among them."""
        load, phases = self.experiment.load, self.experiment.phases
        async with trio.open_nursery() as nursery:
            for fault in self.experiment.faults:
                nursery.start_soon(self.play, fault)
            if load.changes:
                nursery.start_soon(self.measure, "changes", load.changes * load.change_every)
                with trio.move_on_after(phases.changes_within):
                    await self.make_changes()
        everywhere = partial(self.is_everywhere, self.wanted(), len(self.fleet.places))
        await self.until("recovered", phases.recover_within, everywhere)
        if load.changes:
            self.changes.tell(set(self.fleet.places), load.changes, self.add)

    @staticmethod
    def is_everywhere(wanted: int, there: int, standing: m.Standing) -> bool:
        return standing.seen == there and standing.held >= wanted

    def wanted(self) -> int:
        return self.experiment.load.tenants + len(self.changes.accepted)

    async def make_changes(self) -> None:
        load, began = self.experiment.load, trio.current_time()
        for number in range(load.changes):
            await trio.sleep_until(began + number * load.change_every)
            name, whose = self.rng.choice(list(self.fleet.places)), customer(FIRST_CHANGED + number)
            made = await self.fleet.change(name, whose)
            if made.problem:
                self.changes.refused.append(made.problem)
            else:
                self.changes.accepted[whose] = made.at
            self.progress(f"change {number + 1} of {load.changes}")

    # The faults.

    async def play(self, fault: Fault) -> None:
        await trio.sleep(fault.at)
        if fault.kind == "cut":
            assert fault.lasts is not None
            await self.fleet.cut(self.zones_of(fault))
            await trio.sleep(fault.lasts)
            await self.fleet.cut([])
            what = "zone" if fault.region is None else "region"
            await self.recovered(f"cut of a {what}", f"for {fault.lasts:g} s")
            return
        assert fault.share is not None
        others = self.fleet.names("hollow")[1:]
        names = self.rng.sample(others, max(1, round(fault.share * len(self.fleet.places))))
        await self.fleet.kill(names)
        if fault.kind == "kill":
            await self.recovered("kill", f"of {len(names)}")
            return
        await self.fleet.start(names, keep_disk=fault.disk == "old")
        disk = "its old disk" if fault.disk == "old" else "no disk"
        await self.recovered(f"restart with {disk}", f"of {len(names)}")

    def zones_of(self, fault: Fault) -> list[str]:
        """Those that are cut off together."""
        given = self.experiment.fleet
        zones = range(given.zones) if fault.zone is None else [fault.zone]
        return [f"z{zone}" for zone in zones if fault.region in (None, zone % given.regions)]

    async def recovered(self, fault: str, note: str) -> None:
        """Until all that run see each other and hold what was accepted by the beginning of the wait."""
        wanted, there = self.wanted(), len(self.fleet.places)
        async with trio.open_nursery() as nursery:
            if wanted:
                nursery.start_soon(self.back, f"catch up after {fault}", note, lambda s: s.held >= wanted)
            nursery.start_soon(self.back, f"view again after {fault}", note, lambda s: s.seen == there)

    async def back(self, metric: str, note: str, good: Callable[[m.Standing], bool]) -> None:
        wait = await self.until(metric, self.experiment.phases.recover_within, good)
        self.took(metric, wait, note)

    # Waiting.

    async def until(self, what: str, within: float, good: Callable[[m.Standing], bool]) -> Wait:
        """Wait until all are good, ``within`` seconds at the most."""
        began = trio.current_time()
        while True:
            sights = await self.fleet.look()
            for sight in sights:
                self.changes.hear(sight.arrivals)
            standings = [standing for sight in sights for standing in sight.standings]
            count, took = sum(map(good, standings)), trio.current_time() - began
            self.progress(f"{what}: {count} of {len(standings)}")
            if count == len(standings) or took > within:
                return Wait(took, count, len(standings))
            await trio.sleep(LOOK_EVERY)

    def took(self, metric: str, wait: Wait, note: str) -> None:
        if wait.good == wait.all:
            self.add("fleet", metric, wait.seconds, "s", f"{note}; looked at every {LOOK_EVERY:g} s")
        else:
            note = f"{note}: {wait.good} of {wait.all} after {wait.seconds:.0f} s"
            self.add("fleet", f"{metric} missed", 1.0 - wait.good / wait.all, "share of ingresses", note)


async def play(experiment: Experiment, results: Results, progress: Progress) -> str:
    """All sizes; why it ended early, or nothing. What was measured is in ``results`` either way."""
    reason = ""
    for size in experiment.fleet.sizes:
        try:
            await play_size(experiment, size, results, partial(at_size, progress, size))
        except* (BeyondBounds, HostLost, KeyboardInterrupt) as group:
            reason = "; ".join(dict.fromkeys(str(error) or type(error).__name__ for error in leaves(group)))
            results.add(size, "run", "stopped", 1, "times", reason)
        if reason:
            return f"at {size} ingresses: {reason}"
    return ""


def at_size(progress: Progress, size: int, text: str) -> None:
    progress(f"{size}: {text}")


async def play_size(experiment: Experiment, size: int, results: Results, progress: Progress) -> None:
    bounds = experiment.bounds
    guard = Guard(bounds.memory_share, bounds.processes)
    guard.check_plan(
        size, experiment.load.tenants, len(hollow_places(experiment, size)) + experiment.fleet.real + 1
    )
    with tempfile.TemporaryDirectory(prefix="gorsefork-scale-") as folder:
        async with trio.open_nursery() as nursery:
            fleet = ScaleFleet(experiment, size, Path(folder), nursery)
            run = SizeRun(experiment, size, results, fleet)
            run.progress = progress
            nursery.start_soon(keep_bounds, guard, fleet)
            try:
                await run.run()
            finally:
                await fleet.close()
            nursery.cancel_scope.cancel()


async def keep_bounds(guard: Guard, fleet: ScaleFleet) -> None:
    while True:
        guard.check([os.getpid(), *fleet.pids()])
        await trio.sleep(GUARD_EVERY)


def leaves(group: BaseExceptionGroup[BaseException]) -> list[BaseException]:
    found: list[BaseException] = []
    for error in group.exceptions:
        found += leaves(error) if isinstance(error, BaseExceptionGroup) else [error]
    return found


def run(experiment: Experiment, progress: Progress) -> tuple[Results, str]:
    """Plays it whole; its results, and why it ended early, or nothing."""
    results = Results(experiment)
    return results, trio.run(partial(play, experiment, results, progress))
