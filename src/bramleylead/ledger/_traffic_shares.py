"""The part of the fleet's traffic that each gateway has, by which they share replicas' limits.

Each gateway reports its requests a second with the messages by which it reads the platform's
objects, and gets its share with the answer. Members tell each other the sum of what was reported to
them. All of this is soft state.
"""

from __future__ import annotations

from typing import NamedTuple
from typing import final

import anyio

REPORT_LIFETIME_S = 2.5
BASE_DEMAND_PER_S = 0.1
"""Added for each gateway, so that one without traffic has a share to begin with."""


class _Demand(NamedTuple):
    """Requests a second, as of a time."""

    per_s: float
    reported_at: float

    @property
    def is_recent(self) -> bool:
        """Whether the reporter is likely to be running still."""
        return anyio.current_time() - self.reported_at < REPORT_LIFETIME_S


@final
class TrafficShares:
    """The demand of the gateways that report to one node, and of those that report to others."""

    def __init__(self) -> None:
        self._gateways: dict[str, _Demand] = {}
        self._members: dict[str, _Demand] = {}

    def record_gateway(self, gateway: str, demand_per_s: float) -> None:
        """Record a gateway's requests a second."""
        demand = _Demand(BASE_DEMAND_PER_S + max(0.0, demand_per_s), anyio.current_time())
        self._gateways[gateway] = demand

    def record_member(self, member: str, demand_per_s: float) -> None:
        """Record the sum of what was reported to another member."""
        self._members[member] = _Demand(demand_per_s, anyio.current_time())

    def own_demand_per_s(self) -> float:
        """Return the sum of what gateways have reported to this node."""
        self._gateways = {name: own for name, own in self._gateways.items() if own.is_recent}
        return sum(demand.per_s for demand in self._gateways.values())

    def share_of(self, gateway: str) -> float:
        """Return a gateway's share of the fleet's traffic; 0 if it has not reported lately."""
        total_per_s = self.own_demand_per_s()
        total_per_s += sum(other.per_s for other in self._members.values() if other.is_recent)
        own = self._gateways.get(gateway)
        return own.per_s / total_per_s if own is not None else 0.0
