"""What cold servers are sent by a whole fleet: real decision engines, model servers, many seeded worlds.

Each world draws how many ingresses and servers there are, how many are replaced and in which order, how late
each ingress hears of it, the load, and how many servers are bad. ``--mix usual`` keeps to one deployment's
terms and its usual load; ``--mix wide`` draws multiples, windows, ramps, cold shares, work and bursts too.
Reported: the most that any new server got in a window over what the rule allows, by the number of requests
and by their true work, which nobody knows ahead; what the new ones got of what they could do; and the most
that all ingresses together took a warm server to do, over what it does.

    python -m benchmarks.cold_sum --worlds 40 --processes 8
"""

from __future__ import annotations

import argparse
import random
from collections.abc import Callable, Sequence
from multiprocessing import Pool
from statistics import fmean

from benchmarks.cold_world import Order, Outcome, World, WorldPlan
from gorsefork.lab.faults.slow_start import SlowStartTerms

INGRESSES, BACKENDS = (2, 5, 10, 20, 20, 30, 30, 40, 100, 200), (8, 8, 14, 14, 14, 30, 30, 60, 120, 200)
USUAL_TERMS = SlowStartTerms(cold_share=0.31, ramp=17.0, fall_multiple=2.5, fall_window=1.5)
ORDERS: tuple[Order, ...] = ("spread", "rolling", "at once")
WORST_SHOWN = 5


def usual(seed: int) -> WorldPlan:
    rng = random.Random(f"{seed}/usual")
    return WorldPlan(
        seed,
        rng.choice(INGRESSES),
        rng.choice(BACKENDS),
        rng.uniform(0.35, 0.65),
        rng.uniform(0.2, 0.35),
        USUAL_TERMS,
        rng.uniform(0.3, 0.65),
        lateness=rng.uniform(0.1, 1.0),
        patience=rng.choice((1.0, 1.0, 0.3)),
    )


def wide(seed: int) -> WorldPlan:
    rng = random.Random(f"{seed}/wide")
    terms = SlowStartTerms(
        cold_share=rng.choice((0.05, 0.1, 0.31, 0.5)),
        ramp=rng.choice((5.0, 17.0, 60.0)),
        fall_multiple=rng.choice((1.1, 1.5, 2.0, 2.5, 4.0)),
        fall_window=rng.choice((0.5, 1.5, 3.0)),
    )
    return WorldPlan(
        seed,
        rng.choice((2, 4, 10, 20, 40, 40)),
        rng.choice((6, 12, 18, 18)),
        rng.uniform(0.3, 0.7),
        rng.choice((0.02, 0.05, 0.25, 1.0)),
        terms,
        rng.uniform(0.3, 0.8),
        rng.choice(ORDERS),
        rng.choice(((0.0, 0.0), (0.5, 0.5), (1.5, 1.7))),
        rng.choice((0.0, 0.5, 3.0)),
        rng.choice((1.0, 1.5, 2.0, 3.0)),
        rng.choice((1.0, 3.0, 10.0)),
        rng.choice((1.0, 0.3)),
        restarted_share=rng.choice((0.0, 0.0, 0.5, 1.0)),
    )


MIXES: dict[str, Callable[[int], WorldPlan]] = {"usual": usual, "wide": wide}


def play(plan: WorldPlan) -> Outcome:
    return World(plan).run()


def describe(outcome: Outcome) -> str:
    plan, terms = outcome.plan, outcome.plan.terms
    return (
        f"world {plan.seed}: {plan.ingresses} x {plan.backends}, {plan.replaced_share:.0%} new, "
        f"{plan.order}, load {plan.load:.2f} x {plan.burst:.1f}, work {plan.work:.2f} s, multiple "
        f"{terms.fall_multiple}, cold {terms.cold_share}, window {terms.fall_window} s: by number "
        f"{outcome.load_by_number:.2f}, by work {outcome.load_by_work:.2f}, estimate {outcome.estimate:.2f}, "
        f"{outcome.attempts_per_answer:.1f} attempts an answer, {outcome.sent_share:.0%} of capacity sent"
    )


def summary(name: str, loads: Sequence[float]) -> str:
    ordered = sorted(loads)
    marks = ", ".join(f"{q}% {ordered[len(ordered) * q // 100]:.2f}" for q in (10, 50, 90))
    beyond = sum(load > 1.0 for load in ordered)
    return f"{len(ordered)} worlds, {name}: {marks}, most {ordered[-1]:.2f}; over 1 in {beyond}"


def main() -> None:
    parser = argparse.ArgumentParser(description=(__doc__ or "").split("\n", 1)[0])
    parser.add_argument("--worlds", type=int, default=40)
    parser.add_argument("--first", type=int, default=1, help="seed of the first world")
    parser.add_argument("--processes", type=int, default=4)
    parser.add_argument("--mix", choices=sorted(MIXES), default="usual")
    given = parser.parse_args()
    plans = [MIXES[given.mix](seed) for seed in range(given.first, given.first + given.worlds)]
    with Pool(given.processes) as pool:
        outcomes = pool.map(play, plans, chunksize=1)
    for outcome in sorted(outcomes, key=lambda each: -each.load_by_number)[:WORST_SHOWN]:
        print(describe(outcome))
    print(summary("over the rule, by number", [each.load_by_number for each in outcomes]))
    print(summary("over the rule, by true work", [each.load_by_work for each in outcomes]))
    print(summary("the estimate over a warm server's capacity", [each.estimate for each in outcomes]))
    print(
        f"served {fmean(each.served for each in outcomes):.1%} with "
        f"{fmean(each.attempts_per_answer for each in outcomes):.2f} attempts an answer; the new were sent "
        f"{fmean(each.sent_share for each in outcomes):.1%} of what they could do"
    )


if __name__ == "__main__":
    main()
