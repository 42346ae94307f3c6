"""Notices within seconds that the platform's store has fallen silent behind a waiting watch.

A store that stops answering may never answer the watches that wait, not even once it is back, and
its connections look alive. So while a watch waits, a cheap read is made now and then; if that gets
no answer the watches are given up, and the next ones wait shortly until one is answered.
"""

from __future__ import annotations

from typing import final

import anyio
import structlog
from result import Err
from result import Ok
from result import Result

from bramleylead.platform._objects import ChangePage
from bramleylead.platform._objects import ObjectPage
from bramleylead.platform._objects import PlatformStore
from bramleylead.platform._store import StoreError
from bramleylead.platform._store import StoreErrorKind

PULSE_INTERVAL_S = 1.5
PULSE_TIMEOUT_S = 1.0
DOUBTED_WATCH_S = 0.5

log = structlog.get_logger()


@final
class PulsedStore:
    """A source of objects whose watches end soon after the store has fallen silent."""

    def __init__(self, store: PlatformStore) -> None:
        self._store = store
        self._waiting: set[anyio.CancelScope] = set()
        self._watch_began = anyio.Event()
        self._doubted = False

    async def run(self) -> None:
        """Take the store's pulse while watches wait, until cancelled."""
        while True:
            if not self._waiting:
                await self._watch_began.wait()
            await anyio.sleep(PULSE_INTERVAL_S)
            if self._waiting and not await self._store.is_alive(timeout_s=PULSE_TIMEOUT_S):
                log.warning("store_silent", watches=len(self._waiting))
                for scope in self._waiting:
                    scope.cancel()

    async def list(self, kind: str, *, after: str = "") -> Result[ObjectPage, StoreError]:
        """Read a page of the objects of a kind."""
        return await self._store.list(kind, after=after)

    async def watch(
        self, kind: str, *, after: int, wait_s: float
    ) -> Result[ChangePage, StoreError]:
        """Wait for changes; ``UNAVAILABLE`` if the store falls silent meanwhile."""
        if self._doubted:
            wait_s = min(wait_s, DOUBTED_WATCH_S)
        answer: Result[ChangePage, StoreError] | None = None
        with anyio.CancelScope() as scope:
            self._waiting.add(scope)
            self._watch_began.set()
            try:
                answer = await self._store.watch(kind, after=after, wait_s=wait_s)
            finally:
                self._waiting.discard(scope)
                if not self._waiting:
                    self._watch_began = anyio.Event()
        if answer is None:
            answer = Err(StoreError(StoreErrorKind.UNAVAILABLE, f"{kind}: the store is silent"))
        self._doubted = not isinstance(answer, Ok)
        return answer
