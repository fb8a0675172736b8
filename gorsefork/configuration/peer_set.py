"""The other replicas: which of them to speak with next."""

from __future__ import annotations

import random
from collections.abc import Collection, Iterable, Sequence
from typing import NamedTuple

SECOND = 1_000_000
FIRST_PAUSE = SECOND  # after one failure
LONGEST_PAUSE = 30 * SECOND
MOST_DOUBLINGS = 5


class Peer(NamedTuple):
    """Another ingress: its name, where its control listener is, and its zone."""

    name: str
    address: str
    zone: str


class Pause(NamedTuple):
    """A peer that failed is left alone until then."""

    failures: int
    until: int
    penalty: bool = False  # for what it said


class PeerSet:
    """Draws peers at random. One that fails is asked at a falling rate, until it answers or asks itself."""

    def __init__(self, zone: str, rng: random.Random) -> None:
        self.zone, self.rng = zone, rng
        self.by_name: dict[str, Peer] = {}
        self.near: list[str] = []
        self.far: list[str] = []
        self.pauses: dict[str, Pause] = {}

    def __len__(self) -> int:
        return len(self.by_name)

    def replace(self, peers: Iterable[Peer]) -> None:
        """These and no others. One with a new address is asked again at once."""
        before, self.by_name = self.by_name, {peer.name: peer for peer in peers}
        self.near = [peer.name for peer in self.by_name.values() if peer.zone == self.zone]
        self.far = [peer.name for peer in self.by_name.values() if peer.zone != self.zone]
        self.pauses = {
            name: pause for name, pause in self.pauses.items() if self.by_name.get(name) == before.get(name)
        }

    def failed(self, name: str, now: int) -> None:
        if name not in self.by_name or not self.available(name, now):
            return
        failures = self.pauses[name].failures + 1 if name in self.pauses else 1
        pause = min(FIRST_PAUSE << min(failures - 1, MOST_DOUBLINGS), LONGEST_PAUSE)
        self.pauses[name] = Pause(failures, now + round(pause * self.rng.uniform(0.5, 1.0)))

    def penalize(self, name: str, now: int) -> None:
        """A peer that said what is not so is left alone for as long as any, also when it asks itself."""
        if name in self.by_name:
            self.pauses[name] = Pause(MOST_DOUBLINGS + 1, now + LONGEST_PAUSE, penalty=True)

    def heard(self, name: str) -> None:
        """A peer answered, or asked: it can be reached."""
        if name in self.pauses and not self.pauses[name].penalty:
            del self.pauses[name]

    def available(self, name: str, now: int) -> bool:
        return name in self.by_name and (name not in self.pauses or self.pauses[name].until <= now)

    def is_near(self, name: str) -> bool:
        return name in self.by_name and self.by_name[name].zone == self.zone

    def next_at(self) -> int | None:
        """When the first of those that are paused may be asked again."""
        return min((pause.until for pause in self.pauses.values()), default=None)

    def draw(self, count: int, far: int, now: int, without: Collection[str] = ()) -> list[str]:
        """Up to ``count`` peers, ``far`` of them of other zones; others where those do not suffice."""
        found = self.sample(self.far, min(far, count), now, without)
        found += self.sample(self.near, count - len(found), now, without)
        if len(found) < count:
            found += self.sample(self.far, count - len(found), now, {*without, *found})
        return found

    def sample(self, names: Sequence[str], count: int, now: int, without: Collection[str]) -> list[str]:
        """A few are drawn first: that mostly suffices, whatever the size of the fleet."""
        for size in (min(len(names), 2 * count + len(without)), len(names)):
            drawn = self.rng.sample(names, size) if count > 0 else []
            found = [name for name in drawn if name not in without and self.available(name, now)]
            if len(found) >= count:
                return found[:count]
        return found
