"""Named points at which a test may break a write: each is reached in service, and does nothing there."""

from __future__ import annotations

from collections.abc import Callable

TRANSACTIONS = ("life", "append", "acknowledge", "end", "probe", "records", "forget")
POINTS = (
    "open.created",
    "open.checked",
    "checkpoint.begun",
    "checkpoint.done",
    *(f"{name}.{step}" for name in TRANSACTIONS for step in ("begun", "written", "committed")),
)
MIGRATION_STEPS = ("begun", "row", "dropped", "written", "committed")
MIGRATION_POINTS = tuple(f"migrate.{step}" for step in MIGRATION_STEPS)  # in a folder of an older format
Fault = Callable[[str], None]


def no_fault(point: str) -> None:
    """In service."""
