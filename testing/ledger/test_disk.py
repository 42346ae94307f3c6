"""Records in a real folder, also after a power loss in the middle of a write."""

from __future__ import annotations

import tempfile
import unittest
from pathlib import Path

import anyio

from bramleylead.ledger._disk import FileDisk
from bramleylead.ledger._members import LedgerMember
from bramleylead.ledger._members import LedgerView
from bramleylead.ledger._records import Record
from bramleylead.ledger._records import Spending
from bramleylead.ledger._records import key_of
from testing.ledger._fleet import turn


class FileDiskTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name) / "ledger"

    def write(self, *records: Record) -> None:
        anyio.run(FileDisk(self.folder).write, list(records))

    def read(self) -> list[Record]:
        return anyio.run(FileDisk(self.folder).load)[1]

    def test_records_are_read_again_in_order(self) -> None:
        records = [turn("a"), Spending("p", "a", 5, True), turn("b", "a")]
        self.write(*records)
        self.assertEqual(self.read(), records)

    def test_records_written_after_a_torn_segment_are_read(self) -> None:
        self.write(turn("a"), turn("b"))
        torn = next(self.folder.glob("*.segment"))
        torn.write_bytes(torn.read_bytes()[:-3])
        disk = FileDisk(self.folder)
        anyio.run(disk.load)
        anyio.run(disk.write, [turn("c")])
        self.assertEqual([record.turn for record in self.read()], ["a", "c"])

    def test_reading_a_segment_stops_at_a_corrupt_record(self) -> None:
        self.write(turn("a"), turn("b"))
        corrupt = next(self.folder.glob("*.segment"))
        data = bytearray(corrupt.read_bytes())
        data[-5] ^= 0xFF
        corrupt.write_bytes(data)
        self.assertEqual([record.turn for record in self.read()], ["a"])

    def test_the_disk_name_is_kept_until_its_file_is_lost(self) -> None:
        name = FileDisk(self.folder).name
        self.assertEqual(FileDisk(self.folder).name, name)
        (self.folder / "disk").unlink()
        self.assertNotEqual(FileDisk(self.folder).name, name)

    def test_the_view_is_replaced(self) -> None:
        disk = FileDisk(self.folder)
        for epoch in (1, 2):
            view = LedgerView(epoch, (LedgerMember("s", "10.0.0.1:7", "d"),))
            anyio.run(disk.write_view, view)
        self.assertEqual(anyio.run(FileDisk(self.folder).load)[0], view)

    def test_a_segment_is_deleted_once_none_of_its_records_is_held(self) -> None:
        self.write(turn("a"))
        disk = FileDisk(self.folder)
        anyio.run(disk.load)
        anyio.run(disk.write, [turn("b")])
        anyio.run(disk.delete_expired, lambda key: key == key_of(turn("a")))
        self.assertEqual(len(self.read()), 2)
        anyio.run(disk.delete_expired, lambda key: False)
        self.assertEqual([record.turn for record in self.read()], ["b"])
