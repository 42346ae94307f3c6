"""Grants the permits of the customers whose quota owner this node is."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple
from typing import final

import anyio

from bramleylead.connection import PeerServer
from bramleylead.connection import Reply
from bramleylead.customers import Quota
from bramleylead.errors import ErrorKind
from bramleylead.errors import Failure
from bramleylead.ledger._customer_usage import CustomerUsage
from bramleylead.ledger._messages import DrawPermits
from bramleylead.ledger._messages import Permits
from bramleylead.placement._quotas import WINDOW_S
from bramleylead.placement._quotas import KnownUse
from bramleylead.placement._quotas import PermitBucket
from bramleylead.placement._quotas import initial_level
from bramleylead.placement._quotas import is_contended

UNREPORTED_LIFETIME_S = 1.0
"""By then another node has been told of the requests that a draw named as unreported."""
REPORTS_COMPLETE_S = 2.5
"""After this time every gateway has reported to a node, and that node has passed it on."""
IDLE_LIFETIME_S = 30.0


class _Drawing(NamedTuple):
    """What a gateway said of its requests with its last draw."""

    recent: int
    unreported: int
    drawn_at: float


@final
class _Customer:
    """One customer's permits, and the gateways that draw them."""

    def __init__(self, bucket: PermitBucket) -> None:
        self.bucket = bucket
        self.gateways: dict[str, _Drawing] = {}
        self.contended = False

    def recent(self, *, now: float) -> float:
        """Return the requests of the last window at the gateways that draw."""
        for name in [name for name, own in self.gateways.items() if now - own.drawn_at > WINDOW_S]:
            del self.gateways[name]
        return sum(
            own.recent * (1.0 - (now - own.drawn_at) / WINDOW_S) for own in self.gateways.values()
        )

    def unreported(self, *, now: float) -> int:
        """Return the requests that aren't in the reports yet."""
        return sum(
            own.unreported
            for own in self.gateways.values()
            if now - own.drawn_at < UNREPORTED_LIFETIME_S
        )


@final
class QuotaOwner:
    """The permits of customers, as far as gateways draw them from this node.

    :param usage: the requests that gateways have reported.
    :param is_member: whether this node is a member of the ledger.
    """

    def __init__(self, usage: CustomerUsage, *, is_member: Callable[[], bool]) -> None:
        self._usage = usage
        self._is_member = is_member
        self._customers: dict[str, _Customer] = {}
        self._forgotten_at = usage.started_at
        self._granted = 0
        self._refused = 0

    def register_handlers(self, server: PeerServer) -> None:
        """Register the handler of draws."""
        server.handle(DrawPermits, self._draw)

    def gauges(self) -> dict[str, float]:
        """Return the values of this node's metrics."""
        now = anyio.current_time()
        return {
            "quota_customers_owned": len(self._customers),
            "quota_permits_granted": self._granted,
            "quota_permits_denied": self._refused,
            "quota_gateways_known": self._usage.known_gateways(now=now),
            "quota_gateways_heard_share": self._usage.heard_share(now=now),
        }

    async def _draw(self, request: DrawPermits, reply: Reply) -> None:
        if not self._is_member():
            await reply.fail(Failure(ErrorKind.NOT_CURRENT, "this node is no member of the ledger"))
            return
        await reply.send(self.draw(request, now=anyio.current_time()))

    def draw(self, request: DrawPermits, *, now: float) -> Permits:
        """Grant permits."""
        self._forget_idle(now)
        quota = Quota(request.rate_per_s, request.burst)
        reported = self._usage.known_use(request.customer, now=now)
        customer = self._customers.get(request.customer)
        if customer is None:
            knows_use = now - self._usage.started_at >= REPORTS_COMPLETE_S
            level = initial_level(quota, reported, knows_use=knows_use)
            customer = _Customer(PermitBucket(quota, level=level, now=now))
            self._customers[request.customer] = customer
        bucket = customer.bucket
        bucket.apply_quota(quota, now=now)
        bucket.give_back(max(0, request.returned), now=now)
        customer.gateways[request.gateway] = _Drawing(
            max(0, request.recent), max(0, request.unreported), now
        )
        use = KnownUse(
            reported.free + customer.unreported(now=now), reported.drawn, customer.recent(now=now)
        )
        grant = bucket.grant(
            max(0, request.count),
            max(0, min(request.under_way, request.count)),
            use=use,
            heard_share=self._usage.heard_share(now=now),
            now=now,
        )
        self._granted += grant.count
        self._refused += max(0, request.count - grant.count)
        used = use.free + max(use.drawn, bucket.granted(now=now))
        customer.contended = is_contended(used, quota, before=customer.contended)
        return Permits(grant.count, grant.retry_after_s, customer.contended)

    def _forget_idle(self, now: float) -> None:
        if now - self._forgotten_at < IDLE_LIFETIME_S:
            return
        self._forgotten_at = now
        self._customers = {
            name: customer
            for name, customer in self._customers.items()
            if now - customer.bucket.drawn_at < IDLE_LIFETIME_S
        }
