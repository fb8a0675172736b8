"""A change of version under load: several processes of the program, one after another on one socket."""

from __future__ import annotations

import json
import os
import random
import select
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import unittest
from collections.abc import Callable
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from typing import Any, ClassVar
from unittest.mock import Mock

from conftest import Driver, settings

from gorsefork.decisions import interface as i
from gorsefork.decisions.rules import QUOTA_GRANTED, QUOTA_REQUEST, DecisionEngine
from gorsefork.decisions.state import QuotaMessage
from gorsefork.decisions.state_transfer import RETAINED_SHARE, export_state, import_state
from gorsefork.life.handover import Handover
from gorsefork.wire.services.handover_connection import PROTOCOL_VERSION

EXAMPLE = Path(__file__).parents[1] / "examples" / "config.json"
CAPPED = i.Plan("capped", rate=10.0, burst=20.0, ceiling_rate=20.0, ceiling_burst=40.0)


class Quiet(ThreadingHTTPServer):
    daemon_threads = True

    def handle_error(self, request: Any, client_address: Any) -> None:
        """An ingress that is killed resets its connections: that is what is tested."""


class Box(BaseHTTPRequestHandler):
    protocol_version, wbufsize = "HTTP/1.1", 65536
    hold: ClassVar[float] = 0.02

    def do_GET(self) -> None:
        time.sleep(self.hold)
        body = self.headers["X-Trace-Id"].encode()
        self.send_response(200)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, format: str, *args: Any) -> None:
        """The tests count for themselves."""


class Rig(unittest.TestCase):
    """A socket that outlives each process, a folder that they share, a box, and clients that never rest."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.box = Quiet(("127.0.0.1", 0), Box)
        threading.Thread(target=self.box.serve_forever, daemon=True).start()
        self.addCleanup(self.box.server_close)
        self.addCleanup(self.box.shutdown)
        self.door = socket.create_server(("127.0.0.1", 0), backlog=200)
        self.addCleanup(self.door.close)
        config = json.loads(EXAMPLE.read_text())
        config.update(listen="127.0.0.1:0", discovery="127.0.0.1:1", counter="127.0.0.1:1")
        config["known"]["hosts"][0]["dial"] = f"127.0.0.1:{self.box.server_port}"
        config["settings"]["tiersOfService"][0].update(rate=5000.0, depth=20000.0)
        (self.folder / "config.json").write_text(json.dumps(config))
        self.stopping, self.answered = threading.Event(), [0]
        self.wrong: list[str] = []
        self.turned_back: list[str] = []

    def start(self) -> tuple[subprocess.Popen[str], tuple[str, int]]:
        with socket.create_server(("127.0.0.1", 0)) as free:
            ops: tuple[str, int] = free.getsockname()
        env = {
            **os.environ,
            "PROXY_CONFIG": str(self.folder / "config.json"),
            "TMPDIR": str(self.folder),
            "PROXY_FD": str(self.door.fileno()),
            "PROXY_OPS": f"{ops[0]}:{ops[1]}",
        }
        log = (self.folder / f"log-{ops[1]}").open("w")
        program = subprocess.Popen(
            [sys.executable, "-m", "gorsefork"],
            env=env,
            stderr=log,
            text=True,
            pass_fds=(self.door.fileno(),),
        )
        log.close()
        self.addCleanup(program.wait)
        self.addCleanup(program.kill)
        self.until(lambda: self.call(ops, "check").startswith("+OK"))
        return program, ops

    def until(self, holds: Callable[[], bool]) -> None:
        end = time.monotonic() + 10
        while not holds():
            self.assertLess(time.monotonic(), end, self.logs())
            time.sleep(0.01)

    def logs(self) -> str:
        return "\n".join(path.read_text() for path in sorted(self.folder.glob("log-*")))

    def call(self, ops: tuple[str, int], line: str) -> str:
        try:
            with socket.create_connection(ops, 5) as sock:
                sock.sendall(f"{line}\n".encode())
                return b"".join(iter(lambda: sock.recv(65536), b"")).decode()
        except OSError:
            return ""

    def client(self, name: str) -> None:
        number, sock, rng = 0, socket.create_connection(self.door.getsockname(), 10), random.Random(name)
        while not self.stopping.is_set():
            number += 1
            trace = f"{name}-{number}"
            if not quiet(sock):  # closed while it was idle, as any client looks first
                sock.close()
                sock = socket.create_connection(self.door.getsockname(), 10)
            try:
                answer = self.ask(sock, trace)
            except OSError as error:
                answer = type(error).__name__
            if not answer or answer.startswith("Connection"):  # it was closed under the request
                self.turned_back.append(trace)
            elif not answer.startswith("HTTP/1.1 200") or not answer.endswith(f"\r\n\r\n{trace}"):
                self.wrong.append(answer)
            else:
                self.answered[0] += 1
            if not answer or "onnection: close" in answer or not answer.startswith("HTTP"):
                sock.close()
                sock = socket.create_connection(self.door.getsockname(), 10)
            time.sleep(rng.uniform(0.0, 0.02))
        sock.close()

    def ask(self, sock: socket.socket, trace: str) -> str:
        head = [
            "GET /track-fetch HTTP/1.1",
            "Host: x",
            f"X-Trace-Id: {trace}",
            "X-Contract: small-gallery",
            "X-Client-Id: 00000000b4d65521",
            "X-Expires-In-Ms: 5000",
            "X-Metering: units=1,spread=1,first=0",
            "",
            "",
        ]
        sock.sendall("\r\n".join(head).encode())
        data = b""
        while b"\r\n\r\n" not in data or len(data.partition(b"\r\n\r\n")[2]) < length(data):
            if not (piece := sock.recv(65536)):
                return ""
            data += piece
        return data.decode()

    def load(self, clients: int) -> None:
        for number in range(clients):
            thread = threading.Thread(target=self.client, args=(f"c{number}",), daemon=True)
            thread.start()
            self.addCleanup(thread.join, 10)
        self.addCleanup(self.stopping.set)  # runs before the joins
        self.more(20)

    def more(self, answers: int) -> None:
        enough = self.answered[0] + answers
        self.until(lambda: self.answered[0] >= enough)


def connected(link: socket.socket, path: Path) -> bool:
    try:
        link.connect(str(path))
    except OSError:
        return False
    return True


def quiet(sock: socket.socket) -> bool:
    return not select.select([sock], [], [], 0)[0]


def length(data: bytes) -> int:
    for line in data.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            return int(line.partition(b":")[2])
    return 0


class UnderLoad(Rig):
    def test_six_changes_in_a_row_lose_nothing_and_keep_bans(self) -> None:
        old, ops = self.start()
        self.load(8)
        self.assertTrue(self.call(ops, "set-down box-0").startswith("-ERR"))
        for change in range(6):
            if change == 2:
                self.assertTrue(self.call(ops, "drain-on").startswith("+OK"))
            new, new_ops = self.start()
            if change == 3:  # said to either, it holds at both
                self.assertTrue(self.call(ops, "drain-off").startswith("+OK"))
                self.until(lambda there=new_ops: "sent away" not in self.call(there, "check"))  # type: ignore[misc]
            old.send_signal(signal.SIGTERM)
            self.more(40)
            self.assertEqual(old.wait(5), 0, self.logs())
            if change == 2:
                self.assertIn("sent away", self.call(new_ops, "check"))
            old, ops = new, new_ops
        fds = len(os.listdir(f"/proc/{old.pid}/fd"))
        self.assertLess(fds, 60)
        self.assertEqual(self.wrong, [], self.logs())
        # A request may cross the close of an idle connection; it was not taken, and goes once more.
        self.assertLessEqual(len(self.turned_back), 6)
        self.assertNotIn("Traceback", self.logs())
        self.assertEqual(self.logs().count("goes on with 1 customers' accounts"), 6)

    def test_a_ban_holds_over_a_change_until_it_is_ended_at_the_new_one(self) -> None:
        old, ops = self.start()
        self.assertTrue(self.call(ops, "set-down box-1").startswith("+OK"))
        _, new_ops = self.start()
        old.send_signal(signal.SIGTERM)
        self.assertEqual(old.wait(5), 0)
        self.assertIn("out_of_rotation=1\n", self.call(new_ops, "vars"))
        with socket.create_connection(self.door.getsockname(), 10) as sock:
            self.assertTrue(self.ask(sock, "t1").startswith("HTTP/1.1 503"))
        self.assertTrue(self.call(new_ops, "set-up box-1").startswith("+OK"))
        self.assertIn("out_of_rotation=0\n", self.call(new_ops, "vars"))

    def test_either_is_killed_at_any_step_and_the_other_goes_on_alone(self) -> None:
        old, _ = self.start()
        self.load(4)
        new, _ = self.start()
        new.kill()  # the one that follows: nothing is noticed
        self.more(20)
        self.assertEqual((self.wrong, self.turned_back), ([], []))
        new, _ = self.start()
        old.kill()  # the one that serves: the next one takes, by what it has
        self.until(lambda: "is gone and left nothing" in self.logs())
        self.more(20)
        last, _ = self.start()
        new.send_signal(signal.SIGSTOP)  # it serves no more, and does not end
        self.addCleanup(new.send_signal, signal.SIGCONT)
        self.load(2)  # these connect anew, and nobody takes there
        self.assertIn("this one takes", self.logs())
        last.kill()
        new.send_signal(signal.SIGCONT)  # and is alone again
        self.until(lambda: "this one takes again" in self.logs())
        self.more(20)
        self.assertNotIn("Traceback", self.logs())

    def test_the_next_one_dies_just_after_it_took_and_the_old_one_takes_until_its_end(self) -> None:
        self.addCleanup(setattr, Box, "hold", Box.hold)
        Box.hold = 0.5
        old, _ = self.start()
        with socket.create_connection(self.door.getsockname(), 10) as busy:
            waiting = threading.Thread(target=lambda: self.wrong.append(self.ask(busy, "t0")[:12]))
            waiting.start()
            new, _ = self.start()
            old.send_signal(signal.SIGTERM)
            self.until(lambda: "goes on with" in self.logs())
            new.kill()
            with socket.create_connection(self.door.getsockname(), 10) as sock:
                self.assertTrue(self.ask(sock, "t1").startswith("HTTP/1.1 200"), self.logs())
            waiting.join(10)
        self.assertIn("this one takes again", self.logs())
        self.assertEqual((self.wrong, old.wait(5)), (["HTTP/1.1 200"], 0))

    def test_whatever_stands_in_its_place_the_next_one_says_so_and_serves(self) -> None:
        for says in (
            b'{"hello": {"version"',
            b"\xff\n",
            b"[1]\n",
            b'{"hello": []}\n',
            b'{"hello": {"version": 1, "name": "n0", "list": {"hosts": [], "seq": 1e999}}}\n',
            json.dumps({"hello": {"version": PROTOCOL_VERSION, "name": "other"}}).encode() + b"\n",
            json.dumps({"hello": {"version": PROTOCOL_VERSION + 1, "name": "n0"}}).encode() + b"\n",
        ):
            with self.subTest(says), socket.socket(socket.AF_UNIX) as place:
                path = self.folder / "gorsefork-n0.sock"
                path.unlink(missing_ok=True)
                place.bind(str(path))
                place.listen()
                threading.Thread(target=lambda p=place, s=says: self.greet(p, s), daemon=True).start()
                new, _ = self.start()
                self.until(lambda: "said nothing of use" in self.logs())
                with socket.create_connection(self.door.getsockname(), 10) as sock:
                    self.assertTrue(self.ask(sock, "t1").startswith("HTTP/1.1 200"))
                new.kill()
                new.wait()
                for log in self.folder.glob("log-*"):
                    log.unlink()

    def serve_half(self, messages: list[bytes], step: int) -> None:
        """Stand in the place of a process that serves, say what one said, and die at that step: before the
        first, third and last byte of each message, and after it."""
        path = self.folder / "gorsefork-n0.sock"
        path.unlink(missing_ok=True)
        whole, (message, quarter) = b"", divmod(step, 4)
        for n, line in enumerate(messages):
            part = (0, len(line) // 3, len(line) - 1, len(line))[quarter] if n == message else len(line)
            whole += line[:part] if n <= message else b""
        place = socket.socket(socket.AF_UNIX)
        place.bind(str(path))
        place.listen()

        def play() -> None:
            with place, place.accept()[0] as link:
                link.sendall(whole)
                link.settimeout(0.2)
                self.assertRaises(OSError, link.recv, 1)

        threading.Thread(target=play, daemon=True).start()

    def test_the_one_before_dies_within_each_message_of_the_link(self) -> None:
        old, ops = self.start()
        self.assertTrue(self.call(ops, "set-down box-1").startswith("+OK"))
        self.assertTrue(self.call(ops, "set-up box-1").startswith("+OK"))
        with socket.create_connection(self.door.getsockname(), 10) as sock:
            self.assertTrue(self.ask(sock, "t0").startswith("HTTP/1.1 200"))
        with socket.socket(socket.AF_UNIX) as link:
            link.connect(str(self.folder / "gorsefork-n0.sock"))
            reader = link.makefile("rb")
            said = [reader.readline()]
            self.assertTrue(self.call(ops, "drain-off").startswith("+OK"))
            said.append(reader.readline())
            old.send_signal(signal.SIGTERM)
            said.append(reader.readline())
        self.assertEqual(old.wait(10), 0)
        self.assertEqual([next(iter(json.loads(line))) for line in said], ["hello", "say", "yours"])
        for step in range(4 * len(said)):
            with self.subTest(step):
                for log in self.folder.glob("log-*"):
                    log.unlink()
                self.serve_half(said, step)
                new, _ = self.start()
                whole = step == 4 * len(said) - 1
                self.until(
                    lambda w=whole: (
                        ("goes on with 1" if w else "gone and left nothing") in self.logs()  # type: ignore[misc]
                        or "nothing of use" in self.logs()
                    )
                )
                with socket.create_connection(self.door.getsockname(), 10) as sock:
                    self.assertTrue(self.ask(sock, f"t{step}").startswith("HTTP/1.1 200"), self.logs())
                self.assertNotIn("Traceback", self.logs())
                new.kill()
                new.wait()

    def test_the_next_one_dies_within_each_message_of_the_link(self) -> None:
        old, ops = self.start()
        lines = (
            b'{"say":"drain-on"}\n',
            b'{"say":"drain-off"}\n',
            b'{"word":[0,"79"]}\n',
            b'{"word":[0]}\n',
            b'{"mine":true}\n',
        )
        for line in lines:
            for part in (0, len(line) // 3, len(line) - 1, len(line)):
                with self.subTest((line, part)):
                    with socket.socket(socket.AF_UNIX) as link:
                        self.until(lambda end=link: connected(end, self.folder / "gorsefork-n0.sock"))  # type: ignore[misc]
                        self.assertIn(b'"hello"', link.makefile("rb").readline())
                        link.sendall(line[:part])
                    with socket.create_connection(self.door.getsockname(), 10) as sock:
                        self.assertTrue(self.ask(sock, f"{line[2:5]!r}{part}").startswith("HTTP/1.1 200"))
        self.assertTrue(self.call(ops, "check").startswith("+OK"))
        old.send_signal(signal.SIGTERM)
        self.assertEqual(old.wait(10), 0)
        self.assertNotIn("Traceback", self.logs())

    def greet(self, place: socket.socket, says: bytes) -> None:
        with place.accept()[0] as link:
            link.sendall(says)


class WhatPasses(unittest.TestCase):
    """The module's own part, in virtual time: what a customer may spend is at one of the two."""

    def test_a_ceiling_is_not_doubled_and_none_of_it_is_lost(self) -> None:
        for seed in range(20):
            rng = random.Random(seed)
            alone, old = (Driver(settings(plans=[CAPPED]), 4, seed) for _ in range(2))
            for driver in (alone, old):
                driver.run(rng.uniform(1.0, 3.0) if driver is old else 0.0)
                driver.now = 103.0
                for n in range(30):
                    driver.send_request(customer=f"c{n % 3}", units=1.0)
            before = {tag: a.ceiling for tag, a in old.engine.quota.accounts.items()}
            new = Driver(settings(plans=[CAPPED]), 4, seed + 1)
            new.now = old.now
            import_state(new.engine, json.loads(json.dumps(export_state(old.engine))), new.now)
            for tag, room in before.items():
                here, there = old.engine.quota.accounts[tag], new.engine.quota.accounts[tag]
                self.assertAlmostEqual(here.ceiling + there.ceiling, room)
                here.refill(old.now + 2.0)
                there.refill(old.now + 2.0)
                self.assertLessEqual(here.ceiling, RETAINED_SHARE * room + 1e-9)  # it gains nothing more
                self.assertLessEqual(
                    there.ceiling, min(40.0, (1.0 - RETAINED_SHARE) * room + 2.0 * 20.0) + 1e-9
                )
            old.now += 1.0
            old.send_request(customer="never seen before", units=1.0)
            newest = old.engine.quota.accounts[next(reversed(old.engine.quota.accounts))]
            self.assertEqual(newest.ceiling, 0.0)  # its room is at the other

    def test_what_was_not_yet_counted_is_counted_once(self) -> None:
        given = settings(plans=[CAPPED], accounting=i.Accounting(counter=True))
        old, new = Driver(given), Driver(given, seed=8)
        old.send_request(customer="c0", units=1.0)
        old.now += 1.0  # a ceiling counts as empty at the start
        for n in range(5):
            old.send_request(customer=f"c{n}", units=1.0)
        new.now = old.now
        pending = sum(a.pending for a in old.engine.quota.accounts.values())
        self.assertGreater(pending, 0.0)
        import_state(new.engine, export_state(old.engine), new.now)
        self.assertEqual({a.pending for a in old.engine.quota.accounts.values()}, {0.0})
        self.assertEqual(sum(a.pending for a in new.engine.quota.accounts.values()), pending)

    def test_a_keepers_word_on_a_try_of_the_old_one_is_passed_back_to_it(self) -> None:
        given = settings(
            plans=[i.Plan("small", rate=0.5, burst=1.0)], ingresses=4, limits=i.Limits(peer_messages=True)
        )
        old, new = Driver(given), Driver(given, seed=8)
        asked = [
            a
            for n in range(9)
            for a in old.send_request(customer=f"c{n}", ingress_count=3, first_ingress=1)
            if isinstance(a, i.SendToPeer)
        ]
        link = Mock()
        there = Handover.__new__(Handover)
        there.ingress, there.predecessor = Mock(config=Mock(settings=given)), link
        here = Handover.__new__(Handover)
        here.ingress = Mock(
            decision_actor=Mock(receive_peer_message=lambda message: served.extend(old.feed(message)))
        )
        here.log_note = self.fail  # type: ignore[assignment]
        served: list[i.Action] = []
        for tell in asked:
            note = QuotaMessage.decode(tell.data, 1)
            assert note is not None and tell.peer is not None
            for kind in (QUOTA_REQUEST, QUOTA_GRANTED):
                # what another asks is for the one that keeps, and stays there
                message = i.PeerMessage(tell.peer, note._replace(kind=kind).encode())
                there.forward_quota_answer(message)
                self.assertEqual(new.feed(message) if kind == QUOTA_GRANTED else [], [])
        said = [call.args[0]["word"] for call in link.queue_message.call_args_list]
        self.assertEqual(len(said), len(asked))
        for word in json.loads(json.dumps(said)):
            here.receive_quota_answer(word)
        self.assertGreater(len(asked), 2)
        self.assertEqual(sum(isinstance(action, i.StartAttempt) for action in served), len(asked))

    def test_a_cold_server_stays_cold_at_the_next_one(self) -> None:
        old, new = Driver(settings()), Driver(settings(), seed=8)
        old.feed(i.BackendList("delta", [i.BackendEntry("s1", started=old.now)]))
        old.now = new.now = old.now + 1.0
        import_state(new.engine, export_state(old.engine), new.now)
        warmth = [
            d.engine.selector.slow_start_share(d.engine.selector.backends["s1"], d.now) for d in (old, new)
        ]
        self.assertEqual(warmth[0], warmth[1])
        self.assertLess(warmth[1], 0.5)

    def test_what_makes_no_sense_is_refused_by_name(self) -> None:
        given = export_state(DecisionEngine(settings(), 1))
        for key, value in (
            ("fleet", []),
            ("quota", ["x"] * 5),
            ("servers", 3),
            ("accounts", [{"tag": "zz"}]),
            ("serial", "?"),
        ):
            with self.subTest(key), self.assertRaises((KeyError, TypeError, ValueError, AttributeError)):
                import_state(DecisionEngine(settings(), 2), {**given, key: value}, 1.0)
        with self.assertRaises(KeyError):
            import_state(DecisionEngine(settings(), 2), {}, 1.0)


if __name__ == "__main__":
    unittest.main()
