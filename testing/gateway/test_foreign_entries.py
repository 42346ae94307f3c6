"""Entries of other writers in the list of replicas, beside replicas that work."""

from __future__ import annotations

import random
import unittest
from collections.abc import Awaitable
from collections.abc import Callable

import anyio
from anyio.abc import ByteStream
from anyio.abc import TaskStatus
from result import Ok
from result import Result

from bramleylead.connection import TcpNetwork
from bramleylead.gateway._connection_pool import ConnectionPool
from bramleylead.gateway._directory import Directory
from bramleylead.gateway._followers import ConfigurationFollower
from bramleylead.gateway._followers import ReplicaFollower
from bramleylead.gateway._path_monitor import SILENCE_S
from bramleylead.gateway._path_monitor import PathMonitor
from bramleylead.placement._replica_paths import ReplicaPaths
from bramleylead.platform._follow import follow
from bramleylead.platform._objects import ObjectPage
from bramleylead.platform._objects import PlatformObject
from bramleylead.platform._objects import PlatformStore
from bramleylead.platform._store import StoreError
from bramleylead.platform._types import Replica
from bramleylead.standins import run_virtual
from bramleylead.standins._platform_store import PAGE_OBJECTS
from bramleylead.standins._platform_store import PlatformStoreStandIn
from bramleylead.standins._serving import serve_app
from testing.gateway._site import REQUEST_ID_HEADER
from testing.gateway.test_follow import wait_until
from testing.platform._odd_items import NAMELESS_ITEMS
from testing.platform._odd_items import ODD_ITEMS
from testing.platform._odd_items import named
from testing.platform._odd_items import odd_item
from testing.platform.test_decode import ENTRY
from testing.platform.test_decode import ROUTE
from testing.platform.test_decode import configuration_with

FAILED_LISTS_S = 1.0
MOST_CALLS = 30
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


def odd_items(prefix: str) -> list[tuple[str, bytes]]:
    """Return the odd items whose names can be read, each under a name of its own."""
    names = [f"{prefix}-{number}" for number in range(len(ODD_ITEMS))]
    return [(name, named(item, name)) for name, item in zip(names, ODD_ITEMS.values(), strict=True)]


def put_odd_items(store: PlatformStoreStandIn, prefix: str, *, kind: str = "servers") -> None:
    """Put all odd items in the store, as another writer would."""
    for name, item in odd_items(prefix):
        store.put_raw(kind, name, item)
    for number, item in enumerate(NAMELESS_ITEMS.values()):
        store.put_raw(kind, f"{prefix}-nameless-{number}", item)


def put_replicas(store: PlatformStoreStandIn, prefix: str) -> None:
    """Put a replica under the name of each odd item."""
    for name, _ in odd_items(prefix):
        store.put("servers", name, ENTRY)


def list_again(store: PlatformStoreStandIn) -> None:
    """Forget the history, and wake the watches, so that all objects are listed again."""
    store.compact()
    store.put("config", "other", {})


def version_of(directory: Directory) -> int:
    """Return the version in force; 0 if there is none."""
    return 0 if directory.configuration is None else directory.configuration.version


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


class OddItemTest(unittest.TestCase):
    """A value that can't be decoded made the whole list and all changes with it unreadable."""

    def run_with_store(
        self, main: Callable[[PlatformStoreStandIn, Directory], Awaitable[None]]
    ) -> None:
        """Run a test with a gateway that starts while the store has odd items and a replica."""

        async def run() -> None:
            store, directory = PlatformStoreStandIn(), Directory()
            store.put("servers", "i-1", ENTRY)
            put_odd_items(store, "before")
            store.put("config", "main", configuration_with(ROUTE))
            store.put_raw("config", "backup", odd_item("backup", value=b"9" * 4_901))
            async with (
                serve_app(store.app, "127.0.0.1:0") as address,
                PlatformStore(address) as source,
                anyio.create_task_group() as tasks,
            ):
                for follower in (ConfigurationFollower(directory), ReplicaFollower(directory)):
                    tasks.start_soon(follow, source, follower, random.Random(1))
                await wait_until(lambda: directory.is_complete)
                await main(store, directory)
                tasks.cancel_scope.cancel()

        anyio.run(run)

    def test_a_gateway_that_starts_beside_odd_items_knows_the_others(self) -> None:
        async def main(store: PlatformStoreStandIn, directory: Directory) -> None:
            replica = directory.find("i-1")
            assert replica is not None
            self.assertEqual(replica.address, ENTRY["address"])
            self.assertEqual(directory.replica_names(), {"i-1"})

        self.run_with_store(main)

    def test_changes_beside_odd_items_are_applied(self) -> None:
        async def main(store: PlatformStoreStandIn, directory: Directory) -> None:
            put_odd_items(store, "later")
            store.put("servers", "i-4", ENTRY)
            store.remove("servers", "i-1")
            await wait_until(lambda: directory.replica_names() == {"i-4"})

        self.run_with_store(main)

    def test_replicas_whose_entries_become_odd_are_used_no_more(self) -> None:
        async def main(store: PlatformStoreStandIn, directory: Directory) -> None:
            put_replicas(store, "later")
            await wait_until(lambda: len(directory.replica_names()) == 1 + len(ODD_ITEMS))
            put_odd_items(store, "later")
            await wait_until(lambda: directory.replica_names() == {"i-1"})

        self.run_with_store(main)

    def test_removals_that_show_odd_items_remove_the_replicas(self) -> None:
        async def main(store: PlatformStoreStandIn, directory: Directory) -> None:
            put_replicas(store, "later")
            await wait_until(lambda: len(directory.replica_names()) == 1 + len(ODD_ITEMS))
            for name, item in odd_items("later"):
                store.replace_unseen("servers", name, item)
                store.remove("servers", name)
            await wait_until(lambda: directory.replica_names() == {"i-1"})

        self.run_with_store(main)

    def test_an_odd_configuration_leaves_the_former_one_in_force(self) -> None:
        async def main(store: PlatformStoreStandIn, directory: Directory) -> None:
            store.put_raw("config", "main", odd_item("main", value=b"[" * 700 + b"]" * 700))
            store.put("servers", "i-5", ENTRY)
            await wait_until(lambda: "i-5" in directory.replica_names())
            self.assertEqual(version_of(directory), 7)
            store.put("config", "main", {**configuration_with(ROUTE), "version": 8})
            await wait_until(lambda: version_of(directory) == 8)

        self.run_with_store(main)

    def test_odd_items_at_the_end_of_a_page_hide_no_later_page(self) -> None:
        async def main(store: PlatformStoreStandIn, directory: Directory) -> None:
            for number in range(PAGE_OBJECTS):
                store.put("servers", f"j-{number:03}", ENTRY)
            for number, item in enumerate(NAMELESS_ITEMS.values()):
                store.put_raw("servers", f"j-{PAGE_OBJECTS // 2}-{number}", item)
            store.put("servers", "k", ENTRY)
            list_again(store)
            listed = 2 + PAGE_OBJECTS
            await wait_until(lambda: len(directory.replica_names()) == listed)

        self.run_with_store(main)

    def test_a_list_that_can_not_be_continued_is_no_complete_list(self) -> None:
        async def main(store: PlatformStoreStandIn, directory: Directory) -> None:
            store.put("servers", "z", ENTRY)
            await wait_until(lambda: "z" in directory.replica_names())
            for number in range(2 * PAGE_OBJECTS):
                store.replace_unseen("servers", f"n-{number}", NAMELESS_ITEMS["no name"])
            list_again(store)
            await anyio.sleep(FAILED_LISTS_S)
            self.assertEqual(directory.replica_names(), {"i-1", "z"})

        self.run_with_store(main)

    def test_a_list_whose_pages_repeat_is_not_read_without_end(self) -> None:
        class RepeatingSource:
            calls = 0

            async def list(self, kind: str, *, after: str = "") -> Result[ObjectPage, StoreError]:
                self.calls += 1
                await anyio.sleep(0.001)
                return Ok(ObjectPage((PlatformObject("i-1", ENTRY, None, 1, False),), True, 1))

        async def main() -> int:
            source = RepeatingSource()
            with anyio.move_on_after(FAILED_LISTS_S):
                await follow(source, ReplicaFollower(Directory()), random.Random(1))
            return source.calls

        self.assertLess(run_virtual(main, seed=1), MOST_CALLS)
