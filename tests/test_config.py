"""The introspection front's file: written, checked, and refused with the key named."""

from __future__ import annotations

import contextlib
import io
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from gorsefork.cli import config as tool
from gorsefork.life.config import BadConfig, read_config
from gorsefork.life.introspection_config import BadFile, at_start, read

WORDS = ["write", "--application", "guide-app", "--listen", "127.0.0.1:8081", "--server", "127.0.0.1:9000",
         "--client-id", "sidecar", "--client-secret-env", "SECRET", "--scope", "tour-purchase=tour.buy",
         "--tenant", "m-1=large-museum,00000000b4d65521,2,0"]


class Tool(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "introspection.toml"

    def run_tool(self, *words: str, env: dict[str, str] | None = None) -> tuple[int, str]:
        out = io.StringIO()
        with (mock.patch.dict("os.environ", env or {}), contextlib.redirect_stdout(out),
              contextlib.redirect_stderr(out)):
            return tool.main(words), out.getvalue()

    def test_what_is_written_is_found_good_and_names_no_secret(self) -> None:
        self.assertEqual(self.run_tool(*WORDS, "--output", str(self.path)), (0, ""))
        self.assertNotIn("s3cret", self.path.read_text())
        self.assertEqual(self.run_tool("check", str(self.path), env={"SECRET": "s3cret"})[0], 0)
        config = at_start({"GORSEFORK_INTROSPECTION": str(self.path), "SECRET": "s3cret"})
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
        keys = ("address=127.0.0.1:389", "bind_dn=cn=gorsefork", "password_env=SECRET", "base=ou=t,dc=eg",
                "plan_attribute=plan", "customer_attribute=customer")
        words = [*WORDS[:-2], *(word for key in keys for word in ("--directory", key))]
        self.assertEqual(self.run_tool(*words, "--output", str(self.path)), (0, ""))
        config = read(self.path.read_text(), {"SECRET": "s3cret"})
        assert config is not None and config.directory is not None
        self.assertEqual(config.directory.base, "ou=t,dc=eg")
        self.assertNotIn("s3cret", repr(config))
        for old, new, key in (("127.0.0.1:389", "192.0.2.1:389", "directory.address"),
                              ('password_env = "SECRET"', "", "directory.password_env")):
            with self.subTest(key), self.assertRaisesRegex(BadFile, f"^{key}: "):
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
                ("[server]", "[server", "file")):
            with self.subTest(new or old), self.assertRaisesRegex(BadFile, f"^{key}: "):
                read(good.replace(old, new), {"SECRET": "s3cret"})

    def test_absent_or_off_is_no_front(self) -> None:
        self.assertIsNone(at_start({"GORSEFORK_INTROSPECTION": str(self.path)}))
        self.assertIsNone(read("enabled = false", {}))


class Platform(unittest.TestCase):
    def test_the_platform_s_configuration_names_what_is_missing(self) -> None:
        with self.assertRaisesRegex(BadConfig, "listen"):
            read_config({})
        with self.assertRaisesRegex(BadConfig, "settings"):
            read_config({"PROXY_LISTEN": "127.0.0.1:1", "PROXY_DISCOVERY": "127.0.0.1:2"})


if __name__ == "__main__":
    unittest.main()
