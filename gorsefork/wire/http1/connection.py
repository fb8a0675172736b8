"""A client's connection: requests are read one after another, and each is answered before the next."""

from __future__ import annotations

import contextlib
import errno
import math
import socket
import struct
from collections import OrderedDict
from collections.abc import Awaitable, Callable
from typing import Protocol

import h11
import trio

from gorsefork.memory.arrival import Arrival
from gorsefork.memory.call import Answer, Denied, Long
from gorsefork.memory.clock import Clock
from gorsefork.memory.flow import MOST_HELD, Flow
from gorsefork.wire.http1.exchange import (
    MOST_BODY,
    UPLOAD_MOST,
    Exchange,
    Front,
    Headers,
    fault_of,
    to_http,
)
from gorsefork.wire.stream import Stream

MOST_HEAD = 16384
MOST_DISCARDED = 1 << 18  # bytes that are read and dropped behind a last answer
MOST_REFUSED = 64 << 20  # the same where they belong to a body that was answered before its end
LOOK_FOR_END = 0.05  # s between looks whether a client that is not read on has left: 0.1 s are allowed
REQUEST_WITHIN = 2.5  # s from the first byte of a request to its last, or to the end of its head
BODY_GAP = 1.5  # s between two pieces of a body, beyond that
PENALTY = 0.25  # s until a client that was answered with an error is read on
FLUSH_WITHIN = 10.0  # s that a client may take to read an answer, or a piece of a long one
LINGER = 1.0  # s that a client has to read its last answer and close
LINGER_REFUSED = 3.0  # the same where it still sends a body
LAST_READS = 1024  # of a connection that is closed: its client may write on and on
LAST_HEADS = 0.5  # s after SIGTERM for the rest of heads that have begun

NO_CALL = frozenset((400, 404, 405, 409, 413, 431, 501, 505))  # the client's fault, whosever token it had


class Owner(Protocol):
    """The acceptor, as its connections see it. ``idle``, ``heads``: the connections without a request and
    those whose request has begun, in the order in which they give way."""

    front: Front
    clock: Clock
    closing: bool
    away_since: int | None
    idle: OrderedDict[ClientConnection, int]
    heads: OrderedDict[ClientConnection, None]

    def start(self, task: Callable[[], Awaitable[None]]) -> None:
        """Run a task beside the connections."""
        ...

    def begun(self, connection: ClientConnection) -> None:
        """A byte of a request's head has come, the first or one more."""
        ...

    def told_off(self, connection: ClientConnection) -> None:
        """Its client hears that no more comes, and is to close."""
        ...

    def closed(self, connection: ClientConnection) -> None:
        """It holds a place no longer."""
        ...


class ClientConnection:
    """Reads in its own task. Answers are written at once from wherever they come, with one gathered write.

    ``came_at``: the time before which it had not come, in microseconds.
    """

    def __init__(self, stream: Stream, acceptor: Owner, came_at: int) -> None:
        self.stream, self.acceptor = stream, acceptor
        self.arrival, self.bytes_came_at = Arrival(acceptor.clock, came_at), came_at
        self.http = h11.Connection(h11.SERVER, max_incomplete_event_size=MOST_HEAD)
        self.exchange: Exchange | None = None
        self.unsent: list[memoryview] = []
        self.flushing = self.advancing = False
        self.scope = trio.CancelScope()
        self.last = False  # nothing more is read from this client
        self.served = False  # it has had an answer
        self.refused = False  # answered in the middle of a body
        self.paused = False  # it is not read on for a while
        self.errors = self.discarded = 0
        self.unsent_head: list[bytes] = []  # of a long answer, until its first piece goes with it
        self.pouring = self.closes = False  # a long answer is on its way; it is the last

    async def run(self) -> None:
        """Until its client ends, or the time that it has; each of those times has a scope of its own."""
        while True:
            # What breaks here is the client's own affair, and the end of this connection only.
            with self.scope as scope, contextlib.suppress(OSError, trio.ClosedResourceError):
                await self.read_on()
            if not scope.cancelled_caught or not self.lapse():
                break
        self.finish()

    async def read_on(self) -> None:
        while data := await self.receive():
            if self.take(data):
                break
            await self.hold_back()
            while self.paused:
                # Guards against a client that asks the same again as soon as it is turned away:
                # at full speed a few of those would take all of this ingress's time.
                await trio.sleep(PENALTY)
                self.paused = False
                self.advance()

    async def receive(self) -> bytes:
        """The next bytes; none at the end."""
        self.arrival.wait()
        return await self.stream.receive()

    def lapse(self) -> bool:
        """This client's time is over, for a request that has begun or for its first byte. Whether its end is
        still to be waited for. Guards against a close over bytes that came in this moment: it is a reset, and
        would take the answer back."""
        if self.last or self.stream.closed:
            return False
        self.scope, exchange = trio.CancelScope(), self.exchange
        if exchange is None:
            self.close_if_idle()
            self.last |= self.flushing  # once that is done it ends
        elif not exchange.answered:
            self.reject(408)
        return not self.stream.closed

    def end_reading(self) -> None:
        """Nothing that comes from here on begins a call; what has come whole is one still."""
        if self.exchange is None:
            self.close_if_idle()
            self.last |= self.flushing
        elif self.exchange.call is None and not self.exchange.answered:
            self.reject(408)

    def take(self, data: bytes) -> bool:
        """Feed what came; whether this client sends too much ahead of its answer, or behind its last."""
        self.bytes_came_at = self.arrival.earliest()
        self.arrival.emptied()
        if self.last:
            self.discarded += len(data)
            return self.discarded > (MOST_REFUSED if self.refused else MOST_DISCARDED)
        if self.exchange is None and (self.scope.deadline == math.inf or self in self.acceptor.idle):
            within = LAST_HEADS if self.acceptor.closing else REQUEST_WITHIN
            self.scope.deadline = trio.current_time() + within  # lifted once the request is whole
        self.acceptor.begun(self)
        self.http.receive_data(data)
        self.advance()
        if self.exchange is not None and self.scope.deadline < math.inf:  # in the middle of a body
            self.scope.deadline = max(self.scope.deadline, trio.current_time() + BODY_GAP)
        return self.exchange is not None and len(self.http.trailing_data[0]) > MOST_HELD + MOST_HEAD

    async def hold_back(self) -> None:
        """Read on from the client once its body can be passed on; it is not to blame for that wait."""
        flow = self.exchange.flow if self.exchange is not None else None
        if flow is not None and flow.full() and self.scope.deadline < math.inf:
            self.scope.deadline = trio.current_time() + UPLOAD_MOST / 1e6
            while flow.full() and not self.stream.ended():
                # Guards against a client that leaves while its call waits: its end is behind unread bytes.
                with trio.move_on_after(LOOK_FOR_END):
                    await flow.wait_for_room()
            if flow.full():
                raise ConnectionResetError(errno.ECONNRESET, "the client has left")
            if not self.last:
                self.scope.deadline = trio.current_time() + BODY_GAP

    def finish(self) -> None:
        exchange, self.exchange = self.exchange, None
        self.stream.close()
        self.acceptor.closed(self)
        if exchange is not None and exchange.flow is not None:
            exchange.flow.tear()
        if exchange is not None and not exchange.answered:
            exchange.answered = True
            exchange.left()

    def advance(self) -> None:
        """Act on what has been read so far. An answer given within only ends its round of this loop: many
        requests in one go would otherwise stack up and end the program."""
        if self.advancing:
            return
        self.advancing = True
        try:
            self.step()
        finally:
            self.advancing = False

    def step(self) -> None:
        while not self.last and not self.paused:
            try:
                event = self.http.next_event()
            except h11.RemoteProtocolError as error:
                self.reject(error.error_status_hint)
                return
            if event is h11.NEED_DATA:
                if self.http.they_are_waiting_for_100_continue:
                    self.write(h11.InformationalResponse(status_code=100, headers=[]))
                return
            if isinstance(event, h11.Request):
                self.acceptor.heads.pop(self, None)
                headers: dict[bytes, bytes] = {}
                for name, value in event.headers:  # what stands twice is joined, as its readers expect
                    seen = headers.get(bytes(name))
                    headers[bytes(name)] = bytes(value) if seen is None else seen + b", " + bytes(value)
                most = MOST_BODY if self.acceptor.front.passes else MOST_HELD
                if fault := fault_of(event, headers, most):
                    self.reject(fault)
                    return
                self.exchange = exchange = Exchange(
                    event.method.decode("ascii"),
                    event.target.decode("latin-1"),
                    headers,
                    self.bytes_came_at,
                    lambda answer: None,
                )
                exchange.client_left = self.stream.ended
                exchange.reply = lambda answer, exchange=exchange: self.reply(exchange, answer)  # type: ignore[misc]
            elif isinstance(event, h11.Data) and self.exchange is not None:
                self.body(self.exchange, event.data)
            elif isinstance(event, h11.EndOfMessage) and self.exchange is not None:
                if self.exchange.flow is None and self.gone():
                    return
                self.scope.deadline = math.inf  # silence no longer ends it: a call may be in hand
                exchange = self.exchange
                if exchange.flow is None:
                    exchange.came_at = self.bytes_came_at  # its time counts from its last byte
                    self.acceptor.front.begin(exchange)
                    continue
                if exchange.call is not None:
                    exchange.call.uploaded(self.bytes_came_at)
                exchange.flow.end()
            else:  # paused behind the request in hand, or the client has closed
                return

    def gone(self) -> bool:
        """Whether the client of a request that is about to begin has left; so this connection ends. Guards
        against one that sent much and went: its requests would go on to servers before its end is read."""
        if self.stream.ended():
            self.last, self.exchange = True, None
            self.stream.close()
        return self.stream.closed

    def body(self, exchange: Exchange, piece: bytes) -> None:
        """Held whole while it is small; beyond that the call begins, and its body passes through."""
        if exchange.flow is not None:
            exchange.flow.put(bytes(piece))
            exchange.discarded += len(piece)
            if exchange.discarded > MOST_BODY:
                exchange.flow.tear()
                self.reject(413)
            return
        exchange.body += piece
        if len(exchange.body) <= MOST_HELD:
            return
        if not self.acceptor.front.passes:
            self.reject(413)
            return
        if self.gone():
            return
        length = exchange.headers.get(b"content-length")
        exchange.flow = Flow(int(length) if length is not None else None, bytes(exchange.body))
        exchange.discarded, exchange.body = len(exchange.body), bytearray()
        exchange.came_at = self.bytes_came_at
        self.acceptor.front.begin(exchange)

    def reject(self, status: int) -> None:
        """A request that cannot be read or is too large: a plain answer, and nothing more is read. A call in
        hand on this connection has nobody any more to whom it could be answered."""
        exchange = self.exchange or Exchange("", "", {}, 0, lambda answer: None)
        if exchange.call is not None:
            exchange.left()
        self.exchange = exchange
        self.reply(exchange, Denied(status), last=True)

    def reply(self, exchange: Exchange, answer: Answer, last: bool = False) -> None:
        """Exactly one answer: the first."""
        if exchange.answered:
            return
        exchange.answered = True
        if isinstance(answer, Denied) and answer.status in NO_CALL:
            self.errors += 1
            last, self.paused = last or self.errors > 1, True
        self.refused = self.http.their_state is h11.SEND_BODY
        if exchange.flow is not None:
            exchange.flow.drop()
        last = last or self.refused or self.acceptor.closing or self.acceptor.away_since is not None
        if isinstance(answer, Long):
            self.begin_long(answer, last)
            return
        status, headers, body = to_http(answer, self.acceptor.front.whole_seconds)
        headers.append((b"Content-Length", str(len(body)).encode()))
        if last:
            headers.append((b"Connection", b"close"))
        head = exchange.method == "HEAD"
        self.write(
            h11.Response(status_code=status, headers=headers),
            *([h11.Data(body)] if body and not head else []),
            h11.EndOfMessage(),
        )
        self.answered(last)

    def answered(self, last: bool) -> None:
        """On to the next request, or to the end of this connection."""
        self.exchange = None
        if self.stream.closed:  # the write found it broken: what waits unread behind it has nobody to answer
            self.last = True
            return
        if self.http.our_state is h11.DONE and self.http.their_state is h11.DONE and not last:
            self.http.start_next_cycle()
            self.served = True
            self.acceptor.idle[self] = self.acceptor.clock.now
            if self.http.trailing_data[0]:
                self.acceptor.begun(self)
                self.scope.deadline = trio.current_time() + REQUEST_WITHIN
                self.advance()
        else:
            self.last = True
            if not self.flushing:
                self.linger()

    def begin_long(self, answer: Long, last: bool) -> None:
        """The head; it leaves with the first piece. What follows comes from the delegation's own task."""
        headers: Headers = [(b"Content-Type", answer.media.encode("latin-1"))] if answer.media else []
        if answer.length is not None:
            headers.append((b"Content-Length", str(answer.length).encode()))
        if last:
            headers.append((b"Connection", b"close"))
        self.unsent_head = (
            self.http.send_with_data_passthrough(h11.Response(status_code=200, headers=headers)) or []
        )
        self.pouring, self.closes = True, last
        answer.sink = self

    async def pass_on(self, piece: bytes | bytearray) -> None:
        parts = self.http.send_with_data_passthrough(h11.Data(piece)) or []  # type: ignore[arg-type]
        head, self.unsent_head = self.unsent_head, []
        try:
            with trio.fail_after(FLUSH_WITHIN):
                await self.stream.send([*head, *parts])
        except BaseException:
            self.stream.close()  # what was sent has no good end any more
            raise

    def end(self, whole: bool) -> None:
        self.pouring = False
        if self.stream.closed:
            return
        if not whole:
            # Guards against an answer that looks whole where only the connection's end says so.
            self.stream.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            self.stream.close()
            return
        self.write(h11.EndOfMessage())
        self.answered(self.closes or self.acceptor.closing)

    def write(self, *events: h11.Event) -> None:
        parts = [part for event in events for part in self.http.send_with_data_passthrough(event) or ()]
        if self.stream.closed:
            return
        if self.flushing:
            self.unsent += map(memoryview, parts)
            return
        try:
            self.unsent = self.stream.write_now(parts)
        except OSError:
            self.stream.close()  # the reader sees it and ends
            return
        if self.unsent:
            self.flushing = True
            self.acceptor.start(self.flush)

    async def flush(self) -> None:
        """The rest of an answer, for a client that reads slowly; what is answered meanwhile follows it."""
        try:
            with trio.fail_after(FLUSH_WITHIN):
                while self.unsent:
                    parts, self.unsent = self.unsent, []
                    await self.stream.send(parts)
        except (OSError, trio.ClosedResourceError, trio.TooSlowError):
            self.stream.close()
        self.flushing = False
        if self.last and not self.stream.closed:
            self.linger()
        elif self.acceptor.closing and self not in self.acceptor.heads:
            self.close_if_idle()

    def linger(self) -> None:
        """Guards against a reset that would overtake the answer: the client is to close first."""
        self.stream.end_writing()
        self.acceptor.told_off(self)
        within = LINGER_REFUSED if self.refused else LINGER
        self.scope.deadline = min(self.scope.deadline, trio.current_time() + within)

    def close_if_idle(self) -> None:
        """What has arrived unread is read first: it may be a call that this ingress has taken by that.
        Half a head is none yet."""
        if self.exchange is not None or self.last or self.flushing or self.stream.closed:
            return
        self.paused = False  # or what it asked meanwhile would be read and left without an answer
        self.advance()
        with contextlib.suppress(OSError):  # it is closed below
            for _ in range(LAST_READS):
                if self.exchange is not None or self.last or not (data := self.stream.receive_now()):
                    break
                self.take(data)
        if self.exchange is None and not self.last and not self.stream.closed:
            self.last = True
            self.linger()
