"""``gorsefork plans``: see and change which contract customers are on."""

from __future__ import annotations

import getpass
from typing import Any

import click

from gorsefork.cli.control import (
    Customer,
    Failed,
    Targets,
    When,
    new_key,
    path_of,
    reaches,
    show,
    targets,
    when,
)

LEAD = "+2s"  # until a change takes effect, unless said otherwise: time for it to reach every ingress
MOST_SHOWN = 8  # peers of one ingress, in a table
CUSTOMER, TIME = Customer(), When()


@click.group()
def plans() -> None:
    """The plan book: contracts, reservations, their history, and changes to them."""


def authored(command: Any) -> Any:
    command = click.option("--note", default="", help="Why, in 200 characters at most.")(command)
    command = click.option("--key", default=None, help="Repeat a call under its key: it is one change.")(
        command
    )
    return click.option("--author", default=getpass.getuser, show_default="you", help="Who asks.")(command)


def make(at: Targets, act: dict[str, Any], author: str, note: str, key: str | None, as_json: bool) -> None:
    """Made at the first ingress, and given to the others as it stands; says which have it."""
    wanted = {"act": act, "author": author, "note": note}
    made = at.ask("POST", "/v1/changes", body=wanted, key=key or new_key())
    have: list[dict[str, Any]] = [{"ingress": at.dials[0], "has_it": True, "problem": ""}]
    for dial in at.dials[1:]:
        try:
            at.ask("PUT", path_of(made["number"]), body=made["change"], dial=dial)
        except Failed as failed:
            have.append({"ingress": dial, "has_it": False, "problem": failed.message})
        else:
            have.append({"ingress": dial, "has_it": True, "problem": ""})
    show(
        {"number": made["number"], "change": made["change"], "ingresses": have},
        as_json,
        [[made["number"], row["ingress"], "yes" if row["has_it"] else "NO", row["problem"]] for row in have],
        ["number", "ingress", "has it", "problem"],
    )
    if lacking := [row["ingress"] for row in have if not row["has_it"]]:
        raise Failed(
            f"change {made['number']} is not at {', '.join(lacking)}: repeat the command with "
            "--key, or let them catch up"
        )


def summary(change: dict[str, Any] | None) -> str:
    if change is None:
        return "-"
    act = change["act"]
    if act["do"] == "set":
        return f"{act['plan']}" + (f" until {when(act['until'])}" if act.get("until") else "")
    if act["do"] == "reserve":
        return f"+{act['rate']:g}/s, +{act['burst']:g} until {when(act['ends'])}"
    if act["do"] == "cancel":
        return f"cancels {act['number']}"
    return f"rolls back to {act['to']}"


@plans.command("list")
@click.option("--at", type=TIME, default=None, help="As it is at that time; now if not given.")
@reaches
def list_(at: int | None, dials: tuple[str, ...], key_file: str | None, as_json: bool) -> None:
    """The customers that the book names, and what holds for them."""
    query = {"at": at} if at else {}
    rows = targets(dials, key_file).pages("/v1/plans", query, "customers", lambda row: str(row["customer"]))
    show(
        rows,
        as_json,
        [
            [
                row["customer"],
                summary(row["entry"]),
                "; ".join(map(summary, row["reservations"])) or "-",
                when(row["since"]),
            ]
            for row in rows
        ],
        ["customer", "plan", "reserved", "since"],
    )


@plans.command("show")
@click.argument("customer", type=CUSTOMER)
@click.option("--at", type=TIME, default=None, help="As it is at that time; now if not given.")
@reaches
def show_(customer: str, at: int | None, dials: tuple[str, ...], key_file: str | None, as_json: bool) -> None:
    """What holds for one customer, at each ingress that is named."""
    reach, answers = targets(dials, key_file), []
    for dial in reach.dials:
        answers.append(
            {
                "ingress": dial,
                **reach.ask("GET", f"/v1/plans/{customer}", {"at": at} if at else None, dial=dial),
            }
        )
    show(
        answers,
        as_json,
        [
            [
                row["ingress"],
                summary(row["entry"]),
                "; ".join(map(summary, row["reservations"])) or "-",
                when(row["since"]),
                when(row["next"]),
            ]
            for row in answers
        ],
        ["ingress", "plan", "reserved", "since", "next change"],
    )


@plans.command()
@click.argument("customer", type=CUSTOMER, required=False)
@reaches
def history(customer: str | None, dials: tuple[str, ...], key_file: str | None, as_json: bool) -> None:
    """All changes, or those of one customer, in their order."""
    query = {"customer": customer} if customer else {}
    rows = targets(dials, key_file).pages("/v1/changes", query, "changes", lambda row: str(row["number"]))
    show(
        rows,
        as_json,
        [
            [
                row["number"],
                row["act"].get("customer") or "all",
                summary(row),
                when(starts(row["act"])),
                row["author"],
                row["note"],
            ]
            for row in rows
        ],
        ["number", "customer", "change", "from", "author", "note"],
    )


def starts(act: dict[str, Any]) -> int:
    return int(act.get("effective") or act.get("starts") or 0)


@plans.command("set")
@click.argument("customer", type=CUSTOMER)
@click.argument("plan")
@click.option("--from", "effective", type=TIME, default=LEAD, show_default=True)
@click.option("--until", type=TIME, default=0, help="Open if not given.")
@authored
@reaches
def set_(
    customer: str,
    plan: str,
    effective: int,
    until: int,
    author: str,
    note: str,
    key: str | None,
    dials: tuple[str, ...],
    key_file: str | None,
    as_json: bool,
) -> None:
    """Put a customer on a plan."""
    act = {"do": "set", "customer": customer, "plan": plan, "effective": effective, "until": until}
    make(targets(dials, key_file), act, author, note, key, as_json)


@plans.command()
@click.argument("customer", type=CUSTOMER)
@click.option("--rate", type=float, required=True, help="Units a second more.")
@click.option("--burst", type=float, required=True, help="Units at once more.")
@click.option("--from", "starts", type=TIME, required=True)
@click.option("--until", "ends", type=TIME, required=True)
@authored
@reaches
def reserve(
    customer: str,
    rate: float,
    burst: float,
    starts: int,
    ends: int,
    author: str,
    note: str,
    key: str | None,
    dials: tuple[str, ...],
    key_file: str | None,
    as_json: bool,
) -> None:
    """Reserve allowance for a time, on top of a customer's plan."""
    act = {
        "do": "reserve",
        "customer": customer,
        "rate": rate,
        "burst": burst,
        "starts": starts,
        "ends": ends,
    }
    make(targets(dials, key_file), act, author, note, key, as_json)


@plans.command()
@click.argument("number")
@click.option("--from", "effective", type=TIME, default=LEAD, show_default=True)
@authored
@reaches
def cancel(
    number: str,
    effective: int,
    author: str,
    note: str,
    key: str | None,
    dials: tuple[str, ...],
    key_file: str | None,
    as_json: bool,
) -> None:
    """End one entry or reservation, by its number."""
    reach = targets(dials, key_file)
    found = reach.ask("GET", path_of(number))
    act = {
        "do": "cancel",
        "customer": found["act"]["customer"],
        "number": number,
        "effective": effective,
    }
    make(reach, act, author, note, key, as_json)


@plans.command()
@click.argument("number")
@click.option("--customer", type=CUSTOMER, default=None, help="Of one customer only.")
@click.option("--from", "effective", type=TIME, default=LEAD, show_default=True)
@authored
@reaches
def rollback(
    number: str,
    customer: str | None,
    effective: int,
    author: str,
    note: str,
    key: str | None,
    dials: tuple[str, ...],
    key_file: str | None,
    as_json: bool,
) -> None:
    """Undo all that came after a change; that is a change too, and can be rolled back."""
    act = {"do": "rollback", "to": number, "effective": effective, "customer": customer}
    make(targets(dials, key_file), act, author, note, key, as_json)


@plans.command()
@click.argument("since")
@click.argument("to", default="")
@click.option("--at", type=TIME, default=None, help="What differs at that time; now if not given.")
@reaches
def diff(
    since: str, to: str, at: int | None, dials: tuple[str, ...], key_file: str | None, as_json: bool
) -> None:
    """For whom the book says something else after one change than after another, or now."""
    query = {"from": since, "to": to, **({"at": at} if at else {})}
    rows = targets(dials, key_file).ask("GET", "/v1/diff", query)["customers"]
    show(
        rows,
        as_json,
        [
            [
                row["customer"],
                summary(row["before"]["entry"]),
                summary(row["after"]["entry"]),
                len(row["before"]["reservations"]),
                len(row["after"]["reservations"]),
            ]
            for row in rows
        ],
        ["customer", "before", "after", "reserved before", "after"],
    )


@plans.command()
@reaches
def status(dials: tuple[str, ...], key_file: str | None, as_json: bool) -> None:
    """Which book each ingress has, and what it knows of its peers."""
    reach, answers = targets(dials, key_file), []
    for dial in reach.dials:
        answers.append({"control": dial, **reach.ask("GET", "/v1/status", dial=dial)})
    show(
        answers,
        as_json,
        [
            [
                row["ingress"],
                row["control"],
                row["book"]["changes"],
                row["book"]["newest"] or "-",
                "yes" if row["book"]["kept_on_disk"] else "no",
                peers_summary(row["peers"] if "peers" in row else row["fellows"]),
            ]
            for row in answers
        ],
        ["ingress", "control", "changes", "newest", "on disk", "peers"],
    )
    if len({row["book"]["digest"] for row in answers}) > 1:
        raise Failed("the books differ")


def peers_summary(peers: list[dict[str, Any]]) -> str:
    """Each peer and its state; of many only how many there are, and some of those that are not current."""
    if len(peers) > MOST_SHOWN:
        others = [peer for peer in peers if peer["state"] != "current"]
        current = f"{len(peers) - len(others)} of {len(peers)} current"
        return "; ".join([current, *map(peer_state, others[:MOST_SHOWN])])
    return ", ".join(map(peer_state, peers)) or "-"


def peer_state(peer: dict[str, Any]) -> str:
    """``fellow`` is the key by which ingresses of the previous version name a peer."""
    name = peer["peer"] if "peer" in peer else peer["fellow"]
    return f"{name} {peer['state']}"
