"""Plan changes as records of kind ``plan``: the plan book's log over the store that is replicated."""

from __future__ import annotations

from collections.abc import Iterable

from gorsefork.configuration.records import MAX_BODY_BYTES, Record, RecordRefused, Refusal
from gorsefork.configuration.store import LEAVES, RecordStore, leaf_of
from gorsefork.plans.bodies import UnreadableBody, decode_body, decode_change, encode_body
from gorsefork.plans.book import PlanBook
from gorsefork.plans.changes import Change, ChangeNumber, ChangeRefused
from gorsefork.plans.number_index import NumberIndex
from gorsefork.storage.records import DurableRecords

PLAN_KIND = "plan"
MAX_RECORD_BYTES = MAX_BODY_BYTES + 512  # bytes of a record


def record_of(change: Change) -> Record:
    """A change as it is kept and replicated. The key is its customer, or empty for a rollback of all."""
    return Record(
        PLAN_KIND, change.customer or "", change.stamp, change.origin, change.author, encode_body(change)
    )


def change_of(record: Record) -> Change:
    """``RecordRefused`` (UNREADABLE) for a record that is no change to this version of the program."""
    try:
        if record.kind != PLAN_KIND:
            raise UnreadableBody(f"kind {record.kind}")
        return decode_change(record.key, record.stamp, record.origin, record.author, record.body)
    except UnreadableBody as error:
        raise RecordRefused(
            Refusal.UNREADABLE, f"{record.kind} {record.key} {record.stamp}@{record.origin}: {error}"
        ) from None


def canonical_change_of(record: Record) -> Change:
    """The same for what others send: refused too if this ingress would write its body otherwise.

    Or it would hold a record of another digest than its sender, and the two would never agree.
    """
    change = change_of(record)
    if encode_body(change) != record.body:
        raise RecordRefused(
            Refusal.UNREADABLE, f"{record.key} {record.stamp}@{record.origin}: not in its one form"
        )
    return change


class PlanRecords:
    """A ``ChangeLog``. The store keeps records packed; changes are made from them when asked for.

    Only rollbacks of all customers are kept as objects: they concern every question.
    """

    parts = LEAVES

    def __init__(self, store: RecordStore) -> None:
        self.store = store
        self.numbers = NumberIndex()
        self.changes_for_all: list[Change] = []
        self.count = 0

    def __len__(self) -> int:
        return self.count

    def get(self, number: ChangeNumber) -> Change | None:
        for leaf in self.numbers.candidates(number):
            for record in self.store.leaf(leaf):
                if ChangeNumber(*record.version) == number and record.kind == PLAN_KIND:
                    return change_of(record)
        return None

    def of_customer(self, customer: str | None) -> list[Change]:
        if customer is None:
            return list(self.changes_for_all)
        return [change_of(record) for record in self.store.versions(PLAN_KIND, customer)]

    def part(self, place: int) -> list[Change]:
        return [change_of(each) for each in self.store.leaf(place) if each.kind == PLAN_KIND and each.key]

    def add(self, change: Change) -> bool:
        record = record_of(change)
        replaced = self.store.at_identity(record)
        try:
            if not self.store.add(record):
                return False
        except RecordRefused as refused:
            raise ChangeRefused(
                str(refused), 409 if refused.refusal is Refusal.CONTRADICTION else 507
            ) from None
        if replaced is None:
            self.index(record, leaf_of(PLAN_KIND, record.key))
        if record.key == "":
            self.reload_changes_for_all()
        return True

    def has_room(self, more: int) -> bool:
        limits = self.store.limits
        return (
            len(self.store) + more <= limits.records
            and self.store.size + more * MAX_RECORD_BYTES <= limits.size
        )

    def index(self, record: Record, leaf: int) -> None:
        self.numbers.add((record.stamp, record.origin), leaf)
        self.count += 1

    def reload_changes_for_all(self) -> None:
        self.changes_for_all = [change_of(record) for record in self.store.versions(PLAN_KIND, "")]

    def discard(self, changes: Iterable[Change]) -> None:
        records = [record_of(change) for change in changes]
        self.count -= self.store.discard(records)
        for record in records:
            self.numbers.discard((record.stamp, record.origin), leaf_of(PLAN_KIND, record.key))
        self.reload_changes_for_all()

    def digest(self) -> str:
        return f"{self.count}-{self.store.digest().hex()}"


def load_book(durable: DurableRecords, store: RecordStore, now: int) -> PlanBook:
    """The plan book of what was kept, read leaf by leaf so that no object per change stays.

    ``now``: microseconds of Unix time. ``InvalidState`` for a record that cannot be read.
    """
    log = PlanRecords(store)
    book = PlanBook(log, durable.horizon)
    try:
        for leaf, records in durable.leaves():
            store.put_back(leaf, records)
            for record in records:
                if record.kind != PLAN_KIND:
                    continue
                log.index(record, leaf)
                body = decode_body(record.key, record.body)
                if body.key or body.latest() > now:
                    book.index_loaded(change_of(record), now)
    except (ValueError, RecordRefused) as error:
        raise durable.unreadable(str(error)) from None
    book.newest = ChangeNumber(*store.newest) if len(store) else None
    log.reload_changes_for_all()
    return book
