"""Replicas are put aside by what they do to requests, and let back by trial."""

from __future__ import annotations

import unittest
from collections.abc import Awaitable
from collections.abc import Callable

import anyio

from bramleylead.gateway._replica_health import ASIDE_SHARE_LIMIT
from bramleylead.gateway._replica_health import LONGEST_ASIDE_S
from bramleylead.gateway._replica_health import ReplicaHealth
from bramleylead.standins import run_virtual

NAMES = [f"i-{i}" for i in range(6)]


def play(main: Callable[[ReplicaHealth], Awaitable[None]]) -> None:
    async def run() -> None:
        await main(ReplicaHealth())

    run_virtual(run, seed=1)


class HealthTest(unittest.TestCase):
    def test_a_replica_is_put_aside_the_longer_the_more_it_fails(self) -> None:
        async def main(health: ReplicaHealth) -> None:
            health.failed("i-0", reason="a test")
            self.assertEqual(health.put_aside(NAMES), {"i-0"})
            await anyio.sleep(0.5)
            self.assertEqual(health.put_aside(NAMES), set())
            for _ in range(6):
                health.failed("i-0", reason="a test")
            await anyio.sleep(2)
            self.assertEqual(health.put_aside(NAMES), {"i-0"})
            await anyio.sleep(LONGEST_ASIDE_S)
            self.assertEqual(health.put_aside(NAMES), set())

        play(main)

    def test_it_comes_back_by_one_trial_at_a_time(self) -> None:
        async def main(health: ReplicaHealth) -> None:
            health.unreached("i-0", reason="a test")
            await anyio.sleep(LONGEST_ASIDE_S)
            health.began("i-0")
            self.assertEqual(health.put_aside(NAMES), {"i-0"})
            health.succeeded("i-0")
            health.ended("i-0")
            self.assertEqual(health.put_aside(NAMES), set())
            for _ in range(12):
                health.succeeded("i-0")
            health.began("i-0")
            health.began("i-0")
            self.assertEqual(health.put_aside(NAMES), set())

        play(main)

    def test_a_trial_that_fails_puts_it_aside_again(self) -> None:
        async def main(health: ReplicaHealth) -> None:
            health.unreached("i-0", reason="a test")
            await anyio.sleep(LONGEST_ASIDE_S)
            health.failed("i-0", reason="a test")
            await anyio.sleep(LONGEST_ASIDE_S - 0.5)
            self.assertEqual(health.put_aside(NAMES), {"i-0"})

        play(main)

    def test_a_replica_that_fails_two_of_five_stays_known_for_it(self) -> None:
        async def main(health: ReplicaHealth) -> None:
            for _ in range(10):
                for works in (True, False, True, False, True):
                    (health.succeeded if works else lambda name: health.failed(name, reason="t"))(
                        "i-0"
                    )
            await anyio.sleep(0.5)
            self.assertEqual(health.put_aside(NAMES), {"i-0"})

        play(main)

    def test_no_more_than_a_share_is_put_aside_at_once(self) -> None:
        async def main(health: ReplicaHealth) -> None:
            for name in NAMES:
                health.failed(name, reason="a test")
            health.failed("i-5", reason="a test")
            aside = health.put_aside(NAMES)
            self.assertEqual(len(aside), int(len(NAMES) * ASIDE_SHARE_LIMIT))
            self.assertIn("i-5", aside)

        play(main)
