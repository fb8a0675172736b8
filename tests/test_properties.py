"""Random legal event sequences with fixed seeds: the routing rules hold, and a run repeats exactly."""

from __future__ import annotations

import random

import pytest
from conftest import Driver, settings

from gorsefork.decisions import interface as i

PLANS = [
    i.Plan("open"),
    i.Plan("rated", rate=3.0, burst=6.0),
    i.Plan("capped", parallel=2, over_worth=0.2),
    i.Plan("ceiling", rate=3.0, burst=6.0, ceiling_rate=4.0, ceiling_burst=8.0, ceiling_slack=1.0),
]
STATUSES: list[i.Status] = ["ok", "error", "full", "timeout", "connect_failed", "reset", "cancelled", "moot"]
NEVER_RAN = ("full", "connect_failed", "moot")


class RandomRun:
    """Simulates clients, backends and the counter at random, and checks each action of the engine."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        limits = i.Limits(max_attempts=4, cancel=True, hedging=seed % 2 == 0, probes=True)
        accounting = i.Accounting(counter=seed % 3 > 0)
        self.driver = Driver(
            settings(plans=PLANS, limits=limits, accounting=accounting), backends=4, seed=seed
        )
        self.requests: dict[str, i.Request] = {}
        self.received_at: dict[str, float] = {}
        self.attempts: dict[str, list[tuple[float, str]]] = {}
        self.attempt_status: dict[tuple[str, int], str] = {}
        self.ended_at: dict[str, float] = {}
        self.ready_backends = {f"s{n}" for n in range(4)}
        self.counter_totals: dict[str, float] = {}
        self.counter_calls: list[i.AddToCounter] = []
        self.ceiling_admissions: list[tuple[float, float]] = []
        self.checked_count = 0

    def run_step(self) -> None:
        driver = self.driver
        driver.run(self.rng.random() * 0.05)
        self.check_new_actions()
        roll = self.rng.random()
        open_attempts = [key for key in ((name, n) for name, sent in self.attempts.items()
                                         for n in range(len(sent)))
                         if key not in self.attempt_status]  # fmt: skip
        if roll < 0.45:
            request = driver.request(class_index=self.rng.randrange(3), plan_index=self.rng.randrange(4),
                                     ingress_count=2, time_left=2.5,
                                     customer=f"c{self.rng.randrange(4)}")  # fmt: skip
            self.requests[request.id], self.received_at[request.id] = request, driver.now
            self.attempts[request.id] = []
            driver.feed(request)
        elif roll < 0.85 and open_attempts:
            name, number = self.rng.choice(open_attempts)
            status = self.rng.choice(STATUSES)
            self.attempt_status[(name, number)] = status
            closed = status == "ok" or name in self.ended_at
            if closed:
                self.ended_at.setdefault(name, driver.now)
            driver.feed(
                i.AttemptEnded(name, number, self.attempts[name][number][1], status, 0.1, request_done=closed)
            )
        elif roll < 0.95 and self.counter_calls:
            call = self.counter_calls.pop(0)
            succeeds = self.rng.random() < 0.7
            if succeeds:
                self.counter_totals[call.name] = self.counter_totals.get(call.name, 0.0) + call.amount
            driver.feed(
                i.CounterReply(
                    call.name, "ok" if succeeds else "timeout", self.counter_totals.get(call.name, 0.0)
                )
            )
        else:
            backend = f"s{self.rng.randrange(4)}"
            state: i.State = (
                "draining" if backend in self.ready_backends and len(self.ready_backends) > 1 else "ready"
            )
            (self.ready_backends.discard if state == "draining" else self.ready_backends.add)(backend)
            n = int(backend[1:])
            started = driver.now if state == "ready" else 0.0
            driver.feed(
                i.BackendList("delta", [i.BackendEntry(backend, state, started, zone=n % 2, cell=n % 2)])
            )
        self.check_new_actions()

    def check_new_actions(self) -> None:
        for now, action in self.driver.log[self.checked_count :]:
            if isinstance(action, i.StartAttempt):
                self.check_attempt(now, action)
            elif isinstance(action, i.RejectRequest | i.FailRequest):
                assert action.id not in self.ended_at
                assert now <= self.received_at[action.id] + 2.5
                self.ended_at[action.id] = now
                if isinstance(action, i.RejectRequest) and self.requests[action.id].class_index > 0:
                    assert not self.attempts_that_may_have_run(action.id)
            elif isinstance(action, i.AddToCounter):
                self.counter_calls.append(action)
        self.checked_count = len(self.driver.log)

    def attempts_that_may_have_run(self, name: str) -> list[tuple[float, str]]:
        return [
            attempt
            for n, attempt in enumerate(self.attempts[name])
            if self.attempt_status.get((name, n)) not in NEVER_RAN
        ]

    def check_attempt(self, now: float, action: i.StartAttempt) -> None:
        request, before = self.requests[action.id], self.attempts_that_may_have_run(action.id)
        assert action.id not in self.ended_at and action.backend in self.ready_backends
        assert len(self.attempts[action.id]) < 4
        if request.class_index == 1:
            assert not before
        if request.class_index == 2 and before:
            assert all(int(backend[1:]) % 2 == int(action.backend[1:]) % 2 for _, backend in before)
            assert now < before[0][0] + 2.0
        if not self.driver.settings.limits.hedging:
            assert all((action.id, n) in self.attempt_status for n in range(len(self.attempts[action.id])))
        if request.plan_index == 3 and not self.attempts[action.id]:
            self.ceiling_admissions.append((now, request.units))
            admitted_units = sum(units for _, units in self.ceiling_admissions)
            assert admitted_units <= 4 * (8.0 / 2 + 4.0 / 2 * (now - 100.0))
        self.attempts[action.id].append((now, action.backend))


@pytest.mark.parametrize("seed", range(12))
def test_rules_hold_on_random_days(seed: int) -> None:
    run = RandomRun(seed)
    for _ in range(600):
        run.run_step()
    run.driver.run(4.0)
    run.check_new_actions()
    assert set(run.ended_at) == set(run.requests)
    assert sum(len(attempts) for attempts in run.attempts.values()) > 20


def test_random_days_repeat_exactly() -> None:
    logs = []
    for _ in range(2):
        run = RandomRun(5)
        for _ in range(300):
            run.run_step()
        logs.append(run.driver.log)
    assert logs[0] == logs[1]
