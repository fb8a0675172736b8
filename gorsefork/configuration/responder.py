"""The answering side of replication: what a replica says to each request, within stated bounds."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from gorsefork.configuration.comparison import leaf_marks, records_at, root_digests
from gorsefork.configuration.fleet_statements import statement
from gorsefork.configuration.intake import IntakeFilter
from gorsefork.configuration.messages import (
    AnyMessage,
    LeavesWanted,
    ManifestWanted,
    Offer,
    PieceWanted,
    RangeDigests,
    RangesWanted,
    Received,
    Records,
    RecordsWanted,
    Same,
    StatementWanted,
    Summary,
    as_records,
    read_records,
)
from gorsefork.configuration.records import Record
from gorsefork.configuration.snapshot import SnapshotSource

MOST_RANGES_ANSWERED = 64


class Answerer:
    """``learned`` is told of what was new in a request; ``forget`` of a horizon greater than the own."""

    def __init__(
        self,
        name: str,
        life: int,
        intake: IntakeFilter,
        forget: Callable[[int], None],
        learned: Callable[[list[Record], str], None],
    ) -> None:
        self.name, self.life = name, life
        self.intake, self.store = intake, intake.store
        self.forget, self.learned = forget, learned
        self.source = SnapshotSource(intake.store)

    def answer(self, peer: str, messages: Sequence[AnyMessage], now: int) -> list[AnyMessage]:
        """One answer to one request. Of each kind of message the first is answered, the others are left out:
        so an answer is bounded as each of its parts is."""
        answers: list[AnyMessage] = []
        seen: set[type] = set()
        for message in messages:
            if type(message) not in seen:
                seen.add(type(message))
                answers += self.answer_one(peer, message, now)
        return answers

    def answer_one(self, peer: str, message: AnyMessage, now: int) -> list[AnyMessage]:
        store = self.store
        match message:
            case Summary():
                return self.compare(message, now)
            case Records():
                return [self.receive(peer, message, now)]
            case Offer(places):
                wanted = self.intake.lacking(places, now)
                return [RecordsWanted(wanted)] if wanted else []
            case RecordsWanted(places):
                return [as_records(records_at(store, places), store.horizon)]
            case RangesWanted(prefixes):
                some = prefixes[:MOST_RANGES_ANSWERED]
                return [RangeDigests(prefix, list(store.range_digests(prefix))) for prefix in some]
            case LeavesWanted(leaves):
                return list(leaf_marks(store, leaves))
            case ManifestWanted():
                return [self.source.manifest(now)]
            case PieceWanted(name):
                return [self.source.piece(name, now)]
            case StatementWanted(places):
                held = self.intake.held(places)
                return [statement(self.name, self.life, self.intake, [p in held for p in places], now)]
            case _:
                return []

    def receive(self, peer: str, message: Records, now: int) -> Received:
        records, unreadable = read_records(message)
        self.intake.figures.unreadable += unreadable
        outcome = self.intake.take(records, message.horizon, now)
        self.learned(outcome.new, peer)
        return Received(len(outcome.new), outcome.refused + unreadable)

    def compare(self, theirs: Summary, now: int) -> list[AnyMessage]:
        """Where the digests differ: the own summary, what came last to both, and the ranges below the root,
        unless one of both has yet to forget what the other forgot."""
        store = self.store
        if theirs.horizon > store.horizon:
            self.forget(theirs.horizon)
        if theirs.digest == store.digest():
            return [Same()]
        recent = self.intake.recent_places(now)
        mine = Summary(store.digest(), len(store), store.horizon, recent)
        answers: list[AnyMessage] = [mine]
        if wanted := self.intake.lacking(theirs.recent, now):
            answers.append(RecordsWanted(wanted))
        if theirs.horizon == store.horizon:
            answers.append(root_digests(store))
        return answers
