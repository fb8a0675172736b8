"""A rolling replacement of backends that bear only so much: their capacity, and the order of the changes."""

from __future__ import annotations

import random
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

import trio

from gorsefork.lab.faults.clients import Clients
from gorsefork.lab.faults.records import Attempt, Records
from gorsefork.lab.faults.servers import Backend, Discovery
from gorsefork.lab.faults.slow_start import Arrival, ColdStart, SlowStartTerms, WindowedLoad

MS_PER_S = 1000


@dataclass(frozen=True, slots=True)
class Replacement:
    """What is replaced, and by which events.

    ``backends`` are there at first; each does ``cores`` requests at a time, in ``work`` seconds each. Of
    these ``replaced`` are replaced, ``at_once`` a step; a new one is listed ``listed_age`` seconds old.
    The first step comes after ``settle`` requests have ended, each other one ``between`` requests after all
    were told of the one before. The load is ``burst`` times the usual from the first new backend to the last.
    With ``repeated`` it begins anew once all are done and ``afterwards`` more requests have ended.
    """

    terms: SlowStartTerms
    backends: int
    replaced: int
    at_once: int
    cores: float
    work: float
    slots: int
    queue: int
    listed_age: float = 0.5
    settle: int = 400
    between: int = 40
    afterwards: int = 400
    burst: float = 1.0
    repeated: bool = False

    @property
    def full_rate(self) -> float:
        """Requests a second that a fully started backend does."""
        return self.cores / self.work


class Station:
    """Slots and a queue before them. The more are at work beyond the present capacity, the slower each is."""

    def __init__(self, replacement: Replacement, started_at: float) -> None:
        self.replacement, self.started_at = replacement, started_at
        self.busy = 0
        self.waiting: deque[trio.Event] = deque()

    def capacity(self) -> float:
        """Requests that are at work at full speed."""
        age = time.monotonic() - self.started_at
        return self.replacement.cores * self.replacement.terms.capacity_share(age)

    async def serve(self, work: float) -> bool:
        """Take ``work`` seconds of one core. False if the queue is full."""
        if self.busy >= self.replacement.slots:
            if len(self.waiting) >= self.replacement.queue:
                return False
            await self.wait_for_slot()
        else:
            self.busy += 1
        try:
            await trio.sleep(work * max(1.0, self.busy / self.capacity()))
        finally:
            self.release()
        return True

    async def wait_for_slot(self) -> None:
        """A slot passes from one request to the next, so that ``busy`` stays as it is."""
        turn = trio.Event()
        self.waiting.append(turn)
        try:
            await turn.wait()
        except trio.Cancelled:
            if turn.is_set():
                self.release()
            else:
                self.waiting.remove(turn)
            raise

    def release(self) -> None:
        if self.waiting:
            self.waiting.popleft().set()
        else:
            self.busy -= 1


class LimitedBackend(Backend):
    """One that falls over for good when it is sent more than its budget."""

    def __init__(
        self, name: str, records: Records, rng: random.Random, replacement: Replacement, age: float
    ) -> None:
        super().__init__(name, records, rng)
        self.replacement = replacement
        started_at = time.monotonic() - age
        self.born_ms = round((time.time() - age) * MS_PER_S) if age < replacement.terms.ramp else 0
        self.start = ColdStart(name, started_at, replacement.full_rate)
        self.station = Station(replacement, started_at)
        self.load = WindowedLoad(self.start, replacement.terms)
        self.fallen = False

    def on_arrival(self, attempt: Attempt) -> None:
        in_slow_start = attempt.begun_at - self.start.started_at < self.replacement.terms.ramp
        if in_slow_start and self.load.add(Arrival(attempt.begun_at, attempt.ingress)) > 1.0:
            self.fallen, self.trouble, self.share = True, "resets", 1.0

    async def work(self) -> bool:
        return await self.station.serve(self.replacement.work * self.rng.uniform(0.8, 1.2))


class RollingReplacement:
    """Carries a replacement out, by the events that it names."""

    def __init__(
        self,
        replacement: Replacement,
        records: Records,
        discovery: Discovery,
        clients: Clients,
        ingresses: int,
        seed: int,
    ) -> None:
        self.replacement, self.records, self.discovery = replacement, records, discovery
        self.clients, self.ingresses, self.seed = clients, ingresses, seed
        self.open_backend: Callable[[Backend], None]  # makes a new one listen; set before ``run``
        self.made = 0

    def make_backend(self, age: float) -> LimitedBackend:
        name = f"b{self.made}"
        rng = random.Random(self.seed * 100 + self.made)
        self.made += 1
        return LimitedBackend(name, self.records, rng, self.replacement, age)

    def first_backends(self) -> list[Backend]:
        """Those that are there at first, fully started."""
        return [self.make_backend(self.replacement.terms.ramp) for _ in range(self.replacement.backends)]

    async def run(self) -> None:
        """One round after another, if it is repeated, else one; then the clients stop."""
        await self.clients.wait_for(self.replacement.settle)
        while True:
            await self.round()
            await self.clients.wait_for(self.replacement.afterwards)
            if not self.replacement.repeated:
                break
        self.clients.stopped = True

    async def round(self) -> None:
        """Drain some, list as many new ones, and so on: the list after next removes those that drained."""
        active = [each for each in self.discovery.backends if each.state == "active"]
        leaving = active[: self.replacement.replaced]
        drained: list[Backend] = []
        while leaving or drained:
            going, drained = drained, leaving[: self.replacement.at_once]
            leaving = leaving[self.replacement.at_once :]
            await self.change(drained, "leaving")
            new = [self.start_backend() for _ in drained]
            await self.change(new, "active")
            self.clients.burst = self.replacement.burst
            await self.change(going, "left")
        self.clients.burst = 1.0

    def start_backend(self) -> Backend:
        backend = self.make_backend(self.replacement.listed_age)
        self.records.starts.append(backend.start)
        self.open_backend(backend)
        self.discovery.backends.append(backend)
        return backend

    async def change(self, backends: list[Backend], state: str) -> None:
        """List them so, and go on once all ingresses were told and some more requests have ended."""
        for backend in backends:
            self.discovery.change(backend, state)
        if backends:
            await self.discovery.wait_until_told(self.ingresses)
            await self.clients.wait_for(self.replacement.between)
