"""The unit of replicated configuration: one immutable version of one key.

A record is identified by its kind, its key and its version; two ingresses that hold the same set of records
hold the same configuration. Versions are hybrid logical timestamps and are ordered alike everywhere.
"""

from __future__ import annotations

import enum
from hashlib import blake2s
from typing import Annotated, NamedTuple

import msgspec
from msgspec import Meta

MOST_STAMP = 1 << 53
MAX_BODY_BYTES = 4096  # bytes of one record's body
MARK_BYTES = 8  # of a record's digest

Kind = Annotated[str, Meta(min_length=1, max_length=16, pattern="^[a-z][a-z-]*$")]
Key = Annotated[str, Meta(max_length=128)]
Stamp = Annotated[int, Meta(ge=1, le=MOST_STAMP)]
Origin = Annotated[str, Meta(min_length=1, max_length=64, pattern="^[!-~]+$")]


class Version(NamedTuple):
    """Microseconds of Unix time, raised where needed to be later than all seen, and who made the record."""

    stamp: int
    origin: str


class RecordKey(NamedTuple):
    """What a record is about."""

    kind: str
    key: str


class Record(msgspec.Struct, frozen=True, array_like=True):
    """One version of one key. ``body`` is in the form of its kind; replication does not look into it."""

    kind: Kind
    key: Key
    stamp: Stamp
    origin: Origin
    author: Annotated[str, Meta(min_length=1, max_length=64)]
    body: Annotated[bytes, Meta(max_length=MAX_BODY_BYTES)]

    @property
    def about(self) -> RecordKey:
        return RecordKey(self.kind, self.key)

    @property
    def version(self) -> Version:
        return Version(self.stamp, self.origin)

    @property
    def identity(self) -> tuple[str, str, int, str]:
        """Equal for two copies of one record, and for nothing else."""
        return self.kind, self.key, self.stamp, self.origin

    def mark(self) -> int:
        """Digest of the whole record, 64 bits. Digests of sets are the exclusive or of their marks."""
        text = f"{self.kind}\0{self.key}\0{self.stamp}\0{self.origin}\0{self.author}\0"
        digest = blake2s(text.encode() + self.body, digest_size=MARK_BYTES).digest()
        return int.from_bytes(digest, "big")


class Refusal(enum.Enum):
    """Why a record is not taken. The first three may pass with time."""

    CLOCK_AHEAD = "its version is too far ahead of this ingress's clock"
    NO_ROOM = "a bound on records, bytes or versions of one key is reached"
    NO_DISK = "it cannot be kept on disk"
    CONTRADICTION = "another record has its identity"
    UNREADABLE = "no version of this program here can read it"
    TOO_OLD = "it is older than what is kept"


TEMPORARY = frozenset((Refusal.CLOCK_AHEAD, Refusal.NO_ROOM, Refusal.NO_DISK))


class RecordRefused(Exception):
    """A record that is not taken. ``detail`` is for operators; nothing has changed."""

    def __init__(self, refusal: Refusal, detail: str = "") -> None:
        super().__init__(f"{refusal.value}{': ' if detail else ''}{detail}")
        self.refusal = refusal
