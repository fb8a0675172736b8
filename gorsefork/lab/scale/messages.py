"""What a run and its host processes say to each other: a line of JSON a message, one answer a command."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from gorsefork.lab.scale.experiment import Configuration


class Tagged(msgspec.Struct, frozen=True, forbid_unknown_fields=True, tag_field="do"):
    """A command; each has its own kind of answer."""


class Ways(msgspec.Struct, frozen=True):
    """The paths between zones: which region each zone is in, delays of one way in seconds, a share lost."""

    regions: dict[str, int] = {}
    loss: float = 0.0
    zone_delay: float = 0.0
    region_delay: float = 0.0


class Begin(Tagged, frozen=True, tag="begin"):
    """First of all: what all hollow ingresses of this process have in common. Answer: ``Done``."""

    site: str
    seed: int
    configuration: Configuration
    folder: str  # for the ingresses' state; empty: they have no disk
    period_ms: int
    timeout_ms: int
    quiet_ms: int
    ways: Ways


class Place(msgspec.Struct, frozen=True):
    """Where an ingress is found, in which zone, and the life that it has there. ``control`` is 0 where it has
    no control listener, ``life`` where that is not known."""

    name: str
    zone: str
    datagrams: int = 0
    control: int = 0
    life: int = 0


class Start(Tagged, frozen=True, tag="start"):
    """Start these, with the fleet at ``seeds``; each book holds so many ``tenants``. Answer: ``Places``."""

    places: tuple[Place, ...]
    seeds: tuple[str, ...]
    keep_disk: bool = True
    tenants: int = 0


class Kill(Tagged, frozen=True, tag="kill"):
    """End these with no goodbye. Answer: ``Done``."""

    names: tuple[str, ...]


class Know(Tagged, frozen=True, tag="know"):
    """Where all ingresses are, for cuts. Answer: ``Done``."""

    places: tuple[Place, ...]


class Introduce(Tagged, frozen=True, tag="introduce"):
    """Tell each ingress here of all these as members that are alive. Answer: ``Done``."""

    places: tuple[Place, ...]


class Cut(Tagged, frozen=True, tag="cut"):
    """These zones reach each other and no others, until the next ``Cut``. Answer: ``Done``."""

    zones: tuple[str, ...]


class Change(Tagged, frozen=True, tag="change"):
    """A change of configuration for ``customer``, made at ``name``. Answer: ``Made``."""

    name: str
    customer: str


class Look(Tagged, frozen=True, tag="look"):
    """How all ingresses here stand. Answer: ``Sight``."""


class Count(Tagged, frozen=True, tag="count"):
    """What all ingresses here have sent and received. Answer: ``Counts``."""


class End(Tagged, frozen=True, tag="end"):
    """End all, and the process. Answer: ``Done``."""


Command = Begin | Start | Kill | Know | Introduce | Cut | Change | Look | Count | End


class Done(msgspec.Struct, frozen=True, tag="done"):
    """The command has been carried out."""


class Failed(msgspec.Struct, frozen=True, tag="failed"):
    """The command has not been carried out."""

    reason: str


class Places(msgspec.Struct, frozen=True, tag="places"):
    places: tuple[Place, ...]


class Made(msgspec.Struct, frozen=True, tag="made"):
    """``at``: when the change was accepted, in microseconds of the machine's monotonic clock."""

    at: int
    problem: str = ""


class Standing(msgspec.Struct, frozen=True):
    """One ingress: members seen, whether its view is settled, records held and their digest."""

    name: str
    seen: int
    settled: bool
    held: int
    digest: str


class Arrival(msgspec.Struct, frozen=True, array_like=True):
    """A customer's change is in force at an ingress since ``at`` (microseconds, monotonic)."""

    customer: str
    name: str
    at: int


class Sight(msgspec.Struct, frozen=True, tag="sight"):
    """``arrivals``: since the last look."""

    standings: tuple[Standing, ...]
    arrivals: tuple[Arrival, ...]


class Counts(msgspec.Struct, frozen=True, tag="counts"):
    """By direction and kind, summed over the ingresses here. ``stalls``: times a view was late by itself."""

    messages: dict[str, int]
    bytes: dict[str, int]
    stalls: int


Answer = Done | Failed | Places | Made | Sight | Counts

COMMANDS = msgspec.json.Decoder(Command)
ANSWERS = msgspec.json.Decoder(Answer)


def line(message: Command | Answer) -> bytes:
    return msgspec.json.encode(message) + b"\n"


def seeds_of(places: Sequence[Place]) -> tuple[str, ...]:
    return tuple(f"127.0.0.1:{place.datagrams}" for place in places)
