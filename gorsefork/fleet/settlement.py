"""Whether the view is settled, and how much of the last settled fleet is seen."""

from __future__ import annotations

from typing import NamedTuple

from gorsefork.fleet.local_node import HERE, LocalNode
from gorsefork.fleet.pace import SECOND
from gorsefork.fleet.view import Part

AGREEING = 3  # members whose digests must equal this view's, or all where there are fewer
DIGEST_HOLDS = 8  # periods for which a digest that was heard counts
NAMED = 8  # members named in one reason
LOOKS_A_PERIOD = 5


class Summary(NamedTuple):
    """What all members together come to. It holds as long as the view's revision and base do."""

    revision: int
    base: frozenset[str]
    part: Part
    unsure: tuple[str, ...]  # names of those that are suspect or joining, in order


class Settlement:
    """Compares the digests that others sent with this view's, and tells when the outcome changes."""

    def __init__(self, node: LocalNode) -> None:
        self.node = node
        self.digests: dict[str, tuple[bytes, int]] = {}  # those heard last, and when
        self.was_settled, self.was_part = False, "alone"
        self.known: Summary | None = None
        self.base_revision = 0  # of the view, when its base was taken last
        self.part_since = self.look_at = node.now

    def heard(self, name: str, digest: bytes) -> None:
        self.digests[name] = (digest, self.node.now)

    def forget(self, name: str) -> None:
        self.digests.pop(name, None)

    def settled(self) -> bool:
        """No news for ``quiet``, nobody suspect or joining, and all digests heard since are this view's."""
        return not self.lacking()

    def lacking(self) -> list[str]:
        """What keeps the view from being settled, in words."""
        node = self.node
        if node.followed:
            return ["a later life of this name has taken its place"]
        missing: list[str] = []
        if node.stalled:
            missing.append("this process was stopped, and has heard from nobody since")
        quiet = node.now - max(node.view.changed_at, node.began)
        if quiet < node.pace.quiet:
            missing.append(f"news {quiet / SECOND:.1f} s ago")
        if unsure := self.summary().unsure:
            missing.append("suspect or joining: " + ", ".join(unsure[:NAMED]))
        return missing + self.disagreement()

    def summary(self) -> Summary:
        """Reckoned anew only after a change: at rest a look costs the same however large the fleet is."""
        view = self.node.view
        if self.known is None or self.known.revision != view.revision or self.known.base is not view.base:
            unsure = sorted(m.fact.name for m in view.going() if m.shown in ("suspect", "joining"))
            self.known = Summary(view.revision, view.base, view.part(), tuple(unsure))
        return self.known

    def disagreement(self) -> list[str]:
        """What others' digests lack, in words."""
        missing: list[str] = []
        fresh = self.fresh_digests()
        wanted = min(AGREEING, len(self.node.others_seen()))
        if len(fresh) < wanted:
            missing.append(f"the digests of {wanted - len(fresh)} more members")
        own = self.node.view.digest()
        if differing := sorted(name for name, digest in fresh.items() if digest != own):
            missing.append("other digests: " + ", ".join(differing[:NAMED]))
        return missing

    def fresh_digests(self) -> dict[str, bytes]:
        """By member that is seen: those sent since the view last changed here, and not long ago."""
        node = self.node
        others = node.others_seen()
        since = max(node.view.changed_at, node.now - DIGEST_HOLDS * node.pace.period)
        return {name: digest for name, (digest, at) in self.digests.items() if name in others and at >= since}

    def may_end(self) -> bool:
        """Whether this member may call an unreachable life ended. Guards against a side that was cut off
        and, as it heals, sees most again before the rest."""
        return self.was_part == "majority" and self.settled()

    def look(self) -> None:
        """Tell what has changed of the whole; not more often than ``LOOKS_A_PERIOD``."""
        node = self.node
        if node.now < self.look_at:
            return
        self.look_at = node.now + node.pace.period // LOOKS_A_PERIOD
        part, settled = self.summary().part, self.settled()
        if settled and self.base_revision != node.view.revision:
            self.base_revision = node.view.revision
            node.view.base = frozenset(m.fact.name for m in node.view.going())
        if part != self.was_part:
            self.was_part, self.part_since = part, node.now
            node.record("part", node.name, node.life, HERE, f"sees {part} of the last settled fleet")
        if settled != self.was_settled:
            self.was_settled = settled
            kind = "settled" if settled else "unsettled"
            digest = node.view.digest().hex()
            text = f"view {node.view.number}, digest {digest}, {len(node.view.seen())} seen"
            node.record(kind, node.name, node.life, HERE, text)
