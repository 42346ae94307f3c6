"""Estimates quantiles of the pauses of programs, for each tool and in constant space.

An observation moves each quantile up or down by a step, depending on which side of the quantile it
is (the stochastic approximation of Robbins and Monro, 1951, on the logarithm of the pause). The
estimates follow changes and need no stored observations.
"""

from __future__ import annotations

import math
from typing import NamedTuple
from typing import final

TRACKED_QUANTILES = (0.25, 0.5, 0.75, 0.9, 0.99)
LOG_STEP = 0.25
"""Step by which a quantile moves, on the scale of the logarithm of the pause."""
INITIAL_PAUSE_S = 2.0
MIN_PAUSE_S = 0.001
MAX_TRACKED_TOOLS = 1_000


class PauseQuantiles(NamedTuple):
    """Pause lengths in seconds at the quantiles ``TRACKED_QUANTILES``."""

    seconds: tuple[float, ...]

    def share_within(self, within_s: float) -> float:
        """Return the largest tracked share of pauses that end within a time; 0 if none does."""
        share = 0.0
        for tracked, seconds in zip(TRACKED_QUANTILES, self.seconds, strict=True):
            if seconds <= within_s:
                share = tracked
        return share


@final
class PauseLengths:
    """Quantiles of the pauses by tool. The empty name stands for pauses of the user."""

    def __init__(self) -> None:
        self._log_quantiles: dict[str, list[float]] = {}

    def record_pause(self, tool: str, pause_s: float) -> None:
        """Record the length of a pause, which ended with the program's next call."""
        log_quantiles = self._log_quantiles.get(tool)
        if log_quantiles is None:
            if len(self._log_quantiles) >= MAX_TRACKED_TOOLS:
                return
            log_quantiles = [math.log(max(MIN_PAUSE_S, pause_s))] * len(TRACKED_QUANTILES)
            self._log_quantiles[tool] = log_quantiles
            return
        log_pause = math.log(max(MIN_PAUSE_S, pause_s))
        for index, share in enumerate(TRACKED_QUANTILES):
            log_quantiles[index] += LOG_STEP * (
                share if log_pause > log_quantiles[index] else share - 1.0
            )

    def quantiles(self, tool: str) -> PauseQuantiles:
        """Return the quantiles of a tool's pauses."""
        log_quantiles = self._log_quantiles.get(
            tool, [math.log(INITIAL_PAUSE_S)] * len(TRACKED_QUANTILES)
        )
        return PauseQuantiles(tuple(sorted(math.exp(log) for log in log_quantiles)))
