"""How much of its share of the replicas each customer has used lately.

Load patterns that this answers:

- A customer floods through few gateways. Its use over all gateways comes from outside, some
  tenths of a second late, or not at all. What a gateway has itself sent for the customer is a lower
  bound of its use that is known at once.
- A flood begins: programs that start now send most of their requests later. A program is therefore
  charged its expected requests when it starts, and these charges are compared with what is usual
  at this gateway, until the use over all gateways shows the flood.
- A small customer's requests vary by chance, in groups, since a program sends several. Deviations
  that chance explains are no excess.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import NamedTuple
from typing import final

import anyio

from bramleylead.customers import Customer
from bramleylead.fair_shares import DecayedSum
from bramleylead.fair_shares import ServedShares

USE_WINDOW_S = 5.0
SURGE_WINDOW_S = 1.0
USUAL_WINDOW_S = 30.0
"""In its first 30 s, a gateway takes too little for usual, so that a flood never counts as such."""
USUAL_USE = 1 / 1.6
"""Use of its quota by a customer at its usual rate: quotas are about 1.6 times that rate."""
SURGE_USE = 0.8
"""A surge that leaves a customer below this use of its quota isn't one that needs an answer. Below
1, since one gateway sees only its part of a flood."""
CHANCE_DEVIATIONS = 2.0
SURGE_CHANCE_DEVIATIONS = 1.25
"""Fewer, as a surge counts for about a second only: a false one costs one refusal."""
MAX_PROGRAM_REQUESTS = 20.0
DROP_INTERVAL_S = 5.0
MIN_TRAFFIC_SHARE = 1e-4


def unknown_use(customer: Customer) -> float:
    """Return 0: nothing is known of the use of a customer over all gateways."""
    return 0.0


class Use(NamedTuple):
    """A customer's use of its share, relative to it.

    The share is what its quota's rate allows. Without a quota, it is the mean of the customers over
    all gateways or, if that is more, 1.6 times the customer's usual requests at this gateway.

    :param own: requests of the last 5 s through this gateway.
    :param fleet: requests of the last 5 s over all gateways, as told from outside; 0 if unknown.
    :param tolerance: by how much both may exceed 1 without being beyond the share.
    :param surge: requests expected of the programs that started here lately, relative to what
        is usual here; 0 if they don't bring the customer beyond its quota.
    :param surge_tolerance: by how much the surge may exceed 1.
    """

    own: float = 0.0
    fleet: float = 0.0
    tolerance: float = 0.0
    surge: float = 0.0
    surge_tolerance: float = 0.0

    @property
    def known(self) -> float:
        """The use over all gateways, as far as it is known."""
        return max(self.own, self.fleet)

    @property
    def excess(self) -> float:
        """The use beyond the share, as a multiple of the share; 0 within it."""
        lasting = self.known - 1.0 - self.tolerance
        return max(0.0, lasting, self.surge - 1.0 - self.surge_tolerance)


NO_USE = Use()


@final
class CustomerUse:
    """The use of the customers, as one gateway knows it.

    :param use_of: returns a customer's requests of the last 5 s over all gateways, divided by
        those that its quota's rate allows; 0 if unknown.
    """

    def __init__(self, use_of: Callable[[Customer], float] = unknown_use) -> None:
        self._use_of = use_of
        self._recent = ServedShares(tau_s=USE_WINDOW_S, over_factor=1.0)
        self._charged = ServedShares(tau_s=SURGE_WINDOW_S, over_factor=1.0)
        self._usual = ServedShares(tau_s=USUAL_WINDOW_S, over_factor=1.0)
        self._starts = DecayedSum(USUAL_WINDOW_S)
        self._dropped_at = anyio.current_time()

    def record_request(self, customer: Customer, *, now: float) -> None:
        """Count a request that this gateway sends to a replica."""
        self._recent.add(customer.name, 1.0, 1.0, now)
        self._usual.add(customer.name, 1.0, 1.0, now)
        if now - self._dropped_at > DROP_INTERVAL_S:
            self._dropped_at = now
            for shares in (self._recent, self._charged, self._usual):
                shares.drop_inactive(now)

    def record_start(self, customer: Customer, *, now: float) -> None:
        """Charge a program that starts with the requests that it is expected to send."""
        self._starts.add(1.0, now)
        self._charged.add(customer.name, 1.0, self._program_requests(now), now)

    def use(self, customer: Customer, *, customers: int, traffic_share: float, now: float) -> Use:
        """Return a customer's use of its share.

        :param customers: how many customers the configuration has.
        :param traffic_share: this gateway's share of the fleet's traffic.
        """
        recent = self._recent.served(customer.name, now)
        usual = self._usual.served(customer.name, now) * USE_WINDOW_S / USUAL_WINDOW_S
        fleet = self._use_of(customer)
        total = self._recent.total(now) / max(traffic_share, MIN_TRAFFIC_SHARE)
        mean = total / max(customers, 1)
        here = max(mean, usual / USUAL_USE)
        if here <= 0:
            return Use(fleet=fleet)
        quota = customer.quota
        has_quota = quota is not None and quota.rate_per_s > 0
        share = quota.rate_per_s * USE_WINDOW_S if has_quota else here
        burst = quota.burst / share if has_quota else 0.0
        program = self._program_requests(now)
        charged = self._charged.served(customer.name, now) * USE_WINDOW_S / SURGE_WINDOW_S
        rise = max(charged, recent) - usual
        is_surge = not has_quota or (fleet or USUAL_USE) + rise / share > SURGE_USE
        return Use(
            own=recent / share,
            fleet=fleet,
            tolerance=max(burst, _chance(share, program, CHANCE_DEVIATIONS)),
            surge=charged / here if is_surge else 0.0,
            surge_tolerance=_chance(
                here * SURGE_WINDOW_S / USE_WINDOW_S, program, SURGE_CHANCE_DEVIATIONS
            ),
        )

    def _program_requests(self, now: float) -> float:
        """Return the requests for each program that started here."""
        starts = self._starts.value(now)
        if starts < 1.0:
            return 1.0
        return min(MAX_PROGRAM_REQUESTS, max(1.0, self._usual.total(now) / starts))


def _chance(requests: float, program_requests: float, deviations: float) -> float:
    """Return how far a number of requests may deviate by chance, relative to it."""
    return deviations * math.sqrt(requests * program_requests) / requests
