"""Writes the journals of this node's partitions to the store at a limited rate.

A segment holds the entries that were acknowledged since the last flush. Once the segments since the
last snapshot are larger than that snapshot, a new snapshot replaces them and they are deleted. A
recovery therefore reads at most about twice the size of the state, however old the programs are.
"""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from typing import Any
from typing import final

import anyio
from result import Err
from result import Ok
from result import Result

from bramleylead.platform._store import StoreError
from bramleylead.platform._store import StoreErrorKind
from bramleylead.process.journal._journal_store import SEGMENT
from bramleylead.process.journal._journal_store import SNAPSHOT
from bramleylead.process.journal._journal_store import BlobName
from bramleylead.process.journal._journal_store import Segment
from bramleylead.process.journal._journal_store import Snapshot
from bramleylead.process.journal._journal_store import delete_piece
from bramleylead.process.journal._journal_store import read_pieces
from bramleylead.process.journal._journal_store import split_into_pieces
from bramleylead.process.journal._journal_store import write_piece
from bramleylead.process.journal._state_codec import pack_state
from bramleylead.process.journal._state_codec import state_digest
from bramleylead.process.partitions._partition import OwnedPartition
from bramleylead.process.partitions._partition_context import PartitionContext
from bramleylead.process.partitions._partition_table import PartitionTable
from bramleylead.process.partitions._pending_append import ReplicationMode

FLEET_WRITES_PER_S = 120.0  # limit for all journals together; the store handles several hundred
MIN_BYTES_BETWEEN_SNAPSHOTS = 1_000_000
CHECK_INTERVAL_S = 0.25
MAX_ATTEMPTS = 3


@dataclass
class _FlushProgress:
    """What this node has written for one partition since it became the owner."""

    last_flush_at_s: float
    snapshot_bytes: int = 0
    bytes_since_snapshot: int = 0
    stored_keys: list[str] = field(default_factory=list)
    stored_keys_loaded: bool = False


@final
class JournalFlusher:
    """Flushes each partition once per interval, and all partitions when the node stops."""

    def __init__(self, context: PartitionContext, table: PartitionTable) -> None:
        self._context = context
        self._table = table
        self._progress: dict[OwnedPartition, _FlushProgress] = {}
        self._next_call_at_s = 0.0

    async def run(self) -> None:
        """Flush partitions when they are due, until cancelled."""
        while True:
            await anyio.sleep(CHECK_INTERVAL_S)
            now = anyio.current_time()
            for partition in self._due_partitions(now):
                await self.flush(partition)

    async def flush(self, partition: OwnedPartition) -> bool:
        """Write all acknowledged entries that are not in the store yet.

        Returns whether the store now holds all of them.
        """
        if not _is_end_final(partition):
            return False
        progress = self._progress.setdefault(partition, _FlushProgress(anyio.current_time()))
        progress.last_flush_at_s = anyio.current_time()
        copy = partition.copy
        if not copy.tail.is_contiguous_up_to(copy.sequence):
            return await self._write_snapshot(partition, progress)
        if copy.tail.entries and not await self._write_segment(partition, progress):
            return False
        if progress.bytes_since_snapshot > max(
            MIN_BYTES_BETWEEN_SNAPSHOTS, progress.snapshot_bytes
        ):
            return await self._write_snapshot(partition, progress)
        return True

    def dump(self) -> dict[str, Any]:
        """Return the amount of unflushed entries, for the state dump."""
        owned = self._table.owned.values()
        return {
            "unflushed_entries": sum(each.copy.sequence - each.copy.tail.flushed for each in owned),
            "unflushed_bytes": sum(each.copy.tail.size_bytes for each in owned),
        }

    def _due_partitions(self, now: float) -> list[OwnedPartition]:
        owned = list(self._table.owned.values())
        for lost in [each for each in self._progress if each not in owned]:
            del self._progress[lost]
        interval_s = self._context.settings.partitions.flush_interval_s
        due: list[tuple[float, int, OwnedPartition]] = []
        for partition in owned:
            progress = self._progress.setdefault(partition, _FlushProgress(now))
            has_unflushed = partition.copy.sequence > partition.copy.tail.flushed
            if has_unflushed and now - progress.last_flush_at_s >= interval_s:
                due.append((progress.last_flush_at_s, partition.number, partition))
        return [partition for _, _, partition in sorted(due, key=lambda each: each[:2])]

    async def _write_segment(self, partition: OwnedPartition, progress: _FlushProgress) -> bool:
        tail = partition.copy.tail
        entries = list(tail.entries)
        first, last = entries[0].sequence, entries[-1].sequence
        segment = Segment(
            tail.flushed_digest, entries[-1].digest, tuple(each.packed for each in entries)
        )
        name = BlobName(partition.epoch, first, last, SEGMENT)
        packed = segment.pack()
        if not await self._write(partition, name, packed, progress):
            return False
        tail.mark_flushed(last)
        progress.bytes_since_snapshot += len(packed)
        return True

    async def _write_snapshot(self, partition: OwnedPartition, progress: _FlushProgress) -> bool:
        copy = partition.copy
        sequence, digest = copy.sequence, copy.digest
        state = pack_state(copy.state)
        packed = Snapshot(digest, state_digest(state), state).pack()
        copy.tail.restart()
        obsolete_keys = await self._load_obsolete_keys(partition, progress)
        name = BlobName(partition.epoch, sequence, sequence, SNAPSHOT)
        if obsolete_keys is None or not await self._write(partition, name, packed, progress):
            copy.tail.drop()
            return False
        copy.tail.mark_snapshot_stored(sequence, digest)
        progress.snapshot_bytes = len(packed)
        progress.bytes_since_snapshot = 0
        await self._delete_obsolete(obsolete_keys, progress)
        return True

    async def _load_obsolete_keys(
        self, partition: OwnedPartition, progress: _FlushProgress
    ) -> list[str] | None:
        """Return the keys that a new snapshot replaces, including those of previous owners."""
        if not progress.stored_keys_loaded:
            read = await read_pieces(self._context.store, partition.number)
            if isinstance(read, Err):
                return None
            progress.stored_keys = sorted(read.ok_value)
            progress.stored_keys_loaded = True
        return list(progress.stored_keys)

    async def _delete_obsolete(self, obsolete_keys: list[str], progress: _FlushProgress) -> None:
        for key in obsolete_keys:
            deleted = await self._retry(lambda key=key: delete_piece(self._context.store, key))
            if isinstance(deleted, Err):
                continue
            if key in progress.stored_keys:
                progress.stored_keys.remove(key)
            self._context.metrics.journal_writes.inc({"kind": "delete"})

    async def _write(
        self, partition: OwnedPartition, name: BlobName, data: bytes, progress: _FlushProgress
    ) -> bool:
        pieces = split_into_pieces(data)
        for index, piece in enumerate(pieces):
            key = name.key(partition.number, index, len(pieces))
            progress.stored_keys.append(key)
            written = await self._retry(
                lambda key=key, piece=piece: write_piece(self._context.store, key, piece)
            )
            if isinstance(written, Err):
                return False
            self._context.metrics.journal_writes.inc({"kind": name.kind})
        return _is_end_final(partition)

    async def _retry(
        self, call: Callable[[], Awaitable[Result[None, StoreError]]]
    ) -> Result[None, StoreError]:
        """Make an idempotent call within the rate limit, retrying it after an unknown outcome."""
        outcome: Result[None, StoreError] = Ok(None)
        for _ in range(MAX_ATTEMPTS):
            await self._wait_for_rate_limit()
            outcome = await call()
            if isinstance(outcome, Ok) or outcome.err_value.kind is not StoreErrorKind.UNKNOWN:
                return outcome
        return outcome

    async def _wait_for_rate_limit(self) -> None:
        """Wait as long as this node's share of the fleet's rate limit requires."""
        nodes = max(1, len(self._context.members.members()))
        now = anyio.current_time()
        call_at = max(now, self._next_call_at_s)
        self._next_call_at_s = call_at + nodes / FLEET_WRITES_PER_S
        if call_at > now:
            await anyio.sleep(call_at - now)


def _is_end_final(partition: OwnedPartition) -> bool:
    """Whether the end of the journal is final.

    It is not while the last entries may exist on this node alone.
    """
    if partition.mode in (ReplicationMode.PAIRED, ReplicationMode.MOVING):
        return True
    return partition.mode is ReplicationMode.SOLO and partition.record.second is None
