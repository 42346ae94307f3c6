"""A stream goes on only at a replica whose software is of the version that began it."""

from __future__ import annotations

import unittest

import anyio
from anyio.abc import ByteStream

from bramleylead.platform._types import CallKind
from testing.gateway._fleet import Fleet
from testing.gateway._fleet import run_with_fleet
from testing.gateway._site import FakeReplica
from testing.gateway._site import ReceivedRequest
from testing.gateway._site import ReceivedResponse
from testing.gateway._site import Site
from testing.gateway._site import respond_with
from testing.gateway._site import route
from testing.gateway.test_plain_calls import refused_response
from testing.gateway.test_plain_calls import run_with_site
from testing.gateway.test_streams import break_stream_after
from testing.gateway.test_streams import events
from testing.gateway.test_streams import resume_stream

RESUMABLE = route(CallKind.STREAM, resumable=True, max_attempts=3)
NUMBERS = (1, 2, 3, 4)
SETTLED_S = 0.2


def program_headers(request_id: str, **others: str) -> dict[str, str]:
    return {
        "bramleylead-request-id": request_id,
        "bramleylead-program-id": "p",
        "bramleylead-token-budget": "10000",
        "bramleylead-token-usage": "50,60",
        **others,
    }


async def add_replicas(site: Site, version: str, count: int) -> list[FakeReplica]:
    """Add replicas that answer, and resume streams."""
    return [
        await site.add_replica(f"{version}-{number}", resume_stream(*NUMBERS), version=version)
        for number in range(count)
    ]


async def resume(site: Site, request_id: str, begun_by: str) -> ReceivedResponse:
    """Resume a stream of which two events have arrived."""
    headers = program_headers(request_id, **{"last-event-id": "2", "resumes": begun_by})
    return await site.request("/stream/x", body=b"q", headers=headers)


class SoftwareVersionTest(unittest.TestCase):
    def test_a_broken_stream_goes_on_at_the_version_that_began_it(self) -> None:
        async def main(site: Site) -> None:
            async def begin(received: ReceivedRequest, stream: ByteStream) -> None:
                await add_replicas(site, "v2", 4)
                await add_replicas(site, "v1", 1)
                await break_stream_after(1, 2)(received, stream)

            await site.add_replica("first", begin, version="v1")
            response = await site.request("/stream/x", body=b"q", headers=program_headers("q1"))
            self.assertEqual((response.body, response.complete), (events(*NUMBERS), True))
            (resumed,) = site.replicas["v1-0"].received
            self.assertEqual(resumed.headers["last-event-id"], "2")

        run_with_site(main, RESUMABLE)

    def test_a_broken_stream_ends_if_no_replica_of_its_version_is_left(self) -> None:
        async def main(site: Site) -> None:
            await site.add_replica("first", break_stream_after(1, 2), version="v1")
            others = await add_replicas(site, "v2", 4)
            response = await site.request("/stream/x", body=b"q", headers=program_headers("q1"))
            self.assertEqual((response.body, response.complete), (events(1, 2), False))
            self.assertFalse(any(replica.received for replica in others))

        run_with_site(main, RESUMABLE)

    def test_a_client_resumes_a_stream_at_the_version_that_began_it(self) -> None:
        async def main(site: Site) -> None:
            await site.add_replica("first", break_stream_after(1, 2), version="v1")
            await site.request("/stream/x", body=b"q", headers=program_headers("q1"))
            site.directory.remove_replica("first")
            others = await add_replicas(site, "v2", 4)
            (last,) = await add_replicas(site, "v1", 1)
            for number in range(6):
                response = await resume(site, f"q1.{number}", "q1")
                self.assertEqual((response.body, response.complete), (events(3, 4), True))
            self.assertEqual(len(last.received), 6)
            self.assertFalse(any(replica.received for replica in others))

        run_with_site(main, RESUMABLE)

    def test_the_version_that_brought_the_first_event_counts(self) -> None:
        # The first replica that was tried is of another version and refused.
        async def main(site: Site) -> None:
            await site.add_replica("full", respond_with(refused_response), version="v1")
            await site.add_replica("first", break_stream_after(1, 2), version="v2")
            await site.request("/stream/x", body=b"q", headers=program_headers("q1"))
            await anyio.sleep(SETTLED_S)
            site.directory.remove_replica("full")
            site.directory.remove_replica("first")
            others = await add_replicas(site, "v1", 4)
            await add_replicas(site, "v2", 1)
            response = await resume(site, "q2", "q1")
            self.assertEqual((response.body, response.complete), (events(3, 4), True))
            self.assertFalse(any(replica.received for replica in others))

        run_with_site(main, RESUMABLE)

    def test_the_version_is_recorded_even_if_no_replica_could_be_chosen_at_first(self) -> None:
        # The limits of all replicas allow no request while the turn is being reserved.
        async def main(site: Site) -> None:
            await site.add_replica("first", break_stream_after(1, 2), version="v1")
            site.limits.record_limit("first", 5.0)
            while site.limits.take("first"):
                pass
            headers = program_headers("q1")
            begun = await site.request("/stream/x", body=b"q", headers=headers)
            self.assertEqual(begun.body, events(1, 2))
            site.directory.remove_replica("first")
            others = await add_replicas(site, "v2", 4)
            await add_replicas(site, "v1", 1)
            response = await resume(site, "q2", "q1")
            self.assertEqual((response.body, response.complete), (events(3, 4), True))
            self.assertFalse(any(replica.received for replica in others))

        run_with_site(main, RESUMABLE)

    def test_a_stream_whose_version_is_gone_or_unknown_is_refused_at_once(self) -> None:
        async def main(site: Site) -> None:
            await site.add_replica("first", break_stream_after(1, 2), version="v1")
            await site.request("/stream/x", body=b"q", headers=program_headers("q1"))
            site.directory.remove_replica("first")
            others = await add_replicas(site, "v2", 2)
            for number, begun_by in enumerate(("q1", "never seen", "")):
                started_at = anyio.current_time()
                response = await resume(site, f"q2.{number}", begun_by)
                self.assertEqual(response.status, 503)
                self.assertIn(b'"not run"', response.body)
                self.assertLess(anyio.current_time() - started_at, 0.1)
            self.assertFalse(any(replica.received for replica in others))

        run_with_site(main, RESUMABLE)

    def test_a_stream_without_a_budget_goes_on_at_its_version_too(self) -> None:
        async def main(site: Site) -> None:
            await site.add_replica("first", break_stream_after(1, 2), version="v1")
            await site.request("/stream/x", body=b"q", headers={"bramleylead-request-id": "q1"})
            site.directory.remove_replica("first")
            others = await add_replicas(site, "v2", 4)
            await add_replicas(site, "v1", 1)
            headers = {"bramleylead-request-id": "q2", "last-event-id": "2", "resumes": "q1"}
            response = await site.request("/stream/x", body=b"q", headers=headers)
            self.assertEqual((response.body, response.complete), (events(3, 4), True))
            self.assertFalse(any(replica.received for replica in others))

        run_with_site(main, RESUMABLE)

    def test_a_replica_that_changed_its_version_under_way_is_not_relayed(self) -> None:
        async def main(site: Site) -> None:
            async def change_version(received: ReceivedRequest, stream: ByteStream) -> None:
                former = site.entries["changing"]
                site.directory.put_replica(former._replace(software_version="v2"))
                await resume_stream(*NUMBERS)(received, stream)

            await site.add_replica("first", break_stream_after(1, 2), version="v1")
            await site.add_replica("changing", change_version, version="v1")
            response = await site.request("/stream/x", body=b"q", headers=program_headers("q1"))
            self.assertEqual((response.body, response.complete), (events(1, 2), False))

        run_with_site(main, RESUMABLE)

    def test_another_gateway_resumes_a_stream_after_a_ledger_node_lost_its_disk(self) -> None:
        async def main(fleet: Fleet) -> None:
            await fleet.add_replica(lambda replica: break_stream_after(1, 2), version="v1")
            headers = program_headers("q1")
            broken = await fleet.gateways[0].request("/stream/x", body=b"q", headers=headers)
            self.assertEqual((broken.body, broken.complete), (events(1, 2), False))
            fleet.replicas[0].crash()
            for version in ("v2", "v2", "v1", "v2"):
                await fleet.add_replica(lambda replica: resume_stream(*NUMBERS), version=version)
            fleet.ledger.kill(0)
            fleet.ledger.wipe(0)
            headers = program_headers("q2", **{"last-event-id": "2", "resumes": "q1"})
            response = await fleet.gateways[1].request("/stream/x", body=b"q", headers=headers)
            self.assertEqual((response.body, response.complete), (events(3, 4), True))
            served = [replica.version for replica in fleet.replicas if replica.process.received]
            self.assertEqual(served, ["v1", "v1"])

        run_with_fleet(main, RESUMABLE)
