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
from gorsefork.usage.export_schedule import ExportSchedule, Verdict
from gorsefork.usage.receipts import RECEIPT_STATUSES, AccountsAnswer, Acknowledgement, read_receipt
from gorsefork.usage.records import CONTENT_TYPES, Batch, Form, Receipt
from gorsefork.usage.store import UsageNotStored, UsageStore
from gorsefork.wire.http1.client import HttpClient, NoAnswer

T = TypeVar("T")


class StoreWorker(Protocol):
    """A store of uses that may wait for a disk: ``run`` does one thing at a time, away from the loop."""

    store: UsageStore

    async def run(self, what: Callable[[], T]) -> T: ...


@dataclass(frozen=True, slots=True)
class AccountsSettings:
    """Where the accounts are and how batches go there. ``timeout``: s until an answer is given up."""

    address: str
    path: str
    form: Form
    max_batch: int
    flush_us: int
    timeout: float
    authorization: str = field(default="", repr=False)


class Exporter:
    """Actor. Sends the oldest that is not acknowledged, and the next when that is; never drops any."""

    def __init__(
        self,
        at: AccountsSettings,
        worker: StoreWorker,
        clock: Clock,
        log: Log,
        seed: int,
        changed: Callable[[], None],
    ) -> None:
        self.settings, self.worker, self.clock, self.log, self.changed = at, worker, clock, log, changed
        self.client = HttpClient(at.address, at.authorization, most_body=65536)
        self.shipping = ExportSchedule(at.max_batch, at.flush_us, random.Random(seed))
        self.work_arrived = trio.Event()
        self.last_verdict: Verdict = "kept"

    def recorded(self) -> None:
        """There is more; called whenever something was kept."""
        self.shipping.recorded(max(1, self.worker.store.waiting()), self.clock.now)
        self.work_arrived.set()

    def export_now(self) -> None:
        """Send what there is now, whatever the pause."""
        self.shipping.not_before = self.clock.now
        self.shipping.due = self.clock.now
        self.work_arrived.set()

    async def run(self) -> None:
        self.recorded()  # what an earlier life left, and the end of that life
        while True:
            if self.shipping.ready(self.clock.now):
                await self.send_batch()
                continue
            self.work_arrived = trio.Event()
            wake = self.shipping.wake_at()
            with trio.CancelScope() as scope:
                if wake is not None:
                    scope.deadline = self.clock.trio_deadline(wake)
                await self.work_arrived.wait()

    async def send_batch(self) -> bool:
        """One batch; whether there was one and it was kept."""
        self.shipping.begin()
        try:
            batch = await self.worker.run(lambda: self.worker.store.batch(self.shipping.size))
        except UsageNotStored as error:
            self.shipping.batch_ended(0, None, 1, self.clock.now)
            self.shipping.problem = f"what waits cannot be read: {error}"
            if self.last_verdict != "failed":
                self.log(self.shipping.problem, event="usage.failed", reason=str(error))
            self.last_verdict = "failed"
            return False
        if batch is None:
            self.shipping.no_batch()
            return False
        answer = await self.post(batch)
        acknowledged = await self.acknowledge(batch, answer)
        if answer.status == 413:
            self.shipping.refused_as_too_large(len(batch.uses))
        verdict = self.shipping.batch_ended(
            *self.schedule_view(answer, acknowledged), batch.first, self.clock.now
        )
        self.shipping.problem = acknowledged.problem or self.shipping.problem
        if verdict == "kept":
            self.changed()
            self.log(
                f"accounts have all up to {acknowledged.upto} of life {batch.life}",
                event="usage.acknowledged",
                life=batch.life,
                upto=acknowledged.upto,
                sent=batch.last,
                waiting=self.worker.store.waiting(),
            )
            self.shipping.recorded(max(1, self.worker.store.waiting()), self.clock.now)
        elif verdict != self.last_verdict:
            self.log(
                self.shipping.problem,
                event=f"usage.{verdict}",
                life=batch.life,
                first=batch.first,
                last=batch.last,
                status=answer.status,
                upto=answer.upto,
            )
        self.last_verdict = verdict
        return verdict == "kept"

    async def acknowledge(self, batch: Batch, answer: AccountsAnswer) -> Acknowledgement:
        """Note what the answer says that the accounts have, as far as it is believed."""
        store = self.worker.store

        def note() -> Acknowledgement:
            read = read_receipt(answer, batch, store.sent_range(batch.life))
            if read.upto is not None:
                store.acknowledge(batch.life, read.upto, batch.closed and read.upto == batch.last)
            return read

        if answer.upto is None:
            return Acknowledgement(None)
        try:
            return await self.worker.run(note)
        except UsageNotStored as error:
            # Guards against a full disk, which does not take this either: they are sent it once more.
            return Acknowledgement(None, f"what the accounts have cannot be noted: {error}")

    @staticmethod
    def schedule_view(answer: AccountsAnswer, acknowledged: Acknowledgement) -> tuple[int, int | None]:
        """Status and number as the schedule is to take them: a receipt that is not believed is no answer."""
        if acknowledged.upto is not None:
            return 200, acknowledged.upto
        return (0, None) if answer.status == 200 else (answer.status, answer.upto)

    async def post(self, batch: Batch) -> AccountsAnswer:
        """What the accounts answered, as far as it can be read."""
        body = batch.encode(self.settings.form)
        try:
            answer = await self.client.request(
                "POST", self.settings.path, body, CONTENT_TYPES[self.settings.form], self.settings.timeout
            )
        except NoAnswer:
            return AccountsAnswer(0)
        if answer.status not in RECEIPT_STATUSES:
            return AccountsAnswer(answer.status)
        try:
            return AccountsAnswer(answer.status, msgspec.json.decode(answer.body, type=Receipt).upto)
        except (msgspec.DecodeError, UnicodeDecodeError):
            return AccountsAnswer(0)

    async def flush(self) -> None:
        """Send until nothing is left or one is not kept; for the end of a life."""
        while self.shipping.state != "sending" and await self.send_batch():
            pass
