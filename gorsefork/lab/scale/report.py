"""Tables and charts from kept results."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from tabulate import tabulate

from gorsefork.lab.scale.results import NEEDED, Missing, Row

CHARTS: tuple[tuple[str, tuple[str, ...]], ...] = (
    (
        "time of a change, s",
        ("in force at the half, p50", "in force at the last, p50", "in force at the last, p100"),
    ),
    ("processor, % of a core an ingress", ("cpu rest", "cpu changes")),
    ("bytes out an ingress and second", ("bytes rest out", "bytes changes out")),
    ("memory an ingress, bytes", ("memory",)),
    ("descriptors an ingress", ("descriptors",)),
)


def experiment_of(row: Row) -> str:
    """The experiment's name: a run's id is that, its time and its seed."""
    return row.run_id.rsplit("-", 2)[0]


def table(rows: Sequence[Row]) -> str:
    """A line a figure, a column a size."""
    sizes = sorted({row.size_ingresses for row in rows})
    found: dict[tuple[str, str, str, str], dict[int, Row]] = defaultdict(dict)
    for row in rows:
        found[experiment_of(row), row.subject, row.metric, row.unit][row.size_ingresses] = row
    lines = [
        [*key[:3], *(f"{cells[size].value:.4g}" if size in cells else "-" for size in sizes), key[3]]
        for key, cells in found.items()
    ]
    return tabulate(
        lines, headers=["experiment", "subject", "figure", *map(str, sizes), "unit"], disable_numparse=True
    )


def draw(rows: Sequence[Row], path: Path) -> None:
    """Each of ``CHARTS`` against the fleet's size, a line an experiment and figure. ``Missing`` without
    matplotlib."""
    pyplot = plotting()
    figure, axes = pyplot.subplots(1, len(CHARTS), figsize=(5 * len(CHARTS), 4.5))
    for axis, (title, metrics) in zip(axes, CHARTS, strict=True):
        lines: dict[str, dict[int, float]] = defaultdict(dict)
        for row in rows:
            if row.metric in metrics:
                lines[f"{experiment_of(row)}: {row.metric}"][row.size_ingresses] = row.value
        for label, points in sorted(lines.items()):
            sizes = sorted(points)
            axis.plot(sizes, [points[size] for size in sizes], marker="o", label=label)
        axis.set_title(title)
        axis.set_xlabel("ingresses")
        axis.set_ylim(bottom=0)
        if lines:
            axis.legend(fontsize=7)
    figure.tight_layout()
    path.parent.mkdir(parents=True, exist_ok=True)
    figure.savefig(path, dpi=80)


def plotting() -> Any:
    try:
        import matplotlib
    except ImportError:
        raise Missing(f"matplotlib is not installed: {NEEDED}") from None
    matplotlib.use("Agg")
    from matplotlib import pyplot

    return pyplot
