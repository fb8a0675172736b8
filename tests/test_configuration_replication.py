"""Replication in virtual time: what is in force where, how soon, at what cost, and what goes wrong."""

from __future__ import annotations

import random
import unittest

import msgspec
from configuration_world import MILLISECOND, SECOND, UNIX, World, halves, old_records
from hypothesis import given, settings
from hypothesis import strategies as st

from gorsefork.configuration.fleet_statements import digest_in_force, digests, record_in_force
from gorsefork.configuration.intake import place_of
from gorsefork.configuration.messages import (
    RangeDigests,
    Records,
    RecordsWanted,
    Statement,
    StatementWanted,
    Summary,
)
from gorsefork.configuration.peer_set import Peer, PeerSet
from gorsefork.configuration.records import Record, RecordRefused, Refusal
from gorsefork.configuration.refused_records import MOST_WITHHELD, WithheldRecords
from gorsefork.configuration.replication import MOST_FRESH, Job, Purpose, ReplicationTimings
from gorsefork.configuration.store import Limits

any_record = st.builds(
    Record,
    kind=st.just("plan"),
    key=st.sampled_from([f"k{n}" for n in range(8)]),
    stamp=st.integers(1, 3),
    origin=st.sampled_from(("n0", "n1")),
    author=st.just("operator"),
    body=st.sampled_from((b"one", b"other")),
)
NO_COMPARISON = ReplicationTimings(compare_every=10_000 * SECOND, compare_again=10_000 * SECOND)
WITHIN = 7.0  # s


def settled(
    members: int, seed: int, loss: float = 0.0, tempo: ReplicationTimings | None = None, old: int = 300
) -> World:
    world = World(members, seed, loss=loss, tempo=tempo)
    world.seed(old_records(old))
    world.start()
    world.run(4)
    return world


class Spreading(unittest.TestCase):
    def test_a_change_is_everywhere_in_time_with_loss_restarts_and_a_zone_away(self) -> None:
        world = settled(120, 1, loss=0.2)
        away = {member.name for member in world.up() if member.zone == "z2"}
        world.cut = halves(away)
        rest = [member.name for member in world.up() if member.name not in away]
        restarted = rest[1::10]
        world.kill(*restarted)
        record = world.change(rest[0], "customer-1")
        world.run(1)
        world.start(*restarted)
        world.run_until(lambda: world.have(record, rest), WITHIN - 1)
        world.cut = lambda sender, hearer: False
        world.run_until(lambda: world.have(record), 40)

    def test_620_started_at_once_get_a_change_in_time(self) -> None:
        world = World(620, 2, zones=8)
        world.seed(old_records(2000))
        world.start()
        record = world.change("n3", "customer-1")
        world.run_until(lambda: world.have(record), WITHIN)

    def test_comparison_alone_brings_everyone_everything(self) -> None:
        """Push is lost altogether: with nobody to push to, what differs is found all the same."""
        world = settled(20, 3, tempo=ReplicationTimings(fan_out=0))
        records = [world.change(f"n{n}", f"customer-{n}") for n in range(20)]
        world.run_until(lambda: all(map(world.have, records)), 20)

    def test_push_alone_brings_most_a_record_a_small_number_of_times(self) -> None:
        world = settled(100, 4, tempo=NO_COMPARISON)
        before = sum(member.bytes for member in world.up())
        record = world.change("n0", "customer-1")
        world.run(5)
        self.assertGreaterEqual(sum(member.store.holds(record) for member in world.up()), 95)
        came = sum(m.replicator.intake.figures.repeated for m in world.up())
        self.assertLessEqual(came, 6 * 100, "each passes it on once, to six")
        self.assertLess((sum(member.bytes for member in world.up()) - before) / 100, 8_000)

    def test_at_rest_costs_the_same_whatever_fleet_and_book(self) -> None:
        costs = []
        for members, old in ((10, 100), (60, 100), (10, 1500)):
            world = settled(members, 5, old=old)
            before = sum(member.bytes for member in world.up())
            world.run(30)
            costs.append((sum(member.bytes for member in world.up()) - before) / 30 / members)
        self.assertLess(max(costs), 600)
        self.assertLess(max(costs), 1.4 * min(costs))

    def test_500_changes_in_a_second(self) -> None:
        world = settled(20, 6)
        before = sum(member.bytes for member in world.up())
        for n in range(500):
            world.change(f"n{n % 3}", f"burst-{n}")
            world.run(0.002)
        world.run_until(world.alike, WITHIN)
        self.assertEqual(len(world.members["n9"].store), 800)
        cost = (sum(member.bytes for member in world.up()) - before) / 20
        self.assertLess(cost, 500 * 115 * 2 * 6, "less than six whole copies to each and from each")
        again = sum(member.replicator.intake.figures.repeated for member in world.up())
        self.assertLess(again, 0.45 * 500 * 20, "what is offered is asked for once")

    def test_a_change_reversed_before_it_arrived(self) -> None:
        world = settled(30, 7, loss=0.2)
        first = world.change("n0", "customer-1", b"on")
        world.run(0.06)
        second = world.change("n1", "customer-1", b"off")
        world.run_until(lambda: world.have(first) and world.have(second), WITHIN)
        for member in world.up():
            self.assertEqual(member.store.versions("plan", "customer-1")[-1].body, b"off")

    def test_each_direction_of_a_one_way_cut_is_made_good(self) -> None:
        world = settled(8, 8)
        world.cut = lambda sender, hearer: sender.name == "n0"  # whatever n0 says is lost
        record = world.change("n1", "customer-1")
        world.run(3)
        mute = world.change("n0", "customer-2")
        world.run(3)
        self.assertTrue(world.have(record), "it hears what is pushed to it")
        world.cut = lambda sender, hearer: False
        world.run_until(lambda: world.have(mute), 40)


class Apart(unittest.TestCase):
    def test_regions_that_made_60_changes_each_end_alike(self) -> None:
        world = settled(20, 9)
        one = [f"n{n}" for n in range(10)]
        world.cut = halves(one)
        for n in range(60):
            world.change(f"n{n % 10}", f"customer-{n}")
            world.change(f"n{10 + n % 10}", f"customer-{n + 30}")
            world.run(1)
        self.assertEqual(len(world.digests()), 2)
        world.run(30)
        world.cut = lambda sender, hearer: False
        world.run_until(world.alike, 40)
        self.assertEqual(len(world.members["n0"].store), 300 + 120)

    def test_a_contradiction_across_a_cut_of_an_hour_ends_alike_and_is_told(self) -> None:
        world = settled(8, 10)
        one = [f"n{n}" for n in range(4)]
        world.cut = halves(one)
        pair = [Record("plan", "customer-1", UNIX + world.now, "n0", "o", body) for body in (b"1", b"2")]
        pair.sort(key=Record.mark)
        world.accept("n0", pair[0])
        world.accept("n5", pair[1])
        world.run(3600)
        world.cut = lambda sender, hearer: False
        world.run_until(world.alike, 40)
        self.assertTrue(world.have(pair[1]), "that of the greater mark")
        self.assertTrue(any(member.store.contradicted for member in world.up()))
        before = sum(member.store.contradicted for member in world.up())
        world.run(60)
        self.assertEqual(sum(member.store.contradicted for member in world.up()), before, "no ping-pong")

    def test_a_member_back_after_a_week_with_its_old_disk(self) -> None:
        """It had records that all others have forgotten, and lacks what they made."""
        world = World(10, 11)
        old = old_records(40, age=95 * 86_400 * SECOND)
        holding = Record("plan", "lasting", UNIX - 94 * 86_400 * SECOND, "n1", "o", b"holds")
        world.seed([*old, holding, *old_records(200, seed=1, kind="route")])
        world.start(*[f"n{n}" for n in range(9)])
        horizon = UNIX - 90 * 86_400 * SECOND
        for member in world.up():
            world.forget(member, horizon)
        news = [world.change(f"n{n % 9}", f"customer-{n}") for n in range(100)]
        world.run(10)
        world.start("n9")  # its horizon is 0, and it holds the 40
        world.run_until(world.alike, WITHIN)
        self.assertEqual(len(world.members["n9"].store), 301)
        self.assertTrue(all(map(world.have, [*news, holding])))
        self.assertEqual(world.members["n9"].store.horizon, horizon)
        newcomer = world.add("n10", "z0")
        newcomer.store.horizon = horizon
        world.start("n10")
        world.run_until(lambda: world.have(holding), WITHIN)

    def test_no_ranges_are_compared_before_both_have_forgotten_alike(self) -> None:
        world = settled(3, 25)
        member = world.members["n0"]
        summary = Summary(b"12345678", 1, 5, [])
        answer = member.replicator.answer("n1", [summary], world.now)
        self.assertEqual(member.store.horizon, 5, "it is asked to forget what the peer forgot")
        self.assertTrue(any(isinstance(each, RangeDigests) for each in answer))
        earlier = msgspec.structs.replace(summary, horizon=4)
        answer = member.replicator.answer("n1", [earlier], world.now)
        self.assertFalse(any(isinstance(each, RangeDigests) for each in answer))

    def test_a_peer_that_cannot_forget_brings_nothing_back(self) -> None:
        world = World(3, 12)
        old = old_records(5, age=95 * 86_400 * SECOND)
        world.seed(old, ["n0"])
        for name in ("n1", "n2"):
            world.members[name].store.horizon = UNIX - 90 * 86_400 * SECOND
        world.forget = lambda member, horizon: None  # type: ignore[method-assign]
        world.start()
        world.accept("n0", old[0])  # pushes it, too
        fresh = world.change("n0", "customer-9")
        world.run(30)
        self.assertTrue(world.have(fresh))
        self.assertEqual({len(world.members[name].store) for name in ("n1", "n2")}, {1})


class Refused(unittest.TestCase):
    def test_a_clock_five_minutes_ahead_blocks_nothing_and_ends_in_force(self) -> None:
        world = settled(8, 13)
        world.members["n0"].clock_ahead = 300 * SECOND
        ahead = world.change("n0", "customer-1")
        world.run(1)
        other = world.change("n1", "customer-2")
        world.run_until(lambda: world.have(other), WITHIN)
        self.assertFalse(world.have(ahead))
        judged = sum(member.refused[Refusal.CLOCK_AHEAD] for member in world.up())
        world.run(60)
        again = sum(member.refused[Refusal.CLOCK_AHEAD] for member in world.up())
        self.assertLessEqual(again - judged, 7 * 4, "each asks for it again at a bounded rate")
        self.assertEqual({len(member.told) for member in world.up()}, {0, 1})
        world.run_until(lambda: world.have(ahead), 300)

    def test_a_poison_record_is_refused_alike_told_once_and_blocks_nothing(self) -> None:
        world = settled(12, 14)
        for member in list(world.up())[1:]:
            member.check = lambda record: (
                RecordRefused(Refusal.UNREADABLE) if record.body == b"poison" else None
            )
        poison = world.change("n0", "customer-1", b"poison")
        others = [world.change(f"n{n}", f"customer-{n}") for n in range(12)]
        world.run_until(lambda: all(map(world.have, others)), WITHIN)
        before = sum(member.bytes for member in world.up())
        world.run(120)
        for member in list(world.up())[1:]:
            self.assertFalse(member.store.holds(poison))
            self.assertEqual(len(member.told), 1, "told once")
            self.assertEqual(member.refused[Refusal.UNREADABLE], 1, "and judged once")
        self.assertLess((sum(member.bytes for member in world.up()) - before) / 120 / 12, 1_500)

    def test_unknown_kinds_travel_through_those_that_do_not_know_them(self) -> None:
        world = settled(9, 15)
        record = world.change("n0", "x", b"\xff\x00", kind="of-later")
        world.run_until(lambda: world.have(record), WITHIN)

    def test_a_full_store_refuses_clearly_and_loses_nothing(self) -> None:
        world = World(6, 16, limits=Limits(records=303))
        world.seed(old_records(300))
        world.start()
        records = [world.change(f"n{n}", f"new-{n}") for n in range(3)]
        world.run(5)
        self.assertTrue(all(map(world.have, records)))
        too_many = world.record(world.members["n0"], "too-many")
        with self.assertRaises(RecordRefused):
            world.accept("n0", too_many)
        world.run(20)
        self.assertTrue(all(map(world.have, records)))
        self.assertEqual({len(member.store) for member in world.up()}, {303})

    def test_one_that_is_full_holds_nobody_up_and_catches_up_when_there_is_room(self) -> None:
        world = settled(6, 17)
        small = world.members["n5"]
        small.store.limits = Limits(records=300)
        records = [world.change(f"n{n % 5}", f"new-{n}") for n in range(5)]
        world.run(5)
        self.assertTrue(all(world.have(record, [f"n{n}" for n in range(5)]) for record in records))
        self.assertEqual(len(small.store), 300)
        self.assertEqual({refusal for _, refusal in small.told}, {Refusal.NO_ROOM})
        small.store.limits = Limits()
        world.run_until(lambda: all(map(world.have, records)), 40)


class Bounded(unittest.TestCase):
    def test_what_waits_to_be_pushed(self) -> None:
        world = World(1, 18)
        world.start()
        replicator = world.members["n0"].replicator
        replicator.publish(old_records(MOST_FRESH + 10), world.now)
        self.assertEqual(len(replicator.fresh), MOST_FRESH)
        self.assertEqual(replicator.figures.dropped, 10)

    def test_a_push_that_fails_goes_to_two_others_and_no_further(self) -> None:
        world = settled(12, 23, tempo=ReplicationTimings(fan_out=1, far=0, compare_every=10_000 * SECOND))
        member = world.members["n0"]
        replicator = member.replicator
        now = world.now + 60 * SECOND
        replicator.publish([world.record(member, "k")], now)
        asked = []
        for step in range(1, 6):
            for request in replicator.requests(now + step * SECOND):
                if isinstance(request.messages[0], Records):
                    asked.append(request.peer)
                replicator.failed(request.peer, now + step * SECOND)
        self.assertEqual((len(asked), len(set(asked))), (3, 3))
        self.assertEqual(replicator.figures.dropped, 1)

    def test_a_delivery_that_fails_goes_to_the_same_peer_twice_more(self) -> None:
        world = settled(3, 24, tempo=NO_COMPARISON._replace(fan_out=0))
        replicator = world.members["n0"].replicator
        now = world.now + 60 * SECOND
        record = world.change("n0", "k")
        replicator.outstanding["n1"] = Job("n1", Purpose.PUSH, [])
        replicator.answered("n1", [RecordsWanted([place_of(record)])], now)
        asked = []
        for step in range(6):
            for request in replicator.requests(now + step):
                asked.append(request.peer)
                replicator.failed(request.peer, now + step)
        self.assertEqual(asked.count("n1"), 3)

    def test_what_was_refused(self) -> None:
        withheld = WithheldRecords()
        for mark in range(MOST_WITHHELD + 5):
            self.assertTrue(withheld.refuse(mark, Refusal.UNREADABLE, 0))
        self.assertEqual(len(withheld), MOST_WITHHELD)
        self.assertFalse(withheld.refuse(MOST_WITHHELD, Refusal.UNREADABLE, 0))

    def test_requests_on_their_way_and_one_at_a_time_to_a_peer(self) -> None:
        world = settled(40, 19)
        replicator = world.members["n0"].replicator
        for n in range(30):
            replicator.publish([world.record(world.members["n0"], f"k{n}")], world.now + n * 60 * MILLISECOND)
            replicator.requests(world.now + n * 60 * MILLISECOND + 51 * MILLISECOND)
        self.assertEqual(len(replicator.outstanding), replicator.tempo.in_flight)

    def test_a_penalty_outlasts_that_the_peer_is_heard(self) -> None:
        peers = PeerSet("z0", random.Random(1))
        peers.replace([Peer("n1", "", "z0"), Peer("n2", "", "z0")])
        peers.penalize("n1", 0)
        peers.failed("n2", 0)
        for name in ("n1", "n2"):
            peers.heard(name)
        self.assertEqual(peers.draw(2, 0, 1), ["n2"])
        self.assertEqual(sorted(peers.draw(2, 0, 31 * SECOND)), ["n1", "n2"])

    def test_an_unreachable_peer_is_asked_at_a_falling_rate(self) -> None:
        world = settled(2, 20)
        world.cut = lambda sender, hearer: True
        counts = []
        for _ in range(3):
            before = world.members["n0"].sent
            world.run(60)
            counts.append(world.members["n0"].sent - before)
        self.assertLessEqual(counts[-1], 5)
        world.cut = lambda sender, hearer: False
        record = world.change("n0", "customer-1")
        world.run_until(lambda: world.have(record), 40)


class InForce(unittest.TestCase):
    def ask(self, world: World, records: list[Record]) -> dict[str, Statement]:
        statements = {}
        for member in world.up():
            question = StatementWanted([place_of(record) for record in records])
            (said,) = member.replicator.answer("operator", [question], world.now)
            assert isinstance(said, Statement)
            statements[member.name] = said
        return statements

    def test_who_has_it_who_lacks_it_and_who_did_not_answer(self) -> None:
        world = settled(6, 21)
        expected = list(world.members)
        everywhere = world.change("n0", "customer-1")
        world.run(5)
        world.kill("n5")
        world.cut = halves(["n4"])
        partly = world.change("n0", "customer-2")
        world.run(5)
        statements = self.ask(world, [everywhere, partly])
        first, second = (record_in_force(expected, statements, n) for n in (0, 1))
        self.assertEqual((first.lacks, first.silent, first.everywhere), ((), ("n5",), False))
        self.assertEqual((second.has, second.lacks), (("n0", "n1", "n2", "n3"), ("n4",)))
        self.assertEqual(list(digests(statements).values()), [("n0", "n1", "n2", "n3"), ("n4",)])
        world.start("n5")
        world.cut = lambda sender, hearer: False
        world.run(60)
        statements = self.ask(world, [partly])
        self.assertTrue(record_in_force(expected, statements, 0).everywhere)
        digest = world.members["n0"].store.digest()
        self.assertTrue(digest_in_force(expected, statements, digest).everywhere)
        self.assertGreater(statements["n0"].age, 60 * SECOND)
        self.assertFalse(digest_in_force(expected, {}, digest).everywhere)


class AnyPair(unittest.TestCase):
    @settings(max_examples=40, deadline=None, derandomize=True)
    @given(st.lists(st.tuples(any_record, st.integers(1, 3)), max_size=25))
    def test_two_stores_end_as_their_union_and_contradictions_alike(
        self, placed: list[tuple[Record, int]]
    ) -> None:
        world = World(2, 22)
        expected: dict[tuple[str, str, int, str], Record] = {}
        for record, where in placed:
            held = expected.setdefault(record.identity, record)
            expected[record.identity] = max(held, record, key=Record.mark)
            for name in [f"n{n}" for n in range(2) if where & 1 << n]:
                world.members[name].store.add_all([record])
        world.start()
        world.run_until(world.alike, 10)
        records = {each for n in range(4096) for each in world.members["n1"].store.leaf(n)}
        self.assertEqual(records, set(expected.values()))


class AnyHistory(unittest.TestCase):
    def test_whatever_happens_all_end_alike_with_all_that_was_accepted(self) -> None:
        for seed in range(4):
            with self.subTest(seed=seed):
                rng = random.Random(seed)
                world = settled(9, 100 + seed, loss=0.2, old=50)
                accepted: list[Record] = []
                for _ in range(30):
                    member = rng.choice(world.up())
                    accepted.append(world.change(member.name, f"customer-{rng.randrange(60)}"))
                    match rng.randrange(6):
                        case 0:
                            world.cut = halves(rng.sample(list(world.members), 4))
                        case 1:
                            world.cut = lambda sender, hearer: False
                        case 2 if len(world.up()) > 3:
                            world.kill(rng.choice(world.up()).name)
                        case 3:
                            world.start(*[m.name for m in world.members.values() if not m.up][:1] or ["n0"])
                    world.run(rng.uniform(0, 2))
                world.cut = lambda sender, hearer: False
                world.start(*[member.name for member in world.members.values() if not member.up] or ["n0"])
                world.run_until(world.alike, 60)
                self.assertTrue(all(map(world.have, accepted)))


if __name__ == "__main__":
    unittest.main()
