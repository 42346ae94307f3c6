"""What a pool tells of its load, and how fast its queue drains."""

from __future__ import annotations

from typing import NamedTuple
from typing import final

from bramleylead.connection import message

GAP_WEIGHT = 0.1
"""Weight of a new gap between starts in the moving average."""
FIRST_GAP_S = 0.1


@message(44)
class PoolNews(NamedTuple):
    """A pool's load at the moment of an answer, piggybacked on it.

    :param slots: calls that its open endpoints take at once.
    :param expected_wait_s: wait of a call that comes now, of a program under way.
    :param new_wait_s: wait of a new program's first call.
    :param memory_share: part of the engines' cache memory that is believed to be in use.
    """

    pool: str
    endpoints: int
    slots: int
    running: int
    queued: int
    expected_wait_s: float
    new_wait_s: float = 0.0
    memory_share: float = 0.0


@final
class DrainEstimate:
    """How fast a queue drains: the time between starts, seen only while calls are queued.

    Starts in an empty queue's time would tell the arrival rate instead.
    """

    def __init__(self) -> None:
        self._gap_s = FIRST_GAP_S
        self._since: float | None = None

    def queued(self, now: float) -> None:
        """Take in that a call has to wait."""
        if self._since is None:
            self._since = now

    def started(self, now: float, *, left: int) -> None:
        """Take in that a call started, with ``left`` calls still queued."""
        if self._since is not None:
            self._gap_s += GAP_WEIGHT * (now - self._since - self._gap_s)
        self._since = now if left else None

    def expected_wait_s(self, ahead: int) -> float:
        """Return the wait of a call with ``ahead`` others before it."""
        return ahead * self._gap_s
