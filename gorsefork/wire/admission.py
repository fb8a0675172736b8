"""Which connections hold a place, and which gives way where places are short or clients are to leave."""

from __future__ import annotations

import math
from collections import OrderedDict

import trio

from gorsefork.memory.clock import Clock
from gorsefork.wire.http1.connection import ClientConnection

SILENT_AFTER = 250_000  # us without a first byte, from when on a new connection is taken for one of a crowd
FRESH = 50_000  # us in which one that has just come may yet ask, also where many come at once
IDLE_FOR = 2_200_000  # us that a connection may stand with no request, a new one too
REAP_EVERY = 0.25  # s between looks for connections that are idle for so long
LEAVING = 100_000  # us that a client has to read its last answer and close even where places are short
# us since clients were sent away: until then the front may not know of it yet; by then no connection is to be
# idle, as at 4 s none may have been used in the 2 s before.
AWAY_FROM, AWAY_BY = 350_000, 1_250_000
AWAY_FRESH = 250_000  # us that a connection made meanwhile may stay silent


class Admission:
    """The connections of one listener. At the bounds the one idle for longest gives way."""

    def __init__(self, clock: Clock, most: int, most_idle: int) -> None:
        self.clock, self.most, self.most_idle = clock, most, most_idle
        self.connections: set[ClientConnection] = set()
        self.idle: OrderedDict[ClientConnection, int] = OrderedDict()  # since when; longest first
        self.heads: OrderedDict[ClientConnection, None] = OrderedDict()  # begun; the latest byte last
        self.leaving: OrderedDict[ClientConnection, int] = OrderedDict()  # told so: since when
        self.away_since: int | None = None

    async def reap(self) -> None:
        """Close what has stood without a request: silent clients, and those that asked once and stay."""
        while True:
            await trio.sleep(REAP_EVERY)
            if self.away_since is not None:
                self.send_away(self.clock.now - self.away_since)
            while self.idle:
                connection, since = next(iter(self.idle.items()))
                if since + IDLE_FOR > self.clock.now:
                    break
                del self.idle[connection]
                if connection.flushing:  # its client has not read the last answer yet
                    self.idle[connection] = self.clock.now
                else:
                    connection.close_if_idle()

    def away(self, on: bool) -> None:
        """Clients are to go elsewhere, or may stay again. Busy ones are told with their answers."""
        self.away_since = self.clock.now if on else None

    def send_away(self, since: int) -> None:
        """Close the idle in turn, the longest so first: all at once would come to the others as one crowd."""
        if since < AWAY_FROM:
            return
        idle = [c for c, at in self.idle.items() if since < AWAY_BY or at + AWAY_FRESH <= self.clock.now]
        steps = max(1, round((AWAY_BY - since) / (REAP_EVERY * 1e6)))
        for connection in idle[: -(-len(idle) // steps)]:
            connection.close_if_idle()

    def evict(self, newcomers: bool = True) -> bool:
        """Take a place from one that asks nothing; ``False`` if there is none. What came is read first.

        First from one that has had its last answer: guards against clients that provoke such, and stay.
        """
        if self.leaving:
            connection, since = next(iter(self.leaving.items()))
            if since + LEAVING <= self.clock.now:
                connection.stream.close()
                self.closed(connection)
                return True
        for _ in range(8):
            if not self.idle and not self.heads:
                return False
            connection = self.first_to_go()
            if (
                not newcomers
                and not connection.served
                and self.idle.get(connection, 0) + FRESH > self.clock.now
            ):
                return False  # many that come at once have not had the time to ask
            connection.close_if_idle()
            if connection.last:
                connection.stream.close()
                self.closed(connection)
                return True
        return False

    def first_to_go(self) -> ClientConnection:
        """One that has said nothing for a while; one that was served, who comes back at no loss; a newcomer;
        last a head. The longest so goes first."""
        if not self.idle:
            return next(iter(self.heads))
        longest = next(iter(self.idle))
        silent = next((c for c in self.idle if not c.served), longest)
        if self.idle[silent] + SILENT_AFTER <= self.clock.now:
            return silent
        return next((c for c in self.idle if c.served), longest)

    def begun(self, connection: ClientConnection) -> None:
        """A byte of a request's head has come, the first or one more."""
        if self.idle.pop(connection, None) is not None:
            self.heads[connection] = None
        elif connection in self.heads:
            self.heads.move_to_end(connection)

    def told_off(self, connection: ClientConnection) -> None:
        """Its client hears that no more comes, and is to close."""
        self.idle.pop(connection, None)
        self.heads.pop(connection, None)
        self.leaving[connection] = self.clock.now

    def closed(self, connection: ClientConnection) -> None:
        """It holds a place no longer."""
        self.connections.discard(connection)
        self.idle.pop(connection, None)
        self.heads.pop(connection, None)
        self.leaving.pop(connection, None)

    def busy(self) -> bool:
        """Whether a client is owed something, or its request has begun. Guards against clients that say
        nothing or never close: a drain is not to wait for those."""
        return any(c.exchange is not None or c.flushing or c in self.heads for c in self.connections)

    def pouring(self) -> bool:
        """Whether a long answer is on its way."""
        return any(c.pouring for c in self.connections)

    def close_idle(self, heads_within: float = math.inf) -> None:
        """A request that has begun is waited for, if its head comes whole ``heads_within`` so many seconds:
        to end its connection now would lose it, as its client is writing the rest."""
        for connection in list(self.idle):
            connection.close_if_idle()
        for connection in self.heads:
            connection.scope.deadline = min(connection.scope.deadline, trio.current_time() + heads_within)
