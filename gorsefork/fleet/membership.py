"""The protocol of one ingress: datagrams and the time in, datagrams and events out. No I/O and no clock.

SWIM (Das, Gupta, Motivala, 2002): one probe a period, through others where the direct one fails, suspicion
before a verdict, news that rides along. Lifeguard (Dadgar, Phillips, Currey, 2017): who misses answers
doubts itself and slows down, accusers shorten a suspicion, a suspect is told first of all.
docs/fleet-view.md has the rest.
"""

from __future__ import annotations

import random
from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from gorsefork.fleet.bounds import (
    CONFIRMS,
    GOSSIP_SHARE,
    GOSSIP_TO,
    suspicion_least,
    suspicion_most,
)
from gorsefork.fleet.facts import MOST_LIFE, Card, Fact, Note, State, shown_dial
from gorsefork.fleet.messages import FAN_OUT, LONGEST, Codec, Kind, Message, Range, Refused
from gorsefork.fleet.spread import REPEATS, Spread, times
from gorsefork.fleet.view import DIGITS, Member, Part, Suspicion, View

SECOND = 1_000_000
DOUBT_MOST = 8  # by how much more a slow prober may stretch its periods
RELAYS = 3  # asked where a direct probe fails
MOST_PROBES = 2 * (DOUBT_MOST + 2)  # at a time; beyond that none begins until one has ended
TRIES = 64  # of one probe, each with a number of its own, so that the trip of an answer is known
MOST_RELAYED = 256  # probes made for others that wait; beyond that one is not made
FEW = 4  # members of a range that are told at once
BUMPS = 3  # times that a newcomer takes a life beyond one that it hears of under its name
AHEAD = 86_400 * SECOND  # that a life may seem to begin from now: clocks differ
MEND_AGAIN = 2  # exchanges of digests that may begin here in a period
KNOCK_FIRST, KNOCK_MOST = 4, 64  # periods between two knocks at one that is unreachable, at first and at last
OVER_KEPT = 8  # times as long as one that is unreachable, a life that is over is known as such
GOODBYES = 8  # members told at the end
CONFIRMED = 3  # of them whose word lets this one go
MOST_SOURCES = 64  # whose refusals are remembered, so that each is told of once a minute
TOLD_AGAIN = 60 * SECOND


@dataclass(frozen=True, slots=True)
class Pace:
    """Times in microseconds. ``quiet``: without news before a view is settled. ``keep``: how long one that is
    unreachable stays a member. ``mend``: messages of exchanges that may go out in a period."""

    period: int = SECOND
    timeout: int = 300_000
    quiet: int = 3 * SECOND
    keep: int = 3600 * SECOND
    mend: int = 32
    note_room: int = 64  # bytes of a datagram for other subsystems' facts
    repeats: int = REPEATS  # times log2 of the fleet that each piece of news is sent by each that knows it


class Send(NamedTuple):
    dial: bytes
    data: bytes


class Event(NamedTuple):
    """What an operator may want to know. ``by``: who told, or ``here``."""

    kind: str
    name: str
    life: int
    by: str
    text: str


@dataclass(slots=True)
class Probe:
    name: str
    life: int
    serial: int
    relay_at: int
    ends_at: int
    again_at: int
    second: bool = False  # the one before it at the same member got no answer
    sent: list[int] = field(default_factory=list)  # when each try went out
    asked: int = 0  # relays; -1: there are none
    nacks: int = 0


@dataclass(slots=True)
class Errand:
    """A probe made for another: whom to tell."""

    dial: bytes
    serial: int
    name: str
    life: int
    nack_at: int
    told: bool = False


@dataclass(slots=True)
class Counts:
    sent: int = 0
    received: int = 0
    bytes_sent: int = 0
    probes: int = 0
    missed: int = 0
    refused: dict[str, int] = field(default_factory=dict)
    stalls: int = 0


class Membership:
    """One life of one ingress in the fleet. ``wake_at`` says when ``wake`` is due; after each call ``out``
    and ``events`` are the caller's to empty."""

    def __init__(
        self,
        name: str,
        life: int,
        card: Card,
        codec: Codec,
        pace: Pace,
        rng: random.Random,
        now: int,
        seeds: Iterable[bytes] = (),
        unix: int = 0,
    ) -> None:
        self.name, self.codec, self.pace, self.rng = name, codec, pace, rng
        self.unix = unix or life - now  # what makes the caller's clock Unix time
        self.view = View()
        self.out: list[Send] = []
        self.events: list[Event] = []
        self.counts = Counts()
        self.news: Spread[Fact] = Spread()
        self.notes: Spread[Note] = Spread()
        self.own_notes: dict[tuple[str, str], Note] = {}
        self.seeds = [dial for dial in dict.fromkeys(seeds) if dial != card.dial]
        self.began = self.now = now
        self.serial = rng.randrange(1 << 25) * TRIES
        self.probes: dict[int, Probe] = {}  # by serial; more than one only while answers are missing
        self.trip, self.trip_varies = 0.0, 0.0  # of a probe and its answer, in microseconds
        self.errands: OrderedDict[int, Errand] = OrderedDict()
        self.ring: list[str] = []
        self.doubt = 0
        self.probe_at = now + rng.randrange(1, max(2, pace.period // 10))
        self.gossip_at: int | None = None
        self.knock_at = now + pace.period
        self.sweep_at = now + pace.period
        self.mend_credit, self.mend_at = float(pace.mend), now
        self.agreed: dict[str, tuple[bytes, int]] = {}  # digests last heard, and when
        self.bumps, self.followed, self.leaving, self.stalled = 0, False, False, False
        self.heard_any = self.mending = False
        self.goodbyes: set[str] = set()
        self.refused_at: OrderedDict[tuple[str, str], int] = OrderedDict()
        self.was_settled, self.was_part, self.part_since, self.look_at = False, "alone", now, now
        self.begin_life(Fact(name, life, 0, State.JOINING, card))

    # What others use.

    @property
    def fact(self) -> Fact:
        """What this life says of itself."""
        return self.view.members[self.name].fact

    @property
    def life(self) -> int:
        return self.fact.life

    @property
    def wake_at(self) -> int:
        """On the caller's clock; a wake before it does nothing."""
        if self.followed:
            return self.now + 60 * SECOND
        times_due = [self.probe_at, self.knock_at, self.sweep_at]
        for probe in self.probes.values():
            times_due += [probe.again_at, probe.ends_at if probe.asked else probe.relay_at]
        if self.gossip_at is not None:
            times_due.append(self.gossip_at)
        times_due += [errand.nack_at for errand in self.errands.values() if not errand.told][:1]
        times_due += [suspicion.deadline() for _, suspicion in self.suspects()]
        return min(times_due)

    def suspects(self) -> list[tuple[Member, Suspicion]]:
        """Those whose time runs here."""
        found = (self.view.members[name] for name in self.view.suspects)
        return [(member, member.suspicion) for member in found if member.suspicion is not None]

    def settled(self) -> bool:
        """No news for ``quiet``, nobody suspect or joining, and all digests heard since are this view's."""
        return not self.lacking()

    def lacking(self) -> list[str]:
        """What keeps the view from being settled, in words."""
        missing: list[str] = []
        if self.followed:
            return ["a later life of this name has taken its place"]
        if self.stalled:
            missing.append("this process was stopped, and has heard from nobody since")
        quiet = self.now - max(self.view.changed_at, self.began)
        if quiet < self.pace.quiet:
            missing.append(f"news {quiet / SECOND:.1f} s ago")
        unsure = [m.fact.name for m in self.view.going() if m.shown in ("suspect", "joining")]
        if unsure:
            missing.append("suspect or joining: " + ", ".join(sorted(unsure)[:8]))
        others = [name for name in self.view.seen() if name != self.name]
        fresh = {
            name: digest
            for name, (digest, at) in self.agreed.items()
            if name in others and at >= max(self.view.changed_at, self.now - 8 * self.pace.period)
        }
        if len(fresh) < min(3, len(others)):
            missing.append(f"the digests of {min(3, len(others)) - len(fresh)} more members")
        if differing := sorted(name for name, digest in fresh.items() if digest != self.view.digest()):
            missing.append("other digests: " + ", ".join(differing[:8]))
        return missing

    def part(self) -> Part:
        return self.view.part()

    def publish(self, kind: str, key: str, value: bytes) -> bool:
        """Tell all a small fact about this life; the next one under the same kind and key takes its place.
        ``False`` where this life has no room for another key."""
        old = self.own_notes.get((kind, key))
        note = Note(
            self.name, self.life, kind, key, old.version + 1 if old else max(1, self.now + self.unix), value
        )
        if not self.view.take_note(note, self.now):
            return False
        self.own_notes[kind, key] = note
        self.tell_note(note)
        return True

    def forget(self, name: str) -> str:
        """Call a life ended that is unreachable; what is wrong with that, or nothing."""
        member = self.view.members.get(name)
        if member is None or member.fact.terminal:
            return f"no member {name!r} is known here, or its life is over already"
        if member.shown != "unreachable":
            return f"{name} is {member.shown}: only one that is unreachable can be forgotten"
        self.take(replaced(member.fact, State.ENDED), "here")
        return ""

    def repace(self, pace: Pace) -> None:
        self.pace = pace
        self.probe_at = min(self.probe_at, self.now + pace.period)

    def leave(self, now: int) -> None:
        """Say goodbye: to some now, and again at each ``wake`` until ``gone``."""
        self.now, self.leaving = now, True
        self.take(replaced(self.fact, State.LEFT), "here")
        self.say_goodbye()

    def gone(self) -> bool:
        """Whether enough have heard the goodbye."""
        others = len([name for name in self.view.seen() if name != self.name])
        return self.leaving and (self.followed or len(self.goodbyes) >= min(CONFIRMED, others))

    def say_goodbye(self) -> None:
        others = [m for m in self.view.going() if m.fact.name not in self.goodbyes and not m.lost]
        self.rng.shuffle(others)
        for member in others[:GOODBYES]:
            self.send("bye", member.fact.card.dial, facts=(self.fact,), about=member.fact.name)

    # The time.

    def wake(self, now: int) -> None:
        due = self.wake_at
        self.now = now
        if now < due or self.followed:
            return
        if now - due > self.pace.period:
            self.wake_late(now - due)
        if self.leaving:
            self.say_goodbye()
            self.probe_at = self.knock_at = self.sweep_at = now + self.pace.period // 10
            self.gossip_at = None
            return
        self.look_at_suspects()
        self.look_at_probes()
        if now >= self.probe_at:
            self.probe_at = max(self.probe_at + self.pace.period, now + self.pace.period // 2)
            if (name := self.next_name()) is not None:
                self.begin_probe(name, second=False)
        if self.gossip_at is not None and now >= self.gossip_at:
            self.gossip()
        if now >= self.knock_at:
            self.knock()
        if now >= self.sweep_at:
            self.sweep()
        while self.errands and (first := next(iter(self.errands.values()))).nack_at <= now:
            serial = next(iter(self.errands))
            if not first.told:
                self.send("nack", first.dial, serial=first.serial)
            del self.errands[serial]
        self.look_at_whole()

    def wake_late(self, gap: int) -> None:
        """This process did not run for a while: what it waited for may have come. It blames itself, gives
        every suspect the time again, and calls nothing settled before it has heard from another."""
        self.counts.stalls += 1
        self.doubt = min(DOUBT_MOST, self.doubt + 1)
        self.probes.clear()
        self.stalled = len(self.view.seen()) > 1
        self.errands.clear()
        self.probe_at = self.now
        for _, suspicion in self.suspects():
            suspicion.began += gap
        self.tell("stalled", self.name, self.life, "here", f"did not run for {gap / SECOND:.1f} s")

    def look_at_suspects(self) -> None:
        for member, suspicion in self.suspects():
            if self.now < suspicion.deadline():
                continue
            self.view.lose(member, self.now)
            member.knock_at, member.knocks = self.now + KNOCK_FIRST * self.pace.period, 0
            self.agreed.pop(member.fact.name, None)
            self.tell(
                "unreachable",
                member.fact.name,
                member.fact.life,
                "here",
                f"nobody contradicted {', '.join(sorted(suspicion.accusers))}",
            )

    def look_at_probes(self) -> None:
        for serial, probe in list(self.probes.items()):
            if self.now >= probe.ends_at:
                del self.probes[serial]
                self.missed(probe)
                continue
            if not probe.asked and self.now >= probe.relay_at:
                self.ask_relays(probe)
            if self.now >= probe.again_at:
                probe.again_at = self.now + self.patience()
                self.ping(probe)

    def patience(self) -> int:
        """After which an answer is late: by the round trips seen, and not more often than ten times a
        period."""
        return max(self.pace.period // 10, round(self.trip + 4.0 * self.trip_varies))

    def stretch(self) -> int:
        """How long a probe may take: longer for one that doubts itself, and where answers take long. Probes
        begin a period apart all the same, or an ingress that many left at once would be the last to see
        it."""
        return max(self.pace.period, 4 * self.patience()) * (1 + self.doubt)

    def ping(self, probe: Probe) -> None:
        member = self.view.members.get(probe.name)
        if member is not None and member.fact.life == probe.life and len(probe.sent) < TRIES:
            probe.sent.append(self.now)
            self.send(
                "ping",
                member.fact.card.dial,
                serial=probe.serial + len(probe.sent) - 1,
                target=probe.name,
                target_life=probe.life,
                about=probe.name,
            )

    def ask_relays(self, probe: Probe) -> None:
        member = self.view.members.get(probe.name)
        probe.asked = -1  # none
        if member is None or member.fact.life != probe.life:
            return
        others = [name for name in self.view.seen() if name not in (self.name, probe.name)]
        chosen = self.rng.sample(others, min(RELAYS, len(others)))
        for name in chosen:
            self.send(
                "relay",
                self.view.members[name].fact.card.dial,
                serial=probe.serial,
                target=probe.name,
                target_life=probe.life,
                dial=member.fact.card.dial,
                about=name,
            )
        probe.asked = len(chosen) or -1

    def missed(self, probe: Probe) -> None:
        """No answer on any path: it may be dead, or this ingress slow. Relays that did not even say that
        they failed make the latter more likely. It is probed once more before it is called suspect: where
        datagrams are lost, one probe in some hundreds fails by chance."""
        self.counts.missed += 1
        self.doubt = min(DOUBT_MOST, self.doubt + 1 + (max(0, probe.asked - probe.nacks) > 0))
        member = self.view.members.get(probe.name)
        if member is None or member.fact.life != probe.life or member.fact.terminal:
            return
        if not probe.second:
            self.begin_probe(probe.name, second=True)
        elif member.fact.state != State.SUSPECT:
            self.take(replaced(member.fact, State.SUSPECT, self.name), "here")
        elif member.suspicion is not None and self.name not in member.suspicion.accusers:
            self.confirm(member, self.name)

    def begin_probe(self, name: str, second: bool) -> None:
        if len(self.probes) >= MOST_PROBES:
            return
        self.counts.probes += 1
        relay_at = max(self.pace.timeout, 2 * self.patience()) * (1 + self.doubt)
        ends_at = self.now + self.stretch() - self.pace.period // 20
        probe = Probe(
            name,
            self.view.members[name].fact.life,
            self.next_serial(),
            self.now + relay_at,
            ends_at,
            self.now + self.patience(),
            second,
        )
        self.probes[probe.serial] = probe
        self.ping(probe)

    def next_name(self) -> str | None:
        """Each in turn, in an order drawn anew for each round: no member waits longer than two rounds."""
        for _ in range(2):
            while self.ring:
                member = self.view.members.get(self.ring.pop())
                if member is not None and not member.fact.terminal and not member.lost:
                    return member.fact.name
            self.ring = [m.fact.name for m in self.view.going() if m.fact.name != self.name and not m.lost]
            self.rng.shuffle(self.ring)
        return None

    def gossip(self) -> None:
        others = [name for name in self.view.seen() if name != self.name]
        for name in self.rng.sample(others, min(GOSSIP_TO, len(others))):
            self.send("gossip", self.view.members[name].fact.card.dial, about=name)
        self.gossip_at = None
        self.keep_gossiping()

    def keep_gossiping(self) -> None:
        if self.gossip_at is None and (len(self.news) or len(self.notes)):
            self.gossip_at = self.now + int(GOSSIP_SHARE * self.pace.period)

    def knock(self) -> None:
        """One datagram a period, however many are away: at one that is unreachable, or at a seed where
        nobody that is known here answers."""
        self.knock_at = self.now + self.pace.period
        away = [m for m in self.view.going() if m.lost and m.knock_at <= self.now]
        dials = {m.fact.card.dial for m in self.view.going() if not m.lost}
        strange = [dial for dial in self.seeds if dial not in dials]
        alone = len(self.view.seen()) <= 1
        if strange and (alone or not away or self.rng.random() < 0.25):
            for dial in self.rng.sample(strange, min(2 if alone else 1, len(strange))):
                self.hail(dial)
            if alone or not away:
                return
        if away:
            member = min(away, key=lambda m: m.knock_at)
            pause = min(KNOCK_MOST, KNOCK_FIRST * 2 ** min(member.knocks, 8)) * self.pace.period
            member.knocks += 1
            member.knock_at = self.now + round(pause * self.rng.uniform(0.75, 1.25))
            self.send(
                "ping",
                member.fact.card.dial,
                serial=self.next_serial(),
                target=member.fact.name,
                target_life=member.fact.life,
                facts=(self.fact, member.fact),
                about=member.fact.name,
            )

    def hail(self, dial: bytes) -> None:
        """A ping to whoever is there, who may never have heard of this ingress."""
        self.send("ping", dial, serial=self.next_serial(), facts=(self.fact,))

    def sweep(self) -> None:
        """Once a period: a newcomer that nobody answers serves alone; what is over for long is forgotten."""
        self.sweep_at = self.now + self.pace.period
        self.mend_credit = min(float(2 * self.pace.mend), self.mend_credit + self.pace.mend)
        if self.fact.state == State.JOINING and self.now - self.began >= 3 * self.pace.period:
            self.become_alive("here")
        for member in list(self.view.members.values()):
            age = self.now - member.since
            if member.fact.terminal and age >= OVER_KEPT * self.pace.keep:
                del self.view.members[member.fact.name]
            elif min(age, self.now - self.part_since) >= self.pace.keep and member.lost and self.may_end():
                self.take(replaced(member.fact, State.ENDED), "here")

    def may_end(self) -> bool:
        """Guards against a side that was cut off and, as it heals, sees most again before the rest."""
        return self.was_part == "majority" and self.settled()

    def look_at_whole(self) -> None:
        """Each look costs as many steps as there are members: five times a period at the most."""
        if self.now < self.look_at:
            return
        self.look_at = self.now + self.pace.period // 5
        part, settled = self.part(), self.settled()
        if settled:
            self.view.base = frozenset(m.fact.name for m in self.view.going())
        if part != self.was_part:
            self.was_part, self.part_since = part, self.now
            self.tell("part", self.name, self.life, "here", f"sees {part} of the last settled fleet")
        if settled != self.was_settled:
            self.was_settled = settled
            self.tell(
                "settled" if settled else "unsettled",
                self.name,
                self.life,
                "here",
                f"view {self.view.number}, digest {self.view.digest().hex()}, {len(self.view.seen())} seen",
            )

    # What comes.

    def receive(self, now: int, source: bytes, data: bytes) -> None:
        self.now = max(self.now, now)
        self.counts.received += 1
        try:
            message = self.codec.read(data)
        except Refused as refused:
            self.refuse(source, refused.reason)
            return
        if self.followed or (message.name == self.name and message.life == self.life):
            return  # its own, come back
        if self.too_late(message.life):
            return
        # What an exchange of digests brings is known to others already: to spread it too would tell a
        # newcomer's whole table once more to all.
        self.mending = message.kind == "push"
        for fact in message.facts:
            self.hear(fact, message.name)
        self.mending = False
        if self.followed:
            return
        for note in message.notes:
            if self.view.take_note(note, self.now):
                self.tell_note(note)
        if message.name == self.name:
            self.hear_of_self(Fact(self.name, message.life, 0, State.ALIVE, self.fact.card), message.name)
        elif not self.leaving or message.kind in ("ack", "bye"):
            self.answer(message, source)
        self.look_at_whole()

    def refuse(self, source: bytes, reason: str) -> None:
        self.counts.refused[reason] = self.counts.refused.get(reason, 0) + 1
        known = shown_dial(source)
        if self.now - self.refused_at.get((known, reason), -TOLD_AGAIN) < TOLD_AGAIN:
            return
        self.refused_at[known, reason] = self.now
        self.refused_at.move_to_end((known, reason))
        while len(self.refused_at) > MOST_SOURCES:
            self.refused_at.popitem(last=False)
        text = {
            "site": "is of another site",
            "version": "speaks a version too far from this one",
            "key": "has another key",
            "size": "sent too much or too little",
            "form": "sent what cannot be read",
        }[reason]
        self.tell("refused", known, 0, "here", f"{known} {text}")

    def answer(self, message: Message, source: bytes) -> None:
        sender = self.view.members.get(message.name)
        current = sender is not None and sender.fact.life == message.life and not sender.fact.terminal
        about = message.name if sender is not None else ""
        if sender is not None and current:
            sender.heard_at = self.now
            self.agreed[message.name] = (message.digest, self.now)
            if sender.fact.incarnation > message.incarnation or sender.fact.state == State.SUSPECT:
                self.news_again(sender.fact)
        elif sender is not None and sender.fact.life >= message.life:
            self.correct(source, sender.fact)  # it acts for a life that is over
        match message.kind:
            case "ping":
                if message.target in ("", self.name) and message.target_life in (0, self.life):
                    stranger = not current or not message.target
                    self.send(
                        "ack",
                        source,
                        serial=message.serial,
                        about=about,
                        facts=(self.fact,) if stranger else (),
                        range_=self.whole() if stranger else None,
                    )
                elif message.target == self.name:
                    self.correct(source, self.fact)
            case "ack":
                self.acked(message, source)
            case "relay":
                self.run_errand(message, source)
            case "nack":
                if (probe := self.probes.get(message.serial)) is not None:
                    probe.nacks += 1
            case "bye":
                self.send("ack", source, serial=message.serial, facts=(self.fact,))
            case "range":
                if message.range is not None:
                    self.compare(message.range, source)
            case "push":
                if message.range is not None and message.range.reply:
                    self.complete(message.range, message.facts, source)
        if message.kind == "ack" and message.range is not None:
            self.compare(message.range, source)
        if current and message.kind in ("ping", "ack") and message.digest != self.view.digest():
            self.mend(source)

    def whole(self) -> Range:
        return Range("", self.view.range_digests("", FAN_OUT))

    def acked(self, message: Message, source: bytes) -> None:
        whose, life = message.target or message.name, message.target_life or message.life
        if self.leaving:
            self.goodbyes.add(message.name)
            return
        self.stalled, self.heard_any = False, True
        trial = message.serial % TRIES
        probe = self.probes.get(message.serial - trial)
        if probe is not None and (probe.name, probe.life) == (whose, life):
            self.doubt = max(0, self.doubt - 1)
            del self.probes[probe.serial]
            if not message.target and trial < len(probe.sent):
                trip = float(self.now - probe.sent[trial])
                self.trip_varies += (abs(trip - self.trip) - self.trip_varies) / 4.0
                self.trip += (trip - self.trip) / 8.0 if self.trip else trip
        errand = self.errands.get(message.serial)
        if errand is not None and (errand.name, errand.life) == (message.name, message.life):
            errand.told = True
            self.send("ack", errand.dial, serial=errand.serial, target=errand.name, target_life=errand.life)
        if self.fact.state == State.JOINING and message.name in self.view.members:
            self.become_alive(message.name)
            self.mend(source)

    def run_errand(self, message: Message, source: bytes) -> None:
        if len(self.errands) >= MOST_RELAYED or not message.dial:
            return
        serial = self.next_serial()
        self.errands[serial] = Errand(
            source, message.serial, message.target, message.target_life, self.now + self.pace.timeout
        )
        self.send(
            "ping",
            message.dial,
            serial=serial,
            target=message.target,
            target_life=message.target_life,
            facts=(self.fact,),
            about=message.target,
        )

    # Facts.

    def too_late(self, life: int) -> bool:
        """Guards against a life that nobody could follow: it would hold its name for ever."""
        if life <= self.now + self.unix + AHEAD:
            return False
        self.counts.refused["life"] = self.counts.refused.get("life", 0) + 1
        return True

    def hear(self, fact: Fact, by: str) -> None:
        if self.too_late(fact.life):
            return
        if fact.name == self.name:
            self.hear_of_self(fact, by)
            return
        member = self.view.members.get(fact.name)
        if member is not None and fact.rank == member.fact.rank:
            if (
                fact.state == State.SUSPECT
                and fact.accuser
                and member.suspicion is not None
                and fact.accuser not in member.suspicion.accusers
            ):
                self.confirm(member, fact.accuser)
            return
        if self.take(fact, by) is None and member is not None and member.fact.beats(fact):
            self.news_again(member.fact) if member.fact.terminal else None

    def take(self, fact: Fact, by: str) -> Member | None:
        old = self.view.members.get(fact.name)
        before = old.shown if old is not None else None
        old_life = old.fact.life if old is not None else 0
        member = self.view.take(fact, self.now, by)
        if member is None:
            return None
        if fact.state == State.SUSPECT:
            self.suspect(member, fact.accuser or by)
        if fact.terminal:
            self.notes.pieces = {
                about: piece for about, piece in self.notes.pieces.items() if piece.what.owner != fact.name
            }
            self.agreed.pop(fact.name, None)
        elif before is None and self.ring:
            self.ring.insert(self.rng.randrange(len(self.ring) + 1), fact.name)
        if not self.mending:
            self.news.add(fact.name, fact)
            self.keep_gossiping()
        if old_life and old_life != fact.life:
            self.tell("ended", fact.name, old_life, by, f"life {fact.life} has taken its place")
        if before != member.shown or old_life != fact.life:
            self.tell(
                member.shown,
                fact.name,
                fact.life,
                by,
                f"{fact.name} is {member.shown}" + (f", was {before}" if before else ""),
            )
        return member

    def suspect(self, member: Member, accuser: str) -> None:
        if member.suspicion is None:
            size, period = len(self.view.seen()), self.pace.period / SECOND
            member.suspicion = Suspicion(
                self.now,
                round(suspicion_least(size, period) * SECOND),
                round(suspicion_most(size, period) * SECOND),
                min(CONFIRMS, max(0, size - 3)),
            )
            self.view.suspects.add(member.fact.name)
        member.suspicion.accusers.add(accuser)

    def confirm(self, member: Member, accuser: str) -> None:
        """Another that accuses by itself: told on, as it shortens the time, up to so many."""
        assert member.suspicion is not None
        if len(member.suspicion.accusers) <= member.suspicion.wanted:
            member.suspicion.accusers.add(accuser)
            self.news.add(member.fact.name, replaced(member.fact, State.SUSPECT, accuser))
            self.keep_gossiping()

    def hear_of_self(self, fact: Fact, by: str) -> None:
        own = self.fact
        if self.leaving or fact.life < own.life or (fact.life == own.life and not fact.beats(own)):
            return
        if fact.life > own.life:
            if not self.heard_any and self.bumps < BUMPS and fact.life < MOST_LIFE:
                self.bumps += 1  # it has just begun: so the other is older, whatever the clocks say
                self.begin_life(Fact(self.name, fact.life + 1, 0, State.JOINING, own.card))
                return
            self.followed = True
            self.tell("followed", self.name, fact.life, by, "a later life of this name speaks")
            return
        if fact.terminal:
            life = max(self.now + self.unix, own.life + 1)
            self.tell("given up", self.name, own.life, by, f"this life was called over; it goes on as {life}")
            self.begin_life(Fact(self.name, life, 0, State.ALIVE, own.card))
            return
        if fact.state == State.SUSPECT or fact.incarnation > own.incarnation:
            answer = self.view.contradicted(self.name, fact)
            if answer is None:
                life = max(self.now + self.unix, own.life + 1)
                self.begin_life(Fact(self.name, life, 0, State.ALIVE, own.card))
                return
            if fact.state == State.SUSPECT:
                self.doubt = min(DOUBT_MOST, self.doubt + 1)
            self.take(answer, by)

    def begin_life(self, fact: Fact) -> None:
        self.take(fact, "here")
        for (kind, key), note in list(self.own_notes.items()):
            renewed = Note(self.name, fact.life, kind, key, note.version + 1, note.value)
            if self.view.take_note(renewed, self.now):
                self.own_notes[kind, key] = renewed
                self.tell_note(renewed)

    def become_alive(self, by: str) -> None:
        self.take(Fact(self.name, self.life, self.fact.incarnation, State.ALIVE, self.fact.card), by)

    def news_again(self, fact: Fact) -> None:
        """To be told once more, as somebody lacks it."""
        if fact.name not in self.news.pieces:
            self.news.add(fact.name, fact)
            self.keep_gossiping()

    def tell_note(self, note: Note) -> None:
        self.notes.add((note.owner, note.kind, note.key), note)
        self.keep_gossiping()

    # Mending.

    def mend(self, dial: bytes) -> None:
        """Compare all, where digests differ: news may have run out before it reached everybody."""
        if self.now < self.mend_at:
            return
        self.mend_at = self.now + self.pace.period // MEND_AGAIN
        self.spend("range", dial, self.whole())

    def spend(
        self,
        kind: Kind,
        dial: bytes,
        range_: Range,
        facts: tuple[Fact, ...] = (),
        notes: tuple[Note, ...] = (),
    ) -> None:
        """What mends has a budget a period; what goes beyond it waits for the next exchange."""
        if self.mend_credit >= 1.0:
            self.mend_credit -= 1.0
            self.send(kind, dial, facts=facts, notes=notes, range_=range_)

    def compare(self, theirs: Range, dial: bytes) -> None:
        if len(theirs.digests) != FAN_OUT or len(theirs.prefix) >= DIGITS:
            return
        mine = self.view.range_digests(theirs.prefix, FAN_OUT)
        differing = [n for n in range(FAN_OUT) if mine[n] != theirs.digests[n]]
        self.rng.shuffle(differing)
        for n in differing:
            prefix = f"{theirs.prefix}{n}"
            members = self.view.within(prefix)
            if len(members) <= FEW or len(prefix) == DIGITS:
                self.push(prefix, members, dial, reply=True)
            else:
                self.spend("range", dial, Range(prefix, self.view.range_digests(prefix, FAN_OUT)))

    def push(self, prefix: str, members: Iterable[Member], dial: bytes, reply: bool) -> None:
        """Facts and notes, in as many datagrams as they need; an empty range asks as well."""
        facts: list[Fact] = []
        notes: list[Note] = []
        room = self.room(Range(prefix, (), reply))
        left, sent = room, False
        for member in members:
            told: list[Fact | Note] = [member.fact, *member.notes.values()]
            for what in told:
                needs = self.codec.size(what) + 1
                if needs > left and (facts or notes):
                    self.spend("push", dial, Range(prefix, (), reply), tuple(facts), tuple(notes))
                    facts, notes, left, sent = [], [], room, True
                if isinstance(what, Fact):
                    facts.append(what)
                else:
                    notes.append(what)
                left -= needs
        if facts or notes or (reply and not sent):
            self.spend("push", dial, Range(prefix, (), reply), tuple(facts), tuple(notes))

    def complete(self, theirs: Range, facts: tuple[Fact, ...], dial: bytes) -> None:
        """What is known here of a range beyond what was pushed, lives that are over among it."""
        told = {fact.name: fact.rank for fact in facts}
        newer = [
            m
            for m in self.view.members.values()
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

    # What goes.

    def room(self, range_: Range | None) -> int:
        return LONGEST - self.codec.size(self.message("push", range_=range_)) - 17

    def message(
        self,
        kind: Kind,
        serial: int = 0,
        target: str = "",
        target_life: int = 0,
        dial: bytes = b"",
        facts: tuple[Fact, ...] = (),
        notes: tuple[Note, ...] = (),
        range_: Range | None = None,
    ) -> Message:
        return Message(
            kind,
            self.name,
            self.life,
            self.fact.incarnation,
            serial,
            self.view.digest(),
            min(65535, len(self.view)),
            facts,
            notes,
            target,
            target_life,
            dial,
            range_,
        )

    def send(
        self,
        kind: Kind,
        to: bytes,
        serial: int = 0,
        target: str = "",
        target_life: int = 0,
        dial: bytes = b"",
        facts: tuple[Fact, ...] = (),
        notes: tuple[Note, ...] = (),
        range_: Range | None = None,
        about: str = "",
    ) -> None:
        """With as much news as fits. ``about``: whom it goes to; what concerns it goes first."""
        bare = self.message(kind, serial, target, target_life, dial, facts, notes, range_)
        left = LONGEST - 17 - self.codec.size(bare)
        if kind != "push":
            most = times(len(self.view), self.pace.repeats)
            for_notes = min(left, self.pace.note_room) if len(self.notes) else 0
            first = (about, target)
            added = self.news.pick(left - for_notes, self.codec.size, most, first) if len(self.news) else []
            left -= sum(map(self.codec.size, added))
            more = self.notes.pick(min(left, self.pace.note_room), self.codec.size, most) if for_notes else []
            if added or more:
                known = {fact.name for fact in facts}
                facts = (*facts, *(fact for fact in added if fact.name not in known))[:16]
                bare = self.message(kind, serial, target, target_life, dial, facts, (*notes, *more), range_)
        data = self.codec.pack(bare)
        if len(data) > LONGEST:
            raise ValueError(f"a {kind} of {len(data)} bytes")
        self.counts.sent += 1
        self.counts.bytes_sent += len(data)
        self.out.append(Send(to, data))

    def next_serial(self) -> int:
        self.serial = (self.serial + TRIES) % (1 << 32)
        return self.serial

    def tell(self, kind: str, name: str, life: int, by: str, text: str) -> None:
        self.events.append(Event(kind, name, life, by, text))


def replaced(fact: Fact, state: State, accuser: str = "") -> Fact:
    return Fact(fact.name, fact.life, fact.incarnation, state, fact.card, accuser)
