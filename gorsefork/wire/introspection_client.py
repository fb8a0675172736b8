"""The client of an OAuth 2 introspection server (RFC 7662): form POST, client authentication."""

from __future__ import annotations

import base64
from collections import deque
from collections.abc import Callable
from urllib.parse import quote_plus, urlencode

import h11
import trio

from gorsefork.memory.clock import SECOND, Clock
from gorsefork.wire.http1.paced_parser import STEP_DONE, PacedParser
from gorsefork.wire.stream import Stream, connect
from gorsefork.wire.tokens import Claims, MalformedAnswer, read_claims

MAX_BODY_BYTES = 65536
MAX_IDLE_US = 4 * SECOND


class IntrospectionUnavailable(Exception):
    """No answer that can be relied on: silent, failing, malformed, or too many checks out already."""


class StaleConnection(Exception):
    """A kept connection ended before the first byte of an answer."""


class IntrospectionClient:
    """Asks for each check anew: no answer is kept. ``most`` bounds the checks out, and so the sockets."""

    def __init__(
        self,
        address: str,
        path: str,
        client_id: str,
        secret: str,
        timeout: float,
        most: int,
        clock: Clock,
        log: Callable[[str], None],
    ) -> None:
        self.address, self.path, self.timeout, self.max_checks = address, path, timeout, most
        pair = f"{quote_plus(client_id)}:{quote_plus(secret)}".encode()
        self.authorization = "Basic " + base64.b64encode(pair).decode("ascii")
        self.clock, self.log = clock, log
        self.checks_in_flight = 0
        self.idle: deque[tuple[Stream, PacedParser, int]] = deque()

    async def check(self, token: str, within: float) -> Claims | None:
        """The claims of an active token, None for any other; ``IntrospectionUnavailable`` if neither is told
        in time."""
        if self.checks_in_flight >= self.max_checks:
            raise IntrospectionUnavailable("too many checks out")
        self.checks_in_flight += 1
        try:
            with trio.fail_after(max(0.0, min(self.timeout, within))):
                return await self.ask(token)
        except trio.TooSlowError:
            raise IntrospectionUnavailable("no answer in time") from None
        except (OSError, h11.ProtocolError) as error:
            raise IntrospectionUnavailable(type(error).__name__) from None
        except MalformedAnswer as error:
            self.log(f"introspection: a malformed answer: {error}")
            raise IntrospectionUnavailable(str(error)) from None
        finally:
            self.checks_in_flight -= 1

    async def ask(self, token: str) -> Claims | None:
        while (kept := self.take_idle_connection()) is not None:
            try:
                return await self.exchange(*kept, token, True)
            except StaleConnection:
                continue  # asking about a token changes nothing: a new connection asks again
        stream = await connect(self.address, self.timeout)
        if stream is None:
            raise IntrospectionUnavailable("no connection")
        return await self.exchange(stream, PacedParser(h11.CLIENT), token, False)

    def take_idle_connection(self) -> tuple[Stream, PacedParser] | None:
        while self.idle:
            stream, parser, since = self.idle.pop()
            if since + MAX_IDLE_US > self.clock.now and stream.is_reusable():
                return stream, parser
            stream.close()
        return None

    async def exchange(self, stream: Stream, parser: PacedParser, token: str, kept: bool) -> Claims | None:
        keep = False
        try:
            status, media, body = await self.post(stream, parser, token, kept)
            if status != 200:
                self.log(f"introspection: the server answered {status}")
                raise IntrospectionUnavailable(f"status {status}")
            if media.partition(";")[0].strip().lower() != "application/json":
                raise MalformedAnswer("not application/json")
            claims = read_claims(body, self.clock.unix(self.clock.now))
            keep = parser.is_done() and not parser.has_surplus()
            if keep:
                parser.start_next_cycle()
            return claims
        finally:
            if keep and len(self.idle) < self.max_checks:
                self.idle.append((stream, parser, self.clock.now))
            else:
                stream.close()

    async def post(
        self, stream: Stream, parser: PacedParser, token: str, kept: bool
    ) -> tuple[int, str, bytes]:
        form = urlencode({"token": token, "token_type_hint": "access_token"}).encode("ascii")
        head = h11.Request(
            method="POST",
            target=self.path,
            headers=[
                ("Host", self.address),
                ("Authorization", self.authorization),
                ("Accept", "application/json"),
                ("Content-Type", "application/x-www-form-urlencoded"),
                ("Content-Length", str(len(form))),
            ],
        )
        parts = [
            part
            for event in (head, h11.Data(form), h11.EndOfMessage())
            for part in parser.http.send_with_data_passthrough(event) or ()
        ]
        response: h11.Response | None = None
        body, heard = bytearray(), False
        try:
            await stream.send(parts)
            while not isinstance(event := parser.next_event(), h11.EndOfMessage):
                if event is STEP_DONE:
                    await trio.lowlevel.checkpoint()
                    parser.begin_step()
                elif event is h11.NEED_DATA:
                    data = await stream.receive()
                    if not data and not heard and kept:
                        raise StaleConnection
                    heard = True
                    parser.receive(data)
                elif isinstance(event, h11.Response):
                    response = event
                elif isinstance(event, h11.Data):
                    body += event.data
                    if len(body) > MAX_BODY_BYTES:
                        raise MalformedAnswer("the body is too long")
                elif isinstance(event, h11.ConnectionClosed):
                    raise MalformedAnswer("no answer")
        except OSError:
            if kept and not heard:
                raise StaleConnection from None
            raise
        assert response is not None
        headers = {bytes(name): bytes(value) for name, value in response.headers}
        return response.status_code, headers.get(b"content-type", b"").decode("latin-1"), bytes(body)

    def close(self) -> None:
        while self.idle:
            self.idle.pop()[0].close()
