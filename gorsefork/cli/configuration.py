"""``gorsefork configuration``: what ingresses hold, and whether a change is in force in the whole fleet."""

from __future__ import annotations

from typing import Any

import click

from gorsefork.cli.control import Failed, Targets, reaches, show, targets, when

SURVEY_WITHIN = 8.0  # s for an answer about the whole fleet; the ingress gives up after 5


@click.group()
def configuration() -> None:
    """Replicated configuration: what each ingress holds, and what is in force everywhere."""


@configuration.command()
@reaches
def status(dials: tuple[str, ...], key_file: str | None, as_json: bool) -> None:
    """Digest, records and newest change of each --control. Fails if they hold different records."""
    reach, answers = targets(dials, key_file), []
    for dial in reach.dials:
        answers.append({"control": dial, **reach.ask("GET", "/v1/configuration/status", dial=dial)})
    rows = [
        [
            row["ingress"],
            row["control"],
            row["digest"],
            row["records"],
            row["bytes"],
            row["newest"] or "-",
            when(row["horizon"]),
            f"{row['peers']['heard']} of {row['peers']['known']}",
        ]
        for row in answers
    ]
    headers = ["ingress", "control", "digest", "records", "bytes", "newest", "goes back to", "peers heard"]
    show(answers, as_json, rows, headers)
    if len({row["digest"] for row in answers}) > 1:
        raise Failed("they hold different records")


@configuration.command("in-force")
@click.argument("number", default="")
@reaches
def in_force(number: str, dials: tuple[str, ...], key_file: str | None, as_json: bool) -> None:
    """Who of the fleet has the change NUMBER in force, who lacks it, and who did not answer.

    Without NUMBER: who holds exactly what the first --control holds. Fails unless everyone does.
    """
    told = ask_fleet(targets(dials, key_file), number)
    rows = [[row["ingress"], row["state"], row["reason"] or "-"] for row in told["members"]]
    show(told, as_json, rows, ["ingress", "state", "reason"])
    if not told["everywhere"]:
        raise Failed(
            f"{len(told['has'])} have it, {len(told['lacks'])} lack it, {len(told['silent'])} did not answer"
        )


def ask_fleet(reach: Targets, number: str) -> dict[str, Any]:
    query = {"number": number} if number else {}
    told: dict[str, Any] = reach.ask("GET", "/v1/configuration/in-force", query, within=SURVEY_WITHIN)
    return told
