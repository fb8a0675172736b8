"""Datagrams and lives that are not taken: counted by reason, and told of once a minute for each source."""

from __future__ import annotations

from collections import OrderedDict

from gorsefork.fleet.facts import format_address
from gorsefork.fleet.local_node import HERE, LocalNode
from gorsefork.fleet.messages import Refusal
from gorsefork.fleet.pace import SECOND

AHEAD = 86_400 * SECOND  # that a life may seem to begin from now: clocks differ
MOST_SOURCES = 64  # whose refusals are remembered, so that each is told of once a minute
TOLD_AGAIN = 60 * SECOND
TEXTS: dict[Refusal, str] = {
    "site": "is of another site",
    "version": "speaks a version too far from this one",
    "key": "has another key",
    "size": "sent too much or too little",
    "form": "sent what cannot be read",
}


class Refusals:
    def __init__(self, node: LocalNode) -> None:
        self.node = node
        self.told_at: OrderedDict[tuple[str, Refusal], int] = OrderedDict()  # by source and reason

    def refuse(self, source: bytes, reason: Refusal) -> None:
        """A datagram from ``source`` was not taken."""
        self.count(reason)
        now, known = self.node.now, format_address(source)
        if now - self.told_at.get((known, reason), -TOLD_AGAIN) < TOLD_AGAIN:
            return
        self.told_at[known, reason] = now
        self.told_at.move_to_end((known, reason))
        while len(self.told_at) > MOST_SOURCES:
            self.told_at.popitem(last=False)
        self.node.record("refused", known, 0, HERE, f"{known} {TEXTS[reason]}")

    def too_late(self, life: int) -> bool:
        """Guards against a life that nobody could follow: it would hold its name for ever."""
        if life <= self.node.unix_now() + AHEAD:
            return False
        self.count("life")
        return True

    def count(self, reason: str) -> None:
        refused = self.node.counts.refused
        refused[reason] = refused.get(reason, 0) + 1
