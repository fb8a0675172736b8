"""The control listener's calls on the plan book; docs/operators/plans.md lists them.

Every request is checked whole before it does anything; a call with an ``Idempotency-Key``, or a number of its
own, may be repeated.
"""

from __future__ import annotations

from collections.abc import AsyncIterator, Callable
from typing import Annotated, Any, Protocol

import msgspec
import trio
from msgspec import Meta

from gorsefork.memory.call import Served
from gorsefork.plans.book import Book, Standing, customers, differences
from gorsefork.plans.changes import MOST_TIME, Act, Change, Customer, Number, Refused
from gorsefork.plans.smallest import Smallest
from gorsefork.plans.spreading import Page
from gorsefork.wire.fronts.control_request import MSGPACK, ControlRequest, Routes, refuse_query

LONGEST_WAIT_MS = 20_000
MOST_ROWS = 500
MOST_KEY = 128  # characters of an Idempotency-Key


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


class PlanCalls:
    """``now``: microseconds of Unix time. ``most_waiting``: questions of peers of the previous version that
    may stand open at once; more are answered at once."""

    def __init__(self, keeper: Keeper, now: Callable[[], int], most_waiting: int) -> None:
        self.keeper, self.now, self.most_waiting = keeper, now, most_waiting
        self.waiting = 0
        self.routes: Routes = {
            ("GET", "plans"): self.plans,
            ("GET", "plans/*"): self.plan,
            ("GET", "changes"): self.changes,
            ("GET", "changes/*"): self.change,
            ("POST", "changes"): self.make,
            ("PUT", "changes/*"): self.put,
            ("GET", "diff"): self.diff,
            ("GET", "feed"): self.feed,
        }

    async def plans(self, request: ControlRequest) -> Any:
        page, book = msgspec.convert(request.query, At, strict=False), self.keeper.book
        at = page.at or self.now()
        first: Smallest[dict[str, Any]] = Smallest(page.limit)
        async for place in places(book):
            for name in customers(book, place):
                if name > page.after and first.wants(name):
                    first.add(name, row(name, book.standing(name, at)))
        return {"at": at, "customers": first.values(), "more": first.more}

    async def plan(self, request: ControlRequest, customer: str) -> Any:
        page, book = msgspec.convert(request.query, At, strict=False), self.keeper.book
        name = msgspec.convert(customer, Customer)
        at = page.at or self.now()
        return {
            "at": at,
            **row(name, book.standing(name, at)),
            "next": book.next_boundary(name, at),
            "history": [shown(change) for change in book.of_customer(name)],
        }

    async def changes(self, request: ControlRequest) -> Any:
        page, book = msgspec.convert(request.query, At, strict=False), self.keeper.book
        after = self.keeper.number(page.after) if page.after else Number(0, "")
        first: Smallest[Change] = Smallest(page.limit)
        if page.customer is not None:
            first.add_all(change for change in book.of_customer(page.customer) if change.number > after)
        else:
            first.add_all(change for change in book.log.of_customer(None) if change.number > after)
            async for place in places(book):
                first.add_all(change for change in book.log.part(place) if change.number > after)
        return {"changes": [shown(change) for change in first.values()], "more": first.more}

    async def change(self, request: ControlRequest, text: str) -> Any:
        refuse_query(request)
        found = self.keeper.book.get(self.keeper.number(text))
        if found is None:
            raise Refused(f"no change {text} here", 404)
        return found

    async def make(self, request: ControlRequest) -> Any:
        refuse_query(request)
        if len(request.key) > MOST_KEY:
            raise Refused(f"Idempotency-Key: {MOST_KEY} characters at most", 400)
        wanted = msgspec.json.decode(request.body, type=Wanted)
        made = await self.keeper.make(wanted.act, wanted.author, wanted.note, request.key)
        return {"number": str(made.number), "change": made}

    async def put(self, request: ControlRequest, text: str) -> Any:
        refuse_query(request)
        change = msgspec.json.decode(request.body, type=Change)
        if change.number != self.keeper.number(text):
            raise Refused("the number in the path and that of the change differ", 400)
        kept = await self.keeper.put(change)
        return {"number": str(kept.number), "change": kept}

    async def diff(self, request: ControlRequest) -> Any:
        span, book = msgspec.convert(request.query, Span, strict=False), self.keeper.book
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

    async def feed(self, request: ControlRequest) -> Any:
        feed = msgspec.convert(request.query, Feed, strict=False)
        wait = feed.wait_ms / 1000 if self.waiting < self.most_waiting else 0.0
        self.waiting += 1
        try:
            page = await self.keeper.page(feed.life, feed.after, wait)
        finally:
            self.waiting -= 1
        return Served(msgspec.msgpack.encode(page), MSGPACK) if request.accept == MSGPACK else page


async def places(book: Book) -> AsyncIterator[int]:
    """The parts of the book's log; others run between two. A change that comes meanwhile is seen or not."""
    for place in range(book.log.parts):
        yield place
        await trio.lowlevel.checkpoint()
