"""Peers of the previous version, which know only ``GET /v1/feed``: asked for what is new, one at a time.

A fleet in the middle of a change of version has ingresses of both kinds. Each old one is asked by every new
one in turn, and what one of them learns there reaches the others by replication; so the cost of an ingress
is one question each ``QUESTION_EVERY``, however many old peers there are. To go with the next version.
"""

from __future__ import annotations

import math
import random
from collections.abc import Awaitable, Callable, Sequence
from urllib.parse import urlencode

import msgspec
import trio

from gorsefork.memory.clock import SECOND, Clock
from gorsefork.plans.changes import Change
from gorsefork.plans.spreading import Follower, Page
from gorsefork.wire.http1.client import NoAnswer
from gorsefork.wire.http1.client_pool import ClientPool, PoolLimits

QUESTION_EVERY = SECOND // 2  # us between two questions
ANSWER_WITHIN = 3.0  # s: an answer may be a whole book
MOST_BODY = 16 << 20  # bytes: a whole book
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
        limits = PoolLimits(most_kept=2, most_at_once=1, most_body=MOST_BODY)
        self.pool = ClientPool(authorization, limits)
        self.clock, self.learn, self.reported = clock, learn, reported
        self.headers = (*headers, ("Accept", MEDIA))
        self.random = random.Random(seed)
        self.followers: dict[str, Follower] = {}  # by address
        self.added = trio.Event()

    def add(self, address: str) -> None:
        if address not in self.followers:
            self.followers[address] = Follower(address)
            self.added.set()

    def remove(self, address: str) -> None:
        self.followers.pop(address, None)
        if not self.followers:
            self.pool.close()

    async def run(self) -> None:
        while True:
            await self.ask(await self.next_due())
            await trio.sleep(QUESTION_EVERY / SECOND)

    async def next_due(self) -> Follower:
        """The one that is to be asked first, once its time has come."""
        while True:
            self.added = trio.Event()
            due = min(self.followers.values(), key=lambda each: each.ask_at, default=None)
            deadline = math.inf if due is None else self.clock.trio_deadline(due.ask_at)
            with trio.move_on_at(deadline):
                await self.added.wait()
            if due is not None and trio.current_time() >= deadline and self.follows(due):
                return due

    def follows(self, follower: Follower) -> bool:
        return self.followers.get(follower.dial) is follower

    async def ask(self, follower: Follower) -> None:
        problem = await self.read(follower)
        if problem:
            follower.failed(problem, self.clock.now, self.random.random())
        if self.follows(follower):
            self.reported(follower.dial, problem)

    async def read(self, follower: Follower) -> str:
        """All that it has beyond what was read; what went wrong, or nothing."""
        while True:
            problem, page = await self.read_page(follower)
            if page is None or page.position >= page.newest:
                return problem

    async def read_page(self, follower: Follower) -> tuple[str, Page | None]:
        """One answer, or why there is none."""
        query = urlencode({"life": follower.life, "after": follower.position, "wait_ms": 0})
        try:
            answer = await self.pool.ask(
                follower.dial, "GET", f"/v1/feed?{query}", within=ANSWER_WITHIN, headers=self.headers
            )
            if answer.status != 200:
                return f"answered {answer.status}", None
            page = msgspec.msgpack.decode(answer.body, type=Page)
        except NoAnswer as error:
            return str(error), None
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            return f"sent what cannot be read: {error}", None
        if problem := await self.learn(page.changes):
            return problem, None
        follower.heard(page, self.clock.now)
        return "", page
