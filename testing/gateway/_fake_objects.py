"""A fake store of the platform's objects, read by several processes in virtual time."""

from __future__ import annotations

from collections import Counter
from typing import Any
from typing import NamedTuple

import anyio
from result import Err
from result import Ok
from result import Result

from bramleylead.ledger._members import NO_VIEW
from bramleylead.ledger._members import LedgerView
from bramleylead.platform._objects import ChangePage
from bramleylead.platform._objects import ObjectChange
from bramleylead.platform._objects import ObjectPage
from bramleylead.platform._objects import PlatformObject
from bramleylead.platform._store import StoreError
from bramleylead.platform._store import StoreErrorKind

RESPONSE_TIME_S = 0.004
UNANSWERED_EXTRA_S = 1.0
"""An unanswered call fails this long after its response was due."""


class _Event(NamedTuple):
    kind: str
    revision: int
    change: ObjectChange


class FakeObjects:
    """Objects by kind, readable by any number of processes.

    ``refused`` names processes whose calls are refused, ``stalled`` those whose watches return
    nothing, and ``silent`` those whose calls are never answered.
    """

    def __init__(self) -> None:
        self.members: LedgerView = NO_VIEW
        self.refused: set[str] = set()
        self.stalled: set[str] = set()
        self.silent: set[str] = set()
        self.calls: Counter[str] = Counter()
        self.probes: Counter[str] = Counter()
        self._objects: dict[str, dict[str, PlatformObject]] = {}
        self._events: list[_Event] = []
        self.watches_valid_from = 0.0
        self._revision = 1
        self._compacted_revision = 0

    def put(self, kind: str, name: str, value: Any) -> None:
        self._revision += 1
        stored = PlatformObject(name, value, None, self._revision, False)
        self._objects.setdefault(kind, {})[name] = stored
        self._events.append(_Event(kind, self._revision, ObjectChange(stored, False)))

    def remove(self, kind: str, name: str) -> None:
        self._revision += 1
        removed = self._objects[kind].pop(name)
        self._events.append(_Event(kind, self._revision, ObjectChange(removed, True)))

    def compact(self) -> None:
        """Drop the history; watches from an earlier revision must list again."""
        self._compacted_revision = self._revision
        self._events.clear()

    def drop_current_watches(self) -> None:
        """Never answer the watches that are waiting now; answer later ones."""
        self.stalled.clear()
        self.watches_valid_from = anyio.current_time()

    async def read_members(self) -> Result[LedgerView, str]:
        return Ok(self.members)

    def source_for(self, process: str) -> FakeSource:
        return FakeSource(self, process)

    def page(self, kind: str) -> ObjectPage:
        return ObjectPage(tuple(self._objects.get(kind, {}).values()), False, self._revision)

    def changes(self, kind: str, after: int) -> ChangePage | None:
        """Return the changes after a revision, or ``None`` if they were compacted."""
        if after < self._compacted_revision:
            return None
        changes = [
            event.change for event in self._events if event.kind == kind and event.revision > after
        ]
        return ChangePage(tuple(changes), self._revision)


class FakeSource:
    """The objects as read by one process."""

    def __init__(self, objects: FakeObjects, process: str) -> None:
        self._objects = objects
        self._process = process

    async def list(self, kind: str, *, after: str = "") -> Result[ObjectPage, StoreError]:
        self._objects.calls[self._process] += 1
        await anyio.sleep(RESPONSE_TIME_S)
        if self._process in self._objects.silent:
            await anyio.sleep(UNANSWERED_EXTRA_S)
            return _refused()
        if self._process in self._objects.refused:
            return _refused()
        return Ok(self._objects.page(kind))

    async def list_stale(self, kind: str, *, timeout_s: float) -> Result[ObjectPage, StoreError]:
        self._objects.probes[self._process] += 1
        await anyio.sleep(RESPONSE_TIME_S)
        if self._process in self._objects.silent:
            await anyio.sleep(timeout_s)
        if self._process in self._objects.silent | self._objects.refused:
            return _refused()
        return Ok(self._objects.page(kind))

    async def watch(
        self, kind: str, *, after: int, wait_s: float
    ) -> Result[ChangePage, StoreError]:
        self._objects.calls[self._process] += 1
        started_at = anyio.current_time()
        deadline = started_at + wait_s
        while True:
            await anyio.sleep(RESPONSE_TIME_S)
            if self._process in self._objects.silent:
                await anyio.sleep(deadline + UNANSWERED_EXTRA_S - anyio.current_time())
                return _refused()
            if self._process in self._objects.refused:
                return _refused()
            if (
                self._process in self._objects.stalled
                or started_at < self._objects.watches_valid_from
            ):
                continue
            page = self._objects.changes(kind, after)
            if page is None:
                return Err(StoreError(StoreErrorKind.NOT_FOUND, "that history was compacted"))
            if page.changes or anyio.current_time() >= deadline:
                return Ok(page)


def _refused() -> Err[StoreError]:
    return Err(StoreError(StoreErrorKind.UNAVAILABLE, "refused by the store"))
