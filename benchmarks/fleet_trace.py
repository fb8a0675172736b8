"""What a whole fleet did, second by second, from the logs of its ingresses.

With no argument this is the ingress itself, which writes a line of figures a second to its log:
``deploy/trace.toml`` names it as ``run``. ``python -m benchmarks.fleet_trace report DIR`` adds up the logs.
"""

from __future__ import annotations

import argparse
import itertools
import json
import math
import os
import sys
import time
from collections import Counter, defaultdict
from collections.abc import Callable
from pathlib import Path
from typing import Any

import trio

from gorsefork.decisions import interface as i
from gorsefork.decisions.state import PendingRequest
from gorsefork.life import start
from gorsefork.memory.call import Answer, Call
from gorsefork.memory.decision_actor import DecisionActor
from gorsefork.wire import backends, discovery
from gorsefork.wire.stream import open_connection

MARK, CALL = "fleet-trace ", "fleet-call "
EVERY = 1.0  # s between two lines of one ingress
AGES = (0.5, 1.0, 2.0, 4.0, 8.0, 17.0)  # s since the news, the upper ends of the report's columns


class Trace:
    """Counts of one ingress, told and emptied once a second."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self.dials: dict[str, Counter[str]] = {}
        self.servers: dict[str, Counter[str]] = {}
        self.news: dict[str, tuple[str, float]] = {}  # what was last told of a server, and when
        self.bad: dict[str, float] = {}  # since when a server is a suspect here

    def since(self, decider: DecisionActor, name: str) -> None:
        """Count a send by what its server was last told to be, or held for, and for how long."""
        gate, now = decider.engine, decider.engine.now
        server = gate.selector.backends.get(name)
        if server is None:
            return
        kind, told = self.news.get(name, ("", 0.0))
        if kind == "leaving" or (kind == "cold" and gate.selector.slow_start_share(server, now) < 1.0):
            self.counts[f"since.{kind}.{age_of(now - told)}"] += 1
        if gate.selector.is_suspect(server, now):
            self.counts[f"since.bad.{age_of(now - self.bad.get(name, now))}"] += 1

    def watch(self, ingress: start.Ingress) -> None:
        decider = ingress.decision_actor
        handle = decider.engine.handle

        def seen(now: float, events: list[i.Event]) -> Any:
            for event in events:
                self.event(decider, event)
            actions = handle(now, events)
            for action in actions:
                self.action(decider, action)
            return actions

        give_up = decider.engine.reject_or_fail

        def given_up(pending: PendingRequest) -> None:
            why = (
                "tried"
                if pending.attempts
                else "lane"
                if pending.reserved
                else "keeper"
                if pending.room_expected_in
                else "quota"
            )
            self.counts[f"up.{why}.{pending.plan.name[:5]}"] += 1
            give_up(pending)

        decider.engine.reject_or_fail = given_up  # type: ignore[method-assign]
        decider.engine.handle = seen  # type: ignore[method-assign, assignment]

    def event(self, decider: DecisionActor, event: i.Event) -> None:
        add = self.counts
        if isinstance(event, i.Request):
            add["arrived"] += 1
            follow(decider.calls.get(event.id))
        elif isinstance(event, i.AttemptEnded):
            kinds = self.servers.setdefault(event.backend, Counter())
            kinds[event.status] += 1
            kinds[f"{event.status}.ms"] += round(event.latency * 1000)
            add[f"out.{event.status}"] += 1
            if event.status == "ok":
                add["ok.ms"] += round(event.latency * 1000)
            if event.status == "ok" and event.request_done:
                add["served"] += 1
        elif isinstance(event, i.CounterReply):
            add[f"counted.{event.status}"] += 1
        elif isinstance(event, i.PeerMessage):
            add["heard"] += 1
            add[f"heard.{event.data[:1].decode('latin-1')}"] += 1
        elif isinstance(event, i.BackendList):
            for entry in event.entries if event.kind != "cached" else ():
                kind = "cold" if entry.state == "ready" and entry.started else "leaving"
                if entry.state != "ready" or entry.started:
                    self.news[entry.backend] = (kind, decider.clock.unix(decider.clock.now))
            add["lists"] += 1
            add["entries"] += len(event.entries)
        elif isinstance(event, i.ClientGone):
            add["gone"] += 1

    def action(self, decider: DecisionActor, action: i.Action) -> None:
        add, gate = self.counts, decider.engine
        if isinstance(action, i.StartAttempt):
            ticket = gate.pending.get(action.id)
            number = len(ticket.attempts) if ticket else 1
            add["sent"] += 1
            add["sent.more"] += number > 1
            server = gate.selector.backends.get(action.backend)
            if server is not None:
                add["sent.cold"] += gate.selector.slow_start_share(server, gate.now) < 1.0
                add["sent.suspect"] += gate.selector.is_suspect(server, gate.now)
            self.since(decider, action.backend)
        elif isinstance(action, i.AddToCounter):
            add["count"] += 1
        elif isinstance(action, i.SendToPeer):
            add["tell"] += 1 if action.peer is not None else decider.settings.ingresses - 1

    def line(self, ingress: start.Ingress) -> dict[str, Any]:
        gate, fleet = ingress.decision_actor.engine, ingress.decision_actor.engine.selector
        now = ingress.clock.unix(ingress.clock.now)
        target = gate.capacity.target_open
        self.bad = {
            s.entry.backend: self.bad.get(s.entry.backend, now)
            for s in fleet.ready
            if fleet.is_suspect(s, now)
        }
        states = {
            "open": gate.premium.open_attempts + gate.basic.open_attempts,
            "target": min(target, 1e6),
            "chance": gate.premium.pass_probability,
            "basic": gate.basic.pass_probability,
            "ready": len(fleet.ready),
            "suspects": sum(fleet.is_suspect(s, now) for s in fleet.ready),
            "barred": fleet.connect_failure_rate,
            "cold": sum(fleet.slow_start_share(s, now) < 1.0 for s in fleet.ready),
            "silent": sum(s.silent for s in fleet.ready),
            "strain": gate.capacity.strain,
            "links": ingress.pool.open_connections,
            "budget": gate.retry_budget,
            "misses": gate.quota.failed_calls,
            "due": len(gate.quota.call_queue),
            "accounts": len(gate.quota.accounts),
            "carry": fleet.slow_start.answered_per_backend.at(now),
            "tickets": len(gate.pending),
            "qrate": gate.quota.call_rate,
            "pace": fleet.median_latency_ratio,
            "service": fleet.latency_by_class[0][0],
        }
        counts, self.counts = self.counts, Counter()
        dials, self.dials, servers, self.servers = self.dials, {}, self.servers, {}
        return {
            "at": time.time(),
            "cpu": time.process_time(),
            "n": dict(counts),
            "is": states,
            "dials": dials,
            "servers": servers,
        }


def age_of(age: float) -> str:
    """The column of an age in seconds, by its upper end."""
    return next((f"{most:g}" for most in AGES if age < most), "more")


def follow(call: Call | None) -> None:
    """A line in the log when this call has its answer: each of its sends, how it ended, what was said."""
    if call is None:
        return
    reply, began = call.reply, time.time()

    def told(answer: Answer) -> None:
        sends = [
            {
                "to": d.backend,
                "at": round((d.sent_at - call.arrived_at) / 1e6, 3),
                "written": d.fully_sent,
                "ended": d.ended,
            }
            for d in call.attempts
        ]
        print(
            CALL
            + json.dumps(
                {
                    "trace": call.trace_id,
                    "at": round(began, 3),
                    "took": round(time.time() - began, 3),
                    "left": round((call.deadline - call.arrived_at) / 1e6, 3),
                    "class": call.class_index,
                    "plan": call.plan_index,
                    "customer": call.customer,
                    "units": call.units,
                    "retry": call.is_retry,
                    "answer": type(answer).__name__,
                    "sends": sends,
                }
            ),
            file=sys.stderr,
            flush=True,
        )
        reply(answer)

    call.reply = told


def traced_backends(trace: Trace) -> None:
    connect = open_connection

    async def counted(dial: str, timeout: float) -> Any:
        began = time.monotonic()
        stream = await connect(dial, timeout)
        took = time.monotonic() - began
        kind = "ok" if stream is not None else "refused" if took < 0.5 * timeout else "late"
        trace.counts[f"connect.{kind}"] += 1
        trace.counts["connect.ms"] += round(took * 1000) if stream is not None else 0
        trace.dials.setdefault(dial, Counter())[kind] += 1
        return stream

    backends.open_connection = counted  # type: ignore[attr-defined]


def traced_discovery(trace: Trace) -> None:
    ask = discovery.DiscoveryClient.call

    async def timed(watch: discovery.DiscoveryClient, stream: Any, http: Any, target: str) -> Any:
        began, result = time.time(), "cut off"
        try:
            raw = await ask(watch, stream, http, target)
            result = f"seq {raw['seq']} whole {raw['whole']} entries {len(raw['hosts'])}"
            return raw
        except Exception as error:
            result = repr(error)
            raise
        finally:
            print(f"asked {target} at {began:.3f} for {time.time() - began:.3f} s: {result}", file=sys.stderr)

    discovery.DiscoveryClient.call = timed  # type: ignore[method-assign, assignment]


def run() -> None:
    """The ingress, with its trace."""
    trace = Trace()
    given = json.loads(Path(os.environ["PROXY_CONFIG"]).read_text())
    known = len(given.pop("known", {}).get("hosts", []))
    print(f"knows {known} servers, settings {json.dumps(given)}", file=sys.stderr, flush=True)
    traced_backends(trace)
    traced_discovery(trace)
    run_parts = start.Ingress.run_parts

    async def parts(ingress: start.Ingress) -> None:
        trace.watch(ingress)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(run_parts, ingress)
            while True:
                await trio.sleep(EVERY)
                print(MARK + json.dumps(trace.line(ingress)), file=sys.stderr, flush=True)

    start.Ingress.run_parts = parts  # type: ignore[method-assign, assignment]
    start.main()


def read(folder: Path) -> list[tuple[str, dict[str, Any]]]:
    lines = []
    for path in sorted(folder.glob("*.log")):
        for text in path.read_text(errors="replace").splitlines():
            if MARK in text:
                lines.append((path.stem, json.loads(text.split(MARK, 1)[1])))
    return lines


def report(folder: Path, step: float, columns: list[str], out: Callable[[str], None] = print) -> None:
    """Sums of counts and means of states over the fleet, a row for each ``step`` seconds."""
    lines = read(folder)
    if not lines:
        raise SystemExit(f"no trace lines in {folder}")
    began = min(line["at"] for _, line in lines)
    rows: dict[int, list[dict[str, Any]]] = defaultdict(list)
    for _, line in lines:
        rows[int((line["at"] - began) / step)].append(line)
    total: Counter[str] = Counter()
    for _, line in lines:
        total.update(line["n"])
    out("whole: " + json.dumps(dict(sorted(total.items()))))
    states = list(lines[0][1]["is"])
    counts = columns or [name for name, _ in total.most_common(14)]
    out("   s  in " + " ".join(f"{name[-9:]:>9}" for name in [*counts, *states]))
    for row, found in sorted(rows.items()):
        sums = Counter[str]()
        for line in found:
            sums.update(line["n"])
        means = [sum(line["is"][name] for line in found) / len(found) for name in states]
        figures = " ".join([*(f"{sums[name]:9d}" for name in counts), *(f"{mean:9.2f}" for mean in means)])
        out(f"{row * step:4.0f} {len(found):3d} {figures}")


def totals(folder: Path, out: Callable[[str], None] = print) -> None:
    """One day in a column: what came, what was sent and where, how it ended, and what it cost."""
    lines = read(folder)
    sums: Counter[str] = Counter()
    lives: dict[str, list[float]] = defaultdict(list)
    for name, line in lines:
        sums.update(line["n"])
        lives[name].append(line["cpu"])
    starts, used = [], 0.0
    for cpus in lives.values():
        for before, now in itertools.pairwise([math.inf, *cpus]):
            if now < before:  # another process than at the line before
                starts.append(now)
            else:
                used += now - before
    calls = [
        text
        for path in folder.glob("*.log")
        for text in path.read_text(errors="replace").splitlines()
        if " asked " in text
    ]
    failed = sum(" seq " not in text for text in calls)
    given_up = {key: value for key, value in sorted(sums.items()) if key.startswith("up.")}
    rows: dict[str, object] = {
        "tries": sums["arrived"],
        "served": sums["served"],
        "refused or failed": sum(given_up.values()),
        **given_up,
        "sent": sums["sent"],
        "of these further attempts": sums["sent.more"],
        "to cold ones": sums["sent.cold"],
        "to suspects": sums["sent.suspect"],
        "ended in error": sums["out.error"],
        "turned away": sums["out.full"],
        "called off": sums["out.cancelled"],
        "timed out": sums["out.timeout"],
        "mean answer, ms": round(sums["ok.ms"] / max(1, sums["out.ok"])),
        "connections made": sums["connect.ok"],
        "refused": sums["connect.refused"],
        "not come up": sums["connect.late"],
        "counter calls": sums["count"],
        "without an answer": sums["counted.timeout"] + sums["counted.full"],
        "messages heard": sums["heard"],
        "discovery calls": len(calls),
        "failed": failed,
        "CPU to the first second of service, s": round(sum(starts) / max(1, len(starts)), 2),
        "CPU a try after that, ms": round(1000 * used / max(1, sums["arrived"]), 2),
    }
    for name, value in rows.items():
        out(f"{name:>40} {value}")


def calls(folder: Path, wanted: str, out: Callable[[str], None] = print) -> None:
    """Every line of a call that names this trace id, customer or server, in time order over the fleet."""
    found = []
    for path in sorted(folder.glob("*.log")):
        for text in path.read_text(errors="replace").splitlines():
            if CALL in text and wanted in text:
                found.append((json.loads(text.split(CALL, 1)[1])["at"], path.stem, text))
    for _, name, text in sorted(found):
        out(f"{name:>6} {text}")


def ages(folder: Path, out: Callable[[str], None] = print) -> None:
    """Sends to cold, leaving and suspected servers over the fleet, by the time since that news."""
    sums: Counter[str] = Counter()
    for _, line in read(folder):
        sums.update(line["n"])
    columns = [*(f"{most:g}" for most in AGES), "more"]
    out(f"{'s since the news, under':>24} " + " ".join(f"{name:>7}" for name in columns))
    for kind in ("cold", "leaving", "bad"):
        counts = " ".join(f"{sums[f'since.{kind}.{name}']:7d}" for name in columns)
        out(f"{kind:>24} {counts}")


def hosts(folder: Path, what: str, since: float, until: float, out: Callable[[str], None] = print) -> None:
    """New connections (``dials``) or outcomes (``servers``) by their server, between two times."""
    lines = read(folder)
    began = min(line["at"] for _, line in lines)
    table: dict[str, Counter[str]] = defaultdict(Counter)
    for _, line in lines:
        if since <= line["at"] - began < until:
            for dial, kinds in line[what].items():
                table[dial].update(kinds)
    for dial, kinds in sorted(table.items(), key=lambda item: -sum(item[1].values())):
        out(f"{dial:>22} {dict(kinds)}")


def main() -> None:
    if len(sys.argv) == 1:
        run()
        return
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("command", choices=["report"])
    parser.add_argument("folder", type=Path)
    parser.add_argument("--step", type=float, default=1.0, help="seconds a row (1)")
    parser.add_argument("--columns", default="", help="counts to show, with commas between")
    parser.add_argument("--hosts", default="", metavar="FROM-TO", help="a row for each server instead")
    parser.add_argument("--of", choices=["dials", "servers"], default="servers", help="which (servers)")
    parser.add_argument("--ages", action="store_true", help="sends by the time since their server's news")
    parser.add_argument("--call", default="", metavar="ID", help="the calls with this id, customer or server")
    parser.add_argument("--totals", action="store_true", help="the sums of the whole day instead")
    given = parser.parse_args()
    if given.ages:
        ages(given.folder)
        return
    if given.call:
        calls(given.folder, given.call)
        return
    if given.totals:
        totals(given.folder)
        return
    if given.hosts:
        since, _, until = given.hosts.partition("-")
        hosts(given.folder, given.of, float(since), float(until))
        return
    report(given.folder, given.step, [name for name in given.columns.split(",") if name])


if __name__ == "__main__":
    main()
