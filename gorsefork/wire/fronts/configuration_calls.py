"""The control listener's calls on configuration: the exchange between replicas, and what operators ask.

docs/operators/configuration.md lists them.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Sequence
from typing import Annotated, Any

import msgspec
from msgspec import Meta

from gorsefork.configuration.messages import (
    MAX_MESSAGE_BYTES,
    AnyMessage,
    MessageError,
    decode,
    encode,
)
from gorsefork.memory.call import ServedAnswer
from gorsefork.plans.changes import ChangeRefused
from gorsefork.wire.fronts.control_request import MSGPACK, ControlRequest, Routes, reject_query

MAX_SURVEYS = 1  # of the whole fleet, at a time
MAX_PEER_NAME_LENGTH = 64
EXCHANGE_ROUTE = ("POST", "configuration/exchange")

Answer = Callable[[str, Sequence[AnyMessage]], Awaitable[list[AnyMessage]]]


class InForceQuery(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """``number``: of a plan change; without it, whether all hold what this ingress holds."""

    number: Annotated[str, Meta(max_length=96)] = ""


class ConfigurationCalls:
    """``status`` tells what is held here, ``survey`` asks the fleet about a number (``ChangeRefused``).

    ``most_exchanges``: answered at a time; a peer beyond that is told to ask another, or later.
    """

    def __init__(
        self,
        answer: Answer,
        status: Callable[[], dict[str, Any]],
        survey: Callable[[str], Awaitable[dict[str, Any]]],
        most_exchanges: int,
    ) -> None:
        self.answer_peer, self.get_status, self.survey = answer, status, survey
        self.max_exchanges = most_exchanges
        self.exchanges = self.surveys = 0
        self.routes: Routes = {
            EXCHANGE_ROUTE: self.exchange,
            ("GET", "configuration/status"): self.status,
            ("GET", "configuration/in-force"): self.in_force,
        }
        self.max_body = {EXCHANGE_ROUTE: MAX_MESSAGE_BYTES}

    async def exchange(self, request: ControlRequest) -> ServedAnswer:
        """Guards against peers that take all of the listener's connections: they give way to operators."""
        reject_query(request)
        if not 0 < len(request.peer) <= MAX_PEER_NAME_LENGTH:
            raise ChangeRefused(
                f"Gorsefork-Peer: must name the peer, in {MAX_PEER_NAME_LENGTH} characters at most", 400
            )
        if self.exchanges >= self.max_exchanges:
            raise ChangeRefused(f"{self.max_exchanges} exchanges are being answered: ask another peer", 503)
        try:
            messages = decode(request.body)
        except MessageError as error:
            raise ChangeRefused(str(error), 400) from None
        self.exchanges += 1
        try:
            return ServedAnswer(encode(await self.answer_peer(request.peer, messages)), MSGPACK)
        finally:
            self.exchanges -= 1

    async def status(self, request: ControlRequest) -> Any:
        reject_query(request)
        return self.get_status()

    async def in_force(self, request: ControlRequest) -> Any:
        query = msgspec.convert(request.query, InForceQuery)
        if self.surveys >= MAX_SURVEYS:
            raise ChangeRefused("a question to the whole fleet is under way: ask again", 503)
        self.surveys += 1
        try:
            return await self.survey(query.number)
        finally:
            self.surveys -= 1
