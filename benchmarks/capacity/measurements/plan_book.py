"""The plan book over packed records, one change a customer."""

from __future__ import annotations

import gc
from collections.abc import Iterator

import msgspec

from benchmarks.capacity.measurements.stopwatch import UNIX, Stopwatch, resident
from benchmarks.capacity.results import Measured, Size
from gorsefork.configuration.store import RecordStore
from gorsefork.life.plan_records import PlanRecords
from gorsefork.plans.book import PlanBook
from gorsefork.plans.change_feed import ChangeFeed, Page
from gorsefork.plans.changes import Change, SetPlan

CHANGES_AT_ONCE = 1_000


def plan_change(number: int) -> Change:
    act = SetPlan(f"{number:016x}", "large-museum", UNIX + 2_000_000)
    return Change(UNIX + number, f"n{number % 620}", act, "operator-1", "moved at the customer's wish")


def measure_plan_book(changes: int, seed: int) -> list[Measured]:
    def row(metric: str, value: float, unit: str, note: str = "") -> Measured:
        return Measured("plan book", metric, Size(tenants=changes), value, unit, seed, note)

    gc.collect()
    before = resident()
    build, one, digest, walk = Stopwatch(), Stopwatch(), Stopwatch(), Stopwatch()
    book = PlanBook(PlanRecords(RecordStore()))
    for start in range(0, changes, CHANGES_AT_ONCE):
        made = [plan_change(number) for number in range(start, min(start + CHANGES_AT_ONCE, changes))]
        with build.running():
            for change in made:
                book.add(change)
    del made
    gc.collect()
    memory = resident() - before
    with walk.running():
        pages = [len(msgspec.msgpack.encode(page)) for page in whole_book(book)]
    for number in range(changes, changes + 200):
        with one.running():
            book.add(plan_change(number))
    with digest.running():
        book.digest()
    return [
        row("memory", memory, "B", "growth of the resident set"),
        row("build", build.us / 1e6, "s", "CPU, one change after another"),
        row("one change", one.mean(), "us", "CPU"),
        row("digest", digest.us / 1000, "ms", "CPU, on the loop at each answer of the feed"),
        row("whole book in pages", sum(pages), "B", f"MessagePack, {len(pages)} pages"),
        row("largest page", max(pages), "B", "MessagePack"),
        row("whole book given out", walk.us / 1e6, "s", "CPU, pages made and encoded"),
    ]


def whole_book(book: PlanBook) -> Iterator[Page]:
    """All pages of the feed that a new life of another ingress asks for."""
    arrivals = ChangeFeed("life", book)
    page = arrivals.page("", 0, book)
    yield page
    while page.life != arrivals.life:
        page = arrivals.page(page.life, page.position, book)
        yield page
