"""Operators' commands: what each of them does. It knows no wire."""

from __future__ import annotations

from collections.abc import Callable

from gorsefork.memory.metrics import Metrics
from gorsefork.memory.ports import Log
from gorsefork.memory.registry import Registry
from gorsefork.memory.serving import ServingState

MAX_ID_LENGTH = 256


class OperatorCommands:
    """``answer`` takes one line and gives what is to be written back; it never waits.

    ``avoided`` counts the backends that get nothing now.
    ``listeners``: told of each ban and drain, such as another process of this ingress.
    """

    def __init__(
        self,
        serving: ServingState,
        registry: Registry,
        figures: Metrics,
        avoided: Callable[[], int],
        log: Log,
    ) -> None:
        self.serving, self.registry, self.metrics = serving, registry, figures
        self.count_avoided, self.log = avoided, log
        self.listeners: list[Callable[[str], None]] = []
        self.handlers: dict[str, Callable[[], str]] = {
            "check": self.check,
            "vars": self.metrics_text,
            "drain-on": lambda: self.set_draining(True),
            "drain-off": lambda: self.set_draining(False),
        }

    def answer(self, line: str) -> str:
        """``+OK`` or ``-ERR`` and a reason, ended by a line feed. A bad call changes nothing."""
        words = line.split()
        if not words:
            return error_reply("say check, vars, set-down ID, set-up ID, drain-on or drain-off")
        name, given = words[0], words[1:]
        if name in ("set-down", "set-up"):
            if len(given) != 1 or len(given[0]) > MAX_ID_LENGTH:
                return error_reply(f"{name} takes one id of a backend")
            return self.set_down_or_up(name == "set-down", given[0])
        call = self.handlers.get(name)
        if call is None:
            return error_reply(
                "unknown call; known: check, vars, set-down ID, set-up ID, drain-on, drain-off"
            )
        return error_reply(f"{name} takes nothing behind it") if given else call()

    def check(self) -> str:
        if why := self.serving.why_not_ready():
            return error_reply(why)
        return ok_reply("ready; clients are sent away" if self.serving.draining_clients else "ready")

    def metrics_text(self) -> str:
        lines = self.metrics.lines(len(self.registry.backends), self.count_avoided())
        return ok_reply("figures follow") + "".join(f"{line}\n" for line in [*lines, "."])

    def set_down_or_up(self, down: bool, name: str) -> str:
        if why := self.registry.set_down(name) if down else self.registry.set_up(name):
            return error_reply(why)
        return self.report_done("set-down" if down else "set-up", name, "out" if down else "back in")

    def set_draining(self, on: bool) -> str:
        self.serving.set_draining_clients(on)
        return self.report_done(
            "drain-on" if on else "drain-off", "", "clients are sent away" if on else "serving"
        )

    def report_done(self, call: str, name: str, text: str) -> str:
        line = f"{call} {name}".strip()
        self.log(f"gorsefork: operators: {line}", event="operators.call", call=call, id=name)
        for tell in self.listeners:
            tell(line)
        return ok_reply(f"{name} {text}".strip())

    def apply(self, line: str) -> None:
        """A command that was given to another process of this ingress."""
        words = line.split()
        if words[:1] in (["set-down"], ["set-up"]) and len(words) == 2:
            (self.registry.set_down if words[0] == "set-down" else self.registry.set_up)(words[1])
        elif words in (["drain-on"], ["drain-off"]):
            self.serving.set_draining_clients(words == ["drain-on"])


def ok_reply(text: str) -> str:
    return f"+OK {text}\n"


def error_reply(text: str) -> str:
    return f"-ERR {text}\n"
