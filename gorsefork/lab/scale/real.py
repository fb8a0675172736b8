"""Real processes of the program beside the hollow ones, driven by the same commands as a host process.

They listen on loopback with an operator's file each. What they send is what they count themselves; when a
change came into force there is when the line of their log that says so is read.
"""

from __future__ import annotations

import contextlib
import json
import os
import subprocess
import sys
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import trio

from gorsefork.lab.scale import messages as m
from gorsefork.lab.scale.hollow import PLANS, SETTINGS, is_changed
from gorsefork.memory.clock import monotonic_us
from gorsefork.wire.http1.client import HttpClient, NoAnswer

ASK_WITHIN = 10.0  # s: the control listener may be busy with what is measured
UP_WITHIN = 30.0  # s for a process to be ready
NOWHERE = "127.0.0.1:9"  # discovery: there is none, and no backend


@dataclass(eq=False)
class RealIngress:
    """One process, and what its log has told."""

    place: m.Place
    process: trio.Process
    listen: str = ""
    control: str = ""
    ready: trio.Event = field(default_factory=trio.Event)
    arrived: list[m.Arrival] = field(default_factory=list)
    last_lines: list[str] = field(default_factory=list)

    async def read(self) -> None:
        assert self.process.stderr is not None
        rest = b""
        async for chunk in self.process.stderr:
            *lines, rest = (rest + chunk).split(b"\n")
            for line in lines:
                self.hear(line)

    def hear(self, line: bytes) -> None:
        self.last_lines = [*self.last_lines[-4:], line.decode("utf-8", "replace")]
        try:
            told: dict[str, Any] = json.loads(line)
        except ValueError:
            return
        match told.get("event"):
            case "fleet.begun":
                self.listen = told["listen"]
            case "ingress.ready":
                self.control = told["control"]
                self.ready.set()
            case "plan.changed" if is_changed(told["customer"]):
                self.arrived.append(m.Arrival(told["customer"], self.place.name, monotonic_us()))

    async def ask(self, method: str, path: str, body: Any = None) -> Any:
        """``NoAnswer`` where its control listener gives none, or an error."""
        client = HttpClient(self.control)
        try:
            data = b"" if body is None else json.dumps(body).encode()
            answer = await client.request(method, path, data, "application/json" if data else "", ASK_WITHIN)
        finally:
            client.close()
        if answer.status != 200:
            raise NoAnswer(f"{self.place.name} answered {answer.status}: {answer.body[:200]!r}")
        return json.loads(answer.body)


class RealHost:
    """Carries out a run's commands at real processes."""

    subject = "real"

    def __init__(self, folder: Path, nursery: trio.Nursery) -> None:
        self.folder, self.nursery = folder, nursery
        self.running: dict[str, RealIngress] = {}

    def pids(self) -> list[int]:
        return [each.process.pid for each in self.running.values()]

    async def ask(self, command: m.Command) -> m.Answer:
        """``Failed`` tells why a command was not carried out."""
        try:
            match command:
                case m.Begin():
                    self.given = command
                case m.Start():
                    return await self.start(command)
                case m.Kill():
                    await self.kill(command.names)
                case m.Change():
                    return await self.change(command)
                case m.Look():
                    return await self.look()
                case m.Count():
                    return await self.count()
                case m.End():
                    await self.kill(tuple(self.running))
                case m.Know() | m.Introduce() | m.Cut():
                    pass  # an experiment with such has no real processes
        except (OSError, NoAnswer) as error:
            return m.Failed(f"{type(error).__name__}: {error}")
        return m.Done()

    async def end(self) -> None:
        with trio.CancelScope(shield=True):
            await self.kill(tuple(self.running))

    async def start(self, command: m.Start) -> m.Answer:
        for place in command.places:
            self.running[place.name] = running = await self.launched(place, command.seeds)
            self.nursery.start_soon(running.read)
        with trio.move_on_after(UP_WITHIN):
            for place in command.places:
                await self.running[place.name].ready.wait()
        late = [self.running[place.name] for place in command.places]
        late = [each for each in late if not each.ready.is_set()]
        if late:
            return m.Failed(f"{late[0].place.name} is not ready in {UP_WITHIN:g} s: {late[0].last_lines}")
        found = [self.running[place.name] for place in command.places]
        return m.Places(tuple(placed(each) for each in found))

    async def launched(self, place: m.Place, seeds: Sequence[str]) -> RealIngress:
        folder = self.folder / place.name
        folder.mkdir(exist_ok=True)
        config = {
            "name": place.name,
            "listen": "127.0.0.1:0",
            "discovery": NOWHERE,
            "seed": f"{self.given.seed:x}",
            "settings": SETTINGS,
        }
        (folder / "config.json").write_text(json.dumps(config))
        (folder / "operator.toml").write_text(self.operator(place, seeds, folder))
        env = {
            **os.environ,
            "PROXY_CONFIG": str(folder / "config.json"),
            "GORSEFORK_OPERATOR": str(folder / "operator.toml"),
            "PYTHONPATH": str(Path(__file__).parents[3]),
        }
        process = await trio.lowlevel.open_process(
            [sys.executable, "-m", "gorsefork"], env=env, stderr=subprocess.PIPE, cwd=folder
        )
        return RealIngress(place, process)

    def operator(self, place: m.Place, seeds: Sequence[str], folder: Path) -> str:
        given = self.given
        text = (
            f'[control]\nlisten = "127.0.0.1:0"\ncatch_up_ms = 0\n'
            f'[fleet]\nlisten = "127.0.0.1:0"\nsite = "{given.site}"\nzone = "{place.zone}"\n'
            f"seeds = {json.dumps(list(seeds))}\nperiod_ms = {given.period_ms}\n"
            f"timeout_ms = {given.timeout_ms}\nquiet_ms = {given.quiet_ms}\n"
        )
        if given.folder:
            text += f'[state]\nfolder = "{folder}/state"\nsync = "normal"\n'
        return text

    async def kill(self, names: Sequence[str]) -> None:
        for name in names:
            with contextlib.suppress(ProcessLookupError):
                self.running[name].process.kill()
        for name in names:
            await self.running.pop(name).process.wait()

    async def change(self, command: m.Change) -> m.Answer:
        act = {"do": "set", "customer": command.customer, "plan": PLANS[0], "effective": 0}
        body = {"act": act, "author": "scale-run"}
        try:
            await self.running[command.name].ask("POST", "/v1/changes", body)
        except NoAnswer as error:
            return m.Made(monotonic_us(), str(error))
        return m.Made(monotonic_us())

    async def look(self) -> m.Answer:
        standings, arrivals = [], []
        for name, running in self.running.items():
            told = await running.ask("GET", "/v1/status")
            view, book = told["fleet"], told["book"]
            seen = sum(count for state, count in view["states"].items() if state in ("alive", "suspect"))
            standings.append(m.Standing(name, seen, view["settled"], book["changes"], book["digest"]))
            arrivals += running.arrived
            running.arrived = []
        return m.Sight(tuple(standings), tuple(arrivals))

    async def count(self) -> m.Answer:
        messages = {"out datagram": 0, "in datagram": 0}
        sizes, stalls = {"out datagram": 0}, 0
        for running in self.running.values():
            view = await running.ask("GET", "/v1/fleet")
            messages["out datagram"] += view["sent"]
            messages["in datagram"] += view["received"]
            sizes["out datagram"] += view["bytes_sent"]
            stalls += view["stalls"]
        return m.Counts(messages, sizes, stalls)


def placed(running: RealIngress) -> m.Place:
    place = running.place
    datagrams, control = (int(dial.rpartition(":")[2]) for dial in (running.listen, running.control))
    return m.Place(place.name, place.zone, datagrams, control)
