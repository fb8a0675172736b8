"""The figures of a run, one a row, and the Parquet files that keep them."""

from __future__ import annotations

import subprocess
from collections.abc import Iterable
from dataclasses import dataclass, fields
from datetime import UTC, datetime
from pathlib import Path
from typing import Any, Protocol

from gorsefork.lab.scale import machine
from gorsefork.lab.scale.experiment import Experiment

PROGRAM = "scale"
NEEDED = "pip install -r requirements-lab.txt"


class Add(Protocol):
    """Takes a figure of the size that is played."""

    def __call__(self, subject: str, metric: str, value: float, unit: str, note: str = "") -> None: ...


class Missing(Exception):
    """A library of the laboratory is not installed. The text says how to get it."""


@dataclass(frozen=True, slots=True)
class Row:
    """One figure. ``subject``: what it is of; ``note``: what else was so when it was measured."""

    run_id: str
    commit: str
    machine: str
    program: str
    subject: str
    metric: str
    size_ingresses: int
    size_backends: int
    size_tenants: int
    value: float
    unit: str
    seed: int
    note: str


class Results:
    """The rows of one run."""

    def __init__(self, experiment: Experiment) -> None:
        self.experiment = experiment
        began = datetime.now(UTC).strftime("%Y%m%dT%H%M%SZ")
        self.run_id = f"{experiment.name}-{began}-{experiment.seed}"
        self.commit, self.machine = commit(), machine.described()
        self.rows: list[Row] = []

    def add(self, size: int, subject: str, metric: str, value: float, unit: str, note: str = "") -> None:
        self.rows.append(
            Row(
                self.run_id,
                self.commit,
                self.machine,
                PROGRAM,
                subject,
                metric,
                size,
                0,  # no run has a data path yet
                self.experiment.load.tenants,
                float(value),
                unit,
                self.experiment.seed,
                note,
            )
        )


def commit() -> str:
    """The commit that runs, with ``+`` where files were changed since; empty where there is none."""
    folder = Path(__file__).parent
    try:
        found = subprocess.run(
            ["git", "describe", "--always", "--dirty=+", "--exclude=*"],
            cwd=folder,
            capture_output=True,
            text=True,
            check=True,
        )
    except (OSError, subprocess.CalledProcessError):
        return ""
    return found.stdout.strip()


def save(rows: Iterable[Row], path: Path) -> None:
    """``Missing`` without pyarrow."""
    pa, parquet = arrow()
    found = list(rows)
    columns = {each.name: [getattr(row, each.name) for row in found] for each in fields(Row)}
    path.parent.mkdir(parents=True, exist_ok=True)
    parquet.write_table(pa.table(columns), path)


def load(paths: Iterable[Path]) -> list[Row]:
    """``Missing`` without pyarrow."""
    _, parquet = arrow()
    return [Row(**each) for path in paths for each in parquet.read_table(path).to_pylist()]


def arrow() -> tuple[Any, Any]:
    try:
        import pyarrow
        import pyarrow.parquet
    except ImportError:
        raise Missing(f"pyarrow is not installed: {NEEDED}") from None
    return pyarrow, pyarrow.parquet


def histogram() -> Any:
    """An HDR histogram of microseconds, up to an hour, three digits. ``Missing`` without hdrhistogram."""
    try:
        from hdrh.histogram import HdrHistogram
    except ImportError:
        raise Missing(f"hdrhistogram is not installed: {NEEDED}") from None
    return HdrHistogram(1, 3_600_000_000, 3)
