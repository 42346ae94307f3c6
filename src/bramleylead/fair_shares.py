"""Shares of served work by name, over a recent span of time: for branches and for customers.

Nodes use them to tell which branches received more than their share; gateways, which customers.
Neither module depends on the other's package.
"""

from __future__ import annotations

import math
from typing import final

INACTIVE_SHARE = 0.001
"""A name whose part of the total is below this counts as inactive."""


@final
class DecayedSum:
    """A sum that decays exponentially with a time constant, in constant time and space."""

    __slots__ = ("_at_s", "_tau_s", "_value")

    def __init__(self, tau_s: float) -> None:
        self._tau_s = tau_s
        self._value = 0.0
        self._at_s = 0.0

    def add(self, amount: float, now: float) -> None:
        """Add to the sum."""
        self._value = self.value(now) + amount
        self._at_s = now

    def value(self, now: float) -> float:
        """Return the decayed sum."""
        return self._value * math.exp((self._at_s - now) / self._tau_s)


@final
class ServedShares:
    """Tracks which branches recently received more than their share.

    :param over_factor: multiple of its share above which a branch is over its share.
    """

    def __init__(self, *, tau_s: float, over_factor: float) -> None:
        self._tau_s = tau_s
        self._over_factor = over_factor
        self._total = DecayedSum(tau_s)
        self._branches: dict[str, tuple[DecayedSum, float]] = {}
        self._total_weight = 0.0
        self._weight_updated_at_s = float("-inf")

    def add(self, branch: str, weight: float, cost: float, now: float) -> None:
        """Add served cost of a branch."""
        entry = self._branches.get(branch)
        served = entry[0] if entry is not None else DecayedSum(self._tau_s)
        served.add(cost, now)
        self._branches[branch] = (served, weight)
        self._total.add(cost, now)

    def is_over(self, branch: str, now: float) -> bool:
        """Whether a branch received more than its share among the active branches."""
        entry = self._branches.get(branch)
        total = self._total.value(now)
        if entry is None or total <= 0:
            return False
        served, weight = entry
        fair_share = weight / max(weight, self._active_weight(now))
        return served.value(now) > self._over_factor * fair_share * total

    def served(self, branch: str, now: float) -> float:
        """Return the recently served cost of a branch."""
        entry = self._branches.get(branch)
        return 0.0 if entry is None else entry[0].value(now)

    def total(self, now: float) -> float:
        """Return the recently served cost of all branches."""
        return self._total.value(now)

    def drop_inactive(self, now: float) -> None:
        """Drop the branches that have hardly been served lately."""
        inactive = [
            name
            for name, (served, _) in self._branches.items()
            if served.value(now) < INACTIVE_SHARE * self._total.value(now)
        ]
        for name in inactive:
            del self._branches[name]

    def _active_weight(self, now: float) -> float:
        """Return the total weight of the recently served branches, updated once per second."""
        if now - self._weight_updated_at_s < 1.0:
            return self._total_weight
        self._weight_updated_at_s = now
        self.drop_inactive(now)
        self._total_weight = sum(weight for _, weight in self._branches.values())
        return self._total_weight
