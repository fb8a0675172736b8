"""Records that were refused here, by their marks, so that none is asked for or judged over and over."""

from __future__ import annotations

from gorsefork.configuration.records import TEMPORARY, Refusal

SECOND = 1_000_000
FOR_NOW = 15 * SECOND  # until a record is asked for again that may be taken by then
FOR_LONG = 3600 * SECOND
UNOBTAINABLE = 60 * SECOND  # what a peer names and does not give, or gives in a form that cannot be read
MOST_WITHHELD = 4_096  # beyond it the one longest refused is forgotten, and would be judged once more


class WithheldRecords:
    """Marks that are not asked for before some time."""

    def __init__(self) -> None:
        self.until: dict[int, int] = {}

    def __len__(self) -> int:
        return len(self.until)

    def refuse(self, mark: int, refusal: Refusal, now: int) -> bool:
        """Remember a refusal; whether it is the first of this record."""
        return self.withhold(mark, now + (FOR_NOW if refusal in TEMPORARY else FOR_LONG))

    def withhold(self, mark: int, until: int) -> bool:
        known = self.until.pop(mark, None) is not None
        if len(self.until) >= MOST_WITHHELD:
            del self.until[next(iter(self.until))]
        self.until[mark] = until
        return not known

    def taken(self, mark: int) -> None:
        self.until.pop(mark, None)

    def holds(self, mark: int, now: int) -> bool:
        """Whether a record is not to be asked for now."""
        return self.until.get(mark, 0) > now
