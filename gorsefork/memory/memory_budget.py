"""Divides the memory that the configured limit leaves beyond what the program takes at rest."""

from __future__ import annotations

from dataclasses import dataclass

BYTES_PER_MB = 1_000_000
DEFAULT_SPARE_BYTES = 64 * BYTES_PER_MB  # beyond what is taken at rest, where no limit is configured
# Shares of the memory beyond what the program takes at rest. The rest of it is for calls, for what the
# allocator keeps, and for what grows with use.
SHARED_ACCOUNT_SHARE, QUOTA_ACCOUNT_SHARE, ID_SHARE = 0.4, 0.18, 0.03
SOCKET_BUFFER_SHARE = 0.25
# Of the shared account: what all connections take if each holds the least.
CLIENT_SHARE, BACKEND_SHARE, STREAM_SHARE = 0.6, 0.2, 0.25
MAX_SHARED_ACCOUNT_BYTES = 32 << 20
MAX_STREAM_BYTES = 4 << 20
CONNECTION_BYTES = 9216  # objects of one connection
GUARANTEED_BYTES = 4096  # that each connection may hold whatever the others hold
QUOTA_ACCOUNT_BYTES = 6000
REMEMBERED_ID_BYTES = 250
MIN_CLIENTS, MIN_BACKEND_CONNECTIONS, MIN_QUOTA_ACCOUNTS, MIN_REMEMBERED_IDS = 16, 8, 32, 64
MAX_QUOTA_ACCOUNTS, MAX_REMEMBERED_IDS = 4096, 16_384
MIN_SOCKET_BUFFER_BYTES, MAX_SOCKET_BUFFER_BYTES = 8192, 65536


@dataclass(frozen=True, slots=True)
class MemoryBudget:
    """What each holder of memory may take, in bytes or in numbers of its kind.

    ``limit_bytes``: 0 if none is configured. ``socket_buffer_bytes``, of one socket each way: 0 leaves that
    to the system.
    ``is_short``: the limit leaves less than the least that an ingress works with.
    """

    limit_bytes: int
    resting_bytes: int
    shared_account_bytes: int
    stream_bytes: int
    clients: int
    backend_connections: int
    quota_accounts: int
    remembered_ids: int
    socket_buffer_bytes: int
    is_short: bool


def plan_memory(
    limit_mb: int, resting_bytes: int, max_clients: int, max_backend_connections: int, processes: int = 1
) -> MemoryBudget:
    """The budget of one of ``processes`` that share a limit, each of which takes the same at rest.

    ``limit_mb`` is in millions of bytes, 0 for none; the maxima are what the descriptors allow.
    """
    limit = limit_mb * BYTES_PER_MB // processes
    spare = max(0, limit - resting_bytes) if limit_mb else DEFAULT_SPARE_BYTES // processes
    per_connection = CONNECTION_BYTES + GUARANTEED_BYTES
    least = (MIN_CLIENTS + MIN_BACKEND_CONNECTIONS) * per_connection
    shared = max(least, min(MAX_SHARED_ACCOUNT_BYTES, int(spare * SHARED_ACCOUNT_SHARE)))
    clients = clamp(int(shared * CLIENT_SHARE) // per_connection, MIN_CLIENTS, max_clients)
    backends = clamp(
        int(shared * BACKEND_SHARE) // per_connection, MIN_BACKEND_CONNECTIONS, max_backend_connections
    )
    buffers = int(spare * SOCKET_BUFFER_SHARE) // (clients + backends)
    return MemoryBudget(
        limit_bytes=limit,
        resting_bytes=resting_bytes,
        shared_account_bytes=shared,
        stream_bytes=min(MAX_STREAM_BYTES, int(shared * STREAM_SHARE)),
        clients=clients,
        backend_connections=backends,
        quota_accounts=clamp(
            int(spare * QUOTA_ACCOUNT_SHARE) // QUOTA_ACCOUNT_BYTES, MIN_QUOTA_ACCOUNTS, MAX_QUOTA_ACCOUNTS
        ),
        remembered_ids=clamp(
            int(spare * ID_SHARE) // REMEMBERED_ID_BYTES, MIN_REMEMBERED_IDS, MAX_REMEMBERED_IDS
        ),
        socket_buffer_bytes=clamp(buffers, MIN_SOCKET_BUFFER_BYTES, MAX_SOCKET_BUFFER_BYTES)
        if limit_mb
        else 0,
        is_short=spare * SHARED_ACCOUNT_SHARE < least
        or spare * QUOTA_ACCOUNT_SHARE < MIN_QUOTA_ACCOUNTS * QUOTA_ACCOUNT_BYTES
        or spare * ID_SHARE < MIN_REMEMBERED_IDS * REMEMBERED_ID_BYTES,
    )


def clamp(value: int, least: int, most: int) -> int:
    """``value`` within its bounds; ``most`` goes before ``least``."""
    return min(most, max(least, value))
