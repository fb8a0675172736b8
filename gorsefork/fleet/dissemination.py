"""Sending: each datagram carries as much news as fits (piggybacking), and news that waits starts gossip."""

from __future__ import annotations

from gorsefork.fleet.bounds import GOSSIP_SHARE, GOSSIP_TO
from gorsefork.fleet.facts import Fact, MemberValue
from gorsefork.fleet.gossip_queue import Spread, times
from gorsefork.fleet.local_node import LocalNode, OutgoingDatagram
from gorsefork.fleet.messages import MAX_DATAGRAM_BYTES, MOST_FACTS, Kind, Message, Range

OVERHEAD = 17  # bytes of a datagram beyond its packed message: the codec's head, and lists that grow


class Dissemination:
    """News on its way to others. ``gossip_at``: when the next round is due; ``None`` while nothing waits."""

    def __init__(self, node: LocalNode) -> None:
        self.node = node
        self.news: Spread[Fact] = Spread()
        self.notes: Spread[MemberValue] = Spread()
        self.gossip_at: int | None = None

    def spread_fact(self, fact: Fact) -> None:
        self.news.add(fact.name, fact)
        self.schedule_gossip()

    def spread_again(self, fact: Fact) -> None:
        """Somebody lacks this fact: spread it once more, unless it is on its way already."""
        if fact.name not in self.news.pieces:
            self.spread_fact(fact)

    def spread_note(self, note: MemberValue) -> None:
        self.notes.add((note.owner, note.kind, note.key), note)
        self.schedule_gossip()

    def drop_notes_of(self, name: str) -> None:
        self.notes.pieces = {
            about: piece for about, piece in self.notes.pieces.items() if piece.what.owner != name
        }

    def schedule_gossip(self) -> None:
        if self.gossip_at is None and (len(self.news) or len(self.notes)):
            self.gossip_at = self.node.now + int(GOSSIP_SHARE * self.node.pace.period)

    def gossip(self) -> None:
        """One round: news to some members chosen at random."""
        node = self.node
        others = node.others_seen()
        for name in node.rng.sample(others, min(GOSSIP_TO, len(others))):
            self.send("gossip", node.view.members[name].fact.card.dial, about=name)
        self.gossip_at = None
        self.schedule_gossip()

    def room(self, range_: Range | None) -> int:
        """Bytes for facts and notes in a ``push`` of this range."""
        return MAX_DATAGRAM_BYTES - self.node.codec.size(self.message("push", range_=range_)) - OVERHEAD

    def message(
        self,
        kind: Kind,
        serial: int = 0,
        target: str = "",
        target_life: int = 0,
        dial: bytes = b"",
        facts: tuple[Fact, ...] = (),
        notes: tuple[MemberValue, ...] = (),
        range_: Range | None = None,
    ) -> Message:
        node = self.node
        return Message(
            kind,
            node.name,
            node.life,
            node.fact.incarnation,
            serial,
            node.view.digest(),
            min(65535, len(node.view)),
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
        notes: tuple[MemberValue, ...] = (),
        range_: Range | None = None,
        about: str = "",
    ) -> None:
        """With as much news as fits. ``about``: whom it goes to; what concerns it goes first."""
        node = self.node
        message = self.message(kind, serial, target, target_life, dial, facts, notes, range_)
        if kind != "push":
            left = MAX_DATAGRAM_BYTES - OVERHEAD - node.codec.size(message)
            more_facts, more_notes = self.pick(left, (about, target))
            if more_facts or more_notes:
                known = {fact.name for fact in facts}
                facts = (*facts, *(fact for fact in more_facts if fact.name not in known))[:MOST_FACTS]
                notes = (*notes, *more_notes)
                message = self.message(kind, serial, target, target_life, dial, facts, notes, range_)
        data = node.codec.pack(message)
        if len(data) > MAX_DATAGRAM_BYTES:
            raise ValueError(f"a {kind} of {len(data)} bytes")
        node.counts.sent += 1
        node.counts.bytes_sent += len(data)
        node.out.append(OutgoingDatagram(to, data))

    def pick(self, left: int, first: tuple[str, str]) -> tuple[list[Fact], list[MemberValue]]:
        """News for ``left`` bytes, that about the members in ``first`` before all other."""
        pace, size = self.node.pace, self.node.codec.size
        most_sent = times(len(self.node.view), pace.repeats)
        for_notes = min(left, pace.note_room) if len(self.notes) else 0
        facts = self.news.pick(left - for_notes, size, most_sent, first) if len(self.news) else []
        left -= sum(map(size, facts))
        notes = self.notes.pick(min(left, pace.note_room), size, most_sent) if for_notes else []
        return facts, notes
