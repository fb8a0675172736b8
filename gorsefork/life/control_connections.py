"""How many connections control may have, of the descriptors that an ingress has."""

from __future__ import annotations

from typing import NamedTuple

MAX_LISTENER, LISTENER_SHARE = 64, 8  # at most so many; and at most one descriptor in so many
MAX_REQUESTS, REQUESTS_SHARE = 16, 32
MAX_IDLE, KEPT_SHARE = 8, 64
MAX_SURVEY, SURVEY_SHARE = 32, 16
MIN_CONNECTIONS = 4  # of each
OTHER_DESCRIPTORS = 8  # to peers of the previous version, the view's socket, the state folder's files


class ControlConnections(NamedTuple):
    """To the control listener; requests out to peers, and kept idle between them; out for a survey."""

    listener: int
    requests: int
    idle: int
    survey: int

    @property
    def descriptors(self) -> int:
        """All that control holds at the most."""
        return sum(self) + OTHER_DESCRIPTORS


def control_connections(sockets: int) -> ControlConnections:
    """Bounds that do not grow with the fleet. ``sockets``: descriptors that this ingress has for all."""

    def bound(most: int, share: int) -> int:
        return max(MIN_CONNECTIONS, min(most, sockets // share))

    return ControlConnections(
        bound(MAX_LISTENER, LISTENER_SHARE),
        bound(MAX_REQUESTS, REQUESTS_SHARE),
        bound(MAX_IDLE, KEPT_SHARE),
        bound(MAX_SURVEY, SURVEY_SHARE),
    )
