"""Tests for slots over peer calls: granting, release, and release when the holder is lost."""

from __future__ import annotations

import unittest
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

import anyio
from result import Err
from result import Ok

from bramleylead.connection import PeerClient
from bramleylead.connection import PeerServer
from bramleylead.errors import ErrorKind
from bramleylead.scheduling import Dispatcher
from bramleylead.scheduling import PoolNews
from bramleylead.scheduling import RemoteScheduler
from bramleylead.scheduling import SlotServer
from bramleylead.standins import FakeNetwork
from bramleylead.standins import run_virtual
from testing.scheduling._support import dispatcher
from testing.scheduling._support import slot_finished
from testing.scheduling._support import slot_request

KEY = "a shared key of the cluster"
OWNER, DISPATCHER = "10.0.0.1", "10.0.0.2"
ADDRESS = f"{DISPATCHER}:7000"

Body = Callable[[RemoteScheduler, Dispatcher, FakeNetwork, list[PoolNews]], Awaitable[Any]]


async def _run_with_two_nodes(body: Body) -> Any:
    network = FakeNetwork({OWNER: ("r1", "d1"), DISPATCHER: ("r1", "d2")})
    pool = dispatcher(1, max_calls=1, parameters={"shed": False})
    server = PeerServer(node="b", cluster_key=KEY)
    SlotServer(server, lambda name: pool if name == "pool" else None)
    received_loads: list[PoolNews] = []
    async with anyio.create_task_group() as tasks:
        await tasks.start(network.view(DISPATCHER).serve, ADDRESS, server.serve_stream)
        async with PeerClient(network.view(OWNER), node="a", cluster_key=KEY) as client:
            remote = RemoteScheduler(
                client, locate=lambda _: ADDRESS, on_load=received_loads.append
            )
            tasks.start_soon(remote.run_heartbeats)
            result = await body(remote, pool, network, received_loads)
        tasks.cancel_scope.cancel()
    return result


class RemoteSlotTest(unittest.TestCase):
    def test_a_slot_is_granted_and_the_report_reaches_the_dispatcher(self) -> None:
        async def body(remote: RemoteScheduler, pool: Dispatcher, *_: Any) -> Any:
            async with remote.slot("pool", slot_request("p1")) as result:
                slot = result.ok_value
                running = pool.pool_load().running
                slot.finish(slot_finished("e1", prompt_tokens=700, output_tokens=7))
            await anyio.sleep(0.1)
            return running, pool.pool_load().running, pool.endpoints["e1"].cached["p1"]

        self.assertEqual(run_virtual(lambda: _run_with_two_nodes(body), seed=1), (1, 0, 707))

    def test_a_long_call_keeps_its_slot_by_heartbeats(self) -> None:
        async def body(remote: RemoteScheduler, pool: Dispatcher, *_: Any) -> int:
            async with remote.slot("pool", slot_request("p1")):
                await anyio.sleep(60)
                return pool.pool_load().running

        self.assertEqual(run_virtual(lambda: _run_with_two_nodes(body), seed=1), 1)

    def test_the_slot_of_a_disconnected_holder_is_released(self) -> None:
        async def body(
            remote: RemoteScheduler, pool: Dispatcher, network: FakeNetwork, _: Any
        ) -> Any:
            async with remote.slot("pool", slot_request("p1")):
                before = pool.pool_load().running
                network.cut(OWNER, DISPATCHER)
                await anyio.sleep(6)
                return before, pool.pool_load().running

        self.assertEqual(run_virtual(lambda: _run_with_two_nodes(body), seed=1), (1, 0))

    def test_a_disconnected_waiting_call_gets_no_slot(self) -> None:
        async def body(
            remote: RemoteScheduler, pool: Dispatcher, network: FakeNetwork, _: Any
        ) -> Any:
            async with pool.slot(slot_request("here")), anyio.create_task_group() as tasks:

                async def wait() -> None:
                    async with remote.slot("pool", slot_request("p1")):
                        pass

                tasks.start_soon(wait)
                await anyio.sleep(0.5)
                queued = pool.pool_load().queued
                network.cut(OWNER, DISPATCHER)
                tasks.cancel_scope.cancel()
            with anyio.CancelScope(shield=True):
                await anyio.sleep(6)
            return queued, pool.pool_load().queued + pool.pool_load().running

        self.assertEqual(run_virtual(lambda: _run_with_two_nodes(body), seed=1), (1, 0))

    def test_a_refusal_contains_the_error_kind_and_the_load_of_the_pool(self) -> None:
        async def body(
            remote: RemoteScheduler, pool: Dispatcher, _: Any, received_loads: list[PoolNews]
        ) -> Any:
            request = slot_request("p1", deadline_s=1.0)
            async with pool.slot(slot_request("here")), remote.slot("pool", request) as result:
                return result, received_loads[-1]

        result, load = run_virtual(lambda: _run_with_two_nodes(body), seed=1)
        self.assertIsInstance(result, Err)
        self.assertEqual(result.err_value.kind, ErrorKind.OVERLOADED)
        self.assertEqual((load.running, load.slots), (1, 1))

    def test_a_request_for_an_unknown_pool_fails_as_owner_unavailable(self) -> None:
        async def body(remote: RemoteScheduler, *_: Any) -> Any:
            async with remote.slot("another", slot_request("p1")) as result:
                return result

        result = run_virtual(lambda: _run_with_two_nodes(body), seed=1)
        self.assertEqual(result.err_value.kind, ErrorKind.OWNER_UNAVAILABLE)

    def test_an_exception_of_the_holder_is_propagated(self) -> None:
        async def body(remote: RemoteScheduler, pool: Dispatcher, *_: Any) -> int:
            with self.assertRaises(ZeroDivisionError):
                async with remote.slot("pool", slot_request("p1")) as result:
                    self.assertIsInstance(result, Ok)
                    raise ZeroDivisionError
            await anyio.sleep(0.1)
            return pool.pool_load().running

        self.assertEqual(run_virtual(lambda: _run_with_two_nodes(body), seed=1), 0)


if __name__ == "__main__":
    unittest.main()
