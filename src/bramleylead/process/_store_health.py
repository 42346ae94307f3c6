"""Tracks whether the store answers this node, from the calls it makes anyway."""

from __future__ import annotations

from collections.abc import Sequence
from typing import TypeVar
from typing import final

import anyio
from result import Err
from result import Result

from bramleylead.platform import ObjectStore
from bramleylead.platform import StoredObject
from bramleylead.platform import StoreError
from bramleylead.platform import StoreErrorKind
from bramleylead.platform import VmEntry
from bramleylead.platform import WatchPage
from bramleylead.platform._store import ANY_VERSION

HEALTH_MAX_AGE_S = 2.0
RECENT_CALL_S = 0.3
PROBE_KEY = "health"
PROBE_TIMEOUT_S = 0.8

_T = TypeVar("_T")
_NO_ANSWER_KINDS = (StoreErrorKind.UNAVAILABLE, StoreErrorKind.UNKNOWN)


@final
class ObservedStore:
    """An :class:`ObjectStore` wrapper that records when a call last succeeded and last failed."""

    def __init__(self, store: ObjectStore) -> None:
        self._store = store
        self._answered_at = float("-inf")
        self._failed_at = float("-inf")
        self._probe_lock = anyio.Lock()

    @property
    def ok(self) -> bool | None:
        """Whether the last call was answered; ``None`` if it is older than ``HEALTH_MAX_AGE_S``."""
        latest = max(self._answered_at, self._failed_at)
        if anyio.current_time() - latest > HEALTH_MAX_AGE_S:
            return None
        return self._answered_at >= self._failed_at

    async def probe(self) -> bool:
        """Return whether the store answers; issue a read if no call completed recently."""
        async with self._probe_lock:
            latest = max(self._answered_at, self._failed_at)
            if anyio.current_time() - latest > RECENT_CALL_S:
                await self.get(PROBE_KEY, timeout_s=PROBE_TIMEOUT_S)
            return self._answered_at >= self._failed_at

    async def get(self, key: str, *, timeout_s: float = 2.0) -> Result[StoredObject, StoreError]:
        """Read one object."""
        return self._record_result(await self._store.get(key, timeout_s=timeout_s))

    async def put(
        self, key: str, value: bytes, *, expected: int = ANY_VERSION, timeout_s: float = 2.0
    ) -> Result[int, StoreError]:
        """Write one object if its version is ``expected`` and return the new version."""
        result = await self._store.put(key, value, expected=expected, timeout_s=timeout_s)
        return self._record_result(result)

    async def delete(
        self, key: str, *, expected: int = ANY_VERSION, timeout_s: float = 2.0
    ) -> Result[None, StoreError]:
        """Delete one object if its version is ``expected``."""
        return self._record_result(
            await self._store.delete(key, expected=expected, timeout_s=timeout_s)
        )

    async def list(
        self, prefix: str, *, after: str = "", limit: int = 500, timeout_s: float = 2.0
    ) -> Result[Sequence[StoredObject], StoreError]:
        """Read up to ``limit`` objects under ``prefix`` after a key, in key order."""
        result = await self._store.list(prefix, after=after, limit=limit, timeout_s=timeout_s)
        return self._record_result(result)

    async def watch(
        self, prefix: str, *, after_revision: int, timeout_s: float
    ) -> Result[WatchPage, StoreError]:
        """Wait for changes under ``prefix`` after a revision, at most ``timeout_s`` seconds."""
        result = await self._store.watch(prefix, after_revision=after_revision, timeout_s=timeout_s)
        return self._record_result(result)

    async def vms(self, *, timeout_s: float = 2.0) -> Result[Sequence[VmEntry], StoreError]:
        """Read the platform's list of live and leaving VMs."""
        return self._record_result(await self._store.vms(timeout_s=timeout_s))

    def _record_result(self, result: Result[_T, StoreError]) -> Result[_T, StoreError]:
        if isinstance(result, Err) and result.err_value.kind in _NO_ANSWER_KINDS:
            self._failed_at = anyio.current_time()
        else:
            self._answered_at = anyio.current_time()
        return result
