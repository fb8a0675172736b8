"""The platform's front: its heads to calls, and nothing else."""

from __future__ import annotations

import itertools
import re
from collections.abc import Callable, Mapping

from gorsefork.decisions import interface as i
from gorsefork.memory.call import Call, DeniedAnswer, OverloadAnswer
from gorsefork.wire.http1.exchange import MAX_UPLOAD_US, Exchange, answer_time

CALL_IDS = itertools.count(1)
CUSTOMER_PATTERN = re.compile(r"[0-9a-fA-F]{16}")
CUSTOMER_LIMIT = 1 << 33  # every customer's number is below
UNITS_PATTERN = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?")
IDEMPOTENCY_KEY_PATTERN = re.compile(r"[!-~]([ -~]{0,253}[!-~])?")
TRACE_ID_PATTERN = re.compile(r"[!-~]{1,128}")
METHOD_BY_EFFECT = {"repeatable": "GET"}
NOT_READY_RETRY_AFTER_S = 0.5  # s until a client may try again while this ingress starts


class InvalidRequest(Exception):
    """A request that is no call, and the answer it gets."""

    def __init__(self, status: int, *headers: tuple[str, str]) -> None:
        super().__init__(status)
        self.answer = DeniedAnswer(status, headers)


class PlatformFront:
    """``take`` and ``gone`` are the core's; ``ready``: all is up; ``healthy``: what clients hear."""

    whole_seconds, streams_bodies = False, True

    def __init__(
        self,
        settings: i.Settings,
        take: Callable[[Call], None],
        gone: Callable[[Call], None],
        ready: Callable[[], bool],
        healthy: Callable[[], bool],
    ) -> None:
        self.accept_call, self.client_gone, self.ready, self.healthy = take, gone, ready, healthy
        self.reader = CallReader(settings)

    def begin(self, exchange: Exchange) -> None:
        if exchange.target == "/healthz":
            exchange.deny(200 if self.healthy() else 503)
            return
        try:
            call = self.reader.read(exchange)
        except InvalidRequest as bad:
            exchange.reply(bad.answer)
            return
        if not self.ready():
            exchange.reply(OverloadAnswer(NOT_READY_RETRY_AFTER_S))
            return
        exchange.call, exchange.on_client_left = call, lambda: self.client_gone(call)
        self.accept_call(call)


class CallReader:
    """Reads a request strictly: what is unknown or malformed gets a clean 4xx."""

    def __init__(self, settings: i.Settings) -> None:
        self.classes = {cls.name: number for number, cls in enumerate(settings.classes)}
        self.plans = {plan.name: number for number, plan in enumerate(settings.plans)}
        self.settings = settings

    def read_class(self, exchange: Exchange) -> int:
        path = exchange.target.partition("?")[0]
        number = self.classes.get(path[1:].partition("/")[0]) if path.startswith("/") else None
        if number is None:
            raise InvalidRequest(404)
        effect = self.settings.classes[number].effect
        method = METHOD_BY_EFFECT.get(effect, "POST")
        if exchange.method != method:
            raise InvalidRequest(405, ("Allow", method))
        key = exchange.text(b"idempotency-key")
        if (effect == "by_key" or key) and not IDEMPOTENCY_KEY_PATTERN.fullmatch(key):
            # it goes on as it came, or not at all
            raise InvalidRequest(400)
        return number

    def read(self, exchange: Exchange) -> Call:
        cls, trace = self.read_class(exchange), exchange.text(b"x-trace-id")
        plan = self.plans.get(exchange.text(b"x-contract"))
        customer = exchange.text(b"x-client-id")
        if plan is None or not TRACE_ID_PATTERN.fullmatch(trace) or not CUSTOMER_PATTERN.fullmatch(customer):
            raise InvalidRequest(400)
        if int(customer, 16) >= CUSTOMER_LIMIT:
            raise InvalidRequest(400)
        within = answer_time(parse_whole_number(exchange.text(b"x-expires-in-ms"), 1, 86_400_000) * 1000)
        values, ingresses = parse_metering(exchange.text(b"x-metering")), self.settings.ingresses
        spread, first = values.get("spread", ""), values.get("first", "")
        # What is passed on has its time from its last byte; until then the upload's own bounds hold.
        ends_at = exchange.arrived_at + within + (0 if exchange.body_stream is None else MAX_UPLOAD_US)
        return Call(
            f"{next(CALL_IDS):x}",
            exchange.method,
            exchange.target,
            bytes(exchange.body),
            trace,
            exchange.text(b"idempotency-key"),
            cls,
            plan,
            customer.lower(),
            self.read_units(values),
            parse_whole_number(spread, 1, ingresses),
            parse_whole_number(first, 0, ingresses - 1),
            exchange.arrived_at,
            ends_at,
            exchange.reply,
            exchange.text(b"x-second-try") == "1",
            body_stream=exchange.body_stream,
            answer_time=within,
            client_has_left=exchange.client_has_left,
        )

    def read_units(self, values: Mapping[str, str]) -> float:
        """Guards against a client that draws a customer's quota empty with one request."""
        if not UNITS_PATTERN.fullmatch(values.get("units", "")):
            raise InvalidRequest(400)
        units = float(values["units"])
        if not 0.0 < units <= self.settings.accounting.max_units:
            raise InvalidRequest(400)
        return units


def parse_whole_number(text: str, least: int, most: int) -> int:
    if not text.isascii() or not text.isdigit() or len(text) > 9 or not least <= int(text) <= most:
        raise InvalidRequest(400)
    return int(text)


def parse_metering(text: str) -> dict[str, str]:
    """``units``, ``spread`` and ``first``, each at most once; what else is named there is not ours."""
    pairs = [part.strip().partition("=") for part in text.split(",")]
    values = {name: value for name, _, value in pairs}
    if len(values) < len(pairs):
        raise InvalidRequest(400)
    return values
