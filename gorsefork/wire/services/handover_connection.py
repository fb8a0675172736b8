"""The link between two processes of one ingress: the one that serves, and the one that is to follow it.

A Unix socket in ``$TMPDIR``, which both share. Each message is one line of JSON:

    {"hello": {...}}    the one that serves, first: who it is, its bans, its list
    {"say": "..."}      either: an operator's call that was made at the other
    {"yours": {...}}    the one that serves: it takes no more; all that the next one needs to go on with
    {"word": [...]}     the next one: a keeper's word that came to it, maybe on a try of the other
    {"mine": true}      the next one: it has begun to take, asked or not

The link's end is the end of the other process. Nothing on it is waited for without a bound.
"""

from __future__ import annotations

import json
import os
from collections.abc import Awaitable, Callable, Mapping
from pathlib import Path
from typing import Any

import trio

PROTOCOL_VERSION = 1
MAX_LINE_BYTES = 8 << 20  # bytes of one message
HELLO_TIMEOUT_S, WRITE_TIMEOUT_S = 1.0, 1.0  # s
MAX_SUCCESSORS = 1  # processes that may follow at once

HandoverMessage = Mapping[str, Any]


class HandoverProtocolError(Exception):
    """What came is no message of this link, or of another ingress or version."""


class HandoverConnection:
    """One end. ``queue_message`` never waits for the other side to read: what it does not take at once goes
    in turn."""

    def __init__(self, stream: trio.SocketStream) -> None:
        self.stream, self.buffer = stream, bytearray()
        self.unsent: list[bytes] = []
        self.has_unsent = trio.Event()

    def queue_message(self, message: HandoverMessage) -> None:
        self.unsent.append(json.dumps(message, separators=(",", ":")).encode() + b"\n")
        self.has_unsent.set()

    async def send_queued(self) -> None:
        """Until the link ends. Guards against another that reads nothing more: it is given up."""
        while True:
            await self.has_unsent.wait()
            self.has_unsent = trio.Event()
            while self.unsent:
                with trio.fail_after(WRITE_TIMEOUT_S):
                    await self.stream.send_all(self.unsent.pop(0))

    async def receive(self) -> HandoverMessage | None:
        """The next message; None at the end. ``HandoverProtocolError`` for what is none."""
        while b"\n" not in self.buffer:
            try:
                data = await self.stream.receive_some()
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                return None
            if not data:
                return None  # half a message has no end and says nothing
            self.buffer += data
            if len(self.buffer) > MAX_LINE_BYTES:
                raise HandoverProtocolError("a message without an end")
        line, _, rest = bytes(self.buffer).partition(b"\n")
        self.buffer = bytearray(rest)
        try:
            message = json.loads(line)
        except ValueError:
            raise HandoverProtocolError("a message that is not JSON") from None
        if not isinstance(message, dict):
            raise HandoverProtocolError("a message that is no object")
        return message


class HandoverSocket:
    """Where the one that serves is to be found. The folder is opened once: its name may be too long for the
    name of a Unix socket, which holds 108 bytes."""

    def __init__(self, folder: str, name: str) -> None:
        self.folder = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
        self.file = "gorsefork-" + "".join(c if c.isalnum() else "-" for c in name)[:40] + ".sock"

    def path(self, file: str) -> str:
        return f"/proc/self/fd/{self.folder}/{file}"

    async def connect(self) -> HandoverConnection | None:
        """A link to the one that serves; None if there is none, or only what one that died left behind."""
        sock = trio.socket.socket(trio.socket.AF_UNIX, trio.socket.SOCK_STREAM)
        try:
            with trio.fail_after(HELLO_TIMEOUT_S):
                await sock.connect(self.path(self.file))
        except (OSError, trio.TooSlowError):
            sock.close()
            return None
        return HandoverConnection(trio.SocketStream(sock))

    async def listen(self, serve: Callable[[HandoverConnection], Awaitable[None]]) -> None:
        """Be found from here on, in the place of whoever was before. Each that comes is served in turn."""
        mine = f".{os.getpid()}.{self.file}"
        with trio.socket.socket(trio.socket.AF_UNIX, trio.socket.SOCK_STREAM) as sock:
            Path(self.path(mine)).unlink(missing_ok=True)
            await sock.bind(self.path(mine))
            sock.listen(MAX_SUCCESSORS)
            os.rename(self.path(mine), self.path(self.file))  # whole, or not at all
            while True:
                stream = trio.SocketStream((await sock.accept())[0])
                try:
                    await serve(HandoverConnection(stream))
                finally:
                    stream.socket.close()
