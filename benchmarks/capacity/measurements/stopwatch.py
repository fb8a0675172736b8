"""What all measurements count with: CPU time and memory of this process."""

from __future__ import annotations

import gc
import time
import tracemalloc
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import TypeVar

T = TypeVar("T")
UNIX = 1_800_000_000_000_000  # us, a time that the measurements take for now


class Done:
    """The end of some steps."""


DONE = Done()


class Stopwatch:
    """CPU time of this process in one part, in microseconds."""

    def __init__(self) -> None:
        self.us = self.longest = 0.0
        self.turns = 0

    @contextmanager
    def running(self) -> Iterator[None]:
        began = time.process_time_ns()
        yield
        spent = (time.process_time_ns() - began) / 1000
        self.us += spent
        self.longest = max(self.longest, spent)
        self.turns += 1

    def steps(self, steps: Iterator[T]) -> Iterator[T]:
        """The same steps, each counted as one turn."""
        while True:
            with self.running():
                step = next(steps, DONE)
            if isinstance(step, Done):
                return
            yield step

    def mean(self) -> float:
        return self.us / max(1, self.turns)


def resident() -> int:
    """Bytes of this process that are in memory."""
    pages = int(Path("/proc/self/statm").read_text(encoding="ascii").split()[1])
    return pages * 4096


def allocated(make: Callable[[], object]) -> int:
    """Bytes that what ``make`` returns holds, as Python's allocator counts them."""
    gc.collect()
    tracemalloc.start()
    try:
        held = make()
        gc.collect()
        found = tracemalloc.get_traced_memory()[0]
        del held
        return found
    finally:
        tracemalloc.stop()
