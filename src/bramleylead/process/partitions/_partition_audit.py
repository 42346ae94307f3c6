"""Periodically verifies that no other node has recovered the partitions owned by this node.

If both nodes of a pair are partitioned from the rest of the fleet, the pair still acknowledges
entries, while the rest may consider both copies lost and recover the partition from the store. The
pair can't detect this on its own links. Each owner therefore reads the partition objects every few
seconds, and a pair without a recent verification stops acknowledging. A recovery first writes its
claim to the partition object, waits until every earlier verification has expired, and only then
reads the journal.

While the store is unavailable to all nodes, no partition can be recovered, so an outage confirmed
by peers counts as a verification.
"""

from __future__ import annotations

from typing import final

import anyio
import structlog
from result import Ok

from bramleylead.process.journal._journal_flush import JournalFlusher
from bramleylead.process.partitions._partition import OwnedPartition
from bramleylead.process.partitions._partition_context import PartitionContext
from bramleylead.process.partitions._partition_record import StoredRecord
from bramleylead.process.partitions._partition_record import list_records
from bramleylead.process.partitions._partition_record import read_record
from bramleylead.process.partitions._partition_table import PartitionTable
from bramleylead.process.partitions._pending_append import ReplicationMode

AUDIT_INTERVAL_S = 2.0
LIST_TIMEOUT_S = 1.0
VERIFICATION_VALID_S = 5.0
EXPIRY_CHECK_INTERVAL_S = 0.25
RECOVERY_DELAY_S = VERIFICATION_VALID_S + 1.0
"""Delay between claim and recovery, so that every verification has expired with clocks 1% apart."""
MAX_SINGLE_READS = 4
FINAL_FLUSH_TIMEOUT_S = 2.0

log = structlog.get_logger()


@final
class PartitionAudit:
    """Verifies the ownership of the partitions that this node owns."""

    def __init__(
        self, context: PartitionContext, table: PartitionTable, flusher: JournalFlusher
    ) -> None:
        self._context = context
        self._table = table
        self._flusher = flusher
        self._verified_s = float("-inf")

    async def run(self) -> None:
        """Verify the ownership periodically, until cancelled."""
        self._verified_s = anyio.current_time()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._break_unverified_pairs)
            while True:
                await anyio.sleep(AUDIT_INTERVAL_S)
                if self._table.owned:
                    await self._audit()
                else:
                    self._verified_s = anyio.current_time()

    async def _audit(self) -> None:
        started_s = anyio.current_time()
        records: dict[int, StoredRecord] | None = None
        with anyio.move_on_after(LIST_TIMEOUT_S):
            records = await self._read_records()
        if records is None:
            if await self._context.members.store_reachable_by_peers() is False:
                self._record_verification(started_s)
            return
        self._record_verification(started_s)
        for partition in list(self._table.owned.values()):
            found = records.get(partition.number)
            if found is not None and found.record.epoch > partition.epoch:
                await self._retire_superseded(partition)

    async def _read_records(self) -> dict[int, StoredRecord] | None:
        """Read the objects of the owned partitions, one by one if there are few of them.

        In a large fleet a node owns few of many partitions, and a list call would return them all.
        """
        if len(self._table.owned) > MAX_SINGLE_READS:
            listed = await list_records(self._context.store)
            return listed.ok_value if isinstance(listed, Ok) else None
        records: dict[int, StoredRecord] = {}
        for number in list(self._table.owned):
            read = await read_record(self._context.store, number)
            if not isinstance(read, Ok):
                return None
            if read.ok_value is not None:
                records[number] = read.ok_value
        return records

    def _record_verification(self, started_s: float) -> None:
        self._verified_s = started_s
        for partition in self._table.owned.values():
            partition.unverified = False

    async def _retire_superseded(self, partition: OwnedPartition) -> None:
        """Retire a partition that another node has claimed, after a last flush of its journal."""
        if partition.mode is not ReplicationMode.PAIRED or partition.committing:
            return
        with anyio.move_on_after(FINAL_FLUSH_TIMEOUT_S):
            await self._flusher.flush(partition)
        self._context.metrics.event("lost")
        log.warning("partition_lost", partition=partition.number, epoch=partition.epoch)
        self._table.retire(partition)

    async def _break_unverified_pairs(self) -> None:
        """Break all pairs when the last verification has expired."""
        while True:
            await anyio.sleep(EXPIRY_CHECK_INTERVAL_S)
            if anyio.current_time() - self._verified_s <= VERIFICATION_VALID_S:
                continue
            for partition in list(self._table.owned.values()):
                partition.unverified = True
                partition.break_pair("no recent verification that no other node has recovered it")
