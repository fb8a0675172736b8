"""The page's other tables: slopes, before and after, sizes, roles, faults, runs."""

from __future__ import annotations

import re
from collections.abc import Sequence
from fnmatch import fnmatch

import msgspec

from benchmarks.capacity.figures import Figure, Figures, latest_by_size, size_of
from benchmarks.capacity.fits import Fit
from benchmarks.capacity.results import Result
from benchmarks.capacity.shown import at_target, filled, interval, number, with_unit
from benchmarks.capacity.texts import (
    EMPTY,
    TEXTS,
    BadText,
    FaultFile,
    Pair,
    PairFile,
    Role,
    RoleFile,
    Series,
    SeriesFile,
    table,
)


def slopes_table(figures: Figures, results: Sequence[Result]) -> str:
    head = ("what", "sizes", "fit", "at the target", "check at a size not seen: measured, predicted", "run")
    rows = [slope_row(figure) for figure in figures.by_name.values() if figure.fit is not None]
    return table(head, rows)


def slope_row(figure: Figure) -> tuple[str, ...]:
    slope, fit = figure.slope, figure.fit
    assert fit is not None
    sizes = [size for size in figure.sizes() if size != slope.held_out]
    prediction = fit.predict(slope.target)
    return (
        f"{slope.subject}: {slope.metric}",
        f"{len(sizes)}, {number(sizes[0])} to {number(sizes[-1])} {slope.over}",
        formula(fit, figure.unit),
        f"{number(slope.target)}: {interval(prediction, figure.unit)}",
        held_out(figure),
        ", ".join(figure.runs),
    )


def formula(fit: Fit, unit: str) -> str:
    if fit.model == "flat":
        return f"{with_unit(fit.a, unit)}, flat"
    if fit.model == "power":
        return f"x^({number(fit.b)} ± {number(fit.b_error)})"
    x = "x" if fit.model == "linear" else "ln x"
    return f"{number(fit.a)} + ({number(fit.b)} ± {number(fit.b_error)}) {x}, in {unit or 'units'}"


def held_out(figure: Figure) -> str:
    size = figure.slope.held_out
    value = figure.measured(size)
    prediction = figure.predicted(size) if size else None
    if value is None or prediction is None:
        return "none"
    inside = prediction.low <= value <= prediction.high
    told = f"{number(size)}: {with_unit(value, figure.unit)}, {interval(prediction, figure.unit)}"
    return f"{told}; {'inside' if inside else 'outside'}"


def pairs_table(figures: Figures, results: Sequence[Result]) -> str:
    pairs = msgspec.toml.decode((TEXTS / "pairs.toml").read_bytes(), type=PairFile).pair
    head = ("what", "before", "commit", "after", "commit")
    return table(head, [pair_row(pair, figures) for pair in pairs])


def pair_row(pair: Pair, figures: Figures) -> tuple[str, ...]:
    before, after = figures[pair.before], figures[pair.after]
    cells = [pair.what]
    for figure in (before, after):
        again = figure is after and figure.commit == before.commit
        found = None if again else at_target(figure)
        cells += [found, figure.commit] if found else ["not known: not measured yet", EMPTY]
    return tuple(cells)


def by_size_table(figures: Figures, results: Sequence[Result]) -> str:
    series = msgspec.toml.decode((TEXTS / "by_size.toml").read_bytes(), type=SeriesFile).series
    rows = [row for each in series for row in series_rows(each, figures, results)]
    return table(("what", "experiment", "by size"), rows) if rows else "No such run is kept yet.\n"


def series_rows(series: Series, figures: Figures, results: Sequence[Result]) -> list[tuple[str, ...]]:
    """A row for each metric and experiment; one value for each size, of the latest run."""
    groups: dict[tuple[str, str], list[Result]] = {}
    for result in results:
        if result.program == series.program and any(fnmatch(result.metric, one) for one in series.metrics):
            groups.setdefault((what_of(series, result), experiment_of(result)), []).append(result)
    rows: list[tuple[str, ...]] = []
    for (what, experiment), some in sorted(groups.items()):
        latest = latest_by_size(some, series.over)
        cells = [
            f"{number(size_of(each, series.over))}: {with_unit(each.value, each.unit)} "
            f"[{figures.labels[each.run_id]}]"
            for each in sorted(latest, key=lambda each: size_of(each, series.over))
        ]
        rows.append((what, experiment, "; ".join(cells)))
    return rows


def what_of(series: Series, result: Result) -> str:
    """The metric; with the beginning of its note where one run has it several times."""
    about = result.note.split(";")[0] if result.metric in series.with_note else ""
    return f"{result.subject}: {result.metric}" + (f", {about}" if about else "")


def experiment_of(result: Result) -> str:
    """A run's id without its time and its seed."""
    return re.sub(r"-?20\d{6}[T-]\d{6}Z?(-\d+$)?-?", "", result.run_id)


def roles_table(figures: Figures, results: Sequence[Result]) -> str:
    roles = msgspec.toml.decode((TEXTS / "roles.toml").read_bytes(), type=RoleFile).role
    return "\n".join(role_table(role, figures) for role in roles)


def role_table(role: Role, figures: Figures) -> str:
    rows = []
    for field in Role.__struct_fields__[1:]:
        text = getattr(role, field)
        if not text.strip():
            raise BadText(f"{role.name}: {field} has neither a figure nor a reason")
        rows.append((field.replace("_", " "), filled(text, figures)))
    return f"### {role.name}\n\n{table(('what', 'at the size of the target'), rows)}"


def faults_table(figures: Figures, results: Sequence[Result]) -> str:
    faults = msgspec.toml.decode((TEXTS / "faults.toml").read_bytes(), type=FaultFile).fault
    rows = []
    for fault in faults:
        texts = (fault.traffic, fault.time, fault.promises)
        if not all(text.strip() for text in texts):
            raise BadText(f"{fault.name}: a cell has neither a figure nor a reason")
        rows.append((fault.name, *(filled(text, figures) for text in texts)))
    return table(("fault", "traffic", "time", "promises"), rows)


def runs_table(figures: Figures, results: Sequence[Result]) -> str:
    runs: dict[str, list[Result]] = {}
    for result in results:
        runs.setdefault(result.run_id, []).append(result)
    rows = [
        (label, run_id, some[0].program, some[0].commit, some[0].machine, str(len(some)))
        for run_id, label in figures.labels.items()
        for some in (runs[run_id],)
    ]
    return table(("", "run", "program", "commit", "machine", "values"), rows)
