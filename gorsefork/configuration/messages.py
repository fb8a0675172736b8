"""What two replicas say to each other, and its form: a msgpack array of tagged arrays, 256 KB at the most.

Versions one apart read each other. Fields are only added at the end, with a default; a message whose tag is
unknown is left out; a record that cannot be read is left out, and the others of its message are taken.
Records of an unknown kind are kept and passed on as they are; a ``Record`` itself never gets new fields.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import Annotated, NamedTuple

import msgspec
from msgspec import Meta

from gorsefork.configuration.records import MARK_BYTES, Record
from gorsefork.configuration.store import FAN_OUT, LEAVES, LEVELS, MOST_LEAF

MAX_MESSAGE_BYTES = 256 << 10  # one body, of a request or an answer
MOST_MESSAGES = 512
MOST_BATCH = 512  # records of one message
MOST_RECENT = 256  # marks that a summary names
MOST_OFFERED = 1_024
MOST_PIECES = 4_096
NAME_BYTES = 16  # of a piece, a manifest

Mark = Annotated[int, Meta(ge=0)]  # 64 bits, which msgpack holds to
Digest = Annotated[bytes, Meta(min_length=MARK_BYTES, max_length=MARK_BYTES)]
Digit = Annotated[int, Meta(ge=0, lt=FAN_OUT)]
LeafNumber = Annotated[int, Meta(ge=0, lt=LEAVES)]
RangePrefix = Annotated[tuple[Digit, ...], Meta(max_length=LEVELS - 1)]
Time = Annotated[int, Meta(ge=0, lt=1 << 62)]
Count = Annotated[int, Meta(ge=0, lt=1 << 31)]
Name = Annotated[bytes, Meta(min_length=NAME_BYTES, max_length=NAME_BYTES)]


class Place(NamedTuple):
    """Where a record is found: its leaf and its mark."""

    leaf: LeafNumber
    mark: Mark


Places = Annotated[list[Place], Meta(max_length=MOST_OFFERED)]


class Message(msgspec.Struct, frozen=True, array_like=True, omit_defaults=True):
    """One of those below."""


class Summary(Message, tag="summary", frozen=True, array_like=True, omit_defaults=True):
    """Of all that the sender holds, and the places of what came to it last. Opens a comparison, and answers
    one whose digest differs."""

    digest: Digest
    count: Count
    horizon: Time
    recent: Annotated[list[Place], Meta(max_length=MOST_RECENT)] = []


class Same(Message, tag="same", frozen=True, array_like=True):
    """Answer to a summary whose digest is the answerer's too."""


class RangesWanted(Message, tag="ranges?", frozen=True, array_like=True):
    """Asks for the digests of these ranges' children."""

    prefixes: Annotated[list[RangePrefix], Meta(max_length=FAN_OUT * FAN_OUT)]


class RangeDigests(Message, tag="ranges", frozen=True, array_like=True):
    """The digests of one range's children."""

    prefix: RangePrefix
    digests: Annotated[list[Digest], Meta(min_length=FAN_OUT, max_length=FAN_OUT)]


class LeavesWanted(Message, tag="leaves?", frozen=True, array_like=True):
    """Asks for the marks in these leaves."""

    leaves: Annotated[list[LeafNumber], Meta(max_length=LEAVES)]


class LeafMarks(Message, tag="leaf", frozen=True, array_like=True):
    """The marks of all records of one leaf, one behind another."""

    leaf: LeafNumber
    marks: Annotated[bytes, Meta(max_length=MOST_LEAF * MARK_BYTES)]


class RecordsWanted(Message, tag="records?", frozen=True, array_like=True):
    """Asks for the records in these places."""

    places: Places


class Offer(Message, tag="offer", frozen=True, array_like=True):
    """What is new to the sender; answered by ``RecordsWanted`` with those that are new there too."""

    places: Places


class Records(Message, tag="records", frozen=True, array_like=True):
    """Records, each as packed as ``Record``; ``horizon``: the sender's."""

    packed: Annotated[list[msgspec.Raw], Meta(max_length=MOST_BATCH)]
    horizon: Time


class Received(Message, tag="received", frozen=True, array_like=True):
    """Answer to records: how many were new, and how many were refused."""

    new: Count
    refused: Count


class ManifestWanted(Message, tag="manifest?", frozen=True, array_like=True):
    """Asks for the manifest of a snapshot of what the answerer holds now."""


class Manifest(Message, tag="manifest", frozen=True, array_like=True):
    """A snapshot: its records' digest, number and packed size, the sender's horizon, and its pieces' names in
    order of their leaves."""

    digest: Digest
    count: Count
    size: Count
    horizon: Time
    pieces: Annotated[list[Name], Meta(max_length=MOST_PIECES)]
    name: Name  # hash of all the rest


class PieceWanted(Message, tag="piece?", frozen=True, array_like=True):
    """Asks for one piece."""

    name: Name


class Piece(Message, tag="piece", frozen=True, array_like=True):
    """A piece's content: a run of leaves."""

    name: Name
    content: Annotated[bytes, Meta(max_length=MAX_MESSAGE_BYTES)]


class PieceUnknown(Message, tag="no-piece", frozen=True, array_like=True):
    """Answer to ``PieceWanted`` for what is not to be had here."""

    name: Name


class NotNow(Message, tag="not-now", frozen=True, array_like=True):
    """Answer to what may be asked again later: ``wait`` microseconds."""

    wait: Annotated[int, Meta(ge=0, le=60_000_000)]


class StatementWanted(Message, tag="state?", frozen=True, array_like=True):
    """Asks what the answerer holds, and whether it holds the records in these places."""

    places: Places


class Statement(Message, tag="state", frozen=True, array_like=True):
    """What an ingress holds: which one it is, in which life, the digest and number of its records, the newest
    of them, its horizon, for how many microseconds it has held just this, and of each record that was asked
    about whether it is held."""

    name: Annotated[str, Meta(max_length=64)]
    life: Time
    digest: Digest
    count: Count
    newest_stamp: Time
    newest_origin: Annotated[str, Meta(max_length=64)]
    horizon: Time
    age: Time
    held: Annotated[list[bool], Meta(max_length=MOST_OFFERED)]


AnyMessage = (
    Summary
    | Same
    | RangesWanted
    | RangeDigests
    | LeavesWanted
    | LeafMarks
    | RecordsWanted
    | Offer
    | Records
    | Received
    | ManifestWanted
    | Manifest
    | PieceWanted
    | Piece
    | PieceUnknown
    | NotNow
    | StatementWanted
    | Statement
)


class MessageError(Exception):
    """A body that is not taken: it is too long, or not what a replica says. Shown to the peer."""


encoder = msgspec.msgpack.Encoder()
body_decoder = msgspec.msgpack.Decoder(Annotated[list[msgspec.Raw], Meta(max_length=MOST_MESSAGES)])
tag_decoder = msgspec.msgpack.Decoder(list[msgspec.Raw])
message_decoder = msgspec.msgpack.Decoder(AnyMessage)
record_decoder = msgspec.msgpack.Decoder(Record)
TAGS = frozenset(str(kind.__struct_config__.tag) for kind in AnyMessage.__args__)


def join_marks(marks: Iterable[int]) -> bytes:
    """As a ``LeafMarks`` has them."""
    return b"".join(mark.to_bytes(MARK_BYTES, "big") for mark in marks)


def split_marks(marks: bytes) -> list[int]:
    """The marks of a ``LeafMarks``."""
    starts = range(0, len(marks) - MARK_BYTES + 1, MARK_BYTES)
    return [int.from_bytes(marks[start : start + MARK_BYTES], "big") for start in starts]


def as_records(records: Iterable[Record], horizon: int) -> Records:
    return Records([msgspec.Raw(encoder.encode(record)) for record in records], horizon)


def read_records(message: Records) -> tuple[list[Record], int]:
    """The records of a message that can be read, and how many cannot."""
    return read_raw_records(message.packed)


def read_raw_records(packed_records: Sequence[msgspec.Raw]) -> tuple[list[Record], int]:
    """The records that can be read, each for itself, and how many cannot."""
    records = []
    for packed in packed_records:
        try:
            records.append(record_decoder.decode(packed))
        except (msgspec.DecodeError, UnicodeDecodeError):
            continue  # counted by the difference
    return records, len(packed_records) - len(records)


def encode(messages: Sequence[AnyMessage]) -> bytes:
    """A body. ``MessageError``: it is beyond ``MAX_MESSAGE_BYTES``."""
    body = encoder.encode(messages)
    if len(body) > MAX_MESSAGE_BYTES:
        raise MessageError(f"a body of {len(body)} bytes is beyond {MAX_MESSAGE_BYTES}")
    return body


def decode(body: bytes) -> list[AnyMessage]:
    """The messages of a body, without those of kinds that are unknown here.

    ``MessageError``: it is too long, or a message of a known kind is out of its bounds.
    """
    if len(body) > MAX_MESSAGE_BYTES:
        raise MessageError(f"a body of {len(body)} bytes is beyond {MAX_MESSAGE_BYTES}")
    try:
        messages: list[AnyMessage] = []
        for packed in body_decoder.decode(body):
            parts = tag_decoder.decode(packed)
            if parts and msgspec.msgpack.decode(parts[0]) in TAGS:
                messages.append(message_decoder.decode(packed))
        return messages
    except (msgspec.DecodeError, UnicodeDecodeError, TypeError) as error:
        raise MessageError(f"a body that cannot be read: {error}") from None
