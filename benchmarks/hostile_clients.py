"""Clients that spend an ingress's time and memory, beside usual ones: what the usual ones get.

    python -m benchmarks.hostile_clients many-fields many-chunks --clients 300 --tree ../before --tree .

Plays each pattern against a process of its own with a memory limit in its configuration. The hostile clients
run in a further process, so that their work does not delay the usual ones. Reported: the most resident
memory, the longest turn of the ingress's loop, and how late and how often usual clients were served.
"""

from __future__ import annotations

import argparse
import math
import random
import re
import subprocess
import sys
import tempfile
import time
from collections.abc import AsyncIterator, Iterator, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from itertools import count
from pathlib import Path

import trio

from benchmarks.hostile_patterns import PATTERNS, Pattern, Write, head
from benchmarks.rig import CUSTOMERS, Box, CounterStandIn, Discovery, Ingress, Place
from benchmarks.socket_memory import socket_buffer_bytes

MEMORY_LIMIT_MB, SOCKETS = 96, 1024
SAMPLE_INTERVAL_S = 0.02
USUAL_CLIENTS, USUAL_INTERVAL_S, USUAL_WAIT_S = 8, 0.1, 3.0
USUAL_PURCHASE_EVERY, USUAL_BODY_BYTES = 4, 30_000  # one client of so many sends bodies
USUAL_ANEW_EVERY = 2  # one client of so many takes a new connection for each request
HOSTILE_PROCESSES = 4  # so that none of them is what bounds the pressure
SETTLE_S = 0.5  # s of usual load before and after the hostile one
RECONNECT_PAUSE_S = 0.02
BEGUN = "begun"  # a hostile process's one line of output
NOT_ANSWERED = (EOFError, trio.BrokenResourceError, trio.ClosedResourceError)


async def attack(port: int, pattern: Pattern, clients: int, seed: int) -> None:
    """Until cancelled, or killed with its process; says ``BEGUN`` once each client has set out."""
    async with trio.open_nursery() as nursery:
        for number in range(clients):
            nursery.start_soon(hostile_client, port, pattern, random.Random(f"{seed}/{number}"))
        await trio.lowlevel.checkpoint()  # each has run to its first wait
        print(BEGUN, flush=True)


async def hostile_client(port: int, pattern: Pattern, rng: random.Random) -> None:
    while True:
        await trio.sleep(rng.uniform(0.2, 1.0) * RECONNECT_PAUSE_S)
        try:
            stream = await trio.open_tcp_stream("127.0.0.1", port)
        except OSError:
            continue
        try:
            async with stream, trio.open_nursery() as nursery:
                write = pattern(rng)
                nursery.cancel_scope.deadline = trio.current_time() + write.leaves_after
                if write.reads:
                    nursery.start_soon(read_all, stream, nursery.cancel_scope)
                await write_as_told(stream, write)
                if not write.hold:
                    await trio.sleep(RECONNECT_PAUSE_S)
                    nursery.cancel_scope.cancel()
                elif not write.reads:
                    await trio.sleep(60.0)
        except* (trio.BrokenResourceError, trio.ClosedResourceError):
            pass


async def read_all(stream: trio.SocketStream, scope: trio.CancelScope) -> None:
    while await stream.receive_some(65536):
        pass
    scope.cancel()


async def write_as_told(stream: trio.SocketStream, write: Write) -> None:
    while True:
        size = write.piece or len(write.data)
        for start in range(0, len(write.data), size):
            await stream.send_all(write.data[start : start + size])
            if write.piece:
                await trio.sleep(write.pause)
        if not write.over_and_over:
            return


@dataclass
class Result:
    """Memory in MiB, times in s. ``lost``: no whole answer in time; ``refused``: another status than 200."""

    pattern: str
    start_mb: float = 0.0
    most_mb: float = 0.0
    most_socket_mb: float = 0.0
    longest_turn: float = 0.0
    served: int = 0
    refused: int = 0
    lost: int = 0
    losses: list[str] = field(default_factory=list)  # how each was lost
    waits: list[float] = field(default_factory=list)
    ended: int | None = None

    @property
    def worst_wait(self) -> float:
        return max(self.waits, default=0.0)

    @property
    def median_wait(self) -> float:
        return sorted(self.waits)[len(self.waits) // 2] if self.waits else 0.0


@dataclass
class UsualClient:
    """Asks again every ``USUAL_INTERVAL_S``; some take a new connection for each request."""

    port: int
    number: int
    result: Result
    stream: trio.SocketStream | None = None
    turns: Iterator[int] = field(default_factory=count)

    async def ask_until(self, until: float) -> None:
        while trio.current_time() < until:
            await self.ask_once()
            await trio.sleep(USUAL_INTERVAL_S)

    async def ask_rounds(self, rounds: int) -> None:
        for _ in range(rounds):
            await self.ask_once()
            await trio.sleep(USUAL_INTERVAL_S)

    async def ask_once(self) -> None:
        began, status = trio.current_time(), 0
        try:
            with trio.fail_after(USUAL_WAIT_S + 0.5):
                status = await self.answer_status(f"u{self.number}-{next(self.turns)}")
        except (OSError, trio.TooSlowError, *NOT_ANSWERED) as error:
            self.result.losses.append(f"{type(error).__name__} after {trio.current_time() - began:.2f} s")
        if not status or self.number % USUAL_ANEW_EVERY == 0:
            await self.close()
        self.result.waits.append(trio.current_time() - began)
        self.result.served += status == 200
        self.result.refused += status not in (0, 200)
        self.result.lost += status == 0

    async def answer_status(self, trace: str) -> int:
        if self.stream is not None:
            try:
                return await ask(self.stream, trace, self.number)
            except NOT_ANSWERED:  # it closed between two requests: once more, as the platform's front
                await self.close()
        self.stream = await trio.open_tcp_stream("127.0.0.1", self.port)
        return await ask(self.stream, trace, self.number)

    async def close(self) -> None:
        stream, self.stream = self.stream, None
        if stream is not None:
            await trio.aclose_forcefully(stream)


async def ask(stream: trio.SocketStream, trace: str, number: int) -> int:
    customer = CUSTOMERS[1 + number % (len(CUSTOMERS) - 1)]
    if number % USUAL_PURCHASE_EVERY:
        request = head(trace=trace, customer=customer)
    else:
        lines = f"Idempotency-Key: {trace}", f"Content-Length: {USUAL_BODY_BYTES}"
        request = head("POST", "/buy/x", *lines, trace=trace, customer=customer) + bytes(USUAL_BODY_BYTES)
    await stream.send_all(request)
    data = b""
    while b"\r\n\r\n" not in data:
        if not (more := await stream.receive_some(65536)):
            raise EOFError
        data += more
    length = re.search(rb"(?i)content-length: (\d+)", data)
    want = data.index(b"\r\n\r\n") + 4 + (int(length[1]) if length else 0)
    while len(data) < want:
        if not (more := await stream.receive_some(65536)):
            raise EOFError
        data += more
    return int(data.split()[1])


@asynccontextmanager
async def hostile_processes(pattern: str, port: int, clients: int, seed: int) -> AsyncIterator[None]:
    """``clients`` of them, all of which have set out."""
    processes: list[trio.Process] = []
    try:
        for number in range(HOSTILE_PROCESSES):
            words = [sys.executable, "-m", "benchmarks.hostile_clients", "--attack", str(port), pattern]
            share = clients // HOSTILE_PROCESSES + (number < clients % HOSTILE_PROCESSES)
            words += ["--clients", str(share), "--seed", f"{seed * HOSTILE_PROCESSES + number}"]
            processes.append(
                await trio.lowlevel.open_process(words, stdout=subprocess.PIPE, cwd=Path(__file__).parents[1])
            )
        for process in processes:
            assert process.stdout is not None
            await process.stdout.receive_some()
        yield
    finally:
        for process in processes:
            process.kill()
            with trio.CancelScope(shield=True):
                await process.wait()


@asynccontextmanager
async def running_ingress(
    folder: Path, seed: int, memory_mb: int, tree: Path | None = None
) -> AsyncIterator[Ingress]:
    """One ingress with its backend, counter and discovery, ready; killed at the end."""
    async with trio.open_nursery() as nursery:
        box, counter = Box(random.Random(seed)), CounterStandIn()
        discovery = Discovery([box])
        for server in (box, counter, discovery):
            await server.open(nursery)
        place = Place(0, 1, folder, discovery.dial, counter.dial, tree=tree or Path(__file__).parents[1])
        place.memory_mb, place.sockets = memory_mb, SOCKETS
        ingress = Ingress(place)
        ingress.write()
        ingress.start()
        try:
            await ingress.ready()
            yield ingress
        finally:
            nursery.cancel_scope.cancel()
            ingress.kill()


async def play(
    pattern: str,
    clients: int,
    seconds: float,
    seed: int,
    folder: Path,
    tree: Path | None = None,
    memory_limit_mb: int = MEMORY_LIMIT_MB,
) -> Result:
    """One pattern against one ingress for so many seconds, with usual clients before, beside and after it."""
    result = Result(pattern)
    async with running_ingress(folder, seed, memory_limit_mb, tree) as ingress:
        result.start_mb = ingress.memory_mb()
        until = trio.current_time() + seconds + 2 * SETTLE_S
        async with trio.open_nursery() as usual:
            for number in range(USUAL_CLIENTS):
                usual.start_soon(UsualClient(ingress.port, number, result).ask_until, until)
            usual.start_soon(watch_memory, ingress, result, until)
            await trio.sleep(SETTLE_S)
            async with hostile_processes(pattern, ingress.port, clients, seed):
                await trio.sleep(seconds)
        note_end(ingress, result, folder)
    return result


async def play_rounds(
    pattern: str,
    clients: int,
    rounds: int,
    seed: int,
    folder: Path,
    memory_limit_mb: int = MEMORY_LIMIT_MB,
    kills: int = 0,
    tree: Path | None = None,
) -> Result:
    """Usual clients ask so many times each once all hostile ones have set out.

    After each of ``kills`` SIGKILLs all clients come anew to the next process, and the usual ones ask again.
    """
    result = Result(pattern)
    async with running_ingress(folder, seed, memory_limit_mb, tree) as ingress:
        result.start_mb = ingress.memory_mb()
        async with hostile_processes(pattern, ingress.port, clients, seed):
            for life in range(kills + 1):
                if life:
                    ingress.kill()
                    ingress.start()
                    await ingress.ready()
                async with trio.open_nursery() as watch:
                    watch.start_soon(watch_memory, ingress, result, math.inf)
                    async with trio.open_nursery() as usual:
                        for number in range(USUAL_CLIENTS):
                            client = UsualClient(ingress.port, life * USUAL_CLIENTS + number, result)
                            usual.start_soon(client.ask_rounds, rounds)
                    watch.cancel_scope.cancel()
        note_end(ingress, result, folder)
    return result


def note_end(ingress: Ingress, result: Result, folder: Path) -> None:
    assert ingress.process is not None
    result.ended = ingress.process.poll()
    log = (folder / "log").read_text()
    result.longest_turn = max(map(int, re.findall(r"a turn of (\d+) ms", log)), default=0) / 1000
    if result.ended is not None:
        print(log[-2000:])


async def watch_memory(ingress: Ingress, result: Result, until: float) -> None:
    while trio.current_time() < until:
        try:
            result.most_mb = max(result.most_mb, ingress.peak_memory_mb())
            assert ingress.process is not None
            buffers = socket_buffer_bytes(ingress.process.pid, ingress.port)
            result.most_socket_mb = max(result.most_socket_mb, buffers / 2**20)
        except (OSError, IndexError):  # it has ended
            return
        await trio.sleep(SAMPLE_INTERVAL_S)


def main(words: Sequence[str] | None = None) -> int:
    parser = argparse.ArgumentParser(prog="python -m benchmarks.hostile_clients")
    parser.add_argument("patterns", nargs="*", choices=[*PATTERNS, []])
    parser.add_argument("--tree", type=Path, action="append", default=[])
    parser.add_argument("--clients", type=int, default=300)
    parser.add_argument("--seconds", type=float, default=8.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--memory-mb", type=int, default=MEMORY_LIMIT_MB)
    parser.add_argument("--attack", type=int, help="a port: write to it until killed")
    given = parser.parse_args(words)
    if given.attack:
        trio.run(attack, given.attack, PATTERNS[given.patterns[0]], given.clients, given.seed)
        return 0
    trees = [tree.resolve() for tree in given.tree] or [Path(__file__).parents[1]]
    print(f"{given.clients} clients, {given.seconds:g} s each, seed {given.seed}; limit {given.memory_mb} MB")
    print(f"{'pattern':>18} tree  MiB: start most sockets  turn s  served refused lost  median s worst s")
    for pattern in given.patterns or PATTERNS:
        for number, tree in enumerate(trees):
            with tempfile.TemporaryDirectory() as folder:
                began = time.monotonic()
                got = trio.run(
                    play,
                    pattern,
                    given.clients,
                    given.seconds,
                    given.seed,
                    Path(folder),
                    tree,
                    given.memory_mb,
                )
            print(
                f"{pattern:>18} {number + 1:>4} {got.start_mb:>10.1f} {got.most_mb:>5.1f}"
                f" {got.most_socket_mb:>7.1f} {got.longest_turn:>7.2f} {got.served:>7} {got.refused:>7}"
                f" {got.lost:>4} {got.median_wait:>9.3f} {got.worst_wait:>7.3f}"
                f"{'' if got.ended is None else f'  ended with {got.ended}'}"
                f"  ({time.monotonic() - began:.0f} s)",
                flush=True,
            )
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
