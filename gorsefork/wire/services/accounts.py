"""The accounts: batches of uses go out, one at a time, until each is acknowledged (docs/usage-export.md)."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol, TypeVar

import msgspec
import trio

from gorsefork.memory.clock import Clock
from gorsefork.memory.ports import Log
from gorsefork.usage.records import MEDIA, Batch, Form, Receipt
from gorsefork.usage.shipping import Shipping, Verdict
from gorsefork.usage.store import Unkept, UseStore
from gorsefork.wire.http1.client import HttpClient, NoAnswer

T = TypeVar("T")


class StoreWorker(Protocol):
    """A store of uses that may wait for a disk: ``run`` does one thing at a time, away from the loop."""

    store: UseStore

    async def run(self, what: Callable[[], T]) -> T: ...


@dataclass(frozen=True, slots=True)
class AccountsAt:
    """Where the accounts are and how batches go there. ``within``: s until an answer is given up."""

    dial: str
    path: str
    form: Form
    most: int
    flush_us: int
    within: float
    authorization: str = field(default="", repr=False)


class Exporter:
    """Actor. Sends the oldest that is not acknowledged, and the next when that is; never drops any."""

    def __init__(
        self,
        at: AccountsAt,
        worker: StoreWorker,
        clock: Clock,
        log: Log,
        seed: int,
        changed: Callable[[], None],
    ) -> None:
        self.at, self.worker, self.clock, self.log, self.changed = at, worker, clock, log, changed
        self.client = HttpClient(at.dial, at.authorization, most_body=65536)
        self.shipping = Shipping(at.most, at.flush_us, random.Random(seed))
        self.bell = trio.Event()
        self.state: Verdict = "kept"

    def recorded(self) -> None:
        """There is more; called whenever something was kept."""
        self.shipping.recorded(max(1, self.worker.store.waiting()), self.clock.now)
        self.bell.set()

    def hurry(self) -> None:
        """Send what there is now, whatever the pause."""
        self.shipping.not_before = self.clock.now
        self.shipping.due = self.clock.now
        self.bell.set()

    async def run(self) -> None:
        self.recorded()  # what an earlier life left, and the end of that life
        while True:
            if self.shipping.ready(self.clock.now):
                await self.ship()
                continue
            self.bell = trio.Event()
            wake = self.shipping.wake_at()
            with trio.CancelScope() as scope:
                if wake is not None:
                    scope.deadline = self.clock.trio_deadline(wake)
                await self.bell.wait()

    async def ship(self) -> bool:
        """One batch; whether there was one and it was kept."""
        self.shipping.begin()
        try:
            batch = await self.worker.run(lambda: self.worker.store.batch(self.shipping.size))
        except Unkept as error:
            self.shipping.ended(0, None, 1, self.clock.now)
            self.shipping.problem = f"what waits cannot be read: {error}"
            if self.state != "failed":
                self.log(self.shipping.problem, event="usage.failed", reason=str(error))
            self.state = "failed"
            return False
        if batch is None:
            self.shipping.nothing()
            return False
        status, upto = await self.post(batch)
        if upto is not None and upto > batch.last:
            status, upto = 0, None  # they cannot have what was never sent: nothing of it is believed
        fault = ""
        if status == 200 and upto is not None and upto >= batch.first - 1:
            kept, closed = upto, batch.closed and upto == batch.last
            try:
                await self.worker.run(lambda: self.worker.store.acknowledge(batch.life, kept, closed))
            except Unkept as error:
                # Guards against a full disk, which does not take this either: they are sent it once more.
                status, upto, fault = 0, None, f"what the accounts have cannot be noted: {error}"
        verdict = self.shipping.ended(status, upto, batch.first, self.clock.now)
        self.shipping.problem = fault or self.shipping.problem
        if verdict == "kept":
            self.changed()
            self.log(
                f"accounts have all up to {upto} of life {batch.life}",
                event="usage.acknowledged",
                life=batch.life,
                upto=upto,
                waiting=self.worker.store.waiting(),
            )
            self.shipping.recorded(max(1, self.worker.store.waiting()), self.clock.now)
        elif verdict != self.state:
            self.log(
                self.shipping.problem,
                event=f"usage.{verdict}",
                life=batch.life,
                first=batch.first,
                status=status,
            )
        self.state = verdict
        return verdict == "kept"

    async def post(self, batch: Batch) -> tuple[int, int | None]:
        """The status, 0 if there is none that can be relied on, and up to where they say they have it."""
        body = batch.encode(self.at.form)
        try:
            answer = await self.client.ask("POST", self.at.path, body, MEDIA[self.at.form], self.at.within)
        except NoAnswer:
            return 0, None
        if answer.status not in (200, 409):
            return answer.status, None
        try:
            return answer.status, msgspec.json.decode(answer.body, type=Receipt).upto
        except (msgspec.DecodeError, UnicodeDecodeError):
            return 0, None

    async def flush(self) -> None:
        """Send until nothing is left or one is not kept; for the end of a life."""
        while self.shipping.state != "sending" and await self.ship():
            pass
