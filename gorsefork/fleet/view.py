"""The table of members: what is known of each, digests of it, whether it is settled, and how much of it is
seen."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from hashlib import blake2s
from math import log
from typing import Literal

from gorsefork.fleet.facts import MOST_INCARNATION, Fact, MemberValue, ShownState, State

MOST_MEMBERS = 1024  # names; beyond that a tombstone gives way; where there is none the new name is dropped
MOST_NOTES = 16  # of one owner
DIGITS = 21  # octal digits of a name's hash

Part = Literal["majority", "minority", "alone"]


@dataclass(slots=True)
class Suspicion:
    """How long a suspect has to contradict: the more accuse it independently, the less (Lifeguard, 2017)."""

    began: int
    least: int
    most: int
    wanted: int  # accusers beyond the first that shorten it to the least
    accusers: set[str] = field(default_factory=set)

    def deadline(self) -> int:
        if self.wanted < 1:
            return self.began + self.least
        more = min(self.wanted, max(0, len(self.accusers) - 1))
        shorter = (self.most - self.least) * log(more + 1) / log(self.wanted + 1)
        return self.began + max(self.least, round(self.most - shorter))


@dataclass(slots=True)
class Member:
    """Times in microseconds of the caller's clock."""

    fact: Fact
    since: int  # when its shown state began here
    by: str  # who told
    digits: str
    suspicion: Suspicion | None = None
    lost: bool = False  # a suspect whose time is over here
    heard_at: int | None = None  # the last datagram of its own
    retry_at: int = 0  # when one that is unreachable is pinged next
    retries: int = 0
    notes: dict[tuple[str, str], MemberValue] = field(default_factory=dict)
    mark: int = 0  # what the view's digest holds of it

    @property
    def shown(self) -> ShownState:
        if self.fact.state == State.SUSPECT:
            return "unreachable" if self.lost else "suspect"
        shown: ShownState = ("joining", "alive", "suspect", "left", "ended")[self.fact.state]
        return shown

    def reckoned(self) -> int:
        if self.fact.terminal:
            return 0
        total = int.from_bytes(self.fact.mark(), "big")
        for note in self.notes.values():
            total ^= int.from_bytes(note.mark(), "big")
        return total


def digits_of(name: str) -> str:
    return f"{int.from_bytes(blake2s(name.encode(), digest_size=8).digest(), 'big') >> 1:021o}"


class View:
    """All that one ingress knows. ``number`` grows with each change here; ``digest`` is equal where two know
    the same of all whose lives go on."""

    def __init__(self) -> None:
        self.members: dict[str, Member] = {}
        self.number = 0
        self.revision = 0  # grows with each change of a member, of how it is shown too
        self.changed_at = 0
        self.dropped = 0  # names that found no place
        self.total = 0  # of all marks
        self.suspects: set[str] = set()  # those whose time runs here
        self.seen_now: list[str] | None = None  # until the next change
        self.base: frozenset[str] = frozenset()  # the last settled fleet

    def __len__(self) -> int:
        return len(self.members)

    def going(self) -> Iterator[Member]:
        """Those whose life goes on, seen or not."""
        return (m for m in self.members.values() if not m.fact.terminal)

    def seen(self) -> list[str]:
        """Those taken for living: alive, or suspect and not yet given up. This one among them."""
        if self.seen_now is None:
            self.seen_now = [
                name
                for name, m in self.members.items()
                if m.fact.state in (State.ALIVE, State.SUSPECT) and not m.lost
            ]
        return self.seen_now

    def lose(self, member: Member, now: int) -> None:
        """A suspect whose time is over: unreachable from here on."""
        self.suspects.discard(member.fact.name)
        member.lost, member.since, member.by, self.seen_now = True, now, "here", None
        self.revision += 1

    def changed(self, member: Member, now: int) -> None:
        """Another mark of this member; the whole is not reckoned anew, or each change would cost all of
        them."""
        self.number, self.changed_at, self.seen_now = self.number + 1, now, None
        self.revision += 1
        old, member.mark = member.mark, member.reckoned()
        self.total ^= old ^ member.mark

    def digest(self) -> bytes:
        return self.total.to_bytes(8, "big")

    def take(self, fact: Fact, now: int, by: str) -> Member | None:
        """The member as changed by a fact that beats what is known of its name; ``None`` if it does not."""
        member = self.members.get(fact.name)
        if not fact.beats(member.fact if member else None):
            return None
        if member is None:
            if fact.terminal or not self.make_room():
                self.dropped += not fact.terminal
                return None
            member = self.members[fact.name] = Member(fact, now, by, digits_of(fact.name))
        if member.fact.life != fact.life:
            member.notes.clear()
            member.heard_at = None
        if fact.terminal:
            member.notes.clear()
        if member.fact.state != fact.state or member.fact.life != fact.life or member.lost:
            member.since, member.by = now, by
        if fact.rank[:3] != member.fact.rank[:3] or fact.state != State.SUSPECT:
            member.suspicion, member.lost, member.retries = None, False, 0
        member.fact = fact
        if member.suspicion is None or member.lost:
            self.suspects.discard(fact.name)
        self.changed(member, now)
        return member

    def make_room(self) -> bool:
        if len(self.members) < MOST_MEMBERS:
            return True
        over = [m for m in self.members.values() if m.fact.terminal]
        if not over:
            return False
        del self.members[min(over, key=lambda m: m.since).fact.name]  # one that is over is no suspect
        return True

    def take_note(self, note: MemberValue, now: int) -> bool:
        """Whether it is news: of a life that goes on, newer than what is known, and within the owner's
        bound."""
        member = self.members.get(note.owner)
        if member is None or member.fact.terminal or member.fact.life != note.life:
            return False
        old = member.notes.get((note.kind, note.key))
        if old is not None and old.rank >= note.rank:
            return False
        if old is None and len(member.notes) >= MOST_NOTES:
            return False
        member.notes[note.kind, note.key] = note
        self.changed(member, now)
        return True

    def within(self, prefix: str) -> list[Member]:
        return [m for m in self.going() if m.digits.startswith(prefix)]

    def range_digests(self, prefix: str, fan_out: int) -> tuple[bytes, ...]:
        """Digests, four bytes each, of the ranges one digit longer."""
        totals, place = [0] * fan_out, len(prefix)
        for member in self.within(prefix):
            totals[int(member.digits[place])] ^= member.mark
        return tuple((total >> 32).to_bytes(4, "big") for total in totals)

    def part(self) -> Part:
        """How much of the last settled fleet, and of who came since, is seen. Half is no majority."""
        fleet = {m.fact.name for m in self.going() if m.fact.state != State.JOINING}
        fleet |= {name for name in self.base if name in self.members and not self.members[name].fact.terminal}
        seen = len(fleet.intersection(self.seen()))
        if seen <= 1 < len(fleet):
            return "alone"
        return "majority" if 2 * seen > len(fleet) else "minority"

    def contradicted(self, name: str, said: Fact) -> Fact | None:
        """The fact by which a life contradicts what is said of it; ``None`` if it can't within this life."""
        own = self.members[name].fact
        if said.incarnation >= MOST_INCARNATION:
            return None
        state = own.state if own.state in (State.JOINING, State.ALIVE) else State.ALIVE
        return Fact(name, own.life, max(own.incarnation, said.incarnation) + 1, state, own.card)
