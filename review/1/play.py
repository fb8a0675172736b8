"""One client sends more bytes than its Content-Length says; see claim.txt."""

from __future__ import annotations

import socket
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from clients import Clients
from common import BROKEN, HELD, Boxes, Ingress, Play, counter, discovery, free_port, play
from common import settings as small_settings

TROUBLE_AT, LENGTH = 4.0, 12.0  # s
DECLARED = 100_000  # bytes, as the client's head says
FIRST = 90_000  # bytes of its body that come with the head; the rest comes 0.1 s later
MORE = 500  # bytes beyond what the head says


def send_one(case: Play, address: str) -> None:
    """One purchase on a connection of its own, which it says is to be closed behind it."""
    host, _, port = address.rpartition(":")
    head = (
        "POST /tour-purchase/ticket HTTP/1.1\r\nHost: service.internal\r\nConnection: close\r\n"
        "X-Trace-Id: other0001\r\nX-Contract: small-gallery\r\nX-Client-Id: 0000000012345678\r\n"
        "X-Expires-In-Ms: 5000\r\nX-Metering: units=1,spread=1,first=0\r\nIdempotency-Key: other0001\r\n"
        f"Content-Length: {DECLARED}\r\n\r\n"
    ).encode()
    size = DECLARED + (MORE if case.trouble else 0)
    with socket.create_connection((host, int(port)), 5.0) as sock:
        sock.settimeout(6.0)
        sock.sendall(head + b"y" * FIRST)
        time.sleep(0.1)
        sock.sendall(b"y" * (size - FIRST))
        case.record(f"other0001 POST /tour-purchase/ticket: {size} bytes sent where {DECLARED} are said")
        try:
            said = sock.recv(4096).partition(b"\r\n")[0].decode("latin-1") or "the end of the connection"
        except OSError as error:
            said = type(error).__name__
    case.record.say(f"other client: {size} bytes for a Content-Length of {DECLARED}; it got: {said.strip()}")


def main(case: Play) -> int:
    boxes = Boxes(case.record, 4, work=0.4)
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
    send_one(case, ingress.listen)
    time.sleep(LENGTH - TROUBLE_AT)
    code = ingress.ended()
    usual.stop()
    case.record.say(f"usual clients: {usual.statuses()}, {usual.refused} refused connections")
    if code is not None:
        errors = [line for line in ingress.log().splitlines() if "Error" in line]
        last = case.paths_out(errors[-1].strip(" |")) if errors else "no error"
        case.record.say(f"n0 ended by itself with {code}; its log: {last}")
    if lost := usual.lost():
        case.record.say(f"usual clients: taken and never answered: {len(lost)}: {' '.join(lost)}")
    return BROKEN if lost or code is not None else HELD


play(__file__, main)
