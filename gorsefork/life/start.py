"""Puts the parts together and runs them until the drain is over."""

from __future__ import annotations

import gc
import math
import os
import random
import signal
import sys
from collections.abc import AsyncIterator, Callable, Mapping
from dataclasses import asdict, fields, replace
from pathlib import Path
from typing import TYPE_CHECKING

import trio

from gorsefork.decisions import interface as i
from gorsefork.life.config import Config, InvalidConfig, read_config
from gorsefork.life.memory_limits import MemoryLimits, describe
from gorsefork.memory.clock import Clock, LoopStalls
from gorsefork.memory.commands import OperatorCommands
from gorsefork.memory.decision_actor import DecisionActor
from gorsefork.memory.memory_budget import MemoryBudget
from gorsefork.memory.ports import Log
from gorsefork.memory.registry import Registry
from gorsefork.memory.serving import ServingState
from gorsefork.memory.work_turns import WorkTurns
from gorsefork.wire.acceptor import Acceptor
from gorsefork.wire.backends import BackendPool
from gorsefork.wire.counter import CounterClient
from gorsefork.wire.discovery import DiscoveryClient, InvalidBackendList, read_list
from gorsefork.wire.fronts.operators import OperatorsFront
from gorsefork.wire.http1.connection import LAST_HEADS_TIMEOUT_S
from gorsefork.wire.peer_socket import PeerSocket
from gorsefork.wire.platform import PlatformFront

if TYPE_CHECKING:
    from gorsefork.life.handover import Handover
    from gorsefork.life.installation import Installation
    from gorsefork.life.introspection_config import IntrospectionConfig

CLIENT_SHARE, BACKEND_SHARE, INTROSPECTION_SHARE = 0.4, 0.3, 0.1  # of the descriptors
# descriptors for all else: listeners, operators, counter, discovery, peers, the loop's own
OTHER_DESCRIPTORS = 34
# Of the descriptors, clients without a request. Guards against a crowd that takes this ingress's time rather
# than its places: with four times as many, those that ask nonsense on and on left too little for calls.
IDLE_CLIENT_SHARE = 0.1
REFUSED_CLIENT_SHARE = 0.12  # of the descriptors, for new connections that are told of an overload
DISCOVERY_TIMEOUT_S = 0.3  # s at the start for discovery's first word, before this ingress is ready
ACCEPT_AFTER_SIGTERM_S = 0.45  # s after SIGTERM: the front goes on sending new connections for up to 0.4 s
LAST_REQUESTS_S = 0.1  # s for the requests on the last connections to be read
# s after SIGTERM, the last answers: SIGKILL comes no sooner than the longest deadline (counted as 3 s where
# it is longer) and 0.7 s more.
MAX_DEADLINE_COUNTED_S, FINISH_MARGIN_S = 3.0, 0.3
LAST_WRITES_S = 0.1  # s for answers to leave
# s after SIGTERM for long answers to leave, if nobody ends this process sooner: 32 MB take 512 s at 64 kB/s
MAX_STREAMING_S = 600.0
DEPLOY = Path(__file__).parents[2] / "deploy"
OPERATOR_FILE, INTROSPECTION_FILE = DEPLOY / "operator.toml", DEPLOY / "introspection.toml"
CHECK_INTERVAL_S = 0.02  # s between looks whether all have left


def log(text: str, /, *, event: str = "", **fields: object) -> None:
    print(text, file=sys.stderr, flush=True)


def operator_file(env: Mapping[str, str]) -> Path | None:
    """The operator's file, if there is one. Without it nothing of what it switches on is even loaded."""
    if path := env.get("GORSEFORK_OPERATOR"):
        return Path(path)
    return OPERATOR_FILE if OPERATOR_FILE.exists() else None


class AbsentService:
    """Stands where a site has no counter or no messages: nothing is added, nothing is sent."""

    def __init__(self, post: Callable[[i.Event], None]) -> None:
        self.post = post

    def add(self, name: str, amount: float, ttl_us: int) -> None:
        self.post(i.CounterReply(name, "connect_failed"))

    def send(self, peer: int | None, data: bytes) -> None:
        """A message that reaches nobody."""


class Ingress:
    """One ingress, all parts of it, from its configuration."""

    def __init__(
        self,
        config: Config,
        clock: Clock,
        introspection: IntrospectionConfig | None,
        extra: Installation | None = None,
    ) -> None:
        self.config, self.installation, self.has_introspection = config, extra, introspection is not None
        self.limits_shared = False  # another process is this ingress too
        self.log: Log = extra.log if extra is not None else log
        settings, sockets = config.settings, config.sockets
        self.clock, self.serving, self.ending = clock, ServingState(), trio.Event()
        clock.on_stalls = self.log_stalls
        self.ready = self.serving.ready
        self.turns, self.memory = WorkTurns(), MemoryLimits(config.memory_mb, config.scratch)
        self.decision_actor = DecisionActor(settings, config.seed, clock, self.log_note)
        self.decision_actor.site_names += config.sites
        self.decision_actor.kind_names += config.kinds
        self.registry = Registry(
            self.decision_actor.backends_updated, lambda host: self.pool.on_backend_change(host)
        )
        self.pool = BackendPool(
            clock,
            self.registry,
            self.decision_actor.attempt_ended,
            settings.limits.keepalive,
            settings.limits.connect_timeout,
            int(sockets * BACKEND_SHARE),
            self.decision_actor.begin_streamed_answer,
            self.turns,
            self.memory.account,
        )
        known = read_list(config.known, clock, cached=True)
        self.registry.apply(known)
        self.discovery = DiscoveryClient(
            config.discovery,
            self.registry,
            clock,
            known.version,
            random.Random(config.seed),
            settings.ingresses if settings.subscribe else 0,
        )
        absent = AbsentService(self.decision_actor.post)
        self.counter = (
            CounterClient(
                config.counter, clock, settings.accounting.counter_timeout, self.decision_actor.post
            )
            if config.counter
            else None
        )
        self.peers = (
            PeerSocket(
                config.peer_listen,
                config.peers,
                config.peers_all,
                settings.own_index,
                self.receive_peer_message,
                config.listen_fd is not None,
            )
            if config.peer_listen
            else None
        )
        self.decision_actor.backends, self.decision_actor.discovery = self.pool, self.discovery
        self.decision_actor.counter, self.decision_actor.peers = self.counter or absent, self.peers or absent
        front = PlatformFront(
            settings,
            self.decision_actor.accept_call,
            self.decision_actor.client_gone,
            self.ready.is_set,
            self.serving.healthy,
        )
        most = self.max_clients(sockets)
        self.acceptors = [
            Acceptor(
                config.listen,
                front,
                clock,
                most,
                int(sockets * IDLE_CLIENT_SHARE),
                config.listen_fd,
                self.decision_actor.metrics.count_break,
                self.turns,
                self.memory.account,
            )
        ]
        if introspection is not None:
            self.acceptors.append(self.make_introspection_acceptor(introspection, settings, sockets))
        for acceptor in self.acceptors:
            acceptor.count_refusal = self.decision_actor.metrics.count_refusal
        if extra is not None:
            extra.attach(self.decision_actor, self.ready.is_set)
            if extra.acceptor is not None:
                extra.acceptor.memory = self.memory.account
        self.serving.listeners += [acceptor.set_draining for acceptor in self.acceptors]
        self.commands = OperatorCommands(
            self.serving,
            self.registry,
            self.decision_actor.metrics,
            self.decision_actor.avoided_backends,
            self.log,
        )
        self.commands.memory_lines = self.memory.monitor.lines
        self.commands.slow_start_lines = self.decision_actor.slow_start_lines
        self.operators = OperatorsFront(config.ops, self.commands.answer) if config.ops else None
        self.apply_limits()
        self.handover: Handover | None = None
        if config.listen_fd is not None and config.scratch:
            from gorsefork.life.handover import Handover  # only where the platform changes versions so

            self.handover = Handover(self, config.scratch)

    def log_note(self, text: str) -> None:
        self.log(text, event="note")

    def log_stalls(self, held: LoopStalls) -> None:
        turn, oversleep = held.longest_turn // 1000, held.longest_oversleep // 1000
        self.log(
            f"gorsefork: held up {held.count} times: a turn of {turn} ms, a wait {oversleep} ms too long",
            event="process.held",
            times=held.count,
            longest_turn_ms=turn,
            longest_oversleep_ms=oversleep,
        )

    def receive_peer_message(self, message: i.PeerMessage) -> None:
        self.decision_actor.receive_peer_message(message)
        if self.handover is not None:
            self.handover.forward_quota_answer(message)

    def make_introspection_acceptor(
        self, given: IntrospectionConfig, settings: i.Settings, sockets: int
    ) -> Acceptor:
        from gorsefork.life.introspection_config import make_tenants
        from gorsefork.wire.introspection import IntrospectionFront, TokenChecker
        from gorsefork.wire.introspection_client import IntrospectionClient

        client = IntrospectionClient(
            given.address,
            given.path,
            given.client_id,
            given.client_secret,
            given.timeout_ms / 1000,
            given.most_in_flight,
            self.clock,
            self.log_note,
        )
        front = IntrospectionFront(
            settings,
            TokenChecker(client, given.scopes, given.audience),
            make_tenants(given, settings, self.log_note),
            given.tenant_claim,
            given.max_age_ms,
            self.clock,
            self.decision_actor.accept_call,
            self.decision_actor.client_gone,
            self.ready.is_set,
        )
        acceptor = Acceptor(
            given.listen,
            front,
            self.clock,
            int(sockets * INTROSPECTION_SHARE),
            count_break=self.decision_actor.metrics.count_break,
            turns=self.turns,
            memory=self.memory.account,
        )
        front.start = acceptor.start
        return acceptor

    def max_clients(self, sockets: int) -> int:
        """Guards against a crowd of clients that leaves no descriptor for operators, counter or discovery."""
        rest = 1.0 - BACKEND_SHARE - (INTROSPECTION_SHARE if self.has_introspection else 0.0)
        others = OTHER_DESCRIPTORS + (
            self.installation.connections.descriptors if self.installation is not None else 0
        )
        return max(4, min(int(sockets * CLIENT_SHARE), int(sockets * rest) - others))

    def share_limits(self, shared: bool) -> None:
        """While two processes are this ingress, each may hold half of its connections and memory."""
        self.limits_shared = shared
        budget, max_clients = self.apply_limits()
        if not budget.limit_bytes:
            return
        self.log(f"gorsefork: {describe(budget, max_clients)}", event="memory.budget", **asdict(budget))

    def apply_limits(self) -> tuple[MemoryBudget, int]:
        """Set the bounds of all parts; the memory budget, and the clients that the descriptors allow."""
        processes = 2 if self.limits_shared else 1
        sockets = self.config.sockets // processes
        clients = self.max_clients(sockets)
        budget = self.memory.apply(
            self.acceptors,
            self.pool,
            self.decision_actor,
            clients,
            int(sockets * BACKEND_SHARE),
            processes,
        )
        self.acceptors[0].refused.most = int(sockets * REFUSED_CLIENT_SHARE)
        self.acceptors[0].max_idle = min(budget.clients, int(sockets * IDLE_CLIENT_SHARE))
        return budget, clients

    def begin_serving(self) -> None:
        """Clients and peers come to this process from here on."""
        if not self.serving.closing or (self.handover is not None and self.handover.successor_is_gone()):
            self.acceptors[0].begin_accepting()
            self.acceptors[0].set_draining(self.serving.draining_clients)
        if self.peers is not None:
            self.peers.open()

    def stop_serving(self) -> None:
        """Another process of this ingress takes; this one finishes what it has, and no connection stays."""
        self.acceptors[0].stop_accepting()
        self.acceptors[0].set_draining(True)

    async def run(self) -> None:
        """Until SIGTERM, and then until the drain is over."""
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.run_parts)
                nursery.start_soon(self.handle_signals, signals)
                await self.ending.wait()
                await self.drain()
                nursery.cancel_scope.cancel()

    async def handle_signals(self, signals: AsyncIterator[int]) -> None:
        """Also during the drain: trio raises the signals that nobody took once more when all has ended."""
        async for number in signals:
            if number == signal.SIGHUP:
                self.reload(os.environ)
            else:
                self.ending.set()

    def reload(self, env: Mapping[str, str]) -> None:
        """The new file holds as a whole or not at all. What is open stays open, whatever it says."""
        try:
            new = read_config(env)
            read_list(new.known, self.clock, cached=True)
        except (InvalidConfig, InvalidBackendList) as error:
            self.log(
                f"gorsefork: kept the old configuration: {error}", event="config.kept", reason=str(error)
            )
            return
        old, here = self.config, {"known", "seed", "discovery"}
        if new.discovery != old.discovery:
            self.discovery.move(new.discovery)
        if self.counter is not None and new.counter:
            here.add("counter")
            if new.counter != old.counter:
                self.counter.move(new.counter)
        self.config = replace(old, **{key: getattr(new, key) for key in here})
        rest = [f.name for f in fields(new) if getattr(new, f.name) != getattr(self.config, f.name)]
        waits = ", ".join(rest) or "nothing"
        self.log(
            f"gorsefork: read the configuration anew; waits for a restart: {waits}",
            event="config.reloaded",
            waits_for_restart=rest,
        )

    async def run_parts(self) -> None:
        async with trio.open_nursery() as nursery:
            if self.operators is not None:
                nursery.start_soon(self.operators.run)
            if self.handover is not None:
                await self.handover.connect()
                nursery.start_soon(self.handover.run)
            elif self.config.listen_fd is not None:
                self.begin_serving()
            for run in (self.decision_actor.run, self.registry.run, self.pool.run, self.discovery.run):
                nursery.start_soon(run)
            for acceptor in self.acceptors:
                nursery.start_soon(acceptor.run)
            if self.counter is not None:
                nursery.start_soon(self.counter.run)
            if self.peers is not None:
                nursery.start_soon(self.peers.run)
            if self.installation is not None:
                nursery.start_soon(self.installation.run)
            nursery.start_soon(self.memory.monitor.run)
            nursery.start_soon(self.become_ready)

    async def become_ready(self) -> None:
        # Guards against a send to what has left since the known list: where the list is pushed, its news
        # count as told. Where it must be asked for, a known list is enough to serve by.
        if not self.registry.backends or not self.config.settings.subscribe:
            with trio.move_on_after(DISCOVERY_TIMEOUT_S):
                await self.discovery.answered.wait()
        if self.installation is not None:
            await self.installation.catch_up()
        self.memory.measure_resting()
        self.apply_limits()
        gc.freeze()  # what lives as long as the program is not worth looking at again
        self.ready.set()
        where = [acceptor.address for acceptor in self.acceptors]
        control = (
            self.installation.acceptor.address
            if self.installation is not None and self.installation.acceptor
            else ""
        )
        self.log(
            f"gorsefork: ready on {', '.join(where)}", event="ingress.ready", listen=where, control=control
        )
        self.share_limits(self.limits_shared)

    def drain_timeout(self) -> float:
        longest = max(cls.deadline for cls in self.config.settings.classes)
        return min(MAX_DEADLINE_COUNTED_S, longest) + FINISH_MARGIN_S

    def open_calls(self) -> int:
        """Calls that have no final answer yet."""
        return sum(not call.finished for call in self.decision_actor.calls.values())

    async def drain(self) -> None:
        """Finish what was taken: new connections for a while yet, then only the calls in hand."""
        began, self.serving.closing = trio.current_time(), True
        waiting = self.open_calls()
        self.log(f"gorsefork: drains, with {waiting} calls in hand", event="drain.begun", open_calls=waiting)
        followed = self.handover is not None and self.handover.successor is not None
        if followed:
            self.acceptors[0].stop_accepting()
        for acceptor in self.acceptors:
            acceptor.closing = True
            acceptor.close_idle(math.inf if followed else LAST_HEADS_TIMEOUT_S)
        if self.handover is not None and followed:
            self.decision_actor.run_turn()  # what has come is decided by what is here still
            followed = self.handover.hand_over()
        if not followed:
            await trio.sleep_until(began + ACCEPT_AFTER_SIGTERM_S)
        async with trio.open_nursery() as nursery:
            for acceptor in self.acceptors:
                if not followed or acceptor is not self.acceptors[0]:
                    nursery.start_soon(
                        acceptor.stop_listening, began + self.drain_timeout() - LAST_REQUESTS_S
                    )
        self.log("gorsefork: takes no more connections", event="drain.listeners_closed")
        await trio.sleep(LAST_REQUESTS_S)
        while trio.current_time() < began + self.drain_timeout() and (
            any(acceptor.busy() for acceptor in self.acceptors)
            or (self.handover is not None and self.handover.successor_is_gone())
        ):
            await trio.sleep(CHECK_INTERVAL_S)
        for acceptor in self.acceptors:
            acceptor.end_reading()
        given_up = self.open_calls()
        self.decision_actor.post(i.ShuttingDown())
        await trio.sleep(LAST_WRITES_S)
        self.log(f"gorsefork: drained; {given_up} calls given up", event="drain.ended", given_up=given_up)
        while (
            any(a.has_streamed_answers() for a in self.acceptors)
            and trio.current_time() < began + MAX_STREAMING_S
        ):
            await trio.sleep(CHECK_INTERVAL_S)
        if self.installation is not None:
            await self.installation.finish()


def main() -> None:
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # outside of ``run`` it is to end nothing either
    faults: tuple[type[Exception], ...] = (InvalidConfig, InvalidBackendList)
    try:
        config = read_config(os.environ)
        clock, introspection, extra = Clock(), None, None
        if os.environ.get("GORSEFORK_INTROSPECTION") or INTROSPECTION_FILE.exists():
            from gorsefork.life.introspection_config import InvalidIntrospectionFile, from_environment

            faults = (*faults, InvalidIntrospectionFile)
            introspection = from_environment()
        if (path := operator_file(os.environ)) is not None:
            from gorsefork.life.installation import Installation
            from gorsefork.life.operator import InvalidOperatorFile, load_at_start
            from gorsefork.storage.database import InvalidState, WriteFailed

            faults = (*faults, InvalidOperatorFile, InvalidState, WriteFailed)
            if (given := load_at_start(path)) is not None:
                extra = Installation(given, config, clock)
        try:
            trio.run(serve, config, clock, introspection, extra, instruments=[clock])
        finally:
            if extra is not None:
                extra.close()
    except faults as error:
        for line in str(error).splitlines():
            log(f"gorsefork: {line}")
        sys.exit(2)


async def serve(
    config: Config, clock: Clock, introspection: IntrospectionConfig | None, extra: Installation | None
) -> None:
    await Ingress(config, clock, introspection, extra).run()
