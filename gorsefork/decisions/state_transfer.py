"""What a gatekeeper hands to the one that takes its place, while it finishes what it has taken.

Nothing is decided here. One thing is kept to: what a customer may still spend is at one of the two, never at
both. The old one keeps what its waiting tries ask for and a little, and gains nothing more
(``AccountState.handed_over``); the new one has the rest and gains from there. All values are plain ones that
JSON can
carry; times are the module's.
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
    "sends_per_backend_s",
    "median_latency_ratio",
    "median_error_rate",
    "mean_latency",
)
CAPACITY_FIELDS = ("mean_aim", "answer_rate", "peak_answer_rate", "target_open", "strain")
QUOTA_FIELDS = ("started_at", "failed_calls", "call_rate", "rate_before_failure", "rate_cut_at")
ENGINE_FIELDS = ("premium_threshold", "retry_budget")
# of a customer's room: requests whose heads were half read are still to come to the old one
RETAINED_SHARE = 0.1
SERIAL_GAP = 1 << 20  # far beyond the asks that the old one may still number


def attribute_values(thing: object, names: tuple[str, ...]) -> list[Any]:
    return [getattr(thing, name) for name in names]


def set_attributes(thing: object, names: tuple[str, ...], values: list[Any]) -> None:
    for name, value in zip(names, values, strict=True):
        kind = type(getattr(thing, name))
        if not isinstance(value, int | float):
            raise ValueError(f"{name} is no number")
        setattr(thing, name, kind(value))


def export_state(gate: DecisionEngine) -> dict[str, Any]:
    """All that the next one is to go on with. From here on this one only finishes what it holds."""
    places = {plan.name: place for place, plan in enumerate(gate.settings.plans)}
    accounts = []
    for account in gate.quota.accounts.values():
        if not account.has_plan_override and account.plan.name in places:
            accounts.append(export_account(account, places[account.plan.name]))
    gate.quota.handed_over = True
    return {
        "servers": {name: attribute_values(s, BACKEND_FIELDS) for name, s in gate.selector.backends.items()},
        "fleet": attribute_values(gate.selector, SELECTOR_FIELDS),
        "capacity": attribute_values(gate.capacity, CAPACITY_FIELDS),
        "service": [list(gate.selector.latency_by_class[n]) for n in range(len(gate.settings.classes))],
        "quota": attribute_values(gate.quota, QUOTA_FIELDS),
        "own": attribute_values(gate, ENGINE_FIELDS),
        "serial": gate.quota.serial,
        "share": gate.quota.confirmed_share,
        "accounts": accounts,
    }


def export_account(account: QuotaAccount, plan: int) -> dict[str, Any]:
    waiting = account.waiting.units
    kept = min(account.ceiling, waiting + RETAINED_SHARE * account.ceiling)
    mine = max(0.0, min(account.mine, waiting + RETAINED_SHARE * account.mine))
    called = (
        account.current_call[1]
        if account.call_in_flight and account.current_call[0] == account.epoch
        else 0.0
    )
    given = {
        "tag": account.tag,
        "plan": plan,
        "spread": account.ingress_count,
        "place": account.ingress_rank,
        "values": attribute_values(account, ACCOUNT_FIELDS),
        "ceiling": account.ceiling - kept,
        "mine": account.mine - mine,
        "pending": account.pending,
        "seen": account.seen + called,
        "leases": list(account.leases),
        "keeper": account.owner,
    }
    account.ceiling, account.mine, account.pending, account.handed_over = kept, mine, 0.0, True
    return given


def import_state(gate: DecisionEngine, given: Mapping[str, Any], now: float) -> None:
    """Go on from there. ``ValueError``, ``KeyError`` or ``TypeError`` where it can't be read; ``gate`` may
    then hold a part of it, each value sound by itself."""
    for name, values in given["servers"].items():
        if (server := gate.selector.backends.get(str(name))) is not None:
            cold = server.slow_start_from  # the list may have told of a later start
            set_attributes(server, BACKEND_FIELDS, values)
            server.slow_start_from = max(server.slow_start_from, cold)
    set_attributes(gate.selector, SELECTOR_FIELDS, given["fleet"])
    set_attributes(gate.capacity, CAPACITY_FIELDS, given["capacity"])
    set_attributes(gate.quota, QUOTA_FIELDS, given["quota"])
    set_attributes(gate, ENGINE_FIELDS, given["own"])
    gate.quota.serial = int(given["serial"]) + SERIAL_GAP
    for number, (mean, deviation) in enumerate(given["service"]):
        if number in gate.selector.latency_by_class:
            gate.selector.latency_by_class[number] = (float(mean), float(deviation))
    for name, share in given["share"].items():
        if name in gate.quota.confirmed_share:
            gate.quota.confirmed_share[name] = float(share)
    gate.started = True
    gate.selector.update_candidate_count(now)
    for each in given["accounts"]:
        import_account(gate, each, now)


def import_account(gate: DecisionEngine, given: Mapping[str, Any], now: float) -> None:
    settings, tag = gate.settings, str(given["tag"])
    if len(tag) != 16 or not 0 <= int(given["plan"]) < len(settings.plans) or int(given["spread"]) < 1:
        raise ValueError("an account makes no sense")
    int(tag, 16)
    first = (settings.own_index - int(given["place"])) % settings.ingresses
    account = QuotaAccount(
        tag, int(given["spread"]), first, settings, settings.plans[int(given["plan"])], now
    )
    set_attributes(account, ACCOUNT_FIELDS, given["values"])
    names = ("ceiling", "mine", "pending", "seen")
    set_attributes(account, names, [given[name] for name in names])
    account.leases.extend(float(lease) for lease in given["leases"])
    account.owner = None if given["keeper"] is None else int(given["keeper"])
    gate.quota.accounts[tag] = account
