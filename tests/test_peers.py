"""The counter, discovery and the peers: silent, slow, garbled."""

from __future__ import annotations

import json
import socket
import unittest
from collections.abc import Awaitable, Callable

import trio
from scenario import Server, World, scenario

from gorsefork.decisions.interface import CounterReply, PeerMessage
from gorsefork.memory.clock import Clock
from gorsefork.memory.registry import RegisteredBackend, Registry, RegistryUpdate
from gorsefork.wire.counter import MAX_CALLS_IN_FLIGHT, CounterClient
from gorsefork.wire.peer_socket import PeerSocket

Step = Callable[[CounterClient, Server, Callable[[int], Awaitable[list[CounterReply]]]], Awaitable[None]]


def counting(step: Step) -> None:
    """A counter client against the stand-in; ``heard(n)`` waits for the n-th answer and returns all."""

    async def main() -> None:
        clock, server, told = Clock(), Server("counter"), list[CounterReply]()
        send, get = trio.open_memory_channel[CounterReply](1000)
        client = CounterClient(server.dial, clock, 0.08, send.send_nowait)

        async def heard(count: int) -> list[CounterReply]:
            while len(told) < count:
                told.append(await get.receive())
            return told

        trio.lowlevel.add_instrument(clock)
        with trio.fail_after(10):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(server.run)
                nursery.start_soon(client.run)
                await step(client, server, heard)
                nursery.cancel_scope.cancel()

    trio.run(main)


class Counting(unittest.TestCase):
    def test_calls_go_one_behind_another_and_answers_match_in_order(self) -> None:
        async def step(
            client: CounterClient, server: Server, heard: Callable[[int], Awaitable[list[CounterReply]]]
        ) -> None:
            for name, amount in (("a", 2.5), ("b", -1.0), ("a", 1e9)):
                client.add(name, amount, 4_000_000)
            messages = []
            for _ in range(3):
                wire, message = await server.get.receive()
                messages.append(message.split(" ")[1])
            for answer in (
                "200 X\r\nContent-Length: 3\r\n\r\n2.5",
                "503 X\r\nContent-Length: 0\r\n\r\n",
                "200 X\r\nContent-Length: 4\r\n\r\n1e9\n",
            ):
                await wire.stream.send_all(f"HTTP/1.1 {answer}".encode())
            self.assertEqual(
                messages,
                [
                    "/v1/count/a?add=2.5&ttl_ms=4000",
                    "/v1/count/b?add=-1&ttl_ms=4000",
                    "/v1/count/a?add=1000000000&ttl_ms=4000",
                ],
            )
            self.assertEqual(
                [(c.name, c.status, c.total) for c in await heard(3)],
                [("a", "ok", 2.5), ("b", "full", 0.0), ("a", "ok", 1e9)],
            )

        counting(step)

    def test_a_silent_counter_piles_up_neither_calls_nor_sockets(self) -> None:
        async def step(
            client: CounterClient, server: Server, heard: Callable[[int], Awaitable[list[CounterReply]]]
        ) -> None:
            for number in range(MAX_CALLS_IN_FLIGHT + 10):
                client.add(f"n{number}", 1.0, 1_000_000)
            statuses = [c.status for c in await heard(MAX_CALLS_IN_FLIGHT + 10)]
            self.assertEqual(statuses.count("connect_failed"), 10)
            self.assertEqual(statuses.count("timeout"), MAX_CALLS_IN_FLIGHT)
            wire, _ = await server.get.receive()
            await wire.ended.wait()  # silence ends the connection, and with it the line
            self.assertEqual((client.calls_in_flight(), client.connection), (0, None))

        counting(step)

    def test_a_late_answer_is_not_taken_for_the_next_call_s(self) -> None:
        async def step(
            client: CounterClient, server: Server, heard: Callable[[int], Awaitable[list[CounterReply]]]
        ) -> None:
            client.add("a", 1.0, 1_000_000)
            await heard(1)
            client.add("b", 1.0, 1_000_000)
            wire, _ = await server.get.receive()
            await server.get.receive()
            for total in (7, 8):
                await wire.stream.send_all(f"HTTP/1.1 200 X\r\nContent-Length: 1\r\n\r\n{total}".encode())
            self.assertEqual(
                [(c.name, c.status, c.total) for c in await heard(2)],
                [("a", "timeout", 0.0), ("b", "ok", 8.0)],
            )

        counting(step)

    def test_an_answer_that_is_no_number_means_added_and_ends_its_connection(self) -> None:
        """What follows it can't be told from its own bytes: the next call goes on another connection."""

        async def step(
            client: CounterClient, server: Server, heard: Callable[[int], Awaitable[list[CounterReply]]]
        ) -> None:
            for number, spoilt in enumerate((b"nan", b"1_0", b"?!\x00")):
                client.add("a", 1.0, 1_000_000)
                wire, _ = await server.get.receive()
                await wire.stream.send_all(b"HTTP/1.1 200 X\r\nContent-Length: 3\r\n\r\n" + spoilt)
                self.assertEqual((await heard(number + 1))[-1].status, "timeout")
                await wire.ended.wait()

        counting(step)

    def test_a_move_waits_for_what_the_old_address_owes_and_asks_the_new_one(self) -> None:
        async def step(
            client: CounterClient, server: Server, heard: Callable[[int], Awaitable[list[CounterReply]]]
        ) -> None:
            client.add("a", 1.0, 1_000_000)
            wire, _ = await server.get.receive()
            new = Server("new")
            async with trio.open_nursery() as nursery:
                nursery.start_soon(new.run)
                client.move(new.dial)
                client.add("b", 1.0, 1_000_000)
                for total, at in ((3, wire), (4, (await new.get.receive())[0])):
                    await at.stream.send_all(f"HTTP/1.1 200 X\r\nContent-Length: 1\r\n\r\n{total}".encode())
                self.assertEqual(
                    {(c.name, c.status, c.total) for c in await heard(2)},
                    {("a", "ok", 3.0), ("b", "ok", 4.0)},
                )
                await wire.ended.wait()
                nursery.cancel_scope.cancel()

        counting(step)


class Reloading(unittest.TestCase):
    def test_discovery_moves_at_once_and_no_open_call_is_lost(self) -> None:
        scenario("""
            disco expect GET /v1/servers?index=1&wait=
            c1 send GET /look
            box expect GET /look
            n1 send SIGHUP discovery=$disco2 counter=$counter2
            disco wait
            disco2 expect GET /v1/servers
            disco2 send 200 | {"seq": 1, "whole": true, "hosts": []}
            disco2 expect GET /v1/servers?index=1&wait=
            box send 200 | still here
            c1 expect 200 | still here
            c1 send GET /look X-Expires-In-Ms=200
            c1 expect 503
            box wait idle""")

    def test_a_file_that_is_bad_anywhere_changes_nothing(self) -> None:
        scenario("""
            disco expect GET /v1/servers?index=1&wait=
            n1 send SIGHUP raw {"torn
            n1 send SIGHUP raw ["no", "object"]
            n1 send SIGHUP discovery=$disco2 counter=nowhere
            n1 send SIGHUP discovery=$disco2 settings=none
            disco send 200 | {"seq": 2, "whole": false, "hosts": []}
            disco expect GET /v1/servers?index=2&wait=""")


class Versions(unittest.TestCase):
    def test_a_lower_version_is_another_discovery_and_a_wish_for_the_whole_list_is_kept(self) -> None:
        async def then(world: World) -> None:
            await world.play("""
                disco expect GET /v1/servers?index=1&wait=
                disco send 200 | {"seq": 0, "whole": false, "hosts": []}
                disco expect GET /v1/servers HTTP/1.1
                disco send 200 | {"seq": 0, "whole": false, "hosts": []}
                disco expect GET /v1/servers?index=0&wait=""")
            world.ingresses[0].discovery.fetch()
            await world.play("""
                disco send 200 | {"seq": 1, "whole": false, "hosts": []}
                disco expect GET /v1/servers HTTP/1.1""")

        scenario("", then=then)


class Listing(unittest.TestCase):
    def test_a_box_that_drains_or_left_gets_nothing_new(self) -> None:
        told: list[RegistryUpdate] = []
        registry = Registry(told.append, lambda host: None)
        registry.apply(
            RegistryUpdate(
                "full", 1, (RegisteredBackend("a", "h:1", "ready"), RegisteredBackend("b", "h:2", "ready"))
            )
        )
        registry.apply(RegistryUpdate("delta", 2, (RegisteredBackend("a", "h:1", "draining"),)))
        self.assertEqual([registry.accepts_attempts(name) for name in "abc"], [False, True, False])
        registry.apply(RegistryUpdate("full", 3, ()))
        self.assertFalse(registry.accepts_attempts("b"))
        self.assertEqual([news.version for news in told], [1, 2, 3])

    def test_a_list_that_cannot_be_read_is_asked_for_again_and_the_old_one_kept(self) -> None:
        async def then(world: World) -> None:
            await world.play("disco expect GET /v1/servers?index=1&wait=")
            for odd in ('{"seq": 1e999, "whole": true, "hosts": []}', "[" * 100_000, "not a list"):
                await world.play(f"disco send 200 | {odd}")
                await world.play("disco expect GET /v1/servers?index=1&wait=1")
            await world.play("c1 send GET /look")
            await world.play("box expect GET /look")
            gone = {"seq": 2, "whole": True, "hosts": []}
            await world.play(f"disco send 200 | {json.dumps(gone)}")
            await world.play("disco expect GET /v1/servers?index=2&wait=")
            self.assertEqual(world.ingresses[0].registry.backends, {})

        scenario("", then=then)


class Peers(unittest.TestCase):
    def test_only_peers_are_heard_and_long_messages_neither_sent_nor_taken(self) -> None:
        async def main() -> None:
            send, get = trio.open_memory_channel[PeerMessage](10)
            socks = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(3)]
            for sock in socks:
                sock.bind(("127.0.0.1", 0))
            other, stranger, held = socks
            mine = f"127.0.0.1:{held.getsockname()[1]}"
            held.close()
            peers = [mine, f"127.0.0.1:{other.getsockname()[1]}"]
            peer = PeerSocket(mine, peers, "", 0, send.send_nowait)
            with trio.fail_after(5):
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(peer.run)
                    stranger.sendto(b"no", peer.sock.getsockname())
                    other.sendto(b"x" * 257, peer.sock.getsockname())
                    other.sendto(b"yes", peer.sock.getsockname())
                    self.assertEqual(await get.receive(), PeerMessage(1, b"yes"))
                    peer.send(1, b"y" * 257)
                    peer.send(1, b"z" * 256)
                    await trio.lowlevel.wait_readable(other)
                    self.assertEqual(len(other.recv(1000)), 256)
                    nursery.cancel_scope.cancel()
            for sock in (other, stranger, peer.sock):
                sock.close()

        trio.run(main)


if __name__ == "__main__":
    unittest.main()
