"""Puts the parts together and runs them until the drain is over."""

from __future__ import annotations

import gc
import os
import signal
import sys
from collections.abc import Callable

import trio

from gorsefork.decisions import interface as i
from gorsefork.life.config import BadConfig, Config, read_config
from gorsefork.memory.clock import Clock
from gorsefork.memory.deciding import Decider
from gorsefork.memory.registry import Registry
from gorsefork.wire.acceptor import Acceptor
from gorsefork.wire.boxes import Fleet
from gorsefork.wire.counter import CounterClient
from gorsefork.wire.datagrams import PeerSocket
from gorsefork.wire.discovery import BadList, DiscoveryWatch, read_list
from gorsefork.wire.platform import PlatformFront

CLIENT_SHARE, BOX_SHARE = 0.55, 0.3  # of the descriptors; the rest is for all else
DISCOVERY_PATIENCE = 0.3  # s at the start for discovery's first word; then the known list has to do
ACCEPT_FOR = 0.45  # s after SIGTERM: the front goes on sending new connections for up to 0.4 s
FINISH_BY = 3.3  # s after SIGTERM, the last answers; SIGKILL comes no sooner than at 3.7 s
LAST_WRITES = 0.1  # s for answers to leave


def log(text: str) -> None:
    print(text, file=sys.stderr, flush=True)


class Absent:
    """Stands where a site has no counter or no messages: nothing is added, nothing is sent."""

    def __init__(self, post: Callable[[i.Event], None]) -> None:
        self.post = post

    def add(self, name: str, amount: float, ttl_us: int) -> None:
        self.post(i.Counted(name, "connect_failed"))

    def tell(self, peer: int | None, data: bytes) -> None:
        """A message that reaches nobody."""


class Ingress:
    """One ingress, all parts of it, from its configuration."""

    def __init__(self, config: Config, clock: Clock) -> None:
        settings, sockets = config.settings, config.sockets
        self.clock, self.is_ready = clock, False
        self.decider = Decider(settings, config.seed, clock, log)
        self.decider.sites += config.sites
        self.decider.kinds += config.kinds
        self.registry = Registry(self.decider.listed, lambda host: self.fleet.changed(host))
        self.fleet = Fleet(clock, self.registry, self.decider.ended, settings.limits.keepalive,
                           settings.limits.connect_timeout, int(sockets * BOX_SHARE))
        known = read_list(config.known, clock, cached=True)
        self.registry.apply(known)
        self.watch = DiscoveryWatch(config.discovery, self.registry, clock, known.version)
        absent = Absent(self.decider.post)
        self.counter = CounterClient(config.counter, clock, settings.accounting.counter_timeout,
                                     self.decider.post) if config.counter else None
        self.peers = PeerSocket(config.peer_listen, config.peers, config.peers_all, settings.me,
                                self.decider.post) if config.peer_listen else None
        self.decider.boxes, self.decider.discovery = self.fleet, self.watch
        self.decider.counter, self.decider.peers = self.counter or absent, self.peers or absent
        front = PlatformFront(settings, self.decider.take, self.decider.gone, lambda: self.is_ready)
        self.acceptor = Acceptor(config.listen, front, clock, int(sockets * CLIENT_SHARE))

    async def run(self) -> None:
        async with trio.open_nursery() as nursery:
            for part in (self.decider, self.registry, self.fleet, self.watch, self.acceptor):
                nursery.start_soon(part.run)
            if self.counter is not None:
                nursery.start_soon(self.counter.run)
            if self.peers is not None:
                nursery.start_soon(self.peers.run)
            nursery.start_soon(self.become_ready)
            with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
                async for _ in signals:
                    break
            await self.drain()
            nursery.cancel_scope.cancel()

    async def become_ready(self) -> None:
        with trio.move_on_after(DISCOVERY_PATIENCE):
            await self.watch.answered.wait()
        gc.collect()
        gc.freeze()  # what lives as long as the program is not worth looking at again
        self.is_ready = True

    async def drain(self) -> None:
        """Finish what was taken: new connections for a while yet, then only the calls in hand."""
        began = trio.current_time()
        self.acceptor.closing = True
        self.acceptor.close_idle()
        await trio.sleep_until(began + ACCEPT_FOR)
        self.acceptor.stop_listening()
        while self.acceptor.connections and trio.current_time() < began + FINISH_BY:
            self.acceptor.close_idle()
            await trio.sleep(0.02)
        for call in list(self.decider.calls.values()):
            if not call.over:
                self.decider.post(i.Timer(f"d:{call.id}"))
        await trio.sleep(LAST_WRITES)


def main() -> None:
    try:
        config = read_config(os.environ)
        clock = Clock()
        trio.run(serve, config, clock, instruments=[clock])
    except (BadConfig, BadList) as error:
        log(f"gorsefork: {error}")
        sys.exit(2)


async def serve(config: Config, clock: Clock) -> None:
    await Ingress(config, clock).run()
