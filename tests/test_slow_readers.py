"""Clients that read slowly, or not at all: who reads on is served to the end, in order and in bounded memory.

``docs/incidents/interleaved-answers.md`` and ``docs/incidents/slow-readers.md`` have the faults.
"""

from __future__ import annotations

import socket
from unittest import mock

import pytest
import trio
import trio.testing
from scenario import DEFAULTS, Wire, World, scenario
from test_crossings import until

from gorsefork.wire.http1.connection import ClientConnection

USUAL, LONG = 60_000, 200_000  # bytes of an answer that is held whole; of one that is passed on
SMALL_BUFFER = 4096  # bytes, for a socket that soon takes no more
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
    traces = [f"usual-{number}" for number in range(600)]  # over 80 KiB of heads

    async def then(world: World) -> None:
        with mock.patch.object(world.servers["box"], "serve", answer_by_trace):
            connection = await slow_client(world)
            wire = world.clients["c1"]
            async with trio.open_nursery() as nursery:
                await wire.stream.send_all(get("long-0").encode())
                await until(lambda: connection.flushing and connection.streaming_answer)
                nursery.start_soon(wire.stream.send_all, "".join(map(get, traces)).encode())
                await until(connection.is_input_full)
                await expect_answers(wire, ["long-0", *traces[:20]])
                nursery.cancel_scope.cancel()
            await world.play("c1 close")

    scenario("", then=then)
