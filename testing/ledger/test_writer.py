"""A disk that fails refuses records, and takes them again once it works."""

from __future__ import annotations

import errno
import os
import tempfile
import threading
import unittest
from pathlib import Path
from unittest import mock

import anyio

from bramleylead.ledger._disk import FileDisk
from bramleylead.ledger._records import LedgerState
from bramleylead.ledger._records import Record
from bramleylead.ledger._records import Spending
from bramleylead.ledger._writer import RecordWriter
from bramleylead.standins import run_virtual
from bramleylead.supervision import supervise
from testing.ledger._fleet import MemoryDisk
from testing.ledger._fleet import turn

TIMEOUT_S = 10.0
FAILURES = (
    (os, "open", OSError(errno.EMFILE, "Too many open files")),
    (os, "write", OSError(errno.ENOSPC, "No space left on device")),
    (os, "fdatasync", OSError(errno.EIO, "Input/output error")),
    (os, "fsync", OSError(errno.EIO, "Input/output error")),
    (os, "write", MemoryError()),
    (threading.Thread, "start", RuntimeError("can't start new thread")),
    (FileDisk, "_append_bytes", ValueError("a fault of the program")),
)


class FailingDiskTest(unittest.TestCase):
    def setUp(self) -> None:
        parent = tempfile.TemporaryDirectory()
        self.addCleanup(parent.cleanup)
        self.folder = Path(parent.name) / "ledger"

    def test_records_are_refused_while_the_disk_fails_and_taken_afterwards(self) -> None:
        # Guards against a process that ends, or takes no record any more, since a write failed.
        for owner, name, error in FAILURES:
            with self.subTest(call=name, error=type(error).__name__):
                self.setUp()
                anyio.run(self._write_beside_a_failure, owner, name, error)
                self.assertEqual(anyio.run(FileDisk(self.folder).load)[1], [turn("c")])

    async def _write_beside_a_failure(self, owner: object, name: str, error: Exception) -> None:
        disk = FileDisk(self.folder)
        state = LedgerState()
        writer = RecordWriter(disk, state)
        with anyio.fail_after(TIMEOUT_S):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(writer.run)
                with mock.patch.object(owner, name, side_effect=error):
                    for refused in ("a", "b"):
                        with self.assertRaises(OSError):
                            await writer.write([turn(refused)])
                self.assertEqual(len(state), 0)
                await writer.write([turn("c")])
                self.assertEqual([record.turn for record in state], ["c"])
                tasks.cancel_scope.cancel()

    def test_a_full_disk_is_not_filled_with_empty_segments(self) -> None:
        disk = FileDisk(self.folder)
        anyio.run(disk.write, [turn("a")])
        full = OSError(errno.ENOSPC, "No space left on device")
        with mock.patch.object(os, "write", side_effect=full):
            for _ in range(20):
                with self.assertRaises(OSError):
                    anyio.run(disk.write, [turn("b")])
        self.assertEqual(len(list(self.folder.glob("*.segment"))), 1)
        self.assertEqual(anyio.run(FileDisk(self.folder).load)[1], [turn("a")])

    def test_a_segment_whose_name_is_not_synced_takes_no_more_records(self) -> None:
        # Guards against records that are acknowledged, and lost with their file's name.
        disk = FileDisk(self.folder)
        failure = mock.patch.object(os, "fsync", side_effect=OSError(errno.EIO, "error"))
        with failure, self.assertRaises(OSError):
            anyio.run(disk.write, [turn("a")])
        with mock.patch.object(os, "fsync", wraps=os.fsync) as synced:
            anyio.run(disk.write, [turn("a")])
        self.assertEqual(synced.call_count, 1)

    def test_a_segment_that_can_not_be_deleted_keeps_no_other_and_is_tried_again(self) -> None:
        for name in ("a", "b"):
            disk = FileDisk(self.folder)
            anyio.run(disk.load)
            anyio.run(disk.write, [turn(name)])
        disk = FileDisk(self.folder)
        anyio.run(disk.load)
        unlink = mock.patch.object(Path, "unlink", side_effect=[OSError(errno.EIO, "error"), None])
        with unlink as deleted, self.assertRaises(OSError):
            anyio.run(disk.delete_expired, lambda key: False)
        self.assertEqual(deleted.call_count, 2)
        anyio.run(disk.delete_expired, lambda key: False)
        self.assertFalse((self.folder / "0000000001.segment").exists())


class ThreadlessDisk(MemoryDisk):
    """A disk whose first write finds no thread."""

    def __init__(self) -> None:
        super().__init__("disk")
        self.failures = 1

    async def write(self, records: list[Record]) -> None:
        if self.failures:
            self.failures -= 1
            raise RuntimeError("can't start new thread")
        await super().write(records)


class RecordWriterTest(unittest.TestCase):
    # Guards against a node that ends, or writes nothing more, after one unexpected error.
    def test_an_unexpected_error_fails_its_batch_only(self) -> None:
        async def main() -> None:
            writer = RecordWriter(ThreadlessDisk(), LedgerState())
            spending = Spending("p", "a", 9, False)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(supervise, "writer", writer.run)
                with anyio.fail_after(5.0):
                    with self.assertRaises(OSError):
                        await writer.write([spending])
                    await writer.write([spending])
                tasks.cancel_scope.cancel()

        run_virtual(main, seed=1)
