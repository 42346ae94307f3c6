"""Tests for the default policy: placement, overload, the retry budget and parameters."""

from __future__ import annotations

import unittest
from typing import Any

import anyio
from result import Err
from result import Ok

from bramleylead.backends import CacheEvent
from bramleylead.backends import CachePage
from bramleylead.backends import LoadReport
from bramleylead.errors import ANSWERS
from bramleylead.errors import ErrorKind
from bramleylead.errors import Ran
from bramleylead.node_settings import SchedulingSettings
from bramleylead.scheduling import Dispatcher
from bramleylead.scheduling import RetryBudget
from bramleylead.scheduling._policy import make_policy
from bramleylead.standins import run_virtual
from testing.scheduling._support import dispatcher
from testing.scheduling._support import slot_finished
from testing.scheduling._support import slot_request

MEMORY_TOKENS = 100_000


def _report(pool: Dispatcher, name: str, *, running: int = 0, age_s: float = 0.5) -> None:
    pool.observe_load(name, LoadReport(running, 0, 0, MEMORY_TOKENS, age_s))


async def _run_call(pool: Dispatcher, program: str, **changes: Any) -> str:
    async with pool.slot(slot_request(program, **changes)) as result:
        slot = result.ok_value
        slot.finish(slot_finished(slot.granted.endpoint, prompt_tokens=1000))
        return slot.granted.endpoint


class PlacementTest(unittest.TestCase):
    def test_a_program_returns_to_the_engine_that_caches_its_prefix(self) -> None:
        async def body() -> set[str]:
            pool = dispatcher(3, max_calls=8)
            first = await _run_call(pool, "p1")
            others = [await _run_call(pool, f"q{number}") for number in range(5)]
            again = {await _run_call(pool, "p1", attained=1000.0) for _ in range(4)}
            assert others
            return again | {first}

        self.assertEqual(len(run_virtual(body, seed=1)), 1)

    def test_an_eviction_event_overrides_the_cached_tokens_in_a_request(self) -> None:
        async def body() -> int:
            pool = dispatcher(2)
            name = await _run_call(pool, "p1")
            page = CachePage(2, (CacheEvent(1, "p1", 0, stored=False),), complete=False)
            self.assertTrue(pool.observe_cache(name, page))
            request = slot_request("p1", cached={name: 1000})
            return pool.endpoints[name].cached_prefix_tokens(request)

        self.assertEqual(run_virtual(body, seed=1), 0)

    def test_a_gap_in_the_cache_events_requires_reading_the_contents(self) -> None:
        async def body() -> tuple[bool, int]:
            pool = dispatcher(1)
            page = CachePage(8, (CacheEvent(7, "p1", 500, stored=True),), complete=False)
            is_complete = pool.observe_cache("e1", page)
            contents = CachePage(9, (CacheEvent(8, "p2", 700, stored=True),), complete=True)
            pool.observe_cache("e1", contents)
            return is_complete, pool.endpoints["e1"].total_cached_tokens

        self.assertEqual(run_virtual(body, seed=1), (False, 700))

    def test_a_restarted_engine_is_detected_by_its_event_numbers(self) -> None:
        async def body() -> tuple[bool, int]:
            pool = dispatcher(1)
            stored_event = CacheEvent(1, "p1", 500, stored=True)
            pool.observe_cache("e1", CachePage(2, (stored_event,), complete=False))
            is_complete = pool.observe_cache("e1", CachePage(1, (), complete=False))
            pool.observe_cache("e1", CachePage(1, (), complete=True))
            return is_complete, pool.endpoints["e1"].total_cached_tokens

        self.assertEqual(run_virtual(body, seed=1), (False, 0))

    def test_simultaneous_calls_are_spread_although_reports_show_idle_engines(self) -> None:
        async def body() -> list[int]:
            pool = dispatcher(4, max_calls=8)
            for name in pool.endpoints:
                _report(pool, name)
            async with anyio.create_task_group() as tasks:

                async def hold(number: int) -> None:
                    async with pool.slot(slot_request(f"p{number}")):
                        await anyio.sleep(1.0)

                for number in range(16):
                    tasks.start_soon(hold, number)
                await anyio.sleep(0.9)
                return [view.outstanding for view in pool.endpoints.values()]

        self.assertEqual(run_virtual(body, seed=1), [4, 4, 4, 4])

    def test_a_call_waits_for_its_cached_prefix_no_longer_than_a_rebuild(self) -> None:
        async def body() -> float:
            pool = dispatcher(2, max_calls=1)
            caching_endpoint = await _run_call(pool, "p1", prompt_tokens=1000)
            async with pool.slot(slot_request("other", cached={caching_endpoint: 1000})) as result:
                self.assertEqual(result.ok_value.granted.endpoint, caching_endpoint)
                started_s = anyio.current_time()
                again = await _run_call(pool, "p1", prompt_tokens=1000, attained=1.0)
                self.assertNotEqual(again, caching_endpoint)
                return anyio.current_time() - started_s

        self.assertLess(run_virtual(body, seed=1), 0.5)

    def test_a_new_program_waits_while_prefixes_in_use_fill_the_engine(self) -> None:
        async def body() -> list[str]:
            pool = dispatcher(1, max_calls=32, parameters={"backlog_s": 1e9})
            _report(pool, "e1")
            order: list[str] = []

            async def hold(program: str, **changes: Any) -> None:
                async with pool.slot(slot_request(program, **changes)):
                    order.append(program)
                    await anyio.sleep(1.0)

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(lambda: hold("big", prompt_tokens=80_000, attained=1.0))
                await anyio.sleep(0.1)
                tasks.start_soon(lambda: hold("new", prompt_tokens=15_000))
                await anyio.sleep(0.1)
                tasks.start_soon(lambda: hold("under-way", prompt_tokens=15_000, attained=1.0))
            return order

        self.assertEqual(run_virtual(body, seed=1), ["big", "under-way", "new"])


class OverloadTest(unittest.TestCase):
    def test_new_programs_are_refused_early_as_not_run_with_a_retry_hint(self) -> None:
        async def body() -> list[Any]:
            pool = dispatcher(1, max_calls=1)
            results: list[Any] = []

            async def call(number: int) -> None:
                async with pool.slot(slot_request(f"p{number}", deadline_s=60.0)) as result:
                    results.append(result)
                    if isinstance(result, Ok):
                        await anyio.sleep(2.0)

            async with anyio.create_task_group() as tasks:
                for number in range(40):
                    tasks.start_soon(call, number)
                    await anyio.sleep(0.2)
            return results

        results = run_virtual(body, seed=1)
        refused = [result.err_value for result in results if isinstance(result, Err)]
        self.assertGreater(len(refused), 10)
        self.assertEqual({failure.kind for failure in refused}, {ErrorKind.OVERLOADED})
        self.assertIs(ANSWERS[ErrorKind.OVERLOADED].ran, Ran.NOT_RUN)
        self.assertTrue(all(failure.retry_after_s >= 0.5 for failure in refused))

    def test_a_full_queue_sheds_the_youngest_program_of_the_largest_branch(self) -> None:
        async def body() -> tuple[list[str], int]:
            pool = dispatcher(1, max_calls=1, parameters={"max_queue": 4})
            refused: list[str] = []

            async def call(program: str, branch: str, attained: float) -> None:
                request = slot_request(program, branch=branch, attained=attained, deadline_s=500.0)
                async with pool.slot(request) as result:
                    if isinstance(result, Err):
                        refused.append(program)
                        return
                    await anyio.sleep(1.0)

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(call, "first", "flood", 1.0)
                await anyio.sleep(0.1)
                for program, attained in (("old", 900.0), ("young", 5.0), ("middle", 50.0)):
                    tasks.start_soon(call, program, "flood", attained)
                    await anyio.sleep(0.01)
                tasks.start_soon(call, "quiet-1", "quiet", 1.0)
                await anyio.sleep(0.01)
                tasks.start_soon(call, "quiet-2", "quiet", 1.0)
            return refused, pool.pool_load().queued + pool.pool_load().running

        self.assertEqual(run_virtual(body, seed=1), (["young"], 0))

    def test_a_branch_with_few_calls_may_queue_while_another_is_overloaded(self) -> None:
        async def body() -> bool:
            pool = dispatcher(1, max_calls=1)
            async with anyio.create_task_group() as tasks:

                async def hold(number: int) -> None:
                    request = slot_request(f"p{number}", branch="flood", deadline_s=100.0)
                    async with pool.slot(request) as result:
                        if isinstance(result, Ok):
                            await anyio.sleep(3.0)

                for number in range(30):
                    tasks.start_soon(hold, number)
                    await anyio.sleep(0.1)
                async with pool.slot(slot_request("q", branch="quiet", deadline_s=100.0)) as result:
                    served = isinstance(result, Ok)
                tasks.cancel_scope.cancel()
            return served

        self.assertTrue(run_virtual(body, seed=1))


class RetryBudgetTest(unittest.TestCase):
    def test_retries_are_a_fraction_of_successes(self) -> None:
        budget = RetryBudget(per_success=0.1, max_saved=10.0)
        allowed = 0
        for _ in range(1_000):
            budget.succeeded()
            for _ in range(3):
                allowed += budget.allow()
        self.assertLessEqual(allowed, 103)
        self.assertGreaterEqual(allowed, 95)

    def test_saved_retries_are_limited(self) -> None:
        budget = RetryBudget(per_success=0.1, max_saved=10.0)
        for _ in range(10_000):
            budget.succeeded()
        self.assertEqual(sum(budget.allow() for _ in range(100)), 10)


class SettingsTest(unittest.TestCase):
    def test_the_error_for_an_unknown_policy_lists_the_known_ones(self) -> None:
        with self.assertRaisesRegex(ValueError, "unknown policy 'x'.*bramleylead"):
            make_policy(SchedulingSettings(policy="x"))

    def test_an_invalid_parameter_is_named_in_the_error(self) -> None:
        settings = SchedulingSettings(parameters={"backlog_s": -1.0})
        with self.assertRaisesRegex(ValueError, "scheduling.parameters.backlog_s"):
            make_policy(settings)

    def test_an_unknown_parameter_is_an_error(self) -> None:
        with self.assertRaisesRegex(ValueError, "scheduling.parameters.colour"):
            make_policy(SchedulingSettings(parameters={"colour": 1}))


if __name__ == "__main__":
    unittest.main()
