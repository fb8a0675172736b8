"""The introspection front: a token is checked before the module sees the call, and again before a send."""

from __future__ import annotations

import itertools
import re
import secrets
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field
from functools import partial
from urllib.parse import unquote

import trio

from gorsefork.decisions import interface as i
from gorsefork.memory.call import BackendAttempt, Call, DeniedAnswer, OverloadAnswer
from gorsefork.memory.clock import SECOND, Clock
from gorsefork.wire.http1.exchange import Exchange, answer_time
from gorsefork.wire.introspection_client import IntrospectionClient, IntrospectionUnavailable
from gorsefork.wire.platform import (
    TRACE_ID_PATTERN,
    CallReader,
    InvalidRequest,
    parse_metering,
    parse_whole_number,
)
from gorsefork.wire.tokens import (
    Claims,
    MalformedToken,
    NoToken,
    Tenant,
    Tenants,
    TenantsUnavailable,
    read_bearer_token,
)

CALL_IDS = itertools.count(1)
RETRY_AFTER_S = 1.0  # s: what a client is advised while the server cannot be asked
TOKEN_IN_QUERY = re.compile(r"[?&]access_token=", re.IGNORECASE)
MAX_DECODINGS = 4  # times that a server might decode a path: what is deeper is refused unread
MIN_UNITS = 1.0  # of a call's guess, whatever its client says: what it used in truth is settled later


def challenge(error: str = "", scope: str = "") -> tuple[str, str]:
    parts = ['realm="gorsefork"']
    parts += [f'error="{error}"'] if error else []
    parts += [f'scope="{scope}"'] if scope else []
    return "WWW-Authenticate", "Bearer " + ", ".join(parts)


INVALID_TOKEN = DeniedAnswer(401, (challenge("invalid_token"),))
UNAVAILABLE = DeniedAnswer(503, (("Retry-After", str(round(RETRY_AFTER_S))),))
MAY_HAVE_RUN = DeniedAnswer(502)


def is_unambiguous_path(path: str) -> bool:
    """Whether every server resolves ``path`` (without its query) to the segments that stand in it.

    Guards against a path whose first segment is one class while a backend that resolves dot segments or
    decodes a slash (RFC 3986, 5.2.4 and 6.2.2), or takes a backslash for one, runs another class than the
    token was checked for.
    """
    for _ in range(MAX_DECODINGS):
        segments = path.split("/")
        if "\\" in path or any(segment.partition(";")[0] in (".", "..") for segment in segments):
            return False
        decoded = unquote(path, "latin-1")
        if decoded == path:
            return True
        if decoded.count("/") != path.count("/"):
            return False
        path = decoded
    return False


class TokenChecker:
    """One check of a token for a class: the claims, or the answer that the call gets instead."""

    def __init__(self, client: IntrospectionClient, scopes: Mapping[str, str], audience: str) -> None:
        self.client, self.scopes, self.audience = client, scopes, audience

    async def check(self, token: str, cls: str, within: float) -> Claims | DeniedAnswer:
        """Fails closed: what cannot be told is not let through."""
        try:
            claims = await self.client.check(token, within)
        except IntrospectionUnavailable:
            return UNAVAILABLE
        if claims is None or (self.audience and self.audience not in claims.audience):
            return INVALID_TOKEN
        scope = self.scopes.get(cls, "")
        if scope and scope not in claims.scopes:
            return DeniedAnswer(403, (challenge("insufficient_scope", scope),))
        return claims


@dataclass(slots=True, eq=False)
class TokenPermit:
    """Guards against a purchase on a token that was revoked after its check, or between two attempts."""

    checker: TokenChecker
    clock: Clock
    token: str = field(repr=False)
    class_name: str
    max_age_us: int
    checked_at: int  # when the check began: what it told was true at that time or later
    expires: int = 0  # Unix s

    async def renew(self, delegation: BackendAttempt) -> bool:
        now, call = self.clock.now, delegation.call
        lapsed = 0 < self.expires <= self.clock.unix(now)
        if delegation.number == 0 and now - self.checked_at <= self.max_age_us and not lapsed:
            return True
        verdict = await self.checker.check(self.token, self.class_name, (delegation.deadline - now) / SECOND)
        if isinstance(verdict, Claims):
            self.checked_at, self.expires = now, verdict.expires
            return True
        if verdict is not UNAVAILABLE:
            call.finish(verdict)
        elif call.open_attempts() <= 1:  # else an earlier one, sent on a good token, may yet be served
            # 'Trying again is harmless' is no longer true once one might have run.
            call.finish(MAY_HAVE_RUN if call.may_have_run() else verdict)
        return False


@dataclass(frozen=True, slots=True)
class TokenRequest:
    """What a request asks for, before anyone knows whose it is."""

    class_index: int
    token: str = field(repr=False)
    trace_id: str
    units: float
    deadline: int


class IntrospectionFront:
    """Same core, deadlines and quotas as the platform's front; ``start`` runs a task for it."""

    whole_seconds, streams_bodies = True, False

    def __init__(
        self,
        settings: i.Settings,
        gate: TokenChecker,
        tenants: Tenants,
        claim: str,
        max_age_ms: int,
        clock: Clock,
        take: Callable[[Call], None],
        gone: Callable[[Call], None],
        ready: Callable[[], bool],
    ) -> None:
        self.settings, self.checker, self.tenants, self.claim = settings, gate, tenants, claim
        self.max_age_us, self.clock = max_age_ms * 1000, clock
        self.accept_call, self.client_gone, self.ready = take, gone, ready
        self.reader = CallReader(settings)
        self.start: Callable[[Callable[[], Awaitable[None]]], None]

    def begin(self, exchange: Exchange) -> None:
        if exchange.target == "/healthz":
            exchange.deny(200 if self.ready() else 503)
            return
        try:
            order = self.read(exchange)
        except InvalidRequest as bad:
            exchange.reply(bad.answer)
        except NoToken:
            exchange.deny(401, challenge())
        except MalformedToken:
            exchange.deny(400, challenge("invalid_request"))
        else:
            if self.ready():
                self.start(partial(self.admit, exchange, order))
            else:
                exchange.reply(OverloadAnswer(RETRY_AFTER_S))

    def read(self, exchange: Exchange) -> TokenRequest:
        if not is_unambiguous_path(exchange.target.partition("?")[0]):
            raise InvalidRequest(400)
        cls = self.reader.read_class(exchange)
        if TOKEN_IN_QUERY.search(exchange.target):  # it would go on to the backend with the query
            raise MalformedToken
        token = read_bearer_token(exchange.text(b"authorization"))
        trace = exchange.text(b"x-trace-id") or secrets.token_hex(8)
        if not TRACE_ID_PATTERN.fullmatch(trace):
            raise InvalidRequest(400)
        most = round(self.settings.classes[cls].deadline * 1000)
        given = exchange.text(b"x-expires-in-ms")
        left_ms = min(most, parse_whole_number(given, 1, 86_400_000)) if given else most
        asked = exchange.text(b"x-metering")
        # Whose it is, and where, the token says.
        units = max(MIN_UNITS, self.reader.read_units(parse_metering(asked))) if asked else MIN_UNITS
        return TokenRequest(cls, token, trace, units, exchange.arrived_at + answer_time(left_ms * 1000))

    async def admit(self, exchange: Exchange, order: TokenRequest) -> None:
        """The check, within the call's own deadline; a client that leaves ends it."""
        began, name = self.clock.now, self.settings.classes[order.class_index].name
        with trio.CancelScope() as scope:
            exchange.on_client_left = scope.cancel
            verdict = await self.checker.check(order.token, name, (order.deadline - began) / SECOND)
            if isinstance(verdict, DeniedAnswer):
                exchange.reply(verdict)
                return
            left = (order.deadline - self.clock.now) / SECOND
            try:
                tenant = await self.tenants.lookup(verdict.names.get(self.claim, ""), left)
            except TenantsUnavailable:
                exchange.reply(UNAVAILABLE)
                return
            self.accept_checked(exchange, order, verdict, tenant, began)

    def accept_checked(
        self, exchange: Exchange, order: TokenRequest, claims: Claims, tenant: Tenant | None, checked_at: int
    ) -> None:
        if exchange.answered:
            return
        if tenant is None:
            exchange.deny(403, challenge("insufficient_scope"))
            return
        if self.clock.now >= order.deadline:
            exchange.reply(UNAVAILABLE)
            return
        cls, permit = self.settings.classes[order.class_index], None
        if cls.effect != "repeatable":
            permit = TokenPermit(
                self.checker, self.clock, order.token, cls.name, self.max_age_us, checked_at, claims.expires
            )
        call = Call(
            f"t{next(CALL_IDS):x}",
            exchange.method,
            exchange.target,
            bytes(exchange.body),
            order.trace_id,
            exchange.text(b"idempotency-key"),
            order.class_index,
            tenant.plan_index,
            tenant.customer,
            order.units,
            tenant.ingress_count,
            tenant.first_ingress,
            exchange.arrived_at,
            order.deadline,
            exchange.reply,
            permit=permit,
            client_has_left=exchange.client_has_left,
        )
        exchange.call, exchange.on_client_left = call, lambda: self.client_gone(call)
        self.accept_call(call)
