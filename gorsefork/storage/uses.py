"""Uses that wait for the accounts, on disk: all lives that have something to tell still, and this one."""

from __future__ import annotations

import sqlite3
from collections.abc import Sequence

from gorsefork.storage.database import Database, WriteFailed
from gorsefork.usage.receipts import SentRange
from gorsefork.usage.records import Batch, Use
from gorsefork.usage.store import UsageNotStored


class DiskUsageStore:
    """A ``UsageStore``. At its start earlier lives get their end: what is kept of them is all there will
    be."""

    def __init__(self, database: Database, now: int) -> None:
        self.database = database
        with database.transaction("life") as sql:
            sql.execute("""UPDATE lives SET last = max(acknowledged, coalesce(
                (SELECT max(number) FROM uses WHERE uses.life = lives.life), 0)) WHERE last IS NULL""")
            sql.execute("DELETE FROM lives WHERE last = 0")  # nobody ever heard of those
            newest = sql.execute("SELECT value FROM meta WHERE key = 'life'").fetchone()
            # Guards against a life that comes twice: not by the time alone, for clocks step, nor by a count
            # alone, for a folder may be put back as it was.
            self.life = max(now, int(newest[0]) + 1 if newest else 1)
            sql.execute("INSERT OR REPLACE INTO meta VALUES ('life', ?)", (str(self.life),))
            sql.execute("INSERT INTO lives (life) VALUES (?)", (self.life,))
        self.highest_sent = 0  # of this life
        self.count = int(database.sql.execute("SELECT count(*) FROM uses").fetchone()[0])

    def append(self, uses: Sequence[Use]) -> None:
        rows = [(self.life, use.number, use.customer, use.plan, use.cls, use.micro, use.at) for use in uses]
        try:
            with self.database.transaction("append") as sql:
                sql.executemany("INSERT INTO uses VALUES (?, ?, ?, ?, ?, ?, ?)", rows)
        except WriteFailed as error:
            raise UsageNotStored(str(error)) from None
        self.count += len(rows)

    def batch(self, most: int) -> Batch | None:
        try:
            return self.oldest(most)
        except sqlite3.DatabaseError as error:
            raise UsageNotStored(str(error)) from None

    def oldest(self, most: int) -> Batch | None:
        sql = self.database.sql
        for life, acknowledged, last in sql.execute(
            "SELECT life, acknowledged, last FROM lives ORDER BY life"
        ).fetchall():
            rows = sql.execute(
                """SELECT number, customer, plan, class, micro, at FROM uses
                WHERE life = ? AND number > ? ORDER BY number LIMIT ?""",
                (life, acknowledged, most),
            ).fetchall()
            closed = last is not None and acknowledged + len(rows) >= last
            if rows or closed:
                uses = tuple(Use(*row) for row in rows)
                batch = Batch(self.database.ingress, life, acknowledged + 1, uses, acknowledged + 1, closed)
                if life == self.life:
                    self.highest_sent = max(self.highest_sent, batch.last)
                return batch
        return None

    def sent_range(self, life: int) -> SentRange:
        """Of an earlier life all that it recorded may have been sent: what was sent is not on disk."""
        if life == self.life:
            return SentRange(self.highest_sent, exact=True)
        try:
            row = self.database.sql.execute("SELECT last FROM lives WHERE life = ?", (life,)).fetchone()
        except sqlite3.DatabaseError as error:
            raise UsageNotStored(str(error)) from None
        return SentRange(int(row[0]) if row else 0, exact=False)

    def acknowledge(self, life: int, upto: int, closed: bool) -> None:
        """A life whose end the accounts know has nothing more to tell, and is forgotten."""
        try:
            with self.database.transaction("acknowledge") as sql:
                gone = sql.execute("DELETE FROM uses WHERE life = ? AND number <= ?", (life, upto)).rowcount
                sql.execute(
                    "UPDATE lives SET acknowledged = max(acknowledged, ?) WHERE life = ?", (upto, life)
                )
                if closed:
                    sql.execute("DELETE FROM lives WHERE life = ? AND acknowledged >= last", (life,))
        except WriteFailed as error:
            raise UsageNotStored(str(error)) from None
        self.count -= gone

    def probe(self) -> None:
        try:
            with self.database.transaction("probe") as sql:
                sql.execute("INSERT OR REPLACE INTO meta VALUES ('probe', randomblob(512))")
        except WriteFailed as error:
            raise UsageNotStored(str(error)) from None

    def waiting(self) -> int:
        return self.count

    def end(self) -> None:
        try:
            with self.database.transaction("end") as sql:
                sql.execute(
                    """UPDATE lives SET last = max(acknowledged, coalesce(
                    (SELECT max(number) FROM uses WHERE life = ?1), 0)) WHERE life = ?1""",
                    (self.life,),
                )
        except WriteFailed as error:
            raise UsageNotStored(str(error)) from None
