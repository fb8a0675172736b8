"""What can be asked of the plan book. Every change has a number, and all ingresses put them in one order.

Times are whole microseconds of Unix time. A change is a message too: these types are what the control
listener takes and what storage keeps, and msgspec checks their shape wherever they are read.
"""

from __future__ import annotations

from typing import Annotated, NamedTuple

import msgspec
from msgspec import Meta

SECOND = 1_000_000
MAX_RESERVATION_US = 366 * 86_400 * SECOND
MAX_TIME_US = 1 << 53  # so that every reader of JSON holds a time exactly

Customer = Annotated[str, Meta(pattern="^[0-9a-f]{16}$")]
Name = Annotated[str, Meta(min_length=1, max_length=64, pattern="^[!-~]+$")]
Text = Annotated[str, Meta(max_length=200)]
UnixMicroseconds = Annotated[int, Meta(ge=0, le=MAX_TIME_US)]
Amount = Annotated[float, Meta(ge=0.0, le=1e9)]


class ChangeNumber(NamedTuple):
    """Orders all changes alike everywhere: by stamp, then by who made it."""

    stamp: int
    origin: str

    def __str__(self) -> str:
        return f"{self.stamp}@{self.origin}"

    @staticmethod
    def parse(text: str) -> ChangeNumber:
        """``ValueError`` for what is no number."""
        stamp, at, origin = text.partition("@")
        if not (stamp.isascii() and stamp.isdigit() and at and 0 < len(origin) <= 64 and len(stamp) <= 16):
            raise ValueError(f"{text!r} is no number of a change")
        return ChangeNumber(int(stamp), origin)


class SetPlan(msgspec.Struct, frozen=True, forbid_unknown_fields=True, tag_field="do", tag="set"):
    """A customer is on ``plan`` from ``effective`` until ``until`` (0: until another entry takes over)."""

    customer: Customer
    plan: Name
    effective: UnixMicroseconds
    until: UnixMicroseconds = 0


class Reserve(msgspec.Struct, frozen=True, forbid_unknown_fields=True, tag_field="do", tag="reserve"):
    """A customer has ``rate`` units a second and ``burst`` units more, from ``starts`` until ``ends``."""

    customer: Customer
    rate: Amount
    burst: Amount
    starts: UnixMicroseconds
    ends: UnixMicroseconds


class Cancel(msgspec.Struct, frozen=True, forbid_unknown_fields=True, tag_field="do", tag="cancel"):
    """The entry with that number holds no longer, from ``effective`` on."""

    customer: Customer
    number: Name
    effective: UnixMicroseconds


class Rollback(msgspec.Struct, frozen=True, forbid_unknown_fields=True, tag_field="do", tag="rollback"):
    """What came after the change ``to`` holds no longer, from ``effective`` on; of one customer or of all."""

    to: Name
    effective: UnixMicroseconds
    customer: Customer | None = None


Act = SetPlan | Reserve | Cancel | Rollback


class Change(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One numbered change. ``key`` is its caller's: the same one twice is the same change."""

    stamp: Annotated[int, Meta(ge=1, le=MAX_TIME_US)]
    origin: Name
    act: Act
    author: Annotated[str, Meta(min_length=1, max_length=64)]
    note: Text = ""
    key: Annotated[str, Meta(max_length=128)] = ""

    @property
    def number(self) -> ChangeNumber:
        return ChangeNumber(self.stamp, self.origin)

    @property
    def customer(self) -> str | None:
        """Whom it concerns; None: every customer of the book."""
        return self.act.customer

    def same_as(self, other: Change) -> bool:
        """Whether both ask for the same, whatever their numbers."""
        return (self.act, self.author, self.note) == (other.act, other.author, other.note)

    def boundaries(self) -> tuple[int, ...]:
        """The times at which it may change somebody's terms."""
        act = self.act
        if isinstance(act, SetPlan):
            return (act.effective, act.until) if act.until else (act.effective,)
        if isinstance(act, Reserve):
            return act.starts, act.ends
        return (act.effective,)


class ChangeRefused(Exception):
    """A change that cannot be taken. ``status`` is what HTTP calls it; the text is for whoever asked."""

    def __init__(self, reason: str, status: int = 422) -> None:
        super().__init__(reason)
        self.status = status


def validate_act(act: Act) -> None:
    """What the types cannot say: times in their order, and numbers that are numbers."""
    if isinstance(act, SetPlan) and act.until and act.until <= act.effective:
        raise ChangeRefused("act.until: must be later than act.effective")
    if isinstance(act, Reserve):
        if not act.starts < act.ends <= act.starts + MAX_RESERVATION_US:
            raise ChangeRefused("act.ends: must be later than act.starts, by 366 days at most")
        if act.rate == 0.0 and act.burst == 0.0:
            raise ChangeRefused("act.rate: a reservation of nothing")
    if isinstance(act, Cancel | Rollback):
        field, text = ("number", act.number) if isinstance(act, Cancel) else ("to", act.to)
        try:
            ChangeNumber.parse(text)
        except ValueError as error:
            raise ChangeRefused(f"act.{field}: {error}") from None


class HybridClock:
    """Numbers for the changes made here: later than all seen so far, whatever the system's clock does.

    A hybrid logical clock (Kulkarni et al., 2014) of whole microseconds: a stamp is the time, or one more
    than the last stamp seen where that is later.
    """

    MAX_AHEAD_US = 60 * SECOND

    def __init__(self, origin: str, last: int = 0) -> None:
        self.origin, self.last = origin, last

    def next(self, now: int) -> ChangeNumber:
        self.last = max(now, self.last + 1)
        return ChangeNumber(self.last, self.origin)

    def observe(self, stamp: int, now: int) -> None:
        """Guards against a machine whose clock runs ahead: its stamps would outrank every later change."""
        if stamp > now + self.MAX_AHEAD_US:
            raise ChangeRefused(f"stamp: {(stamp - now) / SECOND:.0f} s ahead of this ingress's clock", 425)
        self.last = max(self.last, stamp)
