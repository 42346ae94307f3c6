"""The faults of the object API in trials."""

from __future__ import annotations

import random
import unittest
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

import anyio
from result import Ok

from bramleylead.platform import MemoryStore
from bramleylead.platform import StoreErrorKind
from bramleylead.platform import VmEntry
from bramleylead.standins import FakeNetwork
from bramleylead.standins import FaultyStore
from bramleylead.standins import StoreFaults
from bramleylead.standins import run_virtual

NODE = "10.0.0.1"
Body = Callable[[MemoryStore, FaultyStore, FakeNetwork], Awaitable[Any]]


def _run(body: Body) -> Any:
    async def main() -> Any:
        inner = MemoryStore()
        network = FakeNetwork({NODE: ("r1", "d1")})
        faults = StoreFaults()
        rng = random.Random(1)
        store = FaultyStore(inner, host=NODE, network=network, rng=rng, faults=faults)
        return await body(inner, store, network)

    return run_virtual(main, seed=1)


class FaultyStoreTest(unittest.TestCase):
    def test_an_outage_refuses_and_has_no_effect(self) -> None:
        async def body(inner: MemoryStore, store: FaultyStore, network: FakeNetwork) -> None:
            store.faults.outage = True
            refused = await store.put("k", b"v")
            self.assertEqual(refused.err_value.kind, StoreErrorKind.UNAVAILABLE)
            self.assertEqual(inner.writes, 0)

        _run(body)

    def test_a_lost_reply_took_effect_and_is_unknown(self) -> None:
        async def body(inner: MemoryStore, store: FaultyStore, network: FakeNetwork) -> None:
            store.faults.lose_reply_rate = 1.0
            lost = await store.put("k", b"v")
            self.assertEqual(lost.err_value.kind, StoreErrorKind.UNKNOWN)
            self.assertEqual((await inner.get("k")).ok_value.value, b"v")

        _run(body)

    def test_a_slow_write_lands_after_its_sender_gave_up(self) -> None:
        async def body(inner: MemoryStore, store: FaultyStore, network: FakeNetwork) -> None:
            store.faults.slow_s = 10.0
            slow = await store.put("k", b"v", timeout_s=1.0)
            self.assertEqual(slow.err_value.kind, StoreErrorKind.UNKNOWN)
            store.faults.slow_s = 0.0
            early = await store.get("k")
            await anyio.sleep(10)
            late = await store.get("k")
            self.assertEqual(early.err_value.kind, StoreErrorKind.NOT_FOUND)
            self.assertEqual(late.ok_value.value, b"v")

        _run(body)

    def test_a_cut_host_gets_no_reply(self) -> None:
        async def body(inner: MemoryStore, store: FaultyStore, network: FakeNetwork) -> None:
            store.faults.cut_hosts.add(NODE)
            write = await store.put("k", b"v")
            read = await store.get("k")
            self.assertEqual(write.err_value.kind, StoreErrorKind.UNKNOWN)
            self.assertEqual(read.err_value.kind, StoreErrorKind.UNAVAILABLE)

        _run(body)

    def test_watch_pages_come_late(self) -> None:
        async def body(inner: MemoryStore, store: FaultyStore, network: FakeNetwork) -> None:
            store.faults.watch_delay_s = 1.5
            await inner.put("k", b"v")
            started = anyio.current_time()
            page = await store.watch("", after_revision=0, timeout_s=10)
            self.assertEqual(page.ok_value.changes[0].key, "k")
            self.assertGreater(anyio.current_time() - started, 1.5)

        _run(body)

    def test_the_list_of_vms_lags(self) -> None:
        async def body(inner: MemoryStore, store: FaultyStore, network: FakeNetwork) -> None:
            store.faults.vm_lag_s = 30.0
            store.faults.set_vm(inner, VmEntry("n1", "10.0.0.1:1", "r1", "d1", leaving=False))
            self.assertEqual(await store.vms(), Ok([]))
            await anyio.sleep(30)
            self.assertEqual(len((await store.vms()).ok_value), 1)

        _run(body)

    def test_a_frozen_node_writes_after_it_thaws(self) -> None:
        async def body(inner: MemoryStore, store: FaultyStore, network: FakeNetwork) -> None:
            network.freeze(NODE)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(store.put, "k", b"v")
                await anyio.sleep(1)
                self.assertEqual(inner.writes, 0)
                network.thaw(NODE)
            self.assertEqual(inner.writes, 1)

        _run(body)


if __name__ == "__main__":
    unittest.main()
