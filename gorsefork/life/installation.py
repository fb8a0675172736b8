"""What an operator's file switches on: put together here, and loaded only then."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from pathlib import Path
from typing import TYPE_CHECKING, Any

import trio

from gorsefork.configuration.records import Record
from gorsefork.configuration.store import RecordStore
from gorsefork.decisions import interface as i
from gorsefork.life.config import Config
from gorsefork.life.control_connections import control_connections
from gorsefork.life.logs import StructuredLog
from gorsefork.life.operator import Operator, read_secret
from gorsefork.life.plan_records import PlanRecords, load_book
from gorsefork.life.plan_service import NoStorage, PlanService, RecordStorage
from gorsefork.life.replication import Replication
from gorsefork.memory.clock import SECOND, Clock
from gorsefork.memory.decision_actor import DecisionActor
from gorsefork.plans.book import PlanBook
from gorsefork.plans.contracts import PlanResolver
from gorsefork.storage.database import Database, WriteFailed
from gorsefork.storage.faults import Fault, no_fault
from gorsefork.storage.recorder import StoreWorker, UsageRecorder
from gorsefork.storage.records import DurableRecords
from gorsefork.storage.uses import DiskUsageStore
from gorsefork.usage.records import MICRO_UNITS_PER_UNIT
from gorsefork.usage.store import MemoryUsageStore, UsageNotStored, UsageStore
from gorsefork.wire.acceptor import Acceptor
from gorsefork.wire.fronts.configuration_calls import ConfigurationCalls
from gorsefork.wire.fronts.control import ControlFront
from gorsefork.wire.fronts.plan_calls import PlanCalls
from gorsefork.wire.services.accounts import AccountsSettings, Exporter

if TYPE_CHECKING:
    from gorsefork.wire.services.fleet_service import FleetService

FINAL_EXPORT_TIMEOUT_S = 1.0  # s at the end for what the accounts have not acknowledged


class DiskStorage:
    """The records' part of the state folder, away from the loop. It shares the lock of the rest."""

    def __init__(self, records: DurableRecords, worker: StoreWorker) -> None:
        self.records, self.worker = records, worker

    async def save(self, records: Sequence[Record]) -> None:
        await self.guarded(lambda: self.records.save(records))

    async def forget(self, records: Sequence[Record], horizon: int) -> None:
        await self.guarded(lambda: self.records.forget(records, horizon))

    async def guarded(self, what: Callable[[], None]) -> None:
        try:
            await self.worker.run(what)
        except WriteFailed as error:
            raise OSError(str(error)) from None


class Installation:
    """Opens the state at once (``InvalidState``), reads the keys (``InvalidOperatorFile``), runs with the
    ingress."""

    def __init__(self, given: Operator, config: Config, clock: Clock, fault: Fault = no_fault) -> None:
        self.settings, self.config, self.clock = given, config, clock
        self.key = read_secret("control", given.control.key_file) if given.control else ""
        self.accounts_key = read_secret("usage", given.usage.key_file) if given.usage else ""
        now = clock.unix_us()
        self.database: Database | None = None
        self.records = RecordStore()
        self.book = PlanBook(PlanRecords(self.records))
        self.storage: RecordStorage = NoStorage()
        store: UsageStore = MemoryUsageStore(config.name, now)
        if given.state is not None:
            self.database = Database(Path(given.state.folder), config.name, given.state.sync, fault)
            try:
                store = DiskUsageStore(self.database, now)
                durable = DurableRecords(self.database)
                self.book = load_book(durable, self.records, now)
            except BaseException:
                self.database.close()
                raise
        self.worker = StoreWorker(store, threaded=self.database is not None)
        if self.database is not None:
            self.storage = DiskStorage(durable, self.worker)
        self.log = StructuredLog(given.log.form, config.name)
        self.recorder: UsageRecorder | None = None
        self.exporter: Exporter | None = None
        self.acceptor: Acceptor | None = None
        self.fleet_service: FleetService | None = None
        self.export_scope = trio.CancelScope()
        self.connections = control_connections(config.sockets)
        self.started_at = clock.now

    def attach(self, decider: DecisionActor, ready: Callable[[], bool]) -> None:
        """Take its place at the module's actor, before anything runs."""
        settings = self.config.settings
        self.decision_actor, self.ready = decider, ready
        self.contracts = PlanResolver(settings.plans, self.book)
        self.plan_service = PlanService(
            self.contracts,
            self.storage,
            self.clock,
            self.config.name,
            str(self.worker.store.life),
            self.terms_changed,
            self.log,
        )
        decider.plan_overrides = self.contracts
        self.replication = Replication(
            self.config.name,
            self.settings.fleet.zone if self.settings.fleet else "",
            self.settings.control.peers if self.settings.control else (),
            self.bearer(self.key),
            self.records,
            self.plan_service,
            self.clock,
            self.log,
            self.config.seed,
            self.connections,
        )
        if self.settings.usage is not None:
            self.set_up_usage(self.settings.usage.most_waiting, settings)
        if self.settings.control is not None:
            front = ControlFront(self.key, self.status, self.usage, self.export)
            self.plan_calls = PlanCalls(self.plan_service, self.clock.unix_us, self.connections.listener // 2)
            front.routes.update(self.plan_calls.routes)
            replication = self.replication
            self.configuration_calls = ConfigurationCalls(
                replication.peers.answer,
                replication.status,
                replication.in_force,
                self.connections.listener // 4,
            )
            front.routes.update(self.configuration_calls.routes)
            front.max_body.update(self.configuration_calls.max_body)
            self.acceptor = Acceptor(
                self.settings.control.listen, front, self.clock, self.connections.listener
            )
            front.start = self.acceptor.start
        if (fleet := self.settings.fleet) is not None:
            from gorsefork.life.fleet import make_fleet_service

            folder = self.settings.state.folder if self.settings.state else ""
            control = self.acceptor.address if self.acceptor is not None else ""
            self.fleet_service = make_fleet_service(
                fleet,
                self.config.name,
                self.config.seed,
                folder,
                control,
                (self.settings.control.advertise or "") if self.settings.control else "",
                self.clock,
                self.log,
                self.fleet_changed,
            )
            self.replication.follow(self.fleet_service.control_peers)
            if self.settings.control is not None:
                from gorsefork.wire.fronts.fleet_calls import FleetCalls

                front.routes.update(FleetCalls(self.fleet_service).routes)

    def fleet_changed(self) -> None:
        """Those that the view sees are peers; the file's stay, as the way to them."""
        self.replication.view_changed()

    def set_up_usage(self, most_waiting: int, settings: i.Settings) -> None:
        given = self.settings.usage
        assert given is not None
        names = [plan.name for plan in settings.plans], [cls.name for cls in settings.classes]
        self.recorder = recorder = UsageRecorder(
            self.worker,
            self.clock,
            most_waiting,
            names,
            lambda: len(self.decision_actor.calls),
            self.suspend,
            lambda: exporter.recorded(),
        )
        at = AccountsSettings(
            given.accounts,
            given.path,
            given.form,
            given.batch,
            given.flush_ms * 1000,
            given.timeout_ms / 1000,
            self.bearer(self.accounts_key),
        )
        self.exporter = exporter = Exporter(
            at, self.worker, self.clock, self.log, self.config.seed, recorder.update_admission
        )
        self.decision_actor.usage_recorder = recorder

    @staticmethod
    def bearer(key: str) -> str:
        return f"Bearer {key}" if key else ""

    def terms_changed(self, customers: Iterable[str]) -> None:
        self.decision_actor.terms_changed(customers)

    def suspend(self, shut: bool, reason: str) -> None:
        self.log(
            f"calls are {'refused: ' + reason if shut else 'taken again'}",
            event="usage.suspended" if shut else "usage.resumed",
            reason=reason,
        )
        self.decision_actor.post(i.SuspendAdmission(shut))

    async def run(self) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.plan_service.run)
            nursery.start_soon(self.replication.run)
            if self.recorder is not None:
                nursery.start_soon(self.recorder.run)
            if self.exporter is not None:
                nursery.start_soon(self.export_until_the_end, self.exporter)
            if self.acceptor is not None:
                where = self.acceptor.address
                self.log(f"control listener on {where}", event="control.begun", listen=where)
                nursery.start_soon(self.acceptor.run)
            if self.fleet_service is not None:
                nursery.start_soon(self.fleet_service.run)

    async def export_until_the_end(self, exporter: Exporter) -> None:
        with self.export_scope:
            await exporter.run()

    async def catch_up(self) -> None:
        """Before this ingress is ready: what peers have that it missed, or say that it may lack some."""
        expects_peers = bool(self.replication.peers.states) or (
            self.fleet_service is not None and self.fleet_service.seeded
        )
        if self.settings.control is not None and expects_peers:
            await self.replication.catch_up(self.settings.control.catch_up_ms / 1000)

    async def finish(self) -> None:
        """The end of a drain: goodbye to the fleet, and this life's last number is told, if the accounts
        answer in time."""
        if self.fleet_service is not None:
            await self.fleet_service.say_goodbye()
        if self.exporter is None:
            return
        self.export_scope.cancel()
        await trio.lowlevel.checkpoint()
        try:
            await self.worker.run(self.worker.store.end)
        except UsageNotStored as error:
            self.log(
                f"the end of this life is told by the next: {error}",
                event="usage.end_unkept",
                reason=str(error),
            )
        with trio.move_on_after(FINAL_EXPORT_TIMEOUT_S):
            if self.exporter.shipping.state == "sending":  # cut off: that batch goes once more
                self.exporter.shipping.no_batch()
            await self.exporter.flush()

    def close(self) -> None:
        if self.fleet_service is not None:
            self.fleet_service.close()
        if self.database is not None:
            self.database.close()
        self.log.close()

    def export(self) -> None:
        if self.exporter is not None:
            self.exporter.export_now()

    def status(self) -> dict[str, Any]:
        now, book = self.clock.now, self.plan_service.book
        peers = self.replication.peers.status()
        return {
            "ingress": self.config.name,
            "life": str(self.worker.store.life),
            "ready": self.ready(),
            "up_s": round((now - self.started_at) / SECOND, 3),
            "book": {
                "changes": len(book),
                "digest": book.digest(),
                "newest": str(book.newest) if book.newest else None,
                "kept_on_disk": self.database is not None,
            },
            "peers": peers,
            "fellows": peers,  # the key by which the previous version told them
            "usage": self.usage(),
            "fleet": self.fleet_service.status() if self.fleet_service is not None else None,
        }

    def usage(self) -> dict[str, Any]:
        if self.recorder is None or self.exporter is None:
            return {"recording": False}
        shipping, recorder = self.exporter.shipping, self.recorder
        acknowledged = shipping.acknowledged_at
        return {
            "recording": True,
            "durable": self.database is not None,
            "life": str(self.worker.store.life),
            "recorded": recorder.recorded,
            "units": recorder.micro / MICRO_UNITS_PER_UNIT,
            "groups": recorder.groups,
            "waiting": self.worker.store.waiting(),
            "most_waiting": recorder.admission.max_waiting,
            "refusing_calls": recorder.admission.closed_reason,
            "state": shipping.state,
            "problem": shipping.problem,
            "acknowledged_s_ago": None
            if acknowledged is None
            else round((self.clock.now - acknowledged) / SECOND, 3),
        }
