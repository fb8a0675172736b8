"""Peers of the previous version, which know only ``GET /v1/feed``: asked for what is new, one at a time.

A fleet in the middle of a change of version has ingresses of both kinds. Each old one is asked by every new
one in turn, and what one of them learns there reaches the others by replication; so the cost of an ingress
is one question each ``REQUEST_INTERVAL_US``, however many old peers there are. To go with the next version.
"""

from __future__ import annotations

import math
import random
from collections.abc import Awaitable, Callable, Sequence
from urllib.parse import urlencode

import msgspec
import trio

from gorsefork.memory.clock import SECOND, Clock
from gorsefork.plans.change_feed import FeedCursor, Page
from gorsefork.plans.changes import Change
from gorsefork.wire.http1.client import NoAnswer
from gorsefork.wire.http1.client_pool import ClientPool, PoolLimits

REQUEST_INTERVAL_US = SECOND // 2  # us between two questions
ANSWER_TIMEOUT_S = 3.0  # s: an answer may be a whole book
MAX_BODY_BYTES = 16 << 20  # bytes: a whole book
MEDIA = "application/msgpack"


class FeedReader:
    """``learn`` takes changes in and says why some of them have to be asked for again, or nothing.

    ``reported`` hears of each answer: the peer's address and what was wrong with it, or nothing.
    """

    def __init__(
        self,
        authorization: str,
        clock: Clock,
        seed: int,
        learn: Callable[[Sequence[Change]], Awaitable[str]],
        reported: Callable[[str, str], None],
        headers: tuple[tuple[str, str], ...] = (),
    ) -> None:
        limits = PoolLimits(max_idle=2, max_requests=1, max_body=MAX_BODY_BYTES)
        self.pool = ClientPool(authorization, limits)
        self.clock, self.apply_changes, self.on_result = clock, learn, reported
        self.headers = (*headers, ("Accept", MEDIA))
        self.random = random.Random(seed)
        self.followers: dict[str, FeedCursor] = {}  # by address
        self.added = trio.Event()

    def add(self, address: str) -> None:
        if address not in self.followers:
            self.followers[address] = FeedCursor(address)
            self.added.set()

    def remove(self, address: str) -> None:
        self.followers.pop(address, None)
        if not self.followers:
            self.pool.close()

    async def run(self) -> None:
        while True:
            await self.ask(await self.next_due())
            await trio.sleep(REQUEST_INTERVAL_US / SECOND)

    async def next_due(self) -> FeedCursor:
        """The one that is to be asked first, once its time has come."""
        while True:
            self.added = trio.Event()
            due = min(self.followers.values(), key=lambda each: each.ask_at, default=None)
            deadline = math.inf if due is None else self.clock.trio_deadline(due.ask_at)
            with trio.move_on_at(deadline):
                await self.added.wait()
            if due is not None and trio.current_time() >= deadline and self.follows(due):
                return due

    def follows(self, follower: FeedCursor) -> bool:
        return self.followers.get(follower.address) is follower

    async def ask(self, follower: FeedCursor) -> None:
        problem = await self.read(follower)
        if problem:
            follower.failed(problem, self.clock.now, self.random.random())
        if self.follows(follower):
            self.on_result(follower.address, problem)

    async def read(self, follower: FeedCursor) -> str:
        """All that it has beyond what was read; what went wrong, or nothing."""
        while True:
            problem, page = await self.read_page(follower)
            if page is None or page.position >= page.newest:
                return problem

    async def read_page(self, follower: FeedCursor) -> tuple[str, Page | None]:
        """One answer, or why there is none."""
        query = urlencode({"life": follower.life, "after": follower.position, "wait_ms": 0})
        try:
            answer = await self.pool.request(
                follower.address, "GET", f"/v1/feed?{query}", within=ANSWER_TIMEOUT_S, headers=self.headers
            )
            if answer.status != 200:
                return f"answered {answer.status}", None
            page = msgspec.msgpack.decode(answer.body, type=Page)
        except NoAnswer as error:
            return str(error), None
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            return f"sent what cannot be read: {error}", None
        if problem := await self.apply_changes(page.changes):
            return problem, None
        follower.heard(page, self.clock.now)
        return "", page
