"""The control listener's calls on the fleet's view; docs/operators/fleet-view.md lists them."""

from __future__ import annotations

from typing import Annotated, Any, Protocol

import msgspec
from msgspec import Meta

from gorsefork.fleet.facts import MOST_NAME
from gorsefork.plans.changes import Refused
from gorsefork.wire.fronts.control_request import ControlRequest, Routes, refuse_query

LONGEST_WAIT_MS = 20_000
MOST_WATCHERS = 16  # waiting at a time; more are answered at once


class Link(Protocol):
    """Who has the view."""

    def status(self) -> dict[str, Any]: ...
    def members(self) -> list[dict[str, Any]]: ...
    def forget(self, name: str) -> str: ...
    def change(self, body: bytes) -> str: ...
    def order(self, key: str) -> list[str]: ...
    async def events_after(self, number: int, wait: float) -> dict[str, Any]: ...


class Watch(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    after: Annotated[int, Meta(ge=0)] = 0
    wait_ms: Annotated[int, Meta(ge=0, le=LONGEST_WAIT_MS)] = 0


class Key(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    key: Annotated[str, Meta(min_length=1, max_length=200)]


class Forget(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    member: Annotated[str, Meta(min_length=1, max_length=MOST_NAME)]


class FleetCalls:
    def __init__(self, link: Link) -> None:
        self.link, self.watching = link, 0
        self.routes: Routes = {
            ("GET", "fleet"): self.status,
            ("GET", "fleet/members"): self.members,
            ("GET", "fleet/watch"): self.watch,
            ("GET", "fleet/order"): self.order,
            ("POST", "fleet/forget"): self.forget,
            ("PUT", "fleet/settings"): self.settings,
        }

    async def status(self, request: ControlRequest) -> Any:
        refuse_query(request)
        return self.link.status()

    async def members(self, request: ControlRequest) -> Any:
        refuse_query(request)
        return {"members": self.link.members(), **self.link.status()}

    async def watch(self, request: ControlRequest) -> Any:
        given = msgspec.convert(request.query, Watch, strict=False)
        wait = given.wait_ms / 1000 if self.watching < MOST_WATCHERS else 0.0
        self.watching += 1
        try:
            return await self.link.events_after(given.after, wait)
        finally:
            self.watching -= 1

    async def order(self, request: ControlRequest) -> Any:
        return {"members": self.link.order(msgspec.convert(request.query, Key).key)}

    async def forget(self, request: ControlRequest) -> Any:
        refuse_query(request)
        member = msgspec.json.decode(request.body, type=Forget).member
        if problem := self.link.forget(member):
            raise Refused(problem, 409)
        return {"members": self.link.members()}

    async def settings(self, request: ControlRequest) -> Any:
        refuse_query(request)
        if problem := self.link.change(request.body):
            raise Refused(problem)
        return self.link.status()
