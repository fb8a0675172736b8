"""The replicator's transport: its requests to peers, over their control listeners.

Each request is one ``POST /v1/configuration/exchange``. Connections come from one bounded pool, whatever the
size of the fleet, and at rest there are as many as the replicator has questions. A peer that fails in any way
loses its connection; it is told of once, until it is heard again. A peer of the previous version, which
answers 404, is left to the feed reader and tried again after ``OLD_VERSION_RETRY_US``.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Any, Literal, Protocol

import trio

from gorsefork.configuration.messages import AnyMessage, Same, Summary
from gorsefork.configuration.peer_set import Peer
from gorsefork.configuration.records import Record
from gorsefork.configuration.replication import Replicator, Request
from gorsefork.configuration.snapshot import Snapshot
from gorsefork.memory.clock import SECOND, Clock
from gorsefork.memory.ports import Log
from gorsefork.wire.services.feed_reader import FeedReader
from gorsefork.wire.services.replication_transport import ExchangeFailed, OldVersionPeer, Transport

ANSWER_TIMEOUT_S = 2.0  # s for one exchange, its connection included
OLD_VERSION_RETRY_US = 60 * SECOND  # us until a peer that does not know the exchange is tried again
STALE_AFTER_US = 30 * SECOND  # us without a word
MAX_FORWARDED_RECORDS = 256  # records of one message that are news to others too

State = Literal["current", "stale", "unheard"]


@dataclass(slots=True)
class PeerState:
    """What is known of a peer's answers. ``old_until``: it is of the previous version, until it is tried."""

    peer: Peer
    heard_at: int | None = None
    problem: str = ""
    old_until: int = 0
    old_version_logged: bool = False
    agreed_digest: bytes = b""  # the digest that it and this ingress had in common last

    def state(self, now: int) -> State:
        """``stale``: known for a fault, and not heard for a while. At rest few of many peers are asked."""
        if self.heard_at is None:
            return "unheard"
        return "stale" if self.problem and now - self.heard_at > STALE_AFTER_US else "current"


class RecordReceiver(Protocol):
    """Takes records that came from peers to their owner, and waits for the disk."""

    async def take(self, messages: Sequence[AnyMessage]) -> list[Record]:
        """Those that were new here; they are kept and in force by now."""
        ...

    async def install(self, snapshot: Snapshot) -> int:
        """All of a snapshot; how many of its records were new here."""
        ...


class ReplicationPeers:
    """One task a request, in bounded number; ``set_peers`` says who is there.

    Records are taken in before the replicator sees their message. It does no waiting of its own.
    """

    def __init__(
        self,
        transport: Transport,
        replicator: Replicator,
        intake: RecordReceiver,
        feeds: FeedReader,
        clock: Clock,
        log: Log,
    ) -> None:
        self.transport, self.replicator, self.intake = transport, replicator, intake
        self.feeds, self.clock, self.log = feeds, clock, log
        self.states: dict[str, PeerState] = {}  # by name
        self.timer_changed = trio.Event()
        self.answered = trio.Event()  # rings once at the next answer, or failure
        self.agreed = trio.Event()  # this ingress once held what a peer holds
        self.nursery: trio.Nursery | None = None
        self.installing = False  # a snapshot: nothing is asked for meanwhile
        self.catching_up = False
        self.most_records = 0  # that any peer said it holds

    def set_peers(self, peers: Iterable[Peer]) -> None:
        """Speak with these and no others."""
        before = self.states
        self.states = {}
        for peer in peers:
            known = before.get(peer.name)
            same = known is not None and known.peer.address == peer.address
            self.states[peer.name] = known if known is not None and same else PeerState(peer)
            self.states[peer.name].peer = peer
        addresses = {state.peer.address for state in self.states.values()}
        for address in set(self.feeds.followers) - addresses:
            self.feeds.remove(address)
        self.tell_replicator()

    def tell_replicator(self) -> None:
        self.replicator.peers([state.peer for state in self.states.values() if not state.old_until])
        self.wake()

    def wake(self) -> None:
        """Look at the replicator again: it may be due earlier than it was."""
        self.timer_changed.set()

    def publish(self, records: Sequence[Record]) -> None:
        """Records that were accepted here."""
        self.replicator.publish(records, self.clock.now)
        self.wake()

    async def answer(self, peer: str, messages: Sequence[AnyMessage]) -> list[AnyMessage]:
        """What a peer that asks is answered."""
        self.forward(await self.intake.take(messages), peer)
        answer = self.replicator.answer(peer, messages, self.clock.now)
        if (state := self.states.get(peer)) is not None:
            self.heard(state)
        self.wake()
        return answer

    def forward(self, new: Sequence[Record], source: str) -> None:
        """News goes on to others. Guards against an ingress that catches up and tells all of it as news."""
        self.replicator.intake.note(new, self.clock.now)
        if len(new) <= MAX_FORWARDED_RECORDS:
            self.replicator.queue_push(new, source)

    async def run(self) -> None:
        """Until cancelled; then no connection is left."""
        try:
            async with trio.open_nursery() as self.nursery:
                self.nursery.start_soon(self.feeds.run)
                while True:
                    self.timer_changed = trio.Event()
                    self.retry_old_versions()
                    for request in () if self.installing else self.replicator.requests(self.clock.now):
                        self.nursery.start_soon(self.exchange, request)
                    await self.until_due()
        finally:
            self.transport.close()

    async def catch_up(self) -> None:
        """Until this ingress once held what a peer holds, or each peer was asked in vain. Not bounded."""
        self.catching_up = True
        try:
            self.compare_soon()
            self.wake()
            while not self.agreed.is_set() and not self.all_failed():
                await self.answered.wait()
        finally:
            self.catching_up = False

    def all_failed(self) -> bool:
        return bool(self.states) and all(state.problem for state in self.states.values())

    def compare_soon(self) -> None:
        """Guards against an ingress that waits to be ready for its turn to compare: the comparison that
        confirms the last one follows it soon."""
        replicator = self.replicator
        if self.catching_up and replicator.comparison is None and replicator.download is None:
            soon = self.clock.now + replicator.tempo.compare_again
            replicator.compare_at = min(replicator.compare_at, soon)

    def begin_install(self, snapshot: Snapshot) -> None:
        """Take a snapshot in. Nothing is asked for until that is done, or it would be asked for again."""
        assert self.nursery is not None
        self.installing = True
        self.nursery.start_soon(self.install, snapshot)

    async def install(self, snapshot: Snapshot) -> None:
        try:
            taken = await self.intake.install(snapshot)
        finally:
            self.installing = False
        self.replicator.intake.changed_at = self.clock.now
        self.log(
            f"{taken} records of a snapshot are in force", event="configuration.installed", records=taken
        )
        self.compare_soon()
        self.wake()

    async def until_due(self) -> None:
        times = [state.old_until for state in self.states.values() if state.old_until]
        if self.replicator.wake_at is not None and not self.installing:
            times.append(self.replicator.wake_at)
        due = min(map(self.clock.trio_deadline, times), default=math.inf)
        deadline = min(due, self.transport.pool.close_idle())
        with trio.move_on_at(deadline):
            await self.timer_changed.wait()
        await trio.lowlevel.checkpoint()  # the clock is read anew

    def retry_old_versions(self) -> None:
        """Ask them as new ones again. Their feeds are read on meanwhile, from where they were read to."""
        due = [s for s in self.states.values() if s.old_until and s.old_until <= self.clock.now]
        for state in due:
            state.old_until = 0
        if due:
            self.tell_replicator()

    async def exchange(self, request: Request) -> None:
        state = self.states.get(request.peer)
        if state is None:  # it has gone meanwhile
            self.replicator.failed(request.peer, self.clock.now)
            return
        try:
            messages = await self.transport.exchange(state.peer.address, request.messages, ANSWER_TIMEOUT_S)
        except OldVersionPeer:
            self.replicator.failed(request.peer, self.clock.now)
            self.mark_old_version(state)
        except ExchangeFailed as failed:
            self.replicator.failed(request.peer, self.clock.now)
            self.report(state, str(failed))
        else:
            self.forward(await self.intake.take(messages), request.peer)
            self.replicator.answered(request.peer, messages, self.clock.now)
            self.note_agreement(state, messages)
            self.compare_soon()
            self.feeds.remove(state.peer.address)
            self.report(state, "")
        self.wake()

    def note_agreement(self, state: PeerState, messages: Sequence[AnyMessage]) -> None:
        for message in messages:
            if isinstance(message, Same):
                state.agreed_digest = self.replicator.store.digest()
                self.agreed.set()
            elif isinstance(message, Summary):
                self.most_records = max(self.most_records, message.count)

    def mark_old_version(self, state: PeerState) -> None:
        if self.states.get(state.peer.name) is not state:
            return
        if not state.old_version_logged:
            name = state.peer.name
            self.log(f"{name} is of an older version", event="peer.old_version", peer=name)
        state.old_version_logged = True
        state.old_until = self.clock.now + OLD_VERSION_RETRY_US
        self.feeds.add(state.peer.address)
        self.tell_replicator()

    def feed_reported(self, address: str, problem: str) -> None:
        """What became of a question to a peer of the previous version."""
        for state in self.states.values():
            if state.old_version_logged and state.peer.address == address:
                self.report(state, problem)
                if not problem:
                    self.agreed.set()

    def report(self, state: PeerState, problem: str) -> None:
        """Log the first fault of a peer, and that it is heard again."""
        name, address = state.peer.name, state.peer.address
        before, state.problem = state.problem, problem
        if not problem:
            self.heard(state, again=bool(before))
        elif not before:
            self.log(f"{name}: {problem}", event="peer.unheard", peer=name, address=address, reason=problem)
        answered, self.answered = self.answered, trio.Event()
        answered.set()

    def heard(self, state: PeerState, again: bool = False) -> None:
        """It has answered, or asked."""
        if again or state.heard_at is None:
            name, address = state.peer.name, state.peer.address
            self.log(f"{name} is heard", event="peer.heard", peer=name, address=address)
        state.heard_at = self.clock.now

    def status(self) -> list[dict[str, Any]]:
        """A row for each peer. ``fellow`` is the address under the key that it had before."""
        now = self.clock.now
        return [
            {
                "peer": state.peer.name,
                "address": state.peer.address,
                "fellow": state.peer.address,
                "zone": state.peer.zone,
                "state": state.state(now),
                "problem": state.problem,
                "heard_s_ago": None if state.heard_at is None else round((now - state.heard_at) / SECOND, 3),
                "old_version": bool(state.old_until),
                "same_book": state.agreed_digest == self.replicator.store.digest(),
            }
            for state in self.states.values()
        ]
