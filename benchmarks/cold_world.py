"""A whole fleet in virtual time: real decision engines, and model backends that are replaced, by a seed."""

from __future__ import annotations

import heapq
import itertools
import random
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any, Literal

from gorsefork.decisions import DecisionEngine
from gorsefork.decisions import interface as i
from gorsefork.lab.faults.slow_start import Arrival, ColdStart, SlowStartTerms, judged_window

Order = Literal["spread", "rolling", "at once"]
CLASSES = (
    i.RequestClass("fetch", 2.0, 8.0, 1.0),
    i.RequestClass("save", 2.0, 8.0, 2.0),
    i.RequestClass("buy", 1.5, 5.0, 5.0, effect="by_key", scope="cell", window=10.0),
)
CLASS_SHARES = (0.57, 0.26, 0.17)
CORES = 4.0  # of a backend, and how they vary
CORE_VARIATION = (0.85, 1.1)
FAILED_SHARE = 0.4  # of the attempts at a bad backend
ENGINE_EPOCH_S = 100.0  # the engines' clock at the world's second 0; 0 would be "long ago" for a start
FULL_REPLY_S = 0.001
ESTIMATE_INTERVAL_S = 0.25


@dataclass(frozen=True, slots=True)
class WorldPlan:
    """What one world is; times in seconds, load relative to the capacity of all backends.

    ``order``: whether the replaced ones come at random within 3 s, two every half second, or all at once.
    ``listed_age`` is how old a new one is when discovery has it, ``lateness`` within how long all ingresses
    hear of it. Load is ``burst`` times the usual from 1.5 s after the first replacement on. ``unevenness``
    bounds the weights of ingresses: 3 for a third to three times the mean.
    """

    seed: int
    ingresses: int
    backends: int
    load: float
    work: float
    terms: SlowStartTerms
    replaced_share: float
    order: Order = "spread"
    listed_age: tuple[float, float] = (0.4, 1.5)
    lateness: float = 0.5
    burst: float = 1.0
    unevenness: float = 3.0
    patience: float = 1.0  # the part of its deadline that a client waits
    bad_share: float = 0.125  # of the backends: these fail many attempts
    restarted_share: float = 0.0  # of the ingresses: these begin anew amid the replacement
    warm_up_s: float = 4.0
    observed_s: float = 9.0


@dataclass
class Machine:
    """One backend: slots served in order, a queue beyond them, and a log of what was sent to it."""

    cores: float
    started: float
    bad: bool
    slots: int
    queue_most: int
    busy: int = 0
    queue: deque[Job] = field(default_factory=deque)
    sent: list[Sent] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class Job:
    """One attempt of an ingress; ``work`` in seconds of one core."""

    ingress: int
    request: str
    number: int
    work: float
    backend: str


@dataclass(frozen=True, slots=True)
class Sent:
    at: float
    work: float
    ingress: int
    told: bool


@dataclass(frozen=True, slots=True)
class Outcome:
    """What a world showed. Loads are the most that a new backend got in a window, over what is allowed.

    ``estimate`` is the most that all ingresses together took a fully started backend to do, over what it
    does.
    """

    plan: WorldPlan
    load_by_number: float
    load_by_work: float
    used: float  # new backends that were sent anything
    served: float  # of what was asked
    sent_share: float  # what the new backends were sent, of what they could do
    estimate: float
    attempts_per_answer: float


class World:
    def __init__(self, plan: WorldPlan) -> None:
        self.plan = plan
        self.rng = rng = random.Random(plan.seed)
        self.gates = [self.make_engine(index) for index in range(plan.ingresses)]
        self.machines: dict[str, Machine] = {}
        for number in range(plan.backends):
            self.add_machine(f"s{number}", -1000.0)
        self.listed = {name: i.BackendEntry(name, cell=n // 4) for n, name in enumerate(self.machines)}
        self.told_at: dict[tuple[int, str], float] = {}
        self.full_rate = sum(machine.cores for machine in self.machines.values()) / plan.work
        self.weights = [rng.uniform(1.0 / plan.unevenness, plan.unevenness) for _ in self.gates]
        self.heap: list[tuple[float, int, str, Any]] = []
        self.order, self.ids = itertools.count(), itertools.count()
        self.open: dict[str, tuple[int, float]] = {}  # request -> ingress, its work
        self.over: set[str] = set()
        self.attempts: dict[str, int] = {}
        self.asked = self.served = self.attempted = self.swapped = 0
        self.estimate = 0.0

    def make_engine(self, index: int) -> DecisionEngine:
        terms = self.plan.terms
        safety = i.SafetyLimits(
            0.016, 0.25, terms.cold_share, terms.ramp, terms.fall_multiple, terms.fall_window
        )
        limits = i.Limits(5, 20000, True, True, False, True, 2.0)
        settings = i.Settings(
            CLASSES, [i.Plan("open")], index, self.plan.ingresses, limits=limits, safety_limits=safety
        )
        return DecisionEngine(settings, self.rng.randrange(1 << 30))

    def add_machine(self, name: str, started: float) -> None:
        cores = CORES * self.rng.uniform(*CORE_VARIATION)
        bad = self.rng.random() < self.plan.bad_share
        self.machines[name] = Machine(cores, started, bad, self.rng.randint(8, 24), self.rng.randint(33, 112))

    def at(self, when: float, kind: str, what: Any) -> None:
        heapq.heappush(self.heap, (when, next(self.order), kind, what))

    def run(self) -> Outcome:
        for gate in self.gates:
            self.handle(0.0, gate, [i.BackendList("full", list(self.listed.values()))])
        self.at(0.0, "arrive", None)
        self.at(self.plan.warm_up_s, "replace", None)
        self.at(ESTIMATE_INTERVAL_S, "compare_estimate", None)
        end = self.plan.warm_up_s + self.plan.observed_s
        while self.heap and self.heap[0][0] < end:
            now, _, kind, what = heapq.heappop(self.heap)
            getattr(self, kind)(now, what)
        return self.outcome(end)

    def outcome(self, end: float) -> Outcome:
        new = {name: machine for name, machine in self.machines.items() if machine.started > 0.0}
        could = sum(self.could_do(machine, end) for machine in new.values())
        sent = sum(len(machine.sent) * self.plan.work for machine in new.values())
        return Outcome(
            self.plan,
            max(self.highest_load(name, machine, by_work=False) for name, machine in new.items()),
            max(self.highest_load(name, machine, by_work=True) for name, machine in new.items()),
            sum(bool(machine.sent) for machine in new.values()) / len(new),
            self.served / max(1, self.asked),
            sent / could,
            self.estimate,
            self.attempted / max(1, self.served),
        )

    def could_do(self, machine: Machine, end: float) -> float:
        """Seconds of one core, from its start on."""
        steps = range(max(1, int(10 * (end - machine.started))))
        return sum(machine.cores * self.plan.terms.capacity_share(n / 10.0) / 10.0 for n in steps)

    def highest_load(self, name: str, machine: Machine, by_work: bool) -> float:
        start = ColdStart(name, machine.started, machine.cores / self.plan.work)
        arrivals = [
            Arrival(sent.at, sent.ingress, sent.told, sent.work / self.plan.work if by_work else 1.0)
            for sent in machine.sent
        ]
        window = judged_window(start, arrivals, self.plan.terms)
        return window.load if window else 0.0

    # Events, each with the time and what it is about.

    def handle(self, now: float, gate: DecisionEngine, events: Sequence[i.Event]) -> None:
        for action in gate.handle(ENGINE_EPOCH_S + now, events):
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
        burst = self.plan.burst if now > self.plan.warm_up_s + 1.5 else 1.0
        rate = self.plan.load * burst * self.full_rate
        self.at(now + self.rng.expovariate(rate), "arrive", None)
        ingress = self.rng.choices(range(len(self.gates)), self.weights)[0]
        class_index = self.rng.choices(range(len(CLASSES)), CLASS_SHARES)[0]
        name = f"c{next(self.ids)}"
        self.asked += 1
        time_left = CLASSES[class_index].deadline * self.plan.patience
        self.open[name] = (ingress, self.rng.expovariate(1.0 / self.plan.work))
        self.handle(now, self.gates[ingress], [i.Request(name, class_index, 0, name, time_left)])

    def timer(self, now: float, what: tuple[DecisionEngine, str]) -> None:
        if what[0] is self.gates[what[0].settings.own_index]:  # not of one that has ended
            self.handle(now, what[0], [i.TimerExpired(what[1])])

    def send(self, now: float, gate: DecisionEngine, action: i.StartAttempt) -> None:
        machine, number = self.machines[action.backend], self.attempts.get(action.id, 0)
        self.attempts[action.id] = number + 1
        self.attempted += 1
        ingress = gate.settings.own_index
        work = self.open[action.id][1] * self.rng.uniform(0.8, 1.2)
        machine.sent.append(Sent(now, work, ingress, (ingress, action.backend) in self.told_at))
        job = Job(ingress, action.id, number, work, action.backend)
        if len(machine.queue) >= machine.queue_most:
            self.at(now + FULL_REPLY_S, "answer", (job, "full"))
        else:
            machine.queue.append(job)
            self.begin(now, machine)

    def begin(self, now: float, machine: Machine) -> None:
        while machine.queue and machine.busy < machine.slots:
            job = machine.queue.popleft()
            if f"{job.request}/{job.number}" in self.over:
                continue
            machine.busy += 1
            capacity = machine.cores * self.plan.terms.capacity_share(now - machine.started)
            took = job.work * max(1.0, machine.busy / max(0.1, capacity))
            failed = machine.bad and self.rng.random() < FAILED_SHARE
            self.at(now + took, "done", (job, "error" if failed else "ok"))

    def done(self, now: float, what: tuple[Job, i.Status]) -> None:
        machine = self.machines[what[0].backend]
        machine.busy -= 1
        self.answer(now, what)
        self.begin(now, machine)

    def answer(self, now: float, what: tuple[Job, i.Status]) -> None:
        job, status = what
        if f"{job.request}/{job.number}" in self.over:
            return
        is_over = job.request in self.over
        self.served += status == "ok" and not is_over
        if status == "ok":
            self.over.add(job.request)
        ended = i.AttemptEnded(
            job.request, job.number, job.backend, status, request_done=status == "ok" or is_over
        )
        self.handle(now, self.gates[job.ingress], [ended])

    def cancelled(self, now: float, what: tuple[DecisionEngine, str, int]) -> None:
        gate, name, number = what
        pending = gate.pending.get(name)
        backend = pending.attempts[number].backend.entry.backend if pending else ""
        ended = i.AttemptEnded(name, number, backend, "cancelled", request_done=name in self.over)
        self.handle(now, gate, [ended])

    def replace(self, now: float, _: None) -> None:
        count = max(1, int(self.plan.replaced_share * len(self.listed)))
        for number, old in enumerate(self.rng.sample(sorted(self.listed), count)):
            later = {"spread": self.rng.uniform(0.0, 3.0), "rolling": 0.5 * (number // 2), "at once": 0.0}
            self.at(now + later[self.plan.order], "swap", (old, f"n{number}"))
        for index in self.rng.sample(
            range(len(self.gates)), int(self.plan.restarted_share * len(self.gates))
        ):
            self.at(now + self.rng.uniform(0.0, 6.0), "restart", index)

    def swap(self, now: float, what: tuple[str, str]) -> None:
        old, new = what
        self.add_machine(new, now)
        listed_at = now + self.rng.uniform(*self.plan.listed_age)
        for index in range(len(self.gates)):
            self.at(listed_at + self.rng.uniform(0.0, self.plan.lateness), "told", (index, old, new))

    def told(self, now: float, what: tuple[int, str, str]) -> None:
        index, old, new = what
        self.told_at.setdefault((index, new), now)
        started = ENGINE_EPOCH_S + self.machines[new].started
        delta = [i.BackendEntry(old, "gone"), i.BackendEntry(new, started=started)]
        self.handle(now, self.gates[index], [i.BackendList("delta", delta)])

    def restart(self, now: float, index: int) -> None:
        """An ingress begins anew with its last list, and knows nothing else."""
        entries = [each.entry for each in self.gates[index].selector.backends.values()]
        for name in list(self.gates[index].pending):
            self.over.add(name)
            self.over.update(f"{name}/{number}" for number in range(self.attempts.get(name, 0)))
        self.gates[index] = self.make_engine(index)
        self.handle(now, self.gates[index], [i.BackendList("cached", entries)])

    def compare_estimate(self, now: float, _: None) -> None:
        self.at(now + ESTIMATE_INTERVAL_S, "compare_estimate", None)
        estimate = sum(capacity_estimate(gate, ENGINE_EPOCH_S + now) for gate in self.gates)
        true_rate = self.full_rate / self.plan.backends
        self.estimate = max(self.estimate, estimate / true_rate)


def capacity_estimate(gate: DecisionEngine, now: float) -> float:
    """An ingress's part of what a fully started backend is taken to do, in requests a second."""
    return gate.selector.slow_start.answered_per_backend.at(now)
