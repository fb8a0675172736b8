"""A body that is forwarded while it arrives: what its reader is told, whatever happened since it woke."""

from __future__ import annotations

from collections.abc import Callable
from typing import Literal

import pytest
import trio
import trio.testing
from hypothesis import given, settings
from hypothesis import strategies as st

from gorsefork.memory.body_stream import BodyAborted, BodyStream

Step = Literal["put", "read", "end", "abort", "discard"]
FIRST, CHUNK = b"first", b"chunk"


async def read_all(stream: BodyStream) -> bytes:
    """The whole body; ``BodyAborted`` if it has no end."""
    body = bytearray()
    while chunks := await stream.read_available():
        body += b"".join(chunks)
    return bytes(body)


def read_while(happens: Callable[[BodyStream], None]) -> bytes:
    """What a reader gets that waits for more while all of ``happens`` comes in one turn of the loop."""

    async def main() -> bytes:
        stream, results = BodyStream(None, FIRST), list[bytes | BodyAborted]()

        async def read() -> None:
            try:
                results.append(await read_all(stream))
            except BodyAborted as error:
                results.append(error)

        with trio.fail_after(5):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(read)
                await trio.testing.wait_all_tasks_blocked()
                happens(stream)
        (result,) = results
        if isinstance(result, BodyAborted):
            raise result
        return result

    return trio.run(main)


def test_a_body_that_is_discarded_as_its_last_piece_wakes_the_reader_is_not_complete() -> None:
    """Prevents a purchase with a part of its body: the rest was dropped before the reader ran (issue 47)."""

    def happens(stream: BodyStream) -> None:
        stream.put(CHUNK)
        stream.end()
        stream.discard()

    with pytest.raises(BodyAborted):
        read_while(happens)


def test_a_body_that_ends_after_it_was_discarded_is_not_complete() -> None:
    """Prevents a request that runs although it was answered: only its end was missing (issue 47)."""

    def happens(stream: BodyStream) -> None:
        stream.discard()
        stream.end()

    with pytest.raises(BodyAborted):
        read_while(happens)


def test_a_discarded_body_is_not_waited_for() -> None:
    """Prevents a reader that waits on for the rest of a body which nobody puts any more (issue 47)."""
    with pytest.raises(BodyAborted):
        read_while(BodyStream.discard)


def test_a_reader_that_is_cancelled_as_the_last_piece_wakes_it_takes_nothing() -> None:
    """Prevents an attempt that completes a body after it was called off (issue 47)."""

    async def main() -> list[bytes]:
        stream, scope = BodyStream(None, FIRST), trio.CancelScope()

        async def read() -> None:
            with scope:
                await stream.read_available()
                await stream.read_available()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(read)
            await trio.testing.wait_all_tasks_blocked()
            stream.put(CHUNK)
            stream.end()
            scope.cancel()
        assert scope.cancelled_caught
        return stream.chunks

    assert trio.run(main) == [CHUNK]


@settings(deadline=None)
@given(st.lists(st.sampled_from(("put", "read", "end", "abort", "discard")), max_size=8))
def test_no_order_of_events_makes_a_part_of_a_body_complete(steps: list[Step]) -> None:
    """A reader that is told of the end has every byte that was put, and nothing broke the body off before."""

    async def main() -> None:
        stream, put, read = BodyStream(None, FIRST), FIRST, b""
        for step in steps:
            if step == "put" and not stream.ended:
                put += CHUNK
                stream.put(CHUNK)
            elif step != "read":
                getattr(stream, step if step != "put" else "end")()
            elif stream.chunks or stream.ended or stream.is_broken_off():
                broken_off = stream.is_broken_off()
                try:
                    chunks = await stream.read_available()
                except BodyAborted:
                    assert broken_off
                    return
                assert not broken_off
                read += b"".join(chunks)
                if not chunks:
                    assert stream.ended and read == put
                    return

    trio.run(main)
