"""Requests whose head says two things, or takes away what a replica must be told."""

from __future__ import annotations

import unittest

import anyio

from bramleylead.connection._tcp import split_address
from bramleylead.http._exchange import Exchange
from bramleylead.http._server import HttpServer
from bramleylead.platform._types import CallKind
from testing.gateway._site import Site
from testing.gateway._site import full_response
from testing.gateway._site import respond_with
from testing.gateway._site import route
from testing.gateway.test_plain_calls import run_with_site

SAFE = route(CallKind.SAFE)
HIDDEN = b"0\r\n\r\nPOST /hidden HTTP/1.1\r\nhost: a\r\ncontent-length: 0\r\n\r\n"
TWO_LENGTHS = (
    b"POST /seen HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n"
    b"content-length: %d\r\n\r\n%s" % (len(HIDDEN), HIDDEN)
)


class AmbiguousRequestTest(unittest.TestCase):
    # Guards against requests smuggled inside the body of another one.
    def test_nothing_after_a_request_with_two_lengths_is_taken_for_a_request(self) -> None:
        paths = []

        async def app(scope, receive, send) -> None:
            exchange = Exchange(scope, receive, send)
            paths.append(exchange.path)
            await exchange.read_body(max_bytes=1_000, timeout_s=5.0)
            await exchange.respond(200, b"", [])

        async def main() -> None:
            server = HttpServer(app)
            async with anyio.create_task_group() as tasks:
                address = await tasks.start(server.serve, "127.0.0.1:0")
                async with await anyio.connect_tcp(*split_address(address)) as stream:
                    await stream.send(TWO_LENGTHS)
                    with self.assertRaises(anyio.EndOfStream), anyio.fail_after(5.0):
                        while True:
                            await stream.receive()
                server.kill()

        anyio.run(main)
        self.assertEqual(paths, ["/seen"])

    # Guards against requests that run at a replica without the id that their caller sent.
    def test_what_a_replica_must_be_told_is_neither_ambiguous_nor_taken_away(self) -> None:
        ambiguous = (
            {"transfer-encoding": "chunked", "content-length": "0"},
            {"connection": "close, Bramleylead-Request-Id"},
            {"connection": "bramleylead-token-budget"},
        )

        async def main(site: Site) -> None:
            await site.add_replica("a", respond_with(lambda got: full_response(got, b"done")))
            for headers in ambiguous:
                refused = await site.request("/safe/a", headers=headers)
                self.assertEqual(refused.status, 400, headers)
                self.assertEqual(refused.headers.get("connection"), "close")
                self.assertEqual(refused.headers["bramleylead-request-id"], "q1")
            self.assertEqual(site.replicas["a"].received, [])

        run_with_site(main, SAFE)

    # Guards against a replica that goes by another one of two values than its gateway.
    def test_a_header_of_the_platform_that_is_given_twice_is_refused(self) -> None:
        async def main(site: Site) -> None:
            await site.add_replica("a", respond_with(lambda got: full_response(got, b"done")))
            for name in ("Bramleylead-Request-Id", "bramleylead-token-Budget"):
                refused = await site.request("/safe/a", headers={name: "7", name.lower(): "8"})
                self.assertEqual(refused.status, 400, name)
            served = await site.request("/safe/a", headers={"Cookie": "a", "cookie": "b"})
            self.assertEqual(served.status, 200)
            self.assertEqual(len(site.replicas["a"].received), 1)

        run_with_site(main, SAFE)
