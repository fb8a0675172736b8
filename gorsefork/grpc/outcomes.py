"""What the end of an attempt at a backend means: for the module, for the client, and for the count of use.

One table, in ``TABLE``; docs/grpc-outcomes.md shows the same, and a test holds the two together. Three
questions are kept apart. Has it run? Only a proof that it did not lets a call be sent again, or refused. Is
it the client's answer? A status of the application's own is, whatever it says. Does it count? Only OK does.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from gorsefork.decisions.interface import Status
from gorsefork.grpc.status import Code, from_http, read_code


class End(Enum):
    """How an attempt's stream ended, as its connection saw it."""

    TRAILERS = "trailers after the head"
    TRAILERS_ONLY = "a head that ends the stream"
    NO_TRAILERS = "the stream ended without trailers"
    REFUSED_STREAM = "RST_STREAM REFUSED_STREAM, or above GOAWAY's last id"
    RESET_NO_ERROR = "RST_STREAM NO_ERROR before the end"
    RESET = "RST_STREAM with any other code"
    LOST = "the connection broke"
    NO_CONNECTION = "no connection was had"
    DEADLINE = "nothing, until the deadline"
    CALLED_OFF = "called off here"


class Sent(Enum):
    """What of the request had been written."""

    NOTHING = "nothing"
    PART = "a part"
    WHOLE = "all of it"


class Use(Enum):
    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class Reading:
    """What was seen of one attempt. ``head`` and ``trailers``: the bytes of ``grpc-status`` there, if any."""

    end: End
    sent: Sent = Sent.WHOLE
    http: int | None = None  # the status of the head; None if none came
    head: bytes | None = None
    trailers: bytes | None = None
    never_ran: bool = False  # the backend's own word, in the block that ends the stream


@dataclass(frozen=True, slots=True)
class Verdict:
    """``status`` is the module's word for it; ``answer``: the client gets the backend's status unchanged.

    ``code`` is what the client gets where the module gives the call up after this attempt.
    """

    status: Status
    code: Code
    use: Use
    answer: bool = False

    @property
    def may_have_run(self) -> bool:
        return self.status not in ("full", "connect_failed", "moot")


SERVED = Verdict("ok", Code.OK, Use.SERVED, answer=True)

# An application's answers that speak of the request, not of the backend: final, whoever would serve it next.
OF_THE_REQUEST = frozenset(
    (
        Code.INVALID_ARGUMENT,
        Code.NOT_FOUND,
        Code.ALREADY_EXISTS,
        Code.PERMISSION_DENIED,
        Code.FAILED_PRECONDITION,
        Code.OUT_OF_RANGE,
        Code.UNIMPLEMENTED,
        Code.UNAUTHENTICATED,
        Code.ABORTED,
    )
)

# Where no status came. By the end alone; ``read`` adds what had been sent.
TABLE: dict[End, Verdict] = {
    End.NO_TRAILERS: Verdict("error", Code.INTERNAL, Use.FAILED),
    End.REFUSED_STREAM: Verdict("full", Code.UNAVAILABLE, Use.REFUSED),
    End.RESET_NO_ERROR: Verdict("reset", Code.UNAVAILABLE, Use.FAILED),
    End.RESET: Verdict("reset", Code.UNAVAILABLE, Use.FAILED),
    End.LOST: Verdict("reset", Code.UNAVAILABLE, Use.FAILED),
    End.NO_CONNECTION: Verdict("connect_failed", Code.UNAVAILABLE, Use.REFUSED),
    End.DEADLINE: Verdict("timeout", Code.DEADLINE_EXCEEDED, Use.FAILED),
    End.CALLED_OFF: Verdict("cancelled", Code.CANCELLED, Use.FAILED),
}
NEVER_LEFT: dict[End, Verdict] = {  # the same with the request's last byte not written
    End.LOST: Verdict("connect_failed", Code.UNAVAILABLE, Use.REFUSED),
    End.DEADLINE: Verdict("connect_failed", Code.DEADLINE_EXCEEDED, Use.REFUSED),
    End.CALLED_OFF: Verdict("moot", Code.CANCELLED, Use.REFUSED),
}


def read(seen: Reading, streaming: bool = False) -> Verdict:
    """The verdict on an attempt. ``streaming``: its request is a stream, whose first messages may have run
    long before its last byte is written: with a part sent nothing proves that it did not run."""
    unsent = seen.sent is Sent.NOTHING or (seen.sent is Sent.PART and not streaming)
    if seen.end not in (End.TRAILERS, End.TRAILERS_ONLY):
        return NEVER_LEFT[seen.end] if unsent and seen.end in NEVER_LEFT else TABLE[seen.end]
    if seen.http != 200:
        # What stands in front of a backend says so; a grpc-status beside it is not the application's word.
        if seen.never_ran:
            return Verdict("full", Code.UNAVAILABLE, Use.REFUSED)
        return Verdict("error", from_http(seen.http or 0), Use.FAILED)
    value = seen.trailers if seen.end is End.TRAILERS else seen.head
    if value is None:  # a status in the head of a stream that went on is none: it could not know the end
        return Verdict("error", Code.UNKNOWN, Use.FAILED)
    code = read_code(value)
    if code is Code.OK:
        return SERVED
    if code is None:
        return Verdict("error", Code.UNKNOWN, Use.FAILED)
    if seen.never_ran and code in (Code.UNAVAILABLE, Code.RESOURCE_EXHAUSTED):
        return Verdict("full", code, Use.REFUSED)
    return Verdict("error", code, Use.FAILED, answer=code in OF_THE_REQUEST)
