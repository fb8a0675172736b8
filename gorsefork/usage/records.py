"""A recorded use, a batch of them, and their form on the way to the accounts (docs/usage-export.md).

Units are whole millionths, so that sums are exact in any order; times are microseconds of Unix time.
"""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec
from msgspec import Meta

MICRO_UNITS_PER_UNIT = 1_000_000
VERSION = 1
Form = Literal["ndjson", "msgpack"]
CONTENT_TYPES: dict[Form, str] = {"ndjson": "application/x-ndjson", "msgpack": "application/msgpack"}
MAX_USES_PER_BATCH = 10_000

Count = Annotated[int, Meta(ge=0, le=(1 << 53))]


class Use(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """What one good answer settled. Its number counts the uses of one life of one ingress, from 1."""

    number: Count
    customer: str
    plan: str
    cls: str
    micro: Count  # units, in millionths
    at: Count  # Unix us


class Header(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The first line of a batch. ``oldest``: the first number that the sender still has of this life.

    ``closed``: that life is over, and ``last`` its last number for good; a receiver that has all up to it
    knows that nothing is missing.
    """

    v: int
    ingress: str
    life: Count
    first: Count
    last: Count
    oldest: Count
    closed: bool


class Receipt(msgspec.Struct, frozen=True):
    """What the accounts answer: all up to this number of that life is kept there."""

    upto: Count


class Batch(msgspec.Struct, frozen=True):
    """Consecutive uses of one life, perhaps none if only its end is to be told."""

    ingress: str
    life: int
    first: int
    uses: tuple[Use, ...]
    oldest: int
    closed: bool = False

    @property
    def last(self) -> int:
        """The number of its last use; the one before ``first`` if there is none."""
        return self.first + len(self.uses) - 1

    def encode(self, form: Form) -> bytes:
        header = Header(VERSION, self.ingress, self.life, self.first, self.last, self.oldest, self.closed)
        if form == "msgpack":
            return msgspec.msgpack.encode((header, self.uses))
        return msgspec.json.Encoder().encode_lines((header, *self.uses))


class UnreadableBatch(Exception):
    """Bytes that are no batch; the text says what is wrong."""


def decode(body: bytes, form: Form) -> Batch:
    """The other side's reading, strict: numbers must follow one another from ``first`` to ``last``."""
    try:
        if form == "msgpack":
            header, uses = msgspec.msgpack.decode(body, type=tuple[Header, tuple[Use, ...]])
        else:
            first, _, rest = body.partition(b"\n")
            header = msgspec.json.decode(first, type=Header)
            uses = tuple(msgspec.json.Decoder(Use).decode_lines(rest))
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise UnreadableBatch(str(error)) from None
    if header.v != VERSION:
        raise UnreadableBatch(f"version {header.v} is not known")
    batch = Batch(header.ingress, header.life, header.first, uses, header.oldest, header.closed)
    if batch.last != header.last or len(uses) > MAX_USES_PER_BATCH:
        raise UnreadableBatch(f"{len(uses)} uses from {header.first} do not end at {header.last}")
    if any(use.number != header.first + place for place, use in enumerate(uses)):
        raise UnreadableBatch("the numbers do not follow one another")
    return batch
