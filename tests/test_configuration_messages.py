"""The messages between replicas: bounds, versions one apart, and what cannot be read."""

from __future__ import annotations

import contextlib
import unittest
from typing import Any

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from gorsefork.configuration.messages import (
    MAX_MESSAGE_BYTES,
    AnyMessage,
    LeavesWanted,
    MessageError,
    Offer,
    Piece,
    Place,
    Records,
    Same,
    Summary,
    as_records,
    decode,
    encode,
    read_records,
)
from gorsefork.configuration.records import Record

RECORD = Record("plan", "k", 1, "a", "o", b"body")


def packed(value: Any) -> bytes:
    return msgspec.msgpack.encode(value)


class Messages(unittest.TestCase):
    def test_come_back_as_they_were(self) -> None:
        messages: list[AnyMessage] = [
            Summary(b"12345678", 7, 9, [Place(4095, (1 << 64) - 1)]),
            Same(),
            Offer([Place(1, 2)]),
        ]
        self.assertEqual(decode(encode(messages)), messages)

    def test_records_come_back_whatever_their_kind(self) -> None:
        future = Record("kind-of-later", "k", 1, "a", "o", b"\xff\x00")
        (message,) = decode(encode([as_records([RECORD, future], 5)]))
        assert isinstance(message, Records)
        self.assertEqual(read_records(message), ([RECORD, future], 0))

    def test_a_later_version_may_add_messages_and_fields(self) -> None:
        body = packed([["quorum", 1], ["summary", b"12345678", 7, 9, [], "new"], ["same"]])
        self.assertEqual(decode(body), [Summary(b"12345678", 7, 9), Same()])

    def test_an_earlier_version_may_lack_the_last_fields(self) -> None:
        self.assertEqual(decode(packed([["summary", b"12345678", 7, 9]])), [Summary(b"12345678", 7, 9)])

    def test_one_record_that_cannot_be_read_leaves_the_others(self) -> None:
        bad = ["plan", "k", 0, "a", "o", b""]  # versions begin at 1
        (message,) = decode(packed([["records", [bad, RECORD], 0]]))
        assert isinstance(message, Records)
        self.assertEqual(read_records(message), ([RECORD], 1))

    def test_what_is_out_of_bounds_is_refused_with_the_reason(self) -> None:
        bodies: tuple[Any, ...] = (
            [["summary", b"1234", 7, 9]],
            [["leaves?", [4096]]],
            [["offer", [[0, -1]]]],
            [["ranges?", [[1, 2, 3]]]],
            [["offer", [[0, 0]] * 1025]],
            [[]] * 513,
            {},
            [7],
        )
        for messages in bodies:
            with self.subTest(messages=str(messages)[:40]), self.assertRaises(MessageError):
                decode(packed(messages))

    def test_a_body_is_bounded_both_ways(self) -> None:
        with self.assertRaises(MessageError):
            decode(packed([["same"], ["of-later", bytes(MAX_MESSAGE_BYTES)]]))
        with self.assertRaises(MessageError):
            encode([Piece(bytes(16), bytes(MAX_MESSAGE_BYTES))])

    @settings(max_examples=150, deadline=None, derandomize=True)
    @given(st.binary(max_size=60))
    def test_no_bytes_do_more_than_be_refused(self, body: bytes) -> None:
        with contextlib.suppress(MessageError):
            decode(body)

    @settings(max_examples=100, deadline=None, derandomize=True)
    @given(st.integers(0, 200), st.integers(0, 255))
    def test_nor_does_a_changed_byte(self, place: int, value: int) -> None:
        body = bytearray(encode([as_records([RECORD], 1), Summary(b"12345678", 1, 1), LeavesWanted([1, 2])]))
        body[place % len(body)] = value
        with contextlib.suppress(MessageError):
            decode(bytes(body))


if __name__ == "__main__":
    unittest.main()
