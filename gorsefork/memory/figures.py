"""What operators read of an ingress: each figure is counted where the thing itself ends, and once."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Literal

Kind = Literal["fulfilled", "throttled", "faulted", "gone"]
PREFIX = "edge_proxy"


class Figures:
    """Counts since the start of this process, one list a kind with a place for each class.

    taken = fulfilled + throttled + faulted + gone + open, at every moment.
    """

    def __init__(self, classes: Sequence[str]) -> None:
        self.classes = tuple(classes)
        self.taken, self.relayed = [0] * len(classes), [0] * len(classes)
        self.ended: dict[Kind, list[int]] = {
            kind: [0] * len(classes) for kind in ("fulfilled", "throttled", "faulted", "gone")
        }

    def open(self) -> int:
        """Requests taken and not ended."""
        return sum(self.taken) - sum(map(sum, self.ended.values()))

    def lines(self, entries: int, avoided: int) -> list[str]:
        """One line a figure. ``entries``: backends in the list; ``avoided``: those that get nothing now."""
        lines = [
            f"{PREFIX}.{kind}.{name}={count}"
            for kind in ("fulfilled", "throttled", "faulted")
            for name, count in zip(self.classes, self.ended[kind], strict=True)
        ]
        lines += [
            f"{PREFIX}.relayed.{name}={count}" for name, count in zip(self.classes, self.relayed, strict=True)
        ]
        return [
            *lines,
            f"{PREFIX}.relayed={sum(self.relayed)}",
            f"{PREFIX}.open_requests={self.open()}",
            f"{PREFIX}.registry_entries={entries}",
            f"{PREFIX}.out_of_rotation={avoided}",
        ]
