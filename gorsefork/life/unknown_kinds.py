"""Records of kinds that this version of the program does not know: kept and replicated, with no effect.

Guards against a fleet of two versions that never agrees: what the later one makes would be refused here,
every comparison would find it again, and no ingress of this version would pass it on or have it once it is
updated itself.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence

from gorsefork.configuration.records import Record, RecordRefused, Refusal
from gorsefork.configuration.store import RecordStore
from gorsefork.life.plan_service import RecordStorage
from gorsefork.life.record_intake import ApplyRecords
from gorsefork.memory.clock import Clock
from gorsefork.memory.ports import Log
from gorsefork.plans.changes import HybridClock


class UnknownRecords:
    """``horizon``: microseconds of Unix time up to which this ingress has forgotten."""

    def __init__(
        self, store: RecordStore, storage: RecordStorage, clock: Clock, horizon: Callable[[], int], log: Log
    ) -> None:
        self.store, self.storage, self.clock = store, storage, clock
        self.horizon, self.log = horizon, log

    async def apply_records(self, records: Sequence[Record]) -> list[RecordRefused | None]:
        """Keep on disk, then in the store; for each ``None`` if it is held now.

        The disk takes all or none. What the store then refuses is deleted from the disk again.
        """
        results = [self.refusal(record) for record in records]
        fresh = [record for record, refused in zip(records, results, strict=True) if refused is None]
        if not fresh:
            return results
        try:
            await self.storage.save(fresh)
        except OSError as error:
            not_kept = RecordRefused(Refusal.NO_DISK, str(error))
            return [not_kept if refused is None else refused for refused in results]
        outcomes = [
            outcome if isinstance(outcome, RecordRefused) else None for outcome in self.store.add_all(fresh)
        ]
        if left := [record for record, refused in zip(fresh, outcomes, strict=True) if refused is not None]:
            await self.delete_again(left)
        remaining = iter(outcomes)
        return [next(remaining) if refused is None else refused for refused in results]

    def refusal(self, record: Record) -> RecordRefused | None:
        """What can be said of a record before it is kept."""
        ahead = record.stamp - self.clock.unix_us()
        if ahead > HybridClock.MAX_AHEAD_US:
            return RecordRefused(Refusal.CLOCK_AHEAD, f"{record.kind} {record.key}")
        held = self.store.at_identity(record)
        if held is not None and held.mark() > record.mark():
            return RecordRefused(Refusal.CONTRADICTION, f"{record.kind} {record.key}")
        return None

    async def delete_again(self, records: Sequence[Record]) -> None:
        try:
            await self.storage.forget(records, self.horizon())
        except OSError as error:
            self.log(
                f"{len(records)} refused records stay on disk: {error}",
                event="configuration.left_on_disk",
                reason=str(error),
            )


class RecordsByKind:
    """Takes each record to the owner of its kind, and those of all other kinds to ``others``."""

    def __init__(self, owners: Mapping[str, ApplyRecords], others: ApplyRecords) -> None:
        self.owners, self.others = owners, others

    async def apply_records(self, records: Sequence[Record]) -> list[RecordRefused | None]:
        """In the order of the records: ``None`` where one was taken."""
        results: list[RecordRefused | None] = [None] * len(records)
        places: dict[str, list[int]] = {}
        for place, record in enumerate(records):
            places.setdefault(record.kind, []).append(place)
        for kind, some in places.items():
            take = self.owners.get(kind, self.others)
            outcomes = await take([records[place] for place in some])
            for place, outcome in zip(some, outcomes, strict=True):
                results[place] = outcome
        return results
