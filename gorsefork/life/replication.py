"""The replication of configuration of one ingress, put together: records, peers, and the calls on them."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable, Sequence
from typing import Any

import msgspec
import trio

from gorsefork.configuration.intake import place_of
from gorsefork.configuration.messages import Statement, StatementWanted
from gorsefork.configuration.records import Record, Version
from gorsefork.configuration.replication import Peer, ReplicationTimings, Replicator
from gorsefork.configuration.snapshot import Snapshot
from gorsefork.configuration.store import RecordStore
from gorsefork.life.control_connections import ControlConnections
from gorsefork.life.plan_records import PLAN_KIND, record_of
from gorsefork.life.plan_service import PlanService
from gorsefork.life.record_intake import RecordIntake
from gorsefork.life.unknown_kinds import RecordsByKind, UnknownRecords
from gorsefork.memory.clock import SECOND, Clock
from gorsefork.memory.ports import Log
from gorsefork.plans.changes import ChangeRefused
from gorsefork.wire.services.feed_reader import FeedReader
from gorsefork.wire.services.fleet_query import Member, Question, in_force
from gorsefork.wire.services.fleet_service import ControlPeer
from gorsefork.wire.services.replication_peers import ReplicationPeers
from gorsefork.wire.services.replication_transport import Transport, peer_headers

VIEW_CHECK_INTERVAL_S = 0.5  # s at the least between two looks at the fleet's view
MAX_NAMED_PEERS = 20  # peers in one log line or status


class Replication:
    """``fixed``: addresses of peers that the operator's file names, whoever is seen."""

    def __init__(
        self,
        name: str,
        zone: str,
        fixed: Sequence[str],
        authorization: str,
        store: RecordStore,
        keeper: PlanService,
        clock: Clock,
        log: Log,
        seed: int,
        connections: ControlConnections,
    ) -> None:
        self.connections = connections
        self.name, self.authorization, self.store, self.plan_service = name, authorization, store, keeper
        self.clock, self.log = clock, log
        self.configured_peers = [Peer(address, address, "") for address in dict.fromkeys(fixed)]
        self.view: list[ControlPeer] = []
        self.get_view: Callable[[], Sequence[ControlPeer]] = tuple
        self.view_is_stale = trio.Event()
        self.restored = len(store), store.newest
        unknown = UnknownRecords(store, keeper.storage, clock, lambda: keeper.book.horizon, log)
        by_kind = RecordsByKind({PLAN_KIND: keeper.apply_records}, unknown.apply_records)
        self.intake = RecordIntake(store, by_kind.apply_records)
        self.replicator = Replicator(
            name,
            zone,
            store,
            self.intake.refusals_of,
            random.Random(f"{seed}{clock.unix_us()}"),
            ReplicationTimings(in_flight=connections.requests),
            life=clock.unix_us(),
            install=self.install,
        )
        self.feeds = FeedReader(
            authorization, clock, seed, keeper.apply_changes, self.feed_reported, peer_headers(name)
        )
        transport = Transport(name, authorization, connections.requests, connections.idle)
        self.peers = ReplicationPeers(transport, self.replicator, self.intake, self.feeds, clock, log)
        keeper.on_published = self.publish
        self.apply_view(())

    def publish(self, records: Sequence[Record]) -> None:
        self.peers.publish(records)

    def feed_reported(self, address: str, problem: str) -> None:
        self.peers.feed_reported(address, problem)

    def install(self, snapshot: Snapshot) -> None:
        self.peers.begin_install(snapshot)

    def follow(self, look: Callable[[], Sequence[ControlPeer]]) -> None:
        """``look`` tells the other members of the fleet's view; it is asked after ``view_changed``."""
        self.get_view = look

    def view_changed(self) -> None:
        self.view_is_stale.set()

    async def follow_view(self) -> None:
        """Guards against a large fleet that starts at once: a look at each member for each of its changes
        would cost the square of its size."""
        while True:
            await self.view_is_stale.wait()
            self.view_is_stale = trio.Event()
            self.apply_view(self.get_view())
            await trio.sleep(VIEW_CHECK_INTERVAL_S)

    def apply_view(self, view: Iterable[ControlPeer]) -> None:
        """The other members of the fleet's view. Replication speaks with those that are taken for living."""
        self.view = list(view)
        seen = [Peer(each.name, each.address, each.zone) for each in self.view if each.seen and each.address]
        addresses = {peer.address for peer in seen}
        self.peers.set_peers(
            [*seen, *(peer for peer in self.configured_peers if peer.address not in addresses)]
        )

    async def run(self) -> None:
        records, newest = self.restored
        if records:
            age = max(0, self.clock.unix_us() - newest.stamp) / SECOND
            self.log(
                f"begins with {records} records of its own disk; the newest is {age:.0f} s old",
                event="configuration.restored",
                records=records,
                newest=shown(newest),
                age_s=round(age, 3),
            )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.follow_view)
            await self.peers.run()

    async def catch_up(self, within: float) -> None:
        """Until this ingress holds what a peer holds, ``within`` s at the most; else say that it may not."""
        with trio.move_on_after(within):
            await self.peers.catch_up()
        if self.peers.agreed.is_set():
            return
        unheard = [state.peer.name for state in self.peers.states.values() if state.heard_at is None]
        newest = self.store.newest
        self.log(
            f"not known to hold all that its peers hold; the newest change here is {shown(newest) or 'none'}",
            event="plan.behind",
            unheard=unheard[:MAX_NAMED_PEERS],
            unheard_count=len(unheard),
            lacking=max(0, self.peers.most_records - len(self.store)),
            newest=newest.stamp,
            records=len(self.store),
        )

    def status(self) -> dict[str, Any]:
        states, now = list(self.peers.states.values()), self.clock.now
        figures, intake = self.replicator.figures, self.replicator.intake.figures
        unheard = [state.peer.name for state in states if state.heard_at is None]
        return {
            "ingress": self.name,
            "digest": self.store.digest().hex(),
            "records": len(self.store),
            "bytes": self.store.size,
            "newest": shown(self.store.newest),
            "horizon": self.plan_service.book.horizon,
            "changed_s_ago": seconds_since(self.replicator.intake.changed_at, now),
            "restored": {"records": self.restored[0], "newest": shown(self.restored[1])},
            "caught_up": self.peers.agreed.is_set(),
            "downloading": self.replicator.download is not None or self.peers.installing,
            "contradictions": self.store.contradicted,
            "refused": {reason.name.lower(): count for reason, count in intake.refused.items() if count},
            "peers": {
                "known": len(states),
                "heard": len(states) - len(unheard),
                "unheard": unheard[:MAX_NAMED_PEERS],
                "failing": [state.peer.name for state in states if state.problem][:MAX_NAMED_PEERS],
                "old_version": sum(bool(state.old_until) for state in states),
            },
            "requests": {purpose.value: count for purpose, count in figures.requests.items()},
            "failed": figures.failed,
            "comparisons": figures.comparisons,
            "differing": figures.differing,
            "snapshots": figures.snapshots,
        }

    async def in_force(self, number: str) -> dict[str, Any]:
        """Who of the whole fleet has the change of that number; without one, who holds what is held here.

        ``ChangeRefused``: the number makes no sense (400), or nothing here has it (404).
        """
        place = None
        if number:
            change = self.plan_service.book.get(self.plan_service.parse_number(number))
            if change is None:
                raise ChangeRefused(f"no change {number} here: ask the ingress that accepted it", 404)
            place = place_of(record_of(change))
        own = msgspec.structs.replace(self.statement(), held=[] if place is None else [True])
        question = Question(own, place, number)
        transport = Transport(self.name, self.authorization, self.connections.survey, most_kept=0)
        try:
            return await in_force(transport, self.members(), question)
        finally:
            transport.close()

    def statement(self) -> Statement:
        (said,) = self.replicator.answerer.answer_one(self.name, StatementWanted([]), self.clock.now)
        assert isinstance(said, Statement)
        return said

    def members(self) -> list[Member]:
        """All other members whose lives go on, and the peers of the file. Who is not seen comes last."""
        addresses = {each.address for each in self.view}
        fixed = [
            Member(peer.name, peer.address) for peer in self.configured_peers if peer.address not in addresses
        ]
        view = sorted(self.view, key=lambda each: not each.seen)
        return [*fixed, *(Member(each.name, each.address) for each in view)]


def seconds_since(at: int, now: int) -> float | None:
    """``None`` where nothing has happened yet."""
    return round((now - at) / SECOND, 3) if at else None


def shown(version: Version) -> str | None:
    """A version in one word, or nothing where there is none."""
    return f"{version.stamp}@{version.origin}" if version.stamp else None
