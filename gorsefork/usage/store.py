"""Where uses wait until the accounts have them: what every such store does, and the one without a disk."""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from typing import Protocol

from gorsefork.usage.receipts import SentRange
from gorsefork.usage.records import Batch, Use


class UsageNotStored(Exception):
    """What was to be kept is not: nothing of it counts. The text says why."""


class UsageStore(Protocol):
    """Uses of lives in the order of their numbers. One caller at a time."""

    life: int

    def append(self, uses: Sequence[Use]) -> None:
        """Keep them all or, with ``UsageNotStored``, none."""
        ...

    def batch(self, most: int) -> Batch | None:
        """The oldest that is not acknowledged, of one life; None if there is nothing to tell.

        ``UsageNotStored`` if it cannot be read just now.
        """
        ...

    def sent_range(self, life: int) -> SentRange:
        """What may have been sent of a life that still has something to tell.

        ``UsageNotStored`` if it cannot be read just now.
        """
        ...

    def acknowledge(self, life: int, upto: int, closed: bool) -> None:
        """The accounts have all of that life up to there, and know its end if ``closed``.

        ``UsageNotStored``: they will be sent it again.
        """
        ...

    def probe(self) -> None:
        """``UsageNotStored`` if nothing could be kept just now."""
        ...

    def waiting(self) -> int:
        """How many are not acknowledged."""
        ...

    def end(self) -> None:
        """This life is over: its last number is final. ``UsageNotStored``: the next life will find that
        out."""
        ...


class MemoryUsageStore:
    """In memory. A kill loses what is not acknowledged, of this life, and its end is never told: the accounts
    then see a life that stays open. A drain that ends in time loses nothing."""

    def __init__(self, ingress: str, life: int) -> None:
        self.ingress, self.life = ingress, life
        self.uses: deque[Use] = deque()
        self.oldest, self.over, self.told = 1, False, False
        self.highest_sent = 0

    def append(self, uses: Sequence[Use]) -> None:
        self.uses.extend(uses)

    def batch(self, most: int) -> Batch | None:
        uses = tuple(self.uses[n] for n in range(min(most, len(self.uses))))
        closed = self.over and len(uses) == len(self.uses)
        if not uses and (not closed or self.told):
            return None
        batch = Batch(self.ingress, self.life, self.oldest, uses, self.oldest, closed)
        self.highest_sent = max(self.highest_sent, batch.last)
        return batch

    def sent_range(self, life: int) -> SentRange:
        return SentRange(self.highest_sent, exact=True)

    def acknowledge(self, life: int, upto: int, closed: bool) -> None:
        if life != self.life:
            return
        while self.uses and self.oldest <= upto:
            self.uses.popleft()
            self.oldest += 1
        self.told = self.told or closed

    def probe(self) -> None:
        """Memory takes what admission lets in."""

    def waiting(self) -> int:
        return len(self.uses)

    def end(self) -> None:
        self.over = True
