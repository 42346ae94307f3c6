"""Entries of other writers in the list of replicas, beside replicas that work."""

from __future__ import annotations

import unittest
from collections.abc import Awaitable
from collections.abc import Callable

import anyio
from anyio.abc import ByteStream
from anyio.abc import TaskStatus

from bramleylead.connection import TcpNetwork
from bramleylead.gateway._connection_pool import ConnectionPool
from bramleylead.gateway._directory import Directory
from bramleylead.gateway._followers import ReplicaFollower
from bramleylead.gateway._path_monitor import SILENCE_S
from bramleylead.gateway._path_monitor import PathMonitor
from bramleylead.placement._replica_paths import ReplicaPaths
from bramleylead.platform._objects import PlatformObject
from bramleylead.platform._types import Replica
from testing.gateway._site import REQUEST_ID_HEADER
from testing.platform.test_decode import ENTRY

FOREIGN_PORTS = ("73807395", "65536", "0", "99999999999999999999")


class NoRelays:
    """No other gateway is known."""

    any_known = False


class SilentReplica:
    """Accepts connections and answers nothing until its scope is cancelled."""

    def __init__(self, network: TcpNetwork) -> None:
        self._network = network
        self.scope = anyio.CancelScope()
        self.address = ""

    async def run(self, *, task_status: TaskStatus[None]) -> None:
        with self.scope:
            async with anyio.create_task_group() as tasks:
                self.address = await tasks.start(self._network.serve, "127.0.0.1:0", stay_silent)
                task_status.started()


async def stay_silent(stream: ByteStream) -> None:
    await anyio.sleep_forever()


def objects_with(entry: dict[str, object]) -> list[PlatformObject]:
    """Return the entry of a replica, and entries of another writer with impossible ports."""
    foreign = {**ENTRY, "service": "backup-agent"}
    return [
        PlatformObject("i-1", entry, None, 1, False),
        *(
            PlatformObject(
                f"backup-{number}", {**foreign, "address": f"127.0.0.1:{port}"}, None, 2, False
            )
            for number, port in enumerate(FOREIGN_PORTS)
        ),
    ]


class ForeignEntryTest(unittest.TestCase):
    def run_with_silent_replica(
        self,
        main: Callable[[Directory, ConnectionPool, PathMonitor, SilentReplica], Awaitable[None]],
    ) -> None:
        """Run on real sockets: the kernel's client checks the port, no stand-in does."""

        async def run() -> None:
            network, directory, paths = TcpNetwork(), Directory(), ReplicaPaths()
            pool = ConnectionPool(network, id_header=REQUEST_ID_HEADER, paths=paths)
            monitor = PathMonitor(directory, pool, paths, NoRelays(), on_lost=lambda names: None)
            async with anyio.create_task_group() as tasks:
                replica = SilentReplica(network)
                await tasks.start(replica.run)
                await main(directory, pool, monitor, replica)
                tasks.cancel_scope.cancel()

        anyio.run(run)

    # Guards against review case 3: while a replica was silent, the probe of an entry with such a
    # port raised OverflowError, which ended the gateway's process with all requests in it.
    def test_an_entry_with_an_impossible_port_does_not_end_the_path_monitor(self) -> None:
        async def main(
            directory: Directory,
            pool: ConnectionPool,
            monitor: PathMonitor,
            silent: SilentReplica,
        ) -> None:
            entry = {**ENTRY, "address": silent.address}
            ReplicaFollower(directory).replace_all(objects_with(entry), as_of=2)
            replica = directory.find("i-1")
            assert replica is not None
            (await pool.acquire(replica, idempotent=False)).unwrap()
            silent.scope.cancel()
            await anyio.sleep(SILENCE_S + 0.1)
            await monitor.check()
            self.assertIsNone(directory.find("backup-0"))

        self.run_with_silent_replica(main)

    def test_a_replica_at_an_impossible_address_is_unreached(self) -> None:
        async def main(
            directory: Directory,
            pool: ConnectionPool,
            monitor: PathMonitor,
            silent: SilentReplica,
        ) -> None:
            for port in FOREIGN_PORTS:
                replica = Replica("i-2", "svc", f"127.0.0.1:{port}", "d", False, 4)
                acquired = await pool.acquire(replica, idempotent=True)
                self.assertTrue(acquired.is_err(), port)

        self.run_with_silent_replica(main)

    def test_an_entry_with_an_impossible_port_names_no_replica(self) -> None:
        directory = Directory()
        follower = ReplicaFollower(directory)
        follower.replace_all(objects_with(ENTRY), as_of=2)
        self.assertEqual(directory.replica_names(), {"i-1"})
