"""A short soak of the real programs breaks no promise."""

from __future__ import annotations

import unittest

import anyio

from bramleylead.trials.site._plan import PROCESS_KINDS
from bramleylead.trials.site._soak import SoakSettings
from bramleylead.trials.site._soak import soak_site

SEED_OF_ALL_KINDS = 102
"""Draws each kind of process fault within the time of the test."""


class SiteSoakTest(unittest.TestCase):
    def test_a_short_soak_of_processes_breaks_no_promise(self) -> None:
        report = anyio.run(soak_site, SoakSettings(seed=1, length_s=8.0, gap_s=0.8))
        self.assertEqual(report.findings, ())
        self.assertGreater(len(report.plan), 5)
        self.assertGreater(report.turns, 0)

    # Guards against processes that end at the first error or signal, and then at every start.
    def test_processes_neither_end_by_themselves_nor_stay_unready(self) -> None:
        settings = SoakSettings(
            seed=SEED_OF_ALL_KINDS, length_s=20.0, gap_s=1.0, kinds=PROCESS_KINDS
        )
        report = anyio.run(soak_site, settings)
        self.assertEqual({fault.kind for fault in report.plan}, set(PROCESS_KINDS))
        self.assertEqual(report.findings, ())
