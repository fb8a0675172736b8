"""Streams a request body that is too large to buffer whole from the client to a backend."""

from __future__ import annotations

from typing import ClassVar
from weakref import WeakSet

import trio

MAX_BUFFERED_BYTES = 65536  # a larger body is streamed
MIN_CHUNK_BYTES = 4096  # smaller chunks are joined while they wait
MIN_BUFFERED_BYTES = 4096  # that one streamed body may buffer, however many are open


class BodyAborted(Exception):
    """The body must not be completed.

    The client disconnected in the middle of it, it was malformed, or its call was answered before all of it
    was read.
    """


class BodyStream:
    """Ordered chunks of one body, from the client's connection to the connection of one attempt.

    The writer waits for space before it reads more from the client; the reader takes all buffered chunks.
    Once the reader has begun, no other attempt can send the body: ``reading_begun`` is then true. ``length``
    is the whole size in bytes, or None where the client did not announce it; ``first`` is the first chunk.

    The reader is told that the body is complete only if it has taken every byte of it before anything ended
    the body early. ``end``, ``abort`` and ``discard`` may all be called between the event that wakes the
    reader and the moment it runs; the first of ``abort`` and ``discard`` wins over an ``end`` that the reader
    has not been told of.
    """

    max_buffered_total: ClassVar[int] = 4 << 20  # bytes of all streamed bodies, which share it equally
    open_streams: ClassVar[WeakSet[BodyStream]] = WeakSet()  # streams that may still buffer chunks

    def __init__(self, length: int | None, first: bytes) -> None:
        self.open_streams.add(self)
        self.length = length
        self.chunks, self.buffered_bytes = [first], len(first)
        self.reading_begun = self.ended = self.aborted = self.discarded = False
        self.data_arrived, self.space_freed = trio.Event(), trio.Event()

    def put(self, chunk: bytes) -> None:
        """Append a chunk and wake the reader; the chunk of a discarded body is dropped."""
        if not self.discarded:
            self.append(chunk)
        self.data_arrived.set()

    def append(self, chunk: bytes) -> None:
        """Buffer a chunk. Small ones are joined: as objects of their own they take many times their bytes."""
        self.buffered_bytes += len(chunk)
        if self.chunks and len(self.chunks[-1]) < MIN_CHUNK_BYTES:
            self.chunks[-1] += chunk
        else:
            self.chunks.append(chunk)

    def is_full(self) -> bool:
        """Whether the stream has used up its share of the buffer space; never so for a discarded body."""
        share = self.max_buffered_total // max(1, len(self.open_streams))
        return (
            self.buffered_bytes >= max(MIN_BUFFERED_BYTES, min(MAX_BUFFERED_BYTES, share))
            and not self.discarded
        )

    async def wait_for_space(self) -> None:
        """Wait until the stream is no longer full or is discarded; the reader's timeouts bound it."""
        while self.is_full():
            self.space_freed = trio.Event()
            await self.space_freed.wait()

    def end(self) -> None:
        """Mark the last byte as put."""
        self.ended = True
        self.data_arrived.set()

    def abort(self) -> None:
        """Break the body off: unless the reader has the whole body already, it gets ``BodyAborted``."""
        self.aborted = True
        self.open_streams.discard(self)
        self.data_arrived.set()

    def discard(self) -> None:
        """Drop the buffered chunks and all later ones, as the call has its answer.

        A reader that does not have the whole body by now gets ``BodyAborted``: without the dropped chunks it
        would complete a body that nobody sent.
        """
        self.discarded, self.chunks, self.buffered_bytes = True, [], 0
        self.open_streams.discard(self)
        self.space_freed.set()
        self.data_arrived.set()

    def is_broken_off(self) -> bool:
        """Whether the rest of the body does not come, or is not wanted any more."""
        return self.aborted or self.discarded

    async def read_available(self) -> list[bytes]:
        """Return all buffered chunks, waiting for at least one; an empty list means the end of the body.

        Raises ``BodyAborted`` if the body was broken off or discarded. A cancelled call takes nothing, even
        if chunks arrived in the same turn. The timeouts of the client's connection bound the wait.
        """
        self.reading_begun = True
        while True:
            await trio.lowlevel.checkpoint_if_cancelled()
            if self.is_broken_off():
                raise BodyAborted
            if self.chunks:
                return self.take_chunks()
            if self.ended:
                return []
            self.data_arrived = trio.Event()
            await self.data_arrived.wait()

    def take_chunks(self) -> list[bytes]:
        """Remove and return the buffered chunks, which frees their space."""
        chunks, self.chunks, self.buffered_bytes = self.chunks, [], 0
        if self.ended:
            self.open_streams.discard(self)
        self.space_freed.set()
        return chunks
