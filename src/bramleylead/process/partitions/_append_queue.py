"""The appends that wait for the second copy, numbered and batched in the order of the journal."""

from __future__ import annotations

from collections import deque
from typing import final

import anyio

from bramleylead.process.journal._journal_copy import JournalCopy
from bramleylead.process.journal._state_codec import extend_digest
from bramleylead.process.partitions._partition_messages import Append
from bramleylead.process.partitions._pending_append import PendingAppend

BATCH_BYTES = 500_000


@final
class AppendQueue:
    """The pending appends of a partition, oldest first; those that were sent come first.

    :param number: number of the partition.
    :param copy: this node's copy of the journal, to which acknowledged appends are applied.
    """

    def __init__(self, number: int, copy: JournalCopy) -> None:
        self._number = number
        self._copy = copy
        self._queue: deque[PendingAppend] = deque()
        self._last_sent_sequence = copy.sequence
        self._last_message_number = 0

    @property
    def last_message_number(self) -> int:
        """Number of the last message that was batched; 0 before the first."""
        return self._last_message_number

    @property
    def is_in_flight(self) -> bool:
        """Whether the oldest append was sent and is not acknowledged."""
        return bool(self._queue) and self._queue[0].first_sequence > 0

    def __len__(self) -> int:
        return len(self._queue)

    def oldest_sent_s(self, default: float) -> float:
        """Return when the oldest append was sent, or the default if none is in flight."""
        return self._queue[0].sent_at if self.is_in_flight else default

    def add(self, pending: PendingAppend) -> None:
        """Add an append that was not sent."""
        self._queue.append(pending)

    def discard(self, pending: PendingAppend) -> None:
        """Remove an append, if it is still pending."""
        if pending in self._queue:
            self._queue.remove(pending)

    def pop(self) -> PendingAppend:
        """Remove and return the oldest append."""
        return self._queue.popleft()

    def take_all(self) -> list[PendingAppend]:
        """Remove and return all appends; numbering starts again after the journal's end."""
        queued, self._queue = list(self._queue), deque()
        self._last_sent_sequence = self._copy.sequence
        return queued

    def restart(self) -> None:
        """Mark all appends as unsent; numbering starts again after the journal's end."""
        self._last_sent_sequence = self._copy.sequence
        for pending in self._queue:
            pending.first_sequence = 0

    def batch_unsent(self, epoch: int) -> list[Append]:
        """Batch the unsent appends into messages of an epoch and mark them as sent."""
        batches: list[Append] = []
        unsent = [pending for pending in self._queue if not pending.first_sequence]
        while unsent:
            batches.append(self._next_batch(unsent, epoch))
        return batches

    def is_acked(self, sequence: int, message_number: int) -> bool:
        """Whether a second copy that ends there holds the oldest append."""
        if not self._queue:
            return False
        pending = self._queue[0]
        return (
            0 < pending.first_sequence <= pending.last_sequence + 1 <= sequence + 1
            and pending.message_number <= message_number
        )

    def matches_journal(self, sequence: int, digest: int) -> bool:
        """Whether a copy that ends there holds the applied entries and a prefix of those sent."""
        end_sequence, end_digest = self._copy.sequence, self._copy.digest
        for pending in self._queue:
            if end_sequence >= sequence or not pending.first_sequence:
                break
            if pending.first_sequence != end_sequence + 1:
                return False
            for packed in pending.packed:
                end_digest = extend_digest(end_digest, packed)
            end_sequence = pending.last_sequence
        return (end_sequence, end_digest) == (sequence, digest)

    def _next_batch(self, unsent: list[PendingAppend], epoch: int) -> Append:
        """Remove appends from the list up to the batch size, and assign sequence numbers."""
        self._last_message_number += 1
        first_sequence = self._last_sent_sequence + 1
        packed: list[bytes] = []
        while unsent and sum(len(each) for each in packed) < BATCH_BYTES:
            pending = unsent.pop(0)
            pending.first_sequence = self._last_sent_sequence + 1
            pending.message_number = self._last_message_number
            pending.sent_at = anyio.current_time()
            self._last_sent_sequence = pending.last_sequence
            packed.extend(pending.packed)
        flushed = self._copy.tail.flushed
        return Append(
            self._number,
            epoch,
            first_sequence,
            flushed,
            self._last_message_number,
            tuple(packed),
        )
