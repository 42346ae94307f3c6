"""Requests to plain services: unsafe ones run at most once, and only complete responses count."""

from __future__ import annotations

import unittest
from collections.abc import Awaitable
from collections.abc import Callable

import anyio
from anyio.abc import ByteStream

from bramleylead.platform._types import CallKind
from bramleylead.platform._types import Route
from bramleylead.standins import run_virtual
from testing.gateway._site import ReceivedRequest
from testing.gateway._site import Site
from testing.gateway._site import full_response
from testing.gateway._site import respond_with
from testing.gateway._site import response_head
from testing.gateway._site import route
from testing.gateway._site import site_with

SAFE = route(CallKind.SAFE)
UNSAFE = route(CallKind.UNSAFE)


def run_with_site(main: Callable[[Site], Awaitable[None]], *routes: Route) -> None:
    async def run() -> None:
        async with site_with(*(routes or (SAFE, UNSAFE))) as site:
            await main(site)

    run_virtual(run, seed=1)


def ok_response(received: ReceivedRequest) -> bytes:
    return full_response(received, b"body of " + received.id.encode())


def refused_response(received: ReceivedRequest) -> bytes:
    return full_response(received, b"", "503 Service Unavailable", "Bramleylead-Not-Run: 1")


def error_response(received: ReceivedRequest) -> bytes:
    return full_response(received, b"no", "500 Oops")


async def never_respond(received: ReceivedRequest, stream: ByteStream) -> None:
    await anyio.sleep_forever()


class PlainCallsTest(unittest.TestCase):
    def test_a_response_is_returned_unchanged(self) -> None:
        async def main(site: Site) -> None:
            replica = await site.add_replica("a", respond_with(ok_response))
            response = await site.request("/unsafe/x", body=b"order")
            self.assertEqual(
                (response.status, response.body, response.complete), (200, b"body of q1", True)
            )
            self.assertEqual(response.headers["bramleylead-server-stamp"], "stamp-q1")
            received = replica.received[0]
            self.assertEqual((received.target, received.body), ("/unsafe/x", b"order"))
            self.assertEqual(received.headers["bramleylead-expect-instance"], "a")
            self.assertLessEqual(int(received.headers["bramleylead-deadline-ms"]), 2000)

        run_with_site(main)

    def test_headers_reserved_for_the_gateway_are_dropped(self) -> None:
        async def main(site: Site) -> None:
            replica = await site.add_replica("a", respond_with(ok_response))
            forged = {"bramleylead-hold": "h", "kv-from": "x", "connection": "x-own", "x-own": "1"}
            await site.request("/safe/x", headers={**forged, "x-kept": "2"})
            headers = replica.received[0].headers
            self.assertFalse(forged.keys() & headers.keys())
            self.assertEqual(headers["x-kept"], "2")

        run_with_site(main)

    def test_a_refused_request_goes_to_another_replica(self) -> None:
        async def main(site: Site) -> None:
            await site.add_replica("a", respond_with(refused_response))
            await site.add_replica("b", respond_with(ok_response))
            for number in range(4):
                response = await site.request("/unsafe/x", body=b"o", headers={"x": str(number)})
                self.assertEqual(response.status, 200)

        run_with_site(main)

    def test_a_request_is_sent_to_at_most_the_route_s_number_of_replicas(self) -> None:
        async def main(site: Site) -> None:
            replicas = [
                await site.add_replica(name, respond_with(refused_response)) for name in "abcd"
            ]
            response = await site.request("/unsafe/x", body=b"o")
            self.assertEqual(response.status, 503)
            self.assertGreater(float(response.headers["retry-after"]), 0)
            self.assertEqual(
                sum(len(replica.received) for replica in replicas), UNSAFE.max_attempts
            )

        run_with_site(main)

    def test_an_unsafe_request_that_may_have_run_is_never_sent_again(self) -> None:
        for name, script in {
            "closed": respond_with(lambda received: b"", then_close=True),
            "cut": respond_with(
                lambda received: response_head(received, "200 OK", "Content-Length: 9") + b"x",
                then_close=True,
            ),
            "garbage": respond_with(lambda received: b"\x00\x01 no answer\r\n\r\n"),
            "unsigned": respond_with(
                lambda received: b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
            ),
            "encoded": respond_with(
                lambda received: full_response(received, b"x", "200 OK", "Content-Encoding: gzip")
            ),
        }.items():
            with self.subTest(name):

                async def main(site: Site, script=script) -> None:
                    replicas = [await site.add_replica(name, script) for name in "ab"]
                    response = await site.request("/unsafe/x", body=b"o")
                    self.assertEqual((response.status, response.complete), (502, True))
                    self.assertEqual(sum(len(replica.received) for replica in replicas), 1)

                run_with_site(main)

    def test_a_safe_request_is_retried(self) -> None:
        async def main(site: Site) -> None:
            await site.add_replica("a", respond_with(lambda received: b"", then_close=True))
            await site.add_replica("b", respond_with(ok_response))
            for _ in range(3):
                self.assertEqual((await site.request("/safe/x")).status, 200)

        run_with_site(main)

    def test_a_request_without_a_response_ends_at_the_route_s_timeout(self) -> None:
        async def main(site: Site) -> None:
            await site.add_replica("a", never_respond)
            started = anyio.current_time()
            response = await site.request("/unsafe/x", body=b"o")
            self.assertEqual(response.status, 504)
            self.assertAlmostEqual(anyio.current_time() - started, UNSAFE.timeout_s, delta=0.1)

        run_with_site(main)

    def test_a_late_response_to_another_request_is_dropped(self) -> None:
        async def main(site: Site) -> None:
            script = respond_with(
                lambda received: (
                    full_response(received, b"stray", request="q0") + ok_response(received)
                )
            )
            await site.add_replica("a", script)
            response = await site.request("/unsafe/x", body=b"o")
            self.assertEqual((response.status, response.body), (200, b"body of q1"))

        run_with_site(main)

    def test_bytes_after_a_response_are_discarded(self) -> None:
        async def main(site: Site) -> None:
            script = respond_with(
                lambda received: (
                    ok_response(received) + full_response(received, b"stray", request="q9")
                )
            )
            replica = await site.add_replica("a", script)
            for name in ("q1", "q2"):
                response = await site.request(
                    "/unsafe/x", body=b"o", headers={"bramleylead-request-id": name}
                )
                self.assertEqual(response.body, b"body of " + name.encode())
            self.assertEqual(replica.connections, 2)

        run_with_site(main)

    def test_a_response_without_a_length_ends_with_its_connection(self) -> None:
        async def main(site: Site) -> None:
            await site.add_replica(
                "a",
                respond_with(lambda received: response_head(received) + b"all", then_close=True),
            )
            response = await site.request("/unsafe/x", body=b"o")
            self.assertEqual(
                (response.status, response.body, response.complete), (200, b"all", True)
            )

        run_with_site(main)

    def test_a_reusable_connection_is_reused(self) -> None:
        async def main(site: Site) -> None:
            replica = await site.add_replica("a", respond_with(ok_response))
            for _ in range(3):
                await site.request("/safe/x")
            self.assertEqual(replica.connections, 1)

        run_with_site(main)

    def test_a_replica_s_error_response_is_returned_with_its_signature(self) -> None:
        async def main(site: Site) -> None:
            await site.add_replica(
                "a", respond_with(lambda received: full_response(received, b"no", "500 Oops"))
            )
            response = await site.request("/unsafe/x", body=b"o")
            self.assertEqual((response.status, response.body), (500, b"no"))
            self.assertIn("bramleylead-server-stamp", response.headers)

        run_with_site(main)

    def test_a_safe_request_is_retried_after_an_error_response(self) -> None:
        async def main(site: Site) -> None:
            await site.add_replica("a", respond_with(error_response))
            await site.add_replica("b", respond_with(ok_response))
            for _ in range(3):
                self.assertEqual((await site.request("/safe/x")).status, 200)

        run_with_site(main)

    def test_if_all_replicas_fail_an_error_response_is_returned(self) -> None:
        async def main(site: Site) -> None:
            for name in "ab":
                await site.add_replica(name, respond_with(error_response))
            response = await site.request("/safe/x")
            self.assertEqual((response.status, response.body), (500, b"no"))

        run_with_site(main)

    def test_a_replica_that_fails_unsafe_requests_is_sent_few(self) -> None:
        async def main(site: Site) -> None:
            failing = await site.add_replica("a", respond_with(error_response))
            healthy = await site.add_replica("b", respond_with(ok_response))
            for number in range(30):
                await site.request("/unsafe/x", body=b"o", headers={"x": str(number)})
                await anyio.sleep(0.1)
            self.assertLess(len(failing.received), 5)
            self.assertGreater(len(healthy.received), 25)

        run_with_site(main)

    def test_a_replica_that_never_responds_is_avoided(self) -> None:
        async def main(site: Site) -> None:
            await site.add_replica("a", never_respond)
            await site.add_replica("b", respond_with(ok_response))
            statuses = {(await site.request("/unsafe/x", body=b"o")).status for _ in range(2)}
            self.assertEqual(statuses, {504, 200})
            self.assertEqual((await site.request("/unsafe/x", body=b"o")).status, 200)

        run_with_site(main)

    def test_a_request_ends_once_the_caller_disconnects(self) -> None:
        async def main(site: Site) -> None:
            replica = await site.add_replica("a", never_respond)
            await site.request("/unsafe/x", body=b"o", disconnect_after_s=0.2)
            await anyio.sleep(0.1)
            self.assertEqual(site.selector.own_requests("a"), 0)
            self.assertEqual(len(replica.received), 1)

        run_with_site(main)

    def test_an_unknown_route_is_refused_only_once_a_configuration_is_known(self) -> None:
        async def main(site: Site) -> None:
            self.assertEqual((await site.request("/other/x")).status, 404)
            site.directory._configuration = None
            self.assertEqual((await site.request("/other/x")).status, 503)

        run_with_site(main)

    def test_without_a_replica_a_request_is_refused_as_not_run(self) -> None:
        async def main(site: Site) -> None:
            response = await site.request("/unsafe/x", body=b"o")
            self.assertEqual(response.status, 503)
            self.assertIn("retry-after", response.headers)

        run_with_site(main)
