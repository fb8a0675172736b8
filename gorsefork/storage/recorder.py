"""Records uses in groups: all that came while the last group was on its way to the disk go with the next."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass
from typing import TypeVar

import trio

from gorsefork.memory.call import Call
from gorsefork.memory.clock import Clock
from gorsefork.memory.mailbox import Mailbox
from gorsefork.usage.admission import UsageAdmission
from gorsefork.usage.records import Use
from gorsefork.usage.store import UsageNotStored, UsageStore

T = TypeVar("T")
MOST_ORDERS = 20_000  # far above the calls that can be open
PROBE_EVERY = 1.0  # s between looks whether a disk that failed takes something again


class StoreWorker:
    """A store, used by one thread at a time: ``run`` is fair, and ends what it began even when cancelled."""

    def __init__(self, store: UsageStore, threaded: bool) -> None:
        self.store, self.lock = store, trio.Lock()
        self.limiter = trio.CapacityLimiter(1) if threaded else None

    async def run(self, what: Callable[[], T]) -> T:
        async with self.lock:
            if self.limiter is None:
                return what()
            return await trio.to_thread.run_sync(what, limiter=self.limiter)


@dataclass(slots=True)
class PendingUse:
    customer: str
    plan: str
    cls: str
    micro: int
    at: int
    then: Callable[[bool], None]


class UsageRecorder:
    """Actor. ``record`` never waits; each order hears once whether its use is kept, in the order they came.

    ``suspend`` is told when calls may no longer be taken, and when they may again.
    """

    def __init__(
        self,
        worker: StoreWorker,
        clock: Clock,
        most_waiting: int,
        names: tuple[list[str], list[str]],
        open_calls: Callable[[], int],
        suspend: Callable[[bool, str], None],
        kept: Callable[[], None],
    ) -> None:
        self.worker, self.clock, self.kept = worker, clock, kept
        self.open_calls, self.suspend = open_calls, suspend
        self.plans, self.classes = names
        self.admission = UsageAdmission(most_waiting)
        self.mailbox: Mailbox[PendingUse] = Mailbox(MOST_ORDERS)
        self.next, self.fault = 1, ""
        self.groups = self.recorded = self.micro = 0

    def record(self, call: Call, micro: int, then: Callable[[bool], None]) -> None:
        plan = call.plan_name or self.plans[call.plan_index]
        order = PendingUse(
            call.customer, plan, self.classes[call.class_index], micro, self.clock.unix_us(), then
        )
        if not self.mailbox.put(order):
            then(False)

    async def run(self) -> None:
        self.update_admission()
        while True:
            await self.mailbox.wait(trio.current_time() + PROBE_EVERY if self.fault else math.inf)
            orders = self.mailbox.drain()
            if orders:
                await self.keep(orders)
            elif self.fault:
                await self.probe()
            self.update_admission()

    async def keep(self, orders: list[PendingUse]) -> None:
        uses = [
            Use(self.next + place, order.customer, order.plan, order.cls, order.micro, order.at)
            for place, order in enumerate(orders)
        ]
        try:
            await self.worker.run(lambda: self.worker.store.append(uses))
        except UsageNotStored as error:
            self.fault = f"uses cannot be recorded: {error}"
        else:
            self.next, self.fault = self.next + len(uses), ""
            self.groups, self.recorded = self.groups + 1, self.recorded + len(uses)
            self.micro += sum(use.micro for use in uses)
            self.kept()
        for order in orders:
            order.then(not self.fault)

    async def probe(self) -> None:
        try:
            await self.worker.run(self.worker.store.probe)
        except UsageNotStored as error:
            self.fault = f"uses cannot be recorded: {error}"
        else:
            self.fault = ""

    def update_admission(self) -> None:
        """Shut admission or open it, as what waits says; also called when the accounts have taken some."""
        if self.admission.update(self.worker.store.waiting(), self.open_calls(), self.fault):
            self.suspend(bool(self.admission.closed_reason), self.admission.closed_reason)
