"""Use on its way to the accounts, in memory and on disk."""

from __future__ import annotations

from pathlib import Path
from tempfile import TemporaryDirectory

from benchmarks.capacity.measurements.decisions import REQUESTS_A_SECOND
from benchmarks.capacity.measurements.stopwatch import UNIX, Stopwatch, allocated
from benchmarks.capacity.results import Measured, Size
from gorsefork.storage.database import Database
from gorsefork.storage.uses import DiskUsageStore
from gorsefork.usage.records import Batch, Use
from gorsefork.usage.store import MemoryUsageStore


def measure_use(lines: int, seed: int) -> list[Measured]:
    def row(metric: str, value: float, unit: str, note: str = "") -> Measured:
        return Measured("use", metric, Size(620), value, unit, lines, note)

    def uses() -> tuple[Use, ...]:
        return tuple(
            Use(n + 1, f"{n:016x}", "large-museum", "track-fetch", 1_000_000, UNIX + n) for n in range(lines)
        )

    def stored() -> object:
        store = MemoryUsageStore("n0", UNIX)
        store.append(uses())
        return store

    batch, encode = Batch("n0", UNIX, 1, uses(), 1), Stopwatch()
    for _ in range(20):
        with encode.running():
            batch.encode("msgpack")
    note = f"of {lines} in a batch"
    return [
        row("bytes of one, MessagePack", len(batch.encode("msgpack")) / lines, "B", note),
        row("bytes of one, lines of JSON", len(batch.encode("ndjson")) / lines, "B", note),
        row("encoding one", encode.mean() / lines, "us", f"CPU, {note}"),
        row("memory of one that waits", allocated(stored) / lines, "B", f"tracemalloc, {note}"),
    ]


def measure_use_store(waiting: int, seed: int) -> list[Measured]:
    """On disk, with so many that the accounts lack; written 129 at a time, as many as come in a second."""

    def row(metric: str, value: float, unit: str, note: str = "") -> Measured:
        return Measured("use on disk", metric, Size(tenants=waiting), value, unit, seed, note)

    def uses(first: int, many: int) -> list[Use]:
        return [
            Use(n, f"{n:016x}", "large-museum", "track-fetch", 1_000_000, UNIX + n)
            for n in range(first, first + many)
        ]

    append, batch, opening = Stopwatch(), Stopwatch(), Stopwatch()
    group = round(REQUESTS_A_SECOND)
    with TemporaryDirectory() as folder:
        database = Database(Path(folder), "n0", "normal")
        store = DiskUsageStore(database, UNIX)
        store.append(uses(1, waiting))
        for number in range(20):
            some = uses(waiting + 1 + number * group, group)
            with append.running():
                store.append(some)
        with batch.running():
            store.batch(500)
        size = sum(path.stat().st_size for path in Path(folder).iterdir())
        database.close()
        with opening.running():
            database = Database(Path(folder), "n0", "normal")
            DiskUsageStore(database, UNIX + 1)
        database.close()
    return [
        row("written, one", append.mean() / group, "us", f"CPU, {group} at a time, sync normal"),
        row("read for a batch of 500", batch.mean() / 1000, "ms", "CPU"),
        row("bytes on disk, one", size / (waiting + 20 * group), "B", "with the write-ahead log"),
        row("opened", opening.mean() / 1000, "ms", "CPU"),
    ]
