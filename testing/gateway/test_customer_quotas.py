"""Requests beyond a customer's quota are refused before anything is sent, and others are sent."""

from __future__ import annotations

import json
import unittest
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
from contextlib import AsyncExitStack
from contextlib import asynccontextmanager

import anyio

from bramleylead.customers import Customer
from bramleylead.customers import CustomerKeys
from bramleylead.customers import Quota
from bramleylead.customers import index_customers
from bramleylead.ledger._customer_usage import CustomerUsage
from bramleylead.ledger._mirror import Mirrored
from bramleylead.ledger._quota_owner import QuotaOwner
from bramleylead.platform._types import CallKind
from bramleylead.standins import run_virtual
from testing.gateway._site import ReceivedRequest
from testing.gateway._site import Site
from testing.gateway._site import configuration
from testing.gateway._site import event_stream
from testing.gateway._site import full_response
from testing.gateway._site import respond_with
from testing.gateway._site import route
from testing.ledger._fleet import Ledger
from testing.ledger._fleet import gateway_host
from testing.ledger._fleet import running_ledger

QUOTA = Quota(2.0, 4.0)
KEYS = {"bramleylead-credential": "key-a"}
REPORT_INTERVAL_S = 0.4
GATEWAYS = 2


def _answer(usage: CustomerUsage, owners: tuple[str, ...]) -> Mirrored:
    now = anyio.current_time()
    return Mirrored(
        False,
        (),
        1,
        -1.0,
        customers=usage.high_use(now=now),
        gateways=usage.known_gateways(now=now),
        quota_owners=owners,
    )


class _Fleet:
    """Gateways with replicas of their own, on a ledger of three nodes."""

    def __init__(self, ledger: Ledger, sites: list[Site], usages: dict[int, CustomerUsage]) -> None:
        self.ledger = ledger
        self.sites = sites
        self.usages = usages
        self.owners = tuple(f"s{i}" for i in usages)

    def received(self) -> int:
        """Return the requests that the replicas have received."""
        return sum(len(own.received) for site in self.sites for own in site.replicas.values())

    def report(self) -> None:
        """Report the gateways' counts to the first node, and tell them of its knowledge."""
        now = anyio.current_time()
        for site in self.sites:
            self.usages[0].record_gateway(site.host, site.quotas.report() or (), now=now)
        for i, usage in self.usages.items():
            if i:
                totals = self.usages[0].own_totals(now=now)
                usage.record_member("s0", totals, self.usages[0].own_gateways(now=now), now=now)
        for site in self.sites:
            answer = _answer(self.usages[0], self.owners)
            site.quotas.record_answer(answer, asked_at=now)

    async def run_reports(self) -> None:
        while True:
            self.report()
            await anyio.sleep(REPORT_INTERVAL_S)


@asynccontextmanager
async def _fleet(*, quota: Quota | None = QUOTA) -> AsyncIterator[_Fleet]:
    """Run gateways whose configuration has one customer."""
    customers = index_customers([CustomerKeys(Customer("a", None, quota), ("key-a",))])
    routes = (
        route(CallKind.SAFE),
        route(CallKind.STREAM, retains_turns=True),
        route(CallKind.SAFE, name="open", path_prefix="/open/", public=True),
    )
    config = configuration(*routes)._replace(customers=customers)
    async with running_ledger(3) as (ledger, ledger_tasks), AsyncExitStack() as stack:
        usages = {i: CustomerUsage(now=anyio.current_time()) for i in range(3)}
        for i, usage in usages.items():
            owner = QuotaOwner(usage, is_member=lambda i=i: ledger.nodes[i].is_member)
            owner.register_handlers(ledger.servers[i])
        tasks = await stack.enter_async_context(anyio.create_task_group())
        sites = []
        for i in range(GATEWAYS):
            peers = await stack.enter_async_context(ledger.peers(i))
            client = await stack.enter_async_context(ledger.client(peers))
            await client.refresh()
            network, host = ledger.network, gateway_host(i)
            site = Site(tasks, network=network, host=host, ledger=client, peers=peers)
            site.directory.apply_configuration(config, source="test")
            site.directory.set_source(_Confirmed())
            sites.append(site)
        fleet = _Fleet(ledger, sites, usages)
        tasks.start_soon(fleet.run_reports)
        await anyio.sleep(3.0)
        yield fleet
        tasks.cancel_scope.cancel()
        ledger_tasks.cancel_scope.cancel()


class _Confirmed:
    """A source whose objects are always current."""

    def confirmed_at(self, kind: str) -> float:
        return anyio.current_time()


def _plain(received: ReceivedRequest) -> bytes:
    return full_response(received, b"ok")


async def _answer_plain(fleet: _Fleet) -> None:
    for i, site in enumerate(fleet.sites):
        await site.add_replica(f"a-{i}", respond_with(_plain))


class CustomerQuotasTest(unittest.TestCase):
    def run_fleet(
        self, main: Callable[[_Fleet], Awaitable[None]], *, quota: Quota | None = QUOTA
    ) -> None:
        async def run() -> None:
            async with _fleet(quota=quota) as fleet:
                await main(fleet)

        run_virtual(run, seed=1)

    def test_requests_beyond_the_quota_are_refused_and_not_sent(self) -> None:
        """Guards against a quota that each gateway applies alone, and against false refusals."""

        async def main(fleet: _Fleet) -> None:
            await _answer_plain(fleet)
            statuses = []
            for number in range(60):
                site = fleet.sites[number % GATEWAYS]
                answer = await site.request("/safe/x", headers=KEYS)
                statuses.append(answer.status)
                if answer.status == 429:
                    self.assertEqual("not run", json.loads(answer.body)["error"]["ran"])
                    self.assertGreater(float(answer.headers["retry-after"]), 0)
                await anyio.sleep(0.05)
            self.assertEqual({200, 429}, set(statuses))
            sent = statuses.count(200)
            self.assertEqual(sent, fleet.received())
            self.assertGreaterEqual(sent, QUOTA.burst + 3 * QUOTA.rate_per_s)
            self.assertLessEqual(sent, QUOTA.allowed(5.0) * 1.1 + 20)
            self.assertGreater(fleet.sites[0].quotas.use_of(Customer("a", None, QUOTA)), 0.9)

        self.run_fleet(main)

    def test_public_routes_and_customers_without_quota_are_not_limited(self) -> None:
        """Guards against counting requests that no quota concerns."""

        async def main(fleet: _Fleet) -> None:
            await _answer_plain(fleet)
            for path, headers in (("/open/x", {}), ("/safe/x", KEYS)):
                for _ in range(60):
                    answer = await fleet.sites[0].request(path, headers=headers)
                    self.assertEqual(200, answer.status)

        self.run_fleet(main, quota=None)

        async def public(fleet: _Fleet) -> None:
            await _answer_plain(fleet)
            for _ in range(60):
                self.assertEqual(200, (await fleet.sites[0].request("/open/x")).status)

        self.run_fleet(public)

    def test_turns_in_progress_come_before_new_programs(self) -> None:
        """Guards against programs that are refused in the middle while new ones begin."""

        async def main(fleet: _Fleet) -> None:
            site = fleet.sites[0]
            await site.add_replica("a-1", respond_with(lambda own: event_stream(own, 1, 2)))
            statuses = await _call_turns(site)
            self.assertIn(429, statuses["new"])
            self.assertLess(statuses["later"].count(429), statuses["new"].count(429))

        self.run_fleet(main)

    def test_refused_turns_cost_no_budget(self) -> None:
        """Guards against a reservation that stays behind when the quota refuses the turn."""

        async def main(fleet: _Fleet) -> None:
            site = fleet.sites[0]
            await site.add_replica("a-1", respond_with(lambda own: event_stream(own, 1, 2)))
            refused = 0
            for number in range(60):
                answer = await site.request("/stream/x", body=b"x", headers=_turn(f"p{number}"))
                refused += answer.status == 429
            self.assertGreater(refused, 20)
            await anyio.sleep(1.0)
            spendings = [
                spending
                for number in range(60)
                for spending in fleet.ledger.nodes[0].state.spendings(f"p{number}")
            ]
            self.assertTrue(all(spending.settled for spending in spendings))
            self.assertEqual(refused, sum(spending.tokens == 0 for spending in spendings))

        self.run_fleet(main)

    def test_requests_that_reach_no_replica_are_not_counted(self) -> None:
        """Guards against permits lost to requests that were not sent."""

        async def main(fleet: _Fleet) -> None:
            for _ in range(60):
                answer = await fleet.sites[0].request("/safe/x", headers=KEYS)
                self.assertEqual(503, answer.status)
            self.assertEqual((), fleet.sites[0].quotas.report())

        self.run_fleet(main)

    def test_attempts_of_one_request_count_once(self) -> None:
        """Guards against counting each replica that a request is offered to."""

        async def main(fleet: _Fleet) -> None:
            site = fleet.sites[0]
            for number in range(2):
                script = respond_with(lambda own: b"", then_close=True)
                await site.add_replica(f"a-{number}", script)
            await site.request("/safe/x", headers=KEYS)
            self.assertEqual(2, fleet.received())
            (count,) = site.quotas.report() or ()
            self.assertEqual(1, count.free + count.drawn)

        self.run_fleet(main)


async def _call_turns(site: Site) -> dict[str, list[int]]:
    """Begin new programs and continue others alternately, beyond the quota."""
    statuses: dict[str, list[int]] = {"new": [], "later": []}
    first = await site.request("/stream/x", body=b"x", headers=_turn("p", "q-0"))
    assert first.status == 200
    previous = "q-0"
    for number in range(1, 30):
        later = _turn("p", f"q-{number}") | {"bramleylead-previous-turn": previous}
        answer = await site.request("/stream/x", body=b"x", headers=later)
        statuses["later"].append(answer.status)
        if answer.status == 200:
            previous = f"q-{number}"
        answer = await site.request("/stream/x", body=b"x", headers=_turn(f"n{number}"))
        statuses["new"].append(answer.status)
        await anyio.sleep(0.3)
    return statuses


def _turn(program: str, request: str = "") -> dict[str, str]:
    return {
        **KEYS,
        "bramleylead-request-id": request or f"q-{program}",
        "bramleylead-program-id": program,
        "bramleylead-token-budget": "1000",
    }
