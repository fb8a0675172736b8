"""The in-memory core: calls, backend attempts, the backend registry, timers and the decision actor.

It does no network I/O.
"""
