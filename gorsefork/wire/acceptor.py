"""The acceptor: clients' connections, one exchange at a time on each, whatever the front speaks."""

from __future__ import annotations

import contextlib
import errno
import math
import socket
import struct
from collections import OrderedDict
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field
from typing import Protocol

import h11
import trio

from gorsefork.memory.call import Answer, Call, Denied, Failed, Long, Overload, Served, Short
from gorsefork.memory.clock import Clock
from gorsefork.memory.flow import MOST_HELD, Flow
from gorsefork.wire.stream import Stream, address

MOST_BODY = 33 << 20  # bytes of a request's body, where it is passed on as it comes; else ``MOST_HELD``
MOST_HEAD = 16384
BACKLOG = 1024
MOST_DISCARDED = 1 << 18  # bytes that are read and dropped behind a last answer
LOOK_FOR_END = 0.05  # s between looks whether a client that is not read on has left: 0.1 s are allowed
MOST_REFUSED = 64 << 20  # the same where they belong to a body that was answered before its end
REQUEST_WITHIN = 2.5  # s from the first byte of a request to its last, or to the end of its head
BODY_GAP = 1.5  # s between two pieces of a body, beyond that
UPLOAD_MOST = 600_000_000  # us for a body in all: 32 MB take 512 s at 64 kB/s
SILENT_AFTER = 250_000  # us without a first byte, from when on a new connection is taken for one of a crowd
FRESH = 50_000  # us in which one that has just come may yet ask, also where many come at once
IDLE_FOR = 2_200_000  # us that a connection may stand with no request, a new one too
REAP_EVERY = 0.25  # s between looks for those
PENALTY = 0.25  # s until a client that was answered with an error is read on
FLUSH_WITHIN = 10.0  # s that a client may take to read an answer, or a piece of a long one
LINGER = 1.0  # s that a client has to read its last answer and close
LEAVING = 100_000  # us of that which it has even where places are short
LAST_HEADS = 0.5  # s after SIGTERM for the rest of heads that have begun
LINGER_REFUSED = 3.0  # the same where it still sends a body
FIRST_BYTES = 1.0  # s that a new connection may stay silent once this ingress closes
# us since clients were sent away: until then the front may not know of it yet; by then no connection is to be
# idle, as at 4 s none may have been used in the 2 s before.
AWAY_FROM, AWAY_BY = 350_000, 1_250_000
AWAY_FRESH = 250_000  # us that a connection made meanwhile may stay silent

BROKEN_ON_ITS_WAY = frozenset(
    (
        errno.ECONNABORTED,
        errno.EPROTO,
        errno.ENETDOWN,
        errno.ENETUNREACH,
        errno.EHOSTDOWN,
        errno.EHOSTUNREACH,
        errno.ENOPROTOOPT,
    )
)  # accept(2)

NO_CALL = frozenset((400, 404, 405, 409, 413, 431, 501, 505))  # the client's fault, whosever token it had

BODILESS = frozenset((b"GET", b"HEAD"))

Headers = list[tuple[bytes, bytes]]


@dataclass(slots=True, eq=False)
class Exchange:
    """One request on one connection. ``reply`` is its one answer, ``left`` rings if the client goes first."""

    method: str
    target: str
    headers: dict[bytes, bytes]
    came_at: int
    reply: Callable[[Answer], None]
    body: bytearray = field(default_factory=bytearray)
    call: Call | None = None
    left: Callable[[], None] = lambda: None
    answered: bool = False
    flow: Flow | None = None  # its body, where that is passed on as it comes
    discarded: int = 0  # bytes of that, so far

    def text(self, name: bytes) -> str:
        return self.headers.get(name, b"").decode("latin-1")

    def deny(self, status: int, *headers: tuple[str, str]) -> None:
        self.reply(Denied(status, headers))


def fault_of(head: h11.Request, headers: Mapping[bytes, bytes], most: int) -> int:
    """The status for a head that no front may take, 0 if there is none.

    Guards against a request hidden in the body of another: two lengths are one too many, and a server that
    reads no body of a GET (RFC 9110, 9.3.1 gives it no meaning) runs what stands there as the next request.
    """
    if head.http_version not in (b"1.0", b"1.1"):
        return 505
    chunked, length = b"transfer-encoding" in headers, headers.get(b"content-length")
    if chunked and length is not None:
        return 400
    if length is not None and int(length) > most:
        return 413
    has_body = chunked or (length is not None and int(length) > 0)
    return 400 if has_body and head.method in BODILESS else 0


class Front(Protocol):
    """What the acceptor asks of a front."""

    passes: bool  # whether bodies beyond ``MOST_HELD`` are passed on as they come
    whole_seconds: bool  # whether ``Retry-After`` must be a whole number

    def begin(self, exchange: Exchange) -> None:
        """Take a whole request; its ``reply`` comes now or later, exactly once."""
        ...


class ClientConnection:
    """Reads in its own task. Answers are written at once from wherever they come, with one gathered write."""

    def __init__(self, stream: Stream, acceptor: Acceptor) -> None:
        self.stream, self.acceptor = stream, acceptor
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
        while data := await self.stream.receive():
            if self.take(data):
                break
            await self.hold_back()
            while self.paused:
                # Guards against a client that asks the same again as soon as it is turned away:
                # at full speed a few of those would take all of this ingress's time.
                await trio.sleep(PENALTY)
                self.paused = False
                self.advance()

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
                    self.acceptor.clock.now,
                    lambda answer: None,
                )
                exchange.reply = lambda answer, exchange=exchange: self.reply(exchange, answer)  # type: ignore[misc]
            elif isinstance(event, h11.Data) and self.exchange is not None:
                self.body(self.exchange, event.data)
            elif isinstance(event, h11.EndOfMessage) and self.exchange is not None:
                if self.exchange.flow is None and self.gone():
                    return
                self.scope.deadline = math.inf  # silence no longer ends it: a call may be in hand
                exchange, now = self.exchange, self.acceptor.clock.now
                if exchange.flow is None:
                    exchange.came_at = now  # its time counts from its last byte
                    self.acceptor.front.begin(exchange)
                    continue
                if exchange.call is not None:
                    exchange.call.uploaded(now)
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
        exchange.came_at = self.acceptor.clock.now
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
        try:
            if data := self.stream.receive_now():
                self.take(data)
        except OSError:
            pass  # it is closed below
        if self.exchange is None and not self.last and not self.stream.closed:
            self.last = True
            self.linger()


def to_http(answer: Short, whole_seconds: bool) -> tuple[int, Headers, bytes]:
    if isinstance(answer, Served):  # a backend may use any bytes there, so they go back as they came
        return 200, [(b"Content-Type", answer.media.encode("latin-1"))] if answer.media else [], answer.body
    if isinstance(answer, Overload):
        if answer.retry_after <= 0:
            return 503, [], b""
        advice = str(-int(-answer.retry_after // 1)) if whole_seconds else f"{answer.retry_after:.3f}"
        return 503, [(b"Retry-After", advice.encode())], b""
    if isinstance(answer, Failed):
        return 502, [], b""
    return answer.status, [(name.encode(), value.encode()) for name, value in answer.headers], answer.body


class Acceptor:
    """Listens for one front. At the bounds on connections the one idle for longest gives way."""

    def __init__(
        self,
        listen: str,
        front: Front,
        clock: Clock,
        most: int,
        most_idle: int = 0,
        inherited: int | None = None,
    ) -> None:
        self.front, self.clock, self.most = front, clock, most
        self.most_idle = most_idle or most
        self.connections: set[ClientConnection] = set()
        self.idle: OrderedDict[ClientConnection, int] = OrderedDict()  # since when; longest first
        self.heads: OrderedDict[ClientConnection, None] = OrderedDict()  # begun; the latest byte last
        self.leaving: OrderedDict[ClientConnection, int] = OrderedDict()  # told so: since when
        self.closing = False
        self.away_since: int | None = None
        self.nursery: trio.Nursery | None = None
        self.taking, self.listening = trio.Event(), trio.CancelScope()
        if inherited is not None:  # bound and listening already, and not this process's alone
            self.sock = socket.socket(fileno=inherited)
            self.sock.setblocking(False)
            return
        host, port = address(listen)
        self.sock = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET, socket.SOCK_STREAM)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.setblocking(False)
        self.sock.bind((host, port))
        self.sock.listen(BACKLOG)
        self.begin()

    @property
    def port(self) -> int:
        return int(self.sock.getsockname()[1])

    @property
    def where(self) -> str:
        return f"{self.sock.getsockname()[0]}:{self.port}"

    def start(self, task: Callable[[], Awaitable[None]]) -> None:
        assert self.nursery is not None
        self.nursery.start_soon(task)

    async def run(self) -> None:
        async with trio.open_nursery() as self.nursery:
            self.nursery.start_soon(self.reap)
            while True:
                await self.taking.wait()
                with trio.CancelScope() as self.listening:
                    while True:
                        await trio.lowlevel.wait_readable(self.sock)
                        if not self.accept_ready():
                            await trio.sleep(0.02)

    def begin(self) -> None:
        """Take connections. One whose socket is inherited waits for this, as another may take them still."""
        self.taking.set()

    def cease(self) -> None:
        """Take no more, and leave what waits on the socket to another process."""
        self.taking = trio.Event()
        self.listening.cancel()

    def accept_ready(self) -> bool:
        """Take in all that waits; False if there is no room for more just now."""
        while True:
            if len(self.connections) >= self.most and not self.evict():
                return False
            if len(self.idle) >= self.most_idle:
                # Guards against a crowd that connects and asks nothing: connections are few, and each
                # that is held for one without a request is one less for those that have one.
                self.evict(newcomers=False)
            try:
                stream = Stream(self.sock.accept()[0])
            except BlockingIOError:
                return True
            except OSError as error:
                if error.errno in BROKEN_ON_ITS_WAY:
                    continue  # as it comes, so it goes: others wait behind it, maybe as the listener closes
                return False  # no descriptor is left: the backlog keeps the rest
            connection = ClientConnection(stream, self)
            self.connections.add(connection)
            self.idle[connection] = self.clock.now
            if self.closing:
                connection.scope.deadline = trio.current_time() + FIRST_BYTES
            self.start(connection.run)

    async def reap(self) -> None:
        """Close what has stood without a request: silent clients, and those that asked once and stay."""
        while True:
            await trio.sleep(REAP_EVERY)
            if self.away_since is not None:
                self.send_away(self.clock.now - self.away_since)
            while self.idle:
                connection, since = next(iter(self.idle.items()))
                if since + IDLE_FOR > self.clock.now:
                    break
                del self.idle[connection]
                if connection.flushing:  # its client has not read the last answer yet
                    self.idle[connection] = self.clock.now
                else:
                    connection.close_if_idle()

    def away(self, on: bool) -> None:
        """Clients are to go elsewhere, or may stay again. Busy ones are told with their answers."""
        self.away_since = self.clock.now if on else None

    def send_away(self, since: int) -> None:
        """Close the idle in turn, the longest so first: all at once would come to the others as one crowd."""
        if since < AWAY_FROM:
            return
        idle = [c for c, at in self.idle.items() if since < AWAY_BY or at + AWAY_FRESH <= self.clock.now]
        steps = max(1, round((AWAY_BY - since) / (REAP_EVERY * 1e6)))
        for connection in idle[: -(-len(idle) // steps)]:
            connection.close_if_idle()

    def evict(self, newcomers: bool = True) -> bool:
        """Take a place from one that asks nothing; ``False`` if there is none. What came is read first.

        First from one that has had its last answer: guards against clients that provoke such, and stay.
        """
        if self.leaving:
            connection, since = next(iter(self.leaving.items()))
            if since + LEAVING <= self.clock.now:
                connection.stream.close()
                self.closed(connection)
                return True
        for _ in range(8):
            if not self.idle and not self.heads:
                return False
            connection = self.first_to_go()
            if (
                not newcomers
                and not connection.served
                and self.idle.get(connection, 0) + FRESH > self.clock.now
            ):
                return False  # many that come at once have not had the time to ask
            connection.close_if_idle()
            if connection.last:
                connection.stream.close()
                self.closed(connection)
                return True
        return False

    def first_to_go(self) -> ClientConnection:
        """One that has said nothing for a while; one that was served, who comes back at no loss; a newcomer;
        last a head. The longest so goes first."""
        if not self.idle:
            return next(iter(self.heads))
        longest = next(iter(self.idle))
        silent = next((c for c in self.idle if not c.served), longest)
        if self.idle[silent] + SILENT_AFTER <= self.clock.now:
            return silent
        return next((c for c in self.idle if c.served), longest)

    def begun(self, connection: ClientConnection) -> None:
        """A byte of a request's head has come, the first or one more."""
        if self.idle.pop(connection, None) is not None:
            self.heads[connection] = None
        elif connection in self.heads:
            self.heads.move_to_end(connection)

    def told_off(self, connection: ClientConnection) -> None:
        """Its client hears that no more comes, and is to close."""
        self.idle.pop(connection, None)
        self.heads.pop(connection, None)
        self.leaving[connection] = self.clock.now

    def closed(self, connection: ClientConnection) -> None:
        self.connections.discard(connection)
        self.idle.pop(connection, None)
        self.heads.pop(connection, None)
        self.leaving.pop(connection, None)

    def busy(self) -> bool:
        """Whether a client is owed something, or its request has begun. Guards against clients that say
        nothing or never close: a drain is not to wait for those."""
        return any(c.exchange is not None or c.flushing or c in self.heads for c in self.connections)

    def pouring(self) -> bool:
        """Whether a long answer is on its way."""
        return any(c.pouring for c in self.connections)

    def close_idle(self, heads_within: float = math.inf) -> None:
        """A request that has begun is waited for, if its head comes whole ``heads_within`` so many seconds:
        to end its connection now would lose it, as its client is writing the rest."""
        for connection in list(self.idle):
            connection.close_if_idle()
        for connection in self.heads:
            connection.scope.deadline = min(connection.scope.deadline, trio.current_time() + heads_within)

    def end_reading(self) -> None:
        """The last look at each connection. What comes later is nobody's: a call that began here now would
        find no one to answer it."""
        self.cease()
        for connection in [c for c in self.connections if not c.last]:
            connection.end_reading()

    def stop_listening(self) -> None:
        """The backlog first: a request unread in it counts as taken."""
        self.accept_ready()
        self.cease()
        trio.lowlevel.notify_closing(self.sock)
        self.sock.close()
