"""A client's connection: requests are read one after another, and each is answered before the next."""

from __future__ import annotations

import contextlib
import errno
import math
from collections import OrderedDict
from collections.abc import Awaitable, Callable
from typing import Protocol

import h11
import trio

from gorsefork.memory.arrival import ArrivalTime
from gorsefork.memory.body_stream import MAX_BUFFERED_BYTES, BodyStream
from gorsefork.memory.call import Answer, DeniedAnswer, OverloadAnswer, ServedAnswer, StreamedAnswer
from gorsefork.memory.clock import Clock
from gorsefork.memory.memory_account import MemoryAccount
from gorsefork.memory.memory_budget import CONNECTION_BYTES, GUARANTEED_BYTES
from gorsefork.memory.metrics import BreakReason, RefusalReason
from gorsefork.memory.work_turns import WorkTurns
from gorsefork.wire.http1.connection_writer import CLIENT_STALL_TIMEOUT_S, ConnectionWriter
from gorsefork.wire.http1.exchange import (
    MAX_BODY_BYTES,
    MAX_UPLOAD_US,
    Exchange,
    Front,
    Headers,
    error_status_of,
    to_http,
)
from gorsefork.wire.http1.paced_parser import MAX_HEAD_BYTES, STEP_DONE, PacedParser
from gorsefork.wire.stream import READ_SIZE, Stream

MAX_AHEAD_BYTES = MAX_HEAD_BYTES  # of further requests that are held behind the one in hand
MAX_DISCARDED_BYTES = 1 << 18  # bytes that are read and dropped behind a last answer
MAX_REFUSED_BODY_BYTES = 64 << 20  # the same where they belong to a body that was answered before its end
# s between looks whether a client that is not read on has left: 0.1 s are allowed
DISCONNECT_CHECK_INTERVAL_S = 0.05
REQUEST_TIMEOUT_S = 2.5  # s from the first byte of a request to its last, or to the end of its head
BODY_CHUNK_TIMEOUT_S = 1.5  # s between two pieces of a body, beyond that
MAX_ROOM_WAIT_S = 2.0  # s for which a client is not read on for want of memory
NO_ROOM_RETRY_AFTER_S = 0.5  # s until a client that gave way for want of memory may try again
ERROR_PAUSE_S = 0.25  # s until a client that was answered with an error is read on
LINGER_S = 1.0  # s that a client has to close once it has its last answer
REFUSED_BODY_LINGER_S = 3.0  # the same for one that was answered before the end of its body
MAX_LINGER_S = MAX_UPLOAD_US / 1e6  # the same in all, where it is slow to take the one or to send the other
MAX_FINAL_READS = 1024  # of a connection that is closed: its client may write on and on
STALLED_AFTER_US = 250_000  # us without a byte, from when on a request gives way to a new connection
MAX_BEHIND_S = 0.4  # s beyond a request's time for this ingress to act on what came of it
LAST_HEADS_TIMEOUT_S = 0.5  # s after SIGTERM for the rest of heads that have begun

# the client's fault, whosever token it had
CLIENT_ERRORS = frozenset((400, 404, 405, 409, 413, 431, 501, 505))


class ConnectionOwner(Protocol):
    """The acceptor, as its connections see it. ``idle``, ``receiving_heads``: the connections without a
    request and
    those whose request has begun, in the order in which they give way."""

    front: Front
    clock: Clock
    closing: bool
    draining_since: int | None
    idle: OrderedDict[ClientConnection, int]
    receiving_heads: OrderedDict[ClientConnection, None]
    turns: WorkTurns
    memory: MemoryAccount

    def count_break(self, reason: BreakReason) -> None:
        """A connection was ended in the middle of a request or an answer."""
        ...

    def count_refusal(self, reason: RefusalReason) -> None:
        """A request was refused before it had come whole."""
        ...

    def start(self, task: Callable[[], Awaitable[None]]) -> None:
        """Run a task beside the connections."""
        ...

    def head_received(self, connection: ClientConnection) -> None:
        """A byte of a request's head has come, the first or one more."""
        ...

    def closing_begun(self, connection: ClientConnection) -> None:
        """Its client hears that no more comes, and is to close."""
        ...

    def forget(self, connection: ClientConnection) -> None:
        """It holds a place no longer."""
        ...

    def may_forward_body(self) -> bool:
        """Whether one more body may be passed on as it comes, which takes a connection to a backend."""
        ...


class ClientConnection:
    """Reads in its own task. Answers are written at once from wherever they come, with one gathered write.

    A request is begun only once the answer before it has left: a client that reads slowly is owed one answer
    at a time, however many requests it sends ahead.

    ``came_at``: the time before which it had not come, in microseconds.
    """

    def __init__(self, stream: Stream, acceptor: ConnectionOwner, came_at: int) -> None:
        self.stream, self.acceptor = stream, acceptor
        self.arrival, self.bytes_arrived_at = ArrivalTime(acceptor.clock, came_at), came_at
        self.read_at = acceptor.clock.now  # us; the last bytes came no later
        self.parser = PacedParser(h11.SERVER)
        self.holding = acceptor.memory.open(self.give_way, CONNECTION_BYTES)
        self.exchange: Exchange | None = None
        self.writer = ConnectionWriter(stream, acceptor.start, self.on_flushed, self.on_stalled)
        self.advancing = False
        self.catching_up: trio.Event | None = None  # set once what was read so far has been acted on
        self.work_scope: trio.CancelScope | None = None  # of the task that catches up
        self.steps_taken = 0  # since its last good answer
        self.was_behind = False  # this ingress had more time once for the request that comes in
        self.advance_once_more = self.close_once_caught_up = False
        self.read_scope = trio.CancelScope()
        self.is_last = False  # nothing more is read from this client
        self.served = False  # it has had an answer
        self.refused = False  # answered in the middle of a body
        self.paused = False  # it is not read on for a while
        self.waits_for_room = False  # nor for want of memory
        self.errors = self.discarded = self.discarded_at_last_check = 0
        self.linger_until = math.inf  # trio's clock
        self.unsent_head: list[bytes] = []  # of a long answer, until its first piece goes with it
        self.streaming_answer = self.close_after_answer = False  # a long answer is on its way; it is the last

    @property
    def flushing(self) -> bool:
        """Whether a part of what was answered has not left yet."""
        return self.writer.flushing

    async def run(self) -> None:
        """Until its client ends, or the time that it has; each of those times has a scope of its own."""
        while True:
            # What breaks here is the client's own affair, and the end of this connection only.
            with self.read_scope as scope, contextlib.suppress(OSError, trio.ClosedResourceError):
                await self.read_requests()
            if not scope.cancelled_caught or not self.on_timeout():
                break
        self.finish()

    async def read_requests(self) -> None:
        while True:
            if self.catching_up is not None:
                await self.catching_up.wait()
            await self.wait_for_body_space()
            await self.wait_for_input_space()
            while self.paused:
                # Guards against a client that asks the same again as soon as it is turned away:
                # at full speed a few of those would take all of this ingress's time.
                await trio.sleep(ERROR_PAUSE_S)
                self.paused = False
                self.advance()
                await self.wait_for_input_space()
            await self.wait_for_room()
            if self.catching_up is None and not await self.receive():
                return

    async def receive(self) -> bool:
        """Feed the next bytes; whether there may be more. They are held by the parser alone from here on:
        a reader that waits for the next ones is not to keep the last."""
        self.arrival.begin_wait()
        data = await self.stream.receive_if_ready(self.read_size)
        return data is None or (bool(data) and not self.feed(data))

    def read_size(self) -> int:
        """How many bytes may be read just now, 0 if none."""
        if self.is_last:
            return READ_SIZE  # it is dropped
        most = READ_SIZE if self.parser.is_in_body() else MAX_HEAD_BYTES
        if not self.parser.expects_data():  # behind a call in hand, where ``MAX_AHEAD_BYTES`` is the bound
            return GUARANTEED_BYTES
        return min(most, self.holding.room())

    async def wait_for_room(self) -> None:
        """Wait until the memory account lets this client send more; it is not to blame for that wait.

        One whose call is in hand is read on: its end is to be seen at once.
        """
        if self.is_last or not self.parser.expects_data() or self.holding.may_grow():
            return
        deadline, self.read_scope.deadline = self.read_scope.deadline, math.inf
        self.waits_for_room = True
        try:
            with trio.move_on_after(MAX_ROOM_WAIT_S) as scope:
                await self.holding.wait_for_room()
        finally:
            self.waits_for_room = False
        if scope.cancelled_caught:
            self.give_way()
        if not self.is_last:
            self.read_scope.deadline = max(deadline, trio.current_time() + BODY_CHUNK_TIMEOUT_S)

    def give_way(self, reason: RefusalReason = "no_memory") -> bool:
        """Refuse a request that has not come whole, for want of memory or time; False if there is none."""
        if self.is_last or self.stream.closed:
            return False
        if self.exchange is None and self.parser.expects_head() and self.parser.pending and not self.flushing:
            self.acceptor.count_refusal(reason)
            self.refuse(OverloadAnswer(NO_ROOM_RETRY_AFTER_S))
            return True
        if self.exchange is not None and not self.exchange.answered and self.parser.is_in_body():
            self.acceptor.count_refusal(reason)
            self.refuse(OverloadAnswer(NO_ROOM_RETRY_AFTER_S))
            return True
        return False

    def update_holding(self) -> None:
        """Tell the memory account what this connection holds."""
        if self.stream.closed:
            self.holding.resize(0)
            return
        size = len(self.parser.pending) + sum(map(len, self.writer.unsent))
        if (exchange := self.exchange) is not None:
            size += exchange.held_bytes()
        self.holding.resize(size)

    def on_timeout(self) -> bool:
        """This client's time is over, for a request that has begun or for its first byte. Whether its end is
        still to be waited for. Guards against a close over bytes that came in this moment: it is a reset, and
        would take the answer back."""
        if self.stream.closed:
            return False
        if self.is_last:
            return self.continue_lingering()
        if self.catching_up is not None:  # it is this ingress that is behind
            if self.was_behind:
                self.give_way("behind")
            self.was_behind = True
            self.read_scope = trio.CancelScope(deadline=trio.current_time() + MAX_BEHIND_S)
            return True
        self.read_scope, exchange = trio.CancelScope(), self.exchange
        if exchange is None:
            self.close_if_idle()
            self.is_last |= self.flushing  # once that is done it ends
        elif not exchange.answered and self.parser.is_in_body():
            self.reject(408)  # else its last byte came in this very moment, and it is in hand
        return not self.stream.closed

    def end_reading(self) -> None:
        """Nothing that comes from here on begins a call; what has come whole is one still."""
        if self.exchange is None:
            self.close_if_idle()
            self.is_last |= self.flushing
        elif self.exchange.call is None and not self.exchange.answered:
            self.reject(408)

    def feed(self, data: bytes) -> bool:
        """Feed what came; whether this client sends too much behind its last answer."""
        self.bytes_arrived_at, self.read_at = self.arrival.earliest(), self.acceptor.clock.now
        self.arrival.mark_drained()
        if self.is_last:
            self.discarded += len(data)
            return self.discarded > (MAX_REFUSED_BODY_BYTES if self.refused else MAX_DISCARDED_BYTES)
        if self.is_expecting_head() and (self.read_scope.deadline == math.inf or self in self.acceptor.idle):
            within = LAST_HEADS_TIMEOUT_S if self.acceptor.closing else REQUEST_TIMEOUT_S
            self.read_scope.deadline = trio.current_time() + within  # lifted once the request is whole
        self.acceptor.head_received(self)
        self.parser.receive(data)
        self.update_holding()
        self.advance()
        if self.exchange is not None and self.read_scope.deadline < math.inf:  # in the middle of a body
            self.read_scope.deadline = max(
                self.read_scope.deadline, trio.current_time() + BODY_CHUNK_TIMEOUT_S
            )
        return False

    def is_expecting_head(self) -> bool:
        """Whether what comes now belongs to a request that may begin."""
        return self.exchange is None and not self.flushing

    def is_input_full(self) -> bool:
        """Whether the client has sent as much ahead as is held for it."""
        return not self.parser.expects_data() and len(self.parser.pending) >= MAX_AHEAD_BYTES

    async def wait_for_input_space(self) -> None:
        """Read no more from a client that sends ahead, until its requests so far have been begun.

        Guards against a close over what it sent: that is a reset, and would take back the answers that it has
        not read yet.
        """
        while not (self.is_last or self.paused) and self.is_input_full():
            if self.stream.peer_has_closed():
                raise ConnectionResetError(errno.ECONNRESET, "the client has left")
            await trio.sleep(DISCONNECT_CHECK_INTERVAL_S)

    async def wait_for_body_space(self) -> None:
        """Read on from the client once its body can be passed on; it is not to blame for that wait."""
        flow = self.exchange.body_stream if self.exchange is not None else None
        if flow is not None and flow.is_full() and self.read_scope.deadline < math.inf:
            self.read_scope.deadline = trio.current_time() + MAX_UPLOAD_US / 1e6
            while flow.is_full() and not self.stream.peer_has_closed():
                # Guards against a client that leaves while its call waits: its end is behind unread bytes.
                with trio.move_on_after(DISCONNECT_CHECK_INTERVAL_S):
                    await flow.wait_for_space()
            if flow.is_full():
                raise ConnectionResetError(errno.ECONNRESET, "the client has left")
            if not self.is_last:
                self.read_scope.deadline = trio.current_time() + BODY_CHUNK_TIMEOUT_S

    def is_unread(self) -> bool:
        """Whether its input waits for this ingress, so that its reader does not see the client's end."""
        waits = self.catching_up is not None or self.waits_for_room
        return waits and not (self.is_last or self.flushing or self.stream.closed)

    def is_stalled(self, now: int) -> bool:
        """Whether a request has begun and its client has sent nothing more of it for a while."""
        if self.is_last or self.catching_up is not None:
            return False
        begun = self.parser.is_in_body() if self.exchange is not None else bool(self.parser.pending)
        return begun and self.read_at + STALLED_AFTER_US <= now

    def leave(self) -> None:
        """Its client has left while it was not read: nothing is worked on for nobody."""
        self.is_last = True
        self.finish()
        self.read_scope.cancel()

    def finish(self) -> None:
        exchange, self.exchange = self.exchange, None
        self.stream.close()
        self.stop_work()
        self.acceptor.forget(self)
        if exchange is not None and exchange.body_stream is not None:
            exchange.body_stream.abort()
        if exchange is not None and not exchange.answered:
            exchange.answered = True
            exchange.on_client_left()
        self.release(exchange)

    def stop_work(self) -> None:
        """Act on nothing more of what has been read."""
        if self.work_scope is not None:
            self.work_scope.cancel()

    def release(self, exchange: Exchange | None) -> None:
        """Drop what is held, at once and not with the next collection of reference cycles."""
        self.holding.close()
        self.parser.clear()
        self.writer.detach()
        if exchange is not None:
            exchange.release()

    def advance(self) -> None:
        """Act on what has been read so far, for one step; the rest takes its turn among other connections.

        An answer given within only ends its round of this loop: many requests in one go would otherwise stack
        up and end the program.
        """
        if self.catching_up is not None:
            self.advance_once_more = True  # it may have acted on all there was, and wait for its turn to end
            return
        if self.advancing:
            return
        is_long = self.parser.has_long_input()
        if is_long and self.steps_taken == 0 and self.parser.has_usual_head():
            self.steps_taken, is_long = 1, False  # a usual request with a body does not wait behind long ones
        if is_long or not self.take_step():
            self.catching_up = trio.Event()
            self.acceptor.start(self.catch_up)

    def take_step(self) -> bool:
        """Whether all that can be acted on just now has been."""
        self.advancing = True
        self.parser.begin_step()
        try:
            return self.process_events()
        finally:
            self.advancing = False
            self.update_holding()

    async def catch_up(self) -> None:
        """Go on with what one step was too short for."""
        self.advance_once_more = True
        try:
            with trio.CancelScope() as self.work_scope:
                while self.advance_once_more and not self.stream.closed:
                    async with self.acceptor.turns.step(self.steps_taken):
                        self.advance_once_more = False
                        self.steps_taken += 1
                        if not self.take_step():
                            self.advance_once_more = True
        finally:
            self.work_scope = None
            event, self.catching_up = self.catching_up, None
            if event is not None:
                event.set()
        if self.close_once_caught_up:
            self.close_if_idle()

    def process_events(self) -> bool:
        """Act on the parser's events; whether it has no more for now."""
        while not self.is_last and not self.paused and not self.holds_back_requests():
            try:
                event = self.parser.next_event()
            except h11.RemoteProtocolError as error:
                self.reject(error.error_status_hint)
                return True
            if event is STEP_DONE:
                return False
            if event is h11.NEED_DATA:
                if self.parser.http.they_are_waiting_for_100_continue:
                    self.write(h11.InformationalResponse(status_code=100, headers=[]))
                return True
            if isinstance(event, h11.Request):
                self.begin_request(event)
            elif isinstance(event, h11.Data) and self.exchange is not None:
                self.add_body(self.exchange, event.data)
            elif isinstance(event, h11.EndOfMessage) and self.exchange is not None:
                self.end_request(self.exchange)
            else:  # paused behind the request in hand, or the client has closed
                return True
        return True

    def begin_request(self, event: h11.Request) -> None:
        """A whole head: its body is read from here on, or it is refused."""
        self.acceptor.receiving_heads.pop(self, None)
        headers: dict[bytes, bytes] = {}
        for name, value in event.headers:  # what stands twice is joined, as its readers expect
            seen = headers.get(bytes(name))
            headers[bytes(name)] = bytes(value) if seen is None else seen + b", " + bytes(value)
        most = MAX_BODY_BYTES if self.acceptor.front.streams_bodies else MAX_BUFFERED_BYTES
        if fault := error_status_of(event, headers, most):
            self.reject(fault)
            return
        self.exchange = exchange = Exchange(
            event.method.decode("ascii"),
            event.target.decode("latin-1"),
            headers,
            self.bytes_arrived_at,
            lambda answer: None,
        )
        exchange.client_has_left = self.stream.peer_has_closed
        exchange.reply = lambda answer: self.reply(exchange, answer)

    def end_request(self, exchange: Exchange) -> None:
        """Its last byte has come."""
        if self.close_if_client_left():
            return
        self.read_scope.deadline = math.inf  # silence no longer ends it: a call may be in hand
        self.was_behind = False
        if exchange.body_stream is None:
            exchange.arrived_at = self.bytes_arrived_at  # its time counts from its last byte
            self.acceptor.front.begin(exchange)
            if exchange.call is not None:
                exchange.body = bytearray()  # the call has its own
            return
        if exchange.call is not None:
            exchange.call.upload_finished(self.bytes_arrived_at)
        exchange.body_stream.end()

    def holds_back_requests(self) -> bool:
        """Whether the next request waits for the client to take the answer before it."""
        return self.exchange is None and self.flushing

    def close_if_client_left(self) -> bool:
        """Whether the client of a request that is about to begin, or to be passed on whole, has left; so this
        connection ends. Guards against one that sent much and went: its requests would go on to servers
        before its end is read."""
        if not self.stream.closed and self.stream.peer_has_closed():
            self.is_last = True
            self.finish()
        return self.stream.closed

    def add_body(self, exchange: Exchange, piece: bytes) -> None:
        """Held whole while it is small; beyond that the call begins, and its body passes through."""
        if exchange.body_stream is not None:
            exchange.body_stream.put(bytes(piece))
            exchange.discarded += len(piece)
            if exchange.discarded > MAX_BODY_BYTES:
                exchange.body_stream.abort()
                self.reject(413)
            return
        exchange.body += piece
        if len(exchange.body) <= MAX_BUFFERED_BYTES:
            return
        if not self.acceptor.front.streams_bodies:
            self.reject(413)
            return
        if self.close_if_client_left():
            return
        if not self.acceptor.may_forward_body():
            self.acceptor.count_refusal("long_bodies")
            self.refuse(OverloadAnswer(NO_ROOM_RETRY_AFTER_S))
            return
        length = exchange.headers.get(b"content-length")
        exchange.body_stream = BodyStream(int(length) if length is not None else None, bytes(exchange.body))
        exchange.discarded, exchange.body = len(exchange.body), bytearray()
        exchange.arrived_at = self.bytes_arrived_at
        self.acceptor.front.begin(exchange)

    def reject(self, status: int) -> None:
        """A request that cannot be read or is too large: a plain answer, and nothing more is read. A call in
        hand on this connection has nobody any more to whom it could be answered."""
        self.refuse(DeniedAnswer(status))

    def refuse(self, answer: DeniedAnswer | OverloadAnswer) -> None:
        """Answer a request that has not come whole, as the last one of this connection."""
        exchange = self.exchange or Exchange("", "", {}, 0, lambda answer: None)
        if exchange.call is not None:
            exchange.on_client_left()
        self.exchange = exchange
        self.reply(exchange, answer, last=True)
        self.stop_work()
        self.parser.clear()
        self.update_holding()

    def reply(self, exchange: Exchange, answer: Answer, last: bool = False) -> None:
        """Exactly one answer: the first."""
        if exchange.answered:
            return
        exchange.answered = True
        if isinstance(answer, DeniedAnswer) and answer.status in CLIENT_ERRORS:
            self.errors += 1
            last, self.paused = last or self.errors > 1, True
        elif isinstance(answer, ServedAnswer | StreamedAnswer):
            self.steps_taken, self.holding.served = 0, True
        self.refused = self.parser.is_in_body()
        if exchange.body_stream is not None:
            exchange.body_stream.discard()
        last = last or self.refused or self.acceptor.closing or self.acceptor.draining_since is not None
        if isinstance(answer, StreamedAnswer):
            self.begin_streamed_answer(answer, last)
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
        self.after_answer(last)

    def after_answer(self, last: bool) -> None:
        """On to the next request, or to the end of this connection, once the answer has left."""
        if self.exchange is not None:
            self.exchange.release()
        self.exchange = None
        self.update_holding()
        if self.stream.closed:  # the write found it broken: what waits unread behind it has nobody to answer
            self.is_last = True
            return
        if self.parser.is_done() and not last:
            self.parser.start_next_cycle()
            self.served = True
        else:
            self.is_last = True
        if not self.flushing:
            self.answer_has_left()

    def answer_has_left(self) -> None:
        """Nothing is owed to this client: its next request may begin, or it may close."""
        if self.is_last:
            self.linger()
            return
        self.acceptor.idle[self] = self.acceptor.clock.now
        if self.parser.pending:
            self.acceptor.head_received(self)
            self.read_scope.deadline = trio.current_time() + REQUEST_TIMEOUT_S
            self.advance()

    def on_flushed(self) -> None:
        """A client that reads slowly has taken what the socket did not take at once."""
        self.update_holding()
        if self.stream.closed or self.exchange is not None:
            return
        self.answer_has_left()
        if self.acceptor.closing and self not in self.acceptor.receiving_heads:
            self.close_if_idle()

    def on_stalled(self) -> None:
        self.acceptor.count_break("stalled_client")

    def begin_streamed_answer(self, answer: StreamedAnswer, last: bool) -> None:
        """The head; it leaves with the first piece. What follows comes from the delegation's own task."""
        headers: Headers = (
            [(b"Content-Type", answer.content_type.encode("latin-1"))] if answer.content_type else []
        )
        if answer.length is not None:
            headers.append((b"Content-Length", str(answer.length).encode()))
        if last:
            headers.append((b"Connection", b"close"))
        self.unsent_head = (
            self.parser.http.send_with_data_passthrough(h11.Response(status_code=200, headers=headers)) or []
        )
        self.streaming_answer, self.close_after_answer = True, last
        self.writer.reset_on_failure = answer.length is None
        answer.sink = self

    async def write_chunk(self, piece: bytes | bytearray) -> None:
        parts = self.parser.http.send_with_data_passthrough(h11.Data(piece)) or []  # type: ignore[arg-type]
        head, self.unsent_head = self.unsent_head, []
        await self.writer.send([*head, *parts])

    def end(self, whole: bool) -> None:
        self.streaming_answer = self.writer.reset_on_failure = False
        if self.stream.closed:
            return
        if not whole:
            # Guards against an answer that looks whole where only the connection's end says so.
            self.stream.abort()
            return
        self.write(h11.EndOfMessage())
        self.after_answer(self.close_after_answer or self.acceptor.closing)

    def write(self, *events: h11.Event) -> None:
        self.writer.write(
            [part for event in events for part in self.parser.http.send_with_data_passthrough(event) or ()]
        )

    def linger(self) -> None:
        """Guards against a reset that would overtake the answer: the client is to close first."""
        self.stream.end_writing()
        self.acceptor.closing_begun(self)
        within = REFUSED_BODY_LINGER_S if self.refused else LINGER_S
        self.read_scope.deadline = min(self.read_scope.deadline, trio.current_time() + within)
        self.linger_until = trio.current_time() + MAX_LINGER_S
        self.stream.stall_watch.begin()
        self.discarded_at_last_check = self.discarded

    def continue_lingering(self) -> bool:
        """Whether the client is waited for once more: it still takes its last answer, or still sends the body
        that was refused. Guards against a close that takes back what a slow reader has not got yet."""
        still_sends = self.refused and self.discarded > self.discarded_at_last_check
        still_reads = self.stream.unacknowledged_bytes() > 0 and not self.stream.stall_watch.has_stalled(
            CLIENT_STALL_TIMEOUT_S
        )
        waits = (still_sends or still_reads) and trio.current_time() < self.linger_until
        if not (waits or self.flushing):
            return False
        self.discarded_at_last_check = self.discarded
        self.read_scope = trio.CancelScope(deadline=trio.current_time() + LINGER_S)
        return True

    def close_if_idle(self) -> None:
        """What has arrived unread is read first: it may be a call that this ingress has taken by that.
        Half a head is none yet."""
        if self.exchange is not None or self.is_last or self.flushing or self.stream.closed:
            return
        self.paused = False  # or what it asked meanwhile would be read and left without an answer
        self.advance()
        with contextlib.suppress(OSError):  # it is closed below
            for _ in range(MAX_FINAL_READS):
                if self.exchange is not None or self.is_last or self.catching_up is not None:
                    break
                if not (size := self.read_size()):
                    self.give_way()  # it has begun a request, and there is no memory to read the rest
                    break
                if not (data := self.stream.receive_now(size)):
                    break
                self.feed(data)
        if self.catching_up is not None:
            self.close_once_caught_up = True
            return
        if self.exchange is None and not self.is_last and not self.stream.closed:
            self.is_last = True
            self.linger()
