"""One partition at its owner: appends wait for the second copy, and only then change the state."""

from __future__ import annotations

from collections import deque
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
from bramleylead.process.journal._state_codec import extend_digest
from bramleylead.process.journal._state_codec import pack_entry
from bramleylead.process.partitions._partition_context import CLOCK_RATE_MARGIN
from bramleylead.process.partitions._partition_context import PartitionContext
from bramleylead.process.partitions._partition_messages import Append
from bramleylead.process.partitions._partition_record import PartitionRecord
from bramleylead.process.partitions._partition_record import StoredRecord
from bramleylead.process.partitions._pending import Mode
from bramleylead.process.partitions._pending import Pending
from bramleylead.process.partitions._pending import may_be_lost
from bramleylead.promises import Promise

BATCH_BYTES = 500_000
APPEND_BYTES_LIMIT = 3_000_000
IDLE_SHARE = 0.75  # of the act lease: a new pair should stand before the lease runs out
SOLO_MARGIN_S = 3.0
NEVER_S = float("-inf")


@final
class OwnedPartition:
    """A partition that this node owns. Implements ``PartitionLog``.

    ``committing`` is set while a write of the partition object may take effect, ``copy_replaced``
    once a snapshot for the next epoch was sent to the second copy of this one: the old pair must
    not be used again then. ``unresolved`` are the tokens of such writes whose outcome is unknown.

    :param on_broken: called once each time the pair breaks and needs repair.
    :param on_ready: called when there is something to send to the second copy.
    """

    def __init__(
        self,
        context: PartitionContext,
        number: int,
        stored: StoredRecord,
        copy: JournalCopy,
        *,
        on_broken: Callable[[OwnedPartition], None],
        on_ready: Callable[[OwnedPartition], None],
    ) -> None:
        self.number = number
        self.stored = stored
        self.copy = copy
        self.mode = Mode.REPAIRING
        self.committing = False
        self.unproven = False
        self.copy_replaced = False
        self.unresolved: set[str] = set()
        self.in_doubt = False
        self.solo_entries = 0
        self.broken_because = ""
        self.preferred_second = ""
        self.last_confirmed_s = NEVER_S
        self._paired_s = NEVER_S
        self._context = context
        self._queue: deque[Pending] = deque()
        self._sent_through = copy.sequence
        self._last_mark = 0
        self._on_broken = on_broken
        self._on_ready = on_ready
        self._drained = anyio.Event()

    @property
    def record(self) -> PartitionRecord:
        """The partition object as this node last wrote or read it."""
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
    def waiting(self) -> int:
        """Appends that wait for an acknowledgement."""
        return len(self._queue)

    async def append(self, *entries: Entry) -> Result[bool, Failure]:
        """Journal entries and apply them to the state, all or none; see ``PartitionLog``."""
        packed = tuple(pack_entry(entry) for entry in entries)
        size = sum(len(each) for each in packed)
        if size > APPEND_BYTES_LIMIT:
            detail = f"{size} bytes in one append; at most {APPEND_BYTES_LIMIT} are journaled"
            return Err(Failure(ErrorKind.TOO_LARGE, detail))
        pending = Pending(entries, packed)
        self._admit(pending)
        with anyio.move_on_after(self._context.settings.partitions.append_timeout_s):
            await pending.done.wait()
        if pending.outcome is None:
            self._withdraw(pending)
        assert pending.outcome is not None
        return pending.outcome

    def may_act(self) -> bool:
        """Whether an irreversible act may start: the second copy confirmed us recently.

        Call it as the last step before the act, with no wait in between.
        """
        if self.mode is not Mode.PAIRED:
            return False
        lease_s = self._context.settings.partitions.act_lease_s * (1 - CLOCK_RATE_MARGIN)
        return anyio.current_time() - self.last_confirmed_s < lease_s

    def take_unsent(self) -> list[Append]:
        """Return the appends that were not sent yet as messages."""
        if self.mode is not Mode.PAIRED:
            return []
        batches: list[Append] = []
        unsent = [pending for pending in self._queue if not pending.first]
        while unsent:
            batches.append(self._batch(unsent))
        return batches

    def acked(self, epoch: int, sequence: int, digest: int, mark: int) -> None:
        """Take in that the second copy holds all up to a sequence number and a message."""
        if self.mode not in (Mode.PAIRED, Mode.MOVING) or epoch != self.epoch:
            return
        requested_s = NEVER_S
        while self._is_acked(sequence, mark):
            pending = self._queue.popleft()
            requested_s = pending.sent_at
            self._apply(pending)
            self._context.metrics.entries.add({"outcome": "both"}, len(pending.entries))
            pending.finish(Ok(True))
        self._check_copies(sequence, digest)
        self.confirmed(epoch, requested_s)
        self._signal_drained()

    def confirmed(self, epoch: int, requested_s: float) -> None:
        """Take in that the second copy held this epoch after ``requested_s`` on our clock."""
        if epoch == self.epoch and self.mode is Mode.PAIRED:
            self.last_confirmed_s = max(self.last_confirmed_s, requested_s)

    def resume(self, epoch: int, sequence: int, digest: int, requested_s: float) -> bool:
        """Take the same second copy again after a broken stream, if it fits the journal exactly.

        It fits when it ends at an entry that this node has applied or still waits for. A copy that
        holds an append which this node gave up can't be used again at this epoch.
        """
        if self.unproven or self.committing or self.copy_replaced:
            return None
        if epoch != self.epoch or self.mode is Mode.LOST:
            return False
        if self.mode is Mode.MOVING or not self._fits(sequence, digest):
            return False
        self._set_paired()
        self.acked(epoch, sequence, digest, self._last_mark)
        self.confirmed(epoch, requested_s)
        self._reset_sending()
        return True

    def begin_epoch(self, stored: StoredRecord, requested_s: float) -> None:
        """Go on with a new second copy that holds the journal up to what is applied here."""
        holds = stored.record.epoch > self.epoch
        self._context.promises.require(
            Promise.HISTORY, holds, f"partition {self.number}: epoch must rise above {self.epoch}"
        )
        self.stored = stored
        self.unproven = False
        self.committing = False
        self.copy_replaced = False
        self.unresolved.clear()
        self.in_doubt = False
        self.solo_entries = 0
        self._set_paired()
        self.last_confirmed_s = requested_s
        self._reset_sending()

    def adopt(self, stored: StoredRecord) -> None:
        """Take in the partition object as handed over, with the former owner as second copy."""
        self.stored = stored
        self._set_paired()

    def break_pair(self, reason: str) -> None:
        """Stop acknowledging until the pair is repaired."""
        if self.mode is not Mode.PAIRED:
            return
        self.mode = Mode.REPAIRING
        self.broken_because = reason
        self._on_broken(self)

    def may_go_solo(self) -> bool:
        """Whether a takeover that counts on no solo entries is certainly over by now."""
        heard = max(self.last_confirmed_s, self._paired_s)
        after_s = self._context.settings.partitions.takeover_after_s + SOLO_MARGIN_S
        return anyio.current_time() - heard > after_s

    def overdue(self, now: float) -> bool:
        """Whether the second copy has been silent for too long to wait for it."""
        settings = self._context.settings.partitions
        heard = max(self.last_confirmed_s, self._paired_s)
        waiting = bool(self._queue) and self._queue[0].first > 0
        sent = self._queue[0].sent_at if waiting else now
        late_append = now - max(sent, heard) > settings.append_timeout_s / 2
        return late_append or now - heard > settings.act_lease_s * IDLE_SHARE

    def enter_solo(self) -> None:
        """Serve what may be lost, refuse the rest: no second copy and no store to name one."""
        if self.mode is Mode.REPAIRING:
            self.mode = Mode.SOLO
        waiting, self._queue = list(self._queue), deque()
        self._sent_through = self.copy.sequence
        for pending in waiting:
            pending.first = 0
            self._admit(pending)

    def leave_solo(self) -> None:
        """Wait for a new pair again: the store answers."""
        if self.mode is Mode.SOLO:
            self.mode = Mode.REPAIRING

    def begin_move(self) -> bool:
        """Stop sending new appends, if the pair is whole."""
        if self.mode is not Mode.PAIRED:
            return False
        self.mode = Mode.MOVING
        return True

    def end_move(self) -> None:
        """Go on after a handover that did not take place."""
        if self.mode is Mode.MOVING:
            self.mode = Mode.PAIRED
            self._on_ready(self)
            if self.in_doubt:
                self.break_pair("an append timed out during a handover")

    def begin_close(self) -> None:
        """Refuse every further append: the node stops, and no other is left."""
        self.mode = Mode.MOVING

    async def wait_drained(self) -> bool:
        """Wait until everything sent is acknowledged; ``False`` when some of it was given up."""
        while self._queue and self._queue[0].first and self.mode is Mode.MOVING:
            await self._drained.wait()
        return self.mode is Mode.MOVING and not self.in_doubt

    def lose(self) -> None:
        """Take in that another node owns the partition."""
        self.mode = Mode.LOST
        if self.solo_entries:
            self._context.metrics.entries.add({"outcome": "solo_lost"}, self.solo_entries)
        while self._queue:
            self._queue.popleft().finish(Err(self._not_owner()))
        self._signal_drained()

    def _set_paired(self) -> None:
        self.mode = Mode.PAIRED
        self._paired_s = anyio.current_time()

    def _admit(self, pending: Pending) -> None:
        if self.mode is Mode.LOST:
            pending.finish(Err(self._not_owner()))
        elif self.mode is not Mode.SOLO:
            self._queue.append(pending)
            self._on_ready(self)
        elif all(may_be_lost(entry) for entry in pending.entries):
            self._apply(pending)
            self.solo_entries += len(pending.entries)
            self._context.metrics.entries.add({"outcome": "solo"}, len(pending.entries))
            pending.finish(Ok(False))
        else:
            pending.finish(Err(self._not_durable("no second copy, and the store is out")))

    def _withdraw(self, pending: Pending) -> None:
        if pending in self._queue:
            self._queue.remove(pending)
        self._context.metrics.entries.add({"outcome": "not_durable"}, len(pending.entries))
        pending.finish(Err(self._not_durable("the second copy did not confirm in time")))
        if pending.first:
            # The second copy may hold it: this epoch's numbering can't go on without it.
            self.in_doubt = True
            self.break_pair("an append timed out")
        self._signal_drained()

    def _apply(self, pending: Pending) -> None:
        for entry, packed in zip(pending.entries, pending.packed, strict=True):
            self.copy.apply(entry, packed)

    def _batch(self, unsent: list[Pending]) -> Append:
        """Take appends off the list, up to a message's size, and number them."""
        self._last_mark += 1
        first = self._sent_through + 1
        packed: list[bytes] = []
        while unsent and sum(len(each) for each in packed) < BATCH_BYTES:
            pending = unsent.pop(0)
            pending.first = self._sent_through + 1
            pending.mark = self._last_mark
            pending.sent_at = anyio.current_time()
            self._sent_through = pending.last
            packed.extend(pending.packed)
        flushed = self.copy.tail.flushed
        return Append(self.number, self.epoch, first, flushed, self._last_mark, tuple(packed))

    def _is_acked(self, sequence: int, mark: int) -> bool:
        if not self._queue:
            return False
        pending = self._queue[0]
        return 0 < pending.first <= pending.last + 1 <= sequence + 1 and pending.mark <= mark

    def _reset_sending(self) -> None:
        self._sent_through = self.copy.sequence
        for pending in self._queue:
            pending.first = 0
        self._on_ready(self)

    def _fits(self, sequence: int, digest: int) -> bool:
        at, reached = self.copy.sequence, self.copy.digest
        for pending in self._queue:
            if at >= sequence or not pending.first:
                break
            if pending.first != at + 1:
                return False
            for packed in pending.packed:
                reached = extend_digest(reached, packed)
            at = pending.last
        return (at, reached) == (sequence, digest)

    def _check_copies(self, sequence: int, digest: int) -> None:
        if sequence != self.copy.sequence:
            return
        detail = f"partition {self.number}: copies differ at sequence {sequence}"
        if not self._context.promises.check(Promise.HISTORY, digest == self.copy.digest, detail):
            self.break_pair("the copies differ")

    def _signal_drained(self) -> None:
        self._drained.set()
        self._drained = anyio.Event()

    def _not_owner(self) -> Failure:
        detail = f"partition {self.number}: {self._context.settings.node} is not its owner now"
        return Failure(ErrorKind.OWNER_UNAVAILABLE, detail, 0.0)

    def _not_durable(self, reason: str) -> Failure:
        return Failure(ErrorKind.NOT_DURABLE, f"partition {self.number}: {reason}")
