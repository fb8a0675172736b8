"""The tenants' directory answers one lookup with what is no LDAP; see claim.txt."""

from __future__ import annotations

import json
import socket
import sys
import threading
import time
from pathlib import Path
from urllib.parse import parse_qs

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from clients import Clients, TokenClients
from common import BROKEN, HELD, Boxes, Handler, Ingress, Play, counter, discovery, free_port, play, serve
from common import settings as small_settings

TROUBLE_AT, LENGTH = 5.0, 12.0  # s
# What a server that speaks TLS alone says to a bind in the clear: the alert protocol_version (RFC 8446, 6).
TLS_ALERT = bytes.fromhex("15030100020246")
TENANT = {"plan": "small-gallery", "customer": "00000000b4d65521", "spread": "1", "first": "0"}
BIND, SEARCH = 0x60, 0x63


def ber(tag: int, *parts: bytes) -> bytes:
    """RFC 4511, 5.1, with the short and the two-byte form of the length."""
    body = b"".join(parts)
    size = bytes([len(body)]) if len(body) < 128 else bytes([0x82, len(body) >> 8, len(body) & 255])
    return bytes([tag]) + size + body


def result(tag: int) -> bytes:
    return ber(tag, ber(0x0A, b"\0"), ber(4), ber(4))


def entry() -> bytes:
    rows = [ber(0x30, ber(4, k.encode()), ber(0x31, ber(4, v.encode()))) for k, v in TENANT.items()]
    return ber(0x64, ber(4, b"cn=museum-1,ou=tenants"), ber(0x30, *rows))


class Directory:
    """One tenant. Binds succeed, but for the first after ``spoil``, which is answered as TLS would."""

    def __init__(self, case: Play) -> None:
        self.record, self.spoil, self.spoilt, self.lookups = case.record, threading.Event(), 0, 0
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=64)
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self) -> None:
        while True:
            sock, _ = self.listener.accept()
            threading.Thread(target=self.serve, args=(sock,), daemon=True).start()

    def serve(self, sock: socket.socket) -> None:
        buffer = b""
        with sock:
            while data := sock.recv(65536):
                buffer += data
                while len(buffer) > 1 and len(buffer) >= (end := 2 + buffer[1]):  # all of them are short
                    message, buffer = buffer[:end], buffer[end:]
                    number = message[2 : 4 + message[3]]
                    operation = message[2 + len(number)]
                    if operation == BIND and self.spoil.is_set():
                        self.spoil.clear()
                        self.spoilt += 1
                        self.record("directory: a bind is answered with a TLS alert")
                        sock.sendall(TLS_ALERT)
                        return
                    if operation == BIND:
                        sock.sendall(ber(0x30, number, result(0x61)))
                    elif operation == SEARCH:
                        self.lookups += 1
                        sock.sendall(ber(0x30, number, entry()) + ber(0x30, number, result(0x65)))
                    else:
                        return


class Introspection(Handler):
    def do_POST(self) -> None:
        token = parse_qs(self.body().decode()).get("token", [""])[0]
        said = {"active": token == "good", "scope": "tour.buy", "client_id": "museum-1"}
        self.answer(200, json.dumps(said).encode(), {"Content-Type": "application/json"})


FRONT = """
enabled = true
application = "guide-app"
listen = "{listen}"

[server]
address = "{server}"
client_id = "gorsefork"
client_secret_env = "CASE_SECRET"

[scopes]
"tour-purchase" = "tour.buy"

[directory]
address = "{directory}"
bind_dn = "cn=gorsefork"
password_env = "CASE_SECRET"
base = "ou=tenants"
plan_attribute = "plan"
customer_attribute = "customer"
spread_attribute = "spread"
first_attribute = "first"
"""


def main(case: Play) -> int:
    boxes, directory = Boxes(case.record, 4, work=0.4), Directory(case)
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
    second = f"127.0.0.1:{free_port()}"
    file = case.folder / "introspection.toml"
    file.write_text(FRONT.format(listen=second, server=serve(Introspection), directory=directory.address))
    ingress = Ingress(case, "n0", config, {"GORSEFORK_INTROSPECTION": str(file), "CASE_SECRET": "case"})
    ingress.start()
    ingress.wait_ready()
    usual, buyers = Clients(case.record, "a"), TokenClients(case.record, "b")
    usual.begin(6, ingress.listen, "GET", "/track-fetch/hall", 0.05)
    buyers.begin(3, second, "POST", "/tour-purchase/ticket", 0.05)
    time.sleep(TROUBLE_AT)
    if case.trouble:
        directory.spoil.set()
    time.sleep(LENGTH - TROUBLE_AT)
    code = ingress.ended()
    usual.stop()
    buyers.stop()
    case.record.say(f"platform's front: {usual.statuses()}, {usual.refused} refused connections")
    case.record.say(f"introspection front: {buyers.statuses()}, {buyers.refused} refused connections")
    case.record.say(f"directory: {directory.lookups} lookups, {directory.spoilt} answers that are no LDAP")
    lost = usual.lost() + buyers.lost()
    if code is not None:
        errors = [line for line in ingress.log().splitlines() if "Error" in line]
        last = case.paths_out(errors[-1].strip(" |")) if errors else "no error"
        case.record.say(f"n0 ended by itself with {code}; its log: {last}")
    if lost:
        case.record.say(f"taken and never answered: {len(lost)}: {' '.join(lost)}")
    return BROKEN if lost or code is not None else HELD


play(__file__, main)
