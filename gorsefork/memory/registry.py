"""The registry: discovery's list of tour boxes, its one owner, and whether a box may be sent anything."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import trio

from gorsefork.decisions.interface import ListKind, State
from gorsefork.memory.mailbox import Mailbox


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

    def __init__(self, tell: Callable[[News], None], changed: Callable[[Host], None]) -> None:
        self.mailbox: Mailbox[News] = Mailbox(64)
        self.hosts: dict[str, Host] = {}
        self.tell, self.changed = tell, changed

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
                self.changed(host)
        self.tell(news)

    def remove(self, name: str) -> None:
        if (old := self.hosts.pop(name, None)) is not None:
            self.changed(Host(name, old.dial, "gone"))

    def may_send(self, name: str) -> bool:
        """Guards against a send to a box that drains or is gone: asked again just before the first byte."""
        host = self.hosts.get(name)
        return host is not None and host.state == "ready"
