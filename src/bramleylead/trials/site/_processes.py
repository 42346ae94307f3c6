"""The product's programs as processes of one machine: started, stopped, killed, frozen, wiped."""

from __future__ import annotations

import json
import os
import random
import resource
import shutil
import signal
import sys
import time
from collections.abc import Sequence
from contextlib import AsyncExitStack
from contextlib import suppress
from pathlib import Path
from typing import Any
from typing import final

import anyio
from anyio.abc import Process

from bramleylead.connection._free_ports import find_free_port
from bramleylead.trials.site._proxy import HOST
from bramleylead.trials.site._proxy import Proxy

GRACE_S = 6.0
CLUSTER_KEY = "key between nodes of a soak"
DESCRIPTORS = 120
"""The limit of each process, so that a soak can use it up."""
KIB = 1024
CPUCLOCK_SCHED = 2
"""Linux: the clock of a process's time in the scheduler, beside its inverted id in a clock's id."""
HANDLER_POLL_S = 0.005
HANDLER_TIMEOUT_S = 40.0
LAST_OUTPUT_CHARACTERS = 600
SIGNAL_SETS = ("SigIgn:", "SigCgt:")


@final
class Node:
    """One gateway or node of the ledger, with a proxy of its own to the platform's store.

    :param builds: folders that hold the package; each start takes one of them. The package of this
        process if there are none.
    :param descriptors: how many descriptors its process may have open.
    :param command: what the interpreter runs; the role and its settings follow.
    """

    def __init__(
        self,
        name: str,
        role: str,
        folder: Path,
        rng: random.Random,
        *,
        losses: int,
        builds: Sequence[Path] = (),
        descriptors: int = DESCRIPTORS,
        command: Sequence[str] = ("-m", "bramleylead"),
    ) -> None:
        self._command = command
        self._folder = folder
        self._rng = rng
        self._builds = builds
        self._losses = losses
        self._descriptors = descriptors
        self._process: Process | None = None
        self._ends_on_request = False
        self._log = folder / f"{name}.log"
        self._ports = [find_free_port(HOST) for _ in range(4)]
        self.name = name
        self.role = role
        self.store = Proxy("")

    @property
    def http(self) -> str:
        """Where callers connect."""
        return f"{HOST}:{self._ports[1]}"

    @property
    def ready(self) -> str:
        """Where the balancer asks."""
        return f"{HOST}:{self._ports[2]}"

    @property
    def addresses(self) -> list[str]:
        """Where the process listens for callers (a gateway), nodes and metrics."""
        ports = self._ports if self.role == "gateway" else [self._ports[0], self._ports[3]]
        return [f"{HOST}:{port}" for port in ports]

    @property
    def metrics(self) -> str:
        """Where metrics are read."""
        return f"{HOST}:{self._ports[3]}"

    @property
    def settings_file(self) -> Path:
        """The file with the settings of the last start."""
        return self._folder / f"{self.name}.json"

    @property
    def is_running(self) -> bool:
        """Whether its process has not ended."""
        return self._process is not None and self._process.returncode is None

    @property
    def ended_by_itself(self) -> int | None:
        """The exit code of a process that nobody ended; ``None`` if it runs or was ended."""
        if self._process is None or self._ends_on_request:
            return None
        return self._process.returncode

    @property
    def log_file(self) -> Path:
        """The file with the process's output."""
        return self._log

    def processor_s(self) -> float:
        """Return the processor time that the process has taken, on all its threads."""
        assert self._process is not None
        return time.clock_gettime(~self._process.pid << 3 | CPUCLOCK_SCHED)

    def resident_bytes(self, *, peak: bool = False) -> int:
        """Return the memory that the process has resident, or the most it ever had."""
        assert self._process is not None
        label = "VmHWM:" if peak else "VmRSS:"
        lines = Path(f"/proc/{self._process.pid}/status").read_text().splitlines()
        return next((int(line.split()[1]) * KIB for line in lines if line.startswith(label)), 0)

    def last_lines(self) -> str:
        """Return the end of the process's output."""
        return self._log.read_text(errors="replace")[-LAST_OUTPUT_CHARACTERS:]

    async def open(self, store_address: str, stack: AsyncExitStack) -> None:
        """Start it; its process ends with the stack."""
        self.store.target = store_address
        await stack.enter_async_context(self.store.run())
        stack.push_async_callback(self.kill)
        await self.start()

    async def start(self) -> None:
        """Start a process, with the settings as they are, unless one runs: faults may overlap."""
        if self.is_running:
            return
        file = self.settings_file
        file.write_text(json.dumps(self._settings()))
        words = [sys.executable, *self._command, self.role, f"--settings={file}"]
        environment = dict(os.environ)
        if self._builds:
            environment["PYTHONPATH"] = str(self._rng.choice(self._builds))
        with self._log.open("ab") as log:
            self._process = await anyio.open_process(
                words, stdin=None, stdout=log, stderr=log, env=environment
            )
        self._ends_on_request = False
        limits = (self._descriptors, self._descriptors)
        resource.prlimit(self._process.pid, resource.RLIMIT_NOFILE, limits)

    async def handles(self, number: signal.Signals) -> None:
        """Wait until a signal does not end the process by default.

        :raises TimeoutError: if that takes longer than a start may take.
        """
        with anyio.fail_after(HANDLER_TIMEOUT_S):
            while True:
                if not self.is_running or self._handles(number):
                    return
                await anyio.sleep(HANDLER_POLL_S)

    async def kill(self) -> None:
        """End the process at once."""
        self._ends_on_request = True
        if self._process is not None and self._process.returncode is None:
            self._process.kill()
        if self._process is not None:
            await self._process.wait()

    async def stop(self) -> int | None:
        """Ask the process to end, wait until it has, and return its exit code.

        The code is ``None`` if another fault killed the process meanwhile.
        """
        process = self._process
        assert process is not None
        self._ends_on_request = True
        if process.returncode is None:
            process.send_signal(signal.SIGTERM)
        with anyio.move_on_after(GRACE_S):
            code = await process.wait()
            return None if code == -signal.SIGKILL else code
        process.kill()
        await process.wait()
        return -signal.SIGKILL

    def freeze(self) -> None:
        """Let the process stand still."""
        self.send_signal(signal.SIGSTOP)

    def thaw(self) -> None:
        """Let it go on."""
        self.send_signal(signal.SIGCONT)

    def wipe(self) -> None:
        """Lose the disk; the process must have ended."""
        shutil.rmtree(self._folder / self.name, ignore_errors=True)

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal, if the process runs.

        Sent past the process's object, which would first take the exit code from whoever waits.
        """
        if self._process is not None and self._process.returncode is None:
            with suppress(ProcessLookupError):
                os.kill(self._process.pid, number)

    def _handles(self, number: signal.Signals) -> bool:
        assert self._process is not None
        return _is_handled(Path(f"/proc/{self._process.pid}/status").read_text(), number)

    def _settings(self) -> dict[str, Any]:
        settings: dict[str, Any] = {
            "node": self.name,
            "region": "r",
            "data_centre": "d",
            "data_centres": {"d": "r"},
            "host": HOST,
            "peer_ports": [self._ports[0], self._ports[0]],
            "metrics_address": f"{HOST}:{self._ports[3]}",
            "store": {"address": self.store.address},
            "cluster_key": CLUSTER_KEY,
            "losses": self._losses,
            "stop_grace_s": GRACE_S,
        }
        if self.role == "ledger":
            return {**settings, "data_folder": str(self._folder / self.name)}
        return {**settings, "http_address": self.http, "ready_address": self.ready}


def _is_handled(status: str, number: signal.Signals) -> bool:
    """Return whether a process ignores or catches a signal, by its status file."""
    sets = [line.split()[1] for line in status.splitlines() if line.startswith(SIGNAL_SETS)]
    return any(int(digits, 16) >> (number - 1) & 1 for digits in sets)
