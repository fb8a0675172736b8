"""The control listener's calls on configuration: the exchange between replicas, and what operators ask.

docs/operators/configuration.md lists them.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Sequence
from typing import Annotated, Any

import msgspec
from msgspec import Meta

from gorsefork.configuration.messages import (
    MOST_MESSAGE_BYTES,
    AnyMessage,
    MessageError,
    decode,
    encode,
)
from gorsefork.memory.call import Served
from gorsefork.plans.changes import Refused
from gorsefork.wire.fronts.control_request import MSGPACK, ControlRequest, Routes, refuse_query

MOST_SURVEYS = 1  # of the whole fleet, at a time
MOST_PEER_NAME = 64
EXCHANGE = ("POST", "configuration/exchange")

Answer = Callable[[str, Sequence[AnyMessage]], Awaitable[list[AnyMessage]]]


class InForceQuery(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """``number``: of a plan change; without it, whether all hold what this ingress holds."""

    number: Annotated[str, Meta(max_length=96)] = ""


class ConfigurationCalls:
    """``status`` tells what is held here, ``survey`` asks the fleet about a number (``Refused``).

    ``most_exchanges``: answered at a time; a peer beyond that is told to ask another, or later.
    """

    def __init__(
        self,
        answer: Answer,
        status: Callable[[], dict[str, Any]],
        survey: Callable[[str], Awaitable[dict[str, Any]]],
        most_exchanges: int,
    ) -> None:
        self.answer_peer, self.tell_status, self.survey = answer, status, survey
        self.most_exchanges = most_exchanges
        self.exchanges = self.surveys = 0
        self.routes: Routes = {
            EXCHANGE: self.exchange,
            ("GET", "configuration/status"): self.status,
            ("GET", "configuration/in-force"): self.in_force,
        }
        self.most_body = {EXCHANGE: MOST_MESSAGE_BYTES}

    async def exchange(self, request: ControlRequest) -> Served:
        """Guards against peers that take all of the listener's connections: they give way to operators."""
        refuse_query(request)
        if not 0 < len(request.peer) <= MOST_PEER_NAME:
            raise Refused(f"Gorsefork-Peer: must name the peer, in {MOST_PEER_NAME} characters at most", 400)
        if self.exchanges >= self.most_exchanges:
            raise Refused(f"{self.most_exchanges} exchanges are being answered: ask another peer", 503)
        try:
            messages = decode(request.body)
        except MessageError as error:
            raise Refused(str(error), 400) from None
        self.exchanges += 1
        try:
            return Served(encode(await self.answer_peer(request.peer, messages)), MSGPACK)
        finally:
            self.exchanges -= 1

    async def status(self, request: ControlRequest) -> Any:
        refuse_query(request)
        return self.tell_status()

    async def in_force(self, request: ControlRequest) -> Any:
        query = msgspec.convert(request.query, InForceQuery)
        if self.surveys >= MOST_SURVEYS:
            raise Refused("a question to the whole fleet is under way: ask again", 503)
        self.surveys += 1
        try:
            return await self.survey(query.number)
        finally:
            self.surveys -= 1
