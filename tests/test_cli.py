"""The command line: what it shows, what it changes at which ingress, and how it says no."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from collections.abc import Callable
from datetime import UTC, datetime
from pathlib import Path
from typing import Any

import click
import pytest
import trio
from click.testing import CliRunner, Result
from scenario import CUSTOMER, World, scenario

from gorsefork.cli.control import SECOND, When
from gorsefork.cli.main import cli, load
from gorsefork.cli.plans import peers_summary
from gorsefork.usage.records import Batch, Use

load()
CONTROL = '[control]\nlisten = "127.0.0.1:0"\ncatch_up_ms = 1\n'
USAGE = CONTROL + '[usage]\naccounts = "$accounts"\nflush_ms = 60000\n'
Run = Callable[..., Result]


def play(steps: Callable[[Run, World], Any], ingresses: int = 1, operator: str = CONTROL) -> None:
    """The steps run in a thread of their own, as a shell's commands do beside the ingresses."""

    async def then(world: World) -> None:
        dials = [world.ingresses[n].installation.acceptor.address for n in range(ingresses)]  # type: ignore[union-attr]

        def run(*words: str, at: tuple[int, ...] = (0,)) -> Result:
            return CliRunner().invoke(cli, [*words, *(f"--control={dials[n]}" for n in at)])

        await trio.to_thread.run_sync(lambda: steps(run, world))

    scenario("", ingresses=ingresses, operator=operator, apart=True, then=then)


def good(result: Result) -> str:
    assert result.exit_code == 0, result.output
    return result.stdout


def test_a_plan_is_set_shown_listed_and_rolled_back() -> None:
    def steps(run: Run, world: World) -> None:
        made = json.loads(
            good(
                run(
                    "plans",
                    "set",
                    CUSTOMER,
                    "rated",
                    "--from",
                    "now",
                    "--note",
                    "holidays",
                    "--author",
                    "ana",
                    "--json",
                )
            )
        )
        assert "rated" in good(run("plans", "list")) and "rated" in good(run("plans", "show", CUSTOMER))
        row = good(run("plans", "history", CUSTOMER)).splitlines()[1]
        assert made["number"] in row and "holidays" in row and "ana" in row
        good(
            run(
                "plans",
                "reserve",
                CUSTOMER,
                "--rate",
                "2",
                "--burst",
                "10",
                "--from",
                "now",
                "--until",
                "+2h",
            )
        )
        assert "+2/s, +10 until" in good(run("plans", "list"))
        assert CUSTOMER in good(run("plans", "diff", made["number"]))
        good(run("plans", "rollback", made["number"], "--from", "now"))
        assert "+2/s" not in good(run("plans", "list"))
        good(run("plans", "cancel", made["number"], "--from", "now"))
        assert "rated" not in good(run("plans", "list"))
        assert len(json.loads(good(run("plans", "history", "--json")))) == 4

    play(steps)


def test_the_same_key_is_the_same_change() -> None:
    def steps(run: Run, world: World) -> None:
        words = ("plans", "set", CUSTOMER, "rated", "--from", "2026-01-01T00:00:00Z", "--key", "k1", "--json")
        assert json.loads(good(run(*words)))["number"] == json.loads(good(run(*words)))["number"]

    play(steps)


def test_where_ingresses_may_not_speak_the_tool_tells_each_and_says_which_has_it() -> None:
    def steps(run: Run, world: World) -> None:
        out = good(run("plans", "set", CUSTOMER, "rated", at=(0, 1)))
        assert out.count("yes") == 2
        shown = [json.loads(good(run("plans", "show", CUSTOMER, "--json", at=(n,)))) for n in (0, 1)]
        assert shown[0][0]["history"] == shown[1][0]["history"]
        good(run("plans", "status", at=(0, 1)))
        good(run("plans", "set", CUSTOMER, "rated", at=(0,)))
        differ = run("plans", "status", at=(0, 1))
        assert differ.exit_code == 1 and "the books differ" in differ.stderr
        half = run("plans", "set", CUSTOMER, "rated", "--control=127.0.0.1:1")
        assert half.exit_code == 1 and "takes no connection" in half.stderr

    play(steps, ingresses=2)


def test_a_refusal_goes_to_stderr_with_its_reason() -> None:
    def steps(run: Run, world: World) -> None:
        refused = run("plans", "set", CUSTOMER, "none")
        assert (refused.exit_code, refused.stdout) == (1, "") and "no plan 'none'" in refused.stderr
        assert run("plans", "cancel", "7@n9").exit_code == 1

    play(steps)


@pytest.mark.parametrize(
    "words",
    [
        ("plans", "set", "zz", "rated"),
        ("plans", "set", CUSTOMER),
        ("plans", "paint"),
        ("--colour",),
        ("plans", "set", CUSTOMER, "rated", "--from", "tomorrow"),
        ("plans", "list", "--control", "box:1"),
        ("plans", "reserve", CUSTOMER, "--rate", "many", "--burst", "1", "--from", "now", "--until", "+1h"),
        ("usage", "verify"),
        ("plans", "list", "--key-file", "/nowhere/key"),
    ],
)
def test_bad_use_is_exit_2_and_says_why_on_stderr(words: tuple[str, ...]) -> None:
    result = CliRunner().invoke(cli, words)
    assert (result.exit_code, result.stdout) == (2, "") and "Error" in result.stderr


def test_help_needs_no_configuration() -> None:
    env = {name: value for name, value in os.environ.items() if not name.startswith(("PROXY", "GORSEFORK"))}
    for words in ([], ["plans"], ["plans", "set"], ["usage", "verify"], ["config", "write"]):
        shown = subprocess.run(
            [sys.executable, "-m", "gorsefork", *words, "--help"],
            env=env,
            check=True,
            capture_output=True,
            text=True,
        )
        assert shown.stdout.startswith("Usage: gorsefork") and not shown.stderr


def test_use_is_shown_and_sent_at_once_when_asked() -> None:
    async def then(world: World) -> None:
        await world.play("c1 send GET /look\nbox expect GET /look\nbox send 200 | hall\nc1 expect 200 | hall")
        extra = world.ingresses[0].installation
        assert extra is not None and extra.acceptor is not None
        control = f"--control={extra.acceptor.address}"
        seen = await trio.to_thread.run_sync(
            lambda: CliRunner().invoke(cli, ["usage", "status", "--json", control])
        )
        (told,) = json.loads(good(seen))
        assert (told["recorded"], told["waiting"], told["units"], told["durable"]) == (1, 1, 1.0, False)
        await trio.to_thread.run_sync(lambda: good(CliRunner().invoke(cli, ["usage", "export", control])))
        await world.play('accounts expect POST /v1/usage\naccounts send 200 | {"upto":1}')

    scenario("", operator=USAGE, then=then)


def batches(*spans: tuple[int, int, bool]) -> bytes:
    lines = []
    for first, last, closed in spans:
        uses = tuple(Use(n, CUSTOMER, "rated", "look", 500_000, 1) for n in range(first, last + 1))
        lines.append(Batch("n0", 7, first, uses, first, closed).encode("ndjson"))
    return b"\n".join(lines)


def test_an_export_is_verified_with_repeats_gaps_and_ends(tmp_path: Path) -> None:
    path = tmp_path / "batches"
    path.write_bytes(batches((1, 3, False), (1, 3, False), (4, 5, True)))
    whole = CliRunner().invoke(cli, ["usage", "verify", str(path), "--json"])
    assert json.loads(good(whole)) == [
        {
            "ingress": "n0",
            "life": 7,
            "records": 5,
            "units": 2.5,
            "repeats": 3,
            "missing": 0,
            "contradictions": 0,
            "closed": True,
        }
    ]
    path.write_bytes(batches((1, 3, False), (6, 7, False)))
    holed = CliRunner().invoke(cli, ["usage", "verify", str(path)])
    assert holed.exit_code == 1 and "missing" in holed.stderr
    path.write_bytes(b"what?\n")
    assert "line 1" in CliRunner().invoke(cli, ["usage", "verify", str(path)]).stderr


def test_times_as_people_write_them() -> None:
    kind = When()
    now = datetime.now(UTC).timestamp() * SECOND
    assert abs(kind.convert("+90s", None, None) - now - 90 * SECOND) < 5 * SECOND
    assert kind.convert("2026-12-24T08:00:00+11:00", None, None) == 1_798_059_600 * SECOND
    for text in ("2026-12-24T08:00:00", "+s", "+9y", "soon"):
        with pytest.raises(click.BadParameter):
            kind.convert(text, None, None)


def test_the_operators_file_is_checked_by_a_command(tmp_path: Path) -> None:
    path = tmp_path / "operator.toml"
    path.write_text(CONTROL)
    assert good(CliRunner().invoke(cli, ["config", "operator", str(path)])) == "good: control\n"
    path.write_text("[control]\nlisten = 1\n[paint]\n")
    bad = CliRunner().invoke(cli, ["config", "operator", str(path)])
    assert bad.exit_code == 2 and "control.listen: " in bad.stderr and "paint: is not known" in bad.stderr


def test_a_table_names_few_peers_in_full_and_of_many_those_that_are_not_current() -> None:
    few = [{"peer": "n1", "state": "current"}, {"fellow": "10.0.0.2:8090", "state": "unheard"}]
    assert peers_summary(few) == "n1 current, 10.0.0.2:8090 unheard"
    many = [{"peer": f"n{n}", "state": "stale" if n < 2 else "current"} for n in range(20)]
    assert peers_summary(many) == "18 of 20 current; n0 stale; n1 stale"
    assert peers_summary([]) == "-"
