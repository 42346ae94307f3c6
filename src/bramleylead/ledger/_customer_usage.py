"""How many requests each customer with a quota has lately made, over all gateways.

Each gateway reports its counts to one ledger node, with the messages by which it reads the
platform's objects. Nodes tell each other their totals, and from which gateways they hear. All of
this is soft state.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from collections.abc import Mapping
from typing import NamedTuple
from typing import final

from bramleylead.placement._quotas import REPORTED_SHARE
from bramleylead.placement._quotas import WINDOW_S
from bramleylead.placement._quotas import KnownUse

RISEN_ABOVE_SHARE = 0.75
RISEN_FROM_SHARE = 0.5
RISE_S = 1.0
"""A use that rises from one part of the allowance to the other in this time is a flood. Gateways
are told at once; otherwise those that see little of it each learn of it after 0.8 s."""
SUMS_LIFETIME_S = 0.1
HEARD_WITHIN_S = 1.5
"""Gateways report at least every 0.8 s, and nodes pass it on within 0.25 s. With 2.5 s, customers
exceeded the bound when a third of the gateways was cut off in a flood."""
KNOWN_WITHIN_S = 30.0


class CustomerCount(NamedTuple):
    """The requests of a customer in the last window, at one gateway or at those of one node.

    :param free: those admitted without a permit of a quota owner.
    :param drawn: those admitted with one.
    :param allowed: the most that its quota allows in a window.
    """

    customer: str
    free: float
    drawn: float
    allowed: float


class CustomerUse(NamedTuple):
    """The requests of a customer in the last window, over all gateways."""

    customer: str
    requests: float


class HeardGateway(NamedTuple):
    """A gateway that reports to a node, and how long ago it last did."""

    gateway: str
    age_s: float


class _Report(NamedTuple):
    counts: dict[str, CustomerCount]
    reported_at: float

    is_direct: bool = False

    def weight(self, now: float) -> float:
        """Return the part of the counted requests that counts for the last window.

        A gateway that falls silent may go on as before. Its counts only age once it is taken for
        lost, and its part of the rate is withheld instead.
        """
        kept_s = HEARD_WITHIN_S if self.is_direct else 0.0
        age_s = max(0.0, now - self.reported_at - kept_s)
        return max(0.0, 1.0 - age_s / (WINDOW_S - kept_s))


@final
class CustomerUsage:
    """The counts that were reported to one node, and those that were reported to others.

    :param now: when the node started.
    """

    def __init__(self, *, now: float) -> None:
        self._started_at = now
        self._gateways: dict[str, _Report] = {}
        self._members: dict[str, _Report] = {}
        self._heard_at: dict[str, float] = {}
        self._serving: set[str] = set()
        self._sums: dict[str, _Total] = {}
        self._summed_at = float("-inf")
        self._shares: deque[tuple[float, dict[str, float]]] = deque()

    @property
    def serving_members(self) -> tuple[str, ...]:
        """The other nodes that are known to run a build that grants permits."""
        return tuple(sorted(self._serving))

    @property
    def is_used(self) -> bool:
        """Whether any gateway has lately reported a customer's requests."""
        reports = (*self._gateways.values(), *self._members.values())
        return any(report.counts for report in reports)

    @property
    def started_at(self) -> float:
        """When the node started; it knows nothing of the time before."""
        return self._started_at

    def record_gateway(
        self, gateway: str, counts: tuple[CustomerCount, ...], *, now: float
    ) -> None:
        """Record what a gateway reports to this node."""
        by_customer = {count.customer: count for count in counts}
        self._gateways[gateway] = _Report(by_customer, now, is_direct=True)
        self._heard_at[gateway] = now

    def record_member(
        self,
        member: str,
        counts: tuple[CustomerCount, ...],
        gateways: Iterable[HeardGateway],
        *,
        now: float,
    ) -> None:
        """Record another node's totals, and the gateways that report to it."""
        self._serving.add(member)
        self._members[member] = _Report({count.customer: count for count in counts}, now)
        for gateway, age_s in gateways:
            heard_at = now - max(0.0, age_s)
            own = self._gateways.get(gateway)
            if own is not None and own.reported_at < heard_at:
                # It reports to the other node now, which counts its requests.
                del self._gateways[gateway]
            self._heard_at[gateway] = max(heard_at, self._heard_at.get(gateway, heard_at))

    def own_totals(self, *, now: float) -> tuple[CustomerCount, ...]:
        """Return the totals of what gateways have reported to this node."""
        self._forget(now)
        return tuple(
            CustomerCount(customer, *total)
            for customer, total in sorted(_totals(self._gateways, now).items())
        )

    def own_gateways(self, *, now: float) -> tuple[HeardGateway, ...]:
        """Return the gateways that report to this node."""
        return tuple(
            HeardGateway(gateway, round(now - report.reported_at, 3))
            for gateway, report in sorted(self._gateways.items())
        )

    def known_use(self, customer: str, *, now: float) -> KnownUse:
        """Return a customer's requests of the last window, over all gateways."""
        free = drawn = 0.0
        for reports in (self._gateways, self._members):
            for report in reports.values():
                count = report.counts.get(customer)
                if count is not None:
                    weight = report.weight(now)
                    free += weight * count.free
                    drawn += weight * count.drawn
        return KnownUse(free, drawn)

    def high_use(self, *, now: float) -> tuple[CustomerUse, ...]:
        """Return the use of every customer above a quarter of its allowance."""
        return tuple(
            CustomerUse(customer, round(total.requests, 2))
            for customer, total in sorted(self._all_totals(now).items())
            if total.requests > REPORTED_SHARE * total.allowed
        )

    def has_risen(self, *, now: float) -> bool:
        """Return whether a customer has begun to flood since about a second ago.

        Compares with the values of earlier calls.
        """
        shares = {
            customer: total.requests / total.allowed
            for customer, total in self._all_totals(now).items()
            if total.requests > REPORTED_SHARE * total.allowed
        }
        while self._shares and now - self._shares[0][0] > RISE_S:
            self._shares.popleft()
        before = self._shares[0][1] if self._shares else shares
        self._shares.append((now, shares))
        return any(
            share > RISEN_ABOVE_SHARE and before.get(customer, 0.0) < RISEN_FROM_SHARE
            for customer, share in shares.items()
        )

    def known_gateways(self, *, now: float) -> int:
        """Return how many gateways have been heard from at all nodes, for some time back."""
        self._forget(now)
        return len(self._heard_at)

    def heard_share(self, *, now: float) -> float:
        """Return the part of the known gateways that has lately been heard from."""
        known = self.known_gateways(now=now)
        heard = sum(now - at <= HEARD_WITHIN_S for at in self._heard_at.values())
        return heard / known if known else 1.0

    def _all_totals(self, now: float) -> dict[str, _Total]:
        """Return the totals of all nodes; sums that were just made are used again."""
        if now - self._summed_at >= SUMS_LIFETIME_S:
            self._summed_at = now
            self._sums = _totals(self._gateways, now)
            for customer, other in _totals(self._members, now).items():
                self._sums[customer] = _sum(self._sums.get(customer), other)
        return self._sums

    def _forget(self, now: float) -> None:
        for reports in (self._gateways, self._members):
            for name in [name for name, report in reports.items() if not report.weight(now)]:
                del reports[name]
        for name in [name for name, at in self._heard_at.items() if now - at > KNOWN_WITHIN_S]:
            del self._heard_at[name]


class _Total(NamedTuple):
    free: float
    drawn: float
    allowed: float

    @property
    def requests(self) -> float:
        """All requests of the last window."""
        return self.free + self.drawn


def _totals(reports: Mapping[str, _Report], now: float) -> dict[str, _Total]:
    totals: dict[str, _Total] = {}
    for report in reports.values():
        weight = report.weight(now)
        for customer, free, drawn, allowed in report.counts.values():
            counted = _Total(weight * free, weight * drawn, allowed)
            totals[customer] = _sum(totals.get(customer), counted)
    return totals


def _sum(total: _Total | None, other: _Total) -> _Total:
    if total is None:
        return other
    return _Total(
        total.free + other.free, total.drawn + other.drawn, min(total.allowed, other.allowed)
    )
