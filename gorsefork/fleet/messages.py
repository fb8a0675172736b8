"""The datagrams between ingresses: 256 bytes at most, with a keyed digest over all of it.

A message is: protocol version (1 byte), site (4 bytes), keyed digest (8 bytes), body (msgpack, arrays by
position). The first two stand in the clear, so that a peer of another site or version is told from one
with another key. Versions one apart read each other: fields are only added at the end, with a default.
"""

from __future__ import annotations

import hmac
from hashlib import blake2s
from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from gorsefork.fleet.facts import Dial, Fact, Incarnation, LifeNumber, MemberValue, Name

MAX_DATAGRAM_BYTES = 256
VERSION = 1
HEAD = 13  # bytes before the body
MOST_FACTS = 16  # in one message
FAN_OUT = 8  # ranges of names that one message compares

Kind = Literal["ping", "ack", "relay", "nack", "gossip", "range", "push", "bye"]
Refusal = Literal["size", "site", "version", "key", "form"]


class Range(msgspec.Struct, frozen=True, array_like=True):
    """The names whose hashes begin with these octal digits, and digests of the ranges one digit longer."""

    prefix: Annotated[str, Meta(max_length=21, pattern="^[0-7]*$")]
    digests: Annotated[tuple[bytes, ...], Meta(max_length=FAN_OUT)] = ()
    reply: bool = False  # with ``push``: tell what you have in this range that is newer


class Message(msgspec.Struct, frozen=True, array_like=True, omit_defaults=True):
    """``serial`` of a probe comes back in its ack. ``target``: whom a ping means, or a relay is to reach;
    a ping that means whoever is there (a seed) names nobody. ``digest``: of the sender's view."""

    kind: Kind
    name: Name
    life: LifeNumber
    incarnation: Incarnation
    serial: Annotated[int, Meta(ge=0, lt=1 << 32)]
    digest: Annotated[bytes, Meta(min_length=8, max_length=8)]
    count: Annotated[int, Meta(ge=0, le=65535)]
    facts: Annotated[tuple[Fact, ...], Meta(max_length=MOST_FACTS)] = ()
    notes: Annotated[tuple[MemberValue, ...], Meta(max_length=16)] = ()
    target: Annotated[str, Meta(max_length=24)] = ""
    target_life: Annotated[int, Meta(ge=0, le=(1 << 62) - 1)] = 0
    dial: Annotated[bytes, Meta(max_length=18)] = b""
    range: Range | None = None


class DatagramRefused(Exception):
    """A datagram that is not taken; ``reason`` says what does not fit."""

    def __init__(self, reason: Refusal) -> None:
        super().__init__(reason)
        self.reason: Refusal = reason


class Codec:
    """Writes and reads datagrams of one site under one key (empty: no secret, and then only whole
    messages)."""

    def __init__(self, site: str, key: bytes, version: int = VERSION) -> None:
        self.version = version
        self.site = blake2s(site.encode(), digest_size=4).digest()
        self.key = blake2s(key, digest_size=32).digest()
        self.encoder = msgspec.msgpack.Encoder()
        self.decoder = msgspec.msgpack.Decoder(Message)

    def sealed(self, body: bytes) -> bytes:
        head = bytes([self.version]) + self.site
        return head + blake2s(head + body, digest_size=8, key=self.key).digest() + body

    def pack(self, message: Message) -> bytes:
        return self.sealed(self.encoder.encode(message))

    def size(self, part: Fact | MemberValue | Message) -> int:
        return len(self.encoder.encode(part))

    def read(self, data: bytes) -> Message:
        """``DatagramRefused`` says why a datagram is not taken."""
        if not HEAD < len(data) <= MAX_DATAGRAM_BYTES:
            raise DatagramRefused("size")
        if data[1:5] != self.site:
            raise DatagramRefused("site")
        if abs(data[0] - self.version) > 1:
            raise DatagramRefused("version")
        digest = blake2s(data[:5] + data[HEAD:], digest_size=8, key=self.key).digest()
        if not hmac.compare_digest(digest, data[5:HEAD]):
            raise DatagramRefused("key")
        try:
            message = self.decoder.decode(data[HEAD:])
        except (msgspec.DecodeError, UnicodeDecodeError):
            raise DatagramRefused("form") from None
        for dial in (*(fact.card.dial for fact in message.facts), message.dial):
            if len(dial) not in (0, 6, 18):
                raise DatagramRefused("form")
        if any(not fact.card.dial or len(fact.card.control) not in (0, 6, 18) for fact in message.facts):
            raise DatagramRefused("form")
        return message


__all__ = [
    "FAN_OUT",
    "HEAD",
    "MAX_DATAGRAM_BYTES",
    "MOST_FACTS",
    "VERSION",
    "Codec",
    "DatagramRefused",
    "Dial",
    "Kind",
    "Message",
    "Range",
    "Refusal",
]
