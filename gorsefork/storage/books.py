"""The plan book on disk: its changes as they were made, and how far back it goes."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from gorsefork.plans.book import Book
from gorsefork.plans.changes import Change, Refused
from gorsefork.storage.database import BadState, Database


class DurableBook:
    """Keeps changes before they take effect. ``forget`` replaces them by a smaller book, in one step."""

    def __init__(self, database: Database) -> None:
        self.database = database

    def load(self) -> Book:
        """The book as it was last kept. ``BadState`` for a change that cannot be read."""
        sql = self.database.sql
        horizon = sql.execute("SELECT value FROM meta WHERE key = 'horizon'").fetchone()
        try:
            changes = [
                msgspec.msgpack.decode(body, type=Change)
                for (body,) in sql.execute("SELECT body FROM changes ORDER BY stamp, origin")
            ]
            return Book.replay(changes, int(horizon[0]) if horizon else 0)
        except (msgspec.DecodeError, Refused) as error:
            where = self.database.folder
            raise BadState(f"state.folder: {where}: a change cannot be read ({error})") from None

    def save(self, changes: Sequence[Change]) -> None:
        """One that is kept already stays as it is."""
        with self.database.transaction("book") as sql:
            sql.executemany(
                "INSERT OR IGNORE INTO changes VALUES (?, ?, ?)",
                [(change.stamp, change.origin, msgspec.msgpack.encode(change)) for change in changes],
            )

    def forget(self, book: Book) -> None:
        with self.database.transaction("forget") as sql:
            sql.execute("DELETE FROM changes")
            sql.executemany(
                "INSERT INTO changes VALUES (?, ?, ?)",
                [(change.stamp, change.origin, msgspec.msgpack.encode(change)) for change in book.history()],
            )
            sql.execute("INSERT OR REPLACE INTO meta VALUES ('horizon', ?)", (str(book.horizon),))
