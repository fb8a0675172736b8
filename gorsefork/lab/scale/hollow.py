"""A hollow ingress: an installation as the program puts it together, with no module and no data path."""

from __future__ import annotations

import shutil
from collections.abc import Iterable, Sequence
from importlib import import_module
from importlib.util import find_spec
from pathlib import Path
from typing import Any, Protocol, cast

from gorsefork.fleet.facts import Card, Fact, State, pack_address
from gorsefork.lab.scale.experiment import Configuration
from gorsefork.lab.scale.messages import Arrival, Begin, Place, Standing
from gorsefork.lab.scale.traffic import CountedClient, CountedSocket, Network, Owner, Traffic, owner
from gorsefork.life.config import Config
from gorsefork.life.installation import Installation
from gorsefork.life.operator import Control, Fleet, Operator
from gorsefork.life.operator import State as StateFolder
from gorsefork.memory.clock import Clock
from gorsefork.memory.decision_actor import DecisionActor
from gorsefork.plans.changes import Change, ChangeRefused, SetPlan
from gorsefork.settings import to_settings

PLANS = ("plain", "large")
SETTINGS: dict[str, Any] = {
    "balancers": 1,
    "classes": [{"name": "look", "aim": 1_000_000_000, "deadline": 3_000_000_000}],
    "tiersOfService": [{"name": name, "rate": 10.0, "depth": 20.0} for name in PLANS],
}
# The modules that make the clients of a mechanism. One that this version lacks is not there to be measured.
CLIENTS: dict[Configuration, str] = {
    "all-to-all": "gorsefork.wire.services.fellows",
    "replicated": "gorsefork.wire.http1.client_pool",
}
FIRST_CHANGED = 1 << 32  # the number of the first customer that changes are made for; others are below
MOST_AT_ONCE = 500  # changes that are put into a book in one go


class Unknown(Exception):
    """This version of the program has no such mechanism."""


class HollowIngress(Protocol):
    """What a host process asks of one, whatever mechanism carries its configuration."""

    name: str
    traffic: Traffic

    def open(self) -> Place:
        """Bind its sockets."""
        ...

    async def load(self, tenants: int) -> None:
        """Put a plan for each of so many into its book, before it runs. ``ChangeRefused`` where they do not
        fit."""
        ...

    async def run(self) -> None:
        """Until cancelled; that is an end with no goodbye."""
        ...

    async def change(self, customer: str) -> None:
        """Make a change that concerns this customer. ``ChangeRefused`` if it cannot be taken."""
        ...

    def introduce(self, facts: Sequence[Fact]) -> None:
        """Let it know these members, itself among them, as if it had long heard of them."""
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
        self.plan_overrides: Any = None

    def terms_changed(self, customers: Iterable[str]) -> None:
        now = self.clock.now
        self.heard += [Arrival(each, self.name, now) for each in customers if is_changed(each)]

    retold = terms_changed  # its name before configuration was replicated


class InstalledIngress:
    """``HollowIngress`` by ``life.installation``: the fleet's view, the plan book, the control listener."""

    def __init__(
        self, place: Place, seeds: tuple[str, ...], given: Begin, clock: Clock, network: Network
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
            state=StateFolder(folder=str(Path(given.folder) / place.name), sync="normal")
            if given.folder
            else None,
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

    def open(self) -> Place:
        # Its own variable says on whose behalf a client is made; tasks inherit it.
        owner.set(Owner(self.zone, self.network, self.traffic))
        self.installation.attach(cast(DecisionActor, self.decider), lambda: True)
        link, acceptor = self.installation.fleet_service, self.installation.acceptor
        assert link is not None
        link.sock = cast(Any, CountedSocket(link.sock, self.zone, self.network, self.traffic))
        control = port(acceptor.address) if acceptor is not None else 0
        return Place(self.name, self.zone, port(link.address), control, link.core.life)

    async def load(self, tenants: int) -> None:
        changes = plans_until(self.clock.unix_us(), tenants)
        for at in range(0, tenants, MOST_AT_ONCE):
            if problem := await self.installation.plan_service.apply_changes(changes[at : at + MOST_AT_ONCE]):
                raise ChangeRefused(problem)

    async def run(self) -> None:
        await self.installation.run()

    async def change(self, customer: str) -> None:
        now = self.clock.unix_us()
        await self.installation.plan_service.make(SetPlan(customer, PLANS[0], now), "scale-run")

    def introduce(self, facts: Sequence[Fact]) -> None:
        link = self.installation.fleet_service
        assert link is not None
        for fact in facts:
            link.core.view.take(fact, self.clock.now, "scale-run")
        link.core.news.pieces.clear()  # nobody needs to be told what all were told
        link.flush()

    def standing(self) -> Standing:
        link, digest = self.installation.fleet_service, self.installation.plan_service.book.digest()
        assert link is not None
        seen, core = len(link.core.view.seen()), link.core
        # What is lacking is costly to tell in a large fleet, and needless where news has just come.
        quiet = self.clock.now - core.view.changed_at >= core.pace.quiet
        settled = quiet and not core.reasons_unsettled()
        return Standing(self.name, seen, settled, int(digest.partition("-")[0]), digest)

    def arrivals(self) -> list[Arrival]:
        found, self.decider.heard = self.decider.heard, []
        return found

    def stalls(self) -> int:
        return (
            self.installation.fleet_service.core.counts.stalls
            if self.installation.fleet_service is not None
            else 0
        )

    def close(self) -> None:
        acceptor = self.installation.acceptor
        if acceptor is not None:
            for connection in list(acceptor.connections):
                connection.stream.close()
            acceptor.sock.close()
        self.installation.close()


def port(where: str) -> int:
    return int(where.rpartition(":")[2])


def mechanisms() -> list[Configuration]:
    """The mechanisms for configuration that this version of the program has, by their names."""
    return [name for name, module in CLIENTS.items() if find_spec(module) is not None]


def count_clients(configuration: Configuration) -> None:
    """From here on the mechanism's client counts what it sends. ``Unknown`` if this version lacks it."""
    if configuration == "none":
        return
    if configuration not in mechanisms():
        raise Unknown(f"configuration: this version has no {configuration!r}, but {mechanisms()}")
    vars(import_module(CLIENTS[configuration]))["HttpClient"] = CountedClient


def plans_until(now: int, tenants: int) -> list[Change]:
    """A plan change for each of so many customers, made one a microsecond until now (Unix time)."""
    first = now - tenants
    return [
        Change(first + n, "before", SetPlan(customer(n), PLANS[0], first + n), "scale-run")
        for n in range(tenants)
    ]


def customer(number: int) -> str:
    """The name of the customer with this number, as the book wants it."""
    return f"{number:016x}"


def fact_of(place: Place) -> Fact:
    """What the fleet knows of an ingress that is alive."""
    control = dial_of(place.control) if place.control else b""
    return Fact(place.name, place.life, 0, State.ALIVE, Card(dial_of(place.datagrams), control, place.zone))


def dial_of(number: int) -> bytes:
    return pack_address(f"127.0.0.1:{number}")


def is_changed(name: str) -> bool:
    """Whether the run makes changes for that customer, and so wants to hear of it."""
    return name >= customer(FIRST_CHANGED)


def remove_disk(folder: str, name: str) -> None:
    if folder:
        shutil.rmtree(Path(folder) / name, ignore_errors=True)
