"""Several processes of the program on loopback, each path between two of them through a switch that this
test owns.

Member i is told to advertise the switch's socket i. What comes there from the listening socket of j goes on
to the listening socket of i, from the switch's socket j: so every datagram passes here, and its two ends are
known. Connections to the control listener of i likewise go through a relay, which reads from the first
request's ``Gorsefork-Peer`` who has opened it; where a path is cut, its bytes wait until it heals. Waits are
on the processes' own log events or their control listeners, and bounded.
"""

from __future__ import annotations

import json
import os
import random
import re
import signal
import socket
import subprocess
import sys
from collections import Counter
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


Cut = Callable[[str, str], bool]


def whole(one: str, other: str) -> bool:
    """No path is cut."""
    return False


class Faults:
    """What the switch does to datagrams. ``cut`` says which it never passes on; a relay holds their bytes."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.loss = self.repeat = 0.0
        self.delay = (0.0, 0.0)  # s; datagrams overtake each other where it varies
        self.cut_now: Cut = whole
        self.cut_changed = trio.Event()

    @property
    def cut(self) -> Cut:
        return self.cut_now

    @cut.setter
    def cut(self, cut: Cut) -> None:
        self.cut_now = cut
        changed, self.cut_changed = self.cut_changed, trio.Event()
        changed.set()

    async def until_passable(self, one: str, other: str) -> None:
        while self.cut_now(one, other):
            await self.cut_changed.wait()

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

    def hear(self, event: dict[str, Any]) -> None:
        """Paths to it open as soon as it says where it listens, before it is ready."""
        self.events.append(event)
        if event["event"] == "fleet.begun":
            host, _, port = event["listen"].rpartition(":")
            self.listen = (host, int(port))
        elif event["event"] == "control.begun":
            self.control = event["listen"]


class Rig:
    def __init__(self, folder: Path, nursery: trio.Nursery, seed: int, pace: str) -> None:
        self.folder, self.nursery, self.pace = folder, nursery, pace
        self.faults = Faults(random.Random(seed))
        self.doors: dict[str, socket.socket] = {}
        self.relays: dict[str, socket.socket] = {}
        self.now: dict[str, Running] = {}  # the process that a name's datagrams go to
        self.all: list[Running] = []
        self.heard = trio.Event()
        self.passed = self.longest = 0
        self.relayed: Counter[str] = Counter()  # bytes to each place's connections

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

    def relay(self, place: str) -> str:
        """Where others reach the control listener of that place."""
        if place not in self.relays:
            listener = socket.create_server(("127.0.0.1", 0), backlog=128)
            listener.setblocking(False)
            self.relays[place] = listener
            server = trio.SocketListener(trio.socket.from_stdlib_socket(listener))
            self.nursery.start_soon(
                trio.serve_listeners, lambda stream: self.relay_connection(place, stream), [server]
            )
        return f"127.0.0.1:{self.relays[place].getsockname()[1]}"

    async def relay_connection(self, place: str, client: trio.SocketStream) -> None:
        """Both ways, until either side ends it. One that names no peer is an operator's, and never cut."""
        try:
            head = b""
            while b"\r\n\r\n" not in head:
                if not (data := await client.receive_some()):
                    return
                head += data
            named = re.search(rb"(?i)\r\ngorsefork-peer: *(\S+)", head)
            peer = named[1].decode() if named else ""
            if (to := self.now.get(place)) is None or not to.control:
                return
            await self.faults.until_passable(peer, place)
            host, _, port = to.control.rpartition(":")
            server = await trio.open_tcp_stream(host, int(port))
            await server.send_all(head)
            async with server, trio.open_nursery() as nursery:
                nursery.start_soon(self.pump, server, client, place, peer, nursery.cancel_scope)
                await self.pump(client, server, peer, place, nursery.cancel_scope)
        except (OSError, trio.BrokenResourceError):
            return  # nobody is there, or one side has broken it off
        finally:
            await trio.aclose_forcefully(client)

    async def pump(
        self,
        source: trio.SocketStream,
        sink: trio.SocketStream,
        sender: str,
        receiver: str,
        scope: trio.CancelScope,
    ) -> None:
        try:
            while data := await source.receive_some():
                await self.faults.until_passable(sender, receiver)
                await sink.send_all(data)
                self.relayed[receiver] += len(data)
        except trio.BrokenResourceError:
            pass  # either side has broken it off, and so this relay does
        scope.cancel()

    async def start(self, name: str, **given: Any) -> Running:
        """A process that is ready; as ``launch`` has it."""
        running = await self.launch(name, **given)
        await self.event(running, "ingress.ready")
        return running

    async def launch(
        self,
        name: str,
        seeds: Iterable[str] = ("n0",),
        place: str = "",
        site: str = "gallery",
        state: bool = False,
        zone: str = "",
        catch_up_ms: int = 0,
        peers: Iterable[str] = (),
    ) -> Running:
        """``place``: whose door it uses, if not its own; ``state``: with a folder that outlives it.

        ``peers``: named in its file.
        """
        place = place or name
        folder = self.folder / place
        folder.mkdir(exist_ok=True)
        config = {"name": name, "listen": "127.0.0.1:0", "discovery": "127.0.0.1:9", "seed": "7", **CONFIG}
        (folder / "config.json").write_text(json.dumps(config))
        text = (
            f'[control]\nlisten = "127.0.0.1:0"\nadvertise = "{self.relay(place)}"\n'
            f"catch_up_ms = {catch_up_ms}\npeers = {json.dumps(list(peers))}\n"
            f'[fleet]\nlisten = "127.0.0.1:0"\nzone = "{zone}"\n'
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
                event = json.loads(line) if line.startswith(b"{") else {"event": line.decode()}
                running.hear(event)
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
            answer = await client.request(method, path, data, "application/json" if data else "", 5.0)
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

    async def one_digest(self, *running: Running, within: float = WITHIN) -> str:
        """Until these hold the same configuration; its digest."""

        async def agreed() -> str:
            told = [await self.ask(each, "GET", "/v1/configuration/status") for each in running]
            digests = {each["digest"] for each in told}
            return digests.pop() if len(digests) == 1 else ""

        return str(await self.until(agreed, within))

    async def kill(self, running: Running) -> None:
        running.process.kill()
        await running.process.wait()

    def kill_all(self) -> None:
        for running in self.all:
            if running.process.returncode is None:
                running.send(signal.SIGCONT)
                running.process.kill()

    def close_sockets(self) -> None:
        """Once no task of the switch runs: one that was woken would wait on a socket that is closed."""
        for sock in self.doors.values():
            sock.close()


FAST = "period_ms = 200\ntimeout_ms = 60\nquiet_ms = 500"


@asynccontextmanager
async def rigged(folder: Path, seed: int = 1, pace: str = FAST) -> AsyncIterator[Rig]:
    rig: Rig | None = None
    try:
        async with trio.open_nursery() as nursery:
            rig = Rig(folder, nursery, seed, pace)
            try:
                yield rig
            finally:
                rig.kill_all()
                nursery.cancel_scope.cancel()
    finally:
        if rig is not None:
            rig.close_sockets()
