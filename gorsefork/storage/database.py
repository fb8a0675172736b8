"""One ingress's state folder: a lock, and a SQLite database in WAL mode.

SQLite's write-ahead log is the log, its checkpoints are the snapshots; a transaction that was not committed
whole never happened, whatever a kill or a torn write left of it. ``sync`` says what a commit survives:
"normal" any end of the process, "full" the loss of power too, at the cost of an fsync for each.
"""

from __future__ import annotations

import fcntl
import os
import sqlite3
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Literal

from gorsefork.plans.bodies import UnreadableBody
from gorsefork.storage.faults import Fault, no_fault
from gorsefork.storage.migration import migrate_changes

APPLICATION = 0x676F7266  # "gorf": tells this program's files from others
FORMAT = 2
Sync = Literal["full", "normal"]
BUSY_MS = 1000
CHECKPOINT_PAGES = 2000  # of the log, from which SQLite writes them back: about 8 MB

RECORDS = """
CREATE TABLE records (
    leaf INTEGER, kind TEXT, key TEXT, stamp INTEGER, origin TEXT, author TEXT NOT NULL, body BLOB NOT NULL,
    PRIMARY KEY (leaf, kind, key, stamp, origin)
) WITHOUT ROWID
"""
SCHEMA = f"""
{RECORDS};
CREATE TABLE meta (key TEXT PRIMARY KEY, value TEXT NOT NULL) WITHOUT ROWID;
CREATE TABLE lives (
    life INTEGER PRIMARY KEY, acknowledged INTEGER NOT NULL DEFAULT 0,
    last INTEGER  -- its last number, once it is over
);
CREATE TABLE uses (
    life INTEGER, number INTEGER, customer TEXT NOT NULL, plan TEXT NOT NULL, class TEXT NOT NULL,
    micro INTEGER NOT NULL, at INTEGER NOT NULL, PRIMARY KEY (life, number)
) WITHOUT ROWID;
"""


class InvalidState(Exception):
    """A state folder that cannot be used; the text begins with the setting and says what to do."""


class WriteFailed(Exception):
    """A transaction that did not happen: the disk is full or failing."""


class Database:
    """Opened by one program at a time, used by one thread at a time.

    ``InvalidState``: the folder is not writable, in use, another ingress's, written by a newer version,
    damaged,
    or no state of this program. Nothing is changed then.
    """

    def __init__(self, folder: Path, ingress: str, sync: Sync = "full", fault: Fault = no_fault) -> None:
        self.folder, self.ingress, self.fault = folder, ingress, fault
        self.lock = self.locked(folder)
        try:
            self.sql = sqlite3.connect(
                folder / "state.db", timeout=BUSY_MS / 1000, isolation_level=None, check_same_thread=False
            )
            try:
                self.open(sync)
            except BaseException:
                self.sql.close()
                raise
        except sqlite3.DatabaseError as error:
            os.close(self.lock)
            raise InvalidState(
                f"state.folder: {folder / 'state.db'} cannot be read ({error}); "
                "move it away to begin anew, and keep it for what it holds"
            ) from None
        except BaseException:
            os.close(self.lock)
            raise

    @staticmethod
    def locked(folder: Path) -> int:
        """Guards against two programs on one folder: each would give out the other's numbers."""
        try:
            folder.mkdir(mode=0o700, exist_ok=True)
            lock = os.open(folder / "lock", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        except OSError as error:
            raise InvalidState(f"state.folder: {folder}: {error.strerror}") from None
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(lock)
            raise InvalidState(f"state.folder: {folder} is in use by another program") from None
        return lock

    def open(self, sync: Sync) -> None:
        file = self.folder / "state.db"
        application, version = self.pragma("application_id"), self.pragma("user_version")
        empty = not self.sql.execute("SELECT count(*) FROM sqlite_schema").fetchone()[0]
        if empty and application == 0:
            self.configure(sync)
            self.create()
        elif application != APPLICATION:
            raise InvalidState(f"state.folder: {file} is no state of this program")
        elif version > FORMAT:
            raise InvalidState(
                f"state.folder: {file} has format {version}, from a newer version; this one knows {FORMAT}"
            )
        else:
            self.configure(sync)
            if version < FORMAT:
                self.migrate()
        self.fault("open.created")
        if (damage := self.sql.execute("PRAGMA quick_check(1)").fetchone()[0]) != "ok":
            raise sqlite3.DatabaseError(damage)
        self.check_owner()
        self.fault("open.checked")

    def configure(self, sync: Sync) -> None:
        self.sql.execute("PRAGMA journal_mode = WAL")
        self.sql.execute(f"PRAGMA synchronous = {sync.upper()}")
        self.sql.execute(f"PRAGMA wal_autocheckpoint = {CHECKPOINT_PAGES}")

    def create(self) -> None:
        """In one transaction: a kill leaves an empty file, which is created once more."""
        self.sql.execute("BEGIN IMMEDIATE")
        for statement in SCHEMA.split(";\n"):
            if statement.strip():
                self.sql.execute(statement)
        self.sql.execute("INSERT INTO meta VALUES ('ingress', ?)", (self.ingress,))
        self.sql.execute(f"PRAGMA application_id = {APPLICATION}")
        self.sql.execute(f"PRAGMA user_version = {FORMAT}")
        self.sql.execute("COMMIT")

    def migrate(self) -> None:
        """From format 1, in one transaction: a kill or ``InvalidState`` leaves the folder as it was."""
        if (damage := self.sql.execute("PRAGMA quick_check(1)").fetchone()[0]) != "ok":
            raise sqlite3.DatabaseError(damage)
        self.check_owner()
        try:
            with self.transaction("migrate") as sql:
                sql.execute(RECORDS)
                migrate_changes(sql, self.fault)
                sql.execute(f"PRAGMA user_version = {FORMAT}")
        except UnreadableBody as error:
            raise InvalidState(f"state.folder: {self.folder}: a change cannot be read ({error})") from None

    def check_owner(self) -> None:
        owner = self.sql.execute("SELECT value FROM meta WHERE key = 'ingress'").fetchone()[0]
        if owner != self.ingress:
            raise InvalidState(
                f"state.folder: {self.folder} belongs to ingress {owner}, and this is {self.ingress}"
            )

    def pragma(self, name: str) -> int:
        return int(self.sql.execute(f"PRAGMA {name}").fetchone()[0])

    @contextmanager
    def transaction(self, name: str) -> Iterator[sqlite3.Connection]:
        """All of it or nothing; ``WriteFailed`` where the disk does not take it."""
        try:
            self.sql.execute("BEGIN IMMEDIATE")
            self.fault(f"{name}.begun")
            yield self.sql
            self.fault(f"{name}.written")
            self.sql.execute("COMMIT")
            self.fault(f"{name}.committed")
        except sqlite3.DatabaseError as error:
            self.roll_back()
            raise WriteFailed(str(error)) from None
        except BaseException:
            self.roll_back()
            raise

    def roll_back(self) -> None:
        if self.sql.in_transaction:
            self.sql.execute("ROLLBACK")

    def checkpoint(self) -> None:
        """Write the log back into the database and begin it anew."""
        self.fault("checkpoint.begun")
        self.sql.execute("PRAGMA wal_checkpoint(TRUNCATE)")
        self.fault("checkpoint.done")

    def close(self) -> None:
        self.sql.close()
        os.close(self.lock)
