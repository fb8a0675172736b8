"""One HTTP/1.1 request and its one answer, and what a front is asked for."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Protocol

import h11

from gorsefork.memory.body_stream import BodyStream
from gorsefork.memory.call import (
    Answer,
    Call,
    CompleteAnswer,
    DeniedAnswer,
    FailedAnswer,
    OverloadAnswer,
    ServedAnswer,
)

# bytes of a request's body, where it is passed on as it comes; else ``MAX_BUFFERED_BYTES``
MAX_BODY_BYTES = 33 << 20
MAX_UPLOAD_US = 600_000_000  # us for a body in all: 32 MB take 512 s at 64 kB/s

ANSWER_RESERVE_US = 100_000  # us before the end of a client's time by which its last answer leaves
ANSWER_RESERVE_SHARE = 0.15  # of that time, at most

METHODS_WITHOUT_BODY = frozenset((b"GET", b"HEAD"))

Headers = list[tuple[bytes, bytes]]


@dataclass(slots=True, eq=False)
class Exchange:
    """One request on one connection. ``reply`` is its one answer, ``on_client_left`` rings if the client
    goes first."""

    method: str
    target: str
    headers: dict[bytes, bytes]
    arrived_at: int  # us; its last byte came no sooner
    reply: Callable[[Answer], None]
    body: bytearray = field(default_factory=bytearray)
    call: Call | None = None
    on_client_left: Callable[[], None] = lambda: None
    client_has_left: Callable[[], bool] = lambda: False  # asked of the connection itself
    answered: bool = False
    body_stream: BodyStream | None = None  # its body, where that is passed on as it comes
    discarded: int = 0  # bytes of that, so far

    def held_bytes(self) -> int:
        """The bytes of its body that are held just now."""
        if self.body_stream is not None:
            return self.body_stream.buffered_bytes
        return len(self.body) or (len(self.call.body) if self.call is not None else 0)

    def release(self) -> None:
        """Drop what it holds, and its ties to the connection, once it is answered or has nobody to answer."""
        self.reply = lambda answer: None
        self.on_client_left = lambda: None
        self.headers, self.body = {}, bytearray()

    def text(self, name: bytes) -> str:
        return self.headers.get(name, b"").decode("latin-1")

    def deny(self, status: int, *headers: tuple[str, str]) -> None:
        self.reply(DeniedAnswer(status, headers))


def error_status_of(head: h11.Request, headers: Mapping[bytes, bytes], most: int) -> int:
    """The status for a head that no front may take, 0 if there is none.

    Guards against a request hidden in the body of another: two lengths are one too many, and a server that
    reads no body of a GET (RFC 9110, 9.3.1 gives it no meaning) runs what stands there as the next request.
    """
    if head.http_version not in (b"1.0", b"1.1"):
        return 505
    chunked, length = b"transfer-encoding" in headers, headers.get(b"content-length")
    if chunked and length is not None:
        return 400
    if length is not None and int(length) > most:
        return 413
    has_body = chunked or (length is not None and int(length) > 0)
    return 400 if has_body and head.method in METHODS_WITHOUT_BODY else 0


def answer_time(waits: int) -> int:
    """Microseconds in which a client that waits so many has its final answer: guards against a process that
    is held up just as its client's time is over."""
    return waits - min(ANSWER_RESERVE_US, round(waits * ANSWER_RESERVE_SHARE))


class Front(Protocol):
    """What the acceptor asks of a front."""

    streams_bodies: bool  # whether bodies beyond ``MAX_BUFFERED_BYTES`` are passed on as they come
    whole_seconds: bool  # whether ``Retry-After`` must be a whole number

    def begin(self, exchange: Exchange) -> None:
        """Take a whole request; its ``reply`` comes now or later, exactly once."""
        ...


def to_http(answer: CompleteAnswer, whole_seconds: bool) -> tuple[int, Headers, bytes]:
    if isinstance(answer, ServedAnswer):  # a backend may use any bytes there, so they go back as they came
        return (
            200,
            [(b"Content-Type", answer.content_type.encode("latin-1"))] if answer.content_type else [],
            answer.body,
        )
    if isinstance(answer, OverloadAnswer):
        if answer.retry_after <= 0:
            return 503, [], b""
        advice = str(-int(-answer.retry_after // 1)) if whole_seconds else f"{answer.retry_after:.3f}"
        return 503, [(b"Retry-After", advice.encode())], b""
    if isinstance(answer, FailedAnswer):
        return 502, [], b""
    return answer.status, [(name.encode(), value.encode()) for name, value in answer.headers], answer.body
