"""Endpoints on which an owner's calls failed; a pool whose endpoints are all down is tried last.

A dispatcher ejects at most half of its pool, and a pool that has failed completely still reports a
low load. Therefore each owner tracks the failures of its own calls to detect such a pool.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass
from typing import final

from bramleylead.scheduling._types import SlotFinished

FAILURES_TO_DOWN = 2
"""Consecutive failures after which a reachable endpoint is down; one if it is unreachable."""
INITIAL_DOWN_S = 5.0
MAX_DOWN_S = 40.0


@dataclass(slots=True)
class _FailureRecord:
    failures: int = 0
    down_s: float = INITIAL_DOWN_S
    until_s: float = float("-inf")


@final
class DownEndpoints:
    """Marks endpoints as down after failed calls, for a time that doubles up to a maximum."""

    def __init__(self) -> None:
        self._records: dict[str, _FailureRecord] = {}

    def record_result(self, report: SlotFinished, now: float) -> None:
        """Record the result of one of this owner's calls."""
        if report.ok:
            self._records.pop(report.endpoint, None)
            return
        record = self._records.setdefault(report.endpoint, _FailureRecord())
        record.failures += 1
        if now < record.until_s or (report.reached and record.failures < FAILURES_TO_DOWN):
            return
        record.until_s = now + record.down_s
        record.down_s = min(2 * record.down_s, MAX_DOWN_S)

    def down_names(self, now: float) -> tuple[str, ...]:
        """Return the endpoints that are down, sorted."""
        return tuple(sorted(name for name in self._records if self.is_down(name, now)))

    def all_down(self, endpoints: Collection[str], avoid: Collection[str], now: float) -> bool:
        """Whether every endpoint is down, or in ``avoid`` because the call has failed on it."""
        return all(name in avoid or self.is_down(name, now) for name in endpoints)

    def retain(self, endpoints: Collection[str]) -> None:
        """Forget endpoints that are no longer in the configuration."""
        self._records = {
            name: record for name, record in self._records.items() if name in endpoints
        }

    def is_down(self, name: str, now: float) -> bool:
        """Whether an endpoint is down now."""
        record = self._records.get(name)
        return record is not None and now < record.until_s
