"""A network in virtual time that hosts the real membership core, and plays a script of faults by a seed.

Also what ``benchmarks/fleet_view.py`` measures with. Times in seconds; the core's in microseconds.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from gorsefork.fleet.facts import Card, State, pack_address
from gorsefork.fleet.membership import SECOND, MemberEvent, Membership, Timings
from gorsefork.fleet.messages import Codec

UNIX = 1_800_000_000 * SECOND  # what the worlds' clocks begin at


@dataclass
class Place:
    """One ingress's machine: its process, if one runs, and its clock's error in microseconds."""

    name: str
    dial: bytes
    core: Membership | None = None
    stopped: bool = False
    clock: int = 0
    waking: int = 0  # the number of the wake that is due
    queue: list[tuple[bytes, bytes]] = field(default_factory=list)  # what came while it was stopped
    events: list[tuple[float, MemberEvent]] = field(default_factory=list)


class World:
    def __init__(
        self,
        members: int,
        seed: int,
        pace: Timings | None = None,
        loss: float = 0.0,
        delay: tuple[float, float] = (0.001, 0.005),
        seeds: int = 3,
        repeat: float = 0.0,
    ) -> None:
        self.rng, self.pace, self.loss, self.delay = random.Random(seed), pace or Timings(), loss, delay
        self.repeat = repeat
        self.now = 0.0
        self.heap: list[tuple[float, int, Callable[[], None]]] = []
        self.order = itertools.count()
        self.places = {
            f"n{n}": Place(f"n{n}", pack_address(f"10.0.{n // 250}.{n % 250 + 1}:7000"))
            for n in range(members)
        }
        self.at = {place.dial: place for place in self.places.values()}
        self.seeds = [place.dial for place in self.places.values()][:seeds]
        self.cut: Callable[[str, str], bool] = lambda one, other: False  # whether what one sends is lost
        self.sent = self.bytes = 0
        self.longest = 0
        self.codec = Codec("site", b"a key of sixteen")
        self.watch: Callable[[Place, MemberEvent], None] = lambda place, event: None

    def after(self, seconds: float, what: Callable[[], None]) -> None:
        heapq.heappush(self.heap, (self.now + seconds, next(self.order), what))

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self.heap and self.heap[0][0] <= end:
            self.now, _, what = heapq.heappop(self.heap)
            what()
        self.now = end

    def run_until(self, what: Callable[[], bool], most: float, step: float = 0.25) -> float:
        """Seconds that it took; ``AssertionError`` after ``most``."""
        began = self.now
        while not what():
            assert self.now - began < most, f"not within {most} s: {self.told()}"
            self.run(step)
        return self.now - began

    def us(self, place: Place) -> int:
        return round(self.now * SECOND) + place.clock

    def start(
        self, *names: str, seeds: Iterable[bytes] | None = None, codec: Codec | None = None, called: str = ""
    ) -> None:
        """``called``: the member's name, if not that of its machine."""
        for name in names:
            place = self.places[name]
            now = self.us(place)
            place.core = Membership(
                called or name,
                UNIX + now,
                Card(place.dial, b"", f"z{int(name[1:]) % 3}"),
                codec or self.codec,
                self.pace,
                random.Random(self.rng.random()),
                now,
                self.seeds if seeds is None else seeds,
                UNIX,
            )
            place.stopped, place.queue = False, []
            self.settle(place)

    def kill(self, *names: str) -> None:
        for name in names:
            self.places[name].core = None

    def stop(self, *names: str) -> None:
        for name in names:
            self.places[name].stopped = True

    def resume(self, *names: str) -> None:
        """What had come meanwhile waits in the socket, up to its bound."""
        for name in names:
            place = self.places[name]
            place.stopped = False
            if place.core is not None:
                place.core.wake(self.us(place))
                for source, data in place.queue[:64]:
                    place.core.receive(self.us(place), source, data)
                place.queue.clear()
                self.settle(place)

    def settle(self, place: Place) -> None:
        """Send what the core wants sent, keep its events, and come back when it is due."""
        core = place.core
        assert core is not None
        while core.events:
            event = core.events.pop(0)
            place.events.append((self.now, event))
            self.watch(place, event)
        for send in core.out:
            self.post(place, send.dial, send.data)
        core.out.clear()
        place.waking += 1
        self.after(
            max(0.0005, (core.wake_at - self.us(place)) / SECOND),
            lambda: self.wake(place, core, place_waking),
        )
        place_waking = place.waking

    def wake(self, place: Place, core: Membership, number: int) -> None:
        if place.core is core and place.waking == number and not place.stopped:
            core.wake(self.us(place))
            self.settle(place)

    def post(self, place: Place, dial: bytes, data: bytes) -> None:
        self.sent, self.bytes = self.sent + 1, self.bytes + len(data)
        self.longest = max(self.longest, len(data))
        to = self.at.get(dial)
        for _ in range(1 + (self.rng.random() < self.repeat)):
            if to is not None and self.rng.random() >= self.loss and not self.cut(place.name, to.name):
                self.after(self.rng.uniform(*self.delay), lambda: self.arrive(to, place.dial, data))

    def arrive(self, to: Place, source: bytes, data: bytes) -> None:
        if to.core is None:
            return
        if to.stopped:
            to.queue.append((source, data))
            return
        to.core.receive(self.us(to), source, data)
        self.settle(to)

    # What the tests ask.

    def core(self, name: str) -> Membership:
        core = self.places[name].core
        assert core is not None
        return core

    def cores(self) -> list[Membership]:
        return [p.core for p in self.places.values() if p.core is not None and not p.core.followed]

    def one_view(self, seen: Iterable[str] | None = None) -> bool:
        """Whether all that run have one settled view, and see just these (all that run, if not given)."""
        cores = self.cores()
        names = sorted({core.name for core in cores} if seen is None else seen)
        return (
            len({core.view.digest() for core in cores}) == 1
            and all(core.settled() for core in cores)
            and all(sorted(core.view.seen()) == names for core in cores)
        )

    def shown(self, at: str, of: str) -> str:
        member = self.core(at).view.members.get(of)
        return member.shown if member else "unknown"

    def happened(
        self, kind: str, about: str | None = None, at: str | None = None
    ) -> list[tuple[float, MemberEvent]]:
        return [
            (when, event)
            for place in self.places.values()
            if at in (None, place.name)
            for when, event in place.events
            if event.kind == kind and about in (None, event.name)
        ]

    def told(self) -> str:
        lines = []
        for core in self.cores()[:6]:
            states = {m.fact.name: m.shown for m in core.view.members.values() if m.fact.state != State.ALIVE}
            lines.append(
                f"{core.name}: {len(core.view.seen())} seen, digest {core.view.digest().hex()}, "
                f"lacks {core.reasons_unsettled()}, {states}"
            )
        return "\n".join(lines)


def halves(one: Iterable[str]) -> Callable[[str, str], bool]:
    """A cut between these and all others, both ways."""
    left = set(one)
    return lambda sender, hearer: (sender in left) != (hearer in left)
