"""How often a member probes, gossips and repairs. Times in microseconds."""

from __future__ import annotations

from dataclasses import dataclass

from gorsefork.fleet.gossip_queue import REPEATS

SECOND = 1_000_000


@dataclass(frozen=True, slots=True)
class Timings:
    """Times in microseconds. ``quiet``: without news before a view is settled. ``keep``: how long one that is
    unreachable stays a member. ``mend``: messages of exchanges that may go out in a period."""

    period: int = SECOND
    timeout: int = 300_000
    quiet: int = 3 * SECOND
    keep: int = 3600 * SECOND
    mend: int = 32
    note_room: int = 64  # bytes of a datagram for other subsystems' facts
    repeats: int = REPEATS  # times log2 of the fleet that each piece of news is sent by each that knows it
