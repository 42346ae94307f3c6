"""Keeps the request rates that replicas name as their limits, shared among all gateways.

A limit holds for the requests of all gateways together, and asking for each request would cost a
call. Each gateway therefore takes the part of the limit that its share of the fleet's traffic
amounts to. Load patterns that this answers:

- Replicas in trouble name a limit while traffic goes on: a gateway's permits accrue at its part of
  the rate, and a request without a permit goes elsewhere.
- Many gateways and a low limit: a gateway's part is less than one request a second. An unused
  permit lapses, since otherwise all gateways could use theirs at the same moment.
- One gateway has most of the traffic: it has the same share of the permits.
- The limit ends: the first answer that names none lifts it.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from typing import final

import anyio

INITIAL_SHARE = 0.1
"""Share of a gateway that has not yet learned its share."""
BURST_S = 0.5
"""Unused permits of this time may be used at once."""
PERMIT_LIFETIME_S = 1.0
DEMAND_HALF_LIFE_S = 2.0


@final
class _Permits:
    """The permits of one gateway for one replica, which accrue at a constant rate."""

    def __init__(self, rate_per_s: float, rng: random.Random) -> None:
        self._rate_per_s = rate_per_s
        # At a random point of the interval: all gateways begin at about the same time.
        self._level = rng.random()
        self._updated_at = anyio.current_time()

    @property
    def available(self) -> bool:
        """Whether a request may be sent now."""
        self._accrue()
        return self._level >= 1.0

    def set_rate(self, rate_per_s: float) -> None:
        """Change the rate; what has accrued is kept."""
        self._accrue()
        self._rate_per_s = rate_per_s

    def take(self) -> bool:
        """Use a permit; return whether there was one."""
        if not self.available:
            return False
        self._level = self._level - 1.0 if self._rate_per_s >= 1.0 else 0.0
        return True

    def wait_s(self) -> float:
        """Return how long it takes until a permit is available."""
        if self.available:
            return 0.0
        return (1.0 - self._level) / self._rate_per_s if self._rate_per_s > 0 else float("inf")

    def _accrue(self) -> None:
        now = anyio.current_time()
        self._level += (now - self._updated_at) * self._rate_per_s
        self._updated_at = now
        if self._rate_per_s >= 1.0:
            self._level = min(self._level, max(1.0, BURST_S * self._rate_per_s))
        else:
            # The permit lapses, and the next one begins to accrue.
            self._level %= 1.0 + PERMIT_LIFETIME_S * self._rate_per_s


@final
class RateLimits:
    """The limits that replicas have named, and this gateway's permits."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._limits: dict[str, float] = {}
        self._permits: dict[str, _Permits] = {}
        self._share = INITIAL_SHARE
        self._demand = 0.0
        self._demand_at = anyio.current_time()

    @property
    def demand_per_s(self) -> float:
        """The requests a second that callers have lately sent to this gateway."""
        self._decay_demand()
        return self._demand / DEMAND_HALF_LIFE_S

    @property
    def share(self) -> float:
        """Part of the fleet's traffic that this gateway has, from 0 to 1, as last learned."""
        return self._share

    def record_demand(self) -> None:
        """Count a request of a caller."""
        self._decay_demand()
        self._demand += 1.0

    def record_share(self, share: float) -> None:
        """Record this gateway's share of the fleet's traffic, from 0 to 1."""
        self._share = share
        for name in self._limits:
            self._update_rate(name)

    def record_limit(self, name: str, limit_per_s: float | None) -> bool:
        """Record the limit that a replica's answer names, if any; return whether it changed."""
        former = self._limits.get(name)
        if former == limit_per_s:
            return False
        if limit_per_s is None:
            self.forget([name])
        else:
            self._limits[name] = limit_per_s
            self._update_rate(name)
        return True

    def has_permit(self, name: str) -> bool:
        """Return whether a request may be sent to a replica now."""
        permits = self._permits.get(name)
        return permits is None or permits.available

    def take(self, name: str) -> bool:
        """Use a permit for a request to a replica; return whether there was one."""
        permits = self._permits.get(name)
        return permits is None or permits.take()

    def wait_s(self, names: Iterable[str]) -> float:
        """Return how long it takes until one of the replicas may be sent a request."""
        permits = (self._permits.get(name) for name in names)
        return min((0.0 if own is None else own.wait_s() for own in permits), default=float("inf"))

    def limited_replicas(self) -> set[str]:
        """Return the replicas that name a limit."""
        return set(self._limits)

    def slots(self, name: str, slots: int, *, request_s: float) -> float:
        """Return how many of a replica's slots can be busy under its limit.

        :param request_s: how long a request takes on average.
        """
        limit_per_s = self._limits.get(name)
        return float(slots) if limit_per_s is None else min(slots, limit_per_s * request_s)

    def forget(self, names: Iterable[str]) -> None:
        """Drop the limits of replicas."""
        for name in names:
            self._limits.pop(name, None)
            self._permits.pop(name, None)

    def _update_rate(self, name: str) -> None:
        rate_per_s = self._share * self._limits[name]
        permits = self._permits.get(name)
        if permits is None:
            self._permits[name] = _Permits(rate_per_s, self._rng)
        else:
            permits.set_rate(rate_per_s)

    def _decay_demand(self) -> None:
        now = anyio.current_time()
        self._demand *= 0.5 ** ((now - self._demand_at) / DEMAND_HALF_LIFE_S)
        self._demand_at = now
