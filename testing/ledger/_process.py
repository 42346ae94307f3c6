"""A ledger node as a process of its own, without a store or other nodes."""

from __future__ import annotations

import json
import signal
import subprocess
import sys
import time
from pathlib import Path
from types import TracebackType
from typing import Any
from typing import Self

from bramleylead.connection._free_ports import find_free_port

HOST = "127.0.0.1"
TIMEOUT_S = 30.0


class LedgerProcess:
    """The process; leaving the context kills it.

    :param parent: a folder for its settings, its log and its disk's folder, which is not made.
    """

    def __init__(self, parent: Path) -> None:
        self.folder = parent / "ledger"
        self._parent = parent
        self._process: subprocess.Popen[bytes] | None = None

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        if self._process is not None and self._process.poll() is None:
            self.end(signal.SIGKILL)

    @property
    def _log(self) -> Path:
        return self._parent / "log"

    def start(self) -> None:
        """Start it, with an empty log."""
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
            "data_folder": str(self.folder),
        }
        file = self._parent / "settings.json"
        file.write_text(json.dumps(settings))
        command = [sys.executable, "-m", "bramleylead", "ledger", f"--settings={file}"]
        with self._log.open("wb") as log:
            self._process = subprocess.Popen(command, stdout=log, stderr=subprocess.DEVNULL)

    def end(self, number: signal.Signals) -> int:
        """Send a signal, and return the exit code."""
        assert self._process is not None
        self._process.send_signal(number)
        return self._process.wait(TIMEOUT_S)

    def wait_for_line(self, event: str) -> dict[str, Any]:
        """Return the first line with an event, once it is written."""
        assert self._process is not None
        deadline = time.monotonic() + TIMEOUT_S
        while time.monotonic() < deadline and self._process.poll() is None:
            for text in self._log.read_bytes().splitlines(keepends=True):
                if text.startswith(b"{") and text.endswith(b"\n"):
                    line = json.loads(text)
                    if line["event"] == event:
                        return line
            time.sleep(0.05)
        raise AssertionError(f"no line {event}; exit code {self._process.poll()}")
