"""What a fleet costs: processor time, memory, descriptors, messages and bytes, of one ingress on average."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence

import trio

from gorsefork.lab.scale import messages as m
from gorsefork.lab.scale.fleet import ScaleFleet
from gorsefork.lab.scale.machine import Usage
from gorsefork.lab.scale.results import Add


class Meter:
    """``subjects``: "hollow", and "real" where there are such; their figures are told apart."""

    def __init__(self, fleet: ScaleFleet, subjects: Sequence[str], add: Add) -> None:
        self.fleet, self.subjects, self.add = fleet, subjects, add
        self.ready: dict[str, dict[int, Usage]] = {}  # by subject and process

    def note_ready(self, subject: str) -> None:
        """From here on the growth of these processes counts."""
        self.ready[subject] = self.fleet.usage(subject)

    def tell_sizes(self) -> None:
        """Memory and descriptors by now."""
        for subject in self.subjects:
            used, before = self.fleet.usage(subject), self.ready[subject]
            many, note = len(self.fleet.names(subject)), "an ingress, growth since its process was ready"
            grown = [now.resident - before[pid].resident for pid, now in used.items()]
            opened = [now.descriptors - before[pid].descriptors for pid, now in used.items()]
            self.add(subject, "memory", sum(grown) / many, "bytes", note)
            self.add(subject, "descriptors", sum(opened) / many, "descriptors", note)
        if whole := [used.resident for used in self.fleet.usage("real").values()]:
            self.add("real", "memory whole", sum(whole) / len(whole), "bytes", "a process, from its start")

    async def measure(self, phase: str, seconds: float) -> None:
        """Processor time, messages and bytes an ingress and second."""
        counts = {subject: await self.fleet.count(subject) for subject in self.subjects}
        used = {subject: self.fleet.usage(subject) for subject in self.subjects}
        began = trio.current_time()
        await trio.sleep(seconds)
        lasted = trio.current_time() - began
        for subject in self.subjects:
            share = 1.0 / lasted / len(self.fleet.names(subject))
            used_now = self.fleet.usage(subject)
            cpu = sum(now.cpu - used[subject][pid].cpu for pid, now in used_now.items())
            self.add(subject, f"cpu {phase}", 100 * cpu * share, "% of a core", "an ingress, loop and all")
            self.tell_traffic(subject, phase, counts[subject], await self.fleet.count(subject), share)

    def tell_traffic(
        self, subject: str, phase: str, before: list[m.Counts], after: list[m.Counts], share: float
    ) -> None:
        """``share``: by which a sum becomes one of an ingress and second."""
        messages, sizes = Counter[str](), Counter[str]()
        for then, now in zip(before, after, strict=True):
            messages += Counter(now.messages) - Counter(then.messages)
            sizes += Counter(now.bytes) - Counter(then.bytes)
        for kind in sorted(messages):
            self.add(subject, f"messages {phase} {kind}", messages[kind] * share, "1/s", "an ingress")
            if kind in sizes:
                self.add(subject, f"bytes {phase} {kind}", sizes[kind] * share, "bytes/s", "an ingress")
        for way in ("out", "in"):
            # Requests are counted by their clients: what comes in there goes out at another ingress.
            kinds = [
                kind for kind in sizes if kind.startswith((f"{way} datagram", "out request", "in answer"))
            ]
            total, note = sum(sizes[kind] for kind in kinds), "an ingress, all that is counted"
            if kinds:
                self.add(subject, f"bytes {phase} {way}", total * share, "bytes/s", note)
        stalls = sum(now.stalls - then.stalls for then, now in zip(before, after, strict=True))
        self.add(subject, f"stalls {phase}", stalls, "times", "a view was late by a period or more")
