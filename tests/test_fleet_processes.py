"""Processes of the program that look after their view of the fleet, and faults thrown between them."""

from __future__ import annotations

import json
import signal
from pathlib import Path
from typing import Any

import trio
from click.testing import CliRunner
from fleet_rig import Rig, Running, rigged

from gorsefork.cli import main as cli_main
from gorsefork.fleet.rendezvous import rendezvous_order


async def command(*words: str) -> tuple[int, str]:
    """A command of the tool, as an operator types it."""
    cli_main.load()
    result = await trio.to_thread.run_sync(lambda: CliRunner().invoke(cli_main.cli, list(words)))
    return result.exit_code, result.output


def told(running: Running, kind: str) -> list[dict[str, Any]]:
    return [event for event in running.events if event["event"] == kind]


def test_a_crash_a_new_life_a_goodbye_and_what_the_tool_shows(tmp_path: Path) -> None:
    async def main() -> None:
        async with rigged(tmp_path) as rig:
            first = await rig.start("n0", seeds=())
            others = await rig.started("n1", "n2", "n3", "n4")
            await rig.settled(first, *others)
            # The plan book's peers come from the view: none is named in any file.
            wanted = {
                "act": {"do": "set", "customer": "00000000b4d65521", "plan": "large", "effective": 1},
                "author": "ana",
            }
            made = await rig.ask(others[0], "POST", "/v1/changes", wanted)

            async def everywhere() -> bool:
                return all(
                    [
                        (await rig.ask(r, "GET", "/v1/status"))["book"]["newest"] == made["number"]
                        for r in (first, *others)
                    ]
                )

            await rig.until(everywhere)
            victim = others[2]
            life = (await rig.ask(victim, "GET", "/v1/fleet"))["life"]
            await rig.kill(victim)
            await rig.event(first, "fleet.unreachable", "n3")
            await rig.settled(first, *(r for r in others if r is not victim))
            code, text = await command("fleet", "members", "--control", first.control)
            assert code == 0 and any(row.split()[:2] == ["n3", "unreachable"] for row in text.splitlines())
            seen = len(first.events)
            victim = await rig.start("n3")
            assert (await rig.event(first, "fleet.ended", "n3", seen))["life"] == life
            await rig.settled(first, *(others := [*others[:2], victim, others[3]]))
            # An operator's tool.
            code, text = await command("fleet", "status", "--control", first.control, "--json")
            (status,) = json.loads(text)
            assert code == 0 and status["settled"] and status["part"] == "majority" and not status["lacking"]
            code, text = await command("fleet", "order", "a key", "--control", others[1].control)
            best_first = rendezvous_order("a key", [f"n{n}" for n in range(5)])
            assert [row.split()[1] for row in text.splitlines()[1:]] == best_first
            code, text = await command("fleet", "forget", "n2", "--control", first.control)
            assert code == 1 and "only one that is unreachable" in text
            code, text = await command("fleet", "set", "--timeout-ms", "150", "--control", first.control)
            assert code == 1 and "half of period_ms" in text
            code, text = await command("fleet", "set", "--quiet-ms", "400", "--control", first.control)
            assert code == 0 and "quiet_ms=400" in text
            assert (await command("fleet", "set"))[0] == 2
            # A goodbye is heard, and alarms nobody.
            accused = len(told(first, "fleet.suspect"))
            leaving = others[3]
            leaving.send(signal.SIGTERM)
            await rig.event(first, "fleet.left", "n4")
            assert await leaving.process.wait() == 0
            await rig.settled(first, *others[:3])
            assert len(told(first, "fleet.suspect")) == accused
            code, text = await command("fleet", "watch", "--all", "--most", "5", "--control", first.control)
            assert code == 0 and len(text.splitlines()) == 5 and "told by" in text
            assert rig.longest <= 256

    trio.run(main)


def test_a_cut_heals_with_nobodys_help_and_loss_ends_nobody(tmp_path: Path) -> None:
    async def main() -> None:
        async with rigged(tmp_path, 3) as rig:
            first = await rig.start("n0", seeds=())
            fleet = [first, *await rig.started("n1", "n2", "n3", "n4")]
            await rig.settled(*fleet)
            left = {"n0", "n1"}
            rig.faults.cut = lambda one, other: (one in left) != (other in left)
            for running, part in ((fleet[0], "minority"), (fleet[4], "majority")):
                await rig.until(lambda r=running, p=part: part_of(rig, r, p))  # type: ignore[misc]
            for running in fleet[:2]:
                await rig.until(lambda r=running: lost(rig, r, 3))  # type: ignore[misc]
            rig.faults.cut = lambda one, other: False
            await rig.settled(*fleet)
            # One cannot speak, then one in five is lost, repeated or late: still one view, nobody given up.
            rig.faults.cut = lambda one, other: one == "n2"
            await rig.event(fleet[0], "fleet.unreachable", "n2", len(fleet[0].events))
            rig.faults.cut = lambda one, other: False
            rig.faults.loss, rig.faults.repeat, rig.faults.delay = 0.2, 0.2, (0.0, 0.03)
            passed = rig.passed
            await rig.until(lambda: over(rig, passed + 400))
            rig.faults.loss, rig.faults.repeat, rig.faults.delay = 0.0, 0.0, (0.0, 0.0)
            await rig.settled(*fleet)
            assert not any(told(r, "fleet.ended") or told(r, "fleet.given_up") for r in fleet)

    trio.run(main)


async def part_of(rig: Rig, running: Running, part: str) -> bool:
    return bool((await rig.ask(running, "GET", "/v1/fleet"))["part"] == part)


async def lost(rig: Rig, running: Running, count: int) -> bool:
    return bool((await rig.ask(running, "GET", "/v1/fleet"))["states"].get("unreachable") == count)


async def over(rig: Rig, count: int) -> bool:
    return rig.passed >= count


def test_one_that_was_stopped_two_of_one_name_and_strangers(tmp_path: Path) -> None:
    async def main() -> None:
        async with rigged(tmp_path, 5) as rig:
            first = await rig.start("n0", seeds=())
            fleet = [first, *await rig.started("n1", "n2", "n3")]
            await rig.settled(*fleet)
            sleeper = fleet[2]
            await rig.event(sleeper, "fleet.settled")  # is told later than it is so, and only then unsettled
            accused = len(told(sleeper, "fleet.suspect"))
            sleeper.send(signal.SIGSTOP)
            for running in (fleet[0], fleet[1], fleet[3]):
                await rig.event(running, "fleet.unreachable", "n2")
            passed = rig.passed
            await rig.until(lambda: over(rig, passed + 100))  # longer than its suspicion
            sleeper.send(signal.SIGCONT)
            await rig.event(sleeper, "fleet.stalled", "n2")
            await rig.settled(*fleet)
            status = await rig.ask(sleeper, "GET", "/v1/fleet")
            assert status["incarnation"] >= 1 and len(told(sleeper, "fleet.suspect")) == accused
            assert told(sleeper, "fleet.unsettled")
            # A later process under the name n1: the earlier one is silent, and nobody is alarmed.
            suspects = [len(told(r, "fleet.suspect")) for r in fleet]
            later = await rig.start("n1", place="n1b")
            assert (await rig.event(fleet[1], "fleet.followed", "n1"))["life"] == (
                await rig.ask(later, "GET", "/v1/fleet")
            )["life"]
            await rig.settled(fleet[0], later, fleet[2], fleet[3])
            assert [len(told(r, "fleet.suspect")) for r in fleet] == suspects
            # One of another site stays outside, and is told of.
            await rig.start("n9", site="museum")
            event = await rig.event(first, "fleet.refused")
            assert "another site" in event["text"]
            await rig.settled(fleet[0], later, fleet[2], fleet[3])

    trio.run(main)


def test_a_whole_fleet_comes_back_by_the_addresses_that_it_kept(tmp_path: Path) -> None:
    async def main() -> None:
        async with rigged(tmp_path, 7) as rig:
            first = await rig.start("n0", seeds=(), state=True)
            fleet = [first, *await rig.started("n1", "n2", state=True)]
            await rig.settled(*fleet)
            kept = [tmp_path / f"n{n}" / "state" / "fleet.json" for n in range(3)]
            await rig.ask(fleet[0], "PUT", "/v1/fleet/settings", {"quiet_ms": 450, "repeats": 4})

            async def written() -> bool:
                files = [json.loads(path.read_bytes()) if path.exists() else {"dials": []} for path in kept]
                return all(len(file["dials"]) == 2 for file in files) and files[0]["pace"] != {}

            await rig.until(written)
            for running in fleet:
                await rig.kill(running)
            kept[2].write_text("{")  # one of them is torn: it is found by the others
            again = await rig.started("n0", "n1", "n2", seeds=(), state=True)
            await rig.settled(*again)
            assert told(again[2], "fleet.unread") and not told(again[0], "fleet.unread")
            paces = [(await rig.ask(running, "GET", "/v1/fleet"))["pace"] for running in again]
            assert [(pace["quiet_ms"], pace["repeats"]) for pace in paces] == [(450, 4), (500, 3), (500, 3)]

    trio.run(main)
