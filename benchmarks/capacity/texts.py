"""The texts of the page, which name its figures, and the tables' form in Markdown."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path

import msgspec

from benchmarks.capacity.figures import Over

TEXTS = Path(__file__).parent / "texts"
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
