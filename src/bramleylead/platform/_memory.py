"""An embedded object store in memory: the default for a single machine and for tests.

A watch reports only the last change of each key, so it can continue from any revision although no
log of changes is kept. Old deletions are dropped; a watch that may have missed one fails and must
restart, from revision 0 if it has no later one.
"""

from __future__ import annotations

from bisect import bisect_left
from bisect import bisect_right
from bisect import insort
from collections import OrderedDict
from collections import deque
from collections.abc import Iterable
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

KEPT_DELETIONS = 10_000


@final
class MemoryStore:
    """Keeps objects in a dictionary, with versions, conditional updates and watches."""

    def __init__(self, changes: Iterable[Change] = (), *, revision: int = 0) -> None:
        self._objects: dict[str, StoredObject] = {}
        self._keys: list[str] = []
        self._last_changes: OrderedDict[str, Change] = OrderedDict()
        self._deletions: deque[Change] = deque()
        self._dropped_revision = 0
        self._revision = revision
        self._waiters: dict[str, anyio.Event] = {}
        self._vms: dict[str, VmEntry] = {}
        self.reads = 0
        self.writes = 0
        for change in sorted(changes, key=lambda change: change.revision):
            self._apply(change)

    @property
    def revision(self) -> int:
        """Revision of the last change."""
        return self._revision

    def set_vm(self, entry: VmEntry) -> None:
        """Add or replace an entry of the list of VMs."""
        self._vms[entry.node] = entry

    def remove_vm(self, node: str) -> None:
        """Remove an entry of the list of VMs."""
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
        """Like :meth:`put`, without yielding to the event loop."""
        self.writes += 1
        checked = self.check_put(key, value, expected=expected)
        if isinstance(checked, Err):
            return checked
        change = self.next_change(key, value)
        self._apply(change)
        return Ok(change.version)

    def check_put(
        self, key: str, value: bytes, *, expected: int = ANY_VERSION
    ) -> Result[None, StoreError]:
        """Check whether a write would succeed."""
        if len(value) > MAX_VALUE_BYTES:
            detail = f"{key}: {len(value)} bytes exceed the limit of {MAX_VALUE_BYTES}"
            return Err(StoreError(StoreErrorKind.TOO_LARGE, detail))
        version = self._version(key)
        if expected not in (ANY_VERSION, version):
            detail = f"{key}: version is {version}, not {expected}"
            return Err(StoreError(StoreErrorKind.CONFLICT, detail))
        return Ok(None)

    def next_change(self, key: str, value: bytes | None) -> Change:
        """Return the change made by writing an object now; without a value, by deleting it."""
        version = self._version(key) + (0 if value is None else 1)
        return Change(key, value, version, self._revision + 1)

    async def delete(
        self, key: str, *, expected: int = ANY_VERSION, timeout_s: float = 2.0
    ) -> Result[None, StoreError]:
        """Delete one object if its version is ``expected``."""
        await anyio.lowlevel.checkpoint()
        return self.delete_now(key, expected=expected)

    def delete_now(self, key: str, *, expected: int = ANY_VERSION) -> Result[None, StoreError]:
        """Like :meth:`delete`, without yielding to the event loop."""
        self.writes += 1
        checked = self.check_delete(key, expected=expected)
        if isinstance(checked, Ok):
            self._apply(self.next_change(key, None))
        return checked

    def check_delete(self, key: str, *, expected: int = ANY_VERSION) -> Result[None, StoreError]:
        """Check whether a deletion would succeed."""
        version = self._version(key)
        if version == 0:
            return Err(StoreError(StoreErrorKind.NOT_FOUND, key))
        if expected not in (ANY_VERSION, version):
            detail = f"{key}: version is {version}, not {expected}"
            return Err(StoreError(StoreErrorKind.CONFLICT, detail))
        return Ok(None)

    async def list(
        self, prefix: str, *, after: str = "", limit: int = 500, timeout_s: float = 2.0
    ) -> Result[Sequence[StoredObject], StoreError]:
        """Read up to ``limit`` objects under ``prefix`` after a key, in key order."""
        self.reads += 1
        await anyio.lowlevel.checkpoint()
        found = []
        start = max(bisect_left(self._keys, prefix), bisect_right(self._keys, after))
        for key in self._keys[start : start + limit]:
            if not key.startswith(prefix):
                break
            found.append(self._objects[key])
        return Ok(found)

    async def watch(
        self, prefix: str, *, after_revision: int, timeout_s: float
    ) -> Result[WatchPage, StoreError]:
        """Wait for changes under ``prefix`` after a revision, at most ``timeout_s`` seconds."""
        self.reads += 1
        if 0 < after_revision < self._dropped_revision:
            detail = f"{prefix}: deletions after revision {after_revision} may have been dropped"
            return Err(StoreError(StoreErrorKind.NOT_FOUND, detail))
        changes = self._changes_after(prefix, after_revision)
        with anyio.move_on_after(timeout_s):
            while not changes:
                await self._waiters.setdefault(prefix, anyio.Event()).wait()
                changes = self._changes_after(prefix, after_revision)
        await anyio.lowlevel.checkpoint()
        return Ok(WatchPage(self._revision, tuple(changes)))

    async def vms(self, *, timeout_s: float = 2.0) -> Result[Sequence[VmEntry], StoreError]:
        """Read the platform's list of live and leaving VMs."""
        self.reads += 1
        await anyio.lowlevel.checkpoint()
        return Ok(list(self._vms.values()))

    def _version(self, key: str) -> int:
        found = self._objects.get(key)
        return 0 if found is None else found.version

    def _apply(self, change: Change) -> None:
        key, value = change.key, change.value
        self._revision = max(self._revision, change.revision)
        self._last_changes[key] = change
        self._last_changes.move_to_end(key)
        if value is None:
            self._remove(key)
            self._deletions.append(change)
            self._drop_old_deletions()
        else:
            if key not in self._objects:
                insort(self._keys, key)
            self._objects[key] = StoredObject(key, value, change.version, change.revision)
        for prefix in [prefix for prefix in self._waiters if key.startswith(prefix)]:
            self._waiters.pop(prefix).set()

    def _remove(self, key: str) -> None:
        if self._objects.pop(key, None) is not None:
            del self._keys[bisect_left(self._keys, key)]

    def _drop_old_deletions(self) -> None:
        while len(self._deletions) > KEPT_DELETIONS:
            oldest = self._deletions.popleft()
            if self._last_changes.get(oldest.key) is oldest:
                del self._last_changes[oldest.key]
                self._dropped_revision = oldest.revision

    def _changes_after(self, prefix: str, revision: int) -> list[Change]:
        found = []
        for change in reversed(self._last_changes.values()):
            if change.revision <= revision:
                break
            if change.key.startswith(prefix):
                found.append(change)
        return found[::-1]
