"""Assigns programs to partitions by hash."""

from __future__ import annotations

import xxhash


def partition_of(program: str, count: int) -> int:
    """Return the partition of a program, from 0 to ``count - 1``."""
    return xxhash.xxh64_intdigest(program.encode()) % count
