"""A request's body on its way through: too large to hold, so that it is passed on as it comes."""

from __future__ import annotations

from typing import ClassVar
from weakref import WeakSet

import trio

MAX_BUFFERED_BYTES = 65536  # bytes of one body that are held whole; a larger one is passed on as it comes
MAX_BUFFERED_BYTES_TOTAL = 4 << 20  # bytes that all bodies passed on may hold; beyond that each holds less
MIN_BUFFERED_BYTES = 4096  # that each may hold, however many there are


class BodyAborted(Exception):
    """The client has left in the middle of its body, or what came of it made no sense."""


class BodyStream:
    """Pieces in their order, from the client's connection to one delegation's.

    The writer looks at ``room`` before it reads on from the client; the reader takes what there is. Once the
    first piece is taken nobody else can have the body: ``taken`` says so.
    """

    open_streams: ClassVar[WeakSet[BodyStream]] = WeakSet()  # those of which some may still be held

    def __init__(self, length: int | None, first: bytes) -> None:
        self.open_streams.add(self)
        self.length = length  # in all, in bytes; None where it is not told ahead
        self.chunks, self.buffered_bytes = [first], len(first)
        self.reading_begun = self.ended = self.aborted = self.discarded = False
        self.data_arrived, self.space_freed = trio.Event(), trio.Event()

    def put(self, piece: bytes) -> None:
        if not self.discarded:
            self.chunks.append(piece)
            self.buffered_bytes += len(piece)
        self.data_arrived.set()

    def is_full(self) -> bool:
        part = MAX_BUFFERED_BYTES_TOTAL // max(1, len(self.open_streams))
        return (
            self.buffered_bytes >= max(MIN_BUFFERED_BYTES, min(MAX_BUFFERED_BYTES, part))
            and not self.discarded
        )

    async def wait_for_space(self) -> None:
        """Until there is room, or nobody wants the rest. Bounded by its reader's own bounds."""
        while self.is_full():
            self.space_freed = trio.Event()
            await self.space_freed.wait()

    def end(self) -> None:
        self.ended = True
        self.data_arrived.set()

    def abort(self) -> None:
        self.aborted = True
        self.open_streams.discard(self)
        self.data_arrived.set()

    def discard(self) -> None:
        """Nobody wants the rest: it is read and forgotten."""
        self.discarded, self.chunks, self.buffered_bytes = True, [], 0
        self.open_streams.discard(self)
        self.space_freed.set()

    async def read_available(self) -> list[bytes]:
        """What has come since; nothing at the end. ``BodyAborted`` if there will be no end. Cancelled, it
        has taken
        nothing. It waits as long as the client's connection lets its client be slow."""
        self.reading_begun = True
        while not self.chunks:
            if self.aborted:
                raise BodyAborted
            if self.ended:
                return []
            self.data_arrived = trio.Event()
            await self.data_arrived.wait()
        pieces, self.chunks, self.buffered_bytes = self.chunks, [], 0
        if self.ended:
            self.open_streams.discard(self)
        self.space_freed.set()
        return pieces
