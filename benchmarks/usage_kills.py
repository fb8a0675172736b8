"""Ingresses under load, killed outright over and over: is every unit exported once and only once?

    python -m benchmarks.usage_kills --kills 200

Starts the ingresses as the platform does, each with a state folder of its own, and plays all that they
speak to on loopback: clients, tour boxes, discovery, a counter, and accounts that fail now and then (late,
broken after they kept a batch, refusing). Kills one ingress after another with SIGKILL and starts it anew at
once. At the end all are drained, and three books are laid side by side: what the boxes answered good, what
the clients got as 200, and what the accounts were sent.

A box's answer that was on its way into a process when that was killed may not have been taken whole: no
client has it, and it is in no export. Such an answer must lie within ``CUT`` s before a kill of the very
ingress that had asked; every other difference is an error.
"""

from __future__ import annotations

import argparse
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import h11
import trio

from gorsefork.usage.records import MILLION, Unreadable, decode
from gorsefork.usage.verify import Ledger
from gorsefork.wire.http1.client import HttpClient, NoAnswer

CUSTOMERS = [f"{0xb4d65521 + n:016x}" for n in range(20)]
CUT = 0.2  # s
LONGEST = 900.0  # s: the run ends by itself, whatever happens
PLANS = ("small-gallery", "large-museum")


class Served:
    """A stand-in HTTP/1.1 server on trio: ``answer`` gets each request, None closes with no answer."""

    def __init__(self) -> None:
        self.listener: trio.SocketListener
        self.dial = ""

    async def open(self, nursery: trio.Nursery) -> None:
        (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
        self.dial = f"127.0.0.1:{listener.socket.getsockname()[1]}"
        nursery.start_soon(trio.serve_listeners, self.serve, [listener])

    async def serve(self, stream: trio.SocketStream) -> None:
        http = h11.Connection(h11.SERVER)
        try:
            while True:
                request, body = None, bytearray()
                while not isinstance(event := http.next_event(), h11.EndOfMessage):
                    if event is h11.NEED_DATA:
                        http.receive_data(await stream.receive_some())
                    elif isinstance(event, h11.Request):
                        request = event
                    elif isinstance(event, h11.Data):
                        body += event.data
                    elif isinstance(event, h11.ConnectionClosed):
                        return
                assert request is not None
                answer = await self.answer(request, bytes(body))
                if answer is None:
                    return
                status, headers, data = answer
                headers = [*headers, ("Content-Length", str(len(data)))]
                head = h11.Response(status_code=status, headers=headers)
                await stream.send_all(b"".join(http.send(each) or b"" for each in (
                    head, h11.Data(data=data), h11.EndOfMessage())))
                if http.our_state is not h11.DONE or http.their_state is not h11.DONE:
                    return
                http.start_next_cycle()
        except (trio.BrokenResourceError, trio.ClosedResourceError, h11.RemoteProtocolError):
            pass
        finally:
            await trio.aclose_forcefully(stream)

    async def answer(self, request: h11.Request, body: bytes) -> Any:
        raise NotImplementedError


class Box(Served):
    """Serves each call after a moment and settles it at units of its own; remembers them by trace."""

    def __init__(self, rng: random.Random) -> None:
        super().__init__()
        self.rng, self.good = rng, dict[str, tuple[int, float]]()  # units, and when they were answered

    async def answer(self, request: h11.Request, body: bytes) -> Any:
        trace = dict(request.headers)[b"x-trace-id"].decode()
        await trio.sleep(self.rng.uniform(0.001, 0.02))
        micro, _ = self.good[trace] = self.rng.randint(250_000, 3_000_000), time.monotonic()
        return 200, [("X-Settled", f"{micro / MILLION:.6f}")], trace.encode()


class Discovery(Served):
    def __init__(self, boxes: list[Box]) -> None:
        super().__init__()
        self.boxes = boxes

    async def answer(self, request: h11.Request, body: bytes) -> Any:
        watch = b"wait=" in request.target
        if watch:
            await trio.sleep(10)
        hosts = [{"host": f"box-{n}", "dial": box.dial, "health": "active"}
                 for n, box in enumerate(self.boxes)]
        news = {"seq": 1, "whole": not watch, "hosts": [] if watch else hosts}
        return 200, [], json.dumps(news).encode()


class CounterStandIn(Served):
    def __init__(self) -> None:
        super().__init__()
        self.totals: Counter[bytes] = Counter()

    async def answer(self, request: h11.Request, body: bytes) -> Any:
        name, _, query = request.target.partition(b"?")
        self.totals[name] += float(query.partition(b"add=")[2].partition(b"&")[0])  # type: ignore[assignment]
        return 200, [], f"{self.totals[name]:.7g}".encode()


class Accounts(Served):
    """Keeps what it is sent by the project's published rules, and is often in trouble."""

    def __init__(self, rng: random.Random) -> None:
        super().__init__()
        self.rng, self.ledger, self.calm = rng, Ledger(), False
        self.troubles: Counter[str] = Counter()

    async def answer(self, request: h11.Request, body: bytes) -> Any:
        trouble = self.rng.random() if not self.calm else 1.0
        if trouble < 0.05:
            self.troubles["503 before it was kept"] += 1
            return 503, [], b""
        try:
            status, upto = self.ledger.take(decode(body, "ndjson"))
        except Unreadable as error:
            self.troubles[f"unreadable: {error}"] += 1
            return 400, [], b""
        if trouble < 0.10:
            self.troubles["broken after it was kept"] += 1
            return None
        if trouble < 0.13:
            self.troubles["late"] += 1
            await trio.sleep(0.6)
        return status, [], json.dumps({"upto": upto}).encode()


class Ingress:
    """One ingress as a process; ``kill`` is SIGKILL, ``start`` then finds its folder as that left it."""

    def __init__(self, place: int, folder: Path, rig: Rig) -> None:
        self.place, self.folder, self.rig = place, folder, rig
        self.port = free_port()
        self.process: subprocess.Popen[bytes] | None = None
        self.killed: list[float] = []

    def write(self) -> None:
        plans = [{"name": name, "rate": 5000.0, "depth": 10_000.0} for name in PLANS]
        settings = {
            "balancers": len(self.rig.ingresses), "me": self.place, "step": 4_000_000,
            "classes": [{"name": "look", "aim": 1_000_000_000, "deadline": 3_000_000_000},
                        {"name": "buy", "aim": 1_000_000_000, "deadline": 3_000_000_000, "effect": "by_key",
                         "keyScope": "cell", "window": 10_000_000_000}],
            "tiersOfService": plans, "limits": {"maxAttempts": 3, "cancel": True, "retryAfter": True,
                                                "maxRetryAfter": 500_000_000, "connectTimeout": 250_000_000},
            "familyInfo": {"sharedCounter": True, "countWait": 80_000_000, "settles": True, "maxUnits": 6},
            "invariants": {"drainGrace": 250_000_000, "coldShare": 1.0, "rampTime": 1_000_000}}
        config = {"name": f"n{self.place}", "listen": f"127.0.0.1:{self.port}", "seed": str(self.place),
                  "discovery": self.rig.discovery.dial, "counter": self.rig.counter.dial,
                  "settings": settings}
        (self.folder / "config.json").write_text(json.dumps(config))
        (self.folder / "operator.toml").write_text(
            f'[state]\nfolder = "{self.folder / "state"}"\nsync = "{self.rig.sync}"\n'
            f'[usage]\naccounts = "{self.rig.accounts.dial}"\nflush_ms = 20\ntimeout_ms = 500\n')

    def start(self) -> None:
        env = {**os.environ, "PROXY_CONFIG": str(self.folder / "config.json"),
               "GORSEFORK_OPERATOR": str(self.folder / "operator.toml")}
        with (self.folder / "log").open("ab") as log:
            self.process = subprocess.Popen([sys.executable, "-m", "gorsefork"], env=env, stderr=log)

    def kill(self) -> None:
        assert self.process is not None
        self.killed.append(time.monotonic())
        self.process.kill()
        self.process.wait()

    def drain(self) -> int:
        assert self.process is not None
        self.process.send_signal(signal.SIGTERM)
        return self.process.wait(20)


def free_port() -> int:
    with socket.create_server(("127.0.0.1", 0)) as sock:
        return int(sock.getsockname()[1])


class Rig:
    def __init__(self, many: int, folder: Path, seed: int, sync: str) -> None:
        self.rng, self.sync = random.Random(seed), sync
        self.boxes = [Box(random.Random(seed + n)) for n in range(3)]
        self.discovery, self.counter = Discovery(self.boxes), CounterStandIn()
        self.accounts = Accounts(random.Random(seed + 99))
        self.ingresses: list[Ingress] = []
        for place in range(many):
            (folder / f"n{place}").mkdir()
            self.ingresses.append(Ingress(place, folder / f"n{place}", self))
        self.got: dict[str, str] = {}  # trace -> customer, of each 200 that a client has whole
        self.statuses: Counter[int] = Counter()
        self.asked = 0
        self.stop = False

    async def client(self, place: int, rng: random.Random) -> None:
        """Asks one call after another; a call that gets no answer is not repeated here."""
        http = HttpClient(f"127.0.0.1:{self.ingresses[place].port}", most_body=1 << 16)
        while not self.stop:
            self.asked += 1
            trace, customer = f"{place}-{self.asked}", rng.choice(CUSTOMERS)
            headers = [("X-Trace-Id", trace), ("X-Contract", rng.choice(PLANS)), ("X-Client-Id", customer),
                       ("X-Expires-In-Ms", "2000"), ("X-Metering", "units=1,spread=1,first=0")]
            buy = rng.random() < 0.3
            if buy:
                headers.append(("Idempotency-Key", trace))
            # A fresh connection each time the last one broke: ``ask`` would repeat a call by itself.
            if http.kept is not None and not http.kept[0].quiet():
                http.close()
            try:
                answer = await http.ask("POST" if buy else "GET", "/buy" if buy else "/look", within=2.5,
                                        headers=tuple(headers))
            except NoAnswer:
                self.statuses[0] += 1
                await trio.sleep(0.05)
                continue
            self.statuses[answer.status] += 1
            if answer.status == 200:
                assert answer.body.decode() == trace
                self.got[trace] = customer
            await trio.sleep(rng.uniform(0.0, 0.01))

    async def killer(self, kills: int) -> int:
        done = 0
        began = time.monotonic()
        while done < kills and time.monotonic() - began < LONGEST:
            await trio.sleep(self.rng.uniform(0.1, 0.9))
            ingress = self.rng.choice(self.ingresses)
            ingress.kill()
            ingress.start()
            done += 1
            if done % 20 == 0:
                kept = sum(life.records for life in self.accounts.ledger.lives())
                print(f"  {done} kills, {len(self.got)} calls served, {kept} uses exported", file=sys.stderr,
                      flush=True)
        return done

    async def run(self, kills: int, clients: int) -> tuple[int, list[int]]:
        async with trio.open_nursery() as nursery:
            for server in (*self.boxes, self.discovery, self.counter, self.accounts):
                await server.open(nursery)
            for ingress in self.ingresses:
                ingress.write()
                ingress.start()
            await trio.sleep(1.0)
            for n in range(clients):
                nursery.start_soon(self.client, n % len(self.ingresses), random.Random(n))
            done = await self.killer(kills)
            await trio.sleep(2.0)
            self.stop = True
            await trio.sleep(3.0)
            self.accounts.calm = True
            codes = [await trio.to_thread.run_sync(ingress.drain) for ingress in self.ingresses]
            nursery.cancel_scope.cancel()
        return done, codes


def main(words: Sequence[str] | None = None) -> int:
    parser = argparse.ArgumentParser(prog="python -m benchmarks.usage_kills")
    parser.add_argument("--kills", type=int, default=200)
    parser.add_argument("--ingresses", type=int, default=3)
    parser.add_argument("--clients", type=int, default=24)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--sync", choices=["normal", "full"], default="normal")
    given = parser.parse_args(words)
    with tempfile.TemporaryDirectory() as folder:
        rig = Rig(given.ingresses, Path(folder), given.seed, given.sync)
        done, codes = trio.run(rig.run, given.kills, given.clients)
    return report(rig, done, codes)


def report(rig: Rig, kills: int, codes: list[int]) -> int:
    """Uses carry no trace, so that the books are laid side by side by the units of each, which are all drawn
    at random from 2.75 million values and settled by one box each."""
    answers = [(trace, micro, at) for box in rig.boxes for trace, (micro, at) in box.good.items()]
    lives = rig.accounts.ledger.lives()
    exported = Counter(use.micro for life in lives for use in life.uses.values())
    answered = Counter(micro for _, micro, _ in answers)
    served = Counter(micro for trace, micro, _ in answers if trace in rig.got)
    left, cut, lost = exported.copy(), Counter[int](), Counter[int]()
    for trace, micro, at in answers:
        if left[micro] > 0:
            left[micro] -= 1
        elif any(at <= kill <= at + CUT for kill in rig.ingresses[int(trace.partition("-")[0])].killed):
            cut[micro] += 1
        else:
            lost[micro] += 1
    phantom, missing = exported - answered, served - exported
    print(f"ingresses {len(rig.ingresses)}, kills {kills}, lives {len(lives)}, exits after the drain {codes}")
    print(f"answers to clients {dict(sorted(rig.statuses.items()))} (0: none came)")
    print(f"accounts in trouble {dict(rig.accounts.troubles)}")
    taken = answered - cut
    print(f"units answered good by the boxes        {units(answered):14.6f}  in {answered.total()} answers")
    print(f"  cut off by a kill, not taken whole    {units(cut):14.6f}  in {cut.total()} answers")
    print(f"  taken whole                           {units(taken):14.6f}  in {taken.total()} answers")
    print(f"units exported                          {units(exported):14.6f}  in {exported.total()} uses")
    print(f"repeats dropped                         {sum(life.repeats for life in lives):14d}")
    difference = units(exported) - units(taken)
    print(f"difference                              {difference:14.6f}")
    print(f"clients' 200 that are not in the export {missing.total():14d}")
    print(f"answers lost with no kill to explain it {lost.total():14d}")
    print(f"exported uses that no box answered      {phantom.total():14d}")
    odd = sum(life.missing + life.contradictions for life in lives) + sum(not life.whole for life in lives)
    print(f"numbers missing, contradicting, or lives without an end {odd}")
    return 1 if phantom or missing or lost or odd or difference or any(codes) else 0


def units(counted: Counter[int]) -> float:
    return sum(micro * times for micro, times in counted.items()) / MILLION


if __name__ == "__main__":
    sys.exit(main())
