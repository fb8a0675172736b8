"""Shares the event loop among connections that have much to do."""

from __future__ import annotations

import heapq
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from itertools import count

import trio


@dataclass(order=True, slots=True)
class Waiter:
    """One that waits for its turn: fewest steps first, then the order in which they came."""

    steps_taken: int
    number: int
    granted: trio.Event = field(default_factory=trio.Event, compare=False)
    abandoned: bool = field(default=False, compare=False)


class WorkTurns:
    """Lets connections with more input than one step takes go on one after another.

    All of them together take one step in a turn of the event loop, so that the others are delayed by one step
    however many there are. Whoever has taken the fewest steps goes first: a request of usual length does not
    wait behind very long ones.
    """

    def __init__(self) -> None:
        self.waiters: list[Waiter] = []  # a heap
        self.numbers = count()
        self.abandoned = 0  # of the waiters: their tasks were cancelled
        self.busy = False

    @asynccontextmanager
    async def step(self, steps_taken: int = 0) -> AsyncIterator[None]:
        """Wait for a turn; the next one begins once all tasks that are ready now have run."""
        await self.wait_for_turn(steps_taken)
        try:
            yield
            await trio.lowlevel.checkpoint()
        finally:
            self.grant_next()

    async def wait_for_turn(self, steps_taken: int) -> None:
        await trio.lowlevel.checkpoint_if_cancelled()
        if not self.busy:
            self.busy = True
            return
        waiter = Waiter(steps_taken, next(self.numbers))
        heapq.heappush(self.waiters, waiter)
        try:
            await waiter.granted.wait()
        except trio.Cancelled:
            if waiter.granted.is_set():
                self.grant_next()
            else:
                self.abandon(waiter)
            raise

    def grant_next(self) -> None:
        while self.waiters:
            waiter = heapq.heappop(self.waiters)
            if not waiter.abandoned:
                waiter.granted.set()
                return
            self.abandoned -= 1
        self.busy = False

    def abandon(self, waiter: Waiter) -> None:
        """Drop it, with the others that are dropped once those are more than the rest."""
        waiter.abandoned = True
        self.abandoned += 1
        if 2 * self.abandoned > len(self.waiters):
            self.waiters = [each for each in self.waiters if not each.abandoned]
            heapq.heapify(self.waiters)
            self.abandoned = 0
