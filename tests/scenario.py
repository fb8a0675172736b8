"""A small language for scenarios on loopback, and the stand-ins that play in it.

One line, one step, in order: WHO VERB REST. Clients (c1, c2, ...) and servers (box, oauth, counter) speak raw
HTTP; ``\\n`` in a text stands for an end of line.

    c1 send GET /look Name=value | body    a request; defaults fill in what a call needs
    box expect GET /look [Name=value]      the next request there begins so, and has these headers
    box send 200 [Name=value] [| body]     the answer to it; or: box send raw TEXT
    c1 send again 500 GET /nothing         so many requests in one go, before any answer
    c1 expect 503 Retry-After [| body]     the answer, with these headers
    disco send 200 | {... $box ...}        $box stands for that server's address
    c1 close / box close                   close, or as a server reset, the connection last used
    c1 wait / box wait                     until the ingress closes that connection
    box wait idle                          no request is waiting there
    c1 send GET /v1/status front=control   to the first ingress's control listener
    c1 send raw TEXT                       bytes as they stand; or: raw2 and raw3, to the other fronts
    o1 send set-down s-1                   an operator's call, each on its own connection; or: raw TEXT
    o1 expect +OK [figure=4]               its answer begins so, and has these lines
    n1 send SIGHUP discovery=$disco2       the first ingress reads a file with these values (or: raw TEXT)
"""

from __future__ import annotations

import json
import re
import socket
import struct
import tempfile
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import replace
from typing import Any
from unittest import mock

import trio

from gorsefork.configuration.replication import Peer
from gorsefork.life.config import Config
from gorsefork.life.installation import Installation
from gorsefork.life.introspection_config import IntrospectionConfig, TenantEntry
from gorsefork.life.operator import read
from gorsefork.life.start import Ingress
from gorsefork.memory.clock import Clock
from gorsefork.settings import to_settings
from gorsefork.wire.introspection import IntrospectionFront
from gorsefork.wire.tokens import Tenants

MS = 1_000_000
SERVERS = ("box", "box2", "oauth", "counter", "counter2", "disco", "disco2", "accounts")
CUSTOMER = "00000000b4d65521"
DEFAULTS = {
    "X-Trace-Id": "9b1f03aa5c7e2d41",
    "X-Contract": "rated",
    "X-Client-Id": CUSTOMER,
    "X-Expires-In-Ms": "3000",
    "X-Metering": "units=1,spread=1,first=0",
    "Host": "service.internal",
}
SETTINGS: dict[str, Any] = {
    "balancers": 1,
    "step": 4 * MS,
    "familyInfo": {"sharedCounter": True, "countWait": 80 * MS, "settles": True, "maxUnits": 6},
    "classes": [
        {"name": "look", "aim": 1000 * MS, "deadline": 3000 * MS},
        {
            "name": "buy",
            "aim": 1000 * MS,
            "deadline": 3000 * MS,
            "effect": "by_key",
            "keyScope": "cell",
            "window": 10_000 * MS,
            "worth": 5.0,
        },
    ],
    "tiersOfService": [{"name": "rated", "rate": 50.0, "depth": 100.0}],
    "limits": {
        "maxAttempts": 5,
        "cancel": True,
        "retryAfter": True,
        "maxRetryAfter": 2000 * MS,
        "connectTimeout": 250 * MS,
        "keepalive": 15_000 * MS,
    },
    "invariants": {
        "drainGrace": 250 * MS,
        "coldShare": 0.3,
        "rampTime": 1 * MS,
        "fallMultiple": 2.5,
        "overloadFor": 1500 * MS,
    },
}


class Server:
    """A stand-in's listener: its requests are met in their order by the scenario."""

    def __init__(self, name: str) -> None:
        self.name, self.sock = name, socket.create_server(("127.0.0.1", 0))
        self.sock.setblocking(False)
        self.dial = f"127.0.0.1:{self.sock.getsockname()[1]}"
        self.requests, self.get = trio.open_memory_channel[tuple[Wire, str]](100)
        self.last: Wire | None = None

    async def run(self) -> None:
        async with trio.open_nursery() as nursery:
            while True:
                await trio.lowlevel.wait_readable(self.sock)
                nursery.start_soon(self.serve, Wire(self.sock.accept()[0]))

    async def serve(self, wire: Wire) -> None:
        while (message := await wire.message()) is not None:
            await self.requests.send((wire, message))
        wire.ended.set()


class Wire:
    """One raw connection: whole messages by their Content-Length."""

    def __init__(self, sock: socket.socket) -> None:
        sock.setblocking(False)
        self.stream = trio.SocketStream(trio.socket.from_stdlib_socket(sock))
        self.buffer, self.ended = b"", trio.Event()

    async def message(self) -> str | None:
        """The next message; None once the other side has closed or reset."""
        try:
            while b"\r\n\r\n" not in self.buffer or len(self.buffer) < self.length():
                if not (data := await self.stream.receive_some()):
                    return None
                self.buffer += data
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return None
        message, self.buffer = self.buffer[: self.length()], self.buffer[self.length() :]
        return message.decode("latin-1")

    def length(self) -> int:
        head = self.buffer.partition(b"\r\n\r\n")[0]
        size = re.search(rb"(?i)\r\ncontent-length: *(\d+)", head)
        return len(head) + 4 + (int(size[1]) if size else 0)

    async def reset(self) -> None:
        self.stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        await self.stream.aclose()


class World:
    """Ingresses on one core each, with a stand-in for all that they speak to.

    ``operator``: an operator's TOML file for each of them; ``{n}`` in it stands for its place. Ingresses with
    a control listener are each other's peers, unless ``apart``.
    """

    def __init__(
        self,
        ingresses: int,
        keepalive: int,
        operator: str = "",
        apart: bool = False,
        settings: Mapping[str, Any] = SETTINGS,
        sockets: int = 1024,
    ) -> None:
        self.settings, self.sockets = settings, sockets
        self.servers = {name: Server(name) for name in SERVERS}
        self.clients: dict[str, Wire] = {}
        self.operators: dict[str, Wire] = {}
        self.clock = Clock()
        self.operator = operator
        self.ingresses = [self.ingress(keepalive, n) for n in range(ingresses)]
        controls = [
            each.installation.acceptor.address
            for each in self.ingresses
            if each.installation and each.installation.acceptor
        ]
        peers = [Peer(f"n{place}", dial, "") for place, dial in enumerate(controls)]
        for ingress in self.ingresses if not apart else ():
            if ingress.installation is not None and ingress.installation.acceptor is not None:
                own = ingress.installation.acceptor.address
                ingress.installation.replication.configured_peers = [
                    peer for peer in peers if peer.address != own
                ]
                ingress.installation.replication.apply_view(())

    def ingress(self, keepalive: int, place: int) -> Ingress:
        limits = {**self.settings["limits"], "keepalive": keepalive}
        settings = to_settings({**self.settings, "limits": limits})
        entry = {"host": "s-1", "dial": self.servers["box"].dial, "health": "active"}
        config = Config(
            "n0",
            "127.0.0.1:0",
            self.servers["disco"].dial,
            1,
            settings,
            (),
            (),
            {"seq": 1, "whole": True, "hosts": [entry]},
            self.servers["counter"].dial,
            sockets=self.sockets,
            ops="127.0.0.1:0",
        )
        second = IntrospectionConfig(
            "guide-app",
            "127.0.0.1:0",
            self.servers["oauth"].dial,
            "/introspect",
            "me",
            "s3cret",
            300,
            250,
            8,
            "client_id",
            "",
            {"buy": "tour.buy"},
            {"museum": TenantEntry("rated", CUSTOMER, 1, 0)},
        )
        extra = None
        if self.operator:
            text = re.sub(r"\$(\w+)", lambda name: self.servers[name[1]].dial, self.operator)
            config = replace(config, name=f"n{place}")
            extra = Installation(read(text.replace("{n}", str(place))), config, self.clock)
        return Ingress(config, self.clock, second, extra)

    async def play(self, script: str) -> None:
        for line in filter(None, map(str.strip, script.splitlines())):
            line = re.sub(r"\$(\w+)", lambda name: self.servers[name[1]].dial, line)
            who, verb, rest = [*line.split(" ", 2), ""][:3]
            step: Callable[[str, str], Awaitable[None]] = getattr(self, f"{verb}_{self.side(who)}")
            try:
                with trio.fail_after(5):
                    await step(who, rest)
            except (AssertionError, trio.TooSlowError) as error:
                raise AssertionError(f"at {line!r}: {error!r}") from None

    def side(self, who: str) -> str:
        kinds = {"c": "client", "o": "operator"}
        return "server" if who in self.servers else kinds.get(who[0], "ingress")

    async def send_operator(self, who: str, rest: str) -> None:
        front = self.ingresses[0].operators
        assert front is not None
        wire = self.operators[who] = Wire(socket.create_connection(front.sock.getsockname()))
        text = rest[4:].replace("\\n", "\n") if rest.startswith("raw ") else f"{rest}\n"
        await wire.stream.send_all(text.encode("latin-1"))

    async def expect_operator(self, who: str, rest: str) -> None:
        wire, text = self.operators.pop(who), ""
        while data := await wire.stream.receive_some():
            text += data.decode("latin-1")
        await wire.stream.aclose()
        start, *lines = rest.split(" ")
        assert text.startswith(start) if start != "nothing" else not text, text
        given = text.splitlines()
        assert all(line in given or f"edge_proxy.{line}" in given for line in lines), text

    async def send_ingress(self, who: str, rest: str) -> None:
        ingress = self.ingresses[int(who[1:]) - 1]
        _, kind, *words = rest.split(" ")
        with tempfile.NamedTemporaryFile("w") as file:
            values = dict(word.split("=", 1) for word in (kind, *words) if "=" in word)
            old = {key: getattr(ingress.config, key) for key in ("name", "listen", "discovery", "counter")}
            raw = {**old, "seed": "1", "settings": self.settings, **values}
            file.write(" ".join(words) if kind == "raw" else json.dumps(raw))
            file.flush()
            ingress.reload({"PROXY_CONFIG": file.name})

    async def send_client(self, who: str, rest: str) -> None:
        """A token goes to the second front; ``at=1`` to the second ingress."""
        head, _, body = rest.partition(" | ")
        times = 1
        if head.startswith("again "):
            _, count, head = head.split(" ", 2)
            times = int(count)
        if head.startswith("raw"):
            kind, _, text = rest.partition(" ")
            data = text.replace("\\n", "\r\n").encode("latin-1")
            return await self.raw_client(who, data, ("raw", "raw2", "raw3").index(kind))
        method, target, *words = head.split(" ")
        given = dict(word.split("=", 1) for word in words if "=" in word)
        ingress = self.ingresses[int(given.pop("at", 0))]
        named_front = given.pop("front", "")
        front = ingress.acceptors["token" in given or named_front == "2"]
        if named_front == "control":
            assert ingress.installation is not None and ingress.installation.acceptor is not None
            front = ingress.installation.acceptor
        named = {name: value for name, value in given.items() if name[0].isupper()}
        headers = {**DEFAULTS, "Content-Length": str(len(body)), **named}
        if "token" in given:
            headers["Authorization"] = f"Bearer {given['token']}"
        if who not in self.clients:
            self.clients[who] = Wire(socket.create_connection(("127.0.0.1", front.port)))
        lines = [f"{method} {target} HTTP/1.1", *(f"{k}: {v}" for k, v in headers.items() if v), "", body]
        await self.clients[who].stream.send_all("\r\n".join(lines).encode("latin-1") * times)

    async def raw_client(self, who: str, data: bytes, front: int) -> None:
        if who not in self.clients:
            extra = self.ingresses[0].installation
            control = [extra.acceptor] if extra is not None and extra.acceptor is not None else []
            port = [*self.ingresses[0].acceptors, *control][front].port
            self.clients[who] = Wire(socket.create_connection(("127.0.0.1", port)))
        await self.clients[who].stream.send_all(data)

    async def expect_client(self, who: str, rest: str) -> None:
        head, _, body = rest.partition(" | ")
        status, *names = head.split()
        answer = await self.clients[who].message()
        assert answer is not None, "closed with no answer"
        assert answer.split(" ")[1] == status, answer
        assert all(f"\r\n{name.lower()}:" in answer.lower() for name in names), answer
        assert not body or answer.endswith("\r\n\r\n" + body), answer

    async def close_client(self, who: str, rest: str) -> None:
        await self.clients.pop(who).stream.aclose()

    async def only_one_answer_each(self) -> None:
        for who, wire in self.clients.items():
            with trio.move_on_after(0.01):
                wire.buffer += await wire.stream.receive_some()
            assert not wire.buffer, f"{who} has an answer too many: {wire.buffer!r}"

    def figures_add_up(self) -> None:
        """Taken = fulfilled + throttled + faulted + gone + open, with what is open counted by itself."""
        for ingress in self.ingresses:
            waiting = sum(not call.finished for call in ingress.decision_actor.calls.values())
            pouring = sum(c.streaming_answer for acceptor in ingress.acceptors for c in acceptor.connections)
            figures = ingress.decision_actor.metrics
            assert figures.open_requests() == waiting + pouring, (
                figures.accepted,
                figures.ended,
                waiting,
                pouring,
            )
            assert all(
                relayed <= 5 * taken
                for relayed, taken in zip(figures.sent_to_backends, figures.accepted, strict=True)
            ), figures.sent_to_backends

    async def wait_client(self, who: str, rest: str) -> None:
        assert await self.clients.pop(who).message() is None, "another answer"

    async def expect_server(self, who: str, rest: str) -> None:
        server = self.servers[who]
        server.last, message = await server.get.receive()
        start, *headers = rest.split(" ")
        words = [word for word in (start, *headers) if "=" not in word]
        assert message.startswith(" ".join(words)), message
        for name, _, value in (h.partition("=") for h in headers if "=" in h):
            assert f"\r\n{name}: {value}".lower() in message.lower() or f"{name}={value}" in message, message
        assert who == "oauth" or "Bearer" not in message, "a token went on"

    async def send_server(self, who: str, rest: str) -> None:
        wire = self.servers[who].last
        assert wire is not None
        head, _, body = rest.partition(" | ")
        status, *headers = head.split(" ")
        lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
        lines += [header.replace("=", ": ", 1) for header in headers]
        raw = rest[4:].replace("\\n", "\r\n") if status == "raw" else "\r\n".join([*lines, "", body])
        await wire.stream.send_all(raw.encode("latin-1"))

    async def close_server(self, who: str, rest: str) -> None:
        wire = self.servers[who].last
        assert wire is not None
        await wire.reset()

    async def wait_server(self, who: str, rest: str) -> None:
        server = self.servers[who]
        if rest == "idle":
            try:
                raise AssertionError(f"a request waits: {server.get.receive_nowait()[1]}")
            except trio.WouldBlock:
                return
        assert server.last is not None
        await server.last.ended.wait()

    async def discovery(self) -> None:
        """Answers each ingress's first call with nothing new; what comes later is the scenario's to meet."""
        server, answered = self.servers["disco"], 0
        while answered < len(self.ingresses):
            wire, message = await server.get.receive()
            if message.startswith("GET /v1/servers"):
                body = json.dumps({"seq": 1, "whole": False, "hosts": []})
                head = f"HTTP/1.1 200 X\r\nContent-Length: {len(body)}\r\n\r\n"
                await wire.stream.send_all((head + body).encode())
                answered += 1


def scenario(
    script: str,
    ingresses: int = 1,
    then: Callable[[World], Awaitable[None]] | None = None,
    keepalive: int = 15_000 * MS,
    tenants: Tenants | None = None,
    operator: str = "",
    apart: bool = False,
    settings: Mapping[str, Any] = SETTINGS,
    sockets: int = 1024,
    discovery_lag_us: int = 0,
) -> None:
    """Play a script; what still runs at its end is cancelled.

    ``discovery_lag_us``: how long discovery may take to tell of another process at a backend's address; with
    0 the backends have been known for long.
    """

    async def main() -> None:
        world = World(ingresses, keepalive, operator, apart, settings, sockets)
        for ingress in world.ingresses if tenants is not None else ():
            front = ingress.acceptors[1].front
            assert isinstance(front, IntrospectionFront) and tenants is not None
            front.tenants = tenants
        trio.lowlevel.add_instrument(world.clock)
        async with trio.open_nursery() as nursery:
            for server in world.servers.values():
                nursery.start_soon(server.run)
            nursery.start_soon(world.discovery)
            for ingress in world.ingresses:
                nursery.start_soon(ingress.run_parts)
            for ingress in world.ingresses:
                await ingress.ready.wait()
            await world.play(script)
            if then is not None:
                with trio.fail_after(20):
                    await then(world)
            await world.only_one_answer_each()
            world.figures_add_up()
            nursery.cancel_scope.cancel()
        for ingress in world.ingresses:
            if ingress.installation is not None:
                ingress.installation.close()

    with mock.patch("gorsefork.memory.process_identity.DISCOVERY_LAG_US", discovery_lag_us):
        trio.run(main)
