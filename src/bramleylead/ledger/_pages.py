"""Bounds on the size of the messages that carry what a ledger node holds."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from typing import TypeVar

from bramleylead.ledger._records import KeptTurn
from bramleylead.ledger._records import Record

PAGE_BYTES = 1_000_000
"""A quarter of a frame: on a link of 15 Mbit/s a page takes half a second."""
OVERHEAD_BYTES = 64
"""Of the fields of one record that have a bounded length."""

_T = TypeVar("_T")


def record_bytes(record: Record) -> int:
    """Return about how many bytes a record takes in a message, and at least its content's."""
    size = OVERHEAD_BYTES + len(record.program) + len(record.entry)
    if isinstance(record, KeptTurn):
        size += len(record.turn) + len(record.previous)
        size += len(record.new_input) + len(record.event_data)
    else:
        size += len(record.software.service) + len(record.software.version)
    return size


def first_page(items: Iterable[_T], size_of: Callable[[_T], int]) -> list[_T]:
    """Return the first items that together take a page at most; one item at least if there is any.

    :param size_of: returns the size of an item in bytes.
    """
    page: list[_T] = []
    size = 0
    for item in items:
        size += size_of(item)
        if page and size > PAGE_BYTES:
            break
        page.append(item)
    return page
