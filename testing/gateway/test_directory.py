"""What a gateway believes of configuration and replicas while the store comes and goes."""

from __future__ import annotations

import unittest
from collections.abc import Awaitable
from collections.abc import Callable

import anyio

from bramleylead.gateway._directory import LAPSE_GRACE_S
from bramleylead.gateway._directory import LAPSE_WINDOW_S
from bramleylead.gateway._directory import Directory
from bramleylead.gateway._types import CallKind
from bramleylead.gateway._types import Replica
from bramleylead.standins import run_virtual
from testing.gateway._site import HOST
from testing.gateway._site import configuration
from testing.gateway._site import route

A = Replica("a", "svc", "10.0.0.1:80", "d", False, 4)
B = A._replace(name="b", address="10.0.0.2:80")


def play(main: Callable[[Directory], Awaitable[None]]) -> None:
    async def run() -> None:
        await main(Directory())

    run_virtual(run, seed=1)


def names(directory: Directory) -> list[str]:
    return [replica.name for replica in directory.replicas("svc")]


class ReplicasTest(unittest.TestCase):
    def test_a_leaving_replica_gets_no_new_work(self) -> None:
        async def main(directory: Directory) -> None:
            directory.replace_all([A, B])
            directory.put(A._replace(leaving=True))
            self.assertEqual(names(directory), ["b"])

        play(main)

    def test_an_entry_that_goes_in_calm_is_gone_at_once(self) -> None:
        async def main(directory: Directory) -> None:
            directory.replace_all([A, B])
            directory.remove("a")
            self.assertEqual(names(directory), ["b"])

        play(main)

    def test_an_entry_that_goes_in_an_outage_is_used_until_it_could_be_back(self) -> None:
        async def main(directory: Directory) -> None:
            directory.replace_all([A, B])
            directory.note_trouble()
            await anyio.sleep(LAPSE_WINDOW_S / 2)
            directory.replace_all([])
            self.assertEqual(names(directory), ["a", "b"])
            await anyio.sleep(LAPSE_GRACE_S / 2)
            directory.put(A)
            await anyio.sleep(LAPSE_GRACE_S)
            self.assertEqual(names(directory), ["a"])
            directory.drop_lapsed()
            self.assertEqual(directory.names(), {"a"})

        play(main)

    def test_a_removal_told_twice_does_not_start_the_grace_anew(self) -> None:
        async def main(directory: Directory) -> None:
            directory.replace_all([A])
            directory.note_trouble()
            directory.remove("a")
            await anyio.sleep(LAPSE_GRACE_S * 0.9)
            directory.remove("a")
            await anyio.sleep(LAPSE_GRACE_S * 0.2)
            self.assertEqual(names(directory), [])

        play(main)

    def test_replicas_of_another_service_are_not_offered(self) -> None:
        async def main(directory: Directory) -> None:
            directory.replace_all([A, B._replace(service="other")])
            self.assertEqual(names(directory), ["a"])

        play(main)


class ConfigurationTest(unittest.TestCase):
    def test_a_version_is_never_replaced_by_an_earlier_one(self) -> None:
        async def main(directory: Directory) -> None:
            self.assertTrue(directory.adopt(configuration(version=7), source="x"))
            self.assertFalse(directory.adopt(configuration(version=5), source="x"))
            self.assertFalse(directory.adopt(configuration(version=7), source="x"))
            assert directory.configuration is not None
            self.assertEqual(directory.configuration.version, 7)

        play(main)

    def test_the_longest_prefix_of_the_host_decides(self) -> None:
        outer = route(CallKind.SAFE, name="outer", prefix="/a/")
        inner = route(CallKind.SAFE, name="inner", prefix="/a/b/")
        other = route(CallKind.SAFE, name="other", host="else.example", prefix="/a/b/c/")
        found = configuration(outer, inner, other)
        for path, expected in (("/a/b/c/x", inner), ("/a/c", outer), ("/b/", None), ("/a", None)):
            with self.subTest(path):
                self.assertEqual(found.route(HOST, path), expected)

    def test_a_gateway_is_complete_once_both_are_known(self) -> None:
        async def main(directory: Directory) -> None:
            directory.adopt(configuration(), source="x")
            self.assertFalse(directory.is_complete)
            directory.replace_all([])
            self.assertTrue(directory.is_complete)

        play(main)
