"""The control front: for operators and peers. It checks the key, finds the call and answers for it.

HTTP/1.1, JSON in and out but where a call says otherwise. Who adds calls puts them into ``routes``.
"""

from __future__ import annotations

import hmac
from collections.abc import Awaitable, Callable
from functools import partial
from typing import Any
from urllib.parse import parse_qsl, unquote

import msgspec
import trio

from gorsefork.memory.body_stream import MAX_BUFFERED_BYTES, BodyAborted, BodyStream
from gorsefork.memory.call import Answer, ServedAnswer
from gorsefork.plans.changes import ChangeRefused
from gorsefork.wire.acceptor import Exchange
from gorsefork.wire.fronts.control_request import (
    JSON,
    ControlRequest,
    Handler,
    Routes,
    error_answer,
    reject_query,
)

PEER_HEADER = b"gorsefork-peer"  # the name of the ingress that asks, percent-encoded
BODY_TIMEOUT_S = 3.0  # s for a body that is longer than ``MAX_BUFFERED_BYTES``
METHODS = ("GET", "POST", "PUT")


class ControlFront:
    """``status`` and ``usage`` tell how things stand, ``export`` sends what waits; ``start`` runs a task.

    ``most_body``: bytes of a body, for calls that take more than ``MAX_BUFFERED_BYTES``.
    """

    whole_seconds, streams_bodies = True, True

    def __init__(
        self,
        secret: str,
        status: Callable[[], dict[str, Any]],
        usage: Callable[[], dict[str, Any]],
        export: Callable[[], None],
    ) -> None:
        self.secret = secret.encode()
        self.get_status, self.get_usage, self.export_now = status, usage, export
        self.start: Callable[[Callable[[], Awaitable[None]]], None]
        self.routes: Routes = {
            ("GET", "status"): self.status,
            ("GET", "usage"): self.usage,
            ("POST", "usage/export"): self.export,
        }
        self.max_body: dict[tuple[str, str], int] = {}

    def begin(self, exchange: Exchange) -> None:
        if not self.is_authorized(exchange.headers.get(b"authorization", b"")):
            challenge = ("WWW-Authenticate", 'Bearer realm="gorsefork"')
            exchange.reply(error_answer(401, "the bearer key of this listener is needed", challenge))
            return
        path, _, query = exchange.target.partition("?")
        parts = [unquote(part) for part in path.split("/")[1:]]
        found = self.routes_of(parts)
        if not found:
            exchange.reply(error_answer(404, f"no such call: {path}"))
            return
        if exchange.method not in found:
            methods = ", ".join(found)
            exchange.reply(error_answer(405, f"{path} takes {methods}", ("Allow", methods)))
            return
        pairs = parse_qsl(query, keep_blank_values=True)
        if len(dict(pairs)) < len(pairs):
            exchange.reply(error_answer(400, "a parameter stands twice"))
            return
        route = found[exchange.method]
        names = parts[-1:] if "*" in route else []
        self.start(partial(self.serve, exchange, route, dict(pairs), names))

    def routes_of(self, parts: list[str]) -> dict[str, str]:
        """The route for each method that this path takes. One that names the whole path goes first."""
        if len(parts) < 2 or parts[0] != "v1":
            return {}
        routes = ["/".join(parts[1:])]
        if len(parts) > 2:
            routes.insert(0, "/".join([*parts[1:-1], "*"]))
        return {method: route for route in routes for method in METHODS if (method, route) in self.routes}

    def is_authorized(self, given: bytes) -> bool:
        return not self.secret or hmac.compare_digest(given, b"Bearer " + self.secret)

    async def serve(self, exchange: Exchange, route: str, query: dict[str, str], names: list[str]) -> None:
        """A caller that leaves ends its question, but not a change that has begun: that is kept whole."""
        call = exchange.method, route
        most = self.max_body.get(call, MAX_BUFFERED_BYTES)
        with trio.CancelScope() as scope:
            if exchange.method == "GET":
                exchange.on_client_left = scope.cancel
            try:
                body = (
                    bytes(exchange.body)
                    if exchange.body_stream is None
                    else await read_body(exchange.body_stream, most)
                )
            except BodyTooLong:
                exchange.reply(error_answer(413, f"the body is longer than {most} bytes"))
                return
            except (BodyAborted, trio.TooSlowError):
                exchange.reply(error_answer(408, "the body did not come whole in time"))
                return
            request = ControlRequest(
                query,
                body,
                exchange.text(b"idempotency-key"),
                exchange.text(b"accept"),
                unquote(exchange.text(PEER_HEADER)),
            )
            exchange.reply(await self.answer(self.routes[call], request, names))

    async def answer(self, handler: Handler, request: ControlRequest, names: list[str]) -> Answer:
        try:
            result = await handler(request, *names)
        except ChangeRefused as refused:
            return error_answer(refused.status, str(refused))
        except msgspec.ValidationError as error:
            return error_answer(422, str(error))
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            return error_answer(400, f"the body is not JSON: {error}")
        return result if isinstance(result, ServedAnswer) else ServedAnswer(msgspec.json.encode(result), JSON)

    async def status(self, request: ControlRequest) -> Any:
        reject_query(request)
        return self.get_status()

    async def usage(self, request: ControlRequest) -> Any:
        reject_query(request)
        return self.get_usage()

    async def export(self, request: ControlRequest) -> Any:
        reject_query(request)
        self.export_now()
        return self.get_usage()


class BodyTooLong(Exception):
    """It has more bytes than its call takes."""


async def read_body(flow: BodyStream, most: int) -> bytes:
    """All of a body that is longer than ``MAX_BUFFERED_BYTES``. ``BodyAborted``, or ``TooSlowError``, if it
    does not come."""
    if flow.length is not None and flow.length > most:
        raise BodyTooLong
    body = bytearray()
    with trio.fail_after(BODY_TIMEOUT_S):
        while pieces := await flow.read_available():
            for piece in pieces:
                body += piece
            if len(body) > most:
                raise BodyTooLong
    return bytes(body)
