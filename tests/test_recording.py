"""Use recorded before its answer leaves, exported until acknowledged, and calls refused at the bound."""

from __future__ import annotations

import threading
from collections.abc import Callable
from pathlib import Path
from typing import Any, TypeVar
from unittest import mock

import pytest
import trio
from scenario import CUSTOMER, World, scenario

from gorsefork.memory.call import Call
from gorsefork.storage.recorder import StoreWorker
from gorsefork.usage.records import Use, decode
from gorsefork.usage.store import UsageNotStored
from gorsefork.usage.verify import ReceivedUsage

T = TypeVar("T")
USAGE = '[usage]\naccounts = "$accounts"\nflush_ms = 1\ntimeout_ms = 200\n[log]\nform = "json"\n'
ASK = "c1 send GET /look\nbox expect GET /look\n"
SERVE = ASK + "box send 200 X-Settled=2.5 | hall\nc1 expect 200 | hall\n"


def on_disk(folder: Path) -> str:
    return f'[state]\nfolder = "{folder}/s{{n}}"\nsync = "normal"\n' + USAGE


class Broken(StoreWorker):
    """A store whose disk does what the test says: ``gate`` holds up each write, ``fault`` fails it."""

    def __init__(self, worker: StoreWorker) -> None:
        super().__init__(worker.store, threaded=False)
        self.gate = trio.Event()
        self.fault = ""
        self.stuck = trio.Event()

    async def run(self, what: Callable[[], T]) -> T:
        self.stuck.set()
        await self.gate.wait()
        if self.fault:
            raise UsageNotStored(self.fault)
        return await super().run(what)


def broken(world: World) -> Broken:
    extra = world.ingresses[0].installation
    assert extra is not None and extra.recorder is not None
    extra.recorder.worker = worker = Broken(extra.worker)
    return worker


async def batch(world: World) -> Any:
    """The next batch at the accounts."""
    server = world.servers["accounts"]
    server.last, message = await server.get.receive()
    return decode(message.partition("\r\n\r\n")[2].encode(), "ndjson")


def test_a_good_answers_settled_units_are_exported_with_their_plan_and_class() -> None:
    async def then(world: World) -> None:
        got = await batch(world)
        (use,) = got.uses
        assert (got.ingress, got.first, use.number, got.closed) == ("n0", 1, 1, False)
        assert (use.customer, use.plan, use.cls, use.micro) == (CUSTOMER, "rated", "look", 2_500_000)
        await world.play('accounts send 200 | {"upto":1}')

    scenario(SERVE, operator=USAGE, then=then)


def test_a_long_answer_whose_attempt_is_called_off_as_its_use_is_recorded_is_not_begun() -> None:
    """Prevents a torn answer: the record had woken the attempt when it was cancelled (issue 47)."""

    async def then(world: World) -> None:
        recorder = world.ingresses[0].decision_actor.usage_recorder
        assert recorder is not None
        record = recorder.record

        def record_then_cancel(call: Call, micro_units: int, on_recorded: Callable[[bool], None]) -> None:
            def cancel_after(stored: bool) -> None:
                on_recorded(stored)
                call.attempts[0].cancel()

            record(call, micro_units, cancel_after)

        with mock.patch.object(recorder, "record", record_then_cancel):
            await world.play("c1 send GET /look X-Expires-In-Ms=600\nbox expect GET /look")
            await world.play(f"box send 200 X-Settled=2.5 | {'x' * 100_000}\nc1 expect 502")

    scenario("", operator=USAGE, then=then)


def test_what_was_not_served_is_not_recorded() -> None:
    scenario(
        """
        c1 send POST /buy Idempotency-Key=k1
        box expect POST /buy
        box close
        c1 expect 502
        accounts wait idle""",
        operator=USAGE,
    )


def test_an_answer_waits_for_its_record_and_no_longer_than_its_call() -> None:
    async def main(world: World) -> None:
        worker = broken(world)
        await world.play(ASK + "box send 200 | hall")
        await worker.stuck.wait()
        with trio.move_on_after(0.05):
            assert not await world.clients["c1"].stream.receive_some()
            raise AssertionError("the answer went before its record")
        worker.gate.set()
        await world.play("c1 expect 200 | hall")
        worker.gate = trio.Event()
        await world.play("""c1 send GET /look X-Expires-In-Ms=150
            box expect GET /look
            box send 200 | hall
            c1 expect 502""")
        worker.gate.set()

    scenario("", operator=USAGE, then=main)


def test_a_record_that_fails_fails_its_call_shuts_the_door_and_opens_it_when_the_disk_is_well() -> None:
    async def main(world: World) -> None:
        worker = broken(world)
        worker.gate.set()
        worker.fault = "database or disk is full"
        await world.play(ASK + "box send 200 | hall\nc1 expect 502")
        await world.play("c1 send GET /look\nc1 expect 503 Retry-After\nbox wait idle")
        worker.fault = ""
        extra = world.ingresses[0].installation
        assert extra is not None and extra.recorder is not None
        await extra.recorder.probe()
        extra.recorder.update_admission()
        await world.play(SERVE)
        assert (await batch(world)).last == 1  # the failed one has no number

    scenario("", operator=USAGE, then=main)


def test_at_the_bound_calls_are_refused_until_the_accounts_take_some() -> None:
    async def main(world: World) -> None:
        extra = world.ingresses[0].installation
        assert extra is not None and extra.recorder is not None
        extra.recorder.admission.max_waiting = 3
        await world.play(SERVE * 3 + "c1 send GET /look\nc1 expect 503 Retry-After\nbox wait idle")
        ledger = ReceivedUsage()
        while ledger.table == {} or ledger.lives()[0].records < 3:
            _, upto = ledger.take(await batch(world))
            await world.play(f'accounts send 200 | {{"upto":{upto}}}')
        while extra.recorder.admission.closed_reason:
            await trio.lowlevel.checkpoint()
        await world.play(SERVE)

    scenario("", operator=USAGE, then=main)


@pytest.mark.parametrize(
    "trouble",
    [
        "accounts send 500",
        "accounts close",
        "accounts send 200 | what?",
        'accounts send 200 | {"upto":99}',
        "accounts send raw NOISE\\n\\n",
        "",
    ],
)
def test_a_batch_that_is_not_acknowledged_comes_again_the_same(trouble: str) -> None:
    async def then(world: World) -> None:
        first = await batch(world)
        await world.play(trouble)
        again = await batch(world)
        assert again.uses[: len(first.uses)] == first.uses and again.first == first.first
        await world.play('accounts send 200 | {"upto":1}')

    scenario(SERVE, operator=USAGE, then=then)


def test_what_was_kept_but_not_acknowledged_goes_out_in_the_next_life_with_its_end(tmp_path: Path) -> None:
    lives = []

    async def first(world: World) -> None:
        got = await batch(world)  # sent, and never acknowledged
        lives.append(got.life)

    scenario(SERVE, operator=on_disk(tmp_path), then=first)

    async def second(world: World) -> None:
        got = await batch(world)
        assert (got.life, got.first, got.last, got.closed) == (lives[0], 1, 1, True)
        await world.play('accounts send 200 | {"upto":1}')
        await world.play(SERVE)
        got = await batch(world)
        assert got.life > lives[0] and (got.first, got.closed) == (1, False)

    scenario("", operator=on_disk(tmp_path), then=second)


def test_a_drain_tells_the_end_of_this_life() -> None:
    async def then(world: World) -> None:
        await batch(world)
        await world.play('accounts send 200 | {"upto":1}')
        extra = world.ingresses[0].installation
        assert extra is not None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(extra.finish)
            last = await batch(world)
            assert (last.first, last.last, last.closed) == (2, 1, True)
            await world.play('accounts send 200 | {"upto":1}')

    scenario(SERVE, operator=USAGE, then=then)


def test_a_client_that_leaves_while_its_use_is_recorded_is_forgotten_and_charged_once() -> None:
    async def main(world: World) -> None:
        worker = broken(world)
        await world.play(ASK + "box send 200 | hall")
        await worker.stuck.wait()
        await world.play("c1 close")
        worker.gate.set()
        assert len((await batch(world)).uses) == 1
        while world.ingresses[0].decision_actor.calls:
            await trio.lowlevel.checkpoint()
        assert not world.ingresses[0].decision_actor.calls_by_trace

    scenario("", operator=USAGE, then=main)


def test_groups_form_while_the_disk_is_busy_and_numbers_stay_in_order(tmp_path: Path) -> None:
    async def main(world: World) -> None:
        extra = world.ingresses[0].installation
        assert extra is not None and extra.recorder is not None
        recorder, release, told = extra.recorder, threading.Event(), list[bool]()
        store, writes = recorder.worker.store, list[list[Use]]()
        append = store.append

        def slow(uses: Any) -> None:
            writes.append(list(uses))
            release.wait(5)
            append(uses)

        store.append = slow  # type: ignore[method-assign]
        done = trio.Event()

        def then(kept: bool) -> None:
            told.append(kept)
            if len(told) == 50:
                done.set()

        call = type("Call", (), {"customer": CUSTOMER, "plan_index": 0, "class_index": 0, "plan_name": ""})
        for _ in range(50):
            recorder.record(call, 1, then)  # type: ignore[arg-type]
            await trio.lowlevel.checkpoint()
        release.set()
        await done.wait()
        numbers = [use.number for group in writes for use in group]
        assert told == [True] * 50 and numbers == list(range(1, 51)) and len(writes) <= 4

    scenario("", operator=on_disk(tmp_path), then=main)
