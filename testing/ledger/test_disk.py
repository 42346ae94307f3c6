"""Records in a real folder, also after a power loss in the middle of a write."""

from __future__ import annotations

import errno
import itertools
import tempfile
import unittest
from pathlib import Path
from unittest import mock

import anyio

from bramleylead.ledger import _disk
from bramleylead.ledger._disk import FileDisk
from bramleylead.ledger._members import NO_VIEW
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


class DamagedDiskTest(unittest.TestCase):
    """Guards against a node that can't start, or that counts as complete, on a damaged disk."""

    def setUp(self) -> None:
        parent = tempfile.TemporaryDirectory()
        self.addCleanup(parent.cleanup)
        self.folder = Path(parent.name) / "ledger"
        disk = FileDisk(self.folder)
        self.name = disk.name
        self.view = LedgerView(4, (LedgerMember("s", "10.0.0.1:7", disk.name),))
        anyio.run(disk.write, [turn("a")])
        anyio.run(disk.write_view, self.view)

    def assert_counts_as_lost(self) -> None:
        """Its node is in no view, keeps the records, and has the same name at the next start."""
        disk = FileDisk(self.folder)
        self.assertEqual(anyio.run(disk.load), (NO_VIEW, [turn("a")]))
        self.assertRegex(disk.name, "^[0-9a-f]{16}$")
        self.assertNotEqual(disk.name, self.name)
        again = FileDisk(self.folder)
        self.assertEqual(anyio.run(again.load), (NO_VIEW, [turn("a")]))
        self.assertEqual(again.name, disk.name)
        anyio.run(again.write_view, self.view)
        anyio.run(again.write, [turn("b")])
        self.assertEqual(anyio.run(FileDisk(self.folder).load), (self.view, [turn("a"), turn("b")]))

    def test_a_damaged_view(self) -> None:
        for content in (b"", b'{"epoch": 4, "mem', b"null", b"\xff", b"[" * 100_000):
            with self.subTest(content=content[:20]):
                self.setUp()
                (self.folder / "view.json").write_bytes(content)
                self.assert_counts_as_lost()

    def test_a_damaged_name(self) -> None:
        # An empty name does not tell one content from another.
        for content in (b"", self.name.encode()[:5], b"\xff" * 16, self.name.encode() + b"\n"):
            with self.subTest(content=content):
                self.setUp()
                (self.folder / "disk").write_bytes(content)
                self.assert_counts_as_lost()

    def test_a_lost_name(self) -> None:
        (self.folder / "disk").unlink()
        self.assert_counts_as_lost()

    def test_folders_in_the_place_of_files(self) -> None:
        for name in ("disk", "view.json", "0000000007.segment"):
            with self.subTest(name=name):
                self.setUp()
                (self.folder / name).unlink(missing_ok=True)
                (self.folder / name).mkdir()
                (self.folder / name / "file").touch()
                self.assert_counts_as_lost()

    # Guards against a node that never starts again, as nothing could be set aside a second time.
    def test_what_was_set_aside_before_makes_room(self) -> None:
        for name in ("disk", "view.json", "0000000007.segment"):
            for aside_is_folder, is_folder in itertools.product((False, True), repeat=2):
                if name.endswith(".segment") and not is_folder:
                    continue
                with self.subTest(name=name, aside_is_folder=aside_is_folder, is_folder=is_folder):
                    self.setUp()
                    self.put(f"{name}.unusable", is_folder=aside_is_folder)
                    self.put(name, is_folder=is_folder)
                    self.assert_counts_as_lost()

    def put(self, name: str, *, is_folder: bool) -> None:
        """Put a file that is no JSON, or a folder with a file, in the place of a name."""
        path = self.folder / name
        path.unlink(missing_ok=True)
        if is_folder:
            path.mkdir()
            (path / "file").touch()
        else:
            path.write_bytes(b"damaged")

    def test_files_with_other_names_are_ignored(self) -> None:
        for name in ("x.segment", ".segment", "1e3.segment", "a \udcff.segment", "other"):
            (self.folder / name).touch()
        disk = FileDisk(self.folder)
        self.assertEqual(anyio.run(disk.load), (self.view, [turn("a")]))
        self.assertEqual(disk.name, self.name)

    def test_what_is_left_of_a_replacement_is_ignored(self) -> None:
        for name in ("disk.new", "view.json.new"):
            (self.folder / name).write_bytes(b"torn")
        disk = FileDisk(self.folder)
        self.assertEqual(anyio.run(disk.load), (self.view, [turn("a")]))
        self.assertEqual(disk.name, self.name)

    def test_a_start_that_ends_between_two_steps_is_repeated(self) -> None:
        (self.folder / "view.json").write_bytes(b"")
        with (
            mock.patch.object(_disk, "set_aside", side_effect=OSError(errno.EIO, "ended here")),
            self.assertRaises(OSError),
        ):
            anyio.run(FileDisk(self.folder).load)
        self.assert_counts_as_lost()
