"""Clients send more bytes than their framing says; see claim.txt."""

from __future__ import annotations

import socket
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from clients import Clients
from common import BROKEN, HELD, Boxes, Ingress, Play, counter, discovery, free_port, play
from common import settings as small_settings

TROUBLE_AT, LENGTH = (2.0, 4.0), 12.0  # s
SIZE = 100_000  # bytes of a body, as its head or its chunks say
FIRST = 90_000  # bytes of it that come with the head; the rest comes 0.1 s later


def chunk(data: bytes) -> bytes:
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


def send_one(case: Play, address: str, trace: str, chunked: bool) -> None:
    """One purchase on a connection of its own, which it says is to be closed behind it.

    Where there is trouble, bytes follow its body: a line's end behind the last chunk, or 500 bytes more than
    its Content-Length says.
    """
    host, _, port = address.rpartition(":")
    framing = "Transfer-Encoding: chunked" if chunked else f"Content-Length: {SIZE}"
    head = (
        "POST /tour-purchase/ticket HTTP/1.1\r\nHost: service.internal\r\nConnection: close\r\n"
        f"X-Trace-Id: {trace}\r\nX-Contract: small-gallery\r\nX-Client-Id: 0000000012345678\r\n"
        f"X-Expires-In-Ms: 5000\r\nX-Metering: units=1,spread=1,first=0\r\nIdempotency-Key: {trace}\r\n"
        f"{framing}\r\n\r\n"
    ).encode()
    pieces, more = [b"y" * FIRST, b"y" * (SIZE - FIRST)], b"y" * 500
    if chunked:
        pieces, more = [chunk(pieces[0]), chunk(pieces[1]) + b"0\r\n\r\n"], b"\r\n"
    with socket.create_connection((host, int(port)), 5.0) as sock:
        sock.settimeout(6.0)
        sock.sendall(head + pieces[0])
        time.sleep(0.1)
        sock.sendall(pieces[1] + (more if case.trouble else b""))
        try:
            said = sock.recv(4096).partition(b"\r\n")[0].decode("latin-1") or "the end of the connection"
        except OSError as error:
            said = type(error).__name__
    beyond = len(more) if case.trouble else 0
    case.record.say(f"{trace}: {framing}, {SIZE} bytes of body and {beyond} beyond; it got: {said.strip()}")


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
    time.sleep(TROUBLE_AT[0])
    send_one(case, ingress.listen, "other0001", chunked=True)
    time.sleep(TROUBLE_AT[1] - TROUBLE_AT[0])
    send_one(case, ingress.listen, "other0002", chunked=False)
    time.sleep(LENGTH - TROUBLE_AT[1])
    code = ingress.ended()
    usual.stop()
    case.record.say(f"usual clients: {usual.statuses()}, {usual.refused} refused connections")
    mangled = [(trace, size) for trace, size in boxes.ran if trace.startswith("other") and size != SIZE]
    for trace, size in mangled:
        case.record.say(f"a box ran {trace} with {size} bytes of body, which nobody sent so")
    if code is not None:
        errors = [line for line in ingress.log().splitlines() if "Error" in line]
        last = case.paths_out(errors[-1].strip(" |")) if errors else "no error"
        case.record.say(f"n0 ended by itself with {code}; its log: {last}")
    if lost := usual.lost():
        case.record.say(f"usual clients: taken and never answered: {len(lost)}: {' '.join(lost)}")
    return BROKEN if lost or mangled or code is not None else HELD


play(__file__, main)
