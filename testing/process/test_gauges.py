"""Metrics that are refreshed from the state of the node's components."""

from __future__ import annotations

import unittest
from typing import Any

from bramleylead.connection import PeerClient
from bramleylead.connection import PeerServer
from bramleylead.process._gauges import GaugeRefresher
from bramleylead.process.journal._entries import CacheHeld
from bramleylead.standins import FakeNetwork
from testing.process.support import Bench
from testing.process.support import run_with_owner

KEY = "a shared key of the cluster"


class GaugeTest(unittest.TestCase):
    def test_the_cache_gauge_is_set_and_reset_to_zero(self) -> None:
        async def body(bench: Bench) -> Any:
            network = FakeNetwork({}).view("10.0.0.1")
            gauges = GaugeRefresher(
                bench.metrics,
                PeerClient(network, node="n1", cluster_key=KEY),
                PeerServer(node="n1", cluster_key=KEY),
                bench.escrow,
                lambda: list(bench.directory.logs.values()),
            )
            await bench.open()
            await bench.directory.only.append(CacheHeld("p1", "e1", 70))
            gauges.refresh()
            before = bench.metrics.render()[0].decode()
            await bench.directory.only.append(CacheHeld("p1", "e1", 0))
            gauges.refresh()
            return before, bench.metrics.render()[0].decode()

        before, after = run_with_owner(body)
        self.assertIn('bramleylead_cache_tokens_held{endpoint="e1"} 70', before)
        self.assertIn('bramleylead_cache_tokens_held{endpoint="e1"} 0', after)
        self.assertIn('bramleylead_programs{state="live"} 1', after)
        self.assertIn("bramleylead_highest_epoch 1", after)


if __name__ == "__main__":
    unittest.main()
