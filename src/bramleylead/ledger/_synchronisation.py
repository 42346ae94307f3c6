"""Makes members adopt a view and copy records from each other, before the member list changes."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from typing import NamedTuple
from typing import final

import anyio
from result import Err
from result import Ok
from result import Result

from bramleylead.connection import PeerClient
from bramleylead.errors import ErrorKind
from bramleylead.errors import Failure
from bramleylead.ledger._members import LedgerMember
from bramleylead.ledger._members import LedgerView
from bramleylead.ledger._messages import CatchUp
from bramleylead.ledger._node import LedgerNode

CATCH_UP_TIMEOUT_S = 5.0


class Probed(NamedTuple):
    """What members answered before a change.

    :param live: those that answered with the disk of their entry.
    :param lost: how many answered with another disk.
    :param has_settled: whether one of the live ones holds all entries of earlier epochs.
    """

    live: list[LedgerMember]
    lost: int
    has_settled: bool


@final
class Synchroniser:
    """Synchronises members on behalf of one node."""

    def __init__(self, node: LedgerNode, peers: PeerClient) -> None:
        self._node = node
        self._peers = peers

    async def synchronise(
        self,
        view: LedgerView,
        members: tuple[LedgerMember, ...],
        *,
        required: Callable[[Probed], int],
        leaving: LedgerMember | None = None,
    ) -> Result[list[LedgerMember], Failure]:
        """Make the members that answer adopt the view and copy records from each other.

        :param required: returns how many of them must do so, given what they answered.
        :param leaving: a member that has adopted the view, from which they copy too.
        """
        probed = await self._probe(members, view.epoch)
        live = probed.live
        if len(live) < required(probed):
            detail = f"{len(live)} of {len(members)} members answered, {required(probed)} required"
            return Err(Failure(ErrorKind.NOT_DURABLE, detail))
        sources = tuple(member.node for member in live)
        if leaving is not None:
            sources += (leaving.node,)
        # The first pass ends entries for earlier epochs, the second copies those committed by then.
        for _ in range(2):
            for member in live:
                caught_up = await self.catch_up(member, view, sources)
                if isinstance(caught_up, Err):
                    return caught_up
        return Ok(live)

    async def check_disks(
        self, view: LedgerView, members: list[LedgerMember]
    ) -> Result[None, Failure]:
        """Check that members still answer with the disks of their entries."""
        probed = await self._probe(members, view.epoch)
        missing = [member.node for member in members if member not in probed.live]
        if missing:
            detail = f"{', '.join(missing)} did not confirm the disk after the copies"
            return Err(Failure(ErrorKind.NOT_DURABLE, detail))
        return Ok(None)

    async def _probe(self, members: Iterable[LedgerMember], epoch: int) -> Probed:
        live = []
        lost = []
        settled = []

        async def probe(member: LedgerMember) -> None:
            if member == self._node.own_entry:
                live.append(member)
                return
            state = await self._node.fetch_state(member)
            if state is None:
                return
            if state.disk == member.disk:
                live.append(member)
                if state.settled and state.view.epoch == epoch:
                    settled.append(member)
            elif state.node == member.node:
                lost.append(member)

        async with anyio.create_task_group() as tasks:
            for member in members:
                tasks.start_soon(probe, member)
        return Probed(sorted(live), len(lost), len(settled) > 0)

    async def catch_up(
        self, member: LedgerMember, view: LedgerView, sources: tuple[str, ...]
    ) -> Result[None, Failure]:
        if member == self._node.own_entry:
            await self._node.adopt(view)
            for name in sources:
                other = view.member(name)
                if other is not None and other != member:
                    copied = await self._node.copy_from(other)
                    if isinstance(copied, Err):
                        return copied
            return Ok(None)
        answer = await self._peers.request(
            member.address, CatchUp(view, sources), timeout_s=CATCH_UP_TIMEOUT_S, idempotent=True
        )
        return answer if isinstance(answer, Err) else Ok(None)
