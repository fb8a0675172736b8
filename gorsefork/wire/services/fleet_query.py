"""Asking the whole fleet what it holds: every member of the view, a few at a time, within a time for all."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any, NamedTuple
from urllib.parse import quote

import trio

from gorsefork.configuration.fleet_statements import digest_in_force, record_in_force
from gorsefork.configuration.messages import Place, Statement, StatementWanted
from gorsefork.wire.services.replication_transport import ExchangeFailed, OldVersionPeer, Transport

SURVEY_TIMEOUT_S = 5.0  # s for all; whoever has not answered by then counts as silent
ANSWER_TIMEOUT_S = 2.0  # s for one
UNKNOWN_DIGEST = bytes(8)


class Member(NamedTuple):
    """Another member of the fleet, and where its control listener is (or nothing)."""

    name: str
    address: str


@dataclass(frozen=True, slots=True)
class Question:
    """About the record in a place, by its number too; or, without them, about all that the asker holds."""

    own: Statement
    place: Place | None = None
    number: str = ""

    @property
    def places(self) -> list[Place]:
        return [] if self.place is None else [self.place]


@dataclass(slots=True)
class Survey:
    """What was answered, and why each silent member did not."""

    statements: dict[str, Statement] = field(default_factory=dict)
    problems: dict[str, str] = field(default_factory=dict)


async def in_force(transport: Transport, members: Iterable[Member], question: Question) -> dict[str, Any]:
    """Who of the whole fleet, the asker among them, has what is asked about; as operators are told it."""
    found = await survey(transport, members, question)
    found.statements[question.own.name] = question.own
    expected = (*found.statements, *found.problems)
    if question.place is None:
        answer = digest_in_force(expected, found.statements, question.own.digest)
    else:
        answer = record_in_force(expected, found.statements, 0)
    states = {"has": answer.has, "lacks": answer.lacks, "silent": answer.silent}
    rows = [
        {"ingress": name, "state": state, "reason": found.problems.get(name, "")}
        for state, names in states.items()
        for name in names
    ]
    rows.sort(key=lambda row: row["ingress"])
    return {"number": question.number, "everywhere": answer.everywhere, **states, "members": rows}


async def survey(transport: Transport, members: Iterable[Member], question: Question) -> Survey:
    """The statements of these members. One of the previous version states only whether it has that number."""
    found = Survey()

    async def ask(member: Member) -> None:
        try:
            found.statements[member.name] = await ask_member(transport, member, question)
        except ExchangeFailed as failed:
            found.problems[member.name] = str(failed)

    with trio.move_on_after(SURVEY_TIMEOUT_S):
        async with trio.open_nursery() as nursery:
            for member in members:
                found.problems[member.name] = f"did not answer within {SURVEY_TIMEOUT_S:g} s"
                nursery.start_soon(ask, member)
    for name in found.statements:
        del found.problems[name]
    return found


async def ask_member(transport: Transport, member: Member, question: Question) -> Statement:
    """``ExchangeFailed`` where nothing is to be had."""
    if not member.address:
        raise ExchangeFailed("has no control listener")
    try:
        messages = await transport.exchange(
            member.address, [StatementWanted(question.places)], ANSWER_TIMEOUT_S
        )
    except OldVersionPeer:
        return await ask_old_member(transport, member, question.number)
    for message in messages:
        if isinstance(message, Statement):
            return message
    raise ExchangeFailed(f"{member.address} stated nothing")


async def ask_old_member(transport: Transport, member: Member, number: str) -> Statement:
    if not number:
        raise ExchangeFailed(f"{member.address} is of an older version, which states no digest")
    path = f"/v1/changes/{quote(number, safe='@')}"
    answer = await transport.get(member.address, path, ANSWER_TIMEOUT_S)
    if answer.status not in (200, 404):
        raise ExchangeFailed(f"{member.address} answered {answer.status}")
    return Statement(member.name, 0, UNKNOWN_DIGEST, 0, 0, "", 0, 0, [answer.status == 200])
