"""Replication over real connections: what the exchange refuses, what it costs, faulty peers, arrival."""

from __future__ import annotations

import contextlib
import random
from collections.abc import AsyncIterator, Callable, Sequence
from contextlib import asynccontextmanager
from typing import Any
from unittest import mock

import msgspec
import pytest
import trio
from scenario import World, scenario
from test_client_pool import Server
from test_control import CONTROL, asks, told, wanted

from gorsefork.configuration import peer_set
from gorsefork.configuration.messages import (
    MAX_MESSAGE_BYTES,
    AnyMessage,
    Received,
    Statement,
    as_records,
    decode,
    encode,
)
from gorsefork.configuration.records import Record, RecordRefused, Refusal
from gorsefork.configuration.replication import Peer, ReplicationTimings, Replicator
from gorsefork.configuration.store import RecordStore
from gorsefork.life import start
from gorsefork.life.installation import Installation
from gorsefork.life.plan_records import record_of
from gorsefork.life.record_intake import RecordIntake
from gorsefork.memory.clock import SECOND, Clock
from gorsefork.plans.changes import Change, SetPlan
from gorsefork.wire.fronts import configuration_calls
from gorsefork.wire.http1.client import HttpClient, Response
from gorsefork.wire.http1.client_pool import PoolLimits
from gorsefork.wire.services import fleet_query as survey_module
from gorsefork.wire.services import replication_peers as peers_module
from gorsefork.wire.services.feed_reader import FeedReader
from gorsefork.wire.services.fleet_query import Member, Question
from gorsefork.wire.services.fleet_service import ControlPeer
from gorsefork.wire.services.replication_peers import ReplicationPeers
from gorsefork.wire.services.replication_transport import MEDIA, Transport, peer_headers

EXCHANGE = "/v1/configuration/exchange"
MANY = 150  # peers of a large fleet
SAME = encode([])  # an answer that says nothing


def extra_of(world: World, place: int = 0) -> Installation:
    extra = world.ingresses[place].installation
    assert extra is not None
    return extra


def set_plan(number: int, stamp: int) -> Change:
    return Change(stamp, "n9", SetPlan(f"{number:016x}", "rated", 1), "zoe")


async def exchange(world: World, body: bytes, peer: str = "n9", at: int = 0) -> Response:
    acceptor = extra_of(world, at).acceptor
    assert acceptor is not None
    client = HttpClient(acceptor.address)
    try:
        return await client.request("POST", EXCHANGE, body, MEDIA, 5.0, peer_headers(peer))
    finally:
        client.close()


class TestExchange:
    def test_records_are_taken_and_one_that_nobody_can_read_hinders_no_other(self) -> None:
        async def main(world: World) -> None:
            now = Clock().unix_us()
            good = record_of(set_plan(1, now))
            poison = Record("plan", f"{2:016x}", now + 1, "n9", "zoe", b"\xc1")
            body = encode([as_records([poison, good], 0)])
            for _ in range(2):  # the second time all is known
                answer = await exchange(world, body)
                assert answer.status == 200
                (received,) = decode(answer.body)
                assert isinstance(received, Received)
            extra = extra_of(world)
            assert len(extra.records) == 1 and extra.records.holds(good)
            status = await told(world, asks("GET", "/v1/configuration/status"))
            assert status["records"] == 1 and status["digest"] == extra.records.digest().hex()

        scenario("", operator=CONTROL, then=main)

    def test_a_body_beyond_what_other_calls_take_is_read_up_to_the_bound_of_a_message(self) -> None:
        async def main(world: World) -> None:
            now = Clock().unix_us()
            changes = [set_plan(n, now + n) for n in range(500)]
            records = [record_of(msgspec.structs.replace(each, note="z" * 200)) for each in changes]
            body = encode([as_records(records, 0)])
            assert 65536 < len(body) < MAX_MESSAGE_BYTES
            assert (await exchange(world, body)).status == 200
            assert len(extra_of(world).records) == 500
            assert (await exchange(world, bytes(MAX_MESSAGE_BYTES + 1))).status == 413

        scenario("", operator=CONTROL, then=main)

    @pytest.mark.parametrize(
        "sent",
        [
            f"Content-Length: {MAX_MESSAGE_BYTES + 1}\\n\\n" + "x" * 70_000,  # it is not waited for
            "Transfer-Encoding: chunked\\n\\n" + f"10000\\n{'x' * 65536}\\n" * 5,  # nor for its end
        ],
    )
    def test_a_body_that_is_too_long_is_refused_before_its_end(self, sent: str) -> None:
        scenario(
            f"c1 send raw3 POST {EXCHANGE} HTTP/1.1\\nHost: x\\nGorsefork-Peer: n9\\n{sent}\nc1 expect 413",
            operator=CONTROL,
        )

    @pytest.mark.parametrize(
        ("body", "peer", "status", "reason"),
        [
            (b"what?", "n9", 400, "cannot be read"),
            (b"", "n9", 400, "cannot be read"),
            (encode([]), "", 400, "Gorsefork-Peer"),
            (encode([]), "n" * 65, 400, "Gorsefork-Peer"),
        ],
    )
    def test_what_makes_no_sense_is_refused_with_its_reason(
        self, body: bytes, peer: str, status: int, reason: str
    ) -> None:
        async def main(world: World) -> None:
            answer = await exchange(world, body, peer)
            assert answer.status == status
            assert reason in msgspec.json.decode(answer.body)["error"]

        scenario("", operator=CONTROL, then=main)

    def test_exchanges_beyond_their_bound_give_way_to_operators(self) -> None:
        async def main(world: World) -> None:
            extra = extra_of(world)
            most, gate = extra.configuration_calls.max_exchanges, trio.Event()
            take = extra.replication.intake.take

            async def held(messages: Any) -> Any:
                await gate.wait()
                return await take(messages)

            extra.replication.intake.take = held  # type: ignore[method-assign]
            answers: list[int] = []

            async def ask() -> None:
                answers.append((await exchange(world, encode([]))).status)

            async with trio.open_nursery() as nursery:
                for _ in range(most):
                    nursery.start_soon(ask)
                with trio.fail_after(5):
                    while extra.configuration_calls.exchanges < most:
                        await trio.lowlevel.checkpoint()
                refused = await exchange(world, encode([]))
                assert refused.status == 503 and b"ask another peer" in refused.body
                await told(world, asks("GET", "/v1/status"))
                gate.set()
            assert answers == [200] * most

        scenario("", operator=CONTROL, then=main)


class TestInForce:
    @pytest.mark.parametrize(
        ("query", "status", "reason"),
        [
            ("?number=seven", 400, "no number"),
            ("?number=7@n9", 404, "ask the ingress that accepted it"),
            ("?depth=1", 422, "depth"),
            (f"?number={'1' * 97}", 422, "number"),
        ],
    )
    def test_a_question_that_makes_no_sense_is_refused(self, query: str, status: int, reason: str) -> None:
        async def main(world: World) -> None:
            path = f"/v1/configuration/in-force{query}"
            assert reason in (await told(world, asks("GET", path), status))["error"]

        scenario("", operator=CONTROL, then=main)

    def test_questions_to_the_whole_fleet_have_a_bound(self) -> None:
        async def main(world: World) -> None:
            with mock.patch.object(configuration_calls, "MAX_SURVEYS", 0):
                said = await told(world, asks("GET", "/v1/configuration/in-force"), 503)
            assert "ask again" in said["error"]

        scenario("", operator=CONTROL, then=main)

    def test_it_tells_who_has_a_change_who_lacks_it_and_who_says_nothing(self) -> None:
        async def main(world: World) -> None:
            made = await told(world, asks("POST", "/v1/changes", wanted()))
            replication = extra_of(world).replication
            lacking = extra_of(world, 1).acceptor
            assert lacking is not None
            silent = world.servers["accounts"].dial
            replication.configured_peers = [Peer("n1", lacking.address, ""), Peer("n2", silent, "")]
            with mock.patch.object(survey_module, "ANSWER_TIMEOUT_S", 0.2):
                said = await told(world, asks("GET", f"/v1/configuration/in-force?number={made['number']}"))
                assert (said["has"], said["lacks"], said["silent"]) == (["n0"], ["n1"], ["n2"])
                assert not said["everywhere"] and "did not answer" in said["members"][2]["reason"]
                replication.configured_peers = replication.configured_peers[:1]
                said = await told(world, asks("GET", "/v1/configuration/in-force"))
                assert (said["has"], said["lacks"], said["silent"]) == (["n0"], ["n1"], [])

        scenario("", ingresses=2, operator=CONTROL, apart=True, then=main)

    def test_a_survey_of_a_large_fleet_ends_in_its_time_and_with_bounded_connections(self) -> None:
        async def main() -> None:
            server = Server()
            server.gate = trio.Event()  # nobody answers
            async with at_many_addresses(server, MANY) as addresses:
                own = Statement("n0", 0, bytes(8), 0, 0, "", 0, 0, [])
                transport = Transport("n0", "", most_kept=0)
                members = [Member(f"n{n + 1}", address) for n, address in enumerate(addresses)]
                with (
                    mock.patch.object(survey_module, "SURVEY_TIMEOUT_S", 0.3),
                    mock.patch.object(survey_module, "ANSWER_TIMEOUT_S", 0.1),
                ):
                    with trio.fail_after(2):
                        said = await survey_module.in_force(transport, members, Question(own))
                transport.close()
                assert said["has"] == ("n0",) and len(said["silent"]) == MANY
                assert 0 < server.accepted < MANY
                server.gate.set()
                await server.until_connected(0)

        trio.run(main)


@asynccontextmanager
async def at_many_addresses(server: Server, count: int = 1) -> AsyncIterator[list[str]]:
    """One server behind so many listeners: to a client they are many servers."""
    async with trio.open_nursery() as nursery:
        addresses = []
        for _ in range(count):
            listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
            addresses.append(f"127.0.0.1:{listeners[0].socket.getsockname()[1]}")
            nursery.start_soon(trio.serve_listeners, server.serve, listeners)
        yield addresses
        nursery.cancel_scope.cancel()


class Service:
    """A replica's peers actor, without an ingress around it."""

    def __init__(self) -> None:
        self.clock = Clock()
        trio.lowlevel.add_instrument(self.clock)
        self.events: list[dict[str, Any]] = []
        self.store = RecordStore()
        self.intake = RecordIntake(self.store, self.take_records)
        rng = random.Random(5)
        self.replicator = Replicator("n0", "", self.store, self.intake.refusals_of, rng)
        feeds = FeedReader("", self.clock, 1, self.learn, self.reported, peer_headers("n0"))
        transport = Transport("n0", "")
        self.peers = ReplicationPeers(transport, self.replicator, self.intake, feeds, self.clock, self.log)

    async def take_records(self, records: Any) -> list[RecordRefused | None]:
        return [
            outcome if isinstance(outcome, RecordRefused) else None for outcome in self.store.add_all(records)
        ]

    async def learn(self, changes: Any) -> str:
        return ""

    def reported(self, address: str, problem: str) -> None:
        self.peers.feed_reported(address, problem)

    def log(self, text: str, /, *, event: str, **fields: object) -> None:
        self.events.append({"event": event, **fields})

    def told(self, kind: str) -> list[Any]:
        return [event["peer"] for event in self.events if event["event"] == kind]

    async def until(self, what: Callable[[], bool]) -> None:
        with trio.fail_after(8):
            while not what():
                await self.peers.answered.wait()


def http(body: bytes) -> bytes:
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)


async def until_cancelled(patch: contextlib.AbstractContextManager[Any]) -> None:
    with patch:
        await trio.sleep_forever()


class TestPeers:
    def test_a_large_fleet_costs_no_more_connections_than_the_pool_has(self) -> None:
        async def main() -> None:
            server, service = Server(http(SAME)), Service()
            async with at_many_addresses(server, MANY) as addresses, trio.open_nursery() as nursery:
                service.peers.set_peers(
                    [Peer(f"n{n + 1}", address, "") for n, address in enumerate(addresses)]
                )
                nursery.start_soon(service.peers.run)
                most = 0
                for stamp in range(1, 41):  # a change each, pushed to several peers
                    record = record_of(set_plan(stamp, stamp))
                    service.store.add(record)
                    service.peers.publish([record])
                    asked = server.asked
                    await server.until_asked(asked + 1)
                    most = max(most, server.connected)
                limits = service.peers.transport.pool.limits
                assert 0 < most <= limits.max_idle + limits.max_requests
                pool = service.peers.transport.pool
                assert len(pool.idle) <= limits.max_idle
                nursery.cancel_scope.cancel()
            await server.until_connected(0)

        trio.run(main)

    def test_at_rest_no_connection_is_open(self) -> None:
        async def main() -> None:
            server, service = Server(http(SAME)), Service()
            service.replicator.tempo = ReplicationTimings(compare_every=60 * SECOND)
            service.peers.transport.pool.limits = PoolLimits(idle_timeout=0.05)
            async with at_many_addresses(server, MANY) as addresses, trio.open_nursery() as nursery:
                service.peers.set_peers(
                    [Peer(f"n{n}", address, "") for n, address in enumerate(addresses, 1)]
                )
                nursery.start_soon(service.peers.run)
                record = record_of(set_plan(1, 1))
                service.store.add(record)
                service.peers.publish([record])
                await server.until_asked(service.replicator.tempo.fan_out)
                await server.until_connected(0)
                nursery.cancel_scope.cancel()

        trio.run(main)

    def test_one_that_never_agrees_compares_no_more_often_than_others(self) -> None:
        async def main() -> None:
            server, service = Server(http(SAME)), Service()  # it never says that it agrees
            service.replicator.tempo = ReplicationTimings(
                compare_every=60 * SECOND, compare_again=SECOND // 20
            )
            async with at_many_addresses(server) as addresses, trio.open_nursery() as nursery:
                service.peers.set_peers([Peer("n1", addresses[0], "")])
                nursery.start_soon(service.peers.run)
                with trio.move_on_after(0.5):
                    await service.peers.catch_up()
                assert 2 <= server.asked <= 15  # each 50 ms
                asked = server.asked
                with trio.move_on_after(0.2):
                    await server.until_asked(asked + 2)
                assert server.asked <= asked + 1  # one may have been on its way
                nursery.cancel_scope.cancel()

        trio.run(main)

    def test_a_peer_at_fault_is_told_of_once_until_it_is_heard_again(self) -> None:
        async def main() -> None:
            server, service = Server(http(b"what?")), Service()
            pauses = mock.patch.object(peer_set, "FIRST_PAUSE", SECOND // 20)
            async with at_many_addresses(server) as addresses, trio.open_nursery() as nursery:
                nursery.start_soon(until_cancelled, pauses)
                service.peers.set_peers([Peer("n1", addresses[0], "")])
                nursery.start_soon(service.peers.run)
                await service.until(lambda: service.replicator.figures.failed >= 2)
                assert service.told("peer.unheard") == ["n1"]
                assert service.peers.status()[0]["state"] == "unheard"
                server.answer = http(SAME)
                await service.until(lambda: service.told("peer.heard") == ["n1"])
                assert service.peers.status()[0]["problem"] == ""
                nursery.cancel_scope.cancel()

        trio.run(main)

    def test_a_peer_of_the_previous_version_is_left_to_the_feed_and_tried_again(self) -> None:
        async def main() -> None:
            service = Service()
            server = Server(b"HTTP/1.1 404 X\r\nContent-Length: 0\r\n\r\n")
            with mock.patch.object(peers_module, "OLD_VERSION_RETRY_US", SECOND // 5):
                async with at_many_addresses(server) as addresses, trio.open_nursery() as nursery:
                    service.peers.set_peers([Peer("n1", addresses[0], "")])
                    nursery.start_soon(service.peers.run)
                    await service.until(lambda: "n1" in service.told("peer.old_version"))
                    follower = service.peers.feeds.followers[addresses[0]]
                    figures = service.replicator.figures
                    await service.until(lambda: figures.comparisons >= 3)  # it was tried again
                    assert service.peers.feeds.followers[addresses[0]] is follower  # and is read on
                    assert service.told("peer.old_version") == ["n1"]
                    server.answer = http(SAME)  # it was replaced by a newer one
                    await service.until(lambda: "n1" in service.told("peer.heard"))
                    assert not service.peers.feeds.followers
                    assert not service.peers.status()[0]["old_version"]
                    nursery.cancel_scope.cancel()

        trio.run(main)

    def test_one_that_has_gone_is_asked_no_more(self) -> None:
        async def main() -> None:
            server, service = Server(http(SAME)), Service()
            async with at_many_addresses(server) as addresses, trio.open_nursery() as nursery:
                service.peers.set_peers([Peer("n1", addresses[0], "")])
                nursery.start_soon(service.peers.run)
                await service.until(lambda: service.told("peer.heard") == ["n1"])
                service.peers.set_peers([])
                assert service.peers.status() == [] and service.replicator.wake_at is None
                nursery.cancel_scope.cancel()

        trio.run(main)


@pytest.mark.parametrize("sockets", [256, 512, 1024, 4096])
def test_control_and_all_else_fit_into_the_descriptors(sockets: int) -> None:
    async def main(world: World) -> None:
        ingress, control = world.ingresses[0], extra_of(world).connections
        assert control.listener >= control.listener // 2 + control.listener // 4 + 8  # for operators
        backends = int(sockets * start.BACKEND_SHARE) + int(sockets * start.INTROSPECTION_SHARE)
        held = ingress.max_clients(sockets) + backends + start.OTHER_DESCRIPTORS + control.descriptors
        assert held <= sockets and ingress.max_clients(sockets) > 50

    scenario("", operator=CONTROL, sockets=sockets, then=main)


class TestArrival:
    def test_one_that_is_far_behind_takes_a_snapshot_and_is_ready_with_all(self) -> None:
        async def main(world: World) -> None:
            now = Clock().unix_us()
            first, second = extra_of(world, 0), extra_of(world, 1)
            assert await first.plan_service.apply_changes([set_plan(n, now + n) for n in range(2100)]) == ""
            where = first.acceptor.address if first.acceptor else ""
            take, gate = second.replication.intake.apply_records, trio.Event()

            async def held(records: Sequence[Record]) -> list[RecordRefused | None]:
                await gate.wait()
                return await take(records)

            second.replication.intake.apply_records = held
            second.replication.configured_peers = [Peer("n0", where, "")]
            second.replication.apply_view(())
            peers, replicator = second.replication.peers, second.replication.replicator
            with trio.fail_after(10):
                while not peers.installing:
                    await peers.answered.wait()
            comparisons = replicator.figures.comparisons
            with trio.move_on_after(2 * replicator.tempo.compare_again / SECOND):
                while replicator.figures.comparisons == comparisons:
                    await peers.answered.wait()
            assert replicator.figures.comparisons == comparisons  # it asks for nothing meanwhile
            behind: list[dict[str, object]] = []
            second.replication.log = lambda text, /, *, event, **fields: behind.append(fields)
            await second.replication.catch_up(0.01)
            assert behind[0]["lacking"] == 2100 and behind[0]["unheard"] == []
            gate.set()
            with trio.fail_after(10):
                await peers.catch_up()
            assert second.records.digest() == first.records.digest()
            assert second.plan_service.book.digest() == first.plan_service.book.digest()
            status = second.replication.status()
            assert status["snapshots"] == 1 and status["caught_up"] and not status["downloading"]

        scenario("", ingresses=2, operator=CONTROL, apart=True, then=main)

    def test_one_that_lacks_little_is_ready_without_waiting_for_another_turn(self) -> None:
        async def main(world: World) -> None:
            first, second = extra_of(world, 0), extra_of(world, 1)
            now = Clock().unix_us()
            assert await first.plan_service.apply_changes([set_plan(n, now + n) for n in range(5)]) == ""
            second.replication.replicator.tempo = ReplicationTimings(compare_every=60 * SECOND)
            second.replication.configured_peers = [
                Peer("n0", first.acceptor.address if first.acceptor else "", "")
            ]
            second.replication.apply_view(())
            with trio.fail_after(5):
                await second.replication.peers.catch_up()
            assert second.records.digest() == first.records.digest()

        scenario("", ingresses=2, operator=CONTROL, apart=True, then=main)

    def test_news_goes_on_to_those_whom_its_maker_does_not_know(self) -> None:
        async def main(world: World) -> None:
            extras = [extra_of(world, place) for place in range(3)]
            addresses = [extra.acceptor.address for extra in extras if extra.acceptor]
            for place, extra in enumerate(extras):
                known = (place + 1) % 3
                extra.replication.replicator.tempo = ReplicationTimings(compare_every=60 * SECOND)
                extra.replication.configured_peers = [Peer(f"n{known}", addresses[known], "")]
                extra.replication.apply_view(())
            for extra in extras:
                with trio.fail_after(5):
                    await extra.replication.peers.catch_up()
            await told(world, asks("POST", "/v1/changes", wanted()))
            with trio.fail_after(5):
                while len(extras[2].records) < 1:
                    await extras[2].plan_service.changed.wait()

        scenario("", ingresses=3, operator=CONTROL, apart=True, then=main)

    def test_a_view_that_changes_all_the_time_is_looked_at_now_and_then(self) -> None:
        async def main(world: World) -> None:
            replication, looked = extra_of(world).replication, trio.Event()
            looks = 0

            def look() -> list[ControlPeer]:
                nonlocal looks
                looks += 1
                looked.set()
                return [ControlPeer("n1", "127.0.0.1:9", "a", True), ControlPeer("n2", "", "a", True)]

            replication.follow(look)
            with trio.fail_after(3):
                for _ in range(100):
                    replication.view_changed()
                    await trio.lowlevel.checkpoint()
                await looked.wait()
            assert looks <= 2 and list(replication.peers.states) == ["n1"]  # the other has no listener
            assert [member.name for member in replication.members()] == ["n1", "n2"]

        scenario("", operator=CONTROL, then=main)

    def test_a_refusal_is_remembered_for_the_replicator(self) -> None:
        async def main() -> None:
            store = RecordStore()
            refused = RecordRefused(Refusal.CLOCK_AHEAD)

            async def take(records: Any) -> list[RecordRefused | None]:
                return [refused for _ in records]

            intake = RecordIntake(store, take)
            record = record_of(set_plan(1, 5))
            messages: list[AnyMessage] = [as_records([record], 0)]
            assert await intake.take(messages) == []
            assert intake.refusals_of([record]) == [refused]
            other = intake.refusals_of([record_of(set_plan(2, 6))])[0]
            assert other is not None and other.refusal is Refusal.NO_DISK

        trio.run(main)
