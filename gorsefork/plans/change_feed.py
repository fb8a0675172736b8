"""How changes reach ingresses of the version before: what has come here, and how far a peer was read.

Each ingress numbers what it learns, its own changes and those of others, by *position* in the order in which
it came, within this *life* of its program. A peer that asks for all after a position gets what is missing
or, where its life or position is not known any more, the whole book, in several answers if it is large. To
take a change twice changes nothing, so that neither loss nor repetition of an answer matters.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import Literal

import msgspec

from gorsefork.plans.book import PlanBook
from gorsefork.plans.changes import SECOND, Change

MOST_KEPT = 1024  # positions that can still be asked for one by one
PAGE = 200  # changes in one answer
WALK = "~"  # between a life and the position at which a walk through the whole book began
WALK_PAGE = 1000  # changes in one answer of such a walk, and those of a part of the log more
SHORTEST_PAUSE, LONGEST_PAUSE = SECOND // 4, 15 * SECOND  # between questions to a peer that fails


class Page(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One answer: ``whole`` if its changes are all that there are, and not just the next ones."""

    life: str
    position: int  # up to which it tells
    newest: int  # the last position there is
    whole: bool
    changes: tuple[Change, ...]
    digest: str = ""


class ChangeFeed:
    """The newest changes in their order of arrival, for peers of the version before to follow."""

    def __init__(self, life: str, book: PlanBook) -> None:
        self.life = life
        self.kept: deque[Change] = deque(maxlen=MOST_KEPT)
        self.newest = len(book)

    def add(self, change: Change) -> None:
        self.kept.append(change)
        self.newest += 1

    @property
    def oldest(self) -> int:
        """The position before the first that is kept."""
        return self.newest - len(self.kept)

    def page(self, life: str, position: int, book: PlanBook) -> Page:
        """What follows ``position``; for one that is too old, or of another life, the whole book."""
        if life == self.life and self.oldest <= position <= self.newest:
            start = position - self.oldest
            changes = [self.kept[n] for n in range(start, min(start + PAGE, len(self.kept)))]
            return Page(self.life, position + len(changes), self.newest, False, tuple(changes), book.digest())
        walked, between, begun_at = life.rpartition(WALK)
        if between and walked == self.life and begun_at.isascii() and begun_at.isdigit():
            return self.walk(position, min(int(begun_at), self.newest), book)
        return self.walk(0, self.newest, book)

    def walk(self, place: int, begun_at: int, book: PlanBook) -> Page:
        """The whole book, from a part of its log on, in as many answers as that needs.

        A peer gives back ``life`` and ``position`` as it got them: they say how far it is and what had come
        here when it began. Changes that come during the walk follow after its end.
        """
        changes = book.log.of_customer(None) if place == 0 else []
        begun = place
        while place < book.log.parts and len(changes) < WALK_PAGE:
            changes += book.log.part(place)
            place += 1
        if place < book.log.parts:
            life = f"{self.life}{WALK}{begun_at}"
            return Page(life, place, book.log.parts, False, tuple(changes), book.digest())
        return Page(self.life, begun_at, self.newest, begun == 0, tuple(changes), book.digest())


@dataclass(slots=True)
class FeedCursor:
    """How far one peer has been read, and when it is asked next. Times in microseconds, monotonic."""

    address: str
    life: str = ""
    position: int = 0
    digest: str = ""
    heard_at: int | None = None
    failures: int = 0
    ask_at: int = 0
    problem: str = ""
    asked: bool = False  # once at least, with whatever result

    def heard(self, page: Page, now: int) -> None:
        self.life, self.position, self.digest = page.life, page.position, page.digest
        self.heard_at, self.failures, self.problem, self.asked = now, 0, "", True
        self.ask_at = now  # the next question waits over there, for something new

    def failed(self, problem: str, now: int, jitter: float) -> None:
        """``jitter`` from 0 to 1, or all that a peer's restart cut off would come back at once."""
        self.failures, self.problem, self.asked = self.failures + 1, problem, True
        pause = min(LONGEST_PAUSE, SHORTEST_PAUSE * 2 ** min(self.failures - 1, 10))
        self.ask_at = now + round(pause * (0.5 + jitter / 2))

    def state(self, now: int, stale_after: int) -> Literal["current", "stale", "unheard"]:
        if self.heard_at is None:
            return "unheard"
        return "current" if now - self.heard_at <= stale_after else "stale"
