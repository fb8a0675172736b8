"""Delegations on the wire: an actor for each backend in use, with its pool of idle connections."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Awaitable, Callable

import h11
import trio

from gorsefork.memory.call import Delegation, Ending, Long, Sink
from gorsefork.memory.clock import SECOND, Clock, monotonic_us
from gorsefork.memory.flow import MOST_HELD, Flow, Torn
from gorsefork.memory.mailbox import Mailbox
from gorsefork.memory.registry import Host, Registry
from gorsefork.wire.stream import LOCAL_RETRY, LocalFault, Stream, open_connection

MOST_BODY = 33 << 20  # bytes of an answer; a longer one is spoilt
MOST_WAITING = 512  # orders that one backend's actor may have unread
REST_WITHIN = 0.25  # s between two parts of one answer
POUR_WITHIN = 10.0  # s between two parts of one that is passed on already: its end is owed
POUR_HELD = 4 << 20  # bytes that all answers passed on may hold in pieces; a few times that with copies
PIECE_LEAST, PIECE_MOST = 4096, 65536  # bytes of one piece
MOST_ASIDES = 8  # 1xx answers ahead of one
REST_FOR = 20_000  # us that one rests between two delegations: a second answer may come some ms late
RETIRE_SHARE = 0.75  # of the keep-alive time that a connection may stand idle here


class Link:
    """One connection to a backend; it carries one delegation at a time."""

    def __init__(self, stream: Stream, life: int, pool: BackendPool) -> None:
        self.stream, self.http, self.pool = stream, h11.Connection(h11.CLIENT), pool
        self.clean, self.idle_since, self.life = True, 0, life

    async def ask(self, delegation: Delegation, authority: str, left_ms: int) -> Ending:
        """A break before the last byte is written never ran; after it, it may have."""
        self.clean = False
        call = delegation.call
        headers = [("Host", authority), ("X-Trace-Id", call.trace), ("X-Expires-In-Ms", str(left_ms))]
        if call.key:
            headers.append(("Idempotency-Key", call.key))
        if call.flow is not None and call.flow.length is None:
            headers.append(("Transfer-Encoding", "chunked"))
        elif call.flow is not None:
            headers.append(("Content-Length", str(call.flow.length)))
        elif call.method != "GET" or call.body:
            headers.append(("Content-Length", str(len(call.body))))
        request = h11.Request(method=call.method, target=call.target, headers=headers)
        body = [h11.Data(call.body)] if call.body else []
        end = [h11.EndOfMessage()] if call.flow is None else []
        try:
            await self.send(request, *body, *end)
            if call.flow is not None:
                await self.upload(call.flow)
        except (OSError, Torn):
            return Ending("connect_failed")
        delegation.wrote()
        if call.flow is not None:
            delegation.sent_at = self.pool.clock.now  # what came before is the client's time
        try:
            found = await self.answer()
        except (OSError, h11.RemoteProtocolError, trio.TooSlowError):
            return Ending("reset")
        return found if isinstance(found, Ending) else await self.long(delegation, *found)

    async def send(self, *events: h11.Event) -> None:
        await self.stream.send(
            [part for event in events for part in self.http.send_with_data_passthrough(event) or ()]
        )

    async def upload(self, flow: Flow) -> None:
        """A body as it comes: a little of it is held at a time."""
        while pieces := await flow.get():
            await self.send(*map(h11.Data, pieces))
        await self.send(h11.EndOfMessage())

    async def answer(self) -> Ending | tuple[h11.Response, list[bytearray]]:
        """The whole answer, or the head and the beginning of one that is too large to hold."""
        head, body, asides, begun = None, bytearray(), 0, False
        while True:
            event = self.http.next_event()
            if event is h11.NEED_DATA:
                # Guards against an answer that is said to be longer than it is: the rest never comes.
                with trio.fail_after(REST_WITHIN if begun else math.inf):
                    self.http.receive_data(await self.stream.receive())
                begun = True
            elif isinstance(event, h11.Response):
                head = event
                if too_long(event):
                    return Ending("error")
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > MOST_HELD:
                    assert head is not None
                    return head, [body]
            elif isinstance(event, h11.EndOfMessage) and head is not None:
                self.rest()
                return ending(head, bytes(body))
            elif isinstance(event, h11.InformationalResponse) and asides < MOST_ASIDES:
                asides, begun = asides + 1, False
            else:
                return Ending("reset")

    def rest(self) -> None:
        """Behind a whole answer: whether this connection may carry another delegation."""
        self.clean = self.http.our_state is h11.DONE and self.http.their_state is h11.DONE
        if self.clean:
            self.http.start_next_cycle()
            self.clean = not self.http.trailing_data[0]

    async def long(self, delegation: Delegation, head: h11.Response, begun: list[bytearray]) -> Ending:
        """An answer too large to hold. Once its client gets it, it is that client's pace that counts.

        ``begun`` is emptied: guards against hundreds of slow clients, for each of which it would stay.
        """
        found = ending(head, b"")
        if found.status != "ok":
            return found
        length = next((int(value) for name, value in head.headers if name == b"content-length"), None)
        answer = Long(found.media, length)
        if not await self.pool.opened(delegation, answer, found.billed) or answer.sink is None:
            return Ending("ok", passed=delegation.ended)  # another answer was first
        delegation.due_never()
        sink, whole, size = answer.sink, False, len(begun[0])
        self.pool.pouring += 1
        try:
            await sink.pass_on(begun.pop())
            whole = await self.pour(sink, size)
        except (OSError, h11.RemoteProtocolError, trio.TooSlowError, trio.ClosedResourceError):
            pass  # the server's end, or the client's: the client can tell
        finally:
            self.pool.pouring -= 1
            sink.end(whole)
            delegation.call.count("fulfilled" if whole else "faulted")
        return Ending("ok", passed=True)

    async def pour(self, sink: Sink, size: int) -> bool:
        while True:
            event = self.http.next_event()
            if event is h11.NEED_DATA:
                with trio.fail_after(POUR_WITHIN):
                    self.http.receive_data(await self.stream.receive(self.pool.piece()))
            elif isinstance(event, h11.Data):
                size += len(event.data)
                if size > MOST_BODY:
                    return False
                await sink.pass_on(event.data)
            elif isinstance(event, h11.EndOfMessage):
                self.rest()
                return True
            else:
                return False


def too_long(head: h11.Response) -> bool:
    """Whether the answer can't be passed on: its body is over the bound, or it has two lengths."""
    sizes = [value for name, value in head.headers if name == b"content-length"]
    return any(int(size) > MOST_BODY for size in sizes) or (
        bool(sizes) and any(name == b"transfer-encoding" for name, _ in head.headers)
    )


def ending(head: h11.Response, body: bytes) -> Ending:
    """What an answer means. Only ``X-Never-Ran`` proves that it never ran: a bare 503 proves nothing."""
    headers = {bytes(name): bytes(value) for name, value in head.headers}
    if head.status_code == 200:
        return Ending(
            "ok",
            body,
            headers.get(b"content-type", b"").decode("latin-1"),
            settled(headers.get(b"x-settled", b"")),
        )
    if head.status_code in (503, 504) and headers.get(b"x-never-ran") == b"1":
        return Ending("full")
    return Ending("error")


def settled(value: bytes) -> float:
    """The true units; 0 where there are none, or what came is no number."""
    try:
        units = float(value)
    except ValueError:
        return 0.0
    return units if 0.0 < units < 1e9 else 0.0


class Backend:
    """Actor: hands each delegation a connection that is known to be good, and keeps those left over.

    It begins with the first delegation and ends once it has had nothing to do for as long as a connection may
    stand idle: a backend that is not used costs no task.
    """

    def __init__(self, host: Host, pool: BackendPool) -> None:
        self.host, self.pool = host, pool
        self.mailbox: Mailbox[Delegation | None] = Mailbox(MOST_WAITING)  # None: close what is idle
        self.idle: deque[Link] = deque()
        self.retired = False
        self.life = 0  # of the process there, or its address: a connection serves the one it was made for

    def renew(self, host: Host) -> None:
        if (self.host.dial, self.host.started) != (host.dial, host.started):
            self.life += 1
            self.mailbox.put(None)
        elif host.state != "ready":  # it wants nothing new: what stands idle to it is of no use
            self.mailbox.put(None)
        self.host = host

    async def run(self) -> None:
        clock = self.pool.clock
        async with trio.open_nursery() as nursery:
            while not self.retired:
                # A connection that falls idle while the actor waits retires no sooner than this either.
                since = self.idle[0].idle_since if self.idle else clock.now
                await self.mailbox.wait(clock.trio_deadline(since + self.pool.idle_for))
                orders = self.mailbox.drain()
                if not (orders or self.idle or nursery.child_tasks):
                    self.pool.forget(self)
                for order in orders:
                    if order is None:
                        self.close_idle()
                    else:
                        nursery.start_soon(self.carry, order)
                while self.idle and self.idle[0].idle_since + self.pool.idle_for <= clock.now:
                    self.drop(self.idle.popleft())
        self.close_idle()

    def close_idle(self) -> None:
        while self.idle:
            self.drop(self.idle.popleft())

    def drop(self, link: Link) -> None:
        link.stream.close()
        self.pool.links -= 1

    async def carry(self, delegation: Delegation) -> None:
        """The end of its time, or a call-off, closes its connection."""
        ending = None
        with trio.CancelScope(deadline=self.pool.clock.trio_deadline(delegation.ends_at)) as scope:
            delegation.stop = scope.cancel

            def due(at: float) -> None:
                scope.deadline = at

            delegation.due_anew = lambda: due(self.pool.clock.trio_deadline(delegation.ends_at))
            delegation.due_never = lambda: due(math.inf)
            if delegation.called_off:
                scope.cancel()
            await trio.lowlevel.checkpoint_if_cancelled()
            ending = await self.exchange(delegation)
        if ending is None and not delegation.written:
            ending = Ending("moot" if delegation.called_off else "connect_failed")
        elif ending is None:
            ending = Ending("cancelled" if delegation.called_off else "timeout")
        if not ending.passed:  # else its outcome was told when it began
            self.pool.ended(delegation, ending)

    async def exchange(self, delegation: Delegation) -> Ending:
        try:
            link = self.idle_link() or await self.new_link()
        except LocalFault:  # ours: nothing is known of the backend, and another may be tried
            return Ending("moot")
        if link is None:
            return Ending("connect_failed")
        if link.life != self.life:  # the process there is another by now
            self.drop(link)
            return Ending("moot")
        call = delegation.call
        try:
            if call.permit is not None and not await call.permit.renew(delegation):
                return Ending("moot")
            # The connect took its time, or this process was held up: the backend may drain by now, the call
            # may have had its answer, its client may have left, the window for its repeats may be over.
            now = monotonic_us()
            over = call.over or call.client_left() or now >= delegation.begin_by
            if over or not self.pool.registry.may_send(self.host.name):
                return Ending("moot")
            left = call.left if call.flow is not None else delegation.ends_at - now
            left_ms = max(1, left // 1000)
            return await link.ask(delegation, self.host.dial, left_ms)
        finally:
            if link.clean and not self.retired and link.life == self.life and self.host.state == "ready":
                link.idle_since = self.pool.clock.now
                self.idle.append(link)
            else:
                self.drop(link)

    def idle_link(self) -> Link | None:
        """The last used of those that have rested. Guards against a second answer behind the one before: it
        would pass for the answer to what is written now."""
        rested = self.pool.clock.now - REST_FOR
        for place in range(len(self.idle) - 1, -1, -1):
            if (link := self.idle[place]).idle_since <= rested:
                del self.idle[place]
                if link.stream.quiet():
                    return link
                self.drop(link)
        return None

    async def new_link(self) -> Link | None:
        """A new connection; None if the backend does not take it, ``LocalFault`` if this machine can't."""
        await self.pool.wait_for_room()
        self.pool.links += 1
        stream, life = None, self.life
        try:
            stream = await open_connection(self.host.dial, self.pool.connect_timeout)
        finally:
            self.pool.links -= stream is None
        if stream is None:
            return None
        return Link(stream, life, self.pool)


class BackendPool:
    """The actors of the backends in use, and the bound on what they hold open together."""

    def __init__(
        self,
        clock: Clock,
        registry: Registry,
        ended: Callable[[Delegation, Ending], None],
        keepalive: float,
        connect_timeout: float,
        most_links: int,
        opened: Callable[[Delegation, Long, float], Awaitable[bool]],
    ) -> None:
        self.clock, self.registry, self.ended, self.opened = clock, registry, ended, opened
        self.idle_for, self.connect_timeout = round(keepalive * RETIRE_SHARE * SECOND), connect_timeout
        self.most_links, self.links, self.pouring = most_links, 0, 0
        self.backends: dict[str, Backend] = {}
        self.nursery: trio.Nursery | None = None

    async def run(self) -> None:
        async with trio.open_nursery() as self.nursery:
            for backend in self.backends.values():
                self.nursery.start_soon(backend.run)
            await trio.sleep_forever()

    def changed(self, host: Host) -> None:
        """The registry's word: a backend that moved or started anew, or one that is gone."""
        if (backend := self.backends.get(host.name)) is None:
            return
        if host.state == "gone":
            self.forget(backend)
            backend.mailbox.put(None)
        else:
            backend.renew(host)

    def forget(self, backend: Backend) -> None:
        """Its actor ends once it has carried what it has."""
        del self.backends[backend.host.name]
        backend.retired = True

    def actor(self, name: str) -> Backend | None:
        """The actor of a backend that is listed; it begins here if there is none."""
        backend, host = self.backends.get(name), self.registry.hosts.get(name)
        if backend is None and host is not None:
            backend = self.backends[name] = Backend(self.registry.as_held(host), self)
            if self.nursery is not None:
                self.nursery.start_soon(backend.run)
        return backend

    def delegate(self, delegation: Delegation) -> None:
        backend = self.actor(delegation.host)
        if backend is None or not backend.mailbox.put(delegation):
            self.ended(delegation, Ending("moot" if backend is None else "connect_failed"))

    def close_idle(self, host: str) -> None:
        if (backend := self.backends.get(host)) is not None:
            backend.mailbox.put(None)

    def piece(self) -> int:
        """Bytes that each answer that is passed on may hold of it."""
        return max(PIECE_LEAST, min(PIECE_MOST, POUR_HELD // max(1, self.pouring)))

    async def wait_for_room(self) -> None:
        """``LocalFault`` if no connection may be opened for as long as one may take to come up."""
        until = trio.current_time() + self.connect_timeout
        while not self.make_room():
            if trio.current_time() >= until:
                raise LocalFault("all connections to backends are in use")
            await trio.sleep(LOCAL_RETRY)

    def make_room(self) -> bool:
        """Whether one more connection may be opened; an idle one elsewhere gives way."""
        if self.links >= self.most_links:
            idle = [backend for backend in self.backends.values() if backend.idle]
            if not idle:
                return False
            oldest = min(idle, key=lambda backend: backend.idle[0].idle_since)
            oldest.drop(oldest.idle.popleft())
        return True
