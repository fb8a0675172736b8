"""A record as a row of the table ``records``. The leaf is the store's, so that its rows lie together."""

from __future__ import annotations

from gorsefork.configuration.records import Record
from gorsefork.configuration.store import leaf_of

Row = tuple[int, str, str, int, str, str, bytes]
SAVE = "INSERT OR REPLACE INTO records VALUES (?, ?, ?, ?, ?, ?, ?)"


def row_of(record: Record) -> Row:
    leaf = leaf_of(record.kind, record.key)
    return leaf, record.kind, record.key, record.stamp, record.origin, record.author, record.body
