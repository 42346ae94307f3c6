"""Receives the reports that gateways send in messages of their own, and passes them on.

Members also tell each other how much traffic was reported to them.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import final

import anyio

from bramleylead.connection import Done
from bramleylead.connection import PeerClient
from bramleylead.connection import PeerServer
from bramleylead.connection import Reply
from bramleylead.ledger._customer_usage import CustomerUsage
from bramleylead.ledger._members import LedgerMember
from bramleylead.ledger._messages import KnownCrashes
from bramleylead.ledger._messages import ReportCrash
from bramleylead.ledger._messages import ReportLoad
from bramleylead.ledger._messages import ShareLoads
from bramleylead.ledger._node import LedgerNode
from bramleylead.ledger._traffic_shares import TrafficShares

SHARE_INTERVAL_S = 0.25
MAX_SHARE_INTERVAL_S = 1.0
"""Without load reports and customers with quotas, only the traffic is passed on, so often."""
SHARE_TIMEOUT_S = 0.5


@final
class LoadSharing:
    """Keeps the members' tables of load reports alike; each gateway reports to some of them.

    :param usage: the requests of customers with a quota.
    :param on_rise: called when one of them has begun to flood.
    """

    def __init__(
        self,
        node: LedgerNode,
        peers: PeerClient,
        shares: TrafficShares,
        usage: CustomerUsage | None = None,
        *,
        on_rise: Callable[[], None] = lambda: None,
    ) -> None:
        self._node = node
        self._on_rise = on_rise
        self._usage = usage or CustomerUsage(now=anyio.current_time())
        self._peers = peers
        self._shares = shares
        self._shared_at = float("-inf")

    def register_handlers(self, server: PeerServer) -> None:
        """Register the handlers of load reports."""
        server.answer(ReportLoad, self._record_report)
        server.handle(ReportCrash, self._record_crash)
        server.handle(ShareLoads, self._record_shared)

    async def run(self) -> None:
        """Pass on the gateways' reports to the other members until cancelled."""
        while True:
            await anyio.sleep(SHARE_INTERVAL_S)
            now = anyio.current_time()
            if self._usage.is_used and self._usage.has_risen(now=now):
                self._on_rise()
            loads = self._node.fleet.take_unshared(now=now)
            crashes = self._node.crashes.take_unshared(now=now)
            has_news = bool(loads or crashes or self._usage.is_used)
            is_due = has_news or now - self._shared_at >= MAX_SHARE_INTERVAL_S
            demand_per_s = self._shares.own_demand_per_s()
            if not is_due or not self._node.is_member or not (has_news or demand_per_s):
                continue
            self._shared_at = now
            message = ShareLoads(
                loads,
                self._node.own_entry.node,
                demand_per_s,
                crashes,
                usage=self._usage.own_totals(now=now),
                gateways=self._usage.own_gateways(now=now),
                grants_permits=True,
            )
            async with anyio.create_task_group() as tasks:
                for member in self._node.view.members:
                    if member != self._node.own_entry:
                        tasks.start_soon(self._share, member, message)

    async def _share(self, member: LedgerMember, message: ShareLoads) -> None:
        await self._peers.request(
            member.address, message, timeout_s=SHARE_TIMEOUT_S, idempotent=True
        )

    def _record_report(self, request: ReportLoad) -> Done:
        self._node.fleet.record(request.report, now=anyio.current_time())
        return Done()

    async def _record_crash(self, request: ReportCrash, reply: Reply) -> None:
        now = anyio.current_time()
        self._node.crashes.merge_reports(request.crashes, now=now)
        known = (self._node.crashes.evidence(own.fingerprint, now=now) for own in request.crashes)
        await reply.send(KnownCrashes(tuple(known)))

    async def _record_shared(self, request: ShareLoads, reply: Reply) -> None:
        self._node.fleet.record_shared(request.loads, now=anyio.current_time())
        self._node.crashes.merge_all(request.crashes, now=anyio.current_time())
        if request.member:
            self._shares.record_member(request.member, request.demand_per_s)
        if request.grants_permits:
            self._usage.record_member(
                request.member, request.usage, request.gateways, now=anyio.current_time()
            )
        await reply.send(Done())
