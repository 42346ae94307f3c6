"""How many connections from outside a process takes before it closes idle ones.

Every connection takes a descriptor, and the process needs descriptors for itself: connections to
replicas, to the ledger and to the store, and files. So a server closes the connection that has been
idle for longest once it has more than its share. A connection with a request is never closed.
"""

from __future__ import annotations

import itertools
import resource
from enum import IntEnum
from typing import Protocol
from typing import final

import anyio
import structlog

RESERVED_DESCRIPTORS = 200
"""For files, and for the connections of the process itself."""
MAX_RESERVED_SHARE = 0.25
CALLERS_SHARE = 0.5
NODES_SHARE = 0.125
MONITORING_SHARE = 0.03
MIN_CONNECTIONS = 4
UNLIMITED_DESCRIPTORS = 1_048_576
"""What counts as the limit if there is none."""
MAX_TRIES = 16
LOG_INTERVAL_S = 10.0

log = structlog.get_logger()


class Use(IntEnum):
    """What a connection is used for; of the idle ones, those with the lowest value go first."""

    NEW = 0
    """Nothing has been received."""
    KEPT = 1
    """Its last request has been answered."""
    BEGUN = 2
    """A request has been received in part."""
    REQUEST = 3
    """A request is running; never closed."""


class Closable(Protocol):
    """A connection that can be closed for another one."""

    def close_if_idle(self) -> bool:
        """Close the connection unless data waits on it; return whether it was closed."""
        ...


def descriptor_share(share: float) -> int:
    """Return how many connections a share of the process's descriptors is."""
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if limit == resource.RLIM_INFINITY:
        limit = UNLIMITED_DESCRIPTORS
    reserved = min(RESERVED_DESCRIPTORS, int(limit * MAX_RESERVED_SHARE))
    return max(MIN_CONNECTIONS, int(share * (limit - reserved)))


@final
class ConnectionLimit:
    """The connections of one server by their use, in each the longest idle first.

    :param share: of the process's descriptors that are not reserved.
    """

    def __init__(self, share: float) -> None:
        self.limit = descriptor_share(share)
        self.closed = 0
        self._by_use: tuple[dict[Closable, None], ...] = tuple({} for _ in Use)
        self._uses: dict[Closable, Use] = {}
        self._logged_at = -LOG_INTERVAL_S

    def __len__(self) -> int:
        return len(self._uses)

    def add(self, connection: Closable) -> None:
        """Add a new connection; close an idle one if there are too many."""
        if len(self._uses) >= self.limit:
            self.close_idle()
        self._uses[connection] = Use.NEW
        self._by_use[Use.NEW][connection] = None

    def mark(self, connection: Closable, use: Use) -> None:
        """Note what a connection is used for from now on."""
        former = self._uses.get(connection)
        if former is None or former is use:
            return
        del self._by_use[former][connection]
        self._by_use[use][connection] = None
        self._uses[connection] = use

    def remove(self, connection: Closable) -> None:
        """Remove a connection that has ended."""
        use = self._uses.pop(connection, None)
        if use is not None:
            del self._by_use[use][connection]

    def close_idle(self) -> bool:
        """Close the connection that has been idle for longest; return whether there was one."""
        for use in (Use.NEW, Use.KEPT, Use.BEGUN):
            for connection in list(itertools.islice(self._by_use[use], MAX_TRIES)):
                if connection.close_if_idle():
                    self.remove(connection)
                    self._note_closed()
                    return True
        return False

    def _note_closed(self) -> None:
        self.closed += 1
        now = anyio.current_time()
        if now - self._logged_at >= LOG_INTERVAL_S:
            self._logged_at = now
            log.warning("idle_connections_closed", connections=len(self), closed=self.closed)
