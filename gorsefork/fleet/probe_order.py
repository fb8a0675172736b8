"""Whom to probe next: each member in turn, in an order drawn anew for each round (SWIM, section 4.3)."""

from __future__ import annotations

from gorsefork.fleet.local_node import LocalNode


class ProbeOrder:
    """No member waits longer than two rounds."""

    def __init__(self, node: LocalNode) -> None:
        self.node = node
        self.names: list[str] = []  # the rest of this round, the next one last

    def insert(self, name: str) -> None:
        """A new member takes a random place in the round that runs."""
        if self.names:
            self.names.insert(self.node.rng.randrange(len(self.names) + 1), name)

    def next_name(self) -> str | None:
        """``None`` where there is nobody to probe."""
        node = self.node
        for _ in range(2):
            while self.names:
                member = node.view.members.get(self.names.pop())
                if member is not None and not member.fact.terminal and not member.lost:
                    return member.fact.name
            self.names = [m.fact.name for m in node.view.going() if m.fact.name != node.name and not m.lost]
            node.rng.shuffle(self.names)
        return None
