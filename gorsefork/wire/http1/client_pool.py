"""Requests to many HTTP/1.1 servers over few connections: kept ones are reused, and closed when idle."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

import trio

from gorsefork.wire.http1.client import HttpClient, Response


@dataclass(frozen=True, slots=True)
class PoolLimits:
    """``most_kept`` idle connections stay open, ``idle_for`` s each; ``most_at_once`` requests are out."""

    most_kept: int = 8
    most_at_once: int = 16
    most_body: int = 1 << 20  # bytes of an answer's body; a longer one ends its connection
    idle_for: float = 2.0  # s; below the 2.2 s after which the listeners of this program close


class ClientPool:
    """At most ``most_kept`` + ``most_at_once`` connections, however many servers there are.

    A request that finds all turns taken waits for one; ``within`` counts from then on. A connection whose
    request failed in any way is closed and never used again.
    """

    def __init__(self, authorization: str = "", limits: PoolLimits | None = None) -> None:
        self.authorization, self.limits = authorization, limits or PoolLimits()
        self.idle: OrderedDict[str, tuple[HttpClient, float]] = OrderedDict()  # since when; longest first
        self.turns = trio.CapacityLimiter(self.limits.most_at_once)

    async def ask(
        self,
        address: str,
        method: str,
        target: str,
        body: bytes = b"",
        media: str = "",
        within: float = 2.0,
        headers: tuple[tuple[str, str], ...] = (),
    ) -> Response:
        """The whole answer of that server; ``NoAnswer`` if none comes ``within`` so many seconds.

        For requests that may be repeated. Cancelled, it closes the connection that it used.
        """
        async with self.turns:
            client = self.take(address)
            try:
                return await client.ask(method, target, body, media, within, headers)
            finally:
                self.give_back(client)

    def take(self, address: str) -> HttpClient:
        kept = self.idle.pop(address, None)
        return kept[0] if kept else HttpClient(address, self.authorization, self.limits.most_body)

    def give_back(self, client: HttpClient) -> None:
        """Keep its connection if it is still good; the one that is idle for longest gives way to it."""
        if client.kept is None:
            return
        if (other := self.idle.pop(client.dial, None)) is not None:
            other[0].close()
        self.idle[client.dial] = client, trio.current_time()
        while len(self.idle) > self.limits.most_kept:
            self.close_oldest()

    def close_idle(self) -> float:
        """Close what is idle for too long; when this is to be called again, in trio's time."""
        now = trio.current_time()
        while self.idle:
            _, since = next(iter(self.idle.values()))
            if since + self.limits.idle_for > now:
                return since + self.limits.idle_for
            self.close_oldest()
        return float("inf")

    def close_oldest(self) -> None:
        _, (client, _) = self.idle.popitem(last=False)
        client.close()

    def close(self) -> None:
        while self.idle:
            self.close_oldest()
