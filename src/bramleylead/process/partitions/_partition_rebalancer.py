"""Rebalances partitions after membership changes, and moves them away before a planned stop.

Moves are rate-limited and wait until membership has been stable for a while, so that the loss or
return of a rack does not trigger moves across the whole fleet at once.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import final

import anyio
import structlog
from result import Ok

from bramleylead.fleet._rendezvous import preferred_owner_and_second
from bramleylead.platform._store import StoreErrorKind
from bramleylead.process.journal._journal_flush import JournalFlusher
from bramleylead.process.partitions._partition import OwnedPartition
from bramleylead.process.partitions._partition_context import PartitionContext
from bramleylead.process.partitions._partition_record import read_record
from bramleylead.process.partitions._partition_record import swap_record
from bramleylead.process.partitions._partition_record import with_next_epoch
from bramleylead.process.partitions._partition_table import PartitionTable
from bramleylead.process.partitions._partition_takeover import Takeover
from bramleylead.process.partitions._pending_append import ReplicationMode
from bramleylead.process.partitions._replica import ReplicaServer

ROUND_INTERVAL_S = 0.5
MEMBERSHIP_STABLE_S = 3.0
LEAVE_POLL_INTERVAL_S = 0.05
STORE_READ_TIMEOUT_S = 0.1

log = structlog.get_logger()


def _always(_: int) -> bool:
    return True


@final
class PartitionRebalancer:
    """Rebalances the partitions that this node owns."""

    def __init__(
        self,
        context: PartitionContext,
        table: PartitionTable,
        replica_server: ReplicaServer,
        takeover: Takeover,
        flusher: JournalFlusher,
        may_move: Callable[[int], bool] = _always,
    ) -> None:
        self._context = context
        self._table = table
        self._replica_server = replica_server
        self._takeover = takeover
        self._flusher = flusher
        self._may_move = may_move
        self._alive_nodes: tuple[str, ...] = ()
        self._membership_stable_since_s = 0.0
        self._next_move_s = 0.0
        self._leaving = False

    async def run(self) -> None:
        """Rebalance until cancelled."""
        while True:
            await anyio.sleep(ROUND_INTERVAL_S)
            if self._leaving:
                continue
            self._track_membership()
            self._replace_leaving_seconds()
            await self._rebalance()

    async def leave(self) -> None:
        """Hand over all partitions and wait until no pair needs this node; cancel to stop waiting.

        If no other node is left, the journals are fully flushed and closed, so that the next start
        of the fleet loses nothing.
        """
        self._leaving = True
        while self._table.owned:
            for partition in list(self._table.owned.values()):
                # There must be no await between this check and the start of the handover.
                if self._may_move(partition.number):
                    await self._move_away(partition)
            await anyio.sleep(LEAVE_POLL_INTERVAL_S)
        await self._replica_server.wait_empty()

    async def _move_away(self, partition: OwnedPartition) -> None:
        others = {
            member.node
            for member in self._context.members.alive()
            if not self._is_self(member.node)
        }
        second = partition.record.second
        if not others:
            await self._close(partition)
        elif second is not None and second.node not in others:
            partition.break_pair(
                f"{second.node} is leaving or no longer alive", replace_second=True
            )
        else:
            await self._takeover.hand_over(partition, leaving=True)

    def _track_membership(self) -> None:
        nodes = tuple(member.node for member in self._context.members.alive())
        if nodes != self._alive_nodes:
            self._alive_nodes = nodes
            self._membership_stable_since_s = anyio.current_time()

    def _replace_leaving_seconds(self) -> None:
        for partition in list(self._table.owned.values()):
            second = partition.record.second
            if (
                second is None
                or partition.mode is not ReplicationMode.PAIRED
                or second.node in self._alive_nodes
            ):
                continue
            partition.break_pair(
                f"{second.node} is leaving or no longer alive", replace_second=True
            )

    async def _rebalance(self) -> None:
        now = anyio.current_time()
        if now - self._membership_stable_since_s < MEMBERSHIP_STABLE_S:
            return
        for partition in sorted(self._table.owned.values(), key=lambda each: each.number):
            if anyio.current_time() < self._next_move_s:
                return
            if partition.mode is ReplicationMode.PAIRED and await self._move_toward_preferred(
                partition
            ):
                moves_per_s = self._context.settings.partitions.moves_per_s
                self._next_move_s = anyio.current_time() + 1 / moves_per_s

    async def _move_toward_preferred(self, partition: OwnedPartition) -> bool:
        """Make one move towards the preferred pair; return whether one was started."""
        members = self._context.members.alive()
        owner, preferred = preferred_owner_and_second(partition.number, members)
        second = partition.record.second
        if owner is None or second is None:
            return False
        if not self._is_self(owner.node):
            if second.node == owner.node:
                if not self._may_move(partition.number):
                    return False
                await self._takeover.hand_over(partition, leaving=False)
                return True
            return await self._change_second(partition, owner.node)
        if preferred is not None and preferred.node != second.node:
            return await self._change_second(partition, preferred.node)
        return False

    async def _change_second(self, partition: OwnedPartition, node: str) -> bool:
        """Replace the second copy of a working pair, unless the store is too slow to record it."""
        read = await read_record(
            self._context.store, partition.number, timeout_s=STORE_READ_TIMEOUT_S
        )
        if not isinstance(read, Ok):
            return False
        partition.preferred_second = node
        partition.break_pair(f"moving the second copy to {node}", replace_second=True)
        return True

    async def _close(self, partition: OwnedPartition) -> None:
        """Flush the journal of a partition and mark it as closed in the partition object."""
        if partition.record.second is not None:
            # The second copy is leaving too, so the pair must be dissolved first.
            partition.break_pair("no other node is left")
            return
        if not await self._flusher.flush(partition):
            return
        partition.begin_close()
        if partition.copy.tail.flushed != partition.copy.sequence:
            return
        record = with_next_epoch(partition.record, clean_sequence=partition.copy.sequence)
        written = await swap_record(
            self._context.store, partition.number, record, expected=partition.stored.version
        )
        if isinstance(written, Ok) or written.err_value.kind is StoreErrorKind.CONFLICT:
            self._table.retire(partition)

    def _is_self(self, node: str) -> bool:
        return node == self._context.settings.node
