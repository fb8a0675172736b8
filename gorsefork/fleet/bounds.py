"""How soon what happens is seen, by the fleet's size, loss and delay; derived in docs/fleet-view.md.

Each holds but with chance ``RARE`` an event. Seconds; ``loss`` is the share of datagrams that never arrive,
``delay`` the longest time of one on its way.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import ceil, inf, log, log2, log10

RARE = 1e-6
SUSPICION_LEAST, SUSPICION_SPAN = 4.0, 6.0  # periods times log10(n); times the least for a lone accuser
CONFIRMS = 3  # accusers beyond the first that bring it to the least
GOSSIP_SHARE, GOSSIP_TO = 0.2, 2  # of a period between rounds of news; members told in a round


@dataclass(frozen=True, slots=True)
class Tempo:
    """A fleet's pace. ``period``: between probes of one ingress; ``doubt``: the most by which a slow prober
    stretches it (1: none does)."""

    members: int
    period: float
    loss: float = 0.0
    delay: float = 0.0
    doubt: int = 1


def suspicion_least(members: int, period: float) -> float:
    return SUSPICION_LEAST * max(1.0, log10(max(1, members))) * period


def suspicion_most(members: int, period: float) -> float:
    return SUSPICION_SPAN * suspicion_least(members, period)


def first_probe(tempo: Tempo) -> float:
    """Until some ingress has probed a dead one and got no answer. Each of the n - 1 others probes one at
    random a period, so that none picks it in k periods with chance (1 - 1/(n-1))^((n-1)k) < e^-k; and each
    goes through all in 2(n - 1) periods. One period more for the probe itself, and one for the rounds not
    being in step."""
    by_chance = -log(RARE)
    in_turn = 2.0 * (tempo.members - 1)
    return (min(by_chance, in_turn) + 2.0) * tempo.period * tempo.doubt + tempo.delay


def spread(tempo: Tempo) -> float:
    """Until all have heard of one piece of news. In each round a knower tells ``GOSSIP_TO`` others; the
    share that knows grows by 1 + 2(1 - loss) while few do, and that which does not shrinks by e^-2(1 - loss)
    once most do."""
    told = GOSSIP_TO * (1.0 - tempo.loss)
    if told <= 0.0 or tempo.members < 2:
        return inf if tempo.members > 1 else 0.0
    growing = log2(tempo.members) / log2(1.0 + told)
    ending = (log(tempo.members) - log(RARE)) / told
    return ceil(growing + ending) * (GOSSIP_SHARE * tempo.period + tempo.delay)


def detection(tempo: Tempo) -> float:
    """Until every ingress calls a dead one unreachable: probed, all told, and the time to contradict over."""
    return first_probe(tempo) + spread(tempo) + suspicion_most(tempo.members, tempo.period) * tempo.doubt


def settling(tempo: Tempo, quiet: float) -> float:
    """Until all call the view settled after the last thing that happened: seen, told, mended by digests
    where news ran out before it reached all, and quiet for its time."""
    mending = 2.0 * first_probe(tempo)
    return detection(tempo) + spread(tempo) + mending + quiet + 4.0 * tempo.period
