"""Breaks a valid value in one place; all draws come from the generator that is handed down."""

from __future__ import annotations

import json
import random
from typing import Any

MAX_PIECES = 6
DEEP = 700
MANY_DIGITS = "9" * 4_901
ODD_TEXTS = (
    "",
    " ",
    "-1",
    "+5",
    "0",
    "1e999",
    "nan",
    "inf",
    str(2**63),
    str(2**64),
    "\u00b2",
    "\u00ff\u00fe",
    "1,2,3,4",
    ",,,,",
    "a:b,c:9",
    "9" * 5_000,
    "10.0.0.1:65536",
    "x" * 20_000,
)
ODD_VALUES: tuple[Any, ...] = (
    None,
    True,
    -1,
    0,
    2**31,
    2**63,
    2**64 - 1,
    -(2**63),
    1e308,
    float("inf"),
    float("nan"),
    "",
    "\u00b2",
    "x" * 70_000,
    b"\xff\xfe",
    [],
    [[]],
    {},
    {"a": {}},
)


def split(data: bytes, rng: random.Random) -> tuple[bytes, ...]:
    """Split bytes at up to some places, which may fall anywhere."""
    cuts = sorted(rng.randrange(len(data) + 1) for _ in range(rng.randrange(MAX_PIECES)))
    ends = zip([0, *cuts], [*cuts, len(data)], strict=True)
    return tuple(data[start:end] for start, end in ends if start < end)


def damage(data: bytes, rng: random.Random) -> bytes:
    """Return bytes that are changed, cut, doubled or extended in one place."""
    place = rng.randrange(len(data) + 1)
    change = rng.randrange(5)
    if change == 0:
        return data[:place]
    if change == 1:
        return data[:place] + rng.randbytes(rng.randrange(1, 9)) + data[place:]
    if change == 2:
        return data[:place] + rng.randbytes(1) + data[place + 1 :]
    if change == 3:
        return data[:place] + data[place + rng.randrange(1, 20) :]
    return data[:place] + data[max(0, place - 20) : place] + data[place:]


def odd_json(rng: random.Random) -> str:
    """Return a JSON text that some reader refuses, or a value of an unusual type."""
    return rng.choice(
        (
            "[" * DEEP + "]" * DEEP,
            MANY_DIGITS,
            "1e999",
            '"\\ud800"',
            "NaN",
            "null",
            "-1",
            str(2**64),
            "[]",
            "{}",
            "true",
            '""',
            json.dumps("x" * 30_000),
            '{"a":1,"a":2}',
        )
    )


def odd_value(rng: random.Random) -> Any:
    """Return a value that no field expects, among those that msgpack carries."""
    return rng.choice(ODD_VALUES)
