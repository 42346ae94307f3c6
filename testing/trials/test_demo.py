"""What the demo counts of programs that its time limit cuts off."""

from __future__ import annotations

import random
import unittest
from types import SimpleNamespace

import anyio

from bramleylead.promises import Promise
from bramleylead.promises import Violation
from bramleylead.standins import run_virtual
from bramleylead.trials._caller import Caller
from bramleylead.trials._demo import UserRun
from bramleylead.trials._demo_table import explanations
from bramleylead.trials._demo_table import is_finished
from bramleylead.trials._observations import Observed
from bramleylead.trials._program_plan import Plan

TIME_LIMIT_S = 5.0


class FleetWithoutNodes:
    """A fleet that is never ready."""

    def ready(self) -> list[object]:
        return []


class DemoTest(unittest.TestCase):
    def test_a_program_that_the_time_limit_cuts_off_has_not_finished(self) -> None:
        async def main() -> None:
            caller = Caller(FleetWithoutNodes(), Plan("p", "b", "kind", ()), random.Random(1))
            with anyio.move_on_after(TIME_LIMIT_S):
                await caller.run()
            self.assertFalse(is_finished(caller.seen))

        run_virtual(main, seed=1)


class ExplainedNode:
    """A node that remembers one decision on each call."""

    def explain(self, program: str, number: int) -> dict[str, object]:
        decision = {"at_s": 1.0, "action": "granted", "endpoint": "engine", "reason": "free"}
        return {"owned_here": True, "record": "done", "decisions": [decision]}


class ExplanationTest(unittest.TestCase):
    def test_a_broken_promise_names_the_decisions_on_its_programs(self) -> None:
        host = SimpleNamespace(served=SimpleNamespace(node=ExplainedNode()))
        killed = SimpleNamespace(served=None)
        fleet = SimpleNamespace(hosts={"node-1": host, "node-2": killed})
        item = Observed(Plan("ann-1", "b", "kind", ()))
        item.call_s.append(0.5)
        detail = "engine:1 holds caches of 1 ended programs: ann-1"
        violation = Violation(Promise.ENGINE_MEMORY, detail)
        lines = list(explanations(UserRun(fleet, [item]), violation))
        self.assertEqual(
            lines,
            [
                "  node-1 (owner) on ann-1/1: record done",
                "    1.000 s granted engine: free",
            ],
        )
