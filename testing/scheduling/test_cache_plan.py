"""Pauses learned a tool, and what they decide on a cache."""

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


def _learned(median_s: float, sigma: float = 0.5) -> PauseLengths:
    rng = random.Random(1)
    pauses = PauseLengths()
    for _ in range(2_000):
        pauses.ended("tool", median_s * rng.lognormvariate(0, sigma))
    return pauses


class PauseTest(unittest.TestCase):
    def test_quantiles_follow_a_tools_pauses(self) -> None:
        seconds = _learned(10.0).of("tool").seconds
        self.assertAlmostEqual(seconds[1], 10.0, delta=4.0)
        self.assertLess(seconds[0], seconds[1])
        self.assertGreater(seconds[3], 14.0)

    def test_quantiles_follow_a_change(self) -> None:
        pauses = _learned(10.0)
        for _ in range(200):
            pauses.ended("tool", 1.0)
        self.assertLess(pauses.of("tool").seconds[1], 2.0)


class CachePlanTest(unittest.TestCase):
    def test_a_cache_is_kept_while_memory_is_free(self) -> None:
        plan = plan_pause(20_000, _learned(600.0).of("tool"), memory_share=0.5, prices=PRICES)
        self.assertIs(plan.action, CacheAction.KEEP)

    def test_in_a_full_engine_a_short_pause_keeps_and_a_long_one_gives_up(self) -> None:
        short = plan_pause(20_000, _learned(2.0).of("tool"), memory_share=1.0, prices=PRICES)
        long = plan_pause(20_000, _learned(600.0).of("tool"), memory_share=1.0, prices=PRICES)
        self.assertIs(short.action, CacheAction.KEEP)
        self.assertIs(long.action, CacheAction.REBUILD)

    def test_a_leaving_engines_cache_moves_near_and_is_rebuilt_across_regions(self) -> None:
        pause = _learned(5.0).of("tool")
        near = plan_leaving(20_000, pause, across_regions=False, prices=PRICES)
        far = plan_leaving(20_000, pause, across_regions=True, prices=PRICES)
        self.assertIs(near.action, CacheAction.MOVE)
        self.assertIs(far.action, CacheAction.REBUILD)

    def test_a_program_that_may_not_return_is_not_moved(self) -> None:
        pause = _learned(100_000.0).of("tool")
        plan = plan_leaving(20_000, pause, across_regions=False, prices=PRICES)
        self.assertIs(plan.action, CacheAction.REBUILD)


if __name__ == "__main__":
    unittest.main()
