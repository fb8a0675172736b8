"""Test settings, and a driver that runs one decision engine in virtual time."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import Any

import pytest
from known_red import pytest_collection_modifyitems, pytest_configure, pytest_terminal_summary

from gorsefork.decisions import DecisionEngine
from gorsefork.decisions import interface as i

__all__ = ["pytest_collection_modifyitems", "pytest_configure", "pytest_terminal_summary"]

REPEATABLE_CLASS = i.RequestClass("look", aim=1.0, deadline=3.0, worth=1.0)
ONCE_CLASS = i.RequestClass("pay", aim=1.0, deadline=3.0, worth=5.0, effect="once")
BY_KEY_CLASS = i.RequestClass(
    "book", aim=1.0, deadline=3.0, worth=3.0, effect="by_key", scope="cell", window=2.0
)
OPEN_PLAN = i.Plan("open")
RATED_PLAN = i.Plan("rated", rate=2.0, burst=8.0)


def settings(**changes: Any) -> i.Settings:
    """Return the default test settings with the given fields replaced."""
    base = i.Settings(
        classes=[REPEATABLE_CLASS, ONCE_CLASS, BY_KEY_CLASS],
        plans=[OPEN_PLAN, RATED_PLAN],
        limits=i.Limits(max_attempts=4, cancel=True, retry_after=True, max_retry_after=2.0),
        safety_limits=i.SafetyLimits(cold_share=0.2, ramp=10.0, fall_multiple=2.0, drain_grace=0.5),
    )
    return replace(base, **changes)


class Driver:
    """Feeds events to one decision engine, fires its timers in order and records its actions."""

    def __init__(self, engine_settings: i.Settings, backends: int = 2, seed: int = 7) -> None:
        self.settings = engine_settings
        self.engine = DecisionEngine(engine_settings, seed)
        self.now = 100.0
        self.timers: list[tuple[float, int, str]] = []
        self.log: list[tuple[float, i.Action]] = []
        self.request_count = 0
        if backends:
            entries = [i.BackendEntry(f"s{n}", zone=n % 2, cell=n % 2) for n in range(backends)]
            self.feed(i.BackendList("cached", entries))

    def feed(self, *events: i.Event) -> list[i.Action]:
        """Hand the events to the engine in one step and return its actions."""
        actions = list(self.engine.handle(self.now, events))
        for action in actions:
            self.log.append((self.now, action))
            if isinstance(action, i.SetTimer):
                self.timers.append((self.now + action.delay, len(self.log), action.token))
        return actions

    def request(self, **overrides: Any) -> i.Request:
        """Return a request with the next free id and the given fields."""
        self.request_count += 1
        values: dict[str, Any] = {
            "id": f"r{self.request_count}",
            "class_index": 0,
            "plan_index": 0,
            "customer": "c",
            "time_left": 3.0,
        }
        return i.Request(**{**values, **overrides})

    def send_request(self, **overrides: Any) -> list[i.Action]:
        """Feed a new request with the given fields to the engine and return its actions."""
        return self.feed(self.request(**overrides))

    def run(self, seconds: float) -> list[i.Action]:
        """Advance the virtual time, fire each timer that is due, and return the resulting actions."""
        end, actions = self.now + seconds, []
        while self.timers and min(self.timers)[0] <= end:
            due = min(self.timers)
            self.timers.remove(due)
            self.now = max(self.now, due[0])
            actions += self.feed(i.TimerExpired(due[2]))
        self.now = end
        return actions

    def actions_of(self, kind: type) -> list[Any]:
        """Return all recorded actions of one type, oldest first."""
        return [action for _, action in self.log if isinstance(action, kind)]


@pytest.fixture
def make_driver() -> Callable[..., Driver]:
    """Return a function that builds a Driver from changes to the default settings."""

    def make(backends: int = 2, seed: int = 7, **changes: Any) -> Driver:
        return Driver(settings(**changes), backends, seed)

    return make
