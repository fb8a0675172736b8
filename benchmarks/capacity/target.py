"""The table of the target, line by line, with a verdict each."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from benchmarks.capacity.figures import Figure, Figures
from benchmarks.capacity.fits import Prediction
from benchmarks.capacity.results import Result
from benchmarks.capacity.shown import filled, interval, number, source, with_unit
from benchmarks.capacity.texts import EMPTY, TEXTS, BadText, Line, LineFile, table

VERDICTS = ("holds", "short by", "not known")


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
