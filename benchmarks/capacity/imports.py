"""Takes in what other programs of this project measured: Parquet with the same columns, or lines of JSON.

A line of JSON has the columns of a result, any that play no part left out. ``run_id``, ``commit``,
``machine`` and ``program`` may stand in the first line alone. Lines of ``benchmarks/added_latency.py`` and
``benchmarks/configuration_spread.py`` are known too.
"""

from __future__ import annotations

from collections.abc import Mapping
from datetime import UTC, datetime
from pathlib import Path
from typing import Any

import msgspec

from benchmarks.capacity.results import (
    BadResults,
    Measured,
    Result,
    Run,
    Size,
    describe_machine,
    read_results,
    without_gaps,
)

FROM_FIRST_LINE = ("run_id", "commit", "machine", "program")


def import_file(path: Path, commits: Mapping[str, str] | None = None) -> list[Result]:
    """``commits``: that of each tree which a file names by its folder, or by a commit since renamed.
    ``BadResults`` names file, line and fault."""
    return read_results([path]) if path.suffix == ".parquet" else read_lines(path, commits or {})


def read_lines(path: Path, commits: Mapping[str, str]) -> list[Result]:
    found: list[Result] = []
    common: dict[str, Any] = {}
    runs: dict[str, Run] = {}  # of ``benchmarks/added_latency.py``, by tree
    for place, line in enumerate(path.read_bytes().splitlines(), 1):
        if not line.strip():
            continue
        try:
            row: dict[str, Any] = {**common, **msgspec.json.decode(line, type=dict[str, Any])}
            if "added_p99_ms" in row:
                tree = Path(str(row["tree"])).name
                if tree not in runs:
                    runs[tree] = latency_run(path, commits.get(tree, ""), len(runs))
                found += added_latency(row, runs[tree])
                continue
            if "members" in row or "us_an_add" in row:
                found += configuration_spread(row, path, commits)
                continue
            common = common or {key: row[key] for key in FROM_FIRST_LINE if key in row}
            if row.keys() <= set(FROM_FIRST_LINE):
                continue
            found.append(msgspec.convert(without_gaps(row), Result, strict=False))
        except (msgspec.DecodeError, KeyError, ValueError) as error:
            raise BadResults(f"{path.name}, line {place}: {error}") from None
    return found


LATENCY_UNITS = {
    "requests": "",
    "list_changes": "",
    "p50_ms": "ms",
    "p99_ms": "ms",
    "worst_ms": "ms",
    "added_p50_ms": "ms",
    "added_p99_ms": "ms",
    "stall_ms": "ms",
    "cpu_us": "us",
    "rss_mb": "MB",
}


def latency_run(path: Path, commit: str, place: int) -> Run:
    """The lines have no time: it is the file's, and a second more for each later tree."""
    if not commit:
        raise BadResults(f"{path.name}: say of each tree which commit it is, as TREE=COMMIT")
    moment = datetime.fromtimestamp(path.stat().st_mtime + place, UTC).strftime("%Y%m%d-%H%M%S")
    return Run(
        f"{moment}-added-latency", commit, describe_machine("load not told"), "benchmarks.added_latency"
    )


def added_latency(row: dict[str, Any], run: Run) -> list[Result]:
    """A line of ``benchmarks/added_latency.py``: one way (direct, forwarder, ingress) at one size."""
    size = Size(int(row["ingresses"]), int(row["backends"]))
    found = [(metric, float(row[metric]), unit) for metric, unit in LATENCY_UNITS.items()]
    found.append(("failed", number_failed(str(row["failed"])), ""))
    return [
        run.result(Measured(f"added latency: {row['way']}", metric, size, value, unit))
        for metric, value, unit in found
    ]


def number_failed(text: str) -> float:
    """Of ``3 x 503, 1 x 0``, the number of each status; or of a plain number."""
    return float(sum(int(part.split(" x ")[0]) for part in text.split(", ")))


SPREAD_UNITS = {"bytes": "B", "messages": "", "cpu_ms": "ms"}  # all others are seconds
# What a line of the whole book calls a figure; what it is called here, its unit, and how many of those it is.
BOOK_FIGURES = {
    "packed_mb": ("packed", "B", 1e6),
    "resident_mb": ("resident", "B", 1e6),
    "bytes_a_record": ("packed, a record", "B", 1.0),
    "filled_s": ("filled", "s", 1.0),
    "us_an_add": ("one record added", "us", 1.0),
}
BOOK = 62_000  # customers of the whole book that it fills


def configuration_spread(row: dict[str, Any], path: Path, commits: Mapping[str, str]) -> list[Result]:
    """A line of ``benchmarks/configuration_spread.py``: one thing that happened to a fleet, or the whole
    book. The file's time is the run's, as the line has none."""
    moment = datetime.fromtimestamp(path.stat().st_mtime, UTC).strftime("%Y%m%d-%H%M%S")
    commit = str(row.pop("commit"))
    run = Run(
        f"{moment}-configuration-spread",
        commits.get(commit, commit),
        describe_machine("load not told"),
        "benchmarks.configuration_spread",
    )
    if "us_an_add" in row:
        note = f"{row['records']} records: 62,000 plans, 3,500 routes, two changes each of 63,000 more keys"
        return [
            run.result(
                Measured("record store", metric, Size(tenants=BOOK), scale * row[name], unit, note=note)
            )
            for name, (metric, unit, scale) in BOOK_FIGURES.items()
        ]
    size, seed, what = Size(int(row.pop("members"))), int(row.pop("seed")), str(row.pop("what"))
    a_second = "/s" if what.endswith("a second") else ""
    return [
        run.result(
            Measured(
                "replication",
                f"{what.removesuffix(', a second')}: {metric.removesuffix('_ms')}",
                size,
                float(value),
                spread_unit(metric, a_second),
                seed,
                "virtual time",
            )
        )
        for metric, value in row.items()
    ]


def spread_unit(metric: str, a_second: str) -> str:
    unit = SPREAD_UNITS.get(metric, "s")
    return unit + a_second if unit else "1/s" if a_second else ""
