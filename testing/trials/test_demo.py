"""What the demo counts of programs that its time limit cuts off."""

from __future__ import annotations

import random
import unittest

import anyio

from bramleylead.standins import run_virtual
from bramleylead.trials._caller import Caller
from bramleylead.trials._caller import Plan
from bramleylead.trials._demo_table import is_finished

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
