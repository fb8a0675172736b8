"""A toy tour box, discovery, counter and introspection server on loopback, to try an ingress with.

Start it, then the ingress with examples/config.json; the README has the commands. Tokens: ``good`` may buy,
any other is not active. Nothing here is fit for service.
"""

from __future__ import annotations

import json
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any, ClassVar
from urllib.parse import parse_qs, urlsplit


class Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def answer(self, status: int, body: bytes, media: str = "text/plain") -> None:
        self.send_response(status)
        self.send_header("Content-Type", media)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def body(self) -> str:
        return self.rfile.read(int(self.headers.get("Content-Length", 0))).decode()

    def log_message(self, format: str, *args: Any) -> None:
        print(f"{type(self).__name__}: {self.command} {self.path}")


class TourBox(Handler):
    def do_GET(self) -> None:
        time.sleep(0.1)
        self.answer(200, f"served {self.path}\n".encode())

    def do_POST(self) -> None:
        self.body()
        time.sleep(0.1)
        self.answer(200, f"sold under {self.headers['Idempotency-Key']}\n".encode())


class Discovery(Handler):
    def do_GET(self) -> None:
        query = parse_qs(urlsplit(self.path).query)
        time.sleep(int(query.get("wait", ["0"])[0]) / 1000)  # nothing ever changes here
        box = {
            "host": "box-1",
            "dial": "127.0.0.1:9101",
            "site": "here",
            "class": "toy",
            "block": 0,
            "health": "active",
            "share": 1.0,
            "born_ms": 0,
        }
        news = {"seq": 1, "whole": not query, "hosts": [] if query else [box]}
        self.answer(200, json.dumps(news).encode(), "application/json")


class Counter(Handler):
    totals: ClassVar[dict[str, tuple[float, float]]] = {}
    lock = threading.Lock()

    def do_POST(self) -> None:
        url = urlsplit(self.path)
        query, now = parse_qs(url.query), time.monotonic()
        with self.lock:
            total, until = self.totals.get(url.path, (0.0, 0.0))
            if until <= now:
                total, until = 0.0, now + min(60.0, int(query["ttl_ms"][0]) / 1000)
            total += float(query["add"][0])
            self.totals[url.path] = (total, until)
        self.answer(200, f"{total:.7g}".encode())


class Introspection(Handler):
    def do_POST(self) -> None:
        token = parse_qs(self.body()).get("token", [""])[0]
        said: dict[str, Any] = {"active": False}
        if token == "good":
            said = {"active": True, "scope": "tour.read tour.buy", "client_id": "museum-1"}
        self.answer(200, json.dumps(said).encode(), "application/json")


SERVERS = {9101: TourBox, 8500: Discovery, 6400: Counter, 9200: Introspection}


def main() -> None:
    for port, handler in SERVERS.items():
        server = ThreadingHTTPServer(("127.0.0.1", port), handler)
        threading.Thread(target=server.serve_forever, daemon=True).start()
        print(f"{handler.__name__} on 127.0.0.1:{port}")
    threading.Event().wait()


if __name__ == "__main__":
    main()
