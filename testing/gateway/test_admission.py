"""A gateway refuses programs that have not started while the replicas of all gateways are full."""

from __future__ import annotations

import unittest

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
    "bramleylead-token-budget": "1000",
    "bramleylead-token-usage": "50,60",
}
FULL = FleetLoad({"a": 9}, ())
"""The replica has four slots."""


class AdmissionTest(unittest.TestCase):
    def test_a_new_program_is_refused_at_once_without_reaching_a_replica(self) -> None:
        async def main(site: Site) -> None:
            replica = await site.add_replica("a", respond_with(lambda q: event_stream(q, 1)))
            site.ledger.fleet_load = FULL
            response = await site.request("/stream/x", body=b"q", headers=TURN)
            self.assertEqual((response.status, replica.received), (503, []))
            self.assertGreater(float(response.headers["retry-after"]), 0)
            self.assertIn(b"not run", response.body)

        run_with_site(main, STREAM)

    def test_a_refused_turn_spends_nothing(self) -> None:
        async def main(site: Site) -> None:
            await site.add_replica("a", respond_with(lambda q: event_stream(q, 1)))
            site.ledger.fleet_load = FULL
            await site.request("/stream/x", body=b"q", headers=TURN)
            spending = site.ledger.spendings_of("p")["q1"]
            self.assertEqual((spending.tokens, spending.settled), (0, True))

        run_with_site(main, STREAM)

    def test_a_program_under_way_goes_on_at_the_same_load(self) -> None:
        async def main(site: Site) -> None:
            await site.add_replica("a", respond_with(lambda q: event_stream(q, 1)))
            self.assertEqual((await site.request("/stream/x", body=b"q", headers=TURN)).status, 200)
            site.ledger.fleet_load = FULL
            second = {**TURN, "bramleylead-request-id": "q2"}
            response = await site.request("/stream/x", body=b"q", headers=second)
            self.assertEqual(response.status, 200)

        run_with_site(main, STREAM)

    def test_a_program_that_continues_a_stored_turn_is_under_way(self) -> None:
        # After a loss of power, callers go on from what was said before, in new programs.
        async def main(site: Site) -> None:
            await site.add_replica("a", respond_with(lambda q: event_stream(q, 1)))
            first = await site.request("/stream/x", body=b"q", headers=TURN)
            site.ledger.fleet_load = FULL
            later = {
                **TURN,
                "bramleylead-request-id": "q2",
                "bramleylead-program-id": "p2",
                "bramleylead-previous-turn": "q1",
            }
            response = await site.request("/stream/x", body=b"q", headers=later)
            self.assertEqual((first.status, response.status), (200, 200))

        run_with_site(main, STREAM._replace(retains_turns=True))

    def test_a_program_refused_several_times_is_admitted(self) -> None:
        async def main(site: Site) -> None:
            await site.add_replica("a", respond_with(lambda q: event_stream(q, 1)))
            site.ledger.fleet_load = FleetLoad({"a": 5}, ())
            statuses = []
            for number in range(4):
                headers = {**TURN, "bramleylead-request-id": f"q{number}"}
                statuses.append(
                    (await site.request("/stream/x", body=b"q", headers=headers)).status
                )
            self.assertEqual(statuses, [503, 503, 200, 200])

        run_with_site(main, STREAM)
