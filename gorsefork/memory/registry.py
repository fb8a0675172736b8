"""The registry: the only owner of the backend list from discovery, and of the operators' bans.

An operator's ban overrides discovery: the rest of the process sees a banned backend as draining.

An update of more than ``MAX_ENTRIES_AT_ONCE`` entries is applied in batches, and calls are served in between.
Each entry is valid by itself, so a partly applied update is no worse than none.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace

import trio

from gorsefork.decisions.interface import ListKind, State
from gorsefork.memory.clock import monotonic_us
from gorsefork.memory.mailbox import Mailbox

MAX_REMEMBERED_IDS = 4096  # ids that are no longer listed; the longest gone are forgotten first
MAX_ENTRIES_AT_ONCE = 256  # a larger update is applied in batches
ENTRIES_PER_STEP = 64  # in one batch of a larger update
STEP_PAUSE_S = 0.003  # without a pause between batches, input that arrives meanwhile would be delayed
MAX_BANS = 512  # at the same time
MAX_START_REPORT_DELAY_US = 1_000_000  # discovery reports a backend within this time of its start


@dataclass(frozen=True, slots=True)
class RegisteredBackend:
    """One backend. ``started_at`` is in microseconds on this machine's clock; 0 means long ago."""

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
    """The whole backend list, or changes to it.

    At the time ``not_true_before``, in microseconds, the reported state did not hold yet; 0 means unknown.
    """

    kind: ListKind
    version: int
    backends: tuple[RegisteredBackend, ...]
    not_true_before: int = 0


class Registry:
    """Actor that applies discovery updates in order and reports the backend table to the decision engine."""

    def __init__(
        self,
        report_update: Callable[[RegistryUpdate], None],
        on_backend_change: Callable[[RegisteredBackend], None],
        now: Callable[[], int] = monotonic_us,
    ) -> None:
        self.mailbox: Mailbox[RegistryUpdate] = Mailbox(64)
        self.backends: dict[str, RegisteredBackend] = {}
        self.report_update, self.on_backend_change, self.now = report_update, on_backend_change, now
        # ids that are no longer listed, the most recently removed last
        self.unlisted_ids: OrderedDict[str, None] = OrderedDict()
        self.banned_since: dict[str, int] = {}  # bans by operators, with their start (us)
        # ends of bans (us): the backend is in slow start from then on, whatever start discovery reports
        self.unbanned_at: dict[str, int] = {}
        # corrected start times (us) of backends whose reported start is impossible
        self.adjusted_starts: dict[str, int] = {}
        self.version = 0

    async def run(self) -> None:
        while True:
            await self.mailbox.wait(float("inf"))
            for update in self.mailbox.drain():
                # With an empty table no call can be served, so there is nothing that a batch could delay.
                pause = STEP_PAUSE_S if self.backends else 0.0
                for _ in self.apply_in_steps(update):
                    await trio.sleep(pause)
                await trio.lowlevel.checkpoint()

    def apply(self, update: RegistryUpdate) -> None:
        """Apply the whole update without pauses."""
        for _ in self.apply_in_steps(update):
            pass

    def apply_in_steps(self, update: RegistryUpdate) -> Iterator[None]:
        """Apply an update; a large one yields before each batch and applies entries that are not ready first.

        The table keeps its old version until the whole update is applied.
        """
        listed = len(self.backends) if update.kind in ("full", "cached") else 0
        if max(len(update.backends), listed) <= MAX_ENTRIES_AT_ONCE:
            self.apply_at_once(update)
            return
        latest = {backend.name: backend for backend in (*self.unlisted_by(update), *update.backends)}
        backends = sorted(latest.values(), key=lambda backend: backend.state == "ready")
        for start in range(0, len(backends), ENTRIES_PER_STEP):
            yield
            batch = backends[start : start + ENTRIES_PER_STEP]
            self.apply_entries(
                [backend for backend in batch if self.backends.get(backend.name) != backend],
                update.not_true_before,
            )
        self.version = update.version

    def apply_at_once(self, update: RegistryUpdate) -> None:
        """Apply a small update in one step and report it as one update."""
        for backend in self.unlisted_by(update):
            self.remove(backend.name)
        for backend in update.backends:
            self.set_backend(backend, update.not_true_before)
        self.version = update.version
        self.report_update(replace(update, backends=tuple(map(self.effective, update.backends))))

    def apply_entries(self, backends: list[RegisteredBackend], since: int) -> None:
        """Apply part of an update and report it as changes."""
        for backend in backends:
            self.set_backend(backend, since)
        if backends:
            self.report_update(RegistryUpdate("delta", self.version, tuple(map(self.effective, backends))))

    def unlisted_by(self, update: RegistryUpdate) -> list[RegisteredBackend]:
        """Return the backends that a complete list no longer names, as gone."""
        if update.kind not in ("full", "cached"):
            return []
        listed = {backend.name for backend in update.backends}
        return [
            RegisteredBackend(name, old.address, "gone")
            for name, old in self.backends.items()
            if name not in listed
        ]

    def set_backend(self, backend: RegisteredBackend, since: int = 0) -> None:
        """Add, replace or remove one backend. ``since`` is the update's ``not_true_before``."""
        if backend.state == "gone":
            self.remove(backend.name)
        else:
            self.limit_start(backend, since)
            self.backends[backend.name] = backend
            self.unlisted_ids.pop(backend.name, None)
            self.on_backend_change(self.effective(backend))

    def limit_start(self, backend: RegisteredBackend, since: int) -> None:
        """Correct a new start time that is impossible, since a wall clock was stepped.

        The clock may be this machine's or the remote one. A start that was not known before is neither long
        before the list that did not contain it nor in the future. Without the correction, a backend in slow
        start would pass for fully started, or would never become fully started.
        """
        old = self.backends.get(backend.name)
        if not backend.started_at or (old is not None and backend.started_at <= old.started_at):
            return
        earliest = since - MAX_START_REPORT_DELAY_US if since else backend.started_at
        start = min(self.now(), max(backend.started_at, earliest))
        self.adjusted_starts.pop(backend.name, None)
        if start != backend.started_at:
            self.adjusted_starts[backend.name] = start

    def shift_starts(self, by: int) -> None:
        """Shift all starts by a change in the offset between Unix time and this machine's clock, in us."""
        for name, backend in self.backends.items():
            if backend.started_at:
                self.backends[name] = replace(backend, started_at=backend.started_at + by)

    @property
    def known_ids(self) -> list[str]:
        """The ids that were ever listed and are still remembered; those listed now come last."""
        return [*self.unlisted_ids, *self.backends]

    def remember_id(self, name: str) -> None:
        """Remember an id that was listed once, to this process or to its predecessor."""
        if name not in self.backends:
            self.unlisted_ids[name] = None
            self.unlisted_ids.move_to_end(name)
        while len(self.unlisted_ids) >= MAX_REMEMBERED_IDS:
            # Banned ids are never forgotten: MAX_BANS is lower than MAX_REMEMBERED_IDS.
            del self.unlisted_ids[next(old for old in self.unlisted_ids if old not in self.banned_since)]

    def is_known(self, name: str) -> bool:
        """Whether the id is listed, was listed once and is still remembered, or is banned."""
        return name in self.backends or name in self.unlisted_ids or name in self.banned_since

    def effective(self, backend: RegisteredBackend) -> RegisteredBackend:
        """Return the entry as this ingress uses it, with bans and corrected starts applied."""
        if backend.state == "gone":
            return backend
        if backend.name in self.banned_since:
            return replace(backend, state="draining")
        started = self.adjusted_starts.get(backend.name, backend.started_at)
        started = max(started, self.unbanned_at.get(backend.name, 0))
        return backend if started == backend.started_at else replace(backend, started_at=started)

    def set_down(self, name: str) -> str:
        """Ban a backend until ``set_up``, listed or not; a repeat has no effect. Return the error, or ""."""
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
        """End the ban of a backend, however often it was set. Return the error, or "".

        The backend is in slow start from now on unless its known start is later than the ban: it may have
        restarted meanwhile without a report by discovery yet, and full load would overload it.
        """
        if not self.is_known(name):
            return "no such id was ever listed"
        since = self.banned_since.pop(name, None)
        backend = self.backends.get(name)
        if since is not None and backend is not None:
            if self.effective(backend).started_at < since:
                self.unbanned_at[name] = self.now()
            self.report_backend(name)
        return ""

    def report_backend(self, name: str) -> None:
        """Report the effective entry of a listed backend as a change."""
        if (backend := self.backends.get(name)) is not None:
            self.on_backend_change(self.effective(backend))
            self.report_update(RegistryUpdate("delta", self.version, (self.effective(backend),)))

    def remove(self, name: str) -> None:
        """Remove a backend that is gone, and remember its id."""
        self.unbanned_at.pop(name, None)
        self.adjusted_starts.pop(name, None)
        if (old := self.backends.pop(name, None)) is not None:
            self.remember_id(name)
            self.on_backend_change(RegisteredBackend(name, old.address, "gone"))

    def accepts_attempts(self, name: str) -> bool:
        """Whether a backend may get an attempt.

        This is checked again just before the first byte is sent, so that no attempt goes to a backend that
        drains or is gone by then.
        """
        backend = self.backends.get(name)
        return backend is not None and backend.state == "ready" and name not in self.banned_since
