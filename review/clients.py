"""Usual clients of the platform's front, each request on a connection of its own."""

from __future__ import annotations

import itertools
import threading
import time
from collections import Counter
from collections.abc import Mapping

from common import Record, request

Sent = tuple[str, float, int, str]  # trace id, when, status (0: none), what came


class Clients:
    """Some threads that ask one after another until ``stop``; ``sent`` has how each request ended.

    ``refused`` counts those that found no listener: nothing was taken there.
    """

    def __init__(self, record: Record, prefix: str) -> None:
        self.record, self.prefix = record, prefix
        self.numbers = itertools.count(1)
        self.lock, self.stopping = threading.Lock(), threading.Event()
        self.sent: list[Sent] = []
        self.threads: list[threading.Thread] = []
        self.refused = 0

    def begin(self, count: int, address: str, method: str, target: str, pause: float) -> None:
        for _ in range(count):
            thread = threading.Thread(target=self.ask_on, args=(address, method, target, pause), daemon=True)
            thread.start()
            self.threads.append(thread)

    def headers(self, trace: str) -> Mapping[str, str]:
        """Of the platform's front."""
        return {
            "X-Trace-Id": trace,
            "X-Contract": "small-gallery",
            "X-Client-Id": "00000000b4d65521",
            "X-Expires-In-Ms": "5000",
            "X-Metering": "units=1,spread=1,first=0",
        }

    def ask_on(self, address: str, method: str, target: str, pause: float) -> None:
        while not self.stopping.is_set():
            with self.lock:
                trace = f"{self.prefix}{next(self.numbers):08x}"
            self.ask(address, method, target, trace)
            self.stopping.wait(pause)

    def ask(self, address: str, method: str, target: str, trace: str) -> None:
        headers = {**self.headers(trace), **({"Idempotency-Key": f"key-{trace}"} if method == "POST" else {})}
        began = self.record.now()
        try:
            status, body = request(address, method, target, headers, b"two" if method == "POST" else None)
            text = body.decode("latin-1").strip()
        except ConnectionRefusedError:
            with self.lock:
                self.refused += 1
            self.record(f"{trace} {method} {target}: connection refused")
            time.sleep(0.2)
            return
        except OSError as error:
            status, text = 0, f"no answer ({type(error).__name__})"
        with self.lock:
            self.sent.append((trace, began, status, text))
        self.record(f"{trace} {method} {target} sent at {began:.3f}: {status} {text}")

    def stop(self) -> None:
        self.stopping.set()
        for thread in self.threads:
            thread.join(15.0)

    def statuses(self) -> dict[int, int]:
        return dict(sorted(Counter(status for _, _, status, _ in self.sent).items()))

    def lost(self) -> list[str]:
        """Whole requests on a connection that was taken, which got no answer."""
        return [trace for trace, _, status, _ in self.sent if status == 0]
