"""Tests of the simulator host: parsing of events, writing of actions, and errors for malformed lines."""

from __future__ import annotations

import io
import json
import subprocess
import sys

import pytest

from gorsefork.decisions import interface as i
from gorsefork.simhost import EngineHost, LineFields, WireError, read_backend_entry, serve, write_action

SETTINGS = {
    "balancers": 1,
    "classes": [{"name": "look", "aim": 1000000000, "deadline": 3000000000, "effect": "repeatable"}],
    "tiersOfService": [{"name": "plan", "rate": 0.0, "depth": 0.0}],
    "step": 1000000,
    "unknown": {"kept": "out"},
}
ATTACH = f"ATTACH salt=5 settings={json.dumps(SETTINGS)}"
BACKEND_LIST = [
    "ANNOUNCE scope=1 index=1 rowsIn=1",
    "ROW health=1 machine=0 cell=0 worker=h:1 campus=0 capacityHint=1",
]
ATTACHED_INSTANCE = ["ROUND now=5000000000", "AT who=3", ATTACH, *BACKEND_LIST]


def parse_event(line: str) -> i.Event:
    return EngineHost().read_event(LineFields(line), iter(()))


@pytest.mark.parametrize(
    ("line", "event"),
    [
        (
            "REQ rid=a category=0 terms=1 userKey=c/k grace=240000000 units=2 entryPoints=3 "
            "firstDoor=1 extra=x",
            i.Request("a", 0, 1, "c/k", 0.24, 2.0, 3, 1),
        ),
        (
            "CLOSED_ATTEMPT rid=a trial=1 worker=h:1 rc=Ok waitTime=18500000 closed=1 quotaUse=86 "
            "billed=3 usage=rps:2,odd:1",
            i.AttemptEnded("a", 1, "h:1", "ok", 0.0185, True, 86, 3.0, {"rps": 2.0, "odd": 1.0}),
        ),
        ("BEGUN rid=a trial=0 worker=h:1 waitTime=1000000", i.ResponseStarted("a", 0, "h:1", 0.001)),
        ("EXPIRED rid=a", i.ClientGone("a")),
        ("BELL handle=sweep", i.TimerExpired("sweep")),
        ("PROBE_RESULT worker=h:1 rc=TimedOut waitTime=250000000", i.ProbeResult("h:1", "timeout", 0.25)),
        ("WHISPER neighbour=2 payload=68692037", i.PeerMessage(2, b"hi 7")),
        ("WHISPER neighbour=2 payload=-", i.PeerMessage(2, b"")),
        ("COUNTED slotName=s rc=Ok reading=38 waitTime=2150000", i.CounterReply("s", "ok", 38.0, 0.00215)),
        ("ANNOUNCE scope=3 index=4", i.BackendList("failed", [], 4)),
    ],
)
def test_events_are_read(line: str, event: i.Event) -> None:
    assert parse_event(line) == event


@pytest.mark.parametrize(
    ("action", "line"),
    [
        (i.StartAttempt("a", "h:1", 0.08), "ATTEMPT rid=a worker=h:1 giveUpAfter=80000000"),
        (i.StartAttempt("a", "h:1"), "ATTEMPT rid=a worker=h:1"),
        (i.CancelAttempt("a", 1), "DROP_ATTEMPT rid=a trial=1"),
        (i.RejectRequest("a", 0.5), "BOUNCE rid=a wait=500000000"),
        (i.RejectRequest("a"), "BOUNCE rid=a"),
        (i.FailRequest("a"), "END_FAILED rid=a"),
        (i.SetTimer("t", 0.5), "NOTIFY_ME handle=t offset=500000000"),
        (i.ProbeBackend("h:1"), "HEALTH_CHECK worker=h:1"),
        (i.CloseIdleConnections("h:1"), "RELEASE worker=h:1"),
        (i.AddToCounter("s", 4.0, 3.0), "ADD_AND_GET slotName=s delta=4 expireIn=3000000000"),
        (i.AddToCounter("s", -0.5, 3.0), "ADD_AND_GET slotName=s delta=-0.5 expireIn=3000000000"),
        (i.SendToPeer(None, b"hi 7"), "SAY peer=all payload=68692037"),
        (i.SendToPeer(2, b""), "SAY peer=2 payload=-"),
        (i.WatchBackends(True), "WATCH want=1"),
        (i.FetchBackendList(), "LIST_ALL"),
        (i.WriteLog("two backends known"), "WRITE_LOG msg=two backends known"),
    ],
)
def test_actions_are_written(action: i.Action, line: str) -> None:
    assert write_action(action) == line


def test_rows_are_read() -> None:
    fields = LineFields(
        "ROW health=0 onlineSince=6100000000 machine=1 cell=2 worker=h:1 campus=1 capacityHint=1.5"
    )
    assert read_backend_entry(fields) == i.BackendEntry("h:1", "draining", 6.1, 1, 1, 2, 1.5)


def test_a_request_goes_through() -> None:
    host = EngineHost()
    list(host.process_batch(ATTACHED_INSTANCE))
    request = "REQ rid=a category=0 terms=0 userKey=c grace=3000000000"
    reply = list(host.process_batch(["ROUND now=5001000000", "AT who=3", request]))
    assert reply[0] == "ON_BEHALF who=3"
    assert sum(line.startswith("ATTEMPT rid=a worker=h:1") for line in reply) == 1
    assert list(host.process_batch(["ROUND now=5002000000", "AT who=3", "STOP"])) == []
    assert host.instances == {}


@pytest.mark.parametrize(
    ("lines", "message"),
    [
        (["NOISE"], "a ROUND was expected"),
        ([*ATTACHED_INSTANCE[:2], "REQ"], "rid is missing"),
        ([*ATTACHED_INSTANCE, "REQ rid=a userKey=c grace=soon"], "grace is not a whole number"),
        ([*ATTACHED_INSTANCE, "WHAT x=1"], "unknown message"),
        ([*ATTACHED_INSTANCE, "WHISPER neighbour=1 payload=zz"], "payload is not hex"),
        ([*ATTACHED_INSTANCE, "COUNTED slotName=s rc=Maybe"], "rc has no meaning"),
        ([*ATTACHED_INSTANCE[:2], "ATTACH salt=1 settings={"], "settings cannot be read"),
        ([*ATTACHED_INSTANCE[:2], ATTACH.replace('"balancers": 1', '"balancers": 0')], "gatekeepers"),
        ([*ATTACHED_INSTANCE, "ANNOUNCE scope=2 index=1 rowsIn=2"], "rowsIn"),
    ],
)
def test_faults_are_named(lines: list[str], message: str) -> None:
    with pytest.raises(WireError, match=message):
        list(EngineHost().process_batch(lines))


def test_a_fault_ends_with_die_and_a_plain_message() -> None:
    output_stream, error_stream = io.StringIO(), io.StringIO()
    input_stream = io.StringIO("\n".join([*ATTACHED_INSTANCE, "WHAT x=1", "GO", ""]))
    assert serve(input_stream, output_stream, error_stream) == 1
    assert "DIE msg=unknown message" in output_stream.getvalue() and output_stream.getvalue().endswith("OK\n")
    assert "WHAT" in error_stream.getvalue() and "Traceback" not in error_stream.getvalue()


def test_an_empty_batch_over_the_pipe() -> None:
    text = "ROUND now=1\nGO\n"
    completed = subprocess.run(
        [sys.executable, "-m", "gorsefork.simhost"], input=text, capture_output=True, text=True, check=True
    )
    assert completed.stdout == "OK\n"


def test_the_readme_example_runs() -> None:
    with open("README.md", encoding="utf-8") as readme:
        example = readme.read().split("```python\n")[1].split("```")[0]
    exec(compile(example, "README.md", "exec"), {})
