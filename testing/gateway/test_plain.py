"""Requests to plain services: at most once where that matters, and only whole answers."""

from __future__ import annotations

import unittest
from collections.abc import Awaitable
from collections.abc import Callable

import anyio
from anyio.abc import ByteStream

from bramleylead.gateway._types import CallKind
from bramleylead.gateway._types import Route
from bramleylead.standins import run_virtual
from testing.gateway._site import Asked
from testing.gateway._site import Site
from testing.gateway._site import head
from testing.gateway._site import route
from testing.gateway._site import says
from testing.gateway._site import site_with
from testing.gateway._site import whole

SAFE = route(CallKind.SAFE)
UNSAFE = route(CallKind.UNSAFE)


def play(main: Callable[[Site], Awaitable[None]], *routes: Route) -> None:
    async def run() -> None:
        async with site_with(*(routes or (SAFE, UNSAFE))) as site:
            await main(site)

    run_virtual(run, seed=1)


def good(asked: Asked) -> bytes:
    return whole(asked, b"body of " + asked.id.encode())


def full(asked: Asked) -> bytes:
    return whole(asked, b"", "503 Service Unavailable", "Bramleylead-Not-Run: 1")


def failing(asked: Asked) -> bytes:
    return whole(asked, b"no", "500 Oops")


async def hang(asked: Asked, stream: ByteStream) -> None:
    await anyio.sleep_forever()


class PlainTest(unittest.TestCase):
    def test_an_answer_comes_back_as_it_was_sent(self) -> None:
        async def main(site: Site) -> None:
            replica = await site.add_replica("a", says(good))
            got = await site.ask("/unsafe/x", body=b"order")
            self.assertEqual((got.status, got.body, got.complete), (200, b"body of q1", True))
            self.assertEqual(got.headers["bramleylead-server-stamp"], "stamp-q1")
            asked = replica.asked[0]
            self.assertEqual((asked.target, asked.body), ("/unsafe/x", b"order"))
            self.assertEqual(asked.headers["bramleylead-expect-instance"], "a")
            self.assertLessEqual(int(asked.headers["bramleylead-deadline-ms"]), 2000)

        play(main)

    def test_headers_that_only_the_gateway_sets_are_dropped(self) -> None:
        async def main(site: Site) -> None:
            replica = await site.add_replica("a", says(good))
            forged = {"bramleylead-hold": "h", "kv-from": "x", "connection": "x-own", "x-own": "1"}
            await site.ask("/safe/x", headers={**forged, "x-kept": "2"})
            headers = replica.asked[0].headers
            self.assertFalse(forged.keys() & headers.keys())
            self.assertEqual(headers["x-kept"], "2")

        play(main)

    def test_a_refused_request_goes_to_another_replica(self) -> None:
        async def main(site: Site) -> None:
            await site.add_replica("a", says(full))
            await site.add_replica("b", says(good))
            for number in range(4):
                got = await site.ask("/unsafe/x", body=b"o", headers={"x": str(number)})
                self.assertEqual(got.status, 200)

        play(main)

    def test_a_request_is_offered_to_no_more_replicas_than_its_route_says(self) -> None:
        async def main(site: Site) -> None:
            replicas = [await site.add_replica(name, says(full)) for name in "abcd"]
            got = await site.ask("/unsafe/x", body=b"o")
            self.assertEqual(got.status, 503)
            self.assertGreater(float(got.headers["retry-after"]), 0)
            self.assertEqual(sum(len(replica.asked) for replica in replicas), UNSAFE.attempts)

        play(main)

    def test_an_unsafe_request_that_may_have_run_is_never_sent_again(self) -> None:
        for name, script in {
            "closed": says(lambda asked: b"", then_close=True),
            "cut": says(
                lambda asked: head(asked, "200 OK", "Content-Length: 9") + b"x", then_close=True
            ),
            "garbage": says(lambda asked: b"\x00\x01 no answer\r\n\r\n"),
            "unsigned": says(lambda asked: b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"),
            "encoded": says(lambda asked: whole(asked, b"x", "200 OK", "Content-Encoding: gzip")),
        }.items():
            with self.subTest(name):

                async def main(site: Site, script=script) -> None:
                    replicas = [await site.add_replica(name, script) for name in "ab"]
                    got = await site.ask("/unsafe/x", body=b"o")
                    self.assertEqual((got.status, got.complete), (502, True))
                    self.assertEqual(sum(len(replica.asked) for replica in replicas), 1)

                play(main)

    def test_a_safe_request_is_sent_again(self) -> None:
        async def main(site: Site) -> None:
            await site.add_replica("a", says(lambda asked: b"", then_close=True))
            await site.add_replica("b", says(good))
            for _ in range(3):
                self.assertEqual((await site.ask("/safe/x")).status, 200)

        play(main)

    def test_a_request_without_an_answer_ends_at_the_time_of_its_route(self) -> None:
        async def main(site: Site) -> None:
            await site.add_replica("a", hang)
            started = anyio.current_time()
            got = await site.ask("/unsafe/x", body=b"o")
            self.assertEqual(got.status, 504)
            self.assertAlmostEqual(anyio.current_time() - started, UNSAFE.timeout_s, delta=0.1)

        play(main)

    def test_a_late_answer_to_another_request_is_dropped(self) -> None:
        async def main(site: Site) -> None:
            script = says(lambda asked: whole(asked, b"stray", request="q0") + good(asked))
            await site.add_replica("a", script)
            got = await site.ask("/unsafe/x", body=b"o")
            self.assertEqual((got.status, got.body), (200, b"body of q1"))

        play(main)

    def test_bytes_after_an_answer_reach_nobody(self) -> None:
        async def main(site: Site) -> None:
            script = says(lambda asked: good(asked) + whole(asked, b"stray", request="q9"))
            replica = await site.add_replica("a", script)
            for name in ("q1", "q2"):
                got = await site.ask(
                    "/unsafe/x", body=b"o", headers={"bramleylead-request-id": name}
                )
                self.assertEqual(got.body, b"body of " + name.encode())
            self.assertEqual(replica.connections, 2)

        play(main)

    def test_an_answer_without_a_length_ends_with_its_connection(self) -> None:
        async def main(site: Site) -> None:
            await site.add_replica("a", says(lambda asked: head(asked) + b"all", then_close=True))
            got = await site.ask("/unsafe/x", body=b"o")
            self.assertEqual((got.status, got.body, got.complete), (200, b"all", True))

        play(main)

    def test_a_connection_in_order_is_used_again(self) -> None:
        async def main(site: Site) -> None:
            replica = await site.add_replica("a", says(good))
            for _ in range(3):
                await site.ask("/safe/x")
            self.assertEqual(replica.connections, 1)

        play(main)

    def test_the_replica_s_own_failure_comes_back_with_its_signature(self) -> None:
        async def main(site: Site) -> None:
            await site.add_replica("a", says(lambda asked: whole(asked, b"no", "500 Oops")))
            got = await site.ask("/unsafe/x", body=b"o")
            self.assertEqual((got.status, got.body), (500, b"no"))
            self.assertIn("bramleylead-server-stamp", got.headers)

        play(main)

    def test_a_safe_request_that_a_replica_failed_goes_to_another(self) -> None:
        async def main(site: Site) -> None:
            await site.add_replica("a", says(failing))
            await site.add_replica("b", says(good))
            for _ in range(3):
                self.assertEqual((await site.ask("/safe/x")).status, 200)

        play(main)

    def test_where_all_replicas_fail_their_own_failure_comes_back(self) -> None:
        async def main(site: Site) -> None:
            for name in "ab":
                await site.add_replica(name, says(failing))
            got = await site.ask("/safe/x")
            self.assertEqual((got.status, got.body), (500, b"no"))

        play(main)

    def test_a_replica_that_fails_some_unsafe_requests_is_sent_few(self) -> None:
        async def main(site: Site) -> None:
            grey = await site.add_replica("a", says(failing))
            sound = await site.add_replica("b", says(good))
            for number in range(30):
                await site.ask("/unsafe/x", body=b"o", headers={"x": str(number)})
                await anyio.sleep(0.1)
            self.assertLess(len(grey.asked), 5)
            self.assertGreater(len(sound.asked), 25)

        play(main)

    def test_a_replica_that_never_answers_is_left(self) -> None:
        async def main(site: Site) -> None:
            await site.add_replica("a", hang)
            await site.add_replica("b", says(good))
            first = {(await site.ask("/unsafe/x", body=b"o")).status for _ in range(2)}
            self.assertEqual(first, {504, 200})
            self.assertEqual((await site.ask("/unsafe/x", body=b"o")).status, 200)

        play(main)

    def test_a_replica_stops_work_once_the_caller_is_gone(self) -> None:
        async def main(site: Site) -> None:
            replica = await site.add_replica("a", hang)
            await site.ask("/unsafe/x", body=b"o", leave_after_s=0.2)
            await anyio.sleep(0.1)
            self.assertEqual(site.loads.own("a"), 0)
            self.assertEqual(len(replica.asked), 1)

        play(main)

    def test_what_no_route_fits_is_refused_only_once_a_configuration_is_known(self) -> None:
        async def main(site: Site) -> None:
            self.assertEqual((await site.ask("/other/x")).status, 404)
            site.directory._configuration = None
            self.assertEqual((await site.ask("/other/x")).status, 503)

        play(main)

    def test_without_a_replica_a_request_did_not_run(self) -> None:
        async def main(site: Site) -> None:
            got = await site.ask("/unsafe/x", body=b"o")
            self.assertEqual(got.status, 503)
            self.assertIn("retry-after", got.headers)

        play(main)
