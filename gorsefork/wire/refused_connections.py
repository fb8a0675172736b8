"""New connections that there is no room for: each that asks something is told so."""

from __future__ import annotations

import socket
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

import trio

from gorsefork.wire.stream import peer_has_ended

OVERLOAD_ANSWER = (
    b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)
CHECK_INTERVAL_S = 0.02
SILENCE_TIMEOUT_S = 0.25  # s for its first byte
LINGER_TIMEOUT_S = 1.0  # s to read its answer and close
MIN_LINGER_S = 0.1  # s of these, where others wait for its place
MAX_DISCARDED_PER_CHECK = 16_384  # bytes of one connection


@dataclass(slots=True, eq=False)
class RefusedConnection:
    sock: socket.socket
    since: float  # trio's clock: it was accepted, or answered
    answered: bool = False

    def is_over(self, now: float) -> bool:
        return now >= self.since + (LINGER_TIMEOUT_S if self.answered else SILENCE_TIMEOUT_S)


class RefusedConnections:
    """Sockets without a parser or a task of their own, ``most`` of them. What comes on them is dropped.

    Beyond ``most`` the one that has had the longest time gives way. ``on_refused`` is called for each answer.
    """

    def __init__(self, most: int, on_refused: Callable[[], None]) -> None:
        self.most, self.on_refused = most, on_refused
        self.connections: dict[RefusedConnection, None] = {}  # the longest accepted first
        self.arrived = trio.Event()

    def has_room(self) -> bool:
        """Whether one more may be added; one that has had its time gives way."""
        now = trio.current_time()
        if len(self.connections) >= self.most:
            over = (each for each in self.connections if each.since + MIN_LINGER_S <= now)
            if (connection := next(over, None)) is not None:
                self.close(connection)
        return len(self.connections) < self.most

    def add(self, sock: socket.socket) -> None:
        """Own an accepted socket from here on."""
        sock.setblocking(False)
        now = trio.current_time()
        connection = RefusedConnection(sock, now)
        self.connections[connection] = None
        if not self.is_open(connection, now):
            self.close(connection)
        elif not self.arrived.is_set():
            self.arrived.set()

    def close(self, connection: RefusedConnection) -> None:
        connection.sock.close()
        del self.connections[connection]

    async def run(self) -> None:
        """Until cancelled; all sockets are closed then."""
        try:
            while True:
                await self.arrived.wait()
                self.check_all()
                if not self.connections:
                    self.arrived = trio.Event()
                await trio.sleep(CHECK_INTERVAL_S)
        finally:
            for connection in self.connections:
                connection.sock.close()

    def check_all(self) -> None:
        now = trio.current_time()
        for connection in list(self.connections):
            if not self.is_open(connection, now):
                self.close(connection)

    def is_open(self, connection: RefusedConnection, now: float) -> bool:
        """Drop what came, and answer the first of it; whether its client is still waited for."""
        try:
            data = connection.sock.recv(MAX_DISCARDED_PER_CHECK)
            if not data:
                return False
            if peer_has_ended(connection.sock):
                return False
            if not connection.answered:
                connection.answered, connection.since = True, now
                connection.sock.send(OVERLOAD_ANSWER)
                connection.sock.shutdown(socket.SHUT_WR)
                self.on_refused()
        except BlockingIOError:
            pass
        except OSError:
            return False
        return not connection.is_over(now)


class AcceptRate:
    """Connections accepted in the last second."""

    WINDOW_S = 1.0

    def __init__(self) -> None:
        self.accepted: deque[float] = deque()  # trio's clock, oldest first

    def note(self, now: float) -> None:
        """One more was accepted."""
        self.forget_old(now)
        self.accepted.append(now)

    def per_second(self, now: float) -> int:
        self.forget_old(now)
        return len(self.accepted)

    def forget_old(self, now: float) -> None:
        while self.accepted and self.accepted[0] + self.WINDOW_S <= now:
            self.accepted.popleft()
