"""The acceptor: listens for clients, and gives each connection a task of its own."""

from __future__ import annotations

import errno
import select
import socket
import struct
from collections.abc import Awaitable, Callable
from enum import Enum, auto

import trio

from gorsefork.memory.arrival import ArrivalTime
from gorsefork.memory.clock import Clock
from gorsefork.memory.memory_account import MemoryAccount
from gorsefork.memory.metrics import BreakReason, RefusalReason
from gorsefork.memory.work_turns import WorkTurns
from gorsefork.wire.connection_admission import ConnectionAdmission
from gorsefork.wire.http1.connection import ClientConnection
from gorsefork.wire.http1.exchange import Exchange, Front
from gorsefork.wire.refused_connections import AcceptRate, RefusedConnections
from gorsefork.wire.stream import Stream, limit_socket_buffers, listening_socket, parse_address

__all__ = ["Acceptor", "Exchange"]

BACKLOG = 1024
MAX_BACKLOG_WAIT_S = 0.5  # s for which a connection may wait to be accepted where places are short
DEFAULT_REFUSED_CONNECTIONS = 16  # that are answered at a time
NO_ROOM_PAUSE_S = 0.02  # s until a connection is accepted after there was no room for one
# struct tcp_info of linux/tcp.h: of a listener, tcpi_unacked is the length of its backlog
BACKLOG_INFO = struct.Struct("=24xI")
# connections taken in one step; a listener that only ever fails ends it too
MAX_ACCEPTS_PER_STEP = 32
# of accept, for want of descriptors or memory, from which that is no passing moment
MAX_FAILURES_PER_STEP = 16
# s between looks at a backlog that could not be emptied, as the listener closes
BACKLOG_RETRY_PAUSE_S = 0.005
DEFAULT_MEMORY_BYTES = 16 << 20  # for the clients of a listener that shares no account
FIRST_BYTE_TIMEOUT_S = 1.0  # s that a new connection may stay silent once this ingress closes

CONNECTION_ERRORS = frozenset(
    (
        errno.ECONNABORTED,
        errno.EPROTO,
        errno.ENETDOWN,
        errno.ENETUNREACH,
        errno.EHOSTDOWN,
        errno.EHOSTUNREACH,
        errno.ENOPROTOOPT,
    )
)  # accept(2)


class AcceptOutcome(Enum):
    """How a step of accepting ended: the backlog is empty, there is no room for more, or more may wait."""

    EMPTIED = auto()
    NO_ROOM = auto()
    MORE = auto()


class Acceptor(ConnectionAdmission):
    """Listens for one front. At the bounds on connections the one idle for longest gives way."""

    def __init__(
        self,
        listen: str,
        front: Front,
        clock: Clock,
        most: int,
        most_idle: int = 0,
        inherited: int | None = None,
        count_break: Callable[[BreakReason], None] = lambda reason: None,
        turns: WorkTurns | None = None,
        memory: MemoryAccount | None = None,
    ) -> None:
        super().__init__(clock, most, most_idle or most)
        self.turns = turns or WorkTurns()
        self.memory = memory or MemoryAccount(DEFAULT_MEMORY_BYTES)
        self.front, self.count_break = front, count_break
        self.count_refusal: Callable[[RefusalReason], None] = lambda reason: None
        self.refused = RefusedConnections(DEFAULT_REFUSED_CONNECTIONS, lambda: self.count_refusal("no_place"))
        self.accept_rate = AcceptRate()
        self.closing = False
        self.nursery: trio.Nursery | None = None
        self.accepting, self.accept_scope = trio.Event(), trio.CancelScope()
        self.arrival = ArrivalTime(clock, clock.now)
        if inherited is not None:  # bound and listening already, and not this process's alone
            self.sock = socket.socket(fileno=inherited)
            self.sock.setblocking(False)
            return
        host, port = parse_address(listen)
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        self.sock = listening_socket(family, socket.SOCK_STREAM)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.setblocking(False)
        self.sock.bind((host, port))
        self.sock.listen(BACKLOG)
        self.begin_accepting()

    @property
    def port(self) -> int:
        return int(self.sock.getsockname()[1])

    @property
    def address(self) -> str:
        return f"{self.sock.getsockname()[0]}:{self.port}"

    def start(self, task: Callable[[], Awaitable[None]]) -> None:
        assert self.nursery is not None
        self.nursery.start_soon(task)

    async def run(self) -> None:
        async with trio.open_nursery() as self.nursery:
            self.nursery.start_soon(self.close_expired)
            self.nursery.start_soon(self.close_departed)
            self.nursery.start_soon(self.refused.run)
            while True:
                await self.accepting.wait()
                with trio.CancelScope() as self.accept_scope:
                    while True:
                        self.arrival.begin_wait()
                        await trio.lowlevel.wait_readable(self.sock)
                        outcome = self.accept_step()
                        if len(self.connections) >= self.max_connections:
                            self.refuse_overdue()
                        if outcome is AcceptOutcome.NO_ROOM:
                            await trio.sleep(NO_ROOM_PAUSE_S)

    def begin_accepting(self) -> None:
        """Take connections. One whose socket is inherited waits for this, as another may take them still."""
        self.accepting.set()

    def stop_accepting(self) -> None:
        """Take no more, and leave what waits on the socket to another process."""
        self.accepting = trio.Event()
        self.accept_scope.cancel()

    def accept_step(self) -> AcceptOutcome:
        """Take in some of the connections that wait."""
        came, accepted, failures = self.arrival.earliest(), 0, 0
        for _ in range(MAX_ACCEPTS_PER_STEP):
            if len(self.connections) >= self.max_connections:
                if not self.has_backlog():
                    self.arrival.mark_drained()
                    return AcceptOutcome.EMPTIED
                if not self.evict():
                    return AcceptOutcome.NO_ROOM
            if len(self.idle) >= self.max_idle:
                # Guards against a crowd that connects and asks nothing: connections are few, and each
                # that is held for one without a request is one less for those that have one.
                self.evict(newcomers=False)
            try:
                sock = self.sock.accept()[0]
            except BlockingIOError:
                self.arrival.mark_drained()
                return AcceptOutcome.EMPTIED
            except OSError as error:
                if error.errno in CONNECTION_ERRORS:
                    continue  # as it comes, so it goes: others wait behind it, maybe as the listener closes
                failures += 1
                if failures >= MAX_FAILURES_PER_STEP:
                    return AcceptOutcome.NO_ROOM  # no descriptor is left: the backlog keeps the rest
                continue
            try:
                stream = Stream(sock)
            except OSError:  # broken since
                sock.close()
                continue
            connection = ClientConnection(stream, self, came)
            self.connections.add(connection)
            self.idle[connection] = self.clock.now
            if self.closing:
                connection.read_scope.deadline = trio.current_time() + FIRST_BYTE_TIMEOUT_S
            self.start(connection.run)
            accepted += 1
            self.accept_rate.note(trio.current_time())
        return AcceptOutcome.MORE if accepted else AcceptOutcome.NO_ROOM

    def refuse_overdue(self) -> None:
        """Refuse those that have waited for longest, where all that wait can't be accepted in their time."""
        rate = self.accept_rate.per_second(trio.current_time())
        overdue = self.count_backlog() - int(rate * MAX_BACKLOG_WAIT_S)
        while overdue > 0 and self.refused.has_room():
            try:
                self.refused.add(self.sock.accept()[0])
            except OSError:  # nobody waits, or no descriptor is left
                return
            overdue -= 1

    def set_socket_buffers(self, size: int) -> None:
        """Bound what the system holds each way for connections that come from now on; 0 changes nothing."""
        if size:
            limit_socket_buffers(self.sock, size)

    def count_backlog(self) -> int:
        """How many connections wait to be accepted; 1 where this system does not tell."""
        try:
            info = self.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, BACKLOG_INFO.size)
        except OSError:
            return 1
        return int(BACKLOG_INFO.unpack(info)[0]) if len(info) == BACKLOG_INFO.size else 1

    def has_backlog(self) -> bool:
        """Whether there is a connection to be taken."""
        poll = select.poll()
        poll.register(self.sock, select.POLLIN)
        return bool(poll.poll(0))

    def end_reading(self) -> None:
        """The last look at each connection. What comes later is nobody's: a call that began here now would
        find no one to answer it."""
        self.stop_accepting()
        for connection in [c for c in self.connections if not c.is_last]:
            connection.end_reading()

    async def stop_listening(self, until: float) -> None:
        """The backlog first: a request unread in it counts as taken. Where it can't be emptied just now, for
        want of descriptors or of places, that is tried again until trio's clock shows ``until``."""
        while (outcome := self.accept_step()) is not AcceptOutcome.EMPTIED and trio.current_time() < until:
            await trio.sleep(BACKLOG_RETRY_PAUSE_S if outcome is AcceptOutcome.NO_ROOM else 0)
        self.stop_accepting()
        trio.lowlevel.notify_closing(self.sock)
        self.sock.close()
