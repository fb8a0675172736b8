"""What peers send, on its way to the owner of its kind, which waits for the disk; the replicator does not."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Sequence

import trio

from gorsefork.configuration.messages import AnyMessage, Records, read_records
from gorsefork.configuration.records import Record, RecordRefused, Refusal
from gorsefork.configuration.snapshot import Snapshot
from gorsefork.configuration.store import RecordStore

RECORDS_PER_INSTALL_STEP = 256  # records of a snapshot: some 20 ms

ApplyRecords = Callable[[Sequence[Record]], Awaitable[list[RecordRefused | None]]]


class RecordIntake:
    """``apply_records`` checks records, keeps them on disk, puts them in force, and says which it refused."""

    def __init__(self, store: RecordStore, take_records: ApplyRecords) -> None:
        self.store, self.apply_records = store, take_records
        self.refusals: dict[int, RecordRefused] = {}  # of the last message, by mark

    async def take(self, messages: Sequence[AnyMessage]) -> list[Record]:
        """All records of a message that are not held; those of them that were taken."""
        lacking: dict[int, Record] = {}
        for message in messages:
            if isinstance(message, Records):
                records, _ = read_records(message)
                lacking |= {record.mark(): record for record in records if not self.store.holds(record)}
        return await self.apply_missing(lacking)

    async def apply_missing(self, lacking: dict[int, Record]) -> list[Record]:
        """By mark. What is refused is remembered until the next call."""
        results = await self.apply_records(list(lacking.values())) if lacking else []
        self.refusals, taken = {}, []
        for (mark, record), refused in zip(lacking.items(), results, strict=True):
            if refused is None:
                taken.append(record)
            else:
                self.refusals[mark] = refused
        return taken

    async def install(self, snapshot: Snapshot) -> int:
        """A snapshot that was checked whole; how many of its records were taken. Others run meanwhile.

        A kill half-way leaves whole records; the next start finds the rest by comparison.
        """
        taken, lacking = 0, dict[int, Record]()
        for _, records in snapshot.leaves():
            lacking |= {record.mark(): record for record in records if not self.store.holds(record)}
            if len(lacking) >= RECORDS_PER_INSTALL_STEP:
                taken += len(await self.apply_missing(lacking))
                lacking = {}
                await trio.lowlevel.checkpoint()
        return taken + len(await self.apply_missing(lacking))

    def refusals_of(self, records: Sequence[Record]) -> list[RecordRefused | None]:
        """For the replicator: why each of these was refused by the last ``take``.

        To be asked before anything else runs.
        """
        unknown = RecordRefused(Refusal.NO_DISK, "it was not kept yet")
        return [self.refusals.get(record.mark(), unknown) for record in records]
