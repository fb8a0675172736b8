"""An ingress that is killed halfway through an export and starts again: do the accounts get every use?"""

from __future__ import annotations

import asyncio
import contextlib
import json
import re
import signal
import sys
import time
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "6"))

from rig import (
    TROUBLE,
    Backend,
    CannotRun,
    Ingress,
    Message,
    Rig,
    answer,
    free_port,
    main,
    read_message,
    request,
    settings,
)

MOST_BODY = 32_768  # bytes of a batch that the accounts take; a larger one gets 413
ANSWER_AFTER_S = 2.5  # s until the accounts answer, below the 3 s that the ingress waits for them
KILL_AFTER_S = 2.2  # s from a batch's arrival, so that its answer never comes
LEAST_KEPT, MOST_KEPT = 251, 390  # uses in the batch at which the ingress is killed
CLIENTS, EVERY_S, LOAD_S = 30, 0.25, 14.0  # 120 requests a second
DOWN_S = 1.0
SETTLE_S = 45.0  # s for the accounts to get the rest


class Accounts:
    """The receiver of docs/usage-export.md: keeps each (life, number) once, and answers what it has."""

    def __init__(self, rig: Rig) -> None:
        self.rig, self.port = rig, 0
        self.kept: dict[int, set[int]] = {}
        self.upto: dict[int, int] = {}
        self.large_batch = asyncio.Event()
        self.repeats: dict[tuple[int, int, int], int] = {}

    async def begin(self) -> None:
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=1 << 26)
        self.rig.servers.append(server)
        self.port = server.sockets[0].getsockname()[1]

    def uses(self) -> int:
        return sum(len(numbers) for numbers in self.kept.values())

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.rig.writers.append(writer)
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            while (message := await read_message(reader)) is not None:
                writer.write(await self.take(message))
                await writer.drain()
        writer.close()

    async def take(self, message: Message) -> bytes:
        lines = message.body.splitlines()
        head: dict[str, Any] = json.loads(lines[0])
        life, first, last = head["life"], head["first"], head["last"]
        text = f"batch of life ..{life % 10**6}: {first} to {last}, {len(message.body)} bytes"
        if len(message.body) > MOST_BODY:
            self.rig.note(f"accounts: {text}: 413")
            return answer(413)
        upto = self.upto.get(life, 0)
        if first > upto + 1 and head["oldest"] <= upto + 1:
            self.rig.note(f"accounts: {text}: 409 upto {upto}")
            return answer(409, json.dumps({"upto": upto}).encode())
        self.kept.setdefault(life, set()).update(json.loads(line)[0] for line in lines[1:])
        self.upto[life] = upto = max(upto, last)
        place = (life, first, last)
        self.repeats[place] = self.repeats.get(place, 0) + 1
        self.rig.note(f"accounts: {text}: kept; answered in {ANSWER_AFTER_S} s with 200 upto {upto}")
        if LEAST_KEPT <= last - first + 1 <= MOST_KEPT:
            self.large_batch.set()
        await asyncio.sleep(ANSWER_AFTER_S)
        return answer(200, json.dumps({"upto": upto}).encode(), "Content-Type: application/json")


class Load:
    """Clients that ask at fixed times, each for a museum of its own, far inside its quota."""

    def __init__(self, rig: Rig, ingress: Ingress) -> None:
        self.rig, self.ingress = rig, ingress
        self.served = self.failed = 0

    async def run(self, number: int, begin: float, until: float) -> None:
        turn = 0
        while (at := begin + (turn + number / CLIENTS) * EVERY_S) < until:
            await asyncio.sleep(max(0.0, at - time.monotonic()))
            turn += 1
            await self.ask(f"a{number}-{turn}", f"{24576 + number:016x}")

    async def ask(self, id: str, customer: str) -> None:
        got = None
        with contextlib.suppress(OSError, TimeoutError):
            client = await self.rig.connect(self.ingress, id, quiet=True)
            client.send(request("/track-fetch/hall", id, 4000, customer=customer), "a fetch")
            got = await asyncio.wait_for(read_message(client.reader), 5.0)
            client.close()
        self.rig.note(f"{id} was answered {got.status if got is not None else 'nothing'}")
        if got is not None and got.status == 200:
            self.served += 1
        else:
            self.failed += 1


async def figures(control: int, call: str = "GET /v1/usage") -> dict[str, Any]:
    """The figures of use; ``POST /v1/usage/export`` gives them too, and sends what waits."""
    reader, writer = await asyncio.open_connection("127.0.0.1", control)
    head = f"{call} HTTP/1.1\r\nHost: control\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
    writer.write(head.encode())
    got = await asyncio.wait_for(read_message(reader), 3.0)
    writer.close()
    if got is None:
        raise CannotRun("the control listener gave no answer")
    found: dict[str, Any] = json.loads(got.body)
    return found


async def kill_and_start(rig: Rig, ingress: Ingress, accounts: Accounts) -> None:
    try:
        await asyncio.wait_for(accounts.large_batch.wait(), LOAD_S - KILL_AFTER_S - 1.0)
    except TimeoutError:
        raise CannotRun(f"no batch of {LEAST_KEPT} to {MOST_KEPT} uses came") from None
    await asyncio.sleep(KILL_AFTER_S)
    ingress.signal(signal.SIGKILL)
    await ingress.wait_ended(3.0)
    await asyncio.sleep(DOWN_S)
    ingress.start()
    await ingress.ready()


async def play(rig: Rig) -> list[str]:
    boxes = [Backend(rig, f"box-{n}", work=0.05) for n in range(4)]
    discovery, counter = await rig.platform(*boxes)
    accounts, control = Accounts(rig), free_port()
    await accounts.begin()
    file = rig.folder / "operator.toml"
    file.write_text(
        f"""[control]
listen = "127.0.0.1:{control}"

[state]
folder = "{rig.folder / "state"}"

[usage]
accounts = "127.0.0.1:{accounts.port}"
"""
    )
    ingress = rig.ingress("n0", discovery, counter, settings(), {"GORSEFORK_OPERATOR": str(file)})
    ingress.start()
    await ingress.ready()
    load, begin = Load(rig, ingress), time.monotonic() + 0.2
    tasks = [asyncio.create_task(load.run(number, begin, begin + LOAD_S)) for number in range(CLIENTS)]
    if TROUBLE:
        await kill_and_start(rig, ingress, accounts)
    await asyncio.gather(*tasks)
    rig.note(f"clients: {load.served} requests served, {load.failed} not served")
    until, export_at = time.monotonic() + SETTLE_S, time.monotonic() + SETTLE_S / 2
    while time.monotonic() < until:
        if time.monotonic() >= export_at:
            export_at = until
            await figures(control, "POST /v1/usage/export")
            rig.note("an operator called for the export of what waits")
        now = await figures(control)
        if now["waiting"] == 0 and accounts.uses() >= load.served:
            break
        await asyncio.sleep(1.0)
    rig.note(f"GET /v1/usage: {json.dumps(now)}")
    rig.note(f"accounts have {accounts.uses()} uses; clients were served {load.served} times")
    most = max(accounts.repeats.items(), key=lambda each: each[1])
    rig.note(f"the batch {most[0][1]} to {most[0][2]} came {most[1]} times")
    if accounts.uses() < load.served:
        problem = re.sub(r"\s+", " ", str(now["problem"]))
        return [
            f"lost billing: {SETTLE_S:.0f} s after the last request the accounts have {accounts.uses()} uses,"
            f" clients were served {load.served} times, and {now['waiting']} uses wait; the same batch,"
            f" {most[0][1]} to {most[0][2]}, which the accounts have, came {most[1]} times ({problem})"
        ]
    return []


if __name__ == "__main__":
    main(play, __file__)
