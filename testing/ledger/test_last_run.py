"""A ledger node's next start tells how the last run ended."""

from __future__ import annotations

import errno
import os
import signal
import tempfile
import unittest
from pathlib import Path
from typing import Any
from unittest import mock

import anyio
from structlog.testing import capture_logs

from bramleylead.ledger import _last_run
from bramleylead.ledger._disk import FileDisk
from bramleylead.ledger._last_run import FILE_NAME
from bramleylead.ledger._last_run import RunRecord
from testing.ledger._fleet import turn
from testing.ledger._process import LedgerProcess


class LastRunTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def run_once(self, error: Exception | None = None) -> list[Any]:
        """Run, and end by an error; return the lines of the log."""

        async def run() -> None:
            async with RunRecord(self.folder) as record, anyio.create_task_group():
                await record.begin()
                if error is not None:
                    raise error

        with capture_logs() as lines:
            try:
                anyio.run(run)
            except* (OSError, ValueError):
                self.assertIsNotNone(error)
        return lines

    def kill_a_run(self) -> None:
        anyio.run(RunRecord(self.folder).begin)

    def test_each_kind_of_end_is_told(self) -> None:
        self.assertEqual(self.run_once(), [])
        after_stop = self.run_once(OSError(errno.EMFILE, "Too many open files"))[0]
        after_failure = self.run_once()[0]
        self.kill_a_run()
        after_kill = self.run_once()[0]
        lines = [after_stop, after_failure, after_kill]
        self.assertEqual({line["event"] for line in lines}, {"last_run_ended"})
        self.assertEqual([line["kind"] for line in lines], ["stopped", "failed", "unknown"])
        self.assertEqual(after_failure["reason"], "OSError: [Errno 24] Too many open files")
        self.assertEqual(after_kill["reason"], "killed or power lost")
        self.assertIsNone(after_kill["ran_s"])
        self.assertGreaterEqual(after_stop["ran_s"], 0.0)

    def test_a_run_goes_on_if_it_can_not_be_recorded(self) -> None:
        for name in ("open", "write", "fsync"):
            with self.subTest(call=name):
                full = mock.patch.object(os, name, side_effect=OSError(errno.ENOSPC, "full"))
                with full:
                    lines = self.run_once()
                self.assertEqual({line["event"] for line in lines}, {"run_not_recorded"})

    def test_a_disk_that_hangs_holds_up_neither_start_nor_end(self) -> None:
        async def hang(*arguments: object) -> None:
            await anyio.sleep_forever()

        short = {"BEGIN_TIMEOUT_S": 0.01, "END_TIMEOUT_S": 0.01, "_in_thread": hang}
        with mock.patch.multiple(_last_run, **short):
            lines = self.run_once()
        self.assertEqual([line["event"] for line in lines], ["run_not_recorded"] * 3)

    def test_a_damaged_record_is_an_end_unknown(self) -> None:
        for content in (b"", b"{", b"\xff", b"[" * 100_000, b'{"run": "r", "later": 1}'):
            (self.folder / FILE_NAME).write_bytes(content)
            self.assertEqual(self.run_once()[0]["kind"], "unknown")

    def test_fields_of_a_later_build_are_passed_over(self) -> None:
        text = '{"run": "r", "version": "9", "started_at": 1, "state": "stopped", "later": []}'
        (self.folder / FILE_NAME).write_text(text)
        self.assertEqual(self.run_once()[0]["kind"], "stopped")

    def test_the_record_is_no_part_of_the_disk(self) -> None:
        disk = FileDisk(self.folder)
        anyio.run(disk.write, [turn("a")])
        self.kill_a_run()
        with capture_logs() as lines:
            again = FileDisk(self.folder)
            self.assertEqual(anyio.run(again.load)[1], [turn("a")])
        self.assertEqual((again.name, lines), (disk.name, []))


class ProcessTest(unittest.TestCase):
    def test_the_next_start_tells_of_a_stop_and_of_a_kill(self) -> None:
        with tempfile.TemporaryDirectory() as parent, LedgerProcess(Path(parent)) as process:
            process.start()
            process.wait_for_line("ledger_serving")
            self.assertEqual(process.end(signal.SIGTERM), 0)
            for kind in ("stopped", "unknown"):
                process.start()
                self.assertEqual(process.wait_for_line("last_run_ended")["kind"], kind)
                process.wait_for_line("ledger_serving")
                process.end(signal.SIGKILL)
