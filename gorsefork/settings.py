"""Converts the JSON settings object of an instance, for the simulator host and for the ingress."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, cast

from gorsefork.decisions import interface as i

NS_PER_S = 1_000_000_000


def to_settings(raw: Mapping[str, Any]) -> i.Settings:
    """Convert the settings object, whose times are in nanoseconds, to settings in seconds.

    Unknown keys are ignored. Raises KeyError, TypeError, AttributeError or ValueError for a missing or
    malformed value. The ranges of the values are checked by the decision engine.
    """
    limits, invariants, family_info = (
        raw.get("limits", {}),
        raw.get("invariants", {}),
        raw.get("familyInfo", {}),
    )
    classes = [
        i.RequestClass(
            raw_class["name"],
            raw_class["aim"] / NS_PER_S,
            raw_class["deadline"] / NS_PER_S,
            float(raw_class.get("worth", 1.0)),
            float(raw_class.get("lateWorth", 0.0)),
            float(raw_class.get("aimStretch", 0.0)),
            cast(i.Effect, raw_class.get("effect", "repeatable")),
            cast(i.Scope, raw_class.get("keyScope", "all")),
            raw_class.get("window", 0) / NS_PER_S,
            bool(raw_class.get("stream", False)),
        )
        for raw_class in raw["classes"]
    ]
    plans = [
        i.Plan(
            raw_plan["name"],
            float(raw_plan.get("rate", 0.0)),
            float(raw_plan.get("depth", 0.0)),
            int(raw_plan.get("parallel", 0)),
            float(raw_plan.get("price", 1.0)),
            float(raw_plan.get("overWorth", 0.0)),
            float(raw_plan.get("beyondCosts", 0.0)),
            float(raw_plan.get("capRate", 0.0)),
            float(raw_plan.get("neverOverDepth", 0.0)),
            float(raw_plan.get("tolerance", 0.0)),
        )
        for raw_plan in raw.get("tiersOfService", [])
    ]
    return i.Settings(
        classes=classes,
        plans=plans,
        own_index=int(raw.get("me", 0)),
        ingresses=int(raw["balancers"]),
        zone=int(raw.get("zone", 0)),
        time_step=raw.get("step", 1_000_000) / NS_PER_S,
        subscribe=raw.get("registryMode", "automatic") == "subscribe",
        weights=raw.get("weights", "off"),
        cross_zone_price=float(raw.get("tariffs", {}).get("crossZone", 0.0)),
        limits=i.Limits(
            int(limits.get("maxAttempts", 1)),
            int(limits.get("maxOpen", 20000)),
            bool(limits.get("secondCopies", False)),
            bool(limits.get("cancel", False)),
            bool(limits.get("probes", False)),
            bool(limits.get("retryAfter", False)),
            limits.get("maxRetryAfter", 0) / NS_PER_S,
            bool(limits.get("peerMessages", False)),
            float(family_info.get("mailPerS", 0.0)),
            limits.get("connectTimeout", 250_000_000) / NS_PER_S,
            limits.get("keepalive", 15 * NS_PER_S) / NS_PER_S,
        ),
        safety_limits=i.SafetyLimits(
            invariants.get("graceToAnswer", 0) / NS_PER_S,
            invariants.get("drainGrace", 0) / NS_PER_S,
            float(invariants.get("coldShare", 1.0)),
            invariants.get("rampTime", 0) / NS_PER_S,
            float(invariants.get("fallMultiple", 1.0)),
            invariants.get("overloadFor", NS_PER_S) / NS_PER_S,
            invariants.get("askWithin", 10 * NS_PER_S) / NS_PER_S,
        ),
        accounting=i.Accounting(
            bool(family_info.get("sharedCounter", False)),
            float(family_info.get("counterPrice", 0.0)),
            family_info.get("countWait", 50_000_000) / NS_PER_S,
            family_info.get("usePeriod", 0) / NS_PER_S,
            bool(family_info.get("settles", False)),
            float(family_info.get("maxUnits", 1.0)),
        ),
    )
