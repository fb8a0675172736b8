"""The one writer of a client's connection: bytes leave in the order in which they were handed over."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Sequence

import trio

from gorsefork.wire.stream import PeerStalled, Stream

CLIENT_STALL_TIMEOUT_S = 10.0  # s that a client may take nothing of an answer that waits for it


class ConnectionWriter:
    """Owns what leaves a connection: nothing else writes to its socket.

    ``write`` never waits: what the socket does not take at once is flushed in a task of its own. ``send``
    waits until the socket has taken everything. At most one task waits for the socket at a time.

    What is unsent is bounded by the callers: a connection begins no request while its writer is ``flushing``,
    and a streamed answer hands over one piece at a time. So one whole answer waits at most, or one piece.
    """

    def __init__(
        self,
        stream: Stream,
        start: Callable[[Callable[[], Awaitable[None]]], None],
        on_flushed: Callable[[], None],
        on_stalled: Callable[[], None],
    ) -> None:
        self.stream, self.start = stream, start
        self.on_flushed, self.on_stalled = on_flushed, on_stalled
        self.unsent: list[bytes | memoryview] = []
        self.flushing = False
        self.flushed = trio.Event()  # set at the end of the current flush
        self.reset_on_failure = False  # only the connection's end tells the client how long its answer is

    def detach(self) -> None:
        """Drop what is unsent and the connection's callbacks: nothing more is handed over."""
        self.unsent = []
        self.on_flushed = self.on_stalled = lambda: None

    def write(self, parts: Sequence[bytes]) -> None:
        """Hand over bytes without waiting. A broken connection is closed, which its reader sees."""
        if self.begin_write(parts):
            self.start(self.flush)

    async def send(self, parts: Sequence[bytes]) -> None:
        """Hand over bytes and wait until the socket has taken them, and all that was handed over before.

        Raises ``trio.ClosedResourceError`` once the connection is closed. A cancelled call closes it: what
        was sent in part has no good end any more.
        """
        try:
            if self.begin_write(parts):
                await self.flush()
            elif self.flushing:
                await self.flushed.wait()
        except trio.Cancelled:
            self.break_off()
            raise
        if self.stream.closed:
            raise trio.ClosedResourceError

    def begin_write(self, parts: Sequence[bytes]) -> bool:
        """Send what the socket takes at once. Returns whether the caller has to flush the rest."""
        if self.stream.closed:
            return False
        if self.flushing:
            self.unsent += parts
            return False
        try:
            self.unsent = list(self.stream.write_now(parts))
        except OSError:
            self.stream.close()
            return False
        if not self.unsent:
            return False
        self.flushing, self.flushed = True, trio.Event()
        return True

    async def flush(self) -> None:
        """Send what is unsent, and what is handed over meanwhile, to a client that reads slowly."""
        try:
            while self.unsent:
                parts, self.unsent = self.unsent, []
                await self.stream.send(parts, CLIENT_STALL_TIMEOUT_S)
        except PeerStalled:
            self.on_stalled()
            self.break_off()
        except (OSError, trio.ClosedResourceError):
            self.break_off()
        finally:
            self.flushing = False
            self.flushed.set()
        self.on_flushed()

    def break_off(self) -> None:
        """Close the connection in the middle of an answer, so that the client can tell.

        Whole answers that the system still holds reach the client, unless a reset has to tell it.
        """
        if self.reset_on_failure:
            self.stream.abort()
        else:
            self.stream.close()
