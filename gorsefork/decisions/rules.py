"""The decision engine of an ingress. It does no I/O, reads no clock and uses no global randomness.

The types of its events and actions are in ``interface.py``. Admission under ordinary load follows "Web2K:
Bringing QoS to Web Servers", section 3.3; see docs/design.md."""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Iterable, Iterator, Sequence
from itertools import islice
from statistics import median_high
from typing import Any

from gorsefork.decisions import interface as i
from gorsefork.decisions.backend import Backend
from gorsefork.decisions.slow_start import (
    GOLDEN_RATIO_FRACTION,
    MAX_REPORTED_BACKENDS,
    SlowStart,
    SlowStartFigures,
)
from gorsefork.decisions.state import (
    AccountState,
    AccountTable,
    Attempt,
    BackendTable,
    CallQueue,
    HoldQueue,
    PendingRequest,
    QuotaMessage,
)

MAX_CONTROL_PERIOD_S = 0.25  # the control period T of the paper
MIN_PERIODS_PER_AIM = 10  # the shortest aim of the classes spans at least this many control periods
PI_GAIN = 1.0  # K of the PI law
PI_INTEGRAL_TIME_S = 1.0  # Ti of the PI law: an error is corrected within about this time
MAX_PREMIUM_PER_BASIC = 12  # held premium requests that leave before one basic one (the paper's look-ahead)
# The part of the aim that the mean answer may take under load. The rest is left for the slow tail.
MEAN_LATENCY_SHARE_OF_AIM = 0.2
MAX_HOLD_SHARE_OF_AIM = 0.5  # the part of its aim that a request may be held
IDLE_SHARE_OF_TARGET = 0.5  # there is idle capacity while fewer than this part of the target are open
# The part of its remaining time that a request may be held. A refusal should leave well before half of that
# time is over.
MAX_HOLD_SHARE_OF_TIME_LEFT = 0.45
MIN_OPEN_PER_BACKEND = 4.0  # open attempts at one backend that all ingresses together may always have
MIN_OPEN_WHILE_FAST = 4.0  # open attempts that this ingress may have while answers are prompt
MAX_STRAIN = 5.0  # limit of one sample of the strain
# Standard deviations by which the open attempts of one ingress may exceed its part of the minimum.
MIN_OPEN_DEVIATIONS = 2.0
SLOW_START_COST_FACTOR = 0.5  # lowers the cost of an idle backend in slow start, as some tokens go unused
RETRY_BUDGET_PER_REQUEST = 0.2  # what each first attempt adds to the retry budget
MAX_RETRY_BUDGET = 10.0
RETRY_PRICE_AFTER_REFUSAL = 0.2  # of the retry budget, where a backend refused an attempt that it did not run
SMOOTHING_WEIGHT = 0.1  # weight of one new sample in a moving mean
SAMPLE_INTERVAL_S = 2.0  # a sample that comes later than this after the last one weighs more
SLOW_LATENCY_RATIO = 2.5  # a backend this many times slower than the median of its peers is avoided
EXCESS_ERROR_RATE = 0.3  # a backend whose error rate exceeds its peers' median by this is avoided
MIN_TRIAL_INTERVAL_S = 1.0  # between trials of an unresponsive backend
SUSPICION_LIFETIME_S = 10.0  # after which a suspicion or a 'full' that is not renewed lapses
FLEET_TRIALS_PER_S = 4.0  # trials of one suspect by all ingresses together
LATENCY_DECAY = 0.99  # the part of an unsampled backend's latency ratio that is kept at each assessment
ASSESSMENT_INTERVAL_S = 0.5
MIN_CANDIDATES = 10  # backends among which an ingress chooses, at least
MAX_CANDIDATES_DRAWN = 20  # backends that are examined for one choice
INGRESSES_PER_BACKEND = 14  # ingresses that have one backend among their candidates
MAX_BACKENDS_PER_STEP = 256  # backends that one step examines
EXTRA_CANDIDATES = 64  # backends drawn beyond the usual candidates, where these are unfit
INITIAL_CALLS_PER_S = 20.0  # counter calls before anything is learned
MIN_CALLS_PER_S = 1.0  # counter calls while the counter is unresponsive
# The same two rates for all ingresses together. They apply where they give each ingress less.
FLEET_INITIAL_CALLS_PER_S = 300.0
FLEET_MIN_CALLS_PER_S = 200.0
CALL_RATE_RISE_PER_S = 20.0  # calls a second that the rate gains in one second of answers
CALL_RATE_RISE_SHARE = 0.03  # the part of the rate that one answer adds at most
CALL_RATE_CUT_FACTOR = 0.8  # the part of the rate that is kept after a failed call
CALL_RATE_CUT_INTERVAL_S = 0.5  # between cuts of the rate
CALL_BURST_S = 0.25  # seconds' worth of calls that may start at once
MIN_ROOM_CHECK_DELAY_S = 0.02  # between checks of one customer's room
OWNER_REPLY_TIMEOUT_S = 0.06
MAX_OWNER_REQUESTS = 2
FLUSH_SHARE_OF_SPAN = 0.125  # the part of a count span for which additions may wait
SOLE_INGRESS_FLUSH_SHARE = 0.5  # the same where one ingress receives all of the customer's requests
RESERVED_SHARE_OF_BURST = 0.15  # kept back for additions of other ingresses that are not yet seen
MAX_COUNT_LIFETIME_S = 60.0
MAX_LOGGED_SLOW_STARTS = 8  # backends of one list that have a log line each
# Kinds of quota messages:
QUOTA_REQUEST = b"a"  # asks the owner to count a request
QUOTA_GRANTED = b"y"  # the owner's grant
QUOTA_DENIED = b"n"  # the owner's denial
QUOTA_RETURNED = b"b"  # returns units or a place among the open requests
# Statuses of attempts that certainly did not run at the backend.
NEVER_RAN = frozenset(("full", "connect_failed", "moot"))


def is_repeatable(cls: i.RequestClass) -> bool:
    return cls.effect == "repeatable" or (cls.effect == "by_key" and cls.scope == "all")


class BackendSelector(BackendTable):
    """Tracks which backends are fit for work and chooses one. Each step examines a bounded number of them."""

    def __init__(self, settings: i.Settings, rng: random.Random) -> None:
        super().__init__(GOLDEN_RATIO_FRACTION * settings.own_index % 1.0)
        self.settings, self.rng = settings, rng
        self.connect_failure_rate = 0.0  # share of new connections that failed
        self.last_answered_send_at = -math.inf  # the latest of the backends' times of the same name
        self.slow_start = SlowStart(settings.safety_limits, settings.own_index, settings.ingresses)
        # Ready backends, in the order in which they began -> whether discovery has told of the start.
        self.in_slow_start: dict[Backend, bool] = {}
        self.told_starts = 0  # of those in slow start
        self.drawable_in_slow_start: list[Backend] | None = None  # the same to draw from, filled on first use
        self.median_latency_ratio = 1.0
        self.median_error_rate = 0.0
        # Class index -> mean latency and its mean deviation, in seconds.
        self.latency_by_class = {n: (c.aim / 8, c.aim / 16) for n, c in enumerate(settings.classes)}
        self.assessed_at = -math.inf
        self.mean_latency = min(c.aim for c in settings.classes) / 8  # over all classes
        self.candidate_count = 0  # backends at the head of the ring order that are chosen from
        self.trial_interval = max(MIN_TRIAL_INTERVAL_S, settings.ingresses / FLEET_TRIALS_PER_S)

    def begin_slow_start(self, backend: Backend, since: float, now: float) -> None:
        """Starts the slow start of a backend that has come back, as discovery reports or as its answers show.

        Without it the full load would bring the backend down again."""
        self.slow_start.begin(backend, since, now)
        backend.silent = False
        backend.error_rate = 0.0
        backend.latency_ratio = self.median_latency_ratio
        self.update_in_slow_start(backend, now)

    def update_in_slow_start(self, backend: Backend, now: float) -> None:
        """Notes whether a backend is ready and in slow start."""
        told = None
        if backend.on_ring and self.slow_start.capacity_share(backend, now) < 1.0:
            told = backend.slow_start_from == backend.entry.started
        before = self.in_slow_start.get(backend)
        if told is before:
            return
        self.drawable_in_slow_start = None
        self.told_starts += bool(told) - bool(before)
        if told is None:
            del self.in_slow_start[backend]
        else:
            self.in_slow_start[backend] = told

    def fully_started_count(self) -> int:
        return len(self.ready) - len(self.in_slow_start)

    def listed_as_fully_started_count(self) -> int:
        """The ready backends but for those of which discovery tells that they have just started.

        All ingresses have the same number, whatever each has seen of backends that were silent for it."""
        return len(self.ready) - self.told_starts

    def slow_start_share(self, backend: Backend, now: float) -> float:
        """The share of its capacity that a backend may get: 1 when fully started, less in slow start."""
        return self.slow_start.capacity_share(backend, now)

    def has_slow_start_token(self, backend: Backend, now: float) -> bool:
        """Whether a backend is fully started, or in slow start with a whole token for one more attempt."""
        return self.slow_start_share(backend, now) >= 1.0 or self.slow_start.has_token(
            backend, self.fully_started_count(), self.mean_latency, now
        )

    def record_answered_work(self, backend: Backend, class_index: int, now: float) -> None:
        """Counts a good answer as proof of what the fully started backends bear.

        One from a backend that is no longer ready proves nothing of those that are."""
        if backend.on_ring:
            work = self.latency_by_class[class_index][0] / self.mean_latency
            in_slow_start, count = backend in self.in_slow_start, self.listed_as_fully_started_count()
            self.slow_start.record_answer(backend, in_slow_start, work, count, now)

    def slow_start_figures(self, now: float) -> list[SlowStartFigures]:
        """The figures of the first ``MAX_REPORTED_BACKENDS`` backends in slow start."""
        first = islice(self.in_slow_start, MAX_REPORTED_BACKENDS)
        return [self.slow_start.figures(backend, self.mean_latency, now) for backend in first]

    def apply_backend_list(self, update: i.BackendList, now: float) -> list[Backend]:
        """Applies an update of discovery, and returns the backends that begin their slow start.

        These are the ones whose process is new and not yet fully started."""
        begun = []
        for backend in self.apply_list(update):
            if backend.on_ring and backend.entry.started > max(0.0, backend.slow_start_from):
                # A new process, possibly under a known name.
                self.begin_slow_start(backend, backend.entry.started, now)
                if self.slow_start_share(backend, now) < 1.0:
                    begun.append(backend)
            self.update_in_slow_start(backend, now)
        self.update_candidate_count(now)
        return begun

    def assess(self, now: float) -> None:
        """Updates the medians, and which backends are unresponsive, once per assessment interval.

        It examines all backends, or where there are too many for one step, those recently used."""
        period = now - self.assessed_at
        if period < ASSESSMENT_INTERVAL_S:
            return
        self.assessed_at = now
        for backend in list(islice(self.in_slow_start, MAX_BACKENDS_PER_STEP)):  # the oldest first
            self.update_in_slow_start(backend, now)
        self.connect_failure_rate *= max(0.0, 1.0 - period / SUSPICION_LIFETIME_S)
        examined = (
            self.next_recently_used(MAX_BACKENDS_PER_STEP)
            if len(self.ready) > MAX_BACKENDS_PER_STEP
            else self.ready
        )
        self.median_latency_ratio = median_high([s.latency_ratio for s in examined] or [1.0])
        self.median_error_rate = median_high([s.error_rate for s in examined] or [0.0])
        for backend in examined:  # with no answer of any kind for that long, it is not slow but unresponsive
            sent_at, expected = backend.oldest_attempt(now)
            if (
                now - sent_at > 5.0 * expected * max(1.0, self.median_latency_ratio)
                and backend.answered_at < sent_at
            ):
                backend.silent = True
            elif not backend.open_attempts and now - backend.sampled_at > SUSPICION_LIFETIME_S:
                # Without this, a backend that has recovered would never be tried.
                backend.latency_ratio = min(LATENCY_DECAY * backend.latency_ratio, self.median_latency_ratio)
                backend.error_rate = min(backend.error_rate, self.median_error_rate)
                self.recently_used.pop(backend, None)
        self.update_candidate_count(now)

    def update_candidate_count(self, now: float) -> None:
        """Sets how many backends, in ring order, are the candidates of this ingress.

        The fit ones among them are to carry its part of the load. One in slow start counts by its capacity
        share, and the number examined is bounded."""
        ready_count, self.candidate_count = len(self.ready), 0
        still_needed = min(
            ready_count, max(MIN_CANDIDATES, INGRESSES_PER_BACKEND * ready_count / self.settings.ingresses)
        )
        step = max(1, math.ceil(still_needed / MAX_BACKENDS_PER_STEP))
        while still_needed > 0.0 and self.candidate_count < min(
            ready_count, 2 * MAX_BACKENDS_PER_STEP * step
        ):
            backend, self.candidate_count = (
                self.ready[self.candidate_count],
                min(ready_count, self.candidate_count + step),
            )
            still_needed -= (
                0.0 if self.is_suspect(backend, now) else step * self.slow_start_share(backend, now)
            )

    def is_suspect(self, backend: Backend, now: float) -> bool:
        """Whether a backend is slow, failing, unresponsive, avoided or not ready.

        Slowness and failures are relative to its peers, so that a slowdown of all backends ejects none. Only
        unresponsiveness is absolute."""
        slow = backend.slowness(now) > SLOW_LATENCY_RATIO * max(self.median_latency_ratio, 0.5)
        failing = backend.error_rate > self.median_error_rate + EXCESS_ERROR_RATE
        return (
            slow or failing or backend.silent or backend.avoided_until > now or backend.entry.state != "ready"
        )

    def draw_candidates(self, pending: PendingRequest, now: float) -> list[Backend]:
        """Draws the backends to choose from, in random order.

        For a first attempt these are the candidates, which change little, so that their connections stay open
        and their measurements stay current. For a further attempt they are all backends. Where there are too
        many for one step, a further attempt, or one for which no candidate is fit, gets some more from all
        that the request may use."""
        if pending.attempts and len(self.ready) <= MAX_BACKENDS_PER_STEP:
            return self.rng.sample(self.ready, len(self.ready))
        drawn = [
            self.ready[n]
            for n in self.rng.sample(
                range(self.candidate_count), min(self.candidate_count, MAX_CANDIDATES_DRAWN)
            )
        ]
        if self.in_slow_start:
            drawn = [backend for backend in drawn if backend not in self.in_slow_start]
            drawn += self.draw_in_slow_start()
        if len(self.ready) > MAX_BACKENDS_PER_STEP and (
            pending.attempts or all(self.is_suspect(s, now) for s in drawn)
        ):
            more = self.in_scope(pending.request_class.scope, pending.attempts_that_may_have_run())
            drawn += self.rng.sample(more, min(len(more), EXTRA_CANDIDATES))
        return drawn

    def draw_in_slow_start(self) -> list[Backend]:
        """Draws backends in slow start. Each ingress sends to each of them, whatever its candidates are."""
        if self.drawable_in_slow_start is None:
            self.drawable_in_slow_start = list(self.in_slow_start)
        backends = self.drawable_in_slow_start
        return self.rng.sample(backends, min(len(backends), MAX_CANDIDATES_DRAWN))

    def choose_backend(self, pending: PendingRequest, now: float) -> Backend | None:
        """Chooses the backend of the least expected cost among the fit ones drawn, else among the
        suspects.

        Now and then a suspect is tried first, where a second copy can follow. Without such trials it would
        get no traffic and stay a suspect."""
        best, least_cost = None, math.inf
        trial = not pending.attempts and self.settings.limits.hedging and is_repeatable(pending.request_class)
        tried = {a.backend for a in pending.attempts}
        kind = (pending.request.class_index, pending.request.plan_index)
        for backend in self.draw_candidates(pending, now):
            cost = self.expected_cost(backend, now) * (4.0 if backend in tried else 1.0)
            if backend.full_until and backend.full_until.get(kind, -math.inf) > now:
                cost *= 1e3
            if self.is_suspect(backend, now):
                cost *= 1e9 if backend.silent else 1e6
                if trial and len(backend.open_attempts) < 2 and now - backend.trial_at > self.trial_interval:
                    cost, backend.trial_at, trial = 0.0, now, False
            if (
                cost < least_cost
                and may_attempt(pending, backend, now, self.settings)
                and self.has_slow_start_token(backend, now)
            ):
                best, least_cost = backend, cost
        return best

    def is_connected(self, backend: Backend, now: float) -> bool:
        return now - backend.answered_at < self.settings.limits.keepalive

    def record_connection(self, backend: Backend, sent_at: float, made: bool, now: float) -> None:
        """Records whether a connection to a backend was made. After a failure the backend is avoided.

        This keeps attempts away from backends that accept no connections, are dead or are cut off. The first
        pause is brief. After several failures the choice favours backends that answered recently; the
        drawback is that a few backends then carry more load."""
        backend.failed_connects = 0 if made else backend.failed_connects + 1
        if not made:
            pause = min(
                SUSPICION_LIFETIME_S, MIN_TRIAL_INTERVAL_S / 2.0 * 2.0 ** min(backend.failed_connects, 10)
            )
            backend.avoided_until = now + pause * self.rng.uniform(0.5, 1.5)
        if not self.is_connected(backend, sent_at):
            self.connect_failure_rate = (
                self.connect_failure_rate / 2.0
                if made
                else self.connect_failure_rate + 2.0 * SMOOTHING_WEIGHT * (1.0 - self.connect_failure_rate)
            )

    def expected_cost(self, backend: Backend, now: float) -> float:
        """The expected latency of an attempt, with factors for load, zone and failures."""
        weight = backend.entry.weight if self.settings.weights != "off" and backend.entry.weight > 0 else 1.0
        zone_factor = 1.0 + 10.0 * self.settings.cross_zone_price * (backend.entry.zone != self.settings.zone)
        connect_failure_odds = (
            0.0
            if self.is_connected(backend, now)
            else self.connect_failure_rate / (1.05 - self.connect_failure_rate)
        )
        idle = 1.0 if self.slow_start_share(backend, now) >= 1.0 else SLOW_START_COST_FACTOR
        load = idle + len(backend.open_attempts) * self.settings.ingresses / (weight * 2.0)
        cost = backend.slowness(now) * load * zone_factor / max(0.05, 1.0 - backend.error_rate) ** 2
        return cost + connect_failure_odds * self.settings.limits.connect_timeout / self.mean_latency


def may_attempt(pending: PendingRequest, backend: Backend, now: float, settings: i.Settings) -> bool:
    """Whether an attempt at this backend keeps the limits and effect rules. Every send passes this check."""
    limits, scope, entry = settings.limits, pending.request_class.scope, backend.entry
    if pending.closed or pending.streaming or now >= pending.deadline or backend.entry.state != "ready":
        return False
    if len(pending.attempts) >= limits.max_attempts or (pending.open_attempts() and not limits.hedging):
        return False
    ran = pending.attempts_that_may_have_run()
    if not ran or pending.request_class.effect == "repeatable":
        return True
    if pending.request_class.effect == "once" or now + 2 * settings.time_step >= pending.repeat_deadline():
        return False
    return scope == "all" or all(
        a.zone == entry.zone if scope == "zone" else a.cell == entry.cell for a in ran
    )


def retry_price(attempt: Attempt, status: i.Status) -> float:
    """What a further attempt takes from the retry budget after one that ended so.

    A refusal is work for the backend too: where all are full, free repeats keep them so. One that reached no
    backend costs nothing."""
    if attempt.may_have_run:
        return 1.0
    return RETRY_PRICE_AFTER_REFUSAL if status == "full" else 0.0


def may_reject(pending: PendingRequest) -> bool:
    """Whether the client may be told that a repeat is harmless. Every refusal passes this check."""
    return not pending.streaming and (
        is_repeatable(pending.request_class) or not pending.attempts_that_may_have_run()
    )


class PriorityLevel:
    """The PI law and the hold queue of one priority level.

    The queue has two ranks: requests within their quota come before those beyond it."""

    def __init__(self) -> None:
        self.open_attempts = self.sent_in_period = self.arrived_in_period = 0
        self.last_error = 0.0
        self.allowance = math.inf
        self.pass_probability = 1.0
        self.hold_queue = HoldQueue(2)

    def update_allowance(self, target: float, period: float, dither: float) -> None:
        """Sets how many requests the next period may send (target_in of the paper).

        A lull never throttles. With none open, a fraction of a request is rounded at random."""
        error = target - self.open_attempts
        allowance = max(
            0.0,
            error,
            self.sent_in_period
            + PI_GAIN * (1.0 + period / PI_INTEGRAL_TIME_S) * error
            - PI_GAIN * self.last_error,
        )
        self.allowance = allowance if self.open_attempts else math.floor(allowance + dither)
        self.last_error, self.sent_in_period = error, 0

    def update_pass_probability(self) -> None:
        """Sets the chance that an arrival passes. It is 1 after a period without arrivals only while there is
        room.

        Otherwise, of hundreds of ingresses with one request a second each, nearly all would pass however many
        are open. The drawback is that the first request after a jam waits one period."""
        self.pass_probability, self.arrived_in_period = (
            min(1.0, self.allowance / max(1, self.arrived_in_period)),
            0,
        )


class CapacityEstimator:
    """Learns target_q of the paper, the number of attempts to keep open.

    By Little's law it is the answers a second times the part of the aim that an answer may take."""

    def __init__(self, settings: i.Settings) -> None:
        self.settings = settings
        self.mean_aim = min(c.aim for c in settings.classes)
        self.answer_rate = 0.0
        self.peak_answer_rate = 0.0
        self.target_open = math.inf
        self.answers = 0  # in this period
        self.strain = 0.0  # moving mean of latency over the part of the aim that the mean answer may take

    def record_attempt(self, aim: float, latency: float, answered: bool) -> None:
        """Counts one ended attempt. An attempt without an answer in time adds to the strain as well.

        Otherwise answers would seem the faster, the more attempts are lost."""
        self.answers += answered
        self.mean_aim += SMOOTHING_WEIGHT * (aim - self.mean_aim)
        self.strain += (
            2.0
            * SMOOTHING_WEIGHT
            * (min(MAX_STRAIN, latency / (MEAN_LATENCY_SHARE_OF_AIM * aim)) - self.strain)
        )

    def update_target(self, load: int, ready: float, period: float) -> None:
        """Updates the target at the end of a period. The peak rate falls only under load, as a lull shows no
        capacity.

        A few open attempts are allowed whatever the rate, as long as answers are prompt."""
        self.answer_rate += SMOOTHING_WEIGHT * (self.answers / period - self.answer_rate)
        self.answers = 0
        self.peak_answer_rate = max(
            self.answer_rate,
            self.peak_answer_rate
            + SMOOTHING_WEIGHT * (load > self.target_open * 0.8) * (self.answer_rate - self.peak_answer_rate),
        )
        least = MIN_OPEN_PER_BACKEND * max(1.0, ready) / self.settings.ingresses
        least += MIN_OPEN_DEVIATIONS * math.sqrt(least)  # the smaller its part, the more it varies by chance
        self.target_open = max(
            self.peak_answer_rate * MEAN_LATENCY_SHARE_OF_AIM * self.mean_aim,
            least,
            MIN_OPEN_WHILE_FAST / max(1.0, self.strain) ** 3,
        )


class QuotaAccount(AccountState):
    """One customer's quota as this ingress knows it, its part of the ceiling, and the waiting requests."""

    def __init__(self, tag: str, spread: int, first: int, settings: i.Settings, plan: i.Plan, now: float):
        super().__init__(plan, now)
        self.tag, self.ingress_count = tag, spread
        self.own_share = 1.0 / self.ingress_count
        self.level = plan.burst
        self.mine = plan.burst / self.ingress_count
        # The first ingresses of the set get the remainder of a limit that does not divide evenly.
        self.ingress_rank = (settings.own_index - first) % settings.ingresses
        self.apply_plan(plan)

    def apply_plan(self, plan: i.Plan) -> None:
        self.own_parallel_limit = max(
            1, (plan.parallel - self.ingress_rank + self.ingress_count - 1) // self.ingress_count
        )
        self.span = min(plan.burst / plan.rate if plan.rate else 1.0, MAX_COUNT_LIFETIME_S / 2.5)
        # The phase staggers the count spans, or all customers would call the counter at once.
        self.phase = self.span * int(self.tag[:4], 16) / 65536.0
        # Seconds that additions may wait and that the own part stays valid. An ingress that receives all of
        # the customer's requests needs few calls.
        self.flush_interval = (
            min(1.0, FLUSH_SHARE_OF_SPAN * self.span)
            if self.ingress_count > 1
            else SOLE_INGRESS_FLUSH_SHARE * self.span
        )
        self.reserved_units = RESERVED_SHARE_OF_BURST * plan.burst if self.ingress_count > 1 else 0.0

    def change_plan(self, plan: i.Plan, now: float) -> None:
        """Changes the plan, possibly in the middle of a burst.

        What is spent of the quota and of the ceiling stays spent, so that no sequence of changes gives a
        second burst. The units left may be below zero for a while."""
        self.refill(now)
        old, span, spent = self.plan, self.span, max(0.0, self.plan.burst - self.level)
        owed = max(0.0, self.own_share * old.burst - self.mine)  # the same for the part of this ingress
        drawn = old.ceiling_burst / self.ingress_count - self.ceiling if old.ceiling_rate > 0 else owed
        self.plan = plan
        self.apply_plan(plan)
        self.level, self.mine = plan.burst - spent, self.own_share * plan.burst - owed
        self.ceiling = plan.ceiling_burst / self.ingress_count - max(0.0, drawn)
        if (self.span, plan.series) != (span, old.series):  # its counts have new names and start at 0
            self.carried_units, self.carried_at = max(0.0, spent - self.pending), now
            self.epoch = self.exhausted_epoch = -1

    def grant_to_peer(self, sender: int, message: QuotaMessage, lease: float, now: float) -> bool:
        """Whether there is room for a peer's request, which is then charged.

        A repeated message gets the same reply, as the first reply may have been lost and the request must not
        be charged twice."""
        if (sender, message.serial) not in self.grants:
            free = not self.plan.parallel or self.concurrent_requests(now) < self.own_parallel_limit
            granted = free and (not self.plan.rate or self.mine >= message.amount)
            self.grants.remember((sender, message.serial), granted)
            if granted:
                self.spend(message.amount)
                self.leases.append(now + lease)
        return self.grants[sender, message.serial]

    def share_holds_a_unit(self) -> bool:
        """Whether the own part is at least one unit.

        A smaller part rounds to nothing, and only the total of a count span shows whether there is room."""
        return self.own_share * self.plan.burst >= 1.0

    def refill(self, now: float) -> None:
        elapsed, self.refilled_at = 0.0 if self.handed_over else now - self.refilled_at, now
        gained = self.plan.rate * elapsed if self.share_holds_a_unit() else 0.0
        self.level = max(self.level, min(self.plan.burst, self.level + gained))
        cap = max(self.own_share * self.plan.burst, min(self.plan.burst, 1.0))
        self.mine = max(self.mine, min(cap, self.mine + self.own_share * self.plan.rate * elapsed))
        grown = self.ceiling * self.ingress_count + self.plan.ceiling_rate * elapsed
        self.ceiling = min(self.plan.ceiling_burst, grown) / self.ingress_count

    def apply_count(self, total: float, now: float) -> None:
        """Derives the units left and this ingress's share of the traffic from the total of a count span."""
        amount, self.read_at = max(0.0, self.current_call[1]), now
        others, self.seen = max(0.0, total - self.seen - amount), total
        self.own_recent_units, self.others_recent_units = (
            0.9 * self.own_recent_units + amount,
            0.9 * self.others_recent_units + others,
        )
        if self.share_holds_a_unit() or self.epoch != self.current_call[0]:
            # The second condition: the call began before a change of plan.
            self.level -= others
            self.carried_units += others * (self.epoch != self.current_call[0])
        else:
            self.level = self.plan.burst - total - self.pending - self.remaining_carried_units(now)
        self.own_share = (self.own_recent_units + 1.0) / (
            self.own_recent_units + self.others_recent_units + self.ingress_count
        )
        self.mine = self.own_share * max(0.0, self.level - self.reserved_units)


class QuotaManager:
    """Decides whether requests are within their customers' quotas.

    Counts go to the shared quota counter in batches. Between its replies, or without any, this ingress
    decides by its own part of the room."""

    def __init__(self, settings: i.Settings, rng: random.Random, out: list[i.Action]) -> None:
        self.settings, self.rng, self.actions = settings, rng, out
        self.accounts = AccountTable()
        # Serial -> request that waits for the reply of an account's owner.
        self.waiting_for_owner = dict[int, PendingRequest]()
        self.serial = 0
        self.started_at = 0.0
        self.failed_calls = 0  # in succession
        self.call_timer_set = False
        self.handed_over = False
        self.min_call_rate = min(MIN_CALLS_PER_S, FLEET_MIN_CALLS_PER_S / settings.ingresses)
        self.call_rate = min(INITIAL_CALLS_PER_S, FLEET_INITIAL_CALLS_PER_S / settings.ingresses)
        self.call_tokens = 1.0
        # Plan name -> share of claims that the counter or the owner confirmed.
        self.confirmed_share = dict.fromkeys((plan.name for plan in settings.plans), 0.5)
        self.plan_indexes = {plan.name: place for place, plan in enumerate(settings.plans)}
        self.rate_before_failure = 0.0  # a safe rate: the reduced rate before the first of the failed calls
        self.tokens_filled_at = -math.inf
        self.rate_cut_at = -math.inf
        # Accounts that need a call. Calls are scarce, so the accounts of the dearest waiting requests come
        # first.
        self.call_queue = CallQueue()

    def get_account(self, tag: str, spread: int, first: int, plan: i.Plan, now: float) -> QuotaAccount:
        if (account := self.accounts.get(tag)) is None:
            account = self.accounts[tag] = QuotaAccount(tag, spread, first, self.settings, plan, now)
            # An earlier life of this process may have drawn on the ceiling, so it counts as empty at the
            # start.
            lived, account.handed_over = 0.0 if self.handed_over else now - self.started_at, self.handed_over
            account.ceiling = min(plan.ceiling_burst, plan.ceiling_rate * lived) / spread
        elif account.plan != plan:
            account.change_plan(plan, now)
        account.refill(now)
        self.accounts.move_to_end(tag)
        self.accounts.remove_idle(now)
        return account

    def account_for_request(self, request: i.Request, plan: i.Plan, now: float) -> QuotaAccount:
        """The account of the request's customer.

        Where the part of each ingress is less than one request and peers can be reached, one ingress of the
        set owns the account for all of them."""
        tag, ingress_count = AccountTable.customer_tag(request.customer), max(1, request.ingress_count)
        smallest_limit = min(plan.burst if plan.rate else math.inf, plan.parallel or math.inf)
        pooled = (
            self.settings.limits.peer_messages and smallest_limit < ingress_count <= self.settings.ingresses
        )
        owner = (
            request.first_ingress + int.from_bytes(tag, "little") % ingress_count
        ) % self.settings.ingresses
        is_owner = owner == self.settings.own_index
        account = self.get_account(
            tag.hex(), 1 if pooled and is_owner else ingress_count, request.first_ingress, plan, now
        )
        account.owner = owner if pooled and not is_owner else None
        account.has_plan_override = request.plan_override is not None
        return account

    def change_plan(self, event: i.PlanOverride, now: float) -> QuotaAccount | None:
        if account := self.accounts.get(AccountTable.customer_tag(event.customer).hex()):
            account.has_plan_override = event.plan is not None
            account.change_plan(event.plan or account.plan, now)
        return account

    def send_to_peer(self, peer: int, kind: bytes, account: QuotaAccount, amount: float, serial: int) -> None:
        message = QuotaMessage(kind, account.tag, self.plan_indexes[account.plan.name], amount, serial)
        self.actions.append(i.SendToPeer(peer, message.encode()))

    def request_from_owner(self, pending: PendingRequest) -> bool:
        """Asks the account's owner for room; returns False if there is none to ask or it was asked often
        enough.

        Without a reply it asks once more, as messages get lost. After that the ingress decides alone, as an
        owner may have died."""
        if pending.account.owner is None or pending.owner_requests == MAX_OWNER_REQUESTS:
            return False
        if not pending.owner_serial:  # a serial that no other life of this ingress has used
            self.serial += 1
            pending.owner_serial = int(1000.0 * self.started_at + self.serial) % 2**32
        pending.held, pending.owner_requests, self.waiting_for_owner[pending.owner_serial] = (
            True,
            pending.owner_requests + 1,
            pending,
        )
        self.send_to_peer(
            pending.account.owner, QUOTA_REQUEST, pending.account, pending.request.units, pending.owner_serial
        )
        self.actions.append(i.SetTimer(f"a:{pending.owner_serial}", OWNER_REPLY_TIMEOUT_S))
        return True

    def receive_peer_message(self, event: i.PeerMessage, lease: float, now: float) -> PendingRequest | None:
        """Handles a quota message and returns the pending request that it answers, if any.

        A place among the open requests whose end is never reported becomes free after its lease."""
        message = QuotaMessage.decode(event.data, len(self.settings.plans))
        if message is None or not 0 <= event.sender < self.settings.ingresses:
            return None
        if message.kind in (QUOTA_GRANTED, QUOTA_DENIED):
            pending, granted = self.waiting_for_owner.pop(message.serial, None), message.kind == QUOTA_GRANTED
            if pending:
                self.confirmed_share[pending.plan.name] += SMOOTHING_WEIGHT * (
                    granted - self.confirmed_share[pending.plan.name]
                )
            if pending and granted and pending.is_waiting():
                self.reserve(pending, True, now)
            elif pending and not granted:
                pending.room_expected_in = message.amount
                pending.account.exhausted_epoch = pending.account.epoch_at(now)
            return pending
        known, plan = self.accounts.get(message.tag), self.settings.plans[message.plan_index]
        # The owner also decides which plan applies.
        plan = known.plan if known and known.has_plan_override else plan
        if not self.accounts.has_place_for(message.tag, now):
            return None
        account = self.get_account(message.tag, 1, self.settings.own_index, plan, now)
        if message.kind == QUOTA_RETURNED:
            account.spend(-message.amount)
            account.leases.pop(0) if account.leases else None
        elif message.kind == QUOTA_REQUEST:
            has_room, rate = account.grant_to_peer(event.sender, message, lease, now), account.plan.rate
            self.set_account_timer(account, account.flush_interval)
            room_in = max(0.0, message.amount - account.mine) / rate if rate else lease
            self.send_to_peer(
                event.sender, QUOTA_GRANTED if has_room else QUOTA_DENIED, account, room_in, message.serial
            )
        return None

    def counter_is_usable(self) -> bool:
        prompt = len(self.call_queue) < self.call_rate * CALL_BURST_S
        return prompt and self.failed_calls < 2 and self.settings.accounting.counter

    def has_room(self, pending: PendingRequest, claim: bool, now: float) -> bool:
        """Whether there is room for a request.

        A claim may use all that is left. Otherwise only the own part counts, and only if it is recent, there
        is no other ingress or the counter is not usable."""
        account, plan, units = pending.account, pending.account.plan, pending.request.units
        if plan.rate > 0:
            outdated = (
                self.counter_is_usable()
                and account.ingress_count > 1
                and account.flush_interval < now - account.read_at < math.inf
            )
            left = account.level - min(account.reserved_units, plan.burst - units)
            room = left if claim else 0.0 if outdated else account.mine
            if room < units and (claim or not self.may_overdraw(pending, now)):
                return False
        return self.under_ceiling(pending) and (
            not plan.parallel or account.concurrent_requests(now) < account.own_parallel_limit
        )

    def may_overdraw(self, pending: PendingRequest, now: float) -> bool:
        """Whether a request may exceed the own part, where that is too small for one and the counter is
        unresponsive.

        One request a count span may, where the expected worth exceeds the cost of going over the quota. Heavy
        use then goes beyond the quota."""
        account, share = pending.account, self.confirmed_share[pending.plan.name]
        short = (
            account.exhausted_epoch >= account.epoch_at(now) - 1
            or pending.request.is_retry
            or account.share_holds_a_unit()
        )
        gains = share > (1.0 - share) * account.plan.over_cost
        return self.failed_calls >= 2 and gains and not short and now - account.overdrawn_at > account.span

    def under_ceiling(self, pending: PendingRequest) -> bool:
        return pending.account.plan.ceiling_rate <= 0 or pending.account.ceiling >= pending.request.units

    def reserve(self, pending: PendingRequest, inside: bool, now: float) -> None:
        account, units = pending.account, pending.request.units
        # It is settled by the plan under which it was reserved.
        pending.within_quota, pending.reserved, pending.plan = inside, True, account.plan
        if inside and pending.plan.rate > 0 and not pending.owner_serial:
            # The owner counts for the ingresses that ask it.
            account.spend(units)
            account.overdrawn_at = now if account.mine < 0.0 else account.overdrawn_at
            if account.mine < 2.0 * units and account.ingress_count > 1:
                self.request_call(account, now)
            else:
                self.set_account_timer(account, account.flush_interval)
        account.ceiling -= units
        account.open_requests += 1

    def release_reservation(self, pending: PendingRequest) -> None:
        """Releases a reservation. A request that was never sent uses no units."""
        if pending.reserved and not pending.attempts:
            pending.account.ceiling += pending.request.units
            self.return_units(pending, pending.request.units if pending.within_quota else 0.0)
        elif pending.reserved and pending.owner_serial and pending.plan.parallel:
            self.return_units(pending, 0.0)
        pending.account.open_requests -= pending.reserved
        pending.reserved = False

    def settle_usage(self, pending: PendingRequest, billed: float) -> None:
        if (
            self.settings.accounting.settles_usage
            and billed > 0
            and pending.within_quota
            and pending.plan.rate > 0
        ):
            self.return_units(pending, pending.request.units - billed)

    def return_units(self, pending: PendingRequest, units: float) -> None:
        """Returns units to the account they came from, and with them the place of an open request."""
        if pending.owner_serial and pending.account.owner is not None:
            self.send_to_peer(pending.account.owner, QUOTA_RETURNED, pending.account, units, 0)
        else:
            pending.account.spend(-units)

    def hold_for_room(self, pending: PendingRequest, now: float) -> bool:
        """Holds a request for room, dearest per unit first; returns False if the count span is used up."""
        account, epoch = pending.account, pending.account.epoch_at(now)
        late = (epoch + 1) * account.span - account.phase > pending.hold_until  # no new span in time
        spent = (
            late and account.epoch == epoch and account.level < account.waiting.units + pending.request.units
        )
        if (
            account.plan.rate > 0
            and not account.share_holds_a_unit()
            and (spent or account.exhausted_epoch == epoch)
        ):
            return False
        pending.held = True
        account.waiting.push(pending)
        self.request_call(account, now)
        self.set_room_timer(account)
        return True

    def reserve_first_waiting(self, account: QuotaAccount, claim: bool, now: float) -> PendingRequest | None:
        if (pending := account.waiting.first_waiting()) is None or not self.has_room(pending, claim, now):
            return None
        account.waiting.pop()
        self.reserve(pending, True, now)
        return pending

    def release_waiting(self, account: QuotaAccount, now: float) -> Iterator[PendingRequest]:
        while (pending := self.reserve_first_waiting(account, False, now)) is not None:
            pending.held = False
            yield pending
        self.set_room_timer(account)

    def confirm_claims(
        self, account: QuotaAccount, status: str, now: float
    ) -> Iterator[tuple[PendingRequest, bool]]:
        """Yields each claim and whether the reply confirms it. Without a reply this ingress decides alone."""
        claims, account.claims = account.claims, []
        for pending in reversed(claims):
            has_units = (account.level if status == "ok" else account.mine) >= -1e-6
            if status == "ok":
                self.confirmed_share[pending.plan.name] += SMOOTHING_WEIGHT * (
                    has_units - self.confirmed_share[pending.plan.name]
                )
            if has_units or not pending.is_waiting() or (status != "ok" and self.may_overdraw(pending, now)):
                yield pending, True
                continue
            self.release_reservation(pending)
            if status == "ok":
                account.exhausted_epoch, account.mine = account.epoch, 0.0
            if status == "timeout" or (status == "ok" and not account.share_holds_a_unit()):
                # The counter has added these units, or may have, and they are not taken back there.
                account.pending += pending.request.units
            if not self.hold_for_room(pending, now):
                yield pending, False

    def set_room_timer(self, account: QuotaAccount) -> None:
        if (pending := account.waiting.first_waiting()) and not account.call_in_flight:
            rate = max(1e-9, account.plan.rate * account.own_share)
            delay = (pending.request.units - account.mine) / rate if account.plan.rate else 0.0
            self.set_account_timer(account, max(MIN_ROOM_CHECK_DELAY_S, min(account.flush_interval, delay)))

    def set_account_timer(self, account: QuotaAccount, delay: float) -> None:
        if not account.timer_set:
            account.timer_set = True
            self.actions.append(i.SetTimer(f"q:{account.tag}", delay))

    def request_call(self, account: QuotaAccount, now: float) -> None:
        wanted = self.settings.accounting.counter and account.plan.rate > 0
        rank = dearest.rank if (dearest := account.waiting.first_waiting()) else 0.0
        if wanted and not account.call_in_flight and rank < account.call_rank:
            self.call_queue.push(rank, account)
            self.start_due_calls(now)

    def start_due_calls(self, now: float) -> None:
        """Starts calls at the rate that the counter has been seen to sustain, so that a slow counter is not
        flooded.

        The drawback is that counts are older for a while afterwards."""
        gained, self.tokens_filled_at = (
            self.call_rate * min(1.0 / self.min_call_rate, now - self.tokens_filled_at),
            now,
        )
        self.call_tokens = min(max(2.0, self.call_rate * CALL_BURST_S), self.call_tokens + gained)
        while self.call_queue and self.call_tokens >= 1.0:
            self.call_tokens -= 1.0
            self.start_call(self.call_queue.pop(), now)
        if self.call_queue and not self.call_timer_set:
            self.call_timer_set = True
            # The random factor keeps the ingresses from calling in step.
            pause = (1.0 - self.call_tokens) / self.call_rate * self.rng.uniform(0.5, 1.5)
            self.actions.append(i.SetTimer("pump", pause + self.settings.time_step))

    def start_call(self, account: QuotaAccount, now: float) -> None:
        epoch, account.call_in_flight = account.epoch_at(now), True
        if account.epoch < epoch:
            fresh = account.plan.burst - account.pending - account.remaining_carried_units(now)
            account.level = account.level if account.share_holds_a_unit() else fresh
            account.epoch, account.seen = epoch, 0.0
        while (pending := self.reserve_first_waiting(account, True, now)) is not None:
            account.claims.append(pending)
        amount, account.call_in_flight = account.pending, account.pending != 0.0
        if account.call_in_flight:
            account.pending, account.current_call = 0.0, (account.epoch, amount)
            account.current_call_name = f"{account.tag}{account.plan.series}.{account.epoch:x}"
            self.actions.append(i.AddToCounter(account.current_call_name, amount, 2.5 * account.span))
        else:  # a call that only reads shows too little to be worth its price
            self.call_tokens += 1.0
            self.set_room_timer(account)

    def adjust_call_rate(self, answered: bool, now: float) -> None:
        if not answered:
            self.rate_before_failure = (
                self.rate_before_failure if self.failed_calls else self.call_rate * CALL_RATE_CUT_FACTOR
            )
            if now - self.rate_cut_at > CALL_RATE_CUT_INTERVAL_S:
                self.call_rate = max(
                    self.min_call_rate, self.call_rate * (0.5 if self.failed_calls else CALL_RATE_CUT_FACTOR)
                )
                self.rate_cut_at = now
            self.failed_calls += 1
        else:
            self.failed_calls = 0
            # A rate that is not used up shows nothing about the counter.
            if self.call_queue or self.call_tokens < 2.0:
                self.call_rate += min(
                    1.0, CALL_RATE_RISE_PER_S / self.call_rate, CALL_RATE_RISE_SHARE * self.call_rate
                )
                self.call_rate = max(self.call_rate, (self.call_rate + self.rate_before_failure) / 2.0)

    def apply_counter_reply(self, event: i.CounterReply, now: float) -> QuotaAccount | None:
        """Applies a counter reply. Returns the account, if known, whose waiting requests may continue."""
        account = self.accounts.get(event.name[:16])
        if account is None or not account.call_in_flight or event.name != account.current_call_name:
            return None
        account.call_in_flight = False
        account.refill(now)
        self.adjust_call_rate(event.status == "ok", now)
        if event.status == "ok":
            account.apply_count(event.total, now)
        elif event.status != "timeout":  # a timed-out addition may have been made, so it is not repeated
            account.pending += account.current_call[1]
            account.carried_units -= account.current_call[1] * (account.epoch != account.current_call[0])
        return account

    def account_timer_expired(self, tag: str, now: float) -> QuotaAccount | None:
        if account := self.accounts.get(tag):
            account.timer_set = False
            account.refill(now)
            self.request_call(account, now)
        return account


class DecisionEngine:
    """The decisions of one ingress. ``handle`` takes events in order and returns the actions to carry out."""

    def __init__(self, settings: i.Settings, seed: int) -> None:
        i.validate_settings(settings)
        self.settings, self.rng = settings, random.Random(seed)
        self.actions: list[i.Action] = []
        self.selector, self.capacity = BackendSelector(settings, self.rng), CapacityEstimator(settings)
        self.quota = QuotaManager(settings, self.rng, self.actions)
        self.premium, self.basic = PriorityLevel(), PriorityLevel()
        self.control_period = min(
            MAX_CONTROL_PERIOD_S, min(c.aim for c in settings.classes) / MIN_PERIODS_PER_AIM
        )
        self.pending: dict[str, PendingRequest] = {}
        self.premium_threshold = 0.0  # worth from which a request is premium
        self.retry_budget = MAX_RETRY_BUDGET
        self.failed_lists = 0  # in succession
        self.suspended = False
        self.now = 0.0
        self.started = False
        self.period_timer_set = False
        self.default_plan = i.Plan("none")
        self.handlers: dict[type, Callable[[Any], None]] = {
            i.Request: self.on_request,
            i.AttemptEnded: self.on_attempt_ended,
            i.TimerExpired: self.on_timer_expired,
            i.CounterReply: self.on_counter_reply,
            i.BackendList: self.on_backend_list,
            i.ResponseStarted: self.on_response_started,
            i.ClientGone: self.on_client_gone,
            i.PeerMessage: self.on_peer_message,
            i.PlanOverride: self.on_plan_override,
            i.SuspendAdmission: self.on_suspend_admission,
            i.ShuttingDown: self.on_shutting_down,
        }

    def handle(self, now: float, events: Iterable[i.Event]) -> Sequence[i.Action]:
        self.now = now
        self.actions.clear()
        if not self.started and self.settings.subscribe:
            self.actions.append(i.WatchBackends(True))
        self.quota.started_at, self.started = self.quota.started_at if self.started else now, True
        for event in events:
            if handler := self.handlers.get(type(event)):
                handler(event)
        return list(self.actions)

    def on_response_started(self, event: i.ResponseStarted) -> None:
        if pending := self.pending.get(event.id):
            pending.streaming = True

    def on_client_gone(self, event: i.ClientGone) -> None:
        if pending := self.pending.get(event.id):
            self.finish_request(pending, None)

    def on_shutting_down(self, event: i.ShuttingDown) -> None:
        for pending in [t for t in self.pending.values() if not t.closed and not t.streaming]:
            self.reject_or_fail(pending)

    def on_counter_reply(self, event: i.CounterReply) -> None:
        if account := self.quota.apply_counter_reply(event, self.now):
            for claim, confirmed in list(self.quota.confirm_claims(account, event.status, self.now)):
                self.resume_after_quota(claim, confirmed)
            self.admit_waiting(account)

    def on_request(self, request: i.Request) -> None:
        if not 0 <= request.class_index < len(self.settings.classes) or request.id in self.pending:
            return
        tag = AccountTable.customer_tag(request.customer).hex()
        if self.suspended or not self.quota.accounts.has_place_for(tag, self.now):
            self.actions.append(i.RejectRequest(request.id, self.settings.limits.retry_after_limit()))
            return
        known = 0 <= request.plan_index < len(self.settings.plans)
        cls = self.settings.classes[request.class_index]
        plan = request.plan_override or (
            self.settings.plans[request.plan_index] if known else self.default_plan
        )
        account = self.quota.account_for_request(request, plan, self.now)
        answer_within = min(
            cls.aim + cls.aim_stretch * self.selector.latency_by_class[request.class_index][0],
            request.time_left,
        )
        # A request may be held for at least one control period, as an owner is asked first.
        latest_start = answer_within - 2.0 * self.selector.latency_by_class[request.class_index][0]
        hold = min(
            MAX_HOLD_SHARE_OF_AIM * answer_within,
            MAX_HOLD_SHARE_OF_TIME_LEFT * request.time_left,
            max(self.control_period, latest_start),
        )
        worth = cls.worth * plan.price * request.units
        level = self.premium if worth >= self.premium_threshold else self.basic
        self.premium_threshold += SMOOTHING_WEIGHT / 5 * (worth - self.premium_threshold)
        pending = PendingRequest.create(request, cls, plan, account, level, self.now, answer_within, hold)
        self.pending[pending.id] = pending
        self.set_timer("d", request.id, max(0.0, request.time_left - self.settings.time_step))
        self.set_timer("h", request.id, hold)
        if not self.quota.request_from_owner(pending):
            self.request_room(pending)

    def set_timer(self, kind: str, name: str, delay: float) -> None:
        self.actions.append(i.SetTimer(f"{kind}:{name}", delay, name))

    def request_room(self, pending: PendingRequest) -> None:
        plan = pending.plan
        inside = not pending.account.waiting.first_waiting() and self.quota.has_room(pending, False, self.now)
        # A request admitted beyond a limit on open requests would keep the next ones from their place within
        # it.
        over = plan.over_worth > plan.over_cost and not plan.parallel and self.quota.under_ceiling(pending)
        if inside or (over and self.has_idle_capacity()):
            self.quota.reserve(pending, inside, self.now)
            self.admit_or_hold(pending)
        elif not self.quota.hold_for_room(pending, self.now):
            self.reject_or_fail(pending)

    def on_peer_message(self, event: i.PeerMessage) -> None:
        if pending := self.quota.receive_peer_message(event, 5.0 * self.selector.mean_latency, self.now):
            self.resume_after_quota(pending, pending.reserved)

    def resume_after_quota(self, pending: PendingRequest, inside: bool) -> None:
        """Continues a request held for its quota: admits it to its priority level, or answers it at once."""
        if pending.is_waiting():
            pending.held = False
            (self.admit_or_hold if inside else self.reject_or_fail)(pending)

    def on_plan_override(self, event: i.PlanOverride) -> None:
        self.admit_waiting(self.quota.change_plan(event, self.now))

    def on_suspend_admission(self, event: i.SuspendAdmission) -> None:
        self.suspended = event.enabled

    def has_idle_capacity(self) -> bool:
        return (
            self.premium.open_attempts + self.basic.open_attempts
            < IDLE_SHARE_OF_TARGET * self.capacity.target_open
        )

    def admit_waiting(self, account: QuotaAccount | None) -> None:
        for pending in self.quota.release_waiting(account, self.now) if account else ():
            self.admit_or_hold(pending)

    def admit_or_hold(self, pending: PendingRequest) -> None:
        """Lets a request pass with the chance of its priority level, or holds it.

        While requests are held already, it is held behind them."""
        level = pending.priority_level
        level.arrived_in_period += 1
        if not self.period_timer_set:  # periods pass only while there is work
            self.period_timer_set, level.pass_probability = True, 1.0
            self.actions.append(i.SetTimer("tick", self.control_period * (0.5 + self.rng.random())))
        if level.hold_queue or self.rng.random() >= level.pass_probability or not self.try_attempt(pending):
            level.hold_queue.add(pending, not pending.within_quota)

    def try_attempt(self, pending: PendingRequest) -> bool:
        """Starts an attempt if a backend can be chosen, and returns whether it did.

        A further attempt needs half a mean latency before the deadline; later it would waste a connection."""
        late = (
            pending.attempts
            and pending.deadline - self.now
            < self.selector.latency_by_class[pending.request.class_index][0] / 2.0
        )
        if backend := None if late else self.selector.choose_backend(pending, self.now):
            self.start_attempt(pending, backend)
        return backend is not None

    def start_attempt(self, pending: PendingRequest, backend: Backend) -> None:
        request = pending.request
        level = pending.priority_level
        number = len(pending.attempts)
        start_before = pending.repeat_deadline()
        pending.attempts.append(Attempt(backend, self.now, backend.entry.zone, backend.entry.cell))
        expected = self.selector.latency_by_class[request.class_index][0]
        backend.open_attempts[(request.id, number)] = (self.now, expected)
        self.selector.recently_used[backend] = None
        if self.selector.slow_start_share(backend, self.now) < 1.0:
            self.selector.slow_start.spend(backend, expected / self.selector.mean_latency)
        level.open_attempts, level.sent_in_period = level.open_attempts + 1, level.sent_in_period + 1
        self.retry_budget = min(
            MAX_RETRY_BUDGET, self.retry_budget + RETRY_BUDGET_PER_REQUEST * (number == 0)
        )
        self.actions.append(i.StartAttempt(request.id, backend.entry.backend, start_before=start_before))
        if not pending.request_class.stream:
            self.set_timer(f"p:{number}", pending.id, self.overdue_after(pending))

    def on_attempt_overdue(self, pending: PendingRequest, number: int) -> None:
        """Sends a copy of an overdue attempt, or moves it, off a slow, unresponsive or leaving backend.

        Under load it does so only off a suspect, or if the attempt is lost."""
        attempt, limits = pending.attempts[number], self.settings.limits
        if pending.closed or pending.streaming or not attempt.open:
            return
        lost = self.stop_counting_if_lost(pending, number)
        unfit = lost or self.selector.is_suspect(attempt.backend, self.now)
        under_load = min(self.premium.pass_probability, self.basic.pass_probability) < 1.0
        if not lost:
            self.set_timer(f"p:{number}", pending.id, self.overdue_after(pending))
        unrepeatable = pending.request_class.effect == "once" or (
            not lost and not is_repeatable(pending.request_class)
        )
        if (
            unrepeatable
            or self.retry_budget < 1.0
            or (under_load and not unfit)
            or limits.max_attempts < number + 2
        ):
            return
        if limits.hedging:
            if pending.open_attempts() < 2 and self.try_attempt(pending):
                self.retry_budget -= 1.0
        elif unfit and limits.cancel:
            self.actions.append(i.CancelAttempt(pending.id, number))

    def overdue_after(self, pending: PendingRequest) -> float:
        """Seconds after which an attempt is overdue, by when most answers have arrived."""
        expected, deviation = self.selector.latency_by_class[pending.request.class_index]
        return expected + 4.0 * deviation

    def stop_counting_if_lost(self, pending: PendingRequest, number: int) -> bool:
        """Stops counting an attempt as open once much later ones were answered; returns whether it is lost.

        A few lost attempts that count as open would block a priority level, or shut out good backends."""
        attempt, backend = pending.attempts[number], pending.attempts[number].backend
        answered_send_at = (
            self.selector.last_answered_send_at if backend.silent else backend.last_answered_send_at
        )
        if attempt.counts_as_open and answered_send_at > attempt.sent_at + 2.0 * self.overdue_after(pending):
            attempt.counts_as_open, pending.priority_level.open_attempts = (
                False,
                pending.priority_level.open_attempts - 1,
            )
            backend.open_attempts.pop((pending.id, number), None)
        return not attempt.counts_as_open

    def on_attempt_ended(self, event: i.AttemptEnded) -> None:
        pending = self.pending.get(event.id)
        attempt = pending.open_attempt(event.attempt) if pending else None
        if pending is None or attempt is None:
            return
        attempt.open, attempt.may_have_run = False, event.status not in NEVER_RAN
        self.record_outcome(pending, attempt, event)
        pending.priority_level.open_attempts -= attempt.counts_as_open
        if event.request_done or event.status == "ok":
            self.quota.settle_usage(pending, event.settled_units)
            self.finish_request(pending, None)
        if pending.open_attempts():
            return
        if pending.closed:
            self.pending.pop(event.id, None)
        elif not pending.streaming and not pending.held:
            self.retry_or_give_up(pending, retry_price(attempt, event.status))

    def record_outcome(self, pending: PendingRequest, attempt: Attempt, event: i.AttemptEnded) -> None:
        backend, now, cls = attempt.backend, self.now, pending.request.class_index
        backend.open_attempts.pop((event.id, event.attempt), None)
        if event.status != "moot":
            self.selector.record_connection(backend, attempt.sent_at, event.status != "connect_failed", now)
        if event.status in ("moot", "connect_failed"):
            return
        latency = event.latency or now - attempt.sent_at
        ratio = latency / self.selector.latency_by_class[cls][0]
        if event.status in ("ok", "error", "full", "reset"):
            backend.answered_at = now
            if backend.silent:
                self.selector.begin_slow_start(backend, now, now)
            backend.last_answered_send_at = max(backend.last_answered_send_at, attempt.sent_at)
            self.selector.last_answered_send_at = max(self.selector.last_answered_send_at, attempt.sent_at)
        if event.status in ("ok", "timeout", "cancelled"):
            self.capacity.record_attempt(pending.request_class.aim, latency, event.status == "ok")
        if event.status == "ok":
            self.selector.record_answered_work(backend, cls, now)
            mean, deviation = self.selector.latency_by_class[cls]
            deviation += SMOOTHING_WEIGHT / 2 * (abs(latency - mean) - deviation)
            self.selector.latency_by_class[cls] = (
                max(1e-4, mean + SMOOTHING_WEIGHT / 2 * (latency - mean)),
                deviation,
            )
            self.selector.mean_latency += SMOOTHING_WEIGHT / 2 * (latency - self.selector.mean_latency)
            backend.full_until.pop((cls, pending.request.plan_index), None)
        if event.status == "full":
            # Requests of this class and plan go to other backends, or they would be refused though there is
            # room.
            backend.full_until[(cls, pending.request.plan_index)] = now + SUSPICION_LIFETIME_S
            return
        weight = min(
            0.5, max(SMOOTHING_WEIGHT, (now - backend.sampled_at) / SAMPLE_INTERVAL_S * SMOOTHING_WEIGHT)
        )
        backend.sampled_at = now
        backend.error_rate += weight * ((event.status not in ("ok", "cancelled")) - backend.error_rate)
        late = event.status in ("timeout", "cancelled") and ratio > backend.latency_ratio
        if event.status == "ok" or (late and attempt.counts_as_open):
            backend.latency_ratio += weight * (min(ratio, 10.0) - backend.latency_ratio)

    def retry_or_give_up(self, pending: PendingRequest, price: float) -> None:
        """Starts a further attempt within the retry budget, or answers the request."""
        if self.retry_budget >= price and self.now < pending.aim_deadline and self.try_attempt(pending):
            self.retry_budget -= price
        else:
            self.reject_or_fail(pending)

    def reject_or_fail(self, pending: PendingRequest) -> None:
        longest = min(self.settings.limits.retry_after_limit(), max(0.0, pending.deadline - self.now))
        room_in = pending.room_expected_in or pending.account.span / 2.0  # on average half a count span
        wait = min(
            longest,
            max(MAX_CONTROL_PERIOD_S, room_in * (not pending.within_quota)) * self.rng.uniform(0.75, 1.25),
        )
        self.finish_request(
            pending, i.RejectRequest(pending.id, wait) if may_reject(pending) else i.FailRequest(pending.id)
        )

    def finish_request(self, pending: PendingRequest, answer: i.RejectRequest | i.FailRequest | None) -> None:
        """The only end of a request: sends at most one answer, cancels open attempts, settles the quota."""
        if pending.closed:
            return
        pending.closed, pending.held = True, False
        if answer is not None:
            self.actions.append(answer)
        self.quota.release_reservation(pending)
        for number, attempt in enumerate(pending.attempts):
            if attempt.open and self.settings.limits.cancel and not pending.streaming:
                self.actions.append(i.CancelAttempt(pending.id, number))
        if not pending.open_attempts():
            self.pending.pop(pending.id, None)
        if pending.account.plan.parallel:
            self.admit_waiting(pending.account)

    def on_timer_expired(self, event: i.TimerExpired) -> None:
        kind, _, rest = event.token.partition(":")
        number, _, name = rest.partition(":")
        pending = self.pending.get(name or rest)
        if kind == "tick":
            self.run_control_period()
        elif kind == "watch":
            self.actions.append(i.WatchBackends(True))
        elif kind == "pump":
            self.quota.call_timer_set = False
            self.quota.start_due_calls(self.now)
        elif kind == "q":
            self.admit_waiting(self.quota.account_timer_expired(rest, self.now))
        elif (
            kind == "a"
            and (asked := self.quota.waiting_for_owner.pop(int(rest), None))
            and asked.is_waiting()
        ):
            if not self.quota.request_from_owner(asked):
                asked.held, asked.owner_serial = False, 0
                self.request_room(asked)
        elif kind == "p" and pending:
            self.on_attempt_overdue(pending, int(number))
        elif pending and (pending.held if kind == "h" else kind == "d" and not pending.streaming):
            self.reject_or_fail(pending)

    def run_control_period(self) -> None:
        """Ends a control period: updates target and allowances, releases held requests, sets pass chances."""
        selector, premium, basic = self.selector, self.premium, self.basic
        selector.assess(self.now)
        # A backend in slow start counts by its capacity share.
        ready = selector.sampled_sum(
            lambda s: selector.slow_start_share(s, self.now), len(selector.ready), MAX_BACKENDS_PER_STEP
        )
        self.capacity.update_target(premium.open_attempts + basic.open_attempts, ready, self.control_period)
        target = self.capacity.target_open
        premium.update_allowance(target, self.control_period, self.rng.random())
        basic.update_allowance(
            max(target - premium.open_attempts, target / (MAX_PREMIUM_PER_BASIC + 1)),
            self.control_period,
            self.rng.random(),
        )
        self.release_held()
        premium.update_pass_probability()
        basic.update_pass_probability()
        self.period_timer_set = bool(
            premium.open_attempts + basic.open_attempts or premium.hold_queue or basic.hold_queue
        )
        if self.period_timer_set:
            self.actions.append(i.SetTimer("tick", self.control_period))

    def release_held(self) -> None:
        """Releases held requests while the priority levels have an allowance and a backend can be chosen.

        Up to MAX_PREMIUM_PER_BASIC premium requests leave before one basic one."""
        premium_released, ready = 0, [self.premium, self.basic]
        while ready:
            level = ready[-1] if premium_released >= MAX_PREMIUM_PER_BASIC else ready[0]
            pending = (
                level.hold_queue.first_waiting(1 + self.has_idle_capacity())
                if level.allowance >= 1.0
                else None
            )
            if pending is None or not self.try_attempt(pending):
                ready.remove(level)
                continue
            pending.held = False
            level.allowance -= 1.0
            premium_released = premium_released + 1 if level is self.premium else 0

    def on_backend_list(self, event: i.BackendList) -> None:
        self.log_slow_starts(self.selector.apply_backend_list(event, self.now))
        self.failed_lists = self.failed_lists + 1 if event.kind == "failed" else 0
        if self.failed_lists and self.settings.subscribe:
            pause = min(
                MAX_CONTROL_PERIOD_S * 2**self.failed_lists, self.settings.safety_limits.ask_within / 5
            )
            self.actions.append(i.SetTimer("watch", pause * self.rng.uniform(0.75, 1.25)))

    def log_slow_starts(self, backends: Sequence[Backend]) -> None:
        ready = len(self.selector.ready)
        for backend in backends[:MAX_LOGGED_SLOW_STARTS]:
            age = self.now - backend.slow_start_from
            self.actions.append(
                i.WriteLog(f"slow start of {backend.entry.backend}, started {age:.3f} s ago; {ready} ready")
            )
        if len(backends) > MAX_LOGGED_SLOW_STARTS:
            more = len(backends) - MAX_LOGGED_SLOW_STARTS
            self.actions.append(i.WriteLog(f"slow start of {more} more backends"))
