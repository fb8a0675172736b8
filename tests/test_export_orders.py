"""The export of use over any order of answers and of kills on either side: each use once, none left out."""

from __future__ import annotations

import tempfile
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Literal

import msgspec
import pytest
import trio
from hypothesis import given, settings
from hypothesis import strategies as st

from gorsefork.memory.clock import Clock
from gorsefork.storage.database import Database
from gorsefork.storage.recorder import StoreWorker
from gorsefork.storage.uses import DiskUsageStore
from gorsefork.usage.receipts import AccountsAnswer, Acknowledgement, SentRange, read_receipt
from gorsefork.usage.records import Batch, Use, decode
from gorsefork.usage.store import MemoryUsageStore, UsageStore
from gorsefork.usage.verify import ReceivedUsage
from gorsefork.wire.http1.client import NoAnswer, Response
from gorsefork.wire.services.accounts import AccountsSettings, Exporter

MAX_BATCH = 16
Outcome = Literal[
    "kept", "lost before", "lost after", "late", "too large", "refused", "unreadable", "behind", "strict"
]
OUTCOMES: tuple[Outcome, ...] = (
    "kept",
    "lost before",
    "lost after",
    "late",
    "too large",
    "refused",
    "unreadable",
    "behind",
    "strict",
)


@dataclass
class Receiver:
    """The accounts of docs/usage-export.md, in place of the client of the wire.

    Late: the batch is kept after the sender has given up. Behind: 409 from a replica that lacks the batch.
    Strict: 409 instead of 200 for a batch that does not begin right behind what is kept, and its place.
    """

    ledger: ReceivedUsage = field(default_factory=ReceivedUsage)
    outcome: Outcome = "kept"
    most_uses: int = MAX_BATCH
    late: list[Batch] = field(default_factory=list)

    async def request(self, method: str, target: str, body: bytes, media: str, within: float) -> Response:
        batch = decode(body, "ndjson")
        upto = self.upto(batch)
        if self.outcome == "too large" or len(batch.uses) > self.most_uses:
            return Response(413, "", b"")
        if self.outcome == "lost before":
            raise NoAnswer("the connection broke")
        if self.outcome == "late":
            self.late.append(batch)
            raise NoAnswer("no answer in time")
        if self.outcome == "refused":
            return Response(503, "", b"")
        if self.outcome == "behind":
            return self.receipt(409, min(upto, batch.first - 1))
        if self.outcome == "strict" and batch.first != upto + 1:
            return self.receipt(409, upto)
        status, upto = self.ledger.take(batch)
        if self.outcome == "lost after":
            raise NoAnswer("the connection broke")
        return Response(200, "", b"kept!") if self.outcome == "unreadable" else self.receipt(status, upto)

    def upto(self, batch: Batch) -> int:
        life = self.ledger.table.get((batch.ingress, batch.life))
        return life.upto if life else 0

    @staticmethod
    def receipt(status: int, upto: int) -> Response:
        return Response(status, "", msgspec.json.encode({"upto": upto}))

    def handle_late(self) -> None:
        for batch in self.late:
            self.ledger.take(batch)
        self.late.clear()


class Ingress:
    """A store and an exporter; ``kill`` forgets all that is not on disk."""

    def __init__(self, folder: Path, receiver: Receiver) -> None:
        self.folder, self.receiver = folder, receiver
        self.recorded, self.lives = 0, 0
        self.start()

    def start(self) -> None:
        self.lives += 1
        self.database = Database(self.folder, "n0", "normal")
        self.store = DiskUsageStore(self.database, self.lives)
        self.exporter = make_exporter(self.store, self.receiver)
        self.next = 1

    def kill(self) -> None:
        self.database.close()
        self.start()

    def record(self, count: int) -> None:
        self.store.append([use(number) for number in range(self.next, self.next + count)])
        self.next += count
        self.recorded += count

    async def send(self) -> bool:
        return await self.exporter.send_batch()


def use(number: int) -> Use:
    return Use(number, "00000000b4d65521", "large", "look", 1_000_000, 1_700_000_000_000_000)


def make_exporter(store: UsageStore, receiver: Receiver) -> Exporter:
    at = AccountsSettings("127.0.0.1:1", "/v1/usage", "ndjson", MAX_BATCH, 1000, 1.0)
    exporter = Exporter(
        at, StoreWorker(store, threaded=False), Clock(), lambda text, /, **fields: None, 1, lambda: None
    )
    exporter.client = receiver  # type: ignore[assignment]
    return exporter


def in_folder(play: Callable[[Ingress], Awaitable[None]]) -> Ingress:
    with tempfile.TemporaryDirectory() as folder:
        ingress = Ingress(Path(folder) / "n0", Receiver())

        async def run() -> None:
            await play(ingress)

        try:
            trio.run(run)
        finally:
            ingress.database.close()
        return ingress


async def settle(ingress: Ingress) -> None:
    """The accounts answer well from here on. Each batch takes one use at the least, or an end."""
    ingress.receiver.outcome = "kept"
    for _ in range(2 * ingress.recorded + 2 * ingress.lives + MAX_BATCH):
        if not await ingress.send() and ingress.exporter.shipping.state == "idle":
            break
    ingress.receiver.handle_late()


def check_each_use_is_there_once(ingress: Ingress) -> None:
    lives = ingress.receiver.ledger.lives()
    assert ingress.store.waiting() == 0
    assert sum(life.records for life in lives) == ingress.recorded
    assert not any(life.missing or life.contradictions for life in lives)
    assert all(life.whole for life in lives if life.life < ingress.lives)


def test_a_receipt_for_a_batch_of_the_killed_process_is_believed() -> None:
    """Guards against an export that stands still: the answer to a large batch was lost with its process."""

    async def play(ingress: Ingress) -> None:
        ingress.record(14)
        ingress.receiver.outcome = "lost after"
        await ingress.send()
        ingress.record(20)
        ingress.kill()
        ingress.receiver.outcome, ingress.receiver.most_uses = "kept", 8
        assert not await ingress.send()  # 16 uses are too many
        assert await ingress.send()  # 1 to 8 again, and they have all up to 14
        await settle(ingress)

    check_each_use_is_there_once(in_folder(play))


def test_a_receipt_for_a_larger_batch_of_the_same_process_is_believed() -> None:
    """Guards against the same standstill without a kill: a late answer, and 413 for what follows."""

    async def play(ingress: Ingress) -> None:
        ingress.record(16)
        ingress.receiver.outcome = "lost after"
        await ingress.send()
        ingress.receiver.outcome, ingress.receiver.most_uses = "kept", 8
        await ingress.send()
        assert await ingress.send()
        assert ingress.store.waiting() == 0

    check_each_use_is_there_once(in_folder(play))


def test_a_409_that_says_that_all_is_there_is_believed() -> None:
    """Guards against accounts that answer a repeat with 409 and their place: it came for ever."""

    async def play(ingress: Ingress) -> None:
        ingress.record(10)
        ingress.receiver.outcome = "lost after"
        await ingress.send()
        ingress.receiver.outcome = "strict"
        assert await ingress.send()
        assert ingress.store.waiting() == 0

    check_each_use_is_there_once(in_folder(play))


def test_an_answer_that_keeps_nothing_is_followed_by_a_pause() -> None:
    """Guards against a loop at full speed: 200 with the place before the batch, over and over."""

    class Forgetful(Receiver):
        async def request(self, *args: Any) -> Response:
            return self.receipt(200, 0)

    async def run() -> None:
        store = MemoryUsageStore("n0", 7)
        store.append([use(1)])
        exporter = make_exporter(store, Forgetful())
        assert not await exporter.send_batch()
        assert exporter.shipping.not_before > exporter.clock.now and exporter.shipping.problem

    trio.run(run)


STEPS = st.one_of(
    st.tuples(st.just("record"), st.integers(1, 20)),
    st.tuples(st.just("send"), st.sampled_from(OUTCOMES)),
    st.tuples(st.just("limit"), st.integers(1, MAX_BATCH)),
    st.tuples(st.just("late batches arrive"), st.just(0)),
    st.tuples(st.just("kill"), st.just(0)),
)


@settings(max_examples=150, deadline=None, derandomize=True)
@given(st.lists(STEPS, min_size=3, max_size=30))
def test_each_use_arrives_once_after_any_order_of_answers_and_kills(steps: list[tuple[str, Any]]) -> None:
    """Guards against an order of 200, 413, 409, late and lost answers and kills that loses a use or stops."""

    async def play(ingress: Ingress) -> None:
        ingress.record(MAX_BATCH)
        for step, value in steps:
            if step == "record":
                ingress.record(value)
            elif step == "limit":
                ingress.receiver.most_uses = value
            elif step == "late batches arrive":
                ingress.receiver.handle_late()
            elif step == "kill":
                ingress.kill()
            else:
                ingress.receiver.outcome = value
                await ingress.send()
        await settle(ingress)

    check_each_use_is_there_once(in_folder(play))


def batch(first: int, last: int) -> Batch:
    return Batch("n0", 7, first, tuple(map(use, range(first, last + 1))), first)


@pytest.mark.parametrize(
    ("answer", "sent", "upto"),
    [
        (AccountsAnswer(200, 20), SentRange(20, True), 20),  # this batch
        (AccountsAnswer(200, 15), SentRange(20, True), 15),  # a part of it
        (AccountsAnswer(200, 30), SentRange(30, True), 30),  # an earlier, larger one
        (AccountsAnswer(200, 30), SentRange(40, False), 30),  # one of an earlier process
        (AccountsAnswer(409, 30), SentRange(30, True), 30),
        (AccountsAnswer(200, 31), SentRange(30, True), None),  # never sent
        (AccountsAnswer(409, 31), SentRange(30, False), None),
        (AccountsAnswer(200, 31), SentRange(30, False), 20),  # the folder may be older than the accounts
        (AccountsAnswer(200, 10), SentRange(20, True), None),  # nothing of this batch
        (AccountsAnswer(409, 10), SentRange(20, True), None),
        (AccountsAnswer(409, 3), SentRange(20, True), None),
        (AccountsAnswer(200, None), SentRange(20, True), None),
        (AccountsAnswer(503, None), SentRange(20, True), None),
        (AccountsAnswer(0, None), SentRange(20, True), None),
    ],
)
def test_which_receipts_are_believed(answer: AccountsAnswer, sent: SentRange, upto: int | None) -> None:
    assert read_receipt(answer, batch(11, 20), sent).upto == upto


def test_the_end_of_a_life_without_uses_is_acknowledged_by_its_last_number() -> None:
    closing = Batch("n0", 7, 21, (), 21, True)
    assert read_receipt(AccountsAnswer(200, 20), closing, SentRange(20, True)) == Acknowledgement(20)
