"""Takes failing endpoints out of a pool for a while, and lets them back in by single probes."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple
from typing import final

from bramleylead.scheduling._types import SlotFinished
from bramleylead.scheduling._view import EndpointView

FAILURES_TO_EJECT = 3
"""Failures in a row that take an endpoint out."""
SLOW_FACTOR = 5.0
"""First-token time against the pool's median that takes an endpoint out."""
SLOW_MIN_S = 2.0
"""First-token times below this are never called slow."""
FIRST_EJECTION_S = 5.0
LONGEST_EJECTION_S = 60.0
MAX_EJECTED_SHARE = 0.5
"""Part of a pool that may be out at once; more failures than that are not the endpoints' own."""
FIRST_TOKEN_WEIGHT = 0.2


class _Record:
    """Failures in a row, ejections in a row, and until when the endpoint is out."""

    __slots__ = ("ejected_until", "ejections", "failures")

    def __init__(self) -> None:
        self.failures = 0
        self.ejections = 0
        self.ejected_until = 0.0


class Ejection(NamedTuple):
    """An endpoint left the pool, or came back when ``for_s`` is 0."""

    endpoint: str
    for_s: float
    reason: str


@final
class Health:
    """Ejects endpoints that fail or are slow; an ejected one comes back for one probing call.

    A probe that goes well restores the endpoint; one that fails ejects it for twice as long.
    """

    def __init__(self) -> None:
        self._records: dict[str, _Record] = {}

    def finished(
        self, view: EndpointView, report: SlotFinished, pool: Mapping[str, EndpointView], now: float
    ) -> Ejection | None:
        """Take in how a call went."""
        record = self._records.setdefault(view.name, _Record())
        if report.ok:
            return self._succeeded(view, record, report, pool, now)
        record.failures += 1
        if view.probing or record.failures >= FAILURES_TO_EJECT:
            return self._eject(view, record, pool, now, f"{record.failures} failures in a row")
        return None

    def readmit(self, pool: Mapping[str, EndpointView], now: float) -> None:
        """Let endpoints whose time is over back in, for one call at first."""
        for name, record in self._records.items():
            view = pool.get(name)
            if view is None or not view.ejected or now < record.ejected_until:
                continue
            view.ejected = False
            view.probing = True

    def next_readmission(self, pool: Mapping[str, EndpointView]) -> float:
        """Return when the next ejected endpoint comes back; infinity when none is out."""
        times = [
            record.ejected_until
            for name, record in self._records.items()
            if name in pool and pool[name].ejected
        ]
        return min(times, default=float("inf"))

    def _succeeded(
        self,
        view: EndpointView,
        record: _Record,
        report: SlotFinished,
        pool: Mapping[str, EndpointView],
        now: float,
    ) -> Ejection | None:
        record.failures = 0
        if report.first_token_s > 0:
            _average_first_token(view, report.first_token_s)
        if _is_slow(view, pool):
            return self._eject(view, record, pool, now, "first tokens late against the pool")
        if view.probing:
            view.probing = False
            record.ejections = 0
            return Ejection(view.name, 0.0, "probe went well")
        return None

    def _eject(
        self,
        view: EndpointView,
        record: _Record,
        pool: Mapping[str, EndpointView],
        now: float,
        reason: str,
    ) -> Ejection | None:
        out = sum(1 for other in pool.values() if other.ejected and other is not view)
        if out + 1 > len(pool) * MAX_EJECTED_SHARE:
            return None
        for_s = min(FIRST_EJECTION_S * 2**record.ejections, LONGEST_EJECTION_S)
        record.ejections += 1
        record.ejected_until = now + for_s
        view.probing = False
        record.failures = 0
        view.ejected = True
        view.first_token_s = 0.0
        return Ejection(view.name, for_s, reason)


def _average_first_token(view: EndpointView, seen_s: float) -> None:
    if view.first_token_s == 0:
        view.first_token_s = seen_s
        return
    view.first_token_s += FIRST_TOKEN_WEIGHT * (seen_s - view.first_token_s)


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
