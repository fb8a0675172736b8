"""Use on its way to the accounts: the form of batches, when they go, and the receiver's bookkeeping."""

from __future__ import annotations

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gorsefork.usage.admission import UsageAdmission
from gorsefork.usage.export_schedule import LONGEST, SECOND, SHORTEST, ExportSchedule
from gorsefork.usage.records import Batch, Form, UnreadableBatch, Use, decode
from gorsefork.usage.store import MemoryUsageStore
from gorsefork.usage.verify import ReceivedUsage, read_batches

FORMS: tuple[Form, ...] = ("ndjson", "msgpack")


def use(number: int, micro: int = 1_000_000) -> Use:
    return Use(number, "00000000b4d65521", "large", "look", micro, 1_700_000_000_000_000)


def batch(first: int, last: int, life: int = 7, oldest: int | None = None, closed: bool = False) -> Batch:
    return Batch("n0", life, first, tuple(map(use, range(first, last + 1))), oldest or first, closed)


class TestForm:
    @given(st.integers(1, 1000), st.integers(0, 30), st.booleans(), st.sampled_from(FORMS))
    def test_a_batch_comes_back_as_it_was(self, first: int, many: int, closed: bool, form: Form) -> None:
        sent = batch(first, first + many - 1, closed=closed)
        assert decode(sent.encode(form), form) == sent

    @given(st.binary(max_size=200), st.sampled_from(FORMS))
    def test_noise_is_refused_and_nothing_else_happens(self, noise: bytes, form: Form) -> None:
        with pytest.raises(UnreadableBatch):
            decode(noise, form)

    @given(st.integers(0, 400), st.sampled_from(FORMS))
    def test_a_batch_cut_short_is_no_batch(self, at: int, form: Form) -> None:
        whole = batch(1, 5).encode(form)
        with pytest.raises(UnreadableBatch):
            decode(whole[: min(at, len(whole) - 2)], form)

    def test_numbers_that_do_not_follow_one_another(self) -> None:
        for uses in ((use(1), use(3)), (use(2), use(1)), (use(2), use(3))):
            body = Batch("n0", 7, 1, uses, 1).encode("ndjson")
            with pytest.raises(UnreadableBatch, match="follow"):
                decode(body, "ndjson")

    def test_a_version_that_is_not_known(self) -> None:
        with pytest.raises(UnreadableBatch, match="version"):
            decode(batch(1, 1).encode("ndjson").replace(b'"v":1', b'"v":2'), "ndjson")


class TestLedger:
    def test_repeats_count_once_and_are_seen(self) -> None:
        ledger = ReceivedUsage()
        for each in (batch(1, 3), batch(1, 3), batch(2, 5), batch(6, 5, closed=True)):
            assert ledger.take(each)[0] == 200
        (life,) = ledger.lives()
        assert (life.records, life.micro, life.repeats, life.missing) == (5, 5_000_000, 5, 0) and life.whole

    def test_a_hole_that_the_sender_can_fill_is_asked_for(self) -> None:
        ledger = ReceivedUsage()
        ledger.take(batch(1, 2))
        assert ledger.take(batch(5, 6, oldest=3)) == (409, 2)
        assert ledger.take(batch(3, 6, oldest=3)) == (200, 6)
        assert ledger.lives()[0].missing == 0

    def test_a_hole_that_nobody_can_fill_stays_visible_and_an_open_end_is_no_hole(self) -> None:
        ledger = ReceivedUsage()
        ledger.take(batch(1, 2))
        assert ledger.take(batch(5, 6, oldest=5)) == (200, 6)
        life = ledger.lives()[0]
        assert (life.missing, life.whole) == (2, False)
        ledger.take(batch(1, 4, life=8))
        assert (ledger.lives()[1].missing, ledger.lives()[1].whole) == (0, False)

    def test_one_number_for_two_uses_is_a_contradiction(self) -> None:
        ledger = ReceivedUsage()
        ledger.take(batch(1, 1))
        ledger.take(Batch("n0", 7, 1, (use(1, micro=5),), 1))
        assert ledger.lives()[0].contradictions == 1 and ledger.lives()[0].micro == 1_000_000

    def test_a_file_of_batches_is_read_one_behind_another(self) -> None:
        data = b"".join(each.encode("ndjson") + b"\n" for each in (batch(1, 3), batch(4, 4), batch(5, 4)))
        assert [(each.first, each.last) for each in read_batches(data)] == [(1, 3), (4, 4), (5, 4)]
        with pytest.raises(UnreadableBatch, match="line 1"):
            list(read_batches(b"what?\n"))


def shipping() -> ExportSchedule:
    return ExportSchedule(max_batch=8, flush=SECOND // 5, rng=random.Random(1))


class TestShipping:
    def test_a_few_wait_for_company_and_a_full_batch_goes_at_once(self) -> None:
        ship = shipping()
        assert ship.wake_at() is None
        ship.recorded(1, now=100)
        ship.recorded(2, now=50_000)
        assert ship.wake_at() == 100 + SECOND // 5 and not ship.ready(60_000)
        ship.recorded(8, now=60_000)
        assert ship.ready(60_000)

    def test_one_batch_is_out_at_a_time(self) -> None:
        ship = shipping()
        ship.recorded(9, now=0)
        ship.begin()
        ship.recorded(9, now=0)
        assert ship.wake_at() is None and not ship.ready(10 * SECOND)
        assert ship.batch_ended(200, 8, first=1, now=10) == "kept"
        assert ship.wake_at() == 0

    def test_failures_wait_longer_and_longer_up_to_a_bound_and_are_forgotten_by_a_success(self) -> None:
        ship, pauses = shipping(), []
        for _ in range(16):
            ship.recorded(9, now=0)
            ship.begin()
            assert ship.batch_ended(0, None, first=1, now=0) == "failed"
            pauses.append(ship.not_before)
        assert SHORTEST // 2 <= pauses[0] <= SHORTEST and LONGEST // 2 <= pauses[-1] <= LONGEST
        assert ship.wake_at() == pauses[-1] and "no answer" in ship.problem
        ship.begin()
        ship.batch_ended(200, 8, first=1, now=5)
        assert (ship.not_before, ship.failures, ship.problem) == (0, 0, "")

    def test_accounts_silent_for_minutes_are_asked_now_and_then_and_soon_after_they_are_back(self) -> None:
        ship, now, tries, back = shipping(), 0, 0, 600 * SECOND
        ship.recorded(9, now)
        while True:
            wake = ship.wake_at()
            assert wake is not None
            now = max(now, wake)
            ship.begin()
            tries += 1
            if now >= back:
                break
            now += 3 * SECOND  # a time-out each
            ship.batch_ended(0, None, first=1, now=now)
        assert tries < 40 and now - back <= LONGEST
        assert ship.batch_ended(200, 8, first=1, now=now) == "kept" and ship.not_before == 0

    def test_a_batch_too_large_is_halved_and_grows_again(self) -> None:
        ship = shipping()
        sizes = []
        for status in (413, 413, 413, 413, 200, 200, 200, 200):
            ship.begin()
            ship.batch_ended(status, 99 if status == 200 else None, first=1, now=0)
            sizes.append(ship.size)
        assert sizes == [4, 2, 1, 1, 2, 4, 8, 8]

    @pytest.mark.parametrize(
        ("status", "upto", "verdict"),
        [
            (200, 0, "kept"),
            (200, None, "failed"),
            (409, 0, "behind"),
            (400, None, "refused"),
            (401, None, "refused"),
            (429, None, "failed"),
            (500, None, "failed"),
            (0, None, "failed"),
        ],
    )
    def test_what_an_answer_means(self, status: int, upto: int | None, verdict: str) -> None:
        ship = shipping()
        ship.begin()
        assert ship.batch_ended(status, upto, first=1, now=0) == verdict

    def test_a_receiver_that_goes_back_is_not_believed_to_have_kept_it(self) -> None:
        ship = shipping()
        ship.begin()
        assert ship.batch_ended(200, 3, first=9, now=0) == "failed"


class TestAdmission:
    def test_it_shuts_at_the_bound_counting_open_calls_and_opens_well_below_it(self) -> None:
        gate = UsageAdmission(max_waiting=100)
        assert not gate.update(89, 10, "") and not gate.closed_reason
        assert gate.update(90, 10, "") and "100 at most" in gate.closed_reason
        assert not gate.update(96, 2, "") and gate.closed_reason
        assert gate.update(94, 0, "") and not gate.closed_reason

    def test_a_fault_shuts_it_whatever_the_numbers_and_its_end_opens_it(self) -> None:
        gate = UsageAdmission(max_waiting=100)
        assert gate.update(0, 0, "the disk is full") and gate.closed_reason == "the disk is full"
        assert not gate.update(0, 0, "the disk is full")
        assert gate.update(0, 0, "") and not gate.closed_reason


class TestVolatile:
    def test_a_drain_tells_the_end_and_nothing_stays(self) -> None:
        store, ledger = MemoryUsageStore("n0", 7), ReceivedUsage()
        store.append([use(n) for n in range(1, 6)])
        while (each := store.batch(2)) is not None:
            ledger.take(each)
            store.acknowledge(7, each.last, each.closed)
        assert store.waiting() == 0 and not ledger.lives()[0].whole
        store.end()
        each = store.batch(2)
        assert each is not None and (each.first, each.last, each.closed) == (6, 5, True)
        ledger.take(each)
        store.acknowledge(7, 5, True)
        assert ledger.lives()[0].whole and store.batch(2) is None
