"""A disk that the operating system refuses keeps its node waiting, not from starting."""

from __future__ import annotations

import errno
import json
import subprocess
import sys
import tempfile
import time
import unittest
from pathlib import Path
from unittest import mock

import anyio
from structlog.testing import capture_logs

from bramleylead.connection._free_ports import find_free_port
from bramleylead.ledger._disk import FileDisk
from bramleylead.ledger._disk_loading import SILENT_DISK_S
from bramleylead.ledger._disk_loading import open_disk
from bramleylead.ledger._disk_loading import retry_disk
from bramleylead.standins import run_virtual
from testing.ledger._fleet import Ledger
from testing.ledger._fleet import turn
from testing.ledger._fleet import wait_until
from testing.ledger.test_entries import run_with_ledger

HOST = "127.0.0.1"
TIMEOUT_S = 30.0
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
        with tempfile.TemporaryDirectory() as parent:
            folder = Path(parent) / "ledger"
            folder.write_bytes(b"")
            log = Path(parent) / "log"
            with log.open("wb") as output:
                process = _start(Path(parent), folder, output)
                try:
                    self.assertEqual(_line(process, log, "disk_unreadable")["kind"], "EEXIST")
                    folder.unlink()
                    self.assertEqual(_line(process, log, "ledger_serving")["node"], "s")
                finally:
                    process.kill()
                    process.wait()


def _start(parent: Path, folder: Path, output: object) -> subprocess.Popen[bytes]:
    settings = {
        "node": "s",
        "region": "r",
        "data_centre": "d",
        "data_centres": {"d": "r"},
        "host": HOST,
        "peer_ports": [find_free_port(HOST), 0],
        "metrics_address": f"{HOST}:{find_free_port(HOST)}",
        "store": {"address": f"{HOST}:{find_free_port(HOST)}"},
        "cluster_key": "key between nodes of a test",
        "losses": 1,
        "stop_grace_s": 6.0,
        "data_folder": str(folder),
    }
    file = parent / "settings.json"
    file.write_text(json.dumps(settings))
    command = [sys.executable, "-m", "bramleylead", "ledger", f"--settings={file}"]
    return subprocess.Popen(command, stdout=output, stderr=subprocess.DEVNULL)


def _line(process: subprocess.Popen[bytes], log: Path, event: str) -> dict[str, object]:
    """Return the first line with an event, once it is written."""
    deadline = time.monotonic() + TIMEOUT_S
    while time.monotonic() < deadline and process.poll() is None:
        for text in log.read_text().splitlines():
            if text.startswith("{") and json.loads(text)["event"] == event:
                return json.loads(text)
        time.sleep(0.05)
    raise AssertionError(f"no line {event}; exit code {process.poll()}")
