"""The platform's front: its heads to calls, and nothing else."""

from __future__ import annotations

import itertools
import re
from collections.abc import Callable, Mapping

from gorsefork.decisions import interface as i
from gorsefork.memory.call import Call, Denied, Overload
from gorsefork.wire.http1.exchange import UPLOAD_MOST, Exchange, answer_within

IDS = itertools.count(1)
CUSTOMER = re.compile(r"[0-9a-fA-F]{16}")
CUSTOMERS = 1 << 33  # every customer's number is below
UNITS = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?")
KEY = re.compile(r"[!-~]([ -~]{0,253}[!-~])?")
TRACE = re.compile(r"[!-~]{1,128}")
METHODS = {"repeatable": "GET"}
NOT_READY_ADVICE = 0.5  # s until a client may try again while this ingress starts


class BadCall(Exception):
    """A request that is no call, and the answer it gets."""

    def __init__(self, status: int, *headers: tuple[str, str]) -> None:
        super().__init__(status)
        self.denied = Denied(status, headers)


class PlatformFront:
    """``take`` and ``gone`` are the core's; ``ready``: all is up; ``healthy``: what clients hear."""

    whole_seconds, passes = False, True

    def __init__(
        self,
        settings: i.Settings,
        take: Callable[[Call], None],
        gone: Callable[[Call], None],
        ready: Callable[[], bool],
        healthy: Callable[[], bool],
    ) -> None:
        self.take, self.gone, self.ready, self.healthy = take, gone, ready, healthy
        self.reader = CallReader(settings)

    def begin(self, exchange: Exchange) -> None:
        if exchange.target == "/healthz":
            exchange.deny(200 if self.healthy() else 503)
            return
        try:
            call = self.reader.read(exchange)
        except BadCall as bad:
            exchange.reply(bad.denied)
            return
        if not self.ready():
            exchange.reply(Overload(NOT_READY_ADVICE))
            return
        exchange.call, exchange.left = call, lambda: self.gone(call)
        self.take(call)


class CallReader:
    """Reads a request strictly: what is unknown or malformed gets a clean 4xx."""

    def __init__(self, settings: i.Settings) -> None:
        self.classes = {cls.name: number for number, cls in enumerate(settings.classes)}
        self.plans = {plan.name: number for number, plan in enumerate(settings.plans)}
        self.settings = settings

    def cls(self, exchange: Exchange) -> int:
        path = exchange.target.partition("?")[0]
        number = self.classes.get(path[1:].partition("/")[0]) if path.startswith("/") else None
        if number is None:
            raise BadCall(404)
        effect = self.settings.classes[number].effect
        method = METHODS.get(effect, "POST")
        if exchange.method != method:
            raise BadCall(405, ("Allow", method))
        key = exchange.text(b"idempotency-key")
        if (effect == "by_key" or key) and not KEY.fullmatch(key):  # it goes on as it came, or not at all
            raise BadCall(400)
        return number

    def read(self, exchange: Exchange) -> Call:
        cls, trace = self.cls(exchange), exchange.text(b"x-trace-id")
        plan = self.plans.get(exchange.text(b"x-contract"))
        customer = exchange.text(b"x-client-id")
        if plan is None or not TRACE.fullmatch(trace) or not CUSTOMER.fullmatch(customer):
            raise BadCall(400)
        if int(customer, 16) >= CUSTOMERS:
            raise BadCall(400)
        within = answer_within(whole(exchange.text(b"x-expires-in-ms"), 1, 86_400_000) * 1000)
        values, ingresses = metering(exchange.text(b"x-metering")), self.settings.gatekeepers
        spread, first = values.get("spread", ""), values.get("first", "")
        # What is passed on has its time from its last byte; until then the upload's own bounds hold.
        ends_at = exchange.came_at + within + (0 if exchange.flow is None else UPLOAD_MOST)
        return Call(
            f"{next(IDS):x}",
            exchange.method,
            exchange.target,
            bytes(exchange.body),
            trace,
            exchange.text(b"idempotency-key"),
            cls,
            plan,
            customer.lower(),
            self.units(values),
            whole(spread, 1, ingresses),
            whole(first, 0, ingresses - 1),
            exchange.came_at,
            ends_at,
            exchange.reply,
            exchange.text(b"x-second-try") == "1",
            flow=exchange.flow,
            left=within,
            client_left=exchange.client_left,
        )

    def units(self, values: Mapping[str, str]) -> float:
        """Guards against a client that draws a customer's quota empty with one request."""
        if not UNITS.fullmatch(values.get("units", "")):
            raise BadCall(400)
        units = float(values["units"])
        if not 0.0 < units <= self.settings.accounting.most_units:
            raise BadCall(400)
        return units


def whole(text: str, least: int, most: int) -> int:
    if not text.isascii() or not text.isdigit() or len(text) > 9 or not least <= int(text) <= most:
        raise BadCall(400)
    return int(text)


def metering(text: str) -> dict[str, str]:
    """``units``, ``spread`` and ``first``, each at most once; what else is named there is not ours."""
    pairs = [part.strip().partition("=") for part in text.split(",")]
    values = {name: value for name, _, value in pairs}
    if len(values) < len(pairs):
        raise BadCall(400)
    return values
