"""The measurements that one process can make in a few seconds, each at several sizes.

Every size runs in a process of its own, so that memory is counted from the same beginning.
"""

from __future__ import annotations

import sys
from collections.abc import Callable
from multiprocessing import get_context

import msgspec

from benchmarks.capacity.measurements.arithmetic import work_out_counter, work_out_feed
from benchmarks.capacity.measurements.decisions import measure_accounts, measure_decisions
from benchmarks.capacity.measurements.discovery import measure_discovery
from benchmarks.capacity.measurements.fleet_view import measure_view
from benchmarks.capacity.measurements.plan_book import measure_plan_book
from benchmarks.capacity.measurements.use import measure_use, measure_use_store
from benchmarks.capacity.measurements.virtual_fleet import measure_faults, measure_hour
from benchmarks.capacity.measurements.virtual_replication import measure_apart, measure_arrival
from benchmarks.capacity.results import Measured

VIEW_SIZES = (10, 20, 60, 120, 240, 480, 620, 1024)
ARRIVAL_SIZES = (4_000, 8_000, 20_000, 40_000, 62_000)  # records
APART_SIZES = (6, 12, 24, 60, 80)
FAULTS_SIZES = (4, 10, 20, 40, 60)
CHANGES_SIZES = (2_000, 5_000, 10_000, 20_000, 40_000, 62_000)
BACKENDS_SIZES = (53, 160, 530, 1060, 2120, 3180, 5300)
ACCOUNTS_SIZES = (100, 300, 1_000, 3_000, 6_000, 10_000)
USE_SIZES = (3_000, 10_000, 30_000, 100_000, 200_000)  # that wait
FLEET_SIZES = (6, 20, 62, 120, 240, 480, 620)
SEEDS = (1, 2)


class Measurement(msgspec.Struct, frozen=True):
    """``measure`` is given one size and one seed."""

    measure: Callable[[int, int], list[Measured]]
    sizes: tuple[int, ...]
    seeds: tuple[int, ...] = SEEDS
    one_seed_beyond: int = sys.maxsize  # sizes that take too long for several

    def seeds_of(self, size: int) -> tuple[int, ...]:
        return self.seeds[:1] if size > self.one_seed_beyond else self.seeds


MEASUREMENTS = {
    "view": Measurement(measure_view, VIEW_SIZES, (1, 2, 3), 120),
    "faults": Measurement(measure_faults, FAULTS_SIZES, (1, 2, 3), 40),
    "hour": Measurement(measure_hour, (6, 12, 18), (1,)),
    "arrival": Measurement(measure_arrival, ARRIVAL_SIZES, (1,)),
    "apart": Measurement(measure_apart, APART_SIZES, (1, 2, 3), 24),
    "plan-book": Measurement(measure_plan_book, CHANGES_SIZES),
    "decisions": Measurement(measure_decisions, BACKENDS_SIZES),
    "discovery": Measurement(measure_discovery, BACKENDS_SIZES),
    "accounts": Measurement(measure_accounts, ACCOUNTS_SIZES, (1,)),
    "use": Measurement(measure_use, (500,), (1,)),
    "use-store": Measurement(measure_use_store, USE_SIZES, (1,)),
    "feed": Measurement(work_out_feed, FLEET_SIZES, (0,)),
    "counter": Measurement(work_out_counter, FLEET_SIZES, (0,)),
}


def measure(name: str, most: int = 0) -> list[Measured]:
    """All sizes of one measurement up to ``most`` (0: all), one process after another."""
    measurement = MEASUREMENTS[name]
    found: list[Measured] = []
    context = get_context("spawn")
    with context.Pool(1, maxtasksperchild=1) as pool:
        for size in [each for each in measurement.sizes if not most or each <= most]:
            for seed in measurement.seeds_of(size):
                found += pool.apply(measurement.measure, (size, seed))
                print(f"{name} {size} seed {seed}", file=sys.stderr, flush=True)
    return found
