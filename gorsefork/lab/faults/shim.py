"""Runs ``gorsefork`` with system calls that fail by a plan: ``python -m gorsefork.lab.faults.shim``.

The calls are replaced at the interpreter's own modules before the program is imported, so that the program
holds no hook. EINTR has no rule: the interpreter itself goes on waiting (PEP 475); signals are sent instead.
"""

from __future__ import annotations

import errno
import json
import math
import os
import random
import runpy
import select
import socket
import sys
import threading
import time
import traceback
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from typing import Any

from gorsefork.lab.faults.plan import LOG_VARIABLE, PLAN_VARIABLE, Call, Plan, Rule, read

WATCH_EVERY = 0.02  # s
LONG_TURN = 0.25  # s of one turn of the program's loop, from which it is told where it is
MACHINE_HELD_FROM = 0.1  # s by which a sleep ends late that the machine has held up

SOCKET_CALLS: dict[str, Call] = {
    "accept": "accept",
    "connect": "connect",
    "connect_ex": "connect",
    "recv": "recv",
    "sendmsg": "sendmsg",
    "send": "sendmsg",
    "sendto": "sendto",
    "recvfrom": "recvfrom",
}


class Injector:
    """Decides call by call what fails, and tells each injection in a line of its own."""

    def __init__(self, plan: Plan, log: int) -> None:
        self.plan, self.log = plan, log
        self.rng = random.Random(plan.seed)
        self.begun = time.monotonic()
        self.calls: Counter[Call] = Counter()
        self.turn_since = math.inf  # when the loop's last wait ended; inf while it waits
        self.turn_cpu = 0.0  # of the main thread, by then
        self.slept = 0.0  # s of injected holds in this turn

    def rule_for(self, call: Call) -> Rule | None:
        """The first rule that this call meets. Told before it happens, so that a test may act on it."""
        self.calls[call] += 1
        now = time.monotonic() - self.begun
        for rule in self.plan.rules:
            if rule.call != call or not rule.begins <= now < (rule.ends or math.inf):
                continue
            if self.calls[call] in rule.nth or (rule.rate and self.rng.random() < rule.rate):
                self.tell(rule, now)
                return rule
        return None

    def tell(self, rule: Rule, at: float) -> None:
        what = rule.error or (f"{rule.seconds} s" if rule.effect == "hold" else f"{rule.most} bytes")
        line = {
            "monotonic": time.monotonic(),
            "at": round(at, 6),
            "call": rule.call,
            "number": self.calls[rule.call],
            "effect": rule.effect,
            "what": what,
        }
        os.write(self.log, json.dumps(line).encode() + b"\n")

    def tell_held(self, since: float, seconds: float) -> None:
        line = {"monotonic": since, "call": "machine", "effect": "held", "what": f"{seconds:.3f} s"}
        os.write(self.log, json.dumps(line).encode() + b"\n")

    def turn_begins(self, waits_since: float, timeout: float) -> None:
        """The loop's wait has ended."""
        self.turn_since, self.turn_cpu, self.slept = time.monotonic(), time.thread_time(), 0.0
        late = self.turn_since - waits_since - timeout
        if late >= MACHINE_HELD_FROM:
            self.tell_held(waits_since + timeout, late)

    def turn_ends(self) -> None:
        """The loop is about to wait. Time in its turn that it neither ran nor was held by a rule is the
        machine's: a processor of a virtual machine may be taken away under a thread."""
        since, self.turn_since = self.turn_since, math.inf
        if since < math.inf:
            idle = time.monotonic() - since - (time.thread_time() - self.turn_cpu) - self.slept
            if idle >= MACHINE_HELD_FROM:
                self.tell_held(since, idle)

    def tell_long_turn(self, where: str) -> None:
        """The program's loop is busy, or stuck, in one turn: at which lines."""
        line = {"monotonic": time.monotonic(), "call": "turn", "effect": "long", "what": where}
        os.write(self.log, json.dumps(line).encode() + b"\n")

    def wall_clock_shift(self) -> float:
        """Seconds by which the wall clock is off just now."""
        age = time.monotonic() - self.begun
        return self.plan.clock_ahead + sum(by for at, by in self.plan.clock_steps if age >= at)


def failing(original: Callable[..., Any], name: str, injector: Injector) -> Callable[..., Any]:
    """A socket's method that asks the injector first."""
    call = SOCKET_CALLS[name]

    def method(sock: socket.socket, *given: Any, **named: Any) -> Any:
        # A wake-up socket of the loop's own (AF_UNIX) is no system call of the program's.
        rule = None if sock.family == socket.AF_UNIX else injector.rule_for(call)
        if rule is None:
            return original(sock, *given, **named)
        if rule.effect == "error":
            number = getattr(errno, rule.error)
            if name == "connect_ex":
                return number
            raise OSError(number, os.strerror(number))
        if rule.effect == "hold":
            injector.slept += rule.seconds
            time.sleep(rule.seconds)
            return original(sock, *given, **named)
        return original(sock, *shortened(name, rule.most, given), **named)

    return method


def shortened(name: str, most: int, given: tuple[Any, ...]) -> tuple[Any, ...]:
    """The same arguments for at most so many bytes. A look ahead (MSG_PEEK) keeps its meaning."""
    first, *rest = given
    if name == "recv":
        return (min(first, most), *rest)
    if name == "send":
        return (memoryview(first)[:most], *rest)
    return ([memoryview(b"".join(first))[:most]], *rest)


class FailingSocket(socket.socket):
    """A socket whose making may fail."""

    injector: Injector

    def __init__(self, *given: Any, **named: Any) -> None:
        adopted = named.get("fileno") is not None or (len(given) > 3 and given[3] is not None)
        rule = None if adopted else self.injector.rule_for("socket")
        if rule is not None and rule.effect == "error":
            number = getattr(errno, rule.error)
            raise OSError(number, os.strerror(number))
        super().__init__(*given, **named)


class HeldEpoll:
    """An epoll object whose waits may end late, as those of a process that was not scheduled."""

    injector: Injector
    make: Callable[..., Any]

    def __init__(self, *given: Any) -> None:
        self.epoll = type(self).make(*given)

    def poll(self, *given: Any) -> Any:
        self.injector.turn_ends()
        timeout = max(0.0, given[0]) if given else math.inf
        since = time.monotonic()
        events = self.epoll.poll(*given)
        self.injector.turn_begins(since, timeout)
        rule = self.injector.rule_for("wait")
        if rule is not None and rule.effect == "hold":
            self.injector.slept += rule.seconds
            time.sleep(rule.seconds)
        return events

    def __getattr__(self, name: str) -> Any:
        return getattr(self.epoll, name)


def install(injector: Injector) -> None:
    """Replace the calls of this process."""
    for name in SOCKET_CALLS:
        setattr(socket.socket, name, failing(getattr(socket.socket, name), name, injector))
    FailingSocket.injector = HeldEpoll.injector = injector
    socket.socket = FailingSocket  # type: ignore[misc]
    HeldEpoll.make = staticmethod(select.epoll)
    select.epoll = HeldEpoll  # type: ignore[misc,assignment]
    wall_clock, wall_clock_ns = time.time, time.time_ns
    time.time = lambda: wall_clock() + injector.wall_clock_shift()
    time.time_ns = lambda: wall_clock_ns() + round(injector.wall_clock_shift() * 1e9)


def where(thread: threading.Thread) -> str:
    """The innermost lines that a thread is at."""
    frames = traceback.extract_stack(sys._current_frames()[thread.ident or 0])
    return "; ".join(f"{Path(each.filename).name}:{each.lineno} {each.name}" for each in frames[-6:])


def watch_for_holds(injector: Injector) -> None:
    """Tell when this process was held up by the machine, in a thread of its own: an injected hold is none."""
    while True:
        since = time.monotonic()
        time.sleep(WATCH_EVERY)
        late = time.monotonic() - since - WATCH_EVERY
        if late >= MACHINE_HELD_FROM:
            injector.tell_held(since, late)
        if since - injector.turn_since >= LONG_TURN:
            injector.tell_long_turn(where(threading.main_thread()))
            injector.turn_since = math.inf


def main() -> None:
    plan = read(Path(os.environ[PLAN_VARIABLE]))
    log = os.open(os.environ[LOG_VARIABLE], os.O_WRONLY | os.O_APPEND | os.O_CREAT | os.O_CLOEXEC, 0o600)
    injector = Injector(plan, log)
    threading.Thread(target=watch_for_holds, args=(injector,), daemon=True).start()
    install(injector)
    runpy.run_module("gorsefork", run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()
