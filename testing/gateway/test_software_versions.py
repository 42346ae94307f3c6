"""A stream goes on only at a replica whose software is of the version that began it."""

from __future__ import annotations

import unittest
from functools import partial

import anyio
from anyio.abc import ByteStream

from bramleylead.ledger._records import Spending
from bramleylead.platform._types import CallKind
from bramleylead.platform._types import Software
from bramleylead.standins._network import SAME_DATA_CENTRE_S
from testing.gateway._fleet import CrashableReplica
from testing.gateway._fleet import Fleet
from testing.gateway._fleet import run_with_fleet
from testing.gateway._site import REQUEST_ID_HEADER
from testing.gateway._site import FakeReplica
from testing.gateway._site import ReceivedRequest
from testing.gateway._site import ReceivedResponse
from testing.gateway._site import Script
from testing.gateway._site import Site
from testing.gateway._site import chunk
from testing.gateway._site import event
from testing.gateway._site import event_stream
from testing.gateway._site import respond_with
from testing.gateway._site import route
from testing.gateway.test_plain_calls import refused_response
from testing.gateway.test_plain_calls import run_with_site
from testing.gateway.test_relayed_requests import lose_paths
from testing.gateway.test_streams import break_stream_after
from testing.gateway.test_streams import events
from testing.gateway.test_streams import resume_stream
from testing.ledger._fleet import gateway_host

RESUMABLE = route(CallKind.STREAM, resumable=True, max_attempts=3)
PROBED = route(CallKind.SAFE)
NUMBERS = (1, 2, 3, 4)
SETTLED_S = 0.2
PERMIT_S = 0.1
"""Time until a limited replica allows the next request."""


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


async def limited_replica_of_a_broken_stream(site: Site) -> FakeReplica:
    """Return the only replica of the version that began a stream; its limit allows no request."""
    await site.add_replica("first", break_stream_after(1, 2), version="v1")
    await site.request("/stream/x", body=b"q", headers=program_headers("q1"))
    site.directory.remove_replica("first")
    (last,) = await add_replicas(site, "v1", 1)
    site.limits.record_limit("v1-0", 1 / PERMIT_S)
    while site.limits.take("v1-0"):
        pass
    return last


async def break_off_then_resume(received: ReceivedRequest, stream: ByteStream) -> None:
    """Break a stream off after two events, or resume it."""
    if "last-event-id" in received.headers:
        await resume_stream(*NUMBERS)(received, stream)
    else:
        await break_stream_after(1, 2)(received, stream)


def begin_and_hang(replica: CrashableReplica) -> Script:
    """Return a script that sends two events and then nothing."""

    async def script(received: ReceivedRequest, stream: ByteStream) -> None:
        await stream.send(event_stream(received, 1, 2, end=False))
        await anyio.sleep_forever()

    return script


async def send_ignored(site: Site, headers: dict[str, str]) -> None:
    await site.request("/stream/x", body=b"q", headers=headers)


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

    # Guards against text joined from two versions, as operators of similar systems report it: all
    # gateways are killed at once, so that only the ledger knows what software began a stream.
    def test_streams_are_resumed_at_their_version_after_all_gateways_were_killed(self) -> None:
        for seed in range(1, 9):
            with self.subTest(seed=seed):
                run_with_fleet(self.check_killed_gateways, RESUMABLE, gateways=4, seed=seed)

    async def check_killed_gateways(self, fleet: Fleet) -> None:
        for version in ("v1", "v2", "v1", "v2"):
            await fleet.add_replica(begin_and_hang, version=version)
        begun: dict[str, str] = {}
        names = [f"q{number}" for number in range(8)]
        async with anyio.create_task_group() as streams:
            for number, name in enumerate(names):
                # Half of the streams belong to programs with a budget.
                headers = program_headers(name) if number % 2 else {REQUEST_ID_HEADER: name}
                site = fleet.gateways[number % 2]
                streams.start_soon(lambda s=site, h=headers: send_ignored(s, h))
            await anyio.sleep(0.3)
            for replica in fleet.replicas:
                for received in replica.process.received:
                    begun[received.id] = replica.version
            for number in (0, 1):
                fleet.network.kill(gateway_host(number))
            streams.cancel_scope.cancel()
        self.assertEqual(set(begun), set(names))
        self.assertEqual(set(begun.values()), {"v1", "v2"})
        # The replicas of the old version have just left.
        for replica in fleet.replicas:
            fleet.unlist(replica.name)
        for version in ("v2", "v3"):
            await fleet.add_replica(lambda replica: resume_stream(*NUMBERS), version=version)
        for number, name in enumerate(names):
            headers = {"last-event-id": "2", "resumes": name}
            takeup = program_headers(f"{name}.2", **headers) if number % 2 else headers
            takeup = {REQUEST_ID_HEADER: f"{name}.2", **takeup}
            response = await fleet.gateways[2].request("/stream/x", body=b"q", headers=takeup)
            if begun[name] == "v2":
                self.assertEqual((response.body, response.complete), (events(3, 4), True))
            else:
                self.assertEqual(response.status, 503)
        resumed_at = {
            received.id.partition(".")[0]: replica.version
            for replica in fleet.replicas[4:]
            for received in replica.process.received
        }
        self.assertEqual(set(resumed_at.values()), {"v2"})

    def test_a_resumed_stream_that_breaks_off_is_resumed_at_the_version_that_began_it(self) -> None:
        async def main(site: Site) -> None:
            await site.add_replica("first", break_stream_after(1, 2), version="v1")
            await site.request("/stream/x", body=b"q", headers=program_headers("q1"))
            site.directory.remove_replica("first")
            await site.add_replica("second", break_stream_after(3), version="v1")
            again = await resume(site, "q2", "q1")
            self.assertEqual((again.body, again.complete), (events(3), False))
            site.directory.remove_replica("second")
            others = await add_replicas(site, "v2", 4)
            await add_replicas(site, "v1", 1)
            # The caller names the request of the first event, or by mistake the second request.
            headers = program_headers("q3", **{"last-event-id": "3", "resumes": "q1"})
            response = await site.request("/stream/x", body=b"q", headers=headers)
            self.assertEqual((response.body, response.complete), (events(4), True))
            mistaken = await resume(site, "q4", "q2")
            self.assertEqual(mistaken.status, 503)
            self.assertFalse(any(replica.received for replica in others))

        run_with_site(main, RESUMABLE)

    def test_of_two_recorded_versions_none_is_taken_until_one_is_settled(self) -> None:
        async def main(site: Site) -> None:
            await add_replicas(site, "v1", 1)
            await add_replicas(site, "v2", 1)
            for version, settled in (("v1", False), ("v2", False), ("v1", True)):
                software = Software("svc", version)
                tokens = 0 if settled else 60
                site.ledger.spendings.append(
                    Spending("p", f"q1.{version}", tokens, settled, software)
                )
                response = await resume(site, f"q2.{version}.{settled}", "q1")
                served = [name for name, each in site.replicas.items() if each.received]
                if version == "v1" and not settled:
                    self.assertEqual((response.status, served), (200, ["v1-0"]))
                    site.replicas["v1-0"].received.clear()
                elif settled:
                    self.assertEqual((response.status, served), (200, ["v2-0"]))
                else:
                    self.assertEqual((response.status, served), (503, []))

        run_with_site(main, RESUMABLE)

    def test_a_request_without_an_id_is_not_taken_for_the_one_that_began_a_stream(self) -> None:
        async def main(site: Site) -> None:
            await add_replicas(site, "v1", 1)
            software = Software("svc", "v1")
            site.ledger.spendings.append(Spending("p", ".1a2b", 60, False, software))
            self.assertEqual((await resume(site, "q2", "")).status, 503)

        run_with_site(main, RESUMABLE)

    # Guards against text joined from two versions: while the only replica of a stream's version
    # allows no request, replicas of a new version join.
    def test_a_version_that_joins_during_a_wait_does_not_go_on_with_a_stream(self) -> None:
        async def main(site: Site) -> None:
            last = await limited_replica_of_a_broken_stream(site)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(add_replicas, site, "v2", 1)
                response = await resume(site, "q2", "q1")
            self.assertEqual((response.body, response.complete), (events(3, 4), True))
            self.assertEqual((len(last.received), site.replicas["v2-0"].received), (1, []))

        run_with_site(main, RESUMABLE)

    def test_a_version_that_changes_during_a_wait_does_not_go_on_with_a_stream(self) -> None:
        async def main(site: Site) -> None:
            last = await limited_replica_of_a_broken_stream(site)
            responses: list[ReceivedResponse] = []

            async def resume_in_background() -> None:
                responses.append(await resume(site, "q2", "q1"))

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(resume_in_background)
                await anyio.sleep(PERMIT_S / 2)
                changed = site.entries["v1-0"]._replace(software_version="v2")
                site.directory.put_replica(changed)
            self.assertEqual((responses[0].status, last.received), (503, []))

        run_with_site(main, RESUMABLE)

    # Guards against text joined from two versions: a replica that started again under its name
    # with other software began a stream before the list of replicas told of it.
    def test_a_stream_whose_replica_turns_out_to_run_other_software_is_not_resumed(self) -> None:
        for budgeted in (True, False):
            for late_event in (True, False):
                with self.subTest(budgeted=budgeted, late_event=late_event):
                    check = partial(self.check_late_version, budgeted, late_event)
                    run_with_site(check, RESUMABLE)

    async def check_late_version(self, budgeted: bool, late_event: bool, site: Site) -> None:
        async def begin(received: ReceivedRequest, stream: ByteStream) -> None:
            await add_replicas(site, "v1", 2)
            await stream.send(event_stream(received, 1, 2, end=False))
            await anyio.sleep(SETTLED_S)
            changed = site.entries["restarted"]._replace(software_version="v2")
            site.directory.put_replica(changed)
            if late_event:
                await stream.send(chunk(event(3)))
                await anyio.sleep(SETTLED_S)
                # A caller whose connection is cut takes the stream up while it still runs.
                early = await resume(site, "q2", "q1")
                self.assertEqual(early.status, 503)
            await stream.aclose()

        await site.add_replica("restarted", begin, version="v1")
        headers = program_headers("q1") if budgeted else {REQUEST_ID_HEADER: "q1"}
        response = await site.request("/stream/x", body=b"q", headers=headers)
        sent = (1, 2, 3) if late_event else (1, 2)
        self.assertEqual((response.body, response.complete), (events(*sent), False))
        await anyio.sleep(SETTLED_S)
        headers = {**headers, REQUEST_ID_HEADER: "q3", "last-event-id": "2", "resumes": "q1"}
        later = await site.request("/stream/x", body=b"q", headers=headers)
        self.assertEqual(later.status, 503)
        self.assertEqual([site.replicas[f"v1-{n}"].received for n in (0, 1)], [[], []])

    def test_a_stream_is_not_sent_to_a_replica_that_changes_while_the_connection_is_opened(
        self,
    ) -> None:
        async def main(site: Site) -> None:
            (replica,) = await add_replicas(site, "v1", 1)
            begun = Spending("p", "q1.1", 60, settled=False, software=Software("svc", "v1"))
            site.ledger.spendings.append(begun)
            responses: list[ReceivedResponse] = []

            async def resume_in_background() -> None:
                responses.append(await resume(site, "q2", "q1"))

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(resume_in_background)
                await anyio.sleep(SAME_DATA_CENTRE_S)
                changed = site.entries["v1-0"]._replace(software_version="v2")
                site.directory.put_replica(changed)
            self.assertEqual((responses[0].status, replica.received), (503, []))

        run_with_site(main, RESUMABLE)

    # Guards against text joined from two versions by a gateway that is out of step: it reaches no
    # replica itself, and the gateway that it asks knows that the replica has other software now.
    def test_a_gateway_does_not_pass_on_a_stream_to_other_software_than_it_was_asked_for(
        self,
    ) -> None:
        async def main(fleet: Fleet) -> None:
            for _ in range(3):
                await fleet.add_replica(lambda replica: break_off_then_resume)
            begun = await fleet.gateways[1].request(
                "/stream/x", body=b"q", headers=program_headers("q1")
            )
            self.assertEqual((begun.body, begun.complete), (events(1, 2), False))
            for gateway in fleet.gateways[1:]:
                for replica in gateway.directory.usable():
                    changed = replica._replace(software_version="v2")
                    gateway.directory.put_replica(changed)
            outdated = await lose_paths(fleet)
            response = await resume(outdated, "q2", "q1")
            self.assertEqual(response.status, 503)
            received = [r.id for x in fleet.replicas for r in x.process.received]
            self.assertNotIn("q2", received)

        run_with_fleet(main, RESUMABLE._replace(max_attempts=1), PROBED)

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
