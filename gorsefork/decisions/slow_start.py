"""Slow start: how much this ingress may send to a backend that has just started or come back.

Over any window all ingresses together send a backend in slow start no more than the settings' budget, for
any load, any order of backend lists and any distribution of the load over the ingresses. Nothing is agreed
between them; it follows from what each one counts:

- An ingress earns tokens by work that fully started backends answered well. All ingresses together can't have
  more work answered than those backends have capacity, whatever was tried, refused or repeated. So each one's
  answers, divided by the number of all fully started backends, add up to at most the capacity of one.
- That sum is over all ingresses, so each of them sends to each backend in slow start. Where a backend stands
  in a list, and which others are listed, changes nobody's part.
- A token that is not used soon lapses, so that a lull saves little for a burst.
"""

from __future__ import annotations

from dataclasses import dataclass

from gorsefork.decisions.backend import NEVER, Backend
from gorsefork.decisions.decaying_rate import DecayingMaximum, DecayingRate
from gorsefork.decisions.interface import SafetyLimits

MAX_REPORTED_BACKENDS = 32
# Tokens gained, relative to the load that the capacity share bears; above 1, since some lapse unused.
MAX_LOAD_FACTOR = 1.5
TOKEN_LIFETIME_SHARE = 1 / 3  # the part of the fall window for which a token lasts
# What all ingresses together may send without proof by answers, in the work of one core: beside fully started
# backends, and where there are none. Each backend has a core, which takes no longer than the answer does.
UNPROVEN_CORES = 0.25
UNPROVEN_CORES_ALONE = 1.0
ANSWER_RATE_TIME_CONSTANT_S = 1.5  # over which answered work is averaged
# In which the number of fully started backends falls: some ingresses are told of a change before others, and
# send to those that leave meanwhile.
COUNT_TIME_CONSTANT_S = 1.5
GOLDEN_RATIO_FRACTION = 0.6180339887
HASH_RANGE = 2.0**32


@dataclass(frozen=True, slots=True)
class SlowStartFigures:
    """One backend in slow start, as this ingress sees it.

    ``capacity_per_s`` is the ingress's own part of the capacity of a fully started backend, in requests of
    mean work, as far as answers prove it; ``tokens`` is what it may send now; ``senders`` is how many
    ingresses send there; ``sends`` counts the attempts that it began there since the slow start, ``age_s``
    seconds ago.
    """

    backend: str
    age_s: float
    capacity_per_s: float
    tokens: float
    senders: int
    sends: int


class SlowStart:
    """The tokens of one ingress for the backends in slow start."""

    def __init__(self, safety_limits: SafetyLimits, own_index: int, ingresses: int) -> None:
        self.safety_limits = safety_limits
        self.own_index, self.ingresses = own_index, ingresses
        # Work answered well by all fully started backends, over their number.
        self.answered_per_backend = DecayingRate(ANSWER_RATE_TIME_CONSTANT_S)
        self.recent_fully_started = DecayingMaximum(COUNT_TIME_CONSTANT_S)
        self.token_lifetime_s = TOKEN_LIFETIME_SHARE * safety_limits.fall_window
        self.load_factor = load_factor(safety_limits.fall_multiple, UNPROVEN_CORES)
        self.load_factor_alone = load_factor(safety_limits.fall_multiple, UNPROVEN_CORES_ALONE)

    def capacity_share(self, backend: Backend, now: float) -> float:
        """Return the share of its capacity that a backend has at least: 1 when fully started."""
        safety, age = self.safety_limits, max(0.0, now - backend.slow_start_from)
        progress = age / safety.ramp if age < safety.ramp else 1.0
        return safety.cold_share + (1.0 - safety.cold_share) * progress

    def begin(self, backend: Backend, since: float, now: float) -> None:
        """Begin the slow start of a backend, or begin it anew.

        The part of a token that it has gathered is kept, and no whole one, so that beginnings that repeat
        themselves give none. At first the ingresses' tokens become whole one after another.
        """
        if backend.slow_start_from == NEVER:
            offset = self.own_index * GOLDEN_RATIO_FRACTION + backend.ring_hash / HASH_RANGE
            backend.slow_start_tokens = offset % 1.0
        elif backend.slow_start_tokens > 0.0:  # what was paid ahead stays paid
            backend.slow_start_tokens %= 1.0
        backend.slow_start_from = max(backend.slow_start_from, since)
        backend.tokens_filled_at = now
        backend.slow_start_sends = 0
        backend.slow_start_answers = DecayingRate(ANSWER_RATE_TIME_CONSTANT_S)

    def record_answer(
        self, backend: Backend, in_slow_start: bool, work: float, fully_started: int, now: float
    ) -> None:
        """Count a good answer: its work in requests of mean work, and how many backends are fully started."""
        if not in_slow_start:
            count = self.recent_fully_started.update(max(1, fully_started), now)
            self.answered_per_backend.add(work / count, now)
        elif backend.slow_start_answers is not None:
            backend.slow_start_answers.add(work, now)

    def capacity_per_s(self, mean_latency: float, now: float) -> float:
        """Return this ingress's own part of the capacity that a fully started backend has at least."""
        return self.answered_per_backend.at(now) + self.unproven_per_s(UNPROVEN_CORES, mean_latency)

    def unproven_per_s(self, cores: float, mean_latency: float) -> float:
        return cores / (mean_latency * self.ingresses)

    def token_rate(self, backend: Backend, fully_started: int, mean_latency: float, now: float) -> float:
        """Return how many tokens this ingress gains each second for one backend.

        Where no backend is fully started, each one's own answers show what it bears.
        """
        # The budget of a window goes by the capacity at its begin, and capacity grows meanwhile.
        share = self.capacity_share(backend, now - self.safety_limits.fall_window / 2.0)
        if fully_started:
            return self.load_factor * share * self.capacity_per_s(mean_latency, now)
        answered = backend.slow_start_answers.at(now) if backend.slow_start_answers is not None else 0.0
        unproven = share * self.unproven_per_s(UNPROVEN_CORES_ALONE, mean_latency)
        return self.load_factor_alone * (answered + unproven)

    def has_token(self, backend: Backend, fully_started: int, mean_latency: float, now: float) -> bool:
        """Return whether one more attempt may be sent to a backend in slow start."""
        rate = self.token_rate(backend, fully_started, mean_latency, now)
        tokens = backend.slow_start_tokens + rate * max(0.0, now - backend.tokens_filled_at)
        backend.tokens_filled_at = now
        if tokens >= 1.0:
            gained_since = tokens % 1.0  # since the last token became whole
            tokens = gained_since + (gained_since < rate * self.token_lifetime_s)
        backend.slow_start_tokens = tokens
        return tokens >= 1.0

    def spend(self, backend: Backend, work: float) -> None:
        """Pay for an attempt of this expected work: one token, and more where it is more than the mean."""
        backend.slow_start_tokens -= max(1.0, work)
        backend.slow_start_sends += 1

    def figures(self, backend: Backend, mean_latency: float, now: float) -> SlowStartFigures:
        return SlowStartFigures(
            backend.entry.backend,
            now - backend.slow_start_from,
            self.capacity_per_s(mean_latency, now),
            backend.slow_start_tokens,
            self.ingresses,
            backend.slow_start_sends,
        )


def load_factor(fall_multiple: float, unproven_cores: float) -> float:
    """Return the tokens that all ingresses gain, relative to what a backend's capacity share bears.

    In any window a backend receives what is gained in it and what was saved before it, each with the part
    that needs no proof. The sum stays within ``fall_multiple``; what chance adds is the rule's own slack.
    """
    most_sent = (1.0 + TOKEN_LIFETIME_SHARE) * (1.0 + unproven_cores)
    return min(MAX_LOAD_FACTOR, fall_multiple / most_sent)
