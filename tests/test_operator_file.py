"""The operator's file: refused whole, every fault with its key; keys in files of their own; logs."""

from __future__ import annotations

import io
import json
import threading
from pathlib import Path

import pytest

from gorsefork.life.logs import MAX_WAITING_LINES, StructuredLog
from gorsefork.life.operator import InvalidOperatorFile, Operator, load_at_start, read, read_secret

GOOD = """
[control]
listen = "127.0.0.1:8090"
peers = ["127.0.0.1:8091"]
[state]
folder = "/var/lib/gorsefork/n0"
[usage]
accounts = "127.0.0.1:9300"
[fleet]
listen = "127.0.0.1:7946"
site = "gallery"
seeds = ["127.0.0.1:7947"]
"""


def test_a_good_file_with_its_defaults() -> None:
    given = read(GOOD)
    assert given.control is not None and given.state is not None and given.usage is not None
    assert (given.state.sync, given.usage.form, given.usage.batch, given.log.form) == (
        "full",
        "ndjson",
        500,
        "json",
    )
    assert read("") == Operator() and read("").control is None


@pytest.mark.parametrize(
    ("change", "faults"),
    [
        (('"127.0.0.1:8090"', '"localhost:8090"'), ["control.listen: must be an IP address and a port"]),
        (('"127.0.0.1:8090"', '"0.0.0.0:8090"'), ["control.listen: off loopback a key_file is needed"]),
        (('"127.0.0.1:8091"', '"127.0.0.1:8090"'), ["control.peers: names this listener itself"]),
        (
            ("peers =", 'advertise = "0.0.0.0:1"\npeers ='),
            ["control.advertise: names no address that peers can reach"],
        ),
        (
            ("peers =", 'advertise = "10.1.1.1"\npeers ='),
            ["control.advertise: must be an IP address and a port"],
        ),
        (("peers =", 'advertise = "127.0.0.1:8091"\npeers ='), ["control.peers: names this listener itself"]),
        (
            ('["127.0.0.1:8091"]', '["127.0.0.1:8091", "x", "y"]'),
            [
                "control.peers.1: must be an IP address and a port",
                "control.peers.2: must be an IP address and a port",
            ],
        ),
        (('"127.0.0.1:8090"', "8090"), ["control.listen: Input should be a valid string"]),
        (("[state]", '[state]\nsync = "never"'), ["state.sync: Input should be 'full' or 'normal'"]),
        (
            ("[usage]", "[usage]\nbatch = 0\nflush_ms = 1.5\ncolour = 1"),
            [
                "usage.batch: Input should be greater than or equal to 1",
                "usage.flush_ms: Input should be a valid integer",
                "usage.colour: is not known",
            ],
        ),
        (('folder = "/var/lib/gorsefork/n0"', ""), ["state.folder: Field required"]),
        (("[control]", "[controls]"), ["controls: is not known"]),
        (('"127.0.0.1:7946"', '"10.0.0.1:7946"'), ["fleet.listen: off loopback a key_file is needed"]),
        (
            ('"127.0.0.1:7946"', '"0.0.0.0:7946"\nkey_file = "k"'),
            ["fleet.advertise: is needed where listen names no address of its own"],
        ),
        (
            ('site = "gallery"', 'site = "gallery"\nadvertise = "here:7"'),
            ["fleet.advertise: must be an IP address"],
        ),
        (
            ('site = "gallery"', 'site = ""\nzone = "a much too long one"\nperiod_ms = 10'),
            [
                "fleet.site: String should have at least 1 character",
                "fleet.zone: String should have at most 12 characters",
                "fleet.period_ms: Input should be greater than or equal to 100",
            ],
        ),
        (
            ('site = "gallery"', 'site = "gallery"\nperiod_ms = 500'),
            ["fleet.timeout_ms: must be half of period_ms at the most"],
        ),
        (("[control]", "[control"), ["file: is not TOML"]),
    ],
)
def test_every_fault_is_told_at_once_each_with_its_key(change: tuple[str, str], faults: list[str]) -> None:
    with pytest.raises(InvalidOperatorFile) as refused:
        read(GOOD.replace(*change))
    lines = str(refused.value).splitlines()
    assert len(lines) == len(faults)
    assert all(line.startswith(fault) for line, fault in zip(lines, faults, strict=True)), lines


def test_a_file_that_says_off_or_is_not_there(tmp_path: Path) -> None:
    path = tmp_path / "operator.toml"
    path.write_text("enabled = false\n" + GOOD)
    assert load_at_start(path) is None
    with pytest.raises(InvalidOperatorFile, match="file: "):
        load_at_start(tmp_path / "missing.toml")
    path.write_bytes(b"\xff\xfe")
    with pytest.raises(InvalidOperatorFile, match="file: "):
        load_at_start(path)


def test_a_key_is_read_from_a_file_that_only_its_owner_reads(tmp_path: Path) -> None:
    path = tmp_path / "key"
    path.write_text("k" * 32 + "\n")
    path.chmod(0o644)
    with pytest.raises(InvalidOperatorFile, match=r"^control\.key_file: others may read it"):
        read_secret("control", str(path))
    path.chmod(0o600)
    assert read_secret("control", str(path)) == "k" * 32 and read_secret("control", "") == ""
    for text in ("short", "two words of a key here", "k" * 300, "ké" * 10):
        path.write_text(text)
        with pytest.raises(InvalidOperatorFile, match=r"^control\.key_file: must hold") as refused:
            read_secret("control", str(path))
        assert text not in str(refused.value)
    with pytest.raises(InvalidOperatorFile, match=r"^control\.key_file: "):
        read_secret("control", str(tmp_path / "missing"))


class Slow(io.StringIO):
    """A reader of stderr that takes nothing until it is let go."""

    def __init__(self) -> None:
        super().__init__()
        self.go, self.stuck = threading.Event(), threading.Event()

    def write(self, text: str) -> int:
        self.stuck.set()
        self.go.wait(10)
        return super().write(text)


def test_a_slow_reader_of_the_log_holds_up_nobody_and_what_is_dropped_is_counted() -> None:
    stream = Slow()
    logs = StructuredLog("json", "n0", stream)
    logs("first", event="ingress.ready")
    stream.stuck.wait(5)
    for n in range(MAX_WAITING_LINES + 500):  # would never end if a line waited for its reader
        logs("more", event="note", n=n)
    stream.go.set()
    while logs.queue.qsize() > MAX_WAITING_LINES // 2:
        pass
    logs("last", event="note")
    logs.close()
    lines = [json.loads(line) for line in stream.getvalue().splitlines()]
    assert lines[0]["event"] == "ingress.ready" and lines[0]["ingress"] == "n0"
    assert lines[-1]["lines_dropped"] >= 500 and len(lines) <= MAX_WAITING_LINES + 2


def test_lines_for_a_person() -> None:
    stream = io.StringIO()
    logs = StructuredLog("text", "n0", stream)
    logs("ready on 127.0.0.1:1", event="ingress.ready", listen=["127.0.0.1:1"])
    logs.close()
    assert "ingress.ready" in stream.getvalue() and "ready on 127.0.0.1:1" in stream.getvalue()
