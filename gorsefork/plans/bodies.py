"""A change in the few bytes in which it is kept and replicated.

Customer, number and author stand in the record round the body; the body is a MessagePack array that begins
with what is done. A later version may add a kind of act: this one then refuses it as unreadable.
"""

from __future__ import annotations

import re
from typing import Annotated

import msgspec
from msgspec import Meta

from gorsefork.plans.changes import (
    Act,
    Amount,
    Cancel,
    Change,
    Name,
    Reserve,
    Rollback,
    SetPlan,
    Text,
    UnixMicroseconds,
)

RequestKey = Annotated[str, Meta(max_length=128)]
CUSTOMER_PATTERN = re.compile("[0-9a-f]{16}")


class UnreadableBody(ValueError):
    """A body that is no change to this version of the program."""


class SetPlanBody(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True, tag=1):
    note: Text
    key: RequestKey
    plan: Name
    effective: UnixMicroseconds
    until: UnixMicroseconds

    def act(self, customer: str) -> Act:
        return SetPlan(customer, self.plan, self.effective, self.until)

    def latest(self) -> int:
        """The last time at which the act may change somebody's terms. Microseconds of Unix time."""
        return max(self.effective, self.until)


class ReserveBody(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True, tag=2):
    note: Text
    key: RequestKey
    rate: Amount
    burst: Amount
    starts: UnixMicroseconds
    ends: UnixMicroseconds

    def act(self, customer: str) -> Act:
        return Reserve(customer, self.rate, self.burst, self.starts, self.ends)

    def latest(self) -> int:
        return self.ends


class CancelBody(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True, tag=3):
    note: Text
    key: RequestKey
    number: Name
    effective: UnixMicroseconds

    def act(self, customer: str) -> Act:
        return Cancel(customer, self.number, self.effective)

    def latest(self) -> int:
        return self.effective


class RollbackBody(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True, tag=4):
    note: Text
    key: RequestKey
    to: Name
    effective: UnixMicroseconds

    def act(self, customer: str) -> Act:
        return Rollback(self.to, self.effective, customer or None)

    def latest(self) -> int:
        return self.effective


Body = SetPlanBody | ReserveBody | CancelBody | RollbackBody
ENCODER = msgspec.msgpack.Encoder()
DECODER = msgspec.msgpack.Decoder(Body)


def encode_body(change: Change) -> bytes:
    """The body of a change."""
    act, note, key = change.act, change.note, change.key
    body: Body
    if isinstance(act, SetPlan):
        body = SetPlanBody(note, key, act.plan, act.effective, act.until)
    elif isinstance(act, Reserve):
        body = ReserveBody(note, key, act.rate, act.burst, act.starts, act.ends)
    elif isinstance(act, Cancel):
        body = CancelBody(note, key, act.number, act.effective)
    else:
        body = RollbackBody(note, key, act.to, act.effective)
    return ENCODER.encode(body)


def decode_body(customer: str, body: bytes) -> Body:
    """What is in a body; ``customer`` is empty for a rollback of all. ``UnreadableBody`` if it is no
    change."""
    try:
        found = DECODER.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise UnreadableBody(str(error)) from None
    if CUSTOMER_PATTERN.fullmatch(customer) is None and not (
        customer == "" and isinstance(found, RollbackBody)
    ):
        raise UnreadableBody(f"{customer!r} is no customer")
    return found


def decode_change(customer: str, stamp: int, origin: str, author: str, body: bytes) -> Change:
    """The change of a record. ``UnreadableBody`` if it is none."""
    found = decode_body(customer, body)
    return Change(stamp, origin, found.act(customer), author, found.note, found.key)
