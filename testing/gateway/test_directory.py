"""A gateway's cached configuration and replicas during outages of the store."""

from __future__ import annotations

import unittest
from collections.abc import Awaitable
from collections.abc import Callable

import anyio

from bramleylead.gateway._directory import EXPIRY_GRACE_S
from bramleylead.gateway._directory import Directory
from bramleylead.platform._types import CallKind
from bramleylead.platform._types import Replica
from bramleylead.standins import run_virtual
from testing.gateway._site import HOST
from testing.gateway._site import configuration
from testing.gateway._site import route

A = Replica("a", "svc", "10.0.0.1:80", "d", False, 4)
B = A._replace(name="b", address="10.0.0.2:80")


def run_with_directory(main: Callable[[Directory], Awaitable[None]]) -> None:
    async def run() -> None:
        await main(Directory())

    run_virtual(run, seed=1)


def available_names(directory: Directory) -> list[str]:
    return [replica.name for replica in directory.replicas("svc")]


class ReplicasTest(unittest.TestCase):
    def test_a_leaving_replica_gets_no_new_requests(self) -> None:
        async def main(directory: Directory) -> None:
            directory.replace_replicas([A, B])
            directory.put_replica(A._replace(leaving=True))
            self.assertEqual(available_names(directory), ["b"])

        run_with_directory(main)

    def test_an_entry_removed_without_an_outage_is_dropped_at_once(self) -> None:
        async def main(directory: Directory) -> None:
            directory.replace_replicas([A, B])
            directory.remove_replica("a")
            self.assertEqual(available_names(directory), ["b"])

        run_with_directory(main)

    def test_an_entry_removed_in_an_outage_is_used_for_the_grace_period(self) -> None:
        async def main(directory: Directory) -> None:
            directory.replace_replicas([A, B])
            directory.record_store_failure()
            await anyio.sleep(EXPIRY_GRACE_S / 2)
            directory.replace_replicas([])
            self.assertEqual(available_names(directory), ["a", "b"])
            await anyio.sleep(EXPIRY_GRACE_S * 0.4)
            self.assertEqual(available_names(directory), ["a", "b"])
            directory.put_replica(A)
            await anyio.sleep(EXPIRY_GRACE_S)
            self.assertEqual(available_names(directory), ["a"])
            directory.drop_expired()
            self.assertEqual(directory.replica_names(), {"a"})

        run_with_directory(main)

    # Guards against a replica that leaves after an outage and is used for too long: the grace
    # period began when the gateway learned of the removal.
    def test_the_grace_period_begins_with_the_last_failure_of_the_store(self) -> None:
        async def main(directory: Directory) -> None:
            directory.replace_replicas([A, B])
            directory.record_store_failure()
            await anyio.sleep(EXPIRY_GRACE_S * 0.9)
            directory.remove_replica("a")
            await anyio.sleep(EXPIRY_GRACE_S * 0.2)
            self.assertEqual(available_names(directory), ["b"])
            directory.remove_replica("b")
            self.assertEqual(available_names(directory), [])

        run_with_directory(main)

    def test_a_second_outage_does_not_prolong_the_use_of_a_removed_replica(self) -> None:
        async def main(directory: Directory) -> None:
            directory.replace_replicas([A])
            directory.record_store_failure()
            directory.remove_replica("a")
            await anyio.sleep(EXPIRY_GRACE_S * 0.9)
            directory.record_store_failure()
            directory.replace_replicas([])
            await anyio.sleep(EXPIRY_GRACE_S * 0.2)
            self.assertEqual(available_names(directory), [])

        run_with_directory(main)

    def test_a_repeated_removal_does_not_restart_the_grace_period(self) -> None:
        async def main(directory: Directory) -> None:
            directory.replace_replicas([A])
            directory.record_store_failure()
            directory.remove_replica("a")
            await anyio.sleep(EXPIRY_GRACE_S * 0.9)
            directory.remove_replica("a")
            await anyio.sleep(EXPIRY_GRACE_S * 0.2)
            self.assertEqual(available_names(directory), [])

        run_with_directory(main)

    def test_replicas_of_other_services_are_not_returned(self) -> None:
        async def main(directory: Directory) -> None:
            directory.replace_replicas([A, B._replace(service="other")])
            self.assertEqual(available_names(directory), ["a"])

        run_with_directory(main)


class ConfigurationTest(unittest.TestCase):
    def test_a_version_is_never_replaced_by_an_earlier_one(self) -> None:
        async def main(directory: Directory) -> None:
            self.assertTrue(directory.apply_configuration(configuration(version=7), source="x"))
            self.assertFalse(directory.apply_configuration(configuration(version=5), source="x"))
            self.assertFalse(directory.apply_configuration(configuration(version=7), source="x"))
            assert directory.configuration is not None
            self.assertEqual(directory.configuration.version, 7)

        run_with_directory(main)

    def test_the_longest_matching_prefix_of_the_host_is_chosen(self) -> None:
        outer = route(CallKind.SAFE, name="outer", path_prefix="/a/")
        inner = route(CallKind.SAFE, name="inner", path_prefix="/a/b/")
        other = route(CallKind.SAFE, name="other", host="else.example", path_prefix="/a/b/c/")
        found = configuration(outer, inner, other)
        for path, expected in (("/a/b/c/x", inner), ("/a/c", outer), ("/b/", None), ("/a", None)):
            with self.subTest(path):
                self.assertEqual(found.find_route(HOST, path), expected)

    def test_a_directory_is_complete_once_both_are_loaded(self) -> None:
        async def main(directory: Directory) -> None:
            directory.apply_configuration(configuration(), source="x")
            self.assertFalse(directory.is_complete)
            directory.replace_replicas([])
            self.assertTrue(directory.is_complete)

        run_with_directory(main)
