"""One account of the bytes that all connections hold, and what happens when it is used up."""

from __future__ import annotations

import math
from collections.abc import Callable

import trio

GUARANTEED_BYTES = 4096  # that each connection may hold whatever the others hold
GRANTED_BYTES = 32768  # to one that has waited, for its next read
ROOM_TIMEOUT_S = 0.1  # s that a connection below its share waits for room before the largest gives way


class MemoryAccount:
    """The bytes held for clients: what they sent and what waits to leave to them. ``limit`` in bytes."""

    def __init__(self, limit: int) -> None:
        self.limit, self.held = limit, 0
        self.holdings: set[Holding] = set()
        self.room_made = trio.Event()

    def open(self, give_way: Callable[[], bool]) -> Holding:
        """A holding of its own for one connection.

        ``give_way`` is called where others wait for room: it frees what is held, or returns False where that
        would lose a request that has come whole.
        """
        return Holding(self, give_way)

    def has_room(self) -> bool:
        return self.held < self.limit

    def fair_share(self) -> float:
        """The bytes that each holder would have if all had the same."""
        return self.limit / max(1, len(self.holdings))

    def evict_largest(self) -> bool:
        """Make the largest holder that can give way do so; whether there was one."""
        for holding in sorted(self.holdings, key=lambda each: each.size, reverse=True):
            if holding.size <= GUARANTEED_BYTES:
                return False
            if holding.give_way():
                return True
        return False


class Holding:
    """What one connection holds."""

    def __init__(self, account: MemoryAccount, give_way: Callable[[], bool]) -> None:
        self.account, self.give_way = account, give_way
        self.size = self.granted = 0  # granted: counted as held, for what is read next

    def resize(self, size: int) -> None:
        """The connection holds so many bytes from here on."""
        account = self.account
        smaller = size < self.size + self.granted
        account.held += size - self.size - self.granted
        self.size, self.granted = size, 0
        if size:
            account.holdings.add(self)
        else:
            account.holdings.discard(self)
        if smaller and account.has_room():
            account.room_made.set()

    def room(self) -> int:
        """How many bytes more this connection may hold just now."""
        return max(GUARANTEED_BYTES - self.size, self.account.limit - self.account.held, self.granted)

    def grant(self) -> None:
        """Keep room for the next read: others would take it before this connection has its turn."""
        if self.size >= GUARANTEED_BYTES and not self.granted:
            self.granted = GRANTED_BYTES
            self.account.held += GRANTED_BYTES

    def may_grow(self) -> bool:
        return self.room() > 0

    async def wait_for_room(self) -> None:
        """Wait until more may be held.

        After ``ROOM_TIMEOUT_S`` the largest holders give way to one that holds less than its share.
        """
        account = self.account
        give_way_at = trio.current_time() + ROOM_TIMEOUT_S
        while not self.may_grow():
            if account.room_made.is_set():
                account.room_made = trio.Event()
            overdue = trio.current_time() >= give_way_at
            if overdue and self.size < account.fair_share() and account.evict_largest():
                break
            with trio.move_on_at(math.inf if overdue else give_way_at):
                await account.room_made.wait()
        self.grant()
