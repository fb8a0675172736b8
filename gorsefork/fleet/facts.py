"""What is known of a member, and how two pieces of knowledge become one.

A *life* is one start of one ingress, numbered by its start in microseconds of Unix time: of two lives under
one name the later one holds. Within a life its owner raises the *incarnation* to contradict what is said of
it. All facts about a name are ordered by (life, terminal, incarnation, state, card), and merging takes the
greater one: a join of a total order, so that loss, repeats and order of messages do not matter.

``unreachable`` is no state of a fact: it is what an ingress calls a suspect whose time to contradict is over
here. So a cut that heals brings suspicions across, which their owners contradict, and no verdicts.
"""

from __future__ import annotations

import enum
from hashlib import blake2s
from ipaddress import ip_address
from typing import Annotated, Literal

import msgspec
from msgspec import Meta

MAX_NAME_LENGTH, MOST_ZONE, MOST_KIND, MOST_KEY, MOST_VALUE = 24, 12, 8, 24, 64
MOST_INCARNATION = (1 << 31) - 1  # beyond it a life cannot contradict any more and begins anew
MOST_LIFE = (1 << 62) - 1

Name = Annotated[str, Meta(min_length=1, max_length=MAX_NAME_LENGTH)]
Incarnation = Annotated[int, Meta(ge=0, le=MOST_INCARNATION)]
LifeNumber = Annotated[int, Meta(ge=1, le=MOST_LIFE)]
Dial = Annotated[bytes, Meta(min_length=6, max_length=18)]  # an address of 4 or 16 bytes and a port


class State(enum.IntEnum):
    """In the order in which they win within one incarnation; the last two within one life."""

    JOINING = 0
    ALIVE = 1
    SUSPECT = 2
    LEFT = 3
    ENDED = 4


ShownState = Literal["joining", "alive", "suspect", "unreachable", "left", "ended"]


class Card(msgspec.Struct, frozen=True, array_like=True, order=True):
    """Where a life is found: datagrams, its control listener (maybe none), and its zone.

    The digest that peers compare contains the repr of this class: its name and those of its fields must stay.
    """

    dial: Dial
    control: Annotated[bytes, Meta(max_length=18)] = b""
    zone: Annotated[str, Meta(max_length=MOST_ZONE)] = ""


class Fact(msgspec.Struct, frozen=True, array_like=True):
    """One piece of knowledge about one name. ``accuser``: who first said that it is suspect, here or on the
    way; it is not part of what is merged."""

    name: Name
    life: LifeNumber
    incarnation: Incarnation
    state: Annotated[int, Meta(ge=0, le=4)]
    card: Card
    accuser: Annotated[str, Meta(max_length=MAX_NAME_LENGTH)] = ""

    @property
    def terminal(self) -> bool:
        return self.state >= State.LEFT

    @property
    def rank(self) -> tuple[int, bool, int, int, Card]:
        """What decides between two facts about one name. Of a life that is over the incarnation says
        nothing."""
        return self.life, self.terminal, 0 if self.terminal else self.incarnation, self.state, self.card

    def beats(self, other: Fact | None) -> bool:
        return other is None or self.rank > other.rank

    def mark(self) -> bytes:
        """Equal where two ingresses know the same of this name, but for who said so."""
        text = f"{self.name}\0{self.life}\0{self.incarnation}\0{int(self.state)}\0{self.card!r}"
        return blake2s(text.encode(), digest_size=8).digest()


def with_state(fact: Fact, state: State, accuser: str = "") -> Fact:
    """The same fact but for its state and accuser."""
    return Fact(fact.name, fact.life, fact.incarnation, state, fact.card, accuser)


class MemberValue(msgspec.Struct, frozen=True, array_like=True):
    """A small fact of another subsystem, about its owner's life alone. The highest version holds."""

    owner: Name
    life: LifeNumber
    kind: Annotated[str, Meta(min_length=1, max_length=MOST_KIND)]
    key: Annotated[str, Meta(max_length=MOST_KEY)]
    version: Annotated[int, Meta(ge=0, le=MOST_LIFE)]
    value: Annotated[bytes, Meta(max_length=MOST_VALUE)]

    @property
    def rank(self) -> tuple[int, bytes]:
        return self.version, self.value

    def mark(self) -> bytes:
        text = f"{self.owner}\0{self.life}\0{self.kind}\0{self.key}\0{self.version}\0{self.value!r}"
        return blake2s(text.encode(), digest_size=8).digest()


def pack_address(dial: str) -> bytes:
    """``ADDRESS:PORT``, IPv6 in brackets, in 6 or 18 bytes. ``ValueError`` for anything else."""
    host, _, port = dial.rpartition(":")
    number = int(port)
    if not 0 < number < 65536:
        raise ValueError(f"{dial!r} has no port")
    return ip_address(host.strip("[]")).packed + number.to_bytes(2, "big")


def unpack_address(data: bytes) -> tuple[str, int]:
    """The address and port in ``data``. ``ValueError`` where it holds none."""
    return str(ip_address(data[:-2])), int.from_bytes(data[-2:], "big")


def format_address(data: bytes) -> str:
    if not data:
        return ""
    host, port = unpack_address(data)
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
