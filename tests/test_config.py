"""The introspection front's file: written, checked, and refused with the key named."""

from __future__ import annotations

import contextlib
import copy
import io
import json
import tempfile
import unittest
from collections.abc import Iterator
from pathlib import Path
from typing import Any
from unittest import mock

from scenario import SETTINGS

from gorsefork.cli import config as tool
from gorsefork.life.config import InvalidConfig, read_config
from gorsefork.life.introspection_config import InvalidIntrospectionFile, load_at_start, read
from gorsefork.life.start import Ingress
from gorsefork.memory.clock import Clock
from gorsefork.wire.discovery import InvalidBackendList

WORDS = [
    "write",
    "--application",
    "guide-app",
    "--listen",
    "127.0.0.1:8081",
    "--server",
    "127.0.0.1:9000",
    "--client-id",
    "sidecar",
    "--client-secret-env",
    "SECRET",
    "--scope",
    "tour-purchase=tour.buy",
    "--tenant",
    "m-1=large-museum,00000000b4d65521,2,0",
]


class Tool(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "introspection.toml"

    def run_tool(self, *words: str, env: dict[str, str] | None = None) -> tuple[int, str]:
        out = io.StringIO()
        with (
            mock.patch.dict("os.environ", env or {}),
            contextlib.redirect_stdout(out),
            contextlib.redirect_stderr(out),
        ):
            return tool.main(words), out.getvalue()

    def test_what_is_written_is_found_good_and_names_no_secret(self) -> None:
        self.assertEqual(self.run_tool(*WORDS, "--output", str(self.path)), (0, ""))
        self.assertNotIn("s3cret", self.path.read_text())
        self.assertEqual(self.run_tool("check", str(self.path), env={"SECRET": "s3cret"})[0], 0)
        config = load_at_start({"GORSEFORK_INTROSPECTION": str(self.path), "SECRET": "s3cret"})
        assert config is not None
        self.assertEqual((config.application, config.timeout_ms, config.max_age_ms), ("guide-app", 400, 250))
        self.assertEqual(config.tenants["m-1"].spread, 2)
        self.assertNotIn("s3cret", repr(config))

    def test_a_file_is_checked_against_the_platform_s_configuration(self) -> None:
        platform = str(Path(__file__).parents[1] / "examples" / "config.json")
        self.run_tool(*WORDS, "--output", str(self.path))
        code, text = self.run_tool("check", "--no-secret", "--platform", platform, str(self.path))
        self.assertEqual((code, "tenants.m-1.plan" in text), (2, True), text)

    def test_tenants_in_a_directory(self) -> None:
        keys = (
            "address=127.0.0.1:389",
            "bind_dn=cn=gorsefork",
            "password_env=SECRET",
            "base=ou=t,dc=eg",
            "plan_attribute=plan",
            "customer_attribute=customer",
        )
        words = [*WORDS[:-2], *(word for key in keys for word in ("--directory", key))]
        self.assertEqual(self.run_tool(*words, "--output", str(self.path)), (0, ""))
        config = read(self.path.read_text(), {"SECRET": "s3cret"})
        assert config is not None and config.directory is not None
        self.assertEqual(config.directory.base, "ou=t,dc=eg")
        self.assertNotIn("s3cret", repr(config))
        for old, new, key in (
            ("127.0.0.1:389", "192.0.2.1:389", "directory.address"),
            ('password_env = "SECRET"', "", "directory.password_env"),
        ):
            with self.subTest(key), self.assertRaisesRegex(InvalidIntrospectionFile, f"^{key}: "):
                read(self.path.read_text().replace(old, new), {"SECRET": "x"})

    def test_a_secret_that_is_not_at_hand_is_found(self) -> None:
        self.run_tool(*WORDS, "--output", str(self.path))
        code, text = self.run_tool("check", str(self.path))
        self.assertEqual((code, "server.client_secret_env" in text), (2, True))

    def test_the_key_at_fault_is_named(self) -> None:
        self.run_tool(*WORDS, "--output", str(self.path))
        good = self.path.read_text()
        for old, new, key in (
            ("timeout_ms = 400", "timeout_ms = 1400", "server.timeout_ms"),
            ("timeout_ms = 400", "timeout_ms = true", "server.timeout_ms"),
            ("max_age_ms", "max_agems", "server.max_agems"),
            ('listen = "127.0.0.1:8081"', "", "listen"),
            ("127.0.0.1:9000", "127.0.0.1:99000", "server.address"),
            ("127.0.0.1:9000", "192.0.2.7:9000", "server.address"),
            ('customer = "00000000b4d65521"', 'customer = "me"', "tenants.m-1.customer"),
            ("tour.buy", "tour buy", "scopes.tour-purchase"),
            ("enabled = true", "enabled = 1", "enabled"),
            ("[server]", "[server", "file"),
        ):
            with self.subTest(new or old), self.assertRaisesRegex(InvalidIntrospectionFile, f"^{key}: "):
                read(good.replace(old, new), {"SECRET": "s3cret"})

    def test_absent_or_off_is_no_front(self) -> None:
        self.assertIsNone(load_at_start({"GORSEFORK_INTROSPECTION": str(self.path)}))
        self.assertIsNone(read("enabled = false", {}))


class Platform(unittest.TestCase):
    def test_the_platform_s_configuration_names_what_is_missing(self) -> None:
        with self.assertRaisesRegex(InvalidConfig, "listen"):
            read_config({})
        with self.assertRaisesRegex(InvalidConfig, "settings"):
            read_config({"PROXY_LISTEN": "127.0.0.1:1", "PROXY_DISCOVERY": "127.0.0.1:2"})


WHOLE: dict[str, Any] = {
    "name": "n0",
    "listen": "127.0.0.1:0",
    "discovery": "127.0.0.1:1",
    "seed": "1",
    "counter": "127.0.0.1:2",
    "peer_listen": "127.0.0.1:0",
    "peers": ["127.0.0.1:7", "127.0.0.1:8"],
    "peers_all": "127.0.0.1:9",
    "limits": {"sockets": 256},
    "settings": {**SETTINGS, "failureDomains": ["a"], "machineTypes": ["b"]},
    "known": {
        "seq": 1,
        "whole": True,
        "hosts": [
            {"host": "a", "dial": "127.0.0.1:5", "health": "active", "born_ms": 0, "share": 1.0, "block": 1}
        ],
    },
}
ODD: tuple[Any, ...] = (
    None,
    "x",
    -1,
    0,
    [],
    {},
    [1],
    {"a": 1},
    True,
    "1:2:3",
    1e300,
    float("inf"),
    float("nan"),
)


def places(value: Any, before: tuple[Any, ...] = ()) -> Iterator[tuple[Any, ...]]:
    yield before
    inner = value if isinstance(value, dict) else range(len(value)) if isinstance(value, list) else ()
    for key in inner:
        yield from places(value[key], (*before, key))


class Odd(unittest.TestCase):
    def test_a_value_of_another_shape_anywhere_is_taken_or_refused_with_a_reason(self) -> None:
        """Guards against a start, or worse a SIGHUP in service, that ends in a traceback."""
        refused = 0
        for place in places(WHOLE):
            for odd in ODD:
                raw = copy.deepcopy(WHOLE)
                inner: Any = raw
                for key in place[:-1]:
                    inner = inner[key]
                if place:
                    inner[place[-1]] = odd
                with tempfile.NamedTemporaryFile("w") as file, self.subTest(place=place, odd=odd):
                    json.dump(raw if place else odd, file)
                    file.flush()
                    try:
                        ingress = Ingress(read_config({"PROXY_CONFIG": file.name}), Clock(), None)
                    except (InvalidConfig, InvalidBackendList) as error:
                        refused += 1
                        self.assertTrue(str(error))
                        continue
                    for acceptor in ingress.acceptors:
                        acceptor.sock.close()
        self.assertGreater(refused, 300)

    def test_an_effect_that_no_page_names_is_refused(self) -> None:
        classes = [{**SETTINGS["classes"][0], "effect": "sometimes"}]
        with tempfile.NamedTemporaryFile("w") as file:
            json.dump({**WHOLE, "settings": {**SETTINGS, "classes": classes}}, file)
            file.flush()
            with self.assertRaisesRegex(InvalidConfig, "classes.look.effect"):
                read_config({"PROXY_CONFIG": file.name})


if __name__ == "__main__":
    unittest.main()
