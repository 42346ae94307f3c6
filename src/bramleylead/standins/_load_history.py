"""The load reports of a fake engine: sampled at fixed times, seen with a lag."""

from __future__ import annotations

import math
from collections import deque
from typing import NamedTuple
from typing import final

from bramleylead.backends import LoadReport

KEPT_CHANGES = 10_000


class _Load(NamedTuple):
    at_s: float
    running: int
    waiting: int
    kv_used_tokens: int


@final
class LoadHistory:
    """Every change of an engine's load, from which a report of any time is read."""

    def __init__(self, *, kv_tokens: int, lag_s: float, interval_s: float) -> None:
        self._kv_tokens = kv_tokens
        self._lag_s = lag_s
        self._interval_s = interval_s
        self._loads: deque[_Load] = deque([_Load(-math.inf, 0, 0, 0)], maxlen=KEPT_CHANGES)

    def note(self, now: float, running: int, waiting: int, kv_used_tokens: int) -> None:
        """Take in the load as it is now."""
        self._loads.append(_Load(now, running, waiting, kv_used_tokens))

    def report(self, now: float) -> LoadReport:
        """Return the load as it was at the last report that has come out by now."""
        ticks = math.floor((now - self._lag_s) / self._interval_s)
        sampled_s = ticks * self._interval_s
        found = next((load for load in reversed(self._loads) if load.at_s <= sampled_s), None)
        seen = self._loads[0] if found is None else found
        age_s = now - sampled_s
        return LoadReport(seen.running, seen.waiting, seen.kv_used_tokens, self._kv_tokens, age_s)
