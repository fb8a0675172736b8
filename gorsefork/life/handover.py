"""A change of version under load: which of two processes takes, and what passes from one to the other.

One takes at a time, by construction: the next one waits, ready, until the one that serves says ``yours`` or
is gone. Whatever is wrong with the link, the next one says so and goes on by what it has.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any, Protocol

import trio

from gorsefork.decisions.interface import PeerMessage
from gorsefork.decisions.rules import QUOTA_DENIED, QUOTA_GRANTED
from gorsefork.decisions.state import QuotaMessage
from gorsefork.decisions.state_transfer import export_state, import_state
from gorsefork.life.config import INVALID_VALUE_ERRORS, Config
from gorsefork.memory.clock import Clock
from gorsefork.memory.commands import OperatorCommands
from gorsefork.memory.decision_actor import DecisionActor
from gorsefork.memory.ports import Log
from gorsefork.memory.registry import RegisteredBackend, Registry, RegistryUpdate
from gorsefork.memory.serving import ServingState
from gorsefork.wire.acceptor import Acceptor
from gorsefork.wire.discovery import DiscoveryClient
from gorsefork.wire.services.handover_connection import (
    HELLO_TIMEOUT_S,
    PROTOCOL_VERSION,
    HandoverConnection,
    HandoverMessage,
    HandoverProtocolError,
    HandoverSocket,
)

# us by which the wall clock differs from that of the one before, where it was stepped
MIN_CLOCK_STEP_US = 1_000_000
# s for which clients wait on the socket all the time: nobody takes there
MAX_UNSERVED_S, CHECK_INTERVAL_S = 1.0, 0.05


class Ingress(Protocol):
    """This process's ingress, as far as a change of version concerns it. ``acceptors``: the socket of the
    first one is shared with the other process."""

    config: Config
    clock: Clock
    log: Log
    ready: trio.Event
    serving: ServingState
    commands: OperatorCommands
    registry: Registry
    discovery: DiscoveryClient
    decision_actor: DecisionActor
    acceptors: list[Acceptor]

    def share_limits(self, shared: bool) -> None:
        """Whether another process is this ingress too, so that each may hold half of its connections."""
        ...

    def begin_serving(self) -> None:
        """Clients and peers come to this process from here on."""
        ...

    def stop_serving(self) -> None:
        """Another process takes; this one finishes what it has."""
        ...


class Handover:
    """Both sides of it, for one process: first as the one that follows, later as the one that is followed."""

    def __init__(self, ingress: Ingress, folder: str) -> None:
        config = ingress.config
        self.ingress, self.socket = (
            ingress,
            HandoverSocket(folder, config.name or str(config.settings.own_index)),
        )
        self.predecessor: HandoverConnection | None = None  # to the one that serves still, or finishes
        self.successor: HandoverConnection | None = None  # to the one that is to follow
        self.serving = trio.Event()
        self.handed_over = False
        ingress.commands.listeners.append(self.forward_command)

    def forward_command(self, call: str) -> None:
        """An operator's call made here holds at the other process too."""
        for link in (self.predecessor, self.successor):
            if link is not None:
                link.queue_message({"say": call})

    def forward_quota_answer(self, message: PeerMessage) -> None:
        """A keeper's word comes to the socket that was bound last: on a try of the one before it belongs
        there. Whose it is tells its number, which the other does not know."""
        if self.predecessor is None:
            return
        note = QuotaMessage.decode(message.data, len(self.ingress.config.settings.plans))
        if note is not None and note.kind in (QUOTA_GRANTED, QUOTA_DENIED):
            self.predecessor.queue_message({"word": [message.sender, message.data.hex()]})

    def receive_quota_answer(self, word: Any) -> None:
        try:
            sender, data = word
            message = PeerMessage(int(sender), bytes.fromhex(data))
        except (TypeError, ValueError, OverflowError) as error:
            self.log_note(f"a word that can't be read ({type(error).__name__}: {error})")
            return
        self.ingress.decision_actor.receive_peer_message(message)

    def log_note(self, text: str) -> None:
        self.ingress.log(f"gorsefork: change of version: {text}", event="handover")

    # As the one that follows.

    async def connect(self) -> None:
        """Find the one that serves and learn what holds there; bounded, and nothing if there is none."""
        link = await self.socket.connect()
        if link is None:
            self.log_note("nobody serves here yet")
            return
        try:
            with trio.fail_after(HELLO_TIMEOUT_S):
                message = await link.receive()
            self.apply_hello(message["hello"] if message else {})
        except (HandoverProtocolError, trio.TooSlowError, *INVALID_VALUE_ERRORS) as error:
            self.log_note(f"what serves here said nothing of use ({type(error).__name__}: {error})")
            await trio.aclose_forcefully(link.stream)
            return
        self.predecessor = link
        self.ingress.share_limits(True)
        self.log_note("another process serves here; this one follows when it is told to")

    def apply_hello(self, hello: Mapping[str, Any]) -> None:
        if hello.get("version") != PROTOCOL_VERSION or hello.get("name") != self.ingress.config.name:
            raise HandoverProtocolError(f"it is {hello.get('name')!r}, version {hello.get('version')!r}")
        self.adopt_clock(hello.get("unix_offset"))
        registry, list_ = self.ingress.registry, hello["list"]
        hosts = tuple(
            RegisteredBackend(str(n), str(d), s, int(at), str(site), str(kind), int(block), float(share))
            for n, d, s, at, site, kind, block, share in list_["hosts"]
        )
        if int(list_["seq"]) > registry.version and all(h.state in ("ready", "draining") for h in hosts):
            registry.apply(RegistryUpdate("cached", int(list_["seq"]), hosts))
            self.ingress.discovery.version = registry.version
        for name in hello["seen"]:
            registry.remember_id(str(name))
        for name, since in hello["down"].items():
            registry.remember_id(str(name))
            registry.banned_since[str(name)] = int(since)
        registry.unbanned_at.update({str(name): int(at) for name, at in hello["back"].items()})
        for name in {*registry.banned_since, *registry.unbanned_at}:
            registry.report_backend(name)
        self.ingress.serving.set_draining_clients(bool(hello["away"]))

    def adopt_clock(self, offset: Any) -> None:
        """Go on with the Unix time of the one before. Guards against a wall clock that was stepped between
        the two starts: customers' quotas would be filled by the step, and their counts have other names."""
        clock = self.ingress.clock
        if not isinstance(offset, int) or abs(clock.unix_offset - offset) < MIN_CLOCK_STEP_US:
            return
        step, clock.unix_offset = clock.unix_offset - offset, offset
        self.ingress.registry.shift_starts(step)
        self.log_note(
            f"the wall clock was stepped by {step / 1e6:.0f} s; the time of the one before holds on"
        )

    async def run(self) -> None:
        """Wait, once ready, until this process is the one that takes; then be the one that is followed."""
        await self.ingress.ready.wait()
        if self.predecessor is not None:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.receive_from_predecessor, self.predecessor)
                nursery.start_soon(self.take_over_if_unserved)
                await self.serving.wait()
                self.begin_serving()
                nursery.start_soon(self.listen_for_successors)
                await trio.sleep_forever()
        self.begin_serving()
        await self.listen_for_successors()

    def begin_serving(self) -> None:
        self.serving.set()
        self.ingress.begin_serving()

    async def receive_from_predecessor(self, link: HandoverConnection) -> None:
        def heed(message: HandoverMessage) -> None:
            if "ids" in message:
                self.import_ids(message["ids"])
            if "yours" in message and not self.serving.is_set():
                self.import_state(message["yours"])
                self.serving.set()

        await self.receive(link, heed)
        self.predecessor = None
        self.ingress.share_limits(False)
        if not self.serving.is_set():
            self.log_note("the one before is gone and left nothing; this one goes on by what it has")
        self.serving.set()

    def import_ids(self, given: Any) -> None:
        """The ids of requests that may have run, or may yet, at the process before: they do not run here."""
        if isinstance(given, list) and all(isinstance(each, str) for each in given):
            self.ingress.decision_actor.spent_ids.add_all(given, self.ingress.clock.now)

    def import_state(self, given: Any) -> None:
        try:
            import_state(
                self.ingress.decision_actor.engine, given, self.ingress.clock.unix(self.ingress.clock.now)
            )
        except INVALID_VALUE_ERRORS as error:
            self.log_note(f"what was left here can't be read ({type(error).__name__}: {error})")
            return
        self.log_note(f"goes on with {len(given['accounts'])} customers' accounts")

    async def take_over_if_unserved(self) -> None:
        """Guards against one that serves no more but does not end: clients would wait for nobody."""
        acceptor, waited = self.ingress.acceptors[0], 0.0
        while not self.serving.is_set():
            await trio.sleep(CHECK_INTERVAL_S)
            waited = waited + CHECK_INTERVAL_S if acceptor.has_backlog() else 0.0
            if waited >= MAX_UNSERVED_S and self.predecessor is not None and not self.serving.is_set():
                self.log_note(f"clients waited {MAX_UNSERVED_S} s for the one before; this one takes")
                self.predecessor.queue_message({"mine": True})
                self.serving.set()

    # As the one that is followed.

    async def listen_for_successors(self) -> None:
        try:
            await self.socket.listen(self.serve_successor)
        except OSError as error:
            self.log_note(f"cannot be found by the next one: {error}")

    async def serve_successor(self, link: HandoverConnection) -> None:
        """One that follows, until it or this process ends."""
        self.successor, self.handed_over = link, False
        self.ingress.share_limits(True)
        link.queue_message({"hello": self.hello_message()})

        def heed(message: HandoverMessage) -> None:
            if "mine" in message and not self.handed_over:
                self.handed_over = True
                self.log_note("the next one takes, unasked")
                self.ingress.stop_serving()

        await self.receive(link, heed)
        self.successor = None
        self.ingress.share_limits(False)
        if self.handed_over:
            self.log_note("the next one is gone: this one takes again")
            self.ingress.begin_serving()

    def successor_is_gone(self) -> bool:
        """Whether the one that this process gave all to is gone: until its own end, this one takes again."""
        return self.handed_over and self.successor is None

    def hello_message(self) -> dict[str, Any]:
        registry = self.ingress.registry
        return {
            "version": PROTOCOL_VERSION,
            "name": self.ingress.config.name,
            "unix_offset": self.ingress.clock.unix_offset,
            "away": self.ingress.serving.draining_clients,
            "seen": list(registry.known_ids),
            "down": registry.banned_since,
            "back": registry.unbanned_at,
            "list": {
                "seq": registry.version,
                "hosts": [
                    [h.name, h.address, h.state, h.started_at, h.site, h.kind, h.block, h.weight]
                    for h in registry.backends.values()
                ],
            },
        }

    def hand_over(self) -> bool:
        """This process takes no more. Whether there is one that goes on."""
        if self.successor is None or self.handed_over:
            return self.handed_over
        self.handed_over = True
        self.successor.queue_message(
            {
                "yours": export_state(self.ingress.decision_actor.engine),
                "ids": self.ingress.decision_actor.ids_not_to_repeat(),
            }
        )
        self.log_note("handed over")
        return True

    async def receive(self, link: HandoverConnection, heed: Callable[[HandoverMessage], None]) -> None:
        """Until the link ends; operators' calls are the same on both sides."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.send, link)
            try:
                while (message := await link.receive()) is not None:
                    if "say" in message:
                        self.ingress.commands.apply(str(message["say"]))
                    elif "word" in message:
                        self.receive_quota_answer(message["word"])
                    else:
                        heed(message)
            except HandoverProtocolError as error:
                self.log_note(f"the other process speaks no sense ({error})")
            nursery.cancel_scope.cancel()

    async def send(self, link: HandoverConnection) -> None:
        try:
            await link.send_queued()
        except (trio.BrokenResourceError, trio.ClosedResourceError, trio.TooSlowError):
            await trio.aclose_forcefully(link.stream)  # whoever hears on it sees the end
