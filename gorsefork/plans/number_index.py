"""From the number of a change to its customer, in 12 bytes a change."""

from __future__ import annotations

from collections.abc import Iterator

BUCKETS = 1024
HASH_BYTES, CUSTOMER_BYTES = 4, 8
ENTRY = HASH_BYTES + CUSTOMER_BYTES
EVERYONE = b"\xff" * CUSTOMER_BYTES


class NumberIndex:
    """Numbers by hash. ``candidates`` may name customers that have no such change: the caller looks there.

    The customer ``ff..ff`` shares its entry with changes of all customers, so that both are candidates.
    """

    def __init__(self) -> None:
        self.buckets = [bytearray() for _ in range(BUCKETS)]

    def add(self, number: tuple[int, str], customer: str) -> None:
        """``number``: stamp and origin. ``customer``: 16 hexadecimal digits, or empty for all."""
        hashed, bucket = self.place(number)
        bucket += hashed + (bytes.fromhex(customer) if customer else EVERYONE)

    def discard(self, number: tuple[int, str], customer: str) -> None:
        hashed, bucket = self.place(number)
        entry = hashed + (bytes.fromhex(customer) if customer else EVERYONE)
        for start in range(0, len(bucket), ENTRY):
            if bucket[start : start + ENTRY] == entry:
                del bucket[start : start + ENTRY]
                return

    def candidates(self, number: tuple[int, str]) -> Iterator[str]:
        hashed, bucket = self.place(number)
        start = bucket.find(hashed)
        while start >= 0:
            if start % ENTRY == 0:
                customer = bytes(bucket[start + HASH_BYTES : start + ENTRY])
                yield customer.hex()
                if customer == EVERYONE:
                    yield ""
            start = bucket.find(hashed, start + 1)

    def place(self, number: tuple[int, str]) -> tuple[bytes, bytearray]:
        value = hash(number)
        return (value >> 10 & 0xFFFFFFFF).to_bytes(HASH_BYTES, "big"), self.buckets[value % BUCKETS]
