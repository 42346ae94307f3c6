"""Customers that compete: a flood, a burst of one kind of request, and overload that lasts.

63 gateways before 24 replicas of 8 slots serve 78 customers. Three of them are ten times as large
as the others; one of these floods at six times its usual rate for 6 s, through three gateways.
"""

from __future__ import annotations

import unittest
from functools import cache

from testing.placement._customer_replay import Burst
from testing.placement._customer_replay import CustomerLoad
from testing.placement._customer_replay import CustomerReplay
from testing.placement._customer_replay import Ended
from testing.placement._customer_replay import Flood
from testing.placement._customer_replay import replay
from testing.placement._customer_results import served
from testing.placement._customer_results import worst_tenth

FLOODER = "c0"
BEGINS_S = 5.0
FLOOD = Flood(FLOODER, 6.0, BEGINS_S, 6.0)
USUAL = CustomerLoad(seconds=11.0, kinds=3)
BURST = USUAL._replace(burst=Burst(1, 2.4, BEGINS_S, 6.0), share_of_capacity=0.6)
OVERLOAD = CustomerLoad(share_of_capacity=1.5, seconds=5.0, kinds=3)
TOLERANCE = 0.03


@cache
def replayed(load: CustomerLoad) -> CustomerReplay:
    """Return a replay, which several tests look at."""
    return replay(load)


def others(load: CustomerLoad) -> list[Ended]:
    """Return the programs of all but the flooder that began during the flood."""
    return [
        end for end in replayed(load).ended if end.customer != FLOODER and end.began_s >= BEGINS_S
    ]


def of_kind(ended: list[Ended], kind: int) -> list[Ended]:
    return [end for end in ended if end.kind == kind]


class FloodTest(unittest.TestCase):
    def assert_as_without(self, load: CustomerLoad) -> None:
        """Check that all others are served as often and as fast as without the flood."""
        usual, flooded = others(USUAL), others(load)
        self.assertEqual(len(usual), len(flooded))
        without, during = served(usual), served(flooded)
        self.assertGreaterEqual(during.value, (1 - TOLERANCE) * without.value)
        self.assertLessEqual(during.took_s, (1 + TOLERANCE) * without.took_s)
        least = (1 - TOLERANCE) * worst_tenth(usual).value
        self.assertGreaterEqual(worst_tenth(flooded).value, least)

    # Guards against customers that are slowed down or refused by the flood of another one.
    def test_others_are_served_as_without_the_flood(self) -> None:
        self.assert_as_without(USUAL._replace(flood=FLOOD))

    # Guards against a mean that hides customers whose programs became slow.
    def test_the_worst_tenth_is_served_as_fast_as_without_the_flood(self) -> None:
        usual, flooded = others(USUAL), others(USUAL._replace(flood=FLOOD))
        most_s = (1 + TOLERANCE) * worst_tenth(usual).took_s
        self.assertLessEqual(worst_tenth(flooded).took_s, most_s)

    def test_so_they_are_without_quotas(self) -> None:
        load = USUAL._replace(flood=FLOOD, has_quotas=False, tells_use=False)
        self.assert_as_without(load)

    # Guards against an order that falls with the messages that tell the use.
    def test_so_they_are_without_the_use_over_all_gateways(self) -> None:
        self.assert_as_without(USUAL._replace(flood=FLOOD, tells_use=False))

    def test_without_the_order_others_are_slowed_down(self) -> None:
        """Shows that the load is one under which the decision matters."""
        with self.assertRaises(AssertionError):
            self.assert_as_without(USUAL._replace(flood=FLOOD, ordered=False))
        flooded = served(others(USUAL._replace(flood=FLOOD, ordered=False)))
        self.assertGreater(flooded.took_s, 1.2 * served(others(USUAL)).took_s)

    # Guards against a flooder that is shut out instead of being held to its share.
    def test_the_flooder_is_served_no_less_than_usual(self) -> None:
        def value(load: CustomerLoad) -> float:
            ended = [end for end in replayed(load).ended if end.customer == FLOODER]
            return sum(end.value for end in ended if end.began_s >= BEGINS_S)

        self.assertGreaterEqual(value(USUAL._replace(flood=FLOOD)), value(USUAL))

    # Guards against work on programs that are then lost.
    def test_no_program_is_refused_in_its_middle_unless_it_is_past_twice_its_time(self) -> None:
        flooded = replayed(USUAL._replace(flood=FLOOD))
        lost = [end for end in flooded.ended if not end.finished and end.customer != FLOODER]
        self.assertEqual(lost, [])


class BurstTest(unittest.TestCase):
    # Guards against a flood that a burst of one kind of all customers hides.
    def test_every_kind_is_served_as_often_in_a_burst_with_a_flood_as_without(self) -> None:
        usual, flooded = others(BURST), others(BURST._replace(flood=FLOOD))
        for kind in range(BURST.kinds):
            without, during = served(of_kind(usual, kind)), served(of_kind(flooded, kind))
            self.assertGreaterEqual(during.value, (1 - TOLERANCE) * without.value, kind)
        self.assertGreaterEqual(
            worst_tenth(flooded).value, (1 - TOLERANCE) * worst_tenth(usual).value
        )


class OverloadTest(unittest.TestCase):
    def test_no_kind_is_served_worse_than_a_less_urgent_one(self) -> None:
        ended = replayed(OVERLOAD).ended
        values = [served(of_kind(ended, kind)).value for kind in range(OVERLOAD.kinds)]
        self.assertEqual(values, sorted(values, reverse=True))

    # Guards against an order that costs capacity.
    def test_as_much_is_served_as_without_the_order(self) -> None:
        def on_time(load: CustomerLoad) -> int:
            return sum(end.on_time for end in replayed(load).ended)

        self.assertGreaterEqual(on_time(OVERLOAD), 0.95 * on_time(OVERLOAD._replace(ordered=False)))
