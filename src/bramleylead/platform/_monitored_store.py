"""Detects within seconds that a pending watch of the platform's store will never be answered.

A store that stops answering for a while may never answer the watches that were pending or sent in
that time, although its connections look alive. Therefore, while a watch is pending, its kind is
listed periodically by a cheap read that may return old data. If the list is not answered, the store
is silent. If it shows a change that the watch should have reported, the watch is dead. In both
cases the watch is cancelled, and later watches use a short timeout until one is answered.
"""

from __future__ import annotations

from typing import NamedTuple
from typing import Protocol
from typing import final

import anyio
import structlog
from result import Err
from result import Ok
from result import Result

from bramleylead.platform._follow import ObjectSource
from bramleylead.platform._objects import ChangePage
from bramleylead.platform._objects import ObjectPage
from bramleylead.platform._store import StoreError
from bramleylead.platform._store import StoreErrorKind

PROBE_INTERVAL_S = 1.5
PROBE_TIMEOUT_S = 1.0
DELIVERY_GRACE_S = 0.3
"""A change in the list may still be on its way to the watch."""
UNCONFIRMED_WATCH_TIMEOUT_S = 0.5

log = structlog.get_logger()


class StaleReadSource(ObjectSource, Protocol):
    """A source that also offers cheap reads of possibly old data."""

    async def list_stale(self, kind: str, *, timeout_s: float) -> Result[ObjectPage, StoreError]:
        """Read the first objects of a kind; they may be out of date."""
        ...


class _Watch(NamedTuple):
    """A pending watch."""

    kind: str
    after: int
    started_at: float
    scope: anyio.CancelScope


@final
class MonitoredStore:
    """A source of objects that cancels dead watches."""

    def __init__(self, store: StaleReadSource) -> None:
        self._store = store
        self._pending: list[_Watch] = []
        self._watch_started = anyio.Event()
        self._is_unconfirmed = True
        self._confirmed_at: dict[str, float] = {}

    def confirmed_at(self, kind: str) -> float:
        """Return the time up to which all changes of a kind were reported; ``-inf`` if none.

        An answered watch shows the store's state as of its answer. A pending watch shows that
        nothing has changed as long as probes sent after it are answered.
        """
        return self._confirmed_at.get(kind, float("-inf"))

    async def run(self) -> None:
        """Probe the store periodically while watches are pending, until cancelled."""
        while True:
            if not self._pending:
                await self._watch_started.wait()
            await anyio.sleep(PROBE_INTERVAL_S)
            for kind in {watch.kind for watch in self._pending}:
                await self._probe(kind)

    async def list(self, kind: str, *, after: str = "") -> Result[ObjectPage, StoreError]:
        """Read a page of the objects of a kind."""
        started_at = anyio.current_time()
        listed = await self._store.list(kind, after=after)
        if isinstance(listed, Ok):
            self._confirm(kind, started_at)
        return listed

    async def watch(
        self, kind: str, *, after: int, wait_s: float
    ) -> Result[ChangePage, StoreError]:
        """Wait for changes; ``UNAVAILABLE`` if the watch is found to be dead."""
        if self._is_unconfirmed:
            wait_s = min(wait_s, UNCONFIRMED_WATCH_TIMEOUT_S)
        answer: Result[ChangePage, StoreError] | None = None
        with anyio.CancelScope() as scope:
            pending = _Watch(kind, after, anyio.current_time(), scope)
            self._pending.append(pending)
            self._watch_started.set()
            try:
                answer = await self._store.watch(kind, after=after, wait_s=wait_s)
            finally:
                self._pending.remove(pending)
                if not self._pending:
                    self._watch_started = anyio.Event()
        if answer is None:
            answer = Err(StoreError(StoreErrorKind.UNAVAILABLE, f"{kind}: the watch is dead"))
        self._is_unconfirmed = not isinstance(answer, Ok)
        if isinstance(answer, Ok):
            self._confirm(kind, anyio.current_time())
        return answer

    async def _probe(self, kind: str) -> None:
        """List a kind, and cancel its watches that will not be answered."""
        probed = [watch for watch in self._pending if watch.kind == kind]
        started_at = anyio.current_time()
        listed = await self._store.list_stale(kind, timeout_s=PROBE_TIMEOUT_S)
        if isinstance(listed, Err):
            log.warning("store_silent", kind=kind, reason=listed.err_value.detail)
            self._cancel(probed)
            return
        newest = max((found.revision for found in listed.ok_value.objects), default=0)
        missed = [watch for watch in probed if watch.after < newest]
        if missed:
            await anyio.sleep(DELIVERY_GRACE_S)
            if any(watch in self._pending for watch in missed):
                log.warning("watch_missed_change", kind=kind, revision=newest)
            self._cancel(missed)
        elif any(watch in self._pending for watch in probed):
            self._confirm(kind, started_at)

    def _confirm(self, kind: str, at: float) -> None:
        self._confirmed_at[kind] = max(self.confirmed_at(kind), at)

    def _cancel(self, watches: list[_Watch]) -> None:
        for watch in watches:
            if watch in self._pending:
                watch.scope.cancel()
