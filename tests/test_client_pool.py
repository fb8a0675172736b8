"""The pool of connections to many servers: what it keeps, what it closes, who waits, and faults."""

from __future__ import annotations

import math
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest
import trio
import trio.testing

from gorsefork.wire.http1.client import NoAnswer
from gorsefork.wire.http1.client_pool import ClientPool, PoolLimits

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class Server:
    """Answers each request with ``answer``; counts connections; holds answers while ``open`` isn't set."""

    def __init__(self, answer: bytes = ANSWER) -> None:
        self.answer, self.accepted, self.connected, self.asked = answer, 0, 0, 0
        self.gate = trio.Event()
        self.gate.set()
        self.changed = trio.Event()
        self.address = ""

    async def serve(self, stream: trio.SocketStream) -> None:
        self.accepted, self.connected = self.accepted + 1, self.connected + 1
        try:
            while data := await stream.receive_some():
                self.asked += data.count(b"\r\n\r\n")
                self.ring()
                await self.gate.wait()
                await stream.send_all(self.answer)
        except trio.BrokenResourceError:
            pass  # the client has closed: that is counted below
        finally:
            self.connected -= 1
            self.ring()

    def ring(self) -> None:
        changed, self.changed = self.changed, trio.Event()
        changed.set()

    async def until_connected(self, count: int) -> None:
        with trio.fail_after(3):
            while self.connected != count:
                await self.changed.wait()

    async def until_asked(self, count: int) -> None:
        with trio.fail_after(3):
            while self.asked < count:
                await self.changed.wait()


@asynccontextmanager
async def serving(*servers: Server) -> AsyncIterator[None]:
    async with trio.open_nursery() as nursery:
        for server in servers:
            listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
            server.address = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
            nursery.start_soon(trio.serve_listeners, server.serve, listeners)
        yield
        nursery.cancel_scope.cancel()


def test_one_connection_serves_many_requests_to_one_server() -> None:
    async def main() -> None:
        async with serving(server := Server()):
            pool = ClientPool()
            for _ in range(5):
                assert (await pool.request(server.address, "GET", "/")).body == b"ok"
            assert server.accepted == 1
            pool.close()
            await server.until_connected(0)

    trio.run(main)


def test_what_is_kept_has_a_bound_and_the_longest_idle_gives_way() -> None:
    async def main() -> None:
        servers = [Server() for _ in range(6)]
        async with serving(*servers):
            pool = ClientPool(limits=PoolLimits(max_idle=2))
            for server in servers:
                await pool.request(server.address, "GET", "/")
            assert list(pool.idle) == [servers[4].address, servers[5].address]
            for server in servers[:4]:
                await server.until_connected(0)
            pool.close()

    trio.run(main)


def test_an_idle_connection_is_closed_after_its_time() -> None:
    async def main() -> None:
        async with serving(server := Server()):
            pool = ClientPool(limits=PoolLimits(idle_timeout=0.05))
            assert pool.close_idle() == math.inf
            await pool.request(server.address, "GET", "/")
            again_at = pool.close_idle()
            assert again_at < math.inf and len(pool.idle) == 1
            await trio.sleep_until(again_at)
            assert pool.close_idle() == math.inf and not pool.idle
            await server.until_connected(0)

    trio.run(main)


def test_requests_beyond_the_bound_wait_for_a_turn() -> None:
    async def main() -> None:
        async with serving(server := Server()):
            server.gate = trio.Event()
            pool = ClientPool(limits=PoolLimits(max_requests=2))
            async with trio.open_nursery() as nursery:
                for _ in range(6):
                    nursery.start_soon(pool.request, server.address, "GET", "/")
                await server.until_asked(2)
                await trio.testing.wait_all_tasks_blocked()
                assert server.accepted == 2 and pool.request_slots.statistics().tasks_waiting == 4
                server.gate.set()
            assert server.asked == 6 and len(pool.idle) == 1
            pool.close()

    trio.run(main)


@pytest.mark.parametrize(
    ("answer", "reason"),
    [
        (b"what?\r\n\r\n", "ProtocolError"),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 99999\r\n\r\n" + b"x" * 99999, "longer than 1000 bytes"),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nx", "did not answer in 0.2 s"),
        (b"HTTP/1.1 200 OK\r\n", "did not answer in 0.2 s"),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + b"1\r\nx\r\n" * 2000, "longer than"),
    ],
)
def test_a_server_at_fault_ends_its_own_connection_only(answer: bytes, reason: str) -> None:
    async def main() -> None:
        bad, good = Server(answer), Server()
        async with serving(bad, good):
            pool = ClientPool(limits=PoolLimits(max_body=1000))
            await pool.request(good.address, "GET", "/")
            with pytest.raises(NoAnswer, match=reason):
                await pool.request(bad.address, "GET", "/", within=0.2)
            await bad.until_connected(0)
            await pool.request(good.address, "GET", "/")
            assert good.accepted == 1 and list(pool.idle) == [good.address]
            pool.close()

    trio.run(main)


def test_a_request_that_is_cancelled_leaves_no_connection_behind() -> None:
    async def main() -> None:
        async with serving(server := Server()):
            server.gate = trio.Event()
            pool = ClientPool()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(pool.request, server.address, "GET", "/")
                await server.until_asked(1)
                nursery.cancel_scope.cancel()
            assert not pool.idle
            server.gate.set()
            await server.until_connected(0)

    trio.run(main)
