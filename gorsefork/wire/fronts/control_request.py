"""What the calls of the control listener share: a request taken apart, and how one is refused."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass
from typing import Any

import msgspec

from gorsefork.memory.call import DeniedAnswer
from gorsefork.plans.changes import ChangeRefused

JSON, MSGPACK = "application/json", "application/msgpack"


@dataclass(frozen=True, slots=True)
class ControlRequest:
    """One request, taken apart. ``peer``: the ingress that says it asks, or nothing."""

    query: Mapping[str, str]
    body: bytes
    key: str
    accept: str
    peer: str


Handler = Callable[..., Awaitable[Any]]  # of a ControlRequest, and of the path's last part where it varies
Routes = dict[tuple[str, str], Handler]  # by method and path below /v1; a last part that varies is "*"


def reject_query(request: ControlRequest) -> None:
    """For calls that take no parameters; ``ChangeRefused`` names the first that was given."""
    if request.query:
        raise ChangeRefused(f"{next(iter(request.query))}: is not known here", 400)


def error_answer(status: int, reason: str, *headers: tuple[str, str]) -> DeniedAnswer:
    body = msgspec.json.encode({"error": reason})
    return DeniedAnswer(status, (("Content-Type", JSON), *headers), body)
