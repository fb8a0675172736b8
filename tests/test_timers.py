"""Tests the timer heap."""

from __future__ import annotations

import unittest

from gorsefork.memory.timers import MIN_COMPACTION_LENGTH, Timers


class TimersTest(unittest.TestCase):
    def test_timers_fire_in_order_and_those_of_finished_calls_not_at_all(self) -> None:
        open_calls = {"a", "b"}
        timers = Timers(open_calls)
        for due, token, call in ((30, "late", ""), (10, "a1", "a"), (10, "b1", "b"), (5, "a0", "a")):
            timers.set(due, token, call)
        self.assertEqual((timers.next_due(), timers.due(4)), (5, []))
        self.assertEqual(timers.due(5), ["a0"])
        open_calls.discard("a")
        self.assertEqual(timers.due(10), ["b1"])
        self.assertEqual((timers.next_due(), timers.due(30), timers.next_due()), (30, ["late"], None))

    def test_timers_of_calls_that_are_over_do_not_pile_up_until_their_time(self) -> None:
        """Guards against memory that grows with each request that has a day to wait (issue 54 b)."""
        open_calls = {"open"}
        timers = Timers(open_calls)
        timers.set(5, "kept", "open")
        for number in range(20 * MIN_COMPACTION_LENGTH):
            timers.set(10 + number, f"t{number}", f"over-{number}")
        self.assertLessEqual(len(timers.heap), MIN_COMPACTION_LENGTH + 1)
        self.assertEqual(timers.due(10**9), ["kept"])


if __name__ == "__main__":
    unittest.main()
