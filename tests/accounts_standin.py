"""A stand-in for the accounts, from docs/usage-export.md: it keeps what it is sent, often in trouble."""

from __future__ import annotations

import json
import random
from collections import Counter
from typing import Any, Literal

import h11
import trio

from gorsefork.usage.records import UnreadableBatch, decode
from gorsefork.usage.verify import ReceivedUsage

Trouble = Literal[
    "none", "refuses", "breaks before", "breaks after", "late", "stalls", "repeats", "lies", "noise"
]
ODDS: dict[Trouble, float] = {"refuses": 0.05, "breaks after": 0.05, "late": 0.03}


class Served:
    """A stand-in HTTP/1.1 server on trio: ``answer`` gets each request, None closes with no answer."""

    def __init__(self) -> None:
        self.listener: trio.SocketListener
        self.dial = ""

    async def open(self, nursery: trio.Nursery) -> None:
        (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
        self.dial = f"127.0.0.1:{listener.socket.getsockname()[1]}"
        nursery.start_soon(trio.serve_listeners, self.serve, [listener])

    async def serve(self, stream: trio.SocketStream) -> None:
        http = h11.Connection(h11.SERVER)
        try:
            while True:
                request, body = None, bytearray()
                while not isinstance(event := http.next_event(), h11.EndOfMessage):
                    if event is h11.NEED_DATA:
                        http.receive_data(await stream.receive_some())
                    elif isinstance(event, h11.Request):
                        request = event
                    elif isinstance(event, h11.Data):
                        body += event.data
                    elif isinstance(event, h11.ConnectionClosed):
                        return
                assert request is not None
                answer = await self.answer(request, bytes(body))
                if answer is None:
                    return
                status, headers, data = answer
                headers = [*headers, ("Content-Length", str(len(data)))]
                head = h11.Response(status_code=status, headers=headers)
                await stream.send_all(
                    b"".join(
                        http.send(each) or b"" for each in (head, h11.Data(data=data), h11.EndOfMessage())
                    )
                )
                if http.our_state is not h11.DONE or http.their_state is not h11.DONE:
                    return
                http.start_next_cycle()
        except (trio.BrokenResourceError, trio.ClosedResourceError, h11.RemoteProtocolError):
            pass
        finally:
            await trio.aclose_forcefully(stream)

    async def answer(self, request: h11.Request, body: bytes) -> Any:
        raise NotImplementedError


class Accounts(Served):
    """``script`` names the troubles of the first batches, one by one; after them ``odds`` are drawn for each.

    Breaks after: the batch is kept, and the connection ends before that is said. Late: the answer comes after
    the sender's patience, and with stalls never. Repeats: the receipt stands twice. Lies: it names a number
    that was never sent.
    """

    def __init__(
        self,
        rng: random.Random,
        script: list[Trouble] | None = None,
        odds: dict[Trouble, float] | None = None,
        patience: float = 0.6,
    ) -> None:
        super().__init__()
        self.rng, self.script, self.patience = rng, list(script or ()), patience
        self.odds = ODDS if odds is None else odds
        self.ledger, self.calm = ReceivedUsage(), False
        self.troubles: Counter[str] = Counter()
        self.news = trio.Event()  # rings once at the next batch

    def trouble(self) -> Trouble:
        if self.script:
            return self.script.pop(0)
        draw = 1.0 if self.calm else self.rng.random()
        for name, odds in self.odds.items():
            draw -= odds
            if draw < 0.0:
                return name
        return "none"

    async def answer(self, request: h11.Request, body: bytes) -> Any:
        trouble = self.trouble()
        self.troubles[trouble] += trouble != "none"
        if trouble == "refuses":
            return 503, [], b""
        if trouble == "breaks before":
            return None
        media = dict(request.headers).get(b"content-type", b"")
        try:
            batch = decode(body, "msgpack" if media == b"application/msgpack" else "ndjson")
        except UnreadableBatch as error:
            self.troubles[f"unreadable: {error}"] += 1
            return 400, [], b""
        status, upto = self.ledger.take(batch)
        news, self.news = self.news, trio.Event()
        news.set()
        if trouble == "breaks after":
            return None
        if trouble == "stalls":
            await trio.sleep_forever()
        if trouble == "late":
            await trio.sleep(self.patience)
        if trouble == "noise":
            return status, [], b"kept!"
        receipt = json.dumps({"upto": upto + 1000 * (trouble == "lies")}).encode()
        return status, [], receipt * (1 + (trouble == "repeats"))
