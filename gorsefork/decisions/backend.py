"""What one ingress knows of a backend. It makes no decisions."""

from __future__ import annotations

import math
from zlib import crc32

from gorsefork.decisions import interface as i
from gorsefork.decisions.decaying_rate import DecayingRate

NEVER = -math.inf  # one float object that all backends share


class Backend:
    """A backend's open attempts, measured speed and health, all from this ingress's own traffic."""

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
        "slow_start_answers",
        "slow_start_from",
        "slow_start_sends",
        "slow_start_tokens",
        "tokens_filled_at",
        "trial_at",
    )

    def __init__(self, entry: i.BackendEntry) -> None:
        self.entry = entry
        # (request id, attempt number) -> (time sent, expected latency)
        self.open_attempts: dict[tuple[str, int], tuple[float, float]] = {}
        self.latency_ratio = 1.0  # latency divided by the mean latency of the class
        self.error_rate = 0.0  # share of attempts that failed
        self.sampled_at = self.answered_at = self.trial_at = self.tokens_filled_at = NEVER
        self.slow_start_from = NEVER
        self.slow_start_tokens = 0.0
        self.slow_start_sends = 0  # attempts begun since the slow start began
        self.slow_start_answers: DecayingRate | None = None  # work answered well since then
        self.silent = False  # unresponsive
        self.avoided_until = NEVER  # after a failed connect, no attempt is sent before this time
        self.last_answered_send_at = NEVER  # send time of the most recently sent attempt that was answered
        self.failed_connects = 0  # consecutive failed connects
        self.ring_hash = crc32(entry.backend.encode())  # position on the ring
        self.on_ring = False
        # (class, plan) that the backend rejected as full -> time until which it is avoided for them
        self.full_until: dict[tuple[int, int], float] = {}

    def oldest_attempt(self, now: float) -> tuple[float, float]:
        """Return the send time and the expected latency of the oldest open attempt."""
        return next(iter(self.open_attempts.values()), (now, 1.0))

    def slowness(self, now: float) -> float:
        """Return the latency relative to the class mean, raised by the age of the oldest open attempt.

        The age shows that a backend has become slow before an answer arrives.
        """
        if not self.open_attempts:
            return self.latency_ratio
        sent_at, expected = self.oldest_attempt(now)
        return max(self.latency_ratio, (now - sent_at) / expected / 3.0)
