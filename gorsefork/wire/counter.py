"""The quota counter on the wire: one connection, calls written one behind another."""

from __future__ import annotations

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


class CounterClient:
    """Actor. A call that is not answered in time keeps its place in the line, so that answers still match."""

    def __init__(self, dial: str, clock: Clock, timeout: float, post: Callable[[Counted], None]) -> None:
        self.dial, self.clock, self.post = dial, clock, post
        self.timeout = round(timeout * SECOND)
        self.mailbox: Mailbox[CountCall] = Mailbox(MOST_OUT)
        self.unwritten: deque[CountCall] = deque()
        self.line: deque[CountCall] = deque()  # written, in order
        self.stream: Stream | None = None
        self.connecting = False
        self.heard_at = self.used_at = 0

    def add(self, name: str, amount: float, ttl_us: int) -> None:
        now = self.clock.now
        target = f"/v1/count/{name}?add={decimal(amount)}&ttl_ms={max(1, ttl_us // 1000)}"
        call = CountCall(name, target, now, now + self.timeout)
        if len(self.line) + len(self.unwritten) >= MOST_OUT or not self.mailbox.put(call):
            self.tell(call, "connect_failed")

    async def run(self) -> None:
        async with trio.open_nursery() as nursery:
            while True:
                await self.mailbox.wait(self.next_look())
                self.unwritten.extend(self.mailbox.drain())
                self.look(self.clock.now)
                if self.unwritten and self.stream is None and not self.connecting:
                    self.connecting = True
                    nursery.start_soon(self.session)
                elif self.stream is not None:
                    self.write(self.stream)

    def next_look(self) -> float:
        times = [call.due for call in (*self.line, *self.unwritten) if not call.told][:1]
        times += [call.due for call in self.unwritten][:1]
        if self.stream is not None:
            times.append(self.line[0].written_at + SILENT_AFTER if self.line else self.used_at + IDLE_FOR)
        return self.clock.trio_deadline(min(times)) if times else float("inf")

    def look(self, now: int) -> None:
        """Time-outs, and the end of a connection that is silent or has been idle for long."""
        while self.unwritten and self.unwritten[0].due <= now:
            self.tell(self.unwritten.popleft(), "connect_failed")
        for call in self.line:
            if call.due <= now and not call.told:
                self.tell(call, "timeout")
        if self.stream is not None:
            silent = self.line and max(self.heard_at, self.line[0].written_at) + SILENT_AFTER <= now
            if silent or (not self.line and self.used_at + IDLE_FOR <= now):
                self.end()

    def tell(self, call: CountCall, status: Status, total: float = 0.0) -> None:
        if not call.told:
            call.told = True
            self.post(Counted(call.name, status, total, max(0, self.clock.now - call.called_at) / SECOND))

    def write(self, stream: Stream) -> None:
        while self.unwritten:
            call = self.unwritten.popleft()
            head = f"POST {call.target} HTTP/1.1\r\nHost: {self.dial}\r\nContent-Length: 0\r\n\r\n".encode()
            try:
                left = stream.write_now([head])
            except OSError:
                left = [memoryview(head)]
            if left:  # a counter that reads nothing more is as good as gone
                self.tell(call, "connect_failed")
                self.end()
                return
            call.written_at = self.used_at = self.clock.now
            self.line.append(call)

    def end(self) -> None:
        """Give up the connection. What was written may have been added."""
        if self.stream is not None:
            self.stream.close()
            self.stream = None
        while self.line:
            self.tell(self.line.popleft(), "timeout")

    async def session(self) -> None:
        try:
            stream = await connect(self.dial, self.timeout / SECOND)
        finally:
            self.connecting = False
        if stream is None:
            while self.unwritten:
                self.tell(self.unwritten.popleft(), "connect_failed")
            return
        self.stream, self.heard_at = stream, self.clock.now
        self.used_at = self.clock.now
        self.look(self.clock.now)
        self.write(stream)
        self.mailbox.bell.set()
        with suppress(OSError, trio.ClosedResourceError, h11.RemoteProtocolError):
            await self.read(stream)
        if self.stream is stream:
            self.end()

    async def read(self, stream: Stream) -> None:
        """h11 knows one call at a time: it is told of each as its answer is awaited."""
        http = h11.Connection(h11.CLIENT)
        while True:
            http.send(h11.Request(method="POST", target="/", headers=[("Host", self.dial)]))
            http.send(h11.EndOfMessage())
            status, body = 0, b""
            while not isinstance(event := http.next_event(), h11.EndOfMessage):
                if event is h11.NEED_DATA:
                    data = await stream.receive()
                    self.heard_at = self.clock.now
                    http.receive_data(data)
                elif isinstance(event, h11.Response):
                    status = event.status_code
                elif isinstance(event, h11.Data):
                    body += event.data
                elif isinstance(event, h11.ConnectionClosed):
                    return
            if not self.line or len(body) > 64:
                return
            self.answered(self.line.popleft(), status, body)
            if http.our_state is not h11.DONE or http.their_state is not h11.DONE:
                return
            http.start_next_cycle()

    def answered(self, call: CountCall, status: int, body: bytes) -> None:
        if status == 200:
            try:
                total = float(body)
            except ValueError:
                self.tell(call, "timeout")
            else:
                self.tell(call, "ok", total) if abs(total) < 1e15 else self.tell(call, "timeout")
        else:
            self.tell(call, "full" if status in (503, 400, 404) else "timeout")
