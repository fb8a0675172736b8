"""The protocol of one ingress: datagrams and the time in, datagrams and events out. No I/O and no clock.

SWIM (Das, Gupta, Motivala, 2002): one probe a period, through others where the direct one fails, suspicion
before a verdict, news that rides along. Lifeguard (Dadgar, Phillips, Currey, 2017): who misses answers
doubts itself and slows down, accusers shorten a suspicion, a suspect is told first of all.
docs/fleet-view.md has the rest.

This module puts the parts together and gives each datagram to the one whose it is; ``probing``,
``suspicion``, ``dissemination``, ``anti_entropy`` and the others beside it each hold one job.
"""

from __future__ import annotations

import random
from collections.abc import Iterable

from gorsefork.fleet.anti_entropy import AntiEntropy
from gorsefork.fleet.dissemination import Dissemination
from gorsefork.fleet.facts import Card, Fact, State, with_state
from gorsefork.fleet.local_node import HERE, Counts, LocalNode, MemberEvent, OutgoingDatagram
from gorsefork.fleet.merging import Merger
from gorsefork.fleet.messages import Codec, DatagramRefused, Message
from gorsefork.fleet.own_life import OwnLife
from gorsefork.fleet.pace import SECOND, Timings
from gorsefork.fleet.probe_order import ProbeOrder
from gorsefork.fleet.probing import Prober
from gorsefork.fleet.reconnecting import Reconnector
from gorsefork.fleet.refusals import Refusals
from gorsefork.fleet.relaying import Relays
from gorsefork.fleet.settlement import Settlement
from gorsefork.fleet.suspicion import Suspicions
from gorsefork.fleet.view import Member, Part

__all__ = ["SECOND", "Counts", "MemberEvent", "Membership", "OutgoingDatagram", "Timings"]

FOLLOWED_WAKE = 60 * SECOND  # between wakes of a life that another has followed: they do nothing
LEAVING_WAKES = 10  # a period, each with another goodbye


class Membership:
    """One life of one ingress in the fleet. ``wake_at`` says when ``wake`` is due; after each call ``out``
    and ``events`` are the caller's to empty."""

    def __init__(
        self,
        name: str,
        life: int,
        card: Card,
        codec: Codec,
        pace: Timings,
        rng: random.Random,
        now: int,
        seeds: Iterable[bytes] = (),
        unix: int = 0,
    ) -> None:
        """``now`` in microseconds of the caller's clock; ``unix`` is what makes that clock Unix time."""
        self.node = node = LocalNode(name, codec, pace, rng, now, unix or life - now)
        self.name, self.view, self.counts, self.out = name, node.view, node.counts, node.out
        self.dissemination = Dissemination(node)
        self.news, self.notes = self.dissemination.news, self.dissemination.notes
        self.suspicions = Suspicions(node, self.dissemination)
        self.settlement = Settlement(node)
        order = ProbeOrder(node)
        self.merger = Merger(node, self.dissemination, self.suspicions, self.settlement, order)
        self.prober = Prober(node, self.dissemination, self.suspicions, order, self.merger)
        self.relays = Relays(node, self.dissemination)
        self.anti_entropy = AntiEntropy(node, self.dissemination)
        others = (dial for dial in seeds if dial != card.dial)
        self.reconnector = Reconnector(node, self.dissemination, others)
        self.refusals = Refusals(node)
        self.own_life = OwnLife(node, self.dissemination, self.merger)
        self.sweep_at = now + pace.period
        self.own_life.begin(life, State.JOINING, card)

    # What others ask.

    @property
    def events(self) -> list[MemberEvent]:
        return self.node.events

    @events.setter
    def events(self, events: list[MemberEvent]) -> None:
        self.node.events = events

    @property
    def now(self) -> int:
        return self.node.now

    @property
    def pace(self) -> Timings:
        return self.node.pace

    @property
    def fact(self) -> Fact:
        """What this life says of itself."""
        return self.node.fact

    @property
    def life(self) -> int:
        return self.node.life

    @property
    def doubt(self) -> int:
        """By how much more this member stretches its probes, as it misses answers itself."""
        return self.node.doubt

    @property
    def followed(self) -> bool:
        """Whether a later life of this name has taken its place."""
        return self.node.followed

    def settled(self) -> bool:
        """No news for ``quiet``, nobody suspect or joining, and all digests heard since are this view's."""
        return self.settlement.settled()

    def reasons_unsettled(self) -> list[str]:
        """What keeps the view from being settled, in words."""
        return self.settlement.lacking()

    def part(self) -> Part:
        return self.view.part()

    def publish(self, kind: str, key: str, value: bytes) -> bool:
        """Tell all a small fact about this life; the next one under the same kind and key takes its place.
        ``False`` where this life has no room for another key."""
        return self.own_life.publish(kind, key, value)

    def forget(self, name: str) -> str:
        """Call a life ended that is unreachable; what is wrong with that, or nothing."""
        member = self.view.members.get(name)
        if member is None or member.fact.terminal:
            return f"no member {name!r} is known here, or its life is over already"
        if member.shown != "unreachable":
            return f"{name} is {member.shown}: only one that is unreachable can be forgotten"
        self.merger.take(with_state(member.fact, State.ENDED), HERE)
        return ""

    def change_timings(self, pace: Timings) -> None:
        self.node.pace = pace
        self.prober.probe_at = min(self.prober.probe_at, self.now + pace.period)

    def leave(self, now: int) -> None:
        """Say goodbye: to some now, and again at each ``wake`` until ``gone``."""
        self.node.now = now
        self.own_life.leave()

    def gone(self) -> bool:
        """Whether enough have heard the goodbye."""
        return self.own_life.gone()

    # The time.

    @property
    def wake_at(self) -> int:
        """On the caller's clock; a wake before it does nothing."""
        if self.followed:
            return self.now + FOLLOWED_WAKE
        times_due = [self.reconnector.retry_at, self.sweep_at]
        times_due += self.prober.times_due()
        times_due += self.relays.times_due()
        if self.dissemination.gossip_at is not None:
            times_due.append(self.dissemination.gossip_at)
        times_due += [suspicion.deadline() for _, suspicion in self.suspicions.running()]
        return min(times_due)

    def wake(self, now: int) -> None:
        due = self.wake_at
        self.node.now = now
        if now < due or self.followed:
            return
        if now - due > self.pace.period:
            self.wake_late(now - due)
        if self.node.leaving:
            self.wake_leaving()
            return
        for member in self.suspicions.expire():
            self.reconnector.schedule(member)
            self.settlement.forget(member.fact.name)
        self.prober.look_at_probes()
        self.prober.probe_next()
        if (gossip_at := self.dissemination.gossip_at) is not None and now >= gossip_at:
            self.dissemination.gossip()
        self.reconnector.retry()
        if now >= self.sweep_at:
            self.sweep()
        self.relays.expire()
        self.settlement.look()

    def wake_late(self, gap: int) -> None:
        """This process did not run for a while: what it waited for may have come. It blames itself, gives
        every suspect the time again, and calls nothing settled before it has heard from another."""
        node = self.node
        node.counts.stalls += 1
        node.raise_doubt()
        node.stalled = len(self.view.seen()) > 1
        self.prober.restart()
        self.relays.clear()
        self.suspicions.extend(gap)
        node.record("stalled", node.name, node.life, HERE, f"did not run for {gap / SECOND:.1f} s")

    def wake_leaving(self) -> None:
        self.own_life.say_goodbye()
        again_at = self.now + self.pace.period // LEAVING_WAKES
        self.prober.probe_at = self.reconnector.retry_at = self.sweep_at = again_at
        self.dissemination.gossip_at = None

    def sweep(self) -> None:
        """Once a period."""
        self.sweep_at = self.now + self.pace.period
        self.anti_entropy.refill()
        self.own_life.join_alone()
        self.merger.remove_old()

    # What comes.

    def receive(self, now: int, source: bytes, data: bytes) -> None:
        """One datagram, ``data``, from the packed address ``source``."""
        node = self.node
        node.now = max(node.now, now)
        node.counts.received += 1
        try:
            message = node.codec.read(data)
        except DatagramRefused as refused:
            self.refusals.refuse(source, refused.reason)
            return
        if node.followed or (message.name == node.name and message.life == node.life):
            return  # its own, come back
        if self.refusals.too_late(message.life):
            return
        self.merge(message)
        if node.followed:
            return
        if message.name == node.name:
            self.own_life.hear(Fact(node.name, message.life, 0, State.ALIVE, node.fact.card), message.name)
        elif not node.leaving or message.kind in ("ack", "bye"):
            self.answer(message, source)
        self.settlement.look()

    def merge(self, message: Message) -> None:
        """The facts and notes that a datagram carries."""
        self.merger.exchanging = message.kind == "push"
        for fact in message.facts:
            if self.refusals.too_late(fact.life):
                continue
            if fact.name == self.name:
                self.own_life.hear(fact, message.name)
            else:
                self.merger.hear(fact, message.name)
        self.merger.exchanging = False
        if not self.followed:
            for note in message.notes:
                self.merger.take_note(note)

    def answer(self, message: Message, source: bytes) -> None:
        sender = self.view.members.get(message.name)
        current = sender is not None and sender.fact.life == message.life and not sender.fact.terminal
        if sender is not None and current:
            self.heard_from(sender, message)
        elif sender is not None and sender.fact.life >= message.life:
            self.anti_entropy.correct(source, sender.fact)  # it acts for a life that is over
        match message.kind:
            case "ping":
                self.answer_ping(message, source, known=sender is not None, current=current)
            case "ack":
                self.answer_ack(message, source)
            case "relay":
                self.relays.begin(message, source)
            case "nack":
                self.prober.relay_failed(message)
            case "bye":
                self.dissemination.send("ack", source, serial=message.serial, facts=(self.fact,))
            case "push":
                if message.range is not None and message.range.reply:
                    self.anti_entropy.complete(message.range, message.facts, source)
        if message.kind in ("ack", "range") and message.range is not None:
            self.anti_entropy.compare(message.range, source)
        if current and message.kind in ("ping", "ack") and message.digest != self.view.digest():
            self.anti_entropy.begin(source)

    def heard_from(self, sender: Member, message: Message) -> None:
        """A datagram of a life that goes on: what it says of itself without words."""
        sender.heard_at = self.now
        self.settlement.heard(message.name, message.digest)
        if sender.fact.incarnation > message.incarnation or sender.fact.state == State.SUSPECT:
            self.dissemination.spread_again(sender.fact)

    def answer_ping(self, message: Message, source: bytes, known: bool, current: bool) -> None:
        if message.target in ("", self.name) and message.target_life in (0, self.life):
            stranger = not current or not message.target
            self.dissemination.send(
                "ack",
                source,
                serial=message.serial,
                about=message.name if known else "",
                facts=(self.fact,) if stranger else (),
                range_=self.anti_entropy.whole() if stranger else None,
            )
        elif message.target == self.name:
            self.anti_entropy.correct(source, self.fact)

    def answer_ack(self, message: Message, source: bytes) -> None:
        node = self.node
        if node.leaving:
            self.own_life.goodbyes.add(message.name)
            return
        node.stalled, self.own_life.heard_any = False, True
        self.prober.acknowledged(message)
        self.relays.acknowledged(message)
        if node.fact.state == State.JOINING and message.name in self.view.members:
            self.own_life.become_alive(message.name)
            self.anti_entropy.begin(source)
