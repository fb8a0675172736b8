"""Suspects: how long each has to contradict, and who accuses it."""

from __future__ import annotations

from gorsefork.fleet.bounds import CONFIRMS, suspicion_least, suspicion_most
from gorsefork.fleet.dissemination import Dissemination
from gorsefork.fleet.facts import State, with_state
from gorsefork.fleet.local_node import HERE, LocalNode
from gorsefork.fleet.pace import SECOND
from gorsefork.fleet.view import Member, Suspicion


class Suspicions:
    """The timers of all suspects of this member's view."""

    def __init__(self, node: LocalNode, dissemination: Dissemination) -> None:
        self.node, self.dissemination = node, dissemination

    def running(self) -> list[tuple[Member, Suspicion]]:
        """Those whose time runs here."""
        view = self.node.view
        found = (view.members[name] for name in view.suspects)
        return [(member, member.suspicion) for member in found if member.suspicion is not None]

    def accuse(self, member: Member, accuser: str) -> None:
        """Start the member's timer, if none runs, and note who accuses it."""
        if member.suspicion is None:
            node = self.node
            size, period = len(node.view.seen()), node.pace.period / SECOND
            member.suspicion = Suspicion(
                node.now,
                round(suspicion_least(size, period) * SECOND),
                round(suspicion_most(size, period) * SECOND),
                min(CONFIRMS, max(0, size - 3)),
            )
            node.view.suspects.add(member.fact.name)
        member.suspicion.accusers.add(accuser)

    def confirm(self, member: Member, accuser: str) -> None:
        """Another that accuses by itself: told on, as it shortens the time, up to so many."""
        suspicion = member.suspicion
        if suspicion is None or accuser in suspicion.accusers:
            return
        if len(suspicion.accusers) <= suspicion.wanted:
            suspicion.accusers.add(accuser)
            self.dissemination.spread_fact(with_state(member.fact, State.SUSPECT, accuser))

    def extend(self, gap: int) -> None:
        """Give every suspect the time again in which this process did not run."""
        for _, suspicion in self.running():
            suspicion.began += gap

    def expire(self) -> list[Member]:
        """Call those unreachable that did not contradict in time; returns them."""
        node = self.node
        expired = []
        for member, suspicion in self.running():
            if node.now < suspicion.deadline():
                continue
            node.view.lose(member, node.now)
            text = f"nobody contradicted {', '.join(sorted(suspicion.accusers))}"
            node.record("unreachable", member.fact.name, member.fact.life, HERE, text)
            expired.append(member)
        return expired
