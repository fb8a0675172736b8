"""A new process at the address of a backend that has gone, before discovery tells: does a purchase run twice?

    python -m benchmarks.replaced_backends --rounds 6 --tree ../before --tree .

Two backends of one cell answer many runs with an error, so that purchases are repeated within their cell.
After some seconds one of them goes, and a process of another cell comes up at its address. Reported:
purchases, those that were repeated at all, and those that ran in two cells.
"""

from __future__ import annotations

import argparse
import random
import re
import socket
import struct
import tempfile
from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path

import trio

from benchmarks.hostile_clients import NOT_ANSWERED
from benchmarks.hostile_patterns import head
from benchmarks.rig import CUSTOMERS, Box, CounterStandIn, Discovery, Ingress, Place

SETTLE_S, REPLACED_S = 8.0, 3.0  # before and after the replacement
CLIENTS, INTERVAL_S = 6, 0.05
FAILED_SHARE = 0.2  # of the runs that are answered with an error
RESET = struct.pack("ii", 1, 0)  # struct linger


@dataclass
class Runs:
    """Where each purchase ran, by its id: the cell of each run."""

    cells: dict[str, list[int]] = field(default_factory=lambda: defaultdict(list))

    def repeated(self) -> int:
        return sum(len(cells) > 1 for cells in self.cells.values())

    def in_two_cells(self) -> int:
        return sum(len(set(cells)) > 1 for cells in self.cells.values())


class Process:
    """One backend's process; ``dial`` is what discovery lists."""

    def __init__(self, runs: Runs, rng: random.Random, cell: int, port: int = 0) -> None:
        self.runs, self.rng, self.cell = runs, rng, cell
        self.scope, self.streams = trio.CancelScope(), set[trio.SocketStream]()
        self.sock = socket.create_server(("127.0.0.1", port), backlog=512)
        self.port = int(self.sock.getsockname()[1])
        self.dial = f"127.0.0.1:{self.port}"

    async def run(self) -> None:
        listener = trio.SocketListener(trio.socket.from_stdlib_socket(self.sock))
        with self.scope:
            await trio.serve_listeners(self.serve, [listener])
        for stream in self.streams:
            reset(stream)

    async def serve(self, stream: trio.SocketStream) -> None:
        self.streams.add(stream)
        data = b""
        try:
            while more := await stream.receive_some(65536):
                data += more
                if b"\r\n\r\n" in data and data.endswith(b"two"):
                    trace = re.search(rb"X-Trace-Id: (\S+)", data)
                    data = b""
                    assert trace is not None
                    self.runs.cells[trace[1].decode()].append(self.cell)
                    status = 500 if self.rng.random() < FAILED_SHARE else 200
                    await stream.send_all(f"HTTP/1.1 {status} X\r\nContent-Length: 4\r\n\r\nsold".encode())
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass


def reset(stream: trio.SocketStream) -> None:
    if stream.socket.fileno() >= 0:
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        stream.socket.close()


async def buy(port: int, number: int) -> None:
    """One purchase after another, each on a connection of its own."""
    for turn in range(1_000_000):
        trace = f"p{number}-{turn}"
        request = head(
            "POST",
            "/buy/x",
            f"Idempotency-Key: {trace}",
            "Content-Length: 3",
            trace=trace,
            customer=CUSTOMERS[number],
        )
        try:
            stream = await trio.open_tcp_stream("127.0.0.1", port)
            async with stream:
                await stream.send_all(request + b"two")
                await stream.receive_some(65536)
        except (OSError, *NOT_ANSWERED):
            pass
        await trio.sleep(INTERVAL_S)


async def play(folder: Path, seed: int, tree: Path) -> Runs:
    runs, rng = Runs(), random.Random(seed)
    async with trio.open_nursery() as nursery:
        staying, leaving = Process(runs, rng, 0), Process(runs, rng, 0)
        counter = CounterStandIn()
        boxes = [Box(rng), Box(rng)]
        for box, process in zip(boxes, (staying, leaving), strict=True):
            box.dial = process.dial
            nursery.start_soon(process.run)
        discovery = Discovery(boxes)
        await counter.open(nursery)
        await discovery.open(nursery)
        ingress = Ingress(Place(0, 1, folder, discovery.dial, counter.dial, tree=tree))
        ingress.write()
        ingress.start()
        try:
            await ingress.ready()
            for number in range(CLIENTS):
                nursery.start_soon(buy, ingress.port, number)
            await trio.sleep(SETTLE_S)
            leaving.scope.cancel()
            await trio.sleep(0)
            while leaving.sock.fileno() >= 0:
                leaving.sock.close()
            await trio.sleep(0.05)
            nursery.start_soon(Process(runs, rng, 1, leaving.port).run)
            await trio.sleep(REPLACED_S)
        finally:
            nursery.cancel_scope.cancel()
            ingress.kill()
    return runs


def main(words: Sequence[str] | None = None) -> int:
    parser = argparse.ArgumentParser(prog="python -m benchmarks.replaced_backends")
    parser.add_argument("--tree", type=Path, action="append", default=[])
    parser.add_argument("--rounds", type=int, default=6)
    given = parser.parse_args(words)
    trees = [tree.resolve() for tree in given.tree] or [Path(__file__).parents[1]]
    print("tree round purchases repeated in-two-cells")
    for number, tree in enumerate(trees):
        for seed in range(given.rounds):
            with tempfile.TemporaryDirectory() as folder:
                runs = trio.run(play, Path(folder), seed, tree)
            print(
                f"{number + 1:>4} {seed:>5} {len(runs.cells):>9} {runs.repeated():>8}"
                f" {runs.in_two_cells():>12}",
                flush=True,
            )
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
