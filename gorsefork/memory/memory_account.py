"""One account of the bytes that all connections hold, and what happens when it is used up."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable
from typing import Literal

import trio

from gorsefork.memory.memory_budget import GUARANTEED_BYTES

GRANTED_BYTES = 32768  # at most, to one that has waited, for its next read
ROOM_TIMEOUT_S = 0.1  # s that a connection below its share waits for room before the largest gives way

Purpose = Literal["clients", "backends"]


class MemoryAccount:
    """The bytes held for connections: their objects, what came on them and what waits to leave.

    ``limit`` in bytes; what is granted is within it. A holder may go beyond it only by what it holds
    already when the limit falls, and by the ``GUARANTEED_BYTES`` of each.
    """

    def __init__(self, limit: int) -> None:
        self.limit, self.held, self.peak = limit, 0, 0
        self.held_for, self.peak_for = Counter[Purpose](), Counter[Purpose]()
        self.holdings: set[Holding] = set()  # those that hold more than their fixed part
        self.room_made = trio.Event()

    def open(self, give_way: Callable[[], bool], fixed: int = 0, purpose: Purpose = "clients") -> Holding:
        """A holding of its own for one connection, which takes ``fixed`` bytes until it is closed.

        ``give_way`` is called where others wait for room: it frees what is held, or returns False where that
        would lose a request that has come whole.
        """
        return Holding(self, give_way, fixed, purpose)

    def change(self, purpose: Purpose, by: int) -> None:
        """Count bytes that are held from now on, or no longer."""
        self.held += by
        self.held_for[purpose] += by
        if by > 0:
            self.peak = max(self.peak, self.held)
            self.peak_for[purpose] = max(self.peak_for[purpose], self.held_for[purpose])
        elif by < 0 and self.has_room():
            self.room_made.set()

    def has_room(self) -> bool:
        return self.held < self.limit

    def fair_share(self) -> float:
        """The bytes that each holder would have if all had the same."""
        return self.limit / max(1, len(self.holdings))

    def set_limit(self, limit: int) -> None:
        """The limit from now on; the largest that can gives way until what is held is within it."""
        self.limit = limit
        if self.has_room():
            self.room_made.set()
        while self.held > self.limit and self.evict_largest():
            pass

    def evict_largest(self, for_served: bool = False) -> bool:
        """Make the largest holder that can give way do so; whether there was one.

        ``for_served``: only one whose client has had no good answer yet.
        """
        for holding in sorted(self.holdings, key=lambda each: each.size, reverse=True):
            if holding.size <= GUARANTEED_BYTES:
                return False
            if not (for_served and holding.served) and holding.give_way():
                return True
        return False


class Holding:
    """What one connection holds. ``served``: its client has had a good answer."""

    def __init__(
        self, account: MemoryAccount, give_way: Callable[[], bool], fixed: int, purpose: Purpose
    ) -> None:
        self.account, self.give_way = account, give_way
        self.fixed, self.purpose, self.served = fixed, purpose, False
        self.size = self.granted = 0  # granted: counted as held, for what is read next
        account.change(purpose, fixed)

    def resize(self, size: int) -> None:
        """The connection holds so many bytes from here on, beside its fixed part."""
        change = size - self.size - self.granted
        self.size, self.granted = size, 0
        if size:
            self.account.holdings.add(self)
        else:
            self.account.holdings.discard(self)
        self.account.change(self.purpose, change)

    def close(self) -> None:
        """The connection has ended."""
        self.resize(0)
        self.give_way = lambda: False
        fixed, self.fixed = self.fixed, 0
        self.account.change(self.purpose, -fixed)

    def room(self) -> int:
        """How many bytes more this connection may hold just now."""
        return max(GUARANTEED_BYTES - self.size, self.account.limit - self.account.held, self.granted)

    def grant(self) -> None:
        """Keep room for the next read: others would take it before this connection has its turn."""
        free = min(GRANTED_BYTES, self.account.limit - self.account.held)
        if self.size >= GUARANTEED_BYTES and not self.granted and free > 0:
            self.granted = free
            self.account.change(self.purpose, free)

    def may_grow(self) -> bool:
        return self.room() > 0

    async def wait_for_room(self) -> None:
        """Wait until more may be held.

        After ``ROOM_TIMEOUT_S`` the largest holders give way to one that holds less than its share, and
        those whose clients were never served to one that was.
        """
        account = self.account
        give_way_at = trio.current_time() + ROOM_TIMEOUT_S
        while not self.may_grow():
            if account.room_made.is_set():
                account.room_made = trio.Event()
            overdue = trio.current_time() >= give_way_at
            if overdue and self.make_others_give_way():
                continue
            with trio.move_on_at(math.inf if overdue else give_way_at):
                await account.room_made.wait()
        self.grant()

    def make_others_give_way(self) -> bool:
        """Whether another has given way to this one."""
        if self.size < self.account.fair_share():
            return self.account.evict_largest()
        return self.served and self.account.evict_largest(for_served=True)
