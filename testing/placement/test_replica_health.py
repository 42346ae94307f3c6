"""Replicas are ejected by the outcomes of their requests, and return after successful probes."""

from __future__ import annotations

import unittest
from collections.abc import Awaitable
from collections.abc import Callable

import anyio

from bramleylead.placement._replica_health import MAX_EJECTED_SHARE
from bramleylead.placement._replica_health import MAX_EJECTION_S
from bramleylead.placement._replica_health import ReplicaHealth
from bramleylead.standins import run_virtual

NAMES = [f"i-{i}" for i in range(6)]


def run_with_health(main: Callable[[ReplicaHealth], Awaitable[None]]) -> None:
    async def run() -> None:
        await main(ReplicaHealth())

    run_virtual(run, seed=1)


class HealthTest(unittest.TestCase):
    def test_a_replica_is_ejected_for_longer_the_more_it_fails(self) -> None:
        async def main(health: ReplicaHealth) -> None:
            health.record_failure("i-0", reason="a test")
            self.assertEqual(health.ejected(NAMES), {"i-0"})
            await anyio.sleep(0.5)
            self.assertEqual(health.ejected(NAMES), set())
            for _ in range(6):
                health.record_failure("i-0", reason="a test")
            await anyio.sleep(2)
            self.assertEqual(health.ejected(NAMES), {"i-0"})
            await anyio.sleep(MAX_EJECTION_S)
            self.assertEqual(health.ejected(NAMES), set())

        run_with_health(main)

    def test_an_ejected_replica_gets_one_probe_at_a_time(self) -> None:
        async def main(health: ReplicaHealth) -> None:
            health.record_connect_failure("i-0", reason="a test")
            await anyio.sleep(MAX_EJECTION_S)
            health.start_request("i-0")
            self.assertEqual(health.ejected(NAMES), {"i-0"})
            health.record_success("i-0")
            health.end_request("i-0")
            self.assertEqual(health.ejected(NAMES), set())
            for _ in range(12):
                health.record_success("i-0")
            health.start_request("i-0")
            health.start_request("i-0")
            self.assertEqual(health.ejected(NAMES), set())

        run_with_health(main)

    def test_a_request_begun_before_the_first_failure_does_not_make_room_for_a_probe(self) -> None:
        async def main(health: ReplicaHealth) -> None:
            health.start_request("i-0")
            health.record_connect_failure("i-0", reason="a test")
            await anyio.sleep(MAX_EJECTION_S)
            health.start_request("i-0")
            health.end_request("i-0")
            self.assertEqual(health.ejected(NAMES), {"i-0"})

        run_with_health(main)

    def test_a_failed_probe_ejects_a_replica_again(self) -> None:
        async def main(health: ReplicaHealth) -> None:
            health.record_connect_failure("i-0", reason="a test")
            await anyio.sleep(MAX_EJECTION_S)
            health.record_failure("i-0", reason="a test")
            await anyio.sleep(MAX_EJECTION_S - 0.5)
            self.assertEqual(health.ejected(NAMES), {"i-0"})

        run_with_health(main)

    def test_a_replica_that_fails_two_of_five_requests_stays_unhealthy(self) -> None:
        async def main(health: ReplicaHealth) -> None:
            for _ in range(10):
                for succeeds in (True, False, True, False, True):
                    (
                        health.record_success
                        if succeeds
                        else lambda name: health.record_failure(name, reason="t")
                    )("i-0")
            await anyio.sleep(0.5)
            self.assertEqual(health.ejected(NAMES), {"i-0"})

        run_with_health(main)

    def test_at_most_a_share_of_the_replicas_is_ejected(self) -> None:
        async def main(health: ReplicaHealth) -> None:
            for name in NAMES:
                health.record_failure(name, reason="a test")
            health.record_failure("i-5", reason="a test")
            ejected = health.ejected(NAMES)
            self.assertEqual(len(ejected), int(len(NAMES) * MAX_EJECTED_SHARE))
            self.assertIn("i-5", ejected)

        run_with_health(main)
