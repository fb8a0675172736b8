"""A hollow ingress: an installation as the program puts it together, with no module and no data path."""

from __future__ import annotations

import shutil
from collections.abc import Iterable
from importlib import import_module
from importlib.util import find_spec
from pathlib import Path
from typing import Any, Protocol, cast

from gorsefork.lab.scale.messages import Arrival, Begin, Place, Standing
from gorsefork.lab.scale.traffic import CountedClient, CountedSocket, Network, Owner, Traffic, owner
from gorsefork.life.config import Config
from gorsefork.life.installation import Installation
from gorsefork.life.operator import Control, Fleet, Operator, State
from gorsefork.memory.clock import Clock
from gorsefork.memory.deciding import Decider
from gorsefork.plans.book import Book
from gorsefork.plans.changes import Change, SetPlan
from gorsefork.settings import to_settings

PLANS = ("plain", "large")
SETTINGS: dict[str, Any] = {
    "balancers": 1,
    "classes": [{"name": "look", "aim": 1_000_000_000, "deadline": 3_000_000_000}],
    "tiersOfService": [{"name": name, "rate": 10.0, "depth": 20.0} for name in PLANS],
}
CLIENTS = {"all-to-all": "gorsefork.wire.services.fellows", "replicated": "gorsefork.wire.services.peers"}


class Unknown(Exception):
    """This version of the program has no such mechanism."""


class HollowIngress(Protocol):
    """What a host process asks of one, whatever mechanism carries its configuration."""

    name: str
    traffic: Traffic

    def open(self) -> Place:
        """Bind its sockets."""
        ...

    async def run(self) -> None:
        """Until cancelled; that is an end with no goodbye."""
        ...

    async def change(self, customer: str) -> None:
        """Make a change that concerns this customer. ``Refused`` if it cannot be taken."""
        ...

    def standing(self) -> Standing: ...
    def arrivals(self) -> list[Arrival]: ...
    def stalls(self) -> int: ...
    def close(self) -> None: ...


class HollowDecider:
    """Stands where an installation has the module's actor; hears whose terms are in force."""

    def __init__(self, name: str, clock: Clock) -> None:
        self.name, self.clock = name, clock
        self.heard: list[Arrival] = []
        self.terms: Any = None

    def retold(self, customers: Iterable[str]) -> None:
        now = self.clock.now
        self.heard += [Arrival(customer, self.name, now) for customer in customers]


class InstalledIngress:
    """``HollowIngress`` by ``life.installation``: the fleet's view, the plan book, the control listener."""

    def __init__(
        self, place: Place, seeds: tuple[str, ...], given: Begin, clock: Clock, network: Network, book: Book
    ) -> None:
        self.name, self.zone, self.clock, self.network = place.name, place.zone, clock, network
        self.traffic = Traffic()
        self.decider = HollowDecider(place.name, clock)
        fleet = Fleet(
            listen="127.0.0.1:0",
            site=given.site,
            seeds=list(seeds),
            zone=place.zone,
            period_ms=given.period_ms,
            timeout_ms=given.timeout_ms,
            quiet_ms=given.quiet_ms,
        )
        control = given.configuration != "none"
        operator = Operator(
            control=Control(listen="127.0.0.1:0", catch_up_ms=0) if control else None,
            state=State(folder=str(Path(given.folder) / place.name), sync="normal") if given.folder else None,
            fleet=fleet,
        )
        config = Config(
            name=place.name,
            listen="127.0.0.1:0",
            discovery="127.0.0.1:9",
            seed=given.seed,
            settings=to_settings(SETTINGS),
            sites=(),
            kinds=(),
            known={},
        )
        self.installation = Installation(operator, config, clock)
        if len(book.changes) > len(self.installation.book.changes):
            self.installation.book = book

    def open(self) -> Place:
        # Its own variable says on whose behalf a client is made; tasks inherit it.
        owner.set(Owner(self.zone, self.network, self.traffic))
        self.installation.attach(cast(Decider, self.decider), lambda: True)
        link, acceptor = self.installation.link, self.installation.acceptor
        assert link is not None
        link.sock = cast(Any, CountedSocket(link.sock, self.zone, self.network, self.traffic))
        control = port(acceptor.where) if acceptor is not None else 0
        return Place(self.name, self.zone, port(link.where), control)

    async def run(self) -> None:
        await self.installation.run()

    async def change(self, customer: str) -> None:
        now = self.clock.unix_us()
        await self.installation.keeper.make(SetPlan(customer, PLANS[0], now), "scale-run")

    def standing(self) -> Standing:
        link, book = self.installation.link, self.installation.keeper.book
        assert link is not None
        seen, settled = len(link.core.view.seen()), not link.core.lacking()
        return Standing(self.name, seen, settled, len(book.changes), book.digest())

    def arrivals(self) -> list[Arrival]:
        found, self.decider.heard = self.decider.heard, []
        return found

    def stalls(self) -> int:
        return self.installation.link.core.counts.stalls if self.installation.link is not None else 0

    def close(self) -> None:
        acceptor = self.installation.acceptor
        if acceptor is not None:
            for connection in list(acceptor.connections):
                connection.stream.close()
            acceptor.sock.close()
        self.installation.close()


def port(where: str) -> int:
    return int(where.rpartition(":")[2])


def count_clients(configuration: str) -> None:
    """From here on the mechanism's client counts what it sends. ``Unknown`` if this version lacks it."""
    if configuration == "none":
        return
    name = CLIENTS[configuration]
    if find_spec(name) is None:
        raise Unknown(f"configuration: this version has no {configuration!r}")
    vars(import_module(name))["HttpClient"] = CountedClient


def book_of(records: int, now: int) -> Book:
    """A book with one plan change for each of so many customers, the same at each call but for ``now``."""
    changes = [
        Change(now - records + n, "before", SetPlan(customer(n), PLANS[0], now - records + n), "scale-run")
        for n in range(records)
    ]
    return Book.replay(changes)


def customer(number: int) -> str:
    """The name of the customer with this number, as the book wants it."""
    return f"{number:016x}"


def remove_disk(folder: str, name: str) -> None:
    if folder:
        shutil.rmtree(Path(folder) / name, ignore_errors=True)
