"""Reads a large JSON object a few elements at a time, so that whoever reads it can let others run in between.

The values are read by the standard library's decoder, and what is accepted is what ``json.loads`` accepts.
"""

from __future__ import annotations

import json
import re
from collections.abc import Generator
from typing import Any

SPACE = re.compile(r"[ \t\n\r]*")
DECODER = json.JSONDecoder()


class Cursor:
    """A place in a JSON text. Each method raises ``ValueError`` where the text is no JSON."""

    def __init__(self, text: str) -> None:
        self.text, self.at = text, 0

    def peek(self) -> str:
        """The next character that is no space; nothing at the end."""
        space = SPACE.match(self.text, self.at)
        self.at = space.end() if space else self.at
        return self.text[self.at : self.at + 1]

    def take(self, *expected: str) -> str:
        """Go past one of these characters, which must come next."""
        if (found := self.peek()) not in expected:
            raise ValueError(f"{' or '.join(expected)} expected at character {self.at}")
        self.at += 1
        return found

    def value(self) -> Any:
        self.peek()
        value, self.at = DECODER.raw_decode(self.text, self.at)
        return value


def read_object(body: bytes | bytearray, each: int) -> Generator[None, None, Any]:
    """As ``json.loads``. Where the value is an object, yields after each so many elements of its arrays.

    ``ValueError`` or ``RecursionError`` where ``json.loads`` raises them.
    """
    cursor = Cursor(body.decode(json.detect_encoding(body), "surrogatepass"))
    value = (yield from members(cursor, each)) if cursor.peek() == "{" else cursor.value()
    if cursor.peek():
        raise ValueError(f"more than one value: character {cursor.at}")
    return value


def members(cursor: Cursor, each: int) -> Generator[None, None, dict[str, Any]]:
    """The members of an object; an array among them in steps."""
    read: dict[str, Any] = {}
    cursor.take("{")
    if cursor.peek() == "}":
        cursor.take("}")
        return read
    while True:
        if cursor.peek() != '"':
            raise ValueError(f"a name expected at character {cursor.at}")
        name = cursor.value()
        cursor.take(":")
        read[name] = (yield from elements(cursor, each)) if cursor.peek() == "[" else cursor.value()
        if cursor.take(",", "}") == "}":
            return read


def elements(cursor: Cursor, each: int) -> Generator[None, None, list[Any]]:
    """The elements of an array."""
    read: list[Any] = []
    cursor.take("[")
    if cursor.peek() == "]":
        cursor.take("]")
        return read
    while True:
        read.append(cursor.value())
        if cursor.take(",", "]") == "]":
            return read
        if len(read) % each == 0:
            yield
