"""Moves ownership: to the second copy of a silent owner, or by a planned handover.

Takeover: the second copy seals its epoch, reads the partition object, installs a new second copy
and changes the object by compare-and-set; only then does it serve. Sealing comes at least
``takeover_after_s`` after the owner's last heartbeat arrived, so that the owner's right to act,
which counts from when it sent that heartbeat, has ended by then.
"""

from __future__ import annotations

from typing import final

import anyio
import structlog
from result import Err
from result import Ok

from bramleylead.connection import PeerServer
from bramleylead.connection import Reply
from bramleylead.connection._rpc import Done
from bramleylead.errors import ErrorKind
from bramleylead.errors import Failure
from bramleylead.platform._store import StoreErrorKind
from bramleylead.process.journal._entries import GrantForfeited
from bramleylead.process.partitions._owner_map import OwnerMap
from bramleylead.process.partitions._partition import SOLO_MARGIN_S
from bramleylead.process.partitions._partition import OwnedPartition
from bramleylead.process.partitions._partition_context import PartitionContext
from bramleylead.process.partitions._partition_messages import HandedOver
from bramleylead.process.partitions._partition_record import PartitionRecord
from bramleylead.process.partitions._partition_record import StoredRecord
from bramleylead.process.partitions._partition_record import read_record
from bramleylead.process.partitions._partition_record import renewed
from bramleylead.process.partitions._partition_record import swap_record
from bramleylead.process.partitions._partition_repair import Outcome
from bramleylead.process.partitions._partition_repair import PairRepair
from bramleylead.process.partitions._partition_table import PartitionTable
from bramleylead.process.partitions._pending import Mode
from bramleylead.process.partitions._replica import Replica
from bramleylead.process.partitions._replica import ReplicaKeeper

RETRY_S = 0.5
HANDOVER_TIMEOUT_S = 1.0
HANDOVER_ATTEMPTS = 3
STORE_PROBE_S = 0.5
SOLO_CLOCK_MARGIN_S = 0.2

log = structlog.get_logger()


@final
class Takeover:
    """Changes of owner on this node."""

    def __init__(
        self,
        context: PartitionContext,
        server: PeerServer,
        table: PartitionTable,
        keeper: ReplicaKeeper,
        repair: PairRepair,
        owner_map: OwnerMap,
    ) -> None:
        self._context = context
        self._table = table
        self._keeper = keeper
        self._repair = repair
        self._owner_map = owner_map
        server.handle(HandedOver, self._take_handover)

    def on_silent(self, replica: Replica) -> None:
        """Seal a second copy at once, and take over in a task of its own."""
        replica.sealed = True
        self._table.spawn(self.take_over, replica)

    async def take_over(self, replica: Replica) -> None:
        """Take over a sealed second copy, or drop it if the store names another pair."""
        stored = await self._read(replica)
        if stored is None:
            return
        if not _entitles(stored.record, replica, self._context.settings.node):
            self._keeper.drop(replica)
            self._context.metrics.event("copy_dropped")
            return
        partition = self._table.create(replica.number, stored, replica.copy)
        if not await self._form_pair(partition, replica):
            return
        self._keeper.drop(replica)
        self._owner_map.learn_record(replica.number, partition.record)
        self._context.metrics.event("takeover")
        log.info("partition_taken_over", partition=replica.number, epoch=partition.epoch)
        if partition.mode is not Mode.PAIRED:
            self._table.spawn(self._repair.run, partition)
        await self._serve(partition, replica)

    async def hand_over(self, partition: OwnedPartition, *, leaving: bool) -> bool:
        """Make the second copy the owner and this node its second copy.

        Appends that were not sent yet are refused as not run; the entry sends their requests to
        the new owner.
        """
        second = partition.record.second
        if second is None or not partition.begin_move():
            return False
        if not await partition.wait_drained():
            partition.end_move()
            return False
        record = renewed(partition.record, owner=second, second=self._context.holder)
        written = await swap_record(
            self._context.store, partition.number, record, expected=partition.stored.version
        )
        if isinstance(written, Err):
            return await self._after_failed_move(partition, record, written.err_value.kind)
        self._become_second(partition, written.ok_value)
        self._context.metrics.event("handover")
        await self._notify(partition, second.address, written.ok_value, leaving=leaving)
        return True

    async def _read(self, replica: Replica) -> StoredRecord | None:
        """Read the partition object; while the store is out, be a second copy again."""
        read = await read_record(self._context.store, replica.number, timeout_s=STORE_PROBE_S)
        if isinstance(read, Ok):
            if read.ok_value is None:
                self._keeper.drop(replica)
            return read.ok_value
        self._unseal(replica)
        return None

    def _unseal(self, replica: Replica) -> None:
        """Accept the owner's entries again: certainly no write of ours can take effect."""
        after_s = self._context.settings.partitions.takeover_after_s
        replica.heard_s = anyio.current_time() - after_s + RETRY_S
        replica.sealed = False

    async def _form_pair(self, partition: OwnedPartition, replica: Replica) -> bool:
        avoided = {replica.owner}
        while True:
            outcome = await self._repair.attempt(partition, avoided)
            if outcome in (Outcome.PAIRED, Outcome.ALONE):
                return True
            if outcome is Outcome.LOST:
                self._keeper.drop(replica)
                self._table.retire(partition)
                return False
            if outcome is Outcome.STORE_OUT and not partition.unresolved:
                self._table.retire(partition)
                self._unseal(replica)
                return False
            await anyio.sleep(RETRY_S / 10)

    async def _serve(self, partition: OwnedPartition, replica: Replica) -> None:
        """Begin to serve, after counting as spent what a former owner may have spent alone."""
        entries = forfeited_grants(partition) if self._owner_may_be_solo(replica) else []
        while entries and partition.mode is not Mode.LOST:
            if isinstance(await partition.append(*entries), Ok):
                break
            await anyio.sleep(RETRY_S)
        if partition.mode is not Mode.LOST:
            self._table.serve(partition)

    def _owner_may_be_solo(self, replica: Replica) -> bool:
        """Whether the former owner may have served alone and spent grants meanwhile."""
        settings = self._context.settings.partitions
        safe_s = settings.takeover_after_s + SOLO_MARGIN_S - SOLO_CLOCK_MARGIN_S
        return anyio.current_time() - replica.sure_s > safe_s

    async def _after_failed_move(
        self, partition: OwnedPartition, record: PartitionRecord, kind: StoreErrorKind
    ) -> bool:
        if kind is StoreErrorKind.UNKNOWN:
            partition.unresolved.add(record.token)
            partition.committing = True
        partition.end_move()
        partition.break_pair("a handover failed")
        return False

    def _become_second(self, partition: OwnedPartition, stored: StoredRecord) -> None:
        record = stored.record
        now = anyio.current_time()
        self._owner_map.learn_record(partition.number, record)
        replica = Replica(
            partition.number,
            record.epoch,
            record.owner.node,
            record.owner.boot,
            partition.copy,
            now,
            now,
        )
        self._keeper.keep(replica)
        self._table.retire(partition)

    async def _notify(
        self, partition: OwnedPartition, address: str, stored: StoredRecord, *, leaving: bool
    ) -> None:
        note = HandedOver(
            partition=partition.number,
            record=stored.record.model_dump_json().encode(),
            version=stored.version,
            sequence=partition.copy.sequence,
            digest=partition.copy.digest,
            leaving=leaving,
        )
        for _ in range(HANDOVER_ATTEMPTS):
            answer = await self._context.client.request(address, note, timeout_s=HANDOVER_TIMEOUT_S)
            if isinstance(answer, Ok):
                return

    async def _take_handover(self, request: HandedOver, reply: Reply) -> None:
        record = PartitionRecord.model_validate_json(request.record)
        replica = self._keeper.replicas.get(request.partition)
        present = self._table.owned.get(request.partition)
        if present is not None and present.epoch >= record.epoch:
            await reply.send(Done())
            return
        copy = None if replica is None or replica.sealed else replica.copy
        whole = copy is not None and copy.sequence >= request.sequence
        if replica is None or not whole or replica.epoch != record.epoch - 1:
            detail = f"partition {request.partition}: no copy of epoch {record.epoch - 1} here"
            await reply.fail(Failure(ErrorKind.OWNER_UNAVAILABLE, detail))
            return
        self._adopt(replica, StoredRecord(record, request.version), request)
        await reply.send(Done())

    def _adopt(self, replica: Replica, stored: StoredRecord, request: HandedOver) -> None:
        self._keeper.drop(replica)
        partition = self._table.create(replica.number, stored, replica.copy)
        partition.adopt(stored)
        self._table.connect(partition)
        self._table.serve(partition)
        if request.leaving:
            partition.break_pair("the second copy is leaving")


def forfeited_grants(partition: OwnedPartition) -> list[GrantForfeited]:
    """Return entries that count as spent what is free of each grant."""
    grants = sorted(partition.state.grants.items())
    return [
        GrantForfeited(budget, grant.granted, grant.returned, grant.incarnation)
        for budget, grant in grants
    ]


def _entitles(record: PartitionRecord, replica: Replica, node: str) -> bool:
    """Whether the partition object lets this copy become the owner.

    Besides the plain case: the owner died between installing this copy for the next epoch and
    writing the object that already named this node, or between handing over and saying so.
    """
    same_owner = (record.owner.node, record.owner.boot) == (replica.owner, replica.boot)
    is_second = record.second is not None and record.second.node == node
    current = record.epoch == replica.epoch and same_owner
    prepared = record.epoch == replica.epoch - 1 and same_owner
    if is_second and (current or prepared):
        return True
    former = record.second is not None and record.second.node == replica.owner
    return record.owner.node == node and record.epoch == replica.epoch + 1 and former
