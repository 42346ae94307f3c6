"""How a node of the ledger joins, is replaced, and leaves.

The list of members is one object of the platform's store, changed by conditional writes only.
Before each change a majority of the present members take the present epoch for known, which ends
entries under earlier ones, and copy from each other, so that what counted under earlier epochs is
held by all of them.
"""

from __future__ import annotations

from typing import Protocol
from typing import final

import anyio
import structlog
from result import Err
from result import Ok
from result import Result

from bramleylead.connection import PeerClient
from bramleylead.errors import ErrorKind
from bramleylead.errors import Failure
from bramleylead.ledger._members import NO_VIEW
from bramleylead.ledger._members import LedgerMember
from bramleylead.ledger._members import LedgerView
from bramleylead.ledger._messages import CatchUp
from bramleylead.ledger._node import LedgerNode

LEAST_MEMBERS = 3
CHECK_INTERVAL_S = 0.5
COPY_INTERVAL_S = 1.0
DEAD_AFTER_S = 3.0
SPARE_INTERVAL_S = 0.5
VACANT_AFTER_S = 1.0
"""A spare takes a silent member's place sooner than the member is taken out: one member more does
no harm."""
REPLACED_WITHIN_S = 2.5
"""So long a node that leaves waits for a spare to join before it takes itself out."""
PATIENCE_S = 0.7
"""While the first members join, a place is left for so long to a node of a region, then to one of
a data centre, that has no member yet."""
CATCH_UP_TIMEOUT_S = 5.0

log = structlog.get_logger()


class MemberList(Protocol):
    """The list of members in the platform's store."""

    async def read(self) -> Result[LedgerView, str]:
        """Return the list; the empty view if there is none yet."""
        ...

    async def change(self, before: LedgerView, after: LedgerView) -> Result[None, str]:
        """Put a view in place of the one before it; an ``Err`` if that is not certain to be so."""
        ...


@final
class Membership:
    """Keeps one node a member, and the list of members in order.

    :param losses: how many members may lose their disks at once.
    :param wanted: how many live members there should be; by default ``2 * losses + 1``, since more
        would only make entries dearer. Other nodes are spares, which join when a place is vacant.
    :param regions: the region of each data centre.
    """

    def __init__(
        self,
        node: LedgerNode,
        members: MemberList,
        peers: PeerClient,
        *,
        losses: int,
        wanted: int | None = None,
        regions: dict[str, str] | None = None,
    ) -> None:
        self._wanted = wanted or max(LEAST_MEMBERS, 2 * losses + 1)
        self._regions = regions or {}
        self._vacant_since: float | None = None
        self._node = node
        self._members = members
        self._peers = peers
        self._losses = losses
        self._heard_at: dict[str, float] = {}
        self._copied_at = 0.0
        self._leaves_at: float | None = None
        self._left = False
        self._leaving_nodes: set[str] = set()

    async def run(self) -> None:
        """Look after the membership until cancelled."""
        while True:
            await self.step()
            await anyio.sleep(CHECK_INTERVAL_S)

    async def step(self) -> None:
        """Join if this node is no member; else look at the others."""
        if self._node.leaving:
            return
        if self._node.is_member:
            await self._look_at_others()
        else:
            await self._join()

    async def leave(self) -> bool:
        """Leave the ledger for good; returns whether all that counted is held by the others."""
        self._node.leaving = True
        if not self._left:
            read = await self._members.read()
            if isinstance(read, Ok):
                await self._node.adopt(read.ok_value)
            if not self._is_replaced():
                return False
            self._left = await self._take_out(self._node.me.node)
        if not self._left:
            return False
        view = self._node.view
        settled = await self._settle(view, view.members, need=len(view.members))
        return isinstance(settled, Ok)

    def _is_replaced(self) -> bool:
        """Return whether enough others are members, or no spare has joined for a while."""
        now = anyio.current_time()
        if self._leaves_at is None:
            self._leaves_at = now + REPLACED_WITHIN_S
        return len(self._others(self._node.view)) >= self._wanted or now >= self._leaves_at

    async def _look_at_others(self) -> None:
        others = self._others(self._node.view)
        async with anyio.create_task_group() as tasks:
            for member in others:
                tasks.start_soon(self._hear, member)
        await self._copy_from_others()
        await self._drop_dead()

    async def _hear(self, member: LedgerMember) -> None:
        state = await self._node.ask_state(member)
        if state is not None and state.disk == member.disk:
            self._heard_at[member.node] = anyio.current_time()
            if state.leaving:
                self._leaving_nodes.add(member.node)

    async def _copy_from_others(self) -> None:
        now = anyio.current_time()
        if now - self._copied_at < COPY_INTERVAL_S:
            return
        self._copied_at = now
        for member in self._live():
            copied = await self._node.copy_from(member)
            if isinstance(copied, Err):
                log.info("copy_failed", peer=member.node, reason=copied.err_value.detail)

    def _live(self) -> list[LedgerMember]:
        """Return the other members that were heard of lately."""
        now = anyio.current_time()
        return [
            member
            for member in self._others(self._node.view)
            if now - self._heard_at.setdefault(member.node, now) < DEAD_AFTER_S
        ]

    async def _drop_dead(self) -> None:
        """Take a member out that is silent, if enough others are left without it."""
        view = self._node.view
        live = self._live()
        dead = [member for member in self._others(view) if member not in live]
        enough = len(view.members) - 1 >= self._losses + 2
        first = min([self._node.me, *live]).node
        if dead and enough and first == self._node.me.node:
            log.info("member_silent", peer=dead[0].node, limit_s=DEAD_AFTER_S, epoch=view.epoch)
            await self._take_out(dead[0].node)

    async def _join(self) -> None:
        read = await self._members.read()
        if isinstance(read, Err):
            log.info("member_list_unread", reason=read.err_value)
            return
        view = read.ok_value
        if view == NO_VIEW:
            await self._change(NO_VIEW, LedgerView(1, (self._node.me,)))
            return
        await self._node.adopt(view)
        if self._node.is_member:
            return
        former = view.member(self._node.me.node)
        if former is not None:
            await self._replace_former(view, former)
            return
        if await self._finds_vacancy(view):
            await self._add_self(view)
        else:
            await anyio.sleep(SPARE_INTERVAL_S)

    async def _finds_vacancy(self, view: LedgerView) -> bool:
        """Return whether too few members are alive, and this node is the one to join."""
        async with anyio.create_task_group() as tasks:
            for member in view.members:
                tasks.start_soon(self._hear, member)
        now = anyio.current_time()
        alive = [
            member
            for member in view.members
            if now - self._heard_at.setdefault(member.node, now) < VACANT_AFTER_S
            and member.node not in self._leaving_nodes
        ]
        if len(alive) >= self._wanted:
            self._vacant_since = None
            return False
        if self._vacant_since is None:
            self._vacant_since = now
        if len(view.members) >= self._wanted:
            return True
        return now - self._vacant_since >= self._patience_s(alive)

    def _patience_s(self, alive: list[LedgerMember]) -> float:
        centres = {member.data_centre for member in alive}
        own = self._node.me.data_centre
        if own in centres:
            return 2 * PATIENCE_S
        regions = {self._regions.get(centre, centre) for centre in centres}
        return PATIENCE_S if self._regions.get(own, own) in regions else 0.0

    async def _replace_former(self, view: LedgerView, former: LedgerMember) -> None:
        """Mend this node's entry: its address if only that is another, else take it out."""
        if former.disk == self._node.me.disk:
            await self._change(view, view.replacing(self._node.me))
            return
        if len(view.members) == 1:
            log.error("ledger_lost", former_disk=former.disk, disk=self._node.me.disk)
            await self._change(view, LedgerView(view.epoch + 1, (self._node.me,)))
            return
        await self._take_out(former.node)

    async def _add_self(self, view: LedgerView) -> None:
        others = view.members
        settled = await self._settle(view, others, need=view.acks_needed(0))
        if isinstance(settled, Err):
            log.info("join_waits", epoch=view.epoch, reason=settled.err_value.detail)
            return
        for member in settled.ok_value:
            copied = await self._node.copy_from(member)
            if isinstance(copied, Err):
                log.info("join_waits", epoch=view.epoch, reason=copied.err_value.detail)
                return
        await self._change(view, view.with_member(self._node.me))

    async def _take_out(self, node: str) -> bool:
        """Take a member out once the others hold all that counted."""
        view = self._node.view
        others = tuple(member for member in view.members if member.node != node)
        # Each entry that counted is held by at least one of any so many others.
        need = max(1, len(view.members) - view.acks_needed(self._losses) + 1)
        settled = await self._settle(view, others, need=need)
        if isinstance(settled, Err):
            log.info("removal_waits", member=node, reason=settled.err_value.detail)
            return False
        return await self._change(view, view.without(node))

    async def _settle(
        self, view: LedgerView, members: tuple[LedgerMember, ...], *, need: int
    ) -> Result[list[LedgerMember], Failure]:
        """Let the members that answer know the view and copy from each other.

        :param need: how many must do so.
        """
        live = await self._answering(members)
        if len(live) < need:
            detail = f"{len(live)} of {len(members)} members answer, {need} are needed"
            return Err(Failure(ErrorKind.NOT_DURABLE, detail))
        among = tuple(member.node for member in live)
        # Once to end entries under earlier epochs, then once more to copy what counted until then.
        for _ in range(2):
            for member in live:
                caught_up = await self._catch_up(member, view, among)
                if isinstance(caught_up, Err):
                    return caught_up
        return Ok(live)

    async def _answering(self, members: tuple[LedgerMember, ...]) -> list[LedgerMember]:
        answering = []

        async def ask(member: LedgerMember) -> None:
            if member == self._node.me:
                answering.append(member)
                return
            state = await self._node.ask_state(member)
            if state is not None and state.disk == member.disk:
                answering.append(member)

        async with anyio.create_task_group() as tasks:
            for member in members:
                tasks.start_soon(ask, member)
        return sorted(answering)

    async def _catch_up(
        self, member: LedgerMember, view: LedgerView, among: tuple[str, ...]
    ) -> Result[None, Failure]:
        if member == self._node.me:
            await self._node.adopt(view)
            for name in among:
                other = view.member(name)
                if other is not None and other != member:
                    copied = await self._node.copy_from(other)
                    if isinstance(copied, Err):
                        return copied
            return Ok(None)
        answer = await self._peers.request(
            member.address, CatchUp(view, among), timeout_s=CATCH_UP_TIMEOUT_S, idempotent=True
        )
        return answer if isinstance(answer, Err) else Ok(None)

    async def _change(self, before: LedgerView, after: LedgerView) -> bool:
        changed = await self._members.change(before, after)
        if isinstance(changed, Err):
            log.info("member_list_unchanged", epoch=before.epoch, reason=changed.err_value)
            return False
        await self._node.adopt(after)
        for member in self._others(after):
            self._heard_at.setdefault(member.node, anyio.current_time())
        await self._announce(after)
        return True

    async def _announce(self, view: LedgerView) -> None:
        """Tell the members of a view; gateways tell those that do not hear it now."""
        async with anyio.create_task_group() as tasks:
            for member in self._others(view):
                tasks.start_soon(self._catch_up, member, view, ())

    def _others(self, view: LedgerView) -> tuple[LedgerMember, ...]:
        return tuple(member for member in view.members if member.node != self._node.me.node)
