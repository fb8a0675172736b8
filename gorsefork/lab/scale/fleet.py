"""The fleet of one run: its host processes and real ones, and what is asked of all of them at once."""

from __future__ import annotations

import subprocess
import sys
from collections.abc import Awaitable, Callable, Sequence
from pathlib import Path
from typing import Protocol

import trio

from gorsefork.lab.scale import machine
from gorsefork.lab.scale import messages as m
from gorsefork.lab.scale.experiment import Experiment
from gorsefork.lab.scale.real import RealHost

ANSWER_WITHIN = 60.0  # s: a host's loop may be busy with what is measured
LAST_WORDS = 2000  # characters of a host's log that are told where it ended
SEEDS = 3  # ingresses that a new one asks for the others
END_WITHIN = 10.0  # s for a host to end by itself


class HostLost(Exception):
    """A host process ended, did not answer, or refused a command."""


class Host(Protocol):
    """What carries out commands at some of the ingresses. ``subject``: what its figures are figures of."""

    subject: str

    def pids(self) -> list[int]: ...
    async def ask(self, command: m.Command) -> m.Answer: ...
    async def end(self) -> None: ...


class HostProcess:
    """A process of hollow ingresses. Commands to it wait for one another."""

    subject = "hollow"

    def __init__(self, process: trio.Process, log: Path) -> None:
        self.process, self.log = process, log
        self.turn, self.heard = trio.Lock(), bytearray()
        self.owed = 0  # answers that have not come: one whose caller has gone is read by the next

    def pids(self) -> list[int]:
        return [self.process.pid]

    async def ask(self, command: m.Command) -> m.Answer:
        """``HostLost`` where no answer comes."""
        async with self.turn:
            try:
                with trio.fail_after(ANSWER_WITHIN):
                    assert self.process.stdin is not None
                    await self.process.stdin.send_all(m.line(command))
                    self.owed += 1
                    while True:
                        answer = await self.line()
                        self.owed -= 1
                        if not self.owed:
                            return m.ANSWERS.decode(answer)
            except (trio.TooSlowError, trio.BrokenResourceError, trio.ClosedResourceError) as error:
                raise HostLost(f"{type(error).__name__} at {type(command).__name__}: {self.tail()}") from None

    async def line(self) -> bytes:
        assert self.process.stdout is not None
        while (end := self.heard.find(b"\n")) < 0:
            if not (chunk := await self.process.stdout.receive_some(1 << 20)):
                raise trio.BrokenResourceError
            self.heard += chunk
        text = bytes(self.heard[:end])
        del self.heard[: end + 1]
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


class ScaleFleet:
    """The ingresses of one run, spread over hosts. Every method raises ``HostLost`` where a host fails."""

    def __init__(self, experiment: Experiment, size: int, folder: Path, nursery: trio.Nursery) -> None:
        self.experiment, self.size, self.folder, self.nursery = experiment, size, folder, nursery
        self.hosts: list[Host] = []
        self.places: dict[str, m.Place] = {}  # of those that run
        self.planned: dict[str, m.Place] = {}
        self.home: dict[str, Host] = {}

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
            ways(self.experiment),
        )
        for number, places in enumerate(hollow_places(self.experiment, self.size)):
            self.settle(await opened(self.folder / f"host{number}.log"), places)
        if given.real:
            self.settle(RealHost(self.folder, self.nursery), real_places(self.experiment))
        await self.each(lambda host: answered(host, begin))

    def settle(self, host: Host, places: Sequence[m.Place]) -> None:
        self.hosts.append(host)
        self.planned.update((place.name, place) for place in places)
        self.home.update((place.name, host) for place in places)

    def of(self, subject: str) -> list[Host]:
        return [host for host in self.hosts if host.subject == subject]

    def names(self, subject: str) -> list[str]:
        """Of those that run."""
        return [name for name in self.places if self.home[name].subject == subject]

    async def start(self, names: Sequence[str], keep_disk: bool = True, tenants: int = 0) -> None:
        """Start these, all at once. The first of all have nobody to ask."""
        seeds = m.seeds_of(list(self.places.values())[:SEEDS])

        async def some(host: Host) -> None:
            wanted = tuple(self.planned[name] for name in names if self.home[name] is host)
            if wanted:
                answer = await answered(host, m.Start(wanted, seeds, keep_disk, tenants))
                assert isinstance(answer, m.Places)
                self.places.update((place.name, place) for place in answer.places)

        await self.each(some)

    async def introduce(self) -> None:
        """Let all that run know each other."""
        known = tuple(self.places.values())
        await self.each(lambda host: answered(host, m.Introduce(known)))

    async def kill(self, names: Sequence[str]) -> None:
        async def some(host: Host) -> None:
            if wanted := tuple(name for name in names if self.home[name] is host):
                await answered(host, m.Kill(wanted))

        await self.each(some)
        for name in names:
            del self.places[name]

    async def cut(self, zones: Sequence[str]) -> None:
        known = tuple(self.places.values())
        await self.each(lambda host: answered(host, m.Know(known)))
        await self.each(lambda host: answered(host, m.Cut(tuple(zones))))

    async def change(self, name: str, customer: str) -> m.Made:
        made = await answered(self.home[name], m.Change(name, customer))
        assert isinstance(made, m.Made)
        return made

    async def look(self) -> list[m.Sight]:
        found: list[m.Sight] = []

        async def one(host: Host) -> None:
            sight = await answered(host, m.Look())
            assert isinstance(sight, m.Sight)
            found.append(sight)

        await self.each(one)
        return found

    async def count(self, subject: str) -> list[m.Counts]:
        """In the order of ``of``."""
        found = []
        for host in self.of(subject):
            counts = await answered(host, m.Count())
            assert isinstance(counts, m.Counts)
            found.append(counts)
        return found

    async def each(self, what: Callable[[Host], Awaitable[object]]) -> None:
        async with trio.open_nursery() as nursery:
            for host in self.hosts:
                nursery.start_soon(what, host)

    def usage(self, subject: str) -> dict[int, machine.Usage]:
        """Of each process."""
        try:
            return {pid: machine.usage(pid) for host in self.of(subject) for pid in host.pids()}
        except OSError as error:
            raise HostLost(f"a process has ended: {error}") from None

    def pids(self) -> list[int]:
        return [pid for host in self.hosts for pid in host.pids()]

    async def close(self) -> None:
        await self.each(lambda host: host.end())


def ways(experiment: Experiment) -> m.Ways:
    given = experiment.fleet
    regions = {f"z{zone}": zone % given.regions for zone in range(given.zones)}
    return m.Ways(regions, given.loss, given.zone_delay_ms / 1000, given.region_delay_ms / 1000)


def hollow_places(experiment: Experiment, size: int) -> list[list[m.Place]]:
    """The hollow ingresses of each host process. Zones are dealt out in turn, so each process has all."""
    zones, some = experiment.fleet.zones, experiment.fleet.in_process
    found = [m.Place(f"i{n}", f"z{n % zones}") for n in range(size - experiment.fleet.real)]
    return [found[at : at + some] for at in range(0, len(found), some)]


def real_places(experiment: Experiment) -> list[m.Place]:
    zones = experiment.fleet.zones
    return [m.Place(f"r{n}", f"z{n % zones}") for n in range(experiment.fleet.real)]


async def answered(host: Host, command: m.Command) -> m.Answer:
    """``HostLost`` where the command is not carried out."""
    answer = await host.ask(command)
    if isinstance(answer, m.Failed):
        raise HostLost(answer.reason)
    return answer


async def opened(log: Path) -> HostProcess:
    with log.open("wb") as sink:
        process = await trio.lowlevel.open_process(
            [sys.executable, "-m", "gorsefork.lab.scale.host"],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            stderr=sink,
        )
    return HostProcess(process, log)
