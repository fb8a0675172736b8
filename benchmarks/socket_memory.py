"""What the system holds in the socket buffers of one process (sock_diag(7), linux/inet_diag.h)."""

from __future__ import annotations

import os
import socket
import struct
from collections.abc import Iterator
from pathlib import Path

NETLINK_SOCK_DIAG, SOCK_DIAG_BY_FAMILY = 4, 20
NLM_F_REQUEST_DUMP = 0x301  # NLM_F_REQUEST | NLM_F_DUMP
NLMSG_ERROR, NLMSG_DONE = 2, 3
INET_DIAG_SKMEMINFO = 7
ALL_STATES = 0xFFF
MESSAGE_HEADER = struct.Struct("=IHHII")  # length, type, flags, sequence, port
REQUEST = struct.Struct("=BBBxI48x")  # family, protocol, extensions, states, socket id
SOCKET_HEADER_BYTES = 72
ATTRIBUTE = struct.Struct("=HH")
MEMORY_INFO = struct.Struct("=8I")
RECEIVE_BYTES = 1 << 20


class SocketDiagnosticsError(OSError):
    """The system does not tell."""


def tcp_sockets() -> Iterator[tuple[int, int, int]]:
    """Inode, local port and bytes in buffers of each TCP socket over IPv4 on this machine."""
    with socket.socket(socket.AF_NETLINK, socket.SOCK_RAW, NETLINK_SOCK_DIAG) as sock:
        request = REQUEST.pack(socket.AF_INET, socket.IPPROTO_TCP, 1 << (INET_DIAG_SKMEMINFO - 1), ALL_STATES)
        length = MESSAGE_HEADER.size + len(request)
        sock.send(MESSAGE_HEADER.pack(length, SOCK_DIAG_BY_FAMILY, NLM_F_REQUEST_DUMP, 1, 0) + request)
        while True:
            data = sock.recv(RECEIVE_BYTES)
            while data:
                length, kind, *_ = MESSAGE_HEADER.unpack_from(data)
                if kind == NLMSG_DONE:
                    return
                if kind == NLMSG_ERROR:
                    raise SocketDiagnosticsError("sock_diag")
                yield read_socket(data[MESSAGE_HEADER.size : length])
                data = data[-(-length // 4) * 4 :]


def read_socket(message: bytes) -> tuple[int, int, int]:
    port = struct.unpack_from(">H", message, 4)[0]
    inode = struct.unpack_from("=I", message, SOCKET_HEADER_BYTES - 4)[0]
    place = SOCKET_HEADER_BYTES
    while place + ATTRIBUTE.size <= len(message):
        length, kind = ATTRIBUTE.unpack_from(message, place)
        if kind == INET_DIAG_SKMEMINFO:
            received, _, _, _, reserved, queued, options, backlog = MEMORY_INFO.unpack_from(
                message, place + ATTRIBUTE.size
            )
            return inode, port, received + reserved + queued + options + backlog
        place += max(ATTRIBUTE.size, -(-length // 4) * 4)
    return inode, port, 0


def socket_inodes(pid: int) -> set[int]:
    """The inodes of a process's sockets (proc(5), /proc/PID/fd)."""
    inodes = set()
    for entry in os.scandir(Path("/proc", str(pid), "fd")):
        try:
            target = os.readlink(entry.path)
        except OSError:  # closed meanwhile
            continue
        if target.startswith("socket:["):
            inodes.add(int(target[len("socket:[") : -1]))
    return inodes


def socket_buffer_bytes(pid: int, listen_port: int) -> int:
    """The bytes in the buffers of a process's TCP sockets, and of those that wait to be accepted."""
    own = socket_inodes(pid)
    return sum(
        size for inode, port, size in tcp_sockets() if inode in own or (not inode and port == listen_port)
    )
