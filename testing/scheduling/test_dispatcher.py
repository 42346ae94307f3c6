"""Tests for the slots of a pool: granting, queueing, release and refusal."""

from __future__ import annotations

import unittest

import anyio
from result import Err
from result import Ok

from bramleylead.errors import ErrorKind
from bramleylead.promises import PromiseBroken
from bramleylead.scheduling import Dispatcher
from bramleylead.scheduling import policy_names
from bramleylead.scheduling._policy import Choice
from bramleylead.standins import run_virtual
from testing.scheduling._support import dispatcher
from testing.scheduling._support import endpoint
from testing.scheduling._support import endpoints
from testing.scheduling._support import slot_finished
from testing.scheduling._support import slot_request


async def _run_one(pool: Dispatcher, program: str, seconds: float, **changes: object) -> str:
    """Hold a slot for a time; return the endpoint, or the error kind."""
    async with pool.slot(slot_request(program, **changes)) as result:
        if isinstance(result, Err):
            return result.err_value.kind
        slot = result.ok_value
        await anyio.sleep(seconds)
        slot.finish(slot_finished(slot.granted.endpoint, duration_s=seconds))
        return slot.granted.endpoint


class SlotTest(unittest.TestCase):
    def test_every_policy_runs_every_call_within_the_endpoints_limits(self) -> None:
        async def body(policy: str) -> tuple[int, int]:
            pool = dispatcher(3, policy=policy)
            max_outstanding = 0

            async def record_maximum() -> None:
                nonlocal max_outstanding
                while True:
                    await anyio.sleep(0.05)
                    max_outstanding = max(
                        [max_outstanding, *(view.outstanding for view in pool.endpoints.values())]
                    )

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(record_maximum)
                async with anyio.create_task_group() as calls:
                    for number in range(40):
                        calls.start_soon(_run_one, pool, f"p{number}", 0.3)
                tasks.cancel_scope.cancel()
            return pool.pool_load().running + pool.pool_load().queued, max_outstanding

        for policy in policy_names():
            with self.subTest(policy=policy):
                remaining, max_outstanding = run_virtual(lambda policy=policy: body(policy), seed=1)
                self.assertEqual(remaining, 0)
                self.assertLessEqual(max_outstanding, 2)
                self.assertGreater(max_outstanding, 0)

    def test_a_cancelled_holder_releases_its_slot(self) -> None:
        async def body() -> str:
            pool = dispatcher(1, max_calls=1)
            with anyio.move_on_after(1.0):
                await _run_one(pool, "first", 60)
            return await _run_one(pool, "second", 0.1)

        self.assertEqual(run_virtual(body, seed=1), "e1")

    def test_a_cancelled_waiting_call_leaves_the_queue(self) -> None:
        async def body() -> int:
            pool = dispatcher(1, max_calls=1)
            async with pool.slot(slot_request("first")):
                with anyio.move_on_after(1.0):
                    await _run_one(pool, "second", 1.0)
                return pool.pool_load().queued

        self.assertEqual(run_virtual(body, seed=1), 0)

    def test_a_call_past_its_deadline_is_refused_as_not_run(self) -> None:
        async def body() -> object:
            pool = dispatcher(1, max_calls=1, parameters={"shed": False})
            async with pool.slot(slot_request("first")):
                return await _run_one(pool, "second", 1.0, deadline_s=2.0)

        self.assertEqual(run_virtual(body, seed=1), ErrorKind.OVERLOADED)

    def test_a_slot_released_without_a_report_can_be_granted_again(self) -> None:
        async def body() -> bool:
            pool = dispatcher(1, max_calls=1)
            async with pool.slot(slot_request("first")):
                pass
            async with pool.slot(slot_request("second")) as result:
                return isinstance(result, Ok)

        self.assertTrue(run_virtual(body, seed=1))


class LeavingEndpointTest(unittest.TestCase):
    def test_no_policy_gives_new_calls_to_a_leaving_endpoint(self) -> None:
        async def body(policy: str) -> set[str]:
            pool = dispatcher(2, policy=policy, max_calls=8)
            changed = endpoints(2, max_calls=8)
            changed["e1"] = endpoint(1, leaving=True)
            pool.set_endpoints(changed)
            return {await _run_one(pool, f"p{number}", 0.1) for number in range(20)}

        for policy in policy_names():
            with self.subTest(policy=policy):
                self.assertEqual(run_virtual(lambda policy=policy: body(policy), seed=1), {"e2"})

    def test_a_call_queued_for_a_leaving_endpoint_runs_on_another_one(self) -> None:
        async def body(policy: str) -> str:
            pool = dispatcher(2, policy=policy, max_calls=1)
            async with (
                pool.slot(slot_request("a")),
                pool.slot(slot_request("b")),
                anyio.create_task_group() as tasks,
            ):
                found: list[str] = []

                async def wait() -> None:
                    found.append(await _run_one(pool, "c", 0.1, deadline_s=5.0))

                tasks.start_soon(wait)
                await anyio.sleep(0.1)
                changed = endpoints(3, max_calls=1)
                changed["e1"] = endpoint(1, leaving=True)
                changed["e2"] = endpoint(2, leaving=True)
                pool.set_endpoints(changed)
            return found[0]

        for policy in policy_names():
            with self.subTest(policy=policy):
                self.assertEqual(run_virtual(lambda policy=policy: body(policy), seed=1), "e3")

    def test_starting_a_call_on_a_leaving_endpoint_breaks_a_promise(self) -> None:
        async def body() -> None:
            pool = dispatcher(1)
            async with pool.slot(slot_request("first")):
                view = pool.endpoints["e1"]
                view.leaving = True
                call = next(iter(view.running.values()))
                pool._start(Choice(call, view, "deliberately invalid"), anyio.current_time())

        with self.assertRaises(PromiseBroken):
            run_virtual(body, seed=1)


if __name__ == "__main__":
    unittest.main()
