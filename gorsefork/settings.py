"""The settings object that an instance is given, in the module's terms. Both hosts read it here."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, cast

from gorsefork.decisions import interface as i

NS = 1_000_000_000


def to_settings(raw: Mapping[str, Any]) -> i.Settings:
    """Translate the settings object, whose times are in nanoseconds."""
    limits, guards, family = raw.get("limits", {}), raw.get("invariants", {}), raw.get("familyInfo", {})
    classes = [
        i.RequestClass(
            c["name"],
            c["aim"] / NS,
            c["deadline"] / NS,
            float(c.get("worth", 1.0)),
            float(c.get("lateWorth", 0.0)),
            float(c.get("aimStretch", 0.0)),
            cast(i.Effect, c.get("effect", "repeatable")),
            cast(i.Scope, c.get("keyScope", "all")),
            c.get("window", 0) / NS,
            bool(c.get("stream", False)),
        )
        for c in raw["classes"]
    ]
    plans = [
        i.Plan(
            p["name"],
            float(p.get("rate", 0.0)),
            float(p.get("depth", 0.0)),
            int(p.get("parallel", 0)),
            float(p.get("price", 1.0)),
            float(p.get("overWorth", 0.0)),
            float(p.get("beyondCosts", 0.0)),
            float(p.get("capRate", 0.0)),
            float(p.get("neverOverDepth", 0.0)),
            float(p.get("tolerance", 0.0)),
        )
        for p in raw.get("tiersOfService", [])
    ]
    return i.Settings(
        classes=classes,
        plans=plans,
        own_index=int(raw.get("me", 0)),
        ingresses=int(raw["balancers"]),
        zone=int(raw.get("zone", 0)),
        time_step=raw.get("step", 1_000_000) / NS,
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
            limits.get("maxRetryAfter", 0) / NS,
            bool(limits.get("peerMessages", False)),
            float(family.get("mailPerS", 0.0)),
            limits.get("connectTimeout", 250_000_000) / NS,
            limits.get("keepalive", 15 * NS) / NS,
        ),
        safety_limits=i.SafetyLimits(
            guards.get("graceToAnswer", 0) / NS,
            guards.get("drainGrace", 0) / NS,
            float(guards.get("coldShare", 1.0)),
            guards.get("rampTime", 0) / NS,
            float(guards.get("fallMultiple", 1.0)),
            guards.get("overloadFor", NS) / NS,
            guards.get("askWithin", 10 * NS) / NS,
        ),
        accounting=i.Accounting(
            bool(family.get("sharedCounter", False)),
            float(family.get("counterPrice", 0.0)),
            family.get("countWait", 50_000_000) / NS,
            family.get("usePeriod", 0) / NS,
            bool(family.get("settles", False)),
            float(family.get("maxUnits", 1.0)),
        ),
    )
