"""The load that a pool reports, and an estimate of how fast its queue drains."""

from __future__ import annotations

from typing import NamedTuple
from typing import final

from bramleylead.connection import message

GAP_WEIGHT = 0.1
"""Weight of a new gap between starts in the moving average."""
INITIAL_GAP_S = 0.1


@message(44)
class PoolNews(NamedTuple):
    """A pool's load, sent along with each answer of its dispatcher.

    :param slots: total number of slots of its available endpoints.
    :param expected_wait_s: expected wait of a new call of a started program.
    :param new_program_wait_s: expected wait of the first call of a new program.
    :param memory_share: estimated share of the engines' cache memory that is in use.
    """

    pool: str
    endpoints: int
    slots: int
    running: int
    queued: int
    expected_wait_s: float
    new_program_wait_s: float = 0.0
    memory_share: float = 0.0


@final
class DrainEstimate:
    """Estimates how fast a queue drains from the time between starts while calls are queued.

    With an empty queue, that time would depend on the arrival rate instead.
    """

    def __init__(self) -> None:
        self._gap_s = INITIAL_GAP_S
        self._gap_started_at: float | None = None

    def call_queued(self, now: float) -> None:
        """Record that a call was queued."""
        if self._gap_started_at is None:
            self._gap_started_at = now

    def call_started(self, now: float, *, still_queued: int) -> None:
        """Record that a call was started.

        :param still_queued: number of calls still queued.
        """
        if self._gap_started_at is not None:
            self._gap_s += GAP_WEIGHT * (now - self._gap_started_at - self._gap_s)
        self._gap_started_at = now if still_queued else None

    def expected_wait_s(self, calls_ahead: int) -> float:
        """Return the expected wait of a call with ``calls_ahead`` calls before it."""
        return calls_ahead * self._gap_s
