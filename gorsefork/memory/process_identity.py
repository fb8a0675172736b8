"""Which process a connection to a backend reaches: the backend's address alone does not tell.

A new process may come up at the address of one that has gone, seconds before discovery tells of it, and may
belong to another cell. A connection reaches the process that discovery lists if the connection was made so
long ago that discovery would have told of another one, or if an older such connection was heard from after it
was made: two processes do not listen at one address.
"""

from __future__ import annotations

from gorsefork.memory.clock import SECOND

# us in which discovery tells what it has to tell, at the latest, by the platform's protocol
DISCOVERY_LAG_US = 6 * SECOND


class ListedProcess:
    """A backend's process as discovery listed it, until it lists another start or address. Times in us."""

    def __init__(self) -> None:
        self.known_at = -1  # when a connection that is known to reach it was last heard from
        self.replaced_at: int | None = None

    def replaced(self, now: int) -> None:
        """Discovery lists another process; what is not known by now may have reached that one already."""
        self.replaced_at = now


class ConnectionIdentity:
    """What is known of the process that one connection reaches."""

    def __init__(self, listed: ListedProcess, opened_at: int) -> None:
        self.listed, self.opened_at = listed, opened_at

    def reaches_listed_process(self, now: int) -> bool:
        """Whether it is known to reach the process that was listed as it was made; also once it is closed."""
        if self.listed.known_at >= self.opened_at:
            return True
        latest = now if self.listed.replaced_at is None else min(now, self.listed.replaced_at)
        return latest >= self.opened_at + DISCOVERY_LAG_US

    def heard(self, now: int) -> None:
        """An answer has come on it."""
        if self.listed.replaced_at is None and self.reaches_listed_process(now):
            self.listed.known_at = now
