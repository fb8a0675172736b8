"""What the core asks of the wire. None of these waits."""

from __future__ import annotations

from typing import Protocol

from gorsefork.memory.delegation import Delegation


class Boxes(Protocol):
    """The tour boxes."""

    def delegate(self, delegation: Delegation) -> None: ...
    def close_idle(self, host: str) -> None: ...


class Counter(Protocol):
    """The quota counter."""

    def add(self, name: str, amount: float, ttl_us: int) -> None: ...


class Peers(Protocol):
    """The fellow ingresses; ``None`` means all of them."""

    def tell(self, peer: int | None, data: bytes) -> None: ...


class Discovery(Protocol):
    """Whoever speaks to discovery."""

    def fetch(self) -> None: ...
