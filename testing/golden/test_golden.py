"""Recorded sessions match their golden files byte for byte."""

from __future__ import annotations

import unittest

from testing.golden._sessions import SESSIONS
from testing.golden._sessions import SESSIONS_FOLDER
from testing.golden._sessions import path_of

REWRITE = "regenerate with: python -m testing.golden --write, and review the diff"


class GoldenTest(unittest.TestCase):
    maxDiff = 4_000

    def test_sessions_match_their_golden_files_byte_for_byte(self) -> None:
        for name, session in SESSIONS.items():
            with self.subTest(name):
                expected = path_of(name).read_bytes()
                actual = session.text().encode()
                self.assertMultiLineEqual(actual.decode(), expected.decode(), REWRITE)
                self.assertEqual(actual, expected)

    def test_every_golden_file_has_a_session(self) -> None:
        self.assertEqual(
            sorted(SESSIONS_FOLDER.iterdir()), sorted(path_of(name) for name in SESSIONS)
        )
