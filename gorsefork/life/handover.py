"""A change of version under load: which of two processes takes, and what passes from one to the other.

One takes at a time, by construction: the next one waits, ready, until the one that serves says ``yours`` or
is gone. Whatever is wrong with the link, the next one says so and goes on by what it has.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any, Protocol

import trio

from gorsefork.decisions.handing import hand_over, take_over
from gorsefork.decisions.interface import PeerMessage
from gorsefork.decisions.rules import NO, YES
from gorsefork.decisions.state import Note
from gorsefork.life.config import UNREADABLE, Config
from gorsefork.memory.clock import Clock
from gorsefork.memory.commands import OperatorCommands
from gorsefork.memory.deciding import Decider
from gorsefork.memory.ports import Log
from gorsefork.memory.registry import Host, News, Registry
from gorsefork.memory.serving import ServingState
from gorsefork.wire.acceptor import Acceptor
from gorsefork.wire.discovery import DiscoveryWatch
from gorsefork.wire.services.succession import HELLO_WITHIN, VERSION, BadLink, Link, Message, Place

STEP_FROM = 1_000_000  # us by which the wall clock differs from that of the one before, where it was stepped
UNSERVED, LOOK_EVERY = 1.0, 0.05  # s for which clients wait on the socket all the time: nobody takes there


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
    watch: DiscoveryWatch
    decider: Decider
    acceptors: list[Acceptor]

    def share_limits(self, shared: bool) -> None:
        """Whether another process is this ingress too, so that each may hold half of its connections."""
        ...

    def begin_taking(self) -> None:
        """Clients and peers come to this process from here on."""
        ...

    def cease_taking(self) -> None:
        """Another process takes; this one finishes what it has."""
        ...


class Handover:
    """Both sides of it, for one process: first as the one that follows, later as the one that is followed."""

    def __init__(self, ingress: Ingress, folder: str) -> None:
        config = ingress.config
        self.ingress, self.place = ingress, Place(folder, config.name or str(config.settings.me))
        self.before: Link | None = None  # to the one that serves still, or finishes
        self.next: Link | None = None  # to the one that is to follow
        self.taking = trio.Event()
        self.handed = False
        ingress.commands.listeners.append(self.tell)

    def tell(self, call: str) -> None:
        """An operator's call made here holds at the other process too."""
        for link in (self.before, self.next):
            if link is not None:
                link.say({"say": call})

    def pass_on(self, message: PeerMessage) -> None:
        """A keeper's word comes to the socket that was bound last: on a try of the one before it belongs
        there. Whose it is tells its number, which the other does not know."""
        if self.before is None:
            return
        note = Note.read(message.data, len(self.ingress.config.settings.plans))
        if note is not None and note.kind in (YES, NO):
            self.before.say({"word": [message.sender, message.data.hex()]})

    def hear_word(self, word: Any) -> None:
        try:
            sender, data = word
            message = PeerMessage(int(sender), bytes.fromhex(data))
        except (TypeError, ValueError, OverflowError) as error:
            self.note(f"a word that can't be read ({type(error).__name__}: {error})")
            return
        self.ingress.decider.hear(message)

    def note(self, text: str) -> None:
        self.ingress.log(f"gorsefork: change of version: {text}", event="handover")

    # As the one that follows.

    async def meet(self) -> None:
        """Find the one that serves and learn what holds there; bounded, and nothing if there is none."""
        link = await self.place.meet()
        if link is None:
            self.note("nobody serves here yet")
            return
        try:
            with trio.fail_after(HELLO_WITHIN):
                message = await link.hear()
            self.learn(message["hello"] if message else {})
        except (BadLink, trio.TooSlowError, *UNREADABLE) as error:
            self.note(f"what serves here said nothing of use ({type(error).__name__}: {error})")
            await trio.aclose_forcefully(link.stream)
            return
        self.before = link
        self.ingress.share_limits(True)
        self.note("another process serves here; this one follows when it is told to")

    def learn(self, hello: Mapping[str, Any]) -> None:
        if hello.get("version") != VERSION or hello.get("name") != self.ingress.config.name:
            raise BadLink(f"it is {hello.get('name')!r}, version {hello.get('version')!r}")
        self.keep_clock(hello.get("unix_offset"))
        registry, list_ = self.ingress.registry, hello["list"]
        hosts = tuple(
            Host(str(n), str(d), s, int(at), str(site), str(kind), int(block), float(share))
            for n, d, s, at, site, kind, block, share in list_["hosts"]
        )
        if int(list_["seq"]) > registry.version and all(h.state in ("ready", "draining") for h in hosts):
            registry.apply(News("cached", int(list_["seq"]), hosts))
            self.ingress.watch.version = registry.version
        for name in hello["seen"]:
            registry.see(str(name))
        for name, since in hello["down"].items():
            registry.see(str(name))
            registry.down[str(name)] = int(since)
        registry.back.update({str(name): int(at) for name, at in hello["back"].items()})
        for name in {*registry.down, *registry.back}:
            registry.retell(name)
        self.ingress.serving.send_away(bool(hello["away"]))

    def keep_clock(self, offset: Any) -> None:
        """Go on with the Unix time of the one before. Guards against a wall clock that was stepped between
        the two starts: customers' quotas would be filled by the step, and their counts have other names."""
        clock = self.ingress.clock
        if not isinstance(offset, int) or abs(clock.unix_offset - offset) < STEP_FROM:
            return
        step, clock.unix_offset = clock.unix_offset - offset, offset
        self.ingress.registry.move_starts(step)
        self.note(f"the wall clock was stepped by {step / 1e6:.0f} s; the time of the one before holds on")

    async def follow(self) -> None:
        """Wait, once ready, until this process is the one that takes; then be the one that is followed."""
        await self.ingress.ready.wait()
        if self.before is not None:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.hear_before, self.before)
                nursery.start_soon(self.watch_socket)
                await self.taking.wait()
                self.take()
                nursery.start_soon(self.be_found)
                await trio.sleep_forever()
        self.take()
        await self.be_found()

    def take(self) -> None:
        self.taking.set()
        self.ingress.begin_taking()

    async def hear_before(self, link: Link) -> None:
        def heed(message: Message) -> None:
            if "yours" in message and not self.taking.is_set():
                self.go_on_with(message["yours"])
                self.taking.set()

        await self.hear(link, heed)
        self.before = None
        self.ingress.share_limits(False)
        if not self.taking.is_set():
            self.note("the one before is gone and left nothing; this one goes on by what it has")
        self.taking.set()

    def go_on_with(self, given: Any) -> None:
        try:
            take_over(self.ingress.decider.gate, given, self.ingress.clock.unix(self.ingress.clock.now))
        except UNREADABLE as error:
            self.note(f"what was left here can't be read ({type(error).__name__}: {error})")
            return
        self.note(f"goes on with {len(given['accounts'])} customers' accounts")

    async def watch_socket(self) -> None:
        """Guards against one that serves no more but does not end: clients would wait for nobody."""
        acceptor, waited = self.ingress.acceptors[0], 0.0
        while not self.taking.is_set():
            await trio.sleep(LOOK_EVERY)
            waited = waited + LOOK_EVERY if acceptor.backlog_waits() else 0.0
            if waited >= UNSERVED and self.before is not None and not self.taking.is_set():
                self.note(f"clients waited {UNSERVED} s for the one before; this one takes")
                self.before.say({"mine": True})
                self.taking.set()

    # As the one that is followed.

    async def be_found(self) -> None:
        try:
            await self.place.listen(self.be_followed)
        except OSError as error:
            self.note(f"cannot be found by the next one: {error}")

    async def be_followed(self, link: Link) -> None:
        """One that follows, until it or this process ends."""
        self.next, self.handed = link, False
        self.ingress.share_limits(True)
        link.say({"hello": self.hello()})

        def heed(message: Message) -> None:
            if "mine" in message and not self.handed:
                self.handed = True
                self.note("the next one takes, unasked")
                self.ingress.cease_taking()

        await self.hear(link, heed)
        self.next = None
        self.ingress.share_limits(False)
        if self.handed:
            self.note("the next one is gone: this one takes again")
            self.ingress.begin_taking()

    def deserted(self) -> bool:
        """Whether the one that this process gave all to is gone: until its own end, this one takes again."""
        return self.handed and self.next is None

    def hello(self) -> dict[str, Any]:
        registry = self.ingress.registry
        return {
            "version": VERSION,
            "name": self.ingress.config.name,
            "unix_offset": self.ingress.clock.unix_offset,
            "away": self.ingress.serving.away,
            "seen": list(registry.seen),
            "down": registry.down,
            "back": registry.back,
            "list": {
                "seq": registry.version,
                "hosts": [
                    [h.name, h.dial, h.state, h.started, h.site, h.kind, h.block, h.share]
                    for h in registry.hosts.values()
                ],
            },
        }

    def give(self) -> bool:
        """This process takes no more. Whether there is one that goes on."""
        if self.next is None or self.handed:
            return self.handed
        self.handed = True
        self.next.say({"yours": hand_over(self.ingress.decider.gate)})
        self.note("handed over")
        return True

    async def hear(self, link: Link, heed: Callable[[Message], None]) -> None:
        """Until the link ends; operators' calls are the same on both sides."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.speak, link)
            try:
                while (message := await link.hear()) is not None:
                    if "say" in message:
                        self.ingress.commands.apply(str(message["say"]))
                    elif "word" in message:
                        self.hear_word(message["word"])
                    else:
                        heed(message)
            except BadLink as error:
                self.note(f"the other process speaks no sense ({error})")
            nursery.cancel_scope.cancel()

    async def speak(self, link: Link) -> None:
        try:
            await link.speak()
        except (trio.BrokenResourceError, trio.ClosedResourceError, trio.TooSlowError):
            await trio.aclose_forcefully(link.stream)  # whoever hears on it sees the end
