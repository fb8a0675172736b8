"""Clients with the terms of the protocol page, which record what becomes of each request."""

from __future__ import annotations

import random
import time
from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass, field

import trio

from gorsefork.lab.faults.addresses import loopback_host
from gorsefork.lab.faults.records import Effect, Records, Request
from gorsefork.lab.faults.servers import Gone, field_of, read_head, receive

STAYS = 0.6  # s after its time that a client waits for a late answer
MOST_KEPT = 24  # connections to one ingress
TARGETS: dict[Effect, tuple[str, str]] = {
    "repeatable": ("GET", "/look"),
    "by_key": ("POST", "/buy"),
    "once": ("POST", "/pay"),
}


@dataclass(slots=True)
class Door:
    """One ingress as the front knows it. ``open``: new connections go there."""

    number: int
    port: int = 0  # on ``host``
    operators_port: int = 0
    open: bool = False
    kept: list[trio.SocketStream] = field(default_factory=list)

    @property
    def host(self) -> str:
        """An address of its own."""
        return loopback_host(self.number + 1)


@dataclass(frozen=True, slots=True)
class Manners:
    """How clients behave. ``waits``: seconds, the shortest and the longest; shares are of all requests."""

    rate: float = 120.0  # requests a second, over all ingresses
    waits: tuple[float, float] = (0.3, 0.9)
    leaves: float = 0.0
    stops: float = 0.0  # in the middle of a request, and stays
    crowd: int = 0  # idle connections to each ingress
    uneven: bool = False  # some ingresses see several times the mean


class Clients:
    """Requests at a rate, each in a task of its own, over connections that are kept while they are open."""

    def __init__(self, doors: Sequence[Door], records: Records, manners: Manners, seed: int) -> None:
        self.doors, self.records, self.manners = doors, records, manners
        self.rng = random.Random(seed)
        self.serial = 0
        self.unanswered: defaultdict[int, int] = defaultdict(int)
        self.burst = 1.0  # multiple of the usual rate
        self.stopped = False  # no more requests are begun
        self.ended = 0  # requests that have ended
        self.progress = trio.Event()  # a request has ended

    async def run(self, seconds: float) -> None:
        """For so many seconds, and then until all have ended."""
        until = trio.current_time() + seconds
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.crowd, seconds)
            while trio.current_time() < until and not self.stopped:
                await trio.sleep(self.rng.expovariate(self.manners.rate * self.burst))
                door = self.choose_door()
                if door.open or door.kept:
                    nursery.start_soon(self.ask, door)

    def choose_door(self) -> Door:
        if not self.manners.uneven:
            return self.rng.choice(self.doors)
        # The first ones get up to three times the mean.
        return self.doors[int(len(self.doors) * self.rng.random() ** 1.5)]

    async def wait_for(self, requests: int) -> None:
        """Until so many more requests have ended."""
        enough = self.ended + requests
        while self.ended < enough:
            await self.progress.wait()

    def count_ended(self) -> None:
        self.ended += 1
        self.progress.set()
        self.progress = trio.Event()

    async def crowd(self, seconds: float) -> None:
        """Idle connections that fill places, made anew as they are closed."""
        with trio.move_on_after(seconds):
            async with trio.open_nursery() as nursery:
                for door in self.doors:
                    for _ in range(self.manners.crowd):
                        nursery.start_soon(self.idle, door)

    async def idle(self, door: Door) -> None:
        while True:
            if door.open:
                try:
                    async with await trio.open_tcp_stream(door.host, door.port) as stream:
                        await stream.receive_some()
                except (OSError, trio.BrokenResourceError):
                    pass
            await trio.sleep(self.rng.uniform(0.1, 0.5))

    def draw(self, door: Door) -> Request:
        self.serial += 1
        effect: Effect = self.rng.choices(("repeatable", "by_key", "once"), (6, 2, 2))[0]
        request = Request(
            f"{self.serial:x}", door.number, effect, round(self.rng.uniform(*self.manners.waits), 3)
        )
        self.records.requests[request.id] = request
        return request

    async def ask(self, door: Door) -> None:
        request = self.draw(door)
        if self.rng.random() < self.manners.stops:
            await self.stop_midway(door, request)
            return
        await self.send(door, request)
        self.count_ended()
        if request.end == "connection ended" and request.kept:
            other = next((each for each in (door, *self.doors) if each.open), None)
            left = request.sent_at + request.waits - time.monotonic()
            if other is not None and left > 0.05:
                again = Request(f"{request.id}.2", other.number, request.effect, round(left, 3))
                request.again = again.id
                self.records.requests[again.id] = again
                await self.send(other, again, fresh=True)

    async def stop_midway(self, door: Door, request: Request) -> None:
        """Half a head, and then nothing: bad clients are owed their error or close within 3 s."""
        del self.records.requests[request.id]
        stream, _ = await self.connection(door, fresh=True)
        if stream is not None:
            with trio.move_on_after(3.5):
                try:
                    await stream.send_all(self.text(request)[:40])
                    while await stream.receive_some():
                        pass
                except trio.BrokenResourceError:
                    pass
            await trio.aclose_forcefully(stream)

    async def connection(self, door: Door, fresh: bool) -> tuple[trio.SocketStream | None, bool]:
        if door.kept and not fresh:
            return door.kept.pop(), True
        if not door.open:
            return None, False
        try:
            return await trio.open_tcp_stream(door.host, door.port), False
        except OSError:
            return None, False

    def text(self, request: Request) -> bytes:
        method, target = TARGETS[request.effect]
        body = b"" if method == "GET" else b"body"
        lines = [
            f"{method} {target} HTTP/1.1",
            "Host: service.internal",
            f"X-Trace-Id: {request.id}",
            "X-Contract: open",
            f"X-Client-Id: {int(request.id.split('.')[0], 16) % 50:016x}",
            f"X-Expires-In-Ms: {max(1, round(request.waits * 1000))}",
            "X-Metering: units=1,spread=1,first=0",
        ]
        if request.effect == "by_key":
            lines.append(f"Idempotency-Key: k{request.id}")
        if body:
            lines.append(f"Content-Length: {len(body)}")
        return ("\r\n".join(lines) + "\r\n\r\n").encode() + body

    async def send(self, door: Door, request: Request, fresh: bool = False) -> None:
        stream, request.kept = await self.connection(door, fresh)
        if stream is None:
            request.end, request.ended_at = "not connected", time.monotonic()
            return
        try:
            await stream.send_all(self.text(request))
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            # Its connection had ended before the last byte was written: it was not taken.
            request.sent_at = request.ended_at = time.monotonic()
            request.end = "connection ended" if request.kept else "not connected"
            await trio.aclose_forcefully(stream)
            return
        request.sent_at = time.monotonic()
        leaves = self.rng.random() < self.manners.leaves
        stays = self.rng.uniform(0.0, request.waits) if leaves else request.waits + STAYS
        keep = False
        with trio.move_on_after(stays) as scope:
            keep = await self.hear(stream, request)
        if scope.cancelled_caught:
            request.end = "left" if leaves else "no answer"
        if keep and len(door.kept) < MOST_KEPT:
            request.ended_at = time.monotonic()
            door.kept.append(stream)
            return
        await trio.aclose_forcefully(stream)
        request.ended_at = request.ended_at or time.monotonic()

    async def hear(self, stream: trio.SocketStream, request: Request) -> bool:
        """Its answer. Whether the connection may be kept."""
        buffer = bytearray()
        try:
            head, _ = await read_head(stream, buffer)
            while len(buffer) < int(field_of(head, "Content-Length") or 0):
                await receive(stream, buffer)
        except Gone:
            request.end, request.ended_at = "connection ended", time.monotonic()
            return False
        request.ended_at, request.body = time.monotonic(), bytes(buffer)
        status = head.split(" ", 2)[1]
        request.end = "answered" if status == "200" else "refused" if status in ("429", "503") else "failed"
        return field_of(head, "Connection").lower() != "close"
