"""Takes records in, and lets those wait whose record is not on disk yet."""

from __future__ import annotations

from typing import final

import anyio
import structlog

from bramleylead.ledger._log import Disk
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
    """Writes records in batches: while one is synced, the next one gathers."""

    def __init__(self, disk: Disk, state: LedgerState) -> None:
        self._disk = disk
        self._state = state
        self._gathering = _Batch()
        self._writing: _Batch | None = None
        self._wake = anyio.Event()
        self.batches = 0

    async def write(self, records: list[Record]) -> None:
        """Return once the records are on disk and in the state.

        :raises OSError: if the disk did not take them.
        """
        batch: _Batch | None = None
        earlier: _Batch | None = None
        for record in records:
            key = key_of(record)
            if self._state.get(key) is not None:
                continue
            if self._writing is not None and key in self._writing.records:
                earlier = self._writing
                continue
            batch = self._gathering
            batch.records[key] = record
            self._wake.set()
        for waited in (earlier, batch):
            if waited is None:
                continue
            await waited.done.wait()
            if waited.failed is not None:
                raise waited.failed

    async def run(self) -> None:
        """Write what gathers, until cancelled."""
        while True:
            await self._wake.wait()
            self._wake = anyio.Event()
            batch, self._gathering = self._gathering, _Batch()
            self._writing = batch
            await self._write_batch(batch)
            self._writing = None
            batch.done.set()

    async def _write_batch(self, batch: _Batch) -> None:
        records = list(batch.records.values())
        try:
            await self._disk.write(records)
        except OSError as error:
            batch.failed = error
            log.error("disk_write_failed", records=len(records), reason=str(error))
            return
        self.batches += 1
        now = anyio.current_time()
        for record in records:
            self._state.add(record, now=now)
