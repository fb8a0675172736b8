"""Records, tables and queues that hold the state of the decision engine. They make no decisions."""

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

from gorsefork.decisions import interface as i
from gorsefork.decisions.backend import Backend

if TYPE_CHECKING:
    from gorsefork.decisions.rules import PriorityLevel, QuotaAccount


QUOTA_MESSAGE_FORMAT = Struct("<c8sBfI")
RING_HASH = attrgetter("ring_hash")
# An unused account is kept until its last count has expired, and some seconds longer.
IDLE_ACCOUNT_SPANS = 2.5
IDLE_ACCOUNT_S = 5.0
# Customers with an account at the same time, and how many of them are looked at to make place for one more.
MAX_ACCOUNTS = 4096
MAX_ACCOUNTS_CHECKED = 16


class BackendTable:
    """The backends by name, and the ready ones as a hash ring that all ingresses traverse in the same order.

    ``start`` is the fraction of the ring (0 to 1) at which this ingress's own order begins.
    """

    def __init__(self, start: float) -> None:
        self.ring_offset = start
        self.backends: dict[str, Backend] = {}
        self.ring: list[Backend] = []  # ready backends by ring hash
        self.ready: list[Backend] = []  # the same, from this ingress's own start on
        self.removed_in_use: list[Backend] = []  # gone backends with open attempts
        self.recently_used: dict[Backend, None] = {}  # sent to recently, least recently checked first
        # ready backends by (scope, zone or cell), filled on first use
        self.groups: dict[tuple[str, int], list[Backend]] = {}

    def apply_list(self, update: i.BackendList) -> list[Backend]:
        """Apply a backend list update to the table and the ring, and return the affected backends.

        Backends that a complete list leaves out become "gone". A gone backend is removed once it has no open
        attempts.
        """
        changed = self.mark_unlisted_gone(update) if update.kind in ("full", "cached") else []
        for entry in update.entries if update.kind != "failed" else ():
            if (backend := self.backends.get(entry.backend)) is None:
                backend = self.backends[entry.backend] = Backend(entry)
            backend.entry = entry
            changed.append(backend)
        changed = list(dict.fromkeys(changed))
        gone = [s for s in dict.fromkeys((*self.removed_in_use, *changed)) if s.entry.state == "gone"]
        for backend in gone:
            if not backend.open_attempts:
                del self.backends[backend.entry.backend]
                self.recently_used.pop(backend, None)
        self.removed_in_use = [backend for backend in gone if backend.open_attempts]
        self.update_ring(changed)
        return changed

    def mark_unlisted_gone(self, update: i.BackendList) -> list[Backend]:
        """Set the backends that a complete list does not name to "gone", and return them."""
        listed, unlisted = {entry.backend for entry in update.entries}, []
        for name, backend in self.backends.items():
            if name not in listed:
                old_entry = backend.entry
                backend.entry = i.BackendEntry(
                    name, "gone", old_entry.started, old_entry.kind, old_entry.zone, old_entry.cell
                )
                unlisted.append(backend)
        return unlisted

    def update_ring(self, changed: list[Backend]) -> None:
        """Add or remove the changed backends on the ring, and rebuild the order of ready backends.

        Only the changed backends are searched for; the ring is not sorted again.
        """
        for backend in changed:
            ready = backend.entry.state == "ready"
            if ready and not backend.on_ring:
                insort(self.ring, backend, key=RING_HASH)
            elif backend.on_ring and not ready:
                del self.ring[
                    self.ring.index(backend, bisect_left(self.ring, backend.ring_hash, key=RING_HASH))
                ]
            backend.on_ring = ready
        start = self.ring_start()
        self.ready, self.groups = self.ring[start:] + self.ring[:start], {}

    def ring_start(self) -> int:
        """Return the ring index at which this ingress's order begins; the starts are spread evenly."""
        return int(self.ring_offset * len(self.ring))

    def ring_rank(self, backend: Backend) -> int:
        """Return the index of a backend in ``ready``, or the index that it would have there."""
        position = bisect_left(self.ring, backend.ring_hash, key=RING_HASH)
        return (position - self.ring_start()) % max(1, len(self.ring))

    def sampled_sum(self, value: Callable[[Backend], float], max_backends: int, max_samples: int) -> float:
        """Estimate the sum of a value over the first ``max_backends`` ready backends.

        Reads at most ``max_samples`` of them, at even distances, and scales the sum up.
        """
        stride = max(1, math.ceil(max_backends / max_samples))
        return stride * sum(map(value, self.ready[:max_backends:stride]))

    def next_recently_used(self, max_backends: int) -> list[Backend]:
        """Return the next recently used backends in round-robin order, at most ``max_backends``."""
        next_backends = list(islice(self.recently_used, max_backends))
        for backend in next_backends:
            del self.recently_used[backend]
            self.recently_used[backend] = None
        return next_backends

    def in_scope(self, scope: i.Scope, possibly_run: list[Attempt]) -> list[Backend]:
        """Return the ready backends that a request of this scope may use.

        They are those in the zone or cell of the first attempt that may have run, or all if there is none.
        """
        if scope == "all" or not possibly_run:
            return self.ready
        if not self.groups:
            for backend in self.ready:
                entry = backend.entry
                self.groups.setdefault(("zone", entry.zone), []).append(backend)
                self.groups.setdefault(("cell", entry.cell), []).append(backend)
        return self.groups.get((scope, possibly_run[0].zone if scope == "zone" else possibly_run[0].cell), [])


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt at a request, with the zone and cell of its backend at the time of sending."""

    backend: Backend
    sent_at: float
    zone: int
    cell: int
    open: bool = True
    may_have_run: bool = True
    counts_as_open: bool = True  # in the open attempts of its priority level


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A request that has been accepted and is still to get its one final answer."""

    request: i.Request
    request_class: i.RequestClass
    plan: i.Plan
    account: QuotaAccount
    priority_level: PriorityLevel
    deadline: float
    aim_deadline: float
    hold_until: float
    rank: float  # in the customer's wait queue, lowest first
    attempts: list[Attempt] = field(default_factory=list)
    closed: bool = False
    streaming: bool = False
    held: bool = False
    within_quota: bool = False
    reserved: bool = False
    owner_serial: int = 0  # serial of the quota message to the account's owner; 0: decided in this process
    owner_requests: int = 0  # number of quota messages sent to the account's owner
    room_expected_in: float = 0.0  # seconds until quota may be available, from the owner's reply

    @staticmethod
    def create(
        request: i.Request,
        request_class: i.RequestClass,
        plan: i.Plan,
        account: QuotaAccount,
        priority_level: PriorityLevel,
        now: float,
        aim_s: float,
        hold_s: float,
    ) -> PendingRequest:
        """Create the record of a request arriving at ``now``; ``aim_s`` and ``hold_s`` are relative to it."""
        deadline, rank = now + request.time_left, -request_class.worth * plan.price
        return PendingRequest(
            request,
            request_class,
            plan,
            account,
            priority_level,
            deadline,
            now + aim_s,
            now + hold_s,
            rank,
        )

    @property
    def id(self) -> str:
        """The request id that the caller of the decision engine uses."""
        return self.request.id

    def open_attempts(self) -> int:
        return sum(attempt.open for attempt in self.attempts)

    def open_attempt(self, number: int) -> Attempt | None:
        """Return the attempt with this number, or ``None`` if it does not exist or has ended."""
        is_open = 0 <= number < len(self.attempts) and self.attempts[number].open
        return self.attempts[number] if is_open else None

    def attempts_that_may_have_run(self) -> list[Attempt]:
        return [attempt for attempt in self.attempts if attempt.may_have_run]

    def repeat_deadline(self) -> float:
        """Return the end of the repeat window, which begins with the first attempt that may have run."""
        possibly_run = self.attempts_that_may_have_run() if self.request_class.effect == "by_key" else []
        return possibly_run[0].sent_at + self.request_class.window if possibly_run else math.inf

    def is_waiting(self) -> bool:
        return self.held and not self.closed


class HoldQueue:
    """One FIFO queue of held requests per rank; requests that no longer wait are dropped lazily."""

    def __init__(self, ranks: int) -> None:
        self.queues: list[deque[PendingRequest]] = [deque() for _ in range(ranks)]

    def add(self, pending_request: PendingRequest, rank: int, front: bool = False) -> None:
        pending_request.held = True
        if front:
            self.queues[rank].appendleft(pending_request)
        else:
            self.queues[rank].append(pending_request)

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
    """Requests waiting for one customer's quota, by rank, with the sum of the units that they need."""

    __slots__ = ("heap", "serial", "units")

    def __init__(self) -> None:
        self.heap: list[tuple[float, int, PendingRequest]] = []
        self.units = 0.0
        self.serial = 0

    def push(self, pending_request: PendingRequest) -> None:
        self.serial += 1
        self.units += pending_request.request.units
        heapq.heappush(self.heap, (pending_request.rank, self.serial, pending_request))

    def first_waiting(self) -> PendingRequest | None:
        while self.heap and not self.heap[0][2].is_waiting():
            self.pop()
        return self.heap[0][2] if self.heap else None

    def pop(self) -> None:
        self.units -= heapq.heappop(self.heap)[2].request.units


class QuotaMessage(NamedTuple):
    """A short message between ingresses about one customer's quota account."""

    kind: bytes
    tag: str
    plan_index: int
    amount: float  # units, or seconds until quota may be available
    serial: int

    def encode(self) -> bytes:
        return QUOTA_MESSAGE_FORMAT.pack(
            self.kind, bytes.fromhex(self.tag), self.plan_index, self.amount, self.serial
        )

    @staticmethod
    def decode(data: bytes, plans: int) -> QuotaMessage | None:
        """Decode a message; ``None`` if it has the wrong length, an unknown plan or a non-finite amount."""
        if len(data) != QUOTA_MESSAGE_FORMAT.size:
            return None
        kind, tag, plan, amount, serial = QUOTA_MESSAGE_FORMAT.unpack(data)
        return (
            QuotaMessage(kind, tag.hex(), plan, amount, serial)
            if plan < plans and math.isfinite(amount)
            else None
        )


class GrantCache(OrderedDict[tuple[int, int], bool]):
    """The replies of an account's owner by (sender, serial), so that a repeated message gets the same reply.

    Beyond ``MAX_GRANTS`` the oldest reply is dropped. A repeat of its message would spend the quota twice,
    but a customer does not send that many requests within the time in which a message may be repeated.
    """

    MAX_GRANTS = 32

    def remember(self, sender_and_serial: tuple[int, int], granted: bool) -> None:
        self[sender_and_serial] = granted
        while len(self) > self.MAX_GRANTS:
            self.popitem(last=False)


class AccountState:
    """The quota state of one customer between calls to the shared counter."""

    def __init__(self, plan: i.Plan, now: float) -> None:
        self.plan = plan
        self.ingress_count = 1
        self.refilled_at = now
        # pending: units not yet added to the count; seen: total of this count span that was last read
        self.pending = self.seen = 0.0
        self.level = self.mine = 0.0  # units left to all ingresses; units left to this ingress
        self.span = 1.0  # seconds that one count name covers
        self.phase = 0.0  # offset in seconds of this customer's count spans
        # units added recently by this ingress and by the others
        self.own_recent_units = self.others_recent_units = 0.0
        self.epoch = -1  # number of the count span of the latest call
        self.current_call = (0, 0.0)  # count span and amount of the call in flight
        self.current_call_name = ""  # count name of the call in flight
        self.call_in_flight = self.timer_set = False
        self.call_rank = math.inf  # rank in the call queue, infinite if not queued
        # claims: waiting requests whose units were added with the call in flight
        self.waiting, self.claims = QuotaWaitQueue(), list[PendingRequest]()
        self.open_requests, self.read_at, self.overdrawn_at = 0, -math.inf, -math.inf
        self.exhausted_epoch = -1  # latest count span that was found used up
        self.ceiling = 0.0  # this ingress's part of the ceiling
        self.owner: int | None = None  # the ingress that owns this account, if it is another one
        self.leases: list[float] = []  # expiry times of peers' open requests that were granted
        self.grants = GrantCache()  # replies to recent messages from peers
        self.handed_over = False  # the successor has the quota, so it no longer refills in this process
        self.has_plan_override = False  # the plan comes from a plan override, not from a request
        self.carried_units = 0.0  # units spent before a plan change that no count of this span holds
        self.carried_at = now

    def epoch_at(self, now: float) -> int:
        return math.floor((now + self.phase) / self.span)

    def spend(self, units: float) -> None:
        if self.plan.rate > 0:
            self.level -= units
            self.mine -= units
            self.pending += units

    def remaining_carried_units(self, now: float) -> float:
        """Return the units carried over a plan change that the plan's rate has not yet paid back."""
        return max(0.0, self.carried_units - self.plan.rate * (now - self.carried_at))

    def in_use(self) -> bool:
        """Return whether a counter call or a request of this account is in flight or waiting.

        A place in the call queue does not count: where calls are scarce some accounts never get one, and the
        units that they would add belong to a count span long past.
        """
        return bool(self.call_in_flight or self.open_requests or self.waiting.heap or self.claims)

    def concurrent_requests(self, now: float) -> int:
        """Return the open requests of this process and of the peers that hold an unexpired lease."""
        while self.leases and self.leases[0] <= now:
            self.leases.pop(0)
        return self.open_requests + len(self.leases)

    def is_replaceable(self) -> bool:
        """Return whether an account that is made anew admits no more than this one under the ceiling.

        What was spent of the quota the counter tells again.
        """
        whole_ceiling = self.plan.ceiling_burst / max(1, self.ingress_count)
        return not self.in_use() and (self.plan.ceiling_rate <= 0 or self.ceiling >= whole_ceiling)


class CallQueue:
    """Accounts that wait for a counter call: lowest rank first, newest first among equals.

    An account counts only at the rank of its latest entry; earlier entries are dropped lazily.
    """

    MIN_COMPACTION_LENGTH = 64  # stale entries are not searched for in a shorter queue

    def __init__(self) -> None:
        self.heap: list[tuple[float, int, QuotaAccount]] = []
        self.serial = 0
        self.compaction_length = self.MIN_COMPACTION_LENGTH

    def push(self, rank: float, account: QuotaAccount) -> None:
        self.serial += 1
        account.call_rank = rank
        heapq.heappush(self.heap, (rank, -self.serial, account))
        if len(self.heap) > self.compaction_length:
            # Prevents a queue that grows without bound: while calls are scarce its end is never reached, and
            # stale entries would stay there and keep their accounts in memory.
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
    """Quota accounts by customer tag, least recently used first; ``max_accounts`` of them at the most."""

    max_accounts = MAX_ACCOUNTS

    @staticmethod
    def customer_tag(customer: str) -> bytes:
        return blake2s(customer.encode(), digest_size=8).digest()

    def remove_idle(self, now: float) -> None:
        """Remove idle accounts, so that the table does not grow with every customer ever seen.

        Checks two accounts per call, which removes them faster than new ones are added.
        """
        for tag, account in list(islice(self.items(), 2)):
            if now - account.refilled_at < IDLE_ACCOUNT_SPANS * account.span + IDLE_ACCOUNT_S:
                return
            if account.in_use():
                self.move_to_end(tag)
            else:
                self.remove(tag)

    def remove(self, tag: str) -> None:
        self[tag].call_rank = math.inf  # makes its call queue entries stale
        del self[tag]

    def has_place_for(self, tag: str, now: float) -> bool:
        """Return whether the customer has an account or may get one; others that rest give way.

        Guards against requests under ever new names: their accounts took memory without a bound.
        """
        if tag in self or len(self) < self.max_accounts:
            return True
        for other, account in list(islice(self.items(), MAX_ACCOUNTS_CHECKED)):
            account.refill(now)
            if account.is_replaceable():
                self.remove(other)
                return True
            self.move_to_end(other)
        return False
