"""HTTP/2, the server's side: what RFC 9113 has it refuse and how, budgets, windows that follow readers."""

from __future__ import annotations

import struct

import h2.config
import h2.connection
import h2.events
import pytest

from gorsefork.wire.http2.budget import ALLOWED, SECOND, FrameBudget, Kind
from gorsefork.wire.http2.goaway import BadGoAway, GoAway, Sieve
from gorsefork.wire.http2.session import Body, Bounds, Ended, Event, Finished, Opened, Reset, ServerSession

PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
HEAD = [(b":method", b"POST"), (b":scheme", b"http"), (b":authority", b"x"), (b":path", b"/a.B/C")]
DATA, HEADERS, PRIORITY, RST, SETTINGS, PUSH, PING, GOAWAY, WINDOW, CONTINUATION = range(10)


def frame(kind: int, flags: int, stream: int, payload: bytes = b"") -> bytes:
    """RFC 9113, 4.1."""
    return struct.pack(">I", len(payload))[1:] + bytes([kind, flags]) + struct.pack(">I", stream) + payload


def block(*headers: tuple[bytes, bytes]) -> bytes:
    """Literals without indexing, RFC 7541, 6.2.2; names and values under 127 bytes."""
    return b"".join(b"\x00" + bytes([len(n)]) + n + bytes([len(v)]) + v for n, v in headers)


GOOD = frame(HEADERS, 5, 1, block(*HEAD))
OPENED = frame(HEADERS, 4, 1, block(*HEAD))

# Section of RFC 9113, what a client sends after its preface and settings, and the error that it is owed.
CONNECTION_FAULTS = [
    ("4.2 a frame over the size allowed", frame(DATA, 0, 1, b"x" * 16_385), 0x6),
    ("4.3 a block that cannot be decompressed", frame(HEADERS, 5, 1, b"\xff\xff\xff\xff\xff"), 0x9),
    ("5.1 DATA on an idle stream", frame(DATA, 0, 1, b"x"), 0x1),
    ("5.1 WINDOW_UPDATE on an idle stream", frame(WINDOW, 0, 1, b"\0\0\0\1"), 0x1),
    ("5.1 RST_STREAM on an idle stream", frame(RST, 0, 1, b"\0\0\0\0"), 0x1),
    ("5.1.1 a stream with an even number", frame(HEADERS, 5, 2, block(*HEAD)), 0x1),
    (
        "5.1.1 a number below one used",
        frame(HEADERS, 5, 5, block(*HEAD)) + frame(HEADERS, 5, 3, block(*HEAD)),
        0x1,
    ),
    ("6.1 DATA on stream 0", frame(DATA, 0, 0, b"x"), 0x1),
    ("6.1 padding longer than the frame", OPENED + frame(DATA, 8, 1, b"\x09x"), 0x1),
    ("6.2 HEADERS on stream 0", frame(HEADERS, 5, 0, block(*HEAD)), 0x1),
    ("6.4 RST_STREAM of another size", GOOD + frame(RST, 0, 1, b"\0\0"), 0x6),
    ("6.5 SETTINGS on a stream", frame(SETTINGS, 0, 1), 0x1),
    ("6.5 an acknowledgement with something in it", frame(SETTINGS, 1, 0, b"\0" * 6), 0x6),
    ("6.5 SETTINGS of another size", frame(SETTINGS, 0, 0, b"\0" * 5), 0x6),
    ("6.5.2 a window over 2^31-1", frame(SETTINGS, 0, 0, b"\0\4\xff\xff\xff\xff"), 0x3),
    ("6.6 PUSH_PROMISE from a client", frame(PUSH, 4, 1, b"\0\0\0\2"), 0x1),
    ("6.7 PING of another size", frame(PING, 0, 0, b"x"), 0x6),
    ("6.7 PING on a stream", frame(PING, 0, 1, b"\0" * 8), 0x1),
    ("6.8 GOAWAY on a stream", frame(GOAWAY, 0, 1, b"\0" * 8), 0x1),
    ("6.9 WINDOW_UPDATE of nothing", frame(WINDOW, 0, 0, b"\0\0\0\0"), 0x1),
    ("6.9.1 a window that overflows", frame(WINDOW, 0, 0, b"\x7f\xff\xff\xff"), 0x3),
    ("6.10 CONTINUATION of nothing", frame(CONTINUATION, 4, 1, b""), 0x1),
    (
        "6.10 another frame inside a block",
        frame(HEADERS, 1, 1, block(*HEAD)) + frame(PING, 0, 0, b"\0" * 8),
        0x1,
    ),
]


def session(bounds: Bounds | None = None) -> ServerSession:
    made = ServerSession(bounds)
    assert made.receive(PREFACE + frame(SETTINGS, 0, 0), 0)
    made.pending()
    return made


def goaway(sent: bytes) -> int | None:
    """The error of the GOAWAY in what was sent."""
    while sent:
        size = int.from_bytes(sent[:3], "big")
        if sent[3] == GOAWAY:
            return int.from_bytes(sent[13:17], "big")
        sent = sent[9 + size :]
    return None


@pytest.mark.parametrize(("section", "sent", "code"), CONNECTION_FAULTS, ids=lambda v: str(v)[:24])
def test_a_fault_ends_the_connection_with_the_error_it_is_owed(section: str, sent: bytes, code: int) -> None:
    made = session()
    ends = [event for event in made.receive(sent, 0) if isinstance(event, Ended)]
    assert len(ends) == 1 and (ends[0].code, goaway(made.pending())) == (code, code), (section, ends)
    assert made.receive(GOOD, 0) == []


def test_another_protocols_preface_is_refused() -> None:
    made = ServerSession()
    (end,) = made.receive(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n", 0)
    assert isinstance(end, Ended) and end.code == 0x1


def flood(kind: Kind) -> bytes:
    return {
        "ping": frame(PING, 0, 0, b"\0" * 8),
        "settings": frame(SETTINGS, 0, 0, b"\0\3\0\0\0\7"),
        "empty": frame(DATA, 0, 1),
        "window": frame(WINDOW, 0, 0, b"\0\0\0\1"),
        "priority": frame(PRIORITY, 0, 1, b"\0\0\0\0\1"),
    }[kind]


@pytest.mark.parametrize("kind", ["ping", "settings", "empty", "window", "priority"])
def test_a_flood_ends_its_connection_at_its_budget_and_a_few_do_not(kind: Kind) -> None:
    made = session()
    made.receive(OPENED, 0)
    events = made.receive(flood(kind) * (int(ALLOWED[kind].burst) - 2), 0)
    assert not any(isinstance(event, Ended) for event in events)
    end = made.receive(flood(kind) * 4, 0)[-1]
    assert isinstance(end, Ended) and end.code == 0xB and goaway(made.pending()) == 0xB


def test_streams_opened_and_reset_at_once_are_bounded() -> None:
    made, events, stream = session(), list[Event](), 1
    while not made.over and stream < 2000:
        events += made.receive(frame(HEADERS, 5, stream, block(*HEAD)), 0)
        events += made.receive(frame(RST, 0, stream, b"\0\0\0\x08"), 0)
        stream += 2
    opened = sum(isinstance(event, Opened) for event in events)
    assert made.over and opened <= ALLOWED["reset"].burst + 1 and not made.open


def test_a_budget_fills_again_with_time() -> None:
    budget = FrameBudget()
    assert sum(budget.take("ping", 0) for _ in range(50)) == 20
    assert not budget.take("ping", SECOND) and budget.take("ping", 60 * SECOND)


def test_a_header_bomb_and_a_flood_of_continuations_end_their_connection() -> None:
    bomb = block(*HEAD, *[(b"x-%d" % n, b"y" * 100) for n in range(300)])
    pieces = [bomb[at : at + 16_000] for at in range(0, len(bomb), 16_000)]
    sent = frame(HEADERS, 1, 1, pieces[0])
    sent += b"".join(frame(CONTINUATION, 4 if piece is pieces[-1] else 0, 1, piece) for piece in pieces[1:])
    for flood in (sent, frame(HEADERS, 1, 1, block(*HEAD)) + frame(CONTINUATION, 0, 1, b"") * 200):
        made = session()
        assert any(isinstance(event, Ended) for event in made.receive(flood, 0))


class Client:
    """h2's own client at the other end, to see a session from there."""

    def __init__(self, bounds: Bounds | None = None) -> None:
        config = h2.config.H2Configuration(client_side=True, header_encoding=None)
        self.h2 = h2.connection.H2Connection(config)
        self.h2.initiate_connection()
        self.server = ServerSession(bounds)
        self.heard: list[h2.events.Event] = []
        self.seen: list[Event] = []
        self.pass_on()

    def pass_on(self) -> list[Event]:
        events: list[Event] = []
        while True:
            up, down = self.h2.data_to_send(), b""
            if up:
                events += self.server.receive(up, 0)
            if down := self.server.pending():
                self.heard += self.h2.receive_data(down)
            if not up and not down:
                self.seen += events
                return events


def test_a_call_with_trailers_both_ways() -> None:
    client = Client()
    client.h2.send_headers(1, HEAD)
    client.h2.send_data(1, b"ask")
    client.h2.send_headers(1, [(b"x-sum", b"1")], end_stream=True)
    kinds = [type(event) for event in client.pass_on()]
    assert kinds[:2] == [Opened, Body] and Finished in kinds
    client.server.head(1, [(b":status", b"200")])
    assert client.server.send(1, memoryview(b"answer")) == 6
    client.server.head(1, [(b"grpc-status", b"0")], ends=True)
    client.pass_on()
    assert any(
        isinstance(e, h2.events.TrailersReceived) and e.headers == [(b"grpc-status", b"0")]
        for e in client.heard
    )
    assert not client.server.open


def test_a_writer_is_held_up_by_its_own_slow_reader_and_by_no_other() -> None:
    client = Client(Bounds(stream_window=1000, connection_window=70_000))
    for stream in (1, 3):
        client.h2.send_headers(stream, HEAD)
    client.h2.send_data(1, b"x" * 1000)
    (*_, body) = client.pass_on()
    assert isinstance(body, Body) and client.h2.local_flow_control_window(1) == 0
    client.h2.send_data(3, b"y" * 1000)
    client.pass_on()
    assert client.server.unread == 2000
    client.server.consumed(1, body.credit)
    client.pass_on()
    assert client.h2.local_flow_control_window(1) > 0 and client.h2.local_flow_control_window(3) == 0


def test_what_a_dead_stream_left_unread_is_given_back_to_the_connection() -> None:
    client = Client(Bounds(stream_window=60_000, connection_window=70_000))
    client.h2.send_headers(1, HEAD)
    client.h2.send_data(1, b"x" * 16_000)
    (*_, body) = client.pass_on()
    assert isinstance(body, Body)
    client.h2.reset_stream(1, 8)
    assert any(isinstance(event, Reset) for event in client.pass_on())
    client.server.consumed(1, body.credit)
    client.pass_on()
    assert client.server.unread == 0 and client.h2.outbound_flow_control_window == 70_000


def test_a_reader_that_stalls_gets_a_window_and_no_more() -> None:
    client = Client()
    client.h2.send_headers(1, HEAD, end_stream=True)
    client.pass_on()
    client.server.head(1, [(b":status", b"200")])
    data, sent = memoryview(b"z" * 200_000), 0
    while (size := client.server.send(1, data[sent:])) > 0:
        sent += size
    assert sent == 65_535 and client.server.room(1) == 0


def going(last: int, code: int = 0, debug: bytes = b"") -> bytes:
    return frame(GOAWAY, 0, 0, struct.pack(">II", last, code) + debug)


@pytest.mark.parametrize("step", [1, 2, 7, 9, 10, 1000])
def test_goaway_is_taken_out_and_all_else_passes_as_it_came_however_it_is_cut(step: int) -> None:
    """A GOAWAY-like byte inside a body is no GOAWAY."""
    rest = [frame(SETTINGS, 0, 0), frame(DATA, 0, 1, going(9) * 3), frame(PING, 0, 0, b"\7" * 8)]
    data = rest[0] + going(5) + rest[1] + going(3, 2, b"bye") + rest[2]
    sieve, through, found = Sieve(), b"", list[GoAway]()
    for at in range(0, len(data), step):
        part, more = sieve.feed(data[at : at + step])
        through, found = through + part, found + more
    assert through == b"".join(rest) and found == [GoAway(5, 0), GoAway(3, 2)] and sieve.held == b""


def test_a_stream_below_the_last_id_goes_on_to_its_end_after_goaway() -> None:
    client, sieve = Client(), Sieve()
    client.h2.send_headers(1, HEAD, end_stream=True)
    client.pass_on()
    client.server.head(1, [(b":status", b"200")])
    client.server.head(1, [(b"grpc-status", b"0")], ends=True)
    through, found = sieve.feed(going(1) + client.server.pending())
    assert found == [GoAway(1, 0)]
    assert any(isinstance(event, h2.events.TrailersReceived) for event in client.h2.receive_data(through))


@pytest.mark.parametrize(
    ("bad", "code"),
    [
        (frame(GOAWAY, 0, 1, b"\0" * 8), 0x1),
        (frame(GOAWAY, 0, 0, b"\0" * 7), 0x6),
        (frame(GOAWAY, 0, 0, b"\0" * 20_000), 0x6),
    ],
)
def test_a_goaway_that_is_none_has_its_error(bad: bytes, code: int) -> None:
    with pytest.raises(BadGoAway) as refused:
        Sieve().feed(bad)
    assert refused.value.code == code
