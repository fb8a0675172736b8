"""Clients that read slowly, or not at all: who reads on is served to the end, in order and in bounded memory.

``docs/incidents/interleaved-answers.md`` and ``docs/incidents/slow-readers.md`` have the faults.
"""

from __future__ import annotations

import socket
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator
from contextlib import asynccontextmanager, contextmanager
from unittest import mock

import pytest
import trio
import trio.testing
from scenario import DEFAULTS, Wire, World, scenario
from test_crossings import gone, until
from test_long import answer_of

from gorsefork.memory.body_stream import MAX_BUFFERED_BYTES
from gorsefork.wire import stall_watch
from gorsefork.wire.http1.connection import ClientConnection
from gorsefork.wire.stall_watch import SLOWEST_READER_BYTES_PER_S, SendState, StallWatch, read_send_state
from gorsefork.wire.stream import PeerStalled, Stream

USUAL, LONG = 60_000, 200_000  # bytes of an answer that is held whole; of one that is passed on
SMALL_BUFFER = 4096  # bytes, for a socket that soon takes no more
STALL_TIMEOUT_S = 0.6  # in place of 10 s
READ_BYTES = 4096  # of a slow client's read
READ_PAUSE_S = 0.05  # between two pieces that a slow client reads, or sends
MAX_HEAD_BYTES = 1000  # of an answer here


async def slow_client(world: World, name: str = "c1") -> ClientConnection:
    """A client whose answers soon fill what the system holds for it; its connection here."""
    acceptor = world.ingresses[0].acceptors[0]
    known = set(acceptor.connections)
    client = socket.socket()
    client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER)
    client.connect(("127.0.0.1", acceptor.port))
    world.clients[name] = Wire(client)
    await until(lambda: len(acceptor.connections) > len(known))
    (connection,) = acceptor.connections - known
    connection.stream.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER)
    return connection


def get(trace: str, *lines: str) -> str:
    headers = {**DEFAULTS, "X-Trace-Id": trace}
    return "\r\n".join(["GET /look HTTP/1.1", *(f"{k}: {v}" for k, v in headers.items()), *lines, "", ""])


def body_of(trace: str) -> bytes:
    return f"{trace:.<16}".encode() * ((LONG if trace.startswith("long") else USUAL) // 16)


async def answer_by_trace(wire: Wire) -> None:
    """A backend whose answers are made of the request's id alone."""
    while (message := await wire.message()) is not None:
        trace = message.split("X-Trace-Id: ")[1].partition("\r\n")[0]
        body = body_of(trace)
        await wire.stream.send_all(f"HTTP/1.1 200 X\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body)


async def expect_answers(wire: Wire, traces: list[str]) -> None:
    for trace in traces:
        answer = await wire.message()
        assert answer is not None, f"closed before {trace}"
        head, _, body = answer.partition("\r\n\r\n")
        assert head.startswith("HTTP/1.1 200 "), head
        assert body.encode("latin-1") == body_of(trace), f"another answer's bytes in that to {trace}"


@pytest.mark.parametrize("place", range(4))
def test_answers_to_requests_sent_at_once_leave_in_order_wherever_a_long_one_is(place: int) -> None:
    """Prevents one answer within another, and two tasks that wait for one socket (issue 47, case 2)."""
    traces = [f"{'long' if number == place else 'usual'}-{number}" for number in range(4)]

    async def then(world: World) -> None:
        with mock.patch.object(world.servers["box"], "serve", answer_by_trace):
            connection = await slow_client(world)
            await world.clients["c1"].stream.send_all("".join(map(get, traces)).encode())
            await until(lambda: connection.flushing)
            await world.play("c2 send GET /look X-Trace-Id=usual-c2")
            await expect_answers(world.clients["c2"], ["usual-c2"])
            await expect_answers(world.clients["c1"], traces)

    scenario("", then=then)


def test_an_interim_response_waits_behind_the_answer_before_it() -> None:
    """Prevents ``100 Continue`` within an answer that its client has not read yet (issue 47, case 2)."""
    lines = "".join(f"{k}: {v}\r\n" for k, v in {**DEFAULTS, "X-Trace-Id": "usual-1"}.items())
    lines += "Idempotency-Key: k\r\nContent-Length: 3\r\nExpect: 100-continue\r\n"
    purchase = f"POST /buy HTTP/1.1\r\n{lines}\r\n"

    async def then(world: World) -> None:
        with mock.patch.object(world.servers["box"], "serve", answer_by_trace):
            connection = await slow_client(world)
            wire = world.clients["c1"]
            await wire.stream.send_all((get("usual-0") + purchase).encode())
            await until(lambda: connection.flushing)
            await expect_answers(wire, ["usual-0"])
            interim = await wire.message()
            assert interim is not None and interim.startswith("HTTP/1.1 100 "), interim
            await wire.stream.send_all(b"two")
            await expect_answers(wire, ["usual-1"])

    scenario("", then=then)


def test_a_request_is_begun_only_once_the_answer_before_it_has_left() -> None:
    """Prevents whole answers that wait without a bound for a client that does not read (issue 47, case 2)."""
    count = 6

    async def then(world: World) -> None:
        ingress = world.ingresses[0]
        with mock.patch.object(world.servers["box"], "serve", answer_by_trace):
            connections = [await slow_client(world, f"c{number}") for number in range(count)]
            for number in range(count):
                traces = [f"usual-{number}-{each}" for each in range(20)]
                await world.clients[f"c{number}"].stream.send_all("".join(map(get, traces)).encode())
            await until(lambda: all(connection.flushing for connection in connections))
            await trio.testing.wait_all_tasks_blocked()
            assert sum(ingress.decision_actor.metrics.accepted) == count
            for connection in connections:
                assert sum(map(len, connection.writer.unsent)) <= USUAL + MAX_HEAD_BYTES
            for number in range(count):
                wire = world.clients.pop(f"c{number}")
                await expect_answers(wire, [f"usual-{number}-{each}" for each in range(20)])
                await wire.stream.aclose()

    scenario("", then=then)


def test_a_client_that_sends_far_ahead_of_a_long_answer_is_read_on_later() -> None:
    """Prevents that an answer is cut off as its client has sent much behind it (issue 47, case 2)."""
    traces = [f"usual-{number}" for number in range(40)]
    requests = "".join(get(trace, f"X-Padding: {'x' * 4000}") for trace in traces)
    assert len(requests) > MAX_BUFFERED_BYTES + 65536  # more than is held, and a read beyond that

    async def then(world: World) -> None:
        with mock.patch.object(world.servers["box"], "serve", answer_by_trace):
            connection = await slow_client(world)
            wire = world.clients["c1"]
            async with trio.open_nursery() as nursery:
                await wire.stream.send_all(get("long-0").encode())
                await until(lambda: connection.flushing and connection.streaming_answer)
                nursery.start_soon(wire.stream.send_all, requests.encode())
                await until(connection.is_input_full)
                await expect_answers(wire, ["long-0", *traces])
            await world.play("c1 close")

    scenario("", then=then)


def test_a_bad_request_among_many_that_were_sent_ahead_holds_up_none_behind_it() -> None:
    """Prevents a wait for room that outlasts the pause after an error (issue 47, case 2)."""
    traces = [f"usual-{number}" for number in range(40)]
    padding = f"X-Padding: {'x' * 4000}"
    bad = get("bad", padding).replace("GET /look", "GET /nothing")

    async def then(world: World) -> None:
        with mock.patch.object(world.servers["box"], "serve", answer_by_trace):
            connection = await slow_client(world)
            wire = world.clients["c1"]
            async with trio.open_nursery() as nursery:
                await wire.stream.send_all(get("long-0").encode())
                await until(lambda: connection.flushing and connection.streaming_answer)
                requests = bad + "".join(get(trace, padding) for trace in traces)
                nursery.start_soon(wire.stream.send_all, requests.encode())
                await until(connection.is_input_full)
                await expect_answers(wire, ["long-0"])
                await world.play("c1 expect 404")
                await expect_answers(wire, traces)
            await world.play("c1 close")

    with mock.patch("gorsefork.wire.http1.connection.REQUEST_TIMEOUT_S", 60.0):
        scenario("", then=then)


@asynccontextmanager
async def connected_streams(send_buffer: int) -> AsyncIterator[tuple[Stream, Stream]]:
    """A TCP connection on loopback whose receiver has a small buffer: the sender's side, the receiver's."""
    with socket.socket() as listener:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER)
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        sender = Stream(socket.create_connection(listener.getsockname()))
        sender.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, send_buffer)
        receiver = Stream(listener.accept()[0])
    try:
        yield sender, receiver
    finally:
        sender.close()
        receiver.close()


def run_with_clock(main: Callable[[trio.testing.MockClock], Awaitable[None]]) -> None:
    """On a clock that moves by ``jump`` alone, with real sockets."""
    clock = trio.testing.MockClock()
    trio.run(main, clock, clock=clock)


async def jump(clock: trio.testing.MockClock, seconds: float) -> None:
    """Let time pass, a look at the peer's progress at a time."""
    until_time = trio.current_time() + seconds
    while trio.current_time() < until_time:
        clock.jump(min(0.5, until_time - trio.current_time()))
        for _ in range(5):
            await trio.lowlevel.checkpoint()


def test_a_peer_that_reads_on_is_not_given_up_however_long_the_socket_takes_nothing() -> None:
    """Prevents a cut in the middle of reading: a socket turns writable a third of its buffer later (issue 47,
    case 3)."""

    async def main(clock: trio.testing.MockClock) -> None:
        async with connected_streams(1 << 20) as (sender, receiver), trio.open_nursery() as nursery:
            nursery.start_soon(sender.send, [bytes(8 << 20)], 10.0)
            await trio.testing.wait_all_tasks_blocked()
            for _ in range(12):
                acknowledged = read_send_state(sender.sock).acknowledged
                while read_send_state(sender.sock).acknowledged == acknowledged:
                    receiver.receive_now()
                await jump(clock, 9.0)
            assert not sender.closed
            nursery.cancel_scope.cancel()

    run_with_clock(main)


def test_a_peer_that_takes_nothing_is_given_up() -> None:
    """The bound on silence holds: nobody waits for ever."""

    async def main(clock: trio.testing.MockClock) -> None:
        async with connected_streams(SMALL_BUFFER) as (sender, _), trio.open_nursery() as nursery:
            failed = trio.Event()

            async def send() -> None:
                with pytest.raises(PeerStalled):
                    await sender.send([bytes(1 << 20)], 10.0)
                failed.set()

            nursery.start_soon(send)
            await trio.testing.wait_all_tasks_blocked()
            await jump(clock, 9.0)
            assert not failed.is_set()
            await jump(clock, 10.0)
            assert failed.is_set()

    run_with_clock(main)


def test_silence_is_counted_from_the_last_progress_and_allows_for_what_the_peer_holds() -> None:
    """Prevents a cut of a client that read fast first, and then as slowly as it may (issue 47, case 3)."""
    window, state = 2_000_000, SendState(1000, 2_000_000)
    hidden = window / 2 / SLOWEST_READER_BYTES_PER_S  # s until its system has room to announce

    async def main(clock: trio.testing.MockClock) -> None:
        nonlocal state
        with mock.patch.object(stall_watch, "read_send_state", lambda sock: state):
            watch = StallWatch(mock.Mock())
            watch.begin()
            state = SendState(1000, 0)
            clock.jump(10.0 + hidden - 0.1)
            assert not watch.has_stalled(10.0)
            state = SendState(1001, 0)
            clock.jump(5.0)
            assert not watch.has_stalled(10.0)
            clock.jump(10.0 + hidden - 0.1)
            assert not watch.has_stalled(10.0)
            clock.jump(0.1)
            assert watch.has_stalled(10.0)

    run_with_clock(main)


def bytes_written(stream: Stream) -> int:
    return read_send_state(stream.sock).acknowledged + stream.unacknowledged_bytes()


def test_a_send_that_is_cancelled_as_the_socket_turns_writable_sends_no_more() -> None:
    """Prevents the rest of a request after its attempt was called off (issue 47, case 1)."""

    async def main() -> None:
        async with connected_streams(SMALL_BUFFER) as (sender, receiver), trio.open_nursery() as nursery:
            scope, written = trio.CancelScope(), list[int]()
            wait_writable = trio.lowlevel.wait_writable

            async def wait_then_cancel(sock: socket.socket) -> None:
                await wait_writable(sock)
                scope.cancel()
                written.append(bytes_written(sender))

            async def send() -> None:
                with scope:
                    await sender.send([bytes(1 << 20)])

            with mock.patch.object(trio.lowlevel, "wait_writable", wait_then_cancel):
                nursery.start_soon(send)
                while not scope.cancel_called:
                    receiver.receive_now()
                    await trio.lowlevel.checkpoint()
                await trio.testing.wait_all_tasks_blocked()
            assert scope.cancelled_caught
            assert written == [bytes_written(sender)]

    trio.run(main)


@contextmanager
def short_times() -> Iterator[None]:
    """Time-outs that a test can wait for."""
    connection = "gorsefork.wire.http1.connection"
    with (
        mock.patch("gorsefork.wire.stream.STALL_CHECK_INTERVAL_S", STALL_TIMEOUT_S / 10),
        mock.patch("gorsefork.wire.http1.connection_writer.CLIENT_STALL_TIMEOUT_S", STALL_TIMEOUT_S),
        mock.patch(f"{connection}.CLIENT_STALL_TIMEOUT_S", STALL_TIMEOUT_S),
        mock.patch(f"{connection}.LINGER_S", STALL_TIMEOUT_S / 4),
        mock.patch(f"{connection}.REFUSED_BODY_LINGER_S", STALL_TIMEOUT_S / 4),
        mock.patch(f"{connection}.ERROR_PAUSE_S", STALL_TIMEOUT_S / 20),
    ):
        yield


async def read_slowly(wire: Wire, seconds: float) -> None:
    """A client that takes a little now and then for so long; what it took is in its buffer."""
    until_time = trio.current_time() + seconds
    while trio.current_time() < until_time:
        data = await wire.stream.receive_some(READ_BYTES)
        assert data, f"cut off after {len(wire.buffer)} bytes"
        wire.buffer += data
        await trio.sleep(READ_PAUSE_S)


def test_a_long_answer_that_is_read_slowly_is_passed_on_to_its_end() -> None:
    """Prevents that a client at 64 kB a second is cut off in the middle of its reading (issue 47, case 3)."""

    async def then(world: World) -> None:
        acceptor, size = world.ingresses[0].acceptors[0], 8 << 20
        client = socket.socket()
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4 * READ_BYTES)
        client.connect(("127.0.0.1", acceptor.port))
        wire = world.clients["c1"] = Wire(client)
        await world.play("c1 send GET /look\nbox expect GET /look")
        backend = world.servers["box"].last
        assert backend is not None

        async def give() -> None:
            await backend.stream.send_all(f"HTTP/1.1 200 X\r\nContent-Length: {size}\r\n\r\n".encode())
            await backend.stream.send_all(bytes(size))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(give)
            await until(lambda: any(connection.flushing for connection in acceptor.connections))
            await read_slowly(wire, 4 * STALL_TIMEOUT_S)
            _, body, whole = await answer_of(wire)
            assert (len(body), whole) == (size, True)

    with short_times():
        scenario("", then=then)


def test_whole_answers_that_are_read_slowly_are_given_to_their_end() -> None:
    """Prevents that one time-out for all that waits cuts off a client that reads on (issue 47, case 3)."""
    traces = [f"usual-{number}" for number in range(3)]

    async def then(world: World) -> None:
        with mock.patch.object(world.servers["box"], "serve", answer_by_trace):
            connection = await slow_client(world)
            wire = world.clients["c1"]
            await wire.stream.send_all("".join(map(get, traces)).encode())
            await until(lambda: connection.flushing)
            await read_slowly(wire, 4 * STALL_TIMEOUT_S)
            await expect_answers(wire, traces)

    with short_times():
        scenario("", then=then)


def test_a_last_answer_that_is_read_slowly_is_not_taken_back() -> None:
    """Prevents a close, and with the next byte a reset, before a client has its answer (issue 47, case 3)."""

    async def then(world: World) -> None:
        with mock.patch.object(world.servers["box"], "serve", answer_by_trace):
            connection = await slow_client(world)
            connection.stream.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4 * USUAL)
            wire = world.clients["c1"]
            await wire.stream.send_all(get("usual-0", "Connection: close").encode())
            await until(lambda: connection.is_last and not connection.flushing)
            for _ in range(2):
                await read_slowly(wire, STALL_TIMEOUT_S / 2)
                await wire.stream.send_all(b"x")
            await expect_answers(wire, ["usual-0"])
        await world.play("c1 close")
        await gone(world.ingresses[0].acceptors[0], connection)

    with short_times():
        scenario("", then=then)


def test_a_client_that_still_sends_the_body_that_was_refused_gets_its_answer() -> None:
    """Prevents a reset in the middle of a body, before the answer is read (issue 47, case 3)."""
    request = "POST /buy HTTP/1.1\r\nHost: x\r\nContent-Length: 60000000\r\n\r\n"

    async def then(world: World) -> None:
        await world.play("c1 send GET /healthz\nc1 expect 200")
        wire, until_time = world.clients["c1"], trio.current_time() + 3 * STALL_TIMEOUT_S
        await wire.stream.send_all(request.encode())
        while trio.current_time() < until_time:
            await wire.stream.send_all(bytes(1000))
            await trio.sleep(READ_PAUSE_S)
        await world.play("c1 expect 413 Connection\nc1 wait")

    with short_times():
        scenario("", then=then)


def test_a_long_answer_that_only_its_connection_ends_is_reset_where_its_client_stalls() -> None:
    """Prevents that a torn answer looks whole to a client of HTTP/1.0, which has no other sign of its end."""

    async def then(world: World) -> None:
        connection = await slow_client(world)
        lines = "".join(f"{name}: {value}\r\n" for name, value in DEFAULTS.items())
        await world.clients["c1"].stream.send_all(f"GET /look HTTP/1.0\r\n{lines}\r\n".encode())
        await world.play("box expect GET /look")
        backend = world.servers["box"].last
        assert backend is not None
        chunk = f"{LONG:x}\r\n".encode() + bytes(LONG) + b"\r\n"
        await backend.stream.send_all(b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk)
        await until(lambda: connection.streaming_answer and connection.flushing)
        await gone(world.ingresses[0].acceptors[0], connection)
        with pytest.raises(trio.BrokenResourceError):
            while await world.clients["c1"].stream.receive_some():
                pass
        await world.clients.pop("c1").stream.aclose()
        await world.play("o1 send vars\no1 expect +OK broken_off.stalled_client=1 faulted.look=1")

    with short_times():
        scenario("", then=then)


def test_a_backend_that_sends_no_more_of_a_long_answer_is_given_up_and_counted() -> None:
    """The bound on a backend's silence in the middle of an answer that is passed on."""

    async def then(world: World) -> None:
        await world.play("c1 send GET /look\nbox expect GET /look")
        backend = world.servers["box"].last
        assert backend is not None
        head = f"HTTP/1.1 200 X\r\nContent-Length: {2 * LONG}\r\n\r\n".encode()
        await backend.stream.send_all(head + bytes(LONG))
        _, _, whole = await answer_of(world.clients["c1"])
        assert not whole
        await world.play("o1 send vars\no1 expect +OK broken_off.stalled_backend=1 faulted.look=1")

    with mock.patch("gorsefork.wire.backends.STREAMED_CHUNK_TIMEOUT_S", STALL_TIMEOUT_S):
        scenario("", then=then)


def test_a_client_that_never_ends_the_body_that_was_refused_is_ended() -> None:
    """The bound in all on a client that has had its last answer."""
    request = "POST /buy HTTP/1.1\r\nHost: x\r\nContent-Length: 60000000\r\n\r\n"

    async def then(world: World) -> None:
        await world.play("c1 send GET /healthz\nc1 expect 200")
        (connection,) = world.ingresses[0].acceptors[0].connections
        wire = world.clients.pop("c1")
        await wire.stream.send_all(request.encode())
        with pytest.raises(trio.BrokenResourceError), trio.fail_after(5):
            while True:
                await wire.stream.send_all(bytes(1000))
                await trio.sleep(READ_PAUSE_S)
        assert connection.stream.closed

    with short_times(), mock.patch("gorsefork.wire.http1.connection.MAX_LINGER_S", STALL_TIMEOUT_S):
        scenario("", then=then)


def test_a_backend_that_takes_no_more_of_a_body_is_given_up_and_the_client_is_told() -> None:
    """Prevents that a call waits ten minutes for a backend that has stopped reading (issue 47, case 3)."""

    async def stop_reading(wire: Wire) -> None:
        await trio.sleep_forever()

    async def then(world: World) -> None:
        await world.play("c1 send GET /healthz\nc1 expect 200")
        size = 16 << 20
        lines = {**DEFAULTS, "Idempotency-Key": "k", "Content-Length": str(size)}
        head = "".join(f"{name}: {value}\r\n" for name, value in lines.items())
        with mock.patch.object(world.servers["box"], "serve", stop_reading):
            async with trio.open_nursery() as nursery:
                request = f"POST /buy HTTP/1.1\r\n{head}\r\n".encode() + bytes(size)
                nursery.start_soon(world.clients["c1"].stream.send_all, request)
                await world.play("c1 expect 503 Connection")

    with short_times(), mock.patch("gorsefork.wire.backends.UPLOAD_STALL_TIMEOUT_S", STALL_TIMEOUT_S):
        scenario("", then=then)
