"""Discovery on the wire: the list once, then one watch after another."""

from __future__ import annotations

import json
import math
import random
import sys
from collections.abc import Iterator, Mapping, Sequence
from contextlib import contextmanager
from dataclasses import replace
from typing import Any

import h11
import trio

from gorsefork.decisions.interface import State
from gorsefork.memory.backoff import Backoff
from gorsefork.memory.clock import Clock
from gorsefork.memory.registry import AT_ONCE, PIECE, PIECE_PAUSE, Host, News, Registry
from gorsefork.wire.stream import Stream, address, connect

STATES: Mapping[str, State] = {"active": "ready", "leaving": "draining", "left": "gone"}
# A change counts as told 6 s after discovery had it and could be reached, whatever became of our calls: two
# that come to nothing, one behind the other, and the beginning of a third are to fit in that.
ASK_WITHIN, ASK_SPREAD = 2.75, 0.7  # s; at the longest pauses a chance part of it, or a fleet asks in step
WAIT_MS, ANSWER_WITHIN = 2500, 0.5  # a watch; s beyond its wait: then it has fallen silent, and is broken
WHOLE_WITHIN, CONNECT_WITHIN = 1.0, 0.25  # s for the whole list; for a connection
PAUSE, PAUSE_MOST = 0.1, 2.0  # s before a call that failed is made again: at first, and after many failures
PAUSE_EACH, PAUSE_MOST_EACH = 0.0125, 0.2  # the same for each ingress of the fleet, where that is more
SPREAD_EACH, SPREAD_MOST = 0.075, 3.0  # s for each over which their first watches begin; at most
# This machine's agent answers at no cost, and what it has counts as told: a drain allows 0.25 s from there.
# It is asked at once for what is new, on each new connection, and again as soon as it may be back.
AGENT_WAIT_MS, AGENT_WITHIN, AGENT_PAUSE = 1500, 0.2, 0.033
MOST_BYTES = 4 << 20


class BadList(Exception):
    """An answer of discovery that cannot be read."""


@contextmanager
def readable() -> Iterator[None]:
    """What can't be read ends in ``BadList``."""
    try:
        yield
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
        raise BadList(f"discovery's list: {type(error).__name__}: {error}") from None


def read_list(raw: Any, clock: Clock, cached: bool = False) -> News:
    """A list in discovery's form; Unix times become times of this machine's clock here."""
    with readable():
        return as_news(raw, [read_host(entry, clock) for entry in raw["hosts"]], cached)


def parse(body: bytearray) -> Any:
    """An answer's JSON, in one step."""
    try:
        return json.loads(body)
    except (ValueError, RecursionError):
        raise BadList("discovery's list is not JSON") from None


async def read_in_steps(raw: Any, clock: Clock, pause: float = 0.0) -> News:
    """As ``read_list``; more than ``AT_ONCE`` entries in such steps, with so many seconds between two."""
    with readable():
        entries, hosts = raw["hosts"], list[Host]()
        size = PIECE if len(entries) > AT_ONCE else AT_ONCE
        for start in range(0, len(entries), size):
            hosts += [read_host(entry, clock) for entry in entries[start : start + size]]
            if start + size < len(entries):
                await trio.sleep(pause)
        return as_news(raw, hosts, cached=False)


def as_news(raw: Any, hosts: Sequence[Host], cached: bool) -> News:
    kind = "cached" if cached else "full" if raw["whole"] else "delta"
    return News(kind, int(raw["seq"]), tuple(hosts))  # type: ignore[arg-type]


def read_host(entry: Mapping[str, Any], clock: Clock) -> Host:
    born = int(entry.get("born_ms", 0))
    address(entry["dial"])  # one that cannot be dialled is found here, not at the first send
    return Host(
        str(entry["host"]),
        str(entry["dial"]),
        STATES[entry["health"]],
        clock.from_unix_ms(born) if born else 0,
        sys.intern(str(entry.get("site", ""))),  # one text for all entries that have it
        sys.intern(str(entry.get("class", ""))),
        int(entry.get("block", 0)),
        float(entry.get("share", 1.0)),
    )


class DiscoveryWatch:
    """Keeps a watch up. While discovery is silent the list stays as it is and the watch is tried again.

    ``fleet`` is how many ingresses share what discovery can serve. It is 0 where the list is pushed to an
    agent on this machine: that answers at no cost, and what it has counts as told, whenever it is asked.
    """

    def __init__(
        self, dial: str, registry: Registry, clock: Clock, version: int, rng: random.Random, fleet: int = 1
    ) -> None:
        most = min(ASK_WITHIN, max(PAUSE_MOST, PAUSE_MOST_EACH * fleet)) if fleet else AGENT_PAUSE
        self.backoff = Backoff(min(most, max(PAUSE, PAUSE_EACH * fleet)), most, rng)
        self.rng, self.agent = rng, not fleet
        self.wait_ms, self.within = (1, AGENT_WITHIN) if self.agent else (WAIT_MS, ANSWER_WITHIN)
        self.asked_at = -math.inf
        self.dial, self.registry, self.clock, self.version = dial, registry, clock, version
        self.whole_next = not registry.hosts  # what is known already is not asked for again
        # Guards against a fleet that starts together: a watch that begins is work for discovery, one that
        # lasts costs little, and all at once are turned away and come back as one crowd. With nothing known
        # there is nothing to serve by until it is asked.
        self.begin_in = 0.0 if self.whole_next else rng.uniform(0.0, min(SPREAD_MOST, SPREAD_EACH * fleet))
        self.answered, self.heard_at = trio.Event(), 0
        self.asking = trio.CancelScope()

    def fetch(self) -> None:
        """The module asks for the whole list: the next call brings it."""
        self.whole_next = True

    def move(self, dial: str) -> None:
        """A new address: it is asked at once, and for the whole list, as it may count versions anew."""
        self.dial, self.whole_next = dial, True
        self.backoff.reached()
        self.asking.cancel()

    async def run(self) -> None:
        with trio.CancelScope() as self.asking:
            await trio.sleep(self.begin_in)
        while True:
            with trio.CancelScope() as self.asking:
                self.asked_at = trio.current_time()
                await self.ask_there()
                await trio.sleep(self.pause())

    def pause(self) -> float:
        """Until the next call, after one that came to nothing."""
        left = self.asked_at + ASK_WITHIN * self.rng.uniform(ASK_SPREAD, 1.0) - trio.current_time()
        return min(self.backoff.missed(), max(0.0, left))

    async def ask_there(self) -> None:
        stream = await connect(self.dial, CONNECT_WITHIN)
        if stream is None:
            return
        if self.agent:
            self.wait_ms = 1
        try:
            await self.keep_asking(stream)
        except (OSError, h11.ProtocolError, BadList, trio.TooSlowError):
            pass
        finally:
            stream.close()

    async def keep_asking(self, stream: Stream) -> None:
        http = h11.Connection(h11.CLIENT, max_incomplete_event_size=MOST_BYTES)
        while True:
            whole, self.whole_next = self.whole_next, False
            target = "/v1/servers" if whole else f"/v1/servers?index={self.version}&wait={self.wait_ms}"
            try:
                self.asked_at = trio.current_time()
                with trio.fail_after(WHOLE_WITHIN if whole else self.wait_ms / 1000 + self.within):
                    raw = await self.ask(stream, http, target)
            except BaseException:
                self.whole_next |= whole
                raise
            news = await read_in_steps(raw, self.clock, PIECE_PAUSE if self.registry.hosts else 0.0)
            news, self.heard_at = replace(news, since=self.heard_at), self.clock.now
            del raw  # a list of thousands is not kept for as long as the next watch waits
            if not whole and news.version < self.version:
                self.whole_next = True  # another discovery, or one that has begun anew
            self.version = news.version
            if (news.hosts or news.kind == "full") and not self.registry.mailbox.put(news):
                self.whole_next = True  # a change that found no place must not be missed
            self.backoff.reached()
            self.answered.set()
            self.wait_ms = AGENT_WAIT_MS if self.agent else WAIT_MS
            http.start_next_cycle()

    async def ask(self, stream: Stream, http: h11.Connection, target: str) -> Any:
        request = h11.Request(method="GET", target=target, headers=[("Host", self.dial)])
        head = http.send_with_data_passthrough(request) or []
        await stream.send([*head, *(http.send_with_data_passthrough(h11.EndOfMessage()) or [])])
        status, body = 0, bytearray()
        while True:
            event = http.next_event()
            if event is h11.NEED_DATA:
                http.receive_data(await stream.receive())
            elif isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > MOST_BYTES:
                    raise BadList("discovery's list is too long")
            elif isinstance(event, h11.EndOfMessage):
                if status != 200:
                    raise BadList(f"discovery answered {status}")
                return parse(body)
            elif not isinstance(event, h11.InformationalResponse):
                raise BadList("discovery closed the connection")
