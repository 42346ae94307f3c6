"""Following the platform's store through outages, compacted history and unreadable entries."""

from __future__ import annotations

import random
import unittest
from collections.abc import Awaitable
from collections.abc import Callable

import anyio
from result import Result

from bramleylead.gateway._directory import Directory
from bramleylead.gateway._followers import ConfigurationFollower
from bramleylead.gateway._followers import ReplicaFollower
from bramleylead.ledger._member_list import MEMBER_LIST_KIND
from bramleylead.ledger._member_list import MEMBER_LIST_NAME
from bramleylead.ledger._member_list import StoredMemberList
from bramleylead.ledger._members import NO_VIEW
from bramleylead.ledger._members import LedgerMember
from bramleylead.ledger._members import LedgerView
from bramleylead.platform._follow import follow
from bramleylead.platform._objects import ObjectPage
from bramleylead.platform._objects import PlatformStore
from bramleylead.platform._store import StoreError
from bramleylead.standins._platform_store import PAGE_OBJECTS
from bramleylead.standins._platform_store import PlatformStoreStandIn
from bramleylead.standins._serving import serve_app
from testing.platform.test_decode import ENTRY
from testing.platform.test_decode import ROUTE
from testing.platform.test_decode import configuration_with

TIMEOUT_S = 10.0
VIEW = LedgerView(1, (LedgerMember("s0", "10.0.0.1:7", "d0"),))


async def wait_until(condition: Callable[[], bool]) -> None:
    """Wait until a condition holds."""
    with anyio.fail_after(TIMEOUT_S):
        while True:
            if condition():
                return
            await anyio.sleep(0.01)


class FollowTest(unittest.TestCase):
    def run_followers(
        self, main: Callable[[PlatformStoreStandIn, Directory], Awaitable[None]]
    ) -> None:
        async def run() -> None:
            stand_in = PlatformStoreStandIn()
            directory = Directory()
            async with (
                serve_app(stand_in.app, "127.0.0.1:0") as address,
                PlatformStore(address) as store,
                anyio.create_task_group() as tasks,
            ):
                for follower in (ConfigurationFollower(directory), ReplicaFollower(directory)):
                    tasks.start_soon(follow, store, follower, random.Random(1))
                await main(stand_in, directory)
                tasks.cancel_scope.cancel()

        anyio.run(run)

    def test_changes_are_applied(self) -> None:
        async def main(store: PlatformStoreStandIn, directory: Directory) -> None:
            store.put("config", "main", configuration_with(ROUTE))
            store.put("servers", "i-1", ENTRY)
            await wait_until(lambda: directory.is_complete and directory.replica_names() == {"i-1"})
            store.put("config", "main", {**configuration_with(ROUTE), "version": 9})
            store.remove("servers", "i-1")
            await wait_until(
                lambda: directory.configuration.version == 9 and not directory.replica_names()
            )

        self.run_followers(main)

    def test_changes_in_compacted_history_are_applied(self) -> None:
        async def main(store: PlatformStoreStandIn, directory: Directory) -> None:
            store.put("servers", "i-1", ENTRY)
            await wait_until(lambda: directory.replica_names() == {"i-1"})
            store.out = True
            store.put("servers", "i-2", ENTRY)
            await anyio.sleep(0.1)
            store.compact()
            store.out = False
            await wait_until(lambda: directory.replica_names() == {"i-1", "i-2"})

        self.run_followers(main)

    def test_the_last_state_stays_in_use_during_a_store_outage(self) -> None:
        async def main(store: PlatformStoreStandIn, directory: Directory) -> None:
            store.put("config", "main", configuration_with(ROUTE))
            store.put("servers", "i-1", ENTRY)
            await wait_until(lambda: directory.is_complete and directory.replica_names() == {"i-1"})
            store.out = True
            store.put("config", "main", {**configuration_with(ROUTE), "version": 9})
            await anyio.sleep(0.3)
            self.assertEqual(directory.replica_names(), {"i-1"})
            store.out = False
            await wait_until(lambda: directory.configuration.version == 9)

        self.run_followers(main)

    def test_an_unreadable_entry_names_no_replica(self) -> None:
        async def main(store: PlatformStoreStandIn, directory: Directory) -> None:
            store.put("servers", "i-1", {"state": 5})
            store.put("servers", "i-2", ENTRY)
            await wait_until(lambda: directory.replica_names() == {"i-2"})
            store.put("servers", "i-2", "changed by another writer")
            await wait_until(lambda: not directory.replica_names())

        self.run_followers(main)

    # Guards against a replica that is used although it is gone: a list of several pages was watched
    # from the revision of its last page, so a change to an earlier page meanwhile was missed.
    def test_a_change_between_two_pages_of_a_list_is_applied(self) -> None:
        class SlowSource:
            """Waits before each page but the first, while the test changes the first one."""

            def __init__(self, store: PlatformStore, stand_in: PlatformStoreStandIn) -> None:
                self._store = store
                self._stand_in = stand_in
                self.watch = store.watch

            async def list(self, kind: str, *, after: str = "") -> Result[ObjectPage, StoreError]:
                if after:
                    self._stand_in.remove("servers", "i-0000")
                    changed = {**ENTRY, "state": "draining"}
                    self._stand_in.put("servers", "i-0001", changed)
                return await self._store.list(kind, after=after)

        async def run() -> None:
            stand_in, directory = PlatformStoreStandIn(), Directory()
            for number in range(PAGE_OBJECTS + 10):
                stand_in.put("servers", f"i-{number:04d}", ENTRY)
            async with (
                serve_app(stand_in.app, "127.0.0.1:0") as address,
                PlatformStore(address) as store,
                anyio.create_task_group() as tasks,
            ):
                source = SlowSource(store, stand_in)
                tasks.start_soon(follow, source, ReplicaFollower(directory), random.Random(1))
                await wait_until(lambda: len(directory.replica_names()) == PAGE_OBJECTS + 9)
                await wait_until(lambda: not directory.is_usable("i-0001"))
                self.assertIsNone(directory.find("i-0000"))
                self.assertTrue(directory.is_usable("i-0002"))
                tasks.cancel_scope.cancel()

        anyio.run(run)

    # Guards against lists that no node of the ledger could pass on any more.
    def test_values_that_no_message_can_carry_are_unreadable(self) -> None:
        values = [{"sequence": 2**64}, {"zone": "\ud800"}, {"\ud800": 1}, [[-(2**63) - 1]]]

        async def main(store: PlatformStoreStandIn, directory: Directory) -> None:
            for number, value in enumerate(values):
                store.put("servers", f"foreign-{number}", {**ENTRY, "extra": value})
            store.put("servers", "i-2", ENTRY)
            await wait_until(lambda: directory.replica_names() == {"i-2"})

        self.run_followers(main)


class MemberListTest(unittest.TestCase):
    def run_member_list(
        self, main: Callable[[PlatformStoreStandIn, StoredMemberList], Awaitable[None]]
    ) -> None:
        async def run() -> None:
            stand_in = PlatformStoreStandIn()
            async with (
                serve_app(stand_in.app, "127.0.0.1:0") as address,
                PlatformStore(address) as store,
            ):
                await main(stand_in, StoredMemberList(store))

        anyio.run(run)

    def test_only_one_of_two_changes_to_the_same_list_succeeds(self) -> None:
        async def main(store: PlatformStoreStandIn, members: StoredMemberList) -> None:
            self.assertEqual((await members.read()).unwrap(), NO_VIEW)
            self.assertTrue((await members.change(NO_VIEW, VIEW)).is_ok())
            other = VIEW._replace(members=(LedgerMember("s1", "10.0.0.2:7", "d1"),))
            self.assertTrue((await members.change(NO_VIEW, other)).is_err())
            later = VIEW._replace(epoch=2)
            self.assertTrue((await members.change(VIEW, later)).is_ok())
            self.assertTrue((await members.change(VIEW, other._replace(epoch=2))).is_err())
            self.assertEqual((await members.read()).unwrap(), later)

        self.run_member_list(main)

    def test_a_change_whose_reply_is_lost_is_resolved_by_reading(self) -> None:
        async def main(store: PlatformStoreStandIn, members: StoredMemberList) -> None:
            store.silent = True

            async def resume_store() -> None:
                await wait_until(lambda: store.get(MEMBER_LIST_KIND, MEMBER_LIST_NAME) is not None)
                store.silent = False

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(resume_store)
                self.assertTrue((await members.change(NO_VIEW, VIEW)).is_ok())

        self.run_member_list(main)

    def test_an_unreadable_list_is_an_error(self) -> None:
        async def main(store: PlatformStoreStandIn, members: StoredMemberList) -> None:
            store.put(MEMBER_LIST_KIND, MEMBER_LIST_NAME, {"epoch": "x"})
            self.assertTrue((await members.read()).is_err())
            store.out = True
            self.assertTrue((await members.read()).is_err())

        self.run_member_list(main)
