"""How long programs pause, learned for each tool: a few quantiles in constant space.

Each quantile moves by a step that depends on which side of it an observation falls (the stochastic
approximation of Robbins and Monro, 1951, on the logarithm of the pause), so that it follows
changes and keeps no observations.
"""

from __future__ import annotations

import math
from typing import NamedTuple
from typing import final

TRACKED_SHARES = (0.25, 0.5, 0.75, 0.9, 0.99)
STEP = 0.25
"""Step of a quantile, in units of the pause's logarithm."""
FIRST_PAUSE_S = 2.0
LEAST_PAUSE_S = 0.001
KEPT_TOOLS = 1_000


class PauseQuantiles(NamedTuple):
    """Pause lengths in seconds that ``TRACKED_SHARES`` of the pauses don't exceed."""

    seconds: tuple[float, ...]

    def share_within(self, within_s: float) -> float:
        """Return the share of pauses that end within a time, at the tracked steps."""
        share = 0.0
        for tracked, seconds in zip(TRACKED_SHARES, self.seconds, strict=True):
            if seconds <= within_s:
                share = tracked
        return share


@final
class PauseLengths:
    """Quantiles of the pauses of each tool; the empty name stands for the user's own pauses."""

    def __init__(self) -> None:
        self._logs: dict[str, list[float]] = {}

    def ended(self, tool: str, pause_s: float) -> None:
        """Take in a pause that ended with the program's next call."""
        logs = self._logs.get(tool)
        if logs is None:
            if len(self._logs) >= KEPT_TOOLS:
                return
            logs = [math.log(max(LEAST_PAUSE_S, pause_s))] * len(TRACKED_SHARES)
            self._logs[tool] = logs
            return
        seen = math.log(max(LEAST_PAUSE_S, pause_s))
        for index, share in enumerate(TRACKED_SHARES):
            logs[index] += STEP * (share if seen > logs[index] else share - 1.0)

    def of(self, tool: str) -> PauseQuantiles:
        """Return what is known of a tool's pauses."""
        logs = self._logs.get(tool, [math.log(FIRST_PAUSE_S)] * len(TRACKED_SHARES))
        return PauseQuantiles(tuple(sorted(math.exp(log) for log in logs)))
