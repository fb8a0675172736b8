"""The receiving side's bookkeeping: repeats dropped by (ingress, life, number), gaps told from ends.

``ReceivedUsage`` is all that the accounts need to do; the stand-in in the tests and ``usage verify`` both
use it.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any

import msgspec

from gorsefork.usage.records import MICRO_UNITS_PER_UNIT, Batch, Header, UnreadableBatch, Use, decode


@dataclass(slots=True)
class Life:
    """What has come of one life of one ingress. ``upto``: all numbers to there have come, or never will."""

    ingress: str
    life: int
    uses: dict[int, Use] = field(default_factory=dict)
    upto: int = 0
    last: int | None = None
    repeats: int = 0
    contradictions: int = 0

    @property
    def records(self) -> int:
        return len(self.uses)

    @property
    def micro(self) -> int:
        return sum(use.micro for use in self.uses.values())

    @property
    def missing(self) -> int:
        """Numbers below the highest, or the end, that never came."""
        return max(max(self.uses, default=0), self.last or 0) - len(self.uses)

    @property
    def whole(self) -> bool:
        return self.last is not None and len(self.uses) == self.last

    def plain(self) -> dict[str, Any]:
        return {
            "ingress": self.ingress,
            "life": self.life,
            "records": self.records,
            "units": self.micro / MICRO_UNITS_PER_UNIT,
            "repeats": self.repeats,
            "missing": self.missing,
            "contradictions": self.contradictions,
            "closed": self.last is not None,
        }


class ReceivedUsage:
    """Takes batches in any order, any number of times."""

    def __init__(self) -> None:
        self.table: dict[tuple[str, int], Life] = {}

    def take(self, batch: Batch) -> tuple[int, int]:
        """The status to answer, and up to where that life is kept.

        409: the batch leaves out numbers that its sender still has. What it has no longer is a gap, which
        stays visible as missing.
        """
        life = self.table.setdefault((batch.ingress, batch.life), Life(batch.ingress, batch.life))
        if batch.first > life.upto + 1 and batch.oldest <= life.upto + 1:
            return 409, life.upto
        for use in batch.uses:
            known = life.uses.setdefault(use.number, use)
            if known is not use:
                life.repeats += 1
                life.contradictions += known != use
        life.upto = max(life.upto, batch.last)
        if batch.closed:
            life.last = batch.last
        return 200, life.upto

    def lives(self) -> list[Life]:
        return [self.table[key] for key in sorted(self.table)]


def read_batches(data: bytes) -> Iterator[Batch]:
    """The batches of a file of lines. ``UnreadableBatch`` names the line."""
    lines = data.split(b"\n")
    place = 0
    while place < len(lines):
        if not lines[place].strip():
            place += 1
            continue
        try:
            header = msgspec.json.decode(lines[place], type=Header)
        except msgspec.DecodeError as error:
            raise UnreadableBatch(f"line {place + 1}: {error}") from None
        after = place + 2 + header.last - header.first
        try:
            yield decode(b"\n".join(lines[place:after]), "ndjson")
        except UnreadableBatch as error:
            raise UnreadableBatch(f"the batch at line {place + 1}: {error}") from None
        place = after
