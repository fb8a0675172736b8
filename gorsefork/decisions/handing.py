"""What a gatekeeper hands to the one that takes its place, while it finishes what it has taken.

Nothing is decided here. One thing is kept to: what a customer may still spend is at one of the two, never at
both. The old one keeps what its waiting tries ask for and a little, and gains nothing more
(``Ledger.handed``); the new one has the rest and gains from there. All values are plain ones that JSON can
carry; times are the module's.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from gorsefork.decisions.rules import Account, Gatekeeper

SERVER = (
    "pace",
    "errors",
    "sampled_at",
    "answered_at",
    "cold_from",
    "filled_at",
    "credit",
    "silent",
    "barred_until",
)
ACCOUNT = (
    "at",
    "level",
    "part",
    "own",
    "others",
    "epoch",
    "read_at",
    "lent_at",
    "short",
    "carried",
    "carried_at",
)
FLEET = ("barred", "carry", "pace", "errors", "work")
CAPACITY = ("aim", "rate", "peak", "target", "strain")
QUOTA = ("started", "misses", "rate", "safe", "cut_at")
OWN = ("cut_off", "budget")
KEPT = 0.1  # of a customer's room: requests whose heads were half read are still to come to the old one
SERIALS = 1 << 20  # far beyond the asks that the old one may still number


def picked(thing: object, names: tuple[str, ...]) -> list[Any]:
    return [getattr(thing, name) for name in names]


def put(thing: object, names: tuple[str, ...], values: list[Any]) -> None:
    for name, value in zip(names, values, strict=True):
        kind = type(getattr(thing, name))
        if not isinstance(value, int | float):
            raise ValueError(f"{name} is no number")
        setattr(thing, name, kind(value))


def hand_over(gate: Gatekeeper) -> dict[str, Any]:
    """All that the next one is to go on with. From here on this one only finishes what it holds."""
    places = {plan.name: place for place, plan in enumerate(gate.settings.plans)}
    accounts = []
    for account in gate.quota.accounts.values():
        if not account.own_terms and account.plan.name in places:
            accounts.append(part_with(account, places[account.plan.name]))
    gate.quota.handed = True
    return {
        "servers": {name: picked(s, SERVER) for name, s in gate.fleet.servers.items()},
        "fleet": picked(gate.fleet, FLEET),
        "capacity": picked(gate.capacity, CAPACITY),
        "service": [list(gate.fleet.service[n]) for n in range(len(gate.settings.classes))],
        "quota": picked(gate.quota, QUOTA),
        "own": picked(gate, OWN),
        "serial": gate.quota.serial,
        "share": gate.quota.share,
        "accounts": accounts,
    }


def part_with(account: Account, plan: int) -> dict[str, Any]:
    waiting = account.waits.units
    kept = min(account.ceiling, waiting + KEPT * account.ceiling)
    mine = max(0.0, min(account.mine, waiting + KEPT * account.mine))
    called = account.call[1] if account.calling and account.call[0] == account.epoch else 0.0
    given = {
        "tag": account.tag,
        "plan": plan,
        "spread": account.spread,
        "place": account.place,
        "values": picked(account, ACCOUNT),
        "ceiling": account.ceiling - kept,
        "mine": account.mine - mine,
        "pending": account.pending,
        "seen": account.seen + called,
        "leases": list(account.leases),
        "keeper": account.keeper,
    }
    account.ceiling, account.mine, account.pending, account.handed = kept, mine, 0.0, True
    return given


def take_over(gate: Gatekeeper, given: Mapping[str, Any], now: float) -> None:
    """Go on from there. ``ValueError``, ``KeyError`` or ``TypeError`` where it can't be read; ``gate`` may
    then hold a part of it, each value sound by itself."""
    for name, values in given["servers"].items():
        if (server := gate.fleet.servers.get(str(name))) is not None:
            cold = server.cold_from  # the list may have told of a later start
            put(server, SERVER, values)
            server.cold_from = max(server.cold_from, cold)
    put(gate.fleet, FLEET, given["fleet"])
    put(gate.capacity, CAPACITY, given["capacity"])
    put(gate.quota, QUOTA, given["quota"])
    put(gate, OWN, given["own"])
    gate.quota.serial = int(given["serial"]) + SERIALS
    for number, (mean, deviation) in enumerate(given["service"]):
        if number in gate.fleet.service:
            gate.fleet.service[number] = (float(mean), float(deviation))
    for name, share in given["share"].items():
        if name in gate.quota.share:
            gate.quota.share[name] = float(share)
    gate.begun = True
    gate.fleet.narrow(now)
    for each in given["accounts"]:
        take_account(gate, each, now)


def take_account(gate: Gatekeeper, given: Mapping[str, Any], now: float) -> None:
    settings, tag = gate.settings, str(given["tag"])
    if len(tag) != 16 or not 0 <= int(given["plan"]) < len(settings.plans) or int(given["spread"]) < 1:
        raise ValueError("an account makes no sense")
    int(tag, 16)
    first = (settings.me - int(given["place"])) % settings.gatekeepers
    account = Account(tag, int(given["spread"]), first, settings, settings.plans[int(given["plan"])], now)
    put(account, ACCOUNT, given["values"])
    names = ("ceiling", "mine", "pending", "seen")
    put(account, names, [given[name] for name in names])
    account.leases.extend(float(lease) for lease in given["leases"])
    account.keeper = None if given["keeper"] is None else int(given["keeper"])
    gate.quota.accounts[tag] = account
