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
from gorsefork.memory.registry import (
    ENTRIES_PER_STEP,
    MAX_ENTRIES_AT_ONCE,
    STEP_PAUSE_S,
    RegisteredBackend,
    Registry,
    RegistryUpdate,
)
from gorsefork.wire.stream import Stream, connect, parse_address

STATES: Mapping[str, State] = {"active": "ready", "leaving": "draining", "left": "gone"}
# A change counts as told 6 s after discovery had it and could be reached, whatever became of our calls: two
# that come to nothing, one behind the other, and the beginning of a third are to fit in that.
# s; at the longest pauses a chance part of it, or a fleet asks in step
MAX_CALL_INTERVAL_S, MIN_INTERVAL_SHARE = 2.75, 0.7
# a watch; s beyond its wait: then it has fallen silent, and is broken
WATCH_WAIT_MS, WATCH_GRACE_S = 2500, 0.5
FULL_LIST_TIMEOUT_S, CONNECT_TIMEOUT_S = 1.0, 0.25  # s for the whole list; for a connection
# s before a call that failed is made again: at first, and after many failures
FIRST_RETRY_PAUSE_S, MAX_RETRY_PAUSE_S = 0.1, 2.0
# the same for each ingress of the fleet, where that is more
FIRST_RETRY_PAUSE_PER_INGRESS_S, MAX_RETRY_PAUSE_PER_INGRESS_S = 0.0125, 0.2
# s for each over which their first watches begin; at most
START_SPREAD_PER_INGRESS_S, MAX_START_SPREAD_S = 0.075, 3.0
# This machine's agent answers at no cost, and what it has counts as told: a drain allows 0.25 s from there.
# It is asked at once for what is new, on each new connection, and again as soon as it may be back.
AGENT_WAIT_MS, AGENT_WATCH_GRACE_S, AGENT_RETRY_PAUSE_S = 1500, 0.2, 0.033
MAX_LIST_BYTES = 4 << 20


class InvalidBackendList(Exception):
    """An answer of discovery that cannot be read."""


@contextmanager
def invalid_list_errors() -> Iterator[None]:
    """What can't be read ends in ``InvalidBackendList``."""
    try:
        yield
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
        raise InvalidBackendList(f"discovery's list: {type(error).__name__}: {error}") from None


def read_list(raw: Any, clock: Clock, cached: bool = False) -> RegistryUpdate:
    """A list in discovery's form; Unix times become times of this machine's clock here."""
    with invalid_list_errors():
        return make_update(raw, [read_backend(entry, clock) for entry in raw["hosts"]], cached)


def parse(body: bytearray) -> Any:
    """An answer's JSON, in one step."""
    try:
        return json.loads(body)
    except (ValueError, RecursionError):
        raise InvalidBackendList("discovery's list is not JSON") from None


async def read_in_steps(raw: Any, clock: Clock, pause: float = 0.0) -> RegistryUpdate:
    """As ``read_list``; more than ``MAX_ENTRIES_AT_ONCE`` entries in such steps, with so many seconds
    between two."""
    with invalid_list_errors():
        entries, hosts = raw["hosts"], list[RegisteredBackend]()
        size = ENTRIES_PER_STEP if len(entries) > MAX_ENTRIES_AT_ONCE else MAX_ENTRIES_AT_ONCE
        for start in range(0, len(entries), size):
            hosts += [read_backend(entry, clock) for entry in entries[start : start + size]]
            if start + size < len(entries):
                await trio.sleep(pause)
        return make_update(raw, hosts, cached=False)


def make_update(raw: Any, hosts: Sequence[RegisteredBackend], cached: bool) -> RegistryUpdate:
    kind = "cached" if cached else "full" if raw["whole"] else "delta"
    return RegistryUpdate(kind, int(raw["seq"]), tuple(hosts))  # type: ignore[arg-type]


def read_backend(entry: Mapping[str, Any], clock: Clock) -> RegisteredBackend:
    born = int(entry.get("born_ms", 0))
    parse_address(entry["dial"])  # one that cannot be dialled is found here, not at the first send
    return RegisteredBackend(
        str(entry["host"]),
        str(entry["dial"]),
        STATES[entry["health"]],
        clock.from_unix_ms(born) if born else 0,
        sys.intern(str(entry.get("site", ""))),  # one text for all entries that have it
        sys.intern(str(entry.get("class", ""))),
        int(entry.get("block", 0)),
        float(entry.get("share", 1.0)),
    )


class DiscoveryClient:
    """Keeps a watch up. While discovery is silent the list stays as it is and the watch is tried again.

    ``fleet`` is how many ingresses share what discovery can serve. It is 0 where the list is pushed to an
    agent on this machine: that answers at no cost, and what it has counts as told, whenever it is asked.
    """

    def __init__(
        self, dial: str, registry: Registry, clock: Clock, version: int, rng: random.Random, fleet: int = 1
    ) -> None:
        most = (
            min(MAX_CALL_INTERVAL_S, max(MAX_RETRY_PAUSE_S, MAX_RETRY_PAUSE_PER_INGRESS_S * fleet))
            if fleet
            else AGENT_RETRY_PAUSE_S
        )
        self.backoff = Backoff(
            min(most, max(FIRST_RETRY_PAUSE_S, FIRST_RETRY_PAUSE_PER_INGRESS_S * fleet)), most, rng
        )
        self.rng, self.is_agent = rng, not fleet
        self.wait_ms, self.watch_grace = (
            (1, AGENT_WATCH_GRACE_S) if self.is_agent else (WATCH_WAIT_MS, WATCH_GRACE_S)
        )
        self.asked_at = -math.inf
        self.address, self.registry, self.clock, self.version = dial, registry, clock, version
        self.full_list_next = not registry.backends  # what is known already is not asked for again
        # Guards against a fleet that starts together: a watch that begins is work for discovery, one that
        # lasts costs little, and all at once are turned away and come back as one crowd. With nothing known
        # there is nothing to serve by until it is asked.
        self.start_delay = (
            0.0
            if self.full_list_next
            else rng.uniform(0.0, min(MAX_START_SPREAD_S, START_SPREAD_PER_INGRESS_S * fleet))
        )
        self.answered, self.heard_at = trio.Event(), 0
        self.call_scope = trio.CancelScope()

    def fetch(self) -> None:
        """The module asks for the whole list: the next call brings it."""
        self.full_list_next = True

    def move(self, dial: str) -> None:
        """A new address: it is asked at once, and for the whole list, as it may count versions anew."""
        self.address, self.full_list_next = dial, True
        self.backoff.reset()
        self.call_scope.cancel()

    async def run(self) -> None:
        with trio.CancelScope() as self.call_scope:
            await trio.sleep(self.start_delay)
        while True:
            with trio.CancelScope() as self.call_scope:
                self.asked_at = trio.current_time()
                await self.connect_and_watch()
                await trio.sleep(self.retry_pause())

    def retry_pause(self) -> float:
        """Until the next call, after one that came to nothing."""
        left = (
            self.asked_at
            + MAX_CALL_INTERVAL_S * self.rng.uniform(MIN_INTERVAL_SHARE, 1.0)
            - trio.current_time()
        )
        return min(self.backoff.next_pause(), max(0.0, left))

    async def connect_and_watch(self) -> None:
        stream = await connect(self.address, CONNECT_TIMEOUT_S)
        if stream is None:
            return
        if self.is_agent:
            self.wait_ms = 1
        try:
            await self.watch(stream)
        except (OSError, h11.ProtocolError, InvalidBackendList, trio.TooSlowError):
            pass
        finally:
            stream.close()

    async def watch(self, stream: Stream) -> None:
        http = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_LIST_BYTES)
        while True:
            whole, self.full_list_next = self.full_list_next, False
            target = "/v1/servers" if whole else f"/v1/servers?index={self.version}&wait={self.wait_ms}"
            try:
                self.asked_at = trio.current_time()
                with trio.fail_after(
                    FULL_LIST_TIMEOUT_S if whole else self.wait_ms / 1000 + self.watch_grace
                ):
                    raw = await self.call(stream, http, target)
            except BaseException:
                self.full_list_next |= whole
                raise
            news = await read_in_steps(raw, self.clock, STEP_PAUSE_S if self.registry.backends else 0.0)
            news, self.heard_at = replace(news, not_true_before=self.heard_at), self.clock.now
            del raw  # a list of thousands is not kept for as long as the next watch waits
            if not whole and news.version < self.version:
                self.full_list_next = True  # another discovery, or one that has begun anew
            self.version = news.version
            if (news.backends or news.kind == "full") and not self.registry.mailbox.put(news):
                self.full_list_next = True  # a change that found no place must not be missed
            self.backoff.reset()
            self.answered.set()
            self.wait_ms = AGENT_WAIT_MS if self.is_agent else WATCH_WAIT_MS
            http.start_next_cycle()

    async def call(self, stream: Stream, http: h11.Connection, target: str) -> Any:
        request = h11.Request(method="GET", target=target, headers=[("Host", self.address)])
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
                if len(body) > MAX_LIST_BYTES:
                    raise InvalidBackendList("discovery's list is too long")
            elif isinstance(event, h11.EndOfMessage):
                if status != 200:
                    raise InvalidBackendList(f"discovery answered {status}")
                return parse(body)
            elif not isinstance(event, h11.InformationalResponse):
                raise InvalidBackendList("discovery closed the connection")
