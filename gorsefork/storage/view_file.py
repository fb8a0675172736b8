"""What an ingress keeps of the fleet's view between two lives: addresses to try, its last life, its settings.

Nothing in it is taken for true of another: who is there is asked anew. Written whole beside the old one and
renamed.
"""

from __future__ import annotations

import os
from pathlib import Path
from typing import Annotated

import msgspec
from msgspec import Meta

MOST_DIALS = 512


class SavedView(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """``dials``: of members, as text. ``life``: the last one of this ingress. ``pace``: settings made in
    service."""

    ingress: str
    life: Annotated[int, Meta(ge=0)] = 0
    dials: Annotated[tuple[str, ...], Meta(max_length=MOST_DIALS)] = ()
    pace: dict[str, int] = {}


class UnusableViewFile(Exception):
    """A file that is there and cannot be used; the text says why."""


class ViewFile:
    def __init__(self, folder: Path, ingress: str) -> None:
        self.path, self.ingress = folder / "fleet.json", ingress

    def load(self) -> SavedView:
        """Empty where there is none; ``UnusableViewFile`` for one that is damaged or another ingress's."""
        try:
            kept = msgspec.json.decode(self.path.read_bytes(), type=SavedView)
        except FileNotFoundError:
            return SavedView(self.ingress)
        except (OSError, msgspec.DecodeError, UnicodeDecodeError) as error:
            raise UnusableViewFile(f"{self.path.name}: {error}") from None
        if kept.ingress != self.ingress:
            raise UnusableViewFile(f"{self.path.name}: is of ingress {kept.ingress!r}")
        return kept

    def save(self, kept: SavedView) -> None:
        """``OSError`` where the disk does not take it; the old file is then whole still."""
        beside = self.path.with_suffix(".new")
        with open(beside, "wb") as file:
            file.write(msgspec.json.encode(kept))
            file.flush()
            os.fsync(file.fileno())
        os.replace(beside, self.path)
