"""One request over all that saw it, in the order of time: what a break looks like from each side."""

from __future__ import annotations

from gorsefork.lab.faults.oracle import Break, due
from gorsefork.lab.faults.records import Records

SPAN = 2.0  # s before and after a break in which the ingress's life and injections are shown


def timeline(found: Break, records: Records, injected: dict[int, list[dict[str, object]]]) -> list[str]:
    """Lines, each with its time in seconds from the play's first start."""
    begin = min((life.started_at for life in records.lives), default=0.0)
    lines: list[tuple[float, str]] = []
    request = records.requests.get(found.id)
    if request is not None:
        kept = "kept" if request.kept else "new"
        lines.append((request.sent_at, f"client: sent to n{request.ingress} on a {kept} connection"))
        lines.append((due(request), "client: its time is over"))
        lines.append((request.ended_at, f"client: {request.end} {request.again}"))
    for attempt in records.attempts:
        if found.id and attempt.id == found.id:
            where = f"{attempt.backend} from n{attempt.ingress}"
            lines.append((attempt.begun_at, f"{where}: begins, told {attempt.told:.3f} s"))
            lines.append((attempt.ended_at, f"{where}: {attempt.end}"))
    for life in records.lives:
        if request is None or life.ingress == request.ingress:
            moments = {
                "started": life.started_at,
                "ready": life.ready_at,
                "SIGTERM": life.told_to_end_at,
                "SIGKILL": life.killed_at,
                "ended": life.ended_at,
            }
            lines += [(at, f"n{life.ingress}: {what}") for what, at in moments.items() if at]
    for ingress, injections in injected.items():
        if request is not None and ingress == request.ingress:
            lines += [
                (at(each), f"n{ingress}: injected {each['call']} {each['what']}") for each in injections
            ]
    near = [line for line in lines if abs(line[0] - found.at) < SPAN or "client" in line[1]]
    return [f"{when - begin:9.3f} {text}" for when, text in sorted(near)]


def at(injection: dict[str, object]) -> float:
    return float(str(injection["monotonic"]))
