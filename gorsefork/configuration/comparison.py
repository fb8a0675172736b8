"""One comparison with one peer: from the digest of all, by ranges, to the records that one of both lacks.

The side that began asks, one request at a time; each step is bounded. What a step leaves undone is done in
the next, and what a whole comparison leaves undone is found by the one that follows.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence

from gorsefork.configuration.intake import place_of
from gorsefork.configuration.messages import (
    AnyMessage,
    LeafMarks,
    LeavesWanted,
    Offer,
    Place,
    RangeDigests,
    RangesWanted,
    Records,
    RecordsWanted,
    Summary,
    as_records,
    join_marks,
    split_marks,
)
from gorsefork.configuration.records import MARK_BYTES, Record
from gorsefork.configuration.store import FAN_OUT, LEVELS, Prefix, RecordStore, leaf_number

STEP_RANGES = 64  # asked for in one request
STEP_LEAVES = 64
STEP_RECORDS = 256
STEP_BYTES = 96 << 10  # of records or of marks, in one message
MOST_STEPS = 64  # of one comparison

ROOT: Prefix = ()


def root_digests(store: RecordStore) -> RangeDigests:
    return RangeDigests(ROOT, list(store.range_digests(ROOT)))


def records_at(store: RecordStore, places: Iterable[Place]) -> list[Record]:
    """The records in these places, as far as they are held and fit into one message."""
    by_leaf: dict[int, set[int]] = {}
    for place in places:
        by_leaf.setdefault(place.leaf, set()).add(place.mark)
    found: list[Record] = []
    size = 0
    for leaf, marks in by_leaf.items():
        for record in store.marked(leaf, marks):
            size += len(record.body) + len(record.key) + 64
            if (found and size > STEP_BYTES) or len(found) >= STEP_RECORDS:
                return found
            found.append(record)
    return found


def leaf_marks(store: RecordStore, leaves: Iterable[int]) -> list[LeafMarks]:
    """The marks in these leaves, as far as they fit into one answer; of one leaf at the least."""
    found: list[LeafMarks] = []
    size = 0
    for leaf in leaves:
        marks = join_marks(store.marks(leaf))
        size += len(marks)
        if found and size > STEP_BYTES:
            break
        found.append(LeafMarks(leaf, marks))
    return found


class Comparison:
    """The asking side. ``lacking`` picks those places whose records are to be asked for now."""

    def __init__(
        self, store: RecordStore, peer: str, lacking: Callable[[Iterable[Place]], list[Place]]
    ) -> None:
        self.store, self.peer, self.lacking = store, peer, lacking
        self.steps = 0
        self.unfinished = False  # it ended at its bound on steps
        self.learned = 0  # records that were new here
        self.root: RangeDigests | None = None  # the peer's, to be looked at once what came last is exchanged
        self.prefixes: list[Prefix] = []
        self.leaves: list[int] = []
        self.to_ask: list[Place] = []
        self.to_offer: list[Place] = []
        self.to_send: list[Place] = []
        self.asked: set[Place] = set()
        self.asked_leaves: list[int] = []

    def first(self, recent: Sequence[Place]) -> list[AnyMessage]:
        store = self.store
        return [Summary(store.digest(), len(store), store.horizon, list(recent))]

    def next(self) -> list[AnyMessage]:
        """The next request; none: there is nothing left, or this has gone on for long enough."""
        self.steps += 1
        if self.steps > MOST_STEPS:
            self.unfinished = True
            return []
        self.look_at_root()
        messages: list[AnyMessage] = []
        if self.to_send:
            messages.append(self.some_records())
        if self.to_ask:
            some, self.to_ask = self.to_ask[:STEP_RECORDS], self.to_ask[STEP_RECORDS:]
            self.asked = set(some)
            messages.append(RecordsWanted(some))
        if self.to_offer:
            some, self.to_offer = self.to_offer[:STEP_RECORDS], self.to_offer[STEP_RECORDS:]
            messages.append(Offer(some))
        if self.leaves:
            self.asked_leaves, self.leaves = self.leaves[:STEP_LEAVES], self.leaves[STEP_LEAVES:]
            messages.append(LeavesWanted(self.asked_leaves))
        if self.prefixes:
            ranges, self.prefixes = self.prefixes[:STEP_RANGES], self.prefixes[STEP_RANGES:]
            messages.append(RangesWanted(ranges))
        return messages

    def look_at_root(self) -> None:
        """Only once what both learned last has been exchanged: that is mostly the whole difference."""
        if self.root is not None and not (self.to_send or self.to_ask):
            root, self.root = self.root, None
            self.descend(root)

    def some_records(self) -> Records:
        records = records_at(self.store, self.to_send[:STEP_RECORDS])
        sent = {place_of(record) for record in records}
        if self.root is not None:
            self.root = with_marks(self.root, sent)
        # Where none is held any more, the whole step is over: nothing here waits for ever.
        rest = [place for place in self.to_send[:STEP_RECORDS] if place not in sent] if sent else []
        self.to_send = rest + self.to_send[STEP_RECORDS:]
        return as_records(records, self.store.horizon)

    # What the peer answered

    def take_summary(self, summary: Summary) -> None:
        self.ask_for(summary.recent)

    def take_ranges(self, ranges: RangeDigests) -> None:
        if ranges.prefix == ROOT and self.steps == 0:
            self.root = ranges
        else:
            self.descend(ranges)

    def descend(self, ranges: RangeDigests) -> None:
        mine = self.store.range_digests(ranges.prefix)
        for digit, (here, there) in enumerate(zip(mine, ranges.digests, strict=True)):
            if here == there:
                continue
            prefix = (*ranges.prefix, digit)
            if len(prefix) == LEVELS:
                self.leaves.append(leaf_number(prefix))
            else:
                self.prefixes.append(prefix)

    def take_leaf(self, leaf: LeafMarks) -> None:
        if leaf.leaf not in self.asked_leaves:
            return
        self.asked_leaves.remove(leaf.leaf)
        mine, theirs = set(self.store.marks(leaf.leaf)), set(split_marks(leaf.marks))
        self.ask_for(Place(leaf.leaf, mark) for mark in sorted(theirs - mine))
        self.to_offer += [Place(leaf.leaf, mark) for mark in sorted(mine - theirs)]

    def leaves_answered(self) -> None:
        """Leaves that did not fit into the answer are asked for again, if any did."""
        if len(self.asked_leaves) < STEP_LEAVES:
            self.leaves = self.asked_leaves + self.leaves
        self.asked_leaves = []

    def ask_for(self, places: Iterable[Place]) -> None:
        self.to_ask += self.lacking(places)

    def take_wanted(self, places: Iterable[Place]) -> None:
        self.to_send += places

    def records_answered(self, came: Iterable[Record]) -> set[Place]:
        """What was asked for and did not come: asked for again if anything came, else returned."""
        asked, self.asked = self.asked, set()
        missing = asked - {place_of(record) for record in came}
        if len(missing) < len(asked):
            self.to_ask = sorted(missing) + self.to_ask
            return set()
        return missing


def with_marks(root: RangeDigests, places: Iterable[Place]) -> RangeDigests:
    """A peer's digests as they are once it has taken these records in too."""
    digests = [int.from_bytes(digest, "big") for digest in root.digests]
    for place in places:
        digests[place.leaf // FAN_OUT ** (LEVELS - 1)] ^= place.mark
    return RangeDigests(ROOT, [digest.to_bytes(MARK_BYTES, "big") for digest in digests])
