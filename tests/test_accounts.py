"""Recorder and exporter against accounts in every kind of trouble: all of it is there once."""

from __future__ import annotations

import random
import sqlite3
from pathlib import Path
from types import SimpleNamespace
from typing import Any
from unittest import mock

import pytest
import trio
from accounts_standin import Accounts, Trouble

from gorsefork.memory.clock import Clock
from gorsefork.storage.database import Database
from gorsefork.storage.recorder import StoreWorker, UsageRecorder
from gorsefork.storage.uses import DiskUsageStore
from gorsefork.usage.records import Batch, Form
from gorsefork.usage.store import MemoryUsageStore, UsageNotStored, UsageStore
from gorsefork.wire.services.accounts import AccountsSettings, Exporter

TROUBLES: list[Trouble] = [
    "refuses",
    "breaks before",
    "breaks after",
    "late",
    "stalls",
    "repeats",
    "lies",
    "noise",
]
USES = 120


def log(text: str, /, *, event: str, **fields: object) -> None:
    assert event.startswith("usage.") and "secret" not in f"{text} {fields}"


async def day(store: UsageStore, accounts: Accounts, form: Form, threaded: bool) -> None:
    """Record many uses in small parts while batches of ten go out; then end the life."""
    clock = Clock()
    trio.lowlevel.add_instrument(clock)
    async with trio.open_nursery() as nursery:
        await accounts.open(nursery)
        at = AccountsSettings(accounts.dial, "/v1/usage", form, 10, 1000, 0.1, "Bearer secret")
        worker, told = StoreWorker(store, threaded), list[bool]()
        exporter = Exporter(at, worker, clock, log, 1, lambda: None)
        recorder = UsageRecorder(
            worker,
            clock,
            100_000,
            (["rated"], ["look"]),
            lambda: 0,
            lambda shut, why: None,
            exporter.recorded,
        )
        nursery.start_soon(recorder.run)
        exporting = trio.CancelScope()

        async def export() -> None:
            with exporting:
                await exporter.run()

        nursery.start_soon(export)
        call: Any = SimpleNamespace(customer="00000000b4d65521", plan_index=0, class_index=0, plan_name="")
        for _ in range(USES):
            recorder.record(call, 500_000, told.append)
            await trio.lowlevel.checkpoint()
        while not accounts.ledger.lives() or accounts.ledger.lives()[0].records < USES:
            await accounts.news.wait()
        while store.waiting():
            await trio.lowlevel.checkpoint()
        exporting.cancel()
        await trio.lowlevel.checkpoint()
        exporter.shipping.no_batch()
        await worker.run(store.end)
        await exporter.flush()
        assert told == [True] * USES
        nursery.cancel_scope.cancel()


def test_a_disk_that_does_not_take_an_acknowledgement_costs_a_repeat_and_nothing_else(tmp_path: Path) -> None:
    accounts, database = Accounts(random.Random(3), odds={}), Database(tmp_path / "n0", "n0", "normal")
    store, faults = DiskUsageStore(database, 7), ["full", "full", "full"]
    acknowledge = store.acknowledge

    def failing(life: int, upto: int, closed: bool) -> None:
        if faults:
            raise UsageNotStored(faults.pop())
        acknowledge(life, upto, closed)

    store.acknowledge = failing  # type: ignore[method-assign]
    unread, oldest = ["disk I/O error"] * 2, store.oldest

    def unreadable(most: int) -> Batch | None:
        if unread:
            raise sqlite3.OperationalError(unread.pop())
        return oldest(most)

    store.oldest = unreadable  # type: ignore[method-assign]
    with mock.patch("gorsefork.usage.export_schedule.SHORTEST", 5_000):
        trio.run(day, store, accounts, "ndjson", True)
    (life,) = accounts.ledger.lives()
    assert life.whole and life.records == USES and life.repeats >= 3 and not faults and not unread
    database.close()


@pytest.mark.parametrize("form", ["ndjson", "msgpack"])
@pytest.mark.parametrize("durable", [True, False])
def test_all_uses_are_there_once_after_every_trouble(form: Form, durable: bool, tmp_path: Path) -> None:
    accounts = Accounts(random.Random(3), TROUBLES * 2, odds={}, patience=0.15)
    database = Database(tmp_path / "n0", "n0", "normal") if durable else None
    store: UsageStore = DiskUsageStore(database, 7) if database else MemoryUsageStore("n0", 7)
    with (
        mock.patch("gorsefork.usage.export_schedule.SHORTEST", 5_000),
        mock.patch("gorsefork.usage.export_schedule.LONGEST", 20_000),
    ):
        trio.run(day, store, accounts, form, durable)
    (life,) = accounts.ledger.lives()
    assert life.whole and (life.records, life.micro) == (USES, USES * 500_000)
    assert not life.missing and not life.contradictions and life.repeats
    assert not accounts.script and sum(accounts.troubles.values()) == 2 * len(TROUBLES)
    if database is not None:
        assert database.sql.execute("SELECT count(*) FROM uses").fetchone()[0] == 0
        assert database.sql.execute("SELECT count(*) FROM lives").fetchone()[0] == 0
        database.close()
