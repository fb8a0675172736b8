"""The changes of a run: when each was accepted, and when it came into force where."""

from __future__ import annotations

import math
from collections import defaultdict
from dataclasses import dataclass, field

from gorsefork.lab.scale import messages as m
from gorsefork.lab.scale.results import Add, histogram

RANKS: tuple[tuple[str, float], ...] = (("first", 0.0), ("half", 0.5), ("99%", 0.99), ("last", 1.0))
SECOND = 1_000_000


@dataclass
class Changes:
    """What was changed: when each was accepted, and when it came into force where."""

    accepted: dict[str, int] = field(default_factory=dict)
    refused: list[str] = field(default_factory=list)
    in_force: dict[str, dict[str, int]] = field(default_factory=lambda: defaultdict(dict))

    def hear(self, arrivals: tuple[m.Arrival, ...]) -> None:
        for arrival in arrivals:
            self.in_force[arrival.customer].setdefault(arrival.name, arrival.at)

    def delays(self, name: str, among: set[str]) -> list[int]:
        """In microseconds, the shortest first; fewer than ``among`` where it has not arrived everywhere."""
        accepted = self.accepted[name]
        return sorted(max(0, at - accepted) for who, at in self.in_force[name].items() if who in among)

    def tell(self, there: set[str], wanted: int, add: Add) -> None:
        """The figures of ``wanted`` changes at the ingresses that are there at the end."""
        histograms = {rank: histogram() for rank, _ in RANKS}
        missing = 0
        for name in self.accepted:
            delays = self.delays(name, there)
            missing += len(there) - len(delays)
            for rank, share in RANKS:
                place = max(1, math.ceil(share * len(there)))
                if len(delays) >= place:
                    histograms[rank].record_value(max(1, delays[place - 1]))
        for rank, found in histograms.items():
            if found.get_total_count():
                for part in (50.0, 100.0):
                    value = found.get_value_at_percentile(part) / SECOND
                    note = f"{'median' if part == 50.0 else 'worst'} of {found.get_total_count()} changes"
                    add("configuration", f"in force at the {rank}, p{part:.0f}", value, "s", note)
        add("configuration", "changes accepted", len(self.accepted), "changes")
        refused = "; ".join(sorted(set(self.refused))[:3])
        add("configuration", "changes refused", len(self.refused), "changes", refused)
        not_made = wanted - len(self.accepted) - len(self.refused)
        add("configuration", "changes not made", not_made, "changes", "their time was over")
        add("configuration", "arrivals missing", missing, "arrivals", "changes times ingresses")
