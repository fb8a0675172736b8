"""``gorsefork usage``: the export of use, and whether what was exported is whole."""

from __future__ import annotations

from pathlib import Path

import click

from gorsefork.cli.control import Failed, reaches, show, targets
from gorsefork.usage.records import MICRO_UNITS_PER_UNIT, Form, UnreadableBatch
from gorsefork.usage.verify import ReceivedUsage, read_batches


@click.group()
def usage() -> None:
    """What was used, recorded, and handed to the accounts."""


HEADERS = [
    "ingress",
    "recorded",
    "units",
    "waiting",
    "at most",
    "on disk",
    "state",
    "acknowledged",
    "problem",
]


def told(dials: tuple[str, ...], key_file: str | None, as_json: bool, method: str, path: str) -> None:
    reach, answers = targets(dials, key_file), []
    for dial in reach.dials:
        answers.append({"control": dial, **reach.ask(method, path, dial=dial)})
    rows = []
    for row in answers:
        if not row["recording"]:
            rows.append([row["control"], "off"])
            continue
        ago = row["acknowledged_s_ago"]
        rows.append(
            [
                row["control"],
                row["recorded"],
                row["units"],
                row["waiting"],
                row["most_waiting"],
                "yes" if row["durable"] else "no",
                row["state"],
                "never" if ago is None else f"{ago} s ago",
                row["refusing_calls"] or row["problem"] or "-",
            ]
        )
    show(answers, as_json, rows, HEADERS)


@usage.command()
@reaches
def status(dials: tuple[str, ...], key_file: str | None, as_json: bool) -> None:
    """What each ingress has recorded, and what the accounts lack still."""
    told(dials, key_file, as_json, "GET", "/v1/usage")


@usage.command()
@reaches
def export(dials: tuple[str, ...], key_file: str | None, as_json: bool) -> None:
    """Send what waits now, whatever pause an earlier failure has left."""
    told(dials, key_file, as_json, "POST", "/v1/usage/export")


@usage.command()
@click.argument(
    "files", nargs=-1, required=True, type=click.Path(path_type=Path, exists=True, dir_okay=False)
)
@click.option("--form", type=click.Choice(["ndjson"]), default="ndjson", show_default=True)
@click.option("--json", "as_json", is_flag=True, help="For programs: JSON on stdout.")
def verify(files: tuple[Path, ...], form: Form, as_json: bool) -> None:
    """Read the batches that the accounts were sent: what is there once, twice, or not at all.

    The files hold batches one behind another, as they came. Exit 1 if a number is missing.
    """
    ledger = ReceivedUsage()
    for path in files:
        try:
            for batch in read_batches(path.read_bytes()):
                ledger.take(batch)
        except (UnreadableBatch, OSError) as error:
            raise Failed(f"{path}: {error}") from None
    lives = ledger.lives()
    show(
        [life.plain() for life in lives],
        as_json,
        [
            [
                life.ingress,
                life.life,
                life.records,
                life.micro / MICRO_UNITS_PER_UNIT,
                life.repeats,
                life.missing,
                "closed" if life.whole else "open",
            ]
            for life in lives
        ],
        ["ingress", "life", "records", "units", "repeats", "missing", "state"],
    )
    if any(life.missing or life.contradictions for life in lives):
        raise Failed("some numbers are missing, or stand for two different uses")
