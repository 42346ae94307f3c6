"""Signals to real gateways and ledger nodes at each moment of their lives."""

from __future__ import annotations

import json
import os
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import unittest
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any
from typing import NamedTuple

from bramleylead.connection._free_ports import find_free_port
from bramleylead.ledger._last_run import FILE_NAME

HOST = "127.0.0.1"
LIMIT_S = 60.0
STEP_S = 0.1
POLL_S = 0.002
STOP_GRACE_S = 5.0
ROLES = ("gateway", "ledger")
RUN_MODULE = """
import os, runpy, signal, sys, threading, time
import importlib.abc

stop_at = sys.argv.pop(1)

def hang_up():
    while True:
        os.kill(os.getpid(), signal.SIGHUP)
        time.sleep(0.002)

class Signals(importlib.abc.MetaPathFinder):
    def find_spec(self, name, path, target=None):
        if name == "bramleylead.cli" and not stop_at:
            threading.Thread(target=hang_up, daemon=True).start()
        if name == stop_at:
            os.kill(os.getpid(), signal.SIGTERM)

sys.meta_path.insert(0, Signals())
runpy.run_module("bramleylead", run_name="__main__", alter_sys=True)
"""
"""Runs the command line with SIGTERM at one import, or with SIGHUP every 2 ms to the very end."""


class Life(NamedTuple):
    code: int
    events: list[str]


class Started:
    """A process without a store, and its log."""

    def __init__(self, role: str, folder: Path, *command: str, peer_port: int = 0) -> None:
        ports = [peer_port or find_free_port(HOST), *(find_free_port(HOST) for _ in range(4))]
        settings: dict[str, Any] = {
            "node": role,
            "region": "r",
            "data_centre": "d",
            "data_centres": {"d": "r"},
            "host": HOST,
            "peer_ports": [ports[0], ports[0]],
            "metrics_address": f"{HOST}:{ports[1]}",
            "store": {"address": f"{HOST}:{ports[4]}"},
            "cluster_key": "key between nodes of a test",
            "losses": 1,
            "stop_grace_s": STOP_GRACE_S,
        }
        if role == "ledger":
            settings["data_folder"] = str(folder / "disk")
        else:
            settings["http_address"] = f"{HOST}:{ports[2]}"
            settings["ready_address"] = f"{HOST}:{ports[3]}"
        file = folder / "settings.json"
        file.write_text(json.dumps(settings))
        self._log = folder / "log"
        words = [sys.executable, *command, role, f"--settings={file}"]
        with self._log.open("wb") as log:
            self.process = subprocess.Popen(words, stdout=log, stderr=log)

    @property
    def text(self) -> str:
        return self._log.read_text()

    @property
    def keeps_hangups(self) -> bool:
        """Whether the process has a handler of SIGHUP."""
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        found = re.search(r"^SigCgt:\s*(\w+)$", status, re.MULTILINE)
        assert found is not None
        return bool(int(found[1], 16) & 1 << signal.SIGHUP - 1)

    def wait_until(
        self, is_done: Callable[[], bool], *, before_each: Callable[[], None] = lambda: None
    ) -> None:
        """Wait until a condition holds, or the process has ended."""
        deadline = time.monotonic() + LIMIT_S
        while not is_done() and self.process.poll() is None:
            if time.monotonic() > deadline:
                raise TimeoutError(self.text)
            before_each()
            time.sleep(POLL_S)

    def send_until(self, is_done: Callable[[], bool], draw: Callable[[], signal.Signals]) -> None:
        """Send a signal every tenth of a second until a condition holds, or the process ends."""

        def send() -> None:
            self.process.send_signal(draw())
            time.sleep(STEP_S)

        self.wait_until(is_done, before_each=send)

    def live(self, run: Callable[[Started], None]) -> Life:
        """Do something to the process, wait for its end, and return how it lived."""
        try:
            run(self)
            code = self.process.wait(LIMIT_S)
        finally:
            self.process.kill()
            self.process.wait()
        lines = [json.loads(line) for line in self.text.splitlines() if line.startswith("{")]
        return Life(code, [line["event"] for line in lines])


def live(role: str, run: Callable[[Started], None], *command: str, peer_port: int = 0) -> Life:
    """Start a process, do something to it, and return how it lived."""
    words = command or ("-m", "bramleylead")
    with tempfile.TemporaryDirectory() as folder:
        return Started(role, Path(folder), *words, peer_port=peer_port).live(run)


class SignalsTest(unittest.TestCase):
    def check(self, run: Callable[[str], Life], *events: str) -> None:
        """Run both roles side by side; each must stop with code 0 and these events."""
        with ThreadPoolExecutor(len(ROLES)) as pool:
            lives = dict(zip(ROLES, pool.map(run, ROLES), strict=True))
        for role, life in lives.items():
            with self.subTest(role=role):
                self.assertEqual(life.code, 0, life.events)
                self.assertEqual(life.events[0], "process_started")
                self.assertEqual(life.events[-1], "process_ended")
                for event in events:
                    self.assertIn(event.format(role=role), life.events)

    # Guards against processes that end without a line: SIGHUP found no handler in a start.
    def test_a_hangup_ends_no_process_from_its_first_import_to_its_end(self) -> None:
        def stop(started: Started) -> None:
            started.wait_until(lambda: "_serving" in started.text)
            started.process.terminate()

        self.check(
            lambda role: live(role, stop, "-c", RUN_MODULE, ""),
            "{role}_serving",
            "settings_changed",
            "{role}_stopped",
        )

    # Guards against code -15: SIGTERM while libraries are imported found no handler.
    def test_a_stop_that_comes_while_libraries_are_imported_is_remembered(self) -> None:
        for module in ("bramleylead.cli", "msgspec", "uvicorn"):
            self.check(
                lambda role, module=module: live(role, lambda _: None, "-c", RUN_MODULE, module)
            )

    # Guards against code -1 in a stop: the default handlers were back before the process ended.
    def test_signals_each_tenth_of_a_second_leave_start_and_stop_clean(self) -> None:
        def run(role: str) -> Life:
            rng = random.Random(f"signals/{role}")
            kinds = (signal.SIGHUP, signal.SIGTERM, signal.SIGINT)

            def send(started: Started) -> None:
                started.wait_until(lambda: started.keeps_hangups)
                started.send_until(lambda: f"{role}_serving" in started.text, lambda: signal.SIGHUP)
                started.process.send_signal(rng.choice(kinds[1:]))
                started.send_until(lambda: False, lambda: rng.choice(kinds))

            return live(role, send)

        self.check(run, "{role}_serving", "{role}_stopped")

    # Guards against a start that is cut off or goes on: a stop ends it cleanly at any tenth.
    def test_a_stop_at_each_tenth_of_a_second_of_a_start_is_clean(self) -> None:
        def run(role: str) -> Life:
            rng = random.Random(f"stop in start/{role}")

            def send(started: Started) -> None:
                started.wait_until(lambda: started.keeps_hangups)
                time.sleep(rng.randrange(6) * STEP_S)
                started.process.terminate()

            return live(role, send)

        self.check(run)

    # Guards against a start that waits for a port in use and hears no signal.
    def test_a_stop_is_clean_while_an_address_is_in_use(self) -> None:
        def stop(started: Started) -> None:
            started.wait_until(lambda: "address_unavailable" in started.text)
            started.process.terminate()

        with socket.create_server((HOST, 0)) as taken:
            port = taken.getsockname()[1]
            self.check(lambda role: live(role, stop, peer_port=port), "{role}_stopped")

    # Guards against a ledger node that only SIGKILL ends: it waited for its disk first.
    def test_a_stop_is_clean_while_the_disk_can_not_be_opened(self) -> None:
        def stop(started: Started) -> None:
            started.wait_until(lambda: "disk_unreadable" in started.text)
            started.process.terminate()

        with tempfile.TemporaryDirectory() as folder:
            (Path(folder) / "disk").write_text("no folder")
            life = Started("ledger", Path(folder), "-m", "bramleylead").live(stop)
        self.assertEqual(life.code, 0, life.events)
        self.assertEqual(life.events[-2:], ["ledger_stopped", "process_ended"])

    # Guards against a stopped ledger node that only SIGKILL ends: its exit waited for threads.
    def test_an_exit_does_not_wait_for_a_disk_that_gives_no_answer(self) -> None:
        def stop(started: Started) -> None:
            started.wait_until(lambda: "ledger_serving" in started.text)
            started.process.terminate()

        with tempfile.TemporaryDirectory() as folder:
            (Path(folder) / "disk").mkdir()
            os.mkfifo(Path(folder) / "disk" / FILE_NAME)
            life = Started("ledger", Path(folder), "-m", "bramleylead").live(stop)
        self.assertEqual((life.code, life.events[-1]), (0, "process_ended"), life.events)
