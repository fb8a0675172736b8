"""The fleet's view of this ingress, put together from the operator's file and what the last life kept."""

from __future__ import annotations

import random
from collections.abc import Callable
from functools import partial
from pathlib import Path

import msgspec
import trio

from gorsefork.fleet.facts import MOST_NAME, Card, packed
from gorsefork.fleet.membership import SECOND, Membership, Pace
from gorsefork.fleet.messages import Codec
from gorsefork.life.operator import BadOperatorFile, Fleet, secret
from gorsefork.memory.clock import Clock
from gorsefork.memory.ports import Log
from gorsefork.storage.view_file import Kept, Unusable, ViewFile
from gorsefork.wire.services.fleet_link import FleetLink, Settings, bound, named, paced
from gorsefork.wire.stream import address


class ViewFileStorage:
    """The view's file, written away from the loop."""

    def __init__(self, file: ViewFile) -> None:
        self.file = file

    async def save(self, life: int, dials: tuple[str, ...], pace: dict[str, int]) -> None:
        kept = Kept(self.file.ingress, life, dials, pace)
        await trio.to_thread.run_sync(partial(self.file.save, kept))


def fleet_link(
    given: Fleet,
    name: str,
    seed: int,
    folder: str,
    control: str,
    control_advertised: str,
    clock: Clock,
    log: Log,
    changed: Callable[[], None],
) -> FleetLink:
    """``control``: where this ingress's control listener is, or nothing; ``control_advertised``: where peers
    reach it, or nothing for the advertised host of the fleet. ``BadOperatorFile`` where the name, the key or
    the address can't be used; what the last life kept and can't be read is said and passed over."""
    if not 0 < len(name) <= MOST_NAME:
        raise BadOperatorFile(f"fleet: the ingress's name must have 1 to {MOST_NAME} characters")
    key = secret("fleet", given.key_file).encode()
    file = ViewFile(Path(folder), name) if folder else None
    kept, settings = Kept(name), Settings()
    try:
        if file is not None:
            kept = file.load()
            settings = msgspec.convert(kept.pace, Settings)
    except (Unusable, msgspec.ValidationError) as error:
        log(
            f"what the last life knew of the fleet is not used: {error}",
            event="fleet.unread",
            reason=str(error),
        )
    pace = Pace(given.period_ms * 1000, given.timeout_ms * 1000, given.quiet_ms * 1000, given.keep_s * SECOND)
    try:
        pace = paced(pace, settings)
    except ValueError as error:
        log(f"settings of the last life are not used: {error}", event="fleet.unread", reason=str(error))
        settings = Settings()
    try:
        sock = bound(*address(given.listen))
    except OSError as error:
        raise BadOperatorFile(f"fleet.listen: {given.listen}: {error.strerror}") from None
    rng = random.Random(f"{seed}{clock.unix_us()}")
    seeds = [packed(dial) for dial in dict.fromkeys((*given.seeds, *(d for d in kept.dials if dialable(d))))]
    host = address(given.advertise)[0] if given.ported() else given.advertise
    dial = given.advertise if given.ported() else reached(named(sock), host)
    if control:
        control = control_advertised or reached(control, host)
    card = Card(packed(dial), packed(control) if control else b"", given.zone)
    core = Membership(
        name,
        max(clock.unix_us(), kept.life + 1),
        card,
        Codec(given.site, key),
        pace,
        rng,
        clock.now,
        seeds,
        clock.unix_offset,
    )
    storage = ViewFileStorage(file) if file is not None else None
    return FleetLink(core, sock, clock, log, storage, changed, settings, seeded=bool(seeds))


def dialable(dial: str) -> bool:
    try:
        packed(dial)
    except ValueError:
        return False
    return True


def reached(where: str, host: str) -> str:
    """The address as others reach it."""
    if not host:
        return where
    port = address(where)[1]
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
