"""How long work is expected to take on each replica, relative to the usual time.

Answers replicas that share their machines with other work: some are slower for good, and any may be
slow for less than a second. The last figure says most while it is fresh. After that, the average of
past figures says more.

Gateways pass on the figures that they heard lately as counters in their load reports, since each of
them hears from a replica too rarely by itself.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple
from typing import final

from bramleylead.placement._fleet_table import COUNTER_SEPARATOR

USUAL = 1.0
LAST_FIGURE_HALF_LIFE_S = 0.3
"""Replicas that were slow for 600 ms at a time had on average half of that left."""
LASTING_HALF_LIFE_S = 4.0
"""Time over which figures are averaged; several slow phases fall into it."""
MAX_FIGURE_WEIGHT = 0.25
"""Weight of a single figure in the average, however long there was none before."""
RELAX_HALF_LIFE_S = 20.0
"""Without figures, the average returns to the usual speed, so that a replica that is avoided for
its speed is tried again."""
MIN_SLOWDOWN = 0.5
MAX_SLOWDOWN = 5.0
"""Bounds for what a replica that reports false figures can gain or lose."""
MAX_SHARED_AGE_S = 0.3
AGE_STEP_S = 0.05
SPEED_MARK = "x"


class _Speed(NamedTuple):
    """What is known of one replica.

    :param lasting: moving average of its figures.
    :param measured_at: when it had the speed ``last``.
    :param is_own: whether this gateway heard the last figure itself.
    """

    lasting: float
    last: float
    measured_at: float
    is_own: bool


@final
class ReplicaSpeed:
    """The slowdown of replicas, from the figures that they report with their responses."""

    def __init__(self) -> None:
        self._speeds: dict[str, _Speed] = {}

    def record(self, name: str, slowdown: float | None, *, now: float) -> None:
        """Record what a replica reports; ``None`` if it reports no figure, or no longer does."""
        if slowdown is None:
            self._speeds.pop(name, None)
        else:
            self._record(name, slowdown, now, is_own=True)

    def record_counters(self, counters: Mapping[str, int], *, now: float) -> None:
        """Record the figures that other gateways have heard, as far as they are newer."""
        for key in counters:
            name, separator, figure = key.partition(COUNTER_SEPARATOR + SPEED_MARK)
            if not separator:
                continue
            percent, _, steps = figure.partition(".")
            if not _is_count(percent) or not _is_count(steps):
                continue
            measured_at = now - int(steps) * AGE_STEP_S
            known = self._speeds.get(name)
            if known is None or known.measured_at + AGE_STEP_S < measured_at:
                self._record(name, int(percent) / 100, measured_at, is_own=False)

    def counters(self, *, now: float) -> dict[str, int]:
        """Return the figures that this gateway has heard lately, with their age in steps."""
        return {
            f"{name}{COUNTER_SEPARATOR}{SPEED_MARK}{speed.last * 100:.0f}."
            f"{(now - speed.measured_at) / AGE_STEP_S:.0f}": 1
            for name, speed in self._speeds.items()
            if speed.is_own and now - speed.measured_at < MAX_SHARED_AGE_S
        }

    def expected(self, name: str, *, now: float) -> float:
        """Return the expected slowdown of a request that starts now; 1.0 if nothing is known."""
        speed = self._speeds.get(name)
        if speed is None:
            return USUAL
        age_s = now - speed.measured_at
        lasting = USUAL + (speed.lasting - USUAL) * 0.5 ** (age_s / RELAX_HALF_LIFE_S)
        return lasting + (speed.last - lasting) * 0.5 ** (age_s / LAST_FIGURE_HALF_LIFE_S)

    @property
    def is_reported(self) -> bool:
        """Whether any replica reports its speed."""
        return bool(self._speeds)

    def is_known(self, name: str) -> bool:
        """Return whether a replica reports its speed."""
        return name in self._speeds

    def forget(self, name: str) -> None:
        """Drop the state of a removed replica."""
        self._speeds.pop(name, None)

    def known_replicas(self) -> set[str]:
        """Return the replicas that have recorded state."""
        return set(self._speeds)

    def _record(self, name: str, slowdown: float, measured_at: float, *, is_own: bool) -> None:
        figure = min(MAX_SLOWDOWN, max(MIN_SLOWDOWN, slowdown))
        known = self._speeds.get(name)
        lasting, elapsed_s = USUAL, float("inf")
        if known is not None:
            elapsed_s = max(0.0, measured_at - known.measured_at)
            lasting = known.lasting
        weight = min(MAX_FIGURE_WEIGHT, 1.0 - 0.5 ** (elapsed_s / LASTING_HALF_LIFE_S))
        lasting += weight * (figure - lasting)
        self._speeds[name] = _Speed(lasting, figure, measured_at, is_own)


def _is_count(text: str) -> bool:
    return text.isascii() and text.isdigit() and len(text) <= 4
