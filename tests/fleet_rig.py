"""Several processes of the program on loopback, each path between two of them through a switch that this
test owns.

Member i is told to advertise the switch's socket i. What comes there from the listening socket of j goes on
to the listening socket of i, from the switch's socket j: so every datagram passes here, and its two ends are
known. Waits are on the processes' own log events or their control listeners, and bounded.
"""

from __future__ import annotations

import json
import os
import random
import signal
import socket
import subprocess
import sys
from collections.abc import AsyncIterator, Awaitable, Callable, Iterable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import trio

from gorsefork.wire.http1.client import HttpClient, NoAnswer

WITHIN = 30.0  # s for any one wait
ROOT = Path(__file__).parents[1]
CONFIG = {
    "settings": {
        "balancers": 1,
        "me": 0,
        "step": 4_000_000,
        "classes": [{"name": "look", "aim": 1_000_000_000, "deadline": 3_000_000_000}],
        "tiersOfService": [
            {"name": "plain", "rate": 10.0, "depth": 20.0},
            {"name": "large", "rate": 50.0, "depth": 90.0},
        ],
    }
}


@dataclass
class Faults:
    """What the switch does to datagrams; ``cut`` says which it never passes on."""

    rng: random.Random
    loss: float = 0.0
    repeat: float = 0.0
    delay: tuple[float, float] = (0.0, 0.0)  # s; datagrams overtake each other where it varies
    cut: Callable[[str, str], bool] = lambda one, other: False

    def fates(self) -> list[float]:
        """For each copy that arrives, how late."""
        if self.rng.random() < self.loss:
            return []
        return [self.rng.uniform(*self.delay) for _ in range(1 + (self.rng.random() < self.repeat))]


@dataclass(eq=False)
class Running:
    """One process and what it has logged."""

    name: str
    process: trio.Process
    events: list[dict[str, Any]] = field(default_factory=list)
    control: str = ""
    listen: tuple[str, int] | None = None

    def send(self, number: signal.Signals) -> None:
        self.process.send_signal(number)


class Rig:
    def __init__(self, folder: Path, nursery: trio.Nursery, seed: int, pace: str) -> None:
        self.folder, self.nursery, self.pace = folder, nursery, pace
        self.faults = Faults(random.Random(seed))
        self.doors: dict[str, socket.socket] = {}
        self.now: dict[str, Running] = {}  # the process that a name's datagrams go to
        self.all: list[Running] = []
        self.heard = trio.Event()
        self.passed = self.longest = 0

    def door(self, place: str) -> str:
        if place not in self.doors:
            sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            sock.bind(("127.0.0.1", 0))
            sock.setblocking(False)
            self.doors[place] = sock
            self.nursery.start_soon(self.switch, place, sock)
        return f"127.0.0.1:{self.doors[place].getsockname()[1]}"

    async def switch(self, place: str, sock: socket.socket) -> None:
        while True:
            await trio.lowlevel.wait_readable(sock)
            try:
                data, source = sock.recvfrom(2048)
            except OSError:
                continue
            sender = next((at for at, one in self.now.items() if one.listen == source), None)
            self.passed, self.longest = self.passed + 1, max(self.longest, len(data))
            if sender is not None and not self.faults.cut(sender, place):
                for late in self.faults.fates():
                    self.nursery.start_soon(self.forward, place, sender, data, late)

    async def forward(self, place: str, sender: str, data: bytes, late: float) -> None:
        await trio.sleep(late)
        if (to := self.now.get(place)) is not None and to.listen is not None:
            try:
                self.doors[sender].sendto(data, to.listen)
            except OSError:
                return  # nobody is there

    async def start(
        self,
        name: str,
        seeds: Iterable[str] = ("n0",),
        place: str = "",
        site: str = "gallery",
        state: bool = False,
    ) -> Running:
        """``place``: whose door it uses, if not its own; ``state``: with a folder that outlives it."""
        place = place or name
        folder = self.folder / place
        folder.mkdir(exist_ok=True)
        config = {"name": name, "listen": "127.0.0.1:0", "discovery": "127.0.0.1:9", "seed": "7", **CONFIG}
        (folder / "config.json").write_text(json.dumps(config))
        text = (
            f'[control]\nlisten = "127.0.0.1:0"\ncatch_up_ms = 0\n[fleet]\nlisten = "127.0.0.1:0"\n'
            f'site = "{site}"\nadvertise = "{self.door(place)}"\n{self.pace}\n'
            f"seeds = {json.dumps([self.door(seed) for seed in seeds if seed != place])}\n"
        )
        if state:
            text += f'[state]\nfolder = "{folder}/state"\nsync = "normal"\n'
        (folder / "operator.toml").write_text(text)
        env = {
            **os.environ,
            "PROXY_CONFIG": str(folder / "config.json"),
            "GORSEFORK_OPERATOR": str(folder / "operator.toml"),
            "PYTHONPATH": str(ROOT),
        }
        process = await trio.lowlevel.open_process(
            [sys.executable, "-m", "gorsefork"], env=env, stderr=subprocess.PIPE, cwd=folder
        )
        running = Running(name, process)
        self.all.append(running)
        self.now[place] = running
        self.nursery.start_soon(self.read, running)
        begun = await self.event(running, "fleet.begun")
        host, _, port = begun["listen"].rpartition(":")
        running.listen = (host, int(port))
        running.control = (await self.event(running, "ingress.ready"))["control"]
        return running

    async def started(self, *names: str, **given: Any) -> list[Running]:
        """All at once; each is ready."""
        found: dict[str, Running] = {}

        async def one(name: str) -> None:
            found[name] = await self.start(name, **given)

        async with trio.open_nursery() as nursery:
            for name in names:
                nursery.start_soon(one, name)
        return [found[name] for name in names]

    async def read(self, running: Running) -> None:
        rest = b""
        assert running.process.stderr is not None
        async for chunk in running.process.stderr:
            *lines, rest = (rest + chunk).split(b"\n")
            for line in lines:
                running.events.append(json.loads(line) if line.startswith(b"{") else {"event": line.decode()})
            self.heard.set()
            self.heard = trio.Event()

    async def event(
        self, running: Running, kind: str, member: str | None = None, after: int = 0, within: float = WITHIN
    ) -> dict[str, Any]:
        """The first event of that kind after so many; ``AssertionError`` with the log's end if none comes."""
        with trio.move_on_after(within):
            while True:
                for event in running.events[after:]:
                    if event["event"] == kind and member in (None, event.get("member")):
                        return event
                await self.heard.wait()
        raise AssertionError(f"{running.name}: no {kind} of {member}; last: {running.events[-6:]}")

    async def ask(self, running: Running, method: str, path: str, body: Any = None) -> Any:
        client = HttpClient(running.control, "", 1 << 20)
        try:
            data = b"" if body is None else json.dumps(body).encode()
            answer = await client.ask(method, path, data, "application/json" if data else "", 5.0)
        finally:
            client.close()
        return json.loads(answer.body)

    async def until(self, what: Callable[[], Awaitable[Any]], within: float = WITHIN) -> Any:
        """What it says once it says something true; asked again at each event, and now and then."""
        said: Any = None
        with trio.move_on_after(within):
            while True:
                try:
                    if said := await what():
                        return said
                except NoAnswer:
                    pass
                with trio.move_on_after(0.1):
                    await self.heard.wait()
        raise AssertionError(f"not within {within} s: {[(r.name, r.events[-2:]) for r in self.all]}")

    async def settled(self, *running: Running, among: int | None = None) -> str:
        """Until these agree, and see each other and no one else (``among``: so many); the digest."""
        wanted = among or len(running)

        async def agreed() -> str:
            told = [await self.ask(each, "GET", "/v1/fleet") for each in running]
            states = [t["states"].get("alive", 0) for t in told]
            good = all(t["settled"] for t in told) and set(states) == {wanted}
            digests = {t["digest"] for t in told}
            return digests.pop() if good and len(digests) == 1 else ""

        return str(await self.until(agreed))

    async def kill(self, running: Running) -> None:
        running.process.kill()
        await running.process.wait()

    def close(self) -> None:
        for running in self.all:
            if running.process.returncode is None:
                running.send(signal.SIGCONT)
                running.process.kill()
        for sock in self.doors.values():
            sock.close()


FAST = "period_ms = 200\ntimeout_ms = 60\nquiet_ms = 500"


@asynccontextmanager
async def rigged(folder: Path, seed: int = 1, pace: str = FAST) -> AsyncIterator[Rig]:
    async with trio.open_nursery() as nursery:
        rig = Rig(folder, nursery, seed, pace)
        try:
            yield rig
        finally:
            rig.close()
            nursery.cancel_scope.cancel()
