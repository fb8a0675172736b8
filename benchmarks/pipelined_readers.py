"""Clients that send many requests at once and read slowly: what their answers hold in memory.

    python -m benchmarks.pipelined_readers --tree ../before --tree . --clients 20 --requests 300

Each client reads 64 kB a second. Reported: the ingress's resident memory, at the start and the most within
``--seconds``, and the requests that its backend was asked for.
"""

from __future__ import annotations

import argparse
import random
import socket
import tempfile
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import h11
import trio

from benchmarks.rig import CUSTOMERS, PLANS, CounterStandIn, Discovery, Ingress, Place
from benchmarks.rig import Box as SlowBox

READ_RATE, READ_BYTES = 64_000, 3_200  # bytes a second; bytes a read
RECEIVE_BUFFER_BYTES = 65_536
SAMPLE_INTERVAL_S = 0.1


class Box(SlowBox):
    """Answers at once, with as many bytes as the path asks for, and counts its requests."""

    requests = 0

    async def answer(self, request: h11.Request, body: bytes) -> Any:
        self.requests += 1
        return 200, [], bytes(int(request.target.rpartition(b"/")[2]))


@dataclass(frozen=True, slots=True)
class Figures:
    """Resident memory in MiB, and the requests that reached the backend."""

    start_mb: float
    most_mb: float
    requests: int


def heads(client: int, requests: int, size: int) -> bytes:
    return "".join(
        f"GET /look/{size} HTTP/1.1\r\nHost: x\r\n"
        f"X-Trace-Id: r{client}-{number}\r\nX-Contract: {PLANS[0]}\r\n"
        f"X-Client-Id: {CUSTOMERS[client % len(CUSTOMERS)]}\r\nX-Expires-In-Ms: 8000\r\n"
        "X-Metering: units=1,spread=1,first=0\r\n\r\n"
        for number in range(requests)
    ).encode()


async def read_slowly(dial: str, sent: bytes) -> None:
    """Send all at once, and read until the connection ends."""
    host, port = dial.split(":")
    sock = trio.socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    await sock.connect((host, int(port)))
    async with trio.SocketStream(sock) as stream, trio.open_nursery() as nursery:
        nursery.start_soon(stream.send_all, sent)
        while data := await stream.receive_some(READ_BYTES):
            await trio.sleep(len(data) / READ_RATE)


async def measure(
    tree: Path, clients: int, requests: int, size: int, seconds: float, folder: Path
) -> Figures:
    async with trio.open_nursery() as nursery:
        box, counter = Box(random.Random(1)), CounterStandIn()
        discovery = Discovery([box])
        for server in (box, counter, discovery):
            await server.open(nursery)
        ingress = Ingress(Place(0, 1, folder, discovery.dial, counter.dial, tree=tree))
        ingress.write()
        ingress.start()
        try:
            await ingress.ready()
            start = most = ingress.memory_mb()
            for client in range(clients):
                nursery.start_soon(read_slowly, f"127.0.0.1:{ingress.port}", heads(client, requests, size))
            until_time = trio.current_time() + seconds
            while trio.current_time() < until_time:
                await trio.sleep(SAMPLE_INTERVAL_S)
                most = max(most, ingress.memory_mb())
        finally:
            nursery.cancel_scope.cancel()
            ingress.kill()
    return Figures(start, most, box.requests)


def main(words: Sequence[str] | None = None) -> int:
    parser = argparse.ArgumentParser(prog="python -m benchmarks.pipelined_readers")
    parser.add_argument("--tree", type=Path, action="append", default=[])
    parser.add_argument("--clients", type=int, default=20)
    parser.add_argument("--requests", type=int, default=300)
    parser.add_argument("--kilobytes", type=int, default=60)
    parser.add_argument("--seconds", type=float, default=9.0)
    given = parser.parse_args(words)
    trees = [tree.resolve() for tree in given.tree] or [Path(__file__).parents[1]]
    print(f"{given.clients} clients, {given.requests} requests each, {given.kilobytes} kB an answer")
    print(f"{'tree':>6}{'MiB before':>12}{'at most':>9}{'begun':>8}")
    for number, tree in enumerate(trees):
        with tempfile.TemporaryDirectory() as folder:
            figures = trio.run(
                measure,
                tree,
                given.clients,
                given.requests,
                given.kilobytes * 1000,
                given.seconds,
                Path(folder),
            )
        print(f"{number + 1:>6}{figures.start_mb:>12.1f}{figures.most_mb:>9.1f}{figures.requests:>8}")
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
