"""What this process takes of the machine's memory, and what its allocator gives back."""

from __future__ import annotations

import ctypes
import gc
import os

PAGE_BYTES = os.sysconf("SC_PAGESIZE")
# mallopt(3)
M_TRIM_THRESHOLD, M_MMAP_THRESHOLD = -1, -3
TRIM_THRESHOLD_BYTES, MMAP_THRESHOLD_BYTES = 131_072, 49_152


def resident_bytes() -> int:
    """Resident memory now (proc(5), /proc/self/statm); 0 where this system does not tell."""
    try:
        with open("/proc/self/statm", encoding="ascii") as file:
            return int(file.read().split()[1]) * PAGE_BYTES
    except (OSError, ValueError, IndexError):
        return 0


def file_bytes(folder: str) -> int:
    """The bytes of the files in a folder that counts as memory; 0 where there is none."""
    if not folder:
        return 0
    size = 0
    for inner, _, names in os.walk(folder):  # a folder that is gone meanwhile is left out
        for name in names:
            try:
                size += os.lstat(os.path.join(inner, name)).st_size
            except OSError:  # gone meanwhile
                continue
    return size


def keep_little_free_memory() -> None:
    """Have the C library give large blocks back as they are freed; nothing where it can't be told."""
    mallopt = getattr(ctypes.CDLL(None), "mallopt", None)
    if mallopt is not None:
        mallopt(M_TRIM_THRESHOLD, TRIM_THRESHOLD_BYTES)
        mallopt(M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES)


def give_back_free_memory() -> None:
    """Collect cycles, and have the C library give back what it keeps (malloc_trim(3))."""
    gc.collect()
    trim = getattr(ctypes.CDLL(None), "malloc_trim", None)
    if trim is not None:
        trim(0)
