"""The registry: discovery's list of backends, its one owner, and whether a backend may be sent anything.

An operator's ban stands above discovery's word: to all others a backend that is out by hand drains.

News of more than ``AT_ONCE`` entries are applied a piece at a time, and calls are served in between. An entry
holds by itself, so that a table that has a part of the news is no worse than one that has none of them.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace

import trio

from gorsefork.decisions.interface import ListKind, State
from gorsefork.memory.clock import monotonic_us
from gorsefork.memory.mailbox import Mailbox

MOST_SEEN = 4096  # bound on the ids once listed that are remembered; the longest gone are forgotten
AT_ONCE, PIECE = 256, 64  # entries of news that are applied in one step; of a piece of larger ones
PIECE_PAUSE = 0.003  # s between two pieces: one after the other, they would hold up whatever came meanwhile
MOST_DOWN = 512  # bans at once
START_TOLD_WITHIN = 1_000_000  # us after its start in which discovery has told of a backend


@dataclass(frozen=True, slots=True)
class Host:
    """One entry. ``started`` is on this machine's clock, in microseconds; 0 means long ago."""

    name: str
    dial: str
    state: State
    started: int = 0
    site: str = ""
    kind: str = ""
    block: int = 0
    share: float = 1.0


@dataclass(frozen=True, slots=True)
class News:
    """The whole list, or the changes to it. ``since``: what it tells was not so yet at this time (us); 0 if
    nothing is known of that."""

    kind: ListKind
    version: int
    hosts: tuple[Host, ...]
    since: int = 0


class Registry:
    """Actor: takes news from discovery in order, keeps the table and tells the module."""

    def __init__(
        self,
        tell: Callable[[News], None],
        changed: Callable[[Host], None],
        now: Callable[[], int] = monotonic_us,
    ) -> None:
        self.mailbox: Mailbox[News] = Mailbox(64)
        self.hosts: dict[str, Host] = {}
        self.tell, self.changed, self.now = tell, changed, now
        self.left: OrderedDict[str, None] = OrderedDict()  # ids that were listed once, the latest gone last
        self.down: dict[str, int] = {}  # out by hand, since when (us)
        self.back: dict[str, int] = {}  # back by hand: cold from then (us), whatever discovery knows of it
        self.starts: dict[str, int] = {}  # where they can't be as told: when they were, as far as is known
        self.version = 0

    async def run(self) -> None:
        while True:
            await self.mailbox.wait(float("inf"))
            for news in self.mailbox.drain():
                pause = PIECE_PAUSE if self.hosts else 0.0  # with none known there is nothing to serve
                for _ in self.steps(news):
                    await trio.sleep(pause)
                await trio.lowlevel.checkpoint()

    def apply(self, news: News) -> None:
        """All of it, in one step."""
        for _ in self.steps(news):
            pass

    def steps(self, news: News) -> Iterator[None]:
        """Apply news; yields between its pieces, if it is large. What is not ready comes first then.

        A list of which not all is applied yet keeps the old version.
        """
        listed = len(self.hosts) if news.kind in ("full", "cached") else 0
        if max(len(news.hosts), listed) <= AT_ONCE:
            self.apply_whole(news)
            return
        last = {host.name: host for host in (*self.left_out(news), *news.hosts)}
        hosts = sorted(last.values(), key=lambda host: host.state == "ready")
        for start in range(0, len(hosts), PIECE):
            yield
            piece = hosts[start : start + PIECE]
            self.apply_entries([host for host in piece if self.hosts.get(host.name) != host], news.since)
        self.version = news.version

    def apply_whole(self, news: News) -> None:
        for host in self.left_out(news):
            self.remove(host.name)
        for host in news.hosts:
            self.put(host, news.since)
        self.version = news.version
        self.tell(replace(news, hosts=tuple(map(self.as_held, news.hosts))))

    def apply_entries(self, hosts: list[Host], since: int) -> None:
        """Some of the news, told as changes."""
        for host in hosts:
            self.put(host, since)
        if hosts:
            self.tell(News("delta", self.version, tuple(map(self.as_held, hosts))))

    def left_out(self, news: News) -> list[Host]:
        """What a complete list does not name, as gone."""
        if news.kind not in ("full", "cached"):
            return []
        listed = {host.name for host in news.hosts}
        return [Host(name, old.dial, "gone") for name, old in self.hosts.items() if name not in listed]

    def put(self, host: Host, since: int = 0) -> None:
        if host.state == "gone":
            self.remove(host.name)
        else:
            self.bound_start(host, since)
            self.hosts[host.name] = host
            self.left.pop(host.name, None)
            self.changed(self.as_held(host))

    def bound_start(self, host: Host, since: int) -> None:
        """Guards against a wall clock that was stepped, here or there: a start that is news is neither long
        before the list that did not have it nor ahead of now, or what is cold would pass for warm, or never
        be warm."""
        old = self.hosts.get(host.name)
        if not host.started or (old is not None and host.started <= old.started):
            return
        earliest = since - START_TOLD_WITHIN if since else host.started
        start = min(self.now(), max(host.started, earliest))
        self.starts.pop(host.name, None)
        if start != host.started:
            self.starts[host.name] = start

    def move_starts(self, by: int) -> None:
        """The offset between Unix time and this machine's clock is another by so many microseconds."""
        for name, host in self.hosts.items():
            if host.started:
                self.hosts[name] = replace(host, started=host.started + by)

    @property
    def seen(self) -> list[str]:
        """The ids that were ever listed, within the bound; those listed now last."""
        return [*self.left, *self.hosts]

    def see(self, name: str) -> None:
        """An id was listed once, here or where this process comes from."""
        if name not in self.hosts:
            self.left[name] = None
            self.left.move_to_end(name)
        while len(self.left) >= MOST_SEEN:  # bans, of which there are fewer, are remembered longest
            del self.left[next(old for old in self.left if old not in self.down)]

    def known(self, name: str) -> bool:
        return name in self.hosts or name in self.left or name in self.down

    def as_held(self, host: Host) -> Host:
        """What an entry is to this ingress: discovery's word under the operators'."""
        if host.state == "gone":
            return host
        if host.name in self.down:
            return replace(host, state="draining")
        started = self.starts.get(host.name, host.started)
        started = max(started, self.back.get(host.name, 0))
        return host if started == host.started else replace(host, started=started)

    def set_down(self, name: str) -> str:
        """Out until ``set_up``, listed or not. Why not, or nothing; said again it changes nothing."""
        if not self.known(name):
            return "no such id was ever listed"
        if name not in self.down and len(self.down) >= MOST_DOWN:
            return "too many are out already"
        if name not in self.down:
            self.down[name] = self.now()
            self.back.pop(name, None)
            self.retell(name)
        return ""

    def set_up(self, name: str) -> str:
        """The end of a ban, however often it was asked for. Guards against a backend that is pushed over: it
        was restarted meanwhile, and discovery may not have told of that yet."""
        if not self.known(name):
            return "no such id was ever listed"
        since = self.down.pop(name, None)
        host = self.hosts.get(name)
        if since is not None and host is not None:
            if self.as_held(host).started < since:
                self.back[name] = self.now()
            self.retell(name)
        return ""

    def retell(self, name: str) -> None:
        if (host := self.hosts.get(name)) is not None:
            self.changed(self.as_held(host))
            self.tell(News("delta", self.version, (self.as_held(host),)))

    def remove(self, name: str) -> None:
        self.back.pop(name, None)
        self.starts.pop(name, None)
        if (old := self.hosts.pop(name, None)) is not None:
            self.see(name)
            self.changed(Host(name, old.dial, "gone"))

    def may_send(self, name: str) -> bool:
        """Guards against a send to one that drains or is gone: asked again just before the first byte."""
        host = self.hosts.get(name)
        return host is not None and host.state == "ready" and name not in self.down
