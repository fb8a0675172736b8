"""Which room may import which. A file that needs two rows is two files."""

from __future__ import annotations

import ast
import unittest
from collections.abc import Iterator
from pathlib import Path

ROOT = Path(__file__).parents[1] / "gorsefork"
# A room, by the longest prefix that fits, and what it may import of this program beside itself.
ROOMS: dict[str, tuple[str, ...]] = {
    "decisions": (),
    "memory": ("decisions",),
    "plans": ("decisions.interface",),
    "usage": (),
    "fleet": (),
    "configuration": ("fleet",),
    "grpc": ("decisions.interface",),
    "storage": ("memory", "plans", "usage", "configuration"),
    "wire.http1": ("memory", "wire.stream"),
    "wire.http2": (),
    "wire.services": ("memory", "plans", "usage", "fleet", "configuration", "wire.http1"),
    "wire.fronts": ("memory", "plans", "fleet", "configuration", "wire.acceptor", "wire.stream"),
}
NO_WIRE = ("h11", "h2", "socket", "ssl", "sqlite3", "selectors")
NO_IO = (*NO_WIRE, "trio", "os", "pathlib", "time", "threading")  # what subsystems that decide may not touch
NO_IO_ROOMS = ("decisions", "plans", "usage", "grpc", "fleet", "configuration")


def imports(path: Path) -> Iterator[str]:
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.ImportFrom) and node.module:
            yield from (f"{node.module}.{alias.name}" for alias in node.names)
        elif isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)


class Layers(unittest.TestCase):
    def test_each_room_imports_what_its_row_allows(self) -> None:
        for room, allowed in ROOMS.items():
            modules = list((ROOT / room.replace(".", "/")).rglob("*.py"))
            self.assertGreater(len(modules), 1, room)
            for path in modules:
                for name in imports(path):
                    if name.startswith("gorsefork."):
                        inside = name.removeprefix("gorsefork.")
                        self.assertTrue(inside.startswith((room, *allowed)), f"{path.name} imports {name}")
                    top = name.partition(".")[0]
                    if room == "storage":
                        self.assertNotIn(top, ("h11", "socket"), f"{path.name} imports {name}")
                    else:
                        self.assertNotEqual(top, "sqlite3", f"{path.name} imports {name}")
                    if not room.startswith(("wire", "storage")):
                        self.assertNotIn(top, NO_WIRE, f"{path.name} imports {name}")

    def test_what_decides_does_no_input_or_output(self) -> None:
        for room in NO_IO_ROOMS:
            for path in (ROOT / room).rglob("*.py"):
                for name in imports(path):
                    self.assertNotIn(name.partition(".")[0], NO_IO, f"{path.name} imports {name}")


if __name__ == "__main__":
    unittest.main()
