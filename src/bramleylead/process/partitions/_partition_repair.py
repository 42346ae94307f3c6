"""Finds a new second copy for a partition, and makes the new pair valid in the store.

The snapshot is installed before the partition object is changed, so that the object never names a
second copy that holds nothing.
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
from bramleylead.platform._store import StoreErrorKind
from bramleylead.process.journal._state_codec import pack_state
from bramleylead.process.journal._state_codec import state_digest
from bramleylead.process.membership._members import Member
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
from bramleylead.process.partitions._partition_record import renewed
from bramleylead.process.partitions._partition_record import swap_record
from bramleylead.process.partitions._partition_table import PartitionTable
from bramleylead.process.partitions._pending import Mode
from bramleylead.process.partitions._rendezvous import owners
from bramleylead.process.partitions._rendezvous import second_copy

CHUNK_BYTES = 250_000
INSTALL_FIRST_ANSWER_S = 0.5
INSTALL_BYTES_PER_S = 5_000_000
ASKED_OWNERS = 8
ASK_TIMEOUT_S = 0.5
STORE_PROBE_S = 0.5
NEXT_CANDIDATE_S = 0.02
FIRST_PAUSE_S = 0.1
LONGEST_PAUSE_S = 1.0

log = structlog.get_logger()


class Outcome(Enum):
    """How one attempt to form a pair ended."""

    PAIRED = auto()
    ALONE = auto()
    """The partition object is written, without a second copy: there is no other node."""
    LOST = auto()
    """Another node changed the partition object."""
    STORE_OUT = auto()
    """Certainly nothing was changed."""
    NO_COPY = auto()
    """The chosen node did not take the snapshot."""
    UNRESOLVED = auto()
    """A write may or may not have taken effect."""
    RESUMED = auto()
    """The former second copy came back meanwhile."""


@final
class PairRepair:
    """Repairs pairs: one task for each broken partition, one straight sequence of steps."""

    def __init__(self, context: PartitionContext, table: PartitionTable) -> None:
        self._context = context
        self._table = table
        self._running: set[int] = set()
        self._alone_from_s: float | None = None

    async def run(self, partition: OwnedPartition) -> None:
        """Repair until the partition has a pair, or another owner; only once at a time."""
        if self._alone_from_s is None:
            alone_after_s = self._context.settings.partitions.alone_after_s
            self._alone_from_s = anyio.current_time() + alone_after_s
        if partition.number in self._running:
            return
        self._running.add(partition.number)
        try:
            await self._run(partition)
        finally:
            self._running.discard(partition.number)

    async def _run(self, partition: OwnedPartition) -> None:
        second = partition.record.second
        avoided = {second.node} if second is not None else set()
        pause_s = FIRST_PAUSE_S
        while partition.mode in (Mode.REPAIRING, Mode.SOLO):
            outcome = await self.attempt(partition, avoided)
            if outcome in (Outcome.PAIRED, Outcome.RESUMED):
                continue
            if outcome is Outcome.STORE_OUT and await self._superseded(partition):
                outcome = Outcome.LOST
            if outcome is Outcome.LOST:
                self._table.retire(partition)
                self._context.metrics.event("lost")
                return
            if outcome is Outcome.STORE_OUT:
                await self._consider_solo(partition)
            if outcome is Outcome.NO_COPY:
                await anyio.sleep(NEXT_CANDIDATE_S)
                continue
            await anyio.sleep(pause_s)
            pause_s = min(2 * pause_s, LONGEST_PAUSE_S)

    async def attempt(self, partition: OwnedPartition, avoided: set[str]) -> Outcome:
        """Try once to form a pair with the best node that is not avoided.

        A node that does not take the snapshot is added to ``avoided``; when none is left, all are
        tried again.
        """
        found = await self._read_unchanged(partition)
        if not isinstance(found, StoredRecord):
            return found
        candidate = self._choose(partition, avoided)
        if candidate is None and not self._may_be_alone():
            return Outcome.NO_COPY
        if candidate is None:
            return await self._commit(partition, found, None, anyio.current_time())
        if found.record.second is not None and candidate.node == found.record.second.node:
            # The snapshot replaces the copy of this epoch: the old pair can't be used again.
            partition.copy_replaced = True
        requested_s = anyio.current_time()
        sequence = partition.copy.sequence
        installed = await self._install(partition, candidate, found.record.epoch + 1)
        if partition.mode not in (Mode.REPAIRING, Mode.SOLO):
            return Outcome.RESUMED
        if partition.copy.sequence != sequence:
            # The pair was whole again for a while: the snapshot lacks what it acknowledged.
            return Outcome.RESUMED
        if isinstance(installed, Err):
            avoided.add(candidate.node)
            log.info("install_failed", partition=partition.number, peer=candidate.node)
            return Outcome.NO_COPY
        holder = Holder(
            node=candidate.node, address=candidate.address, boot=installed.ok_value.boot
        )
        return await self._commit(partition, found, holder, requested_s)

    def _may_be_alone(self) -> bool:
        """Whether this process is up long enough to have met the others, if there are any."""
        return self._alone_from_s is None or anyio.current_time() >= self._alone_from_s

    async def _read_unchanged(self, partition: OwnedPartition) -> StoredRecord | Outcome:
        read = await read_record(self._context.store, partition.number, timeout_s=STORE_PROBE_S)
        if isinstance(read, Err):
            return Outcome.STORE_OUT
        partition.leave_solo()
        found = read.ok_value
        if found is None:
            return Outcome.LOST
        ours = found.record.owner == self._context.holder
        if ours and found.record.token in partition.unresolved:
            self._begin(partition, found, float("-inf"))
            return Outcome.PAIRED
        if found.record.token != partition.record.token:
            return Outcome.LOST
        return found

    def _choose(self, partition: OwnedPartition, avoided: set[str]) -> Member | None:
        members = self._context.members
        here = members.get(members.self_name)
        if here is None:
            return None
        others = [member for member in members.alive() if member.node != here.node]
        wanted = [member for member in others if member.node not in avoided]
        if not wanted:
            avoided.clear()
        preferred = [member for member in wanted if member.node == partition.preferred_second]
        return second_copy(partition.number, here, preferred or wanted or others)

    async def _commit(
        self,
        partition: OwnedPartition,
        found: StoredRecord,
        second: Holder | None,
        requested_s: float,
    ) -> Outcome:
        """Write the partition object; the synchronous steps before the write exclude a resume."""
        already_alone = second is None and found.record.second is None
        if already_alone and found.record.owner == self._context.holder:
            partition.enter_solo()
            return Outcome.ALONE
        partition.committing = True
        record = renewed(
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
            self._begin(partition, written.ok_value, requested_s)
            self._release(partition, found.record.second)
            return Outcome.ALONE if second is None else Outcome.PAIRED
        if written.err_value.kind is StoreErrorKind.UNKNOWN:
            partition.unresolved.add(record.token)
            return Outcome.UNRESOLVED
        if written.err_value.kind is StoreErrorKind.CONFLICT:
            # Another node changed the object, so the old pair stays unused until it is read again.
            return Outcome.UNRESOLVED
        partition.committing = bool(partition.unresolved)
        return Outcome.STORE_OUT

    def _begin(self, partition: OwnedPartition, stored: StoredRecord, requested_s: float) -> None:
        partition.begin_epoch(stored, requested_s)
        self._context.metrics.event("pair_changed")
        self._table.connect(partition)
        if stored.record.second is None:
            partition.mode = Mode.REPAIRING
            partition.enter_solo()

    def _release(self, partition: OwnedPartition, former: Holder | None) -> None:
        """Tell the former second copy; without the message it finds out by reading the store."""
        second = partition.record.second
        if former is None or former.node == self._context.settings.node:
            return
        if second is not None and former.node == second.node:
            return
        note = Release(partition.number, partition.epoch)
        self._table.tell(former.address, note)

    async def _install(
        self, partition: OwnedPartition, member: Member, epoch: int
    ) -> Result[Installed, Failure]:
        copy = partition.copy
        packed = copy.pack()
        chunks = [packed[at : at + CHUNK_BYTES] for at in range(0, len(packed), CHUNK_BYTES)]
        head = Install(
            partition=partition.number,
            epoch=epoch,
            owner=self._context.settings.node,
            boot=self._context.boot,
            sequence=copy.sequence,
            digest=copy.digest,
            state_digest=state_digest(pack_state(copy.state)),
            chunks=len(chunks),
        )
        timeout_s = INSTALL_FIRST_ANSWER_S + len(packed) / INSTALL_BYTES_PER_S
        with anyio.move_on_after(timeout_s):
            async with self._context.client.stream(member.address, head) as opened:
                if isinstance(opened, Err):
                    return opened
                for chunk in chunks:
                    await opened.ok_value.send(SnapshotChunk(chunk))
                return await first_answer(opened.ok_value, member.address)
        return Err(Failure(ErrorKind.OWNER_UNAVAILABLE, f"{member.node} took no snapshot"))

    async def _superseded(self, partition: OwnedPartition) -> bool:
        """Whether another node knows of a later epoch, asked while the store can't be read.

        A node that was paused finds its second copy silent and the store slow, as in an outage,
        while that second copy has taken over. Those that may own the partition by now know it.
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
        return any(self._is_another(answer, partition) for answer in answers)

    def _is_another(self, answer: OwnerIs, partition: OwnedPartition) -> bool:
        """Whether an answer names a later owner, and not this node's own unfinished change."""
        settings = self._context.settings
        here = answer.owner == settings.node or answer.address == settings.peer_address
        named = bool(answer.owner or answer.address)
        return answer.epoch > partition.epoch and named and not here

    def _possible_owners(self, partition: OwnedPartition) -> list[Member]:
        """Return the second copy and the first nodes in rendezvous order, without this one."""
        members = self._context.members
        others = [item for item in members.members() if item.node != members.self_name]
        second = partition.record.second
        first = [item for item in others if second is not None and item.node == second.node]
        ranking = [item for item in owners(partition.number, others) if item not in first]
        return [*first, *ranking][:ASKED_OWNERS]

    async def _consider_solo(self, partition: OwnedPartition) -> None:
        """Serve alone only when peers confirm that the store is out and not just out of reach."""
        if partition.mode is not Mode.REPAIRING or not partition.may_go_solo():
            return
        reachable = await self._context.members.store_reachable_by_peers()
        if reachable is False and partition.mode is Mode.REPAIRING:
            partition.enter_solo()
            self._context.metrics.event("solo")
