"""An HTTP/1.1 parser that does a bounded amount of work at a time.

h11 acts at once on all that it is given, and a few kilobytes can hold thousands of fields or chunks. Here it
gets whole heads with a bounded number of fields, and bodies in pieces with a bounded number of lines; after
some events ``next_event`` asks its caller to let others go first. What is not parsed yet stays outside h11.
"""

from __future__ import annotations

import re
from typing import TypeAlias

import h11

MAX_HEAD_BYTES = 16384
MAX_HEAD_FIELDS = 100
MAX_HEAD_LINES = MAX_HEAD_FIELDS + 2  # the first line, and the empty one
MAX_PIECE_LINES = 128  # of a chunked body: one for a chunk's size, one behind its data
MAX_PARTIAL_BYTES = 2048  # of a chunk's size with its extensions, or of trailers
MAX_STEP_EVENTS = 32
USUAL_REQUEST_BYTES = 2048  # of a head and what comes with it; a connection with more takes turns with others
BLANK_LINE = re.compile(rb"\n\r?\n")
CONTENT_LENGTH = re.compile(rb"(?i)\ncontent-length:")
BLANK_LINE_OVERLAP = 2  # bytes of an empty line that may have come with the piece before
FIRST_VISIBLE = 0x21  # the least byte that a head begins with; h11 refuses it by its first byte
REFUSED_BYTES = 16  # of what makes no sense, for h11 to refuse


class STEP_DONE:
    """Returned by ``next_event`` where the step's work is done and more may be left: see ``begin_step``."""


ParserEvent: TypeAlias = h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED] | type[STEP_DONE]


class PacedParser:
    """One side of a connection. ``pending``: bytes that have come and were not given to h11 yet.

    Errors are h11's: ``h11.RemoteProtocolError``, with status 431 for heads and trailers beyond the bounds.
    """

    def __init__(self, role: type[h11.CLIENT] | type[h11.SERVER]) -> None:
        self.role = role
        self.http = self.new_connection()
        self.pending = bytearray()
        self.peer_ended = self.end_told = False
        self.body_left: int | None = None  # bytes of a body with a known length; None: it has none
        self.events = 0  # of this step
        self.searched = self.head_lines = 0  # of ``pending``, for the end of a head

    def new_connection(self) -> h11.Connection:
        return h11.Connection(self.role, max_incomplete_event_size=MAX_PARTIAL_BYTES)

    def receive(self, data: bytes) -> None:
        """Add what came, which begins a step; no bytes mean that the other side has ended."""
        self.pending += data
        self.peer_ended |= not data
        self.begin_step()

    def begin_step(self) -> None:
        """Allow further events; other connections have had their turn."""
        self.events = 0

    def next_event(self) -> ParserEvent:
        """The next event, ``NEED_DATA``, ``PAUSED`` behind a whole message, or ``STEP_DONE``."""
        if self.events >= MAX_STEP_EVENTS:
            return STEP_DONE
        self.events += 1
        while True:
            event = self.http.next_event()
            if event is not h11.NEED_DATA:
                if isinstance(event, h11.Request | h11.Response):
                    self.body_left = body_length(event)
                elif isinstance(event, h11.Data) and self.body_left is not None:
                    self.body_left = max(0, self.body_left - len(event.data))
                return event
            if self.pending and self.http.their_state is h11.DONE:
                return h11.PAUSED
            if (piece := self.next_piece()) is None:
                return h11.NEED_DATA
            self.http.receive_data(piece)

    def expects_data(self) -> bool:
        """Whether bytes that come now belong to the current message, or begin it."""
        return self.expects_head() or self.http.their_state is h11.SEND_BODY

    def expects_head(self) -> bool:
        return self.http.their_state in (h11.IDLE, h11.SEND_RESPONSE)

    def is_in_body(self) -> bool:
        """Whether the other side is in the middle of a body."""
        return self.http.their_state is h11.SEND_BODY

    def has_long_input(self) -> bool:
        """Whether more has come than a usual request, other than of a body whose length is known."""
        return len(self.pending) > USUAL_REQUEST_BYTES and (self.body_left is None or not self.is_in_body())

    def has_usual_head(self) -> bool:
        """Whether what has come is a head of usual length, and behind it a body of a known length."""
        if not self.expects_head():
            return False
        end = BLANK_LINE.search(self.pending, 0, USUAL_REQUEST_BYTES)
        return end is not None and CONTENT_LENGTH.search(self.pending, 0, end.end()) is not None

    def is_done(self) -> bool:
        """Whether both sides have ended their messages, and the connection may carry more."""
        return self.http.our_state is h11.DONE and self.http.their_state is h11.DONE

    def has_surplus(self) -> bool:
        """Whether bytes have come that belong to no message so far."""
        return bool(self.pending or self.http.trailing_data[0])

    def start_next_cycle(self) -> None:
        """After ``is_done``: the next message, which may have come in part."""
        if rest := self.http.trailing_data[0]:
            self.pending[:0] = rest
            self.http = self.new_connection()
        else:
            self.http.start_next_cycle()
        self.body_left, self.searched, self.head_lines = None, 0, 0

    def clear(self) -> None:
        """Drop what came and was not parsed."""
        self.pending = bytearray()
        self.searched = self.head_lines = 0

    def next_piece(self) -> bytes | None:
        """What h11 is to get next; None if nothing, or no whole head, has come."""
        if not self.pending:
            if not self.peer_ended or self.end_told:
                return None
            self.end_told = True
            return b""
        if self.expects_head():
            size = self.head_size()
        elif self.is_in_body():
            size = self.body_piece_size()
        else:
            size = REFUSED_BYTES  # nothing may come any more
        if not size:
            return None
        piece = bytes(self.pending[:size])
        del self.pending[:size]
        self.searched = self.head_lines = 0
        return piece

    def head_size(self) -> int:
        """The bytes of a whole head, 0 if it has not come whole."""
        if self.pending[0] < FIRST_VISIBLE:
            return REFUSED_BYTES
        found = BLANK_LINE.search(self.pending, max(0, self.searched - BLANK_LINE_OVERLAP))
        end = found.end() if found else len(self.pending)
        self.head_lines += self.pending.count(b"\n", self.searched, end)
        self.searched = end
        if end > MAX_HEAD_BYTES or self.head_lines > MAX_HEAD_LINES:
            raise h11.RemoteProtocolError("the head is too large", error_status_hint=431)
        return end if found or self.peer_ended else 0

    def body_piece_size(self) -> int:
        """The bytes of a body that are parsed at once. Only those of a chunked one are told by lines."""
        if self.body_left is not None:
            return min(len(self.pending), self.body_left)
        if self.pending.count(b"\n") <= MAX_PIECE_LINES:
            return len(self.pending)
        end = 0
        for _ in range(MAX_PIECE_LINES):
            end = self.pending.index(b"\n", end) + 1
        return end


def body_length(head: h11.Request | h11.Response) -> int | None:
    """The length that a head tells of its body, None if it is chunked or ends with the connection."""
    return next((int(value) for name, value in head.headers if name == b"content-length"), None)
