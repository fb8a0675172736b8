"""Asking ingresses by their control listeners, and showing what they say."""

from __future__ import annotations

import json
import secrets
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from datetime import UTC, datetime
from pathlib import Path
from typing import Any, TypeVar
from urllib.parse import quote, urlencode

import click
import trio
from tabulate import tabulate

from gorsefork.wire.http1.client import HttpClient, NoAnswer
from gorsefork.wire.stream import parse_address

SECOND = 1_000_000
WITHIN = 5.0  # s for one answer
F = TypeVar("F", bound=Callable[..., Any])


class Failed(click.ClickException):
    """Said on stderr; exit 1: the command was understood, and did not succeed."""


@dataclass(frozen=True, slots=True)
class Targets:
    dials: tuple[str, ...]
    authorization: str = field(repr=False)

    def ask(
        self,
        method: str,
        path: str,
        query: dict[str, Any] | None = None,
        body: object = None,
        key: str = "",
        dial: str = "",
        within: float = WITHIN,
    ) -> Any:
        """The answer of one ingress, the first unless named. ``Failed`` says what went wrong, and where."""
        dial = dial or self.dials[0]
        target = path + (f"?{urlencode(query)}" if query else "")
        data = b"" if body is None else json.dumps(body).encode()
        headers = (("Idempotency-Key", key),) if key else ()
        client = HttpClient(dial, self.authorization, 32 << 20)

        async def once() -> Any:
            try:
                return await client.request(
                    method, target, data, "application/json" if data else "", within, headers
                )
            finally:
                client.close()

        try:
            answer = trio.run(once)
        except NoAnswer as error:
            raise Failed(str(error)) from None
        try:
            said = json.loads(answer.body) if answer.body else {}
        except ValueError:
            raise Failed(f"{dial} answered {answer.status} with what is no JSON") from None
        if answer.status != 200:
            reason = said.get("error", "") if isinstance(said, dict) else ""
            raise Failed(f"{dial} answered {answer.status}: {reason}")
        return said

    def pages(self, path: str, query: dict[str, Any], rows: str, last: Callable[[Any], str]) -> list[Any]:
        """All rows of a call that tells them page by page."""
        found: list[Any] = []
        while True:
            page = self.ask(
                "GET", path, {**query, "limit": 500, **({"after": last(found[-1])} if found else {})}
            )
            found += page[rows]
            if not page["more"]:
                return found


def read_key(path: str | None) -> str:
    if not path:
        return ""
    try:
        return "Bearer " + Path(path).read_text(encoding="utf-8").strip()
    except (OSError, UnicodeDecodeError) as error:
        raise click.BadParameter(f"{path}: {error}", param_hint="--key-file") from None


def reaches(command: F) -> F:
    """Adds ``--control``, ``--key-file`` and ``--json``; the command gets ``targets`` and ``as_json``."""

    def dials(context: click.Context, parameter: click.Parameter, given: Sequence[str]) -> tuple[str, ...]:
        for dial in given:
            try:
                parse_address(dial)
            except ValueError as error:
                raise click.BadParameter(str(error)) from None
        return tuple(given)

    command = click.option("--json", "as_json", is_flag=True, help="For programs: JSON on stdout.")(command)
    command = click.option(
        "--key-file",
        envvar="GORSEFORK_CONTROL_KEY_FILE",
        metavar="PATH",
        help="Holds the listener's bearer key.",
    )(command)
    return click.option(
        "--control",
        "dials",
        multiple=True,
        envvar="GORSEFORK_CONTROL",
        callback=dials,
        default=("127.0.0.1:8090",),
        show_default=True,
        metavar="IP:PORT",
        help="An ingress's control listener; once for each ingress.",
    )(command)


def targets(dials: tuple[str, ...], key_file: str | None) -> Targets:
    return Targets(dials, read_key(key_file))


def show(data: Any, as_json: bool, rows: Sequence[Sequence[Any]], headers: Sequence[str]) -> None:
    if as_json:
        click.echo(json.dumps(data, indent=2))
    else:
        click.echo(tabulate(rows, headers, tablefmt="plain", floatfmt="g", disable_numparse=True))


def when(at: int | None) -> str:
    """Microseconds of Unix time as a person reads them."""
    if not at:
        return "-"
    return datetime.fromtimestamp(at / SECOND, UTC).isoformat(" ", "seconds").removesuffix("+00:00") + "Z"


class When(click.ParamType[int]):
    """``now``, ``+90s`` (s, m, h, d from now), or a time with its zone as ISO 8601 writes it."""

    name = "time"
    units = {"s": 1, "m": 60, "h": 3600, "d": 86400}  # noqa: RUF012

    def convert(self, value: Any, param: click.Parameter | None, ctx: click.Context | None) -> int:
        if isinstance(value, int):
            return value
        now = datetime.now(UTC).timestamp()
        if value == "now":
            return round(now * SECOND)
        if value.startswith("+") and value[-1:] in self.units:
            try:
                return round((now + float(value[1:-1]) * self.units[value[-1]]) * SECOND)
            except (ValueError, OverflowError):
                self.fail(f"{value!r} is no time from now, such as +90s", param, ctx)
        try:
            at = datetime.fromisoformat(value)
        except ValueError:
            self.fail(f"{value!r} is no time: now, +90s, or 2026-12-24T08:00:00+11:00", param, ctx)
        if at.tzinfo is None:
            self.fail(
                f"{value!r} lacks its zone: write 2026-12-24T08:00:00+11:00, or end it with Z",
                param,
                ctx,
            )
        return round(at.timestamp() * SECOND)


class Customer(click.ParamType[str]):
    """16 hexadecimal digits."""

    name = "customer"

    def convert(self, value: Any, param: click.Parameter | None, ctx: click.Context | None) -> str:
        text = str(value).lower()
        if len(text) != 16 or not set(text) <= set("0123456789abcdef"):
            self.fail(f"{value!r} is not 16 hexadecimal digits", param, ctx)
        return text


def new_key() -> str:
    """For one call of a command: a repeat of it after a lost answer is then the same change."""
    return secrets.token_hex(16)


def path_of(number: str) -> str:
    return f"/v1/changes/{quote(number, safe='@')}"
