"""What a pool tells of its load, and how fast its queue drains."""

from __future__ import annotations

from typing import NamedTuple
from typing import final

from bramleylead.connection import message

DURATION_WEIGHT = 0.05
"""Weight of a new duration in the moving average."""
FIRST_DURATION_S = 1.0


@message(44)
class PoolNews(NamedTuple):
    """A pool's load at the moment of an answer, piggybacked on it.

    :param slots: calls that its open endpoints take at once.
    :param expected_wait_s: wait of a call that comes now.
    """

    pool: str
    endpoints: int
    slots: int
    running: int
    queued: int
    expected_wait_s: float


@final
class DrainEstimate:
    """How fast a queue drains: a pool's slots, each freed once a mean call's duration.

    Starts a second would tell the arrival rate instead whenever the queue is empty.
    """

    def __init__(self) -> None:
        self._mean_s = FIRST_DURATION_S
        self._seen = False

    def finished(self, duration_s: float) -> None:
        """Take in how long a call held its slot."""
        if not self._seen:
            self._seen = True
            self._mean_s = duration_s
            return
        self._mean_s += DURATION_WEIGHT * (duration_s - self._mean_s)

    def expected_wait_s(self, ahead: int, *, free: int, slots: int) -> float:
        """Return the wait of a call with ``ahead`` others before it and ``free`` slots open."""
        behind = ahead + 1 - free
        if behind <= 0:
            return 0.0
        return behind * self._mean_s / max(1, slots)
