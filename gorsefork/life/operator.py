"""The operator's TOML file for what the platform lacks: the control listener, state on disk, export of use.

Read whole before anything starts: every fault is told at once, each with its key. Absent, all of it is off.
"""

from __future__ import annotations

import os
import tomllib
from ipaddress import ip_address
from pathlib import Path
from typing import Annotated, Literal

from pydantic import AfterValidator, BaseModel, ConfigDict, Field, ValidationError, model_validator

from gorsefork.wire.stream import parse_address

MAX_PEERS = 500


class InvalidOperatorFile(Exception):
    """A file that cannot be used: a line a fault, each beginning with its key."""


def ip_and_port(text: str) -> str:
    try:
        parse_address(text)
    except ValueError:
        raise ValueError("must be an IP address and a port") from None
    return text


Dial = Annotated[str, AfterValidator(ip_and_port)]
Target = Annotated[str, Field(pattern=r"^/[!-~]*$", max_length=256)]


class Section(BaseModel):
    model_config = ConfigDict(extra="forbid", strict=True, frozen=True)


class Control(Section):
    """The listener for operators and peers. ``advertise``: where peers reach it, where that is not ``listen``
    with the host that ``[fleet]`` advertises."""

    listen: Dial
    advertise: Dial | None = None
    key_file: str = ""
    peers: list[Dial] = Field(default=[], max_length=MAX_PEERS)
    catch_up_ms: int = Field(default=3000, ge=0, le=60_000)

    @model_validator(mode="after")
    def guarded(self) -> Control:
        host, _ = parse_address(self.listen)
        if not ip_address(host).is_loopback and not self.key_file:
            raise ValueError("listen: off loopback a key_file is needed")
        if self.advertise is not None and ip_address(parse_address(self.advertise)[0]).is_unspecified:
            raise ValueError("advertise: names no address that peers can reach")
        if self.listen in self.peers or self.advertise in self.peers:
            raise ValueError("peers: names this listener itself")
        return self


class State(Section):
    """Where the plan book and use are kept. "normal" survives a kill, "full" the loss of power too."""

    folder: str = Field(min_length=1)
    sync: Literal["full", "normal"] = "full"


class Usage(Section):
    """The accounts' endpoint, and the bound on what waits for it."""

    accounts: Dial
    path: Target = "/v1/usage"
    form: Literal["ndjson", "msgpack"] = "ndjson"
    key_file: str = ""
    batch: int = Field(default=500, ge=1, le=10_000)
    flush_ms: int = Field(default=200, ge=1, le=60_000)
    timeout_ms: int = Field(default=3000, ge=50, le=60_000)
    most_waiting: int = Field(default=1_000_000, ge=100, le=100_000_000)


class Fleet(Section):
    """The fleet's own view. ``seeds``: where to ask for the others. ``advertise``: this ingress's host, and
    maybe its port, as others reach it, where that is not ``listen``."""

    listen: Dial
    site: str = Field(min_length=1, max_length=64)
    key_file: str = ""
    advertise: str = ""
    seeds: list[Dial] = Field(default=[], max_length=MAX_PEERS)
    zone: str = Field(default="", max_length=12)
    period_ms: int = Field(default=1000, ge=100, le=60_000)
    timeout_ms: int = Field(default=300, ge=20, le=30_000)
    quiet_ms: int = Field(default=3000, ge=0, le=600_000)
    keep_s: int = Field(default=3600, ge=10, le=7 * 86_400)

    def ported(self) -> bool:
        """Whether ``advertise`` names a port too: one that leads to ``listen``."""
        host, _, port = self.advertise.rpartition(":")
        return port.isdigit() and (":" not in host or host.endswith("]")) and bool(host)

    @model_validator(mode="after")
    def reachable(self) -> Fleet:
        host = ip_address(parse_address(self.listen)[0])
        if not host.is_loopback and not self.key_file:
            raise ValueError("listen: off loopback a key_file is needed")
        if host.is_unspecified and not self.advertise:
            raise ValueError("advertise: is needed where listen names no address of its own")
        if self.advertise:
            try:
                ip_address(parse_address(self.advertise)[0] if self.ported() else self.advertise)
            except ValueError:
                raise ValueError("advertise: must be an IP address, with a port or without") from None
        if self.timeout_ms > self.period_ms // 2:
            raise ValueError("timeout_ms: must be half of period_ms at the most")
        return self


class Logs(Section):
    form: Literal["json", "text"] = "json"


class Operator(Section):
    enabled: bool = True
    control: Control | None = None
    state: State | None = None
    usage: Usage | None = None
    fleet: Fleet | None = None
    log: Logs = Logs()


def read(text: str) -> Operator:
    """``InvalidOperatorFile`` tells all that is wrong with it."""
    try:
        return Operator.model_validate(tomllib.loads(text))
    except tomllib.TOMLDecodeError as error:
        raise InvalidOperatorFile(f"file: is not TOML ({error})") from None
    except ValidationError as error:
        raise InvalidOperatorFile("\n".join(describe_error(dict(each)) for each in error.errors())) from None


def describe_error(each: dict[str, object]) -> str:
    """One of pydantic's errors as our key and reason. The value stays out: it might be a secret."""
    where = each["loc"]
    assert isinstance(where, tuple)
    reason = str(each["msg"]).removeprefix("Value error, ")
    key, _, rest = reason.partition(": ")
    if each["type"] == "value_error" and rest and key.isidentifier():  # of a section as a whole
        where, reason = (*where, key), rest
    if each["type"] == "extra_forbidden":
        reason = "is not known"
    return f"{'.'.join(map(str, where)) or 'file'}: {reason}"


def load_at_start(path: Path) -> Operator | None:
    """The file that the program starts with; None where it says ``enabled = false``."""
    try:
        given = read(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        raise InvalidOperatorFile(f"file: {error}") from None
    return given if given.enabled else None


def read_secret(section: str, path: str) -> str:
    """The key in a file of its own; empty where none is named. Others must not be able to read it."""
    if not path:
        return ""
    try:
        if os.stat(path).st_mode & 0o077:
            raise InvalidOperatorFile(f"{section}.key_file: others may read it; chmod 600")
        value = Path(path).read_text(encoding="utf-8").strip()
    except OSError as error:
        raise InvalidOperatorFile(f"{section}.key_file: {error.strerror}") from None
    except UnicodeDecodeError:
        raise InvalidOperatorFile(f"{section}.key_file: is not text") from None
    if not 16 <= len(value) <= 256 or not value.isascii() or not value.isprintable() or " " in value:
        raise InvalidOperatorFile(
            f"{section}.key_file: must hold 16 to 256 printable characters without spaces"
        )
    return value
