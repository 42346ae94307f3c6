"""A gateway that is out of step with the others while replicas of a new software version join.

It is cut off from the ledger or from news of the replicas, or it stands still for some seconds and
goes on with what it held. Streams that begin at one version must not go on at another one.
"""

from __future__ import annotations

import unittest
from functools import partial

import anyio
from anyio.abc import ByteStream

from bramleylead.platform._types import CallKind
from testing.gateway._fleet import RESTART_S
from testing.gateway._fleet import CrashableReplica
from testing.gateway._fleet import Fleet
from testing.gateway._fleet import run_with_fleet
from testing.gateway._site import REQUEST_ID_HEADER
from testing.gateway._site import ReceivedRequest
from testing.gateway._site import ReceivedResponse
from testing.gateway._site import Script
from testing.gateway._site import Site
from testing.gateway._site import chunk
from testing.gateway._site import event_stream
from testing.gateway._site import full_response
from testing.gateway._site import response_head
from testing.gateway._site import route
from testing.gateway.test_plain_calls import run_with_site
from testing.gateway.test_software_versions import add_replicas
from testing.gateway.test_software_versions import program_headers
from testing.gateway.test_software_versions import resume
from testing.gateway.test_streams import break_stream_after
from testing.gateway.test_streams import events
from testing.ledger._fleet import gateway_host

RESUMABLE = route(CallKind.STREAM, resumable=True, max_attempts=3, timeout_s=20.0)
KEPT = RESUMABLE._replace(retains_turns=True)
LAST = 4
EVENT_S = 0.05
BEGUN_S = 2.5 * EVENT_S
FROZEN_S = RESTART_S + 1.0
LEARNING_S = 0.5
PATIENT = {"bramleylead-deadline-ms": "20000"}


def versioned(replica: CrashableReplica) -> Script:
    """Return a script that writes events which name its version; the first stream breaks off."""

    async def script(received: ReceivedRequest, stream: ByteStream) -> None:
        if received.headers["bramleylead-expect-instance"] != replica.name:
            await stream.send(full_response(received, b"", "421 Other", "Bramleylead-Not-Run: 1"))
            return
        first = int(received.headers.get("last-event-id", "0")) + 1
        stream_type = "Content-Type: text/event-stream"
        head = response_head(received, "200 OK", stream_type, "Transfer-Encoding: chunked")
        await stream.send(head)
        for number in range(first, LAST + 1):
            await stream.send(chunk(f"id: {number}\ndata: {replica.version}\n\n".encode()))
            await anyio.sleep(EVENT_S)
        await stream.send(b"0\r\n\r\n")

    return script


def versions_in(text: bytes) -> set[bytes]:
    """Return the versions that wrote a stream."""
    return {line for line in text.split(b"\n") if line.startswith(b"data: ")}


class UnknownVersionTest(unittest.TestCase):
    def test_a_gateway_that_knows_no_replica_of_the_version_refuses_until_it_learns(self) -> None:
        for kept in (False, True):
            with self.subTest(kept=kept):
                run_with_fleet(self.check_unknown_version, KEPT if kept else RESUMABLE)

    async def check_unknown_version(self, fleet: Fleet) -> None:
        old = [await fleet.add_replica(versioned, version="v1") for _ in range(2)]
        outdated = fleet.gateways.pop(0)
        new = await fleet.add_replica(versioned, version="v2")
        for replica in old:
            for gateway in fleet.gateways:
                gateway.directory.remove_replica(replica.name)
        begun = await fleet.gateways[0].request(
            "/stream/x", body=b"q", headers=program_headers("q1"), disconnect_after_s=BEGUN_S
        )
        self.assertEqual(versions_in(begun.body), {b"data: v2"})
        headers = program_headers("q2", **{"last-event-id": "1", "resumes": "q1"})
        refused = await outdated.request("/stream/x", body=b"q", headers=headers)
        self.assertEqual(refused.status, 503)
        self.assertIn(b'"not run"', refused.body)
        self.assertGreater(float(refused.headers["retry-after"]), 0.0)
        fleet.gateways.insert(0, outdated)
        fleet.list_replica(new)
        headers = program_headers("q3", **{"last-event-id": "1", "resumes": "q1"})
        resumed = await outdated.request("/stream/x", body=b"q", headers=headers)
        self.assertEqual((resumed.status, resumed.complete), (200, True))
        self.assertEqual(versions_in(resumed.body), {b"data: v2"})

    def test_a_stream_is_not_resumed_while_its_record_cannot_be_read(self) -> None:
        async def main(site: Site) -> None:
            await site.add_replica("first", break_stream_after(1, 2), version="v1")
            await site.request("/stream/x", body=b"q", headers=program_headers("q1"))
            site.directory.remove_replica("first")
            (replica,) = await add_replicas(site, "v1", 1)
            site.ledger.unavailable = True
            plain = {REQUEST_ID_HEADER: "q2", "last-event-id": "2", "resumes": "q1"}
            for headers in (plain, program_headers(**{"request_id": "q3", **plain})):
                response = await site.request("/stream/x", body=b"q", headers=headers)
                self.assertEqual(response.status, 503)
                self.assertIn("retry-after", response.headers)
            self.assertEqual(replica.received, [])

        run_with_site(main, RESUMABLE)

    def test_a_stream_without_a_record_goes_on_in_its_gateway_only(self) -> None:
        for same_version in (True, False):
            with self.subTest(same_version=same_version):
                run_with_site(partial(self.check_unrecorded, same_version), RESUMABLE)

    async def check_unrecorded(self, same_version: bool, site: Site) -> None:
        async def begin(received: ReceivedRequest, stream: ByteStream) -> None:
            await add_replicas(site, "v2", 3)
            if same_version:
                await add_replicas(site, "v1", 1)
            await break_stream_after(1, 2)(received, stream)

        await site.add_replica("first", begin, version="v1")
        # A stream without a budget is served although it can't be recorded.
        site.ledger.unavailable = True
        begun = await site.request("/stream/x", body=b"q", headers={REQUEST_ID_HEADER: "q1"})
        site.ledger.unavailable = False
        sent = (1, 2, 3, 4) if same_version else (1, 2)
        self.assertEqual((begun.body, begun.complete), (events(*sent), same_version))
        self.assertEqual([site.replicas[f"v2-{n}"].received for n in range(3)], [[], [], []])
        refused = await resume(site, "q2", "q1")
        self.assertEqual(refused.status, 503)


class RestartedReplicaTest(unittest.TestCase):
    # The list still shows the former process of the replica, which ran the stream's version.
    def test_a_stream_does_not_go_on_at_a_process_that_the_list_does_not_show_yet(self) -> None:
        async def main(site: Site) -> None:
            async def restarted(received: ReceivedRequest, stream: ByteStream) -> None:
                if received.target == "/api/report":
                    await stream.send(full_response(received, b'{"born": 2}'))
                    return
                await stream.send(event_stream(received, 3, 4).replace(b"word", b"else"))

            await site.add_replica("first", break_stream_after(1, 2), version="v1")
            await site.request("/stream/x", body=b"q", headers=program_headers("q1"))
            site.directory.remove_replica("first")
            await site.add_replica("restarted", restarted, version="v1")
            resumed = await resume(site, "q2", "q1")
            self.assertNotIn(b"else", resumed.body)

        run_with_site(main, RESUMABLE)


class FrozenGatewayTest(unittest.TestCase):
    # Guards against ORDER: a gateway stands still while replicas of a stream's version end, and
    # others start at their addresses; it goes on with its old list.
    def test_a_gateway_that_stood_still_joins_no_text_of_two_versions(self) -> None:
        resumed: list[int] = []
        for step in range(12):
            with self.subTest(frozen_after_s=step * EVENT_S / 2):
                check = partial(self.check_frozen, step * EVENT_S / 2, resumed)
                run_with_fleet(check, RESUMABLE, seed=step + 1)
        self.assertIn(200, resumed)

    async def check_frozen(self, frozen_after_s: float, statuses: list[int], fleet: Fleet) -> None:
        """Freeze a gateway in a stream; ``statuses`` gets those of callers that resume it."""
        for _ in range(3):
            await fleet.add_replica(versioned, version="v1")
        responses: list[ReceivedResponse] = []
        frozen = fleet.gateways[0]

        async def send() -> None:
            headers = {**program_headers("q1"), **PATIENT}
            responses.append(await frozen.request("/stream/x", body=b"q", headers=headers))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(send)
            await anyio.sleep(frozen_after_s)
            fleet.network.freeze(gateway_host(0))
            fleet.gateways.remove(frozen)
            # One replica of the old version lasts.
            for replica in fleet.replicas[:-1]:
                replica.version = "v2"
                replica.crash()
            await anyio.sleep(FROZEN_S)
            fleet.network.thaw(gateway_host(0))
            await anyio.sleep(LEARNING_S)
            fleet.gateways.insert(0, frozen)
            for replica in fleet.replicas:
                fleet.list_replica(replica)
        self.assertLessEqual(len(versions_in(responses[0].body)), 1)
        if not responses[0].body:
            return
        last = responses[0].body.count(b"id: ")
        for number, gateway in enumerate(fleet.gateways):
            headers = {"last-event-id": str(last), "resumes": "q1"}
            headers = program_headers(f"q2.{number}", **headers)
            resumed = await gateway.request("/stream/x", body=b"q", headers=headers)
            statuses.append(resumed.status)
            versions = versions_in(responses[0].body + resumed.body)
            self.assertLessEqual(len(versions), 1, (responses[0], resumed))
