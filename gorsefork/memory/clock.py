"""The process clock: whole microseconds of monotonic time, read once per turn of the event loop."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass

import trio

SECOND = 1_000_000
MIN_REPORTED_STALL_US = 50_000  # of a turn of the loop, or of a wait that ends late
STALL_REPORT_INTERVAL_US = SECOND
MAX_STALL_US = 150_000  # the longest stall that a process is expected to have
IMMEDIATE_WAIT_US = 1_000  # a shorter wait for input found input that was already there
LATE_WAKEUP_US = 10_000  # a wait that ends later than this means that the process was not scheduled


@dataclass(frozen=True, slots=True)
class LoopStalls:
    """How often and for how long this process stalled since the last report; times in microseconds."""

    count: int
    longest_turn: int  # from the end of a wait for input to the start of the next
    longest_oversleep: int  # the most by which a wait for input ended after its timeout


def monotonic_us() -> int:
    """Return the current monotonic time in microseconds."""
    return time.monotonic_ns() // 1000


class Clock(trio.abc.Instrument):
    """Holds the time of the current loop turn and detects stalls; trio updates it after each wait."""

    def __init__(self) -> None:
        self.now = monotonic_us()
        # Monotonic clocks of two machines share no origin, and the decision engine names counts by the count
        # span that it computes from its time. So it gets Unix time, by an offset that is fixed at the start.
        self.unix_offset = time.time_ns() // 1000 - self.now
        self.trio_offset: float | None = None  # both clocks run at the same rate, from different origins
        self.wait_began_at = self.now  # start of this turn's wait for input
        self.turn_began_late = False
        self.earliest_input_at = self.now  # the input found in this turn did not arrive earlier
        self.on_stalls: Callable[[LoopStalls], None] | None = None
        self.stall_count = self.longest_turn = self.longest_oversleep = 0
        self.stalls_reported_at = self.now - STALL_REPORT_INTERVAL_US

    def before_io_wait(self, timeout: float) -> None:
        self.wait_began_at = monotonic_us()

    def after_io_wait(self, timeout: float) -> None:
        last, self.now = self.now, monotonic_us()
        turn, waited = self.wait_began_at - last, self.now - self.wait_began_at
        oversleep = waited - round(timeout * SECOND)
        self.earliest_input_at = self.earliest_arrival(last, waited, oversleep)
        self.turn_began_late = max(turn, oversleep) >= LATE_WAKEUP_US
        if max(turn, oversleep) >= MIN_REPORTED_STALL_US:
            self.record_stall(turn, oversleep)
        if self.stall_count and self.now >= self.stalls_reported_at + STALL_REPORT_INTERVAL_US:
            self.report_stalls()

    def earliest_arrival(self, last: int, waited: int, oversleep: int) -> int:
        """Return the earliest time at which the input found by this wait may have arrived.

        ``last`` is the end of the previous wait, when no input was there. A stalled process reads late and
        cannot tell by how much. All values are in microseconds.
        """
        if waited <= IMMEDIATE_WAIT_US:
            return last
        if oversleep >= LATE_WAKEUP_US:
            return min(self.now - oversleep, max(last, self.now - MAX_STALL_US))
        return self.now

    def was_stalled(self) -> bool:
        """Whether this process stalled just before or during this turn, so that much input may be unread."""
        return self.turn_began_late or monotonic_us() - self.now >= LATE_WAKEUP_US

    def record_stall(self, turn: int, oversleep: int) -> None:
        """Add one stall to the next report; both durations are in microseconds."""
        self.stall_count += 1
        self.longest_turn = max(self.longest_turn, turn)
        self.longest_oversleep = max(self.longest_oversleep, oversleep)

    def report_stalls(self) -> None:
        """Pass the stalls since the last report to ``on_stalls`` and reset the figures."""
        stalls = LoopStalls(self.stall_count, self.longest_turn, self.longest_oversleep)
        self.stall_count = self.longest_turn = self.longest_oversleep = 0
        self.stalls_reported_at = self.now
        if self.on_stalls is not None:
            self.on_stalls(stalls)

    def unix(self, at: int) -> float:
        """Convert a time of this clock to Unix seconds."""
        return (at + self.unix_offset) / SECOND

    def from_unix_s(self, unix: float) -> float:
        """Convert Unix seconds to a time of this clock; infinity stays infinity."""
        return unix * SECOND - self.unix_offset

    def unix_us(self) -> int:
        """Return the current Unix time in microseconds; it never steps, as the offset is fixed."""
        return self.now + self.unix_offset

    def from_unix_us(self, at: int) -> int:
        """Convert Unix microseconds to a time of this clock."""
        return at - self.unix_offset

    def from_unix_ms(self, ms: int) -> int:
        """Convert Unix milliseconds to a time of this clock."""
        return ms * 1000 - self.unix_offset

    def trio_deadline(self, at: int) -> float:
        """Convert a time of this clock to trio's clock, for a cancel scope."""
        if self.trio_offset is None:
            self.trio_offset = trio.current_time() - monotonic_us() / SECOND
        return at / SECOND + self.trio_offset
