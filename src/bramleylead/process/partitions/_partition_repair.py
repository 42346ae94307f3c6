"""Finds a new second copy for a partition, and records the new pair in the store.

The snapshot is installed before the partition object is written, so that the object never names a
second copy without data.
"""

from __future__ import annotations

from enum import Enum
from enum import auto
from typing import final

import anyio
import structlog
from result import Err
from result import Ok
from result import Result

from bramleylead.connection._rpc import first_answer
from bramleylead.errors import ErrorKind
from bramleylead.errors import Failure
from bramleylead.fleet._members import Member
from bramleylead.fleet._rendezvous import choose_second_copy
from bramleylead.fleet._rendezvous import rank_owners
from bramleylead.platform._store import StoreErrorKind
from bramleylead.process.journal._state_codec import pack_state
from bramleylead.process.journal._state_codec import state_digest
from bramleylead.process.partitions._partition import OwnedPartition
from bramleylead.process.partitions._partition_context import PartitionContext
from bramleylead.process.partitions._partition_messages import AskOwner
from bramleylead.process.partitions._partition_messages import Install
from bramleylead.process.partitions._partition_messages import Installed
from bramleylead.process.partitions._partition_messages import OwnerIs
from bramleylead.process.partitions._partition_messages import Release
from bramleylead.process.partitions._partition_messages import SnapshotChunk
from bramleylead.process.partitions._partition_record import NOT_CLEAN
from bramleylead.process.partitions._partition_record import Holder
from bramleylead.process.partitions._partition_record import StoredRecord
from bramleylead.process.partitions._partition_record import read_record
from bramleylead.process.partitions._partition_record import swap_record
from bramleylead.process.partitions._partition_record import with_next_epoch
from bramleylead.process.partitions._partition_table import PartitionTable
from bramleylead.process.partitions._pending_append import ReplicationMode

CHUNK_BYTES = 250_000
INSTALL_BASE_TIMEOUT_S = 0.5
INSTALL_BYTES_PER_S = 5_000_000
MAX_POSSIBLE_OWNERS = 8
ASK_TIMEOUT_S = 0.5
STORE_READ_TIMEOUT_S = 0.5
NEXT_CANDIDATE_DELAY_S = 0.02
INITIAL_BACKOFF_S = 0.1
MAX_BACKOFF_S = 1.0

log = structlog.get_logger()


class RepairOutcome(Enum):
    """Outcome of one attempt to form a pair."""

    PAIRED = auto()
    ALONE = auto()
    """No other node exists; the partition object names no second copy."""
    LOST = auto()
    """Another node changed the partition object."""
    STORE_OUT = auto()
    """The store is unavailable; the partition object is unchanged."""
    NO_COPY = auto()
    """The chosen node did not install the snapshot."""
    UNRESOLVED = auto()
    """A write may or may not have taken effect."""
    RESUMED = auto()
    """The pair with the former second copy was resumed in the meantime."""


@final
class PairRepair:
    """Repairs broken pairs, with one task per partition."""

    def __init__(self, context: PartitionContext, table: PartitionTable) -> None:
        self._context = context
        self._table = table
        self._running: set[int] = set()
        self._alone_allowed_from_s: float | None = None

    async def run(self, partition: OwnedPartition) -> None:
        """Repair until the partition has a pair or another owner; no-op if a repair is running."""
        if self._alone_allowed_from_s is None:
            alone_after_s = self._context.settings.partitions.alone_after_s
            self._alone_allowed_from_s = anyio.current_time() + alone_after_s
        if partition.number in self._running:
            return
        self._running.add(partition.number)
        try:
            await self._repair_until_paired(partition)
        finally:
            self._running.discard(partition.number)

    async def _repair_until_paired(self, partition: OwnedPartition) -> None:
        second = partition.record.second
        excluded_nodes = {second.node} if second is not None else set()
        backoff_s = INITIAL_BACKOFF_S
        while partition.mode in (ReplicationMode.REPAIRING, ReplicationMode.SOLO):
            outcome = await self.attempt_pair(partition, excluded_nodes)
            if outcome in (RepairOutcome.PAIRED, RepairOutcome.RESUMED):
                continue
            # No other node can take the copy now; the present one is better than none.
            partition.replacing_second = False
            if outcome is RepairOutcome.STORE_OUT and await self._is_superseded(partition):
                outcome = RepairOutcome.LOST
            if outcome is RepairOutcome.LOST:
                self._table.retire(partition)
                self._context.metrics.event("lost")
                return
            if outcome is RepairOutcome.STORE_OUT:
                await self._try_solo(partition)
            if outcome is RepairOutcome.NO_COPY:
                await anyio.sleep(NEXT_CANDIDATE_DELAY_S)
                continue
            await anyio.sleep(backoff_s)
            backoff_s = min(2 * backoff_s, MAX_BACKOFF_S)

    async def attempt_pair(
        self, partition: OwnedPartition, excluded_nodes: set[str]
    ) -> RepairOutcome:
        """Try once to form a pair with the preferred node that is not excluded.

        A node that does not install the snapshot is added to ``excluded_nodes``. When all nodes
        are excluded, the set is cleared and all are tried again.
        """
        found = await self._read_unchanged(partition)
        if not isinstance(found, StoredRecord):
            return found
        candidate = self._choose_second(partition, excluded_nodes)
        if candidate is None and not self._may_be_alone():
            return RepairOutcome.NO_COPY
        if candidate is None:
            return await self._commit(partition, found, None, anyio.current_time())
        if found.record.second is not None and candidate.node == found.record.second.node:
            # The snapshot replaces the copy of this epoch, so the old pair can't be resumed.
            partition.copy_replaced = True
        requested_s = anyio.current_time()
        sequence = partition.copy.sequence
        installed = await self._install(partition, candidate, found.record.epoch + 1)
        if partition.mode not in (ReplicationMode.REPAIRING, ReplicationMode.SOLO):
            return RepairOutcome.RESUMED
        if partition.copy.sequence != sequence:
            # The pair was resumed for a while; the snapshot lacks entries acknowledged since.
            return RepairOutcome.RESUMED
        if isinstance(installed, Err):
            excluded_nodes.add(candidate.node)
            log.info("install_failed", partition=partition.number, peer=candidate.node)
            return RepairOutcome.NO_COPY
        holder = Holder(
            node=candidate.node, address=candidate.address, boot=installed.ok_value.boot
        )
        return await self._commit(partition, found, holder, requested_s)

    def _may_be_alone(self) -> bool:
        """Whether this process has run long enough to have discovered any other nodes."""
        return (
            self._alone_allowed_from_s is None or anyio.current_time() >= self._alone_allowed_from_s
        )

    async def _read_unchanged(self, partition: OwnedPartition) -> StoredRecord | RepairOutcome:
        read = await read_record(
            self._context.store, partition.number, timeout_s=STORE_READ_TIMEOUT_S
        )
        if isinstance(read, Err):
            return RepairOutcome.STORE_OUT
        partition.leave_solo()
        found = read.ok_value
        if found is None:
            return RepairOutcome.LOST
        ours = found.record.owner == self._context.holder
        if ours and found.record.token in partition.unresolved:
            self._begin_epoch(partition, found, float("-inf"))
            return RepairOutcome.PAIRED
        if found.record.token != partition.record.token:
            return RepairOutcome.LOST
        return found

    def _choose_second(self, partition: OwnedPartition, excluded_nodes: set[str]) -> Member | None:
        members = self._context.members
        own_member = members.get(members.self_name)
        if own_member is None:
            return None
        others = [member for member in members.alive() if member.node != own_member.node]
        allowed = [member for member in others if member.node not in excluded_nodes]
        if not allowed:
            excluded_nodes.clear()
        preferred = [member for member in allowed if member.node == partition.preferred_second]
        return choose_second_copy(partition.number, own_member, preferred or allowed or others)

    async def _commit(
        self,
        partition: OwnedPartition,
        found: StoredRecord,
        second: Holder | None,
        requested_s: float,
    ) -> RepairOutcome:
        """Write the partition object; the steps before it have no await, so no resume occurs."""
        already_alone = second is None and found.record.second is None
        if already_alone and found.record.owner == self._context.holder:
            partition.enter_solo()
            return RepairOutcome.ALONE
        partition.committing = True
        record = with_next_epoch(
            found.record,
            owner=self._context.holder,
            second=second,
            incarnation=partition.state.incarnation,
            clean_sequence=NOT_CLEAN,
        )
        written = await swap_record(
            self._context.store, partition.number, record, expected=found.version
        )
        if isinstance(written, Ok):
            self._begin_epoch(partition, written.ok_value, requested_s)
            self._release_former(partition, found.record.second)
            return RepairOutcome.ALONE if second is None else RepairOutcome.PAIRED
        if written.err_value.kind is StoreErrorKind.UNKNOWN:
            partition.unresolved.add(record.token)
            return RepairOutcome.UNRESOLVED
        if written.err_value.kind is StoreErrorKind.CONFLICT:
            # Another node changed the object; the old pair must not be used until it is read again.
            return RepairOutcome.UNRESOLVED
        partition.committing = bool(partition.unresolved)
        return RepairOutcome.STORE_OUT

    def _begin_epoch(
        self, partition: OwnedPartition, stored: StoredRecord, requested_s: float
    ) -> None:
        partition.begin_epoch(stored, requested_s)
        self._context.metrics.event("pair_changed")
        self._table.connect(partition)
        if stored.record.second is None:
            partition.mode = ReplicationMode.REPAIRING
            partition.enter_solo()

    def _release_former(self, partition: OwnedPartition, former: Holder | None) -> None:
        """Notify the former second copy; if the message is lost, it reads the store instead."""
        second = partition.record.second
        if former is None or former.node == self._context.settings.node:
            return
        if second is not None and former.node == second.node:
            return
        message = Release(partition.number, partition.epoch)
        self._table.notify(former.address, message)

    async def _install(
        self, partition: OwnedPartition, member: Member, epoch: int
    ) -> Result[Installed, Failure]:
        copy = partition.copy
        packed = copy.pack()
        chunks = [packed[at : at + CHUNK_BYTES] for at in range(0, len(packed), CHUNK_BYTES)]
        request = Install(
            partition=partition.number,
            epoch=epoch,
            owner=self._context.settings.node,
            boot=self._context.boot,
            sequence=copy.sequence,
            digest=copy.digest,
            state_digest=state_digest(pack_state(copy.state)),
            chunks=len(chunks),
        )
        timeout_s = INSTALL_BASE_TIMEOUT_S + len(packed) / INSTALL_BYTES_PER_S
        with anyio.move_on_after(timeout_s):
            async with self._context.client.stream(member.address, request) as opened:
                if isinstance(opened, Err):
                    return opened
                for chunk in chunks:
                    await opened.ok_value.send(SnapshotChunk(chunk))
                return await first_answer(opened.ok_value, member.address)
        return Err(
            Failure(ErrorKind.OWNER_UNAVAILABLE, f"{member.node} did not install a snapshot")
        )

    async def _is_superseded(self, partition: OwnedPartition) -> bool:
        """Whether a peer knows of a later epoch; asked while the store is unavailable.

        To a node that was paused, a second copy that has taken over and a slow store look like an
        outage. The nodes that may own the partition by now know about the takeover.
        """
        candidates = self._possible_owners(partition)
        answers: list[OwnerIs] = []

        async def ask(member: Member) -> None:
            question = AskOwner(partition.number)
            answer = await self._context.client.request(
                member.address, question, timeout_s=ASK_TIMEOUT_S
            )
            if isinstance(answer, Ok):
                answers.append(answer.ok_value)

        async with anyio.create_task_group() as tasks:
            for member in candidates:
                tasks.start_soon(ask, member)
        return any(self._names_other_owner(answer, partition) for answer in answers)

    def _names_other_owner(self, answer: OwnerIs, partition: OwnedPartition) -> bool:
        """Whether an answer names another node as owner at a later epoch."""
        settings = self._context.settings
        names_self = answer.owner == settings.node or answer.address == settings.peer_address
        names_owner = bool(answer.owner or answer.address)
        return answer.epoch > partition.epoch and names_owner and not names_self

    def _possible_owners(self, partition: OwnedPartition) -> list[Member]:
        """Return the second copy and the highest-ranked other nodes."""
        members = self._context.members
        others = [item for item in members.members() if item.node != members.self_name]
        second = partition.record.second
        first = [item for item in others if second is not None and item.node == second.node]
        ranking = [item for item in rank_owners(partition.number, others) if item not in first]
        return [*first, *ranking][:MAX_POSSIBLE_OWNERS]

    async def _try_solo(self, partition: OwnedPartition) -> None:
        """Enter solo mode if peers confirm a store outage, so that it is not just a local fault."""
        if partition.mode is not ReplicationMode.REPAIRING or not partition.may_go_solo():
            return
        reachable = await self._context.members.store_reachable_by_peers()
        if reachable is False and partition.mode is ReplicationMode.REPAIRING:
            partition.enter_solo()
            self._context.metrics.event("solo")
