"""Changes of version under load: what clients notice, and what both processes hold meanwhile.

    python -m benchmarks.version_change --changes 10 --clients 40

Each change starts a next process on the same socket, waits until it says yes on its operators' line, and ends
the one before with SIGTERM. Reported: requests turned back unheard (their connection ended under them),
failed ones, the longest time without an answer, and the most memory and descriptors that both held together.
"""

from __future__ import annotations

import argparse
import itertools
import os
import random
import signal
import socket
import statistics
import subprocess
import sys
import tempfile
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path

import trio

from benchmarks.rig import CUSTOMERS, PLANS, Box, CounterStandIn, Discovery, Ingress, Place, free_port
from gorsefork.wire.http1.client import HttpClient, NoAnswer


@dataclass
class Seen:
    answers: list[float] = field(default_factory=list)
    turned_back: int = 0
    failed: int = 0
    memory: list[float] = field(default_factory=list)
    descriptors: list[int] = field(default_factory=list)


class Process(Ingress):
    """One more process on a socket that is held for all of them."""

    def __init__(self, place: Place, door: socket.socket) -> None:
        super().__init__(place)
        self.door, self.ops = door, f"127.0.0.1:{free_port()}"

    def start(self) -> None:
        env = {
            **os.environ,
            "PROXY_CONFIG": str(self.place.folder / "config.json"),
            "TMPDIR": str(self.place.folder),
            "PROXY_FD": str(self.door.fileno()),
            "PROXY_OPS": self.ops,
        }
        with (self.place.folder / "log").open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "gorsefork"],
                env=env,
                stderr=log,
                cwd=self.place.tree,
                pass_fds=(self.door.fileno(),),
            )

    async def says_yes(self) -> None:
        host, port = self.ops.split(":")
        with trio.fail_after(10):
            while True:
                try:
                    stream = await trio.open_tcp_stream(host, int(port))
                    async with stream:
                        await stream.send_all(b"check\n")
                        if (await stream.receive_some(100)).startswith(b"+OK"):
                            return
                except OSError:
                    pass
                await trio.sleep(0.02)

    def descriptors(self) -> int:
        assert self.process is not None
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))


async def client(dial: str, seen: Seen, rng: random.Random) -> None:
    http, number = HttpClient(dial), 0
    while True:
        number += 1
        headers = (
            ("X-Trace-Id", f"{rng.getrandbits(60):x}"),
            ("X-Contract", rng.choice(PLANS)),
            ("X-Client-Id", rng.choice(CUSTOMERS)),
            ("X-Expires-In-Ms", "2500"),
            ("X-Metering", "units=1,spread=1,first=0"),
        )
        try:
            answer = await http.request("GET", "/look", within=3.0, headers=headers)
            seen.failed += answer.status != 200
            seen.answers.append(trio.current_time())
        except NoAnswer:
            seen.turned_back += 1
            http.close()
            http = HttpClient(dial)
        await trio.sleep(rng.expovariate(10.0))


async def measure(changes: int, clients: int, folder: Path) -> Seen:
    seen = Seen()
    with socket.create_server(("127.0.0.1", 0), backlog=1024) as door:
        async with trio.open_nursery() as nursery:
            box, counter = Box(random.Random(1)), CounterStandIn()
            discovery = Discovery([box])
            for server in (box, counter, discovery):
                await server.open(nursery)
            place = Place(0, 1, folder, discovery.dial, counter.dial)
            old = Process(place, door)
            old.write()
            old.start()
            await old.says_yes()
            dial = f"127.0.0.1:{door.getsockname()[1]}"
            for n in range(clients):
                nursery.start_soon(client, dial, seen, random.Random(n))
            await trio.sleep(1.0)
            for _ in range(changes):
                new = Process(place, door)
                new.start()
                await new.says_yes()
                seen.memory.append(old.memory_mb() + new.memory_mb())
                seen.descriptors.append(old.descriptors() + new.descriptors())
                assert old.process is not None
                old.process.send_signal(signal.SIGTERM)
                await trio.to_thread.run_sync(old.process.wait)
                old = new
                await trio.sleep(0.5)
            nursery.cancel_scope.cancel()
        old.kill()
    return seen


def main(words: Sequence[str] | None = None) -> int:
    parser = argparse.ArgumentParser(prog="python -m benchmarks.version_change")
    parser.add_argument("--changes", type=int, default=10)
    parser.add_argument("--clients", type=int, default=40)
    given = parser.parse_args(words)
    with tempfile.TemporaryDirectory() as folder:
        seen = trio.run(measure, given.changes, given.clients, Path(folder))
    times = sorted(seen.answers)
    gap = max(b - a for a, b in itertools.pairwise(times))
    print(
        f"{given.changes} changes, {given.clients} clients, {len(times)} answers: "
        f"{seen.turned_back} turned back, {seen.failed} failed, longest gap {gap * 1000:.0f} ms"
    )
    print(
        f"both together: {statistics.median(seen.memory):.0f} MiB (most {max(seen.memory):.0f}), "
        f"{max(seen.descriptors)} descriptors at the most"
    )
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
