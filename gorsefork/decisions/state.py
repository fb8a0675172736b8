"""Plain records and queues that the decision module keeps. Nothing is decided here."""

from __future__ import annotations

import heapq
import math
from bisect import bisect_left, insort
from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from hashlib import blake2s
from itertools import islice
from operator import attrgetter
from struct import Struct
from typing import TYPE_CHECKING, NamedTuple
from zlib import crc32

from gorsefork.decisions import interface as i

if TYPE_CHECKING:
    from gorsefork.decisions.rules import Account, Lane


NOTE = Struct("<c8sBfI")
MARK = attrgetter("mark")
NEVER = -math.inf  # one object for all servers
IDLE_SPANS, IDLE_ACCOUNT = 2.5, 5.0  # an unused account is kept for its count's life, and s more


class Server:
    """A server's open work, learned speed and health, all from this gatekeeper's own traffic."""

    __slots__ = (
        "answered_at",
        "barred_until",
        "cold_from",
        "credit",
        "entry",
        "errors",
        "filled_at",
        "full",
        "mark",
        "on_ring",
        "open",
        "overtook",
        "pace",
        "sampled_at",
        "silent",
        "tried_at",
        "unmet",
    )

    def __init__(self, entry: i.ServerEntry) -> None:
        self.entry = entry
        self.open: dict[tuple[str, int], tuple[float, float]] = {}  # attempt -> sent at, latency to expect
        self.pace, self.errors = 1.0, 0.0  # latency over the class mean; share of failures
        self.sampled_at = self.answered_at = self.tried_at = self.filled_at = NEVER
        self.cold_from, self.credit, self.silent = NEVER, 0.0, False
        self.barred_until = NEVER  # no connection was had: passed by till then
        self.overtook = NEVER  # when the latest attempt that has its answer was sent
        self.unmet = 0  # connections in a row that were not had
        self.mark, self.on_ring = crc32(entry.server.encode()), False  # where on the ring; whether
        self.full: dict[tuple[int, int], float] = {}  # class and plan turned away -> until when

    def oldest(self, now: float) -> tuple[float, float]:
        """When the oldest open attempt was sent, and the latency to expect of it."""
        return next(iter(self.open.values()), (now, 1.0))

    def slowness(self, now: float) -> float:
        """Latency against the class's, or the oldest open attempt's age: it shows before the answer does."""
        if not self.open:
            return self.pace
        sent_at, expected = self.oldest(now)
        return max(self.pace, (now - sent_at) / expected / 3.0)


class Servers:
    """The servers by name, and the ready ones as a ring that all gatekeepers go round the same way.

    ``start``: the share of the ring at which this gatekeeper's own order begins.
    """

    def __init__(self, start: float) -> None:
        self.start = start
        self.servers: dict[str, Server] = {}
        self.ring: list[Server] = []  # the ready ones, by their marks
        self.ready: list[Server] = []  # the same, from this gatekeeper's own place on
        self.leaving: list[Server] = []  # gone, with attempts open
        self.used: dict[Server, None] = {}  # sent to of late; those looked at longest ago first
        self.groups: dict[tuple[str, int], list[Server]] = {}  # of the ready ones, once asked for

    def merge(self, news: i.ServerList) -> list[Server]:
        """Bring table and ring up to date; what a complete list leaves out is gone. The servers it names."""
        changed = self.left_out(news) if news.kind in ("full", "cached") else []
        for entry in news.entries if news.kind != "failed" else ():
            if (server := self.servers.get(entry.server)) is None:
                server = self.servers[entry.server] = Server(entry)
            server.entry = entry
            changed.append(server)
        changed = list(dict.fromkeys(changed))
        gone = [s for s in dict.fromkeys((*self.leaving, *changed)) if s.entry.state == "gone"]
        for server in gone:
            if not server.open:
                del self.servers[server.entry.server]
                self.used.pop(server, None)
        self.leaving = [server for server in gone if server.open]
        self.order(changed)
        return changed

    def left_out(self, news: i.ServerList) -> list[Server]:
        """Those that a complete list does not name: gone."""
        listed, left = {entry.server for entry in news.entries}, []
        for name, server in self.servers.items():
            if name not in listed:
                old = server.entry
                server.entry = i.ServerEntry(name, "gone", old.started, old.kind, old.zone, old.cell)
                left.append(server)
        return left

    def order(self, changed: list[Server]) -> None:
        """The ring after a change, at a cost of what has changed."""
        for server in changed:
            ready = server.entry.state == "ready"
            if ready and not server.on_ring:
                insort(self.ring, server, key=MARK)
            elif server.on_ring and not ready:
                del self.ring[self.ring.index(server, bisect_left(self.ring, server.mark, key=MARK))]
            server.on_ring = ready
        at = self.begin()
        self.ready, self.groups = self.ring[at:] + self.ring[:at], {}

    def begin(self) -> int:
        """Where on the ring this gatekeeper's order begins: as many begin at any stretch of it."""
        return int(self.start * len(self.ring))

    def place(self, server: Server) -> int:
        """Of a server among ``ready``, or where it would stand there."""
        at = bisect_left(self.ring, server.mark, key=MARK)
        return (at - self.begin()) % max(1, len(self.ring))

    def total(self, value: Callable[[Server], float], most: int, looks: int) -> float:
        """The sum of a value over the first ``most`` ready ones; beyond ``looks`` of them, by every second,
        third, ... one."""
        each = max(1, math.ceil(most / looks))
        return each * sum(map(value, self.ready[:most:each]))

    def turn(self, looks: int) -> list[Server]:
        """The next of those sent to of late: at most ``looks``, each in its turn."""
        turn = list(islice(self.used, looks))
        for server in turn:
            del self.used[server]
            self.used[server] = None
        return turn

    def group(self, scope: i.Scope, ran: list[Attempt]) -> list[Server]:
        """The ready ones in the zone or cell that a request is bound to by the attempts that may have run."""
        if scope == "all" or not ran:
            return self.ready
        if not self.groups:
            for server in self.ready:
                entry = server.entry
                self.groups.setdefault(("zone", entry.zone), []).append(server)
                self.groups.setdefault(("cell", entry.cell), []).append(server)
        return self.groups.get((scope, ran[0].zone if scope == "zone" else ran[0].cell), [])


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt at a request, with the group its server was in when it was sent."""

    server: Server
    sent_at: float
    zone: int
    cell: int
    open: bool = True
    may_have_run: bool = True
    counted: bool = True  # among its lane's open ones


@dataclass(slots=True, eq=False)
class Ticket:
    """A request that this gatekeeper owes one final answer."""

    request: i.Request
    cls: i.RequestClass
    plan: i.Plan
    account: Account
    lane: Lane
    ends: float
    wanted_by: float
    hold_until: float
    rank: float  # among a customer's waits, lowest first
    attempts: list[Attempt] = field(default_factory=list)
    closed: bool = False
    streaming: bool = False
    held: bool = False
    inside: bool = False
    reserved: bool = False
    serial: int = 0  # of the ask to the customer's keeper; 0: judged here
    asks: int = 0  # how often its keeper was asked
    back_in: float = 0.0  # s until there may be room, as the keeper said

    @staticmethod
    def opened(
        request: i.Request,
        cls: i.RequestClass,
        plan: i.Plan,
        account: Account,
        lane: Lane,
        now: float,
        wanted: float,
        hold: float,
    ) -> Ticket:
        """A ticket for a request that arrives at ``now``; ``wanted`` and ``hold`` are seconds from then."""
        ends, rank = now + request.left, -cls.worth * plan.price
        return Ticket(request, cls, plan, account, lane, ends, now + wanted, now + hold, rank)

    @property
    def id(self) -> str:
        """The id of its request, by which the host knows it."""
        return self.request.id

    def open_attempts(self) -> int:
        return sum(a.open for a in self.attempts)

    def open_attempt(self, number: int) -> Attempt | None:
        """The attempt of that number, if there is one and it has not ended."""
        known = 0 <= number < len(self.attempts) and self.attempts[number].open
        return self.attempts[number] if known else None

    def may_have_run(self) -> list[Attempt]:
        return [a for a in self.attempts if a.may_have_run]

    def repeat_by(self) -> float:
        """The end of the window for its repeats: it begins with the first attempt that may have run."""
        ran = self.may_have_run() if self.cls.effect == "by_key" else []
        return ran[0].sent_at + self.cls.window if ran else math.inf

    def waits(self) -> bool:
        return self.held and not self.closed


class Backlog:
    """Queues of held tickets, one a rank; those that no longer wait drop out."""

    def __init__(self, ranks: int) -> None:
        self.queues: list[deque[Ticket]] = [deque() for _ in range(ranks)]

    def add(self, ticket: Ticket, rank: int, front: bool = False) -> None:
        ticket.held = True
        if front:
            self.queues[rank].appendleft(ticket)
        else:
            self.queues[rank].append(ticket)

    def head(self, ranks: int) -> Ticket | None:
        for queue in self.queues[:ranks]:
            while queue and not queue[0].waits():
                queue.popleft()
            if queue:
                return queue[0]
        return None

    def __bool__(self) -> bool:
        return self.head(len(self.queues)) is not None


class Waits:
    """Tickets waiting for one customer's room, by rank, with the units they ask for."""

    def __init__(self) -> None:
        self.heap: list[tuple[float, int, Ticket]] = []
        self.units, self.serial = 0.0, 0

    def push(self, ticket: Ticket) -> None:
        self.serial += 1
        self.units += ticket.request.units
        heapq.heappush(self.heap, (ticket.rank, self.serial, ticket))

    def top(self) -> Ticket | None:
        while self.heap and not self.heap[0][2].waits():
            self.pop()
        return self.heap[0][2] if self.heap else None

    def pop(self) -> None:
        self.units -= heapq.heappop(self.heap)[2].request.units


class Note(NamedTuple):
    """A short message between gatekeepers about one customer's account."""

    kind: bytes
    tag: str
    plan: int
    amount: float  # units, or seconds until there may be room
    serial: int

    def packed(self) -> bytes:
        return NOTE.pack(self.kind, bytes.fromhex(self.tag), self.plan, self.amount, self.serial)

    @staticmethod
    def read(data: bytes, plans: int) -> Note | None:
        """None for what is torn or names no plan or number."""
        if len(data) != NOTE.size:
            return None
        kind, tag, plan, amount, serial = NOTE.unpack(data)
        return Note(kind, tag.hex(), plan, amount, serial) if plan < plans and math.isfinite(amount) else None


class Words(OrderedDict[tuple[int, int], bool]):
    """A keeper's words by sender and serial. Beyond so many the oldest is forgotten: asked again it would be
    paid for twice, after more tries of one customer than come in the time that it may be asked again."""

    MOST = 32

    def put(self, ask: tuple[int, int], word: bool) -> None:
        self[ask] = word
        while len(self) > self.MOST:
            self.popitem(last=False)


class Ledger:
    """What is kept of one customer between calls on its count."""

    def __init__(self, plan: i.Plan, now: float) -> None:
        self.plan, self.at = plan, now
        self.pending = self.seen = 0.0  # units not yet added; total last read of this span
        self.level = self.mine = 0.0  # units left to all; to this gatekeeper
        self.span, self.phase = 1.0, 0.0  # s that a count holds; where in it this customer's counts begin
        self.own = self.others = 0.0  # units added lately, here and elsewhere
        self.epoch, self.call = -1, (0, 0.0)  # span last called for; span and amount of the call now out
        self.call_name = ""  # of the call now out
        self.calling = self.timed = False
        self.due = math.inf  # its rank in the line for calls, if it stands there
        self.waits, self.claims = Waits(), list[Ticket]()  # claims: waits whose units went with the call
        self.open, self.read_at, self.lent_at = 0, -math.inf, -math.inf
        self.short, self.ceiling = -1, 0.0  # last span found used up; this gatekeeper's part of the ceiling
        self.keeper: int | None = None  # the gatekeeper that keeps this account for its set, if another does
        self.leases: deque[float] = deque()  # when the open tries of peers that asked count no more
        self.words = Words()  # on tries that peers asked about lately
        self.handed = False  # its room is another process's by now: none grows here
        self.own_terms = False  # its plan is what was told of this customer, not what a request names
        self.carried, self.carried_at = 0.0, now  # units spent before a change, in no count of this span's

    def epoch_at(self, now: float) -> int:
        return math.floor((now + self.phase) / self.span)

    def spend(self, units: float) -> None:
        if self.plan.rate > 0:
            self.level -= units
            self.mine -= units
            self.pending += units

    def carries(self, now: float) -> float:
        """What is left of the units carried over a change of terms: they are made good at the plan's rate."""
        return max(0.0, self.carried - self.plan.rate * (now - self.carried_at))

    def busy(self) -> bool:
        """Whether a call or a try of its own is under way or waits. To stand in the line is not enough: where
        calls are short some never get theirs, and what they would add was for a span long past."""
        return bool(self.calling or self.open or self.waits.heap or self.claims)

    def out(self, now: float) -> int:
        """Tries open here, and at the gatekeepers of the set that asked."""
        while self.leases and self.leases[0] <= now:
            self.leases.popleft()
        return self.open + len(self.leases)


class Line:
    """Accounts by rank, lowest first, the newest first among equals; each stands at its best rank only."""

    LEAST = 64  # entries below which those that hold no more are not looked for

    def __init__(self) -> None:
        self.heap: list[tuple[float, int, Account]] = []
        self.serial, self.most = 0, self.LEAST

    def push(self, rank: float, account: Account) -> None:
        self.serial += 1
        account.due = rank
        heapq.heappush(self.heap, (rank, -self.serial, account))
        if len(self.heap) > self.most:
            # Guards against a line that keeps all who ever stood in it: while calls are short its end is
            # never reached, and what has left it would stay there with all that it holds.
            self.heap = [entry for entry in self.heap if entry[2].due == entry[0]]
            heapq.heapify(self.heap)
            self.most = max(self.LEAST, 2 * len(self.heap))

    def first(self) -> Account | None:
        while self.heap and self.heap[0][2].due != self.heap[0][0]:
            heapq.heappop(self.heap)
        return self.heap[0][2] if self.heap else None

    def pop(self) -> Account:
        account = heapq.heappop(self.heap)[2]
        account.due = math.inf
        return account

    def __len__(self) -> int:
        return len(self.heap) if self.first() else 0


class Accounts(OrderedDict[str, "Account"]):
    """Accounts by their customers' tags, the longest unused first."""

    @staticmethod
    def tag_of(customer: str) -> bytes:
        return blake2s(customer.encode(), digest_size=8).digest()

    def forget(self, now: float) -> None:
        """Guards against a table that grows with customers ever seen. Two at a time: faster than any come."""
        for tag, old in list(islice(self.items(), 2)):
            if now - old.at < IDLE_SPANS * old.span + IDLE_ACCOUNT:
                return
            if old.busy():
                self.move_to_end(tag)
            else:
                old.due = math.inf  # it stands in no line any more
                del self[tag]
