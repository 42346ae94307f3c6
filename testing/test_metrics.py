"""Each node has metrics of its own."""

from __future__ import annotations

import unittest

from bramleylead.metrics import Metrics


class MetricsTest(unittest.TestCase):
    def test_two_nodes_in_one_process_count_apart(self) -> None:
        first, second = Metrics(), Metrics()
        first.retries.inc({"cause": "silent"})
        self.assertIn(b'bramleylead_retries_total{cause="silent"} 1', first.render()[0])
        self.assertNotIn(b'cause="silent"', second.render()[0])

    def test_a_part_adds_its_own_metric_once(self) -> None:
        metrics = Metrics()
        metrics.counter("extra_total", "One more.").inc({})
        self.assertIn(b"bramleylead_extra_total 1", metrics.render()[0])
        with self.assertRaises(ValueError):
            metrics.counter("extra_total", "Again.")


if __name__ == "__main__":
    unittest.main()
