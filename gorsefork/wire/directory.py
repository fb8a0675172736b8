"""Tenants in an LDAP directory (RFC 4511): one search for each lookup, with bounded threads and time."""

from __future__ import annotations

import re
from collections.abc import Callable, Mapping
from functools import partial
from typing import Any

import ldap3
import trio
from ldap3.core.exceptions import LDAPException
from ldap3.utils.conv import escape_filter_chars

from gorsefork.wire.stream import parse_address
from gorsefork.wire.tokens import DirectorySettings, Tenant, TenantsUnavailable

CUSTOMER_PATTERN = re.compile(r"[0-9a-f]{16}")
SOCKET_TIMEOUT_S = 1  # the library counts in whole seconds: bounds a thread that nobody waits for any more


class DirectoryTenants:
    """The library waits, so it does that in a thread. Fails closed: a doubt is ``TenantsUnavailable``."""

    def __init__(
        self, given: DirectorySettings, plans: Mapping[str, int], ingresses: int, log: Callable[[str], None]
    ) -> None:
        self.settings, self.plans, self.ingresses, self.log = given, plans, ingresses, log
        self.threads = trio.CapacityLimiter(given.most_in_flight)

    async def lookup(self, name: str, within: float) -> Tenant | None:
        if not name:
            return None
        if self.threads.available_tokens < 1:
            raise TenantsUnavailable("too many lookups out")
        search = partial(
            trio.to_thread.run_sync, self.search, name, abandon_on_cancel=True, limiter=self.threads
        )
        try:
            with trio.fail_after(max(0.0, min(self.settings.timeout_ms / 1000, within))):
                found = await search()
        except trio.TooSlowError:
            raise TenantsUnavailable("no answer in time") from None
        except (LDAPException, OSError) as error:
            self.log(f"directory: {type(error).__name__}")
            raise TenantsUnavailable(type(error).__name__) from None
        if len(found) > 1:
            self.log("directory: more than one entry for a tenant")
            raise TenantsUnavailable("more than one entry")
        return self.tenant(found[0]) if found else None

    def search(self, name: str) -> list[Mapping[str, Any]]:
        given = self.settings
        host, port = parse_address(given.address)
        server = ldap3.Server(host, port, get_info=ldap3.NONE, connect_timeout=SOCKET_TIMEOUT_S)
        with ldap3.Connection(
            server,
            given.bind_dn,
            given.password,
            receive_timeout=SOCKET_TIMEOUT_S,
            raise_exceptions=True,
            auto_referrals=False,
            read_only=True,
        ) as connection:
            wanted = [
                given.plan_attribute,
                given.customer_attribute,
                given.spread_attribute,
                given.first_attribute,
            ]
            connection.search(
                given.base,
                f"({given.name_attribute}={escape_filter_chars(name)})",
                attributes=[attribute for attribute in wanted if attribute],
                size_limit=2,
            )
            return [
                entry["raw_attributes"]
                for entry in connection.response or ()
                if entry["type"] == "searchResEntry"
            ]

    def tenant(self, entry: Mapping[str, Any]) -> Tenant:
        def one(attribute: str, default: str) -> str:
            values = entry.get(attribute) or []
            return values[0].decode("utf-8", "replace") if len(values) == 1 else "" if values else default

        given = self.settings
        plan, customer = self.plans.get(one(given.plan_attribute, "")), one(given.customer_attribute, "")
        spread, first = one(given.spread_attribute, "1"), one(given.first_attribute, "0")
        numbers = [int(x) if x.isascii() and x.isdigit() and len(x) < 9 else -1 for x in (spread, first)]
        sound = 1 <= numbers[0] <= self.ingresses and 0 <= numbers[1] < self.ingresses
        if plan is None or not CUSTOMER_PATTERN.fullmatch(customer) or not sound:
            self.log("directory: an entry whose plan, customer or ingresses make no sense")
            raise TenantsUnavailable("a malformed entry")
        return Tenant(plan, customer, numbers[0], numbers[1])
