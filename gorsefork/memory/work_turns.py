"""Shares the event loop among connections that have much to do."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import trio


class WorkTurns:
    """Lets connections with more input than one step takes go on one after another, in the order they came.

    All of them together take one step in a turn of the event loop, so that the others are delayed by one step
    however many there are.
    """

    def __init__(self) -> None:
        self.lock = trio.Lock()  # fair: first come, first served

    @asynccontextmanager
    async def step(self) -> AsyncIterator[None]:
        """Wait for a turn; the next one begins once all tasks that are ready now have run."""
        async with self.lock:
            yield
            await trio.lowlevel.checkpoint()
