"""The control listener's calls on the fleet's view; docs/operators/fleet-view.md lists them."""

from __future__ import annotations

from typing import Annotated, Any, Protocol

import msgspec
from msgspec import Meta

from gorsefork.fleet.facts import MAX_NAME_LENGTH
from gorsefork.plans.changes import ChangeRefused
from gorsefork.wire.fronts.control_request import ControlRequest, Routes, reject_query

MAX_WAIT_MS = 20_000
MAX_WATCHERS = 16  # waiting at a time; more are answered at once


class FleetView(Protocol):
    """Who has the view."""

    def status(self) -> dict[str, Any]: ...
    def members(self) -> list[dict[str, Any]]: ...
    def forget(self, name: str) -> str: ...
    def change_settings(self, body: bytes) -> str: ...
    def order(self, key: str) -> list[str]: ...
    async def events_after(self, number: int, wait: float) -> dict[str, Any]: ...


class WatchQuery(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    after: Annotated[int, Meta(ge=0)] = 0
    wait_ms: Annotated[int, Meta(ge=0, le=MAX_WAIT_MS)] = 0


class OrderQuery(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    key: Annotated[str, Meta(min_length=1, max_length=200)]


class ForgetRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    member: Annotated[str, Meta(min_length=1, max_length=MAX_NAME_LENGTH)]


class FleetCalls:
    def __init__(self, link: FleetView) -> None:
        self.view, self.watching = link, 0
        self.routes: Routes = {
            ("GET", "fleet"): self.status,
            ("GET", "fleet/members"): self.members,
            ("GET", "fleet/watch"): self.watch,
            ("GET", "fleet/order"): self.order,
            ("POST", "fleet/forget"): self.forget,
            ("PUT", "fleet/settings"): self.settings,
        }

    async def status(self, request: ControlRequest) -> Any:
        reject_query(request)
        return self.view.status()

    async def members(self, request: ControlRequest) -> Any:
        reject_query(request)
        return {"members": self.view.members(), **self.view.status()}

    async def watch(self, request: ControlRequest) -> Any:
        given = msgspec.convert(request.query, WatchQuery, strict=False)
        wait = given.wait_ms / 1000 if self.watching < MAX_WATCHERS else 0.0
        self.watching += 1
        try:
            return await self.view.events_after(given.after, wait)
        finally:
            self.watching -= 1

    async def order(self, request: ControlRequest) -> Any:
        return {"members": self.view.order(msgspec.convert(request.query, OrderQuery).key)}

    async def forget(self, request: ControlRequest) -> Any:
        reject_query(request)
        member = msgspec.json.decode(request.body, type=ForgetRequest).member
        if problem := self.view.forget(member):
            raise ChangeRefused(problem, 409)
        return {"members": self.view.members()}

    async def settings(self, request: ControlRequest) -> Any:
        reject_query(request)
        if problem := self.view.change_settings(request.body):
            raise ChangeRefused(problem)
        return self.view.status()
