"""The quota counter on the wire: one connection, calls written one behind another."""

from __future__ import annotations

import re
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass

import h11
import trio

from gorsefork.decisions.interface import Counted, Status
from gorsefork.memory.clock import SECOND, Clock
from gorsefork.memory.mailbox import Mailbox
from gorsefork.wire.stream import Stream, connect

MOST_OUT = 64  # calls without an answer, written or not
IDLE_FOR = 5 * SECOND  # the counter closes what has been idle for about 10 s or less
MOST_TOTAL = 64  # bytes of an answer
TOTAL = re.compile(rb"\s{0,8}[+-]?\d{1,15}(\.\d{0,20})?([eE][+-]?\d{1,2})?\s{0,8}")
SILENT_AFTER = SECOND // 2  # with calls out and not a byte in that time the connection is given up


@dataclass(slots=True, eq=False)
class CountCall:
    name: str
    target: str
    called_at: int
    due: int
    written_at: int = 0
    told: bool = False  # the module has its outcome


def decimal(amount: float) -> str:
    return f"{amount:.6f}".rstrip("0").rstrip(".") or "0"


class Session:
    """One connection and the calls written to it, in order."""

    def __init__(self, stream: Stream, now: int) -> None:
        self.stream, self.heard_at, self.used_at = stream, now, now
        self.line: deque[CountCall] = deque()

    def worn_at(self) -> int:
        """When it will have been silent, or idle, for too long."""
        if self.line:
            return max(self.heard_at, self.line[0].written_at) + SILENT_AFTER
        return self.used_at + IDLE_FOR


class CounterClient:
    """Actor. A call that is not answered in time keeps its place in the line, so that answers still match."""

    def __init__(self, dial: str, clock: Clock, timeout: float, post: Callable[[Counted], None]) -> None:
        self.dial, self.clock, self.post = dial, clock, post
        self.timeout = round(timeout * SECOND)
        self.mailbox: Mailbox[CountCall] = Mailbox(MOST_OUT)
        self.unwritten: deque[CountCall] = deque()
        self.session: Session | None = None  # the one that is written to
        self.sessions: list[Session] = []  # and those at earlier addresses that still owe answers
        self.connecting = False

    def out(self) -> int:
        return len(self.unwritten) + sum(len(session.line) for session in self.sessions)

    def add(self, name: str, amount: float, ttl_us: int) -> None:
        now = self.clock.now
        target = f"/v1/count/{name}?add={decimal(amount)}&ttl_ms={max(1, ttl_us // 1000)}"
        call = CountCall(name, target, now, now + self.timeout)
        if self.out() >= MOST_OUT or not self.mailbox.put(call):
            self.tell(call, "connect_failed")

    def move(self, dial: str) -> None:
        """A new address: no call goes to the old one from here on, what it owes is still awaited there."""
        self.dial = dial
        if self.session is not None:
            old, self.session = self.session, None
            if not old.line:
                self.end(old)
        self.mailbox.bell.set()

    async def run(self) -> None:
        async with trio.open_nursery() as nursery:
            while True:
                await self.mailbox.wait(self.next_look())
                self.unwritten.extend(self.mailbox.drain())
                self.look(self.clock.now)
                if self.session is not None:
                    self.write(self.session)
                elif self.unwritten and not self.connecting:
                    self.connecting = True
                    nursery.start_soon(self.connect)

    def next_look(self) -> float:
        times = [session.worn_at() for session in self.sessions]
        for line in (self.unwritten, *(session.line for session in self.sessions)):
            times += [call.due for call in line if not call.told][:1]
        return self.clock.trio_deadline(min(times)) if times else float("inf")

    def look(self, now: int) -> None:
        """Time-outs, and the end of a connection that is silent or has been idle for long."""
        while self.unwritten and self.unwritten[0].due <= now:
            self.tell(self.unwritten.popleft(), "connect_failed")
        for session in list(self.sessions):
            for call in session.line:
                if call.due <= now and not call.told:
                    self.tell(call, "timeout")
            if session.worn_at() <= now:
                self.end(session)

    def tell(self, call: CountCall, status: Status, total: float = 0.0) -> None:
        if not call.told:
            call.told = True
            self.post(Counted(call.name, status, total, max(0, self.clock.now - call.called_at) / SECOND))

    def write(self, session: Session) -> None:
        while self.unwritten:
            call = self.unwritten.popleft()
            head = f"POST {call.target} HTTP/1.1\r\nHost: {self.dial}\r\nContent-Length: 0\r\n\r\n".encode()
            try:
                left = session.stream.write_now([head])
            except OSError:
                left = [memoryview(head)]
            if left:  # a counter that reads nothing more is as good as gone
                self.tell(call, "connect_failed")
                self.end(session)
                return
            call.written_at = session.used_at = self.clock.now
            session.line.append(call)

    def end(self, session: Session) -> None:
        """Give up a connection. What was written may have been added."""
        session.stream.close()
        if session in self.sessions:
            self.sessions.remove(session)
        if self.session is session:
            self.session = None
            self.mailbox.bell.set()  # what waits needs another connection
        while session.line:
            self.tell(session.line.popleft(), "timeout")

    async def connect(self) -> None:
        dial = self.dial
        try:
            stream = await connect(dial, self.timeout / SECOND)
        finally:
            self.connecting = False
            self.mailbox.bell.set()
        if dial != self.dial:  # moved meanwhile: the calls that wait are for the new address
            if stream is not None:
                stream.close()
            return
        if stream is None:
            while self.unwritten:
                self.tell(self.unwritten.popleft(), "connect_failed")
            return
        session = self.session = Session(stream, self.clock.now)
        self.sessions.append(session)
        self.look(self.clock.now)
        self.write(session)
        with suppress(OSError, trio.ClosedResourceError, h11.RemoteProtocolError):
            await self.read(session)
        self.end(session)

    async def read(self, session: Session) -> None:
        """h11 knows one call at a time: it is told of each as its answer is awaited."""
        http = h11.Connection(h11.CLIENT)
        while session is self.session or session.line:
            http.send(h11.Request(method="POST", target="/", headers=[("Host", self.dial)]))
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
                    if len(body) > MOST_TOTAL:
                        return
                elif isinstance(event, h11.ConnectionClosed):
                    return
            if not session.line or not self.answered(session.line.popleft(), status, body):
                return
            if http.our_state is not h11.DONE or http.their_state is not h11.DONE:
                return
            http.start_next_cycle()

    def answered(self, call: CountCall, status: int, body: bytes) -> bool:
        """Whether the answer could be read. One that can't be leaves it open what the next bytes answer."""
        if status in (503, 400, 404):
            self.tell(call, "full")
            return True
        total = read_total(body) if status == 200 else None
        if total is None:
            self.tell(call, "timeout")  # it was added
            return False
        self.tell(call, "ok", total)
        return True


def read_total(body: bytes) -> float | None:
    """A decimal number and nothing else: ``float`` alone would take ``nan`` and ``1_0`` too."""
    return float(body) if TOTAL.fullmatch(body) else None
