"""A process that is held up: what it owes in time leaves in time all the same.

Real processes on loopback. The shim holds one up in the middle of a turn and tells so first; the request is
sent just then, so that it is read late.
"""

from __future__ import annotations

import os
import re
import signal
import socket
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import pytest
from scenario import World, scenario

from gorsefork.lab.faults.plan import Plan, Rule
from gorsefork.lab.faults.process import ShimmedIngress
from gorsefork.wire.http1.exchange import answer_time

MS = 1_000_000
HELD = 0.15  # s, the longest that a process may be held up
WAITS = 0.7  # s that the client waits
SLACK = 0.05  # s by which every time limit grows on sockets
HEALTH = b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"
LOOK = (
    "GET /look HTTP/1.1\r\nHost: x\r\nX-Trace-Id: {trace}\r\nX-Contract: open\r\n"
    "X-Client-Id: 00000000b4d65521\r\nX-Expires-In-Ms: {waits}\r\n"
    "X-Metering: units=1,spread=1,first=0\r\n\r\n"
)


def config(backend: str) -> dict[str, Any]:
    entry = {"host": "s-1", "dial": backend, "health": "active"}
    return {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "discovery": "127.0.0.1:1",
        "seed": "1",
        "known": {"seq": 1, "whole": True, "hosts": [entry]},
        "settings": {
            "balancers": 1,
            "step": 4 * MS,
            "classes": [{"name": "look", "aim": 1000 * MS, "deadline": 3000 * MS}],
            "tiersOfService": [{"name": "open"}],
            "limits": {
                "maxAttempts": 1,
                "cancel": True,
                "connectTimeout": 250 * MS,
                "keepalive": 15_000 * MS,
            },
            "invariants": {"drainGrace": 250 * MS, "coldShare": 1.0, "rampTime": 1 * MS},
        },
    }


@pytest.fixture
def silent_backend() -> Iterator[socket.socket]:
    """Connections come up in its backlog, and nothing is ever answered."""
    with socket.create_server(("127.0.0.1", 0)) as backend:
        yield backend


@contextmanager
def running(folder: Path, backend: socket.socket, plan: Plan) -> Iterator[ShimmedIngress]:
    """An ingress that is ready, and has ended by the end."""
    dial = f"127.0.0.1:{backend.getsockname()[1]}"
    program = ShimmedIngress(folder / "n0", config(dial), plan)
    try:
        program.start()
        yield program
    finally:
        program.end()


def connected(ingress: ShimmedIngress) -> socket.socket:
    """A connection that is accepted and has had an answer."""
    client = socket.create_connection(("127.0.0.1", ingress.port), 5)
    client.sendall(HEALTH)
    assert client.recv(4096).startswith(b"HTTP/1.1 200")
    return client


def look(trace: str) -> bytes:
    return LOOK.format(trace=trace, waits=round(WAITS * 1000)).encode()


def final_answer_after(client: socket.socket, sent: float) -> float:
    """Seconds from ``sent`` to the whole answer."""
    answer = client.recv(4096)
    assert answer.startswith(b"HTTP/1.1 503"), answer
    return time.monotonic() - sent


class TestHeldUp:
    def test_a_request_that_comes_while_the_process_is_held_up_is_answered_in_its_time(
        self, tmp_path: Path, silent_backend: socket.socket
    ) -> None:
        """Incident 10321: the request's time was counted from when it was read."""
        rule = Rule(call="sendmsg", effect="hold", seconds=HELD, nth=(2,))
        with (
            running(tmp_path, silent_backend, Plan(rules=(rule,))) as program,
            connected(program) as client,
            socket.create_connection(("127.0.0.1", program.port)) as other,
        ):
            other.sendall(HEALTH)  # its answer is the one that is held up
            program.wait_for_injection(1)
            sent = time.monotonic()
            client.sendall(look("held"))
            client.settimeout(5)
            assert final_answer_after(client, sent) <= WAITS  # a hold in a turn is known to the process

    def test_a_request_that_comes_while_the_process_is_stopped_is_answered_in_its_time(
        self, tmp_path: Path, silent_backend: socket.socket
    ) -> None:
        """The same where the process waits for input and is not scheduled."""
        with running(tmp_path, silent_backend, Plan()) as program:
            assert program.process is not None
            with connected(program) as client:
                program.process.send_signal(signal.SIGSTOP)
                os.waitid(os.P_PID, program.process.pid, os.WSTOPPED | os.WNOWAIT)
                sent = time.monotonic()
                client.sendall(look("stopped"))
                time.sleep(HELD - SLACK)
                program.process.send_signal(signal.SIGCONT)
                client.settimeout(5)
                assert final_answer_after(client, sent) <= WAITS + SLACK


class TestAnswerWithin:
    @pytest.mark.parametrize(("waits", "within"), [(683, 583), (2281, 2181), (400, 340), (20, 17)])
    def test_the_last_answer_leaves_some_time_before_its_client_s_is_over(
        self, waits: int, within: int
    ) -> None:
        assert answer_time(waits * 1000) // 1000 == within

    def test_a_backend_is_told_no_more_than_the_ingress_waits(self) -> None:
        async def then(world: World) -> None:
            await world.play("c1 send GET /look X-Expires-In-Ms=1000")
            wire, message = await world.servers["box"].get.receive()
            told = re.search(r"X-Expires-In-Ms: (\d+)", message)
            assert wire is not None and told is not None and int(told[1]) <= 900

        scenario("", then=then)
