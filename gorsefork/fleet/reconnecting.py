"""Finding those that are out of reach: unreachable members, and seeds that nobody known here answers for."""

from __future__ import annotations

from collections.abc import Iterable

from gorsefork.fleet.dissemination import Dissemination
from gorsefork.fleet.local_node import LocalNode
from gorsefork.fleet.view import Member

RETRY_FIRST, RETRY_MOST = 4, 64  # periods between two pings at one that is unreachable, at first and at last
MOST_DOUBLINGS = 8  # of that pause
RETRY_JITTER = 0.25  # of the pause, up or down
SEED_SHARE = 0.25  # of the periods, where members are unreachable too


class Reconnector:
    """One datagram a period, however many are away."""

    def __init__(self, node: LocalNode, dissemination: Dissemination, seeds: Iterable[bytes]) -> None:
        self.node, self.dissemination = node, dissemination
        self.seeds = list(dict.fromkeys(seeds))
        self.retry_at = node.now + node.pace.period

    def schedule(self, member: Member) -> None:
        """A member has just become unreachable."""
        member.retry_at, member.retries = self.node.now + RETRY_FIRST * self.node.pace.period, 0

    def retry(self) -> None:
        """Ping one that is unreachable, or a seed where nobody that is known here answers."""
        node = self.node
        if node.now < self.retry_at:
            return
        self.retry_at = node.now + node.pace.period
        away = [m for m in node.view.going() if m.lost and m.retry_at <= node.now]
        known = {m.fact.card.dial for m in node.view.going() if not m.lost}
        strange = [dial for dial in self.seeds if dial not in known]
        alone = len(node.view.seen()) <= 1
        if strange and (alone or not away or node.rng.random() < SEED_SHARE):
            for dial in node.rng.sample(strange, min(2 if alone else 1, len(strange))):
                self.ping_seed(dial)
            if alone or not away:
                return
        if away:
            self.ping_member(min(away, key=lambda m: m.retry_at))

    def ping_member(self, member: Member) -> None:
        node = self.node
        periods = min(RETRY_MOST, RETRY_FIRST * 2 ** min(member.retries, MOST_DOUBLINGS))
        jitter = node.rng.uniform(1.0 - RETRY_JITTER, 1.0 + RETRY_JITTER)
        member.retries += 1
        member.retry_at = node.now + round(periods * node.pace.period * jitter)
        self.dissemination.send(
            "ping",
            member.fact.card.dial,
            serial=node.next_serial(),
            target=member.fact.name,
            target_life=member.fact.life,
            facts=(node.fact, member.fact),
            about=member.fact.name,
        )

    def ping_seed(self, dial: bytes) -> None:
        """A ping to whoever is there, who may never have heard of this ingress."""
        self.dissemination.send("ping", dial, serial=self.node.next_serial(), facts=(self.node.fact,))
