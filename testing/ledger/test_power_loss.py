"""Whatever a power loss leaves of the names and bytes that were not synced, a disk is whole."""

from __future__ import annotations

import shutil
import tempfile
import unittest
from collections.abc import Iterator
from pathlib import Path
from typing import NamedTuple

import anyio
from structlog.testing import capture_logs

from bramleylead.ledger._disk import FileDisk
from bramleylead.ledger._last_run import RunRecord
from bramleylead.ledger._members import NO_VIEW
from bramleylead.ledger._members import LedgerMember
from bramleylead.ledger._members import LedgerView
from bramleylead.ledger._records import key_of
from testing.ledger._fleet import turn
from testing.ledger._power import RecordedFolder


class Acknowledged(NamedTuple):
    """What must survive."""

    name: str
    epoch: int
    turns: frozenset[str]


NOTHING = Acknowledged("", 0, frozenset())


class PowerLossTest(unittest.TestCase):
    def setUp(self) -> None:
        self.enterContext(capture_logs())
        parent = tempfile.TemporaryDirectory()
        self.addCleanup(parent.cleanup)
        self.parent = Path(parent.name)
        self.folder = self.parent / "ledger"
        self.folder.mkdir()
        self.checked = 0

    def remains(self, recorded: RecordedFolder) -> Iterator[tuple[Acknowledged, Path]]:
        """Yield each folder that may be left."""
        for number, (expected, files) in enumerate(recorded.remains()):
            folder = self.parent / str(number)
            folder.mkdir(exist_ok=True)
            for name, content in files.items():
                (folder / name).write_bytes(content)
            with self.subTest(expected=expected, files=files):
                yield expected, folder
            self.checked += 1
            shutil.rmtree(folder)

    def test_at_each_step_of_a_node(self) -> None:
        with RecordedFolder(self.folder) as recorded:
            recorded.acknowledged = NOTHING
            disk = FileDisk(self.folder)
            recorded.acknowledged = NOTHING._replace(name=disk.name)
            anyio.run(RunRecord(self.folder).begin)
            for epoch, name in enumerate("abc", start=1):
                view = LedgerView(epoch, (LedgerMember("s", "10.0.0.1:7", disk.name),))
                anyio.run(disk.write_view, view)
                recorded.acknowledged = recorded.acknowledged._replace(epoch=epoch)
                anyio.run(disk.write, [turn(name), turn(f"{name}2")])
                turns = recorded.acknowledged.turns | {name, f"{name}2"}
                recorded.acknowledged = recorded.acknowledged._replace(turns=turns)
                disk._close_current_segment()
            kept = key_of(turn("b"))
            recorded.acknowledged = recorded.acknowledged._replace(turns=frozenset({"b", "b2"}))
            anyio.run(disk.delete_expired, lambda key: key == kept)
        for expected, folder in self.remains(recorded):
            disk = FileDisk(folder)
            view, records = disk._load()
            if expected.name:
                self.assertEqual(disk.name, expected.name)
            self.assertLessEqual(expected.turns, {record.turn for record in records})
            self.assertGreaterEqual(view.epoch, expected.epoch)
        self.assertGreater(self.checked, 30)

    def test_at_each_step_of_a_start_on_a_damaged_disk(self) -> None:
        # Guards against a node that is a member by the old view, under a name that it keeps.
        for damaged in ("disk", "view.json"):
            disk = FileDisk(self.folder)
            view = LedgerView(3, (LedgerMember("s", "10.0.0.1:7", disk.name),))
            anyio.run(disk.write_view, view)
            anyio.run(disk.write, [turn("a")])
            (self.folder / damaged).write_bytes(b"1")
            with RecordedFolder(self.folder) as recorded:
                recorded.acknowledged = NOTHING._replace(turns=frozenset("a"))
                self.assertEqual(FileDisk(self.folder)._load()[0], NO_VIEW)
            for expected, folder in self.remains(recorded):
                again = FileDisk(folder)
                found, records = again._load()
                self.assertNotIn(again.name, [member.disk for member in found.members])
                self.assertNotEqual(again.name, disk.name)
                self.assertLessEqual(expected.turns, {record.turn for record in records})
            shutil.rmtree(self.folder)
        self.assertGreater(self.checked, 10)
