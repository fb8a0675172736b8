"""How many uses a second one state folder records, by the size of a group, with and without an fsync.

python -m benchmarks.recording --seconds 2
"""

from __future__ import annotations

import argparse
import sys
import tempfile
import time
from collections.abc import Sequence
from pathlib import Path
from typing import Literal

from gorsefork.storage.database import Database
from gorsefork.storage.uses import DiskUsageStore
from gorsefork.usage.records import Use

SYNCS: tuple[Literal["normal", "full"], ...] = ("normal", "full")


def rate(folder: Path, sync: Literal["normal", "full"], group: int, seconds: float) -> tuple[float, float]:
    """Uses a second, and the time that one group takes, in microseconds."""
    database = Database(folder, "n0", sync)
    store, number, groups = DiskUsageStore(database, 1), 1, 0
    began = time.perf_counter()
    while (took := time.perf_counter() - began) < seconds:
        store.append(
            [
                Use(n, "00000000b4d65521", "large-museum", "look", 1_000_000, 1_700_000_000_000_000)
                for n in range(number, number + group)
            ]
        )
        number, groups = number + group, groups + 1
    database.close()
    return (number - 1) / took, took / groups * 1e6


def main(words: Sequence[str] | None = None) -> int:
    parser = argparse.ArgumentParser(prog="python -m benchmarks.recording")
    parser.add_argument("--seconds", type=float, default=2.0)
    given = parser.parse_args(words)
    print(f"{'group':>6}{'normal: uses/s':>18}{'us a group':>12}{'full: uses/s':>18}{'us a group':>12}")
    with tempfile.TemporaryDirectory(dir=".") as folder:
        for group in (1, 10, 100, 1000):
            row = f"{group:6d}"
            for sync in SYNCS:
                uses, took = rate(Path(folder) / f"{sync}-{group}", sync, group, given.seconds)
                row += f"{uses:18.0f}{took:12.0f}"
            print(row, flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
