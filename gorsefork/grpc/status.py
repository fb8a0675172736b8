"""Status codes and messages, as gRPC's "Status codes and their use" and "HTTP to gRPC status" have them."""

from __future__ import annotations

import re
from enum import IntEnum
from urllib.parse import quote, unquote_to_bytes


class Code(IntEnum):
    OK = 0
    CANCELLED = 1
    UNKNOWN = 2
    INVALID_ARGUMENT = 3
    DEADLINE_EXCEEDED = 4
    NOT_FOUND = 5
    ALREADY_EXISTS = 6
    PERMISSION_DENIED = 7
    RESOURCE_EXHAUSTED = 8
    FAILED_PRECONDITION = 9
    ABORTED = 10
    OUT_OF_RANGE = 11
    UNIMPLEMENTED = 12
    INTERNAL = 13
    UNAVAILABLE = 14
    DATA_LOSS = 15
    UNAUTHENTICATED = 16


# What a client is to make of an answer that is not gRPC's own, by its HTTP status.
FROM_HTTP = {
    400: Code.INTERNAL,
    401: Code.UNAUTHENTICATED,
    403: Code.PERMISSION_DENIED,
    404: Code.UNIMPLEMENTED,
    429: Code.UNAVAILABLE,
    502: Code.UNAVAILABLE,
    503: Code.UNAVAILABLE,
    504: Code.UNAVAILABLE,
}
DIGITS = re.compile(rb"[0-9]{1,3}")
MOST_MESSAGE = 1024  # bytes of a message that are passed on, as they stand


def read_code(value: bytes) -> Code | None:
    """None for what is no number, or one that the protocol does not know: both count as UNKNOWN."""
    if not DIGITS.fullmatch(value) or int(value) > max(Code):
        return None
    return Code(int(value))


def from_http(status: int) -> Code:
    return FROM_HTTP.get(status, Code.UNKNOWN)


def write_message(text: str) -> bytes:
    """Percent-encoded: space to tilde stand for themselves, but for the percent sign."""
    plain = "".join(chr(each) for each in range(0x20, 0x7F) if chr(each) != "%")
    return quote(text.encode("utf-8"), safe=plain).encode("ascii")[:MOST_MESSAGE]


def read_message(value: bytes) -> str:
    """Never fails, as the protocol asks: what is badly encoded is shown as it came."""
    return unquote_to_bytes(value).decode("utf-8", "replace")
