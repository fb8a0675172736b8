"""State on disk: a kill at every step, torn and full disks, and folders that are not this ingress's."""

from __future__ import annotations

import contextlib
import shutil
import sqlite3
from collections.abc import Callable
from pathlib import Path

import pytest

from gorsefork.configuration.records import Record
from gorsefork.configuration.store import RecordStore
from gorsefork.life.plan_records import PLAN_KIND, load_book, record_of
from gorsefork.plans.changes import Change, SetPlan
from gorsefork.plans.expiry import ExpirySweep
from gorsefork.storage.database import FORMAT, Database, InvalidState, WriteFailed
from gorsefork.storage.faults import POINTS
from gorsefork.storage.records import DurableRecords
from gorsefork.storage.uses import DiskUsageStore
from gorsefork.usage.records import Use
from gorsefork.usage.store import UsageNotStored
from gorsefork.usage.verify import ReceivedUsage

CUSTOMER = "00000000b4d65521"
GROUPS = ((1, 3), (4, 4), (5, 9))  # first and last number of what is recorded together


class Killed(BaseException):
    """The process has ended here: nothing of it may tidy up, which the copy taken before shows."""


class KillAt:
    """Ends the program at the n-th time that a point is reached, and keeps the folder as a kill leaves it."""

    def __init__(self, folder: Path, point: str, occurrence: int) -> None:
        self.folder, self.point, self.left = folder, point, occurrence
        self.copy = folder.with_name(folder.name + "-killed")

    def __call__(self, point: str) -> None:
        if point == self.point:
            self.left -= 1
            if self.left == 0:
                shutil.copytree(self.folder, self.copy)
                raise Killed


def use(number: int) -> Use:
    return Use(number, CUSTOMER, "large", "look", number * 250_000, 1_000 + number)


def change(stamp: int) -> Change:
    return Change(stamp, "n0", SetPlan(CUSTOMER, f"plan-{stamp}", stamp), "ana")


def records_in(database: Database) -> list[Record]:
    return [record for _, leaf in DurableRecords(database).leaves(PLAN_KIND) for record in leaf]


def export(store: DiskUsageStore, ledger: ReceivedUsage, most: int = 2) -> None:
    while (batch := store.batch(most)) is not None:
        status, upto = ledger.take(batch)
        assert status == 200
        store.acknowledge(batch.life, upto, batch.closed and upto == batch.last)


class Day:
    """One life of a program: it records in groups, changes the book, exports, forgets, checkpoints, ends."""

    def __init__(self, ledger: ReceivedUsage) -> None:
        self.ledger = ledger
        self.kept: set[int] = set()  # what the program told a client of
        self.changes: set[int] = set()

    def run(self, folder: Path, fault: Callable[[str], None]) -> None:
        database = Database(folder, "n0", "normal", fault)
        try:
            store, records = DiskUsageStore(database, now=100), DurableRecords(database)
            for stamp, (first, last) in enumerate(GROUPS, 1):
                numbers = range(first, last + 1)
                store.append([use(number) for number in numbers])
                self.kept |= set(numbers)
                records.save([record_of(change(stamp))])
                self.changes.add(stamp)
                batch = store.batch(3)
                assert batch is not None
                _, upto = self.ledger.take(batch)
                store.acknowledge(batch.life, upto, False)
            store.probe()
            database.checkpoint()
            forgetting = ExpirySweep(book := load_book(records, RecordStore(), now=100), 3)
            for place in range(book.log.parts):
                forgetting.examine_part(place)
            gone = forgetting.finish()
            assert gone == [change(1)]
            records.forget([record_of(each) for each in gone], 3)
            self.changes.discard(1)
            store.end()
        finally:
            database.close()


def occurrences(folder: Path) -> dict[str, int]:
    seen = dict.fromkeys(POINTS, 0)

    def count(point: str) -> None:
        seen[point] += 1

    Day(ReceivedUsage()).run(folder, count)
    return seen


def test_a_kill_at_every_step_loses_nothing_and_doubles_nothing(tmp_path: Path) -> None:
    seen = occurrences(tmp_path / "whole")
    assert all(seen.values()), seen
    for point, times in seen.items():
        for occurrence in range(1, times + 1):
            folder = tmp_path / f"{point}-{occurrence}"
            ledger, kill = ReceivedUsage(), KillAt(folder, point, occurrence)
            day = Day(ledger)
            with pytest.raises(Killed):
                day.run(folder, kill)
            database = Database(kill.copy, "n0", "normal")
            store = DiskUsageStore(database, now=50)  # the clock has stepped back meanwhile
            unborn = point.startswith("open") or point in ("life.begun", "life.written")
            assert store.life == (50 if unborn else 101)
            export(store, ledger)
            first_life = next((life for life in ledger.lives() if life.life == 100), None)
            numbers = set(first_life.uses) if first_life else set()
            assert day.kept <= numbers <= set(range(1, 10)), (point, occurrence)
            if first_life is not None:
                assert first_life.whole and not first_life.contradictions and not first_life.missing
                assert all(each == use(number) for number, each in first_life.uses.items())
            stamps = {record.stamp for record in records_in(database)}
            assert day.changes <= stamps | {1}, (point, occurrence)
            store.end()
            export(store, ledger)
            assert database.sql.execute("SELECT count(*) FROM uses").fetchone()[0] == 0
            database.close()


def test_a_life_is_never_given_out_twice_though_the_clock_steps_back(tmp_path: Path) -> None:
    lives = []
    for now in (500, 400, 450, 2000):
        database = Database(tmp_path / "n0", "n0")
        store = DiskUsageStore(database, now)
        lives.append(store.life)
        store.append([use(1)])
        store.end()
        export(store, ReceivedUsage())  # nothing of that life is kept any more
        database.close()
    assert lives == sorted(set(lives))


def test_a_log_torn_anywhere_leaves_whole_groups(tmp_path: Path) -> None:
    folder = tmp_path / "n0"
    database = Database(folder, "n0", "normal")
    store = DiskUsageStore(database, now=100)
    for first, last in GROUPS:
        store.append([use(number) for number in range(first, last + 1)])
    shutil.copytree(folder, tmp_path / "crashed")
    database.close()
    log = (tmp_path / "crashed" / "state.db-wal").read_bytes()
    ends = {0, *(last for _, last in GROUPS)}
    seen = set()
    for length in range(0, len(log) + 1, 1021):
        torn = tmp_path / f"torn-{length}"
        shutil.copytree(tmp_path / "crashed", torn)
        (torn / "state.db-wal").write_bytes(log[:length])
        (torn / "state.db-shm").unlink(missing_ok=True)
        again = Database(torn, "n0", "normal")
        count = again.sql.execute("SELECT count(*) FROM uses").fetchone()[0]
        assert count in ends, length
        seen.add(count)
        again.close()
    assert len(seen) > 2


def test_a_full_disk_takes_nothing_half_and_goes_on_when_there_is_room(tmp_path: Path) -> None:
    database = Database(tmp_path / "n0", "n0")
    store = DiskUsageStore(database, now=100)
    pages = database.pragma("page_count")
    database.sql.execute(f"PRAGMA max_page_count = {pages + 2}")
    number = 1
    with contextlib.suppress(UsageNotStored):
        while True:
            store.append([use(n) for n in range(number, number + 50)])
            number += 50
    assert number > 1 and store.waiting() == number - 1
    with pytest.raises(UsageNotStored):
        store.append([use(n) for n in range(number, number + 200)])
    with pytest.raises(WriteFailed):
        DurableRecords(database).save([record_of(change(n)) for n in range(1, 500)])
    database.sql.execute("PRAGMA max_page_count = 100000")
    store.append([use(number)])
    ledger = ReceivedUsage()
    export(store, ledger, most=70)
    assert set(ledger.lives()[0].uses) == set(range(1, number + 1))
    assert records_in(database) == []
    database.close()


class TestRefused:
    def opened(self, folder: Path, ingress: str = "n0") -> str:
        with pytest.raises(InvalidState, match=r"^state\.folder: ") as refused:
            Database(folder, ingress)
        return str(refused.value)

    def made(self, folder: Path) -> Path:
        Database(folder, "n0").close()
        return folder / "state.db"

    def test_another_ingresss_folder_either_way(self, tmp_path: Path) -> None:
        for owner, other in (("n0", "n1"), ("n1", "n0")):
            folder = tmp_path / owner
            Database(folder, owner).close()
            assert f"belongs to ingress {owner}, and this is {other}" in self.opened(folder, other)
            Database(folder, owner).close()  # and nothing of it was touched

    def test_a_folder_in_use(self, tmp_path: Path) -> None:
        first = Database(tmp_path / "n0", "n0")
        assert "in use" in self.opened(tmp_path / "n0")
        first.close()
        Database(tmp_path / "n0", "n0").close()

    def test_a_newer_format(self, tmp_path: Path) -> None:
        file = self.made(tmp_path / "n0")
        sql = sqlite3.connect(file)
        sql.execute(f"PRAGMA user_version = {FORMAT + 1}")
        sql.close()
        before = file.read_bytes()
        assert "newer version" in self.opened(tmp_path / "n0")
        assert file.read_bytes() == before

    def test_somebody_elses_database(self, tmp_path: Path) -> None:
        (tmp_path / "n0").mkdir()
        sql = sqlite3.connect(tmp_path / "n0" / "state.db")
        sql.execute("CREATE TABLE theirs (x)")
        sql.commit()
        sql.close()
        assert "no state of this program" in self.opened(tmp_path / "n0")

    def test_noise_and_a_damaged_page(self, tmp_path: Path) -> None:
        (tmp_path / "n0").mkdir()
        (tmp_path / "n0" / "state.db").write_bytes(b"noise" * 2000)
        assert "cannot be read" in self.opened(tmp_path / "n0")
        database = Database(tmp_path / "n1", "n0")
        DiskUsageStore(database, 1).append([use(n) for n in range(1, 2000)])
        database.checkpoint()
        database.close()
        file = tmp_path / "n1" / "state.db"
        data = bytearray(file.read_bytes())
        data[4096 * 8 : 4096 * 12] = b"\xff" * (4096 * 4)
        file.write_bytes(data)
        assert "move it away" in self.opened(tmp_path / "n1")

    def test_a_path_that_is_no_folder(self, tmp_path: Path) -> None:
        (tmp_path / "file").write_text("")
        self.opened(tmp_path / "file")
        self.opened(tmp_path / "missing" / "n0")

    def test_a_change_that_cannot_be_read(self, tmp_path: Path) -> None:
        database = Database(tmp_path / "n0", "n0")
        database.sql.execute(f"INSERT INTO records VALUES (1, 'plan', '{CUSTOMER}', 1, 'n0', 'ana', x'c1')")
        with pytest.raises(InvalidState, match="a change cannot be read"):
            load_book(DurableRecords(database), RecordStore(), now=1)
        database.close()
