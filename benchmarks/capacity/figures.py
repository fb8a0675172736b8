"""The figures that the page names: which results each is taken from, fitted where there are sizes enough.

``slopes.toml`` lists them. A figure is measured at the target's size, predicted for it from smaller sizes, or
both; the largest that was measured is left out of the fit and checks it.
"""

from __future__ import annotations

import re
from collections.abc import Iterable, Mapping, Sequence
from functools import cached_property
from pathlib import Path
from statistics import fmean
from typing import Literal

import msgspec

from benchmarks.capacity.fits import Fit, Model, Prediction, TooFewSizes, fit
from benchmarks.capacity.results import Result

SLOPES = Path(__file__).parent / "texts" / "slopes.toml"
RUN_BEGAN = re.compile(r"(20\d{6})[T-](\d{6})")
Over = Literal["ingresses", "backends", "tenants"]


class UnknownFigure(Exception):
    """The page's texts name a figure that ``slopes.toml`` does not list, or that has no result."""


class Slope(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One figure. ``target``: the size it is wanted for; ``held_out``: the one that its fit does not see, 0
    for none. ``run``: part of the ids of the runs that count; ``commit``: only results of that one."""

    name: str
    subject: str
    metric: str
    over: Over
    target: float
    model: Model = "linear"
    held_out: float = 0.0
    run: str = ""
    commit: str = ""


class SlopeFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    slope: tuple[Slope, ...]


class Figure:
    """A slope with its results: of each size those of the latest run, all on the commit measured last."""

    def __init__(
        self, slope: Slope, results: Sequence[Result], labels: Mapping[str, str] | None = None
    ) -> None:
        self.slope, self.labels = slope, labels or {}
        fitting = [each for each in results if belongs(slope, each)]
        latest = max(fitting, key=began, default=None)
        self.results: list[Result] = []
        if latest is not None:
            self.results = latest_by_size(
                [each for each in fitting if each.commit == latest.commit], slope.over
            )

    @property
    def runs(self) -> list[str]:
        """Their short names."""
        return self.runs_of(None)

    def runs_of(self, size: float | None) -> list[str]:
        """The short names of those with that size, or of all."""
        found = [each for each in self.results if size in (None, size_of(each, self.slope.over))]
        found.sort(key=began)
        return list(dict.fromkeys(self.labels.get(each.run_id, each.run_id) for each in found))

    @property
    def unit(self) -> str:
        return self.results[0].unit if self.results else ""

    @property
    def arithmetic(self) -> bool:
        return any(each.arithmetic for each in self.results)

    @property
    def note(self) -> str:
        return self.results[0].note if self.results else ""

    @property
    def commit(self) -> str:
        return self.results[0].commit if self.results else ""

    def sizes(self) -> list[float]:
        return sorted({size_of(each, self.slope.over) for each in self.results})

    def measured(self, size: float) -> float | None:
        """The mean of what was measured at that size."""
        values = [each.value for each in self.results if size_of(each, self.slope.over) == size]
        return fmean(values) if values else None

    @cached_property
    def fit(self) -> Fit | None:
        """None where the sizes are too few for one, or nothing was measured."""
        seen = [each for each in self.results if size_of(each, self.slope.over) != self.slope.held_out]
        if self.arithmetic or not seen:
            return None
        try:
            return fit(
                self.slope.model,
                [size_of(each, self.slope.over) for each in seen],
                [each.value for each in seen],
            )
        except TooFewSizes:
            return None

    def predicted(self, size: float) -> Prediction | None:
        return self.fit.predict(size) if self.fit is not None else None


def size_of(result: Result, over: Over) -> float:
    sizes = {
        "ingresses": result.size_ingresses,
        "backends": result.size_backends,
        "tenants": result.size_tenants,
    }
    return float(sizes[over])


def began(result: Result) -> str:
    """When its run began, as its id tells; for ids without a time the id itself."""
    found = RUN_BEGAN.search(result.run_id)
    return found.group(1) + found.group(2) if found else result.run_id


def latest_by_size(results: Sequence[Result], over: Over) -> list[Result]:
    latest: dict[float, str] = {}
    for result in sorted(results, key=began):
        latest[size_of(result, over)] = result.run_id
    return [each for each in results if latest[size_of(each, over)] == each.run_id]


def belongs(slope: Slope, result: Result) -> bool:
    named = (result.subject, result.metric) == (slope.subject, slope.metric)
    return named and slope.run in result.run_id and slope.commit in ("", result.commit)


class Figures:
    """All figures by name, and the short name of each run: ``r1`` is the earliest."""

    def __init__(self, slopes: Iterable[Slope], results: Sequence[Result]) -> None:
        runs = {result.run_id: began(result) for result in results}
        ordered = sorted(runs, key=lambda run_id: (runs[run_id], run_id))
        self.labels = {run_id: f"r{place}" for place, run_id in enumerate(ordered, 1)}
        self.by_name = {slope.name: Figure(slope, results, self.labels) for slope in slopes}

    def __getitem__(self, name: str) -> Figure:
        if name not in self.by_name:
            raise UnknownFigure(f"{name}: not in slopes.toml")
        return self.by_name[name]


def read_slopes() -> tuple[Slope, ...]:
    return msgspec.toml.decode(SLOPES.read_bytes(), type=SlopeFile).slope
