"""The other ingresses' books: each fellow is asked for what it has that is missing here, over and over."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable, Sequence
from urllib.parse import urlencode

import msgspec
import trio

from gorsefork.memory.clock import SECOND, Clock
from gorsefork.memory.ports import Log
from gorsefork.plans.changes import Change
from gorsefork.plans.spreading import Follower, Page
from gorsefork.wire.http1.client import HttpClient, NoAnswer

WAIT_MS = 10_000  # that a question may stand at a fellow that has nothing new
PATIENCE = 3.0  # s on top of that for its answer
STALE_AFTER = 3 * WAIT_MS * 1000  # us without a word
MOST_BODY = 16 << 20  # a whole book
MEDIA = "application/msgpack"


class Fellows:
    """One task a fellow. What a fellow tells that cannot be read is a fault of that fellow alone. Those of
    the file stay; others come and go with the fleet's view."""

    def __init__(
        self,
        dials: Sequence[str],
        authorization: str,
        clock: Clock,
        seed: int,
        learn: Callable[[Sequence[Change]], Awaitable[str]],
        log: Log,
    ) -> None:
        self.fixed = tuple(dials)
        self.followers = [Follower(dial) for dial in dials]
        self.scopes: dict[str, trio.CancelScope] = {}
        self.nursery: trio.Nursery | None = None
        self.authorization, self.clock, self.learn, self.log = authorization, clock, learn, log
        self.rng = random.Random(seed)
        self.asked = trio.Event()  # all have been, once at least

    async def run(self) -> None:
        async with trio.open_nursery() as self.nursery:
            for follower in self.followers:
                self.nursery.start_soon(self.follow, follower)
            if not self.followers:
                self.asked.set()
            await trio.sleep_forever()

    def want(self, dials: Sequence[str]) -> None:
        """Follow these beside those of the file, and no others."""
        wanted = dict.fromkeys((*self.fixed, *dials))
        for follower in [each for each in self.followers if each.dial not in wanted]:
            self.followers.remove(follower)
            if (scope := self.scopes.get(follower.dial)) is not None:
                scope.cancel()
        known = {each.dial for each in self.followers}
        for dial in wanted:
            if dial not in known:
                self.followers.append(follower := Follower(dial))
                if self.nursery is not None:
                    self.nursery.start_soon(self.follow, follower)

    async def follow(self, follower: Follower) -> None:
        if follower not in self.followers:
            return  # no longer wanted by the time it could begin
        client = HttpClient(follower.dial, self.authorization, MOST_BODY)
        with trio.CancelScope() as scope:
            self.scopes[follower.dial] = scope
            try:
                await self.keep_asking(client, follower)
            finally:
                client.close()
                if self.scopes.get(follower.dial) is scope:
                    del self.scopes[follower.dial]

    async def keep_asking(self, client: HttpClient, follower: Follower) -> None:
        while True:
            await trio.sleep_until(self.clock.trio_deadline(follower.ask_at))
            before = follower.state(self.clock.now, STALE_AFTER)
            problem = await self.ask(client, follower)
            if problem:
                if not follower.problem:
                    self.log(
                        f"{follower.dial}: {problem}",
                        event="fellow.unheard",
                        fellow=follower.dial,
                        reason=problem,
                    )
                follower.failed(problem, self.clock.now, self.rng.random())
            elif before != "current":
                self.log(f"{follower.dial} is heard", event="fellow.heard", fellow=follower.dial)
            if all(each.asked for each in self.followers):
                self.asked.set()

    async def ask(self, client: HttpClient, follower: Follower) -> str:
        """One question; what went wrong, or nothing. The first one does not wait over there."""
        wait_ms = WAIT_MS if follower.heard_at is not None and not follower.problem else 0
        query = urlencode({"life": follower.life, "after": follower.position, "wait_ms": wait_ms})
        try:
            answer = await client.ask(
                "GET", f"/v1/feed?{query}", within=wait_ms / 1000 + PATIENCE, headers=(("Accept", MEDIA),)
            )
            if answer.status != 200:
                return f"answered {answer.status}"
            page = msgspec.msgpack.decode(answer.body, type=Page)
        except NoAnswer as error:
            return str(error)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            return f"sent what cannot be read: {error}"
        if problem := await self.learn(page.changes):
            return problem  # and the same is asked for again, later
        follower.heard(page, self.clock.now)
        if not page.changes and wait_ms < 1000 and page.position == page.newest:
            follower.ask_at = self.clock.now + SECOND // 20
        return ""
