"""Clients that spend an ingress's time and memory, beside usual ones: what the usual ones get.

    python -m benchmarks.hostile_clients many-fields many-chunks --clients 300 --tree ../before --tree .

Plays each pattern against a process of its own with a memory limit in its configuration. The hostile clients
run in a further process, so that their work does not delay the usual ones. Reported: the most resident
memory, the longest turn of the ingress's loop, and how late and how often usual clients were served.
"""

from __future__ import annotations

import argparse
import random
import re
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass, field
from itertools import count
from pathlib import Path

import trio

from benchmarks.rig import CUSTOMERS, PLANS, Box, CounterStandIn, Discovery, Ingress, Place

MEMORY_LIMIT_MB, SOCKETS = 96, 1024
SAMPLE_INTERVAL_S = 0.02
USUAL_CLIENTS, USUAL_INTERVAL_S, USUAL_WAIT_S = 8, 0.1, 3.0
USUAL_PURCHASE_EVERY, USUAL_BODY_BYTES = 4, 30_000  # one client of so many sends bodies
SETTLE_S = 0.5  # s of usual load before and after the hostile one
SLOW_PIECE_BYTES, SLOW_PAUSE_S = 400, 0.2
RECONNECT_PAUSE_S = 0.02
HEAD_BYTES, BODY_BYTES = 16_000, 33_000_000
IDS = count()
NOT_ANSWERED = (EOFError, trio.BrokenResourceError, trio.ClosedResourceError)


def head(
    method: str = "GET",
    path: str = "/look/x",
    *lines: str,
    trace: str = "",
    customer: str = CUSTOMERS[0],
) -> bytes:
    """A request's head as the platform's clients write it, with further lines."""
    return "\r\n".join(
        (
            f"{method} {path} HTTP/1.1",
            "Host: x",
            f"X-Trace-Id: {trace or f'h{next(IDS)}'}",
            f"X-Contract: {PLANS[0]}",
            f"X-Client-Id: {customer}",
            "X-Expires-In-Ms: 3000",
            "X-Metering: units=1,spread=1,first=0",
            *lines,
            "\r\n",
        )
    ).encode()


def purchase(*lines: str) -> bytes:
    return head("POST", "/buy/x", f"Idempotency-Key: k{next(IDS)}", *lines)


def short_fields(rng: random.Random, size: int = HEAD_BYTES - 400) -> list[str]:
    """Lines of a head with very many short fields, each of another name."""
    lines = [f"{number:x}:" for number in range(0x100, 0x100 + size // 6)]
    rng.shuffle(lines)
    return lines


@dataclass(frozen=True)
class Write:
    """What one hostile connection writes: ``data`` in pieces with pauses, or at once if ``piece`` is 0."""

    data: bytes
    piece: int = 0
    pause: float = SLOW_PAUSE_S
    hold: bool = True  # stay connected afterwards, until the ingress ends it
    reads: bool = True
    over_and_over: bool = False  # the same connection writes it again as soon as the socket takes it


Pattern = Callable[[random.Random], Write]


def slow_heads(rng: random.Random) -> Write:
    return Write(head("GET", "/look/x", *short_fields(rng)), 2000, 0.3)


def slow_bodies(rng: random.Random) -> Write:
    return Write(purchase("Content-Length: 64000") + bytes(64_000), rng.randint(2000, 6000), 0.4)


def slow_large_bodies(rng: random.Random) -> Write:
    return Write(purchase(f"Content-Length: {BODY_BYTES}") + bytes(400_000), rng.randint(8000, 20000), 0.2)


def half_bodies(rng: random.Random) -> Write:
    size = rng.choice((65_000, 65_500, 131_000))
    return Write(purchase(f"Content-Length: {BODY_BYTES}") + bytes(size))


def half_whole_bodies(rng: random.Random) -> Write:
    """Just below what is held whole, so that nothing may be passed on."""
    return Write(purchase("Content-Length: 65536") + bytes(65_500))


def many_fields(rng: random.Random) -> Write:
    return Write(head("GET", "/look/x", *short_fields(rng)), hold=False)


def many_fields_held(rng: random.Random) -> Write:
    return Write(purchase("Content-Length: 9", *short_fields(rng)) + b"x")


def repeated_field(rng: random.Random) -> Write:
    return Write(head("GET", "/look/x", *["a:"] * 3800), hold=False)


def many_chunks(rng: random.Random) -> Write:
    return Write(purchase("Transfer-Encoding: chunked") + b"1\r\nx\r\n" * 60_000)


def many_chunks_small(rng: random.Random) -> Write:
    return Write(purchase("Transfer-Encoding: chunked") + b"1\r\nx\r\n" * 60_000 + b"0\r\n\r\n", hold=False)


def chunk_extensions(rng: random.Random) -> Write:
    chunk = b"1;" + b"e" * 8000 + b"\r\nx\r\n"
    return Write(purchase("Transfer-Encoding: chunked") + chunk * 200)


def many_trailers(rng: random.Random) -> Write:
    trailers = "\r\n".join(short_fields(rng)).encode()
    return Write(purchase("Transfer-Encoding: chunked") + b"1\r\nx\r\n0\r\n" + trailers + b"\r\n\r\n")


def whole_bodies(rng: random.Random) -> Write:
    return Write(purchase("Content-Length: 65000") + bytes(65_000), over_and_over=True)


def flood_health(rng: random.Random) -> Write:
    return Write(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n" * 2000, over_and_over=True)


def flood_unsound(rng: random.Random) -> Write:
    return Write(b"GET /none HTTP/1.1\r\nHost: x\r\n\r\n" * 500, hold=False)


def flood_garbage(rng: random.Random) -> Write:
    return Write(rng.randbytes(4000), hold=False)


def flood_names(rng: random.Random) -> Write:
    customers = (f"{rng.randrange(1 << 33):016x}" for _ in range(2000))
    return Write(b"".join(head(customer=each) for each in customers), over_and_over=True)


def flood_unread(rng: random.Random) -> Write:
    customers = (f"{rng.randrange(1 << 33):016x}" for _ in range(2000))
    return Write(b"".join(head(customer=each) for each in customers), over_and_over=True, reads=False)


def flood_hasty(rng: random.Random) -> Write:
    """Requests whose time is over at once, each under a customer's name that was never heard."""
    customers = (f"{rng.randrange(1 << 33):016x}" for _ in range(2000))
    hasty = (head(customer=each).replace(b"Ms: 3000", b"Ms: 1") for each in customers)
    return Write(b"".join(hasty), over_and_over=True)


def flood_large_units(rng: random.Random) -> Write:
    """Requests that few can be served, of customers that are each new."""
    customers = (f"{rng.randrange(1 << 33):016x}" for _ in range(2000))
    return Write(
        b"".join(head(customer=each).replace(b"units=1,", b"units=6,") for each in customers),
        over_and_over=True,
    )


def flood_patient(rng: random.Random) -> Write:
    """Requests that are soon over, with a day to wait."""
    request = head(customer=f"{rng.randrange(1 << 33):016x}").replace(b"Ms: 3000", b"Ms: 86400000")
    return Write(
        b"".join(request.replace(b"X-Trace-Id: h", b"X-Trace-Id: %d-h" % n) for n in range(2000)),
        over_and_over=True,
    )


def flood_repeated_id(rng: random.Random) -> Write:
    return Write(head(trace="same") * 2000, over_and_over=True)


def flood_interim(rng: random.Random) -> Write:
    """Bodies that ask for 100 Continue, of one byte each."""
    return Write((purchase("Expect: 100-continue", "Content-Length: 1") + b"x") * 1000, over_and_over=True)


PATTERNS: dict[str, Pattern] = {
    function.__name__.replace("_", "-"): function
    for function in (
        slow_heads,
        slow_bodies,
        slow_large_bodies,
        half_bodies,
        half_whole_bodies,
        many_fields,
        many_fields_held,
        repeated_field,
        many_chunks,
        many_chunks_small,
        chunk_extensions,
        many_trailers,
        whole_bodies,
        flood_health,
        flood_unsound,
        flood_garbage,
        flood_names,
        flood_unread,
        flood_hasty,
        flood_patient,
        flood_large_units,
        flood_repeated_id,
        flood_interim,
    )
}


async def attack(port: int, pattern: Pattern, clients: int, seed: int) -> None:
    """Until cancelled, or killed with its process."""
    async with trio.open_nursery() as nursery:
        for number in range(clients):
            nursery.start_soon(hostile_client, port, pattern, random.Random(f"{seed}/{number}"))


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
    longest_turn: float = 0.0
    served: int = 0
    refused: int = 0
    lost: int = 0
    waits: list[float] = field(default_factory=list)
    ended: int | None = None

    @property
    def worst_wait(self) -> float:
        return max(self.waits, default=0.0)

    @property
    def median_wait(self) -> float:
        return sorted(self.waits)[len(self.waits) // 2] if self.waits else 0.0


async def usual_client(port: int, number: int, result: Result, until: float) -> None:
    """Asks again every ``USUAL_INTERVAL_S``, each time on a connection that is kept if it stays good."""
    stream: trio.SocketStream | None = None
    for turn in count():
        if trio.current_time() >= until:
            return
        began, status = trio.current_time(), 0
        try:
            with trio.fail_after(USUAL_WAIT_S + 0.5):
                if stream is not None:
                    try:
                        status = await ask(stream, f"u{number}-{turn}", number)
                    except NOT_ANSWERED:  # it closed between two requests: once more, as the platform's front
                        await trio.aclose_forcefully(stream)
                        stream = None
                if stream is None:
                    stream = await trio.open_tcp_stream("127.0.0.1", port)
                    status = await ask(stream, f"u{number}-{turn}", number)
        except (OSError, trio.TooSlowError, *NOT_ANSWERED):
            pass
        if not status and stream is not None:
            await trio.aclose_forcefully(stream)
            stream = None
        result.waits.append(trio.current_time() - began)
        result.served += status == 200
        result.refused += status not in (0, 200)
        result.lost += status == 0
        await trio.sleep(USUAL_INTERVAL_S)


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


@contextmanager
def hostile_process(pattern: str, port: int, clients: int, seed: int) -> Iterator[None]:
    words = [sys.executable, "-m", "benchmarks.hostile_clients", "--attack", str(port), pattern]
    words += ["--clients", str(clients), "--seed", str(seed)]
    process = subprocess.Popen(words, cwd=Path(__file__).parents[1])
    try:
        yield
    finally:
        process.kill()
        process.wait()


async def play(
    pattern: str, clients: int, seconds: float, seed: int, folder: Path, tree: Path | None = None
) -> Result:
    """One pattern against one ingress."""
    result = Result(pattern)
    async with trio.open_nursery() as nursery:
        box, counter = Box(random.Random(seed)), CounterStandIn()
        discovery = Discovery([box])
        for server in (box, counter, discovery):
            await server.open(nursery)
        place = Place(0, 1, folder, discovery.dial, counter.dial, tree=tree or Path(__file__).parents[1])
        place.memory_mb, place.sockets = MEMORY_LIMIT_MB, SOCKETS
        ingress = Ingress(place)
        ingress.write()
        ingress.start()
        try:
            await ingress.ready()
            result.start_mb = ingress.memory_mb()
            until = trio.current_time() + seconds + 2 * SETTLE_S
            async with trio.open_nursery() as usual:
                for number in range(USUAL_CLIENTS):
                    usual.start_soon(usual_client, ingress.port, number, result, until)
                usual.start_soon(watch_memory, ingress, result, until)
                await trio.sleep(SETTLE_S)
                with hostile_process(pattern, ingress.port, clients, seed):
                    await trio.sleep(seconds)
            assert ingress.process is not None
            result.ended = ingress.process.poll()
        finally:
            nursery.cancel_scope.cancel()
            ingress.kill()
    log = (folder / "log").read_text()
    result.longest_turn = max(map(int, re.findall(r"a turn of (\d+) ms", log)), default=0) / 1000
    if result.ended is not None:
        print(log[-2000:])
    return result


async def watch_memory(ingress: Ingress, result: Result, until: float) -> None:
    while trio.current_time() < until:
        try:
            result.most_mb = max(result.most_mb, ingress.memory_mb())
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
    parser.add_argument("--attack", type=int, help="a port: write to it until killed")
    given = parser.parse_args(words)
    if given.attack:
        trio.run(attack, given.attack, PATTERNS[given.patterns[0]], given.clients, given.seed)
        return 0
    trees = [tree.resolve() for tree in given.tree] or [Path(__file__).parents[1]]
    print(f"{given.clients} clients, {given.seconds:g} s each, seed {given.seed}; limit {MEMORY_LIMIT_MB} MB")
    print(f"{'pattern':>18} tree  MiB: start most  turn s  served refused lost  median s worst s")
    for pattern in given.patterns or PATTERNS:
        for number, tree in enumerate(trees):
            with tempfile.TemporaryDirectory() as folder:
                began = time.monotonic()
                got = trio.run(play, pattern, given.clients, given.seconds, given.seed, Path(folder), tree)
            print(
                f"{pattern:>18} {number + 1:>4} {got.start_mb:>10.1f} {got.most_mb:>5.1f}"
                f" {got.longest_turn:>7.2f} {got.served:>7} {got.refused:>7} {got.lost:>4}"
                f" {got.median_wait:>9.3f} {got.worst_wait:>7.3f}"
                f"{'' if got.ended is None else f'  ended with {got.ended}'}"
                f"  ({time.monotonic() - began:.0f} s)",
                flush=True,
            )
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
