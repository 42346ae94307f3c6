"""What is promised of a request that passes through a second gateway."""

from __future__ import annotations

import unittest
import unittest.mock

import anyio
from anyio.abc import ByteStream

from bramleylead.connection._codec import from_plain
from bramleylead.connection._codec import to_plain
from bramleylead.gateway import _relay_server
from bramleylead.gateway._path_monitor import SILENCE_S
from bramleylead.gateway._relay_messages import RelayRequest
from bramleylead.platform._types import NO_SOFTWARE
from bramleylead.platform._types import CallKind
from bramleylead.platform._types import Software
from testing.gateway._fleet import CrashableReplica
from testing.gateway._fleet import Fleet
from testing.gateway._fleet import run_with_fleet
from testing.gateway._site import ReceivedRequest
from testing.gateway._site import ReceivedResponse
from testing.gateway._site import Site
from testing.gateway._site import event_stream
from testing.gateway._site import full_response
from testing.gateway._site import response_head
from testing.gateway._site import route
from testing.ledger._fleet import gateway_host

CUT_OFF_AFTER_S = 2.0
"""Time from a cut until the paths are known to be lost, with some margin."""
SLOW = b"slow"
SLOW_S = 2.0
CLOSE_S = 0.5
"""A replica must stop work this soon after the caller has left."""
QUICK_S = 0.5
DEADLINE_S = 3.0
SAFE = route(CallKind.SAFE, timeout_s=5.0)
UNSAFE = route(CallKind.UNSAFE, timeout_s=5.0)
STREAM = route(CallKind.STREAM, timeout_s=5.0)
RESUMABLE = route(CallKind.STREAM, timeout_s=5.0, resumable=True)


def answer(replica: CrashableReplica):
    """Return a script that echoes bodies, after a while if they ask for it."""

    async def script(received: ReceivedRequest, stream: ByteStream) -> None:
        if received.body.startswith(SLOW):
            await work_until_closed(stream, SLOW_S)
        await stream.send(full_response(received, received.body))

    return script


async def work_until_closed(stream: ByteStream, for_s: float) -> None:
    """Work for a while; stop if the gateway closes the connection, as replicas do.

    :raises anyio.EndOfStream: if it does.
    """
    with anyio.move_on_after(for_s):
        await stream.receive()


def stream_slowly(replica: CrashableReplica):
    """Return a script that sends an event, and the rest of the stream after a while."""

    async def script(received: ReceivedRequest, stream: ByteStream) -> None:
        whole = event_stream(received, 1, 2)
        first, mark, rest = whole.partition(b"\r\n\r\n")
        await stream.send(first + mark + event_stream(received, 1, end=False).partition(mark)[2])
        await anyio.sleep(SLOW_S)
        done = event_stream(received, 1, end=False).partition(mark)[2]
        await stream.send(rest[len(done) :])

    return script


def never_answer_unsafe(replica: CrashableReplica):
    """Return a script that answers safe requests only."""

    async def script(received: ReceivedRequest, stream: ByteStream) -> None:
        if received.target.startswith("/unsafe/"):
            await work_until_closed(stream, float("inf"))
        await stream.send(full_response(received, received.body))

    return script


def break_off(replica: CrashableReplica):
    """Return a script that sends a part of its response and closes the connection."""

    async def script(received: ReceivedRequest, stream: ByteStream) -> None:
        await stream.send(response_head(received, "200 OK", "Content-Length: 100") + b"part")
        await stream.aclose()

    return script


def total_received(fleet: Fleet, body: bytes) -> int:
    """Return how often replicas received a request with this body."""
    return sum(
        request.body == body for replica in fleet.replicas for request in replica.process.received
    )


async def lose_paths(fleet: Fleet, *, hang: bool = True) -> Site:
    """Cut the first gateway off from all replicas, and wait until it knows."""
    fleet.strand(0, hang=hang)
    stranded = fleet.gateways[0]
    with anyio.move_on_after(CUT_OFF_AFTER_S):
        while not stranded.paths.is_lost:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(stranded.request, "/safe/probe")
                await anyio.sleep(0.1)
    assert stranded.paths.is_lost
    return stranded


class RelayedRequestTest(unittest.TestCase):
    def run_with_lost_paths(
        self, main, *routes, make_script=answer, replicas: int = 3, seed: int = 1
    ) -> None:
        async def run(fleet: Fleet) -> None:
            for _ in range(replicas):
                await fleet.add_replica(make_script)
            await main(fleet, await lose_paths(fleet))

        run_with_fleet(run, *routes, seed=seed)

    def test_method_target_and_body_reach_the_replica_unchanged(self) -> None:
        async def main(fleet: Fleet, stranded: Site) -> None:
            body = bytes(range(256)) * 400
            response = await stranded.request("/safe/a/b?c=%20d", body=body)
            self.assertEqual((response.status, response.body), (200, body))
            received = [r for x in fleet.replicas for r in x.process.received if r.body == body]
            self.assertEqual([r.target for r in received], ["/safe/a/b?c=%20d"])
            self.assertLessEqual(float(received[0].headers["bramleylead-deadline-ms"]), 3000.0)

        self.run_with_lost_paths(main, SAFE)

    def test_a_caller_that_leaves_ends_the_work_at_the_replica(self) -> None:
        async def main(fleet: Fleet, stranded: Site) -> None:
            await stranded.request("/safe/a", body=SLOW, disconnect_after_s=0.3)
            await anyio.sleep(CLOSE_S)
            closed = sum(replica.process.closed_connections for replica in fleet.replicas)
            self.assertEqual(closed, 1)

        self.run_with_lost_paths(main, SAFE)

    def test_an_unsafe_request_is_not_sent_again_when_the_second_gateway_dies(self) -> None:
        async def main(fleet: Fleet, stranded: Site) -> None:
            responses: list[ReceivedResponse] = []

            async def send() -> None:
                responses.append(await stranded.request("/unsafe/a", body=SLOW))

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(send)
                await anyio.sleep(0.5)
                relaying = [site for site in fleet.gateways if site.relay_server.running]
                self.assertEqual(len(relaying), 1)
                fleet.network.kill(relaying[0].host)
            self.assertIn(responses[0].status, (502, 504))
            self.assertEqual(total_received(fleet, SLOW), 1)

        self.run_with_lost_paths(main, SAFE, UNSAFE)

    def test_a_safe_request_is_sent_again_when_the_second_gateway_dies(self) -> None:
        async def main(fleet: Fleet, stranded: Site) -> None:
            responses: list[ReceivedResponse] = []

            async def send() -> None:
                headers = {"bramleylead-deadline-ms": "5000"}
                responses.append(await stranded.request("/safe/a", body=SLOW, headers=headers))

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(send)
                await anyio.sleep(0.5)
                relaying = [site for site in fleet.gateways if site.relay_server.running]
                fleet.network.kill(relaying[0].host)
            self.assertEqual((responses[0].status, responses[0].body), (200, SLOW))

        self.run_with_lost_paths(main, SAFE)

    def test_a_relayed_request_ends_with_its_deadline_although_the_first_gateway_is_silent(
        self,
    ) -> None:
        async def main(fleet: Fleet, stranded: Site) -> None:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(stranded.request, "/unsafe/a")
                await anyio.sleep(0.5)
                relaying = next(site for site in fleet.gateways if site.relay_server.running)
                fleet.network.silence(stranded.host, relaying.host)
            await anyio.sleep(DEADLINE_S)
            self.assertEqual(relaying.relay_server.running, 0)
            self.assertEqual(relaying.pool.in_use, 0)

        self.run_with_lost_paths(main, SAFE, UNSAFE, make_script=never_answer_unsafe)

    def test_a_gateway_that_stops_completes_what_it_passes_on_and_takes_nothing_new(self) -> None:
        async def main(fleet: Fleet, stranded: Site) -> None:
            responses: list[ReceivedResponse] = []

            async def send(body: bytes) -> None:
                responses.append(await stranded.request("/unsafe/a", body=body))

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(send, SLOW)
                await anyio.sleep(0.5)
                relaying = next(site for site in fleet.gateways if site.relay_server.running)
                relaying.app.closing = True
                for number in range(5):
                    tasks.start_soon(send, b"%d" % number)
                await anyio.sleep(0.2)
                self.assertEqual(relaying.relay_server.running, 1)
            self.assertEqual([response.status for response in responses], [200] * 6)

        self.run_with_lost_paths(main, SAFE, UNSAFE)

    def test_a_response_that_breaks_off_at_the_replica_is_not_complete(self) -> None:
        async def main(fleet: Fleet, stranded: Site) -> None:
            response = await stranded.request("/unsafe/a", body=b"x")
            self.assertEqual(response.status, 502)
            self.assertIn(b"closed before the response was complete", response.body)

        self.run_with_lost_paths(main, SAFE, UNSAFE, make_script=break_off)

    def test_a_stream_whose_second_gateway_dies_is_not_complete(self) -> None:
        async def main(fleet: Fleet, stranded: Site) -> None:
            responses: list[ReceivedResponse] = []

            async def send() -> None:
                responses.append(await stranded.request("/stream/a", body=b"x"))

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(send)
                await anyio.sleep(0.5)
                for site in fleet.gateways[1:]:
                    fleet.network.kill(site.host)
            self.assertFalse(responses[0].complete)

        self.run_with_lost_paths(main, SAFE, STREAM, make_script=stream_slowly)

    def test_events_pass_on_as_they_arrive(self) -> None:
        async def main(fleet: Fleet, stranded: Site) -> None:
            response = await stranded.request("/stream/a", body=b"x")
            self.assertEqual(response.status, 200)
            self.assertTrue(response.complete)
            self.assertIn(b"word2", response.body)

        self.run_with_lost_paths(main, SAFE, STREAM, make_script=stream_slowly)

    def test_a_gateway_that_carries_too_many_requests_leaves_more_to_others(self) -> None:
        async def main(fleet: Fleet, stranded: Site) -> None:
            statuses: list[int] = []

            async def send() -> None:
                statuses.append((await stranded.request("/unsafe/a", body=SLOW)).status)

            with unittest.mock.patch.object(_relay_server, "MAX_RELAYED_REQUESTS", 4):
                async with anyio.create_task_group() as tasks:
                    for _ in range(8):
                        tasks.start_soon(send)
                    await anyio.sleep(1.0)
                    self.assertEqual([s.relay_server.running for s in fleet.gateways], [0, 4, 4])
            self.assertEqual(statuses, [200] * 8)

        self.run_with_lost_paths(main, SAFE, UNSAFE)

    def test_a_second_gateway_that_has_lost_its_paths_unnoticed_does_not_blame_replicas(
        self,
    ) -> None:
        async def main(fleet: Fleet, stranded: Site) -> None:
            fleet.strand(1)
            for _ in range(20):
                response = await stranded.request("/unsafe/a", body=b"x")
                self.assertEqual(response.status, 200)
            self.assertEqual(stranded.selector.health.known_replicas(), set())

        for seed in range(1, 7):
            with self.subTest(seed=seed):
                self.run_with_lost_paths(main, SAFE, UNSAFE, seed=seed)

    def test_gateways_that_are_all_cut_off_refuse_at_once_and_ask_each_other_once(self) -> None:
        async def main(fleet: Fleet, stranded: Site) -> None:
            for number in (1, 2):
                fleet.strand(number, hang=False)
            await anyio.sleep(1.0)
            for site in fleet.gateways[1:]:
                with anyio.move_on_after(CUT_OFF_AFTER_S):
                    await site.request("/safe/a")
            started_at = anyio.current_time()
            response = await stranded.request("/unsafe/b", body=b"x")
            self.assertEqual(response.status, 503)
            self.assertLess(anyio.current_time() - started_at, QUICK_S)
            self.assertEqual(total_received(fleet, b"x"), 0)

        self.run_with_lost_paths(main, SAFE, UNSAFE)

    def test_requests_take_the_direct_path_again_once_it_works(self) -> None:
        async def main(fleet: Fleet, stranded: Site) -> None:
            fleet.reconnect(0)
            await anyio.sleep(1.5)
            self.assertFalse(stranded.paths.is_lost)
            for number in (1, 2):
                fleet.network.kill(gateway_host(number))
            for _ in range(5):
                response = await stranded.request("/safe/a", body=b"x")
                self.assertEqual(response.status, 200)

        self.run_with_lost_paths(main, SAFE)


class MessageTest(unittest.TestCase):
    def test_a_request_from_a_gateway_that_names_no_software_is_read(self) -> None:
        software = Software("svc", "v1")
        request = RelayRequest("a", True, 1.0, "GET", "/", (), "q1", b"", software)
        self.assertEqual(from_plain(to_plain(request)), request)
        self.assertEqual(from_plain(to_plain(request)[:-1]).software, NO_SOFTWARE)


class SoundReplicaTest(unittest.TestCase):
    def test_a_replica_that_falls_silent_for_a_second_is_no_lost_path(self) -> None:
        async def main(fleet: Fleet) -> None:
            for _ in range(3):
                await fleet.add_replica(answer)
            gateway = fleet.gateways[0]
            for _ in range(6):
                await gateway.request("/safe/a", body=b"x")
            silent = fleet.replicas[0].host
            fleet.network.freeze(silent)
            statuses: list[int] = []

            async def send() -> None:
                headers = {"bramleylead-deadline-ms": "3000"}
                response = await gateway.request("/unsafe/a", body=b"x", headers=headers)
                statuses.append(response.status)

            async with anyio.create_task_group() as tasks:
                for _ in range(10):
                    tasks.start_soon(send)
                    await anyio.sleep(0.1)
                fleet.network.thaw(silent)
            self.assertEqual(statuses, [200] * 10)
            self.assertFalse(gateway.paths.is_lost)

        run_with_fleet(main, SAFE, UNSAFE)

    def test_slow_replicas_are_not_taken_for_lost_paths(self) -> None:
        async def main(fleet: Fleet) -> None:
            for _ in range(3):
                await fleet.add_replica(answer)
            gateway = fleet.gateways[0]
            async with anyio.create_task_group() as tasks:
                for _ in range(3):
                    tasks.start_soon(gateway.request, "/safe/a")
                response = await gateway.request("/unsafe/a", body=SLOW)
            self.assertEqual(response.status, 200)
            self.assertGreater(SLOW_S, 2 * SILENCE_S)
            self.assertFalse(gateway.paths.is_lost)
            self.assertEqual(total_received(fleet, SLOW), 1)

        run_with_fleet(main, SAFE, UNSAFE)

    def test_a_cut_that_resets_connections_is_no_crash_by_the_requests_it_hits(self) -> None:
        async def main(fleet: Fleet) -> None:
            for _ in range(4):
                await fleet.add_replica(answer)
            gateway = fleet.gateways[0]
            async with anyio.create_task_group() as tasks:
                for number in range(8):
                    tasks.start_soon(
                        lambda number=number: gateway.request("/safe/a", body=SLOW + b"%d" % number)
                    )
                await anyio.sleep(0.5)
                fleet.reset(0)
            self.assertEqual(len(gateway.crashes), 0)

        run_with_fleet(main, SAFE)

    def test_a_gateway_without_others_goes_on_trying_itself(self) -> None:
        async def main(fleet: Fleet) -> None:
            for _ in range(3):
                await fleet.add_replica(answer)
            (gateway,) = fleet.gateways
            fleet.strand(0, hang=False)
            for _ in range(5):
                self.assertEqual((await gateway.request("/safe/a")).status, 503)
            fleet.reconnect(0)
            self.assertEqual((await gateway.request("/safe/a")).status, 200)

        run_with_fleet(main, SAFE, gateways=1)

    def test_two_gateways_cut_off_together_find_out_although_they_ask_each_other(self) -> None:
        async def main(fleet: Fleet) -> None:
            for _ in range(3):
                await fleet.add_replica(answer)
            for number in (0, 1):
                fleet.strand(number, hang=False)
            async with anyio.create_task_group() as tasks:
                for gateway in fleet.gateways[:2]:
                    for _ in range(3):
                        tasks.start_soon(gateway.request, "/safe/a")
            await anyio.sleep(QUICK_S)
            self.assertEqual([site.paths.is_lost for site in fleet.gateways], [True, True, False])

        for seed in range(1, 11):
            with self.subTest(seed=seed):
                run_with_fleet(main, SAFE, seed=seed)
