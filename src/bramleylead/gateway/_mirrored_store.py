"""Reads the platform's objects through nodes of the ledger, which watch the store for all gateways.

A node that does not answer, or has lost the store itself, is left for another one; after these the
store itself is asked. The store's revision goes with every question, so that no node can answer
with what is older than what this gateway has seen.
"""

from __future__ import annotations

import random
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
from typing import TypeVar
from typing import final

import anyio
import structlog
from result import Err
from result import Ok
from result import Result

from bramleylead.connection import PeerClient
from bramleylead.ledger._client import LedgerClient
from bramleylead.ledger._members import LedgerMember
from bramleylead.ledger._mirror import NOTHING_SEEN
from bramleylead.ledger._mirror import AskMirror
from bramleylead.ledger._mirror import Mirrored
from bramleylead.ledger._mirror import unmirrored
from bramleylead.platform._follow import ObjectSource
from bramleylead.platform._objects import ChangePage
from bramleylead.platform._objects import ObjectPage
from bramleylead.platform._store import StoreError
from bramleylead.platform._store import StoreErrorKind

STORE = "store"
NODES_ASKED = 2
WAIT_S = 1.0
"""A node answers at least this often, so that one that stands still is left soon."""
ANSWER_SLACK_S = 0.6
AVOID_S = 3.0
STORE_PAUSE_S = 2.0
"""The store may turn away one of many gateways, or all: each asks it seldom then."""

log = structlog.get_logger()

_Answer = TypeVar("_Answer", bound=Result[ObjectPage, StoreError] | Result[ChangePage, StoreError])


@final
class MirroredStore:
    """The platform's objects as one gateway reads them.

    :param store: asked where no node answers.
    :param on_trouble: called with the seconds since a node last had trouble at the store.
    """

    def __init__(
        self,
        store: ObjectSource,
        peers: PeerClient,
        ledger: LedgerClient,
        *,
        on_trouble: Callable[[float], None],
    ) -> None:
        self._store = store
        self._peers = peers
        self._ledger = ledger
        self._on_trouble = on_trouble
        self._seen: dict[str, int] = {}
        self._failed_at: dict[str, float] = {}
        self._store_from = float("-inf")
        self._sources: dict[str, str] = {}

    async def list(self, kind: str, *, after: str = "") -> Result[ObjectPage, StoreError]:
        """Read the objects of a kind; only the store's list comes in pages."""
        told = None if after else await self._ask_nodes(kind, whole=True)
        if told is not None:
            objects = tuple(unmirrored(found).changed for found in told.objects)
            return Ok(ObjectPage(objects, False, told.as_of))
        page = await self._ask_store(lambda: self._store.list(kind, after=after))
        if isinstance(page, Ok) and not page.ok_value.more:
            self._note(kind, STORE, page.ok_value.as_of)
        return page

    async def watch(
        self, kind: str, *, after: int, wait_s: float
    ) -> Result[ChangePage, StoreError]:
        """Wait for changes of a kind; may return without any before ``wait_s`` is over."""
        self._seen[kind] = after
        told = await self._ask_nodes(kind, whole=False)
        if told is None:
            return await self._watch_store(kind, after, wait_s)
        if told.whole:
            detail = f"{kind}: changes since {after} are not known any more"
            return Err(StoreError(StoreErrorKind.NOT_FOUND, detail))
        changes = tuple(map(unmirrored, told.objects))
        return Ok(ChangePage(changes, max(after, told.as_of)))

    async def _watch_store(
        self, kind: str, after: int, wait_s: float
    ) -> Result[ChangePage, StoreError]:
        page = await self._ask_store(lambda: self._store.watch(kind, after=after, wait_s=wait_s))
        if isinstance(page, Ok):
            self._note(kind, STORE, page.ok_value.as_of)
        return page

    async def _ask_nodes(self, kind: str, *, whole: bool) -> Mirrored | None:
        """Return what a node tells, or ``None`` if none of those asked knows enough."""
        if not self._ledger.view.members:
            await self._ledger.learn()
        question = AskMirror(kind, self._seen.get(kind, NOTHING_SEEN), whole, WAIT_S)
        for member in self._nearest()[:NODES_ASKED]:
            answer = await self._peers.request(
                member.address, question, timeout_s=WAIT_S + ANSWER_SLACK_S, idempotent=True
            )
            if isinstance(answer, Ok) and isinstance(answer.ok_value, Mirrored):
                told = answer.ok_value
                self._note(kind, member.node, told.as_of)
                if told.trouble_s >= 0:
                    self._on_trouble(told.trouble_s)
                return told
            self._failed_at[member.node] = anyio.current_time()
        return None

    def _nearest(self) -> Sequence[LedgerMember]:
        """Return the nodes as they are asked: near ones first, those that failed just now last."""
        now = anyio.current_time()
        return sorted(
            self._ledger.near_members(),
            key=lambda member: now - self._failed_at.get(member.node, -AVOID_S) < AVOID_S,
        )

    async def _ask_store(self, call: Callable[[], Awaitable[_Answer]]) -> _Answer:
        """Ask the store itself, unless a call to it has failed just now."""
        if anyio.current_time() < self._store_from:
            detail = "no node of the ledger answers, and the store has not answered just now"
            return Err(StoreError(StoreErrorKind.UNAVAILABLE, detail))
        answer = await call()
        if isinstance(answer, Err) and answer.err_value.kind is not StoreErrorKind.NOT_FOUND:
            pause_s = STORE_PAUSE_S * random.uniform(0.5, 1.0)
            self._store_from = anyio.current_time() + pause_s
        return answer

    def _note(self, kind: str, source: str, as_of: int) -> None:
        """Take in where a kind was read, and as of which revision."""
        self._seen[kind] = max(self._seen.get(kind, NOTHING_SEEN), as_of)
        if self._sources.get(kind) != source:
            former = self._sources.get(kind)
            self._sources[kind] = source
            log.info("source_changed", kind=kind, source=source, former=former, as_of=as_of)
