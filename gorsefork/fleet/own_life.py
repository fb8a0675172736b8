"""What this member says of itself: its life, its incarnation, its notes, and its goodbye."""

from __future__ import annotations

from gorsefork.fleet.dissemination import Dissemination
from gorsefork.fleet.facts import MOST_LIFE, Card, Fact, MemberValue, State, with_state
from gorsefork.fleet.local_node import HERE, LocalNode
from gorsefork.fleet.merging import Merger

BUMPS = 3  # times that a newcomer takes a life beyond one that it hears of under its name
ALONE_AFTER = 3  # periods after which a newcomer that nobody answers serves alone
GOODBYES = 8  # members told at the end
CONFIRMED = 3  # of them whose word lets this one go


class OwnLife:
    """Begins with the life ``life``, joining."""

    def __init__(self, node: LocalNode, dissemination: Dissemination, merger: Merger) -> None:
        self.node, self.dissemination, self.merger = node, dissemination, merger
        self.notes: dict[tuple[str, str], MemberValue] = {}  # by kind and key
        self.bumps = 0
        self.heard_any = False  # some other has answered this process
        self.goodbyes: set[str] = set()  # members that confirmed the goodbye

    def begin(self, life: int, state: State, card: Card) -> None:
        """Go on as this life, with the same notes."""
        name = self.node.name
        self.merger.take(Fact(name, life, 0, state, card), HERE)
        for (kind, key), note in list(self.notes.items()):
            renewed = MemberValue(name, life, kind, key, note.version + 1, note.value)
            if self.merger.take_note(renewed):
                self.notes[kind, key] = renewed

    def begin_later(self) -> None:
        """Go on as a later life, as this one is over for others."""
        self.begin(self.later_life(), State.ALIVE, self.node.fact.card)

    def later_life(self) -> int:
        return max(self.node.unix_now(), self.node.life + 1)

    def become_alive(self, by: str) -> None:
        fact = self.node.fact
        self.merger.take(Fact(fact.name, fact.life, fact.incarnation, State.ALIVE, fact.card), by)

    def join_alone(self) -> None:
        """A newcomer that nobody answers serves alone."""
        node = self.node
        if node.fact.state == State.JOINING and node.now - node.began >= ALONE_AFTER * node.pace.period:
            self.become_alive(HERE)

    def publish(self, kind: str, key: str, value: bytes) -> bool:
        """Tell all a small fact about this life; the next one under the same kind and key takes its place.
        ``False`` where this life has no room for another key."""
        node, old = self.node, self.notes.get((kind, key))
        version = old.version + 1 if old else max(1, node.unix_now())
        note = MemberValue(node.name, node.life, kind, key, version, value)
        if not self.merger.take_note(note):
            return False
        self.notes[kind, key] = note
        return True

    def hear(self, fact: Fact, by: str) -> None:
        """What another says of this name, and what this life answers."""
        node, own = self.node, self.node.fact
        if node.leaving or fact.life < own.life or (fact.life == own.life and not fact.beats(own)):
            return
        if fact.life > own.life:
            self.hear_of_later(fact, by)
        elif fact.terminal:
            text = f"this life was called over; it goes on as {self.later_life()}"
            node.record("given up", node.name, own.life, by, text)
            self.begin_later()
        elif fact.state == State.SUSPECT or fact.incarnation > own.incarnation:
            self.contradict(fact, by)

    def hear_of_later(self, fact: Fact, by: str) -> None:
        """Another life of this name, begun later, or so it says."""
        node = self.node
        if not self.heard_any and self.bumps < BUMPS and fact.life < MOST_LIFE:
            self.bumps += 1  # it has just begun: so the other is older, whatever the clocks say
            self.begin(fact.life + 1, State.JOINING, node.fact.card)
            return
        node.followed = True
        node.record("followed", node.name, fact.life, by, "a later life of this name speaks")

    def contradict(self, fact: Fact, by: str) -> None:
        answer = self.node.view.contradicted(self.node.name, fact)
        if answer is None:
            self.begin_later()
            return
        if fact.state == State.SUSPECT:
            self.node.raise_doubt()
        self.merger.take(answer, by)

    def leave(self) -> None:
        """Say goodbye: to some now, and again at each ``say_goodbye`` until ``gone``."""
        self.node.leaving = True
        self.merger.take(with_state(self.node.fact, State.LEFT), HERE)
        self.say_goodbye()

    def say_goodbye(self) -> None:
        node = self.node
        others = [m for m in node.view.going() if m.fact.name not in self.goodbyes and not m.lost]
        node.rng.shuffle(others)
        for member in others[:GOODBYES]:
            self.dissemination.send("bye", member.fact.card.dial, facts=(node.fact,), about=member.fact.name)

    def gone(self) -> bool:
        """Whether enough have heard the goodbye."""
        node = self.node
        heard = len(self.goodbyes) >= min(CONFIRMED, len(node.others_seen()))
        return node.leaving and (node.followed or heard)
