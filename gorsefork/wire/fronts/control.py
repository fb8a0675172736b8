"""The control front: the plan book and the export of use, for operators and other ingresses.

HTTP/1.1, JSON in and out (docs/operators/plans.md lists the calls). Every request is checked whole before it
does anything; a call with an ``Idempotency-Key``, or a number of its own, may be repeated.
"""

from __future__ import annotations

import hmac
from collections.abc import AsyncIterator, Awaitable, Callable, Mapping
from dataclasses import dataclass
from functools import partial
from typing import Annotated, Any, Protocol
from urllib.parse import parse_qsl, unquote

import msgspec
import trio
from msgspec import Meta

from gorsefork.memory.call import Answer, Denied, Served
from gorsefork.plans.book import Book, Standing, customers, differences
from gorsefork.plans.changes import MOST_TIME, Act, Change, Customer, Number, Refused
from gorsefork.plans.smallest import Smallest
from gorsefork.plans.spreading import Page
from gorsefork.wire.acceptor import Exchange

JSON, MSGPACK = "application/json", "application/msgpack"
MOST_WAITING = 32  # questions of peers that may stand open at once; more are answered at once
LONGEST_WAIT_MS = 20_000
MOST_ROWS = 500


class Keeper(Protocol):
    """Who keeps the book."""

    @property
    def book(self) -> Book: ...
    async def make(self, act: Act, author: str, note: str = "", key: str = "") -> Change: ...
    async def put(self, change: Change) -> Change: ...
    async def page(self, life: str, position: int, wait: float) -> Page: ...
    def number(self, text: str) -> Number: ...


class Wanted(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The body of a new change."""

    act: Act
    author: Annotated[str, Meta(min_length=1, max_length=64)]
    note: Annotated[str, Meta(max_length=200)] = ""


class Feed(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    life: Annotated[str, Meta(max_length=64)] = ""
    after: Annotated[int, Meta(ge=0)] = 0
    wait_ms: Annotated[int, Meta(ge=0, le=LONGEST_WAIT_MS)] = 0


class At(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """``at``: microseconds of Unix time, 0 for now. ``after``: the last customer, or number, had before."""

    at: Annotated[int, Meta(ge=0, le=MOST_TIME)] = 0
    after: Annotated[str, Meta(max_length=96)] = ""
    limit: Annotated[int, Meta(ge=1, le=MOST_ROWS)] = 100
    customer: Customer | None = None


class Span(msgspec.Struct, frozen=True, forbid_unknown_fields=True, rename={"since": "from"}):
    since: Annotated[str, Meta(max_length=96)] = ""
    to: Annotated[str, Meta(max_length=96)] = ""
    at: Annotated[int, Meta(ge=0, le=MOST_TIME)] = 0


def row(customer: str, standing: Standing | None) -> dict[str, Any]:
    if standing is None:
        return {"customer": customer, "entry": None, "reservations": [], "since": None}
    return {
        "customer": customer,
        "entry": shown(standing.entry),
        "since": standing.since,
        "reservations": [shown(change) for change in standing.reservations],
    }


def shown(change: Change | None) -> dict[str, Any] | None:
    """A change as operators see it: its number in one word. The caller's key is the caller's own."""
    if change is None:
        return None
    plain: dict[str, Any] = msgspec.to_builtins(change)
    return {"number": str(change.number), **{name: plain[name] for name in ("act", "author", "note")}}


@dataclass(frozen=True, slots=True)
class Asked:
    """One request, taken apart."""

    query: Mapping[str, str]
    body: bytes
    key: str
    accept: str


Handler = Callable[..., Awaitable[Any]]


class ControlFront:
    """``status`` and ``usage`` tell how things stand, ``export`` sends what waits; ``start`` runs a task."""

    whole_seconds, passes = True, False

    def __init__(
        self,
        keeper: Keeper,
        secret: str,
        now: Callable[[], int],
        status: Callable[[], dict[str, Any]],
        usage: Callable[[], dict[str, Any]],
        export: Callable[[], None],
    ) -> None:
        self.keeper, self.secret, self.now = keeper, secret.encode(), now
        self.tell_status, self.tell_usage, self.export_now = status, usage, export
        self.waiting = 0
        self.start: Callable[[Callable[[], Awaitable[None]]], None]
        self.routes: dict[tuple[str, str], Handler] = {
            ("GET", "status"): self.status,
            ("GET", "plans"): self.plans,
            ("GET", "plans/*"): self.plan,
            ("GET", "changes"): self.changes,
            ("GET", "changes/*"): self.change,
            ("POST", "changes"): self.make,
            ("PUT", "changes/*"): self.put,
            ("GET", "diff"): self.diff,
            ("GET", "feed"): self.feed,
            ("GET", "usage"): self.usage,
            ("POST", "usage/export"): self.export,
        }

    def begin(self, exchange: Exchange) -> None:
        if not self.allowed(exchange.headers.get(b"authorization", b"")):
            exchange.reply(
                problem(
                    401,
                    "the bearer key of this listener is needed",
                    ("WWW-Authenticate", 'Bearer realm="gorsefork"'),
                )
            )
            return
        path, _, query = exchange.target.partition("?")
        parts = [unquote(part) for part in path.split("/")[1:]]
        if len(parts) < 2 or parts[0] != "v1":
            exchange.reply(problem(404, f"no such call: {path}"))
            return
        routes = ["/".join(parts[1:])] + (["/".join([*parts[1:-1], "*"])] if len(parts) > 2 else [])
        handlers = {
            method: (self.routes[method, route], route)
            for route in reversed(routes)
            for method in ("GET", "POST", "PUT")
            if (method, route) in self.routes
        }
        if not handlers:
            exchange.reply(problem(404, f"no such call: {path}"))
        elif exchange.method not in handlers:
            exchange.reply(
                problem(405, f"{path} takes {', '.join(handlers)}", ("Allow", ", ".join(handlers)))
            )
        else:
            handler, route = handlers[exchange.method]
            pairs = parse_qsl(query, keep_blank_values=True)
            asked = Asked(
                dict(pairs), bytes(exchange.body), exchange.text(b"idempotency-key"), exchange.text(b"accept")
            )
            if len(asked.query) < len(pairs):
                exchange.reply(problem(400, "a parameter stands twice"))
                return
            self.start(partial(self.serve, exchange, handler, asked, parts[-1:] if "*" in route else []))

    def allowed(self, given: bytes) -> bool:
        return not self.secret or hmac.compare_digest(given, b"Bearer " + self.secret)

    async def serve(self, exchange: Exchange, handler: Handler, asked: Asked, names: list[str]) -> None:
        """A caller that leaves ends its question, but not a change that has begun: that is kept whole."""
        with trio.CancelScope() as scope:
            if exchange.method == "GET":
                exchange.left = scope.cancel
            exchange.reply(await self.answer(handler, asked, names))

    async def answer(self, handler: Handler, asked: Asked, names: list[str]) -> Answer:
        try:
            result = await handler(asked, *names)
        except Refused as refused:
            return problem(refused.status, str(refused))
        except msgspec.ValidationError as error:
            return problem(422, str(error))
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            return problem(400, f"the body is not JSON: {error}")
        return result if isinstance(result, Served) else Served(msgspec.json.encode(result), JSON)

    async def status(self, asked: Asked) -> Any:
        none(asked)
        return self.tell_status()

    async def usage(self, asked: Asked) -> Any:
        none(asked)
        return self.tell_usage()

    async def export(self, asked: Asked) -> Any:
        none(asked)
        self.export_now()
        return self.tell_usage()

    async def plans(self, asked: Asked) -> Any:
        page, book = msgspec.convert(asked.query, At, strict=False), self.keeper.book
        at = page.at or self.now()
        first: Smallest[dict[str, Any]] = Smallest(page.limit)
        async for place in places(book):
            for name in customers(book, place):
                if name > page.after and first.wants(name):
                    first.add(name, row(name, book.standing(name, at)))
        return {"at": at, "customers": first.values(), "more": first.more}

    async def plan(self, asked: Asked, customer: str) -> Any:
        page, book = msgspec.convert(asked.query, At, strict=False), self.keeper.book
        name = msgspec.convert(customer, Customer)
        at = page.at or self.now()
        return {
            "at": at,
            **row(name, book.standing(name, at)),
            "next": book.next_boundary(name, at),
            "history": [shown(change) for change in book.of_customer(name)],
        }

    async def changes(self, asked: Asked) -> Any:
        page, book = msgspec.convert(asked.query, At, strict=False), self.keeper.book
        after = self.keeper.number(page.after) if page.after else Number(0, "")
        first: Smallest[Change] = Smallest(page.limit)
        if page.customer is not None:
            first.add_all(change for change in book.of_customer(page.customer) if change.number > after)
        else:
            first.add_all(change for change in book.log.of_customer(None) if change.number > after)
            async for place in places(book):
                first.add_all(change for change in book.log.part(place) if change.number > after)
        return {"changes": [shown(change) for change in first.values()], "more": first.more}

    async def change(self, asked: Asked, text: str) -> Any:
        none(asked)
        found = self.keeper.book.get(self.keeper.number(text))
        if found is None:
            raise Refused(f"no change {text} here", 404)
        return found

    async def make(self, asked: Asked) -> Any:
        none(asked)
        if len(asked.key) > 128:
            raise Refused("Idempotency-Key: 128 characters at most", 400)
        wanted = msgspec.json.decode(asked.body, type=Wanted)
        made = await self.keeper.make(wanted.act, wanted.author, wanted.note, asked.key)
        return {"number": str(made.number), "change": made}

    async def put(self, asked: Asked, text: str) -> Any:
        none(asked)
        change = msgspec.json.decode(asked.body, type=Change)
        if change.number != self.keeper.number(text):
            raise Refused("the number in the path and that of the change differ", 400)
        kept = await self.keeper.put(change)
        return {"number": str(kept.number), "change": kept}

    async def diff(self, asked: Asked) -> Any:
        span, book = msgspec.convert(asked.query, Span, strict=False), self.keeper.book
        since = self.keeper.number(span.since) if span.since else Number(0, "")
        to = self.keeper.number(span.to) if span.to else None
        at = span.at or self.now()
        first: Smallest[dict[str, Any]] = Smallest(MOST_ROWS)
        async for place in places(book):
            changes = [*book.log.part(place), *book.log.of_customer(None)]
            old = Book.replay(change for change in changes if change.number <= since)
            new = Book.replay(change for change in changes if to is None or change.number <= to)
            for name, before, after in differences(old, new, at):
                both = {"customer": name, "before": row(name, before), "after": row(name, after)}
                first.add(name, both)
        return {"at": at, "customers": first.values(), "more": first.more}

    async def feed(self, asked: Asked) -> Any:
        feed = msgspec.convert(asked.query, Feed, strict=False)
        wait = feed.wait_ms / 1000 if self.waiting < MOST_WAITING else 0.0
        self.waiting += 1
        try:
            page = await self.keeper.page(feed.life, feed.after, wait)
        finally:
            self.waiting -= 1
        return Served(msgspec.msgpack.encode(page), MSGPACK) if asked.accept == MSGPACK else page


async def places(book: Book) -> AsyncIterator[int]:
    """The parts of the book's log; others run between two. A change that comes meanwhile is seen or not."""
    for place in range(book.log.parts):
        yield place
        await trio.lowlevel.checkpoint()


def none(asked: Asked) -> None:
    if asked.query:
        raise Refused(f"{next(iter(asked.query))}: is not known here", 400)


def problem(status: int, reason: str, *headers: tuple[str, str]) -> Denied:
    body = msgspec.json.encode({"error": reason})
    return Denied(status, (("Content-Type", JSON), *headers), body)
