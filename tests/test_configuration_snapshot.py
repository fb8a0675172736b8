"""Snapshots in pieces: whole or not at all, from many sources, of which some are bad."""

from __future__ import annotations

import random
import unittest
from collections.abc import Callable

import msgspec
from configuration_world import SECOND, Member, World, old_records

from gorsefork.configuration.messages import AnyMessage, Manifest, NotNow, Piece, PieceUnknown, PieceWanted
from gorsefork.configuration.peer_set import Peer, PeerSet
from gorsefork.configuration.records import Record
from gorsefork.configuration.snapshot import PIECE_BYTES, SnapshotSource, manifest_name, name_of
from gorsefork.configuration.snapshot_download import MOST_IN_FLIGHT, DownloadState, Drop, SnapshotDownload
from gorsefork.configuration.store import Limits, RecordStore, pack

MANY = 4_000


def made(source: SnapshotSource, now: int = 0) -> Manifest:
    while isinstance(answer := source.manifest(now), NotNow):
        pass
    return answer


def fetched(source: SnapshotSource, manifest: Manifest) -> dict[bytes, bytes]:
    pieces = {}
    for n, name in enumerate(manifest.pieces):
        answer = source.piece(name, n * SECOND // 10)
        assert isinstance(answer, Piece)
        pieces[name] = answer.content
    return pieces


def filled(records: list[Record]) -> RecordStore:
    store = RecordStore()
    store.add_all(records)
    return store


class Source(unittest.TestCase):
    def test_two_with_the_same_records_have_the_same_pieces(self) -> None:
        records = old_records(MANY)
        one, other = filled(records), filled(records[::-1])
        self.assertEqual(made(SnapshotSource(one)), made(SnapshotSource(other)))

    def test_one_record_more_changes_one_piece(self) -> None:
        store = filled(old_records(MANY))
        before = made(SnapshotSource(store))
        store.add(Record("route", "r", 1, "a", "o", b""))
        after = made(SnapshotSource(store))
        self.assertEqual(len(set(after.pieces) - set(before.pieces)), 1)

    def test_a_snapshot_stays_as_it_was_while_its_store_changes(self) -> None:
        store = filled(old_records(MANY))
        source = SnapshotSource(store)
        manifest = made(source)
        store.discard(old_records(MANY))
        self.assertEqual(fetched(source, manifest).keys(), set(manifest.pieces))

    def test_a_leaf_larger_than_a_piece_is_cut(self) -> None:
        store = filled([Record("plan", "k", n + 1, "a", "o", bytes(4000)) for n in range(100)])
        source = SnapshotSource(store)
        manifest = made(source)
        pieces = fetched(source, manifest)
        self.assertGreater(len(pieces), 5)
        self.assertLess(max(map(len, pieces.values())), PIECE_BYTES + 5000)
        download = SnapshotDownload("n0", peer_set(), Limits(), pieces)
        (ask,) = download.requests(0)
        download.answered(ask.peer, [manifest], 0)
        while download.unverified:
            download.requests(0)
        assert download.snapshot is not None
        self.assertEqual([len(records) for _, records in download.snapshot.leaves()], [100])

    def test_pieces_are_given_out_at_a_bounded_rate_and_forgotten_when_nobody_asks(self) -> None:
        store = filled(old_records(MANY))
        source = SnapshotSource(store)
        manifest = made(source)
        answers = [source.piece(manifest.pieces[0], 1) for _ in range(100)]
        self.assertLess(sum(isinstance(answer, Piece) for answer in answers), 15)
        source.expire(3600 * SECOND)
        self.assertFalse(source.snapshots)
        self.assertFalse(source.runs)


def peer_set() -> PeerSet:
    peers = PeerSet("z0", random.Random(1))
    peers.replace([Peer(f"n{n}", "", f"z{n % 2}") for n in range(8)])
    return peers


class Arrival(unittest.TestCase):
    def world(self, members: int = 7, old: int = MANY) -> World:
        world = World(members, 1, zones=2)
        world.seed(old_records(old))
        world.start()
        world.run(4)
        return world

    def arrive(self, world: World, within: float = 30) -> Member:
        newcomer = world.add("new", "z0")
        world.start("new")
        world.run_until(world.alike, within, 0.05)
        return newcomer

    def test_a_newcomer_takes_a_snapshot_from_many_and_installs_it_at_once(self) -> None:
        world = self.world()
        newcomer = world.add("new", "z0")
        world.start("new")
        sizes = set()
        most = 0
        while not world.alike():
            world.run(0.02)
            sizes.add(len(newcomer.store))
            if (download := newcomer.replicator.download) is not None:
                most = max(most, download.in_flight())
            self.assertLess(world.now, 40 * SECOND)
        self.assertEqual(sizes, {0, MANY}, "nothing is seen half")
        self.assertLessEqual(most, MOST_IN_FLIGHT)
        self.assertEqual(newcomer.replicator.figures.snapshots, 1)

    def test_changes_made_meanwhile_are_not_lost(self) -> None:
        world = self.world()
        world.add("new", "z0")
        world.start("new")
        records = []
        for n in range(30):
            records.append(world.change(f"n{n % 7}", f"meanwhile-{n}"))
            world.run(0.1)
        world.run_until(world.alike, 30)
        self.assertTrue(all(map(world.have, records)))

    def test_small_differences_go_by_ranges(self) -> None:
        world = self.world()
        world.kill("n1")
        for n in range(100):
            world.change("n0", f"meanwhile-{n}")
        world.run(3)
        world.start("n1")
        world.run_until(world.alike, 20)
        self.assertEqual(world.members["n1"].replicator.figures.snapshots, 0)

    def bad(self, world: World, tamper: Callable[[Member, list[AnyMessage]], list[AnyMessage]]) -> None:
        for name in ("n0", "n2"):  # of the newcomer's zone
            world.members[name].tamper = tamper

    def test_a_damaged_piece_is_not_used_and_its_source_dropped(self) -> None:
        def damage(member: Member, answer: list[AnyMessage]) -> list[AnyMessage]:
            return [
                Piece(each.name, each.content[:-1] + bytes([each.content[-1] ^ 1]))
                if isinstance(each, Piece)
                else each
                for each in answer
            ]

        world = self.world()
        self.bad(world, damage)
        newcomer = self.arrive(world)
        self.assertEqual(newcomer.replicator.drops[Drop.DAMAGED], 2)

    def test_a_source_that_lies_about_its_digest_is_dropped(self) -> None:
        def lie(member: Member, answer: list[AnyMessage]) -> list[AnyMessage]:
            return [forged(each) if isinstance(each, Manifest) else each for each in answer]

        def forged(manifest: Manifest) -> Manifest:
            other = msgspec.structs.replace(manifest, digest=b"liarliar")
            return msgspec.structs.replace(other, name=manifest_name(other))

        world = self.world()
        for name in [f"n{n}" for n in range(7)][:5]:
            world.members[name].tamper = lie
        newcomer = self.arrive(world, 60)
        self.assertGreaterEqual(newcomer.replicator.drops[Drop.LIED], 1)
        self.assertEqual(len(newcomer.store), MANY)

    def test_a_source_that_stops_half_way_is_left(self) -> None:
        world = self.world()
        newcomer = world.add("new", "z0")
        world.start("new")
        world.run_until(
            lambda: newcomer.replicator.download is not None and len(newcomer.replicator.download.pieces) > 1,
            20,
            0.01,
        )
        silent = ("n0", "n2", "n1")
        world.cut = lambda sender, hearer: sender.name in silent or hearer.name in silent
        others = [member for member in world.up() if member.name not in silent]
        world.run_until(lambda: len({member.store.digest() for member in others}) == 1, 4)
        self.assertEqual(newcomer.replicator.figures.snapshots, 1)

    def test_a_snapshot_comes_whole_over_a_network_that_loses_one_request_in_five(self) -> None:
        world = self.world()
        world.loss = 0.2
        newcomer = self.arrive(world, 20)
        self.assertEqual(newcomer.replicator.figures.snapshots, 1)

    def test_an_answer_with_another_piece_is_not_taken_for_damage(self) -> None:
        download = SnapshotDownload("n0", peer_set(), Limits())
        manifest = made(SnapshotSource(filled(old_records(MANY))))
        (ask,) = download.requests(0)
        download.answered(ask.peer, [manifest], 0)
        (ask,) = download.requests(SECOND)
        download.answered(ask.peer, [Piece(bytes(16), b"late")], SECOND)
        self.assertEqual(download.dropped, {ask.peer: Drop.LACKING})
        self.assertEqual(len(download.missing), len(manifest.pieces))

    def test_a_slow_source_is_left(self) -> None:
        world = self.world()
        for name in ("n0", "n2"):
            world.members[name].piece_delay = 8 * SECOND
        newcomer = self.arrive(world, 8)
        self.assertEqual(newcomer.replicator.drops[Drop.SLOW], 2)

    def test_where_no_snapshot_is_to_be_had_ranges_do(self) -> None:
        world = self.world(old=2_500)
        for member in world.up():
            member.tamper = lambda member, answer: [
                PieceUnknown(each.name) if isinstance(each, Piece) else each for each in answer
            ]
        newcomer = self.arrive(world, 60)
        self.assertEqual(newcomer.replicator.figures.snapshots, 0)
        self.assertEqual(newcomer.replicator.figures.snapshots_given_up, 1)

    def test_a_download_goes_on_with_the_pieces_that_it_had(self) -> None:
        """Also where one was damaged on the disk meanwhile."""
        store = filled(old_records(MANY))
        source = SnapshotSource(store)
        manifest = made(source)
        pieces = fetched(source, manifest)
        lost, damaged = manifest.pieces[0], manifest.pieces[1]
        content = pieces.pop(lost)
        pieces[damaged] = pieces[manifest.pieces[2]]
        download = SnapshotDownload("n0", peer_set(), Limits(), pieces)
        (ask,) = download.requests(0)
        download.answered(ask.peer, [manifest], 0)
        wanted = {}
        now = 0
        while download.state == DownloadState.RUNNING and now < 10 * SECOND:
            for ask in download.requests(now):
                assert isinstance(ask.message, PieceWanted)
                name = ask.message.name
                wanted[ask.peer] = name
                answer = Piece(name, content if name == lost else pieces_of_damaged(source, name, now))
                download.answered(ask.peer, [answer], now)
            now += SECOND // 10
        self.assertEqual(set(wanted.values()), {lost, damaged})
        assert download.snapshot is not None
        self.assertEqual(sum(len(records) for _, records in download.snapshot.leaves()), MANY)

    def test_no_more_pieces_are_on_their_way_than_may_be(self) -> None:
        download = SnapshotDownload("n0", peer_set(), Limits())
        (ask,) = download.requests(0)
        manifest = made(SnapshotSource(filled(old_records(MANY))))
        self.assertGreater(len(manifest.pieces), MOST_IN_FLIGHT)
        download.answered(ask.peer, [manifest], 0)
        for step in range(1, 20):
            download.requests(step * SECOND // 10)
        self.assertEqual(len(download.asked), MOST_IN_FLIGHT)

    def test_beyond_what_may_be_held_nothing_is_fetched(self) -> None:
        manifest = made(SnapshotSource(filled(old_records(MANY))))
        for limits in (Limits(records=MANY - 1), Limits(size=1000)):
            download = SnapshotDownload("n0", peer_set(), limits)
            (ask,) = download.requests(0)
            download.answered(ask.peer, [manifest], 0)
            self.assertIsNone(download.manifest)
            self.assertEqual(download.dropped, {"n0": Drop.LIED})

    def test_a_record_in_the_wrong_leaf_or_out_of_bounds_does_not_get_in(self) -> None:
        good = Record("plan", "k", 1, "a", "o", b"")
        for number, record in ((4095, good), (0, Record("plan", "k", 1, "a", "", b""))):
            content = pack([(number, pack([record]))])
            made_up = Manifest(good.mark().to_bytes(8, "big"), 1, 10, 0, [name_of(content)], bytes(16))
            made_up = msgspec.structs.replace(made_up, name=manifest_name(made_up))
            download = SnapshotDownload("n0", peer_set(), Limits())
            (ask,) = download.requests(0)
            download.answered(ask.peer, [made_up], 0)
            (ask,) = download.requests(SECOND)
            download.answered(ask.peer, [Piece(name_of(content), content)], SECOND)
            self.assertIsNone(download.snapshot)
            self.assertIn(Drop.LIED, download.dropped.values())


def pieces_of_damaged(source: SnapshotSource, name: bytes, now: int) -> bytes:
    answer = source.piece(name, now + 100 * SECOND)
    assert isinstance(answer, Piece)
    return answer.content


if __name__ == "__main__":
    unittest.main()
