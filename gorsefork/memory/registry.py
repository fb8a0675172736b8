"""The registry: discovery's list of backends, its one owner, and whether a backend may be sent anything.

An operator's ban stands above discovery's word: to all others a backend that is out by hand drains.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, replace

import trio

from gorsefork.decisions.interface import ListKind, State
from gorsefork.memory.clock import monotonic_us
from gorsefork.memory.mailbox import Mailbox

MOST_SEEN = 4096  # ids once listed that are remembered beyond the list; the longest gone are forgotten
MOST_DOWN = 512  # bans at once


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
    """The whole list, or the changes to it."""

    kind: ListKind
    version: int
    hosts: tuple[Host, ...]


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
        self.seen: OrderedDict[str, None] = OrderedDict()  # ids that were ever listed, the latest last
        self.down: dict[str, int] = {}  # out by hand, since when (us)
        self.back: dict[str, int] = {}  # back by hand: cold from then (us), whatever discovery knows of it
        self.version = 0

    async def run(self) -> None:
        while True:
            await self.mailbox.wait(float("inf"))
            for news in self.mailbox.drain():
                self.apply(news)
            await trio.lowlevel.checkpoint()

    def apply(self, news: News) -> None:
        if news.kind in ("full", "cached"):
            listed = {host.name for host in news.hosts}
            for name in [n for n in self.hosts if n not in listed]:
                self.remove(name)
        for host in news.hosts:
            if host.state == "gone":
                self.remove(host.name)
            else:
                self.hosts[host.name] = host
                self.see(host.name)
                self.changed(self.as_held(host))
        self.version = news.version
        self.tell(replace(news, hosts=tuple(map(self.as_held, news.hosts))))

    def see(self, name: str) -> None:
        self.seen[name] = None
        self.seen.move_to_end(name)
        for old in list(self.seen) if len(self.seen) > MOST_SEEN else ():
            if old not in self.hosts and old not in self.down:
                del self.seen[old]
            if len(self.seen) <= MOST_SEEN:
                return

    def as_held(self, host: Host) -> Host:
        """What an entry is to this ingress: discovery's word under the operators'."""
        if host.state == "gone":
            return host
        if host.name in self.down:
            return replace(host, state="draining")
        return replace(host, started=max(host.started, self.back.get(host.name, 0)))

    def set_down(self, name: str) -> str:
        """Out until ``set_up``, listed or not. Why not, or nothing; said again it changes nothing."""
        if name not in self.seen:
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
        if name not in self.seen:
            return "no such id was ever listed"
        since = self.down.pop(name, None)
        host = self.hosts.get(name)
        if since is not None and host is not None:
            if host.started < since:
                self.back[name] = self.now()
            self.retell(name)
        return ""

    def retell(self, name: str) -> None:
        if (host := self.hosts.get(name)) is not None:
            self.changed(self.as_held(host))
            self.tell(News("delta", self.version, (self.as_held(host),)))

    def remove(self, name: str) -> None:
        self.back.pop(name, None)
        if (old := self.hosts.pop(name, None)) is not None:
            self.changed(Host(name, old.dial, "gone"))

    def may_send(self, name: str) -> bool:
        """Guards against a send to one that drains or is gone: asked again just before the first byte."""
        host = self.hosts.get(name)
        return host is not None and host.state == "ready" and name not in self.down
