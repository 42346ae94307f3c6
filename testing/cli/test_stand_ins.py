"""The commands that run stand-ins: their faults are told, and nothing starts."""

from __future__ import annotations

import tempfile
import threading
import unittest
from pathlib import Path

from bramleylead.cli import ExitCode
from testing.cli.test_main import run


class StandInCommandsTest(unittest.TestCase):
    def test_faults_in_a_settings_file_are_told_one_a_line(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "engine.json"
            path.write_text('{"max_batch": 0, "unknown": 1}')
            shown = run("engine", f"--settings={path}")
        self.assertEqual(shown.code, ExitCode.INVALID)
        self.assertEqual(len(shown.err.strip().splitlines()), 2)
        self.assertIn("max_batch", shown.err)

    def test_a_missing_file_is_named(self) -> None:
        shown = run("tool", "--tools=a", "--behaviour=/nowhere/tool.json")
        self.assertEqual(shown.code, ExitCode.INVALID)
        self.assertIn("/nowhere/tool.json", shown.err)

    def test_a_tool_service_needs_tools(self) -> None:
        self.assertEqual(run("tool").code, ExitCode.USAGE)

    def test_an_address_that_is_none_is_refused(self) -> None:
        shown = run("objects", "--address=127.0.0.1:x")
        self.assertEqual(shown.code, ExitCode.INVALID)
        self.assertIn("127.0.0.1:x", shown.err)
        self.assertEqual(threading.active_count(), 1)


if __name__ == "__main__":
    unittest.main()
