"""A stand-in LDAP directory (RFC 4511): enough BER for a bind, one search and an unbind."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

import trio

Entry = Mapping[str, Sequence[str]]
BIND, UNBIND, SEARCH = 0x60, 0x42, 0x63


def ber(tag: int, *parts: bytes) -> bytes:
    body = b"".join(parts)
    size = len(body)
    head = bytes([size]) if size < 128 else bytes([0x82, size >> 8, size & 255])
    return bytes([tag]) + head + body


def result(tag: int, code: int) -> bytes:
    return ber(tag, ber(0x0A, bytes([code])), ber(4), ber(4))


def entry(attributes: Entry) -> bytes:
    rows = [
        ber(0x30, ber(4, name.encode()), ber(0x31, *(ber(4, v.encode()) for v in values)))
        for name, values in attributes.items()
    ]
    return ber(0x64, ber(4, b"cn=x"), ber(0x30, *rows))


class StandIn:
    """Answers a search by whether its filter holds a known name; ``silent`` answers nothing at all."""

    def __init__(self, password: str, entries: Mapping[str, Sequence[Entry]], silent: bool = False) -> None:
        self.password, self.entries, self.silent = password.encode(), entries, silent

    async def serve(self, stream: trio.SocketStream) -> None:
        buffer = b""
        while data := await stream.receive_some():
            buffer += data
            while len(buffer) >= 2 and len(buffer) >= (end := self.end(buffer)):
                message, buffer = buffer[:end], buffer[end:]
                if not self.silent and not await self.answer(stream, message):
                    return

    @staticmethod
    def end(buffer: bytes) -> int:
        if buffer[1] < 128:
            return 2 + buffer[1]
        width = buffer[1] & 127
        return (
            2 + width + int.from_bytes(buffer[2 : 2 + width], "big") if len(buffer) >= 2 + width else 1 << 30
        )

    async def answer(self, stream: trio.SocketStream, message: bytes) -> bool:
        start = 2 + (message[1] & 127 if message[1] >= 128 else 0)
        number = message[start : start + 2 + message[start + 1]]
        operation = message[start + len(number)]
        if operation == BIND:
            good = message.endswith(ber(0x80, self.password))
            replies = [result(0x61, 0 if good else 49)]
        elif operation == SEARCH:
            found = [rows for name, rows in self.entries.items() if ber(4, name.encode()) in message]
            replies = [*(entry(row) for rows in found for row in rows), result(0x65, 0)]
        else:
            return False
        for reply in replies:
            await stream.send_all(ber(0x30, number, reply))
        return True
