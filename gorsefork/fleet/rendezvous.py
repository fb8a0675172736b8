"""The order of members for a key: the same at all that have the same members, with few moves when they
change.

Rendezvous hashing (Thaler and Ravishankar, 1998): each member's place is its hash together with the key. Of n
members one that goes moves only the keys that it came first for, 1/n of them.
"""

from __future__ import annotations

from collections.abc import Iterable
from hashlib import blake2s


def rendezvous_order(key: str, names: Iterable[str]) -> list[str]:
    """The names, best first. Equal sets give equal orders, however they are ordered themselves."""
    keyed = blake2s(key.encode(), digest_size=16).digest()

    def score(name: str) -> bytes:
        return blake2s(name.encode(), key=keyed, digest_size=12).digest()

    return sorted(set(names), key=lambda name: (score(name), name), reverse=True)
