"""Decodes JSON from outside into plain values that every later holder can carry.

A decoded value may still be too deep, too large or no text for a message between nodes, a record, a
log line or an answer. These bounds are below those of all of them (``docs/design/platform.md``).
"""

from __future__ import annotations

import json
import math
from typing import Any

MAX_DEPTH = 200
"""Objects and arrays within each other."""
MIN_INTEGER = -(2**63)
MAX_INTEGER = 2**64 - 1
CONTAINERS = (dict, list)
NUMBERS = (int, float)


class JsonInputError(ValueError):
    """Text that isn't JSON, or a value out of bounds."""


def decode_json(data: bytes | str) -> Any:
    """Return the value of a JSON document.

    :raises JsonInputError: if it is no JSON, or out of bounds.
    """
    try:
        value = json.loads(data)
    except ValueError as error:
        raise JsonInputError(f"{type(error).__name__}: {error}") from error
    except RecursionError as error:
        raise JsonInputError("nested too deeply") from error
    excess = find_excess(value)
    if excess:
        raise JsonInputError(excess)
    return value


def find_excess(value: Any) -> str:
    """Return in which way a decoded value is out of bounds; empty if it is within them.

    The value is walked level by level: its depth has no bound yet.
    """
    level = [value]
    depth = 0
    while level:
        inner: list[Any] = []
        for item in level:
            if isinstance(item, str):
                if not item.isascii() and not _is_utf8(item):
                    return "text that UTF-8 can't encode"
            elif isinstance(item, CONTAINERS):
                if depth == MAX_DEPTH:
                    return f"nested over {MAX_DEPTH} levels deep"
                inner += item
                if isinstance(item, dict):
                    inner += item.values()
            elif item is not None and not _is_number_within_bounds(item):
                return _describe(item)
        level = inner
        depth += 1
    return ""


def _is_number_within_bounds(value: Any) -> bool:
    if isinstance(value, int):
        return MIN_INTEGER <= value <= MAX_INTEGER
    return isinstance(value, float) and math.isfinite(value)


def _describe(value: Any) -> str:
    if isinstance(value, NUMBERS):
        return "a number that isn't finite, or an integer over 64 bits"
    return str(value)


def _is_utf8(text: str) -> bool:
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True
