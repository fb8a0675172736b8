"""Loopback addresses that the plays of one process have for themselves.

On 127.0.0.1 a port that one play gives up may be taken by another play at once, or by an outgoing connection;
an ingress that still knows the port would then talk to the wrong stand-in.
"""

from __future__ import annotations

import os

HOSTS_PER_OCTET = 250


def loopback_host(number: int) -> str:
    """The address of the stand-ins (0) or of an ingress (from 1 on)."""
    high, low = divmod(os.getpid(), HOSTS_PER_OCTET)
    return f"127.{1 + high % HOSTS_PER_OCTET}.{1 + low}.{1 + number}"
