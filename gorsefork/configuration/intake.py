"""What arrives at a replica: judged once, kept by its owner, remembered for a while as recent."""

from __future__ import annotations

from collections import Counter, OrderedDict
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

from gorsefork.configuration.messages import MOST_RECENT, Place
from gorsefork.configuration.records import Record, RecordRefused, Refusal
from gorsefork.configuration.refused_records import UNOBTAINABLE, WithheldRecords
from gorsefork.configuration.store import RecordStore, leaf_of

SECOND = 1_000_000
RECENT_FOR = 20 * SECOND  # that a record is named in summaries
ASKED_FOR = SECOND  # that a record is not asked for elsewhere
MOST_RECENT_KEPT = 1_024
MOST_ASKED = 4_096

Taken = Callable[[list[Record]], list[RecordRefused | None]]
OnRefused = Callable[[Record, RecordRefused], None]


class Recent(NamedTuple):
    place: Place
    since: int


@dataclass(slots=True)
class IntakeFigures:
    """Counted since the start."""

    new: int = 0  # records that came from peers
    repeated: int = 0  # came, and were held already
    refused: Counter[Refusal] = field(default_factory=Counter)
    unreadable: int = 0  # came in a form that is no record's


class Outcome(NamedTuple):
    """Of records that arrived together."""

    new: list[Record]
    refused: int


def place_of(record: Record) -> Place:
    """Where a record is found at every replica."""
    return Place(leaf_of(record.kind, record.key), record.mark())


class IntakeFilter:
    """``taken`` checks, keeps and puts in force; ``on_refused`` is told of each refused record once, as long
    as ``WithheldRecords`` remembers it."""

    def __init__(self, store: RecordStore, taken: Taken, on_refused: OnRefused) -> None:
        self.store, self.taken, self.on_refused = store, taken, on_refused
        self.withheld = WithheldRecords()
        self.recent: OrderedDict[int, Recent] = OrderedDict()  # by mark, the last come last
        self.asked: OrderedDict[int, int] = OrderedDict()  # by mark, until when
        self.figures = IntakeFigures()
        self.changed_at = 0  # when what is held last changed

    def take(self, records: Sequence[Record], horizon: int, now: int) -> Outcome:
        """Records of one peer whose horizon is that; what is older than the own one is not let back in from
        a peer that has yet to forget it."""
        floor = self.store.horizon if horizon < self.store.horizon else 0
        candidates = {place_of(record): record for record in records if record.stamp >= floor}
        too_old = len(records) - len(candidates)
        self.figures.refused[Refusal.TOO_OLD] += too_old
        held = self.held(candidates)
        self.figures.repeated += len(held)
        judged = [
            record
            for place, record in candidates.items()
            if place not in held and not self.withheld.holds(place.mark, now)
        ]
        new: list[Record] = []
        for record, refused in zip(judged, self.taken(judged) if judged else (), strict=True):
            if refused is None:
                new.append(record)
            else:
                self.refuse(record, refused, now)
        self.figures.new += len(new)
        self.note(new, now)
        return Outcome(new, len(records) - len(held) - len(new))

    def refuse(self, record: Record, refused: RecordRefused, now: int) -> None:
        self.figures.refused[refused.refusal] += 1
        if self.withheld.refuse(record.mark(), refused.refusal, now):
            self.on_refused(record, refused)

    def install(self, leaves: Iterable[tuple[int, list[Record]]], now: int) -> None:
        """All of a snapshot's records that are not held, at once. They are no news to anyone."""
        for number, records in leaves:
            marks = set(self.store.marks(number))
            lacking = [record for record in records if record.mark() not in marks]
            if not lacking:
                continue
            for record, refused in zip(lacking, self.taken(lacking), strict=True):
                if refused is None:
                    self.figures.new += 1
                    self.changed_at = now
                else:
                    self.refuse(record, refused, now)

    def note(self, records: Iterable[Record], now: int) -> None:
        """These are held since now."""
        for record in records:
            self.changed_at = now
            place = place_of(record)
            self.withheld.taken(place.mark)
            self.asked.pop(place.mark, None)
            self.recent[place.mark] = Recent(place, now)
            if len(self.recent) > MOST_RECENT_KEPT:
                self.recent.popitem(last=False)

    def recent_places(self, now: int) -> list[Place]:
        """The last that came, the latest first."""
        found: list[Place] = []
        for recent in reversed(self.recent.values()):
            if recent.since + RECENT_FOR < now or len(found) >= MOST_RECENT:
                break
            found.append(recent.place)
        return found

    def held(self, places: Iterable[Place]) -> set[Place]:
        """Those of these that are held; each leaf is looked at once."""
        by_leaf: dict[int, list[Place]] = {}
        for place in places:
            by_leaf.setdefault(place.leaf, []).append(place)
        found: set[Place] = set()
        for leaf, some in by_leaf.items():
            marks = set(self.store.marks(leaf))
            found.update(place for place in some if place.mark in marks)
        return found

    def lacking(self, places: Iterable[Place], now: int) -> list[Place]:
        """Those that are to be asked for now: not held, not refused, not asked for a moment ago."""
        open_places = [place for place in places if self.may_ask(place, now)]
        held = self.held(open_places)
        wanted = [place for place in open_places if place not in held]
        for place in wanted:
            self.asked[place.mark] = now + ASKED_FOR
            self.asked.move_to_end(place.mark)
            if len(self.asked) > MOST_ASKED:
                self.asked.popitem(last=False)
        return wanted

    def may_ask(self, place: Place, now: int) -> bool:
        recent = self.recent.get(place.mark)
        if recent is not None and now - recent.since < RECENT_FOR:
            return False
        return self.asked.get(place.mark, 0) <= now and not self.withheld.holds(place.mark, now)

    def not_obtained(self, places: Iterable[Place], now: int) -> None:
        """A peer named these and gave none of them."""
        for place in places:
            self.withheld.withhold(place.mark, now + UNOBTAINABLE)
