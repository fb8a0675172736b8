"""The plan book over packed records: it means what a plain set of changes means; its bounds; its storage."""

from __future__ import annotations

import contextlib
import gc
import random
import shutil
import sqlite3
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any
from unittest import mock

import msgspec
import pytest
import trio
import trio.testing
from hypothesis import given, settings
from hypothesis import strategies as st
from test_plan_book import A, B, all_of, change, histories, plan_of, times, up

from gorsefork.configuration.records import Record, RecordRefused, Refusal
from gorsefork.configuration.store import LEAVES, Limits, RecordStore, leaf_of
from gorsefork.decisions import interface as i
from gorsefork.life.plan_records import PLAN_KIND, PlanRecords, change_of, load_book, record_of
from gorsefork.life.plan_service import (
    DAY,
    FIRST_CLEANUP_DELAY_US,
    MAX_LOGGED_CHANGES,
    RETENTION_US,
    NoStorage,
    PlanService,
    RecordStorage,
)
from gorsefork.memory.clock import Clock
from gorsefork.plans import change_feed, recent_keys
from gorsefork.plans.book import PlanBook
from gorsefork.plans.change_feed import FeedCursor
from gorsefork.plans.changes import (
    SECOND,
    Act,
    Cancel,
    Change,
    ChangeNumber,
    ChangeRefused,
    HybridClock,
    Reserve,
    Rollback,
    SetPlan,
)
from gorsefork.plans.contracts import PlanResolver
from gorsefork.plans.expiry import ExpirySweep
from gorsefork.plans.number_index import NumberIndex
from gorsefork.plans.smallest_by_key import SmallestByKey
from gorsefork.storage.database import FORMAT, Database, InvalidState, WriteFailed
from gorsefork.storage.faults import MIGRATION_POINTS
from gorsefork.storage.records import DurableRecords

PLANS = [i.Plan("small", rate=2.0, burst=6.0), i.Plan("large", rate=20.0, burst=60.0)]
NOW = 1_790_000_000 * SECOND
FORMAT_1 = """
CREATE TABLE meta (key TEXT PRIMARY KEY, value TEXT NOT NULL) WITHOUT ROWID;
CREATE TABLE changes (
    stamp INTEGER, origin TEXT, body BLOB NOT NULL, PRIMARY KEY (stamp, origin)
) WITHOUT ROWID;
CREATE TABLE lives (
    life INTEGER PRIMARY KEY, acknowledged INTEGER NOT NULL DEFAULT 0,
    last INTEGER  -- its last number, once it is over
);
CREATE TABLE uses (
    life INTEGER, number INTEGER, customer TEXT NOT NULL, plan TEXT NOT NULL, class TEXT NOT NULL,
    micro INTEGER NOT NULL, at INTEGER NOT NULL, PRIMARY KEY (life, number)
) WITHOUT ROWID;
INSERT INTO meta VALUES ('ingress', 'n0');
INSERT INTO meta VALUES ('horizon', '7');
PRAGMA application_id = 0x676F7266;
PRAGMA user_version = 1;
"""


def customer(number: int) -> str:
    return f"{number:016x}"


def packed_book(changes: Iterable[Change] = (), limits: Limits | None = None) -> PlanBook:
    book = PlanBook(PlanRecords(RecordStore(limits)))
    for each in changes:
        book.add(each)
    return book


def forget(book: PlanBook, horizon: int) -> list[Change]:
    forgetting = ExpirySweep(book, horizon)
    for place in range(book.log.parts):
        forgetting.examine_part(place)
    gone = forgetting.finish()
    book.forget(gone, horizon)
    return gone


# The meaning, against a plain set.


def void(changes: set[Change], one: Change, at: int) -> bool:
    """Whether a later change that holds itself has voided this one by then. The definition, word for word."""
    for other in changes:
        act = other.act
        if other.number <= one.number or not isinstance(act, Cancel | Rollback) or act.effective > at:
            continue
        aims = (
            one.number == ChangeNumber.parse(act.number) and isinstance(one.act, SetPlan | Reserve)
            if isinstance(act, Cancel)
            else one.number > ChangeNumber.parse(act.to)
        )
        if aims and not void(changes, other, at):
            return True
    return False


def plain_standing(
    changes: set[Change], whose: str, at: int
) -> tuple[ChangeNumber | None, set[ChangeNumber], int] | None:
    about = {each for each in changes if each.customer in (whose, None)}
    past = [time for each in about for time in each.boundaries() if time <= at]
    if not past or not any(each.customer == whose for each in changes):
        return None
    holding = [each for each in about if not void(about, each, at)]
    plans = [
        (each.act.effective, each.number)
        for each in holding
        if isinstance(each.act, SetPlan) and each.act.effective <= at and not 0 < each.act.until <= at
    ]
    reserved = {
        each.number
        for each in holding
        if isinstance(each.act, Reserve) and each.act.starts <= at < each.act.ends
    }
    return max(plans)[1] if plans else None, reserved, max(past)


@settings(max_examples=100)
@given(histories(), st.randoms(use_true_random=False), times)
def test_a_book_of_packed_records_says_what_the_set_of_its_changes_says(
    history: list[Change], rng: random.Random, at: int
) -> None:
    mixed = [*history, *history[: len(history) // 2]]
    rng.shuffle(mixed)
    book, changes = packed_book(mixed), set(history)
    assert len(book) == len(changes) and all_of(book) == sorted(changes, key=lambda each: each.number)
    assert book.digest() == packed_book(history).digest()
    for whose in (A, B):
        standing = book.effective_plan(whose, at)
        said = standing and (
            standing.entry.number if standing.entry else None,
            {each.number for each in standing.reservations},
            standing.since,
        )
        assert said == plain_standing(changes, whose, at)
    for each in history:
        assert book.get(each.number) == each


@st.composite
def dense_acts(draw: st.DrawFn) -> Act:
    """Of one customer, so that acts void each other often."""
    kind, at, number = draw(st.integers(0, 5)), draw(st.integers(0, 14)), f"{draw(st.integers(1, 9))}@n0"
    if kind < 3:
        return SetPlan(A, draw(st.sampled_from(["small", "large"])), at, draw(st.sampled_from([0, at + 6])))
    if kind == 3:
        return Reserve(A, 1.0, 2.0, at, at + draw(st.integers(1, 9)))
    if kind == 4:
        return Cancel(A, number, at)
    return Rollback(number, at, draw(st.sampled_from([None, A])))


@settings(max_examples=200)
@given(st.lists(dense_acts(), max_size=9), dense_acts(), st.integers(1, 10), st.integers(0, 12))
def test_what_is_forgotten_changes_nothing_from_the_horizon_on_whatever_comes_later(
    acts: list[Act], coming: Act, horizon: int, later: int
) -> None:
    history = {change(stamp, act) for stamp, act in enumerate(acts, 1)}
    book = packed_book(history)
    gone = forget(book, horizon)
    left = history - set(gone)
    assert set(all_of(book)) == left and len(book) == len(left)
    assert all(each.stamp < horizon and book.get(each.number) is None for each in gone)
    assert book.digest() == packed_book(left).digest()
    new = change(20, coming)
    with contextlib.suppress(ChangeRefused):
        book.check_admissible(new)
        history, left = {*history, new}, {*left, new}
    old, now = (plain_standing(some, A, horizon + later) for some in (history, left))
    assert (old[:2] if old else (None, set())) == (now[:2] if now else (None, set()))


@pytest.mark.parametrize(
    "last",
    [
        up(3, 5, until=50),
        change(3, Cancel(A, "2@n0", 50)),
        change(3, Rollback("1@n0", 50)),
        change(3, Rollback("1@n0", 50, A)),
        up(12, 0),
    ],
)
def test_an_entry_that_will_hold_again_is_not_forgotten(last: Change) -> None:
    """Its customer was on it, is on another for a long time now, and comes back to it when that ends."""
    history = [up(1, 0, "small"), up(2, 1, until=60), last]
    book = packed_book(history)
    assert forget(book, 10) == []
    assert all_of(book) == history


def test_a_rollback_of_all_stays_as_long_as_a_customer_needs_it() -> None:
    history = [up(1, 0), up(1, 0, customer=B, origin="n1"), change(2, Rollback("0@n0", 1))]
    pending = change(3, Cancel(A, "1@n0", 50))
    book = packed_book([*history, pending])
    assert forget(book, 10) == [history[1]]
    assert plan_of(book.effective_plan(A, 20)) == ""
    book = packed_book(history)
    assert len(forget(book, 10)) == 3


@settings(max_examples=60)
@given(histories())
def test_a_change_comes_back_from_its_record(history: list[Change]) -> None:
    for each in history:
        full = msgspec.structs.replace(each, note="why", key="order-1")
        assert change_of(record_of(full)) == full and len(record_of(full).body) < 60


class SameHash(tuple[int, str]):
    """A number whose hash is that of all others, and looks like an entry that is shifted by some bytes."""

    def __hash__(self) -> int:
        return 0x0101010101010101  # of which the index keeps 40 40 40 40


def test_a_number_is_found_though_hashes_meet() -> None:
    index, same = NumberIndex(), [SameHash((stamp, "n0")) for stamp in range(4)]
    for part, number in zip((0x4040, 7, 0x0040, 0x4040), same, strict=True):
        index.add(number, part)
    assert list(index.candidates(same[1])) == [0x4040, 7, 0x0040, 0x4040]
    index.discard(same[0], 0x4040)
    index.discard(same[3], 0x4040)
    assert list(index.candidates(same[3])) == [7, 0x0040]
    assert list(index.candidates((1, "n0"))) == []


# What is kept in memory.


def alive() -> int:
    gc.collect()
    return sum(type(each) in (Change, Record, SetPlan, Reserve) for each in gc.get_objects())


def test_no_object_per_change_stays_after_loading_and_making(tmp_path: Path) -> None:
    database = Database(tmp_path / "n0", "n0", "normal")
    records = DurableRecords(database)
    records.save([record_of(up(n, n, customer=customer(n % 700), until=NOW)) for n in range(1, 2001)])
    before = alive()
    book = load_book(records, RecordStore(), now=NOW)
    assert len(book) == 2000 and book.newest == ChangeNumber(2000, "n0")
    for n in range(2001, 2101):
        book.add(up(n, n, customer=customer(n)))
    assert book.effective_plan(customer(2), NOW) is not None
    assert alive() - before < 5
    database.close()


def test_a_lookup_reads_one_leaf_only(monkeypatch: pytest.MonkeyPatch) -> None:
    book = packed_book(up(n, n, customer=customer(n)) for n in range(1, 300))
    seen: list[str] = []
    versions = RecordStore.versions

    def counted(self: RecordStore, kind: str, key: str) -> list[Record]:
        seen.append(key)
        return versions(self, kind, key)

    monkeypatch.setattr(RecordStore, "versions", counted)
    contracts = PlanResolver(PLANS, book)
    for _ in range(3):
        assert contracts.plan_for(customer(7), 0, 10) is not None
        assert contracts.plan_for(B, 0, 10) is None  # that the book does not name it is remembered too
    assert seen == [customer(7), B]
    book.digest()
    assert len(seen) == 2


def test_times_to_come_are_known_again_after_a_restart(tmp_path: Path) -> None:
    database = Database(tmp_path / "n0", "n0", "normal")
    kept = [
        up(1, 10, until=30),
        up(2, 50),
        up(3, 40, customer=B),
        change(4, Rollback("1@n0", 60)),
        up(5, 1, customer=B),
    ]
    DurableRecords(database).save([record_of(each) for each in kept])
    contracts = PlanResolver(PLANS, load_book(DurableRecords(database), RecordStore(), now=20))
    seen = [(at, contracts.due(at)) for at in range(20, 70) if contracts.next_due() == at]
    assert seen == [(30, [A]), (40, [B]), (50, [A]), (60, [None])]
    database.close()


# The one way of a change.


@dataclass
class Disk:
    """A storage that refuses when told to."""

    problem: str = ""
    kept: list[Record] = field(default_factory=list)
    deleted: list[Record] = field(default_factory=list)
    horizon: int = 0

    async def save(self, records: Sequence[Record]) -> None:
        if self.problem:
            raise OSError(self.problem)
        self.kept += records

    async def forget(self, records: Sequence[Record], horizon: int) -> None:
        if self.problem:
            raise OSError(self.problem)
        self.deleted += records
        self.horizon = horizon


class FixedClock(Clock):
    """Unix time stands still until it is set."""

    def __init__(self) -> None:
        super().__init__()
        self.unix_now = NOW

    def unix_us(self) -> int:
        return self.unix_now


class Ingress:
    """A keeper, and what it told."""

    def __init__(self, storage: RecordStorage | None = None, book: PlanBook | None = None) -> None:
        self.clock = FixedClock()
        self.logged: list[str] = []
        self.changed: list[str] = []
        self.published: list[Record] = []
        self.keeper = PlanService(
            PlanResolver(PLANS, packed_book() if book is None else book),
            storage or NoStorage(),
            self.clock,
            "n0",
            "life",
            self.changed.extend,
            self.log,
            self.published.extend,
        )
        self.book = self.keeper.book

    def log(self, text: str, /, *, event: str, **fields: object) -> None:
        self.logged.append(event)

    def events(self, name: str) -> int:
        return self.logged.count(name)


def refusals(results: Sequence[RecordRefused | None]) -> list[Refusal | None]:
    return [None if each is None else each.refusal for each in results]


def set_plan(whose: str = A, plan: str = "large", at: int = NOW) -> SetPlan:
    return SetPlan(whose, plan, at)


def record(stamp: int, whose: str = A, plan: str = "large", origin: str = "n9") -> Record:
    return record_of(Change(stamp, origin, set_plan(whose, plan), "zoe"))


def run(main: Callable[[], Any]) -> None:
    trio.run(main)


def test_a_full_disk_leaves_nothing_in_force_and_tells_nobody() -> None:
    async def main() -> None:
        disk = Disk("database or disk is full")
        ingress = Ingress(disk)
        keeper, digest = ingress.keeper, ingress.book.digest()
        with pytest.raises(ChangeRefused, match="cannot be kept") as refused:
            await keeper.make(set_plan(), "ana", key="k1")
        assert refused.value.status == 507
        assert "cannot be kept" in await keeper.apply_changes([change_of(record(NOW - 2))])
        assert refusals(await keeper.apply_records([record(NOW - 1)])) == [Refusal.NO_DISK]
        assert ingress.book.digest() == digest and len(ingress.book) == 0
        assert ingress.changed == [] and ingress.published == [] and keeper.feed.newest == 0
        assert keeper.contracts.plan_for(A, 0, NOW) is None
        disk.problem = ""
        made = await keeper.make(set_plan(), "ana", key="k1")
        assert refusals(await keeper.apply_records([record(NOW - 1)])) == [None]
        assert [each.stamp for each in disk.kept] == [made.stamp, NOW - 1]
        assert ingress.changed == [A, A] and len(ingress.published) == 1

    run(main)


def test_what_is_made_put_or_learned_here_is_published_and_what_the_replicator_brings_is_not() -> None:
    async def main() -> None:
        ingress = Ingress()
        keeper = ingress.keeper
        made = await keeper.make(set_plan(), "ana", key="k1")
        assert await keeper.make(set_plan(), "ana", key="k1") == made
        await keeper.put(change_of(record(NOW - 1)))
        assert (
            await keeper.apply_changes([made, change_of(record(NOW - 2)), change_of(record(NOW - 3, B))])
            == ""
        )
        assert refusals(await keeper.apply_records([record(NOW - 4), record(NOW - 1)])) == [None, None]
        assert ingress.published == [record_of(made), record(NOW - 1), record(NOW - 2), record(NOW - 3, B)]
        assert len(ingress.book) == 5

    run(main)


@given(st.lists(st.integers(0, 30), max_size=40), st.integers(1, 9))
def test_the_first_few_of_a_stream_are_those_of_the_sorted_whole(keys: list[int], most: int) -> None:
    first: SmallestByKey[int] = SmallestByKey(most)
    for key in dict.fromkeys(keys):
        first.add(key, -key)
        assert len(first.found) <= 2 * most
    assert first.values() == [-key for key in sorted(set(keys))[:most]]
    assert first.more == (len(set(keys)) > most)


def test_records_are_refused_one_by_one_and_the_rest_is_taken() -> None:
    async def main() -> None:
        ingress = Ingress(disk := Disk())
        keeper = ingress.keeper
        held = record(NOW, B)
        await keeper.apply_records([held])
        poison = Record(PLAN_KIND, A, NOW + 1, "n9", "zoe", b"\x95\x09")
        ahead = record(NOW + 2 * HybridClock.MAX_AHEAD_US)
        backwards = record_of(Change(NOW + 4, "n9", SetPlan(A, "large", 9, 9), "zoe"))
        routed = Record("route", A, NOW + 5, "n9", "zoe", held.body)
        nobody = Record(PLAN_KIND, "", NOW + 6, "n9", "zoe", held.body)
        good = [record(NOW + 2), record(NOW + 3, customer(5))]
        offered = [poison, good[0], ahead, held, backwards, routed, nobody, good[1]]
        wanted = [Refusal.UNREADABLE, None, Refusal.CLOCK_AHEAD, None, *[Refusal.UNREADABLE] * 3, None]
        for _ in range(3):
            assert refusals(await keeper.apply_records(offered)) == wanted
        assert ingress.events("plan.refused") == 5  # each once
        assert disk.kept == [held, *good] and len(ingress.book) == 3
        assert ingress.changed == [B, A, customer(5)] and ingress.published == []
        ingress.clock.unix_now += 2 * HybridClock.MAX_AHEAD_US
        assert refusals(await keeper.apply_records([ahead])) == [None]

    run(main)


def test_a_body_that_would_be_kept_otherwise_than_it_came_is_refused() -> None:
    async def main() -> None:
        ingress = Ingress(disk := Disk())
        body = msgspec.msgpack.encode([2, "", "", 5, 1.0, NOW, NOW + SECOND])  # 5 where 5.0 is written here
        odd = Record(PLAN_KIND, A, NOW, "n9", "zoe", body)
        assert change_of(odd).act == Reserve(A, 5.0, 1.0, NOW, NOW + SECOND)
        assert refusals(await ingress.keeper.apply_records([odd])) == [Refusal.UNREADABLE]
        assert disk.kept == [] and len(ingress.book) == 0
        assert refusals(await ingress.keeper.apply_records([record_of(change_of(odd))])) == [None]

    run(main)


def test_two_records_of_one_identity_end_alike_everywhere() -> None:
    async def main() -> None:
        one, two = record(NOW, A, "large"), record(NOW, A, "small")
        winner, loser = (one, two) if one.mark() > two.mark() else (two, one)
        digests = set()
        for order in ([winner, loser], [loser, winner]):
            ingress = Ingress(disk := Disk())
            results = [refusals(await ingress.keeper.apply_records([each]))[0] for each in order]
            assert results == [None, Refusal.CONTRADICTION if order[0] is winner else None]
            assert all_of(ingress.book) == [change_of(winner)] and disk.kept[-1] == winner
            digests.add(ingress.book.digest())
            with pytest.raises(ChangeRefused) as refused:
                await ingress.keeper.put(change_of(loser))
            assert refused.value.status == 409
        assert len(digests) == 1

    run(main)


def test_at_the_bound_changes_are_refused_and_nothing_is_lost() -> None:
    async def main() -> None:
        ingress = Ingress(disk := Disk())
        keeper = ingress.keeper
        with mock.patch("gorsefork.plans.book.MAX_CHANGES", 5):
            offered = [record(NOW - n, customer(n)) for n in range(1, 8)]
            assert refusals(await keeper.apply_records(offered)) == [None] * 5 + [Refusal.NO_ROOM] * 2
            for refused_by in (
                keeper.make(set_plan(), "ana"),
                keeper.put(change_of(record(NOW - 20, customer(20)))),
            ):
                with pytest.raises(ChangeRefused, match="the book is full: 5 changes") as refused:
                    await refused_by
                assert refused.value.status == 507
            assert "full" in await keeper.apply_changes([change_of(offered[6])])
        assert len(ingress.book) == 5 and disk.kept == offered[:5]
        assert refusals(await keeper.apply_records(offered)) == [None] * 7
        with mock.patch("gorsefork.plans.book.MAX_CHANGES_PER_CUSTOMER", 3):
            many = [record(NOW - n, B) for n in range(30, 35)]
            assert refusals(await keeper.apply_records(many)) == [None] * 3 + [Refusal.NO_ROOM] * 2

    run(main)


def test_a_store_without_room_for_the_bytes_is_asked_before_the_disk() -> None:
    async def main() -> None:
        ingress = Ingress(disk := Disk(), packed_book(limits=Limits(size=LEAVES + 3 * 4700)))
        offered = [record(NOW - n, customer(n)) for n in range(1, 200)]
        results = refusals(await ingress.keeper.apply_records(offered))
        taken = results.count(None)
        assert 0 < taken < 199 and set(results[taken:]) == {Refusal.NO_ROOM}
        assert disk.kept == offered[:taken] and disk.deleted == [] and len(ingress.book) == taken

    run(main)


def test_what_the_store_refuses_after_the_disk_has_it_is_deleted_there_again() -> None:
    async def main() -> None:
        ingress = Ingress(disk := Disk(), packed_book(limits=Limits(leaf=2)))
        number = leaf_of(PLAN_KIND, A)
        same_leaf = [c for c in map(customer, range(60_000)) if leaf_of(PLAN_KIND, c) == number][:2]
        offered = [record(NOW - n, whose) for n, whose in enumerate([A, *same_leaf], 1)]
        assert refusals(await ingress.keeper.apply_records(offered)) == [None, None, Refusal.NO_ROOM]
        assert disk.deleted == [offered[2]] and len(ingress.book) == 2

    run(main)


def test_a_request_that_comes_again_makes_no_second_change_after_a_restart_too(tmp_path: Path) -> None:
    async def main() -> None:
        first = Ingress(disk := Disk())
        made = await first.keeper.make(set_plan(), "ana", key="k1")
        everyones = await first.keeper.make(Rollback(str(made.number), NOW), "ana", key="k2")
        database = Database(tmp_path / "n0", "n0", "normal")
        DurableRecords(database).save(disk.kept)
        again = Ingress(book=load_book(DurableRecords(database), RecordStore(), NOW))
        for keeper in (first.keeper, again.keeper):
            assert await keeper.make(set_plan(), "ana", key="k1") == made
            assert await keeper.make(everyones.act, "ana", key="k2") == everyones
            with pytest.raises(ChangeRefused, match="Idempotency-Key") as refused:
                await keeper.make(set_plan(plan="small"), "ana", key="k1")
            assert refused.value.status == 409
        database.close()

    run(main)


def test_the_keys_of_the_newest_changes_are_remembered_in_whatever_order_they_come() -> None:
    changes = [change(n, SetPlan(A, "large", n), key=f"k{n}") for n in range(1, 30)]
    with mock.patch.object(recent_keys, "MOST_KEYS", 8):
        for order in (changes, changes[::-1], sorted(changes, key=lambda each: each.stamp % 7)):
            book = packed_book(order)
            found = [book.find_by_key(f"k{n}") for n in range(1, 30)]
            assert found == [None] * 21 + changes[21:]
            assert len(book.keys.by_hash) == len(book.keys.oldest) == 8
    twice = [change(n, SetPlan(A, "large", n), key="k") for n in (1, 2)]
    assert packed_book(twice).find_by_key("k") == packed_book(twice[::-1]).find_by_key("k") == twice[1]


def test_many_changes_at_once_are_one_line_of_the_log() -> None:
    """Guards against a log that an ingress floods as it catches up."""

    async def main() -> None:
        ingress = Ingress()
        few = [record(n) for n in range(1, MAX_LOGGED_CHANGES + 1)]
        assert refusals(await ingress.keeper.apply_records(few)) == [None] * MAX_LOGGED_CHANGES
        assert ingress.events("plan.changed") == MAX_LOGGED_CHANGES and not ingress.events(
            "plan.many_changed"
        )
        many = [record(n, B) for n in range(1, MAX_LOGGED_CHANGES + 2)]
        assert refusals(await ingress.keeper.apply_records(many)) == [None] * (MAX_LOGGED_CHANGES + 1)
        assert (
            ingress.events("plan.changed") == MAX_LOGGED_CHANGES and ingress.events("plan.many_changed") == 1
        )

    run(main)


# Forgetting.


def test_a_day_after_its_retention_what_holds_no_more_is_forgotten_alike_everywhere() -> None:
    async def main() -> None:
        old = NOW - RETENTION_US - 2 * DAY
        changes = [
            Change(old, "n9", set_plan(at=old), "zoe"),
            Change(old + 1, "n9", set_plan(plan="small", at=old + 1), "zoe"),
            Change(old + 2, "n9", Reserve(B, 1.0, 1.0, old, old + 5), "zoe"),
            Change(NOW, "n9", set_plan(B), "zoe"),
        ]
        digests, later = set(), 0
        for disk in (Disk(), Disk()):
            ingress = Ingress(disk, packed_book(changes))
            ingress.clock.unix_now += later
            disk.problem = "full"
            await ingress.keeper.clean_up()
            assert len(ingress.book) == 4 and ingress.book.horizon == 0
            disk.problem = ""
            await ingress.keeper.clean_up()
            assert all_of(ingress.book) == [changes[1], changes[3]]
            assert disk.deleted == [record_of(changes[0]), record_of(changes[2])]
            assert disk.horizon == ingress.book.horizon == (NOW - RETENTION_US) // DAY * DAY
            digests.add(ingress.book.digest())
            assert refusals(await ingress.keeper.apply_records([record_of(changes[0])])) == [Refusal.TOO_OLD]
            with pytest.raises(ChangeRefused) as refused:
                await ingress.keeper.make(Rollback(str(changes[0].number), NOW), "ana")
            assert refused.value.status == 410
            later = 3600 * SECOND
        assert len(digests) == 1

    run(main)


class VirtualClock(FixedClock):
    """Unix time that goes on with trio's mock clock."""

    def unix_us(self) -> int:
        return NOW + round(trio.current_time() * SECOND)

    def from_unix_us(self, at: int) -> int:
        return at - NOW

    def trio_deadline(self, at: int) -> float:
        return at / SECOND


def test_the_book_is_tidied_a_while_after_the_start_and_at_the_beginning_of_each_day() -> None:
    async def main() -> None:
        ingress = Ingress()
        ingress.keeper.clock = clock = VirtualClock()
        done: list[int] = []

        async def tidy() -> None:
            done.append(clock.unix_us())
            if len(done) == 3:
                nursery.cancel_scope.cancel()

        ingress.keeper.clean_up = tidy  # type: ignore[method-assign]
        async with trio.open_nursery() as nursery:
            nursery.start_soon(ingress.keeper.run)
        midnight = (NOW // DAY + 1) * DAY
        assert done == [NOW + FIRST_CLEANUP_DELAY_US, midnight, midnight + DAY]

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


def test_a_rollback_of_all_is_told_to_every_customer_a_few_at_a_time() -> None:
    async def main() -> None:
        ingress = Ingress(book=packed_book(up(n, n, customer=customer(n)) for n in range(1, 400)))
        told: list[int] = []

        def count(names: Iterable[str]) -> None:
            names = list(names)
            told.append(len(names))
            ingress.changed.extend(names)

        ingress.keeper.terms_changed = count
        contracts = ingress.keeper.contracts
        before = contracts.plan_for(customer(9), 0, NOW)
        assert before is not None and before.name == "large"
        async with trio.open_nursery() as nursery:
            nursery.start_soon(ingress.keeper.run)
            await ingress.keeper.make(Rollback("1@n0", NOW), "ana")
            with trio.fail_after(5):
                while len(ingress.changed) < 399:
                    await trio.lowlevel.checkpoint()
            nursery.cancel_scope.cancel()
        assert sorted(ingress.changed) == [customer(n) for n in range(1, 400)] and max(told) < 8
        after = contracts.plan_for(customer(9), 0, NOW)
        assert after is not None and after.name == "small"  # the plan that the call names

    run(main)


# Peers of the version before.


def test_a_peer_of_the_version_before_gets_a_large_book_in_bounded_answers(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def main() -> None:
        monkeypatch.setattr(change_feed, "WALK_PAGE", 50)
        ingress, there = Ingress(), PlanBook()
        for n in range(1, 301):
            ingress.book.add(up(n, n, customer=customer(n)))
        ingress.book.add(change(301, Rollback("300@n0", 5)))
        keeper = ingress.keeper = PlanService(
            ingress.keeper.contracts,
            NoStorage(),
            ingress.clock,
            "n0",
            "life",
            lambda names: None,
            ingress.log,
        )
        follower, pages = FeedCursor("peer"), 0
        while len(there) < len(keeper.book) and pages < 20:
            page = await keeper.page(follower.life, follower.position, wait=0)
            assert len(page.changes) < 60 and len(page.life) <= 64
            for each in page.changes:
                there.add(each)
            follower.heard(page, now=0)
            pages += 1
            if pages == 2:  # made meanwhile, in a part that has been walked through
                first = next(c for c in map(customer, range(1, 60_000)) if leaf_of(PLAN_KIND, c) == 0)
                await keeper.make(set_plan(first), "ana")
        assert all_of(there) == all_of(keeper.book) and 5 < pages < 12
        last = await keeper.page(follower.life, follower.position, wait=0)
        assert (last.changes, last.life, last.position) == ((), "life", last.newest)
        for odd in ("life~", "life~x", "other~3", "~", "life~9999999"):
            page = await keeper.page(odd, 99_999, wait=0)  # an answer, and no failure
            assert page.life in ("life", "life~302") and page.position <= page.newest

    run(main)


# A folder of the format before.


def old_folder(folder: Path, changes: Sequence[Change] = (), body: bytes = b"") -> Path:
    folder.mkdir()
    sql = sqlite3.connect(folder / "state.db", isolation_level=None)
    sql.execute("PRAGMA journal_mode = WAL")
    for statement in FORMAT_1.split(";\n"):
        sql.execute(statement)
    rows = [(each.stamp, each.origin, msgspec.msgpack.encode(each)) for each in changes]
    sql.executemany("INSERT INTO changes VALUES (?, ?, ?)", rows + ([(9, "n0", body)] if body else []))
    sql.execute("INSERT INTO lives VALUES (5, 0, NULL)")
    sql.execute(f"INSERT INTO uses VALUES (5, 1, '{A}', 'large', 'look', 250000, 1)")
    sql.close()
    return folder


OLD = [
    change(1, SetPlan(A, "large", 5, 50), key="k1"),
    change(2, Reserve(B, 1.5, 2.0, 3, 9), origin="n1"),
    change(3, Cancel(A, "1@n0", 7)),
    change(4, Rollback("1@n0", 8, B)),
    change(5, Rollback("2@n1", 9)),
]


def format_of(folder: Path) -> int:
    sql = sqlite3.connect(folder / "state.db")
    version = int(sql.execute("PRAGMA user_version").fetchone()[0])
    sql.close()
    return version


def check_carried_over(folder: Path) -> None:
    database = Database(folder, "n0", "normal")
    book = load_book(DurableRecords(database), RecordStore(), now=NOW)
    assert all_of(book) == OLD and book.horizon == 7 and book.find_by_key("k1") == OLD[0]
    assert database.pragma("user_version") == FORMAT
    names = {row[0] for row in database.sql.execute("SELECT name FROM sqlite_schema WHERE type = 'table'")}
    assert names == {"meta", "records", "lives", "uses"}
    assert database.sql.execute("SELECT count(*) FROM uses").fetchone() == (1,)
    database.close()


class Killed(BaseException):
    """The process has ended here."""


@pytest.mark.parametrize("point", [*MIGRATION_POINTS, "open.created", "open.checked"])
def test_an_old_folder_is_carried_over_whole_though_killed_on_the_way(tmp_path: Path, point: str) -> None:
    folder = old_folder(tmp_path / "n0", OLD)

    def kill(at: str) -> None:
        if at == point:
            shutil.copytree(folder, tmp_path / "killed")
            raise Killed

    with pytest.raises(Killed):
        Database(folder, "n0", "normal", kill)
    check_carried_over(tmp_path / "killed")
    check_carried_over(folder)


def test_an_old_folder_stays_as_it_was_when_the_disk_is_full(tmp_path: Path) -> None:
    folder = old_folder(tmp_path / "n0", OLD)

    def full(at: str) -> None:
        if at == "migrate.written":
            raise sqlite3.OperationalError("database or disk is full")

    with pytest.raises(WriteFailed, match="full"):
        Database(folder, "n0", "normal", full)
    check_carried_over(folder)


def test_an_old_folder_that_is_anothers_or_cannot_be_read_is_left_alone(tmp_path: Path) -> None:
    folder = old_folder(tmp_path / "n0", OLD)
    with pytest.raises(InvalidState, match="belongs to ingress n0"):
        Database(folder, "n1", "normal")
    assert format_of(folder) == 1
    check_carried_over(folder)
    broken = old_folder(tmp_path / "broken", OLD, body=b"\xc1")
    for _ in (0, 1):
        with pytest.raises(InvalidState, match=r"^state\.folder: .*a change cannot be read"):
            Database(broken, "n0", "normal")
    sql = sqlite3.connect(broken / "state.db")
    assert sql.execute("SELECT count(*) FROM changes").fetchone() == (len(OLD) + 1,)
    sql.close()
    assert format_of(broken) == 1


@given(histories())
def test_a_store_that_is_put_back_leaf_by_leaf_is_the_one_that_was_added_to(history: list[Change]) -> None:
    added, loaded = RecordStore(), RecordStore()
    for each in history:
        added.add(record_of(each))
    for number in range(LEAVES):
        loaded.put_back(number, added.leaf(number))
    assert (loaded.leaves, loaded.digests) == (added.leaves, added.digests)
    assert (len(loaded), loaded.size, loaded.newest) == (len(added), added.size, added.newest)


def test_a_leaf_is_put_back_in_order_once_and_within_the_bounds() -> None:
    records, number = [record(1), record(2), record(3)], leaf_of(PLAN_KIND, A)
    store = RecordStore(Limits(records=3))
    for wrong in (records[::-1], [records[0], records[0]]):
        with pytest.raises(ValueError, match="order"):
            store.put_back(number, wrong)
    with pytest.raises(RecordRefused):
        store.put_back(number, [*records, record(4)])
    assert len(store) == 0
    store.put_back(number, records)
    with pytest.raises(ValueError, match=f"not of leaf {number}"):
        store.put_back(number, records)
    assert store.leaf(number) == records


def test_records_in_a_leaf_that_is_not_theirs_are_told(tmp_path: Path) -> None:
    database = Database(tmp_path / "n0", "n0", "normal")
    DurableRecords(database).save([record(1), record(2)])
    database.sql.execute("UPDATE records SET leaf = leaf + 1 WHERE stamp = 1")
    with pytest.raises(InvalidState, match="a change cannot be read"):
        load_book(DurableRecords(database), RecordStore(), now=1)
    database.close()


def test_forgetting_on_disk_deletes_those_records_and_no_other(tmp_path: Path) -> None:
    database = Database(tmp_path / "n0", "n0", "normal")
    records = DurableRecords(database)
    kept = [record(n, customer(n % 3)) for n in range(1, 10)]
    records.save(kept)
    records.forget([kept[0], kept[4], record(99)], horizon=5)
    left = [each for _, leaf in records.leaves(PLAN_KIND) for each in leaf]
    assert sorted(each.stamp for each in left) == [2, 3, 4, 6, 7, 8, 9] and records.horizon == 5
    database.close()
