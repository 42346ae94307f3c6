"""Detects within seconds that a pending watch of the platform's store will never be answered.

A store that stops answering for a while may never answer the watches that were pending or sent in
that time, although its connections look alive. Therefore, while watches are pending, their kinds
are listed in turn by a cheap read that may return old data. If a list is not answered, the store is
silent. If it shows a change that a watch should have reported, the watch is dead. In both cases the
watches concerned are cancelled, and later watches use a short timeout until one is answered.

Each answer also confirms what is known up to the time at which it was requested, so that whoever
relies on it can tell its age.
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

PROBE_AGE_S = 0.4
"""Age of what is known of a kind from which on its pending watch is probed."""
PROBE_CHECK_INTERVAL_S = 0.2
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
    scope: anyio.CancelScope


class _MissedChange(NamedTuple):
    """A revision that a probe showed at a time, and that a watch has not reported."""

    revision: int
    seen_at: float


@final
class MonitoredStore:
    """A source of objects that cancels dead watches."""

    def __init__(self, store: StaleReadSource) -> None:
        self._store = store
        self._pending: list[_Watch] = []
        self._watch_started = anyio.Event()
        self._is_unconfirmed = True
        self._confirmed_at: dict[str, float] = {}
        self._probed_at: dict[str, float] = {}
        self._missed: dict[_Watch, _MissedChange] = {}

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
            await anyio.sleep(PROBE_CHECK_INTERVAL_S)
            self._cancel_dead_watches()
            oldest_at = min((self.confirmed_at(watch.kind) for watch in self._pending), default=0.0)
            if self._pending and anyio.current_time() - oldest_at >= PROBE_AGE_S:
                await self._probe(self._next_probed_kind())

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
            pending = _Watch(kind, after, scope)
            self._pending.append(pending)
            self._watch_started.set()
            try:
                answer = await self._store.watch(kind, after=after, wait_s=wait_s)
            finally:
                self._pending.remove(pending)
                self._missed.pop(pending, None)
                if not self._pending:
                    self._watch_started = anyio.Event()
        if answer is None:
            answer = Err(StoreError(StoreErrorKind.UNAVAILABLE, f"{kind}: the watch is dead"))
        self._is_unconfirmed = not isinstance(answer, Ok)
        if isinstance(answer, Ok):
            self._confirm(kind, anyio.current_time())
        return answer

    def _next_probed_kind(self) -> str:
        """Return the kind with pending watches that was probed least recently."""
        kinds = {watch.kind for watch in self._pending}
        return min(sorted(kinds), key=lambda kind: self._probed_at.get(kind, float("-inf")))

    async def _probe(self, kind: str) -> None:
        """List a kind, and confirm the pending watches or detect those that are dead."""
        started_at = anyio.current_time()
        self._probed_at[kind] = started_at
        pending = list(self._pending)
        listed = await self._store.list_stale(kind, timeout_s=PROBE_TIMEOUT_S)
        if isinstance(listed, Err):
            log.warning("store_silent", kind=kind, reason=listed.err_value.detail)
            self._cancel(pending)
            return
        newest = max((found.revision for found in listed.ok_value.objects), default=0)
        for watch in pending:
            if watch not in self._pending or watch in self._missed:
                continue
            if watch.kind == kind and watch.after < newest:
                self._missed[watch] = _MissedChange(newest, anyio.current_time())
            else:
                self._confirm(watch.kind, started_at)

    def _cancel_dead_watches(self) -> None:
        """Cancel the watches that have still not reported a change that a probe showed."""
        now = anyio.current_time()
        for watch, missed in list(self._missed.items()):
            if now - missed.seen_at >= DELIVERY_GRACE_S:
                log.warning("watch_missed_change", kind=watch.kind, revision=missed.revision)
                self._cancel([watch])

    def _confirm(self, kind: str, at: float) -> None:
        self._confirmed_at[kind] = max(self.confirmed_at(kind), at)

    def _cancel(self, watches: list[_Watch]) -> None:
        for watch in watches:
            if watch in self._pending:
                watch.scope.cancel()
