"""Implements the operators' commands, independently of their transport."""

from __future__ import annotations

from collections.abc import Callable

from gorsefork.memory.metrics import METRIC_PREFIX, Metrics
from gorsefork.memory.ports import Log
from gorsefork.memory.registry import Registry
from gorsefork.memory.serving import ServingState

MAX_ID_LENGTH = 256


class OperatorCommands:
    """Executes operators' commands. ``answer`` takes one line, returns the reply to write and never waits.

    ``avoided`` counts the backends that currently receive no attempts.
    ``listeners`` are notified of each set-down, set-up and drain command, for example to forward it to
    another process of this ingress.
    """

    def __init__(
        self,
        serving: ServingState,
        registry: Registry,
        metrics: Metrics,
        avoided: Callable[[], int],
        log: Log,
    ) -> None:
        self.serving = serving
        self.registry = registry
        self.metrics = metrics
        self.count_avoided = avoided
        self.log = log
        self.listeners: list[Callable[[str], None]] = []
        # Further metrics, one a line.
        self.memory_lines: Callable[[], list[str]] = list
        self.slow_start_lines: Callable[[], list[str]] = list
        self.handlers: dict[str, Callable[[], str]] = {
            "check": self.check,
            "vars": self.metrics_text,
            "drain-on": lambda: self.set_draining(True),
            "drain-off": lambda: self.set_draining(False),
        }

    def answer(self, line: str) -> str:
        """Execute one line and return ``+OK`` or ``-ERR`` with a text, ended by a line feed.

        An invalid command changes nothing.
        """
        words = line.split()
        if not words:
            return error_reply("say check, vars, set-down ID, set-up ID, drain-on or drain-off")
        name, arguments = words[0], words[1:]
        if name in ("set-down", "set-up"):
            if len(arguments) != 1 or len(arguments[0]) > MAX_ID_LENGTH:
                return error_reply(f"{name} takes one id of a backend")
            return self.set_down_or_up(name == "set-down", arguments[0])
        command = self.handlers.get(name)
        if command is None:
            return error_reply(
                "unknown call; known: check, vars, set-down ID, set-up ID, drain-on, drain-off"
            )
        return error_reply(f"{name} takes nothing behind it") if arguments else command()

    def check(self) -> str:
        if reason := self.serving.why_not_ready():
            return error_reply(reason)
        return ok_reply("ready; clients are sent away" if self.serving.draining_clients else "ready")

    def metrics_text(self) -> str:
        lines = self.metrics.lines(len(self.registry.backends), self.count_avoided())
        lines += [f"{METRIC_PREFIX}.memory.{line}" for line in self.memory_lines()]
        lines += [f"{METRIC_PREFIX}.{line}" for line in self.slow_start_lines()]
        return ok_reply("figures follow") + "".join(f"{line}\n" for line in [*lines, "."])

    def set_down_or_up(self, down: bool, name: str) -> str:
        if reason := self.registry.set_down(name) if down else self.registry.set_up(name):
            return error_reply(reason)
        return self.report_done("set-down" if down else "set-up", name, "out" if down else "back in")

    def set_draining(self, on: bool) -> str:
        self.serving.set_draining_clients(on)
        return self.report_done(
            "drain-on" if on else "drain-off", "", "clients are sent away" if on else "serving"
        )

    def report_done(self, command: str, name: str, text: str) -> str:
        line = f"{command} {name}".strip()
        self.log(f"gorsefork: operators: {line}", event="operators.call", call=command, id=name)
        for notify in self.listeners:
            notify(line)
        return ok_reply(f"{name} {text}".strip())

    def apply(self, line: str) -> None:
        """Apply a command that another process of this ingress received."""
        words = line.split()
        if words[:1] in (["set-down"], ["set-up"]) and len(words) == 2:
            (self.registry.set_down if words[0] == "set-down" else self.registry.set_up)(words[1])
        elif words in (["drain-on"], ["drain-off"]):
            self.serving.set_draining_clients(words == ["drain-on"])


def ok_reply(text: str) -> str:
    return f"+OK {text}\n"


def error_reply(text: str) -> str:
    return f"-ERR {text}\n"
