"""The policy bench's own machinery: drawn programs, repeatable runs, figures."""

from __future__ import annotations

import unittest

from bramleylead.bench._policy import run_policy
from bramleylead.bench._policy_measures import MEASURES
from bramleylead.bench._policy_measures import figures
from bramleylead.bench._workload import WORKLOADS
from bramleylead.bench._workload import alone_s
from bramleylead.bench._workload import draw_arrivals
from bramleylead.bench._workload import load_workload
from bramleylead.scheduling import policy_names


def _short(user: str = "aspenhold", window_s: float = 30.0):
    workload = load_workload(WORKLOADS / f"{user}.json")
    return workload.model_copy(update={"window_s": window_s})


class WorkloadTest(unittest.TestCase):
    def test_a_flood_changes_no_other_branchs_programs(self) -> None:
        workload = _short()
        calm = draw_arrivals(workload, 2.0, seed=1)
        flooded = draw_arrivals(workload, 2.0, seed=1, flood=10.0)
        first = workload.branches()[0][0]
        self.assertEqual(
            [item for item in calm if item.script.branch != first],
            [item for item in flooded if item.script.branch != first],
        )
        self.assertGreater(len(flooded), len(calm))

    def test_no_program_is_faster_than_alone(self) -> None:
        workload = _short()
        runs = run_policy(workload, "bramleylead", 0.1, [3])
        for program in runs[0].programs:
            self.assertGreaterEqual(program.latency_s, 0.99 * program.alone_s)

    def test_alone_counts_the_slowest_sub_agent_and_tool_pauses(self) -> None:
        workload = _short()
        scripts = [item.script for item in draw_arrivals(workload, 5.0, seed=1)]
        script = next(s for s in scripts if any(turn.sub_agents for turn in s.turns))
        without = script._replace(turns=tuple(t._replace(sub_agents=()) for t in script.turns))
        agents = [a for turn in script.turns for a in turn.sub_agents]
        slowest = max(alone_s(agent, workload.engine) for agent in agents)
        added = alone_s(script, workload.engine) - alone_s(without, workload.engine)
        self.assertAlmostEqual(added, slowest)


class TrialTest(unittest.TestCase):
    def test_the_same_seed_gives_the_same_run(self) -> None:
        first, second = (run_policy(_short(), "bramleylead", 1.0, [2])[0] for _ in range(2))
        self.assertEqual(first.programs, second.programs)
        self.assertEqual(first.ledger.recomputed_tokens, second.ledger.recomputed_tokens)

    def test_every_policy_finishes_all_programs_under_a_light_load(self) -> None:
        workload = _short()
        runs = {policy: run_policy(workload, policy, 0.4, [1]) for policy in policy_names()}
        for policy, results in runs.items():
            self.assertTrue(all(program.ok for program in results[0].programs), policy)
            self.assertEqual(results[0].violations, 0)
        found = figures(runs, workload, 0.2, ["fcfs"])
        self.assertEqual(len(found), len(MEASURES) * len(runs))
        own = next(f for f in found if f.policy == "fcfs" and f.name == "policy.latency_mean_s")
        self.assertEqual(own.value, own.baseline)


if __name__ == "__main__":
    unittest.main()
