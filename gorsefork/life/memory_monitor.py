"""Holds the process to its memory budget by what the system says that it takes."""

from __future__ import annotations

from collections.abc import Callable

import trio

from gorsefork.life.process_memory import file_bytes, give_back_free_memory, resident_bytes
from gorsefork.memory.memory_account import MemoryAccount
from gorsefork.memory.memory_budget import MemoryBudget

CHECK_INTERVAL_S = 0.05
TRIM_INTERVAL_S = 1.0  # s at least between two times that free memory is given back
# Of the memory beyond what the program takes at rest: above the first the account shrinks, below the second
# it grows again.
HIGH_SHARE, LOW_SHARE = 0.8, 0.65
SHRINK_FACTOR, GROW_FACTOR = 0.85, 1.05
MIN_ACCOUNT_SHARE = 0.2  # of the account as planned


class MemoryMonitor:
    """Compares resident memory and files with the budget, and adapts the account's limit to it."""

    def __init__(
        self,
        account: MemoryAccount,
        scratch: str = "",
        resident: Callable[[], int] = resident_bytes,
        give_back: Callable[[], None] = give_back_free_memory,
    ) -> None:
        self.account, self.scratch, self.resident, self.give_back = account, scratch, resident, give_back
        self.budget: MemoryBudget | None = None
        self.used = self.peak = self.files = self.shrunk = 0  # bytes, bytes, bytes, times
        self.trimmed_at = -TRIM_INTERVAL_S

    def begin(self, budget: MemoryBudget) -> None:
        """A budget holds from now on, the first or a changed one."""
        self.budget = budget
        self.account.set_limit(budget.shared_account_bytes)

    async def run(self) -> None:
        while True:
            await trio.sleep(CHECK_INTERVAL_S)
            if self.budget is not None and self.budget.limit_bytes:
                self.check(self.budget)

    def check(self, budget: MemoryBudget) -> None:
        """Look once. Where the system does not tell, the account alone is the bound."""
        self.measure()
        spare = max(0, budget.limit_bytes - budget.resting_bytes)
        if self.used > budget.resting_bytes + HIGH_SHARE * spare:
            self.reduce(budget)
        elif self.used < budget.resting_bytes + LOW_SHARE * spare:
            grown = int(self.account.limit * GROW_FACTOR)
            self.account.set_limit(min(budget.shared_account_bytes, grown))

    def measure(self) -> None:
        self.files = file_bytes(self.scratch)
        self.used = self.resident() + self.files
        self.peak = max(self.peak, self.used)

    def reduce(self, budget: MemoryBudget) -> None:
        """Give back what is free; the account shrinks meanwhile, and its largest holders give way."""
        least = int(budget.shared_account_bytes * MIN_ACCOUNT_SHARE)
        self.account.set_limit(max(least, int(min(self.account.limit, self.account.held) * SHRINK_FACTOR)))
        self.shrunk += 1
        if trio.current_time() >= self.trimmed_at + TRIM_INTERVAL_S:
            self.trimmed_at = trio.current_time()
            self.give_back()

    def lines(self) -> list[str]:
        """Memory by purpose in bytes, with high-water marks, one metric a line."""
        self.measure()
        budget, account = self.budget, self.account
        lines = [f"used={self.used}", f"used.peak={self.peak}", f"files={self.files}"]
        if budget is not None:
            lines += [f"limit={budget.limit_bytes}", f"resting={budget.resting_bytes}"]
        lines += [f"account.limit={account.limit}", f"account.held={account.held}"]
        lines += [f"account.peak={account.peak}", f"account.shrunk={self.shrunk}"]
        for purpose in ("clients", "backends"):
            lines += [f"{purpose}.held={account.held_for[purpose]}"]
            lines += [f"{purpose}.peak={account.peak_for[purpose]}"]
        return lines
