"""How values are written on the page, and what stands between braces in its texts.

``{name}`` is what was measured at the target's size, or what is predicted for it where that was not measured;
``{name.predicted}`` the prediction with its interval; ``{name@530}`` what was measured at that size. Each is
followed by its run in brackets, and by ``arithmetic`` where it was worked out.
"""

from __future__ import annotations

import re

from benchmarks.capacity.figures import Figure, Figures, UnknownFigure
from benchmarks.capacity.fits import Prediction

PLACEHOLDER = re.compile(r"\{([a-z][a-z0-9_]*)(?:\.(predicted))?(?:@(\d+))?\}")
BYTES = ((1e9, "GB"), (1e6, "MB"), (1e3, "KB"), (1.0, "B"))
OTHER_NAMES = {"bytes": "B", "bytes/s": "B/s"}
TIMES = ((1e6, "s"), (1e3, "ms"), (1.0, "us"))


def number(value: float) -> str:
    """Three significant digits."""
    if value == 0.0:
        return "0"
    if abs(value) >= 100:
        return f"{value:,.0f}"
    return f"{value:.3g}"


def scaled(value: float, steps: tuple[tuple[float, str], ...]) -> str:
    scale, unit = next((step for step in steps if abs(value) >= step[0]), steps[-1])
    return f"{number(value / scale)} {unit}"


def with_unit(value: float, unit: str) -> str:
    unit = OTHER_NAMES.get(unit, unit)
    if unit in ("B", "B/s"):
        return scaled(value, BYTES) + unit.removeprefix("B")
    if unit == "MB":
        return scaled(value * 1e6, BYTES)
    if unit in ("us", "ms", "s"):
        return scaled(value * {"us": 1.0, "ms": 1e3, "s": 1e6}[unit], TIMES)
    if unit == "ms/s":
        value, unit = 1e3 * value, "us/s"
    if unit == "us/s":
        return f"{number(value / 1e4)}% of a core"
    if unit == "% of a core":
        return f"{number(value)}% of a core"
    return f"{number(value)} {unit}".replace(" 1/s", " a second").strip()


def interval(prediction: Prediction, unit: str) -> str:
    """The value alone where its interval is too narrow to show."""
    low, high = (with_unit(max(0.0, each), unit) for each in (prediction.low, prediction.high))
    middle = with_unit(prediction.value, unit)
    return middle if low == middle == high else f"{middle} ({low} to {high})"


def source(figure: Figure, size: float | None = None) -> str:
    """The runs of a figure, of one size where that is given."""
    return f"[{', '.join([*figure.runs_of(size), *(['arithmetic'] if figure.arithmetic else [])])}]"


def measured(figure: Figure, size: float) -> str | None:
    value = figure.measured(size)
    return None if value is None else f"{with_unit(value, figure.unit)} {source(figure, size)}"


def predicted(figure: Figure, size: float) -> str | None:
    prediction = figure.predicted(size)
    return None if prediction is None else f"{interval(prediction, figure.unit)} {source(figure)}"


def at_target(figure: Figure) -> str | None:
    """What was measured at the target's size, or what is predicted for it."""
    size = figure.slope.target
    return measured(figure, size) or predicted(figure, size)


def wanted(figure: Figure, size: float, predicts: bool, exactly_there: bool) -> str | None:
    if predicts:
        return predicted(figure, size)
    return measured(figure, size) if exactly_there else at_target(figure)


def filled(text: str, figures: Figures) -> str:
    """``UnknownFigure`` for a name that has no result."""

    def fill(match: re.Match[str]) -> str:
        name, kind, at = match.groups()
        figure = figures[name]
        size = float(at) if at else figure.slope.target
        found = wanted(figure, size, predicts=bool(kind), exactly_there=bool(at))
        if found is None:
            raise UnknownFigure(f"{match.group()}: no result")
        return found

    return PLACEHOLDER.sub(fill, text)
