"""``gorsefork config write|check``: the introspection front's file for one application."""

from __future__ import annotations

import json
import os
from argparse import Namespace
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import click

from gorsefork.life.config import InvalidConfig, read_config
from gorsefork.life.introspection_config import (
    DEFAULT_PATH,
    TENANT_CLAIMS,
    InvalidIntrospectionFile,
    make_tenants,
    read,
)

FAULTS = (InvalidIntrospectionFile, InvalidConfig, OSError, UnicodeDecodeError)


class Refused(click.ClickException):
    """A file that cannot be used: said on stderr, exit 2."""

    exit_code = 2


def quoted(text: str) -> str:
    return json.dumps(text, ensure_ascii=False)  # a JSON string is a basic string of TOML


class Pair(click.ParamType[Any]):
    """``NAME=VALUE``."""

    name = "NAME=VALUE"

    def convert(self, value: Any, param: click.Parameter | None, ctx: click.Context | None) -> Any:
        name, equals, text = str(value).partition("=")
        if not equals or not name or not text:
            self.fail(f"{value!r} is not NAME=VALUE", param, ctx)
        return name, text


class TenantPair(Pair):
    """``NAME=PLAN,CUSTOMER[,SPREAD,FIRST]``."""

    name = "NAME=PLAN,CUSTOMER[,SPREAD,FIRST]"

    def convert(self, value: Any, param: click.Parameter | None, ctx: click.Context | None) -> Any:
        name, text = super().convert(value, param, ctx)
        parts = text.split(",")
        if len(parts) not in (2, 4):
            self.fail(f"{value!r} is not {self.name}", param, ctx)
        return name, parts


def render(given: Namespace) -> str:
    """The file as text, every setting written out, so that a reader sees what holds."""
    lines = [
        "enabled = true",
        f"application = {quoted(given.application)}",
        f"listen = {quoted(given.listen)}",
        "",
        "[server]",
        f"address = {quoted(given.server)}",
        f"path = {quoted(given.path)}",
        f"client_id = {quoted(given.client_id)}",
    ]
    if given.client_secret_file:
        lines.append(f"client_secret_file = {quoted(given.client_secret_file)}")
    else:
        lines.append(f"client_secret_env = {quoted(given.client_secret_env)}")
    lines += [
        f"timeout_ms = {given.timeout_ms}",
        f"max_age_ms = {given.max_age_ms}",
        f"most_in_flight = {given.most_in_flight}",
        f"tenant_claim = {quoted(given.tenant_claim)}",
        f"audience = {quoted(given.audience)}",
        "",
        "[scopes]",
    ]
    lines += [f"{quoted(cls)} = {quoted(scope)}" for cls, scope in given.scope]
    for name, parts in given.tenant:
        lines += ["", f"[tenants.{quoted(name)}]"]
        lines += [f"plan = {quoted(parts[0])}", f"customer = {quoted(parts[1])}"]
        lines += [f"{key} = {value}" for key, value in zip(("spread", "first"), parts[2:], strict=False)]
    if given.directory:
        lines += ["", "[directory]"]
        lines += [f"{key} = {quoted(value)}" for key, value in given.directory]
    return "\n".join(lines) + "\n"


@click.group()
def config() -> None:
    """The introspection front's file for one application."""


@config.command()
@click.option("--application", required=True)
@click.option("--listen", required=True, metavar="HOST:PORT")
@click.option("--server", required=True, metavar="HOST:PORT", help="The introspection server.")
@click.option("--path", default="/introspect", show_default=True)
@click.option("--client-id", required=True)
@click.option("--client-secret-env", metavar="VARIABLE", default="", help="Holds the secret; or:")
@click.option("--client-secret-file", metavar="PATH", default="", help="holds the secret.")
@click.option("--timeout-ms", type=int, default=400, show_default=True)
@click.option("--max-age-ms", type=int, default=250, show_default=True)
@click.option("--most-in-flight", type=int, default=32, show_default=True)
@click.option("--tenant-claim", type=click.Choice(TENANT_CLAIMS), default="client_id", show_default=True)
@click.option("--audience", default="")
@click.option("--scope", type=Pair(), multiple=True, metavar="CLASS=SCOPE")
@click.option("--tenant", type=TenantPair(), multiple=True)
@click.option(
    "--directory",
    type=Pair(),
    multiple=True,
    metavar="KEY=VALUE",
    help="Look tenants up by LDAP: address, bind_dn, password_env or password_file, base, "
    "plan_attribute, customer_attribute, and name_, spread_ or first_attribute.",
)
@click.option("--output", type=click.Path(path_type=Path), default=DEFAULT_PATH)
def write(**given: Any) -> None:
    """Write the file of an application, checked."""
    if bool(given["client_secret_env"]) == bool(given["client_secret_file"]):
        raise click.UsageError("one of --client-secret-env and --client-secret-file is needed")
    try:
        text = render(Namespace(**given))
        read(text, os.environ, secrets=False)
        given["output"].write_text(text, encoding="utf-8")
    except FAULTS as error:
        raise Refused(str(error)) from None


@config.command()
@click.argument("file", type=click.Path(path_type=Path), default=DEFAULT_PATH)
@click.option("--platform", metavar="CONFIG", help="A platform configuration that it has to fit.")
@click.option("--no-secret", is_flag=True, help="On a machine that does not hold the secret.")
def check(file: Path, platform: str | None, no_secret: bool) -> None:
    """Check a file, and that its secret is at hand."""
    try:
        found = read(file.read_text(encoding="utf-8"), os.environ, secrets=not no_secret)
        if found is not None and platform:
            make_tenants(found, read_config({"PROXY_CONFIG": platform}).settings, click.echo)
    except FAULTS as error:
        raise Refused(str(error)) from None
    click.echo("off" if found is None else f"good: {found.application} on {found.listen}")


@config.command()
@click.argument("file", type=click.Path(path_type=Path))
def operator(file: Path) -> None:
    """Check an operator's file: each fault with its key."""
    from gorsefork.life.operator import InvalidOperatorFile, load_at_start, read_secret

    try:
        found = load_at_start(file)
        if found is not None and found.control is not None:
            read_secret("control", found.control.key_file)
        if found is not None and found.usage is not None:
            read_secret("usage", found.usage.key_file)
    except InvalidOperatorFile as error:
        raise Refused(str(error)) from None
    parts = [name for name in ("control", "state", "usage") if found and getattr(found, name)]
    click.echo(f"good: {', '.join(parts) or 'all off'}")


def main(words: Sequence[str]) -> int:
    """The exit status of ``gorsefork config`` with these words."""
    try:
        config.main(list(words), prog_name="gorsefork config", standalone_mode=False)
    except click.ClickException as error:
        error.show()
        return error.exit_code
    return 0
