"""What gorsefork is told and what it answers: settings, events and actions, in the terms of the field.

All times are seconds (float) on one clock that only advances; servers, requests and customers are named by
opaque strings. An operator makes one ``rules.DecisionEngine`` for each gateway process, gives it events
in their order of arrival and carries out the actions it returns, in order.
"""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import Literal, get_args

Effect = Literal["repeatable", "by_key", "once"]
Scope = Literal["all", "zone", "cell"]
State = Literal["ready", "draining", "gone"]
ListKind = Literal["full", "delta", "cached", "failed"]
Status = Literal["ok", "error", "full", "timeout", "connect_failed", "reset", "cancelled", "moot"]


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of request: what it is worth, how fast it is wanted and whether it may be repeated."""

    name: str
    aim: float
    deadline: float
    worth: float = 1.0
    late_worth: float = 0.0
    aim_stretch: float = 0.0
    effect: Effect = "repeatable"
    scope: Scope = "all"
    window: float = 0.0
    stream: bool = False


@dataclass(frozen=True, slots=True)
class Plan:
    """A plan's quota for each of its customers, and its hard ceiling where it has one (0: none).

    ``series``: up to 16 characters in the names of its counts. Terms that begin anew have another one: what
    was counted under the last is carried over by each gatekeeper itself, and not to be read once more.
    """

    name: str
    rate: float = 0.0
    burst: float = 0.0
    parallel: int = 0
    price: float = 1.0
    over_worth: float = 0.0
    over_cost: float = 0.0
    ceiling_rate: float = 0.0
    ceiling_burst: float = 0.0
    ceiling_slack: float = 0.0
    series: str = ""


@dataclass(frozen=True, slots=True)
class Limits:
    """What the site permits."""

    max_attempts: int = 1
    max_open: int = 20000
    hedging: bool = False
    cancel: bool = False
    probes: bool = False
    retry_after: bool = False
    max_retry_after: float = 0.0
    peer_messages: bool = False
    peer_rate: float = 0.0
    connect_timeout: float = 0.25
    keepalive: float = 15.0

    def retry_after_limit(self) -> float:
        """The longest advice on when to come again, in seconds; 0 where the site permits none."""
        return self.max_retry_after if self.retry_after else 0.0


@dataclass(frozen=True, slots=True)
class SafetyLimits:
    """The figures of the rules."""

    answer_slack: float = 0.0
    drain_grace: float = 0.0
    cold_share: float = 1.0
    ramp: float = 0.0
    fall_multiple: float = 1.0
    fall_window: float = 1.0
    ask_within: float = 10.0


@dataclass(frozen=True, slots=True)
class Accounting:
    """How gateways learn of each other's use of a quota."""

    counter: bool = False
    counter_price: float = 0.0
    counter_timeout: float = 0.05
    meter_period: float = 0.0
    settles_usage: bool = False
    max_units: float = 1.0


@dataclass(frozen=True, slots=True)
class Settings:
    """All that a gatekeeper is told at its start."""

    classes: Sequence[RequestClass]
    plans: Sequence[Plan]
    own_index: int = 0
    ingresses: int = 1
    zone: int = 0
    time_step: float = 0.001
    subscribe: bool = False
    weights: Literal["off", "nominal", "rough", "live"] = "off"
    cross_zone_price: float = 0.0
    limits: Limits = field(default_factory=Limits)
    safety_limits: SafetyLimits = field(default_factory=SafetyLimits)
    accounting: Accounting = field(default_factory=Accounting)


def validate_settings(settings: Settings) -> None:
    """Settings that make no sense are refused at once, by name."""
    limits, guards, accounting = settings.limits, settings.safety_limits, settings.accounting
    sound = {
        "classes": len(settings.classes) > 0,
        "gatekeepers": settings.ingresses >= 1,
        "step": settings.time_step > 0,
        "limits.max_attempts": limits.max_attempts >= 1,
    }
    for part, names in (
        (limits, ("connect_timeout", "keepalive", "max_retry_after")),
        (guards, ("drain_grace", "cold_share", "ramp", "fall_multiple", "fall_window")),
        (accounting, ("counter_timeout", "max_units")),
    ):
        for name in names:
            sound[name] = 0 <= getattr(part, name) < math.inf
    for cls in settings.classes:
        sound[f"classes.{cls.name}.name"] = isinstance(cls.name, str)
        sound[f"classes.{cls.name}.aim"] = 0 < cls.aim < math.inf
        sound[f"classes.{cls.name}.effect"] = cls.effect in get_args(Effect)
        sound[f"classes.{cls.name}.scope"] = cls.scope in get_args(Scope)
        for name in ("deadline", "worth", "window", "aim_stretch"):
            sound[f"classes.{cls.name}.{name}"] = 0 <= getattr(cls, name) < math.inf
    for plan in settings.plans:
        for name in ("rate", "burst", "parallel", "price", "ceiling_rate", "ceiling_burst", "ceiling_slack"):
            sound[f"plans.{plan.name}.{name}"] = 0 <= getattr(plan, name) < math.inf
        sound[f"plans.{plan.name}.name"] = isinstance(plan.name, str)
    for name, holds in sound.items():
        if not holds:
            raise ValueError(f"{name} makes no sense")


@dataclass(frozen=True, slots=True)
class BackendEntry:
    """A line of the server list. ``started`` 0 means long ago."""

    backend: str
    state: State = "ready"
    started: float = 0.0
    kind: int = 0
    zone: int = 0
    cell: int = 0
    weight: float = 1.0


@dataclass(frozen=True, slots=True)
class BackendList:
    """News of the servers: the complete list (full, cached), changes to it (delta), or a failed call."""

    kind: ListKind
    entries: Sequence[BackendEntry] = ()
    version: int = 0


@dataclass(frozen=True, slots=True)
class Request:
    """A client's try. ``time_left``: how long the client waits; ``ingress_count``: gateways its customer
    uses."""

    id: str
    class_index: int
    plan_index: int
    customer: str
    time_left: float
    units: float = 1.0
    ingress_count: int = 1
    first_ingress: int = 0
    is_retry: bool = False
    is_write: bool = False
    plan_override: Plan | None = None  # what holds for this customer in place of the plan; named like a plan


@dataclass(frozen=True, slots=True)
class ResponseStarted:
    """The answer of a streamed request has begun."""

    id: str
    attempt: int
    backend: str
    latency: float = 0.0


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """How an attempt ended. ``request_done``: the request is over; ``used``: 1 + the meter's per cent; 0:
    none."""

    id: str
    attempt: int
    backend: str
    status: Status
    latency: float = 0.0
    request_done: bool = False
    used: int = 0
    settled_units: float = 0.0
    load: Mapping[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class ClientGone:
    """The client has left."""

    id: str


@dataclass(frozen=True, slots=True)
class TimerExpired:
    """A timer set earlier has come due."""

    token: str


@dataclass(frozen=True, slots=True)
class ProbeResult:
    """The result of a probe."""

    backend: str
    status: Status
    latency: float = 0.0
    load: Mapping[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class CounterReply:
    """The answer to one counter call; calls on one name are answered in their order."""

    name: str
    status: Status
    total: float = 0.0
    latency: float = 0.0


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """A short message from another gatekeeper."""

    sender: int
    data: bytes


@dataclass(frozen=True, slots=True)
class StartAttempt:
    """Start an attempt. ``timeout`` 0: until the client gives up. It is not to be begun ``start_before``
    then or later:
    its connection may take a while, and a repeat beyond its window is no repeat any more."""

    id: str
    backend: str
    timeout: float = 0.0
    start_before: float = math.inf


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Stop waiting for an attempt."""

    id: str
    attempt: int


@dataclass(frozen=True, slots=True)
class RejectRequest:
    """Final answer: declined, trying again is harmless."""

    id: str
    retry_after: float = 0.0


@dataclass(frozen=True, slots=True)
class FailRequest:
    """Final answer: failed, nothing is promised."""

    id: str


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Ask for a ``TimerExpired`` event after ``delay``. ``request``: once that is over the host may drop
    it."""

    token: str
    delay: float
    request: str = ""


@dataclass(frozen=True, slots=True)
class ProbeBackend:
    """Look at a server."""

    backend: str


@dataclass(frozen=True, slots=True)
class CloseIdleConnections:
    """Close the idle connections to a server."""

    backend: str


@dataclass(frozen=True, slots=True)
class AddToCounter:
    """Add ``amount`` to a shared count that lapses ``ttl`` after its first call."""

    name: str
    amount: float
    ttl: float


@dataclass(frozen=True, slots=True)
class SendToPeer:
    """Send a message to a peer, or to all of them (``None``)."""

    peer: int | None
    data: bytes


@dataclass(frozen=True, slots=True)
class WatchBackends:
    """Subscribe to changes of the server list, or cease to."""

    enabled: bool


@dataclass(frozen=True, slots=True)
class FetchBackendList:
    """Ask for the complete server list once."""


@dataclass(frozen=True, slots=True)
class WriteLog:
    """A line for the operators."""

    text: str


@dataclass(frozen=True, slots=True)
class PlanOverride:
    """From now on a customer has other terms; ``None``: those of the plan that each request names."""

    customer: str
    plan: Plan | None = None


@dataclass(frozen=True, slots=True)
class SuspendAdmission:
    """While on, new requests are refused at once: their use could not be accounted for."""

    enabled: bool


@dataclass(frozen=True, slots=True)
class ShuttingDown:
    """This gatekeeper stops: what it still holds is to get its answer now."""


Event = (
    Request
    | ResponseStarted
    | AttemptEnded
    | ClientGone
    | TimerExpired
    | ProbeResult
    | CounterReply
    | PeerMessage
    | BackendList
    | PlanOverride
    | SuspendAdmission
    | ShuttingDown
)
Action = (
    StartAttempt
    | CancelAttempt
    | RejectRequest
    | FailRequest
    | SetTimer
    | ProbeBackend
    | CloseIdleConnections
    | AddToCounter
    | SendToPeer
    | WatchBackends
    | FetchBackendList
    | WriteLog
)
