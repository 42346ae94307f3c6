"""Tests for owners that choose pools from load reports that may be old."""

from __future__ import annotations

import random
import unittest
from collections import Counter

from bramleylead.scheduling import ChooserParameters
from bramleylead.scheduling import PoolChooser
from bramleylead.scheduling import PoolKey
from bramleylead.scheduling import PoolNews
from bramleylead.scheduling import pools_of
from testing.scheduling._support import MODEL
from testing.scheduling._support import endpoint
from testing.scheduling._support import endpoints
from testing.scheduling._support import slot_request


def _key(number: int, region: str | None = None) -> PoolKey:
    return PoolKey(MODEL, region or f"r{number}", f"d{number}", 0)


def _chooser(count: int, *, seed: int = 1, one_region: bool = False) -> PoolChooser:
    chooser = PoolChooser("bramleylead", ChooserParameters(), rng=random.Random(seed))
    configured = {
        f"e{n}": endpoint(n, region="r1" if one_region else f"r{n}", data_centre=f"d{n}")
        for n in range(1, count + 1)
    }
    chooser.set_pools(pools_of(configured))
    return chooser


def _load_report(key: PoolKey, *, wait_s: float = 0.0, running: int = 0) -> PoolNews:
    return PoolNews(str(key), 3, 48, running, 0, wait_s, wait_s, 0.0)


class PoolsTest(unittest.TestCase):
    def test_a_large_group_is_split_into_pools_of_at_most_sixteen(self) -> None:
        pools = pools_of(endpoints(40))
        self.assertEqual(sorted(len(pool) for pool in pools.values()), [13, 13, 14])


class ChooserTest(unittest.TestCase):
    def test_the_home_region_is_preferred(self) -> None:
        choice = _chooser(3).choose(slot_request(home_region="r2"), 0.0)
        self.assertEqual(choice.key, _key(2))

    def test_another_region_is_chosen_when_the_wait_costs_more_than_a_rebuild(self) -> None:
        chooser = _chooser(2)
        request = slot_request(prompt_tokens=5_000, attained=1.0, cached={"e1": 5_000})
        chooser.update_load(_load_report(_key(1), wait_s=1.0), 0.0)
        chooser.update_load(_load_report(_key(2)), 0.0)
        self.assertEqual(chooser.choose(request, 0.0).key, _key(1))
        chooser.update_load(_load_report(_key(1), wait_s=10.0), 0.0)
        self.assertEqual(chooser.choose(request, 0.0).key, _key(2))

    def test_an_old_load_report_has_less_weight(self) -> None:
        chooser = _chooser(2)
        chooser.update_load(_load_report(_key(1), wait_s=4.0), 0.0)
        self.assertEqual(chooser.choose(slot_request(prompt_tokens=100), 0.0).key, _key(2))
        self.assertEqual(chooser.choose(slot_request(prompt_tokens=100), 60.0).key, _key(1))

    def test_owners_with_the_same_old_reports_do_not_all_choose_one_pool(self) -> None:
        chosen: Counter[PoolKey] = Counter()
        for owner in range(40):
            chooser = _chooser(4, seed=owner, one_region=True)
            for number in range(1, 5):
                chooser.update_load(_load_report(_key(number, "r1"), running=10 + number), 0.0)
            for call in range(5):
                request = slot_request(f"p{owner}-{call}", home_region="r1")
                chosen[chooser.choose(request, 1.0).key] += 1
        self.assertEqual(len(chosen), 4)
        self.assertLess(max(chosen.values()), 0.6 * 200)

    def test_a_pool_whose_endpoints_are_all_leaving_is_not_chosen(self) -> None:
        chooser = _chooser(2)
        chooser.set_pools(
            pools_of(
                {
                    "e1": endpoint(1, leaving=True),
                    "e2": endpoint(2, region="r2", data_centre="d2"),
                }
            )
        )
        self.assertEqual(chooser.choose(slot_request(), 0.0).key, _key(2))

    def test_a_pool_that_failed_the_call_is_avoided(self) -> None:
        choice = _chooser(2).choose(slot_request(home_region="r1"), 0.0, avoid=[_key(1)])
        self.assertEqual(choice.key, _key(2))


if __name__ == "__main__":
    unittest.main()
