"""The product's programs as processes of one machine: started, stopped, killed, frozen, wiped."""

from __future__ import annotations

import json
import os
import random
import shutil
import signal
import sys
from collections.abc import Sequence
from contextlib import AsyncExitStack
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


@final
class Node:
    """One gateway or node of the ledger, with a proxy of its own to the platform's store.

    :param builds: folders that hold the package; each start takes one of them. The package of this
        process if there are none.
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
    ) -> None:
        self._folder = folder
        self._rng = rng
        self._builds = builds
        self._losses = losses
        self._process: Process | None = None
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
    def is_running(self) -> bool:
        """Whether its process has not ended."""
        return self._process is not None and self._process.returncode is None

    async def open(self, store_address: str, stack: AsyncExitStack) -> None:
        """Start it; its process ends with the stack."""
        self.store.target = store_address
        await stack.enter_async_context(self.store.run())
        stack.push_async_callback(self.kill)
        await self.start()

    async def start(self) -> None:
        """Start a process, with the settings as they are."""
        file = self._folder / f"{self.name}.json"
        file.write_text(json.dumps(self._settings()))
        words = [sys.executable, "-m", "bramleylead", self.role, f"--settings={file}"]
        environment = dict(os.environ)
        if self._builds:
            environment["PYTHONPATH"] = str(self._rng.choice(self._builds))
        with self._log.open("ab") as log:
            self._process = await anyio.open_process(
                words, stdin=None, stdout=log, stderr=log, env=environment
            )

    async def kill(self) -> None:
        """End the process at once."""
        if self._process is not None and self._process.returncode is None:
            self._process.kill()
        if self._process is not None:
            await self._process.wait()

    async def stop(self) -> int:
        """Ask the process to end, wait until it has, and return its exit code."""
        assert self._process is not None
        if self._process.returncode is None:
            self._process.send_signal(signal.SIGTERM)
        with anyio.move_on_after(GRACE_S):
            return await self._process.wait()
        await self.kill()
        return -signal.SIGKILL

    def freeze(self) -> None:
        """Let the process stand still."""
        self._signal(signal.SIGSTOP)

    def thaw(self) -> None:
        """Let it go on."""
        self._signal(signal.SIGCONT)

    def wipe(self) -> None:
        """Lose the disk; the process must have ended."""
        shutil.rmtree(self._folder / self.name, ignore_errors=True)

    def _signal(self, number: signal.Signals) -> None:
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(number)

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
