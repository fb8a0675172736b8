"""Transfers the decision engine's state from an ingress process to its successor.

The predecessor finishes the requests that it has accepted. A customer's remaining quota is held by one of the
two processes, never by both: the predecessor keeps the units that its waiting requests need and a small
reserve, and refills no further (``AccountState.handed_over``); the successor gets the rest and refills
from there. All values can be encoded as JSON; times are on the decision engine's clock.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from gorsefork.decisions.rules import DecisionEngine, QuotaAccount

BACKEND_FIELDS = (
    "latency_ratio",
    "error_rate",
    "sampled_at",
    "answered_at",
    "slow_start_from",
    "tokens_filled_at",
    "slow_start_tokens",
    "silent",
    "avoided_until",
)
ACCOUNT_FIELDS = (
    "refilled_at",
    "level",
    "own_share",
    "own_recent_units",
    "others_recent_units",
    "epoch",
    "read_at",
    "overdrawn_at",
    "exhausted_epoch",
    "carried_units",
    "carried_at",
)
SELECTOR_FIELDS = (
    "connect_failure_rate",
    "median_latency_ratio",
    "median_error_rate",
    "mean_latency",
)
CAPACITY_FIELDS = ("mean_aim", "answer_rate", "peak_answer_rate", "target_open", "strain")
QUOTA_FIELDS = ("started_at", "failed_calls", "call_rate", "rate_before_failure", "rate_cut_at")
ENGINE_FIELDS = ("premium_threshold", "retry_budget")
# Share of a customer's quota that the predecessor keeps for requests whose heads it has read only in part.
RETAINED_SHARE = 0.1
# Where earlier versions have a rate of attempts among the selector's values. It stays, and is 0: what may be
# sent to backends in slow start follows from answers alone.
UNUSED_RATE_POSITION = 1
SERIAL_GAP = 1 << 20  # far more than the quota messages that the predecessor may still number


def attribute_values(target: object, names: tuple[str, ...]) -> list[Any]:
    """Return the values of the named attributes, in the order of the names."""
    return [getattr(target, name) for name in names]


def set_attributes(target: object, names: tuple[str, ...], values: list[Any]) -> None:
    """Set the named attributes to numbers, each converted to the type of the attribute's present value.

    Raises ``ValueError`` for a value that is not a number or if the lengths differ.
    """
    for name, value in zip(names, values, strict=True):
        value_type = type(getattr(target, name))
        if not isinstance(value, int | float):
            raise ValueError(f"the value of {name} is not a number")
        setattr(target, name, value_type(value))


def export_state(engine: DecisionEngine) -> dict[str, Any]:
    """Return the state that the successor continues with.

    From this call on, the predecessor only finishes the requests that it holds, and its accounts no
    longer refill.
    """
    plan_indexes = {plan.name: index for index, plan in enumerate(engine.settings.plans)}
    accounts = []
    for account in engine.quota.accounts.values():
        if not account.has_plan_override and account.plan.name in plan_indexes:
            accounts.append(export_account(account, plan_indexes[account.plan.name]))
    engine.quota.handed_over = True
    return {
        "servers": {
            name: attribute_values(backend, BACKEND_FIELDS)
            for name, backend in engine.selector.backends.items()
        },
        "fleet": selector_values(engine),
        "answered_per_backend": engine.selector.slow_start.answered_per_backend.at(engine.now),
        "capacity": attribute_values(engine.capacity, CAPACITY_FIELDS),
        "service": [list(engine.selector.latency_by_class[n]) for n in range(len(engine.settings.classes))],
        "quota": attribute_values(engine.quota, QUOTA_FIELDS),
        "own": attribute_values(engine, ENGINE_FIELDS),
        "serial": engine.quota.serial,
        "share": engine.quota.confirmed_share,
        "accounts": accounts,
    }


def selector_values(engine: DecisionEngine) -> list[Any]:
    values = attribute_values(engine.selector, SELECTOR_FIELDS)
    values.insert(UNUSED_RATE_POSITION, 0.0)
    return values


def export_account(account: QuotaAccount, plan_index: int) -> dict[str, Any]:
    """Split an account: return the successor's part, and leave the retained part in ``account``."""
    waiting_units = account.waiting.units
    kept_ceiling = min(account.ceiling, waiting_units + RETAINED_SHARE * account.ceiling)
    kept_units = max(0.0, min(account.mine, waiting_units + RETAINED_SHARE * account.mine))
    amount_in_flight = (
        account.current_call[1]
        if account.call_in_flight and account.current_call[0] == account.epoch
        else 0.0
    )
    exported = {
        "tag": account.tag,
        "plan": plan_index,
        "spread": account.ingress_count,
        "place": account.ingress_rank,
        "values": attribute_values(account, ACCOUNT_FIELDS),
        "ceiling": account.ceiling - kept_ceiling,
        "mine": account.mine - kept_units,
        "pending": account.pending,
        "seen": account.seen + amount_in_flight,
        "leases": list(account.leases),
        "keeper": account.owner,
    }
    account.ceiling, account.mine, account.pending, account.handed_over = kept_ceiling, kept_units, 0.0, True
    return exported


def import_state(engine: DecisionEngine, exported: Mapping[str, Any], now: float) -> None:
    """Continue from the state that the predecessor exported.

    Raises ``ValueError``, ``KeyError`` or ``TypeError`` for state that is malformed. ``engine`` may then hold
    a part of it, in which each value is valid by itself.
    """
    for name, values in exported["servers"].items():
        if (backend := engine.selector.backends.get(str(name))) is not None:
            listed_slow_start = backend.slow_start_from  # the backend list may have reported a later start
            set_attributes(backend, BACKEND_FIELDS, values)
            backend.slow_start_from = max(backend.slow_start_from, listed_slow_start)
            engine.selector.update_in_slow_start(backend, now)
    selector_values = list(exported["fleet"])
    before, after = selector_values[:UNUSED_RATE_POSITION], selector_values[UNUSED_RATE_POSITION + 1 :]
    set_attributes(engine.selector, SELECTOR_FIELDS, before + after)
    engine.selector.slow_start.answered_per_backend.set(float(exported.get("answered_per_backend", 0.0)), now)
    set_attributes(engine.capacity, CAPACITY_FIELDS, exported["capacity"])
    set_attributes(engine.quota, QUOTA_FIELDS, exported["quota"])
    set_attributes(engine, ENGINE_FIELDS, exported["own"])
    engine.quota.serial = int(exported["serial"]) + SERIAL_GAP
    for class_index, (mean, deviation) in enumerate(exported["service"]):
        if class_index in engine.selector.latency_by_class:
            engine.selector.latency_by_class[class_index] = (float(mean), float(deviation))
    for name, share in exported["share"].items():
        if name in engine.quota.confirmed_share:
            engine.quota.confirmed_share[name] = float(share)
    engine.started = True
    engine.selector.update_candidate_count(now)
    for account_values in exported["accounts"]:
        import_account(engine, account_values, now)


def import_account(engine: DecisionEngine, exported: Mapping[str, Any], now: float) -> None:
    """Add an exported account to the engine; ``ValueError`` if its tag, plan or spread is malformed."""
    settings, tag = engine.settings, str(exported["tag"])
    if len(tag) != 16 or not 0 <= int(exported["plan"]) < len(settings.plans) or int(exported["spread"]) < 1:
        raise ValueError("the quota account has a malformed tag, plan or spread")
    int(tag, 16)
    first_ingress = (settings.own_index - int(exported["place"])) % settings.ingresses
    account = QuotaAccount(
        tag, int(exported["spread"]), first_ingress, settings, settings.plans[int(exported["plan"])], now
    )
    set_attributes(account, ACCOUNT_FIELDS, exported["values"])
    names = ("ceiling", "mine", "pending", "seen")
    set_attributes(account, names, [exported[name] for name in names])
    account.leases.extend(float(lease) for lease in exported["leases"])
    account.owner = None if exported["keeper"] is None else int(exported["keeper"])
    engine.quota.accounts[tag] = account
