"""Numbers and texts of callers that no message between nodes can carry."""

from __future__ import annotations

import unittest

from bramleylead.platform._types import CallKind
from testing.gateway._fleet import CrashableReplica
from testing.gateway._fleet import Fleet
from testing.gateway._fleet import run_with_fleet
from testing.gateway._site import Site
from testing.gateway._site import event_stream
from testing.gateway._site import full_response
from testing.gateway._site import respond_with
from testing.gateway._site import route
from testing.gateway.test_plain_calls import run_with_site

STREAM = route(CallKind.STREAM)
SAFE = route(CallKind.SAFE)
TOO_LARGE = str(2**64)
BUDGET = {
    "bramleylead-program-id": "p",
    "bramleylead-token-budget": "1000",
    "bramleylead-token-usage": "10,20",
}
INVALID = (
    {"bramleylead-token-usage": f"10,{TOO_LARGE}"},
    {"bramleylead-token-usage": f"{'9' * 5000},10"},
    {"bramleylead-token-budget": TOO_LARGE},
    {"bramleylead-token-budget": "inf"},
    {"bramleylead-token-budget": "nan"},
    {"bramleylead-deadline-ms": "1e400"},
    {"bramleylead-prompt-prefix": f"5c:{TOO_LARGE}"},
)


def answer_streams(replica: CrashableReplica):
    return respond_with(lambda received: event_stream(received, 1, 2))


class InvalidNumberTest(unittest.TestCase):
    # Guards against a caller that ends gateways: a number over 64 bits raised OverflowError in the
    # background task that sends the reservation to the ledger.
    def test_a_number_over_64_bits_is_refused_and_others_are_served(self) -> None:
        async def main(fleet: Fleet) -> None:
            await fleet.add_replica(answer_streams)
            gateway = fleet.gateways[0]
            for number, headers in enumerate(INVALID):
                request = {"bramleylead-request-id": f"bad-{number}"}
                refused = await gateway.request(
                    "/stream/a", body=b"x", headers={**BUDGET, **headers, **request}
                )
                self.assertEqual(refused.status, 400, headers)
                self.assertEqual(refused.headers["bramleylead-request-id"], f"bad-{number}")
                (name,) = headers
                self.assertIn(name.encode(), refused.body.lower())
            served = await gateway.request(
                "/stream/a", body=b"x", headers={**BUDGET, "bramleylead-request-id": "good"}
            )
            self.assertEqual(served.status, 200)
            received = [each.id for replica in fleet.replicas for each in replica.process.received]
            self.assertEqual(received, ["good"])

        run_with_fleet(main, STREAM)

    def test_a_header_that_is_not_ascii_is_forwarded_unchanged(self) -> None:
        async def main(site: Site) -> None:
            script = respond_with(lambda received: full_response(received, b"done"))
            await site.add_replica("a", script)
            answered = await site.request("/safe/a", headers={"x-school": "P\u00e4rnu"})
            self.assertEqual(answered.status, 200)
            (received,) = site.replicas["a"].received
            self.assertEqual(received.headers["x-school"], "P\u00e4rnu")

        run_with_site(main, SAFE)
