"""``python -m gorsefork.config write|check``: the introspection front's file for one application."""

from __future__ import annotations

import argparse
import json
import os
import sys
from collections.abc import Sequence
from pathlib import Path

from gorsefork.life.config import BadConfig, read_config
from gorsefork.life.introspection_config import CLAIMS, PATH, BadFile, read, tenants_of


def quoted(text: str) -> str:
    return json.dumps(text, ensure_ascii=False)  # a JSON string is a basic string of TOML


def pair(text: str) -> tuple[str, str]:
    name, equals, value = text.partition("=")
    if not equals or not name or not value:
        raise argparse.ArgumentTypeError(f"{text!r} is not NAME=VALUE")
    return name, value


def tenant(text: str) -> tuple[str, list[str]]:
    name, value = pair(text)
    parts = value.split(",")
    if len(parts) not in (2, 4):
        raise argparse.ArgumentTypeError(f"{text!r} is not NAME=PLAN,CUSTOMER[,SPREAD,FIRST]")
    return name, parts


def render(given: argparse.Namespace) -> str:
    """The file as text, every setting written out, so that a reader sees what holds."""
    lines = ["enabled = true", f"application = {quoted(given.application)}",
             f"listen = {quoted(given.listen)}", "", "[server]",
             f"address = {quoted(given.server)}", f"path = {quoted(given.path)}",
             f"client_id = {quoted(given.client_id)}"]
    if given.client_secret_file:
        lines.append(f"client_secret_file = {quoted(given.client_secret_file)}")
    else:
        lines.append(f"client_secret_env = {quoted(given.client_secret_env)}")
    lines += [f"timeout_ms = {given.timeout_ms}", f"max_age_ms = {given.max_age_ms}",
              f"most_in_flight = {given.most_in_flight}", f"tenant_claim = {quoted(given.tenant_claim)}",
              f"audience = {quoted(given.audience)}", "", "[scopes]"]
    lines += [f"{quoted(cls)} = {quoted(scope)}" for cls, scope in given.scope]
    for name, parts in given.tenant:
        lines += ["", f"[tenants.{quoted(name)}]"]
        lines += [f"plan = {quoted(parts[0])}", f"customer = {quoted(parts[1])}"]
        lines += [f"{key} = {value}" for key, value in zip(("spread", "first"), parts[2:], strict=False)]
    if given.directory:
        lines += ["", "[directory]"]
        lines += [f"{key} = {quoted(value)}" for key, value in given.directory]
    return "\n".join(lines) + "\n"


def arguments() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog="python -m gorsefork.config", description=__doc__)
    commands = parser.add_subparsers(dest="command", required=True)
    write = commands.add_parser("write", help="write the file of an application, checked")
    write.add_argument("--application", required=True)
    write.add_argument("--listen", required=True, metavar="HOST:PORT")
    write.add_argument("--server", required=True, metavar="HOST:PORT", help="the introspection server")
    write.add_argument("--path", default="/introspect")
    write.add_argument("--client-id", required=True)
    secret = write.add_mutually_exclusive_group(required=True)
    secret.add_argument("--client-secret-env", metavar="VARIABLE", default="")
    secret.add_argument("--client-secret-file", metavar="PATH", default="")
    write.add_argument("--timeout-ms", type=int, default=400)
    write.add_argument("--max-age-ms", type=int, default=250)
    write.add_argument("--most-in-flight", type=int, default=32)
    write.add_argument("--tenant-claim", choices=CLAIMS, default="client_id")
    write.add_argument("--audience", default="")
    write.add_argument("--scope", type=pair, action="append", default=[], metavar="CLASS=SCOPE")
    write.add_argument("--tenant", type=tenant, action="append", default=[],
                       metavar="NAME=PLAN,CUSTOMER[,SPREAD,FIRST]")
    write.add_argument("--directory", type=pair, action="append", default=[], metavar="KEY=VALUE",
                       help="look tenants up by LDAP: address, bind_dn, password_env or password_file, base, "
                            "plan_attribute, customer_attribute, and name_, spread_ or first_attribute")
    write.add_argument("--output", type=Path, default=PATH)
    check = commands.add_parser("check", help="check a file, and that its secret is at hand")
    check.add_argument("file", type=Path, nargs="?", default=PATH)
    check.add_argument("--platform", metavar="CONFIG", help="a platform configuration that it has to fit")
    check.add_argument("--no-secret", action="store_true", help="on a machine that does not hold the secret")
    return parser


def main(words: Sequence[str] | None = None) -> int:
    given = arguments().parse_args(words)
    try:
        if given.command == "write":
            text = render(given)
            read(text, os.environ, secrets=False)
            given.output.write_text(text, encoding="utf-8")
        else:
            text = given.file.read_text(encoding="utf-8")
            config = read(text, os.environ, secrets=not given.no_secret)
            if config is not None and given.platform:
                tenants_of(config, read_config({"PROXY_CONFIG": given.platform}).settings, print)
            print("off" if config is None else f"good: {config.application} on {config.listen}")
    except (BadFile, BadConfig, OSError, UnicodeDecodeError) as error:
        print(f"gorsefork.config: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
