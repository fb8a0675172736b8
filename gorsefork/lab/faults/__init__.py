"""Fault tests: real ``gorsefork`` processes whose system calls, clocks and peers fail by a seeded plan.

Nothing here is imported in service. ``shim`` makes the system calls of one process fail from outside of it.
"""
