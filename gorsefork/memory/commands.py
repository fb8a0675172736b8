"""Operators' commands: what each of them does. It knows no wire."""

from __future__ import annotations

from collections.abc import Callable

from gorsefork.memory.figures import Figures
from gorsefork.memory.ports import Log
from gorsefork.memory.registry import Registry
from gorsefork.memory.serving import ServingState

LONGEST_ID = 256


class OperatorCommands:
    """``answer`` takes one line and gives what is to be written back; it never waits.

    ``avoided`` counts the backends that get nothing now.
    ``listeners``: told of each ban and drain, such as another process of this ingress.
    """

    def __init__(
        self,
        serving: ServingState,
        registry: Registry,
        figures: Figures,
        avoided: Callable[[], int],
        log: Log,
    ) -> None:
        self.serving, self.registry, self.figures = serving, registry, figures
        self.avoided, self.log = avoided, log
        self.listeners: list[Callable[[str], None]] = []
        self.calls: dict[str, Callable[[], str]] = {
            "check": self.check,
            "vars": self.figures_text,
            "drain-on": lambda: self.send_away(True),
            "drain-off": lambda: self.send_away(False),
        }

    def answer(self, line: str) -> str:
        """``+OK`` or ``-ERR`` and a reason, ended by a line feed. A bad call changes nothing."""
        words = line.split()
        if not words:
            return no("say check, vars, set-down ID, set-up ID, drain-on or drain-off")
        name, given = words[0], words[1:]
        if name in ("set-down", "set-up"):
            if len(given) != 1 or len(given[0]) > LONGEST_ID:
                return no(f"{name} takes one id of a backend")
            return self.ban(name == "set-down", given[0])
        call = self.calls.get(name)
        if call is None:
            return no("unknown call; known: check, vars, set-down ID, set-up ID, drain-on, drain-off")
        return no(f"{name} takes nothing behind it") if given else call()

    def check(self) -> str:
        if why := self.serving.obstacle():
            return no(why)
        return yes("ready; clients are sent away" if self.serving.away else "ready")

    def figures_text(self) -> str:
        lines = self.figures.lines(len(self.registry.hosts), self.avoided())
        return yes("figures follow") + "".join(f"{line}\n" for line in [*lines, "."])

    def ban(self, down: bool, name: str) -> str:
        if why := self.registry.set_down(name) if down else self.registry.set_up(name):
            return no(why)
        return self.done("set-down" if down else "set-up", name, "out" if down else "back in")

    def send_away(self, on: bool) -> str:
        self.serving.send_away(on)
        return self.done("drain-on" if on else "drain-off", "", "clients are sent away" if on else "serving")

    def done(self, call: str, name: str, text: str) -> str:
        line = f"{call} {name}".strip()
        self.log(f"gorsefork: operators: {line}", event="operators.call", call=call, id=name)
        for tell in self.listeners:
            tell(line)
        return yes(f"{name} {text}".strip())

    def apply(self, line: str) -> None:
        """A command that was given to another process of this ingress."""
        words = line.split()
        if words[:1] in (["set-down"], ["set-up"]) and len(words) == 2:
            (self.registry.set_down if words[0] == "set-down" else self.registry.set_up)(words[1])
        elif words in (["drain-on"], ["drain-off"]):
            self.serving.send_away(words == ["drain-on"])


def yes(text: str) -> str:
    return f"+OK {text}\n"


def no(text: str) -> str:
    return f"-ERR {text}\n"
