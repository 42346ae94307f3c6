"""The runner of the tests."""

from __future__ import annotations

import contextlib
import io
import unittest

from testing.runner import main
from testing.runner import modules


class PatternTest(unittest.TestCase):
    # Guards against a misspelt pattern, with which no test ran and the exit code was 0.
    def test_a_pattern_without_a_module_is_an_error(self) -> None:
        with contextlib.redirect_stderr(io.StringIO()) as err:
            self.assertEqual(main(["testing", "test_nothing_of_this_name.py"]), 1)
        self.assertIn("test_nothing_of_this_name.py", err.getvalue())

    def test_a_pattern_matches_sources_only(self) -> None:
        self.assertEqual(list(modules("test_runner*")), ["testing.test_runner"])
