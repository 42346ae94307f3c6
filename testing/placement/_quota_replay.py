"""Replays the traffic of many customers through gateways that share their quotas, without replicas.

The gateways' and the ledger nodes' parts are the product's; the messages between them are calls
with a delay, which a scenario can make fail.
"""

from __future__ import annotations

import random
from bisect import bisect_left
from collections import defaultdict
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any
from typing import cast

import anyio
from result import Err
from result import Ok
from result import Result

from bramleylead.connection._rpc import no_answer
from bramleylead.customers import Customer
from bramleylead.customers import Quota
from bramleylead.errors import Failure
from bramleylead.gateway._customer_quotas import CustomerQuotas
from bramleylead.ledger._customer_usage import CustomerUsage
from bramleylead.ledger._members import LedgerMember
from bramleylead.ledger._members import LedgerView
from bramleylead.ledger._mirror import Mirrored
from bramleylead.ledger._quota_owner import QuotaOwner
from bramleylead.standins import virtual_random

WINDOW_S = 5.0
LATENCY_S = 0.003
REPORT_WAIT_S = 0.8
REPORT_TIMEOUT_S = 1.1
AVOID_NODE_S = 3.0
SHARE_INTERVAL_S = 0.25
KINDS = 2
QUOTA_PER_USUAL = 1.6
UNDER_WAY_SHARE = 0.8
REMOVAL_S = 4.0
START_S = 3.0


class Node:
    """A ledger node, without its records."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.rise = anyio.Event()
        self.start()

    def start(self) -> None:
        """Begin without knowledge, as a process does."""
        self.alive = True
        self.usage = CustomerUsage(now=anyio.current_time())
        self.owner = QuotaOwner(self.usage, is_member=lambda: True)


class _Peers:
    """The connections of one gateway to the ledger nodes."""

    def __init__(self, replay: Replay, gateway: str) -> None:
        self._replay = replay
        self._gateway = gateway

    async def request(
        self, address: str, message: Any, *, timeout_s: float, idempotent: bool
    ) -> Result[Any, Failure]:
        node = self._replay.nodes[address]
        if self._gateway in self._replay.cut_off or not node.alive:
            await anyio.sleep(timeout_s)
            return no_answer(address, "no answer in time")
        await anyio.sleep(LATENCY_S)
        permits = node.owner.draw(message, now=anyio.current_time())
        await anyio.sleep(LATENCY_S)
        return Ok(permits)


class Replay:
    """Gateways, ledger nodes and customers.

    :param usual_per_s: the usual requests a second of each customer.
    :param burst_s: the burst of each quota, in seconds of its rate.
    :param ways: through how many gateways each customer usually calls.
    """

    def __init__(
        self,
        tasks: anyio.abc.TaskGroup,
        *,
        usual_per_s: dict[str, float],
        gateways: int = 63,
        nodes: int = 9,
        burst_s: float = 1.0,
        ways: int = 10,
    ) -> None:
        self.tasks = tasks
        self.rng = virtual_random("quota replay")
        self.nodes = {f"s{i}": Node(f"s{i}") for i in range(nodes)}
        members = tuple(LedgerMember(name, name, name) for name in self.nodes)
        self.ledger = SimpleNamespace(view=LedgerView(1, members))
        self.cut_off: set[str] = set()
        self.usual_per_s = usual_per_s
        self.customers = {
            name: Customer(name, None, Quota(usual * QUOTA_PER_USUAL, usual * burst_s))
            for name, usual in usual_per_s.items()
        }
        self.gateways = {
            f"g{i}": CustomerQuotas(
                cast(Any, _Peers(self, f"g{i}")),
                self.ledger,
                gateway=f"g{i}",
                has_quotas=lambda: True,
                tasks=tasks,
                rng=virtual_random(f"g{i}"),
            )
            for i in range(gateways)
        }
        names = list(self.gateways)
        self.ways = {name: self.rng.sample(names, min(ways, gateways)) for name in usual_per_s}
        self.sent: dict[str, list[float]] = defaultdict(list)
        self.refused: dict[str, list[float]] = defaultdict(list)
        self.waits_s: list[float] = []
        self.running = True

    async def start(self) -> None:
        """Start the reports, and the usual traffic once all gateways know the ledger."""
        for i, name in enumerate(self.gateways):
            for _ in range(KINDS):
                self.tasks.start_soon(self._report, name, i)
        self.tasks.start_soon(self._share)
        await anyio.sleep(START_S)
        for name, usual in self.usual_per_s.items():
            self.tasks.start_soon(self.call, name, usual, self.ways[name], lambda: self.running)

    async def call(
        self, name: str, rate_per_s: float, ways: list[str], is_on: Callable[[], bool]
    ) -> None:
        """Send a customer's requests at random times through some gateways."""
        rng = virtual_random(f"calls of {name} at {anyio.current_time()}")
        while True:
            await anyio.sleep(rng.expovariate(rate_per_s))
            if not is_on():
                return
            self.tasks.start_soon(self._request, name, rng.choice(ways), rng)

    async def flood(self, name: str, rate_per_s: float, ways: list[str], *, for_s: float) -> None:
        """Send requests of a customer for a time, besides its usual ones."""
        until = anyio.current_time() + for_s
        await self.call(name, rate_per_s, ways, lambda: anyio.current_time() < until)

    async def _request(self, name: str, gateway: str, rng: random.Random) -> None:
        customer = self.customers[name]
        call = SimpleNamespace(
            customer=customer,
            metadata=SimpleNamespace(request_id="q", program="p"),
            configuration=SimpleNamespace(version=1),
        )
        begun_at = anyio.current_time()
        admitted = await self.gateways[gateway].admit(
            cast(Any, call), under_way=rng.random() < UNDER_WAY_SHARE
        )
        now = anyio.current_time()
        self.waits_s.append(now - begun_at)
        (self.refused if isinstance(admitted, Err) else self.sent)[name].append(now)

    async def _report(self, gateway: str, first: int) -> None:
        quotas = self.gateways[gateway]
        names = list(self.nodes)
        avoided_until: dict[str, float] = {}
        await anyio.sleep(self.rng.random() * REPORT_WAIT_S)
        while self.running:
            now = anyio.current_time()
            preferred = [names[(first + i) % len(names)] for i in range(len(names))]
            preferred.sort(key=lambda name: avoided_until.get(name, 0.0) > now)
            node = self.nodes[preferred[0]]
            if gateway in self.cut_off or not node.alive:
                await anyio.sleep(REPORT_TIMEOUT_S)
                avoided_until[node.name] = anyio.current_time() + AVOID_NODE_S
                continue
            counts = quotas.report()
            usage = node.usage
            await anyio.sleep(LATENCY_S)
            usage.record_gateway(gateway, counts or (), now=anyio.current_time())
            waited_s = self.rng.uniform(0.5, 1.0) * REPORT_WAIT_S
            with anyio.move_on_after(waited_s):
                await node.rise.wait()
            waited_s = anyio.current_time() - now - LATENCY_S
            if not node.alive or node.usage is not usage or gateway in self.cut_off:
                continue
            at = anyio.current_time()
            mirrored = Mirrored(
                False,
                (),
                1,
                -1.0,
                waited_s=waited_s,
                customers=usage.high_use(now=at),
                gateways=usage.known_gateways(now=at),
                quota_owners=(node.name, *usage.serving_members),
            )
            await anyio.sleep(LATENCY_S)
            quotas.record_answer(mirrored, asked_at=now)

    async def _share(self) -> None:
        while self.running:
            await anyio.sleep(SHARE_INTERVAL_S)
            now = anyio.current_time()
            alive = [node for node in self.nodes.values() if node.alive]
            for node in alive:
                if node.usage.has_risen(now=now):
                    node.rise.set()
                    node.rise = anyio.Event()
                totals = node.usage.own_totals(now=now)
                heard = node.usage.own_gateways(now=now)
                for other in alive:
                    if other is not node:
                        other.usage.record_member(node.name, totals, heard, now=now)

    async def kill(self, node: str) -> None:
        """End a node's process; the others remove it from the members some seconds later."""
        self.nodes[node].alive = False
        await anyio.sleep(REMOVAL_S)
        self.ledger.view = self.ledger.view.without(node)

    def set_quota(self, name: str, quota: Quota) -> None:
        """Change a customer's quota at all gateways."""
        self.customers[name] = self.customers[name]._replace(quota=quota)

    def most_in_window(self, name: str, *, after: float = 0.0) -> int:
        """Return the most requests sent in any span of 5 s."""
        times = sorted(at for at in self.sent[name] if at >= after)
        return max(
            (i + 1 - bisect_left(times, at - WINDOW_S) for i, at in enumerate(times)), default=0
        )

    def bound(self, name: str) -> float:
        """Return the most requests that may be sent in any span of 5 s."""
        quota = cast(Quota, self.customers[name].quota)
        return quota.allowed(WINDOW_S) * 1.1 + 20

    def refused_within_quota(self, name: str) -> int:
        """Return the refusals at which a bucket filled by the quota had a request left."""
        quota = cast(Quota, self.customers[name].quota)
        events = [(at, True) for at in self.sent[name]] + [(at, False) for at in self.refused[name]]
        level, then, count = quota.burst, 0.0, 0
        for at, was_sent in sorted(events):
            level = min(max(quota.burst, 1.0), level + (at - then) * quota.rate_per_s)
            then = at
            if was_sent:
                level -= 1.0
            elif level >= 1.0:
                count += 1
                level -= 1.0
        return count


def usual_rates(count: int = 78) -> dict[str, float]:
    """Return the usual rates of customers: a few are large."""
    return {
        f"c{i}": 16.0 if i < 4 else 6.0 if i < 14 else 0.8 + (i % 8) * 0.3 for i in range(count)
    }
