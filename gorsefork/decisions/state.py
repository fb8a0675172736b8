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
    from gorsefork.decisions.rules import PriorityLevel, QuotaAccount


QUOTA_MESSAGE_FORMAT = Struct("<c8sBfI")
RING_HASH = attrgetter("ring_hash")
NEVER = -math.inf  # one object for all servers
IDLE_ACCOUNT_SPANS, IDLE_ACCOUNT_S = 2.5, 5.0  # an unused account is kept for its count's life, and s more


class Backend:
    """A server's open work, learned speed and health, all from this gatekeeper's own traffic."""

    __slots__ = (
        "answered_at",
        "avoided_until",
        "entry",
        "error_rate",
        "failed_connects",
        "full_until",
        "last_answered_send_at",
        "latency_ratio",
        "on_ring",
        "open_attempts",
        "ring_hash",
        "sampled_at",
        "silent",
        "slow_start_from",
        "slow_start_tokens",
        "tokens_filled_at",
        "trial_at",
    )

    def __init__(self, entry: i.BackendEntry) -> None:
        self.entry = entry
        # attempt -> sent at, latency to expect
        self.open_attempts: dict[tuple[str, int], tuple[float, float]] = {}
        self.latency_ratio, self.error_rate = 1.0, 0.0  # latency over the class mean; share of failures
        self.sampled_at = self.answered_at = self.trial_at = self.tokens_filled_at = NEVER
        self.slow_start_from, self.slow_start_tokens, self.silent = NEVER, 0.0, False
        self.avoided_until = NEVER  # no connection was had: passed by till then
        self.last_answered_send_at = NEVER  # when the latest attempt that has its answer was sent
        self.failed_connects = 0  # connections in a row that were not had
        self.ring_hash, self.on_ring = crc32(entry.backend.encode()), False  # where on the ring; whether
        self.full_until: dict[tuple[int, int], float] = {}  # class and plan turned away -> until when

    def oldest_attempt(self, now: float) -> tuple[float, float]:
        """When the oldest open attempt was sent, and the latency to expect of it."""
        return next(iter(self.open_attempts.values()), (now, 1.0))

    def slowness(self, now: float) -> float:
        """Latency against the class's, or the oldest open attempt's age: it shows before the answer does."""
        if not self.open_attempts:
            return self.latency_ratio
        sent_at, expected = self.oldest_attempt(now)
        return max(self.latency_ratio, (now - sent_at) / expected / 3.0)


class BackendTable:
    """The servers by name, and the ready ones as a ring that all gatekeepers go round the same way.

    ``start``: the share of the ring at which this gatekeeper's own order begins.
    """

    def __init__(self, start: float) -> None:
        self.ring_offset = start
        self.backends: dict[str, Backend] = {}
        self.ring: list[Backend] = []  # the ready ones, by their marks
        self.ready: list[Backend] = []  # the same, from this gatekeeper's own place on
        self.removed_in_use: list[Backend] = []  # gone, with attempts open
        self.recently_used: dict[Backend, None] = {}  # sent to of late; those looked at longest ago first
        self.groups: dict[tuple[str, int], list[Backend]] = {}  # of the ready ones, once asked for

    def apply_list(self, news: i.BackendList) -> list[Backend]:
        """Bring table and ring up to date; what a complete list leaves out is gone. The servers it names."""
        changed = self.mark_unlisted_gone(news) if news.kind in ("full", "cached") else []
        for entry in news.entries if news.kind != "failed" else ():
            if (server := self.backends.get(entry.backend)) is None:
                server = self.backends[entry.backend] = Backend(entry)
            server.entry = entry
            changed.append(server)
        changed = list(dict.fromkeys(changed))
        gone = [s for s in dict.fromkeys((*self.removed_in_use, *changed)) if s.entry.state == "gone"]
        for server in gone:
            if not server.open_attempts:
                del self.backends[server.entry.backend]
                self.recently_used.pop(server, None)
        self.removed_in_use = [server for server in gone if server.open_attempts]
        self.update_ring(changed)
        return changed

    def mark_unlisted_gone(self, news: i.BackendList) -> list[Backend]:
        """Those that a complete list does not name: gone."""
        listed, left = {entry.backend for entry in news.entries}, []
        for name, server in self.backends.items():
            if name not in listed:
                old = server.entry
                server.entry = i.BackendEntry(name, "gone", old.started, old.kind, old.zone, old.cell)
                left.append(server)
        return left

    def update_ring(self, changed: list[Backend]) -> None:
        """The ring after a change, at a cost of what has changed."""
        for server in changed:
            ready = server.entry.state == "ready"
            if ready and not server.on_ring:
                insort(self.ring, server, key=RING_HASH)
            elif server.on_ring and not ready:
                del self.ring[
                    self.ring.index(server, bisect_left(self.ring, server.ring_hash, key=RING_HASH))
                ]
            server.on_ring = ready
        at = self.ring_start()
        self.ready, self.groups = self.ring[at:] + self.ring[:at], {}

    def ring_start(self) -> int:
        """Where on the ring this gatekeeper's order begins: as many begin at any stretch of it."""
        return int(self.ring_offset * len(self.ring))

    def ring_rank(self, server: Backend) -> int:
        """Of a server among ``ready``, or where it would stand there."""
        at = bisect_left(self.ring, server.ring_hash, key=RING_HASH)
        return (at - self.ring_start()) % max(1, len(self.ring))

    def sampled_sum(self, value: Callable[[Backend], float], most: int, looks: int) -> float:
        """The sum of a value over the first ``most`` ready ones; beyond ``looks`` of them, by every second,
        third, ... one."""
        each = max(1, math.ceil(most / looks))
        return each * sum(map(value, self.ready[:most:each]))

    def next_recently_used(self, looks: int) -> list[Backend]:
        """The next of those sent to of late: at most ``looks``, each in its turn."""
        turn = list(islice(self.recently_used, looks))
        for server in turn:
            del self.recently_used[server]
            self.recently_used[server] = None
        return turn

    def in_scope(self, scope: i.Scope, ran: list[Attempt]) -> list[Backend]:
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

    backend: Backend
    sent_at: float
    zone: int
    cell: int
    open: bool = True
    may_have_run: bool = True
    counts_as_open: bool = True  # among its lane's open ones


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A request that this gatekeeper owes one final answer."""

    request: i.Request
    request_class: i.RequestClass
    plan: i.Plan
    account: QuotaAccount
    priority_level: PriorityLevel
    deadline: float
    aim_deadline: float
    hold_until: float
    rank: float  # among a customer's waits, lowest first
    attempts: list[Attempt] = field(default_factory=list)
    closed: bool = False
    streaming: bool = False
    held: bool = False
    within_quota: bool = False
    reserved: bool = False
    owner_serial: int = 0  # of the ask to the customer's keeper; 0: judged here
    owner_requests: int = 0  # how often its keeper was asked
    room_expected_in: float = 0.0  # s until there may be room, as the keeper said

    @staticmethod
    def create(
        request: i.Request,
        cls: i.RequestClass,
        plan: i.Plan,
        account: QuotaAccount,
        lane: PriorityLevel,
        now: float,
        wanted: float,
        hold: float,
    ) -> PendingRequest:
        """A ticket for a request that arrives at ``now``; ``wanted`` and ``hold`` are seconds from then."""
        ends, rank = now + request.time_left, -cls.worth * plan.price
        return PendingRequest(request, cls, plan, account, lane, ends, now + wanted, now + hold, rank)

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

    def attempts_that_may_have_run(self) -> list[Attempt]:
        return [a for a in self.attempts if a.may_have_run]

    def repeat_deadline(self) -> float:
        """The end of the window for its repeats: it begins with the first attempt that may have run."""
        ran = self.attempts_that_may_have_run() if self.request_class.effect == "by_key" else []
        return ran[0].sent_at + self.request_class.window if ran else math.inf

    def is_waiting(self) -> bool:
        return self.held and not self.closed


class HoldQueue:
    """Queues of held tickets, one a rank; those that no longer wait drop out."""

    def __init__(self, ranks: int) -> None:
        self.queues: list[deque[PendingRequest]] = [deque() for _ in range(ranks)]

    def add(self, ticket: PendingRequest, rank: int, front: bool = False) -> None:
        ticket.held = True
        if front:
            self.queues[rank].appendleft(ticket)
        else:
            self.queues[rank].append(ticket)

    def first_waiting(self, ranks: int) -> PendingRequest | None:
        for queue in self.queues[:ranks]:
            while queue and not queue[0].is_waiting():
                queue.popleft()
            if queue:
                return queue[0]
        return None

    def __bool__(self) -> bool:
        return self.first_waiting(len(self.queues)) is not None


class QuotaWaitQueue:
    """Tickets waiting for one customer's room, by rank, with the units they ask for."""

    def __init__(self) -> None:
        self.heap: list[tuple[float, int, PendingRequest]] = []
        self.units, self.serial = 0.0, 0

    def push(self, ticket: PendingRequest) -> None:
        self.serial += 1
        self.units += ticket.request.units
        heapq.heappush(self.heap, (ticket.rank, self.serial, ticket))

    def first_waiting(self) -> PendingRequest | None:
        while self.heap and not self.heap[0][2].is_waiting():
            self.pop()
        return self.heap[0][2] if self.heap else None

    def pop(self) -> None:
        self.units -= heapq.heappop(self.heap)[2].request.units


class QuotaMessage(NamedTuple):
    """A short message between gatekeepers about one customer's account."""

    kind: bytes
    tag: str
    plan_index: int
    amount: float  # units, or seconds until there may be room
    serial: int

    def encode(self) -> bytes:
        return QUOTA_MESSAGE_FORMAT.pack(
            self.kind, bytes.fromhex(self.tag), self.plan_index, self.amount, self.serial
        )

    @staticmethod
    def decode(data: bytes, plans: int) -> QuotaMessage | None:
        """None for what is torn or names no plan or number."""
        if len(data) != QUOTA_MESSAGE_FORMAT.size:
            return None
        kind, tag, plan, amount, serial = QUOTA_MESSAGE_FORMAT.unpack(data)
        return (
            QuotaMessage(kind, tag.hex(), plan, amount, serial)
            if plan < plans and math.isfinite(amount)
            else None
        )


class GrantCache(OrderedDict[tuple[int, int], bool]):
    """A keeper's words by sender and serial. Beyond so many the oldest is forgotten: asked again it would be
    paid for twice, after more tries of one customer than come in the time that it may be asked again."""

    MAX_GRANTS = 32

    def remember(self, ask: tuple[int, int], word: bool) -> None:
        self[ask] = word
        while len(self) > self.MAX_GRANTS:
            self.popitem(last=False)


class AccountState:
    """What is kept of one customer between calls on its count."""

    def __init__(self, plan: i.Plan, now: float) -> None:
        self.plan, self.refilled_at = plan, now
        self.pending = self.seen = 0.0  # units not yet added; total last read of this span
        self.level = self.mine = 0.0  # units left to all; to this gatekeeper
        self.span, self.phase = 1.0, 0.0  # s that a count holds; where in it this customer's counts begin
        self.own_recent_units = self.others_recent_units = 0.0  # units added lately, here and elsewhere
        # span last called for; span and amount of the call now out
        self.epoch, self.current_call = -1, (0, 0.0)
        self.current_call_name = ""  # of the call now out
        self.call_in_flight = self.timer_set = False
        self.call_rank = math.inf  # its rank in the line for calls, if it stands there
        # claims: waits whose units went with the call
        self.waiting, self.claims = QuotaWaitQueue(), list[PendingRequest]()
        self.open_requests, self.read_at, self.overdrawn_at = 0, -math.inf, -math.inf
        # last span found used up; this gatekeeper's part of the ceiling
        self.exhausted_epoch, self.ceiling = -1, 0.0
        self.owner: int | None = None  # the gatekeeper that keeps this account for its set, if another does
        self.leases: deque[float] = deque()  # when the open tries of peers that asked count no more
        self.grants = GrantCache()  # on tries that peers asked about lately
        self.handed_over = False  # its room is another process's by now: none grows here
        self.has_plan_override = False  # its plan is what was told of this customer, not what a request names
        # units spent before a change, in no count of this span's
        self.carried_units, self.carried_at = 0.0, now

    def epoch_at(self, now: float) -> int:
        return math.floor((now + self.phase) / self.span)

    def spend(self, units: float) -> None:
        if self.plan.rate > 0:
            self.level -= units
            self.mine -= units
            self.pending += units

    def remaining_carried_units(self, now: float) -> float:
        """What is left of the units carried over a change of terms: they are made good at the plan's rate."""
        return max(0.0, self.carried_units - self.plan.rate * (now - self.carried_at))

    def in_use(self) -> bool:
        """Whether a call or a try of its own is under way or waits. To stand in the line is not enough: where
        calls are short some never get theirs, and what they would add was for a span long past."""
        return bool(self.call_in_flight or self.open_requests or self.waiting.heap or self.claims)

    def concurrent_requests(self, now: float) -> int:
        """Tries open here, and at the gatekeepers of the set that asked."""
        while self.leases and self.leases[0] <= now:
            self.leases.popleft()
        return self.open_requests + len(self.leases)


class CallQueue:
    """Accounts by rank, lowest first, the newest first among equals; each stands at its best rank only."""

    MIN_COMPACTION_LENGTH = 64  # entries below which those that hold no more are not looked for

    def __init__(self) -> None:
        self.heap: list[tuple[float, int, QuotaAccount]] = []
        self.serial, self.compaction_length = 0, self.MIN_COMPACTION_LENGTH

    def push(self, rank: float, account: QuotaAccount) -> None:
        self.serial += 1
        account.call_rank = rank
        heapq.heappush(self.heap, (rank, -self.serial, account))
        if len(self.heap) > self.compaction_length:
            # Guards against a line that keeps all who ever stood in it: while calls are short its end is
            # never reached, and what has left it would stay there with all that it holds.
            self.heap = [entry for entry in self.heap if entry[2].call_rank == entry[0]]
            heapq.heapify(self.heap)
            self.compaction_length = max(self.MIN_COMPACTION_LENGTH, 2 * len(self.heap))

    def first(self) -> QuotaAccount | None:
        while self.heap and self.heap[0][2].call_rank != self.heap[0][0]:
            heapq.heappop(self.heap)
        return self.heap[0][2] if self.heap else None

    def pop(self) -> QuotaAccount:
        account = heapq.heappop(self.heap)[2]
        account.call_rank = math.inf
        return account

    def __len__(self) -> int:
        return len(self.heap) if self.first() else 0


class AccountTable(OrderedDict[str, "QuotaAccount"]):
    """Accounts by their customers' tags, the longest unused first."""

    @staticmethod
    def customer_tag(customer: str) -> bytes:
        return blake2s(customer.encode(), digest_size=8).digest()

    def remove_idle(self, now: float) -> None:
        """Guards against a table that grows with customers ever seen. Two at a time: faster than any come."""
        for tag, old in list(islice(self.items(), 2)):
            if now - old.refilled_at < IDLE_ACCOUNT_SPANS * old.span + IDLE_ACCOUNT_S:
                return
            if old.in_use():
                self.move_to_end(tag)
            else:
                old.call_rank = math.inf  # it stands in no line any more
                del self[tag]
