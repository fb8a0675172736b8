"""Tests the estimated arrival time of input that a stalled process reads late, on a fake clock."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from unittest import mock

import pytest

from gorsefork.memory.arrival import MAX_UNREAD_US, ArrivalTime
from gorsefork.memory.clock import MAX_STALL_US, MIN_REPORTED_STALL_US, SECOND, Clock, LoopStalls

MS = 1_000  # in microseconds


class FakeLoop:
    """Simulates the turns of an event loop as its clock sees them, in microseconds."""

    def __init__(self) -> None:
        self.time = 10 * SECOND
        with self.patched():
            self.clock = Clock()

    @contextmanager
    def patched(self) -> Iterator[None]:
        with mock.patch("gorsefork.memory.clock.monotonic_us", lambda: self.time):
            yield

    def turn(self, run_us: int = 0, wait_us: int = 0, timeout_us: int = SECOND) -> int:
        """Run for ``run_us``, then wait ``wait_us`` for input; return the time at the end of the wait."""
        with self.patched():
            self.time += run_us
            self.clock.before_io_wait(timeout_us / SECOND)
            self.time += wait_us
            self.clock.after_io_wait(timeout_us / SECOND)
        return self.time


class TestEarliestArrival:
    def test_input_that_ends_a_wait_has_just_arrived(self) -> None:
        loop = FakeLoop()
        now = loop.turn(wait_us=200 * MS)
        assert loop.clock.earliest_input_at == now

    def test_input_found_after_a_long_turn_arrived_during_it(self) -> None:
        loop = FakeLoop()
        last = loop.turn(wait_us=10 * MS)
        loop.turn(run_us=140 * MS, wait_us=50)
        assert loop.clock.earliest_input_at == last

    def test_input_found_by_a_wait_that_overslept_may_have_arrived_during_the_stall(self) -> None:
        loop = FakeLoop()
        last = loop.turn(wait_us=10 * MS)
        loop.turn(run_us=1 * MS, wait_us=130 * MS, timeout_us=20 * MS)
        assert loop.clock.earliest_input_at == last
        now = loop.turn(wait_us=400 * MS, timeout_us=380 * MS)
        assert loop.clock.earliest_input_at == now - MAX_STALL_US

    def test_a_stall_beyond_the_maximum_counts_from_the_time_when_a_timer_was_due(self) -> None:
        loop = FakeLoop()
        last = loop.turn(wait_us=10 * MS)
        loop.turn(wait_us=500 * MS, timeout_us=20 * MS)
        assert loop.clock.earliest_input_at == last + 20 * MS

    def test_stalls_are_reported_once_a_second_with_the_longest(self) -> None:
        loop, reports = FakeLoop(), list[LoopStalls]()
        loop.clock.on_stalls = reports.append
        loop.turn(run_us=MIN_REPORTED_STALL_US, wait_us=10)
        loop.turn(wait_us=MIN_REPORTED_STALL_US + 20 * MS, timeout_us=10 * MS)
        loop.turn(run_us=90 * MS, wait_us=10)
        loop.turn(wait_us=SECOND)
        assert reports == [
            LoopStalls(1, MIN_REPORTED_STALL_US, 0),
            LoopStalls(2, 90 * MS, MIN_REPORTED_STALL_US + 10 * MS),
        ]


class TestArrival:
    def test_input_from_before_the_accept_of_a_connection_counts_from_the_stall(self) -> None:
        loop = FakeLoop()
        last = loop.turn(wait_us=10 * MS)
        loop.turn(run_us=140 * MS, wait_us=10)  # accepts the connection, whose request is still unread
        arrival = ArrivalTime(loop.clock, loop.clock.earliest_input_at)
        arrival.begin_wait()
        loop.turn(wait_us=10)
        assert arrival.earliest() == last

    def test_input_that_ends_a_wait_of_a_kept_connection_has_just_arrived(self) -> None:
        loop = FakeLoop()
        arrival = ArrivalTime(loop.clock, loop.turn(wait_us=10 * MS))
        arrival.begin_wait()
        loop.turn(wait_us=10)  # ends for input of another connection
        now = loop.turn(wait_us=300 * MS)
        assert arrival.earliest() == now

    @pytest.mark.parametrize(("pause", "counted"), [(250 * MS, 250 * MS), (SECOND, MAX_UNREAD_US)])
    def test_input_unread_during_a_pause_counts_from_its_start(self, pause: int, counted: int) -> None:
        loop = FakeLoop()
        arrival = ArrivalTime(loop.clock, loop.turn(wait_us=10 * MS))
        arrival.mark_drained()
        loop.turn(wait_us=pause)
        arrival.begin_wait()  # reading resumes only now
        now = loop.turn(wait_us=10)
        assert now - arrival.earliest() == min(counted + 10, MAX_UNREAD_US)
