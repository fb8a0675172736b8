"""What the cases share: stand-ins on loopback, the ingress as the deploy file starts it, and the record.

The stand-ins follow the platform's pages: tour boxes, discovery as an agent on this machine, the counter.
Everything runs on the real clock, on free ports, in a temporary folder; ``Play`` ends all that it started.
"""

from __future__ import annotations

import http.client
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from collections.abc import Callable, Mapping
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[1]
BROKEN, HELD, NOT_RUN = 1, 0, 2
READY_WITHIN = 30.0  # s, as the platform allows
SECOND, MILLISECOND = 1_000_000_000, 1_000_000  # ns


class NotRun(Exception):
    """The case could not be played; the text says why."""


class Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256

    def handle_error(self, request: Any, client_address: Any) -> None:
        """A caller that leaves in the middle is no fault of the stand-in."""


class Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    wbufsize = -1  # head and body leave in one write

    def answer(self, status: int, body: bytes = b"", headers: Mapping[str, str] | None = None) -> None:
        self.send_response(status)
        for name, value in (headers or {}).items():
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)
        self.wfile.flush()

    def body(self) -> bytes:
        """The whole body; ``ConnectionResetError`` where the connection ends before that."""
        if self.headers.get("Transfer-Encoding", "") != "chunked":
            return self.whole(int(self.headers.get("Content-Length", 0)))
        body = b""
        while size := int(self.rfile.readline().strip() or b"-1", 16):
            if size < 0:
                raise ConnectionResetError("it ended in the middle of a body")
            body += self.whole(size + 2)[:-2]
        self.rfile.readline()
        return body

    def whole(self, size: int) -> bytes:
        data = self.rfile.read(size)
        if len(data) < size:
            raise ConnectionResetError("it ended in the middle of a body")
        return data

    def log_message(self, format: str, *args: Any) -> None:
        """The record has what matters."""


def serve(handler: type[BaseHTTPRequestHandler]) -> str:
    """A server on a free port of loopback; its address."""
    server = Server(("127.0.0.1", 0), handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return f"127.0.0.1:{server.server_address[1]}"


def free_port(kind: int = socket.SOCK_STREAM) -> int:
    with socket.socket(socket.AF_INET, kind) as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


class Record:
    """``record.txt``: what was sent, answered and run, a line each, with the seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self.file = (folder / "record.txt").open("w", encoding="utf-8")
        self.began, self.lock = time.monotonic(), threading.Lock()

    def now(self) -> float:
        return time.monotonic() - self.began

    def __call__(self, text: str) -> None:
        with self.lock:
            self.file.write(f"{self.now():8.3f} {text}\n")
            self.file.flush()

    def say(self, text: str) -> None:
        self(text)
        print(text, flush=True)


class Boxes:
    """Tour boxes: each runs every whole request, answers it, and says in the record what it ran."""

    def __init__(self, record: Record, count: int, work: float = 0.02, units: float = 1.0) -> None:
        self.record, self.units = record, units
        self.ran: list[tuple[str, int]] = []  # trace id, bytes of body
        self.work: Callable[[str], float] = lambda trace: work
        self.body: Callable[[str, str], bytes] = lambda trace, name: f"{trace} by {name}\n".encode()
        self.closes: Callable[[str], bool] = lambda trace: False  # its connection behind this answer
        self.addresses = {f"box-{n}": serve(self.handler(f"box-{n}")) for n in range(count)}

    def handler(self, name: str) -> type[Handler]:
        boxes = self

        class TourBox(Handler):
            def do_GET(self) -> None:
                size, trace = len(self.body()), self.headers.get("X-Trace-Id", "")
                if not trace:
                    self.answer(404)
                    return
                boxes.record(f"{name}: {trace} came whole, with {size} bytes of body")
                boxes.ran.append((trace, size))
                time.sleep(boxes.work(trace))
                headers = {"X-Settled": f"{boxes.units:g}"}
                if boxes.closes(trace):
                    headers["Connection"] = "close"
                self.answer(200, boxes.body(trace, name), headers)
                boxes.record(f"{name}: {trace} has run, and its answer was given")

            do_POST = do_GET

        return TourBox

    def entries(self) -> list[dict[str, Any]]:
        return [
            {
                "host": name,
                "dial": dial,
                "site": "hobart-dc",
                "class": "std-4",
                "block": number // 4,
                "health": "active",
                "share": 1.0,
                "born_ms": 0,
            }
            for number, (name, dial) in enumerate(self.addresses.items())
        ]


def discovery(boxes: Boxes) -> str:
    """The agent of a list that never changes."""

    class Agent(Handler):
        def do_GET(self) -> None:
            query = parse_qs(urlsplit(self.path).query)
            if "index" in query:
                time.sleep(min(60_000, int(query.get("wait", ["0"])[0])) / 1000)
            news = {"seq": 1, "whole": "index" not in query, "hosts": []}
            if "index" not in query:
                news["hosts"] = boxes.entries()
            self.answer(200, json.dumps(news).encode())

    return serve(Agent)


def counter() -> str:
    totals: dict[str, tuple[float, float]] = {}
    lock = threading.Lock()

    class Counter(Handler):
        def do_POST(self) -> None:
            self.body()
            url = urlsplit(self.path)
            query, now = parse_qs(url.query), time.monotonic()
            with lock:
                total, until = totals.get(url.path, (0.0, 0.0))
                if until <= now:
                    total, until = 0.0, now + min(60.0, int(query["ttl_ms"][0]) / 1000)
                total += float(query["add"][0])
                totals[url.path] = (total, until)
            self.answer(200, f"{total:.7g}".encode())

    return serve(Counter)


def settings(ingresses: int, own: int, rate: float = 200.0, burst: float = 400.0) -> dict[str, Any]:
    """Those of a small deployment, in the form of the settings page."""
    return {
        "balancers": ingresses,
        "me": own,
        "tier": 0,
        "tiers": ["tour-servers"],
        "zone": 0,
        "step": 4 * MILLISECOND,
        "family": "gate",
        "registryMode": "automatic",
        "weights": "nominal",
        "failureDomains": ["hobart-dc"],
        "machineTypes": ["std-4"],
        "clientHabits": {"marksRetry": False},
        "classes": [
            {
                "name": "track-fetch",
                "aim": 2 * SECOND,
                "deadline": 8 * SECOND,
                "effect": "repeatable",
                "keyScope": "all",
                "lateWorth": 0.0,
                "stream": False,
                "window": 5 * SECOND,
                "worth": 1.0,
            },
            {
                "name": "tour-purchase",
                "aim": 1500 * MILLISECOND,
                "deadline": 5 * SECOND,
                "effect": "by_key",
                "keyScope": "cell",
                "lateWorth": 0.0,
                "stream": False,
                "window": 10 * SECOND,
                "worth": 5.0,
            },
        ],
        "tiersOfService": [
            {
                "name": "small-gallery",
                "rate": rate,
                "depth": burst,
                "price": 1.2,
                "overWorth": 0.0,
                "beyondCosts": 1.0,
                "parallel": 0,
                "capRate": 0.0,
                "neverOverDepth": 0.0,
                "tolerance": 0.0,
            }
        ],
        "familyInfo": {
            "sharedCounter": True,
            "countWait": 80 * MILLISECOND,
            "counterPrice": 0.01,
            "settles": True,
            "maxUnits": 6,
            "usePeriod": 0,
            "mailPerS": 100.0,
        },
        "limits": {
            "cancel": True,
            "connectTimeout": 250 * MILLISECOND,
            "cpuUsPerRequest": 0.0,
            "cpuUsPerS": 500_000,
            "keepalive": 15 * SECOND,
            "maxAttempts": 5,
            "maxOpen": 20_000,
            "maxRetryAfter": 2 * SECOND,
            "peerMessages": True,
            "probes": False,
            "retryAfter": True,
            "secondCopies": True,
            "streamsPerConn": 32,
        },
        "invariants": {
            "askWithin": 10 * SECOND,
            "coldShare": 0.31,
            "drainGrace": 250 * MILLISECOND,
            "fallMultiple": 2.5,
            "graceToAnswer": 16 * MILLISECOND,
            "overloadFor": 1500 * MILLISECOND,
            "rampTime": 17 * SECOND,
        },
        "goal": {"whole": 0.6, "worstClass": 0.0, "worstTenant": 0.15, "worstWindow": 0.25},
        "tariffs": {"waste": 0.16, "peer": 0.08, "lateFail": 0.022},
        "telemetry": {"fields": [], "source": "off"},
    }


def run_command() -> str:
    with (ROOT / "deploy" / "balancer.toml").open("rb") as file:
        return str(tomllib.load(file)["run"])


class Ingress:
    """One ingress as the platform starts it: ``run`` by a shell from the root, which the program replaces."""

    def __init__(self, play: Play, name: str, config: Mapping[str, Any], env: Mapping[str, str]) -> None:
        self.play, self.name, self.config = play, name, dict(config)
        self.folder = play.folder / name
        self.folder.mkdir(exist_ok=True)
        self.env = dict(env)
        self.listen = str(config["listen"])
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        path, scratch = self.folder / "config.json", self.folder / "tmp"
        path.write_text(json.dumps(self.config))
        shutil.rmtree(scratch, ignore_errors=True)
        scratch.mkdir()
        env = {
            **{key: value for key, value in os.environ.items() if key in ("PATH", "LANG", "HOME")},
            "TMPDIR": str(scratch),
            "PROXY_NAME": self.name,
            "PROXY_LISTEN": self.listen,
            "PROXY_DISCOVERY": str(self.config["discovery"]),
            "PROXY_CONFIG": str(path),
            **self.env,
        }
        with (self.folder / "log").open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", run_command()], cwd=ROOT, env=env, stdout=log, stderr=log
            )
        self.play.processes.append(self.process)
        self.play.record(f"{self.name}: process {self.process.pid} begins")

    def wait_ready(self) -> None:
        until = time.monotonic() + READY_WITHIN
        while time.monotonic() < until:
            if self.ended() is not None:
                break
            try:
                if request(self.listen, "GET", "/healthz", within=1.0)[0] == 200:
                    self.play.record(f"{self.name}: ready")
                    return
            except OSError:
                pass
            time.sleep(0.05)
        raise NotRun(f"{self.name} was not ready; its log: {self.log()[-2000:]}")

    def ended(self) -> int | None:
        """The exit code, if the process has ended."""
        assert self.process is not None
        return self.process.poll()

    def signal(self, number: signal.Signals) -> None:
        assert self.process is not None
        self.play.record(f"{self.name}: process {self.process.pid} gets {number.name}")
        self.process.send_signal(number)

    def wait_end(self, within: float) -> int | None:
        assert self.process is not None
        try:
            return self.process.wait(within)
        except subprocess.TimeoutExpired:
            return None

    def log(self) -> str:
        return (self.folder / "log").read_bytes().decode("utf-8", "replace")


def request(
    address: str,
    method: str,
    target: str,
    headers: Mapping[str, str] | None = None,
    body: bytes | None = None,
    within: float = 10.0,
) -> tuple[int, bytes]:
    """One request on a connection of its own. ``OSError`` where no whole answer comes."""
    host, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=within)
    try:
        connection.request(method, target, body, dict(headers or {}))
        answer = connection.getresponse()
        return answer.status, answer.read()
    except http.client.HTTPException as error:
        raise ConnectionResetError(f"no whole answer: {type(error).__name__}") from None
    finally:
        connection.close()


class Play:
    """One play of a case: its record, its temporary folder, and all processes that it started."""

    def __init__(self, case: str) -> None:
        self.case = Path(case).resolve().parent
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = Record(self.case)
        self.folder = Path(tempfile.mkdtemp(prefix="case-"))
        self.processes: list[subprocess.Popen[bytes]] = []

    def end(self) -> None:
        for process in self.processes:
            if process.poll() is None:
                process.kill()
            process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)

    def paths_out(self, text: str) -> str:
        """For the record: no path of this machine."""
        return re.sub(r"(/[\w.+-]+)+/", ".../", text.replace(str(self.folder), "FOLDER"))


def play(case: str, main: Callable[[Play], int]) -> None:
    """Play a case and exit as it ended: 1 the rule was broken, 0 it held, 2 it could not run."""
    current = Play(case)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    try:
        code = main(current)
    except NotRun as reason:
        current.record.say(current.paths_out(f"not run: {reason}"))
        code = NOT_RUN
    except Exception as error:
        current.record.say(current.paths_out(f"not run: {type(error).__name__}: {error}"))
        code = NOT_RUN
    finally:
        current.end()
    current.record.say(f"exit {code}")
    sys.exit(code)
