"""Writes the journals of this node's partitions to the store, at a bounded rate.

A segment holds what was acknowledged since the last flush. Once the segments since a snapshot
outweigh the state, a new snapshot takes their place and they are deleted, so that a recovery reads
about twice the state's size at most, whatever the age of its programs.
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
from bramleylead.process.journal._journal_store import pieces_of
from bramleylead.process.journal._journal_store import read_pieces
from bramleylead.process.journal._journal_store import write_piece
from bramleylead.process.journal._state_codec import pack_state
from bramleylead.process.journal._state_codec import state_digest
from bramleylead.process.partitions._partition import OwnedPartition
from bramleylead.process.partitions._partition_context import PartitionContext
from bramleylead.process.partitions._partition_table import PartitionTable
from bramleylead.process.partitions._pending import Mode

FLEET_WRITES_PER_S = 120.0  # of the store's several hundred, for all journals together
SNAPSHOT_LEAST_BYTES = 1_000_000
TICK_S = 0.25
ATTEMPTS = 3


@dataclass
class _Flushed:
    """What this node has written of one partition since it became its owner."""

    at_s: float
    snapshot_bytes: int = 0
    bytes_since_snapshot: int = 0
    keys: list[str] = field(default_factory=list)
    former_keys_known: bool = False


@final
class JournalFlusher:
    """Flushes each partition once an interval, and all of them when the node stops."""

    def __init__(self, context: PartitionContext, table: PartitionTable) -> None:
        self._context = context
        self._table = table
        self._flushed: dict[OwnedPartition, _Flushed] = {}
        self._next_call_s = 0.0

    async def run(self) -> None:
        """Flush what is due, until cancelled."""
        while True:
            await anyio.sleep(TICK_S)
            now = anyio.current_time()
            for partition in self._due(now):
                await self.flush(partition)

    async def flush(self, partition: OwnedPartition) -> bool:
        """Write what is acknowledged and not in the store yet; whether it is all there now."""
        if not _may_flush(partition):
            return False
        done = self._flushed.setdefault(partition, _Flushed(anyio.current_time()))
        done.at_s = anyio.current_time()
        copy = partition.copy
        if not copy.tail.continues(copy.sequence):
            return await self._write_snapshot(partition, done)
        if copy.tail.entries and not await self._write_segment(partition, done):
            return False
        if done.bytes_since_snapshot > max(SNAPSHOT_LEAST_BYTES, done.snapshot_bytes):
            return await self._write_snapshot(partition, done)
        return True

    def dump(self) -> dict[str, Any]:
        """Return what is not flushed, for the state dump."""
        owned = self._table.owned.values()
        return {
            "unflushed_entries": sum(each.copy.sequence - each.copy.tail.flushed for each in owned),
            "unflushed_bytes": sum(each.copy.tail.size_bytes for each in owned),
        }

    def _due(self, now: float) -> list[OwnedPartition]:
        owned = list(self._table.owned.values())
        for gone in [each for each in self._flushed if each not in owned]:
            del self._flushed[gone]
        interval_s = self._context.settings.partitions.flush_interval_s
        due: list[tuple[float, int, OwnedPartition]] = []
        for partition in owned:
            done = self._flushed.setdefault(partition, _Flushed(now))
            behind = partition.copy.sequence > partition.copy.tail.flushed
            if behind and now - done.at_s >= interval_s:
                due.append((done.at_s, partition.number, partition))
        return [partition for _, _, partition in sorted(due, key=lambda each: each[:2])]

    async def _write_segment(self, partition: OwnedPartition, done: _Flushed) -> bool:
        tail = partition.copy.tail
        entries = list(tail.entries)
        first, last = entries[0].sequence, entries[-1].sequence
        segment = Segment(
            tail.flushed_digest, entries[-1].digest, tuple(each.packed for each in entries)
        )
        name = BlobName(partition.epoch, first, last, SEGMENT)
        packed = segment.pack()
        if not await self._write(partition, name, packed, done):
            return False
        tail.mark_flushed(last)
        done.bytes_since_snapshot += len(packed)
        return True

    async def _write_snapshot(self, partition: OwnedPartition, done: _Flushed) -> bool:
        copy = partition.copy
        sequence, digest = copy.sequence, copy.digest
        state = pack_state(copy.state)
        packed = Snapshot(digest, state_digest(state), state).pack()
        copy.tail.gather_again()
        former = await self._former_keys(partition, done)
        name = BlobName(partition.epoch, sequence, sequence, SNAPSHOT)
        if former is None or not await self._write(partition, name, packed, done):
            copy.tail.drop()
            return False
        copy.tail.mark_snapshot(sequence, digest)
        done.snapshot_bytes = len(packed)
        done.bytes_since_snapshot = 0
        await self._truncate(former, done)
        return True

    async def _former_keys(self, partition: OwnedPartition, done: _Flushed) -> list[str] | None:
        """Return the keys that a snapshot makes superfluous, also those of former owners."""
        if not done.former_keys_known:
            read = await read_pieces(self._context.store, partition.number)
            if isinstance(read, Err):
                return None
            done.keys = sorted(read.ok_value)
            done.former_keys_known = True
        return list(done.keys)

    async def _truncate(self, former: list[str], done: _Flushed) -> None:
        for key in former:
            deleted = await self._try(lambda key=key: delete_piece(self._context.store, key))
            if isinstance(deleted, Err):
                continue
            if key in done.keys:
                done.keys.remove(key)
            self._context.metrics.journal_writes.inc({"kind": "delete"})

    async def _write(
        self, partition: OwnedPartition, name: BlobName, data: bytes, done: _Flushed
    ) -> bool:
        pieces = pieces_of(data)
        for at, piece in enumerate(pieces):
            key = name.key(partition.number, at, len(pieces))
            done.keys.append(key)
            written = await self._try(
                lambda key=key, piece=piece: write_piece(self._context.store, key, piece)
            )
            if isinstance(written, Err):
                return False
            self._context.metrics.journal_writes.inc({"kind": name.kind})
        return _may_flush(partition)

    async def _try(
        self, call: Callable[[], Awaitable[Result[None, StoreError]]]
    ) -> Result[None, StoreError]:
        """Make a call that may be repeated, again after a lost reply, within the rate."""
        outcome: Result[None, StoreError] = Ok(None)
        for _ in range(ATTEMPTS):
            await self._pace()
            outcome = await call()
            if isinstance(outcome, Ok) or outcome.err_value.kind is not StoreErrorKind.UNKNOWN:
                return outcome
        return outcome

    async def _pace(self) -> None:
        """Keep this node's share of the fleet's rate."""
        nodes = max(1, len(self._context.members.members()))
        now = anyio.current_time()
        at = max(now, self._next_call_s)
        self._next_call_s = at + nodes / FLEET_WRITES_PER_S
        if at > now:
            await anyio.sleep(at - now)


def _may_flush(partition: OwnedPartition) -> bool:
    """Whether the journal's end is agreed: not while entries may belong to this node alone."""
    if partition.mode in (Mode.PAIRED, Mode.MOVING):
        return True
    return partition.mode is Mode.SOLO and partition.record.second is None
