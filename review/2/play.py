"""One client sends many requests at once and reads slowly, with one long answer among them; see claim.txt."""

from __future__ import annotations

import socket
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from clients import Clients
from common import BROKEN, HELD, Boxes, Ingress, Play, counter, discovery, free_port, play
from common import settings as small_settings

TROUBLE_AT, LENGTH = 4.0, 20.0  # s
AT_ONCE = 150  # requests of one client, on one connection
USUAL, LONG = 60_000, 4_000_000  # bytes of the answers to these; the last one's is the long one
READ_RATE = 64_000  # bytes a second
READ_PIECE = 3_200


def answer_of(trace: str) -> bytes:
    """What a box makes for this request: nothing but its id, over and over."""
    size = LONG if trace.startswith("long") else USUAL if trace.startswith("many") else 0
    return f"{trace:.<16}".encode() * (size // 16)


class Many:
    """The client. Where there is no trouble it asks the same one after another, and reads as it comes."""

    def __init__(self, case: Play, address: str) -> None:
        self.record, self.slow, self.received = case.record, case.trouble, bytearray()
        host, _, port = address.rpartition(":")
        self.sock = socket.socket()
        if self.slow:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
        self.sock.connect((host, int(port)))
        self.traces = [f"many{number:04x}" for number in range(AT_ONCE - 1)] + ["long0000"]
        self.stopping = threading.Event()

    def head(self, trace: str) -> bytes:
        return (
            "GET /track-fetch/guide HTTP/1.1\r\nHost: service.internal\r\n"
            f"X-Trace-Id: {trace}\r\nX-Contract: small-gallery\r\nX-Client-Id: 0000000012345678\r\n"
            "X-Expires-In-Ms: 8000\r\nX-Metering: units=1,spread=1,first=0\r\n\r\n"
        ).encode()

    def run(self) -> None:
        try:
            if self.slow:
                self.record(f"many: {AT_ONCE} requests are sent at once")
                self.sock.sendall(b"".join(map(self.head, self.traces)))
                while not self.stopping.is_set() and self.read(READ_PIECE):
                    time.sleep(READ_PIECE / READ_RATE)
                return
            for trace in self.traces:
                whole = len(self.received) + len(answer_of(trace))
                self.sock.sendall(self.head(trace))
                while len(self.received) < whole and self.read(65536):
                    pass
                while not self.whole(trace) and self.read(65536):
                    pass
        except OSError as error:
            self.record(f"many: its connection broke ({type(error).__name__})")

    def read_rest(self) -> None:
        """What is on its way still, as fast as it comes."""
        self.stopping.set()
        self.sock.settimeout(2.0)
        try:
            while self.read(1 << 20):
                pass
        except OSError as error:
            self.record(f"many: no more comes ({type(error).__name__})")

    def read(self, most: int) -> int:
        data = self.sock.recv(most)
        self.received += data
        return len(data)

    def whole(self, trace: str) -> bool:
        return bytes(self.received[-16:]) == f"{trace:.<16}".encode() or b"HTTP/1.1 5" in self.received

    def judge(self) -> tuple[int, int, list[str]]:
        """How many answers came whole, how many bytes in all, and what stands where another belongs."""
        rest, served, wrong = bytes(self.received), 0, list[str]()
        for trace in self.traces:
            head, found, rest = rest.partition(b"\r\n\r\n")
            if not found:
                break
            lines = head.decode("latin-1").lower().split("\r\n")
            sizes = [int(line.partition(":")[2]) for line in lines if line.startswith("content-length:")]
            if not lines[0].startswith("http/1.1 ") or not sizes:
                wrong.append(f"{trace}: no head of an answer, but {head[:40]!r}")
                break
            body, rest = rest[: sizes[0]], rest[sizes[0] :]
            if lines[0].startswith("http/1.1 200") and body != answer_of(trace)[: len(body)]:
                place = next(n for n, byte in enumerate(body) if byte != answer_of(trace)[n])
                wrong.append(f"{trace}: at byte {place} of its body stands {body[place : place + 48]!r}")
                break
            served += lines[0].startswith("http/1.1 200") and len(body) == sizes[0]
        return served, len(self.received), wrong


def main(case: Play) -> int:
    boxes = Boxes(case.record, 4, work=0.4)
    boxes.work = lambda trace: 0.0 if trace.startswith(("many", "long")) else 0.4
    boxes.body = lambda trace, name: answer_of(trace) or f"{trace} by {name}\n".encode()
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
    usual = Clients(case.record, "a")
    usual.begin(8, ingress.listen, "GET", "/track-fetch/hall", 0.05)
    time.sleep(TROUBLE_AT)
    many = Many(case, ingress.listen)
    thread = threading.Thread(target=many.run, daemon=True)
    thread.start()
    time.sleep(LENGTH - TROUBLE_AT)
    code = ingress.ended()
    usual.stop()
    many.read_rest()
    served, size, wrong = many.judge()
    case.record.say(f"usual clients: {usual.statuses()}, {usual.refused} refused connections")
    case.record.say(f"many: {served} of {AT_ONCE} answers whole, {size} bytes read")
    for text in wrong:
        case.record.say(f"many: wrong data for {text}")
    if code is not None:
        errors = [line for line in ingress.log().splitlines() if "Error" in line]
        last = case.paths_out(errors[-1].strip(" |")) if errors else "no error"
        case.record.say(f"n0 ended by itself with {code}; its log: {last}")
    if lost := usual.lost():
        case.record.say(f"usual clients: taken and never answered: {len(lost)}: {' '.join(lost)}")
    return BROKEN if lost or wrong or code is not None else HELD


play(__file__, main)
