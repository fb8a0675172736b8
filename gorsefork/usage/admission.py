"""Whether calls may still be taken while their use has to be recorded: the bound on what waits."""

from __future__ import annotations

from dataclasses import dataclass

RESUME_SHARE = 0.95  # of the bound, below which calls are taken again: or each record would open and shut


@dataclass(slots=True)
class Admission:
    """Open, or shut for a reason. Each open call may yet need a place, so that those count too."""

    most: int
    shut: str = ""  # why; empty: open

    def look(self, waiting: int, open_calls: int, fault: str) -> bool:
        """Take in how things stand; whether that opened or shut it."""
        before = bool(self.shut)
        if fault:
            self.shut = fault
        elif waiting + open_calls >= self.most:
            self.shut = f"{waiting} uses wait for the accounts, {self.most} at most"
        elif not self.shut or waiting + open_calls < self.most * RESUME_SHARE:
            self.shut = ""
        return before != bool(self.shut)
