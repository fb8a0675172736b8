"""What one play is, drawn from its seed: the size, the deadlines, the kinds of fault and the signals."""

from __future__ import annotations

import random
from dataclasses import dataclass, replace
from typing import Literal, cast, get_args

from gorsefork.lab.faults.clients import Manners
from gorsefork.lab.faults.plan import Call, Plan, Rule
from gorsefork.lab.faults.replacement import Replacement
from gorsefork.lab.faults.servers import Trouble
from gorsefork.lab.faults.slow_start import SlowStartTerms

Kind = Literal[
    "accept", "socket", "connect", "short", "hold", "clock", "restart", "series", "leave", "stop", "crowd",
    "backend", "drain", "discovery", "replace",
]  # fmt: skip
KINDS: tuple[Kind, ...] = get_args(Kind)
DRAWN_KINDS = tuple(kind for kind in KINDS if kind != "replace")  # it is drawn apart, beside these
# Not played beside replaced backends: one changes the same list, and a process that starts with a wrong
# wall clock can't know how old a backend is (docs/clocks.md).
KINDS_APART_FROM_REPLACE: tuple[Kind, ...] = ("drain", "clock")
ERRORS: dict[str, tuple[str, ...]] = {
    "accept": ("ECONNABORTED", "ENFILE", "EMFILE", "ENOBUFS", "ENOMEM"),
    "socket": ("ENFILE", "EMFILE", "ENOBUFS", "ENOMEM"),
    "connect": ("EADDRNOTAVAIL", "ENETUNREACH", "ENOBUFS"),
}
TROUBLES: tuple[Trouble, ...] = ("hangs", "errors", "resets", "turns away", "breaks off", "never ends")
HOUR = 3600.0  # s
MEMORY_LIMITS_MB = (48, 96, 192)
REPLACE_SHARE = 0.6  # of the plays


@dataclass(frozen=True, slots=True)
class Play:
    """``longest``: the longest deadline in seconds, by which SIGKILL follows SIGTERM."""

    seed: int
    kinds: tuple[Kind, ...]
    seconds: float
    ingresses: int
    longest: float
    manners: Manners
    plans: tuple[Plan, ...]  # by ingress
    memory_mb: int  # the limit of each process
    replacement: Replacement | None = None  # of backends that bear only so much

    @property
    def kill_after(self) -> float:
        """Seconds from SIGTERM to SIGKILL, as soon as the page allows it."""
        return min(3.0, self.longest) + 0.7


def draw(seed: int, kinds: tuple[Kind, ...] = (), seconds: float = 20.0) -> Play:
    """The play of a seed: two to five kinds unless they are given. The same seed gives the same play."""
    rng = random.Random(seed)
    drawn: tuple[Kind, ...] = tuple(sorted(rng.sample(DRAWN_KINDS, rng.randint(2, 5))))
    replace_rng = random.Random(f"{seed}/replace")  # drawn apart, so that a seed plays what it did before
    if replace_rng.random() < REPLACE_SHARE:
        beside = [kind for kind in drawn if kind not in KINDS_APART_FROM_REPLACE]
        drawn = (*beside, "replace")
    kinds = kinds or drawn
    longest = rng.choice((0.6, 0.9, 2.0))
    ingresses = rng.choice((3, 3, 3, 4, 6))
    if "replace" in kinds and "crowd" not in kinds:  # a crowd at each of forty is too much for one machine
        ingresses = replace_rng.choice((ingresses, ingresses, 12, 40))
    manners = Manners(rate=rng.choice((60.0, 120.0)), waits=(0.3, longest))
    if "leave" in kinds:
        manners = replace(manners, leaves=0.15)
    if "stop" in kinds:
        manners = replace(manners, stops=0.03)
    if "crowd" in kinds:
        manners = replace(manners, crowd=120)
    plans = tuple(plan(rng, kinds) for _ in range(ingresses))
    # drawn apart, so that a seed plays the same faults as before there were limits
    memory_mb = random.Random(f"{seed}/memory").choice(MEMORY_LIMITS_MB)
    replacement = None
    if "replace" in kinds:
        manners = replace(manners, uneven=replace_rng.random() < 0.5)
        replacement = draw_replacement(replace_rng, manners.rate)
    return Play(seed, kinds, seconds, ingresses, longest, manners, plans, memory_mb, replacement)


def draw_replacement(rng: random.Random, rate: float) -> Replacement:
    """Backends that are busy by 0.3 to 0.7 at the usual rate, replaced one by one, by twos or all at once."""
    backends, work = rng.choice((5, 8, 12)), rng.choice((0.02, 0.05, 0.1))
    cores = rate * work / backends / rng.uniform(0.3, 0.7)
    terms = SlowStartTerms(
        cold_share=rng.choice((0.1, 0.31, 0.5)),
        ramp=rng.choice((3.0, 8.0, 17.0)),
        fall_multiple=rng.choice((1.5, 2.0, 2.5)),
        fall_window=rng.choice((0.5, 1.5)),
    )
    return Replacement(
        terms,
        backends,
        replaced=backends - 2,
        at_once=rng.choice((1, 2, 2, backends - 2)),
        cores=cores,
        work=work,
        slots=max(2, round(4 * cores)),
        queue=rng.choice((2, 10, 40)),
        listed_age=rng.choice((0.0, 0.5, 1.55)),
        settle=200,
        between=rng.choice((10, 40)),
        afterwards=200,
        burst=rng.choice((1.0, 1.0, 2.0, 3.0)),
        repeated=True,
    )


def plan(rng: random.Random, kinds: tuple[Kind, ...]) -> Plan:
    """What fails in one ingress."""
    rules: list[Rule] = []
    for call in ("accept", "socket", "connect"):
        if call in kinds:
            named = cast(Call, call)
            rate = rng.choice((0.1, 0.4))
            rules += [
                Rule(call=named, effect="error", error=error, rate=rate / len(ERRORS[call]))
                for error in ERRORS[call]
            ]
    if "short" in kinds:
        rules.append(Rule(call="recv", effect="short", most=rng.choice((1, 7, 60)), rate=0.3))
        rules.append(Rule(call="sendmsg", effect="short", most=rng.choice((1, 7, 60)), rate=0.3))
    if "hold" in kinds:
        rules.append(Rule(call="wait", effect="hold", seconds=0.14, rate=0.005))
        rules.append(Rule(call="sendmsg", effect="hold", seconds=0.14, rate=0.005))
    ahead = 0.0
    steps: tuple[tuple[float, float], ...] = ()
    if "clock" in kinds:
        ahead = rng.choice((0.0, HOUR, -HOUR))
        steps = tuple((rng.uniform(1.0, 15.0), rng.choice((-HOUR, -5.0, 5.0, HOUR))) for _ in range(2))
    return Plan(seed=rng.randrange(1 << 30), rules=tuple(rules), clock_ahead=ahead, clock_steps=steps)
