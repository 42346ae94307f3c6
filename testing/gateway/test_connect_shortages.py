"""Requests while this machine has no descriptor or port for another connection to a replica."""

from __future__ import annotations

import errno
import os
import resource
import unittest
from collections.abc import Callable
from collections.abc import Iterator
from contextlib import contextmanager

import anyio
from anyio.abc import ByteStream
from structlog.testing import capture_logs

from bramleylead.connection import TcpNetwork
from bramleylead.gateway._relay_messages import CheckReplica
from bramleylead.gateway._relay_messages import Reach
from bramleylead.gateway._relay_messages import RelayRefusal
from bramleylead.gateway._relay_messages import ReplicaChecked
from bramleylead.gateway._replica_streams import ReplicaStreams
from bramleylead.platform._types import CallKind
from testing.gateway._site import ReceivedRequest
from testing.gateway._site import Site
from testing.gateway._site import full_response
from testing.gateway._site import route
from testing.gateway.test_plain_calls import run_with_site

SAFE = route(CallKind.SAFE)
SHORT_S = 0.1
NAMES = ("a", "b", "c")


async def answer(received: ReceivedRequest, stream: ByteStream) -> None:
    await stream.send(full_response(received, b"done"))


async def add_replicas(site: Site) -> None:
    for name in NAMES:
        await site.add_replica(name, answer)


@contextmanager
def shortage(site: Site, number: int, lasts: Callable[[], bool]) -> Iterator[None]:
    """Fail to connect as :func:`anyio.connect_tcp` does, while a condition holds."""
    connect = site.network.connect

    async def connect_or_fail(source: str, address: str) -> ByteStream:
        if lasts():
            cause = OSError(number, os.strerror(number))
            raise OSError("All connection attempts failed") from cause
        return await connect(source, address)

    site.network.connect = connect_or_fail
    try:
        yield
    finally:
        site.network.connect = connect


class KeptAnswers:
    """Keeps the answers of a handler."""

    def __init__(self) -> None:
        self.sent: list[object] = []

    async def send(self, item: object) -> None:
        self.sent.append(item)


class ShortageTest(unittest.TestCase):
    def assert_no_blame(self, site: Site) -> None:
        self.assertEqual(site.selector.health.known_replicas(), set())
        self.assertEqual(site.paths.known_replicas(), set())

    # Guards against a gateway without descriptors that takes all replicas for crashed, and its
    # paths for lost, and goes on so once it has descriptors again.
    def test_replicas_are_not_blamed_and_the_request_is_refused_as_not_run(self) -> None:
        for number in (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.EADDRNOTAVAIL):
            with self.subTest(errno.errorcode[number]), capture_logs() as lines:

                async def main(site: Site, number: int = number) -> None:
                    await add_replicas(site)
                    with shortage(site, number, lambda: True):
                        refused = await site.request("/safe/x")
                    self.assertEqual(refused.status, 503)
                    self.assertIn("retry-after", refused.headers)
                    self.assert_no_blame(site)
                    self.assertEqual((await site.request("/safe/x")).status, 200)

                run_with_site(main, SAFE)
                kinds = [line["kind"] for line in lines if line["event"] == "connect_shortage"]
                self.assertEqual(kinds, [errno.errorcode[number]])

    def test_a_descriptor_that_is_free_shortly_after_is_waited_for(self) -> None:
        async def main(site: Site) -> None:
            await add_replicas(site)
            until = anyio.current_time() + SHORT_S
            with shortage(site, errno.EMFILE, lambda: anyio.current_time() < until):
                self.assertEqual((await site.request("/safe/x")).status, 200)
            self.assert_no_blame(site)

        run_with_site(main, SAFE)

    def test_an_idle_connection_to_another_replica_gives_its_descriptor(self) -> None:
        async def main(site: Site) -> None:
            await add_replicas(site)
            await site.pool.probe(site.entries["a"])
            with shortage(site, errno.EMFILE, lambda: site.pool.has_any_idle):
                acquired = await site.pool.acquire(site.entries["b"], idempotent=True)
            self.assertTrue(acquired.is_ok())
            self.assert_no_blame(site)

        run_with_site(main, SAFE)

    # Guards against another gateway that takes a replica for down, since this one has no
    # descriptor to try.
    def test_other_gateways_are_told_nothing_of_the_replica(self) -> None:
        async def main(site: Site) -> None:
            await add_replicas(site)
            answers = KeptAnswers()
            with shortage(site, errno.EMFILE, lambda: True):
                await site.relay_server._check(CheckReplica("a"), answers)
            self.assertEqual(answers.sent, [ReplicaChecked(Reach.SILENT, RelayRefusal.BUSY)])

        run_with_site(main, SAFE)


class RealNetworkTest(unittest.TestCase):
    def test_a_real_shortage_of_descriptors_is_recognised(self) -> None:
        async def close_idle() -> None:
            """Close nothing."""

        async def main() -> None:
            streams = ReplicaStreams(TcpNetwork(), close_idle=close_idle)
            soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
            free = os.dup(0)
            os.close(free)
            resource.setrlimit(resource.RLIMIT_NOFILE, (free, hard))
            try:
                opened = await streams.open("127.0.0.1:9", timeout_s=SHORT_S)
            finally:
                resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
            self.assertTrue(opened.err_value.is_local, opened)

        anyio.run(main)
