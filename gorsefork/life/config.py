"""The platform's configuration: ``PROXY_CONFIG`` names a JSON file; other variables stand in for keys."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from gorsefork.decisions import interface as i
from gorsefork.settings import to_settings
from gorsefork.wire.stream import parse_address

# What a value of another shape or beyond all bounds comes to where it is read.
INVALID_VALUE_ERRORS = (KeyError, TypeError, AttributeError, ValueError, OverflowError)


class InvalidConfig(Exception):
    """A configuration that cannot be used; the text names the key."""


@dataclass(frozen=True, slots=True)
class Config:
    name: str
    listen: str
    discovery: str
    seed: int
    settings: i.Settings
    sites: tuple[str, ...]
    kinds: tuple[str, ...]
    known: Mapping[str, Any]
    counter: str = ""
    peer_listen: str = ""
    peers: tuple[str, ...] = ()
    peers_all: str = ""
    sockets: int = 1024
    ops: str = ""  # the operators' address
    scratch: str = ""  # a folder that this ingress's processes share while its version changes
    listen_fd: int | None = None  # the clients' socket, where the platform holds it for all processes
    memory_mb: int = 0  # the limit of all processes of this ingress; 0: none is told


def read_config(env: Mapping[str, str]) -> Config:
    raw: dict[str, Any] = {}
    if path := env.get("PROXY_CONFIG"):
        try:
            with open(path, encoding="utf-8") as file:
                raw = json.load(file)
        except (OSError, ValueError, RecursionError) as error:
            raise InvalidConfig(f"PROXY_CONFIG: {error}") from None
    if not isinstance(raw, dict):
        raise InvalidConfig(f"PROXY_CONFIG: an object is wanted, not {type(raw).__name__}")
    for key in ("name", "listen", "discovery"):
        raw.setdefault(key, env.get(f"PROXY_{key.upper()}", ""))
    if ops := env.get("PROXY_OPS"):
        raw["ops"] = ops  # each process has its own: the variable is this one's, the file may be older
    fd = env.get("PROXY_FD", "")
    if fd and not (fd.isascii() and fd.isdigit() and int(fd) > 2):
        raise InvalidConfig(f"PROXY_FD: {fd!r} is no descriptor")
    for key in ("listen", "discovery", "settings"):
        if not raw.get(key):
            raise InvalidConfig(f"{key} is missing")
    try:
        settings = to_settings(raw["settings"])
        i.validate_settings(settings)
    except INVALID_VALUE_ERRORS as error:
        raise InvalidConfig(f"settings: {type(error).__name__}: {error}") from None
    given = raw["settings"]
    try:
        for key in ("listen", "discovery", "counter", "peer_listen", "peers_all", "ops"):
            if raw.get(key):
                parse_address(raw[key])
        for peer in raw.get("peers") or ():
            parse_address(peer)
        return Config(
            raw["name"],
            raw["listen"],
            raw["discovery"],
            int(str(raw.get("seed") or "0"), 16),
            settings,
            tuple(given.get("failureDomains", ())),
            tuple(given.get("machineTypes", ())),
            raw.get("known") or {"seq": 0, "whole": True, "hosts": []},
            raw.get("counter") or "",
            raw.get("peer_listen") or "",
            tuple(raw.get("peers") or ()),
            raw.get("peers_all") or "",
            int(raw.get("limits", {}).get("sockets", 1024)),
            raw.get("ops") or "",
            env.get("TMPDIR", "") if fd else "",
            int(fd) if fd else None,
            int(raw.get("limits", {}).get("memory_mb", 0)),
        )
    except INVALID_VALUE_ERRORS as error:
        raise InvalidConfig(f"{type(error).__name__}: {error}") from None
