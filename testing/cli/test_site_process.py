"""How the commands of a deployment's two roles end, and what their log says of it."""

from __future__ import annotations

import contextlib
import errno
import io
import json
import signal
import tempfile
import threading
import unittest
from collections.abc import Awaitable
from collections.abc import Callable
from pathlib import Path
from typing import Any
from typing import NamedTuple

import anyio
import anyio.lowlevel
import structlog
from absl import flags

from bramleylead.cli._settings_reading import RETRY_S
from bramleylead.cli._site_process import define_settings_flag
from bramleylead.cli._site_process import run_site_process
from bramleylead.connection import TcpNetwork
from bramleylead.site_settings import LedgerSettings

SETTINGS = {
    "node": "ledger-1",
    "region": "r",
    "data_centre": "d",
    "data_centres": {"d": "r"},
    "host": "127.0.0.1",
    "peer_ports": [1, 2],
    "metrics_address": "127.0.0.1:3",
    "store": {"address": "127.0.0.1:4"},
    "cluster_key": "key between nodes of a test",
    "losses": 1,
    "data_folder": "x",
}


class Ended(NamedTuple):
    code: int
    lines: list[dict[str, Any]]


async def fail(error: Exception) -> None:
    raise error


class SiteProcessTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = self.enterContext(tempfile.TemporaryDirectory())
        self.file = Path(folder) / "settings.json"
        self.file.write_text(json.dumps(SETTINGS))
        self.addCleanup(structlog.reset_defaults)
        self.addCleanup(structlog.contextvars.clear_contextvars)

    def run_process(self, body: Callable[[], Awaitable[Any]]) -> Ended:
        with contextlib.redirect_stdout(io.StringIO()) as out:
            code = self.run_command(body)
        return Ended(code, [json.loads(line) for line in out.getvalue().splitlines()])

    def run_command(self, body: Callable[[], Awaitable[Any]]) -> int:
        async def run(*_: Any) -> Any:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(body)
            return signal.SIGTERM

        values = flags.FlagValues()
        define_settings_flag(values)
        values(["ledger", f"--settings={self.file}"])
        return run_site_process("ledger", LedgerSettings, run, values)

    # Guards against ends without a trace: no line told a stop, a refusal and a fault apart.
    def test_the_last_line_says_how_the_process_ended(self) -> None:
        refusal = OSError(errno.EADDRINUSE, "Address already in use")
        cases = (
            (lambda: anyio.lowlevel.checkpoint(), 0, {"reason": "stopped", "signal": "SIGTERM"}),
            (lambda: fail(refusal), 7, {"error": "OSError", "errno": "EADDRINUSE"}),
            (lambda: fail(KeyError("x")), 8, {"error": "KeyError", "errno": None, "text": "'x'"}),
        )
        for body, code, expected in cases:
            with self.subTest(expected=expected):
                ended = self.run_process(body)
                first, last = ended.lines[0], ended.lines[-1]
                self.assertEqual((first["event"], first["role"]), ("process_started", "ledger"))
                self.assertEqual((last["event"], last["exit_code"]), ("process_ended", code))
                self.assertEqual(ended.code, code)
                self.assertLessEqual(expected.items(), last.items())

    def test_the_last_line_names_the_task_that_failed(self) -> None:
        last = self.run_process(lambda: TcpNetwork().connect("127.0.0.1:0")).lines[-1]
        self.assertEqual(last["task"], "bramleylead.connection._tcp.TcpNetwork.connect")
        self.assertEqual(last["place"], "bramleylead.connection._tcp._target")
        self.assertIn("exception", last)

    # Guards against a start that ends since nobody reads why its settings are read again.
    def test_a_standard_error_that_refuses_lines_ends_no_start(self) -> None:
        self.file.write_text("")

        class BrokenPipe(io.StringIO):
            def write(self, text: str) -> int:
                raise BrokenPipeError

        replaced = threading.Timer(RETRY_S / 2, lambda: self.file.write_text(json.dumps(SETTINGS)))
        replaced.start()
        with contextlib.redirect_stderr(BrokenPipe()):
            ended = self.run_process(lambda: anyio.lowlevel.checkpoint())
        replaced.join()
        self.assertEqual(ended.code, 0)

    # Guards against an AttributeError at the start: the interpreter has no stream for a closed one.
    def test_a_process_without_a_standard_output_runs(self) -> None:
        with contextlib.redirect_stdout(None):
            self.assertEqual(self.run_command(lambda: anyio.lowlevel.checkpoint()), 0)
