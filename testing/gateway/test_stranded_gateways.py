"""A gateway that is cut off from all replicas serves its callers through another gateway."""

from __future__ import annotations

import unittest

import anyio
from anyio.abc import ByteStream

from bramleylead.platform._types import CallKind
from testing.gateway._fleet import CrashableReplica
from testing.gateway._fleet import Fleet
from testing.gateway._fleet import run_with_fleet
from testing.gateway._site import ReceivedRequest
from testing.gateway._site import ReceivedResponse
from testing.gateway._site import Site
from testing.gateway._site import event_stream
from testing.gateway._site import full_response
from testing.gateway._site import route

STABLE_S = 3.0
"""The rule counts requests from this long after a cut began."""
CUT_S = 10.0
REPLICAS = 4
INTERVAL_S = 0.1
WORK_S = 0.03
MIN_SHARE_OF_OTHERS = 2 / 3
MAX_FAILED = 10
SAFE = route(CallKind.SAFE)
UNSAFE = route(CallKind.UNSAFE)
STREAM = route(CallKind.STREAM, resumable=True)


def answer_after_work(replica: CrashableReplica):
    """Return a script that answers each request after some work."""

    async def script(received: ReceivedRequest, stream: ByteStream) -> None:
        await anyio.sleep(WORK_S)
        if received.target.startswith("/stream/"):
            await stream.send(event_stream(received, 1, 2))
        else:
            await stream.send(full_response(received, received.body))

    return script


class Caller:
    """Sends requests to one gateway, one at a time, and records the responses."""

    def __init__(self, site: Site, name: str) -> None:
        self._site = site
        self._name = name
        self._sent = 0
        self.responses: list[ReceivedResponse] = []

    @property
    def served(self) -> int:
        return sum(response.status == 200 and response.complete for response in self.responses)

    @property
    def failed(self) -> int:
        return len(self.responses) - self.served

    async def send(self, path: str) -> ReceivedResponse:
        self._sent += 1
        headers = {
            "bramleylead-request-id": f"{self._name}-{self._sent}",
            "bramleylead-deadline-ms": "1200",
        }
        return await self._site.request(path, body=b"x", headers=headers)

    async def run(self, path: str, *, until: float) -> None:
        """Send requests at an interval, whether or not earlier ones are answered."""
        async with anyio.create_task_group() as tasks:
            while anyio.current_time() < until:
                tasks.start_soon(self._send_and_record, path)
                await anyio.sleep(INTERVAL_S)

    async def _send_and_record(self, path: str) -> None:
        self.responses.append(await self.send(path))


async def start_replicas(fleet: Fleet) -> None:
    for _ in range(REPLICAS):
        await fleet.add_replica(answer_after_work)


async def send_everywhere(fleet: Fleet, path: str, *, for_s: float) -> list[Caller]:
    """Send requests to each gateway for a while; return what its caller received."""
    callers = [Caller(site, f"g{number}") for number, site in enumerate(fleet.gateways)]
    until = anyio.current_time() + for_s
    async with anyio.create_task_group() as tasks:
        for caller in callers:
            tasks.start_soon(lambda caller=caller: caller.run(path, until=until))
    return callers


class StrandedGatewayTest(unittest.TestCase):
    def assert_served_as_elsewhere(self, stranded: Caller, others: list[Caller]) -> None:
        there = stranded.served / len(stranded.responses)
        elsewhere = sum(caller.served for caller in others) / sum(
            len(caller.responses) for caller in others
        )
        kept = there >= MIN_SHARE_OF_OTHERS * elsewhere or stranded.failed <= MAX_FAILED
        self.assertTrue(kept, f"{there:.2f} of the first tries served, elsewhere {elsewhere:.2f}")

    def check_cut(self, path: str, *, hang: bool = True, refuse: bool = False) -> None:
        async def main(fleet: Fleet) -> None:
            await start_replicas(fleet)
            await send_everywhere(fleet, path, for_s=1.0)
            fleet.strand(0, hang=hang, refuse=refuse)
            await send_everywhere(fleet, path, for_s=STABLE_S)
            stranded, *others = await send_everywhere(fleet, path, for_s=CUT_S - STABLE_S)
            self.assert_served_as_elsewhere(stranded, others)

        run_with_fleet(main, SAFE, UNSAFE, STREAM)

    def test_callers_are_served_while_connections_to_all_replicas_hang(self) -> None:
        self.check_cut("/safe/a")

    def test_streams_are_served_while_connections_to_all_replicas_hang(self) -> None:
        self.check_cut("/stream/a")

    def test_requests_that_may_run_once_are_served_while_connections_hang(self) -> None:
        self.check_cut("/unsafe/a")

    def test_callers_are_served_while_all_replicas_reset_connections(self) -> None:
        self.check_cut("/safe/a", hang=False)

    def test_callers_are_served_beside_a_dead_ledger_member(self) -> None:
        async def main(fleet: Fleet) -> None:
            await start_replicas(fleet)
            await send_everywhere(fleet, "/safe/a", for_s=1.0)
            fleet.ledger.kill(0)
            fleet.strand(0)
            await send_everywhere(fleet, "/safe/a", for_s=STABLE_S)
            stranded, *others = await send_everywhere(fleet, "/safe/a", for_s=CUT_S - STABLE_S)
            self.assert_served_as_elsewhere(stranded, others)

        run_with_fleet(main, SAFE)

    def test_callers_are_served_while_most_gateways_are_cut_off(self) -> None:
        async def main(fleet: Fleet) -> None:
            await start_replicas(fleet)
            await send_everywhere(fleet, "/safe/a", for_s=1.0)
            for number in (0, 1):
                fleet.strand(number)
            await send_everywhere(fleet, "/safe/a", for_s=STABLE_S)
            *stranded, other = await send_everywhere(fleet, "/safe/a", for_s=CUT_S - STABLE_S)
            for caller in stranded:
                self.assert_served_as_elsewhere(caller, [other])

        run_with_fleet(main, SAFE)

    def test_callers_are_served_while_new_connections_are_refused(self) -> None:
        self.check_cut("/safe/a", hang=False, refuse=True)
