"""The cases of a seed are always the same, and a kept case is the one that was sent."""

from __future__ import annotations

import tempfile
import unittest
from itertools import islice
from pathlib import Path

from bramleylead.trials.fuzz._cases import TargetKind
from bramleylead.trials.fuzz._cases import read_case
from bramleylead.trials.fuzz._cases import write_case
from bramleylead.trials.fuzz._run import SOURCES
from bramleylead.trials.fuzz._run import FuzzSettings
from bramleylead.trials.fuzz._run import draw_cases
from bramleylead.trials.fuzz._sending import parse_answers

DRAWN = 200


class CasesTest(unittest.TestCase):
    def test_each_target_draws_the_same_cases_for_a_seed(self) -> None:
        self.assertEqual(set(SOURCES), set(TargetKind))
        for target in TargetKind:
            settings = FuzzSettings(target, seed=1, length_s=1.0)
            first, again = (list(islice(draw_cases(settings), DRAWN)) for _ in range(2))
            self.assertEqual(first, again)
            other = islice(draw_cases(settings._replace(seed=2)), DRAWN)
            self.assertNotEqual(first, list(other))

    def test_a_kept_case_is_read_as_it_was(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            for target in TargetKind:
                for case in islice(draw_cases(FuzzSettings(target, 1, 1.0)), 20):
                    write_case(case, Path(folder) / "case.json")
                    self.assertEqual(read_case(Path(folder) / "case.json"), case)

    def test_answers_are_told_from_other_bytes(self) -> None:
        answer = b"HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\nx"
        self.assertEqual(parse_answers(answer * 2, is_head=False), [200, 200])
        self.assertEqual(parse_answers(b"", is_head=False), [])
        with self.assertRaises(ValueError):
            parse_answers(b"x" * 20 + b"\r\n\r\n", is_head=False)
