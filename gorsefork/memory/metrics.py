"""The metrics that an ingress reports to operators. Each event is counted once, where it occurs."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Literal

EndKind = Literal["fulfilled", "throttled", "faulted", "gone"]
# Why a connection was ended in the middle of a request or an answer:
# the client took nothing more of its answer; the backend sent, or took, nothing more; the body was broken off
# before a backend had all of it; a repeat was not sent, as it is not known which process listens there
BreakReason = Literal["stalled_client", "stalled_backend", "incomplete_body", "unknown_process"]
# Why a client was refused before its request was taken: a request that had not come whole gave way for
# memory, or was not parsed in its time, or was silent while others waited for its place; it was one more long
# body than there are connections for; a connection found no place
RefusalReason = Literal["no_memory", "behind", "stalled", "long_bodies", "no_place"]
METRIC_PREFIX = "edge_proxy"


class Metrics:
    """Counts since the start of this process: one list for each kind, with one element for each class.

    At every moment, accepted = fulfilled + throttled + faulted + gone + open.
    """

    def __init__(self, classes: Sequence[str]) -> None:
        self.classes = tuple(classes)
        self.accepted = [0] * len(classes)
        self.sent_to_backends = [0] * len(classes)
        self.ended: dict[EndKind, list[int]] = {
            kind: [0] * len(classes) for kind in ("fulfilled", "throttled", "faulted", "gone")
        }
        self.broken_off: dict[BreakReason, int] = {
            "stalled_client": 0,
            "stalled_backend": 0,
            "incomplete_body": 0,
            "unknown_process": 0,
        }

        self.refused: dict[RefusalReason, int] = {
            "no_memory": 0,
            "behind": 0,
            "stalled": 0,
            "long_bodies": 0,
            "no_place": 0,
        }

    def count_refusal(self, reason: RefusalReason) -> None:
        self.refused[reason] += 1

    def count_break(self, reason: BreakReason) -> None:
        self.broken_off[reason] += 1

    def open_requests(self) -> int:
        """The number of requests that are accepted and have not ended."""
        return sum(self.accepted) - sum(map(sum, self.ended.values()))

    def lines(self, entries: int, avoided: int) -> list[str]:
        """Formats one line for each metric.

        ``entries`` is the number of backends in the list, ``avoided`` the number of those that currently
        receive no attempts.
        """
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
            *(f"{METRIC_PREFIX}.broken_off.{reason}={count}" for reason, count in self.broken_off.items()),
            *(f"{METRIC_PREFIX}.refused.{reason}={count}" for reason, count in self.refused.items()),
        ]
