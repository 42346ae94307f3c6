"""The check whether a replica's host refuses connections."""

from __future__ import annotations

import unittest

import anyio
from anyio.abc import ByteStream

from bramleylead.gateway._connection_pool import CHECK_TIMEOUT_S
from bramleylead.gateway._connection_pool import ConnectionPool
from bramleylead.platform._types import Replica
from bramleylead.standins import FakeNetwork
from bramleylead.standins import run_virtual
from testing.gateway._site import GATEWAY_IP
from testing.gateway._site import REQUEST_ID_HEADER

REPLICA_IP = "10.0.1.1"
REPLICA = Replica("a", "svc", f"{REPLICA_IP}:80", "d", False, 4, "v1")


class SlowNetwork:
    """A network on which a connection takes a while."""

    def __init__(self, network: FakeNetwork) -> None:
        self._view = network.view(GATEWAY_IP)
        self.delay_s = 0.0

    async def connect(self, address: str) -> ByteStream:
        await anyio.sleep(self.delay_s)
        return await self._view.connect(address)


class RefusalTest(unittest.TestCase):
    def run_with_pool(self, main) -> None:
        async def run() -> None:
            network = FakeNetwork({GATEWAY_IP: ("r", "d"), REPLICA_IP: ("r", "d")})
            slow = SlowNetwork(network)
            pool = ConnectionPool(slow, id_header=REQUEST_ID_HEADER)
            async with anyio.create_task_group() as tasks:
                view = network.view(REPLICA_IP)
                await tasks.start(
                    lambda task_status: view.serve(
                        REPLICA.address, _serve_forever, task_status=task_status
                    )
                )
                await main(pool, slow, network)
                tasks.cancel_scope.cancel()

        run_virtual(run, seed=1)

    def test_a_replica_that_accepts_is_not_refused_and_the_connection_is_used(self) -> None:
        async def main(pool: ConnectionPool, slow: SlowNetwork, network: FakeNetwork) -> None:
            self.assertFalse(await pool.is_refused(REPLICA))
            self.assertTrue((await pool.acquire(REPLICA)).is_ok())
            self.assertEqual(pool.opened, 1)

        self.run_with_pool(main)

    def test_a_host_without_a_listener_refuses(self) -> None:
        async def main(pool: ConnectionPool, slow: SlowNetwork, network: FakeNetwork) -> None:
            network.kill(REPLICA_IP)
            self.assertTrue(await pool.is_refused(REPLICA))

        self.run_with_pool(main)

    def test_a_host_that_does_not_answer_in_time_has_not_refused(self) -> None:
        async def main(pool: ConnectionPool, slow: SlowNetwork, network: FakeNetwork) -> None:
            slow.delay_s = 2 * CHECK_TIMEOUT_S
            self.assertFalse(await pool.is_refused(REPLICA))

        self.run_with_pool(main)

    def test_a_replica_may_be_removed_during_the_check(self) -> None:
        async def main(pool: ConnectionPool, slow: SlowNetwork, network: FakeNetwork) -> None:
            slow.delay_s = CHECK_TIMEOUT_S / 2
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(pool.is_refused, REPLICA)
                await anyio.sleep(CHECK_TIMEOUT_S / 4)
                await pool.keep_only(set())

        self.run_with_pool(main)


async def _serve_forever(stream: ByteStream) -> None:
    await anyio.sleep_forever()
