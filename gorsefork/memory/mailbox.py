"""The bounded single-reader mailbox of the actors."""

from __future__ import annotations

import math
from collections import deque
from typing import Generic, TypeVar

import trio

T = TypeVar("T")


class Mailbox(Generic[T]):
    """A bounded FIFO queue. ``put`` never waits: it returns False when full, and the sender decides."""

    def __init__(self, capacity: int) -> None:
        self.messages: deque[T] = deque()
        self.capacity = capacity
        self.not_empty = trio.Event()

    def put(self, message: T) -> bool:
        """Append a message; return False if the mailbox is full."""
        if len(self.messages) >= self.capacity:
            return False
        self.messages.append(message)
        self.not_empty.set()
        return True

    def drain(self) -> list[T]:
        """Remove and return all messages."""
        messages = list(self.messages)
        self.messages.clear()
        if self.not_empty.is_set():
            self.not_empty = trio.Event()
        return messages

    async def wait(self, deadline: float) -> None:
        """Wait until there is a message or trio's clock reaches ``deadline``."""
        if self.messages:
            return
        if deadline == math.inf:
            await self.not_empty.wait()
        else:
            with trio.CancelScope(deadline=deadline):
                await self.not_empty.wait()
