"""Since when input may have been there that a process reads late: the clock alone, in time of its own."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from unittest import mock

import pytest

from gorsefork.memory.arrival import MAX_UNREAD_US, ArrivalTime
from gorsefork.memory.clock import MAX_STALL_US, MIN_REPORTED_STALL_US, SECOND, Clock, LoopStalls

MS = 1_000


class Loop:
    """A loop's turns as its clock sees them, in microseconds."""

    def __init__(self) -> None:
        self.time = 10 * SECOND
        with self.patched():
            self.clock = Clock()

    @contextmanager
    def patched(self) -> Iterator[None]:
        with mock.patch("gorsefork.memory.clock.monotonic_us", lambda: self.time):
            yield

    def turn(self, runs: int = 0, waits: int = 0, timeout: int = SECOND) -> int:
        """It runs so long, and then waits so long for input. The end of its wait."""
        with self.patched():
            self.time += runs
            self.clock.before_io_wait(timeout / SECOND)
            self.time += waits
            self.clock.after_io_wait(timeout / SECOND)
        return self.time


class TestEarliestArrival:
    def test_input_that_ends_a_wait_has_just_come(self) -> None:
        loop = Loop()
        now = loop.turn(waits=200 * MS)
        assert loop.clock.earliest_input_at == now

    def test_input_that_is_there_after_a_long_turn_came_within_it(self) -> None:
        loop = Loop()
        last = loop.turn(waits=10 * MS)
        loop.turn(runs=140 * MS, waits=50)
        assert loop.clock.earliest_input_at == last

    def test_input_found_by_a_wait_that_overslept_may_have_come_while_it_was_held_up(self) -> None:
        loop = Loop()
        last = loop.turn(waits=10 * MS)
        loop.turn(runs=1 * MS, waits=130 * MS, timeout=20 * MS)
        assert loop.clock.earliest_input_at == last
        now = loop.turn(waits=400 * MS, timeout=380 * MS)
        assert loop.clock.earliest_input_at == now - MAX_STALL_US

    def test_a_hold_beyond_the_longest_counts_from_when_a_timer_was_due(self) -> None:
        loop = Loop()
        last = loop.turn(waits=10 * MS)
        loop.turn(waits=500 * MS, timeout=20 * MS)
        assert loop.clock.earliest_input_at == last + 20 * MS

    def test_holds_are_told_once_a_second_with_the_longest(self) -> None:
        loop, told = Loop(), list[LoopStalls]()
        loop.clock.on_stalls = told.append
        loop.turn(runs=MIN_REPORTED_STALL_US, waits=10)
        loop.turn(waits=MIN_REPORTED_STALL_US + 20 * MS, timeout=10 * MS)
        loop.turn(runs=90 * MS, waits=10)
        loop.turn(waits=SECOND)
        assert told == [
            LoopStalls(1, MIN_REPORTED_STALL_US, 0),
            LoopStalls(2, 90 * MS, MIN_REPORTED_STALL_US + 10 * MS),
        ]


class TestArrival:
    def test_what_came_before_a_connection_was_accepted_counts_from_the_hold(self) -> None:
        loop = Loop()
        last = loop.turn(waits=10 * MS)
        loop.turn(runs=140 * MS, waits=10)  # accepted in this turn, with its request behind it
        arrival = ArrivalTime(loop.clock, loop.clock.earliest_input_at)
        arrival.begin_wait()
        loop.turn(waits=10)
        assert arrival.earliest() == last

    def test_what_ends_a_wait_of_a_kept_connection_has_just_come(self) -> None:
        loop = Loop()
        arrival = ArrivalTime(loop.clock, loop.turn(waits=10 * MS))
        arrival.begin_wait()
        loop.turn(waits=10)  # for another one
        now = loop.turn(waits=300 * MS)
        assert arrival.earliest() == now

    @pytest.mark.parametrize(("pause", "counted"), [(250 * MS, 250 * MS), (SECOND, MAX_UNREAD_US)])
    def test_what_lay_unread_behind_a_pause_counts_from_its_begin(self, pause: int, counted: int) -> None:
        loop = Loop()
        arrival = ArrivalTime(loop.clock, loop.turn(waits=10 * MS))
        arrival.mark_drained()
        loop.turn(waits=pause)
        arrival.begin_wait()  # only now is it read on
        now = loop.turn(waits=10)
        assert now - arrival.earliest() == min(counted + 10, MAX_UNREAD_US)
