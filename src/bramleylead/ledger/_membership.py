"""How a ledger node joins, is replaced, and leaves.

The member list is one object in the platform's store, changed by conditional writes only. Before
each change, a majority of the current members adopt the current epoch, after which they refuse
entries for earlier epochs, and copy records from each other. All of them then hold every entry that
was committed in an earlier epoch.
"""

from __future__ import annotations

import random
from typing import NamedTuple
from typing import Protocol
from typing import final

import anyio
import structlog
from result import Err
from result import Ok
from result import Result

from bramleylead.connection import PeerClient
from bramleylead.ledger._members import NO_VIEW
from bramleylead.ledger._members import LedgerMember
from bramleylead.ledger._members import LedgerView
from bramleylead.ledger._node import LedgerNode
from bramleylead.ledger._synchronisation import Probed
from bramleylead.ledger._synchronisation import Synchroniser

MIN_MEMBERS = 3
CHECK_INTERVAL_S = 0.5
COPY_INTERVAL_S = 1.0
DEAD_AFTER_S = 3.0
SPARE_CHECK_INTERVAL_S = 0.5
VACANT_AFTER_S = 1.0
"""A spare joins in place of a silent member before that member is removed, since one member too
many does no harm."""
REPLACEMENT_TIMEOUT_S = 2.5
"""How long a leaving node waits for a spare to join before it removes itself."""
JOIN_DELAY_S = 0.7
"""While the first members join, only nodes of regions without a member may join at once. Nodes of
other data centres without a member wait this long, and all other nodes twice as long."""
MAX_SPARE_DELAY_S = 0.4
"""Spares that notice a vacancy at the same moment wait a random part of this, so that most of them
learn from a member that it is filled, without a call to the store."""

log = structlog.get_logger()


class MemberList(Protocol):
    """The member list in the platform's store."""

    async def read(self) -> Result[LedgerView, str]:
        """Return the stored view; the empty view if none is stored yet."""
        ...

    async def change(self, before: LedgerView, after: LedgerView) -> Result[None, str]:
        """Replace a view by the next one; ``Err`` unless it is certain that this was done."""
        ...


class _ListedView(NamedTuple):
    """A view, and whether a member of it reports that another one is silent or leaving."""

    view: LedgerView
    has_vacancy: bool


@final
class Membership:
    """Keeps one node a member of the ledger, and the member list up to date.

    :param losses: how many members may lose their disks at once.
    :param target_size: intended number of live members; by default ``2 * losses + 1``, since more
        would only make entries more expensive. Other nodes are spares, which join once a place is
        vacant.
    :param regions: the region of each data centre.
    """

    def __init__(
        self,
        node: LedgerNode,
        members: MemberList,
        peers: PeerClient,
        *,
        losses: int,
        rng: random.Random,
        target_size: int | None = None,
        regions: dict[str, str] | None = None,
    ) -> None:
        self._target_size = target_size or max(MIN_MEMBERS, 2 * losses + 1)
        self._regions = regions or {}
        self._rng = rng
        self._vacant_since: float | None = None
        self._node = node
        self._synchroniser = Synchroniser(node, peers)
        self._members = members
        self._losses = losses
        self._last_answer_at: dict[str, float] = {}
        self._last_copy_at = 0.0
        self._leave_deadline: float | None = None
        self._is_removed = False
        self._leaving_nodes: set[str] = set()

    async def run(self) -> None:
        """Maintain the membership until cancelled."""
        while True:
            await self.check()
            await anyio.sleep(CHECK_INTERVAL_S)

    async def check(self) -> None:
        """Join if this node is not a member; otherwise check the other members."""
        if self._node.leaving:
            return
        if self._node.is_member:
            await self._check_others()
        else:
            await self._join()

    async def leave(self) -> bool:
        """Leave the ledger permanently; return whether the others hold all committed entries."""
        self._node.leaving = True
        if not self._is_removed:
            read = await self._members.read()
            if isinstance(read, Ok):
                await self._node.adopt(read.ok_value)
            if not self._is_replaced():
                return False
            self._is_removed = await self._remove_member(self._node.own_entry.node)
        if not self._is_removed:
            return False
        view = self._node.view
        synchronised = await self._synchroniser.synchronise(
            view, view.members, required=lambda probed: len(view.members)
        )
        return isinstance(synchronised, Ok)

    def _is_replaced(self) -> bool:
        """Return whether enough others are members, or the wait for a spare has timed out."""
        now = anyio.current_time()
        if self._leave_deadline is None:
            self._leave_deadline = now + REPLACEMENT_TIMEOUT_S
        return (
            len(self._other_members(self._node.view)) >= self._target_size
            or now >= self._leave_deadline
        )

    async def _check_others(self) -> None:
        others = self._other_members(self._node.view)
        async with anyio.create_task_group() as tasks:
            for member in others:
                tasks.start_soon(self._probe_member, member)
        self._node.vacancies = self._count_vacancies()
        await self._copy_from_others()
        await self._remove_silent()

    async def _probe_member(self, member: LedgerMember) -> None:
        state = await self._node.fetch_state(member)
        if state is not None and state.disk == member.disk:
            self._last_answer_at[member.node] = anyio.current_time()
            if state.leaving:
                self._leaving_nodes.add(member.node)

    def _count_vacancies(self) -> int:
        now = anyio.current_time()
        return sum(
            member.node in self._leaving_nodes
            or now - self._last_answer_at.setdefault(member.node, now) >= VACANT_AFTER_S
            for member in self._other_members(self._node.view)
        )

    async def _copy_from_others(self) -> None:
        now = anyio.current_time()
        if now - self._last_copy_at < COPY_INTERVAL_S:
            return
        self._last_copy_at = now
        for member in self._live_members():
            copied = await self._node.copy_from(member)
            if isinstance(copied, Err):
                log.info("copy_failed", peer=member.node, reason=copied.err_value.detail)

    def _live_members(self) -> list[LedgerMember]:
        """Return the other members that answered recently."""
        now = anyio.current_time()
        return [
            member
            for member in self._other_members(self._node.view)
            if now - self._last_answer_at.setdefault(member.node, now) < DEAD_AFTER_S
        ]

    async def _remove_silent(self) -> None:
        """Remove a silent member, if enough members remain without it."""
        view = self._node.view
        live = self._live_members()
        silent = [member for member in self._other_members(view) if member not in live]
        enough = view.may_remove_silent(self._losses)
        remover = min([self._node.own_entry, *live]).node
        if silent and enough and remover == self._node.own_entry.node:
            log.info("member_silent", peer=silent[0].node, limit_s=DEAD_AFTER_S, epoch=view.epoch)
            await self._remove_member(silent[0].node)

    async def _join(self) -> None:
        listed = await self._latest_view()
        if listed is None:
            return
        view = listed.view
        if view == NO_VIEW:
            await self._change(NO_VIEW, LedgerView(1, (self._node.own_entry,)))
            return
        await self._node.adopt(view)
        if self._node.is_member:
            return
        former = view.member(self._node.own_entry.node)
        if former is not None:
            await self._replace_former_entry(view, former)
            return
        if await self._may_join(listed):
            await self._add_self(view)
        else:
            await anyio.sleep(SPARE_CHECK_INTERVAL_S)

    async def _latest_view(self) -> _ListedView | None:
        """Return the view that a member reports, or else the one in the platform's store."""
        members = list(self._node.view.members)
        self._rng.shuffle(members)
        for member in members:
            state = await self._node.fetch_state(member)
            if state is not None and state.view.epoch >= self._node.view.epoch:
                return _ListedView(self._node.view, state.vacancies > 0 or state.leaving)
        read = await self._members.read()
        if isinstance(read, Err):
            log.info("member_list_unread", reason=read.err_value)
            return None
        return _ListedView(read.ok_value, has_vacancy=bool(members))

    async def _may_join(self, listed: _ListedView) -> bool:
        """Return whether too few members are alive and this node may join now."""
        view = listed.view
        if len(view.members) >= self._target_size:
            if not listed.has_vacancy:
                return False
            await anyio.sleep(self._rng.uniform(0.0, MAX_SPARE_DELAY_S))
        started = anyio.current_time()
        async with anyio.create_task_group() as tasks:
            for member in view.members:
                tasks.start_soon(self._probe_member, member)
        if self._node.view.epoch > view.epoch:
            return False
        now = anyio.current_time()
        # Who answered no probe just now is silent, if a member has found it silent for a while.
        silent_after_s = now - started if listed.has_vacancy else VACANT_AFTER_S
        alive = [
            member
            for member in view.members
            if now - self._last_answer_at.setdefault(member.node, started) < silent_after_s
            and member.node not in self._leaving_nodes
        ]
        if len(alive) >= self._target_size:
            self._vacant_since = None
            return False
        if self._vacant_since is None:
            self._vacant_since = now
        if len(view.members) >= self._target_size:
            return True
        return now - self._vacant_since >= self._join_delay_s(alive)

    def _join_delay_s(self, alive: list[LedgerMember]) -> float:
        centres = {member.data_centre for member in alive}
        own = self._node.own_entry.data_centre
        if own in centres:
            return 2 * JOIN_DELAY_S
        regions = {self._regions.get(centre, centre) for centre in centres}
        return JOIN_DELAY_S if self._regions.get(own, own) in regions else 0.0

    async def _replace_former_entry(self, view: LedgerView, former: LedgerMember) -> None:
        """Update the address in this node's entry, or remove the entry if its disk differs."""
        if former.disk == self._node.own_entry.disk:
            await self._change(view, view.with_updated_member(self._node.own_entry))
            return
        if len(view.members) == 1:
            log.error("ledger_lost", former_disk=former.disk, disk=self._node.own_entry.disk)
            await self._change(view, LedgerView(view.epoch + 1, (self._node.own_entry,)))
            return
        await self._remove_member(former.node)

    async def _add_self(self, view: LedgerView) -> None:
        synchronised = await self._synchroniser.synchronise(
            view,
            view.members,
            required=lambda probed: view.syncs_before_join(
                self._losses, has_settled=probed.has_settled
            ),
        )
        if isinstance(synchronised, Err):
            log.info("join_waits", epoch=view.epoch, reason=synchronised.err_value.detail)
            return
        for member in synchronised.ok_value:
            copied = await self._node.copy_from(member)
            if isinstance(copied, Err):
                log.info("join_waits", epoch=view.epoch, reason=copied.err_value.detail)
                return
        checked = await self._synchroniser.check_disks(view, synchronised.ok_value)
        if isinstance(checked, Err):
            log.info("join_waits", epoch=view.epoch, reason=checked.err_value.detail)
            return
        await self._change(view, view.with_member(self._node.own_entry))

    async def _remove_member(self, node: str) -> bool:
        """Remove a member once the others hold all committed entries."""
        view = self._node.view
        others = tuple(member for member in view.members if member.node != node)
        own = self._node.own_entry
        leaving = own if node == own.node and own in view.members else None

        def required(probed: Probed) -> int:
            if leaving is not None:
                return view.syncs_before_retirement(self._losses)
            if node == own.node:
                return view.syncs_before_removal(self._losses, lost=probed.lost)
            copied = self._node.settled.difference(member.node for member in probed.live)
            return view.syncs_before_removal(self._losses, copied=len(copied))

        synchronised = await self._synchroniser.synchronise(
            view, others, required=required, leaving=leaving
        )
        if isinstance(synchronised, Err):
            log.info("removal_waits", member=node, reason=synchronised.err_value.detail)
            return False
        return await self._change(view, view.without(node))

    async def _change(self, before: LedgerView, after: LedgerView) -> bool:
        changed = await self._members.change(before, after)
        if isinstance(changed, Err):
            log.info("member_list_unchanged", epoch=before.epoch, reason=changed.err_value)
            return False
        await self._node.adopt(after)
        for member in self._other_members(after):
            self._last_answer_at.setdefault(member.node, anyio.current_time())
        await self._announce(after)
        return True

    async def _announce(self, view: LedgerView) -> None:
        """Send a view to its members; gateways send it to those that are not reached now."""
        async with anyio.create_task_group() as tasks:
            for member in self._other_members(view):
                tasks.start_soon(self._synchroniser.catch_up, member, view, ())

    def _other_members(self, view: LedgerView) -> tuple[LedgerMember, ...]:
        return tuple(member for member in view.members if member.node != self._node.own_entry.node)
