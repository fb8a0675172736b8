"""What a hollow ingress sends and receives, counted by kind, and the cuts and losses on its way.

Datagrams are counted and cut at the sender's socket; requests at the client's side of their connection, both
ways. Counted is what the program writes and reads: headers of IP, UDP and TCP are not in it.
"""

from __future__ import annotations

import contextlib
import contextvars
import random
import socket
from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field
from functools import partial
from typing import Any

import trio

from gorsefork.lab.scale.messages import Ways
from gorsefork.wire.http1.client import HttpClient, NoAnswer, Response
from gorsefork.wire.http1.paced_parser import PacedParser
from gorsefork.wire.stream import Stream

Later = Callable[[float, Callable[[], object]], None]
KIND_AT = 14  # in a datagram: the head, the array's header, then the kind as a short string
SHORT_STRING, LONGEST_SHORT = 0xA0, 31  # msgpack's fixstr


@dataclass(slots=True)
class Traffic:
    """Messages and bytes of one ingress by direction and kind: ``out datagram ping``, ``in request feed``."""

    messages: Counter[str] = field(default_factory=Counter)
    bytes: Counter[str] = field(default_factory=Counter)

    def add(self, kind: str, size: int, messages: int = 1) -> None:
        self.messages[kind] += messages
        self.bytes[kind] += size


class Network:
    """Which zones can reach each other, and how, by the ports where they listen.

    ``later`` calls something after so many seconds; without it nothing is delayed.
    """

    def __init__(self, seed: int, ways: Ways, later: Later | None = None) -> None:
        self.rng, self.ways, self.later = random.Random(seed), ways, later
        self.zones: dict[int, str] = {}
        self.cut_off: frozenset[str] = frozenset()

    def place(self, port: int, zone: str) -> None:
        self.zones[port] = zone

    def cut(self, zones: Iterable[str]) -> None:
        """These zones reach each other and no others."""
        self.cut_off = frozenset(zones)

    def reaches(self, zone: str, port: int) -> bool:
        other = self.zones.get(port, zone)
        return (zone in self.cut_off) == (other in self.cut_off)

    def loses(self) -> bool:
        return self.ways.loss > 0.0 and self.rng.random() < self.ways.loss

    def delay(self, zone: str, port: int) -> float:
        """Of one way, in seconds."""
        other = self.zones.get(port, zone)
        if self.later is None or other == zone:
            return 0.0
        same_region = self.ways.regions.get(zone) == self.ways.regions.get(other)
        return self.ways.zone_delay if same_region else self.ways.region_delay


def datagram_kind(data: bytes) -> str:
    """What a datagram of the fleet's view is, without decoding it whole."""
    size = data[KIND_AT] - SHORT_STRING if len(data) > KIND_AT else -1
    if not 0 < size <= LONGEST_SHORT:
        return "other"
    return data[KIND_AT + 1 : KIND_AT + 1 + size].decode("ascii", "replace")


class CountedSocket:
    """A datagram socket as ``FleetService`` uses it. What the network loses is counted as sent."""

    def __init__(self, sock: socket.socket, zone: str, network: Network, traffic: Traffic) -> None:
        self.sock, self.zone, self.network, self.traffic = sock, zone, network, traffic

    def fileno(self) -> int:
        return self.sock.fileno()

    def getsockname(self) -> Any:
        return self.sock.getsockname()

    def recvfrom(self, size: int) -> tuple[bytes, Any]:
        data, source = self.sock.recvfrom(size)
        self.traffic.add(f"in datagram {datagram_kind(data)}", len(data))
        return data, source

    def sendto(self, data: bytes, where: tuple[str, int]) -> int:
        self.traffic.add(f"out datagram {datagram_kind(data)}", len(data))
        if not self.network.reaches(self.zone, where[1]) or self.network.loses():
            return len(data)
        delay = self.network.delay(self.zone, where[1])
        if self.network.later is not None and delay > 0.0:
            self.network.later(delay, partial(self.arrive, data, where))
            return len(data)
        return self.sock.sendto(data, where)

    def arrive(self, data: bytes, where: tuple[str, int]) -> None:
        """One that was delayed; its sender or its receiver may have gone meanwhile."""
        with contextlib.suppress(OSError):
            self.sock.sendto(data, where)

    def close(self) -> None:
        self.sock.close()


@dataclass(frozen=True, slots=True)
class Owner:
    """The ingress on whose behalf a task runs."""

    zone: str
    network: Network
    traffic: Traffic


owner: contextvars.ContextVar[Owner] = contextvars.ContextVar("owner")


class CountedStream:
    """A client's stream as ``HttpClient`` uses it."""

    def __init__(self, stream: Stream, owner: Owner, port: int, kind: str) -> None:
        self.stream, self.owner, self.port, self.kind = stream, owner, port, kind

    async def send(self, buffers: Sequence[bytes | memoryview]) -> None:
        self.check()
        self.owner.traffic.add(f"out request {self.kind}", sum(map(len, buffers)))
        await self.travel()
        await self.stream.send(buffers)

    async def receive(self) -> bytes:
        data = await self.stream.receive()
        await self.travel()
        self.check()
        self.owner.traffic.add(f"in answer {self.kind}", len(data), 0)
        return data

    async def travel(self) -> None:
        """The time of one way. That of a handshake is not played."""
        if (delay := self.owner.network.delay(self.owner.zone, self.port)) > 0.0:
            await trio.sleep(delay)

    def check(self) -> None:
        """``NoAnswer`` where the other side is cut off, also behind a connection that stands."""
        if not self.owner.network.reaches(self.owner.zone, self.port):
            raise NoAnswer(f"port {self.port} is cut off")


class CountedClient(HttpClient):
    """An ``HttpClient`` whose requests are counted for the ingress that made it, and end at a cut."""

    def __init__(self, *given: Any, **named: Any) -> None:
        super().__init__(*given, **named)
        self.owner = owner.get()
        self.port = int(self.address.rpartition(":")[2])

    async def exchange(self, stream: Stream, parser: PacedParser, parts: list[bytes], kept: bool) -> Response:
        kind = parts[0].split(b" ", 2)[1].partition(b"?")[0].decode("ascii", "replace")
        counted = CountedStream(stream, self.owner, self.port, kind)
        response = await super().exchange(counted, parser, parts, kept)  # type: ignore[arg-type]
        self.owner.traffic.messages[f"in answer {kind}"] += 1
        return response
