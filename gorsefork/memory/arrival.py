"""Since when the bytes of one socket may have been there by the time that they are read."""

from __future__ import annotations

from gorsefork.memory.clock import Clock

MAX_UNREAD_US = 300_000  # us; nobody is taken to have waited for longer than this before it is read


class ArrivalTime:
    """``emptied_at``: until then nothing was left to read."""

    def __init__(self, clock: Clock, emptied_at: int) -> None:
        self.clock = clock
        self.drained_at = self.waiting_since = emptied_at

    def begin_wait(self) -> None:
        """The reader begins to wait for input."""
        self.waiting_since = self.clock.now

    def earliest(self) -> int:
        """The time, in microseconds, before which nothing of what can be read now had come."""
        # The first wait of the loop since ours began finds also what came before ours began.
        waited_through = self.clock.earliest_input_at > self.waiting_since
        came = self.clock.earliest_input_at if waited_through else self.drained_at
        return max(came, self.clock.now - MAX_UNREAD_US)

    def mark_drained(self) -> None:
        """All that was there has been read."""
        self.drained_at = self.clock.now
