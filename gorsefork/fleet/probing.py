"""Probing members: one a period, through relays where the direct ping fails, and twice before a suspicion."""

from __future__ import annotations

from dataclasses import dataclass, field

from gorsefork.fleet.dissemination import Dissemination
from gorsefork.fleet.facts import State, with_state
from gorsefork.fleet.local_node import DOUBT_MOST, HERE, MOST_ATTEMPTS, LocalNode
from gorsefork.fleet.merging import Merger
from gorsefork.fleet.messages import Message
from gorsefork.fleet.probe_order import ProbeOrder
from gorsefork.fleet.suspicion import Suspicions
from gorsefork.fleet.view import Member

RELAYS = 3  # asked where a direct probe fails
MOST_PROBES = 2 * (DOUBT_MOST + 2)  # at a time; beyond that none begins until one has ended
NO_RELAYS = -1  # there was nobody to ask


@dataclass(slots=True)
class Probe:
    """One probe in flight. Times in microseconds of the caller's clock."""

    name: str
    life: int
    serial: int
    relay_at: int
    ends_at: int
    again_at: int
    second: bool = False  # the one before it at the same member got no answer
    sent: list[int] = field(default_factory=list)  # when each attempt went out
    asked: int = 0  # relays, or ``NO_RELAYS``; 0 before ``relay_at``
    nacks: int = 0


class Prober:
    """The failure detector. It doubts itself where its own probes fail, and then gives answers more time."""

    def __init__(
        self,
        node: LocalNode,
        dissemination: Dissemination,
        suspicions: Suspicions,
        order: ProbeOrder,
        merger: Merger,
    ) -> None:
        self.node, self.dissemination, self.suspicions = node, dissemination, suspicions
        self.order, self.merger = order, merger
        self.probes: dict[int, Probe] = {}  # by serial; more than one only while answers are missing
        self.round_trip, self.round_trip_varies = 0.0, 0.0  # smoothed, in microseconds
        self.probe_at = node.now + node.rng.randrange(1, max(2, node.pace.period // 10))

    def times_due(self) -> list[int]:
        times = [self.probe_at]
        for probe in self.probes.values():
            times += [probe.again_at, probe.ends_at if probe.asked else probe.relay_at]
        return times

    def look_at_probes(self) -> None:
        """End, relay or repeat those in flight whose time has come."""
        now = self.node.now
        for serial, probe in list(self.probes.items()):
            if now >= probe.ends_at:
                del self.probes[serial]
                self.missed(probe)
                continue
            if not probe.asked and now >= probe.relay_at:
                self.ask_relays(probe)
            if now >= probe.again_at:
                probe.again_at = now + self.patience()
                self.ping(probe)

    def probe_next(self) -> None:
        """Begin the probe of this period, if it is time."""
        now, period = self.node.now, self.node.pace.period
        if now < self.probe_at:
            return
        self.probe_at = max(self.probe_at + period, now + period // 2)
        if (name := self.order.next_name()) is not None:
            self.begin_probe(name, second=False)

    def begin_probe(self, name: str, second: bool) -> None:
        if len(self.probes) >= MOST_PROBES:
            return
        node = self.node
        node.counts.probes += 1
        patience = self.patience()
        probe = Probe(
            name,
            node.view.members[name].fact.life,
            node.next_serial(),
            relay_at=node.now + max(node.pace.timeout, 2 * patience) * (1 + node.doubt),
            ends_at=node.now + self.stretch() - node.pace.period // 20,
            again_at=node.now + patience,
            second=second,
        )
        self.probes[probe.serial] = probe
        self.ping(probe)

    def patience(self) -> int:
        """After which an answer is late: by the round trips seen, and not more often than ten times a
        period."""
        return max(self.node.pace.period // 10, round(self.round_trip + 4.0 * self.round_trip_varies))

    def stretch(self) -> int:
        """How long a probe may take: longer for one that doubts itself, and where answers take long. Probes
        begin a period apart all the same, or an ingress that many left at once would be the last to see
        it."""
        return max(self.node.pace.period, 4 * self.patience()) * (1 + self.node.doubt)

    def target(self, probe: Probe) -> Member | None:
        """The member, where the probed life still is its latest."""
        member = self.node.view.members.get(probe.name)
        return member if member is not None and member.fact.life == probe.life else None

    def ping(self, probe: Probe) -> None:
        member = self.target(probe)
        if member is None or len(probe.sent) >= MOST_ATTEMPTS:
            return
        probe.sent.append(self.node.now)
        self.dissemination.send(
            "ping",
            member.fact.card.dial,
            serial=probe.serial + len(probe.sent) - 1,
            target=probe.name,
            target_life=probe.life,
            about=probe.name,
        )

    def ask_relays(self, probe: Probe) -> None:
        """Ask some others to probe it for this member."""
        node, member = self.node, self.target(probe)
        probe.asked = NO_RELAYS
        if member is None:
            return
        others = [name for name in node.others_seen() if name != probe.name]
        chosen = node.rng.sample(others, min(RELAYS, len(others)))
        for name in chosen:
            self.dissemination.send(
                "relay",
                node.view.members[name].fact.card.dial,
                serial=probe.serial,
                target=probe.name,
                target_life=probe.life,
                dial=member.fact.card.dial,
                about=name,
            )
        probe.asked = len(chosen) or NO_RELAYS

    def missed(self, probe: Probe) -> None:
        """No answer on any path: it may be dead, or this ingress slow. Relays that did not even say that
        they failed make the latter more likely. It is probed once more before it is called suspect: where
        datagrams are lost, one probe in some hundreds fails by chance."""
        node = self.node
        node.counts.missed += 1
        silent_relays = max(0, probe.asked - probe.nacks)
        node.raise_doubt(2 if silent_relays else 1)
        member = self.target(probe)
        if member is None or member.fact.terminal:
            return
        if not probe.second:
            self.begin_probe(probe.name, second=True)
        elif member.fact.state != State.SUSPECT:
            self.merger.take(with_state(member.fact, State.SUSPECT, node.name), HERE)
        else:
            self.suspicions.confirm(member, node.name)

    def acknowledged(self, message: Message) -> None:
        """An ack of a probe, its own or brought by a relay; any other is passed over."""
        attempt = message.serial % MOST_ATTEMPTS
        probe = self.probes.get(message.serial - attempt)
        whose = message.target or message.name, message.target_life or message.life
        if probe is None or (probe.name, probe.life) != whose:
            return
        self.node.lower_doubt()
        del self.probes[probe.serial]
        if not message.target and attempt < len(probe.sent):
            self.measured(float(self.node.now - probe.sent[attempt]))

    def measured(self, trip: float) -> None:
        """Smooth a round trip as TCP does (RFC 6298)."""
        self.round_trip_varies += (abs(trip - self.round_trip) - self.round_trip_varies) / 4.0
        self.round_trip += (trip - self.round_trip) / 8.0 if self.round_trip else trip

    def relay_failed(self, message: Message) -> None:
        """A relay says that it got no answer either."""
        if (probe := self.probes.get(message.serial)) is not None:
            probe.nacks += 1

    def restart(self) -> None:
        """Drop what is in flight, and probe at once: this process did not run for a while."""
        self.probes.clear()
        self.probe_at = self.node.now
