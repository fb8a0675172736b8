"""The serving state of this process: ready, draining its clients, or closing."""

from __future__ import annotations

from collections.abc import Callable

import trio


class ServingState:
    """Read by the health and readiness checks; only the process life cycle and operators change it.

    While ``draining_clients`` is true, clients are asked to use another ingress. The process does not restart
    for that, and it still serves requests that arrive.
    """

    def __init__(self) -> None:
        self.ready = trio.Event()
        self.closing = self.draining_clients = False
        self.listeners: list[Callable[[bool], None]] = []  # called on each change of ``draining_clients``

    def healthy(self) -> bool:
        """Whether the health check of the clients' front passes."""
        return self.ready.is_set() and not self.draining_clients

    def set_draining_clients(self, on: bool) -> None:
        """Set ``draining_clients`` and call the listeners if that changes it."""
        if on != self.draining_clients:
            self.draining_clients = on
            for notify in self.listeners:
                notify(on)

    def why_not_ready(self) -> str:
        """Return why this process is not ready to serve, or "" if it is. Draining clients does not count."""
        if self.closing:
            return "closing: it finishes what it has taken"
        return "" if self.ready.is_set() else "starting: not all parts are up"
