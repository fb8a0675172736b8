"""The fleet's view of this ingress, put together from the operator's file and what the last life kept."""

from __future__ import annotations

import random
from collections.abc import Callable
from functools import partial
from pathlib import Path

import msgspec
import trio

from gorsefork.fleet.facts import MAX_NAME_LENGTH, Card, pack_address
from gorsefork.fleet.membership import SECOND, Membership, Timings
from gorsefork.fleet.messages import Codec
from gorsefork.life.operator import Fleet, InvalidOperatorFile, read_secret
from gorsefork.memory.clock import Clock
from gorsefork.memory.ports import Log
from gorsefork.storage.view_file import SavedView, UnusableViewFile, ViewFile
from gorsefork.wire.services.fleet_service import (
    FleetService,
    FleetSettings,
    apply_settings,
    bind_socket,
    socket_address,
)
from gorsefork.wire.stream import parse_address


class ViewFileStorage:
    """The view's file, written away from the loop."""

    def __init__(self, file: ViewFile) -> None:
        self.file = file

    async def save(self, life: int, dials: tuple[str, ...], pace: dict[str, int]) -> None:
        kept = SavedView(self.file.ingress, life, dials, pace)
        await trio.to_thread.run_sync(partial(self.file.save, kept))


def make_fleet_service(
    given: Fleet,
    name: str,
    seed: int,
    folder: str,
    control: str,
    control_advertised: str,
    clock: Clock,
    log: Log,
    changed: Callable[[], None],
) -> FleetService:
    """``control``: where this ingress's control listener is, or nothing; ``control_advertised``: where peers
    reach it, or nothing for the advertised host of the fleet. ``InvalidOperatorFile`` where the name, the
    key or
    the address can't be used; what the last life kept and can't be read is said and passed over."""
    if not 0 < len(name) <= MAX_NAME_LENGTH:
        raise InvalidOperatorFile(f"fleet: the ingress's name must have 1 to {MAX_NAME_LENGTH} characters")
    key = read_secret("fleet", given.key_file).encode()
    file = ViewFile(Path(folder), name) if folder else None
    kept, settings = SavedView(name), FleetSettings()
    try:
        if file is not None:
            kept = file.load()
            settings = msgspec.convert(kept.pace, FleetSettings)
    except (UnusableViewFile, msgspec.ValidationError) as error:
        log(
            f"what the last life knew of the fleet is not used: {error}",
            event="fleet.unread",
            reason=str(error),
        )
    pace = Timings(
        given.period_ms * 1000, given.timeout_ms * 1000, given.quiet_ms * 1000, given.keep_s * SECOND
    )
    try:
        pace = apply_settings(pace, settings)
    except ValueError as error:
        log(f"settings of the last life are not used: {error}", event="fleet.unread", reason=str(error))
        settings = FleetSettings()
    try:
        sock = bind_socket(*parse_address(given.listen))
    except OSError as error:
        raise InvalidOperatorFile(f"fleet.listen: {given.listen}: {error.strerror}") from None
    rng = random.Random(f"{seed}{clock.unix_us()}")
    seeds = [
        pack_address(dial)
        for dial in dict.fromkeys((*given.seeds, *(d for d in kept.dials if is_address(d))))
    ]
    host = parse_address(given.advertise)[0] if given.ported() else given.advertise
    dial = given.advertise if given.ported() else advertised_address(socket_address(sock), host)
    if control:
        control = control_advertised or advertised_address(control, host)
    card = Card(pack_address(dial), pack_address(control) if control else b"", given.zone)
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
    return FleetService(core, sock, clock, log, storage, changed, settings, seeded=bool(seeds))


def is_address(dial: str) -> bool:
    try:
        pack_address(dial)
    except ValueError:
        return False
    return True


def advertised_address(where: str, host: str) -> str:
    """The address as others reach it."""
    if not host:
        return where
    port = parse_address(where)[1]
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"
