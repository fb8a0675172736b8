"""Loads trio without the helper process that its import starts elsewhere.

To name threads trio asks for the pthread library by its name, and to find it the standard library runs
ldconfig, then gcc, then ld. The platform wants one process that starts no other, and refuses a fork. No
thread here has a name that anyone reads, and trio does without names where the library is not found.
"""

from __future__ import annotations

import ctypes.util


def load_trio() -> None:
    """To be called before anything else imports trio; it changes nothing once trio is loaded."""
    find = ctypes.util.find_library
    ctypes.util.find_library = lambda name: None
    try:
        import trio  # noqa: F401
    finally:
        ctypes.util.find_library = find
