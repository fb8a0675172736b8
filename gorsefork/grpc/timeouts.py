"""``grpc-timeout``, as "gRPC over HTTP2" writes it: up to eight digits and a unit. In whole us here."""

from __future__ import annotations

import re

TIMEOUT = re.compile(rb"([0-9]{1,8})([HMSmun])")
NANOSECONDS = {
    b"H": 3_600_000_000_000,
    b"M": 60_000_000_000,
    b"S": 1_000_000_000,
    b"m": 1_000_000,
    b"u": 1_000,
    b"n": 1,
}
MOST = 99_999_999  # what eight digits hold


class BadTimeout(ValueError):
    """A value that is no time-out of the protocol."""


def read(value: bytes) -> int:
    """Microseconds, rounded up: a deadline is never earlier than its client asked. ``BadTimeout``."""
    found = TIMEOUT.fullmatch(value)
    if found is None:
        raise BadTimeout(f"{value[:32]!r} is not up to 8 digits and one of H M S m u n")
    return -(-int(found[1]) * NANOSECONDS[found[2]] // 1000)


def write(us: int) -> bytes:
    """What is left, for the next hop: rounded down, in the finest unit that eight digits hold.

    Nothing left is written as ``0n``: the receiver then knows that it need not begin.
    """
    if us <= 0:
        return b"0n"
    for unit in (b"u", b"m", b"S", b"M", b"H"):
        amount = us * 1000 // NANOSECONDS[unit]
        if amount <= MOST:
            return b"%d%s" % (amount, unit)
    return b"%dH" % MOST
