"""The pool of connections: whether a host refuses them, and how expired ones are closed."""

from __future__ import annotations

import unittest

import anyio
import anyio.lowlevel
from anyio.abc import ByteStream

from bramleylead.gateway._connection_pool import CHECK_TIMEOUT_S
from bramleylead.gateway._connection_pool import DEFAULT_KEEP_ALIVE_S
from bramleylead.gateway._connection_pool import ConnectionPool
from bramleylead.placement._replica_paths import ReplicaPaths
from bramleylead.platform._types import Replica
from bramleylead.standins import FakeNetwork
from bramleylead.standins import run_virtual
from testing.gateway._site import GATEWAY_IP
from testing.gateway._site import REQUEST_ID_HEADER

REPLICA_IP = "10.0.1.1"
REPLICA = Replica("a", "svc", f"{REPLICA_IP}:80", "d", False, 4, "v1")


class SlowToClose(ByteStream):
    """A stream whose close lets other tasks run, as that of a socket does."""

    def __init__(self, stream: ByteStream) -> None:
        self._stream = stream

    async def receive(self, max_bytes: int = 65_536) -> bytes:
        return await self._stream.receive(max_bytes)

    async def send(self, item: bytes) -> None:
        await self._stream.send(item)

    async def send_eof(self) -> None:
        await self._stream.send_eof()

    async def aclose(self) -> None:
        await anyio.lowlevel.cancel_shielded_checkpoint()
        await self._stream.aclose()


class SlowNetwork:
    """A network on which a connection takes a while."""

    def __init__(self, network: FakeNetwork) -> None:
        self._view = network.view(GATEWAY_IP)
        self.delay_s = 0.0

    async def connect(self, address: str) -> ByteStream:
        await anyio.sleep(self.delay_s)
        return SlowToClose(await self._view.connect(address))


class PoolTestCase(unittest.TestCase):
    def run_with_pool(self, main) -> None:
        async def run() -> None:
            network = FakeNetwork({GATEWAY_IP: ("r", "d"), REPLICA_IP: ("r", "d")})
            slow = SlowNetwork(network)
            pool = ConnectionPool(slow, id_header=REQUEST_ID_HEADER, paths=ReplicaPaths())
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


class RefusalTest(PoolTestCase):
    def test_a_replica_that_accepts_is_not_refused_and_the_connection_is_used(self) -> None:
        async def main(pool: ConnectionPool, slow: SlowNetwork, network: FakeNetwork) -> None:
            self.assertFalse(await pool.is_refused(REPLICA))
            self.assertTrue((await pool.acquire(REPLICA, idempotent=True)).is_ok())
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


class MovedReplicaTest(PoolTestCase):
    # Guards against a request to the former process of a replica, maybe of another version, that
    # still serves at its address while the list shows the new one.
    def test_a_connection_to_the_former_address_of_a_replica_is_not_used(self) -> None:
        async def main(pool: ConnectionPool, slow: SlowNetwork, network: FakeNetwork) -> None:
            await pool.probe(REPLICA)
            moved = REPLICA._replace(address=f"{REPLICA_IP}:81")
            self.assertIsNone(await pool.take_idle(moved, idempotent=True))
            self.assertFalse(pool.has_any_idle)

        self.run_with_pool(main)


class ExpiryTest(PoolTestCase):
    def test_a_replica_may_be_added_while_expired_connections_are_closed(self) -> None:
        async def main(pool: ConnectionPool, slow: SlowNetwork, network: FakeNetwork) -> None:
            for number in range(10):
                await pool.is_refused(REPLICA._replace(name=f"a{number}"))
            await anyio.sleep(DEFAULT_KEEP_ALIVE_S)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(pool.close_expired)
                await anyio.lowlevel.cancel_shielded_checkpoint()
                await pool.acquire(REPLICA._replace(name="new"), idempotent=True)

        self.run_with_pool(main)


class AbandonTest(PoolTestCase):
    def test_a_replica_may_be_added_while_silent_connections_are_closed(self) -> None:
        async def main(pool: ConnectionPool, slow: SlowNetwork, network: FakeNetwork) -> None:
            for number in range(10):
                await pool.is_refused(REPLICA._replace(name=f"a{number}"))
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(lambda: pool.abandon_silent(for_s=1.0))
                for _ in range(3):
                    await anyio.lowlevel.cancel_shielded_checkpoint()
                await pool.acquire(REPLICA._replace(name="new"), idempotent=True)

        self.run_with_pool(main)


async def _serve_forever(stream: ByteStream) -> None:
    await anyio.sleep_forever()
