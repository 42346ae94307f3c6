"""What an owner itself has seen fail: a pool whose endpoints are all down is asked last.

A dispatcher ejects endpoints too, but at most half of its pool, and the news of a dead pool looks
idle. The owner's own memory covers what that leaves open: a pool that is gone as a whole.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass
from typing import final

from bramleylead.scheduling._types import SlotFinished

FAILURES_TO_DOWN = 2
"""Failures in a row of an endpoint that can be reached; one is enough if it can't."""
FIRST_DOWN_S = 5.0
LONGEST_DOWN_S = 40.0


@dataclass(slots=True)
class _Seen:
    failures: int = 0
    down_s: float = FIRST_DOWN_S
    until_s: float = float("-inf")


@final
class DownEndpoints:
    """Endpoints that failed this owner's own calls, each for a time that doubles."""

    def __init__(self) -> None:
        self._seen: dict[str, _Seen] = {}

    def finished(self, report: SlotFinished, now: float) -> None:
        """Take in how a call of this owner went."""
        if report.ok:
            self._seen.pop(report.endpoint, None)
            return
        seen = self._seen.setdefault(report.endpoint, _Seen())
        seen.failures += 1
        if now < seen.until_s or (report.reached and seen.failures < FAILURES_TO_DOWN):
            return
        seen.until_s = now + seen.down_s
        seen.down_s = min(2 * seen.down_s, LONGEST_DOWN_S)

    def names(self, now: float) -> tuple[str, ...]:
        """Return the endpoints that are down, sorted."""
        return tuple(sorted(name for name in self._seen if self.is_down(name, now)))

    def all_down(self, endpoints: Collection[str], avoid: Collection[str], now: float) -> bool:
        """Whether each endpoint is down, or was tried by the call already."""
        return all(name in avoid or self.is_down(name, now) for name in endpoints)

    def forget_others(self, endpoints: Collection[str]) -> None:
        """Keep only what is still in the configuration."""
        self._seen = {name: seen for name, seen in self._seen.items() if name in endpoints}

    def is_down(self, name: str, now: float) -> bool:
        """Whether an endpoint failed lately."""
        seen = self._seen.get(name)
        return seen is not None and now < seen.until_s
