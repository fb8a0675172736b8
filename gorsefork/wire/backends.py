"""Delegations on the wire: an actor for each backend in use, with its pool of idle connections."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Awaitable, Callable

import h11
import trio

from gorsefork.memory.body_stream import MAX_BUFFERED_BYTES, BodyAborted, BodyStream
from gorsefork.memory.call import AnswerSink, AttemptResult, BackendAttempt, Call, StreamedAnswer
from gorsefork.memory.clock import SECOND, Clock, monotonic_us
from gorsefork.memory.mailbox import Mailbox
from gorsefork.memory.memory_account import MemoryAccount
from gorsefork.memory.memory_budget import CONNECTION_BYTES, MAX_SHARED_ACCOUNT_BYTES
from gorsefork.memory.process_identity import ConnectionIdentity, ListedProcess
from gorsefork.memory.registry import RegisteredBackend, Registry
from gorsefork.memory.work_turns import WorkTurns
from gorsefork.wire.http1.paced_parser import STEP_DONE, PacedParser
from gorsefork.wire.stream import (
    LOCAL_RETRY_PAUSE_S,
    READ_SIZE,
    LocalConnectError,
    PeerStalled,
    Stream,
    limit_socket_buffers,
    open_connection,
)

MAX_BODY_BYTES = 33 << 20  # bytes of an answer; a longer one is spoilt
MAX_WAITING_ATTEMPTS = 512  # orders that one backend's actor may have unread
CHUNK_TIMEOUT_S = 0.25  # s between two parts of one answer
UPLOAD_STALL_TIMEOUT_S = 10.0  # s that a backend may take nothing of a body that is passed on
STREAMED_CHUNK_TIMEOUT_S = 10.0  # s between two parts of one that is passed on already: its end is owed
# bytes that all answers passed on may hold in pieces; a few times that with copies
DEFAULT_STREAMED_BYTES = 4 << 20
MIN_CHUNK_BYTES, MAX_CHUNK_BYTES = 4096, 65536  # bytes of one piece
MAX_INFORMATIONAL_RESPONSES = 8  # 1xx answers ahead of one
MIN_IDLE_US = 20_000  # us that one rests between two delegations: a second answer may come some ms late
IDLE_SHARE_OF_KEEPALIVE = 0.75  # of the keep-alive time that a connection may stand idle here


class BackendConnection:
    """One connection to a backend; it carries one delegation at a time."""

    def __init__(self, stream: Stream, identity: ConnectionIdentity, pool: BackendPool) -> None:
        self.stream, self.parser, self.pool = stream, PacedParser(h11.CLIENT), pool
        self.holding = pool.memory.open(lambda: False, CONNECTION_BYTES, "backends")
        self.reusable, self.idle_since, self.identity = True, 0, identity

    async def run_attempt(self, delegation: BackendAttempt, authority: str, left_ms: int) -> AttemptResult:
        """A break before the last byte is written never ran; after it, it may have."""
        self.reusable = False
        call = delegation.call
        headers = [("Host", authority), ("X-Trace-Id", call.trace_id), ("X-Expires-In-Ms", str(left_ms))]
        if call.idempotency_key:
            headers.append(("Idempotency-Key", call.idempotency_key))
        if call.body_stream is not None and call.body_stream.length is None:
            headers.append(("Transfer-Encoding", "chunked"))
        elif call.body_stream is not None:
            headers.append(("Content-Length", str(call.body_stream.length)))
        elif call.method != "GET" or call.body:
            headers.append(("Content-Length", str(len(call.body))))
        request = h11.Request(method=call.method, target=call.target, headers=headers)
        body = [h11.Data(call.body)] if call.body else []
        end = [h11.EndOfMessage()] if call.body_stream is None else []
        try:
            await self.send(request, *body, *end)
            if call.body_stream is not None:
                await self.upload(call.body_stream, call)
        except BodyAborted:  # the client's doing: it says nothing of this backend
            return AttemptResult("moot")
        except PeerStalled:
            call.count_break("stalled_backend")
            return AttemptResult("connect_failed")
        except OSError:
            return AttemptResult("connect_failed")
        delegation.mark_sent()
        if call.body_stream is not None:
            delegation.sent_at = self.pool.clock.now  # what came before is the client's time
        try:
            found = await self.read_answer()
        except trio.TooSlowError:
            call.count_break("stalled_backend")
            return AttemptResult("reset")
        except (OSError, h11.RemoteProtocolError):
            return AttemptResult("reset")
        self.identity.heard(self.pool.clock.now)
        return found if isinstance(found, AttemptResult) else await self.stream_answer(delegation, *found)

    async def send(self, *events: h11.Event) -> None:
        await self.stream.send(
            [part for event in events for part in self.parser.http.send_with_data_passthrough(event) or ()],
            UPLOAD_STALL_TIMEOUT_S,
        )

    async def upload(self, flow: BodyStream, call: Call) -> None:
        """A body as it comes: a little of it is held at a time. Raises ``BodyAborted`` if it is not to be
        completed, or another attempt reads it; the request then has no end, so that the backend does not run
        it."""
        if flow.reading_begun:  # since this attempt began: its connection came up after the other's
            raise BodyAborted
        while pieces := await flow.read_available():
            await self.send(h11.Data(b"".join(pieces)))
        if call.client_has_left():  # its request is not to run: this is the last moment to see to that
            raise BodyAborted
        await self.send(h11.EndOfMessage())

    async def read_answer(self) -> AttemptResult | tuple[h11.Response, list[bytearray]]:
        """The whole answer, or the head and the beginning of one that is too large to hold."""
        head, body, asides, begun = None, bytearray(), 0, False
        while True:
            event = self.parser.next_event()
            if event is STEP_DONE:
                await self.let_others_go_first()
            elif event is h11.NEED_DATA:
                # Guards against an answer that is said to be longer than it is: the rest never comes.
                with trio.fail_after(CHUNK_TIMEOUT_S if begun else math.inf):
                    self.parser.receive(await self.stream.receive(self.pool.read_size()))
                begun = True
                self.holding.resize(len(body) + len(self.parser.pending))
            elif isinstance(event, h11.Response):
                head = event
                if is_too_long(event):
                    return AttemptResult("error")
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > MAX_BUFFERED_BYTES or not self.has_room_for(body):
                    assert head is not None
                    return head, [body]
            elif isinstance(event, h11.EndOfMessage) and head is not None:
                self.prepare_reuse()
                return result_of(head, bytes(body))
            elif isinstance(event, h11.InformationalResponse) and asides < MAX_INFORMATIONAL_RESPONSES:
                asides, begun = asides + 1, False
            else:
                return AttemptResult("reset")

    def has_room_for(self, body: bytearray) -> bool:
        """Whether an answer may be held until it is whole; else it is passed on as it comes."""
        self.holding.resize(len(body) + len(self.parser.pending))
        return self.holding.may_grow()

    def close(self) -> None:
        self.stream.close()
        self.holding.close()

    def prepare_reuse(self) -> None:
        """Behind a whole answer: whether this connection may carry another delegation."""
        self.reusable = self.parser.is_done() and not self.parser.has_surplus()
        if self.reusable:
            self.parser.start_next_cycle()

    async def let_others_go_first(self) -> None:
        """Before the next step of an answer in very many parts: a turn among all that have much to do."""
        async with self.pool.turns.step():
            self.parser.begin_step()

    async def stream_answer(
        self, delegation: BackendAttempt, head: h11.Response, begun: list[bytearray]
    ) -> AttemptResult:
        """An answer too large to hold. Once its client gets it, it is that client's pace that counts.

        ``begun`` is emptied: guards against hundreds of slow clients, for each of which it would stay.
        """
        found = result_of(head, b"")
        if found.status != "ok":
            return found
        length = next((int(value) for name, value in head.headers if name == b"content-length"), None)
        answer = StreamedAnswer(found.content_type, length)
        if (
            not await self.pool.on_streamed_answer(delegation, answer, found.settled_units)
            or answer.sink is None
        ):
            return AttemptResult("ok", already_reported=delegation.ended)  # another answer was first
        delegation.clear_deadline()
        self.holding.resize(0)
        sink, whole, size = answer.sink, False, len(begun[0])
        self.pool.streamed_answers += 1
        try:
            await sink.write_chunk(begun.pop())
            whole = await self.copy_body(sink, size)
        except trio.TooSlowError:
            delegation.call.count_break("stalled_backend")
        except (OSError, h11.RemoteProtocolError, trio.ClosedResourceError):
            pass  # the server's end, or the client's: the client can tell
        finally:
            self.pool.streamed_answers -= 1
            sink.end(whole)
            delegation.call.count_end("fulfilled" if whole else "faulted")
        return AttemptResult("ok", already_reported=True)

    async def copy_body(self, sink: AnswerSink, size: int) -> bool:
        while True:
            event = self.parser.next_event()
            if event is STEP_DONE:
                await self.let_others_go_first()
            elif event is h11.NEED_DATA:
                with trio.fail_after(STREAMED_CHUNK_TIMEOUT_S):
                    self.parser.receive(await self.stream.receive(self.pool.chunk_size()))
            elif isinstance(event, h11.Data):
                size += len(event.data)
                if size > MAX_BODY_BYTES:
                    return False
                await sink.write_chunk(event.data)
            elif isinstance(event, h11.EndOfMessage):
                self.prepare_reuse()
                return True
            else:
                return False


def is_too_long(head: h11.Response) -> bool:
    """Whether the answer can't be passed on: its body is over the bound, or it has two lengths."""
    sizes = [value for name, value in head.headers if name == b"content-length"]
    return any(int(size) > MAX_BODY_BYTES for size in sizes) or (
        bool(sizes) and any(name == b"transfer-encoding" for name, _ in head.headers)
    )


def result_of(head: h11.Response, body: bytes) -> AttemptResult:
    """What an answer means. Only ``X-Never-Ran`` proves that it never ran: a bare 503 proves nothing."""
    headers = {bytes(name): bytes(value) for name, value in head.headers}
    if head.status_code == 200:
        return AttemptResult(
            "ok",
            body,
            headers.get(b"content-type", b"").decode("latin-1"),
            read_settled_units(headers.get(b"x-settled", b"")),
        )
    if head.status_code in (503, 504) and headers.get(b"x-never-ran") == b"1":
        return AttemptResult("full")
    return AttemptResult("error")


def read_settled_units(value: bytes) -> float:
    """The true units; 0 where there are none, or what came is no number."""
    try:
        units = float(value)
    except ValueError:
        return 0.0
    return units if 0.0 < units < 1e9 else 0.0


class BackendActor:
    """Actor: hands each delegation a connection that is known to be good, and keeps those left over.

    It begins with the first delegation and ends once it has had nothing to do for as long as a connection may
    stand idle: a backend that is not used costs no task.
    """

    def __init__(self, host: RegisteredBackend, pool: BackendPool) -> None:
        self.backend, self.pool = host, pool
        # None: close what is idle
        self.mailbox: Mailbox[BackendAttempt | None] = Mailbox(MAX_WAITING_ATTEMPTS)
        self.idle: deque[BackendConnection] = deque()
        self.retired = False
        self.process = ListedProcess()  # a connection serves the one that it was made for

    def update(self, host: RegisteredBackend) -> None:
        if (self.backend.address, self.backend.started_at) != (host.address, host.started_at):
            self.process.replaced(self.pool.clock.now)
            self.process = ListedProcess()
            self.mailbox.put(None)
        elif host.state != "ready":  # it wants nothing new: what stands idle to it is of no use
            self.mailbox.put(None)
        self.backend = host

    async def run(self) -> None:
        clock = self.pool.clock
        async with trio.open_nursery() as nursery:
            # One that is retired before it first ran has attempts all the same, and each is owed its end.
            while not self.retired or self.mailbox.messages:
                # A connection that falls idle while the actor waits retires no sooner than this either.
                since = self.idle[0].idle_since if self.idle else clock.now
                await self.mailbox.wait(clock.trio_deadline(since + self.pool.idle_for))
                orders = self.mailbox.drain()
                if not (orders or self.idle or nursery.child_tasks):
                    self.pool.retire(self)
                for order in orders:
                    if order is None:
                        self.close_idle()
                    else:
                        nursery.start_soon(self.carry_out, order)
                while self.idle and self.idle[0].idle_since + self.pool.idle_for <= clock.now:
                    self.close_connection(self.idle.popleft())
        self.close_idle()

    def close_idle(self) -> None:
        while self.idle:
            self.close_connection(self.idle.popleft())

    def close_connection(self, link: BackendConnection) -> None:
        link.close()
        self.pool.open_connections -= 1

    async def carry_out(self, delegation: BackendAttempt) -> None:
        """The end of its time, or a call-off, closes its connection."""
        ending = None
        with trio.CancelScope(deadline=self.pool.clock.trio_deadline(delegation.deadline)) as scope:
            delegation.on_cancel = scope.cancel

            def due(at: float) -> None:
                scope.deadline = at

            delegation.on_deadline_change = lambda: due(self.pool.clock.trio_deadline(delegation.deadline))
            delegation.clear_deadline = lambda: due(math.inf)
            if delegation.cancelled:
                scope.cancel()
            await trio.lowlevel.checkpoint_if_cancelled()
            ending = await self.exchange(delegation)
        if ending is None and not delegation.fully_sent:
            ending = AttemptResult("moot" if delegation.cancelled else "connect_failed")
        elif ending is None:
            ending = AttemptResult("cancelled" if delegation.cancelled else "timeout")
        delegation.detach()
        body = delegation.call.body_stream
        if body is not None and body.is_broken_off() and not delegation.fully_sent:
            delegation.call.count_break("incomplete_body")
        if not ending.already_reported:  # else its outcome was told when it began
            self.pool.on_attempt_ended(delegation, ending)

    async def exchange(self, delegation: BackendAttempt) -> AttemptResult:
        try:
            link = self.take_idle_connection() or await self.connect()
        except LocalConnectError:  # ours: nothing is known of the backend, and another may be tried
            return AttemptResult("moot")
        if link is None:
            return AttemptResult("connect_failed")
        if link.identity.listed is not self.process:  # the process there is another by now
            self.close_connection(link)
            return AttemptResult("moot")
        call = delegation.call
        try:
            if call.permit is not None and not await call.permit.renew(delegation):
                return AttemptResult("moot")
            # The connect took its time, or this process was held up: the backend may drain by now, the call
            # may have had its answer, its client may have left, the window for its repeats may be over. Nor
            # is a task cancelled that was woken already when its attempt was called off.
            now = monotonic_us()
            over = delegation.cancelled or call.finished or call.client_has_left()
            over = over or now >= delegation.start_before
            if over or not self.pool.registry.accepts_attempts(self.backend.name):
                return AttemptResult("moot")
            if not delegation.may_be_sent_on(link.identity, now):
                call.count_break("unknown_process")
                return AttemptResult("moot")
            delegation.connection = link.identity
            left = call.answer_time if call.body_stream is not None else delegation.deadline - now
            left_ms = max(1, left // 1000)
            return await link.run_attempt(delegation, self.backend.address, left_ms)
        finally:
            link.holding.resize(0)
            if (
                link.reusable
                and not self.retired
                and link.identity.listed is self.process
                and self.backend.state == "ready"
            ):
                link.idle_since = self.pool.clock.now
                self.idle.append(link)
            else:
                self.close_connection(link)

    def take_idle_connection(self) -> BackendConnection | None:
        """The last used of those that have rested. Guards against a second answer behind the one before: it
        would pass for the answer to what is written now."""
        rested = self.pool.clock.now - MIN_IDLE_US
        for place in range(len(self.idle) - 1, -1, -1):
            if (link := self.idle[place]).idle_since <= rested:
                del self.idle[place]
                if link.stream.is_reusable():
                    return link
                self.close_connection(link)
        return None

    async def connect(self) -> BackendConnection | None:
        """A new connection; None if the backend does not take it, ``LocalConnectError`` if this machine
        can't."""
        await self.pool.wait_for_free_connection()
        self.pool.open_connections += 1
        stream, process = None, self.process
        try:
            stream = await open_connection(self.backend.address, self.pool.connect_timeout)
        finally:
            self.pool.open_connections -= stream is None
        if stream is None:
            return None
        if self.pool.socket_buffer_bytes:
            limit_socket_buffers(stream.sock, self.pool.socket_buffer_bytes)
        return BackendConnection(stream, ConnectionIdentity(process, self.pool.clock.now), self.pool)


class BackendPool:
    """The actors of the backends in use, and the bound on what they hold open together."""

    def __init__(
        self,
        clock: Clock,
        registry: Registry,
        ended: Callable[[BackendAttempt, AttemptResult], None],
        keepalive: float,
        connect_timeout: float,
        most_links: int,
        opened: Callable[[BackendAttempt, StreamedAnswer, float], Awaitable[bool]],
        turns: WorkTurns | None = None,
        memory: MemoryAccount | None = None,
    ) -> None:
        self.turns = turns or WorkTurns()
        self.memory = memory or MemoryAccount(MAX_SHARED_ACCOUNT_BYTES)
        self.max_streamed_bytes, self.socket_buffer_bytes = DEFAULT_STREAMED_BYTES, 0
        self.clock, self.registry, self.on_attempt_ended, self.on_streamed_answer = (
            clock,
            registry,
            ended,
            opened,
        )
        self.idle_for, self.connect_timeout = (
            round(keepalive * IDLE_SHARE_OF_KEEPALIVE * SECOND),
            connect_timeout,
        )
        self.max_connections, self.open_connections, self.streamed_answers = most_links, 0, 0
        self.backends: dict[str, BackendActor] = {}
        self.nursery: trio.Nursery | None = None

    async def run(self) -> None:
        async with trio.open_nursery() as self.nursery:
            for backend in self.backends.values():
                self.nursery.start_soon(backend.run)
            await trio.sleep_forever()

    def on_backend_change(self, host: RegisteredBackend) -> None:
        """The registry's word: a backend that moved or started anew, or one that is gone."""
        if (backend := self.backends.get(host.name)) is None:
            return
        if host.state == "gone":
            self.retire(backend)
            backend.mailbox.put(None)
        else:
            backend.update(host)

    def retire(self, backend: BackendActor) -> None:
        """Its actor ends once it has carried what it has."""
        del self.backends[backend.backend.name]
        backend.retired = True

    def actor(self, name: str) -> BackendActor | None:
        """The actor of a backend that is listed; it begins here if there is none."""
        backend, host = self.backends.get(name), self.registry.backends.get(name)
        if backend is None and host is not None:
            backend = self.backends[name] = BackendActor(self.registry.effective(host), self)
            if self.nursery is not None:
                self.nursery.start_soon(backend.run)
        return backend

    def start_attempt(self, delegation: BackendAttempt) -> None:
        backend = self.actor(delegation.backend)
        if backend is None or not backend.mailbox.put(delegation):
            self.on_attempt_ended(delegation, AttemptResult("moot" if backend is None else "connect_failed"))

    def close_idle(self, host: str) -> None:
        if (backend := self.backends.get(host)) is not None:
            backend.mailbox.put(None)

    def read_size(self) -> int:
        """Bytes of an answer's beginning that are read at a time."""
        return READ_SIZE if self.memory.has_room() else MIN_CHUNK_BYTES

    def chunk_size(self) -> int:
        """Bytes that each answer that is passed on may hold of it."""
        return max(
            MIN_CHUNK_BYTES, min(MAX_CHUNK_BYTES, self.max_streamed_bytes // max(1, self.streamed_answers))
        )

    async def wait_for_free_connection(self) -> None:
        """``LocalConnectError`` if no connection may be opened for as long as one may take to come up."""
        until = trio.current_time() + self.connect_timeout
        while not self.may_connect():
            if trio.current_time() >= until:
                raise LocalConnectError("all connections to backends are in use")
            await trio.sleep(LOCAL_RETRY_PAUSE_S)

    def may_connect(self) -> bool:
        """Whether one more connection may be opened; an idle one elsewhere gives way."""
        if self.open_connections >= self.max_connections:
            idle = [backend for backend in self.backends.values() if backend.idle]
            if not idle:
                return False
            oldest = min(idle, key=lambda backend: backend.idle[0].idle_since)
            oldest.close_connection(oldest.idle.popleft())
        return True
