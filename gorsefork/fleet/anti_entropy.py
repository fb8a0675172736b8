"""Anti-entropy: views are compared by digests of ranges of names, and what differs is exchanged.

A range is named by a prefix of the octal digits of a name's hash; its digests are those of the ranges one
digit longer. docs/fleet-view.md has the exchange.
"""

from __future__ import annotations

from collections.abc import Iterable

from gorsefork.fleet.dissemination import Dissemination
from gorsefork.fleet.facts import Fact, MemberValue
from gorsefork.fleet.local_node import LocalNode
from gorsefork.fleet.messages import FAN_OUT, Kind, Range
from gorsefork.fleet.view import DIGITS, Member

FEW = 4  # members of a range that are told at once
BEGUN_A_PERIOD = 2  # exchanges of digests that may begin here in a period


class AntiEntropy:
    """Bounded by ``Timings.mend`` messages a period; what goes beyond it waits for the next exchange."""

    def __init__(self, node: LocalNode, dissemination: Dissemination) -> None:
        self.node, self.dissemination = node, dissemination
        self.credit, self.begin_at = float(node.pace.mend), node.now

    def refill(self) -> None:
        """Once a period."""
        most = self.node.pace.mend
        self.credit = min(float(2 * most), self.credit + most)

    def whole(self) -> Range:
        """The range of all names."""
        return Range("", self.node.view.range_digests("", FAN_OUT))

    def begin(self, dial: bytes) -> None:
        """Compare all, where digests differ: news may have run out before it reached everybody."""
        if self.node.now < self.begin_at:
            return
        self.begin_at = self.node.now + self.node.pace.period // BEGUN_A_PERIOD
        self.spend("range", dial, self.whole())

    def compare(self, theirs: Range, dial: bytes) -> None:
        """Answer each differing range with its members, where they are few, else with its digests."""
        if len(theirs.digests) != FAN_OUT or len(theirs.prefix) >= DIGITS:
            return
        view = self.node.view
        mine = view.range_digests(theirs.prefix, FAN_OUT)
        differing = [n for n in range(FAN_OUT) if mine[n] != theirs.digests[n]]
        self.node.rng.shuffle(differing)
        for n in differing:
            prefix = f"{theirs.prefix}{n}"
            members = view.within(prefix)
            if len(members) <= FEW or len(prefix) == DIGITS:
                self.push(prefix, members, dial, reply=True)
            else:
                self.spend("range", dial, Range(prefix, view.range_digests(prefix, FAN_OUT)))

    def complete(self, theirs: Range, facts: tuple[Fact, ...], dial: bytes) -> None:
        """What is known here of a range beyond what was pushed, lives that are over among it."""
        told = {fact.name: fact.rank for fact in facts}
        newer = [
            m
            for m in self.node.view.members.values()
            if m.digits.startswith(theirs.prefix)
            and (
                (m.fact.name in told and m.fact.rank > told[m.fact.name])
                or (m.fact.name not in told and not m.fact.terminal)
                or (m.notes and m.fact.name in told)
            )
        ]
        self.push(theirs.prefix, newer, dial, reply=False)

    def correct(self, dial: bytes, fact: Fact) -> None:
        """Tell one that is wrong what it lacks, within the budget."""
        self.spend("push", dial, Range("", (), False), (fact,))

    def push(self, prefix: str, members: Iterable[Member], dial: bytes, reply: bool) -> None:
        """Facts and notes, in as many datagrams as they need; an empty range asks as well."""
        facts: list[Fact] = []
        notes: list[MemberValue] = []
        range_ = Range(prefix, (), reply)
        room = self.dissemination.room(range_)
        left, sent = room, False
        for member in members:
            told: list[Fact | MemberValue] = [member.fact, *member.notes.values()]
            for what in told:
                needs = self.node.codec.size(what) + 1
                if needs > left and (facts or notes):
                    self.spend("push", dial, range_, tuple(facts), tuple(notes))
                    facts, notes, left, sent = [], [], room, True
                if isinstance(what, Fact):
                    facts.append(what)
                else:
                    notes.append(what)
                left -= needs
        if facts or notes or (reply and not sent):
            self.spend("push", dial, range_, tuple(facts), tuple(notes))

    def spend(
        self,
        kind: Kind,
        dial: bytes,
        range_: Range,
        facts: tuple[Fact, ...] = (),
        notes: tuple[MemberValue, ...] = (),
    ) -> None:
        """Send, if the budget allows it."""
        if self.credit >= 1.0:
            self.credit -= 1.0
            self.dissemination.send(kind, dial, facts=facts, notes=notes, range_=range_)
