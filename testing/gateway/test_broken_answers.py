"""Answers that a replica breaks off at any byte."""

from __future__ import annotations

import unittest
from collections.abc import Callable
from functools import partial
from typing import NamedTuple

import anyio
from anyio.abc import ByteStream

from bramleylead.ledger._records import Spending
from bramleylead.platform._types import CallKind
from bramleylead.platform._types import Software
from testing.gateway._fleet import Fleet
from testing.gateway._fleet import run_with_fleet
from testing.gateway._site import REQUEST_ID_HEADER
from testing.gateway._site import ReceivedRequest
from testing.gateway._site import ReceivedResponse
from testing.gateway._site import Site
from testing.gateway._site import chunk
from testing.gateway._site import event
from testing.gateway._site import full_response
from testing.gateway._site import respond_with
from testing.gateway._site import response_head
from testing.gateway._site import route
from testing.gateway.test_plain_calls import run_with_site
from testing.gateway.test_relayed_requests import lose_paths
from testing.gateway.test_streams import break_stream_after
from testing.gateway.test_streams import events

STREAM_TYPE = "Content-Type: text/event-stream"
CHUNKED = "Transfer-Encoding: chunked"
TRAILER = b"0\r\nX-Trailer: yes\r\n\r\n"
INTERIM = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
END_OF_HEAD = b"\r\n\r\n"
REPLICAS = 3
PAUSE_S = 0.1
PUT_ASIDE_S = 6.0
"""A replica that has failed gets requests again after this time."""
RESUMABLE = route(CallKind.STREAM, resumable=True)
ROUTES = (
    route(CallKind.SAFE, max_attempts=1),
    route(CallKind.UNSAFE, max_attempts=1),
    route(CallKind.STREAM, max_attempts=1),
    route(CallKind.STREAM, max_attempts=1, path_prefix="/kept/", retains_turns=True),
    route(CallKind.STREAM, max_attempts=1, path_prefix="/resumed/", resumable=True),
)
STREAM_PATHS = ("/stream/x", "/kept/x", "/resumed/x")
PATHS = ("/safe/x", "/unsafe/x", *STREAM_PATHS)


class Framing(NamedTuple):
    """A way to write an answer.

    :param ends_with_connection: whether only a reset tells that its body is cut.
    """

    name: str
    write: Callable[[ReceivedRequest], bytes]
    ends_with_connection: bool = False


def with_length(received: ReceivedRequest) -> bytes:
    return full_response(received, events(1, 2), "200 OK", STREAM_TYPE)


def in_chunks(received: ReceivedRequest) -> bytes:
    head = response_head(received, "200 OK", STREAM_TYPE, CHUNKED)
    return head + chunk(event(1)) + chunk(event(2)) + TRAILER


def without_length(received: ReceivedRequest) -> bytes:
    return response_head(received, "200 OK", STREAM_TYPE) + events(1, 2)


def in_http_1_0(answer: bytes) -> bytes:
    return answer.replace(b"HTTP/1.1", b"HTTP/1.0")


FRAMINGS = (
    Framing("length", with_length),
    Framing("chunks", in_chunks),
    Framing("no length", without_length, True),
    Framing("interim", lambda received: INTERIM + with_length(received)),
    Framing("1.0, length", lambda received: in_http_1_0(with_length(received))),
    Framing("1.0, no length", lambda received: in_http_1_0(without_length(received)), True),
)


class CuttingReplica:
    """Breaks off the answer to each request one byte later than that to the request before.

    :param reset: whether the connection is reset rather than closed.
    """

    def __init__(self, framing: Framing, *, reset: bool) -> None:
        self._framing = framing
        self._reset = reset
        self._sent_bytes = -1
        self.answer = b""
        self.ran: list[str] = []

    @property
    def looks_whole(self) -> bool:
        """Whether the last answer was whole, or can't be told from a whole one."""
        if not self._framing.ends_with_connection:
            return self._sent_bytes >= len(self.answer)
        head_bytes = self.answer.rindex(END_OF_HEAD) + len(END_OF_HEAD)
        return not self._reset and self._sent_bytes >= head_bytes

    @property
    def done(self) -> bool:
        """Whether every byte has been the last one."""
        return self._sent_bytes >= len(self.answer) > 0

    def restart(self) -> None:
        """Begin again with the first byte."""
        self._sent_bytes = -1

    async def __call__(self, received: ReceivedRequest, stream: ByteStream) -> None:
        self.ran.append(received.id)
        self.answer = self._framing.write(received)
        self._sent_bytes += 1
        if self._sent_bytes:
            await stream.send(self.answer[: self._sent_bytes])
        if self._reset:
            await stream.reset()  # type: ignore[attr-defined]
        await stream.aclose()


class BrokenAnswerTest(unittest.TestCase):
    async def check(self, site: Site, replica: CuttingReplica, *, first: int = 0) -> None:
        """Send requests until the replica has broken its answer off at every byte.

        :param first: with which of the paths to begin; the next request has the next one.
        """
        number = first
        while not replica.done:
            number += 1
            identity = f"q{number:04d}"
            path = PATHS[number % len(PATHS)]
            response = await site.request(path, body=b"q", headers={REQUEST_ID_HEADER: identity})
            self.assertEqual(replica.ran.count(identity), 1)
            if not replica.looks_whole:
                self.check_incomplete(response, path)
                self.assertNotIn(identity, getattr(site.ledger, "turns", ()))

    def check_incomplete(self, response: ReceivedResponse, path: str) -> None:
        if response.status == 200 and path in STREAM_PATHS:
            self.assertFalse(response.complete)
            self.assertIn(response.body, (events(1), events(1, 2)))
        else:
            self.assertEqual(response.status, 502)
            self.assertNotIn(b"word", response.body)

    # Guards against MIXED: an answer that a replica broke off, within its head or later, passed on
    # as a whole one.
    def test_an_answer_that_is_cut_at_any_byte_is_not_passed_on_as_whole(self) -> None:
        for first, framing in enumerate(FRAMINGS):
            for reset in (False, True):
                with self.subTest(framing.name, reset=reset):
                    replica = CuttingReplica(framing, reset=reset)
                    run_with_site(partial(self.check_direct, replica, first), *ROUTES)

    async def check_direct(self, replica: CuttingReplica, first: int, site: Site) -> None:
        await site.add_replica("a", replica)
        await self.check(site, replica, first=first)

    def test_an_answer_that_is_cut_on_its_way_through_another_gateway_is_not_whole(self) -> None:
        for framing in FRAMINGS[1:6:4]:
            with self.subTest(framing.name):
                replica = CuttingReplica(framing, reset=framing.ends_with_connection)
                run_with_fleet(partial(self.check_relayed, replica), *ROUTES)

    async def check_relayed(self, replica: CuttingReplica, fleet: Fleet) -> None:
        for _ in range(REPLICAS):
            await fleet.add_replica(lambda _: replica)
        stranded = await lose_paths(fleet)
        replica.restart()
        await self.check(stranded, replica)
        self.assertTrue(stranded.paths.is_lost)

    # Guards against ORDER: a stream that goes on at another replica, whose answer breaks off too.
    def test_an_answer_to_a_resumed_stream_that_is_cut_at_any_byte_is_not_whole(self) -> None:
        checks = (self.check_resumed_by_gateway, self.check_resumed_by_caller)
        for framing in FRAMINGS[1:6:2]:
            for check in checks:
                with self.subTest(framing.name, check=check.__name__):
                    replica = CuttingReplica(framing, reset=framing.ends_with_connection)
                    run_with_site(partial(check, replica), RESUMABLE)

    async def check_resumed_by_gateway(self, replica: CuttingReplica, site: Site) -> None:
        async def begin(received: ReceivedRequest, stream: ByteStream) -> None:
            site.directory.put_replica(site.entries["cutting"])
            await break_stream_after(0)(received, stream)

        await site.add_replica("cutting", replica)
        await site.add_replica("first", begin)
        while not replica.done:
            site.directory.remove_replica("cutting")
            ran = len(replica.ran)
            response = await site.request("/stream/x", body=b"q")
            self.assertEqual(len(replica.ran), ran + 1)
            if not replica.looks_whole:
                self.assertFalse(response.complete)
                self.assertIn(response.body, (events(0), events(0, 1), events(0, 1, 2)))

    async def check_resumed_by_caller(self, replica: CuttingReplica, site: Site) -> None:
        begun = Spending("stream/q0", "q0.1", 0, settled=False, software=Software("svc", "v1"))
        site.ledger.spendings.append(begun)
        await site.add_replica("cutting", replica)
        while not replica.done:
            headers = {REQUEST_ID_HEADER: "q1", "last-event-id": "0", "resumes": "q0"}
            response = await site.request("/stream/x", body=b"q", headers=headers)
            if not replica.looks_whole:
                self.assertIn(response.status, (200, 502))
                self.assertFalse(response.status == 200 and response.complete)

    # Guards against MIXED: a late copy of an answer on a connection in use again, whole or cut.
    def test_a_copy_of_the_answer_before_is_never_the_answer_however_it_is_cut(self) -> None:
        for framing in FRAMINGS[:2]:
            with self.subTest(framing.name):
                run_with_site(partial(self.check_copies, framing), *ROUTES)

    async def check_copies(self, framing: Framing, site: Site) -> None:
        former: list[bytes] = []

        async def script(received: ReceivedRequest, stream: ByteStream) -> None:
            if not former:
                former.append(framing.write(received))
                await stream.send(former[0])
                return
            await stream.send(former.pop()[:cut])
            await stream.aclose()

        replica = await site.add_replica("a", script)
        cut = whole_bytes = 1
        while cut <= whole_bytes:
            path = PATHS[cut % len(PATHS)]
            first = await site.request(path, body=b"q", headers={REQUEST_ID_HEADER: "q0001"})
            whole_bytes = len(former[0])
            self.assertEqual((first.status, first.complete), (200, True))
            second = await site.request(path, body=b"q", headers={REQUEST_ID_HEADER: "q0002"})
            self.assertEqual(second.status, 502)
            cut += 1
        self.assertLess(replica.connections, len(replica.received))

    # Guards against the other side: a sound stream that pauses for long between any two bytes.
    def test_a_stream_that_comes_byte_by_byte_is_whole(self) -> None:
        async def main(site: Site) -> None:
            async def script(received: ReceivedRequest, stream: ByteStream) -> None:
                for byte in INTERIM + in_chunks(received):
                    await anyio.sleep(PAUSE_S)
                    await stream.send(bytes([byte]))

            await site.add_replica("a", script)
            headers = {"bramleylead-deadline-ms": "60000"}
            response = await site.request("/stream/x", body=b"q", headers=headers)
            self.assertEqual((response.body, response.complete), (events(1, 2), True))

        run_with_site(main, route(CallKind.STREAM, timeout_s=60.0))

    def test_a_safe_request_whose_answer_is_cut_within_its_head_goes_on_elsewhere(self) -> None:
        async def main(site: Site) -> None:
            cutting = CuttingReplica(FRAMINGS[0], reset=False)
            await site.add_replica("a", cutting)
            await site.add_replica("b", respond_with(with_length))
            for number in range(60):
                await anyio.sleep(PUT_ASIDE_S)
                headers = {REQUEST_ID_HEADER: f"q{number:04d}"}
                response = await site.request("/safe/x", headers=headers)
                self.assertEqual((response.status, response.body), (200, events(1, 2)))
            self.assertGreater(len(cutting.ran), 20)

        run_with_site(main, route(CallKind.SAFE, max_attempts=2))
