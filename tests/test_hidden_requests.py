"""Requests that hide another, or pass for another: each box reads just what is meant for it."""

from __future__ import annotations

import unittest
from unittest import mock

from scenario import SETTINGS, scenario

from gorsefork.memory.clock import Clock
from gorsefork.settings import to_settings
from gorsefork.wire.http1.exchange import Exchange
from gorsefork.wire.introspection import IntrospectionFront, is_unambiguous_path
from gorsefork.wire.tokens import ConfiguredTenants

HIDDEN = "GET /look HTTP/1.1\\nX-Trace-Id: stolen\\n\\n"
CALL = (
    "X-Contract: rated\\nX-Client-Id: 00000000b4d65521\\nX-Expires-In-Ms: 3000\\n"
    "X-Metering: units=1,spread=1,first=0\\nX-Trace-Id: t-1\\nHost: x\\n"
)
TOKEN = "Authorization: Bearer t1\\nX-Trace-Id: t-1\\nHost: x\\n"
JSON = "200 Content-Type=application/json |"
GOOD = f'oauth send {JSON} {{"active":true,"scope":"tour.buy","client_id":"museum"}}'
SIZE = len(HIDDEN.replace("\\n", "\r\n"))

# What stands behind the request line, and the status that it gets on either front.
HEADS = [
    (f"GET /look HTTP/1.1\\n%sContent-Length: {SIZE}\\n\\n{HIDDEN}", 400),
    (f"GET /look HTTP/1.1\\n%sTransfer-Encoding: chunked\\n\\n{SIZE:x}\\n{HIDDEN}\\n0\\n\\n", 400),
    ("GET /look HTTP/1.1\\n%sTransfer-Encoding: chunked\\n\\n0\\n\\n", 400),
    (f"HEAD /look HTTP/1.1\\n%sContent-Length: {SIZE}\\n\\n{HIDDEN}", 400),
    (f"GET /healthz HTTP/1.1\\n%sContent-Length: {SIZE}\\n\\n{HIDDEN}", 400),
    (f"GET /look HTTP/1.0\\n%sContent-Length: {SIZE}\\n\\n{HIDDEN}", 400),
    ("GET /look HTTP/1.2\\n%s\\n", 505),
    ("GET /look HTTP/2.0\\n%s\\n", 505),
    ("GET /look HTTP/0.9\\n%s\\n", 505),
]
PATHS = [
    "/look/../buy",
    "/look/%2e%2e/buy",
    "/look/.%2E/buy",
    "/look/./x",
    "/look/..;x/buy",
    "/look/..",
    "/look%2f..%2fbuy",
    "/look/a%2Fb",
    "/look/a%5cb",
    "/look/a\\b",
    "/look/%252e%252e/buy",
    "/look/%25252525252e",
]


class Hidden(unittest.TestCase):
    def test_a_request_in_the_body_of_another_goes_nowhere(self) -> None:
        for raw, headers in (("raw", CALL), ("raw2", TOKEN)):
            for head, status in HEADS:
                with self.subTest(f"{raw} {head}"):
                    scenario(f"""
                        c1 send {raw} {head % headers}
                        c1 expect {status} Connection
                        c1 wait
                        oauth wait idle
                        c2 send GET /look/next
                        box expect GET /look/next
                        box send 200 | right
                        c2 expect 200 | right
                        box wait idle""")

    def test_no_body_may_be_said_aloud(self) -> None:
        scenario(f"""
            c1 send raw GET /look HTTP/1.1\\n{CALL}Content-Length: 0\\n\\n
            box expect GET /look
            box send 200 | right
            c1 expect 200 | right""")


class Paths(unittest.TestCase):
    def test_a_path_that_may_be_resolved_to_another_class_is_refused(self) -> None:
        for path in PATHS:
            with self.subTest(path):
                scenario(f"""
                    c1 send GET {path} token=t1
                    c1 expect 400
                    oauth wait idle
                    c2 send GET /look/next token=t1
                    oauth expect POST /introspect
                    {GOOD}
                    box expect GET /look/next
                    box send 200 | right
                    c2 expect 200 | right
                    box wait idle""")

    def test_what_is_harmless_passes(self) -> None:
        for path in ("/look", "/look/a.b/..c", "/look/%e9t%C3%A9", "/look/100%25", "/look//x", "/look/..."):
            self.assertTrue(is_unambiguous_path(path), path)

    def test_the_platforms_front_passes_paths_as_they_came(self) -> None:
        scenario("""
            c1 send GET /look/../%2e?x=%2f
            box expect GET /look/../%2e?x=%2f
            box send 200 | right
            c1 expect 200 | right""")


class Units(unittest.TestCase):
    def test_a_tokens_client_cannot_shrink_the_guess_of_its_use(self) -> None:
        """A tenth of a unit each would let ten times the quota out before anything settles."""
        settings = to_settings(SETTINGS)
        front = IntrospectionFront(
            settings,
            mock.Mock(),
            ConfiguredTenants({}),
            "client_id",
            250,
            Clock(),
            mock.Mock(),
            mock.Mock(),
            bool,
        )
        for asked, units in (("0.01", 1.0), ("1", 1.0), ("2.5", 2.5)):
            headers = {b"authorization": b"Bearer t1", b"x-metering": f"units={asked}".encode()}
            exchange = Exchange("GET", "/look", headers, 0, mock.Mock())
            self.assertEqual(front.read(exchange).units, units)


if __name__ == "__main__":
    unittest.main()
