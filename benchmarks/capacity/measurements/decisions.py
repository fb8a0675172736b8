"""The decision module before a list of backends, and its accounts of customers, in virtual time."""

from __future__ import annotations

from benchmarks.capacity.measurements.stopwatch import Stopwatch, allocated
from benchmarks.capacity.results import Measured, Size
from gorsefork.decisions import DecisionEngine
from gorsefork.decisions import interface as i

BACKENDS_AN_INGRESS = 5300 / 620
REQUESTS_A_SECOND = 129.0  # of one ingress: 80,000 over 620


class Module:
    """One real decision module, and what its host would do with timers and sends, in virtual time."""

    def __init__(self, backends: int, ingresses: int, seed: int) -> None:
        classes = [i.RequestClass("fetch", aim=1.0, deadline=3.0)]
        limits = i.Limits(max_attempts=4, cancel=True, hedging=True, retry_after=True, max_retry_after=2.0)
        guards = i.SafetyLimits(cold_share=0.3, ramp=10.0, fall_multiple=2.5, drain_grace=0.25)
        given = i.Settings(classes, [i.Plan("open")], 3, ingresses, limits=limits, safety_limits=guards)
        self.gate, self.now, self.timers = DecisionEngine(given, seed), 100.0, list[tuple[float, str]]()
        self.entries = [i.BackendEntry(f"s{n}", zone=n % 8, cell=n // 8) for n in range(backends)]

    def handle(self, clock: Stopwatch, *events: i.Event) -> list[i.Action]:
        with clock.running():
            actions = list(self.gate.handle(self.now, events))
        self.timers += [(self.now + a.delay, a.token) for a in actions if isinstance(a, i.SetTimer)]
        return actions

    def pass_time(self, until: float, clocks: dict[str, Stopwatch]) -> None:
        """Timers in their order; ``clocks``: of the tick, and of all others."""
        while self.timers and min(self.timers)[0] <= until:
            due = min(self.timers)
            self.timers.remove(due)
            self.now = max(self.now, due[0])
            self.handle(clocks["tick" if due[1] == "tick" else "other"], i.TimerExpired(due[1]))
        self.now = until


def measure_decisions(backends: int, seed: int) -> list[Measured]:
    ingresses = max(2, round(backends / BACKENDS_AN_INGRESS))

    def row(metric: str, value: float, unit: str, note: str = "CPU") -> Measured:
        return Measured("decision module", metric, Size(ingresses, backends), value, unit, seed, note)

    def loaded() -> Module:
        module = Module(backends, ingresses, seed)
        module.handle(Stopwatch(), i.BackendList("full", module.entries))
        return module

    memory = allocated(loaded)
    names = ("choice", "again", "answer", "tick", "other", "whole list", "change")
    module, clocks = loaded(), {name: Stopwatch() for name in names}
    for number in range(600):
        module.pass_time(module.now + 1.0 / REQUESTS_A_SECOND, clocks)
        name = f"r{number}"
        asked = module.handle(clocks["choice"], i.Request(name, 0, 0, f"c{number}", 3.0))
        sent = [action for action in asked if isinstance(action, i.StartAttempt)]
        if sent and number % 10 == 9:  # one in ten finds no connection, and is sent again
            broken = i.AttemptEnded(name, 0, sent[0].backend, "connect_failed", 0.001, False)
            sent = [a for a in module.handle(clocks["again"], broken) if isinstance(a, i.StartAttempt)]
        if sent:
            attempt = int(number % 10 == 9)
            module.handle(clocks["answer"], i.AttemptEnded(name, attempt, sent[0].backend, "ok", 0.05, True))
    for _ in range(3):
        module.handle(clocks["whole list"], i.BackendList("full", list(module.entries)))
    changed = [i.BackendEntry(f"s{n}", "draining", zone=n % 8) for n in range(0, backends, 9)]
    module.handle(clocks["change"], i.BackendList("delta", changed))
    return [
        row("memory", memory, "B", "tracemalloc, its list's entries with it"),
        row("choice", clocks["choice"].mean(), "us"),
        row("another attempt", clocks["again"].mean(), "us"),
        row("tick", clocks["tick"].mean(), "us"),
        row("whole list applied", clocks["whole list"].mean() / 1000, "ms"),
        row("a ninth of the list changed", clocks["change"].mean() / 1000, "ms"),
    ]


def measure_accounts(customers: int, seed: int) -> list[Measured]:
    """One request each at one moment, so that nobody is forgotten meanwhile; the counter answers nothing."""

    def row(metric: str, value: float, unit: str, note: str) -> Measured:
        return Measured("quota accounts", metric, Size(620, 53, customers), value, unit, seed, note)

    def seen() -> object:
        plans = [i.Plan("rated", rate=4.0, burst=24.0)]
        classes = [i.RequestClass("fetch", aim=1.0, deadline=3.0)]
        given = i.Settings(classes, plans, 3, 620, accounting=i.Accounting(counter=True))
        gate = DecisionEngine(given, seed)
        for number in range(customers):
            name = f"{number:016x}"
            gate.handle(100.0, [i.Request(name, 0, 0, name, 3.0)])
            gate.handle(100.0, [i.ClientGone(name)])
        return gate

    return [row("memory", allocated(seen), "B", "tracemalloc, module and settings with it")]
