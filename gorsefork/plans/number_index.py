"""From the number of a change to the part of the log that has it, in 6 bytes a change."""

from __future__ import annotations

from collections.abc import Iterator

BUCKETS = 1024
HASH_BYTES, PART_BYTES = 4, 2
ENTRY = HASH_BYTES + PART_BYTES
HASH_MASK = (1 << 8 * HASH_BYTES) - 1
PART_BITS = 8 * PART_BYTES


class NumberIndex:
    """Numbers (stamp and origin) by hash. ``candidates`` may name parts that lack the change: look there."""

    def __init__(self) -> None:
        self.buckets = [bytearray() for _ in range(BUCKETS)]

    def add(self, number: tuple[int, str], part: int) -> None:
        value = hash(number)
        entry = (value // BUCKETS & HASH_MASK) << PART_BITS | part
        self.buckets[value % BUCKETS] += entry.to_bytes(ENTRY, "big")

    def discard(self, number: tuple[int, str], part: int) -> None:
        bucket = self.buckets[hash(number) % BUCKETS]
        for start, found in self.entries(number):
            if found == part:
                del bucket[start : start + ENTRY]
                return

    def candidates(self, number: tuple[int, str]) -> Iterator[int]:
        """The parts in which the change may be; nearly always one or none."""
        return (part for _, part in self.entries(number))

    def entries(self, number: tuple[int, str]) -> Iterator[tuple[int, int]]:
        """Place in the bucket, and part."""
        value = hash(number)
        bucket = self.buckets[value % BUCKETS]
        hashed = (value // BUCKETS & HASH_MASK).to_bytes(HASH_BYTES, "big")
        start = bucket.find(hashed)
        while start >= 0:
            if start % ENTRY == 0:
                yield start, int.from_bytes(bucket[start + HASH_BYTES : start + ENTRY], "big")
            start = bucket.find(hashed, start + 1)
