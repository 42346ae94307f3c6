"""Proves to an owner, again and again, that no other node has recovered its partitions.

A pair that is cut off together from the rest still confirms its own entries, while the rest may
take both copies for lost and recover the partition from the store. Nothing on the pair's links
would tell them. So each owner reads the partition objects every few seconds, and a pair without a
recent proof stops acknowledging. A recovery names itself in the object first, waits until every
proof older than that has run out, and reads the journal only then.

While the store is out for all, nothing can be recovered: an outage that peers confirm counts as a
proof.
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
from bramleylead.process.partitions._pending import Mode

AUDIT_S = 2.0
LIST_TIMEOUT_S = 1.0
PROOF_VALID_S = 5.0
EXPIRY_CHECK_S = 0.25
RECOVERY_WAIT_S = PROOF_VALID_S + 1.0
"""How long a recovery waits after its claim: the oldest proof has run out, with clocks 1% apart."""
READ_SINGLY_AT_MOST = 4
LAST_FLUSH_S = 2.0

log = structlog.get_logger()


@final
class PartitionAudit:
    """Audits the partitions that this node owns."""

    def __init__(
        self, context: PartitionContext, table: PartitionTable, flusher: JournalFlusher
    ) -> None:
        self._context = context
        self._table = table
        self._flusher = flusher
        self._proven_s = float("-inf")

    async def run(self) -> None:
        """Audit until cancelled."""
        self._proven_s = anyio.current_time()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._expire)
            while True:
                await anyio.sleep(AUDIT_S)
                if self._table.owned:
                    await self._audit()
                else:
                    self._proven_s = anyio.current_time()

    async def _audit(self) -> None:
        asked_s = anyio.current_time()
        records: dict[int, StoredRecord] | None = None
        with anyio.move_on_after(LIST_TIMEOUT_S):
            records = await self._read()
        if records is None:
            if await self._context.members.store_reachable_by_peers() is False:
                self._prove(asked_s)
            return
        self._prove(asked_s)
        for partition in list(self._table.owned.values()):
            found = records.get(partition.number)
            if found is not None and found.record.epoch > partition.epoch:
                await self._give_up(partition)

    async def _read(self) -> dict[int, StoredRecord] | None:
        """Read the objects of the owned partitions: one by one when there are few of them.

        In a large fleet a node owns few of many partitions, and a list would carry them all.
        """
        if len(self._table.owned) > READ_SINGLY_AT_MOST:
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

    def _prove(self, asked_s: float) -> None:
        self._proven_s = asked_s
        for partition in self._table.owned.values():
            partition.unproven = False

    async def _give_up(self, partition: OwnedPartition) -> None:
        """Stop owning what another node has, after giving it what is acknowledged here."""
        if partition.mode is not Mode.PAIRED or partition.committing:
            return
        with anyio.move_on_after(LAST_FLUSH_S):
            await self._flusher.flush(partition)
        self._context.metrics.event("lost")
        log.warning("partition_lost", partition=partition.number, epoch=partition.epoch)
        self._table.retire(partition)

    async def _expire(self) -> None:
        """Stop the pairs whose last proof is too old."""
        while True:
            await anyio.sleep(EXPIRY_CHECK_S)
            if anyio.current_time() - self._proven_s <= PROOF_VALID_S:
                continue
            for partition in list(self._table.owned.values()):
                partition.unproven = True
                partition.break_pair("no recent proof that no other node has recovered it")
