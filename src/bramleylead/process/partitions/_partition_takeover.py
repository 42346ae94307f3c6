"""Transfers ownership by takeover from an unresponsive owner, or by a planned handover.

In a takeover the second copy seals its epoch, reads the partition object, installs a new second
copy, changes the object by compare-and-set, and only then serves. It seals at least
``takeover_after_s`` after the owner's last heartbeat arrived. The owner's act lease, which starts
when it sends a heartbeat, has expired by then.
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
from bramleylead.process.partitions._partition_record import swap_record
from bramleylead.process.partitions._partition_record import with_next_epoch
from bramleylead.process.partitions._partition_repair import PairRepair
from bramleylead.process.partitions._partition_repair import RepairOutcome
from bramleylead.process.partitions._partition_table import PartitionTable
from bramleylead.process.partitions._pending_append import ReplicationMode
from bramleylead.process.partitions._replica import Replica
from bramleylead.process.partitions._replica import ReplicaServer

RETRY_INTERVAL_S = 0.5
HANDOVER_TIMEOUT_S = 1.0
HANDOVER_ATTEMPTS = 3
STORE_READ_TIMEOUT_S = 0.5
SOLO_CLOCK_MARGIN_S = 0.2

log = structlog.get_logger()


@final
class Takeover:
    """Performs takeovers and handovers on this node."""

    def __init__(
        self,
        context: PartitionContext,
        server: PeerServer,
        table: PartitionTable,
        replica_server: ReplicaServer,
        repair: PairRepair,
        owner_map: OwnerMap,
    ) -> None:
        self._context = context
        self._table = table
        self._replica_server = replica_server
        self._repair = repair
        self._owner_map = owner_map
        server.handle(HandedOver, self._handle_handover)

    def on_owner_silent(self, replica: Replica) -> None:
        """Seal a second copy immediately, and take over in a background task."""
        replica.sealed = True
        self._table.spawn(self.take_over, replica)

    async def take_over(self, replica: Replica) -> None:
        """Become the owner of a sealed copy, or drop it if the store names another pair."""
        stored = await self._read_record(replica)
        if stored is None:
            return
        if not _may_take_over(stored.record, replica, self._context.settings.node):
            self._replica_server.drop(replica)
            self._context.metrics.event("copy_dropped")
            return
        partition = self._table.create(replica.number, stored, replica.copy)
        if not await self._form_pair(partition, replica):
            return
        self._replica_server.drop(replica)
        self._owner_map.update_from_record(replica.number, partition.record)
        self._context.metrics.event("takeover")
        log.info("partition_taken_over", partition=replica.number, epoch=partition.epoch)
        if partition.mode is not ReplicationMode.PAIRED:
            self._table.spawn(self._repair.run, partition)
        await self._serve(partition, replica)

    async def hand_over(self, partition: OwnedPartition, *, leaving: bool) -> bool:
        """Swap the roles of this node and the second copy.

        Unsent appends fail with ``OWNER_UNAVAILABLE`` as not run, and the entry node sends their
        requests to the new owner.
        """
        second = partition.record.second
        if second is None or not partition.begin_handover():
            return False
        if not await partition.wait_drained():
            partition.cancel_handover()
            return False
        record = with_next_epoch(partition.record, owner=second, second=self._context.holder)
        written = await swap_record(
            self._context.store, partition.number, record, expected=partition.stored.version
        )
        if isinstance(written, Err):
            return await self._abort_handover(partition, record, written.err_value.kind)
        self._become_second(partition, written.ok_value)
        self._context.metrics.event("handover")
        await self._send_handover(partition, second.address, written.ok_value, leaving=leaving)
        return True

    async def _read_record(self, replica: Replica) -> StoredRecord | None:
        """Read the partition object; unseal the copy if the store is unavailable."""
        read = await read_record(
            self._context.store, replica.number, timeout_s=STORE_READ_TIMEOUT_S
        )
        if isinstance(read, Ok):
            if read.ok_value is None:
                self._replica_server.drop(replica)
            return read.ok_value
        self._unseal(replica)
        return None

    def _unseal(self, replica: Replica) -> None:
        """Accept the owner's entries again; none of this node's writes can still take effect."""
        after_s = self._context.settings.partitions.takeover_after_s
        replica.last_contact_s = anyio.current_time() - after_s + RETRY_INTERVAL_S
        replica.sealed = False

    async def _form_pair(self, partition: OwnedPartition, replica: Replica) -> bool:
        excluded_nodes = {replica.owner}
        while True:
            outcome = await self._repair.attempt_pair(partition, excluded_nodes)
            if outcome in (RepairOutcome.PAIRED, RepairOutcome.ALONE):
                return True
            if outcome is RepairOutcome.LOST:
                self._replica_server.drop(replica)
                self._table.retire(partition)
                return False
            if outcome is RepairOutcome.STORE_OUT and not partition.unresolved:
                self._table.retire(partition)
                self._unseal(replica)
                return False
            await anyio.sleep(RETRY_INTERVAL_S / 10)

    async def _serve(self, partition: OwnedPartition, replica: Replica) -> None:
        """Start to serve, after forfeiting grants that a former owner may have spent alone."""
        entries = forfeited_grants(partition) if self._owner_may_have_gone_solo(replica) else []
        while entries and partition.mode is not ReplicationMode.LOST:
            if isinstance(await partition.append(*entries), Ok):
                break
            await anyio.sleep(RETRY_INTERVAL_S)
        if partition.mode is not ReplicationMode.LOST:
            self._table.serve(partition)

    def _owner_may_have_gone_solo(self, replica: Replica) -> bool:
        """Whether the former owner may have entered solo mode and spent grants."""
        settings = self._context.settings.partitions
        safe_s = settings.takeover_after_s + SOLO_MARGIN_S - SOLO_CLOCK_MARGIN_S
        return anyio.current_time() - replica.owner_confirmed_s > safe_s

    async def _abort_handover(
        self, partition: OwnedPartition, record: PartitionRecord, kind: StoreErrorKind
    ) -> bool:
        if kind is StoreErrorKind.UNKNOWN:
            partition.unresolved.add(record.token)
            partition.committing = True
        partition.cancel_handover()
        partition.break_pair("a handover failed")
        return False

    def _become_second(self, partition: OwnedPartition, stored: StoredRecord) -> None:
        record = stored.record
        now = anyio.current_time()
        self._owner_map.update_from_record(partition.number, record)
        replica = Replica(
            partition.number,
            record.epoch,
            record.owner.node,
            record.owner.boot,
            partition.copy,
            now,
            now,
        )
        self._replica_server.add_replica(replica)
        self._table.retire(partition)

    async def _send_handover(
        self, partition: OwnedPartition, address: str, stored: StoredRecord, *, leaving: bool
    ) -> None:
        message = HandedOver(
            partition=partition.number,
            record=stored.record.model_dump_json().encode(),
            version=stored.version,
            sequence=partition.copy.sequence,
            digest=partition.copy.digest,
            leaving=leaving,
        )
        for _ in range(HANDOVER_ATTEMPTS):
            answer = await self._context.client.request(
                address, message, timeout_s=HANDOVER_TIMEOUT_S
            )
            if isinstance(answer, Ok):
                return

    async def _handle_handover(self, request: HandedOver, reply: Reply) -> None:
        record = PartitionRecord.model_validate_json(request.record)
        replica = self._replica_server.replicas.get(request.partition)
        present = self._table.owned.get(request.partition)
        if present is not None and present.epoch >= record.epoch:
            await reply.send(Done())
            return
        copy = None if replica is None or replica.sealed else replica.copy
        complete = copy is not None and copy.sequence >= request.sequence
        if replica is None or not complete or replica.epoch != record.epoch - 1:
            detail = (
                f"partition {request.partition}: no complete copy of epoch {record.epoch - 1} here"
            )
            await reply.fail(Failure(ErrorKind.OWNER_UNAVAILABLE, detail))
            return
        self._adopt(replica, StoredRecord(record, request.version), request)
        await reply.send(Done())

    def _adopt(self, replica: Replica, stored: StoredRecord, request: HandedOver) -> None:
        self._replica_server.drop(replica)
        partition = self._table.create(replica.number, stored, replica.copy)
        partition.adopt(stored)
        self._table.connect(partition)
        self._table.serve(partition)
        if request.leaving:
            partition.break_pair("the second copy is leaving", replace_second=True)


def forfeited_grants(partition: OwnedPartition) -> list[GrantForfeited]:
    """Return entries that count the unspent part of each grant as spent."""
    grants = sorted(partition.state.grants.items())
    return [
        GrantForfeited(budget, grant.granted, grant.returned, grant.incarnation)
        for budget, grant in grants
    ]


def _may_take_over(record: PartitionRecord, replica: Replica, node: str) -> bool:
    """Whether the partition object entitles this second copy to become the owner.

    Normally the object names this copy at its epoch. It also does if the owner died after it
    reinstalled this copy for the next epoch but before it wrote the object, or after it wrote a
    handover but before it notified this node.
    """
    same_owner = (record.owner.node, record.owner.boot) == (replica.owner, replica.boot)
    is_second = record.second is not None and record.second.node == node
    current = record.epoch == replica.epoch and same_owner
    prepared = record.epoch == replica.epoch - 1 and same_owner
    if is_second and (current or prepared):
        return True
    former = record.second is not None and record.second.node == replica.owner
    return record.owner.node == node and record.epoch == replica.epoch + 1 and former
