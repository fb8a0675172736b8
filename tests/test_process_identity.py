"""A backend is known by its process and not by its address alone: what may have run stays in its place."""

from __future__ import annotations

from typing import Any

from scenario import SETTINGS, World, scenario
from test_crossings import until

from gorsefork.memory.process_identity import DISCOVERY_LAG_US, ConnectionIdentity, ListedProcess

KEY = "Idempotency-Key=k1"
LAG_US = 60_000_000  # longer than a scenario


def test_a_connection_is_known_by_its_age_or_by_an_older_one_that_is_heard_from() -> None:
    listed = ListedProcess()
    old, young = ConnectionIdentity(listed, 0), ConnectionIdentity(listed, DISCOVERY_LAG_US - 1)
    assert not old.reaches_listed_process(DISCOVERY_LAG_US - 1)
    assert old.reaches_listed_process(DISCOVERY_LAG_US)
    assert not young.reaches_listed_process(DISCOVERY_LAG_US)
    young.heard(DISCOVERY_LAG_US)  # it tells nothing of itself
    assert not young.reaches_listed_process(DISCOVERY_LAG_US)
    old.heard(DISCOVERY_LAG_US)
    assert young.reaches_listed_process(DISCOVERY_LAG_US)


def test_what_is_not_known_as_discovery_lists_another_process_stays_unknown() -> None:
    """Guards against an attempt that reached the new process before discovery told of it."""
    listed = ListedProcess()
    old, young = ConnectionIdentity(listed, 0), ConnectionIdentity(listed, DISCOVERY_LAG_US)
    listed.replaced(DISCOVERY_LAG_US + 1)
    old.heard(DISCOVERY_LAG_US + 2)
    assert old.reaches_listed_process(DISCOVERY_LAG_US + 2)
    assert not young.reaches_listed_process(10 * DISCOVERY_LAG_US)


def test_a_keyed_request_that_may_have_run_is_not_sent_to_a_process_that_is_not_known() -> None:
    """Guards against a second run at a new process of another cell, before discovery tells (issue 54 d)."""

    async def then(world: World) -> None:
        await world.play(f"c1 send POST /buy {KEY} X-Expires-In-Ms=600\nbox expect POST /buy\nbox close")
        await world.play("c1 expect 502\nbox wait idle")
        assert world.ingresses[0].decision_actor.metrics.broken_off["unknown_process"] > 0

    scenario("", then=then, discovery_lag_us=LAG_US)


def test_a_keyed_request_is_repeated_at_a_process_that_is_known() -> None:
    async def then(world: World) -> None:
        await world.play(f"c1 send POST /buy {KEY}\nbox expect POST /buy\nbox close")
        await world.play("box expect POST /buy\nbox send 200 | sold\nc1 expect 200 | sold")

    scenario("", then=then)


def test_a_request_that_is_safe_to_repeat_is_repeated_anywhere() -> None:
    async def then(world: World) -> None:
        await world.play("c1 send GET /look\nbox expect GET /look\nbox close")
        await world.play("box expect GET /look\nbox send 200 | seen\nc1 expect 200 | seen")

    scenario("", then=then, discovery_lag_us=LAG_US)


def test_a_keyed_request_whose_repeats_are_dropped_everywhere_is_repeated_anywhere() -> None:
    classes: list[dict[str, Any]] = [dict(each) for each in SETTINGS["classes"]]
    classes[1]["keyScope"] = "all"

    async def then(world: World) -> None:
        await world.play(f"c1 send POST /buy {KEY}\nbox expect POST /buy\nbox close")
        await world.play("box expect POST /buy\nbox send 200 | sold\nc1 expect 200 | sold")
        await until(lambda: not world.ingresses[0].decision_actor.calls)

    scenario("", then=then, settings={**SETTINGS, "classes": classes}, discovery_lag_us=LAG_US)
