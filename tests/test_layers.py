"""The core knows no wire."""

from __future__ import annotations

import ast
import unittest
from pathlib import Path

CORE = Path(__file__).parents[1] / "gorsefork" / "memory"


class Layers(unittest.TestCase):
    def test_the_core_imports_nothing_of_wire_or_life(self) -> None:
        modules = list(CORE.glob("*.py"))
        self.assertGreater(len(modules), 5)
        for path in modules:
            for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
                names = [node.module or ""] if isinstance(node, ast.ImportFrom) else []
                names += [alias.name for alias in node.names] if isinstance(node, ast.Import) else []
                for name in names:
                    outside = name.startswith("gorsefork.") and not name.startswith(
                        ("gorsefork.memory", "gorsefork.decisions"))
                    self.assertFalse(outside or name in ("h11", "socket"), f"{path.name} imports {name}")
