"""The fault tests' own parts, and a short seeded soak of real processes."""

from __future__ import annotations

from pathlib import Path

import pytest

from gorsefork.lab.faults import report
from gorsefork.lab.faults.draw import KINDS, draw
from gorsefork.lab.faults.plan import BadPlan, Plan, Rule, read, write

SHORT_SOAK = (
    (1, "accept,restart,leave"),
    (2, "connect,socket,hold,backend"),
    (3, "short,clock,series,drain"),
)


@pytest.mark.parametrize(
    "rule",
    [
        Rule(call="accept", effect="error", error="ENFILE"),  # neither nth nor rate
        Rule(call="accept", effect="error", error="ENOSUCH", rate=0.1),
        Rule(call="wait", effect="hold", rate=0.1),
        Rule(call="accept", effect="short", most=1, rate=0.1),
    ],
)
def test_a_plan_that_cannot_be_carried_out_is_refused(rule: Rule, tmp_path: Path) -> None:
    with pytest.raises(BadPlan):
        write(Plan(rules=(rule,)), tmp_path / "plan.json")


def test_a_plan_comes_back_from_its_file(tmp_path: Path) -> None:
    plan = Plan(
        seed=7, rules=(Rule(call="recv", effect="short", most=3, nth=(1, 4)),), clock_steps=((1.0, -5.0),)
    )
    write(plan, tmp_path / "plan.json")
    assert read(tmp_path / "plan.json") == plan


def test_a_plan_that_is_no_plan_is_refused(tmp_path: Path) -> None:
    (tmp_path / "plan.json").write_text('{"rules": [{"call": "fork", "effect": "error"}]}')
    with pytest.raises(BadPlan):
        read(tmp_path / "plan.json")


def test_the_same_seed_is_the_same_play_and_each_kind_is_drawn() -> None:
    plays = [draw(seed) for seed in range(1, 51)]
    assert plays == [draw(seed) for seed in range(1, 51)]
    assert {kind for play in plays for kind in play.kinds} == set(KINDS)


def test_seeds_and_kinds_are_read() -> None:
    assert list(report.seed_range("3-5")) == [3, 4, 5]
    assert report.kinds_named("hold, accept") == ("accept", "hold")
    with pytest.raises(ValueError, match="earthquake"):
        report.kinds_named("earthquake")


@pytest.mark.parametrize(("seed", "kinds"), SHORT_SOAK)
def test_a_short_soak_breaks_no_rule(seed: int, kinds: str, tmp_path: Path) -> None:
    result = report.play_seed(seed, report.kinds_named(kinds), seconds=8.0)
    assert not result.broken, "\n".join(result.lines)
    assert result.answered > 100
    report.append(result, tmp_path / "results")
    assert report.load(tmp_path / "results") == [result]
