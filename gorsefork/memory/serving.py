"""Whether this process serves: ready, clients sent away, closing. Who asks reads it; few may change it."""

from __future__ import annotations

from collections.abc import Callable

import trio


class ServingState:
    """``draining_clients``: clients are to go elsewhere; nothing restarts, and what comes all the same is
    served."""

    def __init__(self) -> None:
        self.ready = trio.Event()
        self.closing = self.draining_clients = False
        self.listeners: list[Callable[[bool], None]] = []  # told of each change of ``draining_clients``

    def healthy(self) -> bool:
        """What the clients' front is told."""
        return self.ready.is_set() and not self.draining_clients

    def set_draining_clients(self, on: bool) -> None:
        if on != self.draining_clients:
            self.draining_clients = on
            for tell in self.listeners:
                tell(on)

    def why_not_ready(self) -> str:
        """Why this process is not ready to serve; empty if it is. Clients sent away is no obstacle."""
        if self.closing:
            return "closing: it finishes what it has taken"
        return "" if self.ready.is_set() else "starting: not all parts are up"
