"""Keeps partitions where they should be: moves after changes of membership, planned stop.

Moves are limited in rate and wait until membership has been quiet, so that a rack that goes or
comes does not set the whole fleet moving at once.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import final

import anyio
import structlog
from result import Ok

from bramleylead.platform._store import StoreErrorKind
from bramleylead.process.journal._journal_flush import JournalFlusher
from bramleylead.process.partitions._partition import OwnedPartition
from bramleylead.process.partitions._partition_context import PartitionContext
from bramleylead.process.partitions._partition_record import read_record
from bramleylead.process.partitions._partition_record import renewed
from bramleylead.process.partitions._partition_record import swap_record
from bramleylead.process.partitions._partition_table import PartitionTable
from bramleylead.process.partitions._partition_takeover import Takeover
from bramleylead.process.partitions._pending import Mode
from bramleylead.process.partitions._rendezvous import owner_and_second
from bramleylead.process.partitions._replica import ReplicaKeeper

ROUND_S = 0.5
QUIET_S = 3.0
LEAVE_POLL_S = 0.05
STORE_FAST_S = 0.1

log = structlog.get_logger()


def _always(_: int) -> bool:
    return True


@final
class PartitionUpkeep:
    """Moves the partitions that this node owns."""

    def __init__(
        self,
        context: PartitionContext,
        table: PartitionTable,
        keeper: ReplicaKeeper,
        takeover: Takeover,
        flusher: JournalFlusher,
        idle: Callable[[int], bool] = _always,
    ) -> None:
        self._context = context
        self._table = table
        self._keeper = keeper
        self._takeover = takeover
        self._flusher = flusher
        self._idle = idle
        self._nodes: tuple[str, ...] = ()
        self._quiet_since_s = 0.0
        self._next_move_s = 0.0
        self._leaving = False

    async def run(self) -> None:
        """Move until cancelled."""
        while True:
            await anyio.sleep(ROUND_S)
            if self._leaving:
                continue
            self._watch_members()
            self._replace_leaving()
            await self._move_some()

    async def leave(self) -> None:
        """Hand everything over and wait until no pair needs this node; cancel it to stop waiting.

        With no other node left, the journals are flushed whole and closed, so that the next start
        of the fleet loses nothing.
        """
        self._leaving = True
        while self._table.owned:
            for partition in list(self._table.owned.values()):
                # No wait may come between this look and the start of the handover.
                if self._idle(partition.number):
                    await self._give_up(partition)
            await anyio.sleep(LEAVE_POLL_S)
        await self._keeper.wait_empty()

    async def _give_up(self, partition: OwnedPartition) -> None:
        others = {
            member.node
            for member in self._context.members.alive()
            if not self._is_here(member.node)
        }
        second = partition.record.second
        if not others:
            await self._close(partition)
        elif second is not None and second.node not in others:
            partition.break_pair(f"{second.node} is leaving or gone")
        else:
            await self._takeover.hand_over(partition, leaving=True)

    def _watch_members(self) -> None:
        nodes = tuple(member.node for member in self._context.members.alive())
        if nodes != self._nodes:
            self._nodes = nodes
            self._quiet_since_s = anyio.current_time()

    def _replace_leaving(self) -> None:
        for partition in list(self._table.owned.values()):
            second = partition.record.second
            if second is None or partition.mode is not Mode.PAIRED or second.node in self._nodes:
                continue
            partition.break_pair(f"{second.node} is leaving or gone")

    async def _move_some(self) -> None:
        now = anyio.current_time()
        if now - self._quiet_since_s < QUIET_S:
            return
        for partition in sorted(self._table.owned.values(), key=lambda each: each.number):
            if anyio.current_time() < self._next_move_s:
                return
            if partition.mode is Mode.PAIRED and await self._move(partition):
                moves_per_s = self._context.settings.partitions.moves_per_s
                self._next_move_s = anyio.current_time() + 1 / moves_per_s

    async def _move(self, partition: OwnedPartition) -> bool:
        """Take one step towards the pair that rendezvous hashing names; whether there was one."""
        members = self._context.members.alive()
        owner, wanted = owner_and_second(partition.number, members)
        second = partition.record.second
        if owner is None or second is None:
            return False
        if not self._is_here(owner.node):
            if second.node == owner.node:
                if not self._idle(partition.number):
                    return False
                await self._takeover.hand_over(partition, leaving=False)
                return True
            return await self._change_second(partition, owner.node)
        if wanted is not None and wanted.node != second.node:
            return await self._change_second(partition, wanted.node)
        return False

    async def _change_second(self, partition: OwnedPartition, node: str) -> bool:
        """Give up a whole pair for a better one, unless the store is too slow to name it."""
        read = await read_record(self._context.store, partition.number, timeout_s=STORE_FAST_S)
        if not isinstance(read, Ok):
            return False
        partition.preferred_second = node
        partition.break_pair(f"moving the second copy to {node}")
        return True

    async def _close(self, partition: OwnedPartition) -> None:
        """Flush the last journal copy of a partition and say so in its object."""
        if partition.record.second is not None:
            # The second copy is leaving too: one of the two must end alone.
            partition.break_pair("no other node is left")
            return
        if not await self._flusher.flush(partition):
            return
        partition.begin_close()
        if partition.copy.tail.flushed != partition.copy.sequence:
            return
        record = renewed(partition.record, clean_sequence=partition.copy.sequence)
        written = await swap_record(
            self._context.store, partition.number, record, expected=partition.stored.version
        )
        if isinstance(written, Ok) or written.err_value.kind is StoreErrorKind.CONFLICT:
            self._table.retire(partition)

    def _is_here(self, node: str) -> bool:
        return node == self._context.settings.node
