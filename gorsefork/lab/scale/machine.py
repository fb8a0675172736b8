"""What the machine has, what a process uses of it, and the guard that ends a run at its bounds."""

from __future__ import annotations

import os
import platform
import time
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

PAGE = os.sysconf("SC_PAGE_SIZE")
CPU_CLOCK = 2  # the kernel's CPUCLOCK_SCHED: time on a processor, of all threads
HOLLOW_BYTES = 2 << 20  # an estimate of one hollow ingress, for the check before a run
TENANT_BYTES = 250  # the same of one tenant's plan at one ingress
PROCESS_BYTES = 60 << 20  # the same of one process
DESCRIPTORS_KEPT = 200  # of a process's limit, for what is not connections


class BeyondBounds(Exception):
    """A run would use, or uses, more of the machine than it may. The text says what and how much."""


@dataclass(frozen=True, slots=True)
class Usage:
    """What one process has used by now."""

    cpu: float  # s, of user and system together
    resident: int  # bytes
    descriptors: int


def usage(pid: int) -> Usage:
    """``OSError`` where there is no such process."""
    folder = Path("/proc") / str(pid)
    resident = int((folder / "statm").read_text().split()[1]) * PAGE
    return Usage(time.clock_gettime(cpu_clock(pid)), resident, len(os.listdir(folder / "fd")))


def cpu_clock(pid: int) -> int:
    """The clock of another process's processor time, as clock_getcpuclockid(3) names it."""
    return ~pid << 3 | CPU_CLOCK


def memory() -> int:
    """The machine's memory in bytes."""
    return os.sysconf("SC_PHYS_PAGES") * PAGE


def cores() -> int:
    return len(os.sched_getaffinity(0))


def described() -> str:
    """The machine in a few words, for results."""
    return f"{cores()} cores, {memory() / (1 << 30):.0f} GiB, Python {platform.python_version()}"


class Guard:
    """Holds a run to ``share`` of the memory and so many processes."""

    def __init__(self, share: float, processes: int) -> None:
        self.most_memory, self.most_processes = round(share * memory()), processes

    def check_plan(self, ingresses: int, tenants: int, processes: int) -> None:
        """Before a run begins: what it would use by estimate."""
        if processes > self.most_processes:
            raise BeyondBounds(f"{processes} processes are wanted, and {self.most_processes} allowed")
        wanted = ingresses * (HOLLOW_BYTES + tenants * TENANT_BYTES) + processes * PROCESS_BYTES
        if wanted > self.most_memory:
            raise BeyondBounds(
                f"{shown(wanted)} of memory are expected, and {shown(self.most_memory)} allowed"
            )

    def check(self, pids: Iterable[int]) -> None:
        """While a run goes on: what its processes use."""
        found = list(pids)
        if len(found) > self.most_processes:
            raise BeyondBounds(f"{len(found)} processes run, and {self.most_processes} are allowed")
        used = sum(resident(pid) for pid in found)
        if used > self.most_memory:
            raise BeyondBounds(f"{shown(used)} of memory are in use, and {shown(self.most_memory)} allowed")


def resident(pid: int) -> int:
    """Bytes in memory; none of a process that has ended."""
    try:
        return int((Path("/proc") / str(pid) / "statm").read_text().split()[1]) * PAGE
    except OSError:
        return 0


def shown(size: int) -> str:
    return f"{size / (1 << 20):.0f} MiB"
