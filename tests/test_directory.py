"""Tenants in a directory: found, unknown, malformed, silent, refused."""

from __future__ import annotations

import unittest
from collections.abc import Callable

import trio
from directory_standin import StandIn

from gorsefork.wire.directory import DirectoryTenants
from gorsefork.wire.tokens import DirectorySettings, Tenant, TenantsUnavailable

MUSEUM = {"plan": ["large"], "customer": ["00000000b4d65521"], "spread": ["2"], "first": ["1"]}


def lookup(name: str, stand_in: StandIn, within: float = 2.0) -> Tenant | None:
    async def main() -> Tenant | None:
        async with trio.open_nursery() as nursery:
            listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
            nursery.start_soon(trio.serve_listeners, stand_in.serve, listeners)
            dial = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
            given = DirectorySettings(
                dial,
                "cn=gorsefork",
                "s3cret",
                "ou=tenants",
                400,
                4,
                "cn",
                "plan",
                "customer",
                "spread",
                "first",
            )
            try:
                return await DirectoryTenants(given, {"large": 7}, 3, logged.append).lookup(name, within)
            finally:
                nursery.cancel_scope.cancel()

    logged: list[str] = []
    tenant = unnested(lambda: trio.run(main))
    assert "s3cret" not in "".join(logged)
    return tenant


def unnested(run: Callable[[], Tenant | None]) -> Tenant | None:
    try:
        return run()
    except BaseExceptionGroup as group:
        raise group.exceptions[0] from None


class Lookups(unittest.TestCase):
    def test_a_tenant_is_found_and_an_unknown_one_is_not(self) -> None:
        directory = StandIn("s3cret", {"museum-1": [MUSEUM]})
        self.assertEqual(lookup("museum-1", directory), Tenant(7, "00000000b4d65521", 2, 1))
        self.assertIsNone(lookup("museum-2", directory))
        self.assertIsNone(lookup("", directory))

    def test_a_name_cannot_widen_the_search(self) -> None:
        self.assertIsNone(lookup("*)(cn=museum-1", StandIn("s3cret", {"museum-1": [MUSEUM]})))

    def test_every_doubt_fails_closed(self) -> None:
        for entries in (
            [MUSEUM, MUSEUM],
            [{**MUSEUM, "plan": ["none"]}],
            [{**MUSEUM, "customer": ["me"]}],
            [{**MUSEUM, "spread": ["9"]}],
            [{**MUSEUM, "first": ["0", "1"]}],
        ):
            with self.subTest(entries), self.assertRaises(TenantsUnavailable):
                lookup("museum-1", StandIn("s3cret", {"museum-1": entries}))

    def test_a_silent_directory_and_one_that_refuses(self) -> None:
        with self.assertRaises(TenantsUnavailable):
            lookup("museum-1", StandIn("s3cret", {"museum-1": [MUSEUM]}, silent=True))
        with self.assertRaises(TenantsUnavailable):
            lookup("museum-1", StandIn("other", {"museum-1": [MUSEUM]}))


if __name__ == "__main__":
    unittest.main()
