"""The lower bound of recomputed tokens."""

from __future__ import annotations

import unittest

from bramleylead.bench._cache_bound import PrefixUse
from bramleylead.bench._cache_bound import recomputed_bound
from bramleylead.bench._policy import run_policy
from bramleylead.bench._workload import WORKLOADS
from bramleylead.bench._workload import load_workload


class BoundTest(unittest.TestCase):
    def test_with_room_for_all_nothing_is_recomputed(self) -> None:
        uses = [PrefixUse(1, "a", 0, 100), PrefixUse(2, "b", 0, 100), PrefixUse(3, "a", 100, 150)]
        self.assertEqual(recomputed_bound(uses, 200), 0)

    def test_the_prefix_used_last_gives_way(self) -> None:
        uses = [
            PrefixUse(1, "a", 0, 100),
            PrefixUse(2, "b", 0, 100),
            PrefixUse(3, "b", 100, 100),
            PrefixUse(4, "a", 100, 100),
        ]
        self.assertEqual(recomputed_bound(uses, 100), 100)
        self.assertEqual(recomputed_bound(uses, 160), 40)

    def test_a_program_that_ends_needs_no_room(self) -> None:
        uses = [PrefixUse(1, "a", 0, 100), PrefixUse(2, "b", 0, 100), PrefixUse(3, "a", 100, 100)]
        self.assertEqual(recomputed_bound(uses, 100), 0)

    def test_no_policy_recomputes_less_than_the_bound(self) -> None:
        workload = load_workload(WORKLOADS / "ratsakool.json")
        workload = workload.model_copy(update={"window_s": 120.0})
        for policy in ("bramleylead", "prefix_affinity", "least_outstanding"):
            run = run_policy(workload, policy, 1.0, [1])[0]
            memory = workload.engine.kv_tokens * 9
            bound = recomputed_bound(run.uses, memory)
            self.assertLessEqual(bound, run.ledger.recomputed_tokens)


if __name__ == "__main__":
    unittest.main()
