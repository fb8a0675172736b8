"""A snapshot of all records in pieces that are named by the hash of their content.

A piece holds a run of leaves, or a part of a leaf that is too large for one; runs begin at fixed leaves, so
that two replicas with nearly the same records have nearly the same pieces. A manifest lists the names, and is
named by its own hash.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass
from hashlib import blake2s
from typing import NamedTuple

import msgspec

from gorsefork.configuration.messages import (
    NAME_BYTES,
    Manifest,
    NotNow,
    Piece,
    PieceUnknown,
    read_raw_records,
)
from gorsefork.configuration.records import Record
from gorsefork.configuration.store import EMPTY, LEAVES, Fields, RecordStore, leaf_of, mark_of, pack, unpack

SECOND = 1_000_000
MILLISECOND = 1_000

PIECE_BYTES = 64 << 10  # of one piece's content, about
RUN_BYTES = 48 << 10  # of the leaves of one run on average; what is beyond a piece is cut
MOST_SNAPSHOTS = 2  # that a source keeps at hand
FRESH_FOR = 30 * SECOND  # that a source gives out the same manifest; what came since goes by ranges
HASHED_AT_ONCE = 32  # runs in answer to one request, some 3 ms
NOT_READY = 100 * MILLISECOND
SERVED_EVERY = 20 * MILLISECOND  # a piece: some 50 a second and 2.5 MB a second at the most
SERVED_AHEAD = 8  # pieces that may be asked for at once after a rest
KEPT_FOR = 300 * SECOND  # after the last question

raw_decoder = msgspec.msgpack.Decoder(list[msgspec.Raw])
leaf_decoder = msgspec.msgpack.Decoder(list[Record])
part_decoder = msgspec.msgpack.Decoder(list[tuple[int, bytes]])


def name_of(content: bytes) -> bytes:
    return blake2s(content, digest_size=NAME_BYTES).digest()


def manifest_name(manifest: Manifest) -> bytes:
    """The hash of all that a manifest says beside its name."""
    return name_of(pack([getattr(manifest, each) for each in manifest.__struct_fields__ if each != "name"]))


def pieces_of(first: int, leaves: Sequence[bytes]) -> list[bytes]:
    """The contents of the pieces that hold a run of leaves, of which the first has that number."""
    pieces: list[bytes] = []
    parts: list[tuple[int, bytes]] = []
    size = 0
    for number, packed in enumerate(leaves, first):
        if packed == EMPTY:
            continue
        for part in [packed] if len(packed) <= PIECE_BYTES else cut(packed):
            if parts and size + len(part) > PIECE_BYTES:
                pieces.append(pack(parts))
                parts, size = [], 0
            parts.append((number, part))
            size += len(part)
    if parts:
        pieces.append(pack(parts))
    return pieces


def cut(packed: bytes) -> Iterator[bytes]:
    """A leaf's records in several parts, each packed like a leaf."""
    some: list[Fields] = []
    size = 0
    for found in unpack(packed):
        length = len(pack(found))
        if some and size + length > PIECE_BYTES:
            yield pack(some)
            some, size = [], 0
        some.append(found)
        size += length
    yield pack(some)


class Run(NamedTuple):
    """Leaves as they were, and the names of their pieces."""

    first: int
    leaves: tuple[bytes, ...]
    names: tuple[bytes, ...]


class SnapshotSource:
    """Gives out manifests and pieces of one store. Leaves are immutable: a snapshot costs what changes after
    it was taken. Each answer does a bounded piece of work, and pieces are given out at a bounded rate."""

    def __init__(self, store: RecordStore) -> None:
        self.store = store
        self.run = 0  # leaves of one
        self.runs: list[Run | None] = []
        self.snapshots: OrderedDict[bytes, dict[bytes, Run]] = OrderedDict()  # by manifest, by piece
        self.latest: Manifest | None = None
        self.made_at = 0
        self.asked_at = 0
        self.next_at = 0  # when the next piece is due, at the bounded rate

    def manifest(self, now: int) -> Manifest | NotNow:
        """Of what the store holds, or held a little while ago."""
        self.asked_at = now
        if self.latest is not None and now - self.made_at < FRESH_FOR:
            return self.latest
        if not self.hash_some():
            return NotNow(NOT_READY)
        self.made_at = now
        if self.latest is None or self.latest.digest != self.store.digest():
            self.latest = self.make()
        return self.latest

    def piece(self, name: bytes, now: int) -> Piece | PieceUnknown | NotNow:
        self.asked_at = now
        run = self.find(name)
        if run is None and isinstance(made := self.manifest(now), NotNow):
            return made  # its name may yet be found
        run = run or self.find(name)
        if run is None:
            return PieceUnknown(name)
        if self.next_at > now + SERVED_AHEAD * SERVED_EVERY:
            return NotNow(self.next_at - now)
        self.next_at = max(self.next_at, now) + SERVED_EVERY
        return Piece(name, pieces_of(run.first, run.leaves)[run.names.index(name)])

    def find(self, name: bytes) -> Run | None:
        return next((runs[name] for runs in self.snapshots.values() if name in runs), None)

    def expire(self, now: int) -> None:
        """Hold nothing for newcomers when there are none."""
        if self.runs and now - self.asked_at > KEPT_FOR:
            self.runs, self.run, self.latest = [], 0, None
            self.snapshots.clear()

    def hash_some(self) -> bool:
        """Name the pieces of some runs that have changed; whether all are named now."""
        if not self.runs:
            self.run = run_length(self.store.size)
            self.runs = [None] * (LEAVES // self.run)
        left = HASHED_AT_ONCE
        for place, run in enumerate(self.runs):
            first = place * self.run
            leaves = self.store.leaves[first : first + self.run]
            if run is not None and all(map(is_same, run.leaves, leaves)):
                continue
            if left == 0:
                return False
            left -= 1
            names = tuple(name_of(content) for content in pieces_of(first, leaves))
            self.runs[place] = Run(first, tuple(leaves), names)
        return True

    def make(self) -> Manifest:
        store = self.store
        runs = [run for run in self.runs if run is not None]
        names = [name for run in runs for name in run.names]
        made = Manifest(store.digest(), len(store), store.size, store.horizon, names, bytes(NAME_BYTES))
        made = msgspec.structs.replace(made, name=manifest_name(made))
        self.snapshots[made.name] = {name: run for run in runs for name in run.names}
        while len(self.snapshots) > MOST_SNAPSHOTS:
            self.snapshots.popitem(last=False)
        return made


def run_length(size: int) -> int:
    """Leaves of one run: a power of two, so that few sizes make for other pieces."""
    length = LEAVES
    while length > 1 and size * length > RUN_BYTES * LEAVES:
        length //= 2
    return length


def is_same(one: bytes, other: bytes) -> bool:
    return one is other


class PieceError(Exception):
    """A piece that is what its name says, and yet no part of a snapshot."""


class Checked(NamedTuple):
    """What a piece holds."""

    marks: int  # the exclusive or of its records'
    records: int


def check_piece(content: bytes) -> Checked:
    """``PieceError``: it cannot be read, or holds a record in a leaf that is not its own."""
    marks = count = 0
    try:
        for number, packed in part_decoder.decode(content):
            for found in unpack(packed):
                if leaf_of(found[0], found[1]) != number:
                    raise PieceError(f"a record of another leaf in leaf {number}")
                marks ^= mark_of(found)
                count += 1
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise PieceError(str(error)) from None
    return Checked(marks, count)


@dataclass(slots=True)
class Snapshot:
    """All records of a manifest, checked against it."""

    manifest: Manifest
    pieces: Mapping[bytes, bytes]
    unreadable: int = 0  # records out of a record's bounds, left out by ``leaves``

    def leaves(self) -> Iterator[tuple[int, list[Record]]]:
        """Each leaf that holds any, in order, with its records in order of identity."""
        current, records = -1, list[Record]()
        for name in self.manifest.pieces:
            for number, packed in part_decoder.decode(self.pieces[name]):
                if number != current:
                    if records:
                        yield current, records
                    current, records = number, []
                records += self.readable(packed)
        if records:
            yield current, records

    def readable(self, packed: bytes) -> list[Record]:
        try:
            return leaf_decoder.decode(packed)
        except (msgspec.DecodeError, UnicodeDecodeError):
            pass
        records, unreadable = read_raw_records(raw_decoder.decode(packed))
        self.unreadable += unreadable
        return records
