"""The state that the parts of one member's protocol share: its name, its view, the time, and its output."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import NamedTuple

from gorsefork.fleet.facts import Fact
from gorsefork.fleet.messages import Codec
from gorsefork.fleet.pace import Timings
from gorsefork.fleet.view import View

DOUBT_MOST = 8  # by how much more a slow prober may stretch its periods
MOST_ATTEMPTS = 64  # of one probe, each with a serial of its own, so that the round trip of an ack is known
HERE = "here"  # who told of an event that this member found by itself


class OutgoingDatagram(NamedTuple):
    """One datagram to be sent. ``dial``: the packed address."""

    dial: bytes
    data: bytes


class MemberEvent(NamedTuple):
    """What an operator may want to know. ``by``: who told, or ``here``."""

    kind: str
    name: str
    life: int
    by: str
    text: str


@dataclass(slots=True)
class Counts:
    """Since the start of this process. ``refused``: datagrams by the reason for which they were not taken."""

    sent: int = 0
    received: int = 0
    bytes_sent: int = 0
    probes: int = 0
    missed: int = 0
    refused: dict[str, int] = field(default_factory=dict)
    stalls: int = 0


class LocalNode:
    """This member itself. ``now`` is on the caller's clock, in microseconds; ``unix`` makes it Unix time."""

    def __init__(
        self, name: str, codec: Codec, pace: Timings, rng: random.Random, now: int, unix: int
    ) -> None:
        self.name, self.codec, self.pace, self.rng = name, codec, pace, rng
        self.unix = unix
        self.began = self.now = now
        self.view = View()
        self.out: list[OutgoingDatagram] = []
        self.events: list[MemberEvent] = []
        self.counts = Counts()
        self.serial = rng.randrange(1 << 25) * MOST_ATTEMPTS
        self.doubt = 0  # Lifeguard's local health: the higher, the slower this member accuses
        self.followed = False  # a later life of this name has taken its place
        self.leaving = False
        self.stalled = False  # this process did not run for a while, and has heard from nobody since

    @property
    def fact(self) -> Fact:
        """What this life says of itself."""
        return self.view.members[self.name].fact

    @property
    def life(self) -> int:
        return self.fact.life

    def unix_now(self) -> int:
        return self.now + self.unix

    def others_seen(self) -> list[str]:
        return [name for name in self.view.seen() if name != self.name]

    def next_serial(self) -> int:
        """The first of ``MOST_ATTEMPTS`` serials that nothing else in flight has."""
        self.serial = (self.serial + MOST_ATTEMPTS) % (1 << 32)
        return self.serial

    def raise_doubt(self, steps: int = 1) -> None:
        self.doubt = min(DOUBT_MOST, self.doubt + steps)

    def lower_doubt(self) -> None:
        self.doubt = max(0, self.doubt - 1)

    def record(self, kind: str, name: str, life: int, by: str, text: str) -> None:
        self.events.append(MemberEvent(kind, name, life, by, text))
