"""The scale run: its experiments, its bounds, and a small run from beginning to end."""

from __future__ import annotations

import os
import socket
import sys
import tempfile
import unittest
from collections.abc import Awaitable, Callable
from importlib import import_module
from pathlib import Path
from typing import Any, TypeVar
from unittest import mock

import h11
import trio
import trio.testing
from accounts_standin import Served
from click.testing import CliRunner

from gorsefork.cli.lab import lab
from gorsefork.lab.scale import fleet, machine, results
from gorsefork.lab.scale import messages as m
from gorsefork.lab.scale import run as playing
from gorsefork.lab.scale.experiment import BadExperiment, Configuration, Experiment, read
from gorsefork.lab.scale.fleet import HostProcess
from gorsefork.lab.scale.hollow import CLIENTS, mechanisms
from gorsefork.lab.scale.host import Host
from gorsefork.lab.scale.machine import BeyondBounds, Guard
from gorsefork.lab.scale.messages import Ways
from gorsefork.lab.scale.report import draw, table
from gorsefork.lab.scale.traffic import (
    CountedClient,
    CountedSocket,
    Network,
    Owner,
    Traffic,
    datagram_kind,
    owner,
)
from gorsefork.memory.clock import Clock
from gorsefork.wire.http1.client import NoAnswer

EXAMPLES = Path(__file__).parents[1] / "examples" / "lab"
MECHANISM: Configuration = mechanisms()[0]
HEAD = f'name = "small"\nseed = 7\nconfiguration = "{MECHANISM}"\n'
FLEET = "[fleet]\nsizes = [6]\nin_process = 6\nzones = 2\nperiod_ms = 200\ntimeout_ms = 60\nquiet_ms = 300\n"
QUICK = "[phases]\nrest = 0.3\ngather_within = 20.0\nrecover_within = 20.0\n"


def setUpModule() -> None:
    patched = mock.patch.object(playing, "LOOK_EVERY", 0.05)
    patched.start()
    unittest.addModuleCleanup(patched.stop)


def quiet(text: str) -> None:
    """No progress is shown."""


def datagram_socket() -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.settimeout(5.0)
    sock.bind(("127.0.0.1", 0))
    return sock


def faults(text: str) -> list[str]:
    try:
        read(text)
    except BadExperiment as error:
        return str(error).splitlines()
    return []


class Experiments(unittest.TestCase):
    def test_the_examples_can_be_played(self) -> None:
        files = sorted(EXAMPLES.glob("*.toml"))
        self.assertTrue(files)
        for file in files:
            with self.subTest(file.name):
                self.assertEqual([], faults(file.read_text(encoding="utf-8")))

    def test_every_fault_is_told_at_once_with_its_key(self) -> None:
        text = (
            'name = "Small"\nseed = -1\nconfiguration = "by hand"\ncolour = "red"\n'
            "[fleet]\nsizes = [1]\nzones = 1\nregions = 2\n[load]\nchanges = 1.5\n"
            '[[faults]]\nkind = "kill"\nat = 0.0\n[bounds]\nmemory_share = 0.6\nprocesses = 301\n'
        )
        told = faults(text)
        keys = {line.partition(": ")[0] for line in told}
        self.assertEqual(
            {
                "name",
                "seed",
                "configuration",
                "colour",
                "fleet.sizes.0",
                "load.changes",
                "faults.0.share",
                "bounds.memory_share",
                "bounds.processes",
            },
            keys,
        )
        self.assertIn("colour: is not known", told)
        self.assertIn("faults.0.share: a kill needs it", told)

    def test_what_does_not_fit_together_is_told_with_its_key(self) -> None:
        cases = {
            "fleet.timeout_ms": HEAD + "[fleet]\nsizes = [6]\nperiod_ms = 200\ntimeout_ms = 150\n",
            "fleet.zones": HEAD + "[fleet]\nsizes = [6]\nregions = 3\nzones = 2\n",
            "fleet.sizes": HEAD + "[fleet]\nsizes = [6]\nreal = 6\n",
            "fleet.introduced": HEAD + "[fleet]\nsizes = [6]\nreal = 1\nintroduced = true\n",
            "faults.0.zone": HEAD + FLEET + '[[faults]]\nkind = "cut"\nat = 0.0\nzone = 2\nlasts = 1.0\n',
            "faults.0.region": HEAD + FLEET + '[[faults]]\nkind = "cut"\nat = 0.0\nregion = 1\nlasts = 1.0\n',
            "faults.0.region: a cut is of": HEAD
            + FLEET
            + '[[faults]]\nkind = "cut"\nat = 0.0\nregion = 0\nzone = 0\nlasts = 1.0\n',
            "faults.0.disk": HEAD
            + FLEET
            + '[[faults]]\nkind = "restart"\nat = 0.0\nshare = 0.1\ndisk = "old"\n',
            "fleet.real": HEAD
            + "[fleet]\nsizes = [6]\nreal = 1\n"
            + '[[faults]]\nkind = "cut"\nat = 0.0\nzone = 0\nlasts = 1.0\n',
            "load.changes": HEAD.replace(MECHANISM, "none") + FLEET + "[load]\nchanges = 1\n",
            "file": "name = ",
        }
        for key, text in cases.items():
            with self.subTest(key):
                told = faults(text)
                self.assertEqual(1, len(told), told)
                self.assertTrue(told[0].startswith(key), told)


class Bounds(unittest.TestCase):
    def test_a_plan_beyond_the_bounds_is_refused_before_it_begins(self) -> None:
        with self.assertRaisesRegex(BeyondBounds, "3 processes are wanted, and 2 allowed"):
            Guard(0.5, 2).check_plan(10, 0, 3)
        guard = Guard(0.5, 3)
        guard.most_memory = 1 << 30
        guard.check_plan(10, 1000, 3)
        with self.assertRaisesRegex(BeyondBounds, "memory are expected, and 1024 MiB allowed"):
            guard.check_plan(620, 0, 3)
        with self.assertRaisesRegex(BeyondBounds, "memory are expected"):
            guard.check_plan(10, 500_000, 3)

    def test_use_beyond_the_bounds_is_told_while_it_runs(self) -> None:
        with self.assertRaisesRegex(BeyondBounds, "2 processes run, and 1 are allowed"):
            Guard(0.5, 1).check([os.getpid(), os.getpid()])
        with self.assertRaisesRegex(BeyondBounds, "memory are in use"):
            Guard(0.0001, 1).check([os.getpid()])
        Guard(0.5, 1).check([os.getpid()])

    def test_a_run_beyond_its_processes_does_not_begin(self) -> None:
        experiment = read(HEAD + FLEET + "[bounds]\nprocesses = 1\n")
        found, stopped = playing.run(experiment, quiet)
        self.assertEqual("at 6 ingresses: 2 processes are wanted, and 1 allowed", stopped)
        self.assertEqual(["stopped"], [row.metric for row in found.rows])

    def test_a_run_that_passes_its_memory_stops_with_the_reason(self) -> None:
        experiment = read(HEAD + FLEET + "[bounds]\nmemory_share = 0.0001\n")
        started: list[HostProcess] = []
        opened = fleet.opened

        async def noted(log: Path) -> HostProcess:
            started.append(host := await opened(log))
            return host

        with (
            mock.patch.object(machine, "HOLLOW_BYTES", 0),
            mock.patch.object(machine, "PROCESS_BYTES", 0),
            mock.patch.object(fleet, "opened", noted),
        ):
            found, stopped = playing.run(experiment, quiet)
        self.assertIn("memory are in use", stopped)
        self.assertEqual("stopped", found.rows[-1].metric)
        self.assertTrue(all(host.process.returncode is not None for host in started))

    def test_a_host_that_ends_ends_the_run_with_a_reason(self) -> None:
        opened = fleet.opened

        async def killed(log: Path) -> HostProcess:
            host = await opened(log)
            host.process.kill()
            return host

        with mock.patch.object(fleet, "opened", killed):
            _, stopped = playing.run(read(HEAD + FLEET), quiet)
        self.assertTrue(stopped.startswith("at 6 ingresses: "), stopped)


class Answers(unittest.TestCase):
    def test_an_answer_whose_caller_has_gone_is_not_taken_for_the_next(self) -> None:
        async def main() -> m.Answer:
            with tempfile.TemporaryDirectory() as folder:
                host = await fleet.opened(Path(folder) / "log")
                with trio.CancelScope() as scope:
                    scope.cancel()
                    await host.ask(m.Count())  # gone before it is sent
                async with trio.open_nursery() as nursery:
                    asked = trio.CancelScope()
                    nursery.start_soon(cancelled_once_owed, host, asked)
                    with asked:
                        await host.ask(m.Count())
                answer = await host.ask(m.Look())
                await host.end()
                return answer

        async def cancelled_once_owed(host: HostProcess, asked: trio.CancelScope) -> None:
            while not host.owed:
                await trio.lowlevel.checkpoint()
            asked.cancel()

        self.assertEqual(m.Sight((), ()), trio.run(main))


class Answering(Served):
    async def answer(self, request: h11.Request, body: bytes) -> Any:
        return 200, [], b"here"


def begin(configuration: Configuration) -> m.Begin:
    return m.Begin("site", 1, configuration, "", 1000, 300, 3000, m.Ways())


Told = TypeVar("Told")


def hosted(what: Callable[[Host], Awaitable[Told]]) -> Told:
    """What is told by a host in this process, which ends with it."""

    clock = Clock()

    async def main() -> Told:
        async with trio.open_nursery() as nursery:
            host = Host(clock, nursery)
            told = await what(host)
            await host.do(m.End())
        return told

    # A host puts a counting client in the place of its mechanism's: in this process that ends with it.
    module = import_module(CLIENTS[MECHANISM])
    with mock.patch.object(module, "HttpClient", vars(module)["HttpClient"]):
        return trio.run(main, instruments=[clock])


class Hosts(unittest.TestCase):
    def test_a_change_at_an_ingress_that_has_just_been_killed_is_refused(self) -> None:
        made = hosted(lambda host: host.do(m.Change("i7", "00" * 8)))
        assert isinstance(made, m.Made)
        self.assertEqual("i7 does not run", made.problem)

    def test_a_mechanism_that_this_version_lacks_is_named(self) -> None:
        names: tuple[Configuration, ...] = ("all-to-all", "replicated")
        lacking = next(name for name in names if name not in mechanisms())
        failed = hosted(lambda host: host.do(begin(lacking)))
        assert isinstance(failed, m.Failed)
        self.assertIn(f"configuration: this version has no {lacking!r}", failed.reason)

    def test_those_that_are_introduced_know_each_other_and_have_no_news(self) -> None:
        async def introduced(host: Host) -> tuple[m.Answer, m.Answer]:
            await host.do(begin(MECHANISM))
            started = await host.do(m.Start(tuple(m.Place(f"i{n}", "z0") for n in range(4)), ()))
            assert isinstance(started, m.Places)
            await host.do(m.Introduce(started.places))
            await trio.testing.wait_all_tasks_blocked()  # its clients are made in tasks that begin by then
            return await host.do(m.Look()), await host.do(m.Count())

        sight, counts = hosted(introduced)
        assert isinstance(sight, m.Sight) and isinstance(counts, m.Counts)
        self.assertEqual([4] * 4, [standing.seen for standing in sight.standings])
        self.assertEqual({}, {kind: n for kind, n in counts.messages.items() if "gossip" in kind})


class Paths(unittest.TestCase):
    def test_a_cut_zone_reaches_itself_alone(self) -> None:
        network = Network(1, Ways())
        network.place(1000, "a")
        network.place(2000, "b")
        network.place(3000, "c")
        network.cut(["b"])
        reached = {
            (zone, port) for zone in "abc" for port in (1000, 2000, 3000) if network.reaches(zone, port)
        }
        self.assertEqual({("a", 1000), ("a", 3000), ("b", 2000), ("c", 1000), ("c", 3000)}, reached)
        network.cut(["b", "c"])
        self.assertTrue(network.reaches("b", 3000))
        self.assertFalse(network.reaches("b", 1000))
        network.cut([])
        self.assertTrue(network.reaches("a", 2000))

    def test_a_way_is_as_long_as_its_ends_are_apart(self) -> None:
        ways = Ways({"a": 0, "b": 1, "c": 0}, 0.0, 0.001, 0.05)
        network = Network(1, ways, lambda seconds, what: None)
        for port, zone in ((1000, "a"), (2000, "b"), (3000, "c")):
            network.place(port, zone)
        found = {zone: network.delay("a", port) for port, zone in network.zones.items()}
        self.assertEqual({"a": 0.0, "b": 0.05, "c": 0.001}, found)

    def test_a_datagram_that_is_delayed_arrives_later(self) -> None:
        waiting: list[tuple[float, Callable[[], object]]] = []
        network = Network(1, Ways({"a": 0, "b": 1}, 0.0, 0.0, 0.05), lambda *late: waiting.append(late))
        with datagram_socket() as one, datagram_socket() as other:
            network.place(other.getsockname()[1], "b")
            CountedSocket(one, "a", network, Traffic()).sendto(b"late", other.getsockname())
            one.sendto(b"at once", other.getsockname())
            self.assertEqual(b"at once", other.recv(100))
            [(seconds, arrive)] = waiting
            arrive()
            self.assertEqual((0.05, b"late"), (seconds, other.recv(100)))

    def test_a_datagram_to_a_zone_that_is_cut_off_is_counted_and_lost(self) -> None:
        network, traffic = Network(1, Ways()), Traffic()
        with datagram_socket() as one, datagram_socket() as other:
            network.place(other.getsockname()[1], "b")
            counted = CountedSocket(one, "a", network, traffic)
            network.cut(["b"])
            counted.sendto(b"lost", other.getsockname())
            network.cut([])
            counted.sendto(b"comes", other.getsockname())
            self.assertEqual(b"comes", other.recv(100))
        self.assertEqual({"out datagram other": 2}, dict(traffic.messages))
        self.assertEqual({"out datagram other": 9}, dict(traffic.bytes))

    def test_a_request_to_a_zone_that_is_cut_off_is_not_answered(self) -> None:
        trio.run(self.ask_across_a_cut)

    async def ask_across_a_cut(self) -> None:
        network, traffic, server = Network(1, Ways()), Traffic(), Answering()
        async with trio.open_nursery() as nursery:
            await server.open(nursery)
            network.place(int(server.dial.rpartition(":")[2]), "b")
            owner.set(Owner("a", network, traffic))
            client = CountedClient(server.dial)
            self.assertEqual(200, (await client.request("GET", "/v1/feed?after=1")).status)
            self.assertIsNotNone(client.idle_connection)
            network.cut(["a"])
            for _ in range(2):  # behind the connection that stands, and over a new one
                with self.assertRaises(NoAnswer):
                    await client.request("GET", "/v1/feed")
                self.assertIsNone(client.idle_connection)
            network.cut([])
            self.assertEqual(200, (await client.request("GET", "/v1/feed")).status)
            client.close()
            nursery.cancel_scope.cancel()
        self.assertEqual({"out request /v1/feed": 2, "in answer /v1/feed": 2}, dict(traffic.messages))
        self.assertGreater(traffic.bytes["in answer /v1/feed"], 0)

    def test_an_answer_from_a_zone_that_was_cut_off_meanwhile_does_not_arrive(self) -> None:
        trio.run(self.cut_before_the_answer)

    async def cut_before_the_answer(self) -> None:
        network, held = Network(1, Ways()), trio.Event()

        class Held(Served):
            async def answer(self, request: h11.Request, body: bytes) -> Any:
                network.cut(["b"])
                held.set()
                return 200, [], b"late"

        server = Held()
        async with trio.open_nursery() as nursery:
            await server.open(nursery)
            network.place(int(server.dial.rpartition(":")[2]), "b")
            owner.set(Owner("a", network, Traffic()))
            with self.assertRaises(NoAnswer):
                await CountedClient(server.dial).request("GET", "/v1/feed")
            self.assertTrue(held.is_set())
            nursery.cancel_scope.cancel()

    def test_the_kind_of_a_datagram_is_read_without_the_rest(self) -> None:
        from gorsefork.fleet.messages import Codec, Message

        message = Message("gossip", "n0", 1, 0, 7, bytes(8), 3)
        self.assertEqual("gossip", datagram_kind(Codec("site", b"").pack(message)))
        self.assertEqual("other", datagram_kind(b"short"))


class SmallRun(unittest.TestCase):
    experiment: Experiment
    found: results.Results
    stopped: str

    @classmethod
    def setUpClass(cls) -> None:
        cls.experiment = read(
            HEAD + "disk = true\n" + FLEET + QUICK + "[load]\ntenants = 5\nchanges = 3\ntime_factor = 600.0\n"
            '[[faults]]\nkind = "restart"\nat = 0.1\nshare = 0.2\ndisk = "none"\n'
            '[[faults]]\nkind = "cut"\nat = 0.0\nzone = 1\nlasts = 0.2\n'
        )
        cls.found, cls.stopped = playing.run(cls.experiment, quiet)

    def value(self, metric: str) -> float:
        [row] = [row for row in self.found.rows if row.metric == metric]
        return row.value

    def test_it_ends_with_all_that_is_measured(self) -> None:
        self.assertEqual("", self.stopped)
        for metric in ("gather", "first load", "cpu rest", "memory", "descriptors", "bytes rest out"):
            with self.subTest(metric):
                self.assertGreater(self.value(metric), 0.0)
        self.assertGreater(self.value("messages rest out datagram ping"), 0.0)
        answers = [row for row in self.found.rows if row.metric.startswith("bytes changes in answer /v1/")]
        self.assertGreater(sum(row.value for row in answers), 0.0)

    def test_every_change_came_into_force_everywhere(self) -> None:
        self.assertEqual(3, self.value("changes accepted"))
        self.assertEqual(0, self.value("arrivals missing"))
        order = [self.value(f"in force at the {rank}, p100") for rank in ("first", "half", "99%", "last")]
        self.assertEqual(sorted(order), order)

    def test_those_that_were_away_caught_up(self) -> None:
        for fault in ("cut of a zone", "restart with no disk"):
            with self.subTest(fault):
                self.assertGreaterEqual(self.value(f"catch up after {fault}"), 0.0)
                self.assertGreaterEqual(self.value(f"view again after {fault}"), 0.0)

    def test_each_row_names_its_run_its_commit_and_its_machine(self) -> None:
        for row in self.found.rows:
            self.assertEqual(
                (self.found.run_id, "scale", 6, 7), (row.run_id, row.program, row.size_ingresses, row.seed)
            )
        self.assertIn("cores", self.found.machine)

    def test_what_is_kept_is_read_and_shown(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            file, chart = Path(folder) / "some.parquet", Path(folder) / "chart.png"
            results.save(self.found.rows, file)
            self.assertEqual(self.found.rows, results.load([file]))
            draw(self.found.rows, chart)
            self.assertGreater(chart.stat().st_size, 1000)
            shown = CliRunner().invoke(lab, ["scale", "report", str(file)])
        self.assertEqual(0, shown.exit_code, shown.output)
        self.assertIn("in force at the last, p100", shown.output)
        self.assertIn("6", table(self.found.rows).splitlines()[0])


class RealBesideHollow(unittest.TestCase):
    def test_both_are_in_one_fleet_and_are_measured_apart(self) -> None:
        head, fleet_text = HEAD, FLEET.replace("sizes = [6]", "sizes = [4]\nreal = 1")
        load = "[load]\nchanges = 2\ntime_factor = 600.0\n"
        found, stopped = playing.run(read(head + fleet_text + QUICK + load), quiet)
        self.assertEqual("", stopped)
        values = {(row.subject, row.metric): row.value for row in found.rows}
        self.assertEqual(0, values["configuration", "arrivals missing"])
        for subject in ("hollow", "real"):
            self.assertIn((subject, "cpu rest"), values)
            self.assertGreater(values[subject, "bytes rest out"], 0.0)
        self.assertGreater(values["real", "memory whole"], 10 << 20)


class CommandLine(unittest.TestCase):
    def test_what_is_not_installed_is_named(self) -> None:
        file = str(next(EXAMPLES.glob("*.toml")))
        for module in ("pyarrow", "hdrh.histogram"):
            with self.subTest(module), mock.patch.dict(sys.modules, {module: None}):
                told = CliRunner().invoke(lab, ["scale", "run", file])
                self.assertEqual(1, told.exit_code)
                self.assertIn("pip install -r requirements-lab.txt", told.output)

    def test_a_faulty_experiment_is_refused(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            file = Path(folder) / "bad.toml"
            file.write_text(HEAD + "[fleet]\nsizes = []\n", encoding="utf-8")
            told = CliRunner().invoke(lab, ["scale", "run", str(file)])
        self.assertEqual(1, told.exit_code)
        self.assertIn("fleet.sizes: ", told.output)


if __name__ == "__main__":
    unittest.main()
