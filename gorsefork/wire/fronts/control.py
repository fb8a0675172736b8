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

from gorsefork.memory.call import Answer, Served
from gorsefork.memory.flow import MOST_HELD, Flow, Torn
from gorsefork.plans.changes import Refused
from gorsefork.wire.acceptor import Exchange
from gorsefork.wire.fronts.control_request import (
    JSON,
    ControlRequest,
    Handler,
    Routes,
    problem,
    refuse_query,
)

PEER_HEADER = b"gorsefork-peer"  # the name of the ingress that asks, percent-encoded
BODY_WITHIN = 3.0  # s for a body that is longer than ``MOST_HELD``
METHODS = ("GET", "POST", "PUT")


class ControlFront:
    """``status`` and ``usage`` tell how things stand, ``export`` sends what waits; ``start`` runs a task.

    ``most_body``: bytes of a body, for calls that take more than ``MOST_HELD``.
    """

    whole_seconds, passes = True, True

    def __init__(
        self,
        secret: str,
        status: Callable[[], dict[str, Any]],
        usage: Callable[[], dict[str, Any]],
        export: Callable[[], None],
    ) -> None:
        self.secret = secret.encode()
        self.tell_status, self.tell_usage, self.export_now = status, usage, export
        self.start: Callable[[Callable[[], Awaitable[None]]], None]
        self.routes: Routes = {
            ("GET", "status"): self.status,
            ("GET", "usage"): self.usage,
            ("POST", "usage/export"): self.export,
        }
        self.most_body: dict[tuple[str, str], int] = {}

    def begin(self, exchange: Exchange) -> None:
        if not self.allowed(exchange.headers.get(b"authorization", b"")):
            challenge = ("WWW-Authenticate", 'Bearer realm="gorsefork"')
            exchange.reply(problem(401, "the bearer key of this listener is needed", challenge))
            return
        path, _, query = exchange.target.partition("?")
        parts = [unquote(part) for part in path.split("/")[1:]]
        found = self.routes_of(parts)
        if not found:
            exchange.reply(problem(404, f"no such call: {path}"))
            return
        if exchange.method not in found:
            methods = ", ".join(found)
            exchange.reply(problem(405, f"{path} takes {methods}", ("Allow", methods)))
            return
        pairs = parse_qsl(query, keep_blank_values=True)
        if len(dict(pairs)) < len(pairs):
            exchange.reply(problem(400, "a parameter stands twice"))
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

    def allowed(self, given: bytes) -> bool:
        return not self.secret or hmac.compare_digest(given, b"Bearer " + self.secret)

    async def serve(self, exchange: Exchange, route: str, query: dict[str, str], names: list[str]) -> None:
        """A caller that leaves ends its question, but not a change that has begun: that is kept whole."""
        call = exchange.method, route
        most = self.most_body.get(call, MOST_HELD)
        with trio.CancelScope() as scope:
            if exchange.method == "GET":
                exchange.left = scope.cancel
            try:
                body = bytes(exchange.body) if exchange.flow is None else await read_body(exchange.flow, most)
            except BodyTooLong:
                exchange.reply(problem(413, f"the body is longer than {most} bytes"))
                return
            except (Torn, trio.TooSlowError):
                exchange.reply(problem(408, "the body did not come whole in time"))
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
        except Refused as refused:
            return problem(refused.status, str(refused))
        except msgspec.ValidationError as error:
            return problem(422, str(error))
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            return problem(400, f"the body is not JSON: {error}")
        return result if isinstance(result, Served) else Served(msgspec.json.encode(result), JSON)

    async def status(self, request: ControlRequest) -> Any:
        refuse_query(request)
        return self.tell_status()

    async def usage(self, request: ControlRequest) -> Any:
        refuse_query(request)
        return self.tell_usage()

    async def export(self, request: ControlRequest) -> Any:
        refuse_query(request)
        self.export_now()
        return self.tell_usage()


class BodyTooLong(Exception):
    """It has more bytes than its call takes."""


async def read_body(flow: Flow, most: int) -> bytes:
    """All of a body that is longer than ``MOST_HELD``. ``Torn``, or ``TooSlowError``, if it does not come."""
    if flow.length is not None and flow.length > most:
        raise BodyTooLong
    body = bytearray()
    with trio.fail_after(BODY_WITHIN):
        while pieces := await flow.get():
            for piece in pieces:
                body += piece
            if len(body) > most:
                raise BodyTooLong
    return bytes(body)
