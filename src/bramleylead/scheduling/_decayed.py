"""Sums that fade with time: what was served a short time ago."""

from __future__ import annotations

import math
from typing import final


@final
class DecayedSum:
    """A sum whose parts fade with a time constant, in constant time and space."""

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
        """Return the faded sum."""
        return self._value * math.exp((self._at_s - now) / self._tau_s)


@final
class ServedShares:
    """Which branches were served more than their share lately.

    :param over: times its share above which a branch counts as over it.
    """

    def __init__(self, *, tau_s: float, over: float) -> None:
        self._tau_s = tau_s
        self._over = over
        self._total = DecayedSum(tau_s)
        self._branches: dict[str, tuple[DecayedSum, float]] = {}
        self._weights = 0.0
        self._counted_at_s = float("-inf")

    def add(self, branch: str, weight: float, cost: float, now: float) -> None:
        """Take in served cost."""
        known = self._branches.get(branch)
        served = known[0] if known is not None else DecayedSum(self._tau_s)
        served.add(cost, now)
        self._branches[branch] = (served, weight)
        self._total.add(cost, now)

    def is_over(self, branch: str, now: float) -> bool:
        """Whether a branch was served more than its share of what the active ones were."""
        known = self._branches.get(branch)
        total = self._total.value(now)
        if known is None or total <= 0:
            return False
        served, weight = known
        fair = weight / max(weight, self._active_weights(now))
        return served.value(now) > self._over * fair * total

    def _active_weights(self, now: float) -> float:
        """Return the weights of the branches served lately, counted once a second."""
        if now - self._counted_at_s < 1.0:
            return self._weights
        self._counted_at_s = now
        gone = [
            name
            for name, (served, _) in self._branches.items()
            if served.value(now) < 0.001 * self._total.value(now)
        ]
        for name in gone:
            del self._branches[name]
        self._weights = sum(weight for _, weight in self._branches.values())
        return self._weights
