"""What is to fail in one process, and when: the plan that the shim carries out."""

from __future__ import annotations

import errno
from pathlib import Path
from typing import Literal

import msgspec

PLAN_VARIABLE = "GORSEFORK_FAULT_PLAN"  # names the plan's file to the shim
LOG_VARIABLE = "GORSEFORK_FAULT_LOG"  # the file that gets a line for each injection

Call = Literal["socket", "accept", "connect", "recv", "sendmsg", "sendto", "recvfrom", "wait"]
Effect = Literal["error", "hold", "short"]
CAN_BE_SHORT: frozenset[Call] = frozenset(("recv", "sendmsg"))


class BadPlan(ValueError):
    """A plan that cannot be carried out; the text names the rule."""


class Rule(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Which calls fail, and how. A call is hit if its number is in ``nth`` or by chance at ``rate``.

    ``error``: the call fails with the errno of this name, and has no effect. ``hold``: it begins ``seconds``
    later, with the whole process held up. ``short``: it takes or gives ``most`` bytes.
    """

    call: Call
    effect: Effect
    error: str = ""
    seconds: float = 0.0
    most: int = 0
    nth: tuple[int, ...] = ()  # numbers of this process's calls of this name, from 1
    rate: float = 0.0  # chance for each call
    begins: float = 0.0  # s after the process's start
    ends: float | None = None

    def check(self) -> None:
        if not self.nth and not 0.0 < self.rate <= 1.0:
            raise BadPlan(f"{self.call}: neither nth nor a rate above 0 and up to 1")
        if self.effect == "error" and not isinstance(getattr(errno, self.error, None), int):
            raise BadPlan(f"{self.call}: {self.error!r} is no errno")
        if self.effect == "hold" and self.seconds <= 0.0:
            raise BadPlan(f"{self.call}: a hold has seconds above 0")
        if self.effect == "short" and (self.call not in CAN_BE_SHORT or self.most < 1):
            raise BadPlan(f"{self.call}: only recv and sendmsg can be short, of 1 byte or more")


class Plan(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """``clock_ahead``: seconds by which this process's wall clock is ahead from the start (below 0: behind).
    ``clock_steps``: at so many seconds after the start it steps by so many more."""

    seed: int = 0
    rules: tuple[Rule, ...] = ()
    clock_ahead: float = 0.0
    clock_steps: tuple[tuple[float, float], ...] = ()

    def check(self) -> None:
        for rule in self.rules:
            rule.check()


def read(path: Path) -> Plan:
    """The plan in a JSON file. ``BadPlan`` says what is wrong with it."""
    try:
        plan = msgspec.json.decode(path.read_bytes(), type=Plan)
    except msgspec.DecodeError as error:
        raise BadPlan(str(error)) from None
    plan.check()
    return plan


def write(plan: Plan, path: Path) -> None:
    plan.check()
    path.write_bytes(msgspec.json.encode(plan))
