"""Records of kinds that this version does not know: kept and passed on, with no effect."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Sequence
from pathlib import Path

import trio
from test_plan_book import A, change, up
from test_plan_records import NOW, Disk, FixedClock

from gorsefork.configuration.messages import as_records
from gorsefork.configuration.records import Record, RecordRefused, Refusal
from gorsefork.configuration.store import Limits, RecordStore
from gorsefork.life.plan_records import PLAN_KIND, load_book, record_of
from gorsefork.life.record_intake import RecordIntake
from gorsefork.life.unknown_kinds import RecordsByKind, UnknownRecords
from gorsefork.plans.changes import HybridClock, SetPlan
from gorsefork.storage.database import Database
from gorsefork.storage.records import DurableRecords


def route(number: int, body: bytes = b"\xff\x00", stamp: int = NOW) -> Record:
    return Record("route", f"r{number}", stamp, "n9", "zoe", body)


class Taking:
    """Unknown records on their way into a store and a disk."""

    def __init__(self, limits: Limits | None = None) -> None:
        self.store, self.disk = RecordStore(limits), Disk()
        self.logged: list[str] = []

        def log(text: str, /, *, event: str, **fields: object) -> None:
            self.logged.append(text)

        self.unknown = UnknownRecords(self.store, self.disk, FixedClock(), lambda: 7, log)

    async def take(self, *records: Record) -> list[Refusal | None]:
        found = await self.unknown.apply_records(records)
        return [None if refused is None else refused.refusal for refused in found]


def run(main: Callable[[], Awaitable[None]]) -> None:
    trio.run(main)


def test_they_are_kept_and_have_the_same_digest_everywhere() -> None:
    async def main() -> None:
        one, other = Taking(), Taking()
        assert await one.take(route(1), route(2)) == [None, None]
        assert await other.take(route(2)) == [None]
        assert await other.take(route(1), route(2)) == [None, None]  # the second is held already
        assert one.store.digest() == other.store.digest() and one.disk.kept == [route(1), route(2)]

    run(main)


def test_one_that_the_disk_does_not_take_is_not_held_and_may_come_again() -> None:
    async def main() -> None:
        taking = Taking()
        taking.disk.problem = "full"
        assert await taking.take(route(1)) == [Refusal.NO_DISK] and len(taking.store) == 0
        taking.disk.problem = ""
        assert await taking.take(route(1)) == [None]

    run(main)


def test_a_clock_ahead_and_a_lesser_contradiction_are_refused_before_the_disk() -> None:
    async def main() -> None:
        taking = Taking()
        lesser, greater = sorted([route(1, b"a"), route(1, b"b")], key=Record.mark)
        ahead = route(2, stamp=NOW + HybridClock.MAX_AHEAD_US + 1)
        assert await taking.take(greater) == [None]
        assert await taking.take(lesser, ahead, route(3)) == [
            Refusal.CONTRADICTION,
            Refusal.CLOCK_AHEAD,
            None,
        ]
        assert taking.disk.kept == [greater, route(3)] and taking.store.holds(greater)

    run(main)


def test_what_there_is_no_room_for_is_not_left_on_disk() -> None:
    async def main() -> None:
        taking = Taking(Limits(records=2))
        assert await taking.take(route(1), route(2), route(3)) == [None, None, Refusal.NO_ROOM]
        assert taking.disk.deleted == [route(3)] and taking.disk.horizon == 7
        taking.disk.problem = ""

        async def broken(records: Sequence[Record], horizon: int) -> None:
            raise OSError("full")

        taking.disk.forget = broken  # type: ignore[method-assign]
        assert await taking.take(route(4)) == [Refusal.NO_ROOM]
        assert taking.logged == ["1 refused records stay on disk: full"]

    run(main)


def test_each_record_goes_to_the_owner_of_its_kind_and_its_answer_back_in_order() -> None:
    async def main() -> None:
        plans: list[Record] = []

        async def take_plans(records: Sequence[Record]) -> list[RecordRefused | None]:
            plans.extend(records)
            return [RecordRefused(Refusal.UNREADABLE) for _ in records]

        taking = Taking()
        by_kind = RecordsByKind({PLAN_KIND: take_plans}, taking.unknown.apply_records)
        intake = RecordIntake(taking.store, by_kind.apply_records)
        plan = record_of(change(NOW, SetPlan(A, "large", 1)))
        new = await intake.take([as_records([route(1), plan, route(2)], 0)])
        assert new == [route(1), route(2)] and plans == [plan]
        refused = intake.refusals_of([plan])[0]
        assert refused is not None and refused.refusal is Refusal.UNREADABLE

    run(main)


def test_they_are_there_after_a_restart_beside_the_plan_book(tmp_path: Path) -> None:
    database = Database(tmp_path / "n0", "n0", "normal")
    records = [route(n) for n in range(50)] + [record_of(up(n, n)) for n in range(1, 20)]
    DurableRecords(database).save(records)
    store = RecordStore()
    book = load_book(DurableRecords(database), store, now=NOW)
    assert len(store) == 69 and len(book) == 19 and all(map(store.holds, records))
    whole = RecordStore()
    whole.add_all(records)
    assert store.digest() == whole.digest()
    database.close()
