"""Merging facts into the view, and spreading what is news."""

from __future__ import annotations

from gorsefork.fleet.dissemination import Dissemination
from gorsefork.fleet.facts import Fact, MemberValue, State, with_state
from gorsefork.fleet.local_node import HERE, LocalNode
from gorsefork.fleet.probe_order import ProbeOrder
from gorsefork.fleet.settlement import Settlement
from gorsefork.fleet.suspicion import Suspicions
from gorsefork.fleet.view import Member

OVER_KEPT = 8  # times as long as one that is unreachable, a life that is over is known as such


class Merger:
    """``exchanging``: what comes now was asked for by an exchange of digests, so that others know it already;
    to spread it too would tell a newcomer's whole table once more to all."""

    def __init__(
        self,
        node: LocalNode,
        dissemination: Dissemination,
        suspicions: Suspicions,
        settlement: Settlement,
        order: ProbeOrder,
    ) -> None:
        self.node, self.dissemination, self.suspicions = node, dissemination, suspicions
        self.settlement, self.order = settlement, order
        self.exchanging = False

    def hear(self, fact: Fact, by: str) -> None:
        """A fact about another member, as ``by`` told it."""
        member = self.node.view.members.get(fact.name)
        if member is not None and fact.rank == member.fact.rank:
            if fact.state == State.SUSPECT and fact.accuser:
                self.suspicions.confirm(member, fact.accuser)
            return
        taken = self.take(fact, by)
        if taken is None and member is not None and member.fact.terminal and member.fact.beats(fact):
            self.dissemination.spread_again(member.fact)

    def take(self, fact: Fact, by: str) -> Member | None:
        """The member as changed by the fact; ``None`` where it is no news."""
        node = self.node
        old = node.view.members.get(fact.name)
        before = old.shown if old is not None else None
        old_life = old.fact.life if old is not None else 0
        member = node.view.take(fact, node.now, by)
        if member is None:
            return None
        if fact.state == State.SUSPECT:
            self.suspicions.accuse(member, fact.accuser or by)
        if fact.terminal:
            self.dissemination.drop_notes_of(fact.name)
            self.settlement.forget(fact.name)
        elif before is None:
            self.order.insert(fact.name)
        if not self.exchanging:
            self.dissemination.spread_fact(fact)
        if old_life and old_life != fact.life:
            node.record("ended", fact.name, old_life, by, f"life {fact.life} has taken its place")
        if before != member.shown or old_life != fact.life:
            text = f"{fact.name} is {member.shown}" + (f", was {before}" if before else "")
            node.record(member.shown, fact.name, fact.life, by, text)
        return member

    def take_note(self, note: MemberValue) -> bool:
        """Whether it was news; then it is spread."""
        if not self.node.view.take_note(note, self.node.now):
            return False
        self.dissemination.spread_note(note)
        return True

    def remove_old(self) -> None:
        """Forget lives that are over for long, and call those ended that are unreachable for long."""
        node, keep = self.node, self.node.pace.keep
        for member in list(node.view.members.values()):
            age = node.now - member.since
            if member.fact.terminal and age >= OVER_KEPT * keep:
                del node.view.members[member.fact.name]
                continue
            seen_since = min(age, node.now - self.settlement.part_since)
            if seen_since >= keep and member.lost and self.settlement.may_end():
                self.take(with_state(member.fact, State.ENDED), HERE)
