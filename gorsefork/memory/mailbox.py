"""A bounded mailbox with one reader, for the actors."""

from __future__ import annotations

import math
from collections import deque
from typing import Generic, TypeVar

import trio

T = TypeVar("T")


class Mailbox(Generic[T]):
    """Letters in their order. ``put`` never waits; a full box says no, and its sender decides."""

    def __init__(self, most: int) -> None:
        self.letters: deque[T] = deque()
        self.most = most
        self.bell = trio.Event()

    def put(self, letter: T) -> bool:
        if len(self.letters) >= self.most:
            return False
        self.letters.append(letter)
        self.bell.set()
        return True

    def drain(self) -> list[T]:
        letters = list(self.letters)
        self.letters.clear()
        if self.bell.is_set():
            self.bell = trio.Event()
        return letters

    async def wait(self, deadline: float) -> None:
        """Until there is a letter, or trio's clock shows ``deadline``."""
        if self.letters:
            return
        if deadline == math.inf:
            await self.bell.wait()
        else:
            with trio.CancelScope(deadline=deadline):
                await self.bell.wait()
