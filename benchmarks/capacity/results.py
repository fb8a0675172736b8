"""Results as they are kept: one Parquet file a run in ``benchmarks/results``, one measured value a row."""

from __future__ import annotations

import os
import platform
import subprocess
from collections.abc import Iterable, Sequence
from datetime import UTC, datetime
from pathlib import Path

import msgspec
import pyarrow as pa
import pyarrow.parquet as pq

ROOT = Path(__file__).parents[2]
FOLDER = ROOT / "benchmarks" / "results"


class BadResults(Exception):
    """A file that holds no results; the text names the file and the fault."""


class Result(msgspec.Struct, frozen=True):
    """One value. A size of 0 plays no part. ``note`` says what the columns can't, ``arithmetic`` first where
    the value was worked out and not measured."""

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
    note: str = ""

    @property
    def arithmetic(self) -> bool:
        return self.note.startswith("arithmetic")


class Size(msgspec.Struct, frozen=True):
    """How large what was measured is."""

    ingresses: int = 0
    backends: int = 0
    tenants: int = 0


class Measured(msgspec.Struct, frozen=True):
    """What a measurement gives back; ``Run.result`` adds where it comes from."""

    subject: str
    metric: str
    size: Size
    value: float
    unit: str
    seed: int = 0
    note: str = ""


class Run(msgspec.Struct, frozen=True):
    """Where results come from: one run of one program on one commit."""

    run_id: str
    commit: str
    machine: str
    program: str

    def result(self, measured: Measured) -> Result:
        size = measured.size
        return Result(
            self.run_id,
            self.commit,
            self.machine,
            self.program,
            measured.subject,
            measured.metric,
            size.ingresses,
            size.backends,
            size.tenants,
            float(measured.value),
            measured.unit,
            measured.seed,
            measured.note,
        )


def begin_run(name: str, program: str, commit: str = "") -> Run:
    """A new run. Its id begins with the time, so that of two runs the later one has the greater id."""
    moment = datetime.now(UTC).strftime("%Y%m%d-%H%M%S")
    return Run(f"{moment}-{name}", commit or current_commit(), describe_machine(), program)


def current_commit() -> str:
    """The last one that changed the program, with ``+`` where the program differs from it."""
    commit = git("log", "-1", "--format=%h", "--abbrev=7", "--", "gorsefork")
    return commit + ("+" if git("status", "--porcelain", "--", "gorsefork") else "")


def git(*arguments: str) -> str:
    ended = subprocess.run(["git", *arguments], cwd=ROOT, capture_output=True, text=True, check=True)
    return ended.stdout.strip()


def describe_machine(load: str = "") -> str:
    """Without its name: cores, what runs on them, and how busy they are, unless ``load`` tells of another
    time."""
    busy = load or f"load {os.getloadavg()[0]:.1f}"
    return f"{os.cpu_count()} cores, Python {platform.python_version()}, {busy}"


def write_results(results: Sequence[Result], folder: Path = FOLDER) -> list[Path]:
    """One file for each run."""
    folder.mkdir(parents=True, exist_ok=True)
    paths = []
    for run_id in sorted({result.run_id for result in results}):
        rows = [msgspec.to_builtins(result) for result in results if result.run_id == run_id]
        path = folder / f"{run_id}.parquet"
        pq.write_table(pa.Table.from_pylist(rows), path, compression="zstd")
        paths.append(path)
    return paths


def read_results(paths: Iterable[Path]) -> list[Result]:
    """All rows of these files. ``BadResults`` for one that is no table of results."""
    found: list[Result] = []
    for path in sorted(paths):
        try:
            rows = pq.read_table(path).to_pylist()
            found += [msgspec.convert(without_gaps(row), Result, strict=False) for row in rows]
        except (OSError, pa.ArrowException, msgspec.ValidationError) as error:
            raise BadResults(f"{path.name}: {error}") from None
    return found


def without_gaps(row: dict[str, object]) -> dict[str, object]:
    """Other programs leave out sizes that play no part."""
    empty: dict[str, object] = {
        "seed": 0,
        "note": "",
        "size_ingresses": 0,
        "size_backends": 0,
        "size_tenants": 0,
    }
    return {**empty, **{key: value for key, value in row.items() if value is not None}}


def kept_results(folder: Path = FOLDER) -> list[Result]:
    return read_results(folder.glob("*.parquet"))
