"""Since when the bytes of one socket may have been there by the time that they are read."""

from __future__ import annotations

from gorsefork.memory.clock import Clock

LONGEST_UNREAD = 300_000  # us; nobody is taken to have waited for longer than this before it is read


class Arrival:
    """``emptied_at``: until then nothing was left to read."""

    def __init__(self, clock: Clock, emptied_at: int) -> None:
        self.clock = clock
        self.emptied_at = self.waits_since = emptied_at

    def wait(self) -> None:
        """The reader begins to wait for input."""
        self.waits_since = self.clock.now

    def earliest(self) -> int:
        """The time, in microseconds, before which nothing of what can be read now had come."""
        # The first wait of the loop since ours began finds also what came before ours began.
        waited_through = self.clock.earliest > self.waits_since
        came = self.clock.earliest if waited_through else self.emptied_at
        return max(came, self.clock.now - LONGEST_UNREAD)

    def emptied(self) -> None:
        """All that was there has been read."""
        self.emptied_at = self.clock.now
