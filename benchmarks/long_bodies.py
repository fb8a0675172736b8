"""Long answers: what slow readers cost in memory, and what they take from one that reads at full speed.

    python -m benchmarks.long_bodies --readers 1,20,100 --megabytes 16

For each number of slow readers (64 kB a second each) an ingress is started anew; one client then reads a
whole answer at full speed. Reported: its speed, and the ingress's resident memory, at the start and the most.
"""

from __future__ import annotations

import argparse
import random
import tempfile
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import h11
import trio

from benchmarks.rig import CUSTOMERS, PLANS, CounterStandIn, Discovery, Ingress, Place
from benchmarks.rig import Box as Rest

SLOW = 64_000  # bytes a second


class Box(Rest):
    """Answers at once, with as many bytes as the path asks for."""

    async def answer(self, request: h11.Request, body: bytes) -> Any:
        return 200, [], bytes(int(request.target.rpartition(b"/")[2]))


async def read(dial: str, size: int, number: int, pace: float) -> float:
    """The seconds that a whole answer took; ``pace`` in bytes a second, 0 for as fast as it comes."""
    host, port = dial.split(":")
    began, got = trio.current_time(), 0
    async with await trio.open_tcp_stream(host, int(port)) as stream:
        head = [
            f"GET /look/{size} HTTP/1.1",
            "Host: x",
            f"X-Trace-Id: r{number}",
            f"X-Contract: {PLANS[0]}",
            f"X-Client-Id: {CUSTOMERS[0]}",
            "X-Expires-In-Ms: 2500",
            "X-Metering: units=1,spread=1,first=0",
            "",
            "",
        ]
        await stream.send_all("\r\n".join(head).encode())
        while got < size:
            data = await stream.receive_some(16_384 if pace else 262_144)
            assert data, f"closed after {got} of {size} bytes"
            got += len(data)
            if pace:
                await trio.sleep(len(data) / pace)
    return trio.current_time() - began


async def measure(readers: int, size: int, folder: Path) -> tuple[float, float, float]:
    async with trio.open_nursery() as nursery:
        box, counter = Box(random.Random(1)), CounterStandIn()
        discovery = Discovery([box])
        for server in (box, counter, discovery):
            await server.open(nursery)
        ingress = Ingress(Place(0, 1, folder, discovery.dial, counter.dial))
        ingress.write()
        ingress.start()
        try:
            await ingress.ready()
            dial, start = f"127.0.0.1:{ingress.port}", ingress.memory_mb()
            for number in range(readers):
                nursery.start_soon(read, dial, size, number, SLOW)
            await trio.sleep(3.0)
            most, took = ingress.memory_mb(), await read(dial, size, readers, 0)
            most = max(most, ingress.memory_mb())
        finally:
            ingress.kill()
            nursery.cancel_scope.cancel()
    return size / took / 1e6, start, most


def main(words: Sequence[str] | None = None) -> int:
    parser = argparse.ArgumentParser(prog="python -m benchmarks.long_bodies")
    parser.add_argument("--readers", default="1,20,100")
    parser.add_argument("--megabytes", type=int, default=16)
    given = parser.parse_args(words)
    print(f"answers of {given.megabytes} MB")
    print(f"{'slow readers':>14}{'MB/s beside':>14}{'MiB before':>12}{'at most':>9}")
    for readers in map(int, given.readers.split(",")):
        with tempfile.TemporaryDirectory() as folder:
            speed, start, most = trio.run(measure, readers, given.megabytes * 1_000_000, Path(folder))
        print(f"{readers:>14}{speed:>14.0f}{start:>12.1f}{most:>9.1f}")
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
