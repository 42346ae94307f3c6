"""Gateways that lose and regain the replicas at random, with kills and crashes on the way.

``python -m testing.gateway.test_relay_soak FIRST LAST`` plays more seeds.
"""

from __future__ import annotations

import logging
import random
import sys
import unittest
from collections import Counter

import anyio
from anyio.abc import ByteStream

from bramleylead.platform._types import CallKind
from bramleylead.standins import run_virtual
from testing.gateway._fleet import CrashableReplica
from testing.gateway._fleet import Fleet
from testing.gateway._fleet import running_fleet
from testing.gateway._site import ReceivedRequest
from testing.gateway._site import Site
from testing.gateway._site import chunk
from testing.gateway._site import event
from testing.gateway._site import full_response
from testing.gateway._site import response_head
from testing.gateway._site import route

SOAK_S = 20.0
SETTLE_S = 8.0
GATEWAYS = 3
REPLICAS = 4
EVENTS = 4
DEADLINE_S = 3.0
ROUTES = (
    route(CallKind.SAFE, timeout_s=DEADLINE_S),
    route(CallKind.UNSAFE, timeout_s=DEADLINE_S),
    route(CallKind.STREAM, timeout_s=DEADLINE_S, resumable=True),
)
PROMISED_NOT_RUN = (429, 503)


class Soak:
    """One run: what was sent, what ran, and what callers received.

    :ivar ran: how often each request was run, by request id.
    """

    def __init__(self, fleet: Fleet, seed: int) -> None:
        self._fleet = fleet
        self._rng = random.Random(seed)
        self._sent = 0
        self.ran: Counter[str] = Counter()
        self.broken: list[str] = []
        self.served: Counter[bool] = Counter()

    def make_script(self, replica: CrashableReplica):
        async def script(received: ReceivedRequest, stream: ByteStream) -> None:
            self.ran[received.id] += 1
            await anyio.sleep(0.02 + 0.2 * self._rng.random() ** 3)
            if received.target.startswith("/stream/"):
                await self._stream(received, stream)
            else:
                await stream.send(full_response(received, received.body))

        return script

    async def _stream(self, received: ReceivedRequest, stream: ByteStream) -> None:
        first = int(received.headers.get("last-event-id", "0")) + 1
        await stream.send(response_head(received, "200 OK", "Transfer-Encoding: chunked"))
        for number in range(first, EVENTS + 1):
            await anyio.sleep(0.03)
            await stream.send(chunk(event(number)))
        await stream.send(b"0\r\n\r\n")

    async def send(self, site: Site, *, settled: bool) -> None:
        """Send a request and check the response."""
        self._sent += 1
        kind = self._rng.choice(("safe", "unsafe", "stream"))
        name = f"{kind}-{self._sent}"
        body = name.encode() * self._rng.choice((1, 10, 5_000))
        leaves_after_s = self._rng.uniform(0.01, 0.5) if self._rng.random() < 0.1 else None
        headers = {"bramleylead-request-id": name, "bramleylead-deadline-ms": "3000"}
        response = await site.request(
            f"/{kind}/x", body=body, headers=headers, disconnect_after_s=leaves_after_s
        )
        if kind == "unsafe" and self.ran[name] > 1:
            self.broken.append(f"{name} ran {self.ran[name]} times")
        if leaves_after_s is not None:
            return
        whole = response.status == 200 and response.complete
        expected = body if kind != "stream" else b"".join(map(event, range(1, EVENTS + 1)))
        if whole and response.body != expected:
            self.broken.append(f"{name}: {response.body[:60]!r}")
        if kind == "unsafe" and response.status in PROMISED_NOT_RUN and self.ran[name]:
            self.broken.append(f"{name} ran, and was answered {response.status}")
        if settled:
            self.served[whole] += 1

    async def run_callers(self, *, for_s: float, settled: bool) -> None:
        """Send requests to all gateways at random."""
        until = anyio.current_time() + for_s
        async with anyio.create_task_group() as tasks:
            while anyio.current_time() < until:
                site = self._rng.choice(self._fleet.gateways)
                tasks.start_soon(lambda site=site: self.send(site, settled=settled))
                await anyio.sleep(self._rng.expovariate(30.0))

    async def run_faults(self) -> None:
        """Cut gateways off, crash replicas and silence streams, one after the other."""
        while True:
            await anyio.sleep(self._rng.uniform(0.2, 1.5))
            number = self._rng.randrange(GATEWAYS)
            fault = self._rng.choice(("hang", "cut", "refuse", "reset", "heal", "crash", "silence"))
            if fault == "crash":
                self._rng.choice(self._fleet.replicas).crash()
            elif fault == "silence":
                self._silence_gateways()
            elif fault == "reset":
                self._fleet.reset(number)
            elif fault == "heal":
                self._fleet.reconnect(number)
            else:
                self._fleet.strand(number, hang=fault == "hang", refuse=fault == "refuse")

    def _silence_gateways(self) -> None:
        first, second = self._rng.sample(self._fleet.gateways, 2)
        self._fleet.network.silence(first.host, second.host)


async def soak(seed: int) -> list[str]:
    """Play a seed; return what was broken."""
    async with running_fleet(*ROUTES, gateways=GATEWAYS) as fleet:
        run = Soak(fleet, seed)
        for _ in range(REPLICAS):
            await fleet.add_replica(run.make_script)
        with anyio.move_on_after(SOAK_S):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(run.run_faults)
                await run.run_callers(for_s=SOAK_S + 1.0, settled=False)
        for number in range(GATEWAYS):
            fleet.reconnect(number)
        await anyio.sleep(SETTLE_S)
        await run.run_callers(for_s=2.0, settled=True)
        await anyio.sleep(DEADLINE_S)
        if run.served[False]:
            run.broken.append(f"{run.served[False]} not served, {run.served[True]} served, settled")
        for site in fleet.gateways:
            left = (site.app.in_flight, site.relay_server.running, site.pool.in_use)
            if any(left):
                run.broken.append(f"{site.host}: {left} requests, relayed ones, connections left")
            if site.paths.is_lost:
                run.broken.append(f"{site.host}: its paths are still counted as lost")
        return run.broken


def play(seed: int) -> list[str]:
    found: list[str] = []

    async def main() -> None:
        found.extend(await soak(seed))

    run_virtual(main, seed=seed)
    return found


class RelaySoakTest(unittest.TestCase):
    def test_what_is_promised_holds_while_gateways_lose_and_regain_the_replicas(self) -> None:
        for seed in range(1, 4):
            with self.subTest(seed=seed):
                self.assertEqual(play(seed), [])


if __name__ == "__main__":
    import structlog

    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL))
    for played in range(int(sys.argv[1]), int(sys.argv[2]) + 1):
        print(played, play(played) or "kept", flush=True)
