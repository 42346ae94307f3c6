"""Whole sessions give the same bytes as their golden files, in every run."""

from __future__ import annotations

import unittest

from testing.golden._sessions import FOLDER
from testing.golden._sessions import SESSIONS
from testing.golden._sessions import path_of

REWRITE = "regenerate with: python -m testing.golden --write, and read the difference"


class GoldenTest(unittest.TestCase):
    maxDiff = 4_000

    def test_sessions_match_their_golden_files_byte_for_byte(self) -> None:
        for name, session in SESSIONS.items():
            with self.subTest(name):
                kept = path_of(name).read_bytes()
                got = session.text().encode()
                self.assertMultiLineEqual(got.decode(), kept.decode(), REWRITE)
                self.assertEqual(got, kept)

    def test_every_golden_file_has_its_session(self) -> None:
        self.assertEqual(sorted(FOLDER.iterdir()), sorted(path_of(name) for name in SESSIONS))
