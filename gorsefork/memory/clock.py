"""The one clock: whole microseconds on the monotonic clock, read once a turn of the loop."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass

import trio

SECOND = 1_000_000
MIN_REPORTED_STALL_US = 50_000  # us beyond which a turn of the loop, or a late end of its wait, is told
STALL_REPORT_INTERVAL_US = SECOND  # us between two times that it is told
MAX_STALL_US = 150_000  # us for which a process may be held up
IMMEDIATE_WAIT_US = 1_000  # us within which a wait for input ends that found some already there
LATE_WAKEUP_US = 10_000  # us by which a wait ends too late where the process was not scheduled


@dataclass(frozen=True, slots=True)
class LoopStalls:
    """How often and how long this process was held up since this was told last, in microseconds."""

    count: int
    longest_turn: int  # from the end of a wait for input to the begin of the next
    longest_oversleep: int  # by which a wait for input ended later than a timer was due


def monotonic_us() -> int:
    return time.monotonic_ns() // 1000


class Clock(trio.abc.Instrument):
    """Holds the time of this turn of the loop; trio renews it after each wait for input."""

    def __init__(self) -> None:
        self.now = monotonic_us()
        # Monotonic clocks of two machines share no origin, and counts are named by the span that the module
        # reckons from its time: so the module is given Unix time, by an offset that is fixed at the start.
        self.unix_offset = time.time_ns() // 1000 - self.now
        self.trio_offset: float | None = None  # both clocks count the same seconds, from different origins
        self.wait_began_at = self.now  # when this turn's wait for input began
        self.turn_began_late = False
        self.earliest_input_at = self.now  # what this turn's wait has found came no sooner than this
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
        """Since when the input may have been there that this wait has found. ``last``: the end of the wait
        before; nothing was there then. A process that is held up reads late, and does not see by how much."""
        if waited <= IMMEDIATE_WAIT_US:
            return last
        if oversleep >= LATE_WAKEUP_US:
            return min(self.now - oversleep, max(last, self.now - MAX_STALL_US))
        return self.now

    def was_stalled(self) -> bool:
        """Whether this process was held up just before this turn or in it: much may wait to be read."""
        return self.turn_began_late or monotonic_us() - self.now >= LATE_WAKEUP_US

    def record_stall(self, turn: int, oversleep: int) -> None:
        self.stall_count += 1
        self.longest_turn = max(self.longest_turn, turn)
        self.longest_oversleep = max(self.longest_oversleep, oversleep)

    def report_stalls(self) -> None:
        held = LoopStalls(self.stall_count, self.longest_turn, self.longest_oversleep)
        self.stall_count = self.longest_turn = self.longest_oversleep = 0
        self.stalls_reported_at = self.now
        if self.on_stalls is not None:
            self.on_stalls(held)

    def unix(self, at: int) -> float:
        """A time of this clock as Unix seconds."""
        return (at + self.unix_offset) / SECOND

    def from_unix_s(self, unix: float) -> float:
        """Unix seconds as a time of this clock; without end it stays so."""
        return unix * SECOND - self.unix_offset

    def unix_us(self) -> int:
        """Now, as microseconds of Unix time. It never steps: the offset is that of the start."""
        return self.now + self.unix_offset

    def from_unix_us(self, at: int) -> int:
        return at - self.unix_offset

    def from_unix_ms(self, ms: int) -> int:
        return ms * 1000 - self.unix_offset

    def trio_deadline(self, at: int) -> float:
        """A time of this clock on trio's own, for a cancel scope."""
        if self.trio_offset is None:
            self.trio_offset = trio.current_time() - monotonic_us() / SECOND
        return at / SECOND + self.trio_offset
