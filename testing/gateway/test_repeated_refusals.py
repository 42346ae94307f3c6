"""Refusals that a replica writes once more, where the response to another request is due."""

from __future__ import annotations

import unittest

import anyio
from anyio.abc import ByteStream

from bramleylead.platform._types import CallKind
from testing.gateway._fleet import CrashableReplica
from testing.gateway._fleet import Fleet
from testing.gateway._fleet import run_with_fleet
from testing.gateway._site import ReceivedRequest
from testing.gateway._site import Site
from testing.gateway._site import full_response
from testing.gateway._site import route
from testing.gateway.test_plain_calls import run_with_site

UNSAFE = route(CallKind.UNSAFE, max_attempts=3)
STREAM = route(CallKind.STREAM, max_attempts=3)
REFUSAL = b"HTTP/1.1 503 Full\r\nBramleylead-Not-Run: 1\r\nContent-Length: 0\r\n"
STATUSES_THAT_PROMISE = {408, 421, 429, 503}
WORK_S = 0.05


def refusal(identity: str) -> bytes:
    """Return a refusal that names a request, or none."""
    named = f"Bramleylead-Request-Id: {identity}\r\n".encode() if identity else b""
    return REFUSAL + named + b"\r\n"


class RepeatingReplica:
    """Refuses its first request on a connection, and writes the refusal again for the second one.

    The second request runs, whatever was written before its response.

    :param identify: whether its refusals name their request.
    :param before: whether the copy is written while the connection is idle.
    """

    def __init__(self, *, identify: bool, before: bool) -> None:
        self._identify = identify
        self._before = before
        self._requests = 0
        self.ran: list[str] = []

    async def __call__(self, received: ReceivedRequest, stream: ByteStream) -> None:
        self._requests += 1
        copy = refusal("q1" if self._identify else "")
        if self._requests == 1:
            await stream.send(copy)
            if self._before:
                await anyio.sleep(WORK_S)
                await stream.send(copy)
            return
        self.ran.append(received.id)
        if not self._before:
            await stream.send(copy)
        await anyio.sleep(WORK_S)
        await stream.send(full_response(received, b"done"))


VARIANTS = [
    {"identify": identify, "before": before}
    for identify in (True, False)
    for before in (True, False)
]


class RepeatedRefusalTest(unittest.TestCase):
    def check(self, path: str, *, identify: bool, before: bool) -> None:
        async def main(site: Site) -> None:
            replica = RepeatingReplica(identify=identify, before=before)
            await site.add_replica("a", replica)
            await site.request(path, body=b"o", headers={"bramleylead-request-id": "q1"})
            await anyio.sleep(2 * WORK_S)
            other = await site.add_replica("b", RepeatingReplica(identify=True, before=False))
            other.script._requests = 1
            site.directory.record_leaving(site.entries["b"])
            answer = await site.request(path, body=b"o", headers={"bramleylead-request-id": "q2"})
            runs = replica.ran + other.script.ran
            self.assertLessEqual(len(runs), 1)
            if runs:
                self.assertNotIn(answer.status, STATUSES_THAT_PROMISE)

        run_with_site(main, UNSAFE, STREAM)

    # Guards against REFUSED: the copy of a refusal that names no request was taken for the answer
    # to the next request, which ran; its caller was told that it had not run.
    def test_a_request_that_ran_is_not_said_to_be_not_run(self) -> None:
        for variant in VARIANTS:
            for path in ("/unsafe/a", "/stream/a"):
                with self.subTest(path, **variant):
                    self.check(path, **variant)

    def test_a_copy_does_not_send_a_request_that_runs_to_a_second_replica(self) -> None:
        for variant in VARIANTS:
            with self.subTest(**variant):
                self.check_second_replica(**variant)

    def check_second_replica(self, *, identify: bool, before: bool) -> None:
        async def main(site: Site) -> None:
            first = RepeatingReplica(identify=identify, before=before)
            await site.add_replica("a", first)
            await site.request("/unsafe/a", body=b"o", headers={"bramleylead-request-id": "q1"})
            await anyio.sleep(2 * WORK_S)
            second = RepeatingReplica(identify=True, before=False)
            second._requests = 1
            await site.add_replica("b", second)
            for number in range(2, 6):
                headers = {"bramleylead-request-id": f"q{number}"}
                await site.request("/unsafe/a", body=b"o", headers=headers)
            runs = first.ran + second.ran
            self.assertEqual(len(runs), len(set(runs)))

        run_with_site(main, UNSAFE)

    # Guards against REFUSED: a status that promises "not run", passed on from a replica that has
    # not said so.
    def test_a_replica_s_status_promises_nothing_unless_it_says_not_run(self) -> None:
        async def main(site: Site) -> None:
            for name in "ab":
                await site.add_replica(name, script)
            for number, path in enumerate(("/unsafe/a", "/stream/a")):
                headers = {"bramleylead-request-id": f"q{number}"}
                answer = await site.request(path, body=b"o", headers=headers)
                self.assertEqual(answer.status, 502)
                self.assertNotIn("bramleylead-server-stamp", answer.headers)
            self.assertEqual(ran, ["q0", "q1"])

        async def script(received: ReceivedRequest, stream: ByteStream) -> None:
            ran.append(received.id)
            await stream.send(full_response(received, b"failed", status))

        for status in ("408 Slow", "429 Many", "503 Failed"):
            ran: list[str] = []
            with self.subTest(status):
                run_with_site(main, UNSAFE, STREAM)

    def test_a_copy_that_reaches_another_gateway_is_not_passed_on_as_a_refusal(self) -> None:
        for variant in VARIANTS:
            with self.subTest(**variant):
                self.check_relayed(**variant)

    def check_relayed(self, *, identify: bool, before: bool) -> None:
        replicas: list[RepeatingReplica] = []

        def make_script(replica: CrashableReplica) -> RepeatingReplica:
            replicas.append(RepeatingReplica(identify=identify, before=before))
            return replicas[-1]

        async def main(fleet: Fleet) -> None:
            for _ in range(4):
                await fleet.add_replica(make_script)
            stranded = fleet.gateways[0]
            fleet.strand(0)
            statuses = {}
            for number in range(1, 30):
                headers = {"bramleylead-request-id": f"q{number}"}
                answer = await stranded.request("/unsafe/a", body=b"o", headers=headers)
                statuses[f"q{number}"] = answer.status
                await anyio.sleep(0.3)
            self.assertTrue(stranded.paths.is_lost)
            ran = [name for replica in replicas for name in replica.ran]
            told_not_run = {n for n, status in statuses.items() if status in STATUSES_THAT_PROMISE}
            self.assertGreater(len(ran), 3)
            self.assertFalse(told_not_run & set(ran))
            self.assertEqual(len(ran), len(set(ran)))

        run_with_fleet(main, UNSAFE, gateways=2)
