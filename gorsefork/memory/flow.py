"""A request's body on its way through: too large to hold, so that it is passed on as it comes."""

from __future__ import annotations

from typing import ClassVar
from weakref import WeakSet

import trio

MOST_HELD = 65536  # bytes of one body that are held whole; a larger one is passed on as it comes
HELD_BY_ALL = 4 << 20  # bytes that all bodies passed on may hold; beyond that each holds less
LEAST_HELD = 4096  # that each may hold, however many there are


class Torn(Exception):
    """The client has left in the middle of its body, or what came of it made no sense."""


class Flow:
    """Pieces in their order, from the client's connection to one delegation's.

    The writer looks at ``room`` before it reads on from the client; the reader takes what there is. Once the
    first piece is taken nobody else can have the body: ``taken`` says so.
    """

    open: ClassVar[WeakSet[Flow]] = WeakSet()  # those of which some may still be held

    def __init__(self, length: int | None, first: bytes) -> None:
        self.open.add(self)
        self.length = length  # in all, in bytes; None where it is not told ahead
        self.pieces, self.held = [first], len(first)
        self.taken = self.ended = self.torn = self.dropped = False
        self.came, self.room = trio.Event(), trio.Event()

    def put(self, piece: bytes) -> None:
        if not self.dropped:
            self.pieces.append(piece)
            self.held += len(piece)
        self.came.set()

    def full(self) -> bool:
        part = HELD_BY_ALL // max(1, len(self.open))
        return self.held >= max(LEAST_HELD, min(MOST_HELD, part)) and not self.dropped

    async def wait_for_room(self) -> None:
        """Until there is room, or nobody wants the rest. Bounded by its reader's own bounds."""
        while self.full():
            self.room = trio.Event()
            await self.room.wait()

    def end(self) -> None:
        self.ended = True
        self.came.set()

    def tear(self) -> None:
        self.torn = True
        self.open.discard(self)
        self.came.set()

    def drop(self) -> None:
        """Nobody wants the rest: it is read and forgotten."""
        self.dropped, self.pieces, self.held = True, [], 0
        self.open.discard(self)
        self.room.set()

    async def get(self) -> list[bytes]:
        """What has come since; nothing at the end. ``Torn`` if there will be no end. Cancelled, it has taken
        nothing. It waits as long as the client's connection lets its client be slow."""
        self.taken = True
        while not self.pieces:
            if self.torn:
                raise Torn
            if self.ended:
                return []
            self.came = trio.Event()
            await self.came.wait()
        pieces, self.pieces, self.held = self.pieces, [], 0
        if self.ended:
            self.open.discard(self)
        self.room.set()
        return pieces
