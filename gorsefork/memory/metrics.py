"""What operators read of an ingress: each figure is counted where the thing itself ends, and once."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Literal

EndKind = Literal["fulfilled", "throttled", "faulted", "gone"]
METRIC_PREFIX = "edge_proxy"


class Metrics:
    """Counts since the start of this process, one list a kind with a place for each class.

    taken = fulfilled + throttled + faulted + gone + open, at every moment.
    """

    def __init__(self, classes: Sequence[str]) -> None:
        self.classes = tuple(classes)
        self.accepted, self.sent_to_backends = [0] * len(classes), [0] * len(classes)
        self.ended: dict[EndKind, list[int]] = {
            kind: [0] * len(classes) for kind in ("fulfilled", "throttled", "faulted", "gone")
        }

    def open_requests(self) -> int:
        """Requests taken and not ended."""
        return sum(self.accepted) - sum(map(sum, self.ended.values()))

    def lines(self, entries: int, avoided: int) -> list[str]:
        """One line a figure. ``entries``: backends in the list; ``avoided``: those that get nothing now."""
        lines = [
            f"{METRIC_PREFIX}.{kind}.{name}={count}"
            for kind in ("fulfilled", "throttled", "faulted")
            for name, count in zip(self.classes, self.ended[kind], strict=True)
        ]
        lines += [
            f"{METRIC_PREFIX}.relayed.{name}={count}"
            for name, count in zip(self.classes, self.sent_to_backends, strict=True)
        ]
        return [
            *lines,
            f"{METRIC_PREFIX}.relayed={sum(self.sent_to_backends)}",
            f"{METRIC_PREFIX}.open_requests={self.open_requests()}",
            f"{METRIC_PREFIX}.registry_entries={entries}",
            f"{METRIC_PREFIX}.out_of_rotation={avoided}",
        ]
