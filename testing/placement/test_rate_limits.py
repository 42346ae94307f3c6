"""Replays of load on a replica that names a limit, sent through few and many gateways."""

from __future__ import annotations

import random
import unittest
from collections.abc import Callable

import anyio

from bramleylead.ledger._traffic_shares import TrafficShares
from bramleylead.placement._rate_limits import RateLimits
from bramleylead.standins import run_virtual
from bramleylead.standins import virtual_random

STABLE_S = 3.0
WINDOW_S = 4.0
REPORT_INTERVAL_S = 0.8
RUN_S = 25.0
TICK_S = 0.04
SEEDS = (1, 2, 3)
"""A low limit allows so few requests in a run that one run alone says little."""

Demand = Callable[[int, float], float]
"""The requests a second of a gateway, by its number, at a time since the start."""


def replay(gateways: int, limit_per_s: float, demand: Demand, *, seed: int) -> list[float]:
    """Return the times at which gateways may send a replica a request, from its limit on."""
    sent: list[float] = []

    async def main() -> None:
        shares = TrafficShares()
        rng = virtual_random("demand")
        limits = [RateLimits(random.Random(number)) for number in range(gateways)]
        started_at = anyio.current_time()

        async def report(number: int) -> None:
            await anyio.sleep(rng.uniform(0, REPORT_INTERVAL_S))
            while True:
                shares.record_gateway(f"g{number}", limits[number].demand_per_s)
                limits[number].record_share(shares.share_of(f"g{number}"))
                await anyio.sleep(REPORT_INTERVAL_S)

        async with anyio.create_task_group() as tasks:
            for number in range(gateways):
                tasks.start_soon(report, number)
            await anyio.sleep(2)
            for own in limits:
                own.record_limit("r", limit_per_s)
            while (now := anyio.current_time() - started_at) < RUN_S:
                for number, own in enumerate(limits):
                    if rng.random() < demand(number, now) * TICK_S:
                        own.record_demand()
                        if own.take("r"):
                            sent.append(now)
                await anyio.sleep(TICK_S)
            tasks.cancel_scope.cancel()

    run_virtual(main, seed=seed)
    return [at - sent[0] for at in sent]


def even(gateways: int) -> Demand:
    """Return a demand that is the same at all gateways."""
    return lambda number, at: 220 / gateways


def moving(gateways: int) -> Demand:
    """Return a demand that is at another gateway every 3 s."""
    return lambda number, at: 60.0 if number == int(at / 3) % gateways else 0.0


def max_in_window(sent: list[float]) -> int:
    """Return the most requests in a window that starts once the limit must be kept."""
    starts = [at for at in sent if at >= STABLE_S]
    return max((sum(start <= at < start + WINDOW_S for at in sent) for start in starts), default=0)


class SharedLimitTest(unittest.TestCase):
    def assert_kept(
        self, gateways: int, limit_per_s: float, demand: Demand, *, seed: int = 1
    ) -> list[float]:
        sent = replay(gateways, limit_per_s, demand, seed=seed)
        self.assertLessEqual(max_in_window(sent), 1.5 * limit_per_s * WINDOW_S + 5)
        return sent

    def test_even_traffic_uses_most_of_the_limit_and_keeps_it(self) -> None:
        for gateways in (2, 9, 171):
            for limit_per_s in (0.5, 5.0, 20.0):
                with self.subTest(gateways=gateways, limit_per_s=limit_per_s):
                    sent_per_run = [
                        len(self.assert_kept(gateways, limit_per_s, even(gateways), seed=seed))
                        for seed in SEEDS
                    ]
                    allowed = len(SEEDS) * limit_per_s * (RUN_S - 5)
                    self.assertGreater(sum(sent_per_run), 0.5 * allowed)

    def test_one_gateway_with_all_traffic_gets_the_whole_limit(self) -> None:
        for gateways in (2, 9, 171):
            with self.subTest(gateways=gateways):
                sent = self.assert_kept(gateways, 10.0, lambda i, at: 200.0 if i == 0 else 0.0)
                self.assertGreater(len(sent), 0.5 * 10.0 * (RUN_S - 5))

    def test_a_burst_after_silence_keeps_the_limit(self) -> None:
        """Permits that gateways had saved up while idle must not be used at the same moment."""
        for gateways in (9, 171):
            with self.subTest(gateways=gateways):
                self.assert_kept(gateways, 2.0, lambda i, at: 3.0 if at % 10 > 7 or at < 4 else 0.0)

    def test_traffic_that_moves_to_other_gateways_keeps_the_limit(self) -> None:
        for gateways in (2, 9):
            with self.subTest(gateways=gateways):
                self.assert_kept(gateways, 5.0, moving(gateways))


class RateLimitsTest(unittest.TestCase):
    def run_with_limits(self, main: Callable[[RateLimits], object]) -> None:
        async def run() -> None:
            limits = RateLimits(random.Random(1))
            limits.record_share(1.0)
            main(limits)

        run_virtual(run, seed=1)

    def test_a_limit_of_zero_allows_nothing(self) -> None:
        def main(limits: RateLimits) -> None:
            limits.record_limit("r", 0.0)
            self.assertFalse(limits.take("r"))
            self.assertEqual(limits.wait_s(["r"]), float("inf"))

        self.run_with_limits(main)

    def test_a_replica_without_a_limit_needs_no_permit(self) -> None:
        def main(limits: RateLimits) -> None:
            limits.record_limit("r", 1.0)
            self.assertEqual(limits.wait_s(["r", "other"]), 0.0)
            self.assertTrue(limits.record_limit("r", None))
            self.assertTrue(limits.take("r"))
            self.assertEqual(limits.limited_replicas(), set())

        self.run_with_limits(main)
