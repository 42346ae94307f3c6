"""The members of the ledger as one gateway knows them, kept up to date by asking them."""

from __future__ import annotations

import random
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
from typing import final

import anyio
import structlog
from result import Ok
from result import Result

from bramleylead.connection import PeerClient
from bramleylead.ledger._members import NO_VIEW
from bramleylead.ledger._members import LedgerMember
from bramleylead.ledger._members import LedgerView
from bramleylead.ledger._messages import AskState
from bramleylead.ledger._messages import NodeState

REFRESH_INTERVAL_S = 0.5
STORE_READ_INTERVAL_S = 2.0
"""Minimum time between reads of the member list in the store, while members are known."""
STATE_TIMEOUT_S = 0.5

ReadMembers = Callable[[], Awaitable[Result[LedgerView, str]]]

log = structlog.get_logger()


@final
class KnownMembers:
    """The latest known view, and the order in which its members are asked.

    :param read_members: reads the list of members from the platform's store.
    :param data_centre: its members are preferred, then those of its region.
    :param regions: the region of each data centre.
    :param seeds: addresses of possible ledger nodes, queried while no member is known.
    :param patience_s: after the start, the store is not read for this time.
    """

    def __init__(
        self,
        peers: PeerClient,
        read_members: ReadMembers,
        *,
        data_centre: str,
        regions: dict[str, str],
        seeds: Sequence[str],
        patience_s: float,
        rng: random.Random,
    ) -> None:
        self._rng = rng
        self._peers = peers
        self._read_members = read_members
        self._data_centre = data_centre
        self._regions = regions
        self._seeds = list(seeds)
        self._tie_breakers: dict[str, float] = {}
        self._view = NO_VIEW
        self._refresh_lock = anyio.Lock()
        self._refreshed_at = -REFRESH_INTERVAL_S
        self._store_read_at = -STORE_READ_INTERVAL_S
        self._patient_until = anyio.current_time() + patience_s

    @property
    def view(self) -> LedgerView:
        """The latest known view."""
        return self._view

    def by_distance(self, view: LedgerView | None = None) -> list[LedgerMember]:
        """Return the members of a view, by default the current one, nearest first.

        Equally near members are in an order that is random for each gateway, to balance the load.
        """
        region = self._regions.get(self._data_centre)

        def distance(member: LedgerMember) -> tuple[bool, bool, float]:
            return (
                member.data_centre != self._data_centre,
                self._regions.get(member.data_centre) != region,
                self._tie_breakers.setdefault(member.node, self._rng.random()),
            )

        return sorted((view or self.view).members, key=distance)

    async def refresh(self) -> None:
        """Refresh the view from the members and, less often, from the platform's store."""
        async with self._refresh_lock:
            if anyio.current_time() - self._refreshed_at < REFRESH_INTERVAL_S:
                return
            self._refreshed_at = anyio.current_time()
            known_members = self._view.members
            addresses = [member.address for member in known_members] or self._seeds
            async with anyio.create_task_group() as tasks:
                for address in addresses:
                    tasks.start_soon(self._refresh_from, address)
            now = anyio.current_time()
            is_first = not known_members
            if self._view.members and (
                is_first or now - self._store_read_at < STORE_READ_INTERVAL_S
            ):
                return
            if now < self._patient_until:
                return
            self._store_read_at = now
            read = await self._read_members()
            if isinstance(read, Ok):
                self.adopt(read.ok_value, source="store")

    async def _refresh_from(self, address: str) -> None:
        answer = await self._peers.request(
            address, AskState(), timeout_s=STATE_TIMEOUT_S, idempotent=True
        )
        if isinstance(answer, Ok) and isinstance(answer.ok_value, NodeState):
            self.adopt(answer.ok_value.view, source=answer.ok_value.node)

    def adopt(self, view: LedgerView, *, source: str) -> None:
        """Adopt a view if it is later; ``source`` tells where it was learnt."""
        if view.epoch > self._view.epoch:
            self._view = view
            names = [member.node for member in view.members]
            log.info("ledger_members_changed", epoch=view.epoch, members=names, source=source)
