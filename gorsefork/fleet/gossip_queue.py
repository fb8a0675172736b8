"""What rides along: each piece of news a bounded number of times, the most urgent and the least sent
first."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from math import ceil, log2
from typing import Generic, TypeVar

from gorsefork.fleet.facts import Fact, MemberValue, State

REPEATS = 3  # times the logarithm of the fleet that each piece is sent by each that knows it
MOST_WAITING = 2048  # pieces; the one sent most often gives way

T = TypeVar("T", Fact, MemberValue)


def times(members: int, repeats: int = REPEATS) -> int:
    """How often one ingress sends one piece on: enough for all to hear of it by
    ``benchmarks/fleet_view.py``."""
    return repeats * max(1, ceil(log2(members + 1)))


@dataclass(slots=True)
class Piece(Generic[T]):
    what: T
    sent: int = 0


class Spread(Generic[T]):
    """News by what it is about; a newer piece about the same takes the place of the older."""

    def __init__(self) -> None:
        self.pieces: dict[object, Piece[T]] = {}

    def __len__(self) -> int:
        return len(self.pieces)

    def add(self, about: object, what: T) -> None:
        if about not in self.pieces and len(self.pieces) >= MOST_WAITING:
            del self.pieces[max(self.pieces, key=lambda key: self.pieces[key].sent)]
        self.pieces[about] = Piece(what)

    def pick(
        self, room: int, size: Callable[[T], int], most_sent: int, first: Iterable[object] = ()
    ) -> list[T]:
        """As many pieces as fit into ``room`` bytes; those in ``first`` before all others."""
        ahead = set(first)
        found: list[T] = []
        order = (
            sorted(
                self.pieces.items(),
                key=lambda item: (item[0] not in ahead, urgency(item[1].what), item[1].sent),
            )
            if self.pieces
            else ()
        )
        for about, piece in order:
            if room < 8 or len(found) == 16:
                break
            if (needs := size(piece.what)) > room:
                continue
            room -= needs
            found.append(piece.what)
            piece.sent += 1
            if piece.sent >= most_sent:
                del self.pieces[about]
        return found


def urgency(what: Fact | MemberValue) -> int:
    """Suspicions and what contradicts them before comings and goings."""
    return 0 if isinstance(what, Fact) and (what.state == State.SUSPECT or what.incarnation) else 1
