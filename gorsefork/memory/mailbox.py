"""A bounded mailbox with one reader, for the actors."""

from __future__ import annotations

import math
from collections import deque
from typing import Generic, TypeVar

import trio

T = TypeVar("T")


class Mailbox(Generic[T]):
    """Messages in their order. ``put`` never waits; a full box says no, and its sender decides."""

    def __init__(self, most: int) -> None:
        self.messages: deque[T] = deque()
        self.capacity = most
        self.not_empty = trio.Event()

    def put(self, message: T) -> bool:
        if len(self.messages) >= self.capacity:
            return False
        self.messages.append(message)
        self.not_empty.set()
        return True

    def drain(self) -> list[T]:
        messages = list(self.messages)
        self.messages.clear()
        if self.not_empty.is_set():
            self.not_empty = trio.Event()
        return messages

    async def wait(self, deadline: float) -> None:
        """Until there is a message, or trio's clock shows ``deadline``."""
        if self.messages:
            return
        if deadline == math.inf:
            await self.not_empty.wait()
        else:
            with trio.CancelScope(deadline=deadline):
                await self.not_empty.wait()
