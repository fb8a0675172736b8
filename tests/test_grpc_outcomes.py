"""gRPC without its wire: time-outs, statuses, and the one table of what the end of a call means."""

from __future__ import annotations

import itertools
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gorsefork.grpc.outcomes import NEVER_LEFT, TABLE, End, Reading, Sent, Use, Verdict, read
from gorsefork.grpc.status import Code, from_http, read_code, read_message, write_message
from gorsefork.grpc.timeouts import BadTimeout
from gorsefork.grpc.timeouts import read as read_timeout
from gorsefork.grpc.timeouts import write as write_timeout

PAGE = Path(__file__).parents[1] / "docs" / "grpc-outcomes.md"


class TestTimeouts:
    @pytest.mark.parametrize(
        ("value", "us"),
        [
            (b"1H", 3_600_000_000),
            (b"2M", 120_000_000),
            (b"3S", 3_000_000),
            (b"4m", 4_000),
            (b"5u", 5),
            (b"6n", 1),
            (b"1000n", 1),
            (b"0S", 0),
            (b"99999999H", 99_999_999 * 3_600_000_000),
        ],
    )
    def test_every_unit(self, value: bytes, us: int) -> None:
        assert read_timeout(value) == us

    @pytest.mark.parametrize(
        "value",
        [b"", b"1", b"S", b"-1S", b"1.5S", b"100000000S", b"1s", b" 1S", b"1S ", "\u0661S".encode(), b"1S\n"],
    )
    def test_what_is_none(self, value: bytes) -> None:
        with pytest.raises(BadTimeout):
            read_timeout(value)

    @given(st.integers(0, 10**15))
    def test_what_is_left_never_grows_on_the_way_and_loses_little(self, us: int) -> None:
        passed = read_timeout(write_timeout(us))
        assert passed <= us and us - passed <= max(0, us // 1000)

    @given(st.integers(0, 99_999_999), st.sampled_from("HMSmun"))
    def test_every_value_of_the_protocol_is_read(self, amount: int, unit: str) -> None:
        assert read_timeout(f"{amount}{unit}".encode()) >= 0


class TestStatus:
    @given(st.text(max_size=80))
    def test_a_message_comes_back_as_it_was_and_is_plain_on_the_wire(self, text: str) -> None:
        wire = write_message(text)
        assert all(0x20 <= each < 0x7F for each in wire)
        if len(wire) < 1024:
            assert read_message(wire) == text

    @given(st.binary(max_size=60))
    def test_no_message_is_unreadable(self, value: bytes) -> None:
        read_message(value)

    def test_codes(self) -> None:
        assert read_code(b"0") is Code.OK and read_code(b"16") is Code.UNAUTHENTICATED
        assert {read_code(value) for value in (b"17", b"-1", b"", b"OK", b"0x1", b"1000", b" 0")} == {None}
        assert (from_http(503), from_http(404), from_http(418)) == (
            Code.UNAVAILABLE,
            Code.UNIMPLEMENTED,
            Code.UNKNOWN,
        )


def trailers(value: bytes | None, **more: object) -> Reading:
    return Reading(End.TRAILERS, http=200, trailers=value, **more)  # type: ignore[arg-type]


class TestOutcomes:
    def test_ok_in_the_trailers_is_served_and_in_the_head_of_a_stream_that_went_on_is_not(self) -> None:
        assert read(trailers(b"0")).use is Use.SERVED
        dies = Reading(End.LOST, http=200, head=b"0")
        assert read(dies) == Verdict("reset", Code.UNAVAILABLE, Use.FAILED)
        assert read(Reading(End.NO_TRAILERS, http=200, head=b"0")).use is Use.FAILED
        assert read(Reading(End.TRAILERS, http=200, head=b"0", trailers=None)).use is Use.FAILED

    def test_a_status_that_comes_only_in_the_trailers_or_only_in_the_head(self) -> None:
        assert read(trailers(b"5")) == Verdict("error", Code.NOT_FOUND, Use.FAILED, answer=True)
        only = Reading(End.TRAILERS_ONLY, http=200, head=b"5")
        assert read(only) == Verdict("error", Code.NOT_FOUND, Use.FAILED, answer=True)

    @pytest.mark.parametrize("value", [None, b"", b"OK", b"99", b"-1", b"0 "])
    def test_a_status_that_is_missing_unreadable_or_unknown_fails(self, value: bytes | None) -> None:
        assert read(trailers(value)) == Verdict("error", Code.UNKNOWN, Use.FAILED)

    @pytest.mark.parametrize(
        ("http", "code"),
        [(503, Code.UNAVAILABLE), (404, Code.UNIMPLEMENTED), (500, Code.UNKNOWN), (None, Code.UNKNOWN)],
    )
    def test_an_http_status_that_is_not_200_outranks_what_stands_beside_it(
        self, http: int | None, code: Code
    ) -> None:
        assert read(Reading(End.TRAILERS, http=http, trailers=b"0")) == Verdict("error", code, Use.FAILED)

    def test_only_a_proof_that_it_never_ran_refuses(self) -> None:
        assert read(trailers(b"14")).may_have_run and not read(trailers(b"14", never_ran=True)).may_have_run
        assert read(trailers(b"8", never_ran=True)).use is Use.REFUSED
        assert read(trailers(b"13", never_ran=True)).may_have_run  # a word that contradicts its own status
        assert not read(Reading(End.REFUSED_STREAM)).may_have_run
        assert read(Reading(End.RESET)).may_have_run and read(Reading(End.RESET_NO_ERROR)).may_have_run

    def test_a_part_of_a_unary_request_never_ran_and_a_part_of_a_stream_may_have(self) -> None:
        for end in NEVER_LEFT:
            part = Reading(end, Sent.PART)
            assert not read(part).may_have_run and read(part, streaming=True).may_have_run
            assert not read(Reading(end, Sent.NOTHING), streaming=True).may_have_run
            assert read(Reading(end, Sent.WHOLE)).may_have_run

    def test_whatever_came_only_ok_counts_and_only_an_answer_counts_as_ok(self) -> None:
        values = [None, b"0", b"5", b"14", b"99"]
        for end, sent, http, head, last, never in itertools.product(
            End, Sent, (None, 200, 503), values, values, (False, True)
        ):
            verdict = read(Reading(end, sent, http, head, last, never))
            served = verdict.use is Use.SERVED
            assert served == (verdict.status == "ok") == (verdict.code is Code.OK)
            assert (verdict.use is Use.REFUSED) == (not verdict.may_have_run)
            assert not served or (http == 200 and end in (End.TRAILERS, End.TRAILERS_ONLY))

    def test_the_page_shows_this_table(self) -> None:
        page = PAGE.read_text(encoding="utf-8")
        for end, verdict in TABLE.items():
            never = NEVER_LEFT.get(end)
            unsent = f"{never.use.value}, {never.code.name}" if never else "the same"
            row = f"| {end.value} | {verdict.use.value}, {verdict.code.name} | {unsent} |"
            assert row in page, row
