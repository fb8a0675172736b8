"""An ingress of the previous version, as far as configuration goes: of peers' calls it knows ``/v1/feed``."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from urllib.parse import parse_qsl

import msgspec
import trio

from gorsefork.plans.change_feed import Page
from gorsefork.plans.changes import Change
from gorsefork.wire.http1.client import HttpClient

LIFE = "old-life"


class OldVersion:
    """``changes`` is its book, in their order of arrival; ``follow`` asks another ingress as it did."""

    def __init__(self) -> None:
        self.changes: list[Change] = []
        self.address = ""
        self.refused: list[str] = []  # requests that it does not know

    async def serve(self, stream: trio.SocketStream) -> None:
        buffer = b""
        try:
            while data := await stream.receive_some():
                buffer += data
                while b"\r\n\r\n" in buffer:
                    head, _, buffer = buffer.partition(b"\r\n\r\n")
                    buffer = await self.skip_body(stream, head, buffer)
                    await stream.send_all(self.answer(head.split(b"\r\n")[0].decode()))
        except trio.BrokenResourceError:
            return  # the peer has closed

    async def skip_body(self, stream: trio.SocketStream, head: bytes, buffer: bytes) -> bytes:
        lines = [line.lower() for line in head.split(b"\r\n")]
        length = next(int(line[15:]) for line in lines if line.startswith(b"content-length:"))
        while len(buffer) < length:
            buffer += await stream.receive_some()
        return buffer[length:]

    def answer(self, request: str) -> bytes:
        method, target, _ = request.split(" ")
        path, _, query = target.partition("?")
        if (method, path) == ("GET", "/v1/feed"):
            given = dict(parse_qsl(query))
            after = int(given["after"]) if given.get("life") == LIFE else 0
            newest = len(self.changes)
            page = Page(LIFE, newest, newest, after == 0, tuple(self.changes[after:]), "0-old")
            return response(200, msgspec.msgpack.encode(page))
        if path.startswith("/v1/changes/"):
            number = path.removeprefix("/v1/changes/")
            held = any(str(change.number) == number for change in self.changes)
            return response(200 if held else 404, b"{}")
        self.refused.append(request)
        return response(404, b'{"error":"no such call"}')

    async def follow(self, control: str, until: int) -> None:
        """Ask for news until so many changes are here."""
        client, life, after = HttpClient(control, "", 16 << 20), "", 0
        while len(self.changes) < until:
            target = f"/v1/feed?life={life}&after={after}&wait_ms=5000"
            answer = await client.request(
                "GET", target, within=8.0, headers=(("Accept", "application/msgpack"),)
            )
            page = msgspec.msgpack.decode(answer.body, type=Page)
            life, after = page.life, page.position
            known = {change.number for change in self.changes}
            self.changes += [change for change in page.changes if change.number not in known]
        client.close()


def response(status: int, body: bytes) -> bytes:
    head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


@asynccontextmanager
async def old_version() -> AsyncIterator[OldVersion]:
    async with trio.open_nursery() as nursery:
        old = OldVersion()
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        old.address = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
        nursery.start_soon(trio.serve_listeners, old.serve, listeners)
        yield old
        nursery.cancel_scope.cancel()
