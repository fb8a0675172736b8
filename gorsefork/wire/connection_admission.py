"""Which connections hold a place, and which gives way where places are short or clients are to leave."""

from __future__ import annotations

import math
import select
from collections import OrderedDict

import trio

from gorsefork.memory.clock import Clock
from gorsefork.wire.http1.connection import ClientConnection

# us without a first byte, from when on a new connection is taken for one of a crowd
SILENT_AFTER_US = 250_000
# us in which one that has just come may yet ask, also where many come at once
NEW_CONNECTION_GRACE_US = 50_000
MAX_IDLE_US = 2_200_000  # us that a connection may stand with no request, a new one too
DEPARTED_CHECK_INTERVAL_S = 0.05  # s between looks for clients that left while they were not read
IDLE_CHECK_INTERVAL_S = 0.25  # s between looks for connections that are idle for so long
MAX_REFUSED_PER_LOOK = 8  # stalled requests that give way at a time
MIN_CLOSING_US = 100_000  # us that a client has to read its last answer and close even where places are short
# us since clients were sent away: until then the front may not know of it yet; by then no connection is to be
# idle, as at 4 s none may have been used in the 2 s before.
DRAIN_BEGIN_US, DRAIN_END_US = 350_000, 1_250_000
DRAIN_NEW_CONNECTION_GRACE_US = 250_000  # us that a connection made meanwhile may stay silent


class ConnectionAdmission:
    """The connections of one listener. At the bounds the one idle for longest gives way."""

    def __init__(self, clock: Clock, most: int, most_idle: int) -> None:
        self.clock, self.most, self.max_idle = clock, most, most_idle
        self.max_connections = most  # what the limits allow just now
        self.connections: set[ClientConnection] = set()
        # owed nothing, and since when; longest first
        self.idle: OrderedDict[ClientConnection, int] = OrderedDict()
        # begun; the latest byte last
        self.receiving_heads: OrderedDict[ClientConnection, None] = OrderedDict()
        self.closing_since: OrderedDict[ClientConnection, int] = OrderedDict()  # told so: since when
        self.draining_since: int | None = None
        self.max_forwarded_bodies = most

    async def close_expired(self) -> None:
        """Close what has stood without a request: silent clients, and those that asked once and stay."""
        while True:
            await trio.sleep(IDLE_CHECK_INTERVAL_S)
            if self.draining_since is not None:
                self.close_idle_in_turn(self.clock.now - self.draining_since)
            while self.idle:
                connection, since = next(iter(self.idle.items()))
                if since + MAX_IDLE_US > self.clock.now:
                    break
                del self.idle[connection]
                connection.close_if_idle()

    def set_draining(self, on: bool) -> None:
        """Clients are to go elsewhere, or may stay again. Busy ones are told with their answers."""
        self.draining_since = self.clock.now if on else None

    def close_idle_in_turn(self, since: int) -> None:
        """Close the idle in turn, the longest so first: all at once would come to the others as one crowd."""
        if since < DRAIN_BEGIN_US:
            return
        idle = [
            c
            for c, at in self.idle.items()
            if since < DRAIN_END_US or at + DRAIN_NEW_CONNECTION_GRACE_US <= self.clock.now
        ]
        steps = max(1, round((DRAIN_END_US - since) / (IDLE_CHECK_INTERVAL_S * 1e6)))
        for connection in idle[: -(-len(idle) // steps)]:
            connection.close_if_idle()

    async def close_departed(self) -> None:
        """End the connections whose clients left while they were not read, and with them their work."""
        while True:
            await trio.sleep(DEPARTED_CHECK_INTERVAL_S)
            unread = {c.stream.sock.fileno(): c for c in self.connections if c.is_unread()}
            poll = select.poll()
            for descriptor in unread:
                poll.register(descriptor, select.POLLRDHUP)
            for descriptor, _ in poll.poll(0) if unread else ():
                unread[descriptor].leave()

    def evict(self, newcomers: bool = True) -> bool:
        """Take a place from one that asks nothing; ``False`` if there is none. What came is read first.

        First from one that has had its last answer: guards against clients that provoke such, and stay.
        """
        if self.closing_since:
            connection, since = next(iter(self.closing_since.items()))
            if since + MIN_CLOSING_US <= self.clock.now:
                connection.stream.close()
                self.forget(connection)
                return True
        if newcomers and not self.has_silent() and self.refuse_stalled():
            return False  # their places are free in a moment
        for _ in range(8):
            if not self.idle and not self.receiving_heads:
                return False
            connection = self.eviction_candidate()
            if (
                not newcomers
                and not connection.served
                and self.idle.get(connection, 0) + NEW_CONNECTION_GRACE_US > self.clock.now
            ):
                return False  # many that come at once have not had the time to ask
            connection.close_if_idle()
            if connection.is_last:
                connection.stream.close()
                self.forget(connection)
                return True
        return False

    def count_backlog(self) -> int:
        """How many connections wait to be accepted; 1 where that is not known."""
        return 1

    def has_silent(self) -> bool:
        """Whether a connection has stood for a while without ever asking anything."""
        longest = next(iter(self.idle), None)
        return longest is not None and self.is_silent(longest)

    def is_silent(self, connection: ClientConnection) -> bool:
        return not connection.served and self.idle[connection] + SILENT_AFTER_US <= self.clock.now

    def refuse_stalled(self) -> bool:
        """Refuse the requests that have been silent in the middle for longest; whether places will be free.

        Their places are free once their clients have closed, or had the time to read the answer. Guards
        against clients that stop half way and hold all places.
        """
        wanted = self.count_backlog() - len(self.closing_since)
        if wanted > 0:
            stalled = [c for c in self.connections if c.is_stalled(self.clock.now)]
            stalled.sort(key=lambda c: (c.served, c.read_at))
            for connection in stalled[: min(wanted, MAX_REFUSED_PER_LOOK)]:
                connection.give_way("stalled")
        return bool(self.closing_since)

    def eviction_candidate(self) -> ClientConnection:
        """One that has said nothing for a while; one that was served, who comes back at no loss; a newcomer;
        last a head. The longest so goes first."""
        if not self.idle:
            return next(iter(self.receiving_heads))
        longest = next(iter(self.idle))
        silent = next((c for c in self.idle if not c.served), longest)
        if self.idle[silent] + SILENT_AFTER_US <= self.clock.now:
            return silent
        return next((c for c in self.idle if c.served), longest)

    def head_received(self, connection: ClientConnection) -> None:
        """A byte of a request's head has come, the first or one more."""
        if self.idle.pop(connection, None) is not None:
            self.receiving_heads[connection] = None
        elif connection in self.receiving_heads:
            self.receiving_heads.move_to_end(connection)

    def closing_begun(self, connection: ClientConnection) -> None:
        """Its client hears that no more comes, and is to close."""
        self.idle.pop(connection, None)
        self.receiving_heads.pop(connection, None)
        self.closing_since[connection] = self.clock.now

    def forget(self, connection: ClientConnection) -> None:
        """It holds a place no longer."""
        self.connections.discard(connection)
        self.idle.pop(connection, None)
        self.receiving_heads.pop(connection, None)
        self.closing_since.pop(connection, None)

    def may_forward_body(self) -> bool:
        """Whether one more body may be passed on as it comes. Guards against clients that stop half way
        through: each takes a connection to a backend, and usual requests need some too."""
        forwarded = sum(
            c.exchange is not None and c.exchange.body_stream is not None for c in self.connections
        )
        return forwarded < self.max_forwarded_bodies

    def busy(self) -> bool:
        """Whether a client is owed something, or its request has begun. Guards against clients that say
        nothing or never close: a drain is not to wait for those."""
        return any(
            c.exchange is not None or c.flushing or c in self.receiving_heads for c in self.connections
        )

    def has_streamed_answers(self) -> bool:
        """Whether a long answer is on its way."""
        return any(c.streaming_answer for c in self.connections)

    def close_idle(self, heads_within: float = math.inf) -> None:
        """A request that has begun is waited for, if its head comes whole ``heads_within`` so many seconds:
        to end its connection now would lose it, as its client is writing the rest."""
        for connection in list(self.idle):
            connection.close_if_idle()
        for connection in self.receiving_heads:
            connection.read_scope.deadline = min(
                connection.read_scope.deadline, trio.current_time() + heads_within
            )
