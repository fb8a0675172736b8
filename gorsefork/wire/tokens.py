"""Bearer tokens (RFC 6750), what an introspection answer says of one (RFC 7662), and whose tenant it is."""

from __future__ import annotations

import json
import re
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any, Protocol

BEARER_PATTERN = re.compile(r"bearer +([A-Za-z0-9._~+/-]+=*)", re.IGNORECASE)


class NoToken(Exception):
    """The request carries no credentials at all."""


class MalformedToken(Exception):
    """What it carries cannot be a bearer token."""


def read_bearer_token(authorization: str) -> str:
    if not authorization:
        raise NoToken
    if (found := BEARER_PATTERN.fullmatch(authorization.strip(" "))) is None:
        raise MalformedToken
    return found[1]


@dataclass(frozen=True, slots=True)
class Claims:
    """An active token. ``expires``: Unix seconds, 0 if it does not say."""

    scopes: frozenset[str]
    names: Mapping[str, str]
    audience: frozenset[str]
    expires: int = 0


class MalformedAnswer(Exception):
    """An introspection answer that cannot be relied on."""


def reject_repeated_keys(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    """Guards against an answer that says ``active`` twice: readers differ in which one they believe."""
    if len({key for key, _ in pairs}) < len(pairs):
        raise MalformedAnswer("a key stands twice")
    return dict(pairs)


def read_claims(body: bytes, now: float) -> Claims | None:
    """None for a token that is not active, has expired or is not yet valid. Any doubt is
    ``MalformedAnswer``."""
    try:
        raw = json.loads(body, object_pairs_hook=reject_repeated_keys)
    except (ValueError, RecursionError):
        raise MalformedAnswer("not JSON") from None
    if not isinstance(raw, dict) or not isinstance(raw.get("active"), bool):
        raise MalformedAnswer("active is not true or false")
    if not raw["active"]:
        return None
    for key in ("exp", "nbf"):
        if key in raw and type(raw[key]) is not int:
            raise MalformedAnswer(f"{key} is not a whole number")
    for key in ("scope", "sub", "client_id", "username"):
        if not isinstance(raw.get(key, ""), str):
            raise MalformedAnswer(f"{key} is not text")
    audience = raw.get("aud", [])
    audience = [audience] if isinstance(audience, str) else audience
    if not isinstance(audience, list) or not all(isinstance(each, str) for each in audience):
        raise MalformedAnswer("aud is not text")
    if raw.get("exp", now + 1) <= now or raw.get("nbf", now) > now:
        return None
    names = {key: raw[key] for key in ("sub", "client_id", "username") if raw.get(key)}
    return Claims(frozenset(raw.get("scope", "").split()), names, frozenset(audience), raw.get("exp", 0))


@dataclass(frozen=True, slots=True)
class Tenant:
    """Who pays: the customer whose quota counts, on which plan, and the ingresses that it uses."""

    plan_index: int
    customer: str
    ingress_count: int
    first_ingress: int


class TenantsUnavailable(Exception):
    """Whose a token is cannot be told just now."""


class Tenants(Protocol):
    """Where tenants are looked up. None: there is no such tenant. ``TenantsUnavailable``: not to be told."""

    async def lookup(self, name: str, within: float) -> Tenant | None: ...


@dataclass(frozen=True, slots=True)
class DirectorySettings:
    """Where the directory is, and which attributes tell a tenant's name, plan, customer and ingresses."""

    address: str
    bind_dn: str
    password: str = field(repr=False)
    base: str
    timeout_ms: int
    most_in_flight: int
    name_attribute: str
    plan_attribute: str
    customer_attribute: str
    spread_attribute: str
    first_attribute: str


class ConfiguredTenants:
    """The tenants that the configuration names."""

    def __init__(self, table: Mapping[str, Tenant]) -> None:
        self.table = table

    async def lookup(self, name: str, within: float) -> Tenant | None:
        return self.table.get(name)
