"""Clients that take a long answer at 64 kB a second; see claim.txt."""

from __future__ import annotations

import socket
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from common import (
    BROKEN,
    HELD,
    Boxes,
    Handler,
    Ingress,
    NotRun,
    Play,
    counter,
    discovery,
    free_port,
    play,
)
from common import settings as small_settings

SIZE = 16_000_000  # bytes of each answer: at 64 kB a second more than a play has time for
READ_RATE, READ_PIECE = 64_000, 3_200  # bytes a second; bytes a read
READERS = 3
PLAY_FOR = 95.0  # s: an answer that still goes on then is not lost


class LongBoxes(Boxes):
    """Each answer has one length and is given as fast as it is taken."""

    def handler(self, name: str) -> type[Handler]:
        boxes = self

        class TourBox(Handler):
            def do_GET(self) -> None:
                trace, began = self.headers.get("X-Trace-Id", ""), boxes.record.now()
                boxes.record(f"{name}: {trace} came whole")
                try:
                    self.answer(200, f"{trace:.<16}".encode() * (SIZE // 16), {"X-Settled": "1"})
                    boxes.record(f"{name}: {trace} has been given whole")
                except OSError as error:
                    after = boxes.record.now() - began
                    boxes.record.say(
                        f"{name}: the ingress ended the connection {after:.1f} s after {trace} came, "
                        f"while its answer was still given ({type(error).__name__})"
                    )
                    self.close_connection = True

        return TourBox


class Reader:
    """One client: one request, and an answer that is read without a pause, slowly or as fast as it comes."""

    def __init__(self, case: Play, address: str, number: int) -> None:
        self.record, self.slow, self.trace = case.record, case.trouble, f"long{number:04x}"
        self.received, self.status, self.length, self.longest = 0, 0, -1, 0.0
        self.goes_on = False
        host, _, port = address.rpartition(":")
        self.sock = socket.create_connection((host, int(port)), 5.0)
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self) -> None:
        self.sock.sendall(
            (
                "GET /track-fetch/film HTTP/1.1\r\nHost: service.internal\r\n"
                f"X-Trace-Id: {self.trace}\r\nX-Contract: small-gallery\r\nX-Client-Id: 00000000b4d65521\r\n"
                "X-Expires-In-Ms: 8000\r\nX-Metering: units=1,spread=1,first=0\r\n\r\n"
            ).encode()
        )
        self.sock.settimeout(30.0)
        began = last = due = time.monotonic()
        head = b""
        try:
            while self.length < 0 or self.received < self.length:
                data = self.sock.recv(READ_PIECE if self.slow else 65536)
                self.goes_on = bool(data) and time.monotonic() - began > PLAY_FOR
                if not data or self.goes_on:
                    break
                self.longest, last = max(self.longest, time.monotonic() - last), time.monotonic()
                due += len(data) / READ_RATE if self.slow else 0.0
                if self.length < 0:
                    head += data
                    if b"\r\n\r\n" not in head:
                        continue
                    text, _, data = head.partition(b"\r\n\r\n")
                    lines = text.decode("latin-1").lower().split("\r\n")
                    self.status = int(lines[0].split()[1])
                    self.length = next(
                        int(x.partition(":")[2]) for x in lines if x.startswith("content-length:")
                    )
                self.received += len(data)
                time.sleep(max(0.0, due - time.monotonic()))
        except OSError as error:
            self.record(f"{self.trace}: {type(error).__name__}")
        took = time.monotonic() - began
        rate = self.received / took / 1000
        self.record.say(
            f"{self.trace}: {self.status}, read {self.received} of {self.length} bytes in {took:.1f} s "
            f"({rate:.0f} kB a second), {self.longest:.2f} s at the most between two reads"
        )


def main(case: Play) -> int:
    boxes = LongBoxes(case.record, 4)
    config = {
        "name": "n0",
        "listen": f"127.0.0.1:{free_port()}",
        "discovery": discovery(boxes),
        "counter": counter(),
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"seq": 1, "whole": True, "hosts": boxes.entries()},
        "settings": small_settings(1, 0),
    }
    ingress = Ingress(case, "n0", config, {})
    ingress.start()
    ingress.wait_ready()
    readers = [Reader(case, ingress.listen, number) for number in range(READERS)]
    for reader in readers:
        reader.thread.join(PLAY_FOR + 5.0)
    if any(reader.status != 200 for reader in readers):
        raise NotRun("not all requests were served")
    lost = [each.trace for each in readers if each.received < each.length and not each.goes_on]
    if lost:
        case.record.say(f"cut off by the ingress: {len(lost)} of {READERS}: {' '.join(lost)}")
    if (code := ingress.ended()) is not None:
        case.record.say(f"n0 ended by itself with {code}")
    return BROKEN if lost or code is not None else HELD


play(__file__, main)
