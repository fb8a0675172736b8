"""A client of one HTTP/1.1 server: one request at a time, one connection kept between them."""

from __future__ import annotations

from dataclasses import dataclass

import h11
import trio

from gorsefork.wire.http1.paced_parser import STEP_DONE, PacedParser
from gorsefork.wire.stream import Stream, connect

CONNECT_TIMEOUT_S = 1.0  # s


class NoAnswer(Exception):
    """No whole answer came: whether the request took effect is not known. The text says why."""


class StaleConnection(Exception):
    """A kept connection ended before the first byte of an answer."""


@dataclass(frozen=True, slots=True)
class Response:
    status: int
    content_type: str
    body: bytes


class HttpClient:
    """For requests that may be repeated: one that a kept connection did not answer goes out once more.

    ``authorization`` goes with each request and is never shown. Not for two tasks at once.
    """

    def __init__(self, dial: str, authorization: str = "", most_body: int = 1 << 20) -> None:
        self.address, self.authorization, self.max_body = dial, authorization, most_body
        self.idle_connection: tuple[Stream, PacedParser] | None = None

    def __repr__(self) -> str:
        return f"HttpClient({self.address!r})"

    async def request(
        self,
        method: str,
        target: str,
        body: bytes = b"",
        media: str = "",
        within: float = 2.0,
        headers: tuple[tuple[str, str], ...] = (),
    ) -> Response:
        """The whole answer. ``NoAnswer`` if none comes ``within`` so many seconds.

        A wait that is cancelled closes the connection: its answer would pass for the next one's.
        """
        try:
            with trio.fail_after(within):
                if self.idle_connection is not None:
                    try:
                        return await self.request_once(
                            *self.idle_connection, method, target, body, media, headers, kept=True
                        )
                    except StaleConnection:
                        pass
                stream = await connect(self.address, CONNECT_TIMEOUT_S)
                if stream is None:
                    raise NoAnswer(f"{self.address} takes no connection")
                parser = PacedParser(h11.CLIENT)
                return await self.request_once(
                    stream, parser, method, target, body, media, headers, kept=False
                )
        except trio.TooSlowError:
            raise NoAnswer(f"{self.address} did not answer in {within:g} s") from None
        except (OSError, h11.ProtocolError, trio.ClosedResourceError) as error:
            raise NoAnswer(f"{self.address}: {type(error).__name__}: {error}") from None

    async def request_once(
        self,
        stream: Stream,
        parser: PacedParser,
        method: str,
        target: str,
        body: bytes,
        media: str,
        given: tuple[tuple[str, str], ...],
        kept: bool,
    ) -> Response:
        self.idle_connection = None
        headers = [("Host", self.address), ("Content-Length", str(len(body))), *given]
        headers += [("Content-Type", media)] if media else []
        headers += [("Authorization", self.authorization)] if self.authorization else []
        events = (
            h11.Request(method=method, target=target, headers=headers),
            *([h11.Data(body)] if body else []),
            h11.EndOfMessage(),
        )
        parts = [part for event in events for part in parser.http.send_with_data_passthrough(event) or ()]
        clean = False
        try:
            response = await self.exchange(stream, parser, parts, kept)
            clean = parser.is_done()
        finally:
            if clean:
                parser.start_next_cycle()
                self.idle_connection = (stream, parser)
            else:
                stream.close()
        return response

    async def exchange(self, stream: Stream, parser: PacedParser, parts: list[bytes], kept: bool) -> Response:
        head: h11.Response | None = None
        body, heard = bytearray(), False
        try:
            await stream.send(parts)
            while not isinstance(event := parser.next_event(), h11.EndOfMessage):
                if event is STEP_DONE:
                    await trio.lowlevel.checkpoint()
                    parser.begin_step()
                elif event is h11.NEED_DATA:
                    data = await stream.receive()
                    if not data and kept and not heard:
                        raise StaleConnection
                    if not data and head is None:
                        raise NoAnswer(f"{self.address} closed with no answer")
                    heard = True
                    parser.receive(data)
                elif isinstance(event, h11.Response):
                    head = event
                elif isinstance(event, h11.Data):
                    body += event.data
                    if len(body) > self.max_body:
                        raise NoAnswer(f"{self.address}: the answer is longer than {self.max_body} bytes")
                elif isinstance(event, h11.ConnectionClosed):
                    raise NoAnswer(f"{self.address} closed with no answer")
        except OSError:
            if kept and not heard:
                raise StaleConnection from None
            raise
        assert head is not None
        named = {bytes(name): bytes(value) for name, value in head.headers}
        media = named.get(b"content-type", b"").decode("latin-1")
        return Response(head.status_code, media, bytes(body))

    def close(self) -> None:
        if self.idle_connection is not None:
            self.idle_connection[0].close()
            self.idle_connection = None
