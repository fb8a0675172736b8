"""Estimates how long the bytes read from a socket may have waited in its receive buffer."""

from __future__ import annotations

from gorsefork.memory.clock import Clock

MAX_UNREAD_US = 300_000  # input is never assumed to have waited unread for longer than this


class ArrivalTime:
    """Tracks the earliest time at which the unread bytes of one socket may have arrived.

    ``drained_at`` is the time, in microseconds on ``clock``, up to which the socket is known to have held
    nothing to read.
    """

    def __init__(self, clock: Clock, drained_at: int) -> None:
        self.clock = clock
        self.drained_at = self.waiting_since = drained_at

    def begin_wait(self) -> None:
        """Record that the reader begins to wait for input now."""
        self.waiting_since = self.clock.now

    def earliest(self) -> int:
        """Return the earliest time, in microseconds, at which the bytes readable now may have arrived."""
        # The first wait of the loop after this reader began to wait also finds input that arrived earlier.
        waited_through = self.clock.earliest_input_at > self.waiting_since
        earliest = self.clock.earliest_input_at if waited_through else self.drained_at
        return max(earliest, self.clock.now - MAX_UNREAD_US)

    def mark_drained(self) -> None:
        """Record that everything available has been read."""
        self.drained_at = self.clock.now
