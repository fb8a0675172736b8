"""Discovery's list, from its bytes to the registry."""

from __future__ import annotations

import gc
import json

from benchmarks.capacity.measurements.stopwatch import Stopwatch
from benchmarks.capacity.results import Measured, Size
from gorsefork.memory.clock import Clock
from gorsefork.memory.registry import Registry
from gorsefork.wire.discovery import read_list


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
    read, applied, parsed, pieces = Stopwatch(), Stopwatch(), Stopwatch(), Stopwatch()
    read_list(json.loads(text), Clock())  # the first reading pays for what is loaded lazily
    gc.collect()
    gc.freeze()  # the collector is not to walk what only this measurement holds
    for _ in range(3):
        with parsed.running():
            json.loads(text)
        with read.running():
            news = read_list(json.loads(text), Clock())
        registry = Registry(lambda news: None, lambda host: None)
        with applied.running():
            for _ in pieces.steps(registry.apply_in_steps(news)):
                pass
    return [
        row("bytes of the whole list", len(text), "B"),
        row("read", read.mean() / 1000, "ms", "CPU"),
        row("parsed in one step", parsed.longest / 1000, "ms", "CPU, the longest of three readings"),
        row("taken into the registry", applied.mean() / 1000, "ms", "CPU, without the backends' actors"),
        row("longest step of the registry", pieces.longest / 1000, "ms", "CPU, the longest of three lists"),
    ]
