"""Hosts isolated decision engines for the simulator's line protocol.

Text lines are parsed into typed events, and the resulting actions are written back as lines. This module
decides nothing itself. A line that cannot be parsed ends the process with a message on standard error. If the
line belongs to an instance, a DIE line with the same text is written first.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Callable, Iterable, Mapping
from itertools import islice
from typing import Any, TextIO

from gorsefork.decisions import interface as i
from gorsefork.decisions.rules import DecisionEngine
from gorsefork.settings import NS_PER_S, to_settings

MAX_TIMER_DELAY_NS = 71 * 60 * NS_PER_S
STATUS_BY_CODE: Mapping[str, i.Status] = {
    "Ok": "ok",
    "Failed": "error",
    "QueueFull": "full",
    "TimedOut": "timeout",
    "ConnectError": "connect_failed",
    "ResetByPeer": "reset",
    "Canceled": "cancelled",
    "Ignored": "moot",
}
STATE_BY_CODE: Mapping[int, i.State] = {0: "draining", 1: "ready", 2: "gone"}
LIST_KIND_BY_CODE: Mapping[int, i.ListKind] = {1: "cached", 2: "full", 3: "failed", 4: "delta"}
REST_OF_LINE_FIELDS = ("settings=", "msg=")


class WireError(Exception):
    """An input line does not follow the line protocol."""


class LineFields:
    """Holds the name and the key=value fields of one line, with typed accessors.

    A field of REST_OF_LINE_FIELDS may hold spaces and extends to the end of the line. The accessors raise
    WireError where a field is missing or malformed.
    """

    def __init__(self, line: str) -> None:
        self.line = line
        name, _, rest = line.partition(" ")
        self.name = name
        self.values: dict[str, str] = {}
        for field in REST_OF_LINE_FIELDS:
            start = rest.find(field)
            if start == 0 or (start > 0 and rest[start - 1] == " "):
                self.values[field[:-1]] = rest[start + len(field) :]
                rest = rest[:start].rstrip(" ")
        for part in rest.split(" ") if rest else ():
            key, equals, value = part.partition("=")
            if not equals or not key:
                raise self.make_error(f"part {part[:60]!r} is not name=value")
            self.values[key] = value

    def make_error(self, text: str) -> WireError:
        return WireError(f"{text} in line {self.line[:200]!r}")

    def text(self, key: str) -> str:
        value = self.values.get(key, "")
        if not value:
            raise self.make_error(f"field {key} is missing")
        return value

    def number(self, key: str, default: float | None = None) -> float:
        if key not in self.values and default is not None:
            return default
        try:
            value = float(self.text(key))
        except ValueError:
            raise self.make_error(f"field {key} is not a number") from None
        if value - value != 0.0:
            raise self.make_error(f"field {key} is not a finite number")
        return value

    def integer(self, key: str, default: int | None = None) -> int:
        if key not in self.values and default is not None:
            return default
        try:
            return int(self.text(key))
        except ValueError:
            raise self.make_error(f"field {key} is not a whole number") from None

    def seconds(self, key: str, default: int | None = None) -> float:
        return self.integer(key, default) / NS_PER_S

    def flag(self, key: str) -> bool:
        value = self.values.get(key, "0")
        if value not in ("0", "1"):
            raise self.make_error(f"field {key} is not 0 or 1")
        return value == "1"

    def status(self) -> i.Status:
        value = self.text("rc")
        if value not in STATUS_BY_CODE:
            raise self.make_error(f"field rc has no meaning {value[:40]!r}")
        return STATUS_BY_CODE[value]

    def data(self, key: str) -> bytes:
        value = self.text(key)
        try:
            return b"" if value == "-" else bytes.fromhex(value)
        except ValueError:
            raise self.make_error(f"field {key} is not hex") from None

    def load_report(self) -> dict[str, float]:
        loads = {}
        for part in filter(None, self.values.get("usage", "").split(",")):
            key, _, value = part.partition(":")
            try:
                loads[key] = float(value)
            except ValueError:
                raise self.make_error(f"field usage has no number for {key[:40]!r}") from None
        return loads


def read_request(fields: LineFields) -> i.Request:
    return i.Request(
        fields.text("rid"),
        fields.integer("category", 0),
        fields.integer("terms", 0),
        fields.text("userKey"),
        fields.seconds("grace"),
        fields.number("units", 1.0),
        int(fields.number("entryPoints", 1.0)),
        int(fields.number("firstDoor", 0.0)),
        fields.flag("repeat"),
        fields.flag("isWrite"),
    )


def read_attempt_result(fields: LineFields) -> i.AttemptEnded:
    return i.AttemptEnded(
        fields.text("rid"),
        fields.integer("trial", 0),
        fields.text("worker"),
        fields.status(),
        fields.seconds("waitTime", 0),
        fields.flag("closed"),
        fields.integer("quotaUse", 0),
        fields.number("billed", 0.0),
        fields.load_report(),
    )


READERS: Mapping[str, Callable[[LineFields], i.Event]] = {
    "REQ": read_request,
    "CLOSED_ATTEMPT": read_attempt_result,
    "BEGUN": lambda fields: i.ResponseStarted(
        fields.text("rid"), fields.integer("trial", 0), fields.text("worker"), fields.seconds("waitTime", 0)
    ),
    "EXPIRED": lambda fields: i.ClientGone(fields.text("rid")),
    "BELL": lambda fields: i.TimerExpired(fields.text("handle")),
    "PROBE_RESULT": lambda fields: i.ProbeResult(
        fields.text("worker"), fields.status(), fields.seconds("waitTime", 0), fields.load_report()
    ),
    "WHISPER": lambda fields: i.PeerMessage(fields.integer("neighbour"), fields.data("payload")),
    "COUNTED": lambda fields: i.CounterReply(
        fields.text("slotName"), fields.status(), fields.number("reading", 0.0), fields.seconds("waitTime", 0)
    ),
}


def read_backend_entry(fields: LineFields) -> i.BackendEntry:
    state = fields.integer("health", 0)
    if fields.name != "ROW" or state not in STATE_BY_CODE:
        raise fields.make_error(
            "field health has no meaning" if fields.name == "ROW" else "a ROW was expected"
        )
    return i.BackendEntry(
        fields.text("worker"),
        STATE_BY_CODE[state],
        fields.seconds("onlineSince", 0),
        fields.integer("machine", 0),
        fields.integer("campus", 0),
        fields.integer("cell", 0),
        fields.number("capacityHint", 1.0),
    )


def read_settings(fields: LineFields) -> i.Settings:
    try:
        raw = json.loads(fields.text("settings"))
        return to_settings(raw)
    except (KeyError, TypeError, AttributeError, json.JSONDecodeError) as error:
        raise fields.make_error(f"field settings cannot be read ({error})") from None


def to_ns(seconds: float) -> int:
    return round(seconds * NS_PER_S)


def to_decimal(value: float) -> str:
    return str(int(value)) if value == int(value) else repr(round(value, 6))


def write_start_attempt(action: i.StartAttempt) -> str:
    timeout_field = f" giveUpAfter={max(1, to_ns(action.timeout))}" if action.timeout > 0 else ""
    return f"ATTEMPT rid={action.id} worker={action.backend}{timeout_field}"


def write_reject_request(action: i.RejectRequest) -> str:
    return f"BOUNCE rid={action.id}" + (
        f" wait={to_ns(action.retry_after)}" if action.retry_after > 0 else ""
    )


def write_peer_message(action: i.SendToPeer) -> str:
    return f"SAY peer={'all' if action.peer is None else action.peer} payload={action.data.hex() or '-'}"


WRITERS: Mapping[type, Callable[[Any], str]] = {
    i.StartAttempt: write_start_attempt,
    i.RejectRequest: write_reject_request,
    i.SendToPeer: write_peer_message,
    i.CancelAttempt: lambda action: f"DROP_ATTEMPT rid={action.id} trial={action.attempt}",
    i.FailRequest: lambda action: f"END_FAILED rid={action.id}",
    i.SetTimer: lambda action: (
        f"NOTIFY_ME handle={action.token} offset={min(MAX_TIMER_DELAY_NS, max(0, to_ns(action.delay)))}"
    ),
    i.ProbeBackend: lambda action: f"HEALTH_CHECK worker={action.backend}",
    i.CloseIdleConnections: lambda action: f"RELEASE worker={action.backend}",
    i.AddToCounter: lambda action: (
        f"ADD_AND_GET slotName={action.name} delta={to_decimal(action.amount)} expireIn={to_ns(action.ttl)}"
    ),
    i.WatchBackends: lambda action: f"WATCH want={int(action.enabled)}",
    i.FetchBackendList: lambda action: "LIST_ALL",
    i.WriteLog: lambda action: f"WRITE_LOG msg={action.text}",
}


def write_action(action: i.Action) -> str:
    return WRITERS[type(action)](action)


class EngineHost:
    """Runs the decision engines of one process, by instance number. They share no state."""

    def __init__(self) -> None:
        self.instances: dict[int, DecisionEngine] = {}
        self.current_instance: int | None = None

    def process_batch(self, lines: list[str]) -> Iterable[str]:
        """Process the lines of one batch, without its GO, and yield the lines of the reply.

        Events are handed over per instance in one call, after the whole batch is parsed. Raises WireError for
        a malformed line, with `current_instance` set to the instance that it belongs to, or None.
        """
        header = LineFields(lines[0])
        if header.name != "ROUND":
            raise header.make_error("a ROUND was expected")
        now, self.current_instance = header.seconds("now"), None
        events_by_instance: dict[int, list[i.Event]] = {}
        remaining = iter(lines[1:])
        for line in remaining:
            fields = LineFields(line)
            if fields.name == "AT":
                self.current_instance = fields.integer("who")
            elif self.current_instance is None:
                raise fields.make_error("an AT was expected before this event")
            elif fields.name == "ATTACH":
                events_by_instance[self.current_instance] = []
                try:
                    self.instances[self.current_instance] = DecisionEngine(
                        read_settings(fields), fields.integer("salt", 0)
                    )
                except ValueError as error:
                    raise fields.make_error(f"field settings makes no sense ({error})") from None
            elif fields.name == "STOP":
                self.instances.pop(self.current_instance, None)
                events_by_instance.pop(self.current_instance, None)
            else:
                events_by_instance.setdefault(self.current_instance, []).append(
                    self.read_event(fields, remaining)
                )
        for instance, events in events_by_instance.items():
            self.current_instance = instance
            if instance not in self.instances:
                raise WireError(f"instance {instance} has events but was never attached")
            actions = self.instances[instance].handle(now, events)
            if actions:
                yield f"ON_BEHALF who={instance}"
                yield from map(write_action, actions)

    def read_event(self, fields: LineFields, following_lines: Iterable[str]) -> i.Event:
        if fields.name == "ANNOUNCE":
            kind = fields.integer("scope")
            if kind not in LIST_KIND_BY_CODE:
                raise fields.make_error("field scope has no meaning")
            count = fields.integer("rowsIn", 0)
            entries = [
                read_backend_entry(LineFields(line)) for line in islice(following_lines, max(0, count))
            ]
            if len(entries) != count:
                raise fields.make_error("field rowsIn counts more rows than follow")
            return i.BackendList(LIST_KIND_BY_CODE[kind], entries, fields.integer("index", 0))
        if fields.name not in READERS:
            raise fields.make_error("unknown message")
        return READERS[fields.name](fields)


def serve(input_stream: TextIO, output_stream: TextIO, error_stream: TextIO) -> int:
    """Serve batches until the input ends. Returns exit code 0, or 1 after a protocol error."""
    host = EngineHost()
    lines: list[str] = []
    for raw in input_stream:
        line = raw.rstrip("\r\n")
        if line != "GO":
            if line:
                lines.append(line)
            continue
        try:
            if not lines:
                raise WireError("GO without a ROUND")
            output_stream.write("".join(f"{text}\n" for text in host.process_batch(lines)) + "OK\n")
        except WireError as error:
            if host.current_instance is not None:
                output_stream.write(f"ON_BEHALF who={host.current_instance}\nDIE msg={error}\nOK\n")
                output_stream.flush()
            error_stream.write(f"gorsefork: {error}\n")
            return 1
        output_stream.flush()
        lines = []
    return 0


def main() -> None:
    sys.exit(serve(sys.stdin, sys.stdout, sys.stderr))


if __name__ == "__main__":
    main()
