"""Whether calls may still be taken while their use has to be recorded: the bound on what waits."""

from __future__ import annotations

from dataclasses import dataclass

RESUME_SHARE = 0.95  # of the bound, below which calls are taken again: or each record would open and shut


@dataclass(slots=True)
class UsageAdmission:
    """Open, or shut for a reason. Each open call may yet need a place, so that those count too."""

    max_waiting: int
    closed_reason: str = ""  # why; empty: open

    def update(self, waiting: int, open_calls: int, fault: str) -> bool:
        """Take in how things stand; whether that opened or shut it."""
        before = bool(self.closed_reason)
        if fault:
            self.closed_reason = fault
        elif waiting + open_calls >= self.max_waiting:
            self.closed_reason = f"{waiting} uses wait for the accounts, {self.max_waiting} at most"
        elif not self.closed_reason or waiting + open_calls < self.max_waiting * RESUME_SHARE:
            self.closed_reason = ""
        return before != bool(self.closed_reason)
