"""A short run of the fuzzer at each target finds nothing."""

from __future__ import annotations

import unittest

import anyio

from bramleylead.trials.fuzz._cases import TargetKind
from bramleylead.trials.fuzz._run import FuzzSettings
from bramleylead.trials.fuzz._run import fuzz

CASES = 120
LENGTH_S = 8.0


class FuzzTest(unittest.TestCase):
    def check(self, target: TargetKind) -> None:
        report = anyio.run(fuzz, FuzzSettings(target, seed=1, length_s=LENGTH_S, cases=CASES))
        self.assertEqual(report.findings, ())
        self.assertGreater(sum(report.sent.values()), 0)
        self.assertGreater(report.served, 0)

    def test_callers(self) -> None:
        self.check(TargetKind.CALLERS)

    def test_peers(self) -> None:
        self.check(TargetKind.PEERS)

    def test_replicas(self) -> None:
        self.check(TargetKind.REPLICAS)

    def test_store(self) -> None:
        self.check(TargetKind.STORE)

    def test_metrics(self) -> None:
        self.check(TargetKind.METRICS)
