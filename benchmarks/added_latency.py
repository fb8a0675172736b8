"""What an ingress adds to a request's latency, before 53 to 5,300 backends, beside a bare forwarder.

    PYTHONPATH=tests python -m benchmarks.added_latency --sizes 53 530 5300 --seconds 20 --out results.jsonl

For each size one process listens on as many loopback sockets as there are backends, and one real
``python -m gorsefork`` and one bare forwarder (trio and h11, no decisions) stand before it. A load process
sends each of them, and some backends directly, requests on a Poisson schedule of its own (open loop). A
latency counts from the scheduled time; what is *added* is the latency without the time that the backend says
it held the request. Meanwhile discovery's list changes by 600 entries every few seconds.

A table goes to standard output, a JSON object a line to ``--out``. Each size ends by itself within a bound.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import random
import subprocess
import sys
import tempfile
import time
from collections import Counter, defaultdict
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from dataclasses import asdict, dataclass, fields
from pathlib import Path
from typing import Any, Literal

import h11
import trio
from accounts_standin import Served

from benchmarks.rig import CUSTOMERS, PLANS, CounterStandIn, Ingress, Place
from gorsefork.wire.stream import Stream, connect

Way = Literal["direct", "forwarder", "ingress"]
WAYS: tuple[Way, ...] = ("direct", "forwarder", "ingress")
RATE = 129.0  # requests a second by each way
BACKENDS_AN_INGRESS = 8.55  # 5,300 backends for 620 ingresses
CHANGED, CHANGE_EVERY = 600, 3.0  # entries of one change of the list; s between two
FORWARDER_KEEPS = 120  # backends that the forwarder uses, as many as an ingress of a large fleet keeps to
HELD_LEAST, HELD_MOST = 0.002, 0.020  # s that a backend holds a request
GIVE_UP, WARM_UP, START_WITHIN = 5.0, 3.0, 30.0  # s for one answer; unmeasured at first; for a start
KEEP_FOR = 1.0  # s that the load keeps a connection idle: the ingress closes one after 2.2
OK = 200
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s"


# The hollow backends: one process, a listening socket for each.


class HollowBackend(asyncio.Protocol):
    """Answers each request after a moment; the body is how long it was held, in seconds."""

    def __init__(self, rng: random.Random) -> None:
        self.rng, self.unread = rng, b""
        self.transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.unread += data
        while (end := self.unread.find(b"\r\n\r\n")) >= 0:  # bodies are empty
            self.unread = self.unread[end + 4 :]
            held = self.rng.uniform(HELD_LEAST, HELD_MOST)
            asyncio.get_running_loop().call_later(held, self.answer, time.monotonic())

    def answer(self, came_at: float) -> None:
        body = f"{time.monotonic() - came_at:.6f}".encode()
        self.transport.write(ANSWER % (len(body), body))


async def hollow_backends(count: int) -> None:
    """Listen, print the addresses as one line of JSON, and serve until standard input ends."""
    loop, rng, dials = asyncio.get_running_loop(), random.Random(1), list[str]()
    for number in range(count):
        address = f"127.{64 + number // 62_500}.{number // 250 % 250}.{1 + number % 250}"
        server = await loop.create_server(lambda: HollowBackend(rng), address, 0)
        dials.append(f"{address}:{server.sockets[0].getsockname()[1]}")
    print(json.dumps(dials), flush=True)
    await loop.run_in_executor(None, sys.stdin.read)


# The bare forwarder.


class BareForwarder:
    """Reads a request by h11, asks a backend over a kept connection and writes the answer: no decisions."""

    def __init__(self, dials: Sequence[str]) -> None:
        self.dials, self.rng = dials, random.Random(2)
        self.idle = defaultdict[str, list[tuple[Stream, h11.Connection]]](list)

    async def serve(self, client: trio.SocketStream) -> None:
        http = h11.Connection(h11.SERVER)
        try:
            while True:
                while not isinstance(event := http.next_event(), h11.Request):
                    if event is h11.NEED_DATA:
                        http.receive_data(await client.receive_some())
                    elif isinstance(event, h11.ConnectionClosed):
                        return
                while not isinstance(http.next_event(), h11.EndOfMessage):
                    pass
                body = await self.ask(event)
                head = h11.Response(status_code=200, headers=[("Content-Length", str(len(body)))])
                answer = [http.send(e) or b"" for e in (head, h11.Data(data=body), h11.EndOfMessage())]
                await client.send_all(b"".join(answer))
                http.start_next_cycle()
        except (OSError, h11.ProtocolError, trio.BrokenResourceError):
            pass
        finally:
            await trio.aclose_forcefully(client)

    async def ask(self, request: h11.Request) -> bytes:
        dial = self.rng.choice(self.dials)
        stream, http = self.idle[dial].pop() if self.idle[dial] else await self.fresh(dial)
        asked = h11.Request(method=request.method, target=request.target, headers=[("Host", dial)])
        await stream.send([http.send(asked) or b"", http.send(h11.EndOfMessage()) or b""])
        body = bytearray()
        while not isinstance(event := http.next_event(), h11.EndOfMessage):
            if event is h11.NEED_DATA:
                http.receive_data(await stream.receive())
            elif isinstance(event, h11.Data):
                body += event.data
        http.start_next_cycle()
        self.idle[dial].append((stream, http))
        return bytes(body)

    async def fresh(self, dial: str) -> tuple[Stream, h11.Connection]:
        stream = await connect(dial, 1.0)
        if stream is None:
            raise OSError(f"no connection to {dial}")
        return stream, h11.Connection(h11.CLIENT)


async def bare_forwarder(port: int, dials: Sequence[str]) -> None:
    await trio.serve_tcp(BareForwarder(dials).serve, port, host="127.0.0.1")


# The load: open loop, by every way at once.


@dataclass(frozen=True, slots=True)
class Kept:
    """A connection to be used again, and when it was used last."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    used_at: float


@dataclass(slots=True)
class Sample:
    """One request: seconds from its scheduled time to its answer, and what its backend held it.

    ``status`` is that of the answer; 0 where none came.
    """

    latency: float
    held: float
    status: int


class LoadClient:
    """Kept connections to one address."""

    def __init__(self, dials: Sequence[str], rng: random.Random) -> None:
        self.dials, self.rng = dials, rng
        self.idle = defaultdict[str, list[Kept]](list)

    async def ask(self, head: bytes) -> tuple[int, float]:
        """The answer's status, and how long the backend says that it held the request."""
        dial = self.rng.choice(self.dials)
        reader, writer = await self.connection(dial)
        writer.write(head)
        answer = (await reader.readuntil(b"\r\n\r\n")).lower()
        length = int(answer.partition(b"content-length:")[2].split()[0])
        body = await reader.readexactly(length)
        status = int(answer.split()[1])
        if status == OK:
            self.idle[dial].append(Kept(reader, writer, time.monotonic()))
        else:
            writer.close()
        return status, float(body) if status == OK else 0.0

    async def connection(self, dial: str) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """The last used; one that stood idle for long may be closing at the other end."""
        while kept := self.idle[dial].pop() if self.idle[dial] else None:
            if time.monotonic() - kept.used_at < KEEP_FOR:
                return kept.reader, kept.writer
            kept.writer.close()
        host, _, port = dial.partition(":")
        return await asyncio.open_connection(host, int(port))


async def load(dials: Sequence[str], seconds: float, rate: float, seed: int) -> list[Sample]:
    """Requests on a Poisson schedule; the first ``WARM_UP`` seconds are not among the samples."""
    rng, samples, tasks = random.Random(seed), list[Sample](), set[asyncio.Task[None]]()
    client, began, due = LoadClient(dials, rng), time.monotonic(), 0.0

    async def one(at: float, head: bytes) -> None:
        try:
            async with asyncio.timeout(GIVE_UP):
                status, held = await client.ask(head)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            status, held = 0, 0.0
        if at >= WARM_UP:
            samples.append(Sample(time.monotonic() - began - at, held, status))

    number = 0
    while due < WARM_UP + seconds:
        due += rng.expovariate(rate)
        await asyncio.sleep(max(0.0, began + due - time.monotonic()))
        number += 1
        task = asyncio.create_task(one(due, request_head(number, rng)))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
    await asyncio.gather(*tasks)
    return samples


def request_head(number: int, rng: random.Random) -> bytes:
    return (
        f"GET /look HTTP/1.1\r\nHost: bench\r\nX-Trace-Id: t{number}\r\nX-Contract: {rng.choice(PLANS)}\r\n"
        f"X-Client-Id: {rng.choice(CUSTOMERS)}\r\nX-Expires-In-Ms: 2500\r\n"
        "X-Metering: units=1,spread=1,first=0\r\n\r\n"
    ).encode()


async def load_process(ways: dict[Way, list[str]], seconds: float, rate: float) -> None:
    """Every way at once, each on its own schedule; the samples go to standard output."""
    each = [load(dials, seconds, rate, seed) for seed, dials in enumerate(ways.values())]
    results = await asyncio.gather(*each)
    print(json.dumps({w: [asdict(s) for s in samples] for w, samples in zip(ways, results, strict=True)}))


# Discovery's list, which changes while it is watched.


class ChangingDiscovery(Served):
    """Lists all backends but some; every few seconds those that are out join, and as many others leave.

    Of each change half of the entries join and half leave; ``changes`` counts them once they begin.
    """

    def __init__(self, dials: Sequence[str], changed: int) -> None:
        super().__init__()
        self.dials, self.share = dials, min(changed, len(dials) // 2) // 2
        self.out: list[int] = []
        self.version, self.changes, self.delta = 1, 0, list[dict[str, Any]]()
        self.changed = trio.Event()

    def entry(self, number: int, health: str = "active") -> dict[str, Any]:
        return {
            "host": f"backend-{number:05}",
            "dial": self.dials[number],
            "site": f"zone-{number % 8}",
            "class": "hollow",
            "block": number % 64,
            "health": health,
            "share": 1.0,
            "born_ms": 0,
        }

    def change(self) -> None:
        back, step = self.out, self.share
        first = (self.changes * step) % max(1, len(self.dials) - step)
        self.out = list(range(first, first + step))
        joined = [self.entry(number) for number in back if number not in self.out]
        self.delta = [*joined, *(self.entry(number, "left") for number in self.out)]
        self.version, self.changes = self.version + 1, self.changes + 1
        self.changed.set()
        self.changed = trio.Event()

    async def keep_changing(self) -> None:
        while True:
            await trio.sleep(CHANGE_EVERY)
            self.change()

    async def answer(self, request: h11.Request, body: bytes) -> Any:
        _, watch, query = request.target.partition(b"?index=")
        index, _, wait = query.partition(b"&wait=")
        if watch and int(index) >= self.version:
            with trio.move_on_after(int(wait) / 1000):
                await self.changed.wait()
        whole = not watch or int(index) < self.version - 1
        hosts = self.delta if watch and int(index) < self.version else []
        if whole:
            hosts = [self.entry(n) for n in range(len(self.dials)) if n not in self.out]
        news = {"seq": self.version, "whole": whole, "hosts": hosts}
        return 200, [], json.dumps(news).encode()


# One size, and the report.


@dataclass(slots=True)
class Result:
    """One way at one size. Latencies in milliseconds; ``stall_ms`` is the most that was added to any."""

    tree: str
    backends: int
    ingresses: int
    way: Way
    list_changes: int
    requests: int
    failed: str  # number by status; 0: no answer
    p50_ms: float
    p99_ms: float
    worst_ms: float
    added_p50_ms: float
    added_p99_ms: float
    stall_ms: float
    cpu_us: float  # a request
    rss_mb: float  # at the end


class Forwarder(Ingress):
    """The bare forwarder as a process, measured as an ingress is."""

    def start_before(self, dials: Sequence[str]) -> None:
        command = [sys.executable, "-m", "benchmarks.added_latency", "--role", "forwarder"]
        chosen = random.Random(3).sample(dials, min(FORWARDER_KEEPS, len(dials)))
        self.process = subprocess.Popen([*command, "--port", str(self.port), "--dials", json.dumps(chosen)])

    async def listening(self) -> None:
        with trio.fail_after(START_WITHIN):
            while (stream := await connect(f"127.0.0.1:{self.port}", 1.0)) is None:
                await trio.sleep(0.05)
            stream.close()


@contextmanager
def hollow(count: int) -> Iterator[list[str]]:
    """The process of all backends, and their addresses."""
    command = [sys.executable, "-m", "benchmarks.added_latency", "--role", "hollow", "--backends", str(count)]
    with subprocess.Popen(command, stdin=subprocess.PIPE, stdout=subprocess.PIPE) as process:
        assert process.stdout is not None and process.stdin is not None
        try:
            yield json.loads(process.stdout.readline())
        finally:
            process.stdin.close()
            try:
                process.wait(5)
            except subprocess.TimeoutExpired:
                process.kill()


def write_config(ingress: Ingress, discovery: ChangingDiscovery) -> None:
    """As the rig writes it, with the list as it is known ahead and second copies permitted."""
    ingress.write()
    path = ingress.place.folder / "config.json"
    config = json.loads(path.read_text())
    config["known"] = {
        "seq": 1,
        "whole": True,
        "hosts": list(map(discovery.entry, range(len(discovery.dials)))),
    }
    config["settings"]["limits"]["secondCopies"] = True
    config["settings"]["invariants"] = {
        "drainGrace": 250_000_000,
        "coldShare": 0.31,
        "rampTime": 17_000_000_000,
        "fallMultiple": 2.5,
        "overloadFor": 1_500_000_000,
    }
    path.write_text(json.dumps(config))


async def measure_size(tree: Path, backends: int, seconds: float, rate: float, folder: Path) -> list[Result]:
    ingresses = max(1, round(backends / BACKENDS_AN_INGRESS))
    with hollow(backends) as dials:
        async with trio.open_nursery() as nursery:
            discovery, counter = ChangingDiscovery(dials, CHANGED), CounterStandIn()
            for server in (discovery, counter):
                await server.open(nursery)
            ingress = Ingress(Place(0, ingresses, folder, discovery.dial, counter.dial, tree=tree))
            forwarder = Forwarder(Place(0, 1, folder, "", ""))
            write_config(ingress, discovery)
            ingress.start()
            forwarder.start_before(dials)
            try:
                with trio.fail_after(2 * START_WITHIN + WARM_UP + seconds + GIVE_UP):
                    await ingress.ready()
                    await forwarder.listening()
                    nursery.start_soon(discovery.keep_changing)
                    results = await measured_load(discovery, ingress, forwarder, seconds, rate)
            finally:
                for each in (ingress, forwarder):
                    each.kill()
            nursery.cancel_scope.cancel()
    return [Result(str(tree), backends, ingresses, *result) for result in results]


async def measured_load(
    discovery: ChangingDiscovery, ingress: Ingress, forwarder: Forwarder, seconds: float, rate: float
) -> list[tuple[Any, ...]]:
    dials = {
        "direct": random.Random(4).sample(discovery.dials, min(FORWARDER_KEEPS, len(discovery.dials))),
        "forwarder": [f"127.0.0.1:{forwarder.port}"],
        "ingress": [f"127.0.0.1:{ingress.port}"],
    }
    before = {"forwarder": forwarder.cpu_s(), "ingress": ingress.cpu_s()}
    command = [
        sys.executable,
        "-m",
        "benchmarks.added_latency",
        "--role",
        "load",
        "--dials",
        json.dumps(dials),
    ]
    command += ["--seconds", str(seconds), "--rate", str(rate)]
    done = await trio.run_process(command, capture_stdout=True)
    spent = {"forwarder": forwarder.cpu_s(), "ingress": ingress.cpu_s()}
    memory = {"forwarder": forwarder.memory_mb(), "ingress": ingress.memory_mb()}
    results = []
    for way, raw in json.loads(done.stdout).items():
        samples, requests = [Sample(**each) for each in raw], (seconds + WARM_UP) * rate
        cpu = (spent[way] - before[way]) / requests * 1e6 if way in spent else 0.0
        results.append((way, discovery.changes, *summary(samples), round(cpu), memory.get(way, 0.0)))
    return results


def summary(samples: Sequence[Sample]) -> tuple[Any, ...]:
    """Requests, failed ones, then p50, p99 and the worst of latency and of what was added (ms)."""
    good = [sample for sample in samples if sample.status == OK]
    failed = Counter(sample.status for sample in samples if sample.status != OK)
    latency = sorted(1e3 * sample.latency for sample in good) or [0.0]
    added = sorted(1e3 * (sample.latency - sample.held) for sample in good) or [0.0]

    def at(values: Sequence[float], share: float) -> float:
        return round(values[min(len(values) - 1, int(share * len(values)))], 2)

    figures = [at(values, share) for values in (latency, added) for share in (0.5, 0.99, 1.0)]
    return len(samples), ", ".join(f"{n} x {status}" for status, n in failed.items()) or "0", *figures


def table(results: Sequence[Result]) -> str:
    columns = [each.name for each in fields(Result) if each.name != "tree"]
    lines = ["| " + " | ".join(columns) + " |", "|" + " --- |" * len(columns)]
    for result in results:
        cells = [getattr(result, column) for column in columns]
        lines.append("| " + " | ".join(f"{c:.2f}" if isinstance(c, float) else str(c) for c in cells) + " |")
    return "\n".join(lines)


def arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--sizes", type=int, nargs="+", default=[53, 530, 5300], help="numbers of backends")
    parser.add_argument("--seconds", type=float, default=20.0, help="measured, for each size")
    parser.add_argument("--rate", type=float, default=RATE, help="requests a second by each way")
    parser.add_argument("--tree", type=Path, default=Path.cwd(), help="the source of the ingress")
    parser.add_argument("--out", type=Path, help="JSON lines are appended here")
    parser.add_argument("--role", choices=("hollow", "forwarder", "load"), help=argparse.SUPPRESS)
    parser.add_argument("--backends", type=int, help=argparse.SUPPRESS)
    parser.add_argument("--port", type=int, help=argparse.SUPPRESS)
    parser.add_argument("--dials", type=json.loads, help=argparse.SUPPRESS)
    return parser.parse_args()


def main() -> None:
    given = arguments()
    if given.role == "hollow":
        asyncio.run(hollow_backends(given.backends))
    elif given.role == "forwarder":
        trio.run(bare_forwarder, given.port, given.dials)
    elif given.role == "load":
        asyncio.run(load_process(given.dials, given.seconds, given.rate))
    else:
        report(given)


def report(given: argparse.Namespace) -> None:
    results = []
    for size in given.sizes:
        with tempfile.TemporaryDirectory() as folder:
            results += trio.run(measure_size, given.tree, size, given.seconds, given.rate, Path(folder))
    if given.out:
        with given.out.open("a") as out:
            out.writelines(json.dumps(asdict(result)) + "\n" for result in results)
    print(table(results))


if __name__ == "__main__":
    main()
