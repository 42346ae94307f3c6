"""The expected slowdown of a replica follows its last figure while that is fresh."""

from __future__ import annotations

import unittest

from bramleylead.placement._replica_speed import LAST_FIGURE_HALF_LIFE_S
from bramleylead.placement._replica_speed import MAX_SLOWDOWN
from bramleylead.placement._replica_speed import MIN_SLOWDOWN
from bramleylead.placement._replica_speed import ReplicaSpeed


class ReplicaSpeedTest(unittest.TestCase):
    def setUp(self) -> None:
        self.speed = ReplicaSpeed()

    def record_usual(self, *, until: float) -> None:
        for step in range(int(until * 10)):
            self.speed.record("i0", 1.0, now=step / 10)

    # Guards earlier deployments: without the fourth figure they place as before.
    def test_without_figures_the_usual_speed_is_expected(self) -> None:
        self.assertEqual(self.speed.expected("i0", now=0.0), 1.0)
        self.speed.record("i0", None, now=0.0)
        self.assertEqual(self.speed.expected("i0", now=0.0), 1.0)
        self.assertEqual(self.speed.counters(now=0.0), {})

    def test_the_last_figure_decays_to_the_lasting_speed(self) -> None:
        self.record_usual(until=10.0)
        self.speed.record("i0", 2.5, now=10.0)
        fresh = self.speed.expected("i0", now=10.0)
        later = self.speed.expected("i0", now=10.0 + LAST_FIGURE_HALF_LIFE_S)
        late = self.speed.expected("i0", now=13.0)
        self.assertEqual(fresh, 2.5)
        self.assertAlmostEqual(later, 1.75, delta=0.05)
        self.assertLess(late, 1.1)

    def test_a_replica_that_is_slower_for_good_is_remembered(self) -> None:
        for step in range(200):
            self.speed.record("i0", 1.3, now=step / 10)
        self.assertAlmostEqual(self.speed.expected("i0", now=21.0), 1.3, delta=0.05)

    # Guards against a replica that is never chosen again for what it reported once.
    def test_an_old_figure_is_forgotten_in_time(self) -> None:
        for step in range(200):
            self.speed.record("i0", 4.0, now=step / 10)
        self.assertLess(self.speed.expected("i0", now=140.0), 1.1)

    def test_false_figures_are_bounded(self) -> None:
        self.speed.record("i0", 1e13, now=0.0)
        self.assertEqual(self.speed.expected("i0", now=0.0), MAX_SLOWDOWN)
        self.speed.record("i0", 0.01, now=1.0)
        self.assertEqual(self.speed.expected("i0", now=1.0), MIN_SLOWDOWN)

    def test_a_replica_that_stops_reporting_is_usual_again(self) -> None:
        self.speed.record("i0", 2.5, now=0.0)
        self.speed.record("i0", None, now=0.1)
        self.assertFalse(self.speed.is_known("i0"))

    def test_other_gateways_learn_fresh_figures(self) -> None:
        other = ReplicaSpeed()
        self.speed.record("i0", 2.5, now=5.0)
        other.record_counters({"i0": 3, **self.speed.counters(now=5.1)}, now=5.1)
        self.assertAlmostEqual(
            other.expected("i0", now=5.1), self.speed.expected("i0", now=5.1), delta=0.05
        )
        self.assertEqual(other.counters(now=5.1), {})
        self.assertEqual(self.speed.counters(now=6.0), {})

    def test_an_older_figure_of_another_gateway_changes_nothing(self) -> None:
        self.speed.record("i0", 1.0, now=5.0)
        self.speed.record_counters({"i0\0x250.6": 1}, now=5.1)
        self.assertEqual(self.speed.expected("i0", now=5.1), 1.0)

    def test_invalid_counters_are_ignored(self) -> None:
        self.speed.record_counters({"i0\0x": 1, "i0\0x1.": 1, "i0\0x²50.1": 1, "\0": 1}, now=0.0)
        self.assertEqual(self.speed.known_replicas(), set())
