"""A newcomer's side of a snapshot: pieces from many sources, checked one by one and then as a whole.

Nothing of it is used before all of it has been checked against the manifest. Pieces go by the hash of their
content, so whatever came from one source stays good when the source fails or the manifest is replaced.
"""

from __future__ import annotations

import enum
from collections import Counter, deque
from collections.abc import Sequence
from dataclasses import dataclass
from typing import NamedTuple

from gorsefork.configuration.messages import (
    AnyMessage,
    Manifest,
    ManifestWanted,
    NotNow,
    Piece,
    PieceUnknown,
    PieceWanted,
)
from gorsefork.configuration.peer_set import PeerSet
from gorsefork.configuration.snapshot import (
    Checked,
    PieceError,
    Snapshot,
    check_piece,
    manifest_name,
    name_of,
)
from gorsefork.configuration.store import Limits

SECOND = 1_000_000
MILLISECOND = 1_000

MOST_IN_FLIGHT = 4  # pieces asked for at a time
MOST_SOURCES = 6  # in use at a time
ASK_EVERY = 25 * MILLISECOND  # a piece: some 2 MB a second at the most
SLOW_AFTER = 3 * SECOND  # a piece that has not come by then is asked for elsewhere, and its source dropped
MOST_FAILURES = 3  # of one source one after another, until it is dropped
MOST_LACKED = 8  # pieces that a source has not, or sources that have not a piece, until they are given up
STALLED_AFTER = 15 * SECOND  # without a piece, until another manifest is asked for
MOST_ATTEMPTS = 5  # manifests that came to nothing, until comparison by ranges has to do
REST = 250 * MILLISECOND  # while there is nobody to ask
VERIFIED_AT_ONCE = 16  # pieces of an earlier download


class Drop(enum.Enum):
    """Why a source is not asked any more in a download."""

    DAMAGED = "a piece was not what its name says"
    LIED = "its manifest is not true of its pieces, or beyond what may be held"
    SLOW = "it was slow"
    FAILED = "it could not be asked"
    LACKING = "it lacked too many pieces"


class DownloadState(enum.Enum):
    RUNNING = "running"
    DONE = "done"
    GIVEN_UP = "given up"


@dataclass(slots=True)
class Asked:
    """A request on its way. ``name``: of a piece; none: a manifest."""

    name: bytes | None
    since: int
    slow: bool = False


class Ask(NamedTuple):
    """To be carried to a peer; ended by ``answered`` or ``failed``."""

    peer: str
    message: AnyMessage


class SnapshotDownload:
    """Fetches one snapshot, from sources of the own zone first.

    ``pieces``: by name, what an earlier download had; what has come is in it at any time. ``snapshot`` is
    there once ``state`` is DONE, whole and checked.
    """

    def __init__(
        self, first: str, peers: PeerSet, limits: Limits, pieces: dict[bytes, bytes] | None = None
    ) -> None:
        self.peers, self.limits = peers, limits
        self.pieces = pieces if pieces is not None else {}
        self.manifest: Manifest | None = None
        self.author = first  # of the manifest
        self.sources: list[str] = []  # the one used last comes last
        self.missing: deque[bytes] = deque()
        self.unverified: deque[bytes] = deque()
        self.checked: dict[bytes, Checked] = {}
        self.asked: dict[str, Asked] = {}
        self.resting: dict[str, int] = {}  # busy sources, and until when
        self.failures: Counter[str] = Counter()  # one after another
        self.lacking: Counter[str] = Counter()
        self.lacked_by: dict[bytes, set[str]] = {}
        self.dropped: dict[str, Drop] = {}
        self.attempts = 0
        self.ask_at = 0
        self.progress_at: int | None = None
        self.state = DownloadState.RUNNING
        self.snapshot: Snapshot | None = None

    # What to ask

    def requests(self, now: int) -> list[Ask]:
        """What is to be sent now; none while all that may be on its way is."""
        if self.state != DownloadState.RUNNING:
            return []
        if self.progress_at is None:
            self.progress_at = now
        self.look_for_slow(now)
        self.look_for_stall(now)
        self.verify_some(now)
        if self.state != DownloadState.RUNNING or now < self.ask_at or self.in_flight() >= self.allowed():
            return []
        if self.manifest is None:
            return self.ask_for_manifest(now)
        return self.ask_for_piece(now)

    def in_flight(self) -> int:
        return sum(not asked.slow for asked in self.asked.values())

    def allowed(self) -> int:
        if self.manifest is None:
            return 1
        return MOST_IN_FLIGHT if self.missing else 0

    @property
    def wake_at(self) -> int | None:
        if self.state != DownloadState.RUNNING:
            return None
        times = [asked.since + SLOW_AFTER for asked in self.asked.values() if not asked.slow]
        if self.unverified or self.in_flight() < self.allowed():
            times.append(self.ask_at)
        if self.progress_at is not None:
            times.append(self.progress_at + STALLED_AFTER)
        return min(times, default=0)

    def ask_for_manifest(self, now: int) -> list[Ask]:
        wanted = self.author
        if not self.may_ask(wanted, now):
            drawn = self.peers.draw(1, 0, now, {*self.dropped, *self.asked, *self.resting_at(now)})
            if not drawn:
                self.ask_at = now + REST
                return []
            wanted = drawn[0]
        self.author = wanted
        self.asked[wanted] = Asked(None, now)
        return [Ask(wanted, ManifestWanted())]

    def ask_for_piece(self, now: int) -> list[Ask]:
        for _ in range(len(self.missing)):
            name = self.missing[0]
            source = self.source_of(name, now)
            if source is not None:
                self.missing.popleft()
                self.asked[source] = Asked(name, now)
                self.ask_at = now + ASK_EVERY
                return [Ask(source, PieceWanted(name))]
            if name not in self.lacked_by:
                break  # nobody is free, for whichever piece
            self.missing.rotate(-1)
        self.ask_at = now + REST // 2
        return []

    def source_of(self, name: bytes, now: int) -> str | None:
        """A source that is free: a new one until there are enough, of the own zone if one is there."""
        lacked = self.lacked_by.get(name, set())
        free = [each for each in self.sources if self.may_ask(each, now) and each not in lacked]
        if len(self.sources) < MOST_SOURCES:
            without = {*self.sources, *self.dropped, *self.asked, *lacked, *self.resting_at(now)}
            self.sources += (drawn := self.peers.draw(1, 0, now, without))
            free = drawn or free
        if not free:
            return None
        source = next((each for each in free if self.peers.is_near(each)), free[0])
        self.sources.remove(source)
        self.sources.append(source)
        return source

    def may_ask(self, peer: str, now: int) -> bool:
        if peer in self.dropped or peer in self.asked or self.resting.get(peer, 0) > now:
            return False
        return self.peers.available(peer, now)

    def resting_at(self, now: int) -> list[str]:
        return [peer for peer, until in self.resting.items() if until > now]

    # What came back

    def answered(self, peer: str, messages: Sequence[AnyMessage], now: int) -> None:
        asked = self.asked.pop(peer, None)
        if asked is None or self.state != DownloadState.RUNNING:
            return
        del self.failures[peer]
        match messages[0] if messages else None:
            case Manifest() as manifest if asked.name is None:
                self.take_manifest(peer, manifest, now)
            case Piece(name, content) if name == asked.name:
                self.take_piece(peer, name, content, now)
            case NotNow(wait):
                self.resting[peer] = now + wait
                self.ask_again(asked)
            case PieceUnknown():
                self.take_unknown(peer, asked, now)
            case _:
                self.ask_again(asked)
                self.drop(peer, Drop.LACKING, now)

    def failed(self, peer: str, now: int) -> None:
        """A source that stops half-way is left alone, for as long as the peer set says; dropped when it fails
        again."""
        asked = self.asked.pop(peer, None)
        if asked is None:
            return
        self.ask_again(asked)
        self.failures[peer] += 1
        if self.failures[peer] >= MOST_FAILURES:
            self.drop(peer, Drop.FAILED, now)

    def ask_again(self, asked: Asked) -> None:
        if asked.name is not None and not asked.slow and asked.name not in self.pieces:
            self.missing.appendleft(asked.name)

    def drop(self, peer: str, why: Drop, now: int) -> None:
        self.dropped[peer] = why
        if peer in self.sources:
            self.sources.remove(peer)
        if why in (Drop.DAMAGED, Drop.LIED):
            self.peers.penalize(peer, now)

    def take_manifest(self, peer: str, manifest: Manifest, now: int) -> None:
        if not self.credible(manifest):
            self.renew(peer, Drop.LIED, now)
            return
        self.manifest, self.author, self.progress_at = manifest, peer, now
        self.sources = [each for each in self.sources if each != peer] + [peer]
        wanted = set(manifest.pieces)
        for name in self.pieces.keys() - wanted:
            del self.pieces[name]
        self.checked = {name: checked for name, checked in self.checked.items() if name in self.pieces}
        self.unverified = deque(self.pieces.keys() - self.checked.keys())
        self.missing = deque(name for name in manifest.pieces if name not in self.pieces)
        self.lacked_by.clear()
        self.finish_if_whole(now)

    def credible(self, manifest: Manifest) -> bool:
        if manifest.count > self.limits.records or manifest.size > self.limits.size:
            return False
        distinct = len(set(manifest.pieces)) == len(manifest.pieces)
        return distinct and manifest_name(manifest) == manifest.name

    def take_piece(self, peer: str, name: bytes, content: bytes, now: int) -> None:
        if name_of(content) != name:
            if name not in self.pieces and name not in self.missing:
                self.missing.appendleft(name)
            self.drop(peer, Drop.DAMAGED, now)
            return
        if self.manifest is None or name in self.pieces:
            return
        try:
            self.checked[name] = check_piece(content)
        except PieceError:
            self.renew(self.author, Drop.LIED, now)
            return
        self.pieces[name] = content
        self.progress_at = now
        if name in self.missing:  # it was slow, and would have been asked for again
            self.missing.remove(name)
        self.finish_if_whole(now)

    def take_unknown(self, peer: str, asked: Asked, now: int) -> None:
        self.ask_again(asked)
        if peer == self.author or asked.name is None:
            self.renew(peer, Drop.LACKING, now)
            return
        lacked = self.lacked_by.setdefault(asked.name, set())
        lacked.add(peer)
        self.lacking[peer] += 1
        if self.lacking[peer] >= MOST_LACKED:
            self.drop(peer, Drop.LACKING, now)
        if len(lacked) >= MOST_LACKED:
            self.renew(self.author, Drop.LIED, now)

    def verify_some(self, now: int) -> None:
        """Look at pieces of an earlier download; those that are damaged are fetched again."""
        for _ in range(min(VERIFIED_AT_ONCE, len(self.unverified))):
            name = self.unverified.popleft()
            content = self.pieces[name]
            try:
                if name_of(content) != name:
                    raise PieceError("its content is another one")
                self.checked[name] = check_piece(content)
            except PieceError:
                del self.pieces[name]
                self.missing.append(name)
        self.finish_if_whole(now)

    def finish_if_whole(self, now: int) -> None:
        manifest = self.manifest
        if manifest is None or self.state != DownloadState.RUNNING:
            return
        if self.unverified or any(name not in self.pieces for name in manifest.pieces):
            return
        marks = count = 0
        for name in manifest.pieces:
            marks ^= self.checked[name].marks
            count += self.checked[name].records
        if (marks, count) != (int.from_bytes(manifest.digest, "big"), manifest.count):
            self.renew(self.author, Drop.LIED, now)
            return
        self.state = DownloadState.DONE
        self.snapshot = Snapshot(manifest, {name: self.pieces[name] for name in manifest.pieces})

    # What goes wrong

    def look_for_slow(self, now: int) -> None:
        for peer, asked in list(self.asked.items()):
            if asked.slow or now - asked.since < SLOW_AFTER:
                continue
            self.ask_again(asked)
            asked.slow = True
            self.drop(peer, Drop.SLOW, now)

    def look_for_stall(self, now: int) -> None:
        if self.progress_at is not None and now - self.progress_at >= STALLED_AFTER:
            self.progress_at = now
            self.renew(self.author, Drop.SLOW, now)

    def renew(self, author: str, why: Drop, now: int) -> None:
        """Give a manifest up, and the one who gave it. The pieces that came stay."""
        self.drop(author, why, now)
        self.manifest = None
        self.missing.clear()
        self.unverified.clear()
        self.attempts += 1
        if self.attempts >= MOST_ATTEMPTS:
            self.state = DownloadState.GIVEN_UP
