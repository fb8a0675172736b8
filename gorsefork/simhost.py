"""Hosts many isolated gatekeepers on the bench's wire: lines of text to typed events, and actions back.

Nothing is decided here. A line that cannot be read ends the process with a plain message on standard error;
where an instance is at fault, a DIE with the same text goes out first.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Callable, Iterable, Mapping
from itertools import islice
from typing import Any, TextIO

from gorsefork.decisions import interface as i
from gorsefork.decisions.rules import DecisionEngine
from gorsefork.settings import NS, to_settings

MAX_TIMER = 71 * 60 * NS
STATUS: Mapping[str, i.Status] = {
    "Ok": "ok",
    "Failed": "error",
    "QueueFull": "full",
    "TimedOut": "timeout",
    "ConnectError": "connect_failed",
    "ResetByPeer": "reset",
    "Canceled": "cancelled",
    "Ignored": "moot",
}
STATE: Mapping[int, i.State] = {0: "draining", 1: "ready", 2: "gone"}
LIST_KIND: Mapping[int, i.ListKind] = {1: "cached", 2: "full", 3: "failed", 4: "delta"}
TEXT_FIELDS = ("settings=", "msg=")


class WireError(Exception):
    """A line that does not follow the wire."""


class Fields:
    """The named values of one line, read with their types."""

    def __init__(self, line: str) -> None:
        self.line = line
        name, _, rest = line.partition(" ")
        self.name = name
        self.values: dict[str, str] = {}
        for field in TEXT_FIELDS:
            at = rest.find(field)
            if at == 0 or (at > 0 and rest[at - 1] == " "):
                self.values[field[:-1]] = rest[at + len(field) :]
                rest = rest[:at].rstrip(" ")
        for part in rest.split(" ") if rest else ():
            key, equals, value = part.partition("=")
            if not equals or not key:
                raise self.fault(f"part {part[:60]!r} is not name=value")
            self.values[key] = value

    def fault(self, text: str) -> WireError:
        return WireError(f"{text} in line {self.line[:200]!r}")

    def text(self, key: str) -> str:
        value = self.values.get(key, "")
        if not value:
            raise self.fault(f"field {key} is missing")
        return value

    def number(self, key: str, default: float | None = None) -> float:
        if key not in self.values and default is not None:
            return default
        try:
            value = float(self.text(key))
        except ValueError:
            raise self.fault(f"field {key} is not a number") from None
        if value - value != 0.0:
            raise self.fault(f"field {key} is not a finite number")
        return value

    def integer(self, key: str, default: int | None = None) -> int:
        if key not in self.values and default is not None:
            return default
        try:
            return int(self.text(key))
        except ValueError:
            raise self.fault(f"field {key} is not a whole number") from None

    def time(self, key: str, default: int | None = None) -> float:
        return self.integer(key, default) / NS

    def flag(self, key: str) -> bool:
        value = self.values.get(key, "0")
        if value not in ("0", "1"):
            raise self.fault(f"field {key} is not 0 or 1")
        return value == "1"

    def status(self) -> i.Status:
        value = self.text("rc")
        if value not in STATUS:
            raise self.fault(f"field rc has no meaning {value[:40]!r}")
        return STATUS[value]

    def data(self, key: str) -> bytes:
        value = self.text(key)
        try:
            return b"" if value == "-" else bytes.fromhex(value)
        except ValueError:
            raise self.fault(f"field {key} is not hex") from None

    def load(self) -> dict[str, float]:
        pairs = {}
        for part in filter(None, self.values.get("usage", "").split(",")):
            key, _, value = part.partition(":")
            try:
                pairs[key] = float(value)
            except ValueError:
                raise self.fault(f"field usage has no number for {key[:40]!r}") from None
        return pairs


def read_request(f: Fields) -> i.Request:
    return i.Request(
        f.text("rid"),
        f.integer("category", 0),
        f.integer("terms", 0),
        f.text("userKey"),
        f.time("grace"),
        f.number("units", 1.0),
        int(f.number("entryPoints", 1.0)),
        int(f.number("firstDoor", 0.0)),
        f.flag("repeat"),
        f.flag("isWrite"),
    )


def read_outcome(f: Fields) -> i.AttemptEnded:
    return i.AttemptEnded(
        f.text("rid"),
        f.integer("trial", 0),
        f.text("worker"),
        f.status(),
        f.time("waitTime", 0),
        f.flag("closed"),
        f.integer("quotaUse", 0),
        f.number("billed", 0.0),
        f.load(),
    )


READERS: Mapping[str, Callable[[Fields], i.Event]] = {
    "REQ": read_request,
    "CLOSED_ATTEMPT": read_outcome,
    "BEGUN": lambda f: i.ResponseStarted(
        f.text("rid"), f.integer("trial", 0), f.text("worker"), f.time("waitTime", 0)
    ),
    "EXPIRED": lambda f: i.ClientGone(f.text("rid")),
    "BELL": lambda f: i.TimerExpired(f.text("handle")),
    "PROBE_RESULT": lambda f: i.ProbeResult(f.text("worker"), f.status(), f.time("waitTime", 0), f.load()),
    "WHISPER": lambda f: i.PeerMessage(f.integer("neighbour"), f.data("payload")),
    "COUNTED": lambda f: i.CounterReply(
        f.text("slotName"), f.status(), f.number("reading", 0.0), f.time("waitTime", 0)
    ),
}


def read_row(f: Fields) -> i.BackendEntry:
    state = f.integer("health", 0)
    if f.name != "ROW" or state not in STATE:
        raise f.fault("field health has no meaning" if f.name == "ROW" else "a ROW was expected")
    return i.BackendEntry(
        f.text("worker"),
        STATE[state],
        f.time("onlineSince", 0),
        f.integer("machine", 0),
        f.integer("campus", 0),
        f.integer("cell", 0),
        f.number("capacityHint", 1.0),
    )


def read_settings(f: Fields) -> i.Settings:
    try:
        raw = json.loads(f.text("settings"))
        return to_settings(raw)
    except (KeyError, TypeError, AttributeError, json.JSONDecodeError) as error:
        raise f.fault(f"field settings cannot be read ({error})") from None


def ns(seconds: float) -> int:
    return round(seconds * NS)


def number(value: float) -> str:
    return str(int(value)) if value == int(value) else repr(round(value, 6))


def write_send(a: i.StartAttempt) -> str:
    tail = f" giveUpAfter={max(1, ns(a.timeout))}" if a.timeout > 0 else ""
    return f"ATTEMPT rid={a.id} worker={a.backend}{tail}"


def write_refuse(a: i.RejectRequest) -> str:
    return f"BOUNCE rid={a.id}" + (f" wait={ns(a.retry_after)}" if a.retry_after > 0 else "")


def write_tell(a: i.SendToPeer) -> str:
    return f"SAY peer={'all' if a.peer is None else a.peer} payload={a.data.hex() or '-'}"


WRITERS: Mapping[type, Callable[[Any], str]] = {
    i.StartAttempt: write_send,
    i.RejectRequest: write_refuse,
    i.SendToPeer: write_tell,
    i.CancelAttempt: lambda a: f"DROP_ATTEMPT rid={a.id} trial={a.attempt}",
    i.FailRequest: lambda a: f"END_FAILED rid={a.id}",
    i.SetTimer: lambda a: f"NOTIFY_ME handle={a.token} offset={min(MAX_TIMER, max(0, ns(a.delay)))}",
    i.ProbeBackend: lambda a: f"HEALTH_CHECK worker={a.backend}",
    i.CloseIdleConnections: lambda a: f"RELEASE worker={a.backend}",
    i.AddToCounter: lambda a: f"ADD_AND_GET slotName={a.name} delta={number(a.amount)} expireIn={ns(a.ttl)}",
    i.WatchBackends: lambda a: f"WATCH want={int(a.enabled)}",
    i.FetchBackendList: lambda a: "LIST_ALL",
    i.WriteLog: lambda a: f"WRITE_LOG msg={a.text}",
}


def write_action(action: i.Action) -> str:
    return WRITERS[type(action)](action)


class Host:
    """The instances of one process. They share nothing but this table."""

    def __init__(self) -> None:
        self.instances: dict[int, DecisionEngine] = {}
        self.at: int | None = None

    def batch(self, lines: list[str]) -> Iterable[str]:
        """Answer one batch, given without its GO."""
        head = Fields(lines[0])
        if head.name != "ROUND":
            raise head.fault("a ROUND was expected")
        now, self.at = head.time("now"), None
        inbox: dict[int, list[i.Event]] = {}
        rows = iter(lines[1:])
        for line in rows:
            f = Fields(line)
            if f.name == "AT":
                self.at = f.integer("who")
            elif self.at is None:
                raise f.fault("an AT was expected before this event")
            elif f.name == "ATTACH":
                inbox[self.at] = []
                try:
                    self.instances[self.at] = DecisionEngine(read_settings(f), f.integer("salt", 0))
                except ValueError as error:
                    raise f.fault(f"field settings makes no sense ({error})") from None
            elif f.name == "STOP":
                self.instances.pop(self.at, None)
                inbox.pop(self.at, None)
            else:
                inbox.setdefault(self.at, []).append(self.event(f, rows))
        for who, events in inbox.items():
            self.at = who
            if who not in self.instances:
                raise WireError(f"instance {who} has events but was never attached")
            actions = self.instances[who].handle(now, events)
            if actions:
                yield f"ON_BEHALF who={who}"
                yield from map(write_action, actions)

    def event(self, f: Fields, rows: Iterable[str]) -> i.Event:
        if f.name == "ANNOUNCE":
            kind = f.integer("scope")
            if kind not in LIST_KIND:
                raise f.fault("field scope has no meaning")
            count = f.integer("rowsIn", 0)
            entries = [read_row(Fields(line)) for line in islice(rows, max(0, count))]
            if len(entries) != count:
                raise f.fault("field rowsIn counts more rows than follow")
            return i.BackendList(LIST_KIND[kind], entries, f.integer("index", 0))
        if f.name not in READERS:
            raise f.fault("unknown message")
        return READERS[f.name](f)


def serve(source: TextIO, sink: TextIO, errors: TextIO) -> int:
    """Read batches to the end of the input; 0 at a clean end, 1 after a fault."""
    host = Host()
    lines: list[str] = []
    for raw in source:
        line = raw.rstrip("\r\n")
        if line != "GO":
            if line:
                lines.append(line)
            continue
        try:
            if not lines:
                raise WireError("GO without a ROUND")
            sink.write("".join(f"{text}\n" for text in host.batch(lines)) + "OK\n")
        except WireError as error:
            if host.at is not None:
                sink.write(f"ON_BEHALF who={host.at}\nDIE msg={error}\nOK\n")
                sink.flush()
            errors.write(f"gorsefork: {error}\n")
            return 1
        sink.flush()
        lines = []
    return 0


def main() -> None:
    sys.exit(serve(sys.stdin, sys.stdout, sys.stderr))


if __name__ == "__main__":
    main()
