"""The fleet of one run: its host processes, and what is asked of all of them at once."""

from __future__ import annotations

import subprocess
import sys
from collections.abc import Awaitable, Callable, Iterable, Sequence
from dataclasses import dataclass, field
from pathlib import Path

import trio

from gorsefork.lab.scale import machine
from gorsefork.lab.scale import messages as m
from gorsefork.lab.scale.experiment import Experiment

ANSWER_WITHIN = 60.0  # s: a host's loop may be busy with what is measured
LAST_WORDS = 2000  # characters of a host's log that are told where it ended
END_WITHIN = 10.0  # s for a host to end by itself


class HostLost(Exception):
    """A host process ended, did not answer, or refused a command."""


class HostProcess:
    """One host process. Commands to it wait for one another."""

    def __init__(self, process: trio.Process, log: Path) -> None:
        self.process, self.log = process, log
        self.turn, self.rest = trio.Lock(), b""

    @property
    def pid(self) -> int:
        return self.process.pid

    async def ask(self, command: m.Command) -> m.Answer:
        """``HostLost`` where no good answer comes."""
        async with self.turn:
            try:
                with trio.fail_after(ANSWER_WITHIN):
                    assert self.process.stdin is not None
                    await self.process.stdin.send_all(m.line(command))
                    answer = m.ANSWERS.decode(await self.line())
            except (trio.TooSlowError, trio.BrokenResourceError, trio.ClosedResourceError) as error:
                raise HostLost(f"{type(error).__name__} at {type(command).__name__}: {self.tail()}") from None
        if isinstance(answer, m.Failed):
            raise HostLost(answer.reason)
        return answer

    async def line(self) -> bytes:
        assert self.process.stdout is not None
        pieces = [self.rest]
        while b"\n" not in pieces[-1]:
            if not (chunk := await self.process.stdout.receive_some(1 << 20)):
                raise trio.BrokenResourceError
            pieces.append(bytes(chunk))
        text, _, self.rest = b"".join(pieces).partition(b"\n")
        return text

    def tail(self) -> str:
        return self.log.read_text(errors="replace")[-LAST_WORDS:]

    async def end(self) -> None:
        """By itself if it can, at once if not."""
        with trio.CancelScope(shield=True):
            with trio.move_on_after(END_WITHIN):
                try:
                    await self.ask(m.End())
                    await self.process.wait()
                except HostLost:
                    self.process.kill()
            if self.process.returncode is None:
                self.process.kill()
            await self.process.wait()


@dataclass(eq=False)
class ScaleFleet:
    """The hollow ingresses of one run, spread over host processes."""

    experiment: Experiment
    size: int
    folder: Path
    hosts: list[HostProcess] = field(default_factory=list)
    places: dict[str, m.Place] = field(default_factory=dict)  # those that run
    home: dict[str, HostProcess] = field(default_factory=dict)

    def plan(self) -> list[list[m.Place]]:
        """The ingresses of each host process. Zones are dealt out in turn, so each process has all."""
        zones = self.experiment.fleet.zones
        all_places = [
            m.Place(f"i{n}", f"z{n % zones}") for n in range(self.size - self.experiment.fleet.real)
        ]
        some = self.experiment.fleet.in_process
        return [all_places[at : at + some] for at in range(0, len(all_places), some)]

    async def open(self) -> None:
        """Start the host processes, with no ingress yet."""
        given, state = self.experiment.fleet, self.folder / "state"
        state.mkdir()
        begin = m.Begin(
            f"scale-{self.experiment.name}",
            self.experiment.seed,
            self.experiment.configuration,
            str(state) if self.experiment.disk else "",
            given.period_ms,
            given.timeout_ms,
            given.quiet_ms,
            given.loss,
        )
        for number, places in enumerate(self.plan()):
            host = await opened(self.folder / f"host{number}.log")
            self.hosts.append(host)
            self.home.update((place.name, host) for place in places)
        await self.each(lambda host: host.ask(begin))

    async def start(self, names: Sequence[str], keep_disk: bool = True, records: int = 0) -> None:
        """Start these, all at once. The first of all have nobody to ask."""
        seeds = m.seeds_of(list(self.places.values())[:3])
        zones = {place.name: place for places in self.plan() for place in places}

        async def some(host: HostProcess) -> None:
            wanted = tuple(zones[name] for name in names if self.home[name] is host)
            if wanted:
                answer = await host.ask(m.Start(wanted, seeds, keep_disk, records))
                assert isinstance(answer, m.Places)
                self.places.update((place.name, place) for place in answer.places)

        await self.each(some)

    async def kill(self, names: Sequence[str]) -> None:
        async def some(host: HostProcess) -> None:
            if wanted := tuple(name for name in names if self.home[name] is host):
                await host.ask(m.Kill(wanted))

        await self.each(some)
        for name in names:
            del self.places[name]

    async def cut(self, zones: Sequence[str]) -> None:
        known = tuple(self.places.values())
        await self.each(lambda host: host.ask(m.Know(known)))
        await self.each(lambda host: host.ask(m.Cut(tuple(zones))))

    async def change(self, name: str, customer: str) -> m.Made:
        made = await self.home[name].ask(m.Change(name, customer))
        assert isinstance(made, m.Made)
        return made

    async def look(self) -> list[m.Sight]:
        found: list[m.Sight] = []

        async def one(host: HostProcess) -> None:
            sight = await host.ask(m.Look())
            assert isinstance(sight, m.Sight)
            found.append(sight)

        await self.each(one)
        return found

    async def count(self) -> list[m.Counts]:
        found: list[m.Counts] = []

        async def one(host: HostProcess) -> None:
            counts = await host.ask(m.Count())
            assert isinstance(counts, m.Counts)
            found.append(counts)

        await self.each(one)
        return found

    async def each(self, what: Callable[[HostProcess], Awaitable[object]]) -> None:
        async with trio.open_nursery() as nursery:
            for host in self.hosts:
                nursery.start_soon(what, host)

    def usage(self) -> list[machine.Usage]:
        """``HostLost`` where a process has ended."""
        try:
            return [machine.usage(host.pid) for host in self.hosts]
        except OSError as error:
            raise HostLost(f"a host process has ended: {error}") from None

    def pids(self) -> Iterable[int]:
        return [host.pid for host in self.hosts]

    async def close(self) -> None:
        await self.each(lambda host: host.end())


async def opened(log: Path) -> HostProcess:
    with log.open("wb") as sink:
        process = await trio.lowlevel.open_process(
            [sys.executable, "-m", "gorsefork.lab.scale.host"],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            stderr=sink,
        )
    return HostProcess(process, log)
