"""What is worked out from the program's own constants, and marked so."""

from __future__ import annotations

import msgspec

from benchmarks.capacity.measurements.plan_book import plan_change
from benchmarks.capacity.results import Measured, Size
from gorsefork.decisions.rules import (
    FLEET_INITIAL_CALLS_PER_S,
    FLEET_MIN_CALLS_PER_S,
    INITIAL_CALLS_PER_S,
    MIN_CALLS_PER_S,
)
from gorsefork.plans.change_feed import Page

FEED_WAIT = 10.0  # s that a question of the all-to-all feed stood


def work_out_feed(ingresses: int, seed: int) -> list[Measured]:
    """All-to-all, as ``wire/services/fellows.py`` asks: a connection and a standing question a pair."""

    def row(metric: str, value: float, unit: str, note: str) -> Measured:
        return Measured("all-to-all feed", metric, Size(ingresses), value, unit, seed, f"arithmetic: {note}")

    others = ingresses - 1
    asked = others / FEED_WAIT
    empty = len(
        msgspec.msgpack.encode(Page("1796128930762813", 62_000, 62_000, False, (), "62000-" + "0" * 32))
    )
    one = Page("1796128930762813", 62_000, 62_000, False, (plan_change(1),), "62000-" + "0" * 32)
    heads = 260 + 120  # a question's and an answer's, as the client and the control front write them
    return [
        row("descriptors", 2 * others, "", "one connection to and one from each other"),
        row("questions and answers at rest", 4 * asked, "1/s", "each pair asks once in 10 s, both ways"),
        row("bytes at rest", 2 * asked * (heads + empty), "B/s", "heads reckoned at 380 bytes, a guess"),
        row(
            "bytes of one change",
            2 * others * (heads + len(msgspec.msgpack.encode(one))),
            "B",
            "the same guess",
        ),
    ]


def work_out_counter(ingresses: int, seed: int) -> list[Measured]:
    def row(metric: str, value: float, unit: str, note: str) -> Measured:
        return Measured("counter", metric, Size(ingresses), value, unit, seed, f"arithmetic: {note}")

    first = min(INITIAL_CALLS_PER_S, FLEET_INITIAL_CALLS_PER_S / ingresses)
    least = min(MIN_CALLS_PER_S, FLEET_MIN_CALLS_PER_S / ingresses)
    return [
        row("calls at the start", first, "1/s", "CALLS_START, CALLS_ALL over all"),
        row("calls at the start by all", first * ingresses, "1/s", "the same"),
        row("calls while it is silent", least, "1/s", "CALLS_LEAST, CALLS_ALL_LEAST over all"),
        row("calls while it is silent by all", least * ingresses, "1/s", "the same"),
    ]
