"""Group commit of records: callers wait until their records are synced to disk."""

from __future__ import annotations

import errno
from typing import final

import anyio
import structlog

from bramleylead.ledger._disk import Disk
from bramleylead.ledger._records import Key
from bramleylead.ledger._records import LedgerState
from bramleylead.ledger._records import Record
from bramleylead.ledger._records import key_of

log = structlog.get_logger()


class _Batch:
    """Records that are written and synced together."""

    def __init__(self) -> None:
        self.records: dict[Key, Record] = {}
        self.done = anyio.Event()
        self.failed: OSError | None = None


@final
class RecordWriter:
    """Writes records in batches; while one batch is synced, the next one fills up."""

    def __init__(self, disk: Disk, state: LedgerState) -> None:
        self._disk = disk
        self._state = state
        self._next_batch = _Batch()
        self._batch_in_flight: _Batch | None = None
        self._has_records = anyio.Event()
        self.batches = 0

    async def write(self, records: list[Record]) -> None:
        """Return once the records are on disk and in the state.

        :raises OSError: if they could not be written to disk.
        """
        batch: _Batch | None = None
        in_flight: _Batch | None = None
        for record in records:
            key = key_of(record)
            if self._state.get(key) is not None:
                continue
            if self._batch_in_flight is not None and key in self._batch_in_flight.records:
                in_flight = self._batch_in_flight
                continue
            batch = self._next_batch
            batch.records[key] = record
            self._has_records.set()
        for awaited in (in_flight, batch):
            if awaited is None:
                continue
            await awaited.done.wait()
            if awaited.failed is not None:
                raise awaited.failed

    async def run(self) -> None:
        """Write batches until cancelled."""
        while True:
            await self._has_records.wait()
            self._has_records = anyio.Event()
            batch, self._next_batch = self._next_batch, _Batch()
            self._batch_in_flight = batch
            await self._write_batch(batch)
            self._batch_in_flight = None
            batch.done.set()

    async def _write_batch(self, batch: _Batch) -> None:
        """Write a batch; whatever fails refuses this batch only."""
        records = list(batch.records.values())
        try:
            await self._disk.write(records)
            self._add(records)
        except OSError as error:
            batch.failed = error
            log.error("disk_write_failed", records=len(records), reason=str(error))
        except Exception as error:
            reason = f"{type(error).__name__}: {error}"
            batch.failed = OSError(errno.EIO, reason)
            log.exception("disk_write_failed", records=len(records), reason=reason)

    def _add(self, records: list[Record]) -> None:
        self.batches += 1
        now = anyio.current_time()
        for record in records:
            self._state.add(record, now=now)
