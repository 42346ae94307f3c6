"""A settings file that is replaced while a process starts."""

from __future__ import annotations

import signal
import tempfile
import unittest
from collections.abc import Callable
from pathlib import Path

from bramleylead._signals import SignalInbox
from bramleylead.cli._settings_reading import MAX_RETRIES
from bramleylead.cli._settings_reading import SettingsText
from bramleylead.cli._settings_reading import read_settings

WHOLE = '{"node": "Süd"}'.encode()


class SettingsReadingTest(unittest.TestCase):
    def setUp(self) -> None:
        self.file = Path(self.enterContext(tempfile.TemporaryDirectory())) / "settings.json"
        self.signals = SignalInbox((signal.SIGTERM,))
        self.lines: list[str] = []

    def read(self, sleep: Callable[[float], None]) -> SettingsText:
        return read_settings(self.file, self.signals, report=self.lines.append, sleep=sleep)

    def complete(self, seconds: float) -> None:
        self.file.write_bytes(WHOLE)

    # Guards against exit code 3 at a start in whose middle the platform replaced the file.
    def test_a_file_that_is_being_replaced_is_read_again(self) -> None:
        for length in range(len(WHOLE)):
            with self.subTest(length=length):
                self.file.write_bytes(WHOLE[:length])
                found = self.read(self.complete)
                self.assertEqual(found, SettingsText(WHOLE, None))
        self.assertEqual(len(self.lines), len(WHOLE))

    def test_a_missing_file_is_read_again(self) -> None:
        found = self.read(self.complete)
        self.assertEqual(found.text, WHOLE)
        self.assertIn("No such file", self.lines[0])

    def test_a_file_that_stays_incomplete_ends_the_tries(self) -> None:
        self.file.write_bytes(WHOLE[:-1])
        self.assertIn("must be one JSON document", str(self.read(lambda _: None).trouble))
        self.assertEqual(len(self.lines), MAX_RETRIES)

    def test_a_whole_document_is_read_once_whatever_its_values(self) -> None:
        for text in (WHOLE, b"[NaN]", b'{"a": 1, "a": 2}', b"9" * 5_000):
            self.file.write_bytes(text)
            self.assertEqual(self.read(lambda _: None), SettingsText(text, None))
        self.assertEqual(self.lines, [])

    def test_a_signal_to_stop_ends_the_tries(self) -> None:
        with self.signals:
            self.read(lambda _: signal.raise_signal(signal.SIGTERM))
        self.assertEqual(len(self.lines), 1)
