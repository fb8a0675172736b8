"""What a folder of format 1 held of the plan book, carried over into records."""

from __future__ import annotations

import sqlite3

import msgspec

from gorsefork.configuration.records import Record
from gorsefork.plans.bodies import UnreadableBody, encode_body
from gorsefork.plans.changes import Change
from gorsefork.storage.faults import Fault
from gorsefork.storage.rows import SAVE, row_of

PLAN = "plan"  # the kind of record that a change becomes


def migrate_changes(sql: sqlite3.Connection, fault: Fault) -> None:
    """Within the caller's transaction: every row of ``changes`` becomes a record, and the table goes.

    ``UnreadableBody`` for a change that cannot be read; the caller rolls back, and the folder stays as it
    was.
    """
    rows = sql.execute("SELECT body FROM changes ORDER BY stamp, origin")
    for (body,) in rows:
        sql.execute(SAVE, row_of(record_of(body)))
        fault("migrate.row")
    sql.execute("DROP TABLE changes")
    fault("migrate.dropped")


def record_of(body: bytes) -> Record:
    try:
        change = msgspec.msgpack.decode(body, type=Change)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise UnreadableBody(str(error)) from None
    return Record(
        PLAN, change.customer or "", change.stamp, change.origin, change.author, encode_body(change)
    )
