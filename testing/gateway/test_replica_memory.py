"""Requests that fit into no replica's memory are refused without reaching one."""

from __future__ import annotations

import unittest

import anyio

from bramleylead.placement._fleet_table import FleetLoad
from bramleylead.platform._types import CallKind
from testing.gateway._site import Site
from testing.gateway._site import event_stream
from testing.gateway._site import respond_with
from testing.gateway._site import route
from testing.gateway.test_plain_calls import run_with_site

STREAM = route(CallKind.STREAM)
TURN = {
    "bramleylead-program-id": "p",
    "bramleylead-token-budget": "100000",
    "bramleylead-token-usage": "40000,60",
}
NEARLY_FULL = FleetLoad({"a": 1, "a\0t": 70_000}, ())
"""The replicas have 100,000 tokens of memory."""


class ReplicaMemoryTest(unittest.TestCase):
    def test_a_request_without_room_is_refused_at_once_and_not_run(self) -> None:
        async def main(site: Site) -> None:
            replica = await site.add_replica("a", respond_with(lambda q: event_stream(q, 1)))
            site.ledger.fleet_load = NEARLY_FULL
            started_at = anyio.current_time()
            response = await site.request("/stream/x", body=b"q", headers=TURN)
            self.assertEqual((response.status, replica.received), (503, []))
            self.assertLess(anyio.current_time() - started_at, 0.05)
            self.assertGreater(float(response.headers["retry-after"]), 0)
            self.assertIn(b"not run", response.body)
            self.assertEqual(site.ledger.spendings_of("p")["q1"].tokens, 0)

        run_with_site(main, STREAM)

    def test_a_program_in_progress_waits_a_while_for_room(self) -> None:
        async def main(site: Site) -> None:
            await site.add_replica("a", respond_with(lambda q: event_stream(q, 1)))
            first = await site.request("/stream/x", body=b"q", headers=TURN)
            site.ledger.fleet_load = NEARLY_FULL
            started_at = anyio.current_time()
            second = {**TURN, "bramleylead-request-id": "q2"}
            response = await site.request("/stream/x", body=b"q", headers=second)
            waited_s = anyio.current_time() - started_at
            self.assertEqual((first.status, response.status), (200, 503))
            self.assertTrue(0.2 <= waited_s < 0.3, waited_s)

        run_with_site(main, STREAM)

    def test_a_request_goes_to_the_replica_that_has_room(self) -> None:
        async def main(site: Site) -> None:
            full = await site.add_replica("a", respond_with(lambda q: event_stream(q, 1)))
            await site.add_replica("b", respond_with(lambda q: event_stream(q, 1)))
            site.ledger.fleet_load = NEARLY_FULL
            for number in range(4):
                headers = {**TURN, "bramleylead-request-id": f"q{number}"}
                response = await site.request("/stream/x", body=b"q", headers=headers)
                self.assertEqual(response.status, 200)
            self.assertEqual(full.received, [])

        run_with_site(main, STREAM)

    # Guards against memory that stays counted after a request has ended.
    def test_requests_that_ended_occupy_nothing(self) -> None:
        async def main(site: Site) -> None:
            await site.add_replica("a", respond_with(lambda q: event_stream(q, 1)))
            for number in range(6):
                headers = {**TURN, "bramleylead-request-id": f"q{number}"}
                response = await site.request("/stream/x", body=b"q", headers=headers)
                self.assertEqual(response.status, 200)
            self.assertEqual(site.selector.held.counters(), {})

        run_with_site(main, STREAM)
