"""Settings, input events and output actions of the decision engine.

All times are seconds (float) on one clock that only advances. Backends, requests and customers are identified
by opaque strings. The caller creates one ``rules.DecisionEngine`` for each ingress process, passes it the
events in their order of arrival and carries out the returned actions in order.
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
    """A class of requests: the worth of an answer, its target latency and whether it may be repeated."""

    name: str
    aim: float
    deadline: float
    worth: float = 1.0
    late_worth: float = 0.0
    aim_stretch: float = 0.0  # multiple of the class's mean latency that is added to the aim
    effect: Effect = "repeatable"
    scope: Scope = "all"
    window: float = 0.0  # seconds within which a request of effect by_key may be repeated
    stream: bool = False


@dataclass(frozen=True, slots=True)
class Plan:
    """The quota that a plan gives each of its customers, and its hard ceiling (0 if it has none).

    ``series`` is up to 16 characters that become part of the names of the plan's counts. A plan that starts
    counting afresh gets a new series: each ingress carries over its usage under the previous series itself,
    so the old counts must not be read again.
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
    """The attempts, connections, probes and peer messages that the site permits."""

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
        """Return the longest Retry-After value that may be sent, in seconds; 0 if the site permits none."""
        return self.max_retry_after if self.retry_after else 0.0


@dataclass(frozen=True, slots=True)
class SafetyLimits:
    """Parameters of the rules on deadlines, draining, slow start and overload."""

    answer_slack: float = 0.0
    drain_grace: float = 0.0
    cold_share: float = 1.0  # capacity share at the beginning of slow start
    ramp: float = 0.0  # seconds of slow start
    fall_multiple: float = 1.0
    fall_window: float = 1.0
    ask_within: float = 10.0


@dataclass(frozen=True, slots=True)
class Accounting:
    """How the ingresses learn of each other's quota usage."""

    counter: bool = False
    counter_price: float = 0.0
    counter_timeout: float = 0.05
    meter_period: float = 0.0
    settles_usage: bool = False
    max_units: float = 1.0


@dataclass(frozen=True, slots=True)
class Settings:
    """The complete configuration of a decision engine."""

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
    """Raise ``ValueError`` with the name of the first setting that is out of range."""
    limits, safety_limits, accounting = settings.limits, settings.safety_limits, settings.accounting
    is_valid = {
        "classes": len(settings.classes) > 0,
        "gatekeepers": settings.ingresses >= 1,
        "step": settings.time_step > 0,
        "limits.max_attempts": limits.max_attempts >= 1,
    }
    for section, names in (
        (limits, ("connect_timeout", "keepalive", "max_retry_after")),
        (safety_limits, ("drain_grace", "cold_share", "ramp", "fall_multiple", "fall_window")),
        (accounting, ("counter_timeout", "max_units")),
    ):
        for name in names:
            is_valid[name] = 0 <= getattr(section, name) < math.inf
    for request_class in settings.classes:
        is_valid[f"classes.{request_class.name}.name"] = isinstance(request_class.name, str)
        is_valid[f"classes.{request_class.name}.aim"] = 0 < request_class.aim < math.inf
        is_valid[f"classes.{request_class.name}.effect"] = request_class.effect in get_args(Effect)
        is_valid[f"classes.{request_class.name}.scope"] = request_class.scope in get_args(Scope)
        for name in ("deadline", "worth", "window", "aim_stretch"):
            is_valid[f"classes.{request_class.name}.{name}"] = 0 <= getattr(request_class, name) < math.inf
    for plan in settings.plans:
        for name in ("rate", "burst", "parallel", "price", "ceiling_rate", "ceiling_burst", "ceiling_slack"):
            is_valid[f"plans.{plan.name}.{name}"] = 0 <= getattr(plan, name) < math.inf
        is_valid[f"plans.{plan.name}.name"] = isinstance(plan.name, str)
    for name, valid in is_valid.items():
        if not valid:
            raise ValueError(f"setting {name} is out of range or of the wrong type")


@dataclass(frozen=True, slots=True)
class BackendEntry:
    """One backend in a backend list. ``started`` is its start time; 0 means long ago."""

    backend: str
    state: State = "ready"
    started: float = 0.0
    kind: int = 0
    zone: int = 0
    cell: int = 0
    weight: float = 1.0


@dataclass(frozen=True, slots=True)
class BackendList:
    """A backend list update: the complete list (full, cached), changes to it (delta), or a failed call."""

    kind: ListKind
    entries: Sequence[BackendEntry] = ()
    version: int = 0


@dataclass(frozen=True, slots=True)
class Request:
    """A client's request.

    ``time_left`` is how long the client still waits. ``ingress_count`` is the number of ingresses that the
    customer uses, beginning at ``first_ingress``.
    """

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
    plan_override: Plan | None = None  # replaces the plan for this customer; has the name of a plan


@dataclass(frozen=True, slots=True)
class ResponseStarted:
    """The response to a streamed request has started."""

    id: str
    attempt: int
    backend: str
    latency: float = 0.0


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """The result of an attempt.

    ``request_done`` says that the request is finished. ``used`` is 1 + the meter's reading in per cent, or 0
    without a reading.
    """

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
    """The client has disconnected or no longer waits for the answer."""

    id: str


@dataclass(frozen=True, slots=True)
class TimerExpired:
    """A timer requested by ``SetTimer`` has expired."""

    token: str


@dataclass(frozen=True, slots=True)
class ProbeResult:
    """The result of a backend probe, with the load that the backend reported."""

    backend: str
    status: Status
    latency: float = 0.0
    load: Mapping[str, float] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class CounterReply:
    """The reply to one ``AddToCounter`` call. Calls on the same name are answered in the order of sending."""

    name: str
    status: Status
    total: float = 0.0
    latency: float = 0.0


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """A short message received from another ingress."""

    sender: int
    data: bytes


@dataclass(frozen=True, slots=True)
class StartAttempt:
    """Start an attempt at a backend.

    A ``timeout`` of 0 lets it run until the client gives up. The attempt must be sent before
    ``start_before``: connecting may take a while, and a request repeated after its window counts as a new
    one.
    """

    id: str
    backend: str
    timeout: float = 0.0
    start_before: float = math.inf


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Stop waiting for the result of an attempt."""

    id: str
    attempt: int


@dataclass(frozen=True, slots=True)
class RejectRequest:
    """Answer the client finally: the request was rejected, and retrying it is safe."""

    id: str
    retry_after: float = 0.0


@dataclass(frozen=True, slots=True)
class FailRequest:
    """Answer the client finally: the request failed, and it may or may not have been executed."""

    id: str


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Ask for a ``TimerExpired`` event after ``delay``.

    The caller may drop the timer once the request named in ``request`` is finished.
    """

    token: str
    delay: float
    request: str = ""


@dataclass(frozen=True, slots=True)
class ProbeBackend:
    """Send a health probe to a backend."""

    backend: str


@dataclass(frozen=True, slots=True)
class CloseIdleConnections:
    """Close the idle connections to a backend."""

    backend: str


@dataclass(frozen=True, slots=True)
class AddToCounter:
    """Add ``amount`` to a shared count that expires ``ttl`` after its first call."""

    name: str
    amount: float
    ttl: float


@dataclass(frozen=True, slots=True)
class SendToPeer:
    """Send a message to one peer, or to all peers if ``peer`` is ``None``."""

    peer: int | None
    data: bytes


@dataclass(frozen=True, slots=True)
class WatchBackends:
    """Subscribe to changes of the backend list, or end the subscription."""

    enabled: bool


@dataclass(frozen=True, slots=True)
class FetchBackendList:
    """Fetch the complete backend list once."""


@dataclass(frozen=True, slots=True)
class WriteLog:
    """Write a log line for the operators."""

    text: str


@dataclass(frozen=True, slots=True)
class PlanOverride:
    """Replace a customer's plan from now on; ``None`` restores the plan that each request names."""

    customer: str
    plan: Plan | None = None


@dataclass(frozen=True, slots=True)
class SuspendAdmission:
    """While enabled, new requests are rejected at once because their usage could not be accounted for."""

    enabled: bool


@dataclass(frozen=True, slots=True)
class ShuttingDown:
    """This ingress is stopping; requests that it still holds must be answered now."""


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
