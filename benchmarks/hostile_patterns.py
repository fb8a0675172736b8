"""What hostile clients write: one form each, and mixes of forms and speeds."""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from dataclasses import dataclass, replace
from itertools import count

from benchmarks.rig import CUSTOMERS, PLANS

SLOW_PIECE_BYTES, SLOW_PAUSE_S = 400, 0.2
HEAD_BYTES, BODY_BYTES = 16_000, 33_000_000
SLOW_SHARE = 1 / 3  # of the clients of a mix
SHORTEST_VISIT_S, LONGEST_VISIT_S = 0.1, 1.5  # of a client that comes anew
IDS = count()


def head(
    method: str = "GET",
    path: str = "/look/x",
    *lines: str,
    trace: str = "",
    customer: str = CUSTOMERS[0],
) -> bytes:
    """A request's head as the platform's clients write it, with further lines."""
    return "\r\n".join(
        (
            f"{method} {path} HTTP/1.1",
            "Host: x",
            f"X-Trace-Id: {trace or f'h{next(IDS)}'}",
            f"X-Contract: {PLANS[0]}",
            f"X-Client-Id: {customer}",
            "X-Expires-In-Ms: 3000",
            "X-Metering: units=1,spread=1,first=0",
            *lines,
            "\r\n",
        )
    ).encode()


def purchase(*lines: str) -> bytes:
    return head("POST", "/buy/x", f"Idempotency-Key: k{next(IDS)}", *lines)


def short_fields(rng: random.Random, size: int = HEAD_BYTES - 400) -> list[str]:
    """Lines of a head with very many short fields, each of another name."""
    lines = [f"{number:x}:" for number in range(0x100, 0x100 + size // 6)]
    rng.shuffle(lines)
    return lines


@dataclass(frozen=True)
class Write:
    """What one hostile connection writes: ``data`` in pieces with pauses, or at once if ``piece`` is 0."""

    data: bytes
    piece: int = 0
    pause: float = SLOW_PAUSE_S
    hold: bool = True  # stay connected afterwards, until the ingress ends it
    reads: bool = True
    over_and_over: bool = False  # the same connection writes it again as soon as the socket takes it
    leaves_after: float = math.inf  # s from its connect on; it comes again under another port


Pattern = Callable[[random.Random], Write]


def slow_heads(rng: random.Random) -> Write:
    return Write(head("GET", "/look/x", *short_fields(rng)), 2000, 0.3)


def slow_bodies(rng: random.Random) -> Write:
    return Write(purchase("Content-Length: 64000") + bytes(64_000), rng.randint(2000, 6000), 0.4)


def slow_large_bodies(rng: random.Random) -> Write:
    return Write(purchase(f"Content-Length: {BODY_BYTES}") + bytes(400_000), rng.randint(8000, 20000), 0.2)


def half_bodies(rng: random.Random) -> Write:
    size = rng.choice((65_000, 65_500, 131_000))
    return Write(purchase(f"Content-Length: {BODY_BYTES}") + bytes(size))


def half_whole_bodies(rng: random.Random) -> Write:
    """Just below what is held whole, so that nothing may be passed on."""
    return Write(purchase("Content-Length: 65536") + bytes(65_500))


def many_fields(rng: random.Random) -> Write:
    return Write(head("GET", "/look/x", *short_fields(rng)), hold=False)


def many_fields_held(rng: random.Random) -> Write:
    return Write(purchase("Content-Length: 9", *short_fields(rng)) + b"x")


def repeated_field(rng: random.Random) -> Write:
    return Write(head("GET", "/look/x", *["a:"] * 3800), hold=False)


def many_chunks(rng: random.Random) -> Write:
    return Write(purchase("Transfer-Encoding: chunked") + b"1\r\nx\r\n" * 60_000)


def many_chunks_small(rng: random.Random) -> Write:
    return Write(purchase("Transfer-Encoding: chunked") + b"1\r\nx\r\n" * 60_000 + b"0\r\n\r\n", hold=False)


def chunk_extensions(rng: random.Random) -> Write:
    chunk = b"1;" + b"e" * 8000 + b"\r\nx\r\n"
    return Write(purchase("Transfer-Encoding: chunked") + chunk * 200)


def many_trailers(rng: random.Random) -> Write:
    trailers = "\r\n".join(short_fields(rng)).encode()
    return Write(purchase("Transfer-Encoding: chunked") + b"1\r\nx\r\n0\r\n" + trailers + b"\r\n\r\n")


def whole_bodies(rng: random.Random) -> Write:
    return Write(purchase("Content-Length: 65000") + bytes(65_000), over_and_over=True)


def flood_health(rng: random.Random) -> Write:
    return Write(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n" * 2000, over_and_over=True)


def flood_unsound(rng: random.Random) -> Write:
    return Write(b"GET /none HTTP/1.1\r\nHost: x\r\n\r\n" * 500, hold=False)


def flood_garbage(rng: random.Random) -> Write:
    return Write(rng.randbytes(4000), hold=False)


def flood_names(rng: random.Random) -> Write:
    customers = (f"{rng.randrange(1 << 33):016x}" for _ in range(2000))
    return Write(b"".join(head(customer=each) for each in customers), over_and_over=True)


def flood_unread(rng: random.Random) -> Write:
    customers = (f"{rng.randrange(1 << 33):016x}" for _ in range(2000))
    return Write(b"".join(head(customer=each) for each in customers), over_and_over=True, reads=False)


def flood_hasty(rng: random.Random) -> Write:
    """Requests whose time is over at once, each under a customer's name that was never heard."""
    customers = (f"{rng.randrange(1 << 33):016x}" for _ in range(2000))
    hasty = (head(customer=each).replace(b"Ms: 3000", b"Ms: 1") for each in customers)
    return Write(b"".join(hasty), over_and_over=True)


def flood_large_units(rng: random.Random) -> Write:
    """Requests that few can be served, of customers that are each new."""
    customers = (f"{rng.randrange(1 << 33):016x}" for _ in range(2000))
    return Write(
        b"".join(head(customer=each).replace(b"units=1,", b"units=6,") for each in customers),
        over_and_over=True,
    )


def flood_patient(rng: random.Random) -> Write:
    """Requests that are soon over, with a day to wait."""
    request = head(customer=f"{rng.randrange(1 << 33):016x}").replace(b"Ms: 3000", b"Ms: 86400000")
    return Write(
        b"".join(request.replace(b"X-Trace-Id: h", b"X-Trace-Id: %d-h" % n) for n in range(2000)),
        over_and_over=True,
    )


def flood_repeated_id(rng: random.Random) -> Write:
    return Write(head(trace="same") * 2000, over_and_over=True)


def flood_interim(rng: random.Random) -> Write:
    """Bodies that ask for 100 Continue, of one byte each."""
    return Write((purchase("Expect: 100-continue", "Content-Length: 1") + b"x") * 1000, over_and_over=True)


def fields_held(rng: random.Random) -> Write:
    """4,000 fields, and no end of the head."""
    return Write(head("GET", "/look/x", *["a:"] * 3850)[:-2])


def half_small_bodies(rng: random.Random) -> Write:
    return Write(purchase("Content-Length: 30000") + bytes(rng.randint(1, 29_999)))


MIXED_FORMS: tuple[Pattern, ...] = (
    half_bodies,
    half_whole_bodies,
    half_small_bodies,
    repeated_field,
    fields_held,
    many_fields_held,
    many_chunks,
    many_trailers,
)


def mix(rng: random.Random) -> Write:
    """One of several forms; some clients write theirs slowly."""
    write = rng.choice(MIXED_FORMS)(rng)
    if rng.random() < SLOW_SHARE:
        return replace(write, piece=SLOW_PIECE_BYTES, pause=SLOW_PAUSE_S * rng.uniform(0.2, 1.5))
    return write


def mix_anew(rng: random.Random) -> Write:
    """The same of clients that leave and come again."""
    return replace(mix(rng), leaves_after=rng.uniform(SHORTEST_VISIT_S, LONGEST_VISIT_S))


PATTERNS: dict[str, Pattern] = {
    function.__name__.replace("_", "-"): function
    for function in (
        slow_heads,
        slow_bodies,
        slow_large_bodies,
        half_bodies,
        half_whole_bodies,
        many_fields,
        many_fields_held,
        repeated_field,
        many_chunks,
        many_chunks_small,
        chunk_extensions,
        many_trailers,
        whole_bodies,
        flood_health,
        flood_unsound,
        flood_garbage,
        flood_names,
        flood_unread,
        flood_hasty,
        flood_patient,
        flood_large_units,
        flood_repeated_id,
        flood_interim,
        mix,
        mix_anew,
    )
}
