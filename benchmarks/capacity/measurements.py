"""The measurements that one process can make in a few seconds, each at several sizes.

Every size runs in a process of its own, so that memory is counted from the same beginning.
"""

from __future__ import annotations

import gc
import json
import random
import sys
import time
import tracemalloc
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from multiprocessing import get_context
from pathlib import Path
from tempfile import TemporaryDirectory

import msgspec

from benchmarks.capacity.results import Measured, Size
from benchmarks.capacity.virtual_fleet import measure_faults, measure_hour, rested, seconds_until_called_dead
from gorsefork.configuration.store import RecordStore
from gorsefork.decisions import Gatekeeper
from gorsefork.decisions import interface as i
from gorsefork.decisions.rules import CALLS_ALL, CALLS_ALL_LEAST, CALLS_LEAST, CALLS_START
from gorsefork.fleet.facts import Card, Fact, State, packed
from gorsefork.life.plan_records import PlanRecords
from gorsefork.memory.clock import Clock
from gorsefork.memory.registry import Registry
from gorsefork.plans.book import Book
from gorsefork.plans.changes import Change, SetPlan
from gorsefork.plans.spreading import Arrivals, Page
from gorsefork.wire.discovery import read_list

BACKENDS_AN_INGRESS = 5300 / 620
FEED_WAIT = 10.0  # s that a question of the all-to-all feed stood
REQUESTS_A_SECOND = 129.0  # of one ingress: 80,000 over 620
UDP_AND_IP = 28  # bytes of heads of one datagram
UNIX = 1_800_000_000_000_000  # us

FAULTS_SIZES = (4, 10, 20, 40, 60)
MOST_PLAYED, MOST_KILLED = 620, 240  # members that are played; of fleets in which one is killed
REST, REST_OF_MANY = 10.0, 4.0  # s of virtual time, whole periods
VIEW_SIZES = (10, 20, 60, 120, 240, 480, 620, 1024)
CHANGES_AT_ONCE = 1_000
CHANGES_SIZES = (2_000, 5_000, 10_000, 20_000, 40_000, 62_000)
BACKENDS_SIZES = (53, 160, 530, 1060, 2120, 3180, 5300)
ACCOUNTS_SIZES = (100, 300, 1_000, 3_000, 6_000, 10_000)
USE_SIZES = (3_000, 10_000, 30_000, 100_000, 200_000)  # that wait
FLEET_SIZES = (6, 20, 62, 120, 240, 480, 620)
SEEDS = (1, 2)


class Stopwatch:
    """CPU time of this process in one part, in microseconds."""

    def __init__(self) -> None:
        self.us = 0.0
        self.turns = 0

    @contextmanager
    def running(self) -> Iterator[None]:
        began = time.process_time_ns()
        yield
        self.us += (time.process_time_ns() - began) / 1000
        self.turns += 1

    def mean(self) -> float:
        return self.us / max(1, self.turns)


def resident() -> int:
    """Bytes of this process that are in memory."""
    pages = int(Path("/proc/self/statm").read_text(encoding="ascii").split()[1])
    return pages * 4096


def allocated(make: Callable[[], object]) -> int:
    """Bytes that what ``make`` returns holds, as Python's allocator counts them."""
    gc.collect()
    tracemalloc.start()
    try:
        held = make()
        gc.collect()
        found = tracemalloc.get_traced_memory()[0]
        del held
        return found
    finally:
        tracemalloc.stop()


# The fleet's view, in virtual time.


def view_of(members: int) -> object:
    """One ingress's core that knows so many, each fact its own copy, as if it had come over the wire."""
    from gorsefork.fleet.membership import Membership, Pace
    from gorsefork.fleet.messages import Codec

    own = Card(packed("10.0.0.1:7000"), b"", "z0")
    core = Membership("n0", UNIX, own, Codec("site", b"a key of sixteen"), Pace(), random.Random(1), 0)
    for number in range(1, members):
        dial = packed(f"10.{number // 62_500}.{number // 250 % 250}.{number % 250 + 1}:7000")
        core.view.take(
            Fact(f"ingress-{number}", UNIX + number, 0, State.ALIVE, Card(dial, dial, "z1")), 0, "wire"
        )
    core.news.pieces.clear()
    core.events.clear()
    return core


def measure_view(members: int, seed: int) -> list[Measured]:
    def row(metric: str, value: float, unit: str, note: str = "") -> Measured:
        return Measured("fleet view", metric, Size(ingresses=members), value, unit, seed, note)

    memory = row("memory", allocated(lambda: view_of(members)), "B", "one core, tracemalloc")
    if members > MOST_PLAYED:
        return [memory]
    world, clock = rested(members, seed), Stopwatch()
    rest = REST if members <= MOST_KILLED else REST_OF_MANY
    sent, counted = world.sent, world.bytes
    with clock.running():
        world.run(rest)
    datagrams = (world.sent - sent) / rest / members
    size = (world.bytes - counted) / rest / members
    found = [
        memory,
        row("CPU at rest", clock.us / rest / members, "us/s", "virtual time, without sockets"),
        row("datagrams sent at rest", datagrams, "1/s"),
        row("bytes sent at rest", size, "B/s", "without UDP and IP heads"),
        row(
            "bytes both ways at rest",
            2.0 * (size + UDP_AND_IP * datagrams),
            "B/s",
            "with 28 bytes of heads for each datagram",
        ),
    ]
    if members <= MOST_KILLED:
        counted = world.bytes
        took = seconds_until_called_dead(world, seed)
        spent = (world.bytes - counted) / members
        found.append(row("detection by all", took, "s", "one killed, no loss, delay to 5 ms"))
        found.append(
            row("bytes sent for one death", max(0.0, spent - took * size), "B", "beyond those at rest")
        )
    return found


# The plan book.


def plan_change(number: int) -> Change:
    act = SetPlan(f"{number:016x}", "large-museum", UNIX + 2_000_000)
    return Change(UNIX + number, f"n{number % 620}", act, "operator-1", "moved at the customer's wish")


def measure_plan_book(changes: int, seed: int) -> list[Measured]:
    def row(metric: str, value: float, unit: str, note: str = "") -> Measured:
        return Measured("plan book", metric, Size(tenants=changes), value, unit, seed, note)

    gc.collect()
    before = resident()
    build, one, digest, walk = Stopwatch(), Stopwatch(), Stopwatch(), Stopwatch()
    book = Book(PlanRecords(RecordStore()))
    for start in range(0, changes, CHANGES_AT_ONCE):
        made = [plan_change(number) for number in range(start, min(start + CHANGES_AT_ONCE, changes))]
        with build.running():
            for change in made:
                book.add(change)
    del made
    gc.collect()
    memory = resident() - before
    with walk.running():
        pages = [len(msgspec.msgpack.encode(page)) for page in whole_book(book)]
    for number in range(changes, changes + 200):
        with one.running():
            book.add(plan_change(number))
    with digest.running():
        book.digest()
    return [
        row("memory", memory, "B", "growth of the resident set"),
        row("build", build.us / 1e6, "s", "CPU, one change after another"),
        row("one change", one.mean(), "us", "CPU"),
        row("digest", digest.us / 1000, "ms", "CPU, on the loop at each answer of the feed"),
        row("whole book in pages", sum(pages), "B", f"MessagePack, {len(pages)} pages"),
        row("largest page", max(pages), "B", "MessagePack"),
        row("whole book given out", walk.us / 1e6, "s", "CPU, pages made and encoded"),
    ]


def whole_book(book: Book) -> Iterator[Page]:
    """All pages of the feed that a new life of another ingress asks for."""
    arrivals = Arrivals("life", book)
    page = arrivals.page("", 0, book)
    yield page
    while page.life != arrivals.life:
        page = arrivals.page(page.life, page.position, book)
        yield page


# The decision module.


class Module:
    """One real decision module, and what its host would do with timers and sends, in virtual time."""

    def __init__(self, backends: int, ingresses: int, seed: int) -> None:
        classes = [i.RequestClass("fetch", aim=1.0, deadline=3.0)]
        limits = i.Limits(
            max_attempts=4, cancel=True, second_copies=True, retry_after=True, max_retry_after=2.0
        )
        guards = i.Guards(cold_share=0.3, ramp=10.0, fall_multiple=2.5, drain_grace=0.25)
        given = i.Settings(classes, [i.Plan("open")], 3, ingresses, limits=limits, guards=guards)
        self.gate, self.now, self.timers = Gatekeeper(given, seed), 100.0, list[tuple[float, str]]()
        self.entries = [i.ServerEntry(f"s{n}", zone=n % 8, cell=n // 8) for n in range(backends)]

    def handle(self, clock: Stopwatch, *events: i.Event) -> list[i.Action]:
        with clock.running():
            actions = list(self.gate.handle(self.now, events))
        self.timers += [(self.now + a.delay, a.token) for a in actions if isinstance(a, i.SetTimer)]
        return actions

    def pass_time(self, until: float, clocks: dict[str, Stopwatch]) -> None:
        """Timers in their order; ``clocks``: of the tick, and of all others."""
        while self.timers and min(self.timers)[0] <= until:
            due = min(self.timers)
            self.timers.remove(due)
            self.now = max(self.now, due[0])
            self.handle(clocks["tick" if due[1] == "tick" else "other"], i.Timer(due[1]))
        self.now = until


def measure_decisions(backends: int, seed: int) -> list[Measured]:
    ingresses = max(2, round(backends / BACKENDS_AN_INGRESS))

    def row(metric: str, value: float, unit: str, note: str = "CPU") -> Measured:
        return Measured("decision module", metric, Size(ingresses, backends), value, unit, seed, note)

    def loaded() -> Module:
        module = Module(backends, ingresses, seed)
        module.handle(Stopwatch(), i.ServerList("full", module.entries))
        return module

    memory = allocated(loaded)
    names = ("choice", "again", "answer", "tick", "other", "whole list", "change")
    module, clocks = loaded(), {name: Stopwatch() for name in names}
    for number in range(600):
        module.pass_time(module.now + 1.0 / REQUESTS_A_SECOND, clocks)
        name = f"r{number}"
        asked = module.handle(clocks["choice"], i.Request(name, 0, 0, f"c{number}", 3.0))
        sent = [action for action in asked if isinstance(action, i.Send)]
        if sent and number % 10 == 9:  # one in ten finds no connection, and is sent again
            broken = i.Outcome(name, 0, sent[0].server, "connect_failed", 0.001, False)
            sent = [a for a in module.handle(clocks["again"], broken) if isinstance(a, i.Send)]
        if sent:
            attempt = int(number % 10 == 9)
            module.handle(clocks["answer"], i.Outcome(name, attempt, sent[0].server, "ok", 0.05, True))
    for _ in range(3):
        module.handle(clocks["whole list"], i.ServerList("full", list(module.entries)))
    changed = [i.ServerEntry(f"s{n}", "draining", zone=n % 8) for n in range(0, backends, 9)]
    module.handle(clocks["change"], i.ServerList("delta", changed))
    return [
        row("memory", memory, "B", "tracemalloc, its list's entries with it"),
        row("choice", clocks["choice"].mean(), "us"),
        row("another attempt", clocks["again"].mean(), "us"),
        row("tick", clocks["tick"].mean(), "us"),
        row("whole list applied", clocks["whole list"].mean() / 1000, "ms"),
        row("a ninth of the list changed", clocks["change"].mean() / 1000, "ms"),
    ]


# The counter's shares: what is kept of each customer that was seen of late.


def measure_accounts(customers: int, seed: int) -> list[Measured]:
    """One request each at one moment, so that nobody is forgotten meanwhile; the counter answers nothing."""

    def row(metric: str, value: float, unit: str, note: str) -> Measured:
        return Measured("quota accounts", metric, Size(620, 53, customers), value, unit, seed, note)

    def seen() -> object:
        plans = [i.Plan("rated", rate=4.0, burst=24.0)]
        classes = [i.RequestClass("fetch", aim=1.0, deadline=3.0)]
        given = i.Settings(classes, plans, 3, 620, accounting=i.Accounting(counter=True))
        gate = Gatekeeper(given, seed)
        for number in range(customers):
            name = f"{number:016x}"
            gate.handle(100.0, [i.Request(name, 0, 0, name, 3.0)])
            gate.handle(100.0, [i.Gone(name)])
        return gate

    return [row("memory", allocated(seen), "B", "tracemalloc, module and settings with it")]


# Use on its way to the accounts.


def measure_use(lines: int, seed: int) -> list[Measured]:
    from gorsefork.usage.records import Batch, Use
    from gorsefork.usage.store import VolatileStore

    def row(metric: str, value: float, unit: str, note: str = "") -> Measured:
        return Measured("use", metric, Size(620), value, unit, lines, note)

    def uses() -> tuple[Use, ...]:
        return tuple(
            Use(n + 1, f"{n:016x}", "large-museum", "track-fetch", 1_000_000, UNIX + n) for n in range(lines)
        )

    def stored() -> object:
        store = VolatileStore("n0", UNIX)
        store.append(uses())
        return store

    batch, encode = Batch("n0", UNIX, 1, uses(), 1), Stopwatch()
    for _ in range(20):
        with encode.running():
            batch.encode("msgpack")
    note = f"of {lines} in a batch"
    return [
        row("bytes of one, MessagePack", len(batch.encode("msgpack")) / lines, "B", note),
        row("bytes of one, lines of JSON", len(batch.encode("ndjson")) / lines, "B", note),
        row("encoding one", encode.mean() / lines, "us", f"CPU, {note}"),
        row("memory of one that waits", allocated(stored) / lines, "B", f"tracemalloc, {note}"),
    ]


def measure_use_store(waiting: int, seed: int) -> list[Measured]:
    """On disk, with so many that the accounts lack; written 129 at a time, as many as come in a second."""
    from gorsefork.storage.database import Database
    from gorsefork.storage.uses import DurableStore
    from gorsefork.usage.records import Use

    def row(metric: str, value: float, unit: str, note: str = "") -> Measured:
        return Measured("use on disk", metric, Size(tenants=waiting), value, unit, seed, note)

    def uses(first: int, many: int) -> list[Use]:
        return [
            Use(n, f"{n:016x}", "large-museum", "track-fetch", 1_000_000, UNIX + n)
            for n in range(first, first + many)
        ]

    append, batch, opening = Stopwatch(), Stopwatch(), Stopwatch()
    group = round(REQUESTS_A_SECOND)
    with TemporaryDirectory() as folder:
        database = Database(Path(folder), "n0", "normal")
        store = DurableStore(database, UNIX)
        store.append(uses(1, waiting))
        for number in range(20):
            some = uses(waiting + 1 + number * group, group)
            with append.running():
                store.append(some)
        with batch.running():
            store.batch(500)
        size = sum(path.stat().st_size for path in Path(folder).iterdir())
        database.close()
        with opening.running():
            database = Database(Path(folder), "n0", "normal")
            DurableStore(database, UNIX + 1)
        database.close()
    return [
        row("written, one", append.mean() / group, "us", f"CPU, {group} at a time, sync normal"),
        row("read for a batch of 500", batch.mean() / 1000, "ms", "CPU"),
        row("bytes on disk, one", size / (waiting + 20 * group), "B", "with the write-ahead log"),
        row("opened", opening.mean() / 1000, "ms", "CPU"),
    ]


# Discovery's list.


def measure_discovery(backends: int, seed: int) -> list[Measured]:
    def row(metric: str, value: float, unit: str, note: str = "") -> Measured:
        return Measured("discovery list", metric, Size(backends=backends), value, unit, seed, note)

    states = ("active", "active", "active", "leaving")
    hosts = [
        {
            "host": f"box-{n:05d}",
            "dial": f"10.{n // 62_500}.{n // 250 % 250}.{n % 250 + 1}:9000",
            "health": states[n % len(states)],
            "born_ms": 1_800_000_000_000 + n,
            "site": f"zone-{n % 8}",
            "class": "guide",
            "block": n // 8,
            "share": 1.0,
        }
        for n in range(backends)
    ]
    text = json.dumps({"whole": True, "seq": 17, "hosts": hosts}).encode()
    read, applied = Stopwatch(), Stopwatch()
    registry = Registry(lambda news: None, lambda host: None)
    read_list(json.loads(text), Clock())  # the first reading pays for what is loaded lazily
    for _ in range(3):
        with read.running():
            news = read_list(json.loads(text), Clock())
        with applied.running():
            registry.apply(news)
    return [
        row("bytes of the whole list", len(text), "B"),
        row("read", read.mean() / 1000, "ms", "CPU"),
        row("taken into the registry", applied.mean() / 1000, "ms", "CPU, without the backends' actors"),
    ]


# Worked out from the program's own constants.


def work_out_feed(ingresses: int, seed: int) -> list[Measured]:
    """All-to-all, as ``wire/services/fellows.py`` asks: a connection and a standing question a pair."""

    def row(metric: str, value: float, unit: str, note: str) -> Measured:
        return Measured("all-to-all feed", metric, Size(ingresses), value, unit, seed, f"arithmetic: {note}")

    others = ingresses - 1
    asked = others / FEED_WAIT
    empty = len(
        msgspec.msgpack.encode(Page("1796128930762813", 62_000, 62_000, False, (), "62000-" + "0" * 32))
    )
    one = Page("1796128930762813", 62_000, 62_000, False, (plan_change(1),), "62000-" + "0" * 32)
    heads = 260 + 120  # a question's and an answer's, as the client and the control front write them
    return [
        row("descriptors", 2 * others, "", "one connection to and one from each other"),
        row("questions and answers at rest", 4 * asked, "1/s", "each pair asks once in 10 s, both ways"),
        row("bytes at rest", 2 * asked * (heads + empty), "B/s", "heads reckoned at 380 bytes, a guess"),
        row(
            "bytes of one change",
            2 * others * (heads + len(msgspec.msgpack.encode(one))),
            "B",
            "the same guess",
        ),
    ]


def work_out_counter(ingresses: int, seed: int) -> list[Measured]:
    def row(metric: str, value: float, unit: str, note: str) -> Measured:
        return Measured("counter", metric, Size(ingresses), value, unit, seed, f"arithmetic: {note}")

    first = min(CALLS_START, CALLS_ALL / ingresses)
    least = min(CALLS_LEAST, CALLS_ALL_LEAST / ingresses)
    return [
        row("calls at the start", first, "1/s", "CALLS_START, CALLS_ALL over all"),
        row("calls at the start by all", first * ingresses, "1/s", "the same"),
        row("calls while it is silent", least, "1/s", "CALLS_LEAST, CALLS_ALL_LEAST over all"),
        row("calls while it is silent by all", least * ingresses, "1/s", "the same"),
    ]


class Measurement(msgspec.Struct, frozen=True):
    """``measure`` is given one size and one seed."""

    measure: Callable[[int, int], list[Measured]]
    sizes: tuple[int, ...]
    seeds: tuple[int, ...] = SEEDS
    one_seed_beyond: int = sys.maxsize  # sizes that take too long for several

    def seeds_of(self, size: int) -> tuple[int, ...]:
        return self.seeds[:1] if size > self.one_seed_beyond else self.seeds


MEASUREMENTS = {
    "view": Measurement(measure_view, VIEW_SIZES, (1, 2, 3), 120),
    "faults": Measurement(measure_faults, FAULTS_SIZES, (1, 2, 3), 40),
    "hour": Measurement(measure_hour, (6, 12, 18), (1,)),
    "plan-book": Measurement(measure_plan_book, CHANGES_SIZES),
    "decisions": Measurement(measure_decisions, BACKENDS_SIZES),
    "discovery": Measurement(measure_discovery, BACKENDS_SIZES),
    "accounts": Measurement(measure_accounts, ACCOUNTS_SIZES, (1,)),
    "use": Measurement(measure_use, (500,), (1,)),
    "use-store": Measurement(measure_use_store, USE_SIZES, (1,)),
    "feed": Measurement(work_out_feed, FLEET_SIZES, (0,)),
    "counter": Measurement(work_out_counter, FLEET_SIZES, (0,)),
}


def measure(name: str, most: int = 0) -> list[Measured]:
    """All sizes of one measurement up to ``most`` (0: all), one process after another."""
    measurement = MEASUREMENTS[name]
    found: list[Measured] = []
    context = get_context("spawn")
    with context.Pool(1, maxtasksperchild=1) as pool:
        for size in [each for each in measurement.sizes if not most or each <= most]:
            for seed in measurement.seeds_of(size):
                found += pool.apply(measurement.measure, (size, seed))
                print(f"{name} {size} seed {seed}", file=sys.stderr, flush=True)
    return found
