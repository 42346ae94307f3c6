"""Tests for the pause quantiles of tools, and the cache actions chosen from them."""

from __future__ import annotations

import random
import unittest

from bramleylead.scheduling._cache_plan import CacheAction
from bramleylead.scheduling._cache_plan import CachePrices
from bramleylead.scheduling._cache_plan import plan_leaving
from bramleylead.scheduling._cache_plan import plan_pause
from bramleylead.scheduling._pauses import PauseLengths

PRICES = CachePrices(
    prefill_s_per_token=0.00014,
    token_bytes=131_072,
    bytes_per_s=2.5e9,
    region_bytes_per_s=1.25e8,
    gb_s=20.0,
)


def _observed_pauses(median_s: float, sigma: float = 0.5) -> PauseLengths:
    rng = random.Random(1)
    pauses = PauseLengths()
    for _ in range(2_000):
        pauses.record_pause("tool", median_s * rng.lognormvariate(0, sigma))
    return pauses


class PauseTest(unittest.TestCase):
    def test_quantiles_converge_to_the_pauses_of_a_tool(self) -> None:
        seconds = _observed_pauses(10.0).quantiles("tool").seconds
        self.assertAlmostEqual(seconds[1], 10.0, delta=4.0)
        self.assertLess(seconds[0], seconds[1])
        self.assertGreater(seconds[3], 14.0)

    def test_quantiles_follow_a_change_of_the_pauses(self) -> None:
        pauses = _observed_pauses(10.0)
        for _ in range(200):
            pauses.record_pause("tool", 1.0)
        self.assertLess(pauses.quantiles("tool").seconds[1], 2.0)


class CachePlanTest(unittest.TestCase):
    def test_a_cache_is_kept_while_memory_is_free(self) -> None:
        plan = plan_pause(
            20_000, _observed_pauses(600.0).quantiles("tool"), memory_share=0.5, prices=PRICES
        )
        self.assertIs(plan.action, CacheAction.KEEP)

    def test_a_full_engine_keeps_a_cache_for_a_short_pause_and_drops_it_for_a_long_one(
        self,
    ) -> None:
        short = plan_pause(
            20_000, _observed_pauses(2.0).quantiles("tool"), memory_share=1.0, prices=PRICES
        )
        long = plan_pause(
            20_000, _observed_pauses(600.0).quantiles("tool"), memory_share=1.0, prices=PRICES
        )
        self.assertIs(short.action, CacheAction.KEEP)
        self.assertIs(long.action, CacheAction.REBUILD)

    def test_the_cache_of_a_leaving_engine_moves_within_a_region_and_is_rebuilt_across_regions(
        self,
    ) -> None:
        pause = _observed_pauses(5.0).quantiles("tool")
        same_region = plan_leaving(20_000, pause, across_regions=False, prices=PRICES)
        other_region = plan_leaving(20_000, pause, across_regions=True, prices=PRICES)
        self.assertIs(same_region.action, CacheAction.MOVE)
        self.assertIs(other_region.action, CacheAction.REBUILD)

    def test_the_cache_of_a_program_unlikely_to_continue_is_not_moved(self) -> None:
        pause = _observed_pauses(100_000.0).quantiles("tool")
        plan = plan_leaving(20_000, pause, across_regions=False, prices=PRICES)
        self.assertIs(plan.action, CacheAction.REBUILD)


if __name__ == "__main__":
    unittest.main()
