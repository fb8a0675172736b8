"""Tests of calls through the platform's front.

Each call gets exactly one final answer, also when a connection breaks.
"""

from __future__ import annotations

import socket
import struct
import time
import unittest
from unittest import mock

import trio
from scenario import World, scenario

from gorsefork.wire.connection_admission import NEW_CONNECTION_GRACE_US, SILENT_AFTER_US
from gorsefork.wire.http1.connection import ERROR_PAUSE_S
from gorsefork.wire.stream import Stream

KEY = "Idempotency-Key=k1"


class Answers(unittest.TestCase):
    def test_a_fetch_and_a_purchase_pass_unchanged(self) -> None:
        scenario(f"""
            c1 send GET /look/hall?room=4
            box expect GET /look/hall?room=4 X-Trace-Id=9b1f03aa5c7e2d41
            box send 200 X-Settled=2 | the hall
            c1 expect 200 | the hall
            c1 send POST /buy {KEY} | two tickets
            box expect POST /buy {KEY} Content-Length=11
            box send 200 | sold
            c1 expect 200 | sold""")

    def test_an_invalid_request_gets_a_4xx(self) -> None:
        scenario("""
            c1 send GET /nothing
            c1 expect 404
            c4 send POST /look
            c4 expect 405 Allow
            c5 send POST /buy
            c5 expect 400
            c6 send GET /look X-Contract=unknown
            c6 expect 400
            c7 send GET /look X-Metering=units=1,spread=9,first=0
            c7 expect 400
            c8 send POST /buy Idempotency-Key=k\xe9
            c8 expect 400
            c9 send GET /look X-Expires-In-Ms=soon
            c9 expect 400
            c10 send GET /look X-Client-Id=0000000200000000
            c10 expect 400
            c11 send GET /look X-Metering=units=6.1,spread=1,first=0
            c11 expect 400
            c12 send GET /look X-Metering=units=nan,spread=1,first=0
            c12 expect 400
            c13 send GET /look X-Metering=units=1_0,spread=1,first=0
            c13 expect 400
            c1 send GET /healthz
            c1 expect 200
            c3 send G@T /look
            c3 expect 400
            box wait idle""")

    def test_a_request_with_two_body_lengths_and_the_one_smuggled_in_it_are_not_forwarded(self) -> None:
        scenario("""
            c1 send raw POST /buy HTTP/1.1\\nContent-Length: 4\\nTransfer-Encoding: chunked\\n\\n
            c1 send raw 0\\n\\nGET /look
            c1 expect 400 Connection
            c1 wait
            box wait idle""")

    def test_an_id_that_is_open_is_refused_and_free_again_once_answered(self) -> None:
        scenario("""
            c1 send GET /look
            box expect GET /look
            c2 send GET /look
            c2 expect 409
            box send 200 | first
            c1 expect 200 | first
            c3 send GET /look
            box expect GET /look
            box send 200 | again
            c3 expect 200 | again""")

    def test_a_client_that_repeats_an_error_is_slowed_and_then_closed(self) -> None:
        """Prevents a client that repeats errors at full speed from taking all of the ingress's time."""
        started = time.monotonic()
        scenario("""
            c1 send again 300 GET /nothing
            c1 expect 404
            c1 expect 404 Connection
            c1 wait""")
        self.assertGreater(time.monotonic() - started, ERROR_PAUSE_S)

    def test_idle_connections_are_closed_before_they_reach_the_limit(self) -> None:
        """Prevents idle connections from using up the limit, so that other clients could not connect."""

        async def exceed_idle_limit(world: World) -> None:
            world.ingresses[0].acceptors[0].max_idle = 2
            await world.play("""
                c1 send GET /look
                box expect GET /look
                c2 send GET /healthz
                c2 expect 200
                c3 send raw
                c4 send GET /healthz
                c4 expect 200
                c2 wait
                box send 200 | in hand
                c1 expect 200 | in hand""")

        with mock.patch("gorsefork.wire.connection_admission.MAX_IDLE_US", 60_000_000):
            scenario("", then=exceed_idle_limit)

    def test_a_burst_of_new_connections_is_not_closed_before_a_request_can_arrive(self) -> None:
        async def then(world: World) -> None:
            acceptor = world.ingresses[0].acceptors[0]
            acceptor.max_idle = 2
            for n in range(1, 7):
                await world.play(f"c{n} send raw")
            while len(acceptor.connections) < 6:
                await trio.lowlevel.checkpoint()
            assert not any(c.is_last for c in acceptor.connections)
            for connection in acceptor.idle:
                acceptor.idle[connection] -= NEW_CONNECTION_GRACE_US  # their grace period has passed
            await world.play("c7 send GET /healthz\nc7 expect 200\nc1 wait")

        scenario("", then=then)

    def test_idle_connections_and_partial_requests_time_out(self) -> None:
        with (
            mock.patch("gorsefork.wire.connection_admission.MAX_IDLE_US", 100_000),
            mock.patch("gorsefork.wire.http1.connection.REQUEST_TIMEOUT_S", 0.3),
            mock.patch("gorsefork.wire.http1.connection.BODY_CHUNK_TIMEOUT_S", 0.1),
        ):
            scenario("""
                c1 send raw
                c2 send GET /healthz
                c2 expect 200
                c3 send raw GET /look HT
                c4 send raw POST /buy HTTP/1.1\\nHost: x\\nContent-Length: 9\\n\\nhalf
                c5 send GET /look
                box expect GET /look
                c1 wait
                c2 wait
                c3 wait
                c4 expect 408 Connection
                c4 wait
                box send 200 | late
                c5 expect 200 | late""")

    def test_at_the_limit_silent_connections_close_first_then_served_ones_then_partial_heads(self) -> None:
        async def then(world: World) -> None:
            acceptor = world.ingresses[0].acceptors[0]
            await world.play("c1 send GET /healthz\nc1 expect 200\nc2 send raw GET /healthz HT\nc3 send raw")
            while len(acceptor.idle) < 2 or len(acceptor.receiving_heads) < 1:
                await trio.lowlevel.checkpoint()
            acceptor.max_connections = 3
            for connection in list(acceptor.idle):
                acceptor.idle[connection] -= 0 if connection.served else SILENT_AFTER_US
            await world.play("c4 send GET /look\nbox expect GET /look\nc3 wait")
            await world.play("c5 send GET /look X-Trace-Id=5\nbox expect GET /look\nc1 wait")
            await world.play("c6 send GET /look X-Trace-Id=6\nbox expect GET /look\nc2 wait")
            await world.play("c7 send GET /healthz")  # calls use every connection, so this one waits
            await world.play("box send 200 | six\nc6 expect 200 | six\nc7 expect 200\nc6 wait")

        scenario("", then=then)

    def test_many_pipelined_requests_are_answered_in_order(self) -> None:
        """Prevents the end of each answer from starting the next recursively, which overflows the stack."""
        no_call_headers = "X-Trace-Id= X-Contract= X-Client-Id= X-Expires-In-Ms= X-Metering="
        scenario(f"c1 send again 400 GET /healthz {no_call_headers}\n" + "c1 expect 200\n" * 400)

    def test_connections_reset_before_accept_do_no_harm(self) -> None:
        async def then(world: World) -> None:
            for _ in range(5):
                sock = socket.create_connection(("127.0.0.1", world.ingresses[0].acceptors[0].port))
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                sock.close()
            await world.play("c1 send GET /healthz")
            await world.play("c1 expect 200")

        scenario("", then=then)

    def test_a_client_that_leaves_cancels_its_attempt(self) -> None:
        scenario("""
            c1 send GET /look
            box expect GET /look
            c1 close
            box wait""")

    def test_a_call_fails_at_its_deadline_and_its_connection_is_closed(self) -> None:
        scenario(f"""
            c1 send GET /look X-Expires-In-Ms=300
            box expect GET /look
            c1 expect 503
            box wait
            c2 send POST /buy {KEY} X-Expires-In-Ms=300
            box expect POST /buy
            c2 expect 502
            box wait""")

    def test_non_ascii_bytes_in_a_backend_s_content_type_are_passed_on_unchanged(self) -> None:
        """Prevents an error while such an answer is written, which ended the program."""
        scenario("""
            c1 send GET /look
            box expect GET /look
            box send 200 Content-Type=text/\xe9 | odd
            c1 expect 200 | odd""")

    def test_a_gathered_write_that_the_socket_accepts_in_parts_arrives_complete(self) -> None:
        async def main() -> bytes:
            with socket.create_server(("127.0.0.1", 0)) as listener:
                client_socket = socket.create_connection(listener.getsockname())
                server_socket, _ = listener.accept()
            client_socket.setblocking(False)
            server_socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
            stream, received = Stream(server_socket), bytearray()
            unsent = stream.write_now([b"a" * 1_000_000, b"b" * 1_000_000])
            self.assertGreater(sum(map(len, unsent)), 0)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(stream.send, unsent)
                reader = trio.SocketStream(trio.socket.from_stdlib_socket(client_socket))
                while len(received) < 2_000_000:
                    received += await reader.receive_some()
            await reader.aclose()
            stream.close()
            return bytes(received)

        self.assertEqual(trio.run(main), b"a" * 1_000_000 + b"b" * 1_000_000)


class ConnectionFailures(unittest.TestCase):
    def test_a_reset_after_the_last_byte_may_have_run(self) -> None:
        """The purchase is not refused, and is sent again only with its idempotency key, in the same cell."""
        scenario(f"""
            c1 send POST /buy {KEY} X-Expires-In-Ms=800
            box expect POST /buy
            box close
            box expect POST /buy {KEY}
            box close
            box expect POST /buy {KEY}
            box send 200 | sold
            c1 expect 200 | sold""")

    def test_only_never_ran_proves_that_it_never_ran(self) -> None:
        """After a 503 without X-Never-Ran a purchase may have run.

        The client must not be told that a retry is harmless.
        """
        scenario(f"""
            c1 send POST /buy {KEY} X-Expires-In-Ms=200
            box expect POST /buy
            box send 503
            box expect POST /buy
            c1 expect 502
            c2 send POST /buy {KEY} X-Expires-In-Ms=200 X-Trace-Id=two
            box expect POST /buy
            box send 503 X-Never-Ran=1
            box expect POST /buy
            box send 503 X-Never-Ran=1
            box expect POST /buy
            box send 503 X-Never-Ran=1
            box expect POST /buy
            box send 503 X-Never-Ran=1
            box expect POST /buy
            box send 503 X-Never-Ran=1
            c2 expect 503""")

    def test_a_malformed_or_truncated_answer_is_not_passed_on(self) -> None:
        scenario("""
            c1 send GET /look X-Expires-In-Ms=500
            box expect GET /look
            box send raw NOISE\\n\\n
            box expect GET /look
            box send raw HTTP/1.1 200 OK\\nContent-Length: 9\\n\\nhalf
            box close
            box expect GET /look
            box send 200 | whole
            c1 expect 200 | whole""")

    def test_an_answer_shorter_than_its_length_is_abandoned_before_the_call_s_deadline(self) -> None:
        scenario("""
            c1 send GET /look
            box expect GET /look
            box send raw HTTP/1.1 200 OK\\nContent-Length: 9\\n\\nhalf
            box expect GET /look
            box send raw HTTP/1.1 200 OK\\nContent-Length: 3000000000\\n\\nxxxxxxxxxxxx
            box wait
            box expect GET /look
            box send raw HTTP/1.1 200 OK\\nContent-Length: 4\\nTransfer-Encoding: chunked\\n\\n0\\n\\n
            box wait
            box expect GET /look
            box send raw HTTP/1.1 102 Wait\\n\\nHTTP/1.1 103 Hints\\nLink: x\\n\\n
            box send 200 | whole
            c1 expect 200 | whole""")

    def test_a_connection_to_a_backend_s_old_address_is_not_kept(self) -> None:
        """Prevents a connection in use from being kept after its backend has moved or restarted."""
        moved = '{"host": "s-1", "dial": "$box2", "health": "active"}'
        scenario(
            """
            disco expect GET /v1/servers?index=1&wait=
            c1 send GET /look
            box expect GET /look
            disco send 200 | {"seq": 2, "whole": false, "hosts": [$moved]}
            disco expect GET /v1/servers?index=2&wait=
            box send 200 | old
            c1 expect 200 | old
            box wait
            c1 send GET /look
            box2 expect GET /look
            box2 send 200 | new
            c1 expect 200 | new""".replace("$moved", moved)
        )

    def test_a_kept_connection_that_turned_readable_is_not_used_again(self) -> None:
        scenario("""
            c1 send GET /look
            box expect GET /look
            box send 200 | one
            c1 expect 200 | one
            box close
            c1 send GET /look
            box expect GET /look
            box send 200 | two
            c1 expect 200 | two
            box send raw HTTP/1.1 408 Late\\nContent-Length: 0\\n\\n
            c1 send GET /look
            box expect GET /look
            box send 200 | three
            c1 expect 200 | three""")

    def test_an_idle_connection_is_closed_well_before_the_backend_closes_it(self) -> None:
        started = time.monotonic()
        scenario(
            """
            c1 send GET /look
            box expect GET /look
            box send 200 | one
            c1 expect 200
            box wait""",
            keepalive=1_000_000_000,
        )
        self.assertLess(time.monotonic() - started, 1.0)


class Drain(unittest.TestCase):
    def test_clients_that_send_nothing_do_not_delay_a_drain(self) -> None:
        """Prevents clients that send nothing from making each restart take seconds longer."""

        async def drain(world: World) -> None:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(world.ingresses[0].drain)
                for number in range(20):
                    await world.play(f"c{number} send raw")
                await world.play("c30 send raw GET /look HT")
            self.assertFalse(world.ingresses[0].acceptors[0].busy())
            self.assertGreater(len(world.ingresses[0].acceptors[0].connections), 0)

        started = time.monotonic()
        scenario("", then=drain)
        self.assertLess(time.monotonic() - started, 1.5)

    def test_a_drain_answers_accepted_calls_and_closes_the_rest(self) -> None:
        async def drain(world: World) -> None:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(world.ingresses[0].drain)
                await world.play("""
                    c2 wait
                    c3 send GET /look X-Trace-Id=another
                    box expect GET /look
                    box send 200 | late
                    c3 expect 200 Connection | late
                    box wait idle""")
                await world.play("c1 expect 503 Connection")
                await world.play("c1 wait")

        scenario(
            """
            c2 send GET /healthz
            c2 expect 200
            c1 send GET /look X-Expires-In-Ms=2500
            box expect GET /look""",
            then=drain,
        )


if __name__ == "__main__":
    unittest.main()
