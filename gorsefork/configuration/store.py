"""All records of one ingress, packed by leaf, with digests by range.

A leaf holds every version of the keys whose hashes share their first 12 bits, in order of identity, as one
``bytes``. So two stores with the same records have the same leaves byte for byte, and a leaf taken at some
time stays as it was. The digest of a leaf is the exclusive or of its records' marks, that of a range the
exclusive or of its 16 children.

Two records with one identity and another content contradict each other. The one with the greater mark holds,
at every ingress and in whatever order they come; ``contradictions`` keeps the last of them for operators.
"""

from __future__ import annotations

from array import array
from bisect import bisect_left
from collections import defaultdict, deque
from collections.abc import Iterable, Iterator, Sequence
from hashlib import blake2s
from typing import NamedTuple

import msgspec

from gorsefork.configuration.records import MARK_BYTES, Record, RecordRefused, Refusal, Version

FAN_OUT = 16  # children of a range
LEVELS = 3  # of ranges above the leaves
LEAVES: int = FAN_OUT**LEVELS
LEAF_SHIFT = 4  # 12 of the first 16 bits of a key's hash name its leaf

MOST_RECORDS = 250_000
MOST_BYTES = 48 << 20  # packed
MOST_VERSIONS = 500  # of one key
MOST_LEAF = 8_192  # records of one leaf, so that the marks of a leaf fit into one message
MOST_CONTRADICTIONS = 64  # the last ones, kept for operators

Prefix = tuple[int, ...]
Fields = tuple[str, str, int, str, str, bytes]  # a record's, in order

EMPTY = b"\x90"  # msgpack: an array of none
# The first node of each level in the array of digests: the root, 16 ranges, 256 ranges, the leaves.
LEVEL_STARTS: tuple[int, ...] = tuple(
    sum(FAN_OUT**above for above in range(level)) for level in range(LEVELS + 1)
)

pack = msgspec.msgpack.Encoder().encode
unpack = msgspec.msgpack.Decoder(list[Fields]).decode


class Contradiction(NamedTuple):
    """Two records with one identity."""

    kept: Record
    dropped: Record


class Limits(NamedTuple):
    """What a store holds at the most."""

    records: int = MOST_RECORDS
    size: int = MOST_BYTES
    versions: int = MOST_VERSIONS
    leaf: int = MOST_LEAF


def leaf_of(kind: str, key: str) -> int:
    """The number of the leaf, 0 to 4,095, in which all versions of a key lie."""
    digest = blake2s(f"{kind}\0{key}".encode(), digest_size=2).digest()
    return int.from_bytes(digest, "big") >> LEAF_SHIFT


def node_of(prefix: Prefix) -> int:
    """The place of a range, named by 0 to 3 digits of base 16, in the array of digests."""
    number = 0
    for digit in prefix:
        number = number * FAN_OUT + digit
    return LEVEL_STARTS[len(prefix)] + number


def leaf_number(prefix: Prefix) -> int:
    """The leaf that three digits name."""
    return node_of(prefix) - LEVEL_STARTS[LEVELS]


def fields(record: Record) -> Fields:
    return record.kind, record.key, record.stamp, record.origin, record.author, record.body


def mark_of(found: Fields) -> int:
    return Record(*found).mark()


class RecordStore:
    """Every record that this ingress holds. What it keeps is bounded by ``limits``.

    ``horizon``: microseconds of Unix time before which records that hold no more have been forgotten.
    """

    def __init__(self, limits: Limits | None = None) -> None:
        self.limits = limits or Limits()
        self.leaves: list[bytes] = [EMPTY] * LEAVES
        self.digests = array("Q", bytes(MARK_BYTES * (LEVEL_STARTS[LEVELS] + LEAVES)))
        self.count = 0
        self.size = 0  # bytes packed
        self.horizon = 0
        self.newest = Version(0, "")
        self.contradictions: deque[Contradiction] = deque(maxlen=MOST_CONTRADICTIONS)
        self.contradicted = 0  # how many there have been

    def __len__(self) -> int:
        return self.count

    # Reading

    def leaf(self, number: int) -> list[Record]:
        """The records of a leaf in order of identity."""
        return [Record(*found) for found in unpack(self.leaves[number])]

    def versions(self, kind: str, key: str) -> list[Record]:
        """All versions of a key that are held, in order."""
        found = unpack(self.leaves[leaf_of(kind, key)])
        return [Record(*each) for each in found if each[0] == kind and each[1] == key]

    def keys(self, kind: str) -> Iterator[str]:
        """Each key of a kind once, in no stated order. Decodes leaf by leaf, and so sees later changes."""
        for number in range(LEAVES):
            last = None
            for found in unpack(self.leaves[number]):
                if found[0] == kind and found[1] != last:
                    last = found[1]
                    yield last

    def holds(self, record: Record) -> bool:
        """Whether this very record is held, with the same content."""
        held = self.at_identity(record)
        return held == record

    def at_identity(self, record: Record) -> Record | None:
        """The record that is held under a record's identity."""
        found = unpack(self.leaves[leaf_of(record.kind, record.key)])
        place = bisect_left(found, record.identity, key=lambda each: each[:4])
        if place < len(found) and found[place][:4] == record.identity:
            return Record(*found[place])
        return None

    def marks(self, number: int) -> list[int]:
        """The marks of a leaf's records in order of identity."""
        return [mark_of(found) for found in unpack(self.leaves[number])]

    def marked(self, number: int, marks: Iterable[int]) -> list[Record]:
        """The records of a leaf that have these marks, as far as they are held."""
        wanted = set(marks)
        return [record for record in self.leaf(number) if record.mark() in wanted]

    def digest(self) -> bytes:
        """Of all records, 8 bytes: equal where two stores hold the same."""
        return self.digests[0].to_bytes(MARK_BYTES, "big")

    def leaf_digest(self, number: int) -> int:
        return self.digests[LEVEL_STARTS[LEVELS] + number]

    def range_digests(self, prefix: Prefix) -> tuple[bytes, ...]:
        """The digests of a range's 16 children. ``prefix`` has 0 to 2 digits of base 16."""
        if len(prefix) >= LEVELS or not all(0 <= digit < FAN_OUT for digit in prefix):
            raise ValueError(f"no range has the prefix {prefix}")
        first = node_of((*prefix, 0))
        return tuple(mark.to_bytes(MARK_BYTES, "big") for mark in self.digests[first : first + FAN_OUT])

    # Changing

    def add(self, record: Record) -> bool:
        """Take a record in. False: it is held already.

        ``RecordRefused``: NO_ROOM beyond a bound; CONTRADICTION where the one held has the greater mark.
        A record that contradicts the one held and has the greater mark takes its place (True).
        """
        return self._add_to_leaf(leaf_of(record.kind, record.key), [record])[0] is True

    def add_all(self, records: Sequence[Record]) -> list[bool | RecordRefused]:
        """The same for many, each leaf packed once; what is refused is in the result, in order."""
        by_leaf: dict[int, list[int]] = defaultdict(list)
        for place, record in enumerate(records):
            by_leaf[leaf_of(record.kind, record.key)].append(place)
        results: list[bool | RecordRefused] = [False] * len(records)
        for number, places in by_leaf.items():
            outcome = self._add_to_leaf(number, [records[place] for place in places], raising=False)
            for place, result in zip(places, outcome, strict=True):
                results[place] = result
        return results

    def _add_to_leaf(
        self, number: int, records: Sequence[Record], raising: bool = True
    ) -> list[bool | RecordRefused]:
        found = unpack(self.leaves[number])
        change = LeafChange(self, found)
        results: list[bool | RecordRefused] = []
        for record in records:
            try:
                results.append(change.add(record))
            except RecordRefused as refused:
                if raising:
                    raise
                results.append(refused)
        if change.marks or change.grown:
            self._put(number, found, change.marks)
        return results

    def discard(self, records: Iterable[Record]) -> int:
        """Forget these records, as far as they are held; how many were."""
        by_leaf: dict[int, set[Fields]] = defaultdict(set)
        for record in records:
            by_leaf[leaf_of(record.kind, record.key)].add(fields(record))
        before = self.count
        for number, unwanted in by_leaf.items():
            kept, marks = [], 0
            for found in unpack(self.leaves[number]):
                if found in unwanted:
                    marks ^= mark_of(found)
                    self.count -= 1
                else:
                    kept.append(found)
            self._put(number, kept, marks)
        return before - self.count

    def _put(self, number: int, found: list[Fields], marks: int) -> None:
        """Pack a leaf anew; ``marks``: the exclusive or of what came and what went."""
        packed = pack(found)
        self.size += len(packed) - len(self.leaves[number])
        self.leaves[number] = packed
        node = number
        for start in reversed(LEVEL_STARTS):
            self.digests[start + node] ^= marks
            node //= FAN_OUT


class LeafChange:
    """Records on their way into one unpacked leaf."""

    def __init__(self, store: RecordStore, found: list[Fields]) -> None:
        self.store, self.found = store, found
        self.marks = 0  # the exclusive or of what came and what went
        self.grown = 0  # bytes

    def add(self, record: Record) -> bool:
        place = bisect_left(self.found, record.identity, key=lambda each: each[:4])
        if place < len(self.found) and self.found[place][:4] == record.identity:
            return self.settle(place, record)
        size = len(pack(record))
        self.check_room(record, size)
        self.found.insert(place, fields(record))
        self.marks ^= record.mark()
        self.grown += size
        self.store.count += 1
        self.store.newest = max(self.store.newest, record.version)
        return True

    def settle(self, place: int, record: Record) -> bool:
        """A record whose identity is held: the same one, or a contradiction."""
        held = Record(*self.found[place])
        if held == record:
            return False
        wins = record.mark() > held.mark()
        kept, dropped = (record, held) if wins else (held, record)
        self.store.contradicted += 1
        self.store.contradictions.append(Contradiction(kept, dropped))
        if not wins:
            raise RecordRefused(Refusal.CONTRADICTION, f"{held.kind} {held.key} {held.stamp}-{held.origin}")
        self.found[place] = fields(record)
        self.marks ^= held.mark() ^ record.mark()
        self.grown += len(pack(record)) - len(pack(held))
        return True

    def check_room(self, record: Record, size: int) -> None:
        limits = self.store.limits
        if self.store.count >= limits.records:
            raise RecordRefused(Refusal.NO_ROOM, f"{limits.records} records")
        if self.store.size + self.grown + size > limits.size:
            raise RecordRefused(Refusal.NO_ROOM, f"{limits.size} bytes")
        if len(self.found) >= limits.leaf:
            raise RecordRefused(Refusal.NO_ROOM, f"{limits.leaf} records of one leaf")
        versions = sum(each[0] == record.kind and each[1] == record.key for each in self.found)
        if versions >= limits.versions:
            raise RecordRefused(Refusal.NO_ROOM, f"{limits.versions} versions of {record.kind} {record.key}")
