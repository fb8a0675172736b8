"""Which room may import which. A file that needs two rows is two files."""

from __future__ import annotations

import ast
import unittest
from collections.abc import Iterator, Mapping
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
    "lab": ("decisions", "memory", "plans", "fleet", "configuration", "storage", "wire", "life", "settings"),
    "wire.fronts": ("memory", "plans", "fleet", "configuration", "wire.acceptor", "wire.stream"),
}
# Files that import each other, though they should not; each comes off this list with its circle.
KNOWN_CIRCLES = {("decisions.rules", "decisions.state")}
NO_WIRE = ("h11", "h2", "socket", "ssl", "sqlite3", "selectors")
NO_IO = (*NO_WIRE, "trio", "os", "pathlib", "time", "threading")  # what subsystems that decide may not touch
LAB_ONLY = ("pyarrow", "matplotlib", "hdrh")  # of requirements-lab.txt
NO_IO_ROOMS = ("decisions", "plans", "usage", "grpc", "fleet", "configuration")


def imports(path: Path) -> Iterator[str]:
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        yield from imports_of(node)


def imports_of(node: ast.AST) -> Iterator[str]:
    if isinstance(node, ast.ImportFrom) and node.module:
        yield from (f"{node.module}.{alias.name}" for alias in node.names)
    elif isinstance(node, ast.Import):
        yield from (alias.name for alias in node.names)


def module_name(path: Path) -> str:
    return ".".join(path.relative_to(ROOT).with_suffix("").parts).removesuffix(".__init__")


def import_graph(files: Mapping[str, Path]) -> dict[str, set[str]]:
    """By file, the files of this program that it names in an import, wherever that stands: at the top, in a
    function, or for the type checker only. That a submodule runs its package first is not counted."""
    graph: dict[str, set[str]] = {}
    for name, path in files.items():
        named = {each.removeprefix("gorsefork.") for each in imports(path) if each.startswith("gorsefork.")}
        found = {each if each in files else each.rpartition(".")[0] for each in named}
        graph[name] = found.intersection(files) - {name}
    return graph


def circles(graph: Mapping[str, set[str]]) -> set[tuple[str, ...]]:
    """The largest sets of files that all reach each other, each in order of names."""
    reached: dict[str, set[str]] = {}
    for start in graph:
        seen: set[str] = set()
        waiting = list(graph[start])
        while waiting:
            name = waiting.pop()
            if name not in seen:
                seen.add(name)
                waiting += graph[name]
        reached[start] = seen
    return {
        tuple(sorted(other for other in reached[name] if name in reached[other]))
        for name in graph
        if name in reached[name]
    }


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
                    if not room.startswith(("wire", "storage", "lab")):
                        self.assertNotIn(top, NO_WIRE, f"{path.name} imports {name}")

    def test_what_decides_does_no_input_or_output(self) -> None:
        for room in NO_IO_ROOMS:
            for path in (ROOT / room).rglob("*.py"):
                for name in imports(path):
                    self.assertNotIn(name.partition(".")[0], NO_IO, f"{path.name} imports {name}")

    def test_no_two_files_import_each_other(self) -> None:
        files = {module_name(path): path for path in ROOT.rglob("*.py")}
        self.assertIn("life.start", files)
        self.assertEqual(circles(import_graph(files)), KNOWN_CIRCLES)

    def test_a_circle_is_found_whatever_its_length_and_others_are_left_out(self) -> None:
        graph = {"a": {"b"}, "b": {"c", "d"}, "c": {"a"}, "d": {"e"}, "e": {"f"}, "f": {"e"}, "g": {"a"}}
        self.assertEqual(circles(graph), {("a", "b", "c"), ("e", "f")})

    def test_the_laboratory_is_imported_by_its_own_command_alone(self) -> None:
        for path in ROOT.rglob("*.py"):
            room = path.relative_to(ROOT).as_posix()
            if room.startswith("lab/"):
                continue
            for name in imports(path):
                if room != "cli/lab.py":
                    self.assertFalse(name.startswith("gorsefork.lab"), f"{room} imports {name}")
                self.assertNotIn(name.partition(".")[0], LAB_ONLY, f"{room} imports {name}")

    def test_the_laboratory_loads_its_own_libraries_where_it_needs_them(self) -> None:
        for path in [*(ROOT / "lab").rglob("*.py"), ROOT / "cli" / "lab.py"]:
            for node in ast.parse(path.read_text(encoding="utf-8")).body:
                found = set(imports_of(node)) if isinstance(node, ast.Import | ast.ImportFrom) else set()
                tops = {name.partition(".")[0] for name in found}
                self.assertFalse(tops.intersection(LAB_ONLY), f"{path.name} imports {found}")
                if path.name == "lab.py":
                    self.assertFalse(any(name.startswith("gorsefork.lab") for name in found), found)


if __name__ == "__main__":
    unittest.main()
