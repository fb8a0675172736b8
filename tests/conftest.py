"""Builders for settings and a small driver of one gatekeeper, all in fake time."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import Any

import pytest
from known_red import pytest_collection_modifyitems, pytest_configure, pytest_terminal_summary

from gorsefork.decisions import DecisionEngine
from gorsefork.decisions import interface as i

__all__ = ["pytest_collection_modifyitems", "pytest_configure", "pytest_terminal_summary"]

SAFE = i.RequestClass("look", aim=1.0, deadline=3.0, worth=1.0)
ONCE = i.RequestClass("pay", aim=1.0, deadline=3.0, worth=5.0, effect="once")
KEYED = i.RequestClass("book", aim=1.0, deadline=3.0, worth=3.0, effect="by_key", scope="cell", window=2.0)
OPEN_PLAN = i.Plan("open")
RATED = i.Plan("rated", rate=2.0, burst=8.0)


def settings(**changes: Any) -> i.Settings:
    base = i.Settings(
        classes=[SAFE, ONCE, KEYED],
        plans=[OPEN_PLAN, RATED],
        limits=i.Limits(max_attempts=4, cancel=True, retry_after=True, max_retry_after=2.0),
        safety_limits=i.SafetyLimits(cold_share=0.2, ramp=10.0, fall_multiple=2.0, drain_grace=0.5),
    )
    return replace(base, **changes)


class Driver:
    """Feeds events to one gatekeeper and rings its timers in order."""

    def __init__(self, given: i.Settings, servers: int = 2, seed: int = 7) -> None:
        self.given = given
        self.gate = DecisionEngine(given, seed)
        self.now = 100.0
        self.timers: list[tuple[float, int, str]] = []
        self.log: list[tuple[float, i.Action]] = []
        self.ids = 0
        if servers:
            entries = [i.BackendEntry(f"s{n}", zone=n % 2, cell=n % 2) for n in range(servers)]
            self.feed(i.BackendList("cached", entries))

    def feed(self, *events: i.Event) -> list[i.Action]:
        actions = list(self.gate.handle(self.now, events))
        for action in actions:
            self.log.append((self.now, action))
            if isinstance(action, i.SetTimer):
                self.timers.append((self.now + action.delay, len(self.log), action.token))
        return actions

    def request(self, **given: Any) -> i.Request:
        self.ids += 1
        values: dict[str, Any] = {
            "id": f"r{self.ids}",
            "class_index": 0,
            "plan_index": 0,
            "customer": "c",
            "time_left": 3.0,
        }
        return i.Request(**{**values, **given})

    def ask(self, **given: Any) -> list[i.Action]:
        return self.feed(self.request(**given))

    def run(self, seconds: float) -> list[i.Action]:
        end, seen = self.now + seconds, []
        while self.timers and min(self.timers)[0] <= end:
            due = min(self.timers)
            self.timers.remove(due)
            self.now = max(self.now, due[0])
            seen += self.feed(i.TimerExpired(due[2]))
        self.now = end
        return seen

    def made(self, kind: type) -> list[Any]:
        return [action for _, action in self.log if isinstance(action, kind)]


@pytest.fixture
def drive() -> Callable[..., Driver]:
    def make(servers: int = 2, seed: int = 7, **changes: Any) -> Driver:
        return Driver(settings(**changes), servers, seed)

    return make
