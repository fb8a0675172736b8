"""The server's side of one HTTP/2 connection, with no I/O: bytes in, events out, bytes to send.

h2 holds the protocol's state; what is here is what it leaves open: the budgets, the bound on what a stream
and the connection may have unread, and an end that tells its error. A peer's window grows only as what it
sent is consumed (``consumed``), so that the slowest reader holds up its writer and nobody else.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

import h2.config
import h2.connection
import h2.errors
import h2.events
import h2.exceptions
import h2.settings
import hpack
import hyperframe.exceptions
import hyperframe.frame

from gorsefork.wire.http2.budget import FrameBudget, Kind

Headers = Sequence[tuple[bytes, bytes]]
Codes = h2.errors.ErrorCodes


@dataclass(frozen=True, slots=True)
class Bounds:
    """Of one connection. Bytes but for ``streams``, which may be open at once."""

    streams: int = 100
    stream_window: int = 65_535
    connection_window: int = 262_144
    header_list: int = 16_384
    frame: int = 16_384


@dataclass(frozen=True, slots=True)
class Opened:
    """A request's head. ``ends``: nothing follows it."""

    stream: int
    headers: Headers
    ends: bool


@dataclass(frozen=True, slots=True)
class Body:
    """A part of a body; ``credit`` bytes are to be named to ``consumed`` once it is out of the way."""

    stream: int
    data: bytes
    credit: int


@dataclass(frozen=True, slots=True)
class Finished:
    """The peer has sent all; ``trailers`` where it closed with some."""

    stream: int
    trailers: Headers = ()


@dataclass(frozen=True, slots=True)
class Reset:
    """The peer wants no more of that stream."""

    stream: int
    code: int


@dataclass(frozen=True, slots=True)
class Room:
    """More may be sent: on one stream, or on all (0)."""

    stream: int


@dataclass(frozen=True, slots=True)
class Ended:
    """The connection is over; what is to be sent still says why. ``code`` of RFC 9113, 7."""

    code: int
    reason: str


Event = Opened | Body | Finished | Reset | Room | Ended


class ServerSession:
    """Feed ``receive``, send what ``pending`` gives after every call, close after ``Ended``."""

    def __init__(self, bounds: Bounds | None = None) -> None:
        self.bounds = bounds or Bounds()
        config = h2.config.H2Configuration(client_side=False, header_encoding=None)
        self.h2 = h2.connection.H2Connection(config)
        codes = h2.settings.SettingCodes
        self.h2.local_settings = h2.settings.Settings(
            client=False,
            initial_values={
                codes.MAX_CONCURRENT_STREAMS: self.bounds.streams,
                codes.INITIAL_WINDOW_SIZE: self.bounds.stream_window,
                codes.MAX_HEADER_LIST_SIZE: self.bounds.header_list,
                codes.MAX_FRAME_SIZE: self.bounds.frame,
                codes.ENABLE_PUSH: 0,
            },
        )
        self.budget = FrameBudget()
        self.h2.decoder.max_header_list_size = self.bounds.header_list  # from the first byte on
        self.over = False
        self.unsent = b""
        self.open: set[int] = set()
        self.unread = 0  # bytes that were handed on and not consumed yet
        self.h2.initiate_connection()
        self.h2.increment_flow_control_window(self.bounds.connection_window - 65_535)

    def pending(self) -> bytes:
        """What is to be sent next."""
        data, self.unsent = self.unsent + (b"" if self.over else self.h2.data_to_send()), b""
        return data

    def receive(self, data: bytes, now: int) -> list[Event]:
        """What the bytes say. A fault of the peer's ends the connection here, with its error to be sent."""
        if self.over:
            return []
        self.unsent += self.h2.data_to_send()
        try:
            heard = self.h2.receive_data(data)
        except h2.exceptions.ProtocolError as error:
            return [self.end(owed(error), str(error))]
        events: list[Event] = []
        for each in heard:
            if (kind := cost(each, self.open)) is not None and not self.budget.take(kind, now):
                return [*events, self.end(Codes.ENHANCE_YOUR_CALM, f"too many frames: {kind}")]
            events += self.translate(each)
            if self.over:
                break
        return events

    def translate(self, event: h2.events.Event) -> list[Event]:
        if isinstance(event, h2.events.RequestReceived):
            self.open.add(event.stream_id)
            return [Opened(event.stream_id, event.headers, event.stream_ended is not None)]
        if isinstance(event, h2.events.DataReceived):
            self.unread += event.flow_controlled_length
            return [Body(event.stream_id, event.data, event.flow_controlled_length)]
        if isinstance(event, h2.events.TrailersReceived):
            return [Finished(event.stream_id, event.headers)]
        if isinstance(event, h2.events.StreamEnded):
            return [Finished(event.stream_id)]
        if isinstance(event, h2.events.StreamReset):
            self.open.discard(event.stream_id)
            return [Reset(event.stream_id, int(event.error_code))]
        if isinstance(event, h2.events.WindowUpdated):
            return [Room(event.stream_id)]
        if isinstance(event, h2.events.RemoteSettingsChanged):
            return [Room(0)]
        if isinstance(event, h2.events.ConnectionTerminated):
            return [self.end(Codes.NO_ERROR, f"the peer said GOAWAY {int(event.error_code or 0)}")]
        return []

    def end(self, code: int, reason: str) -> Ended:
        """Guards against going on with a peer after its fault. GOAWAY names the last stream that was taken;
        it is written here, as h2 has another opinion of some errors."""
        goaway = hyperframe.frame.GoAwayFrame(0, self.h2.highest_inbound_stream_id, int(code))
        self.unsent += goaway.serialize()
        self.over = True
        self.open.clear()
        return Ended(int(code), reason)

    def room(self, stream: int) -> int:
        """How many bytes may go out on that stream now, in one frame."""
        if self.over or stream not in self.open:
            return 0
        return min(self.h2.local_flow_control_window(stream), self.h2.max_outbound_frame_size)

    def head(self, stream: int, headers: Headers, ends: bool = False) -> None:
        """A response's head, or its trailers where ``ends`` and a head went before."""
        if not self.over and stream in self.open:
            self.h2.send_headers(stream, headers, end_stream=ends)
            self.finished(stream, ends)

    def send(self, stream: int, data: memoryview, ends: bool = False) -> int:
        """As much of ``data`` as there is room for; the rest is the caller's, until ``Room``."""
        size = min(len(data), self.room(stream))
        if self.over or stream not in self.open or (size == 0 and not (ends and not data)):
            return 0
        last = ends and size == len(data)
        self.h2.send_data(stream, bytes(data[:size]), end_stream=last)
        self.finished(stream, last)
        return size

    def finished(self, stream: int, ends: bool) -> None:
        if ends:
            self.open.discard(stream)

    def consumed(self, stream: int, credit: int) -> None:
        """The reader has taken so much: the peer may send as much more, if that stream goes on."""
        self.unread -= credit
        if self.over or credit == 0:
            return
        if stream in self.open:
            self.h2.acknowledge_received_data(credit, stream)
        else:  # the connection's part of it is free again all the same
            self.h2.increment_flow_control_window(credit)

    def reset(self, stream: int, code: int) -> None:
        if not self.over and stream in self.open:
            self.open.discard(stream)
            self.h2.reset_stream(stream, code)


def owed(error: h2.exceptions.ProtocolError) -> int:
    """The code that RFC 9113 asks for: h2 says PROTOCOL_ERROR of two faults that have codes of their own."""
    cause = error.__cause__
    if isinstance(cause, hpack.HPACKError) and not isinstance(cause, hpack.OversizedHeaderListError):
        return Codes.COMPRESSION_ERROR  # 4.3
    if isinstance(cause, hyperframe.exceptions.InvalidDataError) and "ack frame must not have" in str(cause):
        return Codes.FRAME_SIZE_ERROR  # 6.5
    return int(getattr(error, "error_code", Codes.PROTOCOL_ERROR))


def cost(event: h2.events.Event, open_streams: set[int]) -> Kind | None:
    """The budget that an event draws on, if any."""
    if isinstance(event, h2.events.StreamReset):
        return "reset" if event.remote_reset else None
    if isinstance(event, h2.events.PingReceived):
        return "ping"
    if isinstance(event, h2.events.RemoteSettingsChanged):
        return "settings"
    if isinstance(event, h2.events.WindowUpdated):
        return "window"
    if isinstance(event, h2.events.PriorityUpdated):
        return "priority"
    if isinstance(event, h2.events.DataReceived) and not event.data and event.stream_ended is None:
        return "empty"
    return None
