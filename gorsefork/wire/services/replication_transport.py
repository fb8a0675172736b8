"""The exchange between replicas over HTTP/1.1: one POST carries messages, its answer carries others."""

from __future__ import annotations

from collections.abc import Sequence
from urllib.parse import quote

from gorsefork.configuration.messages import MAX_MESSAGE_BYTES, AnyMessage, MessageError, decode, encode
from gorsefork.wire.http1.client import NoAnswer, Response
from gorsefork.wire.http1.client_pool import ClientPool, PoolLimits

EXCHANGE = "/v1/configuration/exchange"
MEDIA = "application/msgpack"
PEER_HEADER = "Gorsefork-Peer"


class OldVersionPeer(Exception):
    """The peer does not know the exchange."""


class ExchangeFailed(Exception):
    """No answer came, or none that makes sense. Whether the messages were taken is not known."""


def peer_headers(name: str) -> tuple[tuple[str, str], ...]:
    """By which a peer learns who asks."""
    return ((PEER_HEADER, quote(name, safe="")),)


class Transport:
    """Requests in the name of this ingress, so many at once, over connections of which some are kept."""

    def __init__(self, name: str, authorization: str, most_at_once: int = 16, most_kept: int = 8) -> None:
        self.headers = peer_headers(name)
        limits = PoolLimits(most_kept, most_at_once, MAX_MESSAGE_BYTES)
        self.pool = ClientPool(authorization, limits)

    async def exchange(self, address: str, messages: Sequence[AnyMessage], within: float) -> list[AnyMessage]:
        """The peer's answer, ``within`` so many seconds. ``ExchangeFailed`` or ``OldVersionPeer``."""
        try:
            answer = await self.pool.request(
                address, "POST", EXCHANGE, encode(messages), MEDIA, within, self.headers
            )
            if answer.status == 404:
                raise OldVersionPeer
            if answer.status != 200:
                raise ExchangeFailed(f"{address} answered {answer.status}")
            return decode(answer.body)
        except (NoAnswer, MessageError) as error:
            raise ExchangeFailed(str(error)) from None

    async def get(self, address: str, path: str, within: float) -> Response:
        """``ExchangeFailed`` where none comes."""
        try:
            return await self.pool.request(address, "GET", path, within=within, headers=self.headers)
        except NoAnswer as error:
            raise ExchangeFailed(str(error)) from None

    def close(self) -> None:
        self.pool.close()
