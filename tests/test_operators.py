"""Tests of the operators' line: its commands, its metrics, and their effect on clients and backends."""

from __future__ import annotations

import unittest

import trio
from scenario import World, scenario

from gorsefork.memory.registry import MAX_REMEMBERED_IDS, RegisteredBackend, Registry, RegistryUpdate
from gorsefork.wire.connection_admission import DRAIN_BEGIN_US, DRAIN_END_US
from gorsefork.wire.fronts.operators import MAX_CALLERS, MAX_LINE_BYTES

KEY = "Idempotency-Key=k1"


class Commands(unittest.TestCase):
    def test_each_command_gets_its_reply_and_an_invalid_one_changes_nothing(self) -> None:
        scenario("""
            o1 send check
            o1 expect +OK
            o1 send
            o1 expect -ERR
            o1 send reboot
            o1 expect -ERR
            o1 send set-down
            o1 expect -ERR
            o1 send set-down s-1 s-2
            o1 expect -ERR
            o1 send set-down s-99
            o1 expect -ERR
            o1 send set-up s-99
            o1 expect -ERR
            o1 send check now
            o1 expect -ERR
            o1 send raw \xff\x00\x01\\n
            o1 expect -ERR
            o1 send raw check\\nset-down s-1\\n
            o1 expect +OK
            o1 send vars
            o1 expect +OK out_of_rotation=0 registry_entries=1 open_requests=0 .""")

    def test_silent_connections_and_long_lines_do_not_block_other_operators(self) -> None:
        silent = "\n".join(f"o{n} send raw chec" for n in range(2, 3 * MAX_CALLERS))
        scenario(f"""
            {silent}
            o1 send raw {"x" * (MAX_LINE_BYTES + 10)}
            o1 expect nothing
            o1 send check
            o1 expect +OK""")

    def test_operators_are_served_when_client_connections_are_at_their_limit(self) -> None:
        async def then(world: World) -> None:
            world.ingresses[0].acceptors[0].max_connections = 0
            await world.play("o1 send check\no1 expect +OK")

        scenario("", then=then)


class MetricCounts(unittest.TestCase):
    def test_an_answer_that_stops_in_the_middle_is_counted_and_asked_for_again(self) -> None:
        scenario("""
            c1 send GET /look
            box expect GET /look
            box send raw HTTP/1.1 200 X\\nContent-Length: 9\\n\\nhalf
            box expect GET /look
            box send 200 | whole
            c1 expect 200 | whole
            o1 send vars
            o1 expect +OK broken_off.stalled_backend=1 broken_off.stalled_client=0""")

    def test_each_end_is_counted_once_and_the_counts_add_up(self) -> None:
        async def then(world: World) -> None:
            metrics = world.ingresses[0].decision_actor.metrics
            self.assertEqual(metrics.accepted[0], sum(ended[0] for ended in metrics.ended.values()) + 1)
            self.assertEqual((metrics.open_requests(), metrics.ended["gone"][0]), (1, 1))

        scenario(
            f"""
            c1 send GET /look X-Trace-Id=1
            box expect GET /look
            o1 send vars
            o1 expect +OK open_requests=1 relayed.look=1 fulfilled.look=0
            box send 200 | yes
            c1 expect 200
            c2 send POST /buy {KEY} X-Trace-Id=2 X-Expires-In-Ms=150 | x
            box expect POST /buy
            c2 expect 502
            c3 send GET /look X-Metering=units=6,spread=1,first=0 X-Trace-Id=3 X-Expires-In-Ms=1
            c3 expect 503
            c4 send GET /look X-Trace-Id=4
            box expect GET /look
            c4 close
            box wait
            o1 send vars
            o1 expect +OK open_requests=0 relayed.look=2 relayed.buy=1 fulfilled.look=1 faulted.buy=1
            c5 send GET /look X-Trace-Id=5
            box expect GET /look""",
            then=then,
        )


class SetDown(unittest.TestCase):
    def test_a_backend_that_is_set_down_gets_no_attempts_until_set_up_and_then_slow_starts(self) -> None:
        async def then(world: World) -> None:
            ingress = world.ingresses[0]
            backend = ingress.decision_actor.engine.selector.backends["s-1"]
            previous_slow_start = backend.slow_start_from
            await world.play("""
                o1 send set-down s-1
                o1 expect +OK
                o1 send set-down s-1
                o1 expect +OK
                o1 send vars
                o1 expect +OK out_of_rotation=1 registry_entries=1
                c1 send GET /look X-Expires-In-Ms=300
                c1 expect 503
                box wait idle
                o1 send set-up s-1
                o1 expect +OK
                c1 send GET /look X-Expires-In-Ms=2000
                box expect GET /look
                box send 200 | back
                c1 expect 200 | back""")
            self.assertGreater(backend.slow_start_from, previous_slow_start)

        scenario("", then=then)

    def test_discovery_updates_do_not_end_a_set_down(self) -> None:
        updates: list[RegistryUpdate] = []
        registry = Registry(updates.append, lambda backend: None, now=lambda: 77)
        backend = RegisteredBackend("a", "127.0.0.1:1", "ready")
        registry.apply(RegistryUpdate("full", 1, (backend,)))
        self.assertEqual(registry.set_down("a"), "")
        self.assertEqual((updates[-1].backends[0].state, registry.accepts_attempts("a")), ("draining", False))
        registry.apply(RegistryUpdate("delta", 2, (backend,)))
        self.assertEqual((updates[-1].backends[0].state, registry.accepts_attempts("a")), ("draining", False))
        # The backend is removed, stays set down, and is then listed again under the same name.
        registry.apply(RegistryUpdate("full", 3, ()))
        self.assertEqual(registry.set_down("a"), "")
        registry.apply(RegistryUpdate("delta", 4, (backend,)))
        self.assertEqual((updates[-1].backends[0].state, registry.accepts_attempts("a")), ("draining", False))
        self.assertEqual(registry.set_up("a"), "")
        self.assertEqual((updates[-1].backends[0].state, updates[-1].backends[0].started_at), ("ready", 77))
        self.assertTrue(registry.accepts_attempts("a"))

    def test_listed_ids_are_remembered_up_to_a_limit_and_those_set_down_longest(self) -> None:
        registry = Registry(lambda update: None, lambda backend: None)
        registry.apply(RegistryUpdate("full", 1, (RegisteredBackend("banned", "127.0.0.1:1", "ready"),)))
        registry.set_down("banned")
        for n in range(MAX_REMEMBERED_IDS + 50):
            registry.apply(RegistryUpdate("full", n, (RegisteredBackend(f"s{n}", "127.0.0.1:1", "ready"),)))
        self.assertLessEqual(len(registry.known_ids), MAX_REMEMBERED_IDS)
        self.assertTrue(registry.set_down("s0"))  # no longer remembered, so that it is refused
        self.assertEqual(registry.set_up("banned"), "")


class ClientDrain(unittest.TestCase):
    def test_healthz_follows_the_drain_at_once_and_requests_are_still_served_then_closed(self) -> None:
        scenario("""
            o1 send drain-on
            o1 expect +OK
            o1 send drain-off
            o1 expect +OK
            o1 send drain-on
            o1 expect +OK
            c1 send GET /healthz
            c1 expect 503 Connection
            c2 send GET /look
            box expect GET /look
            box send 200 | still
            c2 expect 200 Connection | still
            c2 wait
            o1 send check
            o1 expect +OK
            o1 send drain-off
            o1 expect +OK
            c3 send GET /healthz
            c3 expect 200""")

    def test_a_drain_closes_idle_connections_gradually_and_never_during_a_request(self) -> None:
        async def then(world: World) -> None:
            acceptor = world.ingresses[0].acceptors[0]
            await world.play("c9 send GET /look X-Trace-Id=9\nbox expect GET /look")
            for n in range(1, 5):
                await world.play(f"c{n} send GET /healthz\nc{n} expect 200")
            await world.play("c5 send raw GET /healthz HTT")
            while len(acceptor.idle) < 4 or not acceptor.receiving_heads:
                await trio.lowlevel.checkpoint()
            acceptor.close_idle_in_turn(DRAIN_BEGIN_US - 1)
            self.assertEqual(sum(c.is_last for c in acceptor.connections), 0)
            acceptor.close_idle_in_turn(DRAIN_END_US - 500_000)
            self.assertEqual(sum(c.is_last for c in acceptor.connections), 2)
            await world.play("c1 wait\nc2 wait")
            for connection in acceptor.idle:
                acceptor.idle[connection] = 0
            acceptor.close_idle_in_turn(DRAIN_END_US)
            acceptor.set_draining(True)
            await world.play("""
                c3 wait
                c4 wait
                c5 send raw P/1.1\\nHost: x\\n\\n
                c5 expect 200
                box send 200 | in time
                c9 expect 200 Connection | in time""")

        scenario("", then=then)


if __name__ == "__main__":
    unittest.main()
