"""The operators' line: one more address, one line a connection, one answer."""

from __future__ import annotations

import socket
from collections.abc import Callable

import trio

from gorsefork.wire.stream import Stream, listening_socket, parse_address

MAX_CALLERS = 16  # connections at once; beyond that the one that has been silent longest is closed
MAX_LINE_BYTES = 1024  # bytes of a call
LINE_TIMEOUT_S, ANSWER_TIMEOUT_S = 4.0, 2.0  # s for a call to come whole; for its answer to be read
LINGER_S = 0.5  # s for the caller to close first
BACKLOG = 64


class OperatorConnection:
    """One connection: its line is read, answered once, and what comes behind it is dropped."""

    def __init__(self, stream: Stream) -> None:
        self.stream, self.scope, self.line_received = stream, trio.CancelScope(), False

    async def read_line(self) -> str | None:
        """The call without its end; None if the caller leaves, or the line has none in time or bounds."""
        data = bytearray()
        while b"\n" not in data:
            piece = await self.stream.receive()
            data += piece
            if not piece and data:
                break  # it has closed its side behind a line without an end
            if not piece or len(data) > MAX_LINE_BYTES:
                return None
        return data.partition(b"\n")[0].decode("latin-1").strip("\r")


class OperatorsFront:
    """Descriptors are its own, so that no crowd of clients shuts operators out, nor the other way."""

    def __init__(self, listen: str, answer: Callable[[str], str]) -> None:
        self.answer = answer
        host, port = parse_address(listen)
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        self.sock = listening_socket(family, socket.SOCK_STREAM)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.setblocking(False)
        self.sock.bind((host, port))
        self.sock.listen(BACKLOG)
        self.callers: list[OperatorConnection] = []  # the longest there first

    @property
    def address(self) -> str:
        name = self.sock.getsockname()
        return f"{name[0]}:{name[1]}"

    async def run(self) -> None:
        async with trio.open_nursery() as nursery:
            while True:
                await trio.lowlevel.wait_readable(self.sock)
                try:
                    stream = Stream(self.sock.accept()[0])
                except BlockingIOError:
                    continue
                except OSError:  # broken on its way, or no descriptor is left
                    await trio.sleep(0.02)
                    continue
                if len(self.callers) >= MAX_CALLERS:
                    silent = [caller for caller in self.callers if not caller.line_received]
                    (silent or self.callers)[0].scope.cancel()
                self.callers.append(caller := OperatorConnection(stream))
                nursery.start_soon(self.serve, caller)

    async def serve(self, caller: OperatorConnection) -> None:
        """Whatever goes wrong here ends this connection alone."""
        try:
            line = None
            with caller.scope, trio.move_on_after(LINE_TIMEOUT_S):
                line = await caller.read_line()
            if line is not None:
                caller.line_received = True
                with trio.move_on_after(ANSWER_TIMEOUT_S):
                    await caller.stream.send([self.answer(line).encode("latin-1", "replace")])
                    caller.stream.end_writing()
                    with trio.move_on_after(LINGER_S):  # guards against a reset that overtakes the answer
                        while await caller.stream.receive():
                            pass
        except (OSError, trio.ClosedResourceError):
            pass  # the caller's own affair
        finally:
            caller.stream.close()
            self.callers.remove(caller)
