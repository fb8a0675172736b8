"""What a cold server is sent by a whole fleet: real gatekeepers, model servers, many seeded worlds.

Each world draws how many ingresses and servers there are, how many are replaced at once, how late each
ingress hears of it, the load, and how many servers are bad. Reported for each world: the most that any new
server was sent in a window of the fall rule, over what it could do in that window by its capacity at the
window's beginning; once by the number of sends, each counted as the mean work, and once by their true work,
which nobody knows ahead. The rule's figure is ``fall_multiple``; for a budget of N calls, 2 x root of N + 2
more are put down to chance.

    python -m benchmarks.cold_sum --worlds 40 --processes 8
"""

from __future__ import annotations

import argparse
import heapq
import itertools
import random
from collections import deque
from dataclasses import dataclass, field
from multiprocessing import Pool
from typing import Any

from gorsefork.decisions import DecisionEngine
from gorsefork.decisions import interface as i

WINDOW, RAMP, COLD, MULTIPLE = 1.5, 17.0, 0.31, 2.5
WARM_UP, LOOK = 4.0, 9.0  # s before the servers are replaced; after it
CLASSES = (
    i.RequestClass("fetch", 2.0, 8.0, 1.0),
    i.RequestClass("save", 2.0, 8.0, 2.0),
    i.RequestClass("buy", 1.5, 5.0, 5.0, effect="by_key", scope="cell", window=10.0),
)
SHARES = (0.57, 0.26, 0.17)
INGRESSES, SERVERS = (2, 5, 10, 20, 20, 30, 30, 40, 100, 200), (8, 8, 14, 14, 14, 30, 30, 60, 120, 200)


@dataclass
class Machine:
    """Slots served in order, a queue beyond them, and a log of what was sent: (at, seconds of work)."""

    cores: float
    started: float
    bad: float  # share of attempts that end as errors
    slots: int
    queue_most: int
    busy: int = 0
    down: bool = False
    queue: deque[tuple[int, str, int, float]] = field(default_factory=deque)
    sent: list[tuple[float, float]] = field(default_factory=list)

    def capacity(self, now: float) -> float:
        age = now - self.started
        return self.cores * (1.0 if age >= RAMP else COLD + (1.0 - COLD) * max(0.0, age) / RAMP)


class World:
    def __init__(self, seed: int) -> None:
        self.rng = rng = random.Random(seed)
        self.ingresses, count = rng.choice(INGRESSES), rng.choice(SERVERS)
        self.work = rng.uniform(0.2, 0.35)
        limits = i.Limits(5, 20000, True, True, False, True, 2.0)
        settings = [
            i.Settings(
                CLASSES,
                [i.Plan("open")],
                me,
                self.ingresses,
                limits=limits,
                safety_limits=i.SafetyLimits(0.016, 0.25, COLD, RAMP, MULTIPLE, WINDOW),
            )
            for me in range(self.ingresses)
        ]
        self.gates = [DecisionEngine(given, rng.randrange(1 << 30)) for given in settings]
        self.machines: dict[str, Machine] = {}
        self.heap: list[tuple[float, int, str, Any]] = []
        self.order = itertools.count()
        for n in range(count):
            self.add(f"s{n}", -100.0)
        self.listed = {name: i.BackendEntry(name, cell=n // 4) for n, name in enumerate(self.machines)}
        self.share, self.lateness = rng.uniform(0.3, 0.65), rng.uniform(0.1, 1.0)
        self.load, self.patience = rng.uniform(0.35, 0.65), rng.choice((1.0, 1.0, 0.3))
        capacity = sum(m.cores for m in self.machines.values())
        self.rate = self.load * capacity / self.work
        self.weights = [rng.uniform(0.3, 3.0) for _ in self.gates]
        self.ids, self.asked = itertools.count(), 0
        self.open: dict[str, tuple[int, int, float]] = {}  # call -> ingress, class, its work
        self.over: set[str] = set()
        self.attempts: dict[str, int] = {}

    def add(self, name: str, started: float) -> None:
        bad = self.rng.choice((0.0,) * 7 + (0.4,))
        self.machines[name] = Machine(
            4.0 * self.rng.uniform(0.85, 1.1),
            started,
            bad,
            self.rng.randint(8, 24),
            self.rng.randint(33, 112),
        )

    def at(self, when: float, kind: str, what: Any) -> None:
        heapq.heappush(self.heap, (when, next(self.order), kind, what))

    def run(self) -> tuple[float, ...]:
        """The worst ratio of any new server, by number and by true work, and the same over the rule; the
        share of the new that were sent anything; what was served of what was asked; what the new served of
        what they could."""
        full = i.BackendList("full", list(self.listed.values()))
        for gate in self.gates:
            self.do(0.0, gate, [full])
        self.at(0.0, "arrive", None)
        self.at(WARM_UP, "replace", None)
        self.served = 0
        end = WARM_UP + LOOK
        while self.heap and self.heap[0][0] < end:
            now, _, kind, what = heapq.heappop(self.heap)
            getattr(self, kind)(now, what)
        new = [m for m in self.machines.values() if m.started > 0.0]
        used = sum(bool(m.sent) for m in new) / len(new)
        number, true = [[self.worst(m, by_number) for m in new] for by_number in (True, False)]
        tenths = [(m, t / 10.0) for m in new for t in range(int(10 * m.started), int(10 * end))]
        could = sum(m.capacity(at) / 10.0 for m, at in tenths)
        sent = sum(self.work for m in new for _ in m.sent)
        return (
            max(n[0] for n in number),
            max(t[0] for t in true),
            max(n[1] for n in number),
            max(t[1] for t in true),
            used,
            self.served / max(1, self.asked),
            sent / could,
        )

    def worst(self, machine: Machine, by_number: bool) -> tuple[float, float]:
        most, beyond, first, total = 0.0, 0.0, 0, 0.0
        sent = [(at, self.work) for at, _ in machine.sent] if by_number else machine.sent
        for at, work in sent:
            total += work
            while sent[first][0] <= at - WINDOW:
                total -= sent[first][1]
                first += 1
            able = machine.capacity(sent[first][0]) * WINDOW
            allowed = MULTIPLE * able / self.work
            most = max(most, total / able)
            beyond = max(beyond, total / self.work / (allowed + 2.0 * allowed**0.5 + 2.0))
        return most, beyond

    def do(self, now: float, gate: DecisionEngine, events: list[i.Event]) -> None:
        for action in gate.handle(100.0 + now, events):
            if isinstance(action, i.StartAttempt):
                self.send(now, gate, action)
            elif isinstance(action, i.SetTimer):
                self.at(now + max(0.004, action.delay), "timer", (gate, action.token))
            elif isinstance(action, i.RejectRequest | i.FailRequest):
                self.over.add(action.id)
            elif isinstance(action, i.CancelAttempt):
                self.over.add(f"{action.id}/{action.attempt}")
                self.at(now, "cancelled", (gate, action.id, action.attempt))

    def arrive(self, now: float, _: None) -> None:
        self.at(now + self.rng.expovariate(self.rate), "arrive", None)
        me = self.rng.choices(range(self.ingresses), self.weights)[0]
        cls = self.rng.choices(range(3), SHARES)[0]
        name = f"c{next(self.ids)}"
        self.asked += 1
        left = CLASSES[cls].deadline * self.patience
        self.open[name] = (me, cls, self.rng.expovariate(1.0 / self.work))
        self.do(now, self.gates[me], [i.Request(name, cls, 0, name, left)])

    def timer(self, now: float, what: tuple[DecisionEngine, str]) -> None:
        self.do(now, what[0], [i.TimerExpired(what[1])])

    def send(self, now: float, gate: DecisionEngine, action: i.StartAttempt) -> None:
        machine, number = self.machines[action.backend], self.attempts.get(action.id, 0)
        self.attempts[action.id] = number + 1
        work = self.open[action.id][2] * self.rng.uniform(0.8, 1.2)
        machine.sent.append((now, work))
        job = (gate.settings.own_index, action.id, number, work)
        if len(machine.queue) >= machine.queue_most:
            self.at(now + 0.001, "answer", (job, action.backend, "full", now))
        else:
            machine.queue.append(job)
            self.begin(now, action.backend, machine)

    def begin(self, now: float, name: str, machine: Machine) -> None:
        while machine.queue and machine.busy < machine.slots:
            job = machine.queue.popleft()
            if f"{job[1]}/{job[2]}" in self.over:
                continue
            machine.busy += 1
            took = job[3] * max(1.0, machine.busy / max(0.1, machine.capacity(now)))
            status = "error" if self.rng.random() < machine.bad else "ok"
            self.at(now + took, "done", (job, name, status, now))

    def done(self, now: float, what: tuple[tuple[int, str, int, float], str, i.Status, float]) -> None:
        machine = self.machines[what[1]]
        machine.busy -= 1
        self.answer(now, what)
        self.begin(now, what[1], machine)

    def answer(self, now: float, what: tuple[tuple[int, str, int, float], str, i.Status, float]) -> None:
        (me, name, number, _), server, status, _ = what
        if f"{name}/{number}" not in self.over:
            self.served += status == "ok" and name not in self.over
            closed = status == "ok" or name in self.over
            if status == "ok":
                self.over.add(name)
            self.do(now, self.gates[me], [i.AttemptEnded(name, number, server, status, request_done=closed)])

    def cancelled(self, now: float, what: tuple[DecisionEngine, str, int]) -> None:
        gate, name, number = what
        ticket = gate.pending.get(name)
        server = ticket.attempts[number].backend.entry.backend if ticket else ""
        self.do(
            now, gate, [i.AttemptEnded(name, number, server, "cancelled", request_done=name in self.over)]
        )

    def replace(self, now: float, _: None) -> None:
        """A share of the servers is replaced over some seconds; each ingress hears of each in its time."""
        for n, old in enumerate(self.rng.sample(sorted(self.listed), int(self.share * len(self.listed)))):
            at = now + self.rng.uniform(0.0, 3.0)
            self.at(at, "swap", (old, f"n{n}"))

    def swap(self, now: float, what: tuple[str, str]) -> None:
        old, new = what
        self.add(new, now)
        delta = [i.BackendEntry(old, "gone"), i.BackendEntry(new, started=100.0 + now)]
        told = now + self.rng.uniform(0.4, 1.5)
        for gate in self.gates:
            self.at(told + self.rng.uniform(0.0, self.lateness), "told", (gate, delta))

    def told(self, now: float, what: tuple[DecisionEngine, list[i.BackendEntry]]) -> None:
        self.do(now, what[0], [i.BackendList("delta", what[1])])


def one(seed: int) -> tuple[int, str, tuple[float, ...]]:
    world = World(seed)
    found = world.run()
    size = f"{world.ingresses} x {len(world.listed)}, {world.share:.0%} new, load {world.load:.2f}"
    return seed, size, found


def main() -> None:
    parser = argparse.ArgumentParser(description=(__doc__ or "").split("\n", 1)[0])
    parser.add_argument("--worlds", type=int, default=40)
    parser.add_argument("--first", type=int, default=1, help="seed of the first world")
    parser.add_argument("--processes", type=int, default=4)
    given = parser.parse_args()
    with Pool(given.processes) as pool:
        rows = pool.map(one, range(given.first, given.first + given.worlds), chunksize=1)
    for seed, size, found in sorted(rows, key=lambda row: -row[2][2])[:5]:
        print(
            f"world {seed}: {size}: worst {found[0]:.2f}, by true work {found[1]:.2f}, over the rule "
            f"{found[2]:.2f} and {found[3]:.2f}, {found[4]:.0%} of the new used, {found[5]:.0%} served"
        )
    kinds = (
        ("by number", MULTIPLE),
        ("by true work", MULTIPLE),
        ("over the rule, by number", 1.0),
        ("over the rule, by true work", 1.0),
    )
    for place, (name, bound) in enumerate(kinds):
        ratios = sorted(found[place] for _, _, found in rows)
        share = sum(ratio > bound for ratio in ratios) / len(ratios)
        marks = ", ".join(f"{q}% {ratios[len(ratios) * q // 100]:.2f}" for q in (10, 50, 90))
        print(f"{len(rows)} worlds, {name}: {marks}, most {ratios[-1]:.2f}; beyond {bound}: {share:.1%}")
    print(
        f"served {sum(found[5] for *_, found in rows) / len(rows):.1%}; the new were sent "
        f"{sum(found[6] for *_, found in rows) / len(rows):.1%} of what they could do"
    )


if __name__ == "__main__":
    main()
