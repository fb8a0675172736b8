"""Takes in what other programs of this project measured: Parquet with the same columns, or lines of JSON.

A line of JSON has the columns of a result, any that play no part left out. ``run_id``, ``commit``,
``machine`` and ``program`` may stand in the first line alone. Lines of ``benchmarks/added_latency.py`` are
known too.
"""

from __future__ import annotations

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


def import_file(path: Path, commit: str = "") -> list[Result]:
    """``BadResults`` names the file, the line and the fault. ``commit`` takes the place of the file's own."""
    found = read_results([path]) if path.suffix == ".parquet" else read_lines(path)
    return [msgspec.structs.replace(each, commit=commit) for each in found] if commit else found


def read_lines(path: Path) -> list[Result]:
    found: list[Result] = []
    common: dict[str, Any] = {}
    for place, line in enumerate(path.read_bytes().splitlines(), 1):
        if not line.strip():
            continue
        try:
            row: dict[str, Any] = {**common, **msgspec.json.decode(line, type=dict[str, Any])}
            if "added_p99_ms" in row:
                found += added_latency(row, path)
                continue
            common = common or {key: row[key] for key in FROM_FIRST_LINE if key in row}
            if row.keys() <= set(FROM_FIRST_LINE):
                continue
            found.append(msgspec.convert(without_gaps(row), Result, strict=False))
        except (msgspec.DecodeError, KeyError) as error:
            raise BadResults(f"{path.name}, line {place}: {error}") from None
    return found


LATENCY_UNITS = {
    "requests": "",
    "failed": "",
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


def added_latency(row: dict[str, Any], path: Path) -> list[Result]:
    """A line of ``benchmarks/added_latency.py``: one way (direct, forwarder, ingress) at one size. The file's
    time is the run's, as the line has none."""
    moment = datetime.fromtimestamp(path.stat().st_mtime, UTC).strftime("%Y%m%d-%H%M%S")
    run = Run(f"{moment}-{path.stem}", str(row["tree"]), describe_machine(), "benchmarks.added_latency")
    size = Size(int(row["ingresses"]), int(row["backends"]))
    return [
        run.result(Measured(f"added latency: {row['way']}", metric, size, float(row[metric]), unit))
        for metric, unit in LATENCY_UNITS.items()
    ]
