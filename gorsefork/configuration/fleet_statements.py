"""What one ingress states of the configuration it holds, and what such statements say of a fleet."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import TYPE_CHECKING

from gorsefork.configuration.messages import Statement

if TYPE_CHECKING:
    from gorsefork.configuration.intake import IntakeFilter


def statement(name: str, life: int, intake: IntakeFilter, held: list[bool], now: int) -> Statement:
    """What is held here now. ``held``: of each record that was asked about, whether it is."""
    store = intake.store
    stamp, origin = store.newest
    age = max(0, now - intake.changed_at)
    return Statement(name, life, store.digest(), len(store), stamp, origin, store.horizon, age, held)


@dataclass(frozen=True, slots=True)
class FleetAnswer:
    """Whether something is in force in the whole fleet. Names in order."""

    has: tuple[str, ...]
    lacks: tuple[str, ...]
    silent: tuple[str, ...]  # expected, and did not answer

    @property
    def everywhere(self) -> bool:
        """Everyone who is expected answered and has it. Nobody's silence counts as a yes."""
        return bool(self.has) and not self.lacks and not self.silent


def record_in_force(expected: Iterable[str], statements: Mapping[str, Statement], number: int) -> FleetAnswer:
    """Who has one of the records that ``StatementWanted`` asked about, by its place there."""
    return sorted_out(expected, statements, lambda said: number < len(said.held) and said.held[number])


def digest_in_force(
    expected: Iterable[str], statements: Mapping[str, Statement], digest: bytes
) -> FleetAnswer:
    """Who holds exactly the records of this digest."""
    return sorted_out(expected, statements, lambda said: said.digest == digest)


def digests(statements: Mapping[str, Statement]) -> dict[bytes, tuple[str, ...]]:
    """Who holds which digest, that of the most first: one entry where the whole fleet holds the same."""
    names: dict[bytes, list[str]] = {}
    for name in sorted(statements):
        names.setdefault(statements[name].digest, []).append(name)
    ordered = sorted(names.items(), key=lambda item: (-len(item[1]), item[0]))
    return {digest: tuple(some) for digest, some in ordered}


def sorted_out(
    expected: Iterable[str], statements: Mapping[str, Statement], has: Callable[[Statement], bool]
) -> FleetAnswer:
    names = sorted({*expected, *statements})
    answered = [name for name in names if name in statements]
    return FleetAnswer(
        has=tuple(name for name in answered if has(statements[name])),
        lacks=tuple(name for name in answered if not has(statements[name])),
        silent=tuple(name for name in names if name not in statements),
    )
