"""A short soak of the real programs breaks no promise."""

from __future__ import annotations

import unittest

import anyio

from bramleylead.trials.site._soak import SoakSettings
from bramleylead.trials.site._soak import soak_site


class SiteSoakTest(unittest.TestCase):
    def test_a_short_soak_of_processes_breaks_no_promise(self) -> None:
        report = anyio.run(soak_site, SoakSettings(seed=1, length_s=8.0, gap_s=0.8))
        self.assertEqual(report.findings, ())
        self.assertGreater(len(report.plan), 5)
        self.assertGreater(report.turns, 0)
