"""A connected, non-blocking socket under trio: gathered writes, and writes that do not wait."""

from __future__ import annotations

import errno
import fcntl
import ipaddress
import math
import os
import select
import socket
import struct
import sys
import termios
import time
from collections.abc import Callable, Sequence

import trio

from gorsefork.wire.stall_watch import StallWatch

READ_SIZE = 65536
MAX_BUFFERS_PER_WRITE = 1024  # UIO_MAXIOV of linux/uio.h: sendmsg(2) refuses more
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # struct linger: on, for 0 s
STALL_CHECK_INTERVAL_S = 1.0  # s between looks at the progress of a peer that is waited for
LOCAL_RETRY_PAUSE_S = 0.005  # s until a connection is tried again that failed for a fault of this machine
# s between tries to make a listener's socket; for all of them
START_RETRY_PAUSE_S, START_TIMEOUT_S = 0.01, 2.0

# Of socket(2) and connect(2): this machine is short of something, or has no way out for the moment.
LOCAL_ERRORS = frozenset(
    (
        errno.EMFILE,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
        errno.EAGAIN,
        errno.EADDRNOTAVAIL,
        errno.ENETUNREACH,
        errno.ENETDOWN,
    )
)


class LocalConnectError(Exception):
    """This machine could not make a connection; it says nothing about the other side."""


class PeerStalled(TimeoutError):
    """The other side keeps its connection and takes nothing more of what is sent to it."""


class Stream:
    """Owns its socket. ``write_now`` may be called outside any task; the rest belongs to one task."""

    def __init__(self, sock: socket.socket) -> None:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.sock, self.closed = sock, False
        self.stall_watch = StallWatch(sock)

    async def receive(self, most: int = READ_SIZE) -> bytes:
        """The next bytes, ``most`` of them; none at the end. ``OSError`` when the connection breaks."""
        while True:
            if self.closed:
                raise trio.ClosedResourceError
            await trio.lowlevel.wait_readable(self.sock)
            try:
                return self.sock.recv(most)
            except BlockingIOError:
                continue

    async def receive_if_ready(self, most: Callable[[], int]) -> bytes | None:
        """The next bytes, as many as ``most`` allows once they are there; None if that is none by then."""
        if self.closed:
            raise trio.ClosedResourceError
        await trio.lowlevel.wait_readable(self.sock)
        if not (size := most()):
            return None
        try:
            return self.sock.recv(size)
        except BlockingIOError:
            return None

    def receive_now(self, most: int = READ_SIZE) -> bytes | None:
        """What lies ready, ``most`` bytes of it; None if nothing does."""
        try:
            return self.sock.recv(most)
        except BlockingIOError:
            return None

    def is_reusable(self) -> bool:
        """Whether an idle connection is still good: one that turned readable has ended or is out of step."""
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def peer_has_closed(self) -> bool:
        """Whether the other side has ended, also behind bytes that are not read yet."""
        try:
            if not self.sock.recv(1, socket.MSG_PEEK):
                return True
        except BlockingIOError:
            return False
        except OSError:
            return True
        return peer_has_ended(self.sock)

    def write_now(self, buffers: Sequence[bytes | memoryview]) -> list[memoryview]:
        """One gathered write; what the socket did not take. ``OSError`` when the connection is broken."""
        try:
            sent = self.sock.sendmsg(buffers[:MAX_BUFFERS_PER_WRITE])
        except BlockingIOError:
            sent = 0
        return unsent_buffers(buffers, sent)

    async def send(self, buffers: Sequence[bytes | memoryview], stall_timeout: float = math.inf) -> None:
        """Send all of ``buffers``, at the pace of the other side.

        Raises ``OSError`` when the connection breaks, ``PeerStalled`` (one of them) once the other side has
        taken nothing for ``stall_timeout`` seconds (``StallWatch``), and ``trio.ClosedResourceError`` when it
        is closed here. A cancelled call has sent a part, and sends no more from then on.
        """
        left: Sequence[bytes | memoryview] = self.write_now(buffers)
        while left:
            await self.wait_writable(stall_timeout)
            try:
                sent = self.sock.sendmsg(left[:MAX_BUFFERS_PER_WRITE])
            except BlockingIOError:
                continue
            left = unsent_buffers(left, sent)

    async def wait_writable(self, stall_timeout: float) -> None:
        """Wait until the socket takes bytes again; the errors of ``send``."""
        self.stall_watch.begin()
        while True:
            if self.closed:
                raise trio.ClosedResourceError
            with trio.move_on_after(min(stall_timeout, STALL_CHECK_INTERVAL_S)) as scope:
                await trio.lowlevel.wait_writable(self.sock)
            if not scope.cancelled_caught:
                # A task that was woken before it was cancelled is not stopped by that.
                await trio.lowlevel.checkpoint_if_cancelled()
                return
            if not self.closed and self.stall_watch.has_stalled(stall_timeout):
                raise PeerStalled(errno.ETIMEDOUT, "the other side takes nothing more")

    def unacknowledged_bytes(self) -> int:
        """The bytes written that the other side's system lacks, the end of writing counted as one.

        0 where this system does not tell.
        """
        if self.closed:
            return 0
        try:
            return int.from_bytes(fcntl.ioctl(self.sock, termios.TIOCOUTQ, bytes(4)), sys.byteorder)
        except OSError:
            return 0

    def end_writing(self) -> None:
        """Say that no more comes; the other side may have gone already."""
        try:
            self.sock.shutdown(socket.SHUT_WR)
        except OSError:
            self.close()

    def abort(self) -> None:
        """Close with a reset, so that the other side can tell that what it got has no end."""
        if not self.closed:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            self.close()

    def close(self) -> None:
        if not self.closed:
            self.closed = True
            trio.lowlevel.notify_closing(self.sock)
            self.sock.close()


def peer_has_ended(sock: socket.socket) -> bool:
    """Whether the other side's end has come, read or not."""
    poll = select.poll()
    poll.register(sock, select.POLLRDHUP)
    return bool(poll.poll(0))


def unsent_buffers(buffers: Sequence[bytes | memoryview], sent: int) -> list[memoryview]:
    left = []
    for buffer in buffers:
        if sent < len(buffer):
            left.append(memoryview(buffer)[sent:])
        sent = max(0, sent - len(buffer))
    return left


def parse_address(text: str) -> tuple[str, int]:
    """``ip:port`` as a socket address; ``ValueError`` where it is none. There are no names here to resolve,
    and looking one up would hold up the loop."""
    host, _, port = text.rpartition(":")
    if not port.isascii() or not port.isdigit() or int(port) > 65535:
        raise ValueError(f"{text!r} is not ip:port")
    return str(ipaddress.ip_address(host.strip("[]"))), int(port)


def limit_socket_buffers(sock: socket.socket, size: int) -> None:
    """Bound what the system holds for a socket, or for those that a listener accepts (socket(7)).

    Where this system refuses that, its own bounds hold.
    """
    for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
        try:
            sock.setsockopt(socket.SOL_SOCKET, option, size)
        except OSError:
            return


def listening_socket(family: int, kind: int) -> socket.socket:
    """A socket at this program's start, which waits for a moment's want of descriptors or memory to pass."""
    until = time.monotonic() + START_TIMEOUT_S
    while True:
        try:
            return socket.socket(family, kind)
        except OSError as error:
            if error.errno not in LOCAL_ERRORS or time.monotonic() >= until:
                raise
            time.sleep(START_RETRY_PAUSE_S)


async def connect(dial: str, timeout: float) -> Stream | None:
    """As ``open_connection``; None also for a fault of this machine."""
    try:
        return await open_connection(dial, timeout)
    except LocalConnectError:
        return None


async def open_connection(dial: str, timeout: float) -> Stream | None:
    """A new connection, or None if it is refused or does not come up in ``timeout`` seconds.

    A fault of this machine is waited out; ``LocalConnectError`` if there was nothing else in all that time.
    """
    until = trio.current_time() + timeout
    while True:
        try:
            return await try_to_connect(dial, max(0.0, until - trio.current_time()))
        except LocalConnectError:
            if trio.current_time() + LOCAL_RETRY_PAUSE_S >= until:
                raise
        await trio.sleep(LOCAL_RETRY_PAUSE_S)


async def try_to_connect(dial: str, timeout: float) -> Stream | None:
    """One try of ``open_connection``."""
    host, port = parse_address(dial)
    sock: socket.socket | None = None
    try:
        sock = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET, socket.SOCK_STREAM)
        stream = Stream(sock)
        code = sock.connect_ex((host, port))
        if code == errno.EINPROGRESS:
            with trio.move_on_after(timeout):
                await trio.lowlevel.wait_writable(sock)
                code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            raise OSError(code, os.strerror(code))
    except OSError as error:
        if sock is not None:
            sock.close()
        if error.errno in LOCAL_ERRORS:
            raise LocalConnectError(str(error)) from None
        return None
    except BaseException:
        if sock is not None:
            sock.close()
        raise
    return stream
