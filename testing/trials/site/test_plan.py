"""A seed always gives the same faults, within what a deployment says that it bears."""

from __future__ import annotations

import itertools
import unittest

import bramleylead.trials.site._process_faults  # noqa: F401  (registers its faults)
from bramleylead.trials.site._faults import _acts
from bramleylead.trials.site._plan import LEDGER_LOSSES
from bramleylead.trials.site._plan import LEDGER_REST_S
from bramleylead.trials.site._plan import STORE_FAULTS
from bramleylead.trials.site._plan import FaultKind
from bramleylead.trials.site._plan import draw_plan


class PlanTest(unittest.TestCase):
    def test_a_seed_repeats_its_plan(self) -> None:
        self.assertEqual(draw_plan(7, length_s=60, gap_s=0.5), draw_plan(7, length_s=60, gap_s=0.5))
        self.assertNotEqual(
            draw_plan(7, length_s=60, gap_s=0.5), draw_plan(8, length_s=60, gap_s=0.5)
        )

    def test_nodes_of_the_ledger_are_lost_one_at_a_time(self) -> None:
        for seed in range(20):
            plan = draw_plan(seed, length_s=120, gap_s=0.3)
            losses = [fault for fault in plan if fault.kind in LEDGER_LOSSES]
            for first, second in itertools.pairwise(losses):
                self.assertGreaterEqual(second.at_s, first.at_s + first.for_s + LEDGER_REST_S)

    # Guards against a second disk lost before the first has its copies: a store that is away
    # holds up the node that joins again.
    def test_a_store_that_is_away_prolongs_the_rest_of_the_ledger(self) -> None:
        for seed in range(40):
            rests_until = 0.0
            for fault in draw_plan(seed, length_s=120, gap_s=0.3):
                ends_at = fault.at_s + fault.for_s + LEDGER_REST_S
                if fault.kind in LEDGER_LOSSES:
                    self.assertGreaterEqual(fault.at_s, rests_until)
                    rests_until = ends_at
                elif fault.kind in STORE_FAULTS and fault.at_s < rests_until:
                    rests_until = max(rests_until, ends_at)

    def test_every_kind_of_fault_is_drawn_and_done(self) -> None:
        drawn = {fault.kind for fault in draw_plan(1, length_s=600, gap_s=0.3)}
        self.assertEqual(drawn, set(FaultKind))
        self.assertEqual(set(_acts), set(FaultKind))
