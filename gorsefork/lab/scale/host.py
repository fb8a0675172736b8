"""A process of hollow ingresses, told by its run what to do: ``python -m gorsefork.lab.scale.host``.

Commands come on standard input and answers go out on standard output; see ``messages``.
"""

from __future__ import annotations

import contextvars
import os
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

import trio

from gorsefork.lab.scale import messages as m
from gorsefork.lab.scale.hollow import (
    HollowIngress,
    InstalledIngress,
    Unknown,
    count_clients,
    fact_of,
    remove_disk,
)
from gorsefork.lab.scale.traffic import Network
from gorsefork.memory.clock import Clock
from gorsefork.plans.changes import ChangeRefused

CHUNK = 1 << 16


@dataclass(eq=False)
class Running:
    """One hollow ingress and the scope that ends it."""

    ingress: HollowIngress
    context: contextvars.Context
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)
    ended: trio.Event = field(default_factory=trio.Event)

    async def run(self) -> None:
        try:
            with self.scope:
                await self.ingress.run()
        finally:
            self.ingress.close()
            self.ended.set()


class Host:
    """Carries out one command after another."""

    def __init__(self, clock: Clock, nursery: trio.Nursery) -> None:
        self.clock, self.nursery = clock, nursery
        self.running: dict[str, Running] = {}
        self.past = m.Counts({}, {}, 0)  # of those that have ended
        self.arrived: list[m.Arrival] = []

    async def do(self, command: m.Command) -> m.Answer:
        """``Failed`` tells why a command was not carried out."""
        try:
            match command:
                case m.Begin():
                    return self.begin(command)
                case m.Start():
                    return await self.start(command)
                case m.Kill():
                    return await self.kill(command.names)
                case m.Know():
                    for place in command.places:
                        self.network.place(place.datagrams, place.zone)
                        self.network.place(place.control, place.zone)
                    return m.Done()
                case m.Introduce():
                    return await self.introduce(command.places)
                case m.Cut():
                    self.network.cut(command.zones)
                    return m.Done()
                case m.Change():
                    return await self.change(command)
                case m.Look():
                    return self.look()
                case m.Count():
                    return self.count()
                case m.End():
                    return await self.kill(tuple(self.running))
        except (OSError, Unknown, ChangeRefused, ValueError) as error:
            return m.Failed(f"{type(error).__name__}: {error}")

    def begin(self, given: m.Begin) -> m.Answer:
        count_clients(given.configuration)
        self.given = given
        seed = random.Random(f"{given.seed} {os.getpid()}").randrange(1 << 30)
        self.network = Network(seed, given.ways, self.later)
        return m.Done()

    def later(self, seconds: float, what: Callable[[], object]) -> None:
        self.nursery.start_soon(after, seconds, what)

    async def start(self, command: m.Start) -> m.Answer:
        places = []
        for place in command.places:
            if not command.keep_disk:
                remove_disk(self.given.folder, place.name)
            ingress = InstalledIngress(place, command.seeds, self.given, self.clock, self.network)
            places.append(contextvars.copy_context().run(self.open, ingress))
            await ingress.load(command.tenants)
        for place in command.places:
            running = self.running[place.name]
            running.context.run(self.nursery.start_soon, running.run)
        return m.Places(tuple(places))

    def open(self, ingress: HollowIngress) -> m.Place:
        """In a context of its own, which the ingress's tasks inherit."""
        place = ingress.open()
        self.running[place.name] = Running(ingress, contextvars.copy_context())
        return place

    async def introduce(self, places: tuple[m.Place, ...]) -> m.Answer:
        facts = [fact_of(place) for place in places]
        for running in list(self.running.values()):
            running.context.run(running.ingress.introduce, facts)  # tasks that it starts are its own
            await trio.lowlevel.checkpoint()  # those that know already have probes to answer
        return m.Done()

    async def kill(self, names: tuple[str, ...]) -> m.Answer:
        ending = [self.running.pop(name) for name in names]
        for running in ending:
            self.arrived += running.ingress.arrivals()
            running.scope.cancel()
        for running in ending:
            await running.ended.wait()
            self.past = added(self.past, running.ingress)
        return m.Done()

    async def change(self, command: m.Change) -> m.Answer:
        if (running := self.running.get(command.name)) is None:
            return m.Made(self.clock.now, f"{command.name} does not run")
        try:
            await running.ingress.change(command.customer)
        except ChangeRefused as refused:
            return m.Made(self.clock.now, str(refused))
        return m.Made(self.clock.now)

    def look(self) -> m.Answer:
        arrived, self.arrived = self.arrived, []
        for running in self.running.values():
            arrived += running.ingress.arrivals()
        return m.Sight(tuple(r.ingress.standing() for r in self.running.values()), tuple(arrived))

    def count(self) -> m.Counts:
        counts = self.past
        for running in self.running.values():
            counts = added(counts, running.ingress)
        return counts


async def after(seconds: float, what: Callable[[], object]) -> None:
    await trio.sleep(seconds)
    what()


def added(counts: m.Counts, ingress: HollowIngress) -> m.Counts:
    traffic = ingress.traffic
    return m.Counts(
        dict(Counter(counts.messages) + traffic.messages),
        dict(Counter(counts.bytes) + traffic.bytes),
        counts.stalls + ingress.stalls(),
    )


async def serve(clock: Clock) -> None:
    source, sink = trio.lowlevel.FdStream(os.dup(0)), trio.lowlevel.FdStream(os.dup(1))
    rest = b""
    async with trio.open_nursery() as nursery:
        host = Host(clock, nursery)
        while chunk := await source.receive_some(CHUNK):
            *lines, rest = (rest + chunk).split(b"\n")
            for text in lines:
                command = m.COMMANDS.decode(text)
                await sink.send_all(m.line(await host.do(command)))
                if isinstance(command, m.End):
                    return
        nursery.cancel_scope.cancel()  # the run has gone


def main() -> None:
    clock = Clock()
    trio.run(partial(serve, clock), instruments=[clock])


if __name__ == "__main__":
    main()
