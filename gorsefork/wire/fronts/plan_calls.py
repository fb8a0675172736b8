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

from gorsefork.memory.call import ServedAnswer
from gorsefork.plans.book import EffectivePlan, PlanBook, customers_in_part, differences
from gorsefork.plans.change_feed import Page
from gorsefork.plans.changes import MAX_TIME_US, Act, Change, ChangeNumber, ChangeRefused, Customer
from gorsefork.plans.smallest_by_key import SmallestByKey
from gorsefork.wire.fronts.control_request import MSGPACK, ControlRequest, Routes, reject_query

MAX_WAIT_MS = 20_000
MAX_ROWS = 500
MAX_KEY_LENGTH = 128  # characters of an Idempotency-Key


class PlanService(Protocol):
    """Who keeps the book."""

    @property
    def book(self) -> PlanBook: ...
    async def make(self, act: Act, author: str, note: str = "", key: str = "") -> Change: ...
    async def put(self, change: Change) -> Change: ...
    async def page(self, life: str, position: int, wait: float) -> Page: ...
    def parse_number(self, text: str) -> ChangeNumber: ...


class NewChange(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The body of a new change."""

    act: Act
    author: Annotated[str, Meta(min_length=1, max_length=64)]
    note: Annotated[str, Meta(max_length=200)] = ""


class FeedQuery(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    life: Annotated[str, Meta(max_length=64)] = ""
    after: Annotated[int, Meta(ge=0)] = 0
    wait_ms: Annotated[int, Meta(ge=0, le=MAX_WAIT_MS)] = 0


class PageQuery(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """``at``: microseconds of Unix time, 0 for now. ``after``: the last customer, or number, had before."""

    at: Annotated[int, Meta(ge=0, le=MAX_TIME_US)] = 0
    after: Annotated[str, Meta(max_length=96)] = ""
    limit: Annotated[int, Meta(ge=1, le=MAX_ROWS)] = 100
    customer: Customer | None = None


class DiffQuery(msgspec.Struct, frozen=True, forbid_unknown_fields=True, rename={"since": "from"}):
    since: Annotated[str, Meta(max_length=96)] = ""
    to: Annotated[str, Meta(max_length=96)] = ""
    at: Annotated[int, Meta(ge=0, le=MAX_TIME_US)] = 0


def plan_row(customer: str, standing: EffectivePlan | None) -> dict[str, Any]:
    if standing is None:
        return {"customer": customer, "entry": None, "reservations": [], "since": None}
    return {
        "customer": customer,
        "entry": change_row(standing.entry),
        "since": standing.since,
        "reservations": [change_row(change) for change in standing.reservations],
    }


def change_row(change: Change | None) -> dict[str, Any] | None:
    """A change as operators see it: its number in one word. The caller's key is the caller's own."""
    if change is None:
        return None
    plain: dict[str, Any] = msgspec.to_builtins(change)
    return {"number": str(change.number), **{name: plain[name] for name in ("act", "author", "note")}}


class PlanCalls:
    """``now``: microseconds of Unix time. ``most_waiting``: questions of peers of the previous version that
    may stand open at once; more are answered at once."""

    def __init__(self, keeper: PlanService, now: Callable[[], int], most_waiting: int) -> None:
        self.plan_service, self.now, self.max_waiting = keeper, now, most_waiting
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
        page, book = msgspec.convert(request.query, PageQuery, strict=False), self.plan_service.book
        at = page.at or self.now()
        first: SmallestByKey[dict[str, Any]] = SmallestByKey(page.limit)
        async for place in log_parts(book):
            for name in customers_in_part(book, place):
                if name > page.after and first.wants(name):
                    first.add(name, plan_row(name, book.effective_plan(name, at)))
        return {"at": at, "customers": first.values(), "more": first.more}

    async def plan(self, request: ControlRequest, customer: str) -> Any:
        page, book = msgspec.convert(request.query, PageQuery, strict=False), self.plan_service.book
        name = msgspec.convert(customer, Customer)
        at = page.at or self.now()
        return {
            "at": at,
            **plan_row(name, book.effective_plan(name, at)),
            "next": book.next_boundary(name, at),
            "history": [change_row(change) for change in book.of_customer(name)],
        }

    async def changes(self, request: ControlRequest) -> Any:
        page, book = msgspec.convert(request.query, PageQuery, strict=False), self.plan_service.book
        after = self.plan_service.parse_number(page.after) if page.after else ChangeNumber(0, "")
        first: SmallestByKey[Change] = SmallestByKey(page.limit)
        if page.customer is not None:
            first.add_all(change for change in book.of_customer(page.customer) if change.number > after)
        else:
            first.add_all(change for change in book.log.of_customer(None) if change.number > after)
            async for place in log_parts(book):
                first.add_all(change for change in book.log.part(place) if change.number > after)
        return {"changes": [change_row(change) for change in first.values()], "more": first.more}

    async def change(self, request: ControlRequest, text: str) -> Any:
        reject_query(request)
        found = self.plan_service.book.get(self.plan_service.parse_number(text))
        if found is None:
            raise ChangeRefused(f"no change {text} here", 404)
        return found

    async def make(self, request: ControlRequest) -> Any:
        reject_query(request)
        if len(request.key) > MAX_KEY_LENGTH:
            raise ChangeRefused(f"Idempotency-Key: {MAX_KEY_LENGTH} characters at most", 400)
        wanted = msgspec.json.decode(request.body, type=NewChange)
        made = await self.plan_service.make(wanted.act, wanted.author, wanted.note, request.key)
        return {"number": str(made.number), "change": made}

    async def put(self, request: ControlRequest, text: str) -> Any:
        reject_query(request)
        change = msgspec.json.decode(request.body, type=Change)
        if change.number != self.plan_service.parse_number(text):
            raise ChangeRefused("the number in the path and that of the change differ", 400)
        kept = await self.plan_service.put(change)
        return {"number": str(kept.number), "change": kept}

    async def diff(self, request: ControlRequest) -> Any:
        span, book = msgspec.convert(request.query, DiffQuery, strict=False), self.plan_service.book
        since = self.plan_service.parse_number(span.since) if span.since else ChangeNumber(0, "")
        to = self.plan_service.parse_number(span.to) if span.to else None
        at = span.at or self.now()
        first: SmallestByKey[dict[str, Any]] = SmallestByKey(MAX_ROWS)
        async for place in log_parts(book):
            changes = [*book.log.part(place), *book.log.of_customer(None)]
            old = PlanBook.replay(change for change in changes if change.number <= since)
            new = PlanBook.replay(change for change in changes if to is None or change.number <= to)
            for name, before, after in differences(old, new, at):
                both = {"customer": name, "before": plan_row(name, before), "after": plan_row(name, after)}
                first.add(name, both)
        return {"at": at, "customers": first.values(), "more": first.more}

    async def feed(self, request: ControlRequest) -> Any:
        feed = msgspec.convert(request.query, FeedQuery, strict=False)
        wait = feed.wait_ms / 1000 if self.waiting < self.max_waiting else 0.0
        self.waiting += 1
        try:
            page = await self.plan_service.page(feed.life, feed.after, wait)
        finally:
            self.waiting -= 1
        return ServedAnswer(msgspec.msgpack.encode(page), MSGPACK) if request.accept == MSGPACK else page


async def log_parts(book: PlanBook) -> AsyncIterator[int]:
    """The parts of the book's log; others run between two. A change that comes meanwhile is seen or not."""
    for place in range(book.log.parts):
        yield place
        await trio.lowlevel.checkpoint()
