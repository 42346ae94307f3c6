"""The embedded object API in memory: the default for one machine and for tests."""

from __future__ import annotations

from collections.abc import Sequence
from typing import final

import anyio
import anyio.lowlevel
from result import Err
from result import Ok
from result import Result

from bramleylead.platform._store import ANY_VERSION
from bramleylead.platform._store import MAX_VALUE_BYTES
from bramleylead.platform._store import Change
from bramleylead.platform._store import StoredObject
from bramleylead.platform._store import StoreError
from bramleylead.platform._store import StoreErrorKind
from bramleylead.platform._store import VmEntry
from bramleylead.platform._store import WatchPage

KEPT_CHANGES = 10_000


@final
class MemoryStore:
    """Objects in a dictionary, with versions, conditional updates and watches."""

    def __init__(self) -> None:
        self._objects: dict[str, StoredObject] = {}
        self._changes: list[Change] = []
        self._revision = 0
        self._changed = anyio.Event()
        self._vms: dict[str, VmEntry] = {}
        self.reads = 0
        self.writes = 0

    def set_vm(self, entry: VmEntry) -> None:
        """Add or replace a line of the list of VMs."""
        self._vms[entry.node] = entry

    def remove_vm(self, node: str) -> None:
        """Drop a line of the list of VMs."""
        self._vms.pop(node, None)

    async def get(self, key: str, *, timeout_s: float = 2.0) -> Result[StoredObject, StoreError]:
        """Read one object."""
        self.reads += 1
        await anyio.lowlevel.checkpoint()
        found = self._objects.get(key)
        if found is None:
            return Err(StoreError(StoreErrorKind.NOT_FOUND, key))
        return Ok(found)

    async def put(
        self, key: str, value: bytes, *, expected: int = ANY_VERSION, timeout_s: float = 2.0
    ) -> Result[int, StoreError]:
        """Write one object if its version is ``expected`` and return the new version."""
        await anyio.lowlevel.checkpoint()
        return self.put_now(key, value, expected=expected)

    def put_now(
        self, key: str, value: bytes, *, expected: int = ANY_VERSION
    ) -> Result[int, StoreError]:
        """Do what :meth:`put` does, at once."""
        self.writes += 1
        if len(value) > MAX_VALUE_BYTES:
            detail = f"{key}: {len(value)} bytes; at most {MAX_VALUE_BYTES} are stored"
            return Err(StoreError(StoreErrorKind.TOO_LARGE, detail))
        version = self._version(key)
        if expected not in (ANY_VERSION, version):
            detail = f"{key}: version is {version}, not {expected}"
            return Err(StoreError(StoreErrorKind.CONFLICT, detail))
        self._record(key, value, version + 1)
        return Ok(version + 1)

    async def delete(
        self, key: str, *, expected: int = ANY_VERSION, timeout_s: float = 2.0
    ) -> Result[None, StoreError]:
        """Delete one object if its version is ``expected``."""
        await anyio.lowlevel.checkpoint()
        return self.delete_now(key, expected=expected)

    def delete_now(self, key: str, *, expected: int = ANY_VERSION) -> Result[None, StoreError]:
        """Do what :meth:`delete` does, at once."""
        self.writes += 1
        version = self._version(key)
        if version == 0:
            return Err(StoreError(StoreErrorKind.NOT_FOUND, key))
        if expected not in (ANY_VERSION, version):
            detail = f"{key}: version is {version}, not {expected}"
            return Err(StoreError(StoreErrorKind.CONFLICT, detail))
        self._record(key, None, version)
        return Ok(None)

    async def list(
        self, prefix: str, *, after: str = "", limit: int = 500, timeout_s: float = 2.0
    ) -> Result[Sequence[StoredObject], StoreError]:
        """Read up to ``limit`` objects under ``prefix`` after a key, in key order."""
        self.reads += 1
        await anyio.lowlevel.checkpoint()
        keys = sorted(key for key in self._objects if key.startswith(prefix) and key > after)
        return Ok([self._objects[key] for key in keys[:limit]])

    async def watch(
        self, prefix: str, *, after_revision: int, timeout_s: float
    ) -> Result[WatchPage, StoreError]:
        """Wait for changes under ``prefix`` after a revision, at most ``timeout_s`` seconds."""
        self.reads += 1
        if after_revision < self._revision - KEPT_CHANGES:
            detail = f"{prefix}: revision {after_revision} is no longer kept; list again"
            return Err(StoreError(StoreErrorKind.NOT_FOUND, detail))
        with anyio.move_on_after(timeout_s):
            while not self._changes_after(prefix, after_revision):
                await self._changed.wait()
        changes = self._changes_after(prefix, after_revision)
        return Ok(WatchPage(self._revision, tuple(changes)))

    async def vms(self, *, timeout_s: float = 2.0) -> Result[Sequence[VmEntry], StoreError]:
        """Read the platform's list of live and leaving VMs."""
        self.reads += 1
        await anyio.lowlevel.checkpoint()
        return Ok(list(self._vms.values()))

    def _version(self, key: str) -> int:
        found = self._objects.get(key)
        return 0 if found is None else found.version

    def _record(self, key: str, value: bytes | None, version: int) -> None:
        self._revision += 1
        if value is None:
            del self._objects[key]
        else:
            self._objects[key] = StoredObject(key, value, version, self._revision)
        self._changes.append(Change(key, value, version, self._revision))
        del self._changes[:-KEPT_CHANGES]
        self._changed.set()
        self._changed = anyio.Event()

    def _changes_after(self, prefix: str, revision: int) -> list[Change]:
        found = []
        for change in reversed(self._changes):
            if change.revision <= revision:
                break
            if change.key.startswith(prefix):
                found.append(change)
        return found[::-1]
