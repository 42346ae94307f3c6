"""Short soaks with fixed seeds: no promise is broken, and a seed always gives the same run."""

from __future__ import annotations

import unittest

import structlog
from structlog.testing import LogCapture

from bramleylead.trials._soak import SoakResult
from bramleylead.trials._soak import soak

LEAST_FINISHED = 0.999
"""Share of programs that finish while at most one VM is down and the store is up."""
MINUTES = 1.0
SEEDS = {"aspenhold": (1, 2), "ratsakool": (3, 4), "storms": (5, 6), "one-vm": (7, 8)}


class SoakTest(unittest.TestCase):
    def setUp(self) -> None:
        structlog.configure(processors=[LogCapture()])
        self.addCleanup(structlog.reset_defaults)

    def run_profile(self, profile: str) -> list[SoakResult]:
        results = []
        for seed in SEEDS[profile]:
            with self.subTest(profile=profile, seed=seed):
                result = soak(seed=seed, minutes=MINUTES, profile=profile)
                self.assertEqual(result.violations, ())
                self.assertGreater(result.programs, 0)
                self.assertEqual(result.finished + result.refused + result.unknown, result.programs)
                results.append(result)
        return results

    def test_aspenhold_keeps_its_promises(self) -> None:
        self.run_profile("aspenhold")

    def test_ratsakool_keeps_its_promises(self) -> None:
        self.run_profile("ratsakool")

    def test_storms_of_faults_break_no_promise(self) -> None:
        self.run_profile("storms")

    def test_programs_finish_while_at_most_one_vm_is_down(self) -> None:
        results = self.run_profile("one-vm")
        programs = sum(result.programs for result in results)
        finished = sum(result.finished for result in results)
        self.assertGreaterEqual(finished, LEAST_FINISHED * programs, results)

    def test_a_seed_always_gives_the_same_run(self) -> None:
        first, second = (soak(seed=9, minutes=MINUTES, profile="storms") for _ in range(2))
        self.assertEqual(first.last_line, second.last_line)
        self.assertEqual(first.faults, second.faults)
        ends = [
            [(item.plan.program, item.ended_s, item.reason) for item in result.seen]
            for result in (first, second)
        ]
        self.assertEqual(*ends)
