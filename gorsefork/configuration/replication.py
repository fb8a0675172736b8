"""Replication of records between peers: what is new is pushed, what was missed is found by comparison.

A record that is new here is sent on once, to a few peers drawn at random, most of the own zone and one at
least of another. A few records go as they are; many are offered by their marks, and a peer asks for what it
lacks. Beside that each replica compares what it holds with one random peer every few seconds, the digest of
all first; one that is far behind takes a snapshot. Every request has one answer; the transport carries both,
bounds its waiting, and says what failed.
"""

from __future__ import annotations

import enum
import random
from collections import Counter, deque
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

from gorsefork.configuration.comparison import Comparison, records_at
from gorsefork.configuration.intake import IntakeFilter, OnRefused, Taken, place_of
from gorsefork.configuration.messages import (
    MOST_OFFERED,
    AnyMessage,
    LeafMarks,
    Offer,
    Place,
    RangeDigests,
    Records,
    RecordsWanted,
    Same,
    Summary,
    as_records,
    read_records,
)
from gorsefork.configuration.peer_set import Peer, PeerSet
from gorsefork.configuration.records import Record, RecordRefused
from gorsefork.configuration.responder import Answerer
from gorsefork.configuration.snapshot import Snapshot
from gorsefork.configuration.snapshot_download import DownloadState, Drop, SnapshotDownload
from gorsefork.configuration.store import RecordStore

SECOND = 1_000_000
MILLISECOND = 1_000

MOST_WAITING = 1_024  # requests that wait to be sent; beyond it the oldest push is dropped
MOST_FRESH = 4_096  # records that wait to be pushed; beyond it comparison alone carries them
MOST_LEARNED_PUSHED = 256  # of one comparison: whoever learns more is catching up and has no news
PUSH_ATTEMPTS = 3  # each to another peer
SAME_PEER_ATTEMPTS = 3  # of a delivery, and of each later step of a comparison
DIRECT_BYTES = 2_048  # of a push that goes without an offer
SNAPSHOT_FROM = 2_000  # records that a peer has more, for a snapshot instead of ranges
RANGES_FOR = 60 * SECOND  # after a snapshot was given up
RECORD_OVERHEAD = 64  # bytes beside body and key, about


class ReplicationTimings(NamedTuple):
    """How often, and to how many. Times in microseconds."""

    fan_out: int = 6  # peers to whom each replica pushes a record that is new to it
    far: int = 2  # of these, of other zones
    coalesce: int = 50 * MILLISECOND
    compare_every: int = 2_500 * MILLISECOND  # on average; jittered by 40% either way
    compare_again: int = 200 * MILLISECOND  # after a failure, or where one comparison was not enough
    far_comparisons: float = 0.25  # the share of them with a peer of another zone
    in_flight: int = 16  # requests


class Request(NamedTuple):
    """To be carried to a peer; ended by ``answered`` or ``failed`` with that peer's name."""

    peer: str
    messages: list[AnyMessage]


class Purpose(enum.Enum):
    """What a request is for."""

    PUSH = "push"
    DELIVERY = "delivery"  # of what a peer wants out of an offer
    COMPARISON = "comparison"
    SNAPSHOT = "snapshot"


@dataclass(slots=True)
class Job:
    """A request on its way, or waiting for its peer to be free."""

    peer: str
    purpose: Purpose
    messages: list[AnyMessage]
    records: list[Record] = field(default_factory=list)
    tried: frozenset[str] = frozenset()
    attempts: int = 1  # with this peer


class Fresh(NamedTuple):
    """A record that waits to be pushed, and the peer that needs it least."""

    record: Record
    source: str


@dataclass(slots=True)
class ReplicationFigures:
    """Counted since the start."""

    requests: Counter[Purpose] = field(default_factory=Counter)
    failed: int = 0
    dropped: int = 0  # records of pushes for which there was no room, or nobody to send them to
    comparisons: int = 0
    differing: int = 0  # comparisons that found another digest
    snapshots: int = 0
    snapshots_given_up: int = 0


def do_nothing(*_: object) -> None:
    return None


class Replicator:
    """One replica's part in it. Owns no clock, no socket and no disk.

    ``taken`` checks, keeps, adds to the store and puts in force what arrives, and says of each record why it
    was refused, or None. ``forget`` hears of a peer's greater horizon, and may move the store's. ``install``
    takes in a snapshot, whole. ``on_refused`` is told of each refused record once.

    ``now`` is in microseconds of any clock that only goes forward. After each call but ``wake_at`` there may
    be new ``requests``.
    """

    def __init__(
        self,
        name: str,
        zone: str,
        store: RecordStore,
        taken: Taken,
        rng: random.Random,
        tempo: ReplicationTimings | None = None,
        *,
        life: int = 0,
        forget: Callable[[int], None] = do_nothing,
        install: Callable[[Snapshot], None] | None = None,
        on_refused: OnRefused = do_nothing,
    ) -> None:
        self.name, self.store = name, store
        self.forget, self.install = forget, install
        self.rng, self.tempo = rng, tempo or ReplicationTimings()
        self.intake = IntakeFilter(store, taken, on_refused)
        self.answerer = Answerer(name, life, self.intake, forget, self.learned_by_answering)
        self.peer_set = PeerSet(zone, rng)
        self.figures = ReplicationFigures()
        self.waiting: deque[Job] = deque()
        self.outstanding: dict[str, Job] = {}
        self.fresh: dict[int, Fresh] = {}
        self.flush_at: int | None = None
        self.comparison: Comparison | None = None
        self.compare_at = 0
        self.download: SnapshotDownload | None = None
        self.pieces: dict[bytes, bytes] = {}  # of a snapshot that is not whole yet, by name
        self.ranges_until = 0  # no snapshot is asked for after one was given up
        self.drops: Counter[Drop] = Counter()  # sources of snapshots, by what was wrong with them
        self.now = 0

    # What the owner calls

    def peers(self, peers: Iterable[Peer]) -> None:
        """All other replicas there are; called anew whenever they change."""
        self.peer_set.replace(peer for peer in peers if peer.name != self.name)

    def publish(self, records: Sequence[Record], now: int) -> None:
        """Records that were accepted here; they are in the store by now."""
        self.now = now
        self.intake.note(records, now)
        self.queue_push(records, "")

    def requests(self, now: int) -> list[Request]:
        """What is to be sent now: one request at a time to a peer, ``in_flight`` at the most in all."""
        self.now = now
        self.answerer.source.expire(now)
        self.flush()
        self.begin_comparison()
        self.continue_download()
        return self.ready()

    @property
    def wake_at(self) -> int | None:
        """When ``requests`` is to be called next, if nothing else happens before; None: never."""
        if self.has_room() and any(job.peer not in self.outstanding for job in self.waiting):
            return self.now
        times = [] if self.flush_at is None else [self.flush_at]
        if self.download is not None:
            times += [] if self.download.wake_at is None else [self.download.wake_at]
        elif self.comparison is None and len(self.peer_set):
            times.append(self.compare_at)
        return min(times, default=None)

    def answer(self, peer: str, messages: Sequence[AnyMessage], now: int) -> list[AnyMessage]:
        """What to say to a peer's request."""
        self.now = now
        self.peer_set.heard(peer)
        for message in messages:
            if isinstance(message, Summary) and self.is_far_behind(message):
                self.compare_at = min(self.compare_at, now)
        return self.answerer.answer(peer, messages, now)

    def answered(self, peer: str, messages: Sequence[AnyMessage], now: int) -> None:
        """A peer's answer to the request that it was sent."""
        self.now = now
        job = self.outstanding.pop(peer, None)
        if job is None:
            return
        self.peer_set.heard(peer)
        match job.purpose:
            case Purpose.PUSH:
                self.deliver(peer, messages)
            case Purpose.COMPARISON:
                self.compare(peer, messages)
            case Purpose.SNAPSHOT if self.download is not None:
                self.download.answered(peer, messages, now)
                self.end_download_if_over()
            case _:
                pass

    def failed(self, peer: str, now: int) -> None:
        """A request that got no answer, or none that can be read."""
        self.now = now
        job = self.outstanding.pop(peer, None)
        if job is None:
            return
        self.figures.failed += 1
        self.peer_set.failed(peer, now)
        match job.purpose:
            case Purpose.PUSH:
                self.push_elsewhere(job)
            case Purpose.COMPARISON:
                self.fail_comparison(job)
            case Purpose.SNAPSHOT if self.download is not None:
                self.download.failed(peer, now)
                self.end_download_if_over()
            case Purpose.DELIVERY if not self.repeat(job):
                self.figures.dropped += len(job.records)
            case _:
                pass

    # Requests

    def has_room(self) -> bool:
        return len(self.outstanding) < self.tempo.in_flight

    def ready(self) -> list[Request]:
        found: list[Request] = []
        later: deque[Job] = deque()
        while self.waiting:
            job = self.waiting.popleft()
            if not self.has_room() or job.peer in self.outstanding:
                later.append(job)
                continue
            self.outstanding[job.peer] = job
            self.figures.requests[job.purpose] += 1
            found.append(Request(job.peer, job.messages))
        self.waiting = later
        return found

    def enqueue(self, job: Job) -> None:
        if len(self.waiting) >= MOST_WAITING:
            self.make_room()
        self.waiting.append(job)

    def repeat(self, job: Job) -> bool:
        """Ask the same peer for the same once more, unless that was done often enough."""
        if job.attempts >= SAME_PEER_ATTEMPTS or job.purpose == Purpose.SNAPSHOT:
            return False
        job.attempts += 1
        self.enqueue(job)
        return True

    def make_room(self) -> None:
        """Drop the push that waits longest: comparison carries what was in it."""
        for place, job in enumerate(self.waiting):
            if job.purpose in (Purpose.PUSH, Purpose.DELIVERY):
                del self.waiting[place]
                self.figures.dropped += len(job.records)
                return

    def jittered(self, time: int) -> int:
        return round(time * self.rng.uniform(0.6, 1.4))

    # Push

    def learned_by_answering(self, records: list[Record], source: str) -> None:
        self.queue_push(records, source)

    def queue_push(self, records: Sequence[Record], source: str) -> None:
        for record in records:
            if len(self.fresh) >= MOST_FRESH:
                self.figures.dropped += 1
                continue
            self.fresh[record.mark()] = Fresh(record, source)
        if self.fresh and self.flush_at is None:
            self.flush_at = self.now + self.tempo.coalesce

    def flush(self) -> None:
        if self.flush_at is None or self.now < self.flush_at:
            return
        fresh, self.fresh, self.flush_at = self.fresh, {}, None
        targets = self.peer_set.draw(self.tempo.fan_out, self.tempo.far, self.now)
        if not targets:
            self.figures.dropped += len(fresh)
        for peer in targets:
            self.push(peer, [each.record for each in fresh.values() if each.source != peer])

    def push(self, peer: str, records: Sequence[Record], tried: frozenset[str] = frozenset()) -> None:
        for start in range(0, len(records), MOST_OFFERED):
            some = list(records[start : start + MOST_OFFERED])
            self.enqueue(Job(peer, Purpose.PUSH, [self.push_message(some)], some, tried | {peer}))

    def push_message(self, records: list[Record]) -> AnyMessage:
        size = sum(len(record.body) + len(record.key) + RECORD_OVERHEAD for record in records)
        if size <= DIRECT_BYTES or len(records) == 1:
            return as_records(records, self.store.horizon)
        return Offer([place_of(record) for record in records])

    def push_elsewhere(self, job: Job) -> None:
        drawn = self.peer_set.draw(1, self.rng.randrange(2), self.now, job.tried | self.outstanding.keys())
        if len(job.tried) >= PUSH_ATTEMPTS or not drawn:
            self.figures.dropped += len(job.records)
            return
        self.push(drawn[0], job.records, job.tried)

    def deliver(self, peer: str, messages: Sequence[AnyMessage]) -> None:
        """What a peer wants out of an offer, in as many requests as it takes."""
        places = [place for each in messages if isinstance(each, RecordsWanted) for place in each.places]
        while places:
            records = records_at(self.store, places)
            if not records:
                return  # forgotten since
            self.enqueue(Job(peer, Purpose.DELIVERY, [as_records(records, self.store.horizon)], records))
            sent = {place_of(record) for record in records}
            places = [place for place in places if place not in sent]

    # Comparison

    def is_far_behind(self, theirs: Summary) -> bool:
        behind = theirs.count - len(self.store) >= SNAPSHOT_FROM
        return behind and self.now >= self.ranges_until

    def begin_comparison(self) -> None:
        if self.comparison is not None or self.download is not None or self.now < self.compare_at:
            return
        far = int(self.rng.random() < self.tempo.far_comparisons)
        drawn = self.peer_set.draw(1, far, self.now, self.outstanding.keys())
        if not drawn:
            again = self.now + self.jittered(self.tempo.compare_again)
            self.compare_at = max(again, self.peer_set.next_at() or 0)
            return
        self.figures.comparisons += 1
        self.comparison = Comparison(self.store, drawn[0], self.lacking)
        recent = self.intake.recent_places(self.now)
        self.enqueue(Job(drawn[0], Purpose.COMPARISON, self.comparison.first(recent)))

    def lacking(self, places: Iterable[Place]) -> list[Place]:
        return self.intake.lacking(places, self.now)

    def compare(self, peer: str, messages: Sequence[AnyMessage]) -> None:
        comparison = self.comparison
        if comparison is None or comparison.peer != peer:
            return
        came: list[Record] = []
        for message in messages:
            match message:
                case Same():
                    self.end_comparison(self.tempo.compare_every)
                    return
                case Summary():
                    self.figures.differing += 1
                    if self.is_far_behind(message):
                        self.begin_download(peer)
                        return
                    if message.horizon > self.store.horizon:
                        self.forget(message.horizon)
                    comparison.take_summary(message)
                case RangeDigests():
                    comparison.take_ranges(message)
                case LeafMarks():
                    comparison.take_leaf(message)
                case RecordsWanted(places):
                    comparison.take_wanted(places)
                case Records():
                    came += self.receive(comparison, message, peer)
                case _:
                    pass
        comparison.leaves_answered()
        self.intake.not_obtained(comparison.records_answered(came), self.now)
        self.continue_comparison(comparison)

    def receive(self, comparison: Comparison, message: Records, peer: str) -> list[Record]:
        records, unreadable = read_records(message)
        self.intake.figures.unreadable += unreadable
        outcome = self.intake.take(records, message.horizon, self.now)
        comparison.learned += len(outcome.new)
        if comparison.learned <= MOST_LEARNED_PUSHED:
            self.queue_push(outcome.new, peer)
        return records

    def continue_comparison(self, comparison: Comparison) -> None:
        messages = comparison.next()
        if messages:
            self.enqueue(Job(comparison.peer, Purpose.COMPARISON, messages))
        elif comparison.unfinished:
            self.end_comparison(self.tempo.compare_again)
        else:
            self.end_comparison(self.tempo.compare_every)

    def fail_comparison(self, job: Job) -> None:
        """A peer that does not answer at all is left; with one that did, what was begun is gone on with."""
        begun = self.comparison is not None and self.comparison.steps > 0
        if not (begun and self.repeat(job)):
            self.end_comparison(self.tempo.compare_again)

    def end_comparison(self, pause: int) -> None:
        self.comparison = None
        self.compare_at = self.now + self.jittered(pause)

    # Snapshot

    def begin_download(self, source: str) -> None:
        self.comparison = None
        self.download = SnapshotDownload(source, self.peer_set, self.store.limits, self.pieces)

    def continue_download(self) -> None:
        if self.download is None:
            return
        for ask in self.download.requests(self.now):
            self.enqueue(Job(ask.peer, Purpose.SNAPSHOT, [ask.message]))
        self.end_download_if_over()

    def end_download_if_over(self) -> None:
        """Install a snapshot that is whole, at once; either way what still differs goes by ranges."""
        download = self.download
        if download is None or download.state == DownloadState.RUNNING:
            return
        self.download = None
        self.drops.update(download.dropped.values())
        self.compare_at = self.now + self.jittered(self.tempo.compare_again)
        if download.snapshot is None:
            self.figures.snapshots_given_up += 1
            self.ranges_until = self.now + RANGES_FOR
            return
        self.pieces = {}
        self.figures.snapshots += 1
        if download.snapshot.manifest.horizon > self.store.horizon:
            self.forget(download.snapshot.manifest.horizon)
        if self.install is not None:
            self.install(download.snapshot)
        else:
            self.intake.install(download.snapshot.leaves(), self.now)


__all__ = [
    "Peer",
    "Purpose",
    "RecordRefused",
    "ReplicationFigures",
    "ReplicationTimings",
    "Replicator",
    "Request",
]
