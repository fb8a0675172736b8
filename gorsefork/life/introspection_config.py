"""The introspection front's own file: read strictly, and refused with the key named."""

from __future__ import annotations

import os
import re
import tomllib
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from ipaddress import ip_address
from pathlib import Path
from typing import Any

from gorsefork.decisions import interface as i
from gorsefork.wire.stream import parse_address
from gorsefork.wire.tokens import ConfiguredTenants, DirectorySettings, Tenant, Tenants

DEFAULT_PATH = Path(__file__).parents[2] / "deploy" / "introspection.toml"
TENANT_CLAIMS = ("sub", "client_id", "username")
MAX_TIMEOUT_MS = 700  # well under the 1.5 s that a purchase is wanted within


class InvalidIntrospectionFile(Exception):
    """A file that cannot be used; the text begins with the key at fault."""


@dataclass(frozen=True, slots=True)
class TenantEntry:
    plan: str
    customer: str
    spread: int
    first: int


@dataclass(frozen=True, slots=True)
class IntrospectionConfig:
    application: str
    listen: str
    address: str
    path: str
    client_id: str
    client_secret: str = field(repr=False)
    timeout_ms: int
    max_age_ms: int
    most_in_flight: int
    tenant_claim: str
    audience: str
    scopes: Mapping[str, str]
    tenants: Mapping[str, TenantEntry]
    directory: DirectorySettings | None = None


class Table:
    """One table of the file: each key is taken once, with its type; what is left over is unknown."""

    def __init__(self, raw: Any, name: str) -> None:
        if not isinstance(raw, dict):
            raise InvalidIntrospectionFile(f"{name}: a table was expected")
        self.raw, self.name = dict(raw), name

    def key(self, key: str) -> str:
        return f"{self.name}.{key}" if self.name else key

    def text(self, key: str, pattern: str, default: str | None = None) -> str:
        value = self.raw.pop(key, default)
        if not isinstance(value, str) or not re.fullmatch(pattern, value):
            raise InvalidIntrospectionFile(
                f"{self.key(key)}: " + ("is missing" if value is None else "is not of its form")
            )
        return value

    def whole(self, key: str, least: int, most: int, default: int | None = None) -> int:
        value = self.raw.pop(key, default)
        if type(value) is not int or not least <= value <= most:
            raise InvalidIntrospectionFile(f"{self.key(key)}: must be a whole number from {least} to {most}")
        return value

    def flag(self, key: str, default: bool) -> bool:
        value = self.raw.pop(key, default)
        if not isinstance(value, bool):
            raise InvalidIntrospectionFile(f"{self.key(key)}: must be true or false")
        return value

    def table(self, key: str) -> Table:
        return Table(self.raw.pop(key, {}), self.key(key))

    def done(self) -> None:
        for key in self.raw:
            raise InvalidIntrospectionFile(f"{self.key(key)}: is not known")


NAME, HOST_PORT, TARGET = r"[A-Za-z0-9._-]{1,64}", r"[A-Za-z0-9.\[\]:-]+:[0-9]{1,5}", r"/[!-~]*"
SCOPE = r"[!#-\[\]-~]+"  # a scope token of RFC 6749


def read(text: str, env: Mapping[str, str], secrets: bool = True) -> IntrospectionConfig | None:
    """None when the front is off. ``secrets``: whether the secret itself must be at hand."""
    try:
        top = Table(tomllib.loads(text), "")
    except tomllib.TOMLDecodeError as error:
        raise InvalidIntrospectionFile(f"file: is not TOML ({error})") from None
    if not top.flag("enabled", False):
        return None
    server, scopes, tenants = top.table("server"), top.table("scopes"), top.table("tenants")
    looked_up = directory(top.table("directory"), env, secrets) if "directory" in top.raw else None
    if looked_up is not None and tenants.raw:
        raise InvalidIntrospectionFile("directory: name tenants here or in a directory, not both")
    config = IntrospectionConfig(
        application=top.text("application", NAME),
        listen=port(top, "listen"),
        address=port(server, "address"),
        path=server.text("path", TARGET, "/introspect"),
        client_id=server.text("client_id", r"[ -~]+"),
        client_secret=secret(server, "client_secret", env, secrets),
        timeout_ms=server.whole("timeout_ms", 10, MAX_TIMEOUT_MS, 400),
        max_age_ms=server.whole("max_age_ms", 0, 1500, 250),
        most_in_flight=server.whole("most_in_flight", 1, 200, 32),
        tenant_claim=server.text("tenant_claim", "|".join(TENANT_CLAIMS), "client_id"),
        audience=server.text("audience", r"[ -~]*", ""),
        scopes={cls: scopes.text(cls, SCOPE) for cls in list(scopes.raw)},
        tenants={name: tenant(tenants.table(name)) for name in list(tenants.raw)},
        directory=looked_up,
    )
    for table in (server, scopes, tenants, top):
        table.done()
    return config


def port(table: Table, key: str) -> str:
    """Tokens and secrets cross these connections in the clear, so they must not leave the machine."""
    value = table.text(key, HOST_PORT)
    try:
        host, _ = parse_address(value)
    except ValueError:
        raise InvalidIntrospectionFile(f"{table.key(key)}: must be an IP address and a port") from None
    if not ip_address(host).is_loopback:
        raise InvalidIntrospectionFile(
            f"{table.key(key)}: must be on loopback, for nothing here is encrypted"
        )
    return value


def directory(table: Table, env: Mapping[str, str], secrets: bool) -> DirectorySettings:
    attribute = r"[A-Za-z][A-Za-z0-9-]*"
    given = DirectorySettings(
        port(table, "address"),
        table.text("bind_dn", r"[ -~]+"),
        secret(table, "password", env, secrets),
        table.text("base", r".+"),
        table.whole("timeout_ms", 10, MAX_TIMEOUT_MS, 300),
        table.whole("most_in_flight", 1, 32, 8),
        table.text("name_attribute", attribute, "cn"),
        table.text("plan_attribute", attribute),
        table.text("customer_attribute", attribute),
        table.text("spread_attribute", attribute + "|", ""),
        table.text("first_attribute", attribute + "|", ""),
    )
    table.done()
    return given


def secret(table: Table, key: str, env: Mapping[str, str], needed: bool) -> str:
    """The secret stays out of the file: it is named by a variable or by a file of its own."""
    variable = table.text(f"{key}_env", r"[A-Za-z_][A-Za-z0-9_]*|", "")
    path, name = table.text(f"{key}_file", r"[ -~]*", ""), table.key(key)
    if bool(variable) == bool(path):
        raise InvalidIntrospectionFile(f"{name}_env: name either this or {name}_file")
    if not needed:
        return ""
    try:
        value = env.get(variable, "") if variable else Path(path).read_text(encoding="utf-8").strip()
    except OSError as error:
        raise InvalidIntrospectionFile(f"{name}_file: {error.strerror}") from None
    if not value:
        raise InvalidIntrospectionFile(f"{name}_{'env' if variable else 'file'}: holds nothing")
    return value


def tenant(table: Table) -> TenantEntry:
    entry = TenantEntry(
        table.text("plan", r"[!-~]+"),
        table.text("customer", r"[0-9a-f]{16}"),
        table.whole("spread", 1, 10_000, 1),
        table.whole("first", 0, 9_999, 0),
    )
    table.done()
    return entry


def load_at_start(env: Mapping[str, str]) -> IntrospectionConfig | None:
    """The file that the program starts with; absent means off."""
    path = Path(env.get("GORSEFORK_INTROSPECTION") or DEFAULT_PATH)
    try:
        text = path.read_text(encoding="utf-8")
    except FileNotFoundError:
        return None
    except (OSError, UnicodeDecodeError) as error:
        raise InvalidIntrospectionFile(f"file: {error}") from None
    return read(text, env)


def from_environment() -> IntrospectionConfig | None:
    return load_at_start(os.environ)


def make_tenants(given: IntrospectionConfig, settings: i.Settings, log: Callable[[str], None]) -> Tenants:
    """The tenants of the file, checked against the plans and classes of this deployment, or its directory."""
    plans = {plan.name: number for number, plan in enumerate(settings.plans)}
    for cls in given.scopes:
        if cls not in {known.name for known in settings.classes}:
            raise InvalidIntrospectionFile(f"scopes.{cls}: is no class of this deployment")
    if given.directory is not None:
        from gorsefork.wire.directory import (
            DirectoryTenants,  # its library costs memory: only where it is used
        )

        return DirectoryTenants(given.directory, plans, settings.ingresses, log)
    for name, entry in given.tenants.items():
        if entry.plan not in plans:
            raise InvalidIntrospectionFile(f"tenants.{name}.plan: is no plan of this deployment")
        if entry.spread > settings.ingresses or entry.first >= settings.ingresses:
            raise InvalidIntrospectionFile(
                f"tenants.{name}.spread: this deployment has {settings.ingresses} ingresses"
            )
    return ConfiguredTenants(
        {name: Tenant(plans[e.plan], e.customer, e.spread, e.first) for name, e in given.tenants.items()}
    )
