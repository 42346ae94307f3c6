"""Where a ledger node reads the platform's objects: a member from the store, a spare from members.

Each watch of the store is charged for, and each change wakes every watcher. A large deployment has
many more spares than members.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from typing import final

from result import Result

from bramleylead.connection import PeerClient
from bramleylead.ledger._members import LedgerMember
from bramleylead.ledger._members import LedgerView
from bramleylead.ledger._mirrored_store import MirroredStore
from bramleylead.ledger._node import LedgerNode
from bramleylead.platform._follow import ConfirmingSource
from bramleylead.platform._objects import ChangePage
from bramleylead.platform._objects import ObjectPage
from bramleylead.platform._store import StoreError


@final
class OtherMembers:
    """The members as one node knows them, in a random order that stays the same."""

    def __init__(self, node: LedgerNode, rng: random.Random) -> None:
        self._rng = rng
        self._node = node
        self._ranks: dict[str, float] = {}

    @property
    def view(self) -> LedgerView:
        """The latest view that the node has adopted."""
        return self._node.view

    def members_by_distance(self) -> Sequence[LedgerMember]:
        """Return the other members."""
        others = [member for member in self.view.members if member != self._node.own_entry]
        return sorted(
            others, key=lambda member: self._ranks.setdefault(member.node, self._rng.random())
        )

    async def refresh(self) -> None:
        """Do nothing: the node's membership keeps the view up to date."""


@final
class NodeObjects:
    """The platform's objects as one ledger node reads them."""

    def __init__(
        self, node: LedgerNode, store: ConfirmingSource, peers: PeerClient, rng: random.Random
    ) -> None:
        self._node = node
        self._store = store
        self._mirrored = MirroredStore(
            store,
            peers,
            OtherMembers(node, rng),
            rng=rng,
            on_store_failure=lambda ago_s: None,
        )

    async def list(self, kind: str, *, after: str = "") -> Result[ObjectPage, StoreError]:
        """Read a page of the objects of a kind."""
        return await self._source().list(kind, after=after)

    async def watch(
        self, kind: str, *, after: int, wait_s: float
    ) -> Result[ChangePage, StoreError]:
        """Wait for changes of a kind."""
        return await self._source().watch(kind, after=after, wait_s=wait_s)

    def confirmed_at(self, kind: str) -> float:
        """Return the time up to which all changes of a kind were reported; ``-inf`` if none."""
        return self._source().confirmed_at(kind)

    def _source(self) -> ConfirmingSource:
        return self._store if self._node.is_member else self._mirrored
