"""An experiment as a TOML file, read whole before a run begins: every fault is told at once, with its key."""

from __future__ import annotations

import tomllib
from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field, ValidationError, model_validator

Configuration = Literal["all-to-all", "replicated", "none"]
FaultKind = Literal["kill", "restart", "cut"]
Size = Annotated[int, Field(ge=2, le=2000)]
MOST_HOLLOW_IN_PROCESS = 200


class BadExperiment(Exception):
    """A file that cannot be played: a line a fault, each beginning with its key."""


class Section(BaseModel):
    model_config = ConfigDict(extra="forbid", strict=True, frozen=True)


class Fleet(Section):
    """The fleet that is played: one after another of ``sizes``, ``in_process`` hollow ingresses to a process.
    ``introduced``: all know each other from the beginning; else they have to find each other.

    Zones are dealt out in turn, and regions to zones. Times are those of the fleet's view; delays are of one
    way, between zones of a region and between regions.
    """

    sizes: Annotated[list[Size], Field(min_length=1, max_length=20)]
    in_process: Annotated[int, Field(ge=1, le=MOST_HOLLOW_IN_PROCESS)] = 40
    real: Annotated[int, Field(ge=0, le=12)] = 0
    introduced: bool = False
    regions: Annotated[int, Field(ge=1, le=8)] = 1
    zones: Annotated[int, Field(ge=1, le=64)] = 1
    period_ms: Annotated[int, Field(ge=100, le=60_000)] = 1000
    timeout_ms: Annotated[int, Field(ge=20, le=30_000)] = 300
    quiet_ms: Annotated[int, Field(ge=0, le=600_000)] = 3000
    loss: Annotated[float, Field(ge=0.0, le=0.9)] = 0.0
    zone_delay_ms: Annotated[float, Field(ge=0.0, le=1000.0)] = 0.0
    region_delay_ms: Annotated[float, Field(ge=0.0, le=1000.0)] = 0.0

    @model_validator(mode="after")
    def consistent(self) -> Fleet:
        if self.timeout_ms > self.period_ms // 2:
            raise ValueError("timeout_ms: must be half of period_ms at the most")
        if self.zones < self.regions:
            raise ValueError("zones: must be at least as many as regions")
        if self.introduced and self.real:
            raise ValueError("introduced: real processes find the others by themselves; real must be 0")
        if any(size <= self.real for size in self.sizes):
            raise ValueError("sizes: each must exceed the number of real processes")
        return self


class Load(Section):
    """What is asked of the fleet. ``tenants`` have a plan each, in the book of the first ingress before the
    others start. ``changes`` of other tenants' plans are made, ``changes_a_day`` played ``time_factor`` times
    faster.
    """

    tenants: Annotated[int, Field(ge=0, le=200_000)] = 0
    changes: Annotated[int, Field(ge=0, le=10_000)] = 0
    changes_a_day: Annotated[int, Field(ge=1, le=1_000_000)] = 1400
    time_factor: Annotated[float, Field(gt=0.0, le=10_000.0)] = 60.0

    @property
    def change_every(self) -> float:
        """Seconds between two changes."""
        return 86_400.0 / self.changes_a_day / self.time_factor


class Phases(Section):
    """How long each phase lasts, or may last, in seconds."""

    gather_within: Annotated[float, Field(gt=0.0, le=600.0)] = 60.0
    load_within: Annotated[float, Field(gt=0.0, le=600.0)] = 60.0
    rest: Annotated[float, Field(gt=0.0, le=600.0)] = 10.0
    changes_within: Annotated[float, Field(gt=0.0, le=3600.0)] = 120.0
    recover_within: Annotated[float, Field(gt=0.0, le=600.0)] = 30.0


class Fault(Section):
    """``at``: seconds after the first change. ``share`` of the fleet is killed or restarted; A ``zone`` or a
    ``region`` is cut off from the others for ``lasts`` seconds. ``disk``: what a restarted ingress finds."""

    kind: FaultKind
    at: Annotated[float, Field(ge=0.0, le=600.0)]
    share: Annotated[float, Field(gt=0.0, le=0.5)] | None = None
    zone: Annotated[int, Field(ge=0, le=63)] | None = None
    region: Annotated[int, Field(ge=0, le=7)] | None = None
    lasts: Annotated[float, Field(gt=0.0, le=600.0)] | None = None
    disk: Literal["old", "none"] | None = None

    @model_validator(mode="after")
    def complete(self) -> Fault:
        if self.zone is not None and self.region is not None:
            raise ValueError("region: a cut is of a zone or of a region, not of both")
        wanted = {"kill": {"share"}, "restart": {"share", "disk"}, "cut": {"zone", "lasts"}}[self.kind]
        if self.region is not None:
            wanted = (wanted - {"zone"}) | ({"region"} if self.kind == "cut" else set())
        for key in ("share", "zone", "region", "lasts", "disk"):
            if (getattr(self, key) is not None) != (key in wanted):
                raise ValueError(f"{key}: a {self.kind} {'needs it' if key in wanted else 'takes none'}")
        return self


class Bounds(Section):
    """What a run may use of the machine; checked before it begins and while it runs."""

    memory_share: Annotated[float, Field(gt=0.0, le=0.5)] = 0.5
    processes: Annotated[int, Field(ge=1, le=300)] = 300


class Experiment(Section):
    """One experiment. ``seed`` decides who fails, who takes a change and which datagrams are lost."""

    name: Annotated[str, Field(pattern="^[a-z0-9-]{1,40}$")]
    seed: Annotated[int, Field(ge=0, lt=1 << 31)]
    configuration: Configuration
    disk: bool = False
    fleet: Fleet
    load: Load = Load()
    phases: Phases = Phases()
    faults: Annotated[list[Fault], Field(max_length=20)] = []
    bounds: Bounds = Bounds()

    @model_validator(mode="after")
    def playable(self) -> Experiment:
        for place, fault in enumerate(self.faults):
            if fault.zone is not None and fault.zone >= self.fleet.zones:
                raise ValueError(f"faults.{place}.zone: there are zones 0 to {self.fleet.zones - 1}")
            if fault.region is not None and fault.region >= self.fleet.regions:
                raise ValueError(f"faults.{place}.region: there are regions 0 to {self.fleet.regions - 1}")
            if fault.disk == "old" and not self.disk:
                raise ValueError(f"faults.{place}.disk: an old disk needs disk = true")
        if self.fleet.real and (self.configuration == "none" or any(f.kind == "cut" for f in self.faults)):
            # Cuts are made at the sockets of hollow ingresses; a real one is asked by its control listener.
            raise ValueError("fleet.real: needs a configuration, and no cut among the faults")
        if self.configuration == "none" and (self.load.changes or self.load.tenants):
            raise ValueError("load.changes: without configuration there are no changes and no tenants")
        return self


def read(text: str) -> Experiment:
    """The experiment in TOML. ``BadExperiment`` tells all that is wrong with it."""
    try:
        return Experiment.model_validate(tomllib.loads(text))
    except tomllib.TOMLDecodeError as error:
        raise BadExperiment(f"file: is not TOML ({error})") from None
    except ValidationError as error:
        raise BadExperiment("\n".join(fault_line(dict(each)) for each in error.errors())) from None


def fault_line(each: dict[str, object]) -> str:
    """One of pydantic's errors as a key and a reason."""
    where = each["loc"]
    assert isinstance(where, tuple)
    reason = str(each["msg"]).removeprefix("Value error, ")
    key, _, rest = reason.partition(": ")
    if each["type"] == "value_error" and rest:  # of a section as a whole: it names its key
        where, reason = (*where, key), rest
    if each["type"] == "extra_forbidden":
        reason = "is not known"
    return f"{'.'.join(map(str, where)) or 'file'}: {reason}"
