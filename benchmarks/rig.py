"""The stand-ins that the measurements play with, on loopback, and an ingress as a process."""

from __future__ import annotations

import json
import os
import random
import signal
import socket
import subprocess
import sys
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import h11
import trio
from accounts_standin import Accounts, Served

from gorsefork.usage.records import MICRO_UNITS_PER_UNIT
from gorsefork.wire.http1.client import HttpClient, NoAnswer

__all__ = ["Accounts", "Box", "CounterStandIn", "Discovery", "Ingress", "Place"]

CUSTOMERS = [f"{0xB4D65521 + n:016x}" for n in range(20)]
PLANS = ("small-gallery", "large-museum")


class Box(Served):
    """Serves each call after a moment and settles it at units of its own; remembers them by trace."""

    def __init__(self, rng: random.Random) -> None:
        super().__init__()
        self.rng, self.good = rng, dict[str, tuple[int, float]]()  # units, and when they were answered

    async def answer(self, request: h11.Request, body: bytes) -> Any:
        trace = dict(request.headers)[b"x-trace-id"].decode()
        await trio.sleep(self.rng.uniform(0.001, 0.02))
        micro, _ = self.good[trace] = self.rng.randint(250_000, 3_000_000), time.monotonic()
        return 200, [("X-Settled", f"{micro / MICRO_UNITS_PER_UNIT:.6f}")], trace.encode()


class Discovery(Served):
    def __init__(self, boxes: list[Box]) -> None:
        super().__init__()
        self.boxes = boxes

    async def answer(self, request: h11.Request, body: bytes) -> Any:
        watch = b"wait=" in request.target
        if watch:
            await trio.sleep(10)
        hosts = [
            {"host": f"box-{n}", "dial": box.dial, "health": "active"} for n, box in enumerate(self.boxes)
        ]
        news = {"seq": 1, "whole": not watch, "hosts": [] if watch else hosts}
        return 200, [], json.dumps(news).encode()


class CounterStandIn(Served):
    def __init__(self) -> None:
        super().__init__()
        self.totals: Counter[bytes] = Counter()

    async def answer(self, request: h11.Request, body: bytes) -> Any:
        name, _, query = request.target.partition(b"?")
        self.totals[name] += float(query.partition(b"add=")[2].partition(b"&")[0])  # type: ignore[assignment]
        return 200, [], f"{self.totals[name]:.7g}".encode()


@dataclass(slots=True)
class Place:
    """Where one ingress stands: ``operator`` is its operator's file, empty for none; ``tree`` its source."""

    number: int
    of: int
    folder: Path
    discovery: str
    counter: str
    operator: str = ""
    tree: Path = Path(__file__).parents[1]
    port: int = field(default_factory=lambda: free_port())
    memory_mb: int = 0  # its limits; 0: none is told
    sockets: int = 0


class Ingress:
    """One ingress as a process; ``kill`` is SIGKILL, ``start`` then finds its folder as that left it."""

    def __init__(self, place: Place) -> None:
        self.place, self.port = place, place.port
        self.process: subprocess.Popen[bytes] | None = None
        self.killed: list[float] = []

    def write(self) -> None:
        place = self.place
        plans = [{"name": name, "rate": 5000.0, "depth": 10_000.0} for name in PLANS]
        settings = {
            "balancers": place.of,
            "me": place.number,
            "step": 4_000_000,
            "classes": [
                {"name": "look", "aim": 1_000_000_000, "deadline": 3_000_000_000},
                {
                    "name": "buy",
                    "aim": 1_000_000_000,
                    "deadline": 3_000_000_000,
                    "effect": "by_key",
                    "keyScope": "cell",
                    "window": 10_000_000_000,
                },
            ],
            "tiersOfService": plans,
            "limits": {
                "maxAttempts": 3,
                "cancel": True,
                "retryAfter": True,
                "maxRetryAfter": 500_000_000,
                "connectTimeout": 250_000_000,
            },
            "familyInfo": {"sharedCounter": True, "countWait": 80_000_000, "settles": True, "maxUnits": 6},
            "invariants": {"drainGrace": 250_000_000, "coldShare": 1.0, "rampTime": 1_000_000},
        }
        config: dict[str, Any] = {
            "name": f"n{place.number}",
            "listen": f"127.0.0.1:{place.port}",
            "seed": str(place.number),
            "discovery": place.discovery,
            "counter": place.counter,
            "settings": settings,
        }
        limits = {"memory_mb": place.memory_mb, "sockets": place.sockets}
        if any(limits.values()):
            config["limits"] = {name: value for name, value in limits.items() if value}
        (place.folder / "config.json").write_text(json.dumps(config))
        if place.operator:
            (place.folder / "operator.toml").write_text(place.operator)

    def start(self) -> None:
        env = {**os.environ, "PROXY_CONFIG": str(self.place.folder / "config.json")}
        env.pop("GORSEFORK_OPERATOR", None)
        if self.place.operator:
            env["GORSEFORK_OPERATOR"] = str(self.place.folder / "operator.toml")
        with (self.place.folder / "log").open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "gorsefork"], env=env, stderr=log, cwd=self.place.tree
            )

    def kill(self) -> None:
        assert self.process is not None
        self.killed.append(time.monotonic())
        self.process.kill()
        self.process.wait()

    def drain(self) -> int:
        assert self.process is not None
        self.process.send_signal(signal.SIGTERM)
        return self.process.wait(20)

    def cpu_s(self) -> float:
        """User and system time so far, in seconds (proc(5), /proc/PID/stat)."""
        assert self.process is not None
        parts = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(parts[11]) + int(parts[12])) / os.sysconf("SC_CLK_TCK")

    def memory_mb(self) -> float:
        """Resident memory now, in MiB (proc(5), VmRSS)."""
        return self.status_kib("VmRSS") / 1024

    def peak_memory_mb(self) -> float:
        """The most resident memory so far, in MiB (proc(5), VmHWM)."""
        return self.status_kib("VmHWM") / 1024

    def status_kib(self, key: str) -> int:
        assert self.process is not None
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        return int(status.partition(f"{key}:")[2].split()[0])

    async def ready(self) -> None:
        """Until ``/healthz`` says so."""
        with trio.fail_after(10):
            while True:
                client = HttpClient(f"127.0.0.1:{self.port}")
                try:
                    if (await client.request("GET", "/healthz", within=1.0)).status == 200:
                        return
                except NoAnswer:
                    await trio.sleep(0.05)
                finally:
                    client.close()


def free_port() -> int:
    with socket.create_server(("127.0.0.1", 0)) as sock:
        return int(sock.getsockname()[1])
