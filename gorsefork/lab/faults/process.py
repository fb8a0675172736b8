"""One ingress as a process under the shim, with its configuration and the log of what was injected."""

from __future__ import annotations

import json
import os
import re
import subprocess
import sys
import time
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from gorsefork.lab.faults.plan import LOG_VARIABLE, PLAN_VARIABLE, Plan, write

READY_WITHIN = 30.0  # s


class NotReady(RuntimeError):
    """The process ended, or said nothing for too long, before it was ready; the text is its log."""


@dataclass
class ShimmedIngress:
    """``folder`` is its own; ``env`` is added to this process's environment."""

    folder: Path
    config: Mapping[str, Any]
    plan: Plan = field(default_factory=Plan)
    env: Mapping[str, str] = field(default_factory=dict)
    process: subprocess.Popen[bytes] | None = None
    port: int = 0
    logged: int = 0  # bytes of the log that earlier lives wrote

    def start(self) -> None:
        """Begin the process and wait until it is ready. ``NotReady`` if it does not come to that."""
        self.folder.mkdir(exist_ok=True)
        (self.folder / "config.json").write_text(json.dumps(self.config))
        write(self.plan, self.folder / "plan.json")
        env = {
            **os.environ,
            "PROXY_CONFIG": str(self.folder / "config.json"),
            PLAN_VARIABLE: str(self.folder / "plan.json"),
            LOG_VARIABLE: str(self.folder / "faults.log"),
            **self.env,
        }
        path = self.folder / "log"
        self.logged = path.stat().st_size if path.exists() else 0
        with path.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "gorsefork.lab.faults.shim"], env=env, stderr=log
            )
        self.port = self.wait_until_ready()

    def wait_until_ready(self) -> int:
        """The port that it listens on."""
        assert self.process is not None
        until = time.monotonic() + READY_WITHIN
        while time.monotonic() < until:
            if found := re.search(r"ready on [0-9.]+:(\d+)", self.log()[self.logged :]):
                return int(found[1])
            if self.process.poll() is not None:
                break
            time.sleep(0.01)
        raise NotReady(self.log())

    def log(self) -> str:
        """All that it has logged, in all its lives."""
        return (self.folder / "log").read_bytes().decode("latin-1")

    def injected(self) -> list[dict[str, Any]]:
        """What the shim has told so far."""
        path = self.folder / "faults.log"
        if not path.exists():
            return []
        lines = path.read_text().splitlines(keepends=True)
        return [json.loads(line) for line in lines if line.endswith("\n")]

    def wait_for_injection(self, count: int, within: float = 10.0) -> None:
        """Until so many have been told; ``TimeoutError`` if that takes too long."""
        until = time.monotonic() + within
        while len(self.injected()) < count:
            if time.monotonic() > until:
                raise TimeoutError(f"{len(self.injected())} of {count} injections; log: {self.log()}")
            time.sleep(0.001)

    def peak_memory_bytes(self) -> int:
        """The most resident memory of its present life (proc(5), VmHWM); 0 if it has ended."""
        if self.process is None:
            return 0
        try:
            status = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0
        found = re.search(r"VmHWM:\s+(\d+) kB", status)
        return int(found[1]) * 1024 if found else 0

    def end(self) -> None:
        if self.process is not None:
            self.process.kill()
            self.process.wait()
