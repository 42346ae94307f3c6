"""Ejects failing or slow endpoints from a pool for a time, and readmits them with probe calls."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple
from typing import final

from bramleylead.scheduling._endpoint_view import EndpointView
from bramleylead.scheduling._types import SlotFinished

FAILURES_TO_EJECT = 3
"""Consecutive failures after which an endpoint is ejected."""
SLOW_FACTOR = 5.0
"""Multiple of the pool's median first-token time above which an endpoint is ejected."""
SLOW_MIN_S = 2.0
"""An endpoint with a shorter average first-token time is never ejected as slow."""
INITIAL_EJECTION_S = 5.0
MAX_EJECTION_S = 60.0
MAX_EJECTED_SHARE = 0.5
"""Maximum share of a pool ejected at once. If more of them fail, the cause lies elsewhere."""
FIRST_TOKEN_WEIGHT = 0.2


class _Record:
    """Consecutive failures, consecutive ejections, and the end of the current ejection."""

    __slots__ = ("ejected_until", "ejections", "failures")

    def __init__(self) -> None:
        self.failures = 0
        self.ejections = 0
        self.ejected_until = 0.0


class HealthChange(NamedTuple):
    """An endpoint was ejected for ``for_s`` seconds, or restored if ``for_s`` is 0."""

    endpoint: str
    for_s: float
    reason: str


@final
class EndpointHealth:
    """Ejects endpoints that fail or are slow, and readmits each with one probe call at a time.

    A successful probe restores the endpoint; a failed one ejects it for twice as long.
    """

    def __init__(self) -> None:
        self._records: dict[str, _Record] = {}

    def record_result(
        self, view: EndpointView, report: SlotFinished, pool: Mapping[str, EndpointView], now: float
    ) -> HealthChange | None:
        """Process the result of a call; return an ejection or restoration that it causes."""
        record = self._records.setdefault(view.name, _Record())
        if report.ok:
            return self._record_success(view, record, report, pool, now)
        record.failures += 1
        if view.probing or record.failures >= FAILURES_TO_EJECT:
            return self._eject(view, record, pool, now, f"{record.failures} consecutive failures")
        return None

    def readmit(self, pool: Mapping[str, EndpointView], now: float) -> None:
        """Readmit endpoints whose ejection is over, for one probe call at a time."""
        for name, record in self._records.items():
            view = pool.get(name)
            if view is None or not view.ejected or now < record.ejected_until:
                continue
            view.ejected = False
            view.probing = True

    def next_readmission(self, pool: Mapping[str, EndpointView]) -> float:
        """Return when the next ejected endpoint is readmitted; infinity if none is ejected."""
        times = [
            record.ejected_until
            for name, record in self._records.items()
            if name in pool and pool[name].ejected
        ]
        return min(times, default=float("inf"))

    def _record_success(
        self,
        view: EndpointView,
        record: _Record,
        report: SlotFinished,
        pool: Mapping[str, EndpointView],
        now: float,
    ) -> HealthChange | None:
        record.failures = 0
        if report.first_token_s > 0:
            _update_first_token_average(view, report.first_token_s)
        if _is_slow(view, pool):
            return self._eject(
                view, record, pool, now, "first-token time far above the pool's median"
            )
        if view.probing:
            view.probing = False
            record.ejections = 0
            return HealthChange(view.name, 0.0, "probe succeeded")
        return None

    def _eject(
        self,
        view: EndpointView,
        record: _Record,
        pool: Mapping[str, EndpointView],
        now: float,
        reason: str,
    ) -> HealthChange | None:
        ejected_count = sum(1 for other in pool.values() if other.ejected and other is not view)
        if ejected_count + 1 > len(pool) * MAX_EJECTED_SHARE:
            return None
        for_s = min(INITIAL_EJECTION_S * 2**record.ejections, MAX_EJECTION_S)
        record.ejections += 1
        record.ejected_until = now + for_s
        view.probing = False
        record.failures = 0
        view.ejected = True
        view.first_token_s = 0.0
        return HealthChange(view.name, for_s, reason)


def _update_first_token_average(view: EndpointView, first_token_s: float) -> None:
    if view.first_token_s == 0:
        view.first_token_s = first_token_s
        return
    view.first_token_s += FIRST_TOKEN_WEIGHT * (first_token_s - view.first_token_s)


def _is_slow(view: EndpointView, pool: Mapping[str, EndpointView]) -> bool:
    others = sorted(
        other.first_token_s
        for other in pool.values()
        if other is not view and other.first_token_s > 0
    )
    if not others:
        return False
    median = others[len(others) // 2]
    return view.first_token_s > max(SLOW_MIN_S, SLOW_FACTOR * median)
