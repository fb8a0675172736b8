"""The quota counter on the wire: one connection, calls written one behind another."""

from __future__ import annotations

import re
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass

import h11
import trio

from gorsefork.decisions.interface import CounterReply, Status
from gorsefork.memory.clock import SECOND, Clock
from gorsefork.memory.mailbox import Mailbox
from gorsefork.wire.stream import Stream, connect

MAX_CALLS_IN_FLIGHT = 64  # calls without an answer, written or not
MAX_IDLE_US = 5 * SECOND  # the counter closes what has been idle for about 10 s or less
MAX_TOTAL_BYTES = 64  # bytes of an answer
TOTAL_PATTERN = re.compile(rb"\s{0,8}[+-]?\d{1,15}(\.\d{0,20})?([eE][+-]?\d{1,2})?\s{0,8}")
MAX_SILENCE_US = SECOND // 2  # with calls out and not a byte in that time the connection is given up


@dataclass(slots=True, eq=False)
class CounterCall:
    name: str
    target: str
    called_at: int
    deadline: int
    written_at: int = 0
    reported: bool = False  # the module has its outcome


def decimal(amount: float) -> str:
    return f"{amount:.6f}".rstrip("0").rstrip(".") or "0"


class CounterConnection:
    """One connection and the calls written to it, in order."""

    def __init__(self, stream: Stream, now: int) -> None:
        self.stream, self.heard_at, self.used_at = stream, now, now
        self.unanswered: deque[CounterCall] = deque()

    def expires_at(self) -> int:
        """When it will have been silent, or idle, for too long."""
        if self.unanswered:
            return max(self.heard_at, self.unanswered[0].written_at) + MAX_SILENCE_US
        return self.used_at + MAX_IDLE_US


class CounterClient:
    """Actor. A call that is not answered in time keeps its place in the line, so that answers still match."""

    def __init__(self, dial: str, clock: Clock, timeout: float, post: Callable[[CounterReply], None]) -> None:
        self.address, self.clock, self.post = dial, clock, post
        self.timeout = round(timeout * SECOND)
        self.mailbox: Mailbox[CounterCall] = Mailbox(MAX_CALLS_IN_FLIGHT)
        self.unwritten: deque[CounterCall] = deque()
        self.connection: CounterConnection | None = None  # the one that is written to
        # and those at earlier addresses that still owe answers
        self.connections: list[CounterConnection] = []
        self.connecting = False

    def calls_in_flight(self) -> int:
        return len(self.unwritten) + sum(len(session.unanswered) for session in self.connections)

    def add(self, name: str, amount: float, ttl_us: int) -> None:
        now = self.clock.now
        target = f"/v1/count/{name}?add={decimal(amount)}&ttl_ms={max(1, ttl_us // 1000)}"
        call = CounterCall(name, target, now, now + self.timeout)
        if self.calls_in_flight() >= MAX_CALLS_IN_FLIGHT or not self.mailbox.put(call):
            self.report(call, "connect_failed")

    def move(self, dial: str) -> None:
        """A new address: no call goes to the old one from here on, what it owes is still awaited there."""
        self.address = dial
        if self.connection is not None:
            old, self.connection = self.connection, None
            if not old.unanswered:
                self.close_connection(old)
        self.mailbox.not_empty.set()

    async def run(self) -> None:
        async with trio.open_nursery() as nursery:
            while True:
                await self.mailbox.wait(self.next_deadline())
                self.unwritten.extend(self.mailbox.drain())
                self.expire(self.clock.now)
                if self.connection is not None:
                    self.write(self.connection)
                elif self.unwritten and not self.connecting:
                    self.connecting = True
                    nursery.start_soon(self.connect)

    def next_deadline(self) -> float:
        times = [session.expires_at() for session in self.connections]
        for line in (self.unwritten, *(session.unanswered for session in self.connections)):
            times += [call.deadline for call in line if not call.reported][:1]
        return self.clock.trio_deadline(min(times)) if times else float("inf")

    def expire(self, now: int) -> None:
        """Time-outs, and the end of a connection that is silent or has been idle for long."""
        while self.unwritten and self.unwritten[0].deadline <= now:
            self.report(self.unwritten.popleft(), "connect_failed")
        for session in list(self.connections):
            for call in session.unanswered:
                if call.deadline <= now and not call.reported:
                    self.report(call, "timeout")
            if session.expires_at() <= now:
                self.close_connection(session)

    def report(self, call: CounterCall, status: Status, total: float = 0.0) -> None:
        if not call.reported:
            call.reported = True
            self.post(
                CounterReply(call.name, status, total, max(0, self.clock.now - call.called_at) / SECOND)
            )

    def write(self, session: CounterConnection) -> None:
        while self.unwritten:
            call = self.unwritten.popleft()
            head = (
                f"POST {call.target} HTTP/1.1\r\nHost: {self.address}\r\nContent-Length: 0\r\n\r\n".encode()
            )
            try:
                left = session.stream.write_now([head])
            except OSError:
                left = [memoryview(head)]
            if left:  # a counter that reads nothing more is as good as gone
                self.report(call, "connect_failed")
                self.close_connection(session)
                return
            call.written_at = session.used_at = self.clock.now
            session.unanswered.append(call)

    def close_connection(self, session: CounterConnection) -> None:
        """Give up a connection. What was written may have been added."""
        session.stream.close()
        if session in self.connections:
            self.connections.remove(session)
        if self.connection is session:
            self.connection = None
            self.mailbox.not_empty.set()  # what waits needs another connection
        while session.unanswered:
            self.report(session.unanswered.popleft(), "timeout")

    async def connect(self) -> None:
        dial = self.address
        try:
            stream = await connect(dial, self.timeout / SECOND)
        finally:
            self.connecting = False
            self.mailbox.not_empty.set()
        if dial != self.address:  # moved meanwhile: the calls that wait are for the new address
            if stream is not None:
                stream.close()
            return
        if stream is None:
            while self.unwritten:
                self.report(self.unwritten.popleft(), "connect_failed")
            return
        session = self.connection = CounterConnection(stream, self.clock.now)
        self.connections.append(session)
        self.expire(self.clock.now)
        self.write(session)
        with suppress(OSError, trio.ClosedResourceError, h11.RemoteProtocolError):
            await self.read(session)
        self.close_connection(session)

    async def read(self, session: CounterConnection) -> None:
        """h11 knows one call at a time: it is told of each as its answer is awaited."""
        http = h11.Connection(h11.CLIENT)
        while session is self.connection or session.unanswered:
            http.send(h11.Request(method="POST", target="/", headers=[("Host", self.address)]))
            http.send(h11.EndOfMessage())
            status, body = 0, b""
            while not isinstance(event := http.next_event(), h11.EndOfMessage):
                if event is h11.NEED_DATA:
                    data = await session.stream.receive()
                    session.heard_at = self.clock.now
                    http.receive_data(data)
                elif isinstance(event, h11.Response):
                    status = event.status_code
                elif isinstance(event, h11.Data):
                    body += event.data
                    if len(body) > MAX_TOTAL_BYTES:
                        return
                elif isinstance(event, h11.ConnectionClosed):
                    return
            if not session.unanswered or not self.handle_answer(session.unanswered.popleft(), status, body):
                return
            if http.our_state is not h11.DONE or http.their_state is not h11.DONE:
                return
            http.start_next_cycle()

    def handle_answer(self, call: CounterCall, status: int, body: bytes) -> bool:
        """Whether the answer could be read. One that can't be leaves it open what the next bytes answer."""
        if status in (503, 400, 404):
            self.report(call, "full")
            return True
        total = read_total(body) if status == 200 else None
        if total is None:
            self.report(call, "timeout")  # it was added
            return False
        self.report(call, "ok", total)
        return True


def read_total(body: bytes) -> float | None:
    """A decimal number and nothing else: ``float`` alone would take ``nan`` and ``1_0`` too."""
    return float(body) if TOTAL_PATTERN.fullmatch(body) else None
