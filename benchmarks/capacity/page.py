"""The tables of docs/CAPACITY.md, from the kept results and from ``texts/``."""

from __future__ import annotations

import re
from collections.abc import Callable, Sequence
from fnmatch import fnmatch
from pathlib import Path

import msgspec

from benchmarks.capacity.figures import (
    Figure,
    Figures,
    Over,
    UnknownFigure,
    latest_by_size,
    read_slopes,
    size_of,
)
from benchmarks.capacity.fits import Fit, Prediction
from benchmarks.capacity.results import FOLDER, ROOT, BadResults, Result, kept_results
from benchmarks.capacity.shown import at_target, filled, interval, number, source, with_unit

PAGE = ROOT / "docs" / "CAPACITY.md"
TEXTS = Path(__file__).parent / "texts"
VERDICTS = ("holds", "short by", "not known")
MARKED = re.compile(r"(<!-- table ([a-z-]+) -->\n).*?(<!-- end -->)", re.DOTALL)
RUN = re.compile(r"\b[\w-]*20\d{6}[T-]\d{6}[\w-]*\b")
EMPTY = "-"


class BadText(Exception):
    """A text of the page that breaks its rules; it names the row."""


class Line(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One line of the target. With ``parts`` their sum is held against ``most`` (of their unit); without,
    ``measured``, ``predicted`` and ``verdict`` are texts. ``lacks``: what the parts leave out, so that a sum
    below ``most`` proves nothing."""

    asked: str
    mechanism: str
    parts: tuple[str, ...] = ()
    most: float = 0.0
    measured: str = ""
    predicted: str = ""
    verdict: str = ""
    lacks: str = ""


class LineFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    line: tuple[Line, ...]


class Role(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What one part of the system needs at the target's size; every field is a text with a figure or a
    reason."""

    name: str
    state: str
    grows_with: str
    at_rest: str
    in_a_burst: str
    in_recovery: str
    processor_time: str
    memory: str
    descriptors: str
    start_up: str
    breaks_first: str


class RoleFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    role: tuple[Role, ...]


class Fault(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What a failure costs."""

    name: str
    traffic: str
    time: str
    promises: str


class FaultFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    fault: tuple[Fault, ...]


class Pair(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Two figures of one thing: by the mechanism that was, and by the one that takes its place."""

    what: str
    before: str
    after: str


class PairFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    pair: tuple[Pair, ...]


class Series(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Which metrics of one program's runs are shown size by size; ``*`` stands for anything. ``with_note``:
    those that one run has several times, told apart by their notes."""

    program: str
    over: Over
    metrics: tuple[str, ...]
    with_note: tuple[str, ...] = ()


class SeriesFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    series: tuple[Series, ...]


def table(head: Sequence[str], rows: Sequence[Sequence[str]]) -> str:
    lines = [head, ["---"] * len(head), *rows]
    return "".join(f"| {' | '.join(cell.replace('|', '/') for cell in line)} |\n" for line in lines)


# The target.


def target_table(figures: Figures, results: Sequence[Result]) -> str:
    lines = msgspec.toml.decode((TEXTS / "target.toml").read_bytes(), type=LineFile).line
    head = ("asked", "measured", "predicted, 95% interval", "mechanism", "verdict")
    return table(head, [target_row(line, figures) for line in lines])


def target_row(line: Line, figures: Figures) -> tuple[str, ...]:
    mechanism = filled(line.mechanism, figures)
    if line.parts:
        parts = [figures[name] for name in line.parts]
        found = measured_sum(parts), predicted_sum(parts)
        return line.asked, *(cell or EMPTY for cell in found), mechanism, judged(line, figures)
    row = [filled(text, figures) or EMPTY for text in (line.measured, line.predicted, line.verdict)]
    if not row[2].startswith(VERDICTS):
        raise BadText(f"{line.asked}: the verdict begins with none of {', '.join(VERDICTS)}")
    return line.asked, row[0], row[1], mechanism, row[2]


def sources(parts: Sequence[Figure]) -> str:
    return " ".join(dict.fromkeys(source(part) for part in parts))


def measured_sum(parts: Sequence[Figure]) -> str:
    values = [part.measured(part.slope.target) for part in parts]
    known = [value for value in values if value is not None]
    return f"{with_unit(sum(known), parts[0].unit)} {sources(parts)}" if len(known) == len(parts) else ""


def total(parts: Sequence[Figure]) -> Prediction | None:
    """The intervals are added as they stand: the parts need not err independently. What was worked out has no
    slope, and counts as it is."""
    found = [part.predicted(part.slope.target) or exactly(part) for part in parts]
    known = [each for each in found if each is not None]
    if len(known) < len(parts):
        return None
    return Prediction(*(sum(getattr(each, key) for each in known) for key in ("value", "low", "high")))


def exactly(part: Figure) -> Prediction | None:
    value = part.measured(part.slope.target)
    return None if value is None else Prediction(value, value, value)


def predicted_sum(parts: Sequence[Figure]) -> str:
    prediction = total(parts)
    return "" if prediction is None else f"{interval(prediction, parts[0].unit)} {sources(parts)}"


def judged(line: Line, figures: Figures) -> str:
    """By what was measured at the size itself, else by the upper end of what is predicted for it."""
    parts = [figures[name] for name in line.parts]
    found = [exactly(part) or part.predicted(part.slope.target) for part in parts]
    known = [each.high for each in found if each is not None]
    if len(known) < len(parts):
        raise BadText(f"{line.asked}: its parts have neither been measured nor predicted")
    worst, unit = sum(known), parts[0].unit
    if worst > line.most:
        return f"short by {with_unit(worst - line.most, unit)} ({number(worst / line.most)} times)"
    if line.lacks:
        taken = f"{with_unit(worst, unit)} of {with_unit(line.most, unit)}"
        return (
            f"not known: {taken} at the most is taken by what is counted here; {filled(line.lacks, figures)}"
        )
    return "holds"


# The slopes.


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


# Before and after.


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


# What larger runs measured, size by size.


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


# Roles, faults, runs.


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


TABLES: dict[str, Callable[[Figures, Sequence[Result]], str]] = {
    "target": target_table,
    "slopes": slopes_table,
    "before-and-after": pairs_table,
    "by-size": by_size_table,
    "roles": roles_table,
    "faults": faults_table,
    "runs": runs_table,
}


def rewrite(page: str, folder: Path = FOLDER) -> str:
    """The page with its tables made anew. ``BadText``, ``BadResults``, ``UnknownFigure``: what is wrong."""
    results = kept_results(folder)
    figures = Figures(read_slopes(), results)

    def made(match: re.Match[str]) -> str:
        name = match.group(2)
        if name not in TABLES:
            raise BadText(f"there is no table {name}")
        return f"{match.group(1)}{TABLES[name](figures, results)}{match.group(3)}"

    return MARKED.sub(made, page)


def differences(page: str | None = None, folder: Path = FOLDER) -> list[str]:
    """In what the page and the kept results differ, a line each; nothing where they agree."""
    text = PAGE.read_text(encoding="utf-8") if page is None else page
    try:
        wanted = rewrite(text, folder)
        known = {result.run_id for result in kept_results(folder)}
    except (BadText, BadResults, UnknownFigure, msgspec.ValidationError) as error:
        return [str(error)]
    missing = sorted(set(TABLES) - {name for _, name, _ in MARKED.findall(text)})
    found = [f"the page has no table {name}" for name in missing]
    lines = zip(text.splitlines(), wanted.splitlines(), strict=False)
    found += [f"the page has: {old}\nthe results give: {new}" for old, new in lines if old != new]
    if text != wanted and not found:
        found.append("the page's tables are longer or shorter than the results make them")
    found += [
        f"the page names run {run}, which is not kept" for run in sorted(set(RUN.findall(text)) - known)
    ]
    return found
