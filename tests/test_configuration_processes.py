"""Processes of the program that replicate configuration, with faults between them.

Each test ends with all processes holding one digest, within ``AGREED_WITHIN`` of the last fault.
"""

from __future__ import annotations

import shutil
import signal
import time
from pathlib import Path

import trio
from click.testing import CliRunner
from fleet_rig import Rig, Running, rigged, whole
from old_version_standin import old_version

from gorsefork.cli import main as cli_main
from gorsefork.configuration.messages import MOST_BATCH, as_records, encode
from gorsefork.life.plan_records import record_of
from gorsefork.plans.changes import Change, SetPlan
from gorsefork.wire.http1.client import HttpClient
from gorsefork.wire.services.replication_transport import EXCHANGE, MEDIA, peer_headers

CUSTOMER, OTHER = "00000000b4d65521", "00000000b4d65522"
MANY, HALF = 2_500, 70_000  # changes that are a snapshot's worth, and bytes of about a half of them
AGREED_WITHIN = 7.0  # s; the same bound as for a change in a fleet without faults


async def command(*words: str) -> tuple[int, str]:
    """A command of the tool, as an operator types it."""
    cli_main.load()
    result = await trio.to_thread.run_sync(lambda: CliRunner().invoke(cli_main.cli, list(words)))
    return result.exit_code, result.output


async def change(rig: Rig, at: Running, plan: str = "large", customer: str = CUSTOMER) -> str:
    """Its number, once it has been accepted."""
    act = {"do": "set", "customer": customer, "plan": plan, "effective": 1}
    made = await rig.ask(at, "POST", "/v1/changes", {"act": act, "author": "ana"})
    return str(made["number"])


async def load(at: Running, count: int) -> None:
    """So many changes, as a peer would bring them."""
    now, client = time.time_ns() // 1000, HttpClient(at.control)
    changes = [Change(now + n, "n9", SetPlan(f"{n:016x}", "plain", 1), "zoe") for n in range(count)]
    for start in range(0, count, MOST_BATCH):
        records = [record_of(each) for each in changes[start : start + MOST_BATCH]]
        body = encode([as_records(records, 0)])
        answer = await client.request("POST", EXCHANGE, body, MEDIA, 5.0, peer_headers("n9"))
        assert answer.status == 200, answer
    client.close()


async def half_of_it(rig: Rig) -> bool:
    return rig.relayed["n2"] > HALF


async def holds(rig: Rig, at: Running, number: str) -> bool:
    return "act" in await rig.ask(at, "GET", f"/v1/changes/{number}")


async def everywhere(rig: Rig, at: Running, number: str) -> bool:
    """Whether the whole fleet has it, as one ingress finds out."""
    said = await rig.ask(at, "GET", f"/v1/configuration/in-force?number={number}")
    return bool(said.get("everywhere"))  # 404 where it is not known yet


async def plan_of(rig: Rig, at: Running, customer: str = CUSTOMER) -> str:
    shown = await rig.ask(at, "GET", f"/v1/plans/{customer}")
    return str(shown["entry"]["act"]["plan"])


def test_a_change_reaches_all_and_outlives_its_maker(tmp_path: Path) -> None:
    async def main() -> None:
        async with rigged(tmp_path, 11) as rig:
            first = await rig.start("n0", seeds=(), state=True, zone="a")
            second, third = await rig.started("n1", "n2", state=True, zone="b")
            fleet = [first, second, third]
            await rig.settled(*fleet)

            number = await change(rig, second)
            await rig.until(lambda: everywhere(rig, third, number), AGREED_WITHIN)
            code, text = await command("configuration", "in-force", number, "--control", first.control)
            assert code == 0 and [line.split()[:2] for line in text.splitlines()[1:]] == [
                ["n0", "has"],
                ["n1", "has"],
                ["n2", "has"],
            ], text
            controls = [word for each in fleet for word in ("--control", each.control)]
            code, text = await command("configuration", "status", *controls)
            assert code == 0 and len(text.splitlines()) == 4, text

            # The maker is killed once another has the change: it is lost nowhere.
            number = await change(rig, third, customer=OTHER)
            await rig.until(lambda: holds(rig, first, number))
            await rig.kill(third)
            await rig.one_digest(first, second, within=AGREED_WITHIN)
            assert await holds(rig, second, number)
            code, text = await command("configuration", "in-force", number, "--control", first.control)
            assert code == 1 and "n2" in text, text

            # It comes back with its old disk, and says what it had; what it missed comes.
            missed = await change(rig, first, plan="plain")
            third = await rig.start("n2", state=True, zone="b", catch_up_ms=5000)
            restored = next(e for e in third.events if e["event"] == "configuration.restored")
            assert restored["records"] == 2 and restored["age_s"] >= 0
            assert await holds(rig, third, missed)  # it was ready only then
            await rig.one_digest(first, second, third, within=AGREED_WITHIN)

            # With no disk, and much to take, it is cut off half-way and killed.
            await rig.kill(third)
            shutil.rmtree(tmp_path / "n2" / "state")
            await load(first, MANY)
            rig.relayed.clear()
            rig.faults.cut = lambda one, other: rig.relayed["n2"] > HALF if other == "n2" else False
            torn = await rig.launch("n2", state=True, zone="b", catch_up_ms=60_000)
            await rig.until(lambda: half_of_it(rig))
            assert (await rig.ask(torn, "GET", "/v1/configuration/status"))["records"] < 3 + MANY
            await rig.kill(torn)
            rig.faults.cut = whole
            # Begun anew it has all before it is ready.
            third = await rig.start("n2", state=True, zone="b", catch_up_ms=10_000)
            status = await rig.ask(third, "GET", "/v1/configuration/status")
            assert status["records"] == 3 + MANY
            assert not any(e["event"] == "plan.behind" for e in third.events)

            # One that was stopped meanwhile catches up by itself.
            second.send(signal.SIGSTOP)
            number = await change(rig, first)
            await rig.until(lambda: holds(rig, third, number))
            second.send(signal.SIGCONT)
            await rig.until(lambda: everywhere(rig, third, number), AGREED_WITHIN)
            await rig.one_digest(first, second, third, within=AGREED_WITHIN)

    trio.run(main)


def test_changes_on_both_sides_of_a_cut_end_in_one_digest(tmp_path: Path) -> None:
    async def main() -> None:
        async with rigged(tmp_path, 13) as rig:
            first = await rig.start("n0", seeds=())
            fleet = [first, *await rig.started("n1", "n2")]
            await rig.settled(*fleet)

            # Cut both ways: each side goes on by its own, and they contradict one another.
            rig.faults.cut = lambda one, other: (one == "n0") != (other == "n0")
            mine = await change(rig, fleet[0], plan="plain")
            theirs = await change(rig, fleet[1], plan="large")
            await rig.until(lambda: holds(rig, fleet[2], theirs))
            assert not await holds(rig, fleet[2], mine) and not await holds(rig, fleet[0], theirs)
            said = await rig.ask(fleet[2], "GET", f"/v1/configuration/in-force?number={theirs}")
            assert not said["everywhere"] and said["silent"] == ["n0"], said
            rig.faults.cut = whole
            await rig.one_digest(*fleet, within=AGREED_WITHIN)
            assert len({await plan_of(rig, each) for each in fleet}) == 1
            assert all([await holds(rig, each, number) for each in fleet for number in (mine, theirs)])

            # One can hear and not speak: neither side has an answer from the other.
            rig.faults.cut = lambda one, other: one == "n0"
            mine = await change(rig, fleet[0], plan="plain")
            theirs = await change(rig, fleet[2], plan="large")
            await rig.until(lambda: holds(rig, fleet[1], theirs))
            assert not await holds(rig, fleet[1], mine)
            rig.faults.cut = whole
            await rig.one_digest(*fleet, within=AGREED_WITHIN)
            assert all([await holds(rig, each, number) for each in fleet for number in (mine, theirs)])

    trio.run(main)


def test_a_peer_of_the_previous_version_gets_and_gives_changes(tmp_path: Path) -> None:
    async def main() -> None:
        async with rigged(tmp_path, 17) as rig, old_version() as old:
            running = await rig.start("n0", seeds=(), peers=[old.address])
            stamp = time.time_ns() // 1000
            old.changes.append(Change(stamp, "old", SetPlan(OTHER, "large", 1), "zoe"))
            theirs = str(old.changes[0].number)
            await rig.event(running, "peer.old_version")
            await rig.until(lambda: holds(rig, running, theirs), AGREED_WITHIN)
            mine = await change(rig, running)
            with trio.fail_after(AGREED_WITHIN):
                await old.follow(running.control, until=2)
            assert str(old.changes[1].number) == mine
            said = await rig.ask(running, "GET", f"/v1/configuration/in-force?number={mine}")
            assert said["everywhere"] and len(said["has"]) == 2, said
            assert len([line for line in old.refused if "exchange" in line]) == 2  # the survey's is one
            status = await rig.ask(running, "GET", "/v1/status")
            assert [(peer["state"], peer["old_version"]) for peer in status["peers"]] == [("current", True)]
            assert status["fellows"] == status["peers"]

    trio.run(main)
