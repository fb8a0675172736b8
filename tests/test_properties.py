"""Random legal event sequences, fixed seeds: the invariants of the rules hold, and play repeats exactly."""

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


class World:
    """Plays clients, servers and the counter at random, and checks each action as it is made."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        limits = i.Limits(max_attempts=4, cancel=True, hedging=seed % 2 == 0, probes=True)
        accounting = i.Accounting(counter=seed % 3 > 0)
        self.drive = Driver(settings(plans=PLANS, limits=limits, accounting=accounting), servers=4, seed=seed)
        self.requests: dict[str, i.Request] = {}
        self.born: dict[str, float] = {}
        self.sends: dict[str, list[tuple[float, str]]] = {}
        self.status: dict[tuple[str, int], str] = {}
        self.ended: dict[str, float] = {}
        self.ready = {f"s{n}" for n in range(4)}
        self.totals: dict[str, float] = {}
        self.calls: list[i.AddToCounter] = []
        self.passed: list[tuple[float, float]] = []
        self.read = 0

    def step(self) -> None:
        d = self.drive
        d.run(self.rng.random() * 0.05)
        self.check()
        roll = self.rng.random()
        open_attempts = [k for k in ((r, n) for r, s in self.sends.items() for n in range(len(s)))
                         if k not in self.status]  # fmt: skip
        if roll < 0.45:
            request = d.request(class_index=self.rng.randrange(3), plan_index=self.rng.randrange(4),
                                ingress_count=2, time_left=2.5,
                                customer=f"c{self.rng.randrange(4)}")  # fmt: skip
            self.requests[request.id], self.born[request.id] = request, d.now
            self.sends[request.id] = []
            d.feed(request)
        elif roll < 0.85 and open_attempts:
            name, number = self.rng.choice(open_attempts)
            status = self.rng.choice(STATUSES)
            self.status[(name, number)] = status
            closed = status == "ok" or name in self.ended
            if closed:
                self.ended.setdefault(name, d.now)
            d.feed(
                i.AttemptEnded(name, number, self.sends[name][number][1], status, 0.1, request_done=closed)
            )
        elif roll < 0.95 and self.calls:
            call = self.calls.pop(0)
            good = self.rng.random() < 0.7
            if good:
                self.totals[call.name] = self.totals.get(call.name, 0.0) + call.amount
            d.feed(i.CounterReply(call.name, "ok" if good else "timeout", self.totals.get(call.name, 0.0)))
        else:
            server = f"s{self.rng.randrange(4)}"
            state: i.State = "draining" if server in self.ready and len(self.ready) > 1 else "ready"
            (self.ready.discard if state == "draining" else self.ready.add)(server)
            n = int(server[1:])
            started = d.now if state == "ready" else 0.0
            d.feed(i.BackendList("delta", [i.BackendEntry(server, state, started, zone=n % 2, cell=n % 2)]))
        self.check()

    def check(self) -> None:
        for now, action in self.drive.log[self.read :]:
            if isinstance(action, i.StartAttempt):
                self.check_send(now, action)
            elif isinstance(action, i.RejectRequest | i.FailRequest):
                assert action.id not in self.ended
                assert now <= self.born[action.id] + 2.5
                self.ended[action.id] = now
                if isinstance(action, i.RejectRequest) and self.requests[action.id].class_index > 0:
                    assert not self.may_have_run(action.id)
            elif isinstance(action, i.AddToCounter):
                self.calls.append(action)
        self.read = len(self.drive.log)

    def may_have_run(self, name: str) -> list[tuple[float, str]]:
        return [s for n, s in enumerate(self.sends[name]) if self.status.get((name, n)) not in NEVER_RAN]

    def check_send(self, now: float, action: i.StartAttempt) -> None:
        request, before = self.requests[action.id], self.may_have_run(action.id)
        assert action.id not in self.ended and action.backend in self.ready
        assert len(self.sends[action.id]) < 4
        if request.class_index == 1:
            assert not before
        if request.class_index == 2 and before:
            assert all(int(s[1:]) % 2 == int(action.backend[1:]) % 2 for _, s in before)
            assert now < before[0][0] + 2.0
        if not self.drive.given.limits.hedging:
            assert all((action.id, n) in self.status for n in range(len(self.sends[action.id])))
        if request.plan_index == 3 and not self.sends[action.id]:
            self.passed.append((now, request.units))
            per_customer = sum(u for _, u in self.passed)
            assert per_customer <= 4 * (8.0 / 2 + 4.0 / 2 * (now - 100.0))
        self.sends[action.id].append((now, action.backend))


@pytest.mark.parametrize("seed", range(12))
def test_rules_hold_on_random_days(seed: int) -> None:
    world = World(seed)
    for _ in range(600):
        world.step()
    world.drive.run(4.0)
    world.check()
    assert set(world.ended) == set(world.requests)
    assert sum(len(s) for s in world.sends.values()) > 20


def test_random_days_repeat_exactly() -> None:
    logs = []
    for _ in range(2):
        world = World(5)
        for _ in range(300):
            world.step()
        logs.append(world.drive.log)
    assert logs[0] == logs[1]
