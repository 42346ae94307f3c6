"""A partition at its owner. Appends change the state once the second copy acknowledges them."""

from __future__ import annotations

from collections.abc import Callable
from typing import final

import anyio
from result import Err
from result import Ok
from result import Result

from bramleylead.errors import ErrorKind
from bramleylead.errors import Failure
from bramleylead.process.journal._entries import Entry
from bramleylead.process.journal._journal_copy import JournalCopy
from bramleylead.process.journal._state import PartitionState
from bramleylead.process.journal._state_codec import pack_entry
from bramleylead.process.partitions._append_queue import AppendQueue
from bramleylead.process.partitions._partition_context import CLOCK_RATE_MARGIN
from bramleylead.process.partitions._partition_context import PartitionContext
from bramleylead.process.partitions._partition_messages import Append
from bramleylead.process.partitions._partition_record import PartitionRecord
from bramleylead.process.partitions._partition_record import StoredRecord
from bramleylead.process.partitions._pending_append import PendingAppend
from bramleylead.process.partitions._pending_append import ReplicationMode
from bramleylead.process.partitions._pending_append import allows_single_copy
from bramleylead.promises import Promise

APPEND_BYTES_LIMIT = 3_000_000
SILENCE_LEASE_FRACTION = 0.75  # of the act lease; the pair is replaced before the lease expires
SOLO_MARGIN_S = 3.0
NEVER_S = float("-inf")


@final
class OwnedPartition:
    """A partition that this node owns. Implements ``PartitionLog``.

    ``committing`` is set while a write of the partition object may take effect. ``copy_replaced``
    is set once a snapshot for the next epoch was sent to the current second copy.
    ``replacing_second`` is set while another node is to become the second copy. In these cases the
    old pair must not be resumed. ``unresolved`` holds the tokens of partition object writes
    whose outcome is unknown. ``unverified`` is set while the last ownership check is too old.

    :param on_pair_broken: called each time the pair breaks and needs repair.
    :param on_ready: called when there are appends to send to the second copy.
    """

    def __init__(
        self,
        context: PartitionContext,
        number: int,
        stored: StoredRecord,
        copy: JournalCopy,
        *,
        on_pair_broken: Callable[[OwnedPartition], None],
        on_ready: Callable[[OwnedPartition], None],
    ) -> None:
        self.number = number
        self.stored = stored
        self.copy = copy
        self.mode = ReplicationMode.REPAIRING
        self.committing = False
        self.unverified = False
        self.copy_replaced = False
        self.replacing_second = False
        self.unresolved: set[str] = set()
        self.in_doubt = False
        self.solo_entries = 0
        self.break_reason = ""
        self.preferred_second = ""
        self.last_confirmed_s = NEVER_S
        self._paired_at_s = NEVER_S
        self._context = context
        self._queue = AppendQueue(number, copy)
        self._on_pair_broken = on_pair_broken
        self._on_ready = on_ready
        self._drained = anyio.Event()

    @property
    def record(self) -> PartitionRecord:
        """The partition object as last written or read by this node."""
        return self.stored.record

    @property
    def epoch(self) -> int:
        """The epoch of the partition object."""
        return self.stored.record.epoch

    @property
    def state(self) -> PartitionState:
        """The state after every acknowledged entry."""
        return self.copy.state

    @property
    def pending_count(self) -> int:
        """Number of appends that wait for acknowledgement."""
        return len(self._queue)

    async def append(self, *entries: Entry) -> Result[bool, Failure]:
        """Journal entries and apply all or none of them to the state; see ``PartitionLog``."""
        packed = tuple(pack_entry(entry) for entry in entries)
        size = sum(len(each) for each in packed)
        if size > APPEND_BYTES_LIMIT:
            detail = f"{size} bytes in one append; the limit is {APPEND_BYTES_LIMIT}"
            return Err(Failure(ErrorKind.TOO_LARGE, detail))
        pending = PendingAppend(entries, packed)
        self._admit(pending)
        with anyio.move_on_after(self._context.settings.partitions.append_timeout_s):
            await pending.done.wait()
        if pending.outcome is None:
            self._handle_timeout(pending)
        assert pending.outcome is not None
        return pending.outcome

    def has_valid_lease(self) -> bool:
        """Whether an irreversible action may start: the second copy confirmed this owner recently.

        Call this as the last step before the action, without an ``await`` in between.
        """
        if self.mode is not ReplicationMode.PAIRED:
            return False
        lease_s = self._context.settings.partitions.act_lease_s * (1 - CLOCK_RATE_MARGIN)
        return anyio.current_time() - self.last_confirmed_s < lease_s

    def batch_unsent(self) -> list[Append]:
        """Batch the unsent appends into messages and mark them as sent."""
        if self.mode is not ReplicationMode.PAIRED:
            return []
        return self._queue.batch_unsent(self.epoch)

    def handle_ack(self, epoch: int, sequence: int, digest: int, message_number: int) -> None:
        """Complete the appends that the second copy holds, up to a sequence and message number."""
        if self.mode not in (ReplicationMode.PAIRED, ReplicationMode.MOVING) or epoch != self.epoch:
            return
        requested_s = NEVER_S
        while self._queue.is_acked(sequence, message_number):
            pending = self._queue.pop()
            requested_s = pending.sent_at
            self._apply(pending)
            self._context.metrics.entries.add({"outcome": "both"}, len(pending.entries))
            pending.finish(Ok(True))
        self._check_digests(sequence, digest)
        self.record_confirmation(epoch, requested_s)
        self._signal_drained()

    def record_confirmation(self, epoch: int, requested_s: float) -> None:
        """Extend the lease: the second copy held this epoch after ``requested_s``, on our clock."""
        if epoch == self.epoch and self.mode is ReplicationMode.PAIRED:
            self.last_confirmed_s = max(self.last_confirmed_s, requested_s)

    def resume(self, epoch: int, sequence: int, digest: int, requested_s: float) -> bool:
        """Resume the pair after a broken stream if the second copy matches the journal exactly.

        The copy must end at an entry that this node has applied or that is still pending. A copy
        that holds an append which has timed out here can't be used again at this epoch.
        """
        if self.unverified or self.committing or self.copy_replaced or self.replacing_second:
            return None
        if epoch != self.epoch or self.mode is ReplicationMode.LOST:
            return False
        if self.mode is ReplicationMode.MOVING or not self._queue.matches_journal(sequence, digest):
            return False
        self._set_paired()
        self.handle_ack(epoch, sequence, digest, self._queue.last_message_number)
        self.record_confirmation(epoch, requested_s)
        self._restart_sending()
        return True

    def begin_epoch(self, stored: StoredRecord, requested_s: float) -> None:
        """Continue at a new epoch with a second copy that holds every entry applied here."""
        epoch_rises = stored.record.epoch > self.epoch
        self._context.promises.require(
            Promise.HISTORY,
            epoch_rises,
            f"partition {self.number}: new epoch must exceed {self.epoch}",
        )
        self.stored = stored
        self.unverified = False
        self.committing = False
        self.copy_replaced = False
        self.replacing_second = False
        self.unresolved.clear()
        self.in_doubt = False
        self.solo_entries = 0
        self._set_paired()
        self.last_confirmed_s = requested_s
        self._restart_sending()

    def adopt(self, stored: StoredRecord) -> None:
        """Become the owner by handover, with the former owner as second copy."""
        self.stored = stored
        self._set_paired()

    def break_pair(self, reason: str, *, replace_second: bool = False) -> None:
        """Stop acknowledging appends until the pair is repaired.

        :param replace_second: whether the pair must not be resumed with the same second copy.
        """
        if self.mode is not ReplicationMode.PAIRED:
            return
        self.replacing_second = replace_second
        self.mode = ReplicationMode.REPAIRING
        self.break_reason = reason
        self._on_pair_broken(self)

    def may_go_solo(self) -> bool:
        """Whether any takeover that assumes that there are no solo entries must be over by now."""
        contact_s = max(self.last_confirmed_s, self._paired_at_s)
        after_s = self._context.settings.partitions.takeover_after_s + SOLO_MARGIN_S
        return anyio.current_time() - contact_s > after_s

    def is_overdue(self, now: float) -> bool:
        """Whether the second copy has not responded for too long."""
        settings = self._context.settings.partitions
        contact_s = max(self.last_confirmed_s, self._paired_at_s)
        oldest_sent_s = self._queue.oldest_sent_s(now)
        late_append = now - max(oldest_sent_s, contact_s) > settings.append_timeout_s / 2
        return late_append or now - contact_s > settings.act_lease_s * SILENCE_LEASE_FRACTION

    def enter_solo(self) -> None:
        """Serve without a second copy: accept only entries that allow a single copy."""
        if self.mode is ReplicationMode.REPAIRING:
            self.mode = ReplicationMode.SOLO
        for pending in self._queue.take_all():
            pending.first_sequence = 0
            self._admit(pending)

    def leave_solo(self) -> None:
        """Leave solo mode and wait for a new pair, since the store responds again."""
        if self.mode is ReplicationMode.SOLO:
            self.mode = ReplicationMode.REPAIRING

    def begin_handover(self) -> bool:
        """Stop sending new appends; ``False`` if there is no working pair."""
        if self.mode is not ReplicationMode.PAIRED:
            return False
        self.mode = ReplicationMode.MOVING
        return True

    def cancel_handover(self) -> None:
        """Resume sending after a handover that failed."""
        if self.mode is ReplicationMode.MOVING:
            self.mode = ReplicationMode.PAIRED
            self._on_ready(self)
            if self.in_doubt:
                self.break_pair("an append timed out during a handover")

    def begin_close(self) -> None:
        """Stop sending appends for good: the node stops and there is no other node."""
        self.mode = ReplicationMode.MOVING

    async def wait_drained(self) -> bool:
        """Wait until all sent appends are acknowledged; ``False`` if one of them timed out."""
        while self._queue.is_in_flight and self.mode is ReplicationMode.MOVING:
            await self._drained.wait()
        return self.mode is ReplicationMode.MOVING and not self.in_doubt

    def mark_lost(self) -> None:
        """Fail all pending appends: another node owns the partition."""
        self.mode = ReplicationMode.LOST
        if self.solo_entries:
            self._context.metrics.entries.add({"outcome": "solo_lost"}, self.solo_entries)
        while self._queue:
            self._queue.pop().finish(Err(self._not_owner()))
        self._signal_drained()

    def _set_paired(self) -> None:
        self.mode = ReplicationMode.PAIRED
        self._paired_at_s = anyio.current_time()

    def _admit(self, pending: PendingAppend) -> None:
        if self.mode is ReplicationMode.LOST:
            pending.finish(Err(self._not_owner()))
        elif self.mode is not ReplicationMode.SOLO:
            self._queue.add(pending)
            self._on_ready(self)
        elif all(allows_single_copy(entry) for entry in pending.entries):
            self._apply(pending)
            self.solo_entries += len(pending.entries)
            self._context.metrics.entries.add({"outcome": "solo"}, len(pending.entries))
            pending.finish(Ok(False))
        else:
            pending.finish(Err(self._not_durable("no second copy, and the store is unavailable")))

    def _handle_timeout(self, pending: PendingAppend) -> None:
        self._queue.discard(pending)
        self._context.metrics.entries.add({"outcome": "not_durable"}, len(pending.entries))
        pending.finish(Err(self._not_durable("the second copy did not acknowledge in time")))
        if pending.first_sequence:
            # The second copy may hold them, so their numbers can't be reused in this epoch.
            self.in_doubt = True
            self.break_pair("an append timed out")
        self._signal_drained()

    def _apply(self, pending: PendingAppend) -> None:
        for entry, packed in zip(pending.entries, pending.packed, strict=True):
            self.copy.apply(entry, packed)

    def _restart_sending(self) -> None:
        self._queue.restart()
        self._on_ready(self)

    def _check_digests(self, sequence: int, digest: int) -> None:
        if sequence != self.copy.sequence:
            return
        detail = f"partition {self.number}: digests of the two copies differ at sequence {sequence}"
        if not self._context.promises.check(Promise.HISTORY, digest == self.copy.digest, detail):
            self.break_pair("the digests of the two copies differ")

    def _signal_drained(self) -> None:
        self._drained.set()
        self._drained = anyio.Event()

    def _not_owner(self) -> Failure:
        detail = f"partition {self.number}: {self._context.settings.node} is no longer the owner"
        return Failure(ErrorKind.OWNER_UNAVAILABLE, detail, 0.0)

    def _not_durable(self, reason: str) -> Failure:
        return Failure(ErrorKind.NOT_DURABLE, f"partition {self.number}: {reason}")
