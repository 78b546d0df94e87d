"""Settings of the C library's allocator, so that memory of ended requests is given back."""

from __future__ import annotations

import ctypes

#: Parameters of glibc's ``mallopt``.
_M_TRIM_THRESHOLD = -1
_M_MMAP_THRESHOLD = -3

#: Blocks of this size and more are mapped by themselves and unmapped when they are freed. By
#: default this grows to 32 MB with the blocks that are freed, and bodies stay in the heap.
_MMAP_THRESHOLD_BYTES = 524_288
_TRIM_THRESHOLD_BYTES = 1_048_576

_libc = ctypes.CDLL(None)


def set_up() -> None:
    """Configure the allocator; other C libraries than glibc have nothing to configure."""
    if hasattr(_libc, "mallopt"):
        _libc.mallopt(_M_MMAP_THRESHOLD, _MMAP_THRESHOLD_BYTES)
        _libc.mallopt(_M_TRIM_THRESHOLD, _TRIM_THRESHOLD_BYTES)


def trim() -> None:
    """Give free memory inside the heap back to the system."""
    if hasattr(_libc, "malloc_trim"):
        _libc.malloc_trim(0)
