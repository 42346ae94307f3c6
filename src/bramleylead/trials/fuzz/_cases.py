"""One input of the fuzzer, and the file that keeps it so that it can be played again."""

from __future__ import annotations

import json
from base64 import b64decode
from base64 import b64encode
from enum import StrEnum
from pathlib import Path
from typing import Any
from typing import NamedTuple

SMUGGLED = "smuggled"
"""Ids of requests that stand inside other requests begin with it: none of them may run."""


class TargetKind(StrEnum):
    """Where input arrives."""

    CALLERS = "callers"
    PEERS = "peers"
    REPLICAS = "replicas"
    STORE = "store"
    METRICS = "metrics"


class Case(NamedTuple):
    """One input.

    :param role: the process that gets it: gateway or ledger.
    :param name: what is odd about it.
    :param parts: the bytes, in the pieces in which they are sent.
    :param asked: ids of the requests that a replica may get for it.
    :param handshake: whether a node's handshake comes before the bytes.
    :param path: the path of the request that is answered with the bytes, or whose answer they
        replace in the store.
    """

    target: TargetKind
    role: str
    name: str
    parts: tuple[bytes, ...]
    asked: tuple[str, ...] = ()
    handshake: bool = False
    path: str = ""


def write_case(case: Case, file: Path) -> None:
    """Keep a case in a file."""
    plain = {**case._asdict(), "parts": [b64encode(part).decode() for part in case.parts]}
    file.write_text(json.dumps(plain, indent=1) + "\n")


def read_case(file: Path) -> Case:
    """Read a case that :func:`write_case` has written.

    :raises ValueError: if the file holds none.
    """
    plain: dict[str, Any] = json.loads(file.read_text())
    parts = tuple(b64decode(part) for part in plain["parts"])
    made = {**plain, "parts": parts, "asked": tuple(plain["asked"])}
    return Case(**{**made, "target": TargetKind(plain["target"])})
