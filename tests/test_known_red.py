"""What ``KNOWN-RED.txt`` lets pass, and what it does not."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

import pytest

HERE = Path(__file__).parent
TESTS = """
def test_red(): raise RuntimeError("the fault")
def test_green(): pass
def test_broken(): assert {broken}
"""


def run(folder: Path, listed: str | None, broken: str = "True", *given: str) -> tuple[int, str]:
    """pytest's exit and text, as CI calls it, in a small project that takes the same hooks."""
    (folder / "tests").mkdir(exist_ok=True)
    (folder / "pytest.ini").write_text("[pytest]\ntestpaths = tests\n")
    (folder / "tests" / "conftest.py").write_text("from known_red import *\n")
    (folder / "tests" / "test_it.py").write_text(TESTS.replace("{broken}", broken))
    if listed is not None:
        (folder / "KNOWN-RED.txt").write_text(listed)
    command = [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", *given]
    done = subprocess.run(
        command,
        cwd=folder,
        env={**os.environ, "PYTHONPATH": str(HERE)},
        capture_output=True,
        text=True,
        check=False,
    )
    return done.returncode, done.stdout + done.stderr


def line(name: str, cause: str = "a cause", issue: str = "issue 29") -> str:
    return f"tests/test_it.py::{name} | {cause} | {issue}\n"


def test_a_listed_test_is_run_and_printed_and_does_not_decide(tmp_path: Path) -> None:
    code, text = run(tmp_path, line("test_red"))
    assert code == 0
    assert "known red: tests/test_it.py::test_red failed: a cause (issue 29)" in text
    assert "2 passed, 1 xfailed" in text


def test_any_other_failure_decides(tmp_path: Path) -> None:
    code, text = run(tmp_path, line("test_red"), "False")
    assert code == 1 and "1 failed" in text


def test_without_the_file_nothing_is_said_and_a_failure_decides(tmp_path: Path) -> None:
    code, text = run(tmp_path, None)
    assert code == 1 and "known red" not in text


def test_a_listed_test_that_passes_is_told(tmp_path: Path) -> None:
    code, text = run(tmp_path, line("test_green") + line("test_red"))
    assert code == 0 and "test_green passed, and may leave the list" in text


def test_one_that_is_picked_alone_is_known_too(tmp_path: Path) -> None:
    code, _ = run(tmp_path, line("test_red") + line("test_green"), "True", "tests/test_it.py::test_red")
    assert code == 0


@pytest.mark.parametrize(
    ("listed", "why"),
    [
        (line("test_absent"), "no such test: tests/test_it.py::test_absent"),
        (line("test_red") * 2, "twice"),
        ("".join(map(line, ("test_red", "test_green", "test_broken", "test_fourth"))), "4 lines"),
        ("\n", "with none the file is absent"),
        (line("test_red", cause=" "), "is not 'test | cause | issue N'"),
        (line("test_red", issue="soon"), "is not 'test | cause | issue N'"),
        ("tests/test_it.py::test_red\n", "is not 'test | cause | issue N'"),
    ],
)
def test_a_list_that_is_wrong_fails(tmp_path: Path, listed: str, why: str) -> None:
    code, text = run(tmp_path, listed)
    assert code == 4 and why in text
