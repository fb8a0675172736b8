"""GOAWAY taken out of what a server sends, before h2 sees it.

RFC 9113, 6.8: streams up to the last id go on to their end, those above it never ran. h2 closes the whole
connection on a GOAWAY and would cut the former; so that frame is read here, and the rest passes as it came.
"""

from __future__ import annotations

from dataclasses import dataclass

HEAD = 9  # bytes of a frame's head (4.1)
KIND = 0x7
LEAST = 8  # bytes of a GOAWAY's payload


class BadGoAway(Exception):
    """One that the protocol does not know: on a stream, or too short. ``code`` is what it is owed."""

    def __init__(self, code: int, reason: str) -> None:
        super().__init__(reason)
        self.code = code


@dataclass(frozen=True, slots=True)
class GoAway:
    """No stream above ``last`` has run or will; ``code`` says why, 0 for a plain retirement."""

    last: int
    code: int


class Sieve:
    """Holds back no more than one frame's head, and a GOAWAY until it is whole (``most`` bytes)."""

    def __init__(self, most: int = 16_384) -> None:
        self.most = most
        self.held = b""
        self.passing = 0  # bytes of the frame under way that still go through

    def feed(self, data: bytes) -> tuple[bytes, list[GoAway]]:
        """What h2 is to get, and what it is not. ``BadGoAway`` ends the connection."""
        data, self.held = self.held + data, b""
        through, found, at = bytearray(), list[GoAway](), 0
        while at < len(data):
            if self.passing:
                size = min(self.passing, len(data) - at)
                through += data[at : at + size]
                at, self.passing = at + size, self.passing - size
                continue
            if len(data) - at < HEAD:
                break
            size = int.from_bytes(data[at : at + 3], "big")
            if data[at + 3] != KIND:
                self.passing = HEAD + size
                continue
            if size > self.most:
                raise BadGoAway(0x6, f"GOAWAY of {size} bytes")
            if len(data) - at < HEAD + size:
                break
            found.append(self.read(data[at : at + HEAD + size]))
            at += HEAD + size
        self.held = data[at:]
        return bytes(through), found

    @staticmethod
    def read(frame: bytes) -> GoAway:
        if int.from_bytes(frame[5:9], "big") & 0x7FFFFFFF:
            raise BadGoAway(0x1, "GOAWAY on a stream")
        if len(frame) < HEAD + LEAST:
            raise BadGoAway(0x6, "GOAWAY too short")
        last = int.from_bytes(frame[9:13], "big") & 0x7FFFFFFF
        return GoAway(last, int.from_bytes(frame[13:17], "big"))
