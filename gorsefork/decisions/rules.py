"""The decisions of a gatekeeper: one instance, no I/O, no clock, no global randomness.

Types: ``interface.py``. Ordinary path: "Web2K: Bringing QoS to Web Servers", 3.3; docs/design.md."""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Iterable, Iterator, Sequence
from statistics import median_high
from typing import Any

from gorsefork.decisions import interface as i
from gorsefork.decisions.state import (
    AccountState,
    AccountTable,
    Attempt,
    Backend,
    BackendTable,
    CallQueue,
    HoldQueue,
    PendingRequest,
    QuotaMessage,
)

# s, the longest control period T (the paper's); shortest aim / T at least
MAX_CONTROL_PERIOD_S, MIN_PERIODS_PER_AIM = 0.25, 10
PI_GAIN, PI_INTEGRAL_TIME_S = 1.0, 1.0  # K and Ti (s) of the PI law: an error is made good within about Ti
MAX_PREMIUM_PER_BASIC = 12  # premium waits that leave before one basic (the paper's look-ahead)
# of the aim that the mean answer may take under load: the rest is for the slow tail
MEAN_LATENCY_SHARE_OF_AIM = 0.2
# of the aim that a request may be held; of target_q that is idle
MAX_HOLD_SHARE_OF_AIM, IDLE_SHARE_OF_TARGET = 0.5, 0.5
MAX_HOLD_SHARE_OF_TIME_LEFT = 0.45  # of its own time: a refusal is to leave well before half of that is over
# always open a server by all; here if prompt; its limit
MIN_OPEN_PER_BACKEND, MIN_OPEN_WHILE_FAST, MAX_STRAIN = 4.0, 4.0, 5.0
MIN_OPEN_DEVIATIONS = 2.0  # standard deviations of it by which one gatekeeper's part may be more
# of a warm one's load, by its least warmth; of its cost: tokens go unused
SLOW_START_LOAD_FACTOR, SLOW_START_COST_FACTOR = 1.2, 0.5
# retry budget: its fill for each first attempt, and what it holds
RETRY_BUDGET_PER_REQUEST, MAX_RETRY_BUDGET = 0.2, 10.0
# weight of one new sample in a moving mean; s from which it weighs more
SMOOTHING_WEIGHT, SAMPLE_INTERVAL_S = 0.1, 2.0
SLOW_LATENCY_RATIO, EXCESS_ERROR_RATE = 2.5, 0.3  # times peers' latency, failures beyond theirs: passed by
# s between trials of a silent server; life of a suspicion or 'full' not renewed
MIN_TRIAL_INTERVAL_S, SUSPICION_LIFETIME_S = 1.0, 10.0
FLEET_TRIALS_PER_S = 4.0  # of one suspect in a second, by all gatekeepers together
# of an unsampled server's latency kept at each look; s between looks
LATENCY_DECAY, ASSESSMENT_INTERVAL_S = 0.99, 0.5
# of a turn, a place; of the fall window, a token; tokens
GOLDEN_RATIO_FRACTION, TOKEN_LIFETIME_SHARE, MAX_SENDERS_SAVING_TOKENS = 0.6180339887, 1 / 3, 4.0
# servers looked at for one choice; gatekeepers that look at one
MIN_CANDIDATES, MAX_CANDIDATES_DRAWN, INGRESSES_PER_BACKEND = 10, 20, 14
# servers that one step looks at; more than the few, where these are unfit
MAX_BACKENDS_PER_STEP, EXTRA_CANDIDATES = 256, 64
# counter calls a second: before anything is learned; when it is silent
INITIAL_CALLS_PER_S, MIN_CALLS_PER_S = 20.0, 1.0
# the same by all gatekeepers together, if that is less each
FLEET_INITIAL_CALLS_PER_S, FLEET_MIN_CALLS_PER_S = 300.0, 200.0
# calls a second gained in a second of answers; of the rate by one
CALL_RATE_RISE_PER_S, CALL_RATE_RISE_SHARE = 20.0, 0.03
# kept after a miss; s between cuts; s of calls at once
CALL_RATE_CUT_FACTOR, CALL_RATE_CUT_INTERVAL_S, CALL_BURST_S = 0.8, 0.5, 0.25
# s between looks at one customer's room; for its keeper's word
MIN_ROOM_CHECK_DELAY_S, OWNER_REPLY_TIMEOUT_S, MAX_OWNER_REQUESTS = 0.02, 0.06, 2
# of a span that adds may wait; where one gatekeeper sees all tries
FLUSH_SHARE_OF_SPAN, SOLE_INGRESS_FLUSH_SHARE = 0.125, 0.5
# of the burst kept back for adds not yet seen; s that a count may live
RESERVED_SHARE_OF_BURST, MAX_COUNT_LIFETIME_S = 0.15, 60.0
# notes: a try to count; the keeper's word; units or a place free
QUOTA_REQUEST, QUOTA_GRANTED, QUOTA_DENIED, QUOTA_RETURNED = b"a", b"y", b"n", b"b"
NEVER_RAN = frozenset(("full", "connect_failed", "moot"))


def is_repeatable(cls: i.RequestClass) -> bool:
    return cls.effect == "repeatable" or (cls.effect == "by_key" and cls.scope == "all")


class BackendSelector(BackendTable):
    """Which of the servers are fit for work, and the choice of one. A step looks at a bounded number."""

    def __init__(self, settings: i.Settings, rng: random.Random) -> None:
        super().__init__(GOLDEN_RATIO_FRACTION * settings.own_index % 1.0)
        self.settings, self.rng = settings, rng
        # share of new connections that failed; as a server's
        self.connect_failure_rate, self.last_answered_send_at = 0.0, -math.inf
        self.sends_per_backend_s, self.warm_sends, self.median_latency_ratio, self.median_error_rate = (
            0.0,
            0.0,
            1.0,
            0.0,
        )
        # mean, deviation
        self.latency_by_class = {n: (c.aim / 8, c.aim / 16) for n, c in enumerate(settings.classes)}
        # mean of all
        self.assessed_at, self.mean_latency = -math.inf, min(c.aim for c in settings.classes) / 8
        # to choose of; s between trials
        self.candidate_count, self.trial_interval = (
            0,
            max(MIN_TRIAL_INTERVAL_S, settings.ingresses / FLEET_TRIALS_PER_S),
        )

    def begin_slow_start(self, server: Backend, since: float) -> None:
        """Guards against pushing over what has just come back, told or only seen."""
        server.slow_start_from = max(server.slow_start_from, since)
        # all that look at it have a first token in turn
        server.slow_start_tokens = GOLDEN_RATIO_FRACTION * self.ring_rank(server) % 1.0
        server.silent, server.error_rate, server.latency_ratio = False, 0.0, self.median_latency_ratio

    def warmth(self, server: Backend, now: float) -> float:
        guards, age = self.settings.safety_limits, max(0.0, now - server.slow_start_from)
        grown = age / guards.ramp if age < guards.ramp else 1.0
        return guards.cold_share + (1.0 - guards.cold_share) * grown

    def has_slow_start_token(self, server: Backend, now: float) -> bool:
        """Slow start, in whole tokens. So few deal them that their rates and one each fit the budget."""
        warmth = self.warmth(server, now)
        if warmth >= 1.0 or (place := self.ring_rank(server)) >= self.candidate_count:
            # it has no part in those it skips
            return warmth >= 1.0
        lookers = self.settings.ingresses * self.candidate_count / len(self.ready)  # that deal its part
        # so that what all have saved might come at once: tokens lapse
        many = lookers > MAX_SENDERS_SAVING_TOKENS
        able, guards = (
            warmth * max(self.sends_per_backend_s, 1.0 / lookers / self.mean_latency),
            self.settings.safety_limits,
        )
        rate, window = (SLOW_START_LOAD_FACTOR if many else 1.0) * able, guards.fall_window
        if many:
            budget = guards.fall_multiple * able * lookers * window
            spare = budget + 2.0 * math.sqrt(budget) - rate * lookers * (1.0 + TOKEN_LIFETIME_SHARE) * window
            if place >= (places := max(1, int(min(1.0, spare / lookers) * self.candidate_count))):
                return False
            rate *= self.candidate_count / places
        credit = server.slow_start_tokens + rate * max(
            0.0, now - max(server.tokens_filled_at, server.slow_start_from)
        )
        late = credit % 1.0 if many else 0.0  # since its turn
        server.slow_start_tokens = min(credit, late + (late < rate * TOKEN_LIFETIME_SHARE * window))
        server.tokens_filled_at = now
        return server.slow_start_tokens >= 1.0

    def apply_backend_list(self, news: i.BackendList, now: float) -> None:
        for server in self.apply_list(news):
            if server.on_ring and server.entry.started > max(0.0, server.slow_start_from):
                self.begin_slow_start(server, server.entry.started)  # a new process, maybe under an old name
        self.update_candidate_count(now)

    def assess(self, now: float) -> None:
        """Peers' medians, silence and suspicion, now and then: of all, in a large fleet of those in use."""
        period = now - self.assessed_at
        if period < ASSESSMENT_INTERVAL_S:
            return
        self.assessed_at = now
        # those that its sends go to
        warm = self.sampled_sum(
            lambda s: self.warmth(s, now) >= 1.0, self.candidate_count, MAX_BACKENDS_PER_STEP
        )
        rate, self.warm_sends = self.warm_sends / period / max(1, warm), 0.0
        self.sends_per_backend_s += min(1.0, SMOOTHING_WEIGHT * period / MAX_CONTROL_PERIOD_S) * (
            rate - self.sends_per_backend_s
        )
        self.connect_failure_rate *= max(0.0, 1.0 - period / SUSPICION_LIFETIME_S)
        live = (
            self.next_recently_used(MAX_BACKENDS_PER_STEP)
            if len(self.ready) > MAX_BACKENDS_PER_STEP
            else self.ready
        )
        self.median_latency_ratio = median_high([s.latency_ratio for s in live] or [1.0])
        self.median_error_rate = median_high([s.error_rate for s in live] or [0.0])
        for server in live:  # no answer of any kind since long before: not slow but silent
            sent_at, expected = server.oldest_attempt(now)
            if (
                now - sent_at > 5.0 * expected * max(1.0, self.median_latency_ratio)
                and server.answered_at < sent_at
            ):
                server.silent = True
            elif not server.open_attempts and now - server.sampled_at > SUSPICION_LIFETIME_S:
                # or what mended would never be tried
                server.latency_ratio = min(LATENCY_DECAY * server.latency_ratio, self.median_latency_ratio)
                server.error_rate = min(server.error_rate, self.median_error_rate)
                self.recently_used.pop(server, None)
        self.update_candidate_count(now)

    def update_candidate_count(self, now: float) -> None:
        """So many in its order that the fit among them bear its part, a cold one by its warmth; bounded."""
        many, self.candidate_count = len(self.ready), 0
        left = min(many, max(MIN_CANDIDATES, INGRESSES_PER_BACKEND * many / self.settings.ingresses))
        each = max(1, math.ceil(left / MAX_BACKENDS_PER_STEP))
        while left > 0.0 and self.candidate_count < min(many, 2 * MAX_BACKENDS_PER_STEP * each):
            server, self.candidate_count = (
                self.ready[self.candidate_count],
                min(many, self.candidate_count + each),
            )
            left -= 0.0 if self.is_suspect(server, now) else each * self.warmth(server, now)

    def is_suspect(self, server: Backend, now: float) -> bool:
        """Relative to its peers, so that a slowdown of all ejects nobody; silence alone is absolute."""
        slow = server.slowness(now) > SLOW_LATENCY_RATIO * max(self.median_latency_ratio, 0.5)
        failing = server.error_rate > self.median_error_rate + EXCESS_ERROR_RATE
        return slow or failing or server.silent or server.avoided_until > now or server.entry.state != "ready"

    def draw_candidates(self, ticket: PendingRequest, now: float) -> list[Backend]:
        """A lasting few, whose connections and figures keep, in a turn by chance; all for another attempt. In
        a large fleet, for that or where none of those is fit, some more of all that the request may have."""
        if ticket.attempts and len(self.ready) <= MAX_BACKENDS_PER_STEP:
            return self.rng.sample(self.ready, len(self.ready))
        drawn = [
            self.ready[n]
            for n in self.rng.sample(
                range(self.candidate_count), min(self.candidate_count, MAX_CANDIDATES_DRAWN)
            )
        ]
        if len(self.ready) > MAX_BACKENDS_PER_STEP and (
            ticket.attempts or all(self.is_suspect(s, now) for s in drawn)
        ):
            more = self.in_scope(ticket.request_class.scope, ticket.attempts_that_may_have_run())
            drawn += self.rng.sample(more, min(len(more), EXTRA_CANDIDATES))
        return drawn

    def choose_backend(self, ticket: PendingRequest, now: float) -> Backend | None:
        """The least expected latency of the fit that were drawn, else the suspects. Now and then one of those
        is tried first, where a second copy can follow: what gets nothing would stay shut out."""
        best, least = None, math.inf
        trial = not ticket.attempts and self.settings.limits.hedging and is_repeatable(ticket.request_class)
        tried, kind = (
            {a.backend for a in ticket.attempts},
            (ticket.request.class_index, ticket.request.plan_index),
        )
        for server in self.draw_candidates(ticket, now):
            cost = self.expected_cost(server, now) * (4.0 if server in tried else 1.0)
            if server.full_until and server.full_until.get(kind, -math.inf) > now:
                cost *= 1e3
            if self.is_suspect(server, now):
                cost *= 1e9 if server.silent else 1e6
                if trial and len(server.open_attempts) < 2 and now - server.trial_at > self.trial_interval:
                    cost, server.trial_at, trial = 0.0, now, False
            if (
                cost < least
                and may_attempt(ticket, server, now, self.settings)
                and self.has_slow_start_token(server, now)
            ):
                best, least = server, cost
        return best

    def is_connected(self, server: Backend, now: float) -> bool:
        return now - server.answered_at < self.settings.limits.keepalive

    def record_connection(self, server: Backend, sent_at: float, made: bool, now: float) -> None:
        """Guards against servers that take no new connections, are dead or cut off: a failure passes it by,
        at first briefly; several keep to those that answered of late. Harm: a few carry more."""
        server.failed_connects = 0 if made else server.failed_connects + 1
        if not made:
            pause = min(
                SUSPICION_LIFETIME_S, MIN_TRIAL_INTERVAL_S / 2.0 * 2.0 ** min(server.failed_connects, 10)
            )
            server.avoided_until = now + pause * self.rng.uniform(0.5, 1.5)
        if not self.is_connected(server, sent_at):
            self.connect_failure_rate = (
                self.connect_failure_rate / 2.0
                if made
                else self.connect_failure_rate + 2.0 * SMOOTHING_WEIGHT * (1.0 - self.connect_failure_rate)
            )

    def expected_cost(self, server: Backend, now: float) -> float:
        weight = server.entry.weight if self.settings.weights != "off" and server.entry.weight > 0 else 1.0
        crossing = 1.0 + 10.0 * self.settings.cross_zone_price * (server.entry.zone != self.settings.zone)
        barred = (
            0.0
            if self.is_connected(server, now)
            else self.connect_failure_rate / (1.05 - self.connect_failure_rate)
        )
        idle = 1.0 if self.warmth(server, now) >= 1.0 else SLOW_START_COST_FACTOR
        load = idle + len(server.open_attempts) * self.settings.ingresses / (weight * 2.0)
        cost = server.slowness(now) * load * crossing / max(0.05, 1.0 - server.error_rate) ** 2
        return cost + barred * self.settings.limits.connect_timeout / self.mean_latency


def may_attempt(ticket: PendingRequest, server: Backend, now: float, settings: i.Settings) -> bool:
    """Whether a further attempt at this server keeps the effect rules. Every send passes here."""
    limits, scope, here = settings.limits, ticket.request_class.scope, server.entry
    if ticket.closed or ticket.streaming or now >= ticket.deadline or server.entry.state != "ready":
        return False
    if len(ticket.attempts) >= limits.max_attempts or (ticket.open_attempts() and not limits.hedging):
        return False
    ran = ticket.attempts_that_may_have_run()
    if not ran or ticket.request_class.effect == "repeatable":
        return True
    if ticket.request_class.effect == "once" or now + 2 * settings.time_step >= ticket.repeat_deadline():
        return False
    return scope == "all" or all(a.zone == here.zone if scope == "zone" else a.cell == here.cell for a in ran)


def may_reject(ticket: PendingRequest) -> bool:
    """Whether 'trying again is harmless' is true. Every refusal passes here."""
    return not ticket.streaming and (
        is_repeatable(ticket.request_class) or not ticket.attempts_that_may_have_run()
    )


class PriorityLevel:
    """The PI law of one worth lane and its discard queue: those inside their quota, then beyond."""

    def __init__(self) -> None:
        self.open_attempts = self.sent_in_period = self.arrived_in_period = 0
        self.last_error, self.allowance, self.pass_probability, self.hold_queue = (
            0.0,
            math.inf,
            1.0,
            HoldQueue(2),
        )

    def update_allowance(self, target: float, period: float, dither: float) -> None:
        """target_in. A lull never throttles; with none open a part of a request is rounded by chance."""
        error = target - self.open_attempts
        law = max(
            0.0,
            error,
            self.sent_in_period
            + PI_GAIN * (1.0 + period / PI_INTEGRAL_TIME_S) * error
            - PI_GAIN * self.last_error,
        )
        self.allowance = law if self.open_attempts else math.floor(law + dither)
        self.last_error, self.sent_in_period = error, 0

    def update_pass_probability(self) -> None:
        """1 if none came, but only while there is room: or of hundreds with a request a second nearly all
        would pass whatever is open. Harm: a first request after a jam waits a period."""
        self.pass_probability, self.arrived_in_period = (
            min(1.0, self.allowance / max(1, self.arrived_in_period)),
            0,
        )


class CapacityEstimator:
    """Learns target_q: answers a second times the part of the aim that an answer may take (Little's law)."""

    def __init__(self, settings: i.Settings) -> None:
        self.settings, self.mean_aim = settings, min(c.aim for c in settings.classes)
        self.answer_rate, self.peak_answer_rate, self.target_open, self.answers, self.strain = (
            0.0,
            0.0,
            math.inf,
            0,
            0.0,
        )

    def record_attempt(self, aim: float, latency: float, answered: bool) -> None:
        """What got no answer in time strains too: or the more is lost, the quicker all seems."""
        self.answers += answered
        self.mean_aim += SMOOTHING_WEIGHT * (aim - self.mean_aim)
        self.strain += (
            2.0
            * SMOOTHING_WEIGHT
            * (min(MAX_STRAIN, latency / (MEAN_LATENCY_SHARE_OF_AIM * aim)) - self.strain)
        )

    def update_target(self, load: int, ready: float, period: float) -> None:
        """A lull teaches nothing: the rate falls only under pressure. A few open need only be prompt."""
        self.answer_rate += SMOOTHING_WEIGHT * (self.answers / period - self.answer_rate)
        self.answers = 0
        self.peak_answer_rate = max(
            self.answer_rate,
            self.peak_answer_rate
            + SMOOTHING_WEIGHT * (load > self.target_open * 0.8) * (self.answer_rate - self.peak_answer_rate),
        )
        least = MIN_OPEN_PER_BACKEND * max(1.0, ready) / self.settings.ingresses
        least += MIN_OPEN_DEVIATIONS * math.sqrt(least)  # the smaller a part, the more of it comes by chance
        self.target_open = max(
            self.peak_answer_rate * MEAN_LATENCY_SHARE_OF_AIM * self.mean_aim,
            least,
            MIN_OPEN_WHILE_FAST / max(1.0, self.strain) ** 3,
        )


class QuotaAccount(AccountState):
    """One customer's quota as this gatekeeper knows it, its ceiling part and the requests that wait."""

    def __init__(self, tag: str, spread: int, first: int, settings: i.Settings, plan: i.Plan, now: float):
        super().__init__(plan, now)
        self.tag, self.ingress_count = tag, spread
        self.own_share, self.level, self.mine = (
            1.0 / self.ingress_count,
            plan.burst,
            plan.burst / self.ingress_count,
        )
        # the first get what does not divide
        self.ingress_rank = (settings.own_index - first) % settings.ingresses
        self.apply_plan(plan)

    def apply_plan(self, plan: i.Plan) -> None:
        self.own_parallel_limit = max(
            1, (plan.parallel - self.ingress_rank + self.ingress_count - 1) // self.ingress_count
        )
        self.span = min(plan.burst / plan.rate if plan.rate else 1.0, MAX_COUNT_LIFETIME_S / 2.5)
        self.phase = self.span * int(self.tag[:4], 16) / 65536.0  # or all customers would ask at once
        # s that adds may wait, and that a part is good for; who sees all tries needs few calls
        self.flush_interval = (
            min(1.0, FLUSH_SHARE_OF_SPAN * self.span)
            if self.ingress_count > 1
            else SOLE_INGRESS_FLUSH_SHARE * self.span
        )
        self.reserved_units = RESERVED_SHARE_OF_BURST * plan.burst if self.ingress_count > 1 else 0.0

    def change_plan(self, plan: i.Plan, now: float) -> None:
        """Other terms in the middle of a burst: what is spent stays spent, of the quota and of the ceiling,
        so that no order of changes gives a second burst. The store may stand below nothing for a while."""
        self.refill(now)
        old, span, spent = self.plan, self.span, max(0.0, self.plan.burst - self.level)
        owed = max(0.0, self.own_share * old.burst - self.mine)  # the same of this gatekeeper's part
        drawn = old.ceiling_burst / self.ingress_count - self.ceiling if old.ceiling_rate > 0 else owed
        self.plan = plan
        self.apply_plan(plan)
        self.level, self.mine = plan.burst - spent, self.own_share * plan.burst - owed
        self.ceiling = plan.ceiling_burst / self.ingress_count - max(0.0, drawn)
        if (self.span, plan.series) != (span, old.series):  # its counts have new names, at 0
            self.carried_units, self.carried_at = max(0.0, spent - self.pending), now
            self.epoch = self.exhausted_epoch = -1

    def grant_to_peer(self, sender: int, note: QuotaMessage, lease: float, now: float) -> bool:
        """Whether there is room for a peer's try, which then takes it. The same word where it is asked again:
        the first may have been lost, and is not to be paid for twice."""
        if (sender, note.serial) not in self.grants:
            free = not self.plan.parallel or self.concurrent_requests(now) < self.own_parallel_limit
            good = free and (not self.plan.rate or self.mine >= note.amount)
            self.grants.remember((sender, note.serial), good)
            if good:
                self.spend(note.amount)
                self.leases.append(now + lease)
        return self.grants[sender, note.serial]

    def share_holds_a_unit(self) -> bool:
        # or the part rounds to nothing, and only a span's total tells of room
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
        """A span's total says what it has left, and which part of the traffic comes this way."""
        amount, self.read_at = max(0.0, self.current_call[1]), now
        others, self.seen = max(0.0, total - self.seen - amount), total
        self.own_recent_units, self.others_recent_units = (
            0.9 * self.own_recent_units + amount,
            0.9 * self.others_recent_units + others,
        )
        if self.share_holds_a_unit() or self.epoch != self.current_call[0]:
            # or called for before a change of terms
            self.level -= others
            self.carried_units += others * (self.epoch != self.current_call[0])
        else:
            self.level = self.plan.burst - total - self.pending - self.remaining_carried_units(now)
        self.own_share = (self.own_recent_units + 1.0) / (
            self.own_recent_units + self.others_recent_units + self.ingress_count
        )
        self.mine = self.own_share * max(0.0, self.level - self.reserved_units)


class QuotaManager:
    """The quota companion: batched counts, own part of the room between reads, silence judged alone."""

    def __init__(self, settings: i.Settings, rng: random.Random, out: list[i.Action]) -> None:
        self.settings, self.rng, self.actions = settings, rng, out
        self.accounts = AccountTable()
        # tries that wait for the word of a keeper
        self.waiting_for_owner, self.serial = dict[int, PendingRequest](), 0
        self.started_at, self.failed_calls, self.call_timer_set, self.handed_over = 0.0, 0, False, False
        self.min_call_rate = min(MIN_CALLS_PER_S, FLEET_MIN_CALLS_PER_S / settings.ingresses)
        self.call_rate, self.call_tokens = (
            min(INITIAL_CALLS_PER_S, FLEET_INITIAL_CALLS_PER_S / settings.ingresses),
            1.0,
        )
        # of tries borne out
        self.confirmed_share = dict.fromkeys((plan.name for plan in settings.plans), 0.5)
        self.plan_indexes = {plan.name: place for place, plan in enumerate(settings.plans)}
        # safe: the rate before a miss
        self.rate_before_failure, self.tokens_filled_at, self.rate_cut_at = 0.0, -math.inf, -math.inf
        # accounts that want a call: calls are short, so the dearest waits come first
        self.call_queue = CallQueue()

    def get_account(self, tag: str, spread: int, first: int, plan: i.Plan, now: float) -> QuotaAccount:
        if (account := self.accounts.get(tag)) is None:
            account = self.accounts[tag] = QuotaAccount(tag, spread, first, self.settings, plan, now)
            # Another life of this process may have drawn on the ceiling: it counts as empty at the start.
            lived, account.handed_over = 0.0 if self.handed_over else now - self.started_at, self.handed_over
            account.ceiling = min(plan.ceiling_burst, plan.ceiling_rate * lived) / spread
        elif account.plan != plan:
            account.change_plan(plan, now)
        account.refill(now)
        self.accounts.move_to_end(tag)
        self.accounts.remove_idle(now)
        return account

    def account_for_request(self, request: i.Request, plan: i.Plan, now: float) -> QuotaAccount:
        """Where a part is less than a try and peers can be told, one of the set keeps the account for all."""
        tag, many = AccountTable.customer_tag(request.customer), max(1, request.ingress_count)
        least = min(plan.burst if plan.rate else math.inf, plan.parallel or math.inf)
        pooled = self.settings.limits.peer_messages and least < many <= self.settings.ingresses
        keeper = (request.first_ingress + int.from_bytes(tag, "little") % many) % self.settings.ingresses
        here = keeper == self.settings.own_index
        account = self.get_account(
            tag.hex(), 1 if pooled and here else many, request.first_ingress, plan, now
        )
        account.owner = keeper if pooled and not here else None
        account.has_plan_override = request.plan_override is not None
        return account

    def change_plan(self, event: i.PlanOverride, now: float) -> QuotaAccount | None:
        if account := self.accounts.get(AccountTable.customer_tag(event.customer).hex()):
            account.has_plan_override = event.plan is not None
            account.change_plan(event.plan or account.plan, now)
        return account

    def send_to_peer(self, peer: int, kind: bytes, account: QuotaAccount, amount: float, serial: int) -> None:
        note = QuotaMessage(kind, account.tag, self.plan_indexes[account.plan.name], amount, serial)
        self.actions.append(i.SendToPeer(peer, note.encode()))

    def request_from_owner(self, ticket: PendingRequest) -> bool:
        """Ask the keeper; without a word once more, as notes are lost. Then it goes on alone: keepers die."""
        if ticket.account.owner is None or ticket.owner_requests == MAX_OWNER_REQUESTS:
            return False
        if not ticket.owner_serial:  # one that no other life of this gatekeeper has used
            self.serial += 1
            ticket.owner_serial = int(1000.0 * self.started_at + self.serial) % 2**32
        ticket.held, ticket.owner_requests, self.waiting_for_owner[ticket.owner_serial] = (
            True,
            ticket.owner_requests + 1,
            ticket,
        )
        self.send_to_peer(
            ticket.account.owner, QUOTA_REQUEST, ticket.account, ticket.request.units, ticket.owner_serial
        )
        self.actions.append(i.SetTimer(f"a:{ticket.owner_serial}", OWNER_REPLY_TIMEOUT_S))
        return True

    def receive_peer_message(self, event: i.PeerMessage, lease: float, now: float) -> PendingRequest | None:
        """A note; the try that it answers. A place whose end is never told is free after its lease."""
        note = QuotaMessage.decode(event.data, len(self.settings.plans))
        if note is None or not 0 <= event.sender < self.settings.ingresses:
            return None
        if note.kind in (QUOTA_GRANTED, QUOTA_DENIED):
            ticket, yes = self.waiting_for_owner.pop(note.serial, None), note.kind == QUOTA_GRANTED
            if ticket:
                self.confirmed_share[ticket.plan.name] += SMOOTHING_WEIGHT * (
                    yes - self.confirmed_share[ticket.plan.name]
                )
            if ticket and yes and ticket.is_waiting():
                self.reserve(ticket, True, now)
            elif ticket and not yes:
                ticket.room_expected_in, ticket.account.exhausted_epoch = (
                    note.amount,
                    ticket.account.epoch_at(now),
                )
            return ticket
        known, plan = self.accounts.get(note.tag), self.settings.plans[note.plan_index]
        # the keeper's word, also on the terms
        plan = known.plan if known and known.has_plan_override else plan
        account = self.get_account(note.tag, 1, self.settings.own_index, plan, now)
        if note.kind == QUOTA_RETURNED:
            account.spend(-note.amount)
            account.leases.popleft() if account.leases else None
        elif note.kind == QUOTA_REQUEST:
            good, rate = account.grant_to_peer(event.sender, note, lease, now), account.plan.rate
            self.set_account_timer(account, account.flush_interval)
            room_in = max(0.0, note.amount - account.mine) / rate if rate else lease
            self.send_to_peer(
                event.sender, QUOTA_GRANTED if good else QUOTA_DENIED, account, room_in, note.serial
            )
        return None

    def counter_is_usable(self) -> bool:
        prompt = len(self.call_queue) < self.call_rate * CALL_BURST_S
        return prompt and self.failed_calls < 2 and self.settings.accounting.counter

    def has_room(self, ticket: PendingRequest, claim: bool, now: float) -> bool:
        """Room for a try: the own part, dealt lately or if alone; or all that is left, for a claim."""
        account, plan, units = ticket.account, ticket.account.plan, ticket.request.units
        if plan.rate > 0:
            old = (
                self.counter_is_usable()
                and account.ingress_count > 1
                and account.flush_interval < now - account.read_at < math.inf
            )
            left = account.level - min(account.reserved_units, plan.burst - units)
            room = left if claim else 0.0 if old else account.mine
            if room < units and (claim or not self.may_overdraw(ticket, now)):
                return False
        return self.under_ceiling(ticket) and (
            not plan.parallel or account.concurrent_requests(now) < account.own_parallel_limit
        )

    def may_overdraw(self, ticket: PendingRequest, now: float) -> bool:
        """The counter silent and the part of no try: one a span, where it gains. Heavy ones go beyond."""
        account, share = ticket.account, self.confirmed_share[ticket.plan.name]
        short = (
            account.exhausted_epoch >= account.epoch_at(now) - 1
            or ticket.request.is_retry
            or account.share_holds_a_unit()
        )
        gains = share > (1.0 - share) * account.plan.over_cost
        return self.failed_calls >= 2 and gains and not short and now - account.overdrawn_at > account.span

    def under_ceiling(self, ticket: PendingRequest) -> bool:
        return ticket.account.plan.ceiling_rate <= 0 or ticket.account.ceiling >= ticket.request.units

    def reserve(self, ticket: PendingRequest, inside: bool, now: float) -> None:
        account, units = ticket.account, ticket.request.units
        # settled as it was taken
        ticket.within_quota, ticket.reserved, ticket.plan = inside, True, account.plan
        if inside and ticket.plan.rate > 0 and not ticket.owner_serial:
            # the keeper counts for those that ask it
            account.spend(units)
            account.overdrawn_at = now if account.mine < 0.0 else account.overdrawn_at
            if account.mine < 2.0 * units and account.ingress_count > 1:
                self.request_call(account, now)
            else:
                self.set_account_timer(account, account.flush_interval)
        account.ceiling -= units
        account.open_requests += 1

    def release_reservation(self, ticket: PendingRequest) -> None:
        """A reserved try that was never sent draws nothing."""
        if ticket.reserved and not ticket.attempts:
            ticket.account.ceiling += ticket.request.units
            self.return_units(ticket, ticket.request.units if ticket.within_quota else 0.0)
        elif ticket.reserved and ticket.owner_serial and ticket.plan.parallel:
            self.return_units(ticket, 0.0)
        ticket.account.open_requests -= ticket.reserved
        ticket.reserved = False

    def settle_usage(self, ticket: PendingRequest, billed: float) -> None:
        if (
            self.settings.accounting.settles_usage
            and billed > 0
            and ticket.within_quota
            and ticket.plan.rate > 0
        ):
            self.return_units(ticket, ticket.request.units - billed)

    def return_units(self, ticket: PendingRequest, units: float) -> None:
        """Units return to where they were taken, and an open try's place with them."""
        if ticket.owner_serial and ticket.account.owner is not None:
            self.send_to_peer(ticket.account.owner, QUOTA_RETURNED, ticket.account, units, 0)
        else:
            ticket.account.spend(-units)

    def hold_for_room(self, ticket: PendingRequest, now: float) -> bool:
        """Hold a try for room, dearest a unit first; False if its customer's span is used up."""
        account, epoch = ticket.account, ticket.account.epoch_at(now)
        late = (epoch + 1) * account.span - account.phase > ticket.hold_until  # no new span in time
        spent = (
            late and account.epoch == epoch and account.level < account.waiting.units + ticket.request.units
        )
        if (
            account.plan.rate > 0
            and not account.share_holds_a_unit()
            and (spent or account.exhausted_epoch == epoch)
        ):
            return False
        ticket.held = True
        account.waiting.push(ticket)
        self.request_call(account, now)
        self.set_room_timer(account)
        return True

    def reserve_first_waiting(self, account: QuotaAccount, claim: bool, now: float) -> PendingRequest | None:
        if (ticket := account.waiting.first_waiting()) is None or not self.has_room(ticket, claim, now):
            return None
        account.waiting.pop()
        self.reserve(ticket, True, now)
        return ticket

    def release_waiting(self, account: QuotaAccount, now: float) -> Iterator[PendingRequest]:
        while (ticket := self.reserve_first_waiting(account, False, now)) is not None:
            ticket.held = False
            yield ticket
        self.set_room_timer(account)

    def confirm_claims(
        self, account: QuotaAccount, status: str, now: float
    ) -> Iterator[tuple[PendingRequest, bool]]:
        """Each claim, and whether the answer bears it out, or, with no answer, what is judged alone."""
        claims, account.claims = account.claims, []
        for ticket in reversed(claims):
            good = (account.level if status == "ok" else account.mine) >= -1e-6
            if status == "ok":
                self.confirmed_share[ticket.plan.name] += SMOOTHING_WEIGHT * (
                    good - self.confirmed_share[ticket.plan.name]
                )
            if good or not ticket.is_waiting() or (status != "ok" and self.may_overdraw(ticket, now)):
                yield ticket, True
                continue
            self.release_reservation(ticket)
            if status == "ok":
                account.exhausted_epoch, account.mine = account.epoch, 0.0
            if status == "timeout" or (status == "ok" and not account.share_holds_a_unit()):
                # added: not taken back
                account.pending += ticket.request.units
            if not self.hold_for_room(ticket, now):
                yield ticket, False

    def set_room_timer(self, account: QuotaAccount) -> None:
        if (ticket := account.waiting.first_waiting()) and not account.call_in_flight:
            rate = max(1e-9, account.plan.rate * account.own_share)
            delay = (ticket.request.units - account.mine) / rate if account.plan.rate else 0.0
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
        """Calls go as the counter was seen to bear: no flood of a slow one; counts age for a while after."""
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
            # or all would keep in step
            pause = (1.0 - self.call_tokens) / self.call_rate * self.rng.uniform(0.5, 1.5)
            self.actions.append(i.SetTimer("pump", pause + self.settings.time_step))

    def start_call(self, account: QuotaAccount, now: float) -> None:
        epoch, account.call_in_flight = account.epoch_at(now), True
        if account.epoch < epoch:
            fresh = account.plan.burst - account.pending - account.remaining_carried_units(now)
            account.level = account.level if account.share_holds_a_unit() else fresh
            account.epoch, account.seen = epoch, 0.0
        while (ticket := self.reserve_first_waiting(account, True, now)) is not None:
            account.claims.append(ticket)
        amount, account.call_in_flight = account.pending, account.pending != 0.0
        if account.call_in_flight:
            account.pending, account.current_call = 0.0, (account.epoch, amount)
            account.current_call_name = f"{account.tag}{account.plan.series}.{account.epoch:x}"
            self.actions.append(i.AddToCounter(account.current_call_name, amount, 2.5 * account.span))
        else:  # a call that only reads tells too little to be worth its price
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
            if self.call_queue or self.call_tokens < 2.0:  # what is not used shows nothing
                self.call_rate += min(
                    1.0, CALL_RATE_RISE_PER_S / self.call_rate, CALL_RATE_RISE_SHARE * self.call_rate
                )
                self.call_rate = max(self.call_rate, (self.call_rate + self.rate_before_failure) / 2.0)

    def apply_counter_reply(self, event: i.CounterReply, now: float) -> QuotaAccount | None:
        """Take an answer; the account whose waits may go on, or None if it is not known."""
        account = self.accounts.get(event.name[:16])
        if account is None or not account.call_in_flight or event.name != account.current_call_name:
            return None
        account.call_in_flight = False
        account.refill(now)
        self.adjust_call_rate(event.status == "ok", now)
        if event.status == "ok":
            account.apply_count(event.total, now)
        elif event.status != "timeout":  # a timed-out add may have been made: it is not made again
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
    """One gateway's decisions. ``handle`` takes events in order and returns the actions to carry out."""

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
        self.premium_threshold, self.retry_budget, self.failed_lists, self.suspended = (
            0.0,
            MAX_RETRY_BUDGET,
            0,
            False,
        )
        self.now, self.started, self.period_timer_set, self.default_plan = 0.0, False, False, i.Plan("none")
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
            if take := self.handlers.get(type(event)):
                take(event)
        return list(self.actions)

    def on_response_started(self, event: i.ResponseStarted) -> None:
        if ticket := self.pending.get(event.id):
            ticket.streaming = True

    def on_client_gone(self, event: i.ClientGone) -> None:
        if ticket := self.pending.get(event.id):
            self.finish_request(ticket, None)

    def on_shutting_down(self, event: i.ShuttingDown) -> None:
        for ticket in [t for t in self.pending.values() if not t.closed and not t.streaming]:
            self.give_up(ticket)

    def on_counter_reply(self, event: i.CounterReply) -> None:
        if account := self.quota.apply_counter_reply(event, self.now):
            for claim, borne_out in list(self.quota.confirm_claims(account, event.status, self.now)):
                self.resume_after_quota(claim, borne_out)
            self.admit_waiting(account)

    def on_request(self, request: i.Request) -> None:
        if not 0 <= request.class_index < len(self.settings.classes) or request.id in self.pending:
            return
        if self.suspended:
            self.actions.append(i.RejectRequest(request.id, self.settings.limits.retry_after_limit()))
            return
        known, cls = (
            0 <= request.plan_index < len(self.settings.plans),
            self.settings.classes[request.class_index],
        )
        plan = request.plan_override or (
            self.settings.plans[request.plan_index] if known else self.default_plan
        )
        account = self.quota.account_for_request(request, plan, self.now)
        wanted = min(
            cls.aim + cls.aim_stretch * self.selector.latency_by_class[request.class_index][0],
            request.time_left,
        )
        # but a period: a keeper is asked first
        late = wanted - 2.0 * self.selector.latency_by_class[request.class_index][0]
        hold = min(
            MAX_HOLD_SHARE_OF_AIM * wanted,
            MAX_HOLD_SHARE_OF_TIME_LEFT * request.time_left,
            max(self.control_period, late),
        )
        worth = cls.worth * plan.price * request.units
        lane = self.premium if worth >= self.premium_threshold else self.basic
        self.premium_threshold += SMOOTHING_WEIGHT / 5 * (worth - self.premium_threshold)
        ticket = PendingRequest.create(request, cls, plan, account, lane, self.now, wanted, hold)
        self.pending[ticket.id] = ticket
        self.set_timer("d", request.id, max(0.0, request.time_left - self.settings.time_step))
        self.set_timer("h", request.id, hold)
        if not self.quota.request_from_owner(ticket):
            self.request_room(ticket)

    def set_timer(self, kind: str, name: str, delay: float) -> None:
        self.actions.append(i.SetTimer(f"{kind}:{name}", delay, name))

    def request_room(self, ticket: PendingRequest) -> None:
        plan = ticket.plan
        inside = not ticket.account.waiting.first_waiting() and self.quota.has_room(ticket, False, self.now)
        # What passes beyond a cap on open tries would keep the next ones out of it.
        over = plan.over_worth > plan.over_cost and not plan.parallel and self.quota.under_ceiling(ticket)
        if inside or (over and self.has_idle_capacity()):
            self.quota.reserve(ticket, inside, self.now)
            self.admit_or_hold(ticket)
        elif not self.quota.hold_for_room(ticket, self.now):
            self.give_up(ticket)

    def on_peer_message(self, event: i.PeerMessage) -> None:
        if ticket := self.quota.receive_peer_message(event, 5.0 * self.selector.mean_latency, self.now):
            self.resume_after_quota(ticket, ticket.reserved)

    def resume_after_quota(self, ticket: PendingRequest, inside: bool) -> None:
        """The quota's word on a try that was held for it: on to its lane, or its answer at once."""
        if ticket.is_waiting():
            ticket.held = False
            (self.admit_or_hold if inside else self.give_up)(ticket)

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
        for ticket in self.quota.release_waiting(account, self.now) if account else ():
            self.admit_or_hold(ticket)

    def admit_or_hold(self, ticket: PendingRequest) -> None:
        """The actuator: pass with the lane's chance, behind what is held already; hold otherwise."""
        lane = ticket.priority_level
        lane.arrived_in_period += 1
        if not self.period_timer_set:  # periods pass only while there is work
            self.period_timer_set, lane.pass_probability = True, 1.0
            self.actions.append(i.SetTimer("tick", self.control_period * (0.5 + self.rng.random())))
        if lane.hold_queue or self.rng.random() >= lane.pass_probability or not self.try_attempt(ticket):
            lane.hold_queue.add(ticket, not ticket.within_quota)

    def try_attempt(self, ticket: PendingRequest) -> bool:
        """A further attempt only with half a mean answer left: at the end it is a connection for nothing."""
        late = (
            ticket.attempts
            and ticket.deadline - self.now
            < self.selector.latency_by_class[ticket.request.class_index][0] / 2.0
        )
        if server := None if late else self.selector.choose_backend(ticket, self.now):
            self.start_attempt(ticket, server)
        return server is not None

    def start_attempt(self, ticket: PendingRequest, server: Backend) -> None:
        request, lane, number, by = (
            ticket.request,
            ticket.priority_level,
            len(ticket.attempts),
            ticket.repeat_deadline(),
        )
        ticket.attempts.append(Attempt(server, self.now, server.entry.zone, server.entry.cell))
        expected = self.selector.latency_by_class[request.class_index][0]
        server.open_attempts[(request.id, number)] = (self.now, expected)
        self.selector.recently_used[server] = None
        if self.selector.warmth(server, self.now) >= 1.0:
            self.selector.warm_sends += 1
        else:
            # every send counts, and all its work
            server.slow_start_tokens -= expected / self.selector.mean_latency
        lane.open_attempts, lane.sent_in_period = lane.open_attempts + 1, lane.sent_in_period + 1
        self.retry_budget = min(
            MAX_RETRY_BUDGET, self.retry_budget + RETRY_BUDGET_PER_REQUEST * (number == 0)
        )
        self.actions.append(i.StartAttempt(request.id, server.entry.backend, start_before=by))
        if not ticket.request_class.stream:
            self.set_timer(f"p:{number}", ticket.id, self.overdue_after(ticket))

    def on_attempt_overdue(self, ticket: PendingRequest, number: int) -> None:
        """Off slow, silent or leaving servers: a copy, or a move; under pressure off suspects, or if lost."""
        attempt, limits = ticket.attempts[number], self.settings.limits
        if ticket.closed or ticket.streaming or not attempt.open:
            return
        lost = self.stop_counting_if_lost(ticket, number)
        bad = lost or self.selector.is_suspect(attempt.backend, self.now)
        pressed = min(self.premium.pass_probability, self.basic.pass_probability) < 1.0
        if not lost:
            self.set_timer(f"p:{number}", ticket.id, self.overdue_after(ticket))
        barred = ticket.request_class.effect == "once" or (
            not lost and not is_repeatable(ticket.request_class)
        )
        if barred or self.retry_budget < 1.0 or (pressed and not bad) or limits.max_attempts < number + 2:
            return
        if limits.hedging:
            if ticket.open_attempts() < 2 and self.try_attempt(ticket):
                self.retry_budget -= 1.0
        elif bad and limits.cancel:
            self.actions.append(i.CancelAttempt(ticket.id, number))

    def overdue_after(self, ticket: PendingRequest) -> float:  # by then most answers would have come
        expected, deviation = self.selector.latency_by_class[ticket.request.class_index]
        return expected + 4.0 * deviation

    def stop_counting_if_lost(self, ticket: PendingRequest, number: int) -> bool:
        """One that others overtook by far is lost: kept open, a few such shut out a lane, or good servers."""
        attempt, server = ticket.attempts[number], ticket.attempts[number].backend
        seen = self.selector.last_answered_send_at if server.silent else server.last_answered_send_at
        if attempt.counts_as_open and seen > attempt.sent_at + 2.0 * self.overdue_after(ticket):
            attempt.counts_as_open, ticket.priority_level.open_attempts = (
                False,
                ticket.priority_level.open_attempts - 1,
            )
            server.open_attempts.pop((ticket.id, number), None)
        return not attempt.counts_as_open

    def on_attempt_ended(self, event: i.AttemptEnded) -> None:
        ticket = self.pending.get(event.id)
        attempt = ticket.open_attempt(event.attempt) if ticket else None
        if ticket is None or attempt is None:
            return
        attempt.open, attempt.may_have_run = False, event.status not in NEVER_RAN
        self.record_outcome(ticket, attempt, event)
        ticket.priority_level.open_attempts -= attempt.counts_as_open
        if event.request_done or event.status == "ok":
            self.quota.settle_usage(ticket, event.settled_units)
            self.finish_request(ticket, None)
        if ticket.open_attempts():
            return
        if ticket.closed:
            self.pending.pop(event.id, None)
        elif not ticket.streaming and not ticket.held:
            self.retry_or_give_up(ticket, 1.0 if attempt.may_have_run else 0.0)

    def record_outcome(self, ticket: PendingRequest, attempt: Attempt, event: i.AttemptEnded) -> None:
        server, now, cls = attempt.backend, self.now, ticket.request.class_index
        server.open_attempts.pop((event.id, event.attempt), None)
        if event.status != "moot":
            self.selector.record_connection(server, attempt.sent_at, event.status != "connect_failed", now)
        if event.status in ("moot", "connect_failed"):
            return
        latency = event.latency or now - attempt.sent_at
        ratio = latency / self.selector.latency_by_class[cls][0]
        if event.status in ("ok", "error", "full", "reset"):
            server.answered_at = now
            if server.silent:
                self.selector.begin_slow_start(server, now)
            server.last_answered_send_at = max(server.last_answered_send_at, attempt.sent_at)
            self.selector.last_answered_send_at = max(self.selector.last_answered_send_at, attempt.sent_at)
        if event.status in ("ok", "timeout", "cancelled"):
            self.capacity.record_attempt(ticket.request_class.aim, latency, event.status == "ok")
        if event.status == "ok":
            mean, deviation = self.selector.latency_by_class[cls]
            deviation += SMOOTHING_WEIGHT / 2 * (abs(latency - mean) - deviation)
            self.selector.latency_by_class[cls] = (
                max(1e-4, mean + SMOOTHING_WEIGHT / 2 * (latency - mean)),
                deviation,
            )
            self.selector.mean_latency += SMOOTHING_WEIGHT / 2 * (latency - self.selector.mean_latency)
            server.full_until.pop((cls, ticket.request.plan_index), None)
        if event.status == "full":
            # Guards against turning away one plan or class though there is room: that kind goes elsewhere.
            server.full_until[(cls, ticket.request.plan_index)] = now + SUSPICION_LIFETIME_S
            return
        weight = min(
            0.5, max(SMOOTHING_WEIGHT, (now - server.sampled_at) / SAMPLE_INTERVAL_S * SMOOTHING_WEIGHT)
        )
        server.sampled_at = now
        server.error_rate += weight * ((event.status not in ("ok", "cancelled")) - server.error_rate)
        late = event.status in ("timeout", "cancelled") and ratio > server.latency_ratio
        if event.status == "ok" or (late and attempt.counts_as_open):
            server.latency_ratio += weight * (min(ratio, 10.0) - server.latency_ratio)

    def retry_or_give_up(self, ticket: PendingRequest, price: float) -> None:
        """A further attempt within the retry budget, or the end. What never ran has loaded nobody: free."""
        if self.retry_budget >= price and self.now < ticket.aim_deadline and self.try_attempt(ticket):
            self.retry_budget -= price
        else:
            self.give_up(ticket)

    def give_up(self, ticket: PendingRequest) -> None:
        longest = min(self.settings.limits.retry_after_limit(), max(0.0, ticket.deadline - self.now))
        room_in = ticket.room_expected_in or ticket.account.span / 2.0  # half a span, in the mean
        wait = min(
            longest,
            max(MAX_CONTROL_PERIOD_S, room_in * (not ticket.within_quota)) * self.rng.uniform(0.75, 1.25),
        )
        self.finish_request(
            ticket, i.RejectRequest(ticket.id, wait) if may_reject(ticket) else i.FailRequest(ticket.id)
        )

    def finish_request(self, ticket: PendingRequest, answer: i.RejectRequest | i.FailRequest | None) -> None:
        """The one end of every request: one answer at most, open attempts called off, quota settled."""
        if ticket.closed:
            return
        ticket.closed, ticket.held = True, False
        if answer is not None:
            self.actions.append(answer)
        self.quota.release_reservation(ticket)
        for number, attempt in enumerate(ticket.attempts):
            if attempt.open and self.settings.limits.cancel and not ticket.streaming:
                self.actions.append(i.CancelAttempt(ticket.id, number))
        if not ticket.open_attempts():
            self.pending.pop(ticket.id, None)
        if ticket.account.plan.parallel:
            self.admit_waiting(ticket.account)

    def on_timer_expired(self, event: i.TimerExpired) -> None:
        kind, _, rest = event.token.partition(":")
        number, _, name = rest.partition(":")
        ticket = self.pending.get(name or rest)
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
        elif kind == "p" and ticket:
            self.on_attempt_overdue(ticket, int(number))
        elif ticket and (ticket.held if kind == "h" else kind == "d" and not ticket.streaming):
            self.give_up(ticket)

    def run_control_period(self) -> None:
        """A control period ends: learn, allow, release what is held, set the chances of the next arrivals."""
        fleet, premium, basic = self.selector, self.premium, self.basic
        fleet.assess(self.now)
        # cold: less
        ready = fleet.sampled_sum(
            lambda s: fleet.warmth(s, self.now), len(fleet.ready), MAX_BACKENDS_PER_STEP
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
        """Up to k premium waits leave before one basic, while lanes have room and servers take them."""
        turn, ready = 0, [self.premium, self.basic]
        while ready:
            lane = ready[-1] if turn >= MAX_PREMIUM_PER_BASIC else ready[0]
            ticket = (
                lane.hold_queue.first_waiting(1 + self.has_idle_capacity()) if lane.allowance >= 1.0 else None
            )
            if ticket is None or not self.try_attempt(ticket):
                ready.remove(lane)
                continue
            ticket.held = False
            lane.allowance -= 1.0
            turn = turn + 1 if lane is self.premium else 0

    def on_backend_list(self, event: i.BackendList) -> None:
        self.selector.apply_backend_list(event, self.now)
        self.failed_lists = self.failed_lists + 1 if event.kind == "failed" else 0
        if self.failed_lists and self.settings.subscribe:
            pause = min(
                MAX_CONTROL_PERIOD_S * 2**self.failed_lists, self.settings.safety_limits.ask_within / 5
            )
            self.actions.append(i.SetTimer("watch", pause * self.rng.uniform(0.75, 1.25)))
