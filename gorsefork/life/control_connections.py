"""How many connections control may have, of the descriptors that an ingress has."""

from __future__ import annotations

from typing import NamedTuple

MOST_LISTENER, LISTENER_SHARE = 64, 8  # at most so many; and at most one descriptor in so many
MOST_REQUESTS, REQUESTS_SHARE = 16, 32
MOST_KEPT, KEPT_SHARE = 8, 64
MOST_SURVEY, SURVEY_SHARE = 32, 16
LEAST = 4  # of each
OTHERS = 8  # to peers of the previous version, the view's socket, the state folder's files


class ControlConnections(NamedTuple):
    """To the control listener; requests out to peers, and kept idle between them; out for a survey."""

    listener: int
    requests: int
    kept: int
    survey: int

    @property
    def descriptors(self) -> int:
        """All that control holds at the most."""
        return sum(self) + OTHERS


def control_connections(sockets: int) -> ControlConnections:
    """Bounds that do not grow with the fleet. ``sockets``: descriptors that this ingress has for all."""

    def bound(most: int, share: int) -> int:
        return max(LEAST, min(most, sockets // share))

    return ControlConnections(
        bound(MOST_LISTENER, LISTENER_SHARE),
        bound(MOST_REQUESTS, REQUESTS_SHARE),
        bound(MOST_KEPT, KEPT_SHARE),
        bound(MOST_SURVEY, SURVEY_SHARE),
    )
