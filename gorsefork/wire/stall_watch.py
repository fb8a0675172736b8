"""Tells a peer that takes nothing of what is sent to it from one that reads slowly.

A socket turns writable only once the peer has taken a large part of what the system holds for it: megabytes,
which a slow reader takes in tens of seconds. Until then its progress shows in what its system acknowledges.
"""

from __future__ import annotations

import socket
import struct
from typing import NamedTuple

import trio

SLOWEST_READER_BYTES_PER_S = 64_000  # of a peer that is served to its end
# A receiver that had no room offers some again once half of its buffer is free (RFC 9293, 3.8.6.2.2).
UNANNOUNCED_WINDOW_SHARE = 0.5
# struct tcp_info of linux/tcp.h: tcpi_bytes_acked (u64) and tcpi_snd_wnd (u32) at these offsets
TCP_INFO_BYTES = 232
BYTES_ACKED, SEND_WINDOW = struct.Struct("@120xQ"), struct.Struct("@228xI")


class SendState(NamedTuple):
    """How far a connection's peer is: the bytes that its system acknowledged, and those it has room for."""

    acknowledged: int
    window: int


def read_send_state(sock: socket.socket) -> SendState:
    """The state of a TCP connection; all zero where this system does not tell."""
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
    except OSError:
        return SendState(0, 0)
    if len(info) < TCP_INFO_BYTES:
        return SendState(0, 0)
    return SendState(BYTES_ACKED.unpack_from(info)[0], SEND_WINDOW.unpack_from(info)[0])


class StallWatch:
    """Counts a peer's silence from its last sign of progress, while there is something for it to take.

    What a peer's system has acknowledged may still be unread there. So it may be silent for as long as the
    slowest reader needs until its system has room to announce, and for the time-out beyond that.
    """

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.acknowledged = self.largest_window = 0
        self.progress_at = 0.0  # trio's clock

    def begin(self) -> None:
        """A wait for the peer begins: until now it has made progress."""
        self.note_progress()
        self.progress_at = trio.current_time()

    def note_progress(self) -> None:
        state = read_send_state(self.sock)
        if state.acknowledged > self.acknowledged:
            self.progress_at = trio.current_time()
        self.acknowledged = state.acknowledged
        self.largest_window = max(self.largest_window, state.window)

    def has_stalled(self, timeout: float) -> bool:
        """Whether the peer has been silent for ``timeout`` seconds longer than the slowest reader may be."""
        self.note_progress()
        unannounced = self.largest_window * UNANNOUNCED_WINDOW_SHARE
        allowed = timeout + unannounced / SLOWEST_READER_BYTES_PER_S
        return trio.current_time() - self.progress_at >= allowed
