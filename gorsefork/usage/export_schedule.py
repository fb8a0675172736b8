"""When the next batch goes out, and what an answer to the last one means. Times in us, monotonic."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import Literal

SECOND = 1_000_000
SHORTEST, LONGEST = SECOND // 5, 30 * SECOND  # pauses after failures in a row
LEAST_BATCH = 1

State = Literal["idle", "sending", "waiting"]
Verdict = Literal["kept", "behind", "refused", "failed"]


@dataclass(slots=True)
class ExportSchedule:
    """The state of one exporter. One batch is on its way at a time, so that what comes back is for that one.

    idle -> sending (there is something, and it is time) -> idle (kept, or the receiver names another place)
    or waiting (failed or refused) -> sending again, from the oldest that is not acknowledged.
    """

    max_batch: int
    flush: int  # us that a use may wait for others to go with it
    rng: random.Random
    size: int = field(init=False)
    state: State = "idle"
    failures: int = 0
    not_before: int = 0
    due: int | None = None  # when what there is goes out, full batch or not
    problem: str = ""
    acknowledged_at: int | None = None
    sent: int = 0

    def __post_init__(self) -> None:
        self.size = self.max_batch

    def recorded(self, waiting: int, now: int) -> None:
        """So many uses are not acknowledged; a full batch goes at once, fewer after ``flush``."""
        if waiting == 0:
            self.due = None
        elif waiting >= self.size:
            self.due = now
        elif self.due is None:
            self.due = now + self.flush

    def wake_at(self) -> int | None:
        """When there is something to do; None: not until the next use, or the answer."""
        if self.state == "sending" or self.due is None:
            return None
        return max(self.due, self.not_before)

    def ready(self, now: int) -> bool:
        wake = self.wake_at()
        return wake is not None and wake <= now

    def begin(self) -> None:
        assert self.state != "sending"
        self.state, self.due = "sending", None
        self.sent += 1

    def no_batch(self) -> None:
        """There was no batch to send after all."""
        self.state = "idle"

    def refused_as_too_large(self, uses: int) -> None:
        """A batch of so many uses got 413; called before ``batch_ended``, which halves what was sent."""
        self.size = max(LEAST_BATCH, min(self.size, uses))

    def batch_ended(self, status: int, upto: int | None, first: int, now: int) -> Verdict:
        """The answer to a batch that began at ``first``; ``status`` 0: none came, or it cannot be read.

        409 with a lower place means that the receiver lacks what it once kept or never got: where that is at
        hand still, the next batch begins there, and otherwise the batch says so by its ``oldest``.
        """
        self.state = "idle"
        if status == 200 and upto is not None and upto >= first - 1:
            self.failures, self.not_before, self.problem = 0, 0, ""
            self.size = min(self.max_batch, self.size * 2)
            self.acknowledged_at = now
            return "kept"
        self.failures += 1
        pause = min(LONGEST, SHORTEST * 2 ** min(self.failures - 1, 12))
        self.not_before = now + round(pause * self.rng.uniform(0.5, 1.0))
        self.state, self.due = "waiting", now
        if status == 409 and upto is not None:
            self.problem = f"the accounts have all up to {upto} only"
            return "behind"
        if status == 413:
            self.size = max(LEAST_BATCH, self.size // 2)
        if 400 <= status < 500 and status not in (408, 429):
            self.problem = f"the accounts refused a batch with {status}"
            return "refused"
        self.problem = f"the accounts answered {status}" if status else "the accounts gave no answer"
        return "failed"
