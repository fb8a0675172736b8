"""The registry: discovery's list of backends, its one owner, and whether a backend may be sent anything.

An operator's ban stands above discovery's word: to all others a backend that is out by hand drains.

News of more than ``MAX_ENTRIES_AT_ONCE`` entries are applied a piece at a time, and calls are served in
between. An entry
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

MAX_REMEMBERED_IDS = 4096  # bound on the ids once listed that are remembered; the longest gone are forgotten
# entries of news that are applied in one step; of a piece of larger ones
MAX_ENTRIES_AT_ONCE, ENTRIES_PER_STEP = 256, 64
STEP_PAUSE_S = 0.003  # s between two pieces: one after the other, they would hold up whatever came meanwhile
MAX_BANS = 512  # bans at once
MAX_START_REPORT_DELAY_US = 1_000_000  # us after its start in which discovery has told of a backend


@dataclass(frozen=True, slots=True)
class RegisteredBackend:
    """One entry. ``started_at`` is on this machine's clock, in microseconds; 0 means long ago."""

    name: str
    address: str
    state: State
    started_at: int = 0
    site: str = ""
    kind: str = ""
    block: int = 0
    weight: float = 1.0


@dataclass(frozen=True, slots=True)
class RegistryUpdate:
    """The whole list, or the changes to it. ``not_true_before``: what it tells was not so yet at this time
    (us); 0 if
    nothing is known of that."""

    kind: ListKind
    version: int
    backends: tuple[RegisteredBackend, ...]
    not_true_before: int = 0


class Registry:
    """Actor: takes news from discovery in order, keeps the table and tells the module."""

    def __init__(
        self,
        tell: Callable[[RegistryUpdate], None],
        changed: Callable[[RegisteredBackend], None],
        now: Callable[[], int] = monotonic_us,
    ) -> None:
        self.mailbox: Mailbox[RegistryUpdate] = Mailbox(64)
        self.backends: dict[str, RegisteredBackend] = {}
        self.report_update, self.on_backend_change, self.now = tell, changed, now
        # ids that were listed once, the latest gone last
        self.unlisted_ids: OrderedDict[str, None] = OrderedDict()
        self.banned_since: dict[str, int] = {}  # out by hand, since when (us)
        # back by hand: cold from then (us), whatever discovery knows of it
        self.unbanned_at: dict[str, int] = {}
        # where they can't be as told: when they were, as far as is known
        self.adjusted_starts: dict[str, int] = {}
        self.version = 0

    async def run(self) -> None:
        while True:
            await self.mailbox.wait(float("inf"))
            for news in self.mailbox.drain():
                pause = STEP_PAUSE_S if self.backends else 0.0  # with none known there is nothing to serve
                for _ in self.apply_in_steps(news):
                    await trio.sleep(pause)
                await trio.lowlevel.checkpoint()

    def apply(self, news: RegistryUpdate) -> None:
        """All of it, in one step."""
        for _ in self.apply_in_steps(news):
            pass

    def apply_in_steps(self, news: RegistryUpdate) -> Iterator[None]:
        """Apply news; yields between its pieces, if it is large. What is not ready comes first then.

        A list of which not all is applied yet keeps the old version.
        """
        listed = len(self.backends) if news.kind in ("full", "cached") else 0
        if max(len(news.backends), listed) <= MAX_ENTRIES_AT_ONCE:
            self.apply_at_once(news)
            return
        last = {host.name: host for host in (*self.unlisted_by(news), *news.backends)}
        hosts = sorted(last.values(), key=lambda host: host.state == "ready")
        for start in range(0, len(hosts), ENTRIES_PER_STEP):
            yield
            piece = hosts[start : start + ENTRIES_PER_STEP]
            self.apply_entries(
                [host for host in piece if self.backends.get(host.name) != host], news.not_true_before
            )
        self.version = news.version

    def apply_at_once(self, news: RegistryUpdate) -> None:
        for host in self.unlisted_by(news):
            self.remove(host.name)
        for host in news.backends:
            self.set_backend(host, news.not_true_before)
        self.version = news.version
        self.report_update(replace(news, backends=tuple(map(self.effective, news.backends))))

    def apply_entries(self, hosts: list[RegisteredBackend], since: int) -> None:
        """Some of the news, told as changes."""
        for host in hosts:
            self.set_backend(host, since)
        if hosts:
            self.report_update(RegistryUpdate("delta", self.version, tuple(map(self.effective, hosts))))

    def unlisted_by(self, news: RegistryUpdate) -> list[RegisteredBackend]:
        """What a complete list does not name, as gone."""
        if news.kind not in ("full", "cached"):
            return []
        listed = {host.name for host in news.backends}
        return [
            RegisteredBackend(name, old.address, "gone")
            for name, old in self.backends.items()
            if name not in listed
        ]

    def set_backend(self, host: RegisteredBackend, since: int = 0) -> None:
        if host.state == "gone":
            self.remove(host.name)
        else:
            self.limit_start(host, since)
            self.backends[host.name] = host
            self.unlisted_ids.pop(host.name, None)
            self.on_backend_change(self.effective(host))

    def limit_start(self, host: RegisteredBackend, since: int) -> None:
        """Guards against a wall clock that was stepped, here or there: a start that is news is neither long
        before the list that did not have it nor ahead of now, or what is cold would pass for warm, or never
        be warm."""
        old = self.backends.get(host.name)
        if not host.started_at or (old is not None and host.started_at <= old.started_at):
            return
        earliest = since - MAX_START_REPORT_DELAY_US if since else host.started_at
        start = min(self.now(), max(host.started_at, earliest))
        self.adjusted_starts.pop(host.name, None)
        if start != host.started_at:
            self.adjusted_starts[host.name] = start

    def shift_starts(self, by: int) -> None:
        """The offset between Unix time and this machine's clock is another by so many microseconds."""
        for name, host in self.backends.items():
            if host.started_at:
                self.backends[name] = replace(host, started_at=host.started_at + by)

    @property
    def known_ids(self) -> list[str]:
        """The ids that were ever listed, within the bound; those listed now last."""
        return [*self.unlisted_ids, *self.backends]

    def remember_id(self, name: str) -> None:
        """An id was listed once, here or where this process comes from."""
        if name not in self.backends:
            self.unlisted_ids[name] = None
            self.unlisted_ids.move_to_end(name)
        while len(self.unlisted_ids) >= MAX_REMEMBERED_IDS:
            # bans, of which there are fewer, are remembered longest
            del self.unlisted_ids[next(old for old in self.unlisted_ids if old not in self.banned_since)]

    def is_known(self, name: str) -> bool:
        return name in self.backends or name in self.unlisted_ids or name in self.banned_since

    def effective(self, host: RegisteredBackend) -> RegisteredBackend:
        """What an entry is to this ingress: discovery's word under the operators'."""
        if host.state == "gone":
            return host
        if host.name in self.banned_since:
            return replace(host, state="draining")
        started = self.adjusted_starts.get(host.name, host.started_at)
        started = max(started, self.unbanned_at.get(host.name, 0))
        return host if started == host.started_at else replace(host, started_at=started)

    def set_down(self, name: str) -> str:
        """Out until ``set_up``, listed or not. Why not, or nothing; said again it changes nothing."""
        if not self.is_known(name):
            return "no such id was ever listed"
        if name not in self.banned_since and len(self.banned_since) >= MAX_BANS:
            return "too many are out already"
        if name not in self.banned_since:
            self.banned_since[name] = self.now()
            self.unbanned_at.pop(name, None)
            self.report_backend(name)
        return ""

    def set_up(self, name: str) -> str:
        """The end of a ban, however often it was asked for. Guards against a backend that is pushed over: it
        was restarted meanwhile, and discovery may not have told of that yet."""
        if not self.is_known(name):
            return "no such id was ever listed"
        since = self.banned_since.pop(name, None)
        host = self.backends.get(name)
        if since is not None and host is not None:
            if self.effective(host).started_at < since:
                self.unbanned_at[name] = self.now()
            self.report_backend(name)
        return ""

    def report_backend(self, name: str) -> None:
        if (host := self.backends.get(name)) is not None:
            self.on_backend_change(self.effective(host))
            self.report_update(RegistryUpdate("delta", self.version, (self.effective(host),)))

    def remove(self, name: str) -> None:
        self.unbanned_at.pop(name, None)
        self.adjusted_starts.pop(name, None)
        if (old := self.backends.pop(name, None)) is not None:
            self.remember_id(name)
            self.on_backend_change(RegisteredBackend(name, old.address, "gone"))

    def accepts_attempts(self, name: str) -> bool:
        """Guards against a send to one that drains or is gone: asked again just before the first byte."""
        host = self.backends.get(name)
        return host is not None and host.state == "ready" and name not in self.banned_since
