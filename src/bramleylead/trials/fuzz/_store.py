"""Answers of the store and entries of other writers: those that a reader must do without."""

from __future__ import annotations

import json
import random
from collections.abc import Callable

from bramleylead.platform import _names as names
from bramleylead.platform._encode import write_replica
from bramleylead.platform._types import Replica
from bramleylead.trials.fuzz._breaking import odd_json
from bramleylead.trials.fuzz._breaking import split
from bramleylead.trials.fuzz._cases import Case
from bramleylead.trials.fuzz._cases import TargetKind

KINDS = (names.CONFIGURATION_KIND, names.REPLICA_KIND, names.RETIREMENT_KIND, "ledger")
ENTRY = write_replica(Replica("odd", "odd", "10.0.0.1:7", "d", False, 8))
PLACE = "@odd@"
TOP_FIELDS = ("items", "has-more", "as-of", "events")
ENTRY_PATH = "entry"
ODD_NAMES = ("odd entry", "odd/..", "odd\u00e9", "odd" * 200, "odd%2f", "odd\n")
STATUSES = ("200 OK", "204 No", "301 Moved", "400 Bad", "404 No", "410 Gone", "500 No", "abc x")


class StoreCases:
    """Draws the cases of the store: entries, and answers to the next call on a kind.

    An answer that is well formed and untrue is no case: nobody can tell it from a true one.

    :param rng: draws all of them.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._makers: tuple[Callable[[], Case], ...] = (
            self._entry,
            self._entry_field,
            self._body,
            self._top_field,
            self._cut,
            self._noise,
        )

    def draw(self) -> Case:
        """Return the next case."""
        return self._rng.choice(self._makers)()

    def _entry(self) -> Case:
        return self._entry_case("entry", odd_json(self._rng))

    def _entry_field(self) -> Case:
        field = self._rng.choice(sorted(ENTRY))
        text = json.dumps({**ENTRY, field: PLACE})
        return self._entry_case(f"entry's {field}", text.replace(f'"{PLACE}"', odd_json(self._rng)))

    def _body(self) -> Case:
        return self._answer("body", odd_json(self._rng).encode())

    def _top_field(self) -> Case:
        field = self._rng.choice(TOP_FIELDS)
        page = {"items": [], "events": [], "has-more": False, "as-of": "x", field: PLACE}
        text = json.dumps(page).replace(f'"{PLACE}"', odd_json(self._rng))
        return self._answer(f"page's {field}", text.encode())

    def _cut(self) -> Case:
        return self._answer("cut", b'{"items": [], "has-more": fal', more_bytes=100)

    def _noise(self) -> Case:
        data = self._rng.randbytes(self._rng.randrange(1, 200))
        return self._case("noise", self._kind(), data)

    def _answer(self, name: str, body: bytes, *, more_bytes: int = 0) -> Case:
        status = self._rng.choice(STATUSES) if self._rng.random() < 0.3 else STATUSES[0]
        head = f"HTTP/1.1 {status}\r\ncontent-length: {len(body) + more_bytes}\r\n\r\n"
        return self._case(name, self._kind(), head.encode() + body)

    def _entry_case(self, name: str, text: str) -> Case:
        found = f"{ENTRY_PATH}/{self._rng.choice(ODD_NAMES)}"
        return Case(TargetKind.STORE, "gateway", name, (text.encode(),), path=found)

    def _kind(self) -> str:
        return self._rng.choice(KINDS)

    def _case(self, name: str, path: str, data: bytes) -> Case:
        return Case(TargetKind.STORE, "gateway", name, split(data, self._rng), path=path)
