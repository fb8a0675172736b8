"""The store: what it holds, its digests, its bounds, and contradictions, in whatever order records come."""

from __future__ import annotations

import random
import unittest
from collections.abc import Sequence

from hypothesis import given, settings
from hypothesis import strategies as st

from gorsefork.configuration.records import Record, RecordRefused, Refusal
from gorsefork.configuration.store import LEAVES, Limits, RecordStore, leaf_of

records = st.builds(
    Record,
    kind=st.sampled_from(("plan", "route")),
    key=st.sampled_from([f"k{n}" for n in range(12)]),
    stamp=st.integers(1, 4),
    origin=st.sampled_from(("a", "b")),
    author=st.just("operator"),
    body=st.sampled_from((b"", b"one", b"other")),
)
some = settings(max_examples=60, deadline=None, derandomize=True)


def filled(given_records: Sequence[Record], limits: Limits | None = None) -> RecordStore:
    store = RecordStore(limits)
    for record in given_records:
        try:
            store.add(record)
        except RecordRefused as refused:
            assert refused.refusal == Refusal.CONTRADICTION
    return store


def model(given_records: Sequence[Record]) -> set[Record]:
    """Of each identity the record with the greatest mark."""
    kept: dict[tuple[str, str, int, str], Record] = {}
    for record in given_records:
        held = kept.get(record.identity)
        if held is None or record.mark() > held.mark():
            kept[record.identity] = record
    return set(kept.values())


def held(store: RecordStore) -> set[Record]:
    return {record for number in range(LEAVES) for record in store.leaf(number)}


class Store(unittest.TestCase):
    @some
    @given(st.lists(records, max_size=30), st.randoms(use_true_random=False))
    def test_same_records_in_any_order_are_the_same_store(
        self, given_records: list[Record], rng: random.Random
    ) -> None:
        one, shuffled = filled(given_records), list(given_records)
        rng.shuffle(shuffled)
        other = RecordStore()
        other.add_all(shuffled)
        self.assertEqual(one.leaves, other.leaves)
        self.assertEqual(one.digests, other.digests)
        self.assertEqual(held(one), model(given_records))
        self.assertEqual(len(one), len(model(given_records)))

    @some
    @given(st.lists(records, max_size=20), st.lists(records, max_size=20))
    def test_discarding_leaves_what_adding_the_rest_gives(
        self, kept: list[Record], gone: list[Record]
    ) -> None:
        expected = model(kept + gone) - set(gone)
        store = filled(kept + gone)
        store.discard(gone)
        fresh = filled(list(expected))
        self.assertEqual(store.leaves, fresh.leaves)
        self.assertEqual(store.digests, fresh.digests)
        self.assertEqual((len(store), store.size), (len(fresh), fresh.size))

    def test_range_digests_fold_up_to_the_digest(self) -> None:
        store = filled([Record("plan", f"k{n}", n + 1, "a", "o", b"") for n in range(500)])

        def folded(prefix: tuple[int, ...]) -> int:
            total = 0
            for digest in store.range_digests(prefix):
                total ^= int.from_bytes(digest, "big")
            return total

        self.assertEqual(folded(()).to_bytes(8, "big"), store.digest())
        for one in range(16):
            self.assertEqual(folded((one,)).to_bytes(8, "big"), store.range_digests(())[one])
        for number in range(LEAVES):
            prefix = (number >> 8, number >> 4 & 15)
            marks = 0
            for mark in store.marks(number):
                marks ^= mark
            self.assertEqual(store.range_digests(prefix)[number & 15], marks.to_bytes(8, "big"))

    def test_versions_of_a_key_come_in_order(self) -> None:
        versions = [Record("plan", "k", stamp, origin, "o", b"") for stamp in (3, 1, 2) for origin in "ba"]
        others = [Record("plan", "other", 1, "a", "o", b""), Record("route", "k", 1, "a", "o", b"")]
        store = filled(versions + others)
        self.assertEqual(store.versions("plan", "k"), sorted(versions, key=lambda r: r.version))
        self.assertEqual(sorted(store.keys("plan")), ["k", "other"])

    def test_a_contradiction_is_told_and_ends_alike(self) -> None:
        pair = [Record("plan", "k", 1, "a", "o", body) for body in (b"one", b"other")]
        pair.sort(key=Record.mark)
        lesser, greater = pair
        first, second = filled([lesser, greater]), RecordStore()
        self.assertTrue(second.add(greater))
        with self.assertRaises(RecordRefused) as caught:
            second.add(lesser)
        self.assertEqual(caught.exception.refusal, Refusal.CONTRADICTION)
        for store in (first, second):
            self.assertEqual(store.versions("plan", "k"), [greater])
            self.assertEqual(store.contradictions[-1], (greater, lesser))
        self.assertEqual(first.digest(), second.digest())


class Bounds(unittest.TestCase):
    def refused(self, limits: Limits, held_records: list[Record], one_more: Record) -> None:
        store = filled(held_records, limits)
        before = (store.digest(), store.size, len(store), list(store.leaves))
        with self.assertRaises(RecordRefused) as caught:
            store.add(one_more)
        self.assertEqual(caught.exception.refusal, Refusal.NO_ROOM)
        self.assertEqual(store.add_all([one_more])[0].__class__, RecordRefused)
        self.assertEqual((store.digest(), store.size, len(store), list(store.leaves)), before)
        self.assertFalse(store.add(held_records[0]), "what is held stays, and is not refused")

    def test_of_records(self) -> None:
        some_records = [Record("plan", f"k{n}", 1, "a", "o", b"") for n in range(4)]
        self.refused(Limits(records=3), some_records[:3], some_records[3])

    def test_of_bytes(self) -> None:
        some_records = [Record("plan", f"k{n}", 1, "a", "o", b"x" * 300) for n in range(4)]
        self.refused(Limits(size=1200), some_records[:3], some_records[3])

    def test_of_versions_of_one_key(self) -> None:
        some_records = [Record("plan", "k", n + 1, "a", "o", b"") for n in range(4)]
        self.refused(Limits(versions=3), some_records[:3], some_records[3])
        RecordStore(Limits(versions=3)).add_all([Record("plan", f"k{n}", 1, "a", "o", b"") for n in range(9)])

    def test_of_one_leaf(self) -> None:
        leaf = leaf_of("plan", "k")
        keys = [f"n{n}" for n in range(40_000) if leaf_of("plan", f"n{n}") == leaf][:3]
        some_records = [Record("plan", key, 1, "a", "o", b"") for key in ("k", *keys)]
        self.refused(Limits(leaf=3), some_records[:3], some_records[3])


if __name__ == "__main__":
    unittest.main()
