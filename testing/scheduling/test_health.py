"""Tests for endpoints that fail, are slow, or fail intermittently."""

from __future__ import annotations

import unittest

import anyio

from bramleylead.scheduling import Dispatcher
from bramleylead.standins import run_virtual
from testing.scheduling._support import dispatcher
from testing.scheduling._support import slot_finished
from testing.scheduling._support import slot_request


async def _run_calls(
    pool: Dispatcher, count: int, *, broken: set[str] = frozenset(), slow: set[str] = frozenset()
) -> list[str]:
    """Run calls one after another; return their endpoints."""
    used = []
    for number in range(count):
        async with pool.slot(slot_request(f"p{number}", prompt_tokens=10)) as result:
            name = result.ok_value.granted.endpoint
            await anyio.sleep(0.1)
            first_token_s = 20.0 if name in slow else 0.1
            report = slot_finished(name, ok=name not in broken, first_token_s=first_token_s)
            result.ok_value.finish(report)
            used.append(name)
    return used


class HealthTest(unittest.TestCase):
    def test_a_failing_endpoint_gets_no_calls_until_its_probe(self) -> None:
        async def body() -> tuple[int, int]:
            pool = dispatcher(3, policy="round_robin")
            await _run_calls(pool, 12, broken={"e1"})
            during = await _run_calls(pool, 20, broken={"e1"})
            await anyio.sleep(6.0)
            after = await _run_calls(pool, 12)
            return during.count("e1"), after.count("e1")

        during, after = run_virtual(body, seed=1)
        self.assertEqual(during, 0)
        self.assertGreaterEqual(after, 3)

    def test_an_endpoint_that_keeps_failing_is_ejected_for_longer_each_time(self) -> None:
        async def body() -> list[float]:
            pool = dispatcher(3, policy="round_robin")
            await _run_calls(pool, 400, broken={"e1"})
            return [
                item.waited_s for item in pool.decisions.latest(2_000) if item.action == "ejected"
            ]

        lengths = run_virtual(body, seed=1)
        self.assertEqual(lengths[:3], [5.0, 10.0, 20.0])

    def test_at_most_half_of_a_pool_is_ejected_at_once(self) -> None:
        async def body() -> int:
            pool = dispatcher(4, policy="round_robin")
            max_ejected = 0
            for _ in range(60):
                await _run_calls(pool, 1, broken={"e1", "e2", "e3", "e4"})
                max_ejected = max(
                    max_ejected, sum(view.ejected for view in pool.endpoints.values())
                )
            return max_ejected

        self.assertEqual(run_virtual(body, seed=1), 2)

    def test_an_endpoint_much_slower_than_its_pool_is_ejected(self) -> None:
        async def body() -> set[str]:
            pool = dispatcher(3, policy="round_robin")
            await _run_calls(pool, 12, slow={"e2"})
            return {name for name, view in pool.endpoints.items() if view.ejected}

        self.assertEqual(run_virtual(body, seed=1), {"e2"})

    def test_a_caller_that_gives_up_does_not_count_as_a_failure(self) -> None:
        async def body() -> bool:
            pool = dispatcher(2, policy="round_robin")
            for number in range(12):
                async with pool.slot(slot_request(f"p{number}")):
                    await anyio.sleep(0.1)
            return any(view.ejected for view in pool.endpoints.values())

        self.assertFalse(run_virtual(body, seed=1))

    def test_a_probed_endpoint_gets_one_call_at_a_time(self) -> None:
        async def body() -> int:
            pool = dispatcher(2, max_calls=8)
            pool.endpoints["e1"].probing = True
            names = []
            async with anyio.create_task_group() as tasks:

                async def hold(number: int) -> None:
                    async with pool.slot(slot_request(f"p{number}", prompt_tokens=0)) as result:
                        names.append(result.ok_value.granted.endpoint)
                        await anyio.sleep(1.0)

                for number in range(6):
                    tasks.start_soon(hold, number)
            return names.count("e1")

        self.assertLessEqual(run_virtual(body, seed=1), 1)


if __name__ == "__main__":
    unittest.main()
