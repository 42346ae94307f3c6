"""What happens to requests while the limits of all replicas of a service allow none.

A program under way waits a while for a permit. Any other request is refused nearly at once, with a
delay after which a permit is likely to be available.
"""

from __future__ import annotations

import random
from typing import final

import anyio

from bramleylead.gateway._call import Call
from bramleylead.gateway._directory import Directory
from bramleylead.placement._rate_limits import RateLimits

RETRY_AFTER_S = 0.25
MAX_RETRY_AFTER_S = 2.0
MAX_ROOM_RETRY_AFTER_S = 0.75
"""Callers that return at once together meet at the first replica that has room again."""
RETRY_SPREAD = 1.0
"""Callers refused at the same moment return over this part of the delay."""
PERMIT_WAIT_S = 0.2
UNDER_WAY_PERMIT_WAIT_S = 1.0
MIN_PERMIT_WAIT_S = 0.01


@final
class PermitWaits:
    """Waits for permits of one gateway."""

    def __init__(self, directory: Directory, limits: RateLimits, rng: random.Random) -> None:
        self._rng = rng
        self._directory = directory
        self._limits = limits

    async def wait(self, call: Call, service: str, tried_replicas: set[str]) -> bool:
        """Wait until the limit of a replica that was not tried yet allows a request.

        :returns: false, at once, if no limit allows it within the time that the call may wait.
        """
        remaining = {replica.name for replica in self._directory.replicas(service)}
        wait_s = max(MIN_PERMIT_WAIT_S, self._limits.wait_s(remaining - tried_replicas))
        under_way = bool(call.metadata.previous_turn)
        max_wait_s = UNDER_WAY_PERMIT_WAIT_S if under_way else PERMIT_WAIT_S
        if anyio.current_time() + wait_s > min(call.arrived_at + max_wait_s, call.deadline):
            return False
        await anyio.sleep(wait_s)
        return True

    def retry_after_s(self, service: str, *, bounds_memory: bool) -> float:
        """Return when a caller whose request could be sent to no replica should return.

        :param bounds_memory: whether replicas may lack room for a request.
        """
        names = [replica.name for replica in self._directory.replicas(service)]
        wait_s = self._limits.wait_s(names)
        if wait_s == float("inf"):
            return RETRY_AFTER_S
        if bounds_memory and not wait_s:
            # No limit is the cause: the replicas lack room, or were all tried.
            return self._rng.uniform(RETRY_AFTER_S, MAX_ROOM_RETRY_AFTER_S)
        spread = self._rng.uniform(1.0, 1.0 + RETRY_SPREAD)
        return min(MAX_RETRY_AFTER_S, max(RETRY_AFTER_S, wait_s * spread))
