"""What the plan book of one ingress costs at several sizes: memory, start from disk, and a change.

    python -m benchmarks.plan_book_size

Each size runs in a process of its own: so many customers with a plan, and twice as many later changes for
them. Written: RSS that the loaded book adds (MB of 10**6 bytes), CPU of loading it from disk, and the median
CPU of one change made through ``PlanService`` without a disk, of one standing, of the terms of an unknown
customer, of a digest; and of one pass over the whole book as it is tidied.
"""

from __future__ import annotations

import argparse
import random
import statistics
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable, Iterator
from itertools import islice
from pathlib import Path
from typing import Any

import trio

from gorsefork.configuration.store import RecordStore
from gorsefork.decisions import interface as i
from gorsefork.life.plan_records import load_book, record_of
from gorsefork.life.plan_service import NoStorage, PlanService
from gorsefork.memory.clock import Clock
from gorsefork.plans.changes import Change, Reserve, SetPlan
from gorsefork.plans.contracts import PlanResolver
from gorsefork.plans.expiry import ExpirySweep
from gorsefork.storage.database import Database
from gorsefork.storage.records import DurableRecords

SIZES = (2_000, 5_000, 20_000, 62_000)  # customers
LATER = 2  # further changes a customer
ROUNDS = 200
BEGAN = 1_760_000_000_000_000  # us of Unix time
DAY = 86_400_000_000
PLANS = [i.Plan("small-gallery", rate=4.0, burst=24.0), i.Plan("large-museum", rate=16.0, burst=96.0)]


def resident() -> int:
    """Bytes."""
    return int(Path("/proc/self/statm").read_text().split()[1]) * 4096


def customer(number: int) -> str:
    return f"{number * 0x9E3779B97F4A7C15 & (1 << 64) - 1:016x}"


def changes(customers: int, seed: int) -> Iterator[Change]:
    rng = random.Random(seed)
    for number in range(customers * (1 + LATER)):
        whose = number if number < customers else rng.randrange(customers)
        stamp = BEGAN + number * 1_000_000
        act: Any = SetPlan(customer(whose), rng.choice(PLANS).name, stamp)
        if number % 20 == 0:
            act = Reserve(customer(whose), 2.0, 20.0, stamp, stamp + DAY)
        key = f"order-{number}" if number % 10 == 0 else ""
        yield Change(stamp, f"ingress-{number % 620}", act, "ana", key=key)


def median_us(step: Callable[[int], object]) -> float:
    spent = []
    for number in range(ROUNDS):
        before = time.process_time_ns()
        step(number)
        spent.append((time.process_time_ns() - before) / 1000)
    return statistics.median(spent)


async def median_change(make: Callable[[int], Awaitable[None]]) -> float:
    spent = []
    for number in range(ROUNDS):
        before = time.process_time_ns()
        await make(number)
        spent.append((time.process_time_ns() - before) / 1000)
    return statistics.median(spent)


def prepare(folder: str, customers: int) -> None:
    database = Database(Path(folder), "n0", "normal")
    records = DurableRecords(database)
    rest = changes(customers, 1)
    while some := list(islice(rest, 5000)):
        records.save([record_of(change) for change in some])
    database.close()


def measure(folder: str, customers: int) -> None:
    database = Database(Path(folder), "n0", "normal")
    clock = Clock()
    before, began = resident(), time.process_time()
    store = RecordStore()
    book = load_book(DurableRecords(database), store, clock.unix_us())
    loading, held = time.process_time() - began, resident() - before
    keeper = PlanService(
        PlanResolver(PLANS, book), NoStorage(), clock, "n0", "1", lambda names: None, lambda *a, **k: None
    )

    async def make(number: int) -> None:
        await keeper.make(SetPlan(customer(number), "large-museum", clock.unix_us()), "ana")

    now = clock.unix_us()
    standing = median_us(lambda n: book.effective_plan(customer(n), now))
    unknown = median_us(lambda n: keeper.contracts.plan_for(f"{n:016x}", 0, now))
    digest = median_us(lambda n: book.digest())
    one_change = trio.run(median_change, make)
    began = time.process_time()
    forgetting = ExpirySweep(book, now - 90 * DAY)
    for place in range(book.log.parts):
        forgetting.examine_part(place)
    forgetting.finish()
    whole = time.process_time() - began
    print(
        f"{customers:9} {len(book):8} {store.size / 1e6:9.1f} {held / 1e6:9.1f} {loading:9.2f} "
        f"{one_change:9.0f} {standing:9.0f} {unknown:9.0f} {digest:9.1f} {whole:9.2f}",
        flush=True,
    )
    database.close()


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.split("\n", 1)[0] if __doc__ else "")
    parser.add_argument("--sizes", type=int, nargs="+", default=SIZES)
    parser.add_argument("--step", nargs=3, metavar=("STEP", "FOLDER", "CUSTOMERS"), help=argparse.SUPPRESS)
    given = parser.parse_args()
    if given.step:
        step, folder, customers = given.step
        (prepare if step == "prepare" else measure)(folder, int(customers))
        return
    print(
        "customers  changes packed MB    RSS MB load CPU s change us  standing   unknown    digest   whole s"
    )
    for customers in given.sizes:
        with tempfile.TemporaryDirectory() as folder:
            for step in ("prepare", "measure"):
                command = [sys.executable, "-m", "benchmarks.plan_book_size", "--step", step]
                subprocess.run([*command, f"{folder}/n0", str(customers)], check=True)


if __name__ == "__main__":
    main()
