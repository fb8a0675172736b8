"""Applies the memory budget to the parts that hold memory."""

from __future__ import annotations

from collections.abc import Sequence

from gorsefork.life.memory_monitor import MemoryMonitor
from gorsefork.life.process_memory import give_back_free_memory, keep_little_free_memory, resident_bytes
from gorsefork.memory.body_stream import BodyStream
from gorsefork.memory.decision_actor import DecisionActor
from gorsefork.memory.memory_account import MemoryAccount
from gorsefork.memory.memory_budget import BYTES_PER_MB, MemoryBudget, plan_memory
from gorsefork.wire.acceptor import Acceptor
from gorsefork.wire.backends import BackendPool

FORWARDED_BODY_SHARE = 0.5  # of the connections to backends
SIDECAR_SHARE = 0.25  # of the clients, for each front but the first


class MemoryLimits:
    """The budget of this process and the parts that keep to it. ``limit_mb``: 0 if none is configured."""

    def __init__(self, limit_mb: int, scratch: str) -> None:
        keep_little_free_memory()
        self.limit_mb = limit_mb
        self.account = MemoryAccount(0)
        self.monitor = MemoryMonitor(self.account, scratch)
        self.resting = resident_bytes()

    def measure_resting(self) -> None:
        """All is loaded, and no client is there yet: what is taken now is taken for good."""
        give_back_free_memory()
        self.resting = resident_bytes()

    def apply(
        self,
        acceptors: Sequence[Acceptor],
        pool: BackendPool,
        decision_actor: DecisionActor,
        max_clients: int,
        max_backend_connections: int,
        processes: int = 1,
    ) -> MemoryBudget:
        """Set the bounds of all parts, for one of ``processes`` that are this ingress together."""
        budget = plan_memory(self.limit_mb, self.resting, max_clients, max_backend_connections, processes)
        self.monitor.begin(budget)
        BodyStream.max_buffered_total = pool.max_streamed_bytes = budget.stream_bytes
        pool.max_connections = budget.backend_connections
        pool.socket_buffer_bytes = budget.socket_buffer_bytes
        decision_actor.limit_names(budget.quota_accounts, budget.remembered_ids)
        acceptors[0].max_connections = budget.clients
        for sidecar in acceptors[1:]:
            sidecar.max_connections = min(sidecar.most, int(budget.clients * SIDECAR_SHARE))
        for acceptor in acceptors:
            acceptor.set_socket_buffers(budget.socket_buffer_bytes)
        acceptors[0].max_forwarded_bodies = max(1, int(budget.backend_connections * FORWARDED_BODY_SHARE))
        return budget


def describe(budget: MemoryBudget, max_clients: int) -> str:
    """One line for the log: what the limit carries."""
    limit = f"of {budget.limit_bytes / BYTES_PER_MB:.1f} MB" if budget.limit_bytes else "without a limit"
    text = (
        f"memory: {budget.resting_bytes / BYTES_PER_MB:.1f} MB at rest {limit}; room for {budget.clients}"
        f" of {max_clients} clients, {budget.backend_connections} connections to backends"
        f" and {budget.quota_accounts} customers at a time"
    )
    return f"{text}; limits.memory_mb is too low for this program" if budget.is_short else text
