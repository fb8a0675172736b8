"""Replicated records on disk, in the order of the store's leaves, and the horizon of what was forgotten."""

from __future__ import annotations

import sqlite3
from collections.abc import Iterator, Sequence
from itertools import groupby
from operator import itemgetter

import msgspec

from gorsefork.configuration.records import Record
from gorsefork.storage.database import Database, InvalidState
from gorsefork.storage.rows import SAVE, row_of

LOAD = """
SELECT kind, key, stamp, origin, author, body, leaf FROM records WHERE ? IN ('', kind)
ORDER BY leaf, kind, key, stamp, origin
"""
FORGET = "DELETE FROM records WHERE leaf = ? AND kind = ? AND key = ? AND stamp = ? AND origin = ?"


class DurableRecords:
    """Keeps records before they take effect. ``WriteFailed``: the disk did not take them, nothing is kept."""

    def __init__(self, database: Database) -> None:
        self.database = database

    @property
    def horizon(self) -> int:
        """Microseconds of Unix time; what is older and held no more has been forgotten."""
        found = self.database.sql.execute("SELECT value FROM meta WHERE key = 'horizon'").fetchone()
        return int(found[0]) if found else 0

    def leaves(self, kind: str = "") -> Iterator[tuple[int, list[Record]]]:
        """All records, or those of a kind, leaf by leaf as the store has them. ``InvalidState`` for what is
        no
        record."""
        rows = self.database.sql.execute(LOAD, (kind,))
        try:
            for leaf, group in groupby(rows, key=itemgetter(-1)):
                yield leaf, msgspec.convert(list(group), list[Record])  # the leaf is one field more
        except (msgspec.ValidationError, sqlite3.DatabaseError) as error:
            raise self.unreadable(str(error)) from None

    def unreadable(self, reason: str) -> InvalidState:
        return InvalidState(f"state.folder: {self.database.folder}: a change cannot be read ({reason})")

    def save(self, records: Sequence[Record]) -> None:
        """All or none. A record with the identity of one that is kept takes its place."""
        with self.database.transaction("records") as sql:
            sql.executemany(SAVE, [row_of(record) for record in records])

    def forget(self, records: Sequence[Record], horizon: int) -> None:
        """Delete these records, and remember the horizon, in one step."""
        with self.database.transaction("forget") as sql:
            sql.executemany(FORGET, [row_of(record)[:5] for record in records])
            sql.execute("INSERT OR REPLACE INTO meta VALUES ('horizon', ?)", (str(horizon),))
