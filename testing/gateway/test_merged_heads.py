"""Heads of responses that break off and are followed by another response, or by their body."""

from __future__ import annotations

import unittest
from functools import partial

from anyio.abc import ByteStream

from bramleylead.platform._types import CallKind
from testing.gateway._fleet import Fleet
from testing.gateway._fleet import run_with_fleet
from testing.gateway._site import REQUEST_ID_HEADER
from testing.gateway._site import ReceivedRequest
from testing.gateway._site import Site
from testing.gateway._site import chunk
from testing.gateway._site import full_response
from testing.gateway._site import response_head
from testing.gateway._site import route
from testing.gateway.test_plain_calls import run_with_site
from testing.gateway.test_relayed_requests import lose_paths
from testing.gateway.test_streams import events

PATHS = ("/safe/x", "/unsafe/x", "/stream/x", "/unsafe/y")
END_OF_HEAD = b"\r\n\r\n"
BODY = b"the answer"
FORMER = ("200 OK", "500 Failed", "503 Full", "204 No Content")
ROUTES = (
    route(CallKind.SAFE, max_attempts=1),
    route(CallKind.UNSAFE, max_attempts=2),
    route(CallKind.STREAM, max_attempts=2),
)


def former_response(received: ReceivedRequest, status: str, identity: str) -> bytes:
    """Return a response to a request of this id; a refusal if its status promises that."""
    extra = ["Bramleylead-Not-Run: 1"] if status.startswith("503") else []
    return full_response(received, b"former", status, *extra, request=identity)


class MergingReplica:
    """Writes a part of the head of another response before each response.

    The part grows by a byte with each request.

    :param own: whether that response bears the id of the request, as if it had been begun twice.
    """

    def __init__(self, former: str, status: str, *, own: bool) -> None:
        self._former = former
        self.status = status
        self._own = own
        self.cut = 0
        self.head_bytes = 1
        self.ran: list[str] = []

    async def __call__(self, received: ReceivedRequest, stream: ByteStream) -> None:
        self.ran.append(received.id)
        identity = received.id if self._own else "q0000"
        former = former_response(received, self._former, identity)
        self.head_bytes = former.index(END_OF_HEAD) + 2
        self.cut += 1
        answer = full_response(received, BODY, self.status)
        await stream.send(former[: self.cut] + answer)


class HeadlessReplica:
    """Leaves out the end of each head; the part that it writes grows by a byte with each request.

    :param framing: the last header, which tells where the body ends.
    :param body: as it is written.
    """

    def __init__(self, framing: str, body: bytes) -> None:
        self._framing = framing
        self._body = body
        self.cut = 0
        self.head_bytes = 1

    async def __call__(self, received: ReceivedRequest, stream: ByteStream) -> None:
        head = response_head(received, "200 OK", "Content-Type: text/event-stream", self._framing)
        self.head_bytes = head.index(END_OF_HEAD) + 2
        self.cut += 1
        await stream.send(head[: self.cut] + self._body)
        await stream.aclose()


class MergedHeadTest(unittest.TestCase):
    # Guards against MIXED, REFUSED and TWICE: the status of a response that broke off within its
    # head, with the headers and the body of the next one.
    def test_a_head_that_runs_on_into_another_one_is_no_response(self) -> None:
        for own in (False, True):
            for former in FORMER:
                for status in ("200 OK", "500 Failed"):
                    with self.subTest(former, own=own, status=status):
                        replica = MergingReplica(former, status, own=own)
                        run_with_site(partial(self.check_direct, replica), *ROUTES)

    async def check_direct(self, replica: MergingReplica, site: Site) -> None:
        await site.add_replica("a", replica)
        await site.add_replica("b", replica)
        await self.check(site, replica)

    def test_another_gateway_passes_on_no_head_that_runs_on_into_another_one(self) -> None:
        async def main(fleet: Fleet) -> None:
            replica = MergingReplica("503 Full", "200 OK", own=True)
            for _ in range(3):
                await fleet.add_replica(lambda _: replica)
            stranded = await lose_paths(fleet)
            replica.cut = 0
            await self.check(stranded, replica)

        run_with_fleet(main, *ROUTES)

    async def check(self, site: Site, replica: MergingReplica) -> None:
        """Send requests until every part of the former head has come before a response."""
        while replica.cut < replica.head_bytes:
            identity = f"q{replica.cut + 1:04d}"
            path = PATHS[replica.cut % len(PATHS)]
            response = await site.request(path, body=b"q", headers={REQUEST_ID_HEADER: identity})
            self.assertEqual(replica.ran.count(identity), 1)
            allowed = {502, int(replica.status[:3])}
            self.assertIn(response.status, allowed, (replica.cut, response))

    # Guards against MIXED: the first lines of a body, up to an empty one, taken for the rest of a
    # head, so that a short body without a length ended with its connection.
    def test_a_head_that_runs_on_into_its_body_is_no_response(self) -> None:
        for body in (events(1, 2, 3), b"\n\nthe rest", b"some text\n\nmore text\n\n"):
            for framing, written in (
                (f"Content-Length: {len(body)}", body),
                ("Transfer-Encoding: chunked", chunk(body) + chunk(b"")),
            ):
                with self.subTest(framing, body=body):
                    replica = HeadlessReplica(framing, written)
                    run_with_site(partial(self.check_headless, replica), *ROUTES)

    async def check_headless(self, replica: HeadlessReplica, site: Site) -> None:
        await site.add_replica("a", replica)
        while replica.cut < replica.head_bytes:
            identity = f"q{replica.cut + 1:04d}"
            path = PATHS[replica.cut % len(PATHS)]
            response = await site.request(path, body=b"q", headers={REQUEST_ID_HEADER: identity})
            self.assertEqual(response.status, 502, (replica.cut, response))
