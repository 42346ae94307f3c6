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

from collections.abc import Sequence
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
from bramleylead.platform._objects import ObjectChange
from bramleylead.platform._objects import ObjectPage
from bramleylead.platform._store import StoreError
from bramleylead.platform._store import StoreErrorKind

PROBE_AGE_S = 0.4
"""Age of what is known of a kind from which on its pending watch is probed."""
PROBE_CHECK_INTERVAL_S = 0.2
PROBE_TIMEOUT_S = 1.0
DELIVERY_GRACE_S = 0.3
"""A change in the list may still be on its way to the watch, and a list may be old."""
UNCONFIRMED_WATCH_TIMEOUT_S = 0.5
MAX_LIST_AGE_S = 5.0
"""A cheap list may be so old, so that it lacks objects that were created since."""

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
        self._dead: set[_Watch] = set()
        self._known_since: dict[str, dict[str, float]] = {}

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
            if not after and not listed.ok_value.more:
                self._confirm(kind, started_at)
            self._record_list(kind, listed.ok_value, is_first=not after)
        return listed

    async def watch(
        self, kind: str, *, after: int, wait_s: float
    ) -> Result[ChangePage, StoreError]:
        """Wait for changes; ``UNAVAILABLE`` if the store is silent.

        If the store answers and only the watch is dead, no changes are returned, so that the next
        watch brings them: this is no failure of the store.
        """
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
        is_dead = pending in self._dead
        self._dead.discard(pending)
        self._is_unconfirmed = not isinstance(answer, Ok)
        if answer is None and is_dead:
            return Ok(ChangePage((), after))
        if answer is None:
            return Err(StoreError(StoreErrorKind.UNAVAILABLE, f"{kind}: the store is silent"))
        if isinstance(answer, Ok):
            self._confirm(kind, anyio.current_time())
            self._record_changes(kind, answer.ok_value.changes)
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
        page = listed.ok_value
        for watch in pending:
            if watch not in self._pending or watch in self._missed:
                continue
            if watch.kind == kind and self._shows_change(page, watch):
                self._missed[watch] = _MissedChange(page.as_of, anyio.current_time())
            else:
                self._confirm(watch.kind, started_at)

    def _shows_change(self, page: ObjectPage, watch: _Watch) -> bool:
        """Return whether a list shows an object that was changed or removed after a revision."""
        if any(found.revision > watch.after for found in page.objects):
            return True
        if page.as_of <= watch.after:
            return False
        listed = {found.name for found in page.objects}
        last = max(listed, default="") if page.more else None
        known_before = anyio.current_time() - MAX_LIST_AGE_S
        return any(
            since <= known_before and name not in listed and (last is None or name <= last)
            for name, since in self._known_since.get(watch.kind, {}).items()
        )

    def _record_list(self, kind: str, page: ObjectPage, *, is_first: bool) -> None:
        """Keep the names of a kind's objects, by which a later list shows what was removed."""
        before = self._known_since.get(kind, {})
        now = anyio.current_time()
        names = {found.name: before.get(found.name, now) for found in page.objects}
        self._known_since[kind] = names if is_first else {**before, **names}

    def _record_changes(self, kind: str, changes: Sequence[ObjectChange]) -> None:
        known = self._known_since.setdefault(kind, {})
        for change in changes:
            if change.removed:
                known.pop(change.object.name, None)
            else:
                known.setdefault(change.object.name, anyio.current_time())

    def _cancel_dead_watches(self) -> None:
        """Cancel the watches that have still not reported a change that a probe showed."""
        now = anyio.current_time()
        for watch, missed in list(self._missed.items()):
            if now - missed.seen_at >= DELIVERY_GRACE_S:
                log.warning("watch_missed_change", kind=watch.kind, revision=missed.revision)
                self._dead.add(watch)
                self._cancel([watch])

    def _confirm(self, kind: str, at: float) -> None:
        self._confirmed_at[kind] = max(self.confirmed_at(kind), at)

    def _cancel(self, watches: list[_Watch]) -> None:
        for watch in watches:
            if watch in self._pending:
                watch.scope.cancel()
