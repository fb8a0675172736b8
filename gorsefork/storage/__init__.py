"""State that lasts: the plan book and use on SQLite. The only room that knows a disk."""
