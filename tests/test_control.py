"""The control listener: changes made once, refused whole, found at every ingress; and bad callers."""

from __future__ import annotations

import json
import subprocess
import sys
import time
from pathlib import Path
from typing import Any
from unittest import mock

import msgspec
import pytest
import trio
from scenario import CUSTOMER, World, scenario

from gorsefork.decisions import interface as i
from gorsefork.life.start import Ingress
from gorsefork.memory.clock import Clock
from gorsefork.plans.book import PlanBook
from gorsefork.plans.changes import SECOND, Change, ChangeNumber, HybridClock, SetPlan

OTHER = "00000000b4d65522"
CONTROL = '[control]\nlisten = "127.0.0.1:0"\ncatch_up_ms = 50\n'


def asks(verb: str, path: str, body: Any = None, key: str = "", who: str = "c9", at: int = 0) -> str:
    text = "" if body is None else " | " + json.dumps(body)
    named = f" Idempotency-Key={key}" if key else ""
    return f"{who} send {verb} {path} front=control at={at}{named}{text}"


def wanted(plan: str = "rated", effective: int = 1, customer: str = CUSTOMER, **more: Any) -> dict[str, Any]:
    return {
        "act": {"do": "set", "customer": customer, "plan": plan, "effective": effective},
        "author": "ana",
        **more,
    }


async def told(world: World, line: str, status: int = 200) -> Any:
    """The JSON of one answer."""
    await world.play(line)
    with trio.fail_after(5):
        answer = await world.clients[line.split(" ", 1)[0]].message()
    assert answer is not None and answer.split(" ")[1] == str(status), answer
    return json.loads(answer.partition("\r\n\r\n")[2])


def numbers_in(book: PlanBook) -> set[ChangeNumber]:
    parts = (change for place in range(book.log.parts) for change in book.log.part(place))
    return {change.number for change in (*parts, *book.log.of_customer(None))}


def reserve(rate: float, burst: float, starts: int, ends: int) -> dict[str, Any]:
    act = {"do": "reserve", "customer": CUSTOMER, "rate": rate, "burst": burst}
    return {"act": {**act, "starts": starts, "ends": ends}, "author": "ben"}


def test_a_change_is_made_once_shown_and_undone() -> None:
    async def main(world: World) -> None:
        first = await told(world, asks("POST", "/v1/changes", wanted(), "k1"))
        again = await told(world, asks("POST", "/v1/changes", wanted(), "k1"))
        assert first == again and first["number"].endswith("@n0")
        shown = await told(world, asks("GET", f"/v1/plans/{CUSTOMER}"))
        assert shown["entry"]["number"] == first["number"] and len(shown["history"]) == 1
        listed = await told(world, asks("GET", "/v1/plans"))
        assert [row["customer"] for row in listed["customers"]] == [CUSTOMER] and not listed["more"]
        cancel = {
            "act": {"do": "cancel", "customer": CUSTOMER, "number": first["number"], "effective": 1},
            "author": "ana",
        }
        await told(world, asks("POST", "/v1/changes", cancel))
        assert (await told(world, asks("GET", f"/v1/plans/{CUSTOMER}")))["entry"] is None
        diff = await told(world, asks("GET", f"/v1/diff?from={first['number']}"))
        assert [row["customer"] for row in diff["customers"]] == [CUSTOMER]
        back = {"act": {"do": "rollback", "to": first["number"], "effective": 1}, "author": "ana"}
        await told(world, asks("POST", "/v1/changes", back))
        assert (await told(world, asks("GET", f"/v1/plans/{CUSTOMER}")))["entry"]["number"] == first["number"]

    scenario("", operator=CONTROL, then=main)


@pytest.mark.parametrize(
    ("line", "status", "reason"),
    [
        (asks("POST", "/v1/changes", wanted(plan="none")), 422, "no plan 'none'"),
        (asks("POST", "/v1/changes", wanted(customer="zz")), 422, "$.act.customer"),
        (asks("POST", "/v1/changes", wanted(effective=-1)), 422, "$.act.effective"),
        (asks("POST", "/v1/changes", wanted(more=1)), 422, "unknown field `more`"),
        (asks("POST", "/v1/changes", {"act": {"do": "grant"}, "author": "a"}), 422, "grant"),
        (asks("POST", "/v1/changes", [1]), 422, "object"),
        (asks("POST", "/v1/changes"), 400, "not JSON"),
        (asks("POST", "/v1/changes", wanted(), key="k" * 129), 400, "128"),
        (asks("POST", "/v1/changes", reserve(1.0, 0.0, 9, 9)), 422, "act.ends"),
        (asks("GET", "/v1/plans/XX"), 422, "$"),
        (asks("GET", "/v1/plans?limit=0"), 422, "limit"),
        (asks("GET", "/v1/plans?depth=1"), 422, "depth"),
        (asks("GET", "/v1/status?x=1"), 400, "x"),
        (asks("GET", "/v1/plans?limit=1&limit=2"), 400, "twice"),
        (asks("GET", "/v1/feed?wait_ms=99999"), 422, "wait_ms"),
        (asks("GET", "/v1/changes/7@n9"), 404, "no change"),
        (asks("GET", "/v1/changes/seven"), 400, "no number"),
        (asks("GET", "/v2/status"), 404, "no such call"),
        (asks("DELETE", "/v1/changes"), 405, "GET, POST"),
    ],
)
def test_what_makes_no_sense_is_refused_whole_with_its_reason(line: str, status: int, reason: str) -> None:
    async def main(world: World) -> None:
        assert reason in (await told(world, line, status))["error"]
        extra = world.ingresses[0].installation
        assert extra is not None and len(extra.plan_service.book) == 0

    scenario("", operator=CONTROL, then=main)


def test_a_key_or_a_number_that_stands_for_another_change_is_refused() -> None:
    async def main(world: World) -> None:
        made = await told(world, asks("POST", "/v1/changes", wanted(), "k1"))
        await told(world, asks("POST", "/v1/changes", wanted(effective=2), "k1"), 409)
        await told(world, asks("PUT", f"/v1/changes/{made['number']}", made["change"], who="c8"))
        other = {**made["change"], "note": "x"}
        await told(world, asks("PUT", f"/v1/changes/{made['number']}", other, who="c8"), 409)
        await told(world, asks("PUT", "/v1/changes/1@n5", made["change"], who="c7"), 400)
        ahead = Change(
            Clock().unix_us() + 2 * HybridClock.MAX_AHEAD_US, "n5", SetPlan(CUSTOMER, "rated", 1), "zoe"
        )
        line = asks("PUT", f"/v1/changes/{ahead.number}", msgspec.to_builtins(ahead), who="c6")
        assert "ahead of this ingress's clock" in (await told(world, line, 425))["error"]

    scenario("", operator=CONTROL, then=main)


def test_a_reservation_frees_a_call_that_is_held_for_want_of_quota() -> None:
    async def main(world: World) -> None:
        decider = world.ingresses[0].decision_actor
        drawn = i.Request("x", 0, 0, CUSTOMER, 1.0)
        decider.engine.quota.account_for_request(drawn, decider.settings.plans[0], time.time()).spend(100.0)
        await world.play("c1 send GET /look X-Metering=units=6,spread=1,first=0\nbox wait idle")
        now = Clock().unix_us()
        wish = reserve(5.0, 50.0, now - SECOND, now + 3600 * SECOND)
        await told(world, asks("POST", "/v1/changes", wish))
        await world.play("box expect GET /look\nbox send 200 | hall\nc1 expect 200 | hall")

    scenario("", operator=CONTROL, then=main)


def test_terms_change_by_themselves_when_their_time_has_come() -> None:
    async def main(world: World) -> None:
        now = Clock().unix_us()
        wish = reserve(5.0, 50.0, now + SECOND // 5, now + SECOND // 2)
        await told(world, asks("POST", "/v1/changes", wish))
        decider = world.ingresses[0].decision_actor
        heard: list[i.Plan | None] = []
        post = decider.post

        def listen(event: i.Event) -> None:
            if isinstance(event, i.PlanOverride):
                heard.append(event.plan)
            post(event)

        decider.post = listen  # type: ignore[method-assign]
        await world.play("c1 send GET /look X-Expires-In-Ms=3000\nbox expect GET /look")
        with trio.fail_after(3):
            while len(heard) < 2:
                await trio.lowlevel.checkpoint()
        assert [plan and plan.burst for plan in heard] == [150.0, 100.0]
        await world.play("box send 200 | hall\nc1 expect 200 | hall")

    scenario("", operator=CONTROL, then=main)


def test_a_change_that_the_disk_does_not_take_has_no_effect_and_says_so() -> None:
    async def main(world: World) -> None:
        extra = world.ingresses[0].installation
        assert extra is not None

        async def full(changes: Any) -> None:
            raise OSError("database or disk is full")

        save = extra.plan_service.storage.save
        extra.plan_service.storage.save = full  # type: ignore[method-assign, assignment]
        said = await told(world, asks("POST", "/v1/changes", wanted(), "k1"), 507)
        assert "cannot be kept" in said["error"] and len(extra.plan_service.book) == 0
        extra.plan_service.storage.save = save  # type: ignore[method-assign]
        await told(world, asks("POST", "/v1/changes", wanted(), "k1"))
        assert len(extra.plan_service.book) == 1

    scenario("", operator=CONTROL, then=main)


def states(ingress: Ingress) -> list[str]:
    """Of its peers."""
    assert ingress.installation is not None
    return [peer["state"] for peer in ingress.installation.status()["peers"]]


class TestSpreading:
    def test_a_change_made_at_one_ingress_is_found_at_all_others(self) -> None:
        async def main(world: World) -> None:
            made = await told(world, asks("POST", "/v1/changes", wanted(), at=1))
            for at in (0, 2):
                with trio.fail_after(3):
                    while (await told(world, asks("GET", f"/v1/plans/{CUSTOMER}", who=f"c{at + 3}", at=at)))[
                        "entry"
                    ] is None:
                        await trio.lowlevel.checkpoint()
                shown = await told(world, asks("GET", f"/v1/plans/{CUSTOMER}", who=f"c{at + 3}", at=at))
                assert shown["entry"]["number"] == made["number"]
            with trio.fail_after(3):  # each has passed it on to the others, or heard it from them
                while any(states(ingress) != ["current", "current"] for ingress in world.ingresses):
                    await trio.lowlevel.checkpoint()
            status = await told(world, asks("GET", "/v1/status", who="c8", at=2))
            assert [peer["peer"] for peer in status["peers"]] == ["n0", "n1"]
            assert status["fellows"] == status["peers"]

        scenario("", ingresses=3, operator=CONTROL, then=main)

    def test_a_retry_at_another_ingress_after_the_change_counts_under_the_same_name(self) -> None:
        async def main(world: World) -> None:
            await told(world, asks("POST", "/v1/changes", wanted()))
            extra = world.ingresses[1].installation
            assert extra is not None
            while len(extra.plan_service.book) == 0:
                await extra.plan_service.changed.wait()
            for at in (0, 1):
                await world.play(
                    f"c{at + 1} send GET /look at={at} X-Metering=units=6,spread=1,first=0\n"
                    f"box expect GET /look\nbox send 200 X-Settled=6 | x\nc{at + 1} expect 200"
                )
            names = []
            for _ in (0, 1):
                _, message = await world.servers["counter"].get.receive()
                names.append(message.partition("?")[0].rpartition("/")[2].partition(".")[0])
            assert names[0] == names[1] and "-" in names[0]

        scenario("", ingresses=2, operator=CONTROL, then=main)

    def test_a_token_calls_terms_come_from_the_book_too(self) -> None:
        async def main(world: World) -> None:
            await told(world, asks("POST", "/v1/changes", wanted()))
            await world.play("""
                c1 send GET /look token=t1
                oauth expect POST /introspect
                oauth send 200 Content-Type=application/json | {"active":true,"client_id":"museum"}
                box expect GET /look
                box send 200 X-Settled=6 | x
                c1 expect 200""")
            _, message = await world.servers["counter"].get.receive()
            assert "-" in message.partition("?")[0]

        scenario("", operator=CONTROL, then=main)

    def test_two_operators_at_two_ingresses_at_once_end_in_one_result(self) -> None:
        async def main(world: World) -> None:
            for at in (0, 1):
                act = wanted(customer=CUSTOMER, effective=5, note=f"from {at}")
                await told(world, asks("POST", "/v1/changes", act, who=f"c{at + 3}", at=at))
            with trio.fail_after(3):
                while (
                    len(
                        {
                            ingress.installation.plan_service.book.digest()
                            for ingress in world.ingresses
                            if ingress.installation
                        }
                    )
                    > 1
                ):
                    await trio.lowlevel.checkpoint()
            shown = [
                await told(world, asks("GET", f"/v1/plans/{CUSTOMER}", who=f"c{at + 3}", at=at))
                for at in (0, 1)
            ]
            assert shown[0]["entry"] == shown[1]["entry"] and len(shown[0]["history"]) == 2

        scenario("", ingresses=2, operator=CONTROL, then=main)

    def test_one_that_was_down_has_what_it_missed_before_it_is_ready(self, tmp_path: Path) -> None:
        state = CONTROL + f'[state]\nfolder = "{tmp_path}/s{{n}}"\nsync = "normal"\n'

        async def first(world: World) -> None:
            await told(world, asks("POST", "/v1/changes", wanted()))

        scenario("", operator=state, then=first)

        async def second(world: World) -> None:
            extra = world.ingresses[1].installation
            assert extra is not None and len(extra.plan_service.book) == 1

        scenario("", ingresses=2, operator=state.replace("50", "3000"), then=second)

    @pytest.mark.parametrize(
        "noise", ["send 200 | what?", "send 500", "close", "send raw X\\n\\n", f"send 200 | {'x' * 300_000}"]
    )
    def test_a_peer_that_answers_noise_or_nothing_harms_nobody(self, noise: str) -> None:
        async def main(world: World) -> None:
            await world.play(f"accounts expect POST /v1/configuration/exchange\naccounts {noise}")
            await told(world, asks("POST", "/v1/changes", wanted()))
            extra = world.ingresses[0].installation
            assert extra is not None
            with trio.fail_after(3):
                while not (status := extra.status())["peers"][0]["problem"]:
                    await extra.replication.peers.answered.wait()
            assert status["peers"][0]["state"] == "unheard" and status["fellows"] == status["peers"]
            await world.play("accounts expect POST /v1/configuration/exchange")  # it is asked again
            await world.play("c1 send GET /look\nbox expect GET /look")
            await world.play("box send 200 | hall\nc1 expect 200 | hall")

        peers = CONTROL + 'peers = ["$accounts"]\n'
        scenario("", operator=peers, apart=True, then=main)

    def test_a_peers_change_that_is_refused_hinders_no_other(self) -> None:
        async def main(world: World) -> None:
            extra = world.ingresses[0].installation
            assert extra is not None
            now = Clock().unix_us()
            ahead = Change(now + 2 * HybridClock.MAX_AHEAD_US, "n9", SetPlan(CUSTOMER, "rated", 1), "zoe")
            good = Change(now, "n9", SetPlan(OTHER, "rated", 1), "zoe")
            assert "ahead" in await extra.plan_service.apply_changes([ahead, good])
            assert numbers_in(extra.plan_service.book) == {good.number}
            third = Change(now + 1, "n9", SetPlan(OTHER, "rated", 1), "zoe")
            with mock.patch("gorsefork.plans.book.MAX_CHANGES", 1):
                assert "full" in await extra.plan_service.apply_changes([third])

            async def full(changes: Any) -> None:
                raise OSError("no room")

            extra.plan_service.storage.save = full  # type: ignore[method-assign, assignment]
            assert "no room" in await extra.plan_service.apply_changes([third])
            assert numbers_in(extra.plan_service.book) == {good.number}

        scenario("", operator=CONTROL, then=main)


class TestCallers:
    def test_the_bearer_key_is_needed_where_there_is_one(self, tmp_path: Path) -> None:
        key = tmp_path / "key"
        key.write_text("k" * 20 + "\n")
        key.chmod(0o600)
        wrong = "X" * 20
        scenario(
            f"""
            c1 send GET /v1/status front=control
            c1 expect 401 WWW-Authenticate
            c2 send GET /v1/status front=control Authorization=Bearer\xa0{wrong}
            c2 expect 401
            c3 send raw3 GET /v1/status HTTP/1.1\\nHost: x\\nAuthorization: Bearer {"k" * 20}\\n\\n
            c3 expect 200
            c4 send raw3 GET /v1/status HTTP/1.1\\nHost: x\\nAuthorization: Bearer {wrong}\\n\\n
            c4 expect 401""",
            operator=CONTROL + f'key_file = "{key}"\n',
        )

    def test_one_that_stalls_or_sends_noise_ends_alone(self) -> None:
        scenario(
            f"""
            c1 send raw3 GET /v1/sta
            c2 send raw3 NOISE\\n\\n
            c2 expect 400
            c3 send raw3 POST /v1/changes HTTP/1.1\\nHost: x\\nContent-Length: 99999999\\n\\n{"x" * 70000}
            c3 expect 413
            {asks("GET", "/v1/status", who="c4")}
            c4 expect 200
            c5 send GET /look
            box expect GET /look
            box send 200 | hall
            c5 expect 200 | hall""",
            operator=CONTROL,
        )

    def test_a_question_that_stands_ends_with_its_caller_and_is_answered_by_news(self) -> None:
        async def main(world: World) -> None:
            extra = world.ingresses[0].installation
            assert extra is not None
            calls = extra.plan_calls
            life = extra.plan_service.feed.life
            line = asks("GET", f"/v1/feed?life={life}&after=0&wait_ms=20000", who="c3")
            await world.play(line)
            while calls.waiting < 1:
                await trio.lowlevel.checkpoint()
            await world.play("c3 close")
            while calls.waiting > 0:
                await trio.lowlevel.checkpoint()
            await world.play(line.replace("c3", "c4"))
            await told(world, asks("POST", "/v1/changes", wanted()))
            await world.play("c4 expect 200")

        scenario("", operator=CONTROL, then=main)


def test_without_an_operators_file_there_is_no_control_and_nothing_of_it_is_loaded() -> None:
    heavy = (
        "msgspec",
        "pydantic",
        "pyrsistent",
        "gorsefork.configuration",
        "structlog",
        "sqlite3",
        "click",
        "tabulate",
        "numpy",
        "gorsefork.configuration",
        "gorsefork.plans",
        "gorsefork.storage",
        "gorsefork.usage",
        "gorsefork.cli",
        "gorsefork.fleet",
        "gorsefork.wire.introspection",
        "gorsefork.wire.http1.client_pool",
        "gorsefork.life.replication",
        "gorsefork.life.introspection_config",
        "tomllib",
    )
    code = f"import sys, gorsefork.life.start; print([m for m in {heavy} if m in sys.modules])"
    found = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    assert found.stdout.strip() == "[]"
