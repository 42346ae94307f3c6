"""Load, cached prompts and distance decide together."""

from __future__ import annotations

import unittest
from collections.abc import Awaitable
from collections.abc import Callable

import anyio

from bramleylead.gateway._replica_choice import LOAD_FADES_S
from bramleylead.gateway._replica_choice import Candidate
from bramleylead.gateway._replica_choice import Need
from bramleylead.gateway._replica_choice import ReplicaLoads
from bramleylead.gateway._replica_health import LONGEST_ASIDE_S
from bramleylead.standins import run_virtual

NEAR = Candidate("near", 4, 50_000, True, True)
FAR = Candidate("far", 4, 50_000, False, False)
NOTHING = Need(())
LONG = Need((("shared", 12_000), ("own", 1_000)))


def play(main: Callable[[ReplicaLoads], Awaitable[None]]) -> None:
    async def run() -> None:
        await main(ReplicaLoads())

    run_virtual(run, seed=1)


class ChoiceTest(unittest.TestCase):
    def chosen(self, loads: ReplicaLoads, need: Need = NOTHING) -> str:
        candidate = loads.choose([NEAR, FAR], need)
        assert candidate is not None
        return candidate.name

    def test_the_near_one_of_two_idle_replicas_is_taken(self) -> None:
        async def main(loads: ReplicaLoads) -> None:
            for _ in range(4):
                self.assertEqual(self.chosen(loads), "near")

        play(main)

    def test_a_full_replica_is_left_for_one_far_away(self) -> None:
        async def main(loads: ReplicaLoads) -> None:
            for _ in range(4):
                loads.begin(NEAR, NOTHING)
            self.assertEqual(self.chosen(loads), "far")
            for _ in range(4):
                loads.end("near")
            self.assertEqual(self.chosen(loads), "near")

        play(main)

    def test_a_long_prompt_goes_where_it_is_cached(self) -> None:
        async def main(loads: ReplicaLoads) -> None:
            loads.begin(FAR, LONG)
            loads.end("far")
            self.assertEqual(self.chosen(loads, LONG), "far")
            self.assertEqual(self.chosen(loads), "near")

        play(main)

    def test_only_the_beginning_of_a_prompt_counts_as_cached(self) -> None:
        async def main(loads: ReplicaLoads) -> None:
            loads.begin(FAR, Need((("other", 10), ("own", 1_000))))
            loads.end("far")
            need = Need((("shared", 12_000), ("own", 1_000)))
            self.assertEqual(loads.cost(FAR, need) - loads.cost(FAR, NOTHING), 13_000)

        play(main)

    def test_the_longest_unused_part_is_taken_for_evicted(self) -> None:
        async def main(loads: ReplicaLoads) -> None:
            loads.begin(NEAR, Need((("old", 30_000),)))
            loads.begin(NEAR, Need((("new", 30_000),)))
            before = loads.cost(NEAR, NOTHING)
            self.assertEqual(loads.cost(NEAR, Need((("old", 30_000),))) - before, 30_000)
            self.assertEqual(loads.cost(NEAR, Need((("new", 30_000),))), before)

        play(main)

    def test_the_load_that_others_put_on_a_replica_fades(self) -> None:
        async def main(loads: ReplicaLoads) -> None:
            loads.begin(NEAR, NOTHING)
            loads.report("near", 5)
            self.assertEqual(loads.running("near"), 5)
            self.assertEqual(self.chosen(loads), "far")
            await anyio.sleep(LOAD_FADES_S)
            self.assertEqual(loads.running("near"), 1)

        play(main)

    def test_a_replica_that_failed_is_avoided_for_a_while(self) -> None:
        async def main(loads: ReplicaLoads) -> None:
            loads.health.unreached("near", reason="a test")
            self.assertEqual(self.chosen(loads), "far")
            await anyio.sleep(LONGEST_ASIDE_S)
            self.assertEqual(self.chosen(loads), "near")

        play(main)

    def test_equal_replicas_take_turns(self) -> None:
        async def main(loads: ReplicaLoads) -> None:
            pair = [NEAR, NEAR._replace(name="next")]
            names = {loads.choose(pair, NOTHING).name for _ in range(4)}
            self.assertEqual(names, {"near", "next"})

        play(main)

    def test_nothing_is_chosen_from_nothing(self) -> None:
        async def main(loads: ReplicaLoads) -> None:
            self.assertIsNone(loads.choose([], NOTHING))

        play(main)
