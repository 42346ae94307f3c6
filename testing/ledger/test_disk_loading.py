"""A disk that the operating system refuses keeps its node waiting, not from starting."""

from __future__ import annotations

import errno
import os
import signal
import tempfile
import unittest
from pathlib import Path
from unittest import mock

import anyio
from structlog.testing import capture_logs

from bramleylead.ledger._disk import FileDisk
from bramleylead.ledger._disk_loading import SILENT_DISK_S
from bramleylead.ledger._disk_loading import open_disk
from bramleylead.ledger._disk_loading import retry_disk
from bramleylead.standins import run_virtual
from testing.ledger._fleet import Ledger
from testing.ledger._fleet import turn
from testing.ledger._fleet import wait_until
from testing.ledger._process import LedgerProcess
from testing.ledger.test_entries import run_with_ledger

ERRNOS = (errno.EIO, errno.ENOSPC, errno.EMFILE, errno.EAGAIN)


class DiskLoadingTest(unittest.TestCase):
    def test_a_disk_that_is_refused_for_a_while_keeps_its_name_and_records(self) -> None:
        with tempfile.TemporaryDirectory() as parent:
            folder = Path(parent) / "ledger"
            before = FileDisk(folder)
            anyio.run(before.write, [turn("a")])
            for number in ERRNOS:
                with self.subTest(errno=errno.errorcode[number]):
                    refused = OSError(number, "refused")
                    content = before.name.encode()
                    answers = mock.patch.object(Path, "read_bytes", side_effect=[refused, content])
                    with answers, capture_logs() as lines:
                        disk = anyio.run(open_disk, folder)
                    self.assertEqual(disk.name, before.name)
                    self.assertEqual([turn("a")], anyio.run(disk.load)[1])
                    self.assertEqual(lines[0]["event"], "disk_unreadable")
                    self.assertEqual(lines[0]["kind"], errno.errorcode[number])

    def test_records_are_not_counted_twice_after_a_second_load(self) -> None:
        with tempfile.TemporaryDirectory() as parent:
            disk = FileDisk(Path(parent) / "ledger")
            anyio.run(disk.write, [turn("a")])
            disk = FileDisk(Path(parent) / "ledger")
            for _ in range(2):
                self.assertEqual(anyio.run(disk.load)[1], [turn("a")])
            self.assertEqual(len(disk._closed_segments), 1)

    def test_a_disk_that_gives_no_answer_is_logged(self) -> None:
        with capture_logs() as lines:
            run_virtual(lambda: retry_disk(lambda: anyio.sleep(2.5 * SILENT_DISK_S)), seed=1)
        self.assertEqual([line["kind"] for line in lines], ["SILENT", "SILENT"])

    def test_a_node_whose_disk_is_refused_is_no_member_until_it_is_read(self) -> None:
        async def main(ledger: Ledger, tasks: anyio.abc.TaskGroup) -> None:
            async with ledger.gateway(0) as gateway:
                await gateway.keep(turn("a"))
                ledger.kill(0)
                ledger.disks[0].load_errors = [OSError(number, "refused") for number in ERRNOS]
                tasks.start_soon(lambda: ledger.start(0, tasks=tasks))
                await anyio.sleep(1.0)
                self.assertNotIn(0, ledger.nodes)
                (await gateway.keep(turn("b", "a"))).unwrap()
                with anyio.fail_after(10):
                    await wait_until(lambda: 0 in ledger.nodes)
                await ledger.wait_for_members(0)
                self.assertEqual(len((await gateway.find_chain("b")).unwrap()), 2)

        run_with_ledger(main)


class ProcessTest(unittest.TestCase):
    # Guards against a process that ends, at each start, since its folder can't be used.
    def test_a_node_whose_folder_is_a_file_serves_once_that_is_mended(self) -> None:
        with tempfile.TemporaryDirectory() as parent, LedgerProcess(Path(parent)) as process:
            process.folder.write_bytes(b"")
            process.start()
            self.assertEqual(process.wait_for_line("disk_unreadable")["kind"], "EEXIST")
            process.folder.unlink()
            self.assertEqual(process.wait_for_line("ledger_serving")["node"], "s")

    # Guards against a node that only SIGKILL ends, since it waits for an answer of its disk.
    def test_a_signal_ends_a_node_whose_disk_gives_no_answer(self) -> None:
        for name in ("disk", "view.json"):
            with (
                self.subTest(name),
                tempfile.TemporaryDirectory() as parent,
                LedgerProcess(Path(parent)) as process,
            ):
                anyio.run(open_disk, process.folder)
                (process.folder / name).unlink(missing_ok=True)
                # To open a pipe without a writer takes until one comes.
                os.mkfifo(process.folder / name)
                process.start()
                self.assertEqual(process.wait_for_line("disk_unreadable")["kind"], "SILENT")
                self.assertEqual(process.end(signal.SIGTERM), 0)
