"""Tests that a pool whose endpoints are all down is tried last."""

from __future__ import annotations

import random
import unittest

from bramleylead.scheduling import ChooserParameters
from bramleylead.scheduling import PoolChooser
from bramleylead.scheduling import PoolKey
from bramleylead.scheduling import SlotFinished
from bramleylead.scheduling import SlotRequest
from bramleylead.scheduling import pools_of
from bramleylead.scheduling._down_endpoints import INITIAL_DOWN_S
from bramleylead.version import Endpoint
from bramleylead.version import EndpointKind

REQUEST = SlotRequest(
    call="p/1",
    program="p",
    branch="b",
    serves="m",
    region="r1",
    data_centre="d1",
    home_region="r1",
    weight=1.0,
    prompt_tokens=100,
    expected_output_tokens=50,
    attained=0.0,
    cached={},
    waited_s=0.0,
    deadline_s=60.0,
)


def _endpoint(region: str, number: int) -> Endpoint:
    return Endpoint(
        kind=EndpointKind.ENGINE,
        address=f"10.0.0.{number}:1",
        serves="m",
        region=region,
        data_centre=region,
    )


class DownPoolTest(unittest.TestCase):
    def setUp(self) -> None:
        endpoints = {f"e{number}": _endpoint("r1", number) for number in (1, 2)}
        endpoints["e3"] = _endpoint("r2", 3)
        self.chooser = PoolChooser("bramleylead", ChooserParameters(), rng=random.Random(1))
        self.chooser.set_pools(pools_of(endpoints))

    def chosen_region(self, now: float) -> str:
        choice = self.chooser.choose(REQUEST, now)
        assert choice is not None
        key: PoolKey = choice.key
        return key.region

    def record_failure(self, endpoint: str, now: float, *, reached: bool = False) -> None:
        report = SlotFinished(endpoint=endpoint, ok=False, reached=reached)
        self.chooser.down.record_result(report, now)

    def test_another_region_is_chosen_when_all_endpoints_of_a_pool_are_unreachable(self) -> None:
        """Guards against owners that keep requesting slots in a failed data centre."""
        self.assertEqual(self.chosen_region(0.0), "r1")
        self.record_failure("e1", 0.0)
        self.assertEqual(self.chosen_region(0.1), "r1")
        self.record_failure("e2", 0.1)
        self.assertEqual(self.chosen_region(0.2), "r2")

    def test_a_call_that_could_not_reach_an_endpoint_goes_to_another_pool(self) -> None:
        """Guards against a call that tries one unreachable endpoint three times.

        This happened when all other endpoints of the pool were ejected.
        """
        self.record_failure("e1", 0.0)
        request = REQUEST._replace(avoid=("e1",))
        choice = self.chooser.choose(request, 0.1)
        assert choice is not None
        self.assertEqual(choice.key.region, "r2")

    def test_a_pool_is_tried_again_after_a_time_that_grows_with_each_failure(self) -> None:
        for name in ("e1", "e2"):
            self.record_failure(name, 0.0)
        self.assertEqual(self.chosen_region(INITIAL_DOWN_S + 0.1), "r1")
        for name in ("e1", "e2"):
            self.record_failure(name, INITIAL_DOWN_S + 0.1)
        self.assertEqual(self.chosen_region(2 * INITIAL_DOWN_S + 0.2), "r2")

    def test_one_failure_of_a_reachable_endpoint_does_not_mark_it_down(self) -> None:
        for name in ("e1", "e2"):
            self.record_failure(name, 0.0, reached=True)
        self.assertEqual(self.chosen_region(0.1), "r1")

    def test_a_pool_is_chosen_even_when_every_pool_is_down(self) -> None:
        for name in ("e1", "e2", "e3"):
            self.record_failure(name, 0.0)
        self.assertIn(self.chosen_region(0.1), ("r1", "r2"))


if __name__ == "__main__":
    unittest.main()
