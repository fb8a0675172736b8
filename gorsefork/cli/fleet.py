"""``gorsefork fleet``: who is there, as each ingress sees it."""

from __future__ import annotations

import json
from datetime import UTC, datetime
from typing import Any

import click

from gorsefork.cli.control import SECOND, Failed, Targets, reaches, show, targets

WAIT_MS = 4000  # that a question for events stands open at the ingress


@click.group()
def fleet() -> None:
    """The fleet's own view: who is there, and whether all agree."""


@fleet.command()
@reaches
def status(dials: tuple[str, ...], key_file: str | None, as_json: bool) -> None:
    """Settled or not, since when, what is missing, and how much of the fleet is seen; for each --control."""
    reach, answers = targets(dials, key_file), []
    for dial in reach.dials:
        answers.append({"control": dial, **reach.ask("GET", "/v1/fleet", dial=dial)})
    rows = [
        [
            row["control"],
            row["member"],
            row["part"],
            "yes" if row["settled"] else "no",
            f"{row['changed_s_ago']} s ago",
            row["digest"],
            " ".join(f"{count} {state}" for state, count in sorted(row["states"].items())),
            "; ".join(row["lacking"]) or "-",
        ]
        for row in answers
    ]
    headers = ["ingress", "member", "sees", "settled", "changed", "digest", "members", "lacks"]
    show(answers, as_json, rows, headers)


@fleet.command()
@reaches
def members(dials: tuple[str, ...], key_file: str | None, as_json: bool) -> None:
    """All members that the first --control knows, and who told of each."""
    told = targets(dials, key_file).ask("GET", "/v1/fleet/members")
    rows = [
        [
            row["member"],
            row["state"],
            f"{row['since_s']} s",
            row["by"],
            "-" if row["heard_s_ago"] is None else f"{row['heard_s_ago']} s ago",
            row["life"],
            row["incarnation"],
            row["dial"],
            row["control"] or "-",
            row["zone"] or "-",
        ]
        for row in told["members"]
    ]
    show(
        told,
        as_json,
        rows,
        ["member", "state", "for", "told by", "heard", "life", "incarnation", "address", "control", "zone"],
    )


@fleet.command()
@click.option("--most", type=click.IntRange(min=1), default=None, help="End after so many events.")
@click.option("--all", "from_start", is_flag=True, help="Begin with the events that the ingress still has.")
@reaches
def watch(
    most: int | None, from_start: bool, dials: tuple[str, ...], key_file: str | None, as_json: bool
) -> None:
    """Each change of a member's state, as the first --control sees it, until interrupted."""
    reach, shown = targets(dials, key_file), 0
    after = 0 if from_start else reach.ask("GET", "/v1/fleet/watch", {"after": 0})["newest"]
    while True:
        told = reach.ask("GET", "/v1/fleet/watch", {"after": after, "wait_ms": WAIT_MS})
        if told["newest"] < after:  # the ingress has started anew: its events are numbered from 1
            after = 0
            continue
        if told["lost"]:
            click.echo(f"{told['lost']} events are kept no longer", err=True)
        for event in told["events"]:
            click.echo(line(event, as_json))
            shown += 1
            if shown == most:
                return
        after = told["newest"]


def line(event: dict[str, Any], as_json: bool) -> str:
    if as_json:
        return json.dumps(event)
    at = datetime.fromtimestamp(event["at"] / SECOND, UTC).strftime("%H:%M:%S.%f")[:-3]
    return f"{at}  {event['kind']:<12} {event['name']:<16} told by {event['by']:<16} {event['text']}"


@fleet.command()
@click.argument("member")
@reaches
def forget(member: str, dials: tuple[str, ...], key_file: str | None, as_json: bool) -> None:
    """Call MEMBER's life over, for all: only one that is unreachable, and that you know will not return.

    If it does return, it goes on as a new life.
    """
    told = targets(dials, key_file).ask("POST", "/v1/fleet/forget", body={"member": member})
    rows = [[row["member"], row["state"]] for row in told["members"]]
    show(told, as_json, rows, ["member", "state"])


@fleet.command("set")
@click.option("--period-ms", type=int, default=None, help="Between two probes of one ingress.")
@click.option("--timeout-ms", type=int, default=None, help="After which others are asked to probe too.")
@click.option("--quiet-ms", type=int, default=None, help="Without news before a view is settled.")
@click.option("--keep-s", type=int, default=None, help="How long one that is unreachable stays a member.")
@click.option("--mend", type=int, default=None, help="Datagrams a period for exchanges of digests.")
@click.option("--note-room", type=int, default=None, help="Bytes of a datagram for other subsystems' facts.")
@click.option("--repeats", type=int, default=None, help="How often news is sent on, times log2 of the fleet.")
@reaches
def set_(dials: tuple[str, ...], key_file: str | None, as_json: bool, **given: int | None) -> None:
    """Change settings in service, at each --control. They outlive a restart where there is a state folder."""
    wanted = {name: value for name, value in given.items() if value is not None}
    if not wanted:
        raise click.UsageError("name a setting, such as --period-ms 500")
    reach, rows, answers, failed = targets(dials, key_file), [], [], []
    for dial in reach.dials:
        told, problem = put(reach, dial, wanted)
        answers.append({"control": dial, "pace": told, "problem": problem})
        rows.append([dial, " ".join(f"{k}={v}" for k, v in told.items()) or "-", problem or "-"])
        failed += [dial] if problem else []
    show(answers, as_json, rows, ["ingress", "settings", "problem"])
    if failed:
        raise Failed(f"not changed at {', '.join(failed)}")


def put(reach: Targets, dial: str, wanted: dict[str, int]) -> tuple[dict[str, int], str]:
    try:
        pace: dict[str, int] = reach.ask("PUT", "/v1/fleet/settings", body=wanted, dial=dial)["pace"]
    except Failed as failed:
        return {}, failed.message
    return pace, ""


@fleet.command("order")
@click.argument("key")
@reaches
def order_(key: str, dials: tuple[str, ...], key_file: str | None, as_json: bool) -> None:
    """The members that are seen, best first for KEY: the same at all that agree on the view."""
    told = targets(dials, key_file).ask("GET", "/v1/fleet/order", {"key": key})
    rows = [[place + 1, name] for place, name in enumerate(told["members"])]
    show(told, as_json, rows, ["place", "member"])
