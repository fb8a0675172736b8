"""The parser's bounds: fields of a head, lines of a body, events of a step; and what they leave unchanged."""

from __future__ import annotations

import h11
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from gorsefork.wire.http1.paced_parser import (
    MAX_HEAD_BYTES,
    MAX_HEAD_FIELDS,
    MAX_PARTIAL_BYTES,
    MAX_STEP_EVENTS,
    STEP_DONE,
    PacedParser,
)

HEAD = b"POST /buy HTTP/1.1\r\nHost: x\r\n"


def read_requests(parser: PacedParser, body: bytearray | None = None) -> tuple[list[bytes], int]:
    """The bodies of all whole requests, each answered, and the steps that it took.

    ``body``: what has come so far of the first one, and then of the one that is not whole.
    """
    bodies, steps = list[bytes](), 1
    body = bytearray() if body is None else body
    while True:
        event = parser.next_event()
        if event is STEP_DONE:
            parser.begin_step()
            steps += 1
        elif isinstance(event, h11.Data):
            body += event.data
        elif isinstance(event, h11.EndOfMessage):
            bodies.append(bytes(body))
            body.clear()
            parser.http.send(h11.Response(status_code=200, headers=[("Content-Length", "0")]))
            parser.http.send(h11.EndOfMessage())
            if parser.is_done():
                parser.start_next_cycle()
        elif not isinstance(event, h11.Request):
            return bodies, steps


def chunked(pieces: list[bytes]) -> bytes:
    chunks = b"".join(f"{len(piece):x}\r\n".encode() + piece + b"\r\n" for piece in pieces if piece)
    return HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + chunks + b"0\r\n\r\n"


def sized(body: bytes) -> bytes:
    return HEAD + f"Content-Length: {len(body)}\r\n\r\n".encode() + body


Bodies = st.lists(st.tuples(st.booleans(), st.lists(st.binary(max_size=300), max_size=12)), max_size=5)


@settings(deadline=None)
@given(Bodies, st.integers(1, 700))
def test_requests_sent_at_once_are_read_the_same_whatever_the_pieces(
    requests: list[tuple[bool, list[bytes]]], piece: int
) -> None:
    data = b"".join(chunked(parts) if in_chunks else sized(b"".join(parts)) for in_chunks, parts in requests)
    parser, bodies, body = PacedParser(h11.SERVER), list[bytes](), bytearray()
    for start in range(0, len(data), piece):
        parser.receive(data[start : start + piece])
        bodies += read_requests(parser, body)[0]
    assert bodies == [b"".join(parts) for _, parts in requests] and not parser.has_surplus()


def test_a_body_of_very_many_chunks_takes_many_steps() -> None:
    """Guards against one client that holds up all others with a read of thousands of chunks."""
    parser = PacedParser(h11.SERVER)
    parser.receive(chunked([b"x"] * 10_000))
    bodies, steps = read_requests(parser)
    assert bodies == [b"x" * 10_000] and steps >= 10_000 // MAX_STEP_EVENTS


@pytest.mark.parametrize("whole", [True, False])
def test_a_head_of_very_many_fields_is_refused_before_it_is_parsed(whole: bool) -> None:
    """Guards against heads of thousands of short fields: each took some 10 ms, and held 1 MB."""
    parser = PacedParser(h11.SERVER)
    fields = b"".join(b"%x:\r\n" % number for number in range(MAX_HEAD_FIELDS + 1))
    parser.receive(HEAD + fields + b"\r\n" * whole)
    with pytest.raises(h11.RemoteProtocolError) as raised:
        parser.next_event()
    assert raised.value.error_status_hint == 431


def test_as_many_fields_as_are_allowed_are_read() -> None:
    parser = PacedParser(h11.SERVER)
    fields = b"".join(b"%x:\r\n" % number for number in range(MAX_HEAD_FIELDS - 2))
    parser.receive(HEAD + fields + b"Content-Length: 2\r\n\r\nab")
    assert read_requests(parser)[0] == [b"ab"]


@pytest.mark.parametrize(
    "data",
    [
        HEAD + b"A: " + b"x" * MAX_HEAD_BYTES,
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n1;" + b"e" * (MAX_PARTIAL_BYTES + 2),
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n0\r\n" + b"a:\r\n" * MAX_PARTIAL_BYTES,
    ],
    ids=["head", "chunk extension", "trailers"],
)
def test_what_does_not_end_is_refused(data: bytes) -> None:
    parser = PacedParser(h11.SERVER)
    parser.receive(data)
    with pytest.raises(h11.RemoteProtocolError) as raised:
        read_requests(parser)
    assert raised.value.error_status_hint == 431


@pytest.mark.parametrize("data", [b"\x00", b"\r\n", b" GET", b"GET / HTTP/9\r\n\r\n"])
def test_what_makes_no_sense_is_refused_at_once(data: bytes) -> None:
    parser = PacedParser(h11.SERVER)
    parser.receive(data)
    with pytest.raises(h11.RemoteProtocolError):
        read_requests(parser)


def test_an_answer_that_ends_with_its_connection_is_read_to_its_end() -> None:
    parser = PacedParser(h11.CLIENT)
    parser.http.send(h11.Request(method="GET", target="/", headers=[("Host", "x")]))
    parser.http.send(h11.EndOfMessage())
    parser.receive(b"HTTP/1.1 200 OK\r\n\r\nall")
    body = b""
    while not isinstance(event := parser.next_event(), h11.EndOfMessage):
        if isinstance(event, h11.Data):
            body += event.data
        elif event is h11.NEED_DATA:
            parser.receive(b"")
    assert body == b"all"


def test_a_head_cut_short_by_the_end_is_an_error() -> None:
    parser = PacedParser(h11.CLIENT)
    parser.http.send(h11.Request(method="GET", target="/", headers=[("Host", "x")]))
    parser.http.send(h11.EndOfMessage())
    parser.receive(b"HTTP/1.1 200 OK\r\nA")
    assert parser.next_event() is h11.NEED_DATA
    parser.receive(b"")
    with pytest.raises(h11.RemoteProtocolError):
        parser.next_event()
