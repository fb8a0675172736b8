"""A task that an event has woken runs later in the turn: what happened in between must count.

``docs/incidents/incomplete-body.md`` lists the places. Orders are forced by events, never by time.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any
from unittest import mock

import h11
import pytest
import trio
from scenario import DEFAULTS, Wire, World, scenario
from test_crossings import HEAD, Late, before, until

from gorsefork.decisions import interface as i
from gorsefork.memory.registry import RegisteredBackend, RegistryUpdate
from gorsefork.wire.backends import BackendConnection

SIZE, FIRST = 100_000, 90_000  # bytes of a body; bytes of it that come with the head
BEYOND = {"Content-Length": b"y" * 500, "Transfer-Encoding": b"\r\n"}  # bytes that follow such a body


@dataclass
class UploadedBody:
    """What reached a backend of one request."""

    data: bytearray = field(default_factory=bytearray)
    complete: bool = False
    connection_ended: trio.Event = field(default_factory=trio.Event)


def chunk(data: bytes) -> bytes:
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


def upload_pieces(framing: str) -> tuple[bytes, bytes]:
    """A purchase whose connection is to be closed behind it, in two pieces; bytes follow the second."""
    value = "chunked" if framing == "Transfer-Encoding" else SIZE
    lines = {**DEFAULTS, "Idempotency-Key": "k1", "Connection": "close", framing: value}
    head = "".join(f"{name}: {text}\r\n" for name, text in lines.items())
    first, rest = b"y" * FIRST, b"y" * (SIZE - FIRST)
    if framing == "Transfer-Encoding":
        first, rest = chunk(first), chunk(rest) + b"0\r\n\r\n"
    return f"POST /buy HTTP/1.1\r\n{head}\r\n".encode() + first, rest + BEYOND[framing]


def record_upload(uploads: list[UploadedBody]) -> Callable[[Wire], Awaitable[None]]:
    """A backend that reads one request and answers only a complete one."""

    async def serve(wire: Wire) -> None:
        upload, http = UploadedBody(), h11.Connection(h11.SERVER)
        uploads.append(upload)
        try:
            while not upload.complete:
                event = http.next_event()
                if event is h11.NEED_DATA:
                    http.receive_data(await wire.stream.receive_some(65536))
                elif isinstance(event, h11.Data):
                    upload.data += event.data
                elif isinstance(event, h11.EndOfMessage):
                    upload.complete = True
                    await wire.stream.send_all(b"HTTP/1.1 200 X\r\nContent-Length: 4\r\n\r\nsold")
        except (h11.RemoteProtocolError, trio.BrokenResourceError):
            pass  # it ended in the middle of the body
        upload.connection_ended.set()

    return serve


@pytest.mark.parametrize("framing", list(BEYOND))
def test_bytes_beyond_a_forwarded_body_neither_cut_it_short_nor_end_the_process(framing: str) -> None:
    """Prevents that a backend runs a part of a body, or that h11's error ends all (issue 47, case 1)."""

    async def then(world: World) -> None:
        uploads: list[UploadedBody] = []
        first, rest = upload_pieces(framing)
        await world.play("c1 send GET /healthz\nc1 expect 200")
        with mock.patch.object(world.servers["box"], "serve", record_upload(uploads)):
            await world.clients["c1"].stream.send_all(first)
            await until(lambda: bool(uploads) and len(uploads[0].data) == FIRST)
            await world.clients["c1"].stream.send_all(rest)
            await world.play("c1 expect 400 Connection\nc1 wait")
            await uploads[0].connection_ended.wait()
        assert len(uploads) == 1
        assert not uploads[0].complete or len(uploads[0].data) == SIZE
        await world.play("c2 send GET /look\nbox expect GET /look\nbox send 200 | two\nc2 expect 200 | two")

    scenario("", then=then)


def test_only_the_attempt_that_reads_a_body_first_sends_it() -> None:
    """Prevents two attempts that share out one body, begun while the first waits to connect (issue 48, 1)."""
    late = Late()

    async def then(world: World) -> None:
        uploads: list[UploadedBody] = []
        core = world.ingresses[0].decision_actor
        head, rest = upload_pieces("Transfer-Encoding")
        await world.play("c1 send GET /healthz\nc1 expect 200")
        with mock.patch.object(world.servers["box"], "serve", record_upload(uploads)), late.patch():
            await world.clients["c1"].stream.send_all(head)
            await late.asked.wait()
            (call,) = core.calls.values()
            core.start_attempt(i.StartAttempt(call.id, "s-1"))
            await until(lambda: len(uploads) == 2)
            late.release.set()
            await until(lambda: any(upload.data for upload in uploads))
            await world.clients["c1"].stream.send_all(rest.removesuffix(BEYOND["Transfer-Encoding"]))
            await world.play("c1 expect 200 | sold\nc1 wait")
            for upload in uploads:
                await upload.connection_ended.wait()
        assert sorted(len(upload.data) for upload in uploads if upload.complete) == [SIZE]

    scenario("", then=then)


def test_a_request_that_is_whole_as_its_time_to_be_read_ends_is_served() -> None:
    """Prevents a 408 for a request in hand: its last byte and its time-out came in one turn (issue 47)."""

    async def then(world: World) -> None:
        await world.play("c1 send raw GET /look HTTP/1.1\\n")
        acceptor = world.ingresses[0].acceptors[0]
        await until(lambda: len(acceptor.receiving_heads) == 1)
        (connection,) = acceptor.connections
        with before(connection, "feed", lambda: connection.read_scope.cancel()):
            await world.play(f"c1 send raw {HEAD}\\n\nbox expect GET /look\nbox send 200 | served")
        await world.play("c1 expect 200 | served")
        await world.play("c1 send GET /look X-Trace-Id=next\nbox expect GET /look\nbox send 200 | next")
        await world.play("c1 expect 200 | next")

    scenario("", then=then)


def test_an_attempt_that_is_called_off_as_its_connection_comes_up_sends_nothing() -> None:
    """Prevents a first byte of an attempt that the decision engine has given up already (issue 47)."""

    async def then(world: World) -> None:
        (backend,) = world.ingresses[0].pool.backends.values()
        connect = backend.connect

        async def connect_then_cancel() -> BackendConnection | None:
            connection = await connect()
            (call,) = world.ingresses[0].decision_actor.calls.values()
            call.attempts[0].cancel()
            return connection

        with mock.patch.object(backend, "connect", connect_then_cancel):
            await world.play("c1 send GET /look X-Expires-In-Ms=400")
            await until(lambda: bool(world.ingresses[0].decision_actor.calls))
            (call,) = world.ingresses[0].decision_actor.calls.values()
            await until(lambda: bool(call.attempts) and call.attempts[0].ended)
        assert not call.attempts[0].fully_sent
        await world.play("box expect GET /look\nbox send 200 | again\nc1 expect 200 | again\nbox wait idle")

    # The first request makes the backend's actor; its connection has not rested when the second comes.
    scenario(
        "c1 send GET /look X-Trace-Id=one\nbox expect GET /look\nbox send 200 | one\nc1 expect 200", then=then
    )


def test_a_long_answer_that_comes_as_its_attempt_is_called_off_is_not_begun() -> None:
    """Prevents an answer that is torn at its beginning, where another attempt could serve it (issue 47)."""

    async def then(world: World) -> None:
        await world.play("c1 send GET /look\nbox expect GET /look")
        (call,) = world.ingresses[0].decision_actor.calls.values()
        with before(BackendConnection, "stream_answer", lambda: call.attempts[0].cancel()):
            await world.play(f"box send 200 | {'x' * SIZE}")
            await until(lambda: call.attempts[0].ended)
        await world.play("box expect GET /look\nbox send 200 | again\nc1 expect 200 | again")

    scenario("", then=then)


def test_an_attempt_whose_backend_leaves_before_its_actor_first_runs_is_ended() -> None:
    """Prevents an attempt that is neither carried out nor ended, so that its call stays (issue 47)."""

    async def then(world: World) -> None:
        ingress = world.ingresses[0]
        gone = RegisteredBackend("s-1", world.servers["box"].dial, "gone")
        original = ingress.pool.start_attempt

        def start_then_leave(attempt: Any) -> None:
            original(attempt)
            ingress.registry.apply(RegistryUpdate("delta", 2, (gone,)))

        with mock.patch.object(ingress.pool, "start_attempt", start_then_leave):
            await world.play("c1 send GET /look X-Expires-In-Ms=400")
            await until(lambda: bool(ingress.decision_actor.calls))
            (call,) = ingress.decision_actor.calls.values()
            await until(lambda: bool(call.attempts) and call.attempts[0].ended)
        await world.play("c1 expect 503")
        await until(lambda: not ingress.decision_actor.calls)

    scenario("", then=then)
