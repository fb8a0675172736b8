"""Requests to many HTTP/1.1 servers over few connections: kept ones are reused, and closed when idle."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

import trio

from gorsefork.wire.http1.client import HttpClient, Response


@dataclass(frozen=True, slots=True)
class PoolLimits:
    """``max_idle`` idle connections stay open, ``idle_timeout`` s each; ``max_requests`` requests are out."""

    max_idle: int = 8
    max_requests: int = 16
    max_body: int = 1 << 20  # bytes of an answer's body; a longer one ends its connection
    idle_timeout: float = 2.0  # s; below the 2.2 s after which the listeners of this program close


class ClientPool:
    """At most ``max_idle`` + ``max_requests`` connections, however many servers there are.

    A request that finds all turns taken waits for one; ``within`` counts from then on. A connection whose
    request failed in any way is closed and never used again.
    """

    def __init__(self, authorization: str = "", limits: PoolLimits | None = None) -> None:
        self.authorization, self.limits = authorization, limits or PoolLimits()
        self.idle: OrderedDict[str, tuple[HttpClient, float]] = OrderedDict()  # since when; longest first
        self.request_slots = trio.CapacityLimiter(self.limits.max_requests)

    async def request(
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
        async with self.request_slots:
            client = self.take_client(address)
            try:
                return await client.request(method, target, body, media, within, headers)
            finally:
                self.return_client(client)

    def take_client(self, address: str) -> HttpClient:
        kept = self.idle.pop(address, None)
        return kept[0] if kept else HttpClient(address, self.authorization, self.limits.max_body)

    def return_client(self, client: HttpClient) -> None:
        """Keep its connection if it is still good; the one that is idle for longest gives way to it."""
        if client.idle_connection is None:
            return
        if (other := self.idle.pop(client.address, None)) is not None:
            other[0].close()
        self.idle[client.address] = (client, trio.current_time())
        while len(self.idle) > self.limits.max_idle:
            self.close_oldest()

    def close_idle(self) -> float:
        """Close what is idle for too long; when this is to be called again, in trio's time."""
        now = trio.current_time()
        while self.idle:
            _, since = next(iter(self.idle.values()))
            if since + self.limits.idle_timeout > now:
                return since + self.limits.idle_timeout
            self.close_oldest()
        return float("inf")

    def close_oldest(self) -> None:
        _, (client, _) = self.idle.popitem(last=False)
        client.close()

    def close(self) -> None:
        while self.idle:
            self.close_oldest()
