"""docs/CAPACITY.md: its tables made anew between their markers, and whether it agrees with the results."""

from __future__ import annotations

import re
from collections.abc import Callable, Sequence
from pathlib import Path

import msgspec

from benchmarks.capacity.figures import Figures, UnknownFigure, read_slopes
from benchmarks.capacity.results import FOLDER, ROOT, BadResults, Result, kept_results
from benchmarks.capacity.tables import (
    by_size_table,
    faults_table,
    pairs_table,
    roles_table,
    runs_table,
    slopes_table,
)
from benchmarks.capacity.target import target_table
from benchmarks.capacity.texts import BadText

PAGE = ROOT / "docs" / "CAPACITY.md"
MARKED = re.compile(r"(<!-- table ([a-z-]+) -->\n).*?(<!-- end -->)", re.DOTALL)
RUN = re.compile(r"\b[\w-]*20\d{6}[T-]\d{6}[\w-]*\b")

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
