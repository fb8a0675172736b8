"""Replicators in virtual time: a network with zones, delay, loss, cuts, kills and restarts.

One seed gives one history. A request is lost with ``loss`` on its way there and again on its way back; its
sender learns of it after ``TIMEOUT``, as from a transport that waits no longer. Bodies are really encoded and
decoded, and counted with the bytes that HTTP adds.
"""

from __future__ import annotations

import heapq
import random
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from gorsefork.configuration.messages import AnyMessage, Piece, decode, encode
from gorsefork.configuration.records import Record, RecordRefused, Refusal
from gorsefork.configuration.replication import Peer, ReplicationTimings, Replicator, Request
from gorsefork.configuration.store import Limits, RecordStore

SECOND = 1_000_000
MILLISECOND = 1_000
UNIX = 1_900_000_000 * SECOND  # at the world's beginning
TIMEOUT = SECOND
HTTP_BYTES = 160  # of a request's or an answer's head, about
TOLERANCE = 30 * SECOND  # that a record may be ahead of a clock

Check = Callable[[Record], RecordRefused | None]
Tamper = Callable[["Member", list[AnyMessage]], list[AnyMessage]]


def accept_all(record: Record) -> RecordRefused | None:
    return None


@dataclass
class Member:
    """One ingress: its store lasts over its restarts, its replicator does not."""

    name: str
    zone: str
    store: RecordStore
    replicator: Replicator
    check: Check = accept_all
    up: bool = False
    life: int = 0
    clock_ahead: int = 0
    in_force: dict[int, int] = field(default_factory=dict)  # by mark, since when
    told: list[tuple[Record, Refusal]] = field(default_factory=list)
    refused: Counter[Refusal] = field(default_factory=Counter)  # judged, not told
    tamper: Tamper | None = None  # of its answers
    piece_delay: int = 0  # of answers with a piece of a snapshot, on top
    sent: int = 0
    bytes: int = 0  # sent and received


class World:
    """``zones``: how many; members are spread over them in turn."""

    def __init__(
        self,
        members: int,
        seed: int,
        zones: int = 3,
        loss: float = 0.0,
        near: tuple[float, float] = (0.0002, 0.002),
        far: tuple[float, float] = (0.005, 0.04),
        tempo: ReplicationTimings | None = None,
        limits: Limits | None = None,
    ) -> None:
        self.rng = random.Random(seed)
        self.now = 0
        self.loss, self.near, self.far = loss, near, far
        self.tempo, self.limits = tempo, limits
        self.cut: Callable[[Member, Member], bool] = lambda sender, hearer: False
        self.queue: list[tuple[int, int, Callable[[], None]]] = []
        self.number = 0
        self.wakes: dict[str, int] = {}
        self.kinds: Counter[str] = Counter()
        self.members: dict[str, Member] = {}
        for n in range(members):
            self.add(f"n{n}", f"z{n % zones}")

    # Members

    def add(self, name: str, zone: str) -> Member:
        store = RecordStore(self.limits)
        member = Member(name, zone, store, self.replicator_of(name, zone, store))
        self.members[name] = member
        return member

    def replicator_of(self, name: str, zone: str, store: RecordStore) -> Replicator:
        def taken(records: list[Record]) -> list[RecordRefused | None]:
            return [self.take(self.members[name], record) for record in records]

        def on_refused(record: Record, refused: RecordRefused) -> None:
            self.members[name].told.append((record, refused.refusal))

        def forget(horizon: int) -> None:
            self.forget(self.members[name], horizon)

        rng = random.Random(self.rng.random())
        return Replicator(name, zone, store, taken, rng, self.tempo, forget=forget, on_refused=on_refused)

    def take(self, member: Member, record: Record) -> RecordRefused | None:
        refused = member.check(record)
        if refused is None and record.stamp > UNIX + self.now + member.clock_ahead + TOLERANCE:
            refused = RecordRefused(Refusal.CLOCK_AHEAD)
        if refused is None:
            try:
                member.store.add(record)
            except RecordRefused as error:
                refused = error
        if refused is not None:
            member.refused[refused.refusal] += 1
            return refused
        member.in_force.setdefault(record.mark(), self.now)
        return None

    def forget(self, member: Member, horizon: int) -> None:
        """As an owner would: old records go, unless a body says that they still hold."""
        store = member.store
        store.horizon = max(store.horizon, horizon)
        old = [
            record
            for leaf in range(4096)
            for record in store.leaf(leaf)
            if record.stamp < horizon and record.body != b"holds"
        ]
        store.discard(old)

    def start(self, *names: str, empty: bool = False) -> None:
        """Start members, with the store that they had or with an empty one."""
        for name in names or self.members:
            member = self.members[name]
            if empty:
                member.store = RecordStore(self.limits)
            member.replicator = self.replicator_of(name, member.zone, member.store)
            member.up = True
            member.life += 1
        self.tell_peers()

    def kill(self, *names: str) -> None:
        for name in names:
            self.members[name].up = False
            self.wakes.pop(name, None)
        self.tell_peers()

    def tell_peers(self) -> None:
        """What the fleet's view would say."""
        peers = [Peer(member.name, member.name, member.zone) for member in self.up()]
        for member in self.up():
            member.replicator.peers(peers)
            self.wake(member)

    def up(self) -> list[Member]:
        return [member for member in self.members.values() if member.up]

    # Records

    def record(self, member: Member, key: str, body: bytes = b"x" * 50, kind: str = "plan") -> Record:
        """A new record as that member would make it."""
        return Record(kind, key, UNIX + self.now + member.clock_ahead, member.name, "operator", body)

    def accept(self, name: str, *records: Record) -> None:
        """Records that are accepted at a member."""
        member = self.members[name]
        for record in records:
            member.store.add(record)
            member.in_force[record.mark()] = self.now
        member.replicator.publish(records, self.now)
        self.wake(member)

    def change(self, name: str, key: str, body: bytes = b"x" * 50, kind: str = "plan") -> Record:
        record = self.record(self.members[name], key, body, kind)
        self.accept(name, record)
        return record

    def seed(self, records: Iterable[Record], names: Iterable[str] | None = None) -> None:
        """Records that members held from the beginning."""
        some = list(records)
        first: RecordStore | None = None
        for name in names or self.members:
            store = self.members[name].store
            if first is None:
                assert not [each for each in store.add_all(some) if each is not True]
                first = store
            else:
                copy_store(first, store)

    # Time

    def at(self, when: int, do: Callable[[], None]) -> None:
        self.number += 1
        heapq.heappush(self.queue, (when, self.number, do))

    def wake(self, member: Member) -> None:
        """Send what a member has to send, and come back when it has more."""
        if not member.up:
            return
        for request in member.replicator.requests(self.now):
            self.send(member, request)
        when = member.replicator.wake_at
        if when is None:
            return
        when = max(when, self.now + 1)
        if not self.now < self.wakes.get(member.name, 0) <= when:
            self.wakes[member.name] = when
            self.at(when, lambda: self.woken(member, when))

    def woken(self, member: Member, when: int) -> None:
        if self.wakes.get(member.name) == when:
            del self.wakes[member.name]
            self.wake(member)

    def send(self, sender: Member, request: Request) -> None:
        hearer, life = self.members[request.peer], sender.life
        body = encode(request.messages)
        self.count(sender, body, request.messages)

        def fail() -> None:
            if sender.up and sender.life == life:
                sender.replicator.failed(hearer.name, self.now)
                self.wake(sender)

        def arrive() -> None:
            if not hearer.up:
                self.at(self.now + self.delay(hearer, sender), fail)
                return
            hearer.bytes += len(body) + HTTP_BYTES
            answer = hearer.replicator.answer(sender.name, decode(body), self.now)
            if hearer.tamper is not None:
                answer = hearer.tamper(hearer, answer)
            self.wake(hearer)
            self.reply(sender, life, hearer, answer, fail)

        if self.lost(sender, hearer):
            self.at(self.now + TIMEOUT, fail)
        else:
            self.at(self.now + self.delay(sender, hearer), arrive)

    def reply(
        self, sender: Member, life: int, hearer: Member, answer: list[AnyMessage], fail: Callable[[], None]
    ) -> None:
        body = encode(answer)
        slowness = hearer.piece_delay if any(isinstance(each, Piece) for each in answer) else 0
        self.count(hearer, body, answer)

        def arrive() -> None:
            if sender.up and sender.life == life:
                sender.bytes += len(body) + HTTP_BYTES
                sender.replicator.answered(hearer.name, decode(body), self.now)
                self.wake(sender)

        if self.lost(hearer, sender):
            self.at(self.now + TIMEOUT, fail)
        else:
            self.at(self.now + self.delay(hearer, sender) + slowness, arrive)

    def count(self, sender: Member, body: bytes, messages: list[AnyMessage]) -> None:
        sender.sent += 1
        sender.bytes += len(body) + HTTP_BYTES
        self.kinds.update(type(message).__name__ for message in messages)

    def lost(self, sender: Member, hearer: Member) -> bool:
        return self.cut(sender, hearer) or self.rng.random() < self.loss

    def delay(self, sender: Member, hearer: Member) -> int:
        least, most = self.near if sender.zone == hearer.zone else self.far
        return round(self.rng.uniform(least, most) * SECOND)

    def run(self, seconds: float) -> None:
        end = self.now + round(seconds * SECOND)
        while self.queue and self.queue[0][0] <= end:
            self.now, _, do = heapq.heappop(self.queue)
            do()
        self.now = end

    def run_until(self, what: Callable[[], bool], most: float, step: float = 0.1) -> float:
        """How long it took, in seconds. ``AssertionError``: it has not come about within ``most``."""
        began = self.now
        while not what():
            taken = (self.now - began) / SECOND
            assert taken < most, f"not within {most} s: {self.digests()}"
            self.run(step)
        return (self.now - began) / SECOND

    # What is the case

    def digests(self) -> Counter[str]:
        return Counter(member.store.digest().hex() for member in self.up())

    def alike(self) -> bool:
        return len(self.digests()) <= 1

    def have(self, record: Record, names: Iterable[str] | None = None) -> bool:
        some = self.up() if names is None else [self.members[name] for name in names]
        return all(member.store.holds(record) for member in some)


def copy_store(source: RecordStore, to: RecordStore) -> None:
    """Leaves are immutable: the copy shares them."""
    to.leaves = list(source.leaves)
    to.digests = source.digests[:]
    to.count, to.size, to.newest, to.horizon = source.count, source.size, source.newest, source.horizon


def old_records(count: int, seed: int = 0, kind: str = "plan", age: int = 3600 * SECOND) -> list[Record]:
    """Records of some age, one a key."""
    rng = random.Random(seed)
    return [
        Record(kind, f"customer-{n}", UNIX - age + n, f"n{n % 7}", "operator", rng.randbytes(50))
        for n in range(count)
    ]


def halves(one: Iterable[str]) -> Callable[[Member, Member], bool]:
    """A cut between these members and all others, both ways."""
    left = set(one)
    return lambda sender, hearer: (sender.name in left) != (hearer.name in left)
