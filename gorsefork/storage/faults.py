"""Named points at which a test may break a write: each is reached in service, and does nothing there."""

from __future__ import annotations

from collections.abc import Callable

POINTS = (
    "open.created", "open.checked", "life.begun", "append.begun", "append.written", "append.committed",
    "acknowledge.begun", "acknowledge.written", "acknowledge.committed",
    "book.begun", "book.written", "book.committed", "forget.begun", "forget.written", "forget.committed",
    "checkpoint.begun", "checkpoint.done",
)
Fault = Callable[[str], None]


def no_fault(point: str) -> None:
    """In service."""
