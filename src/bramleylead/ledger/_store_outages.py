"""Tells an outage of the platform's store from the failure of one ledger node to reach it.

Entries of replicas may expire during an outage although the replicas are alive. If only one node
loses the store, an entry that is removed means that the replica is gone.
"""

from __future__ import annotations

from typing import NamedTuple
from typing import final

import anyio


class _Contact(NamedTuple):
    """A time span without failed calls of one node to the store."""

    since: float
    until: float


@final
class StoreOutages:
    """The failures that several nodes have reported to one process."""

    def __init__(self) -> None:
        self._contacts: dict[str, _Contact] = {}

    def record(self, node: str, since_failure_s: float) -> float | None:
        """Record what a node reports and return when the store failed, if that is new.

        :param since_failure_s: seconds since the node's last failure; negative if it had none.
        :returns: seconds since the failure, or ``None`` if the store did not fail or another node
            reached it at that time.
        """
        now = anyio.current_time()
        failed_at = now - since_failure_s if since_failure_s >= 0 else float("-inf")
        self._contacts[node] = _Contact(failed_at, now)
        others = (contact for name, contact in self._contacts.items() if name != node)
        if since_failure_s < 0 or any(other.since < failed_at < other.until for other in others):
            return None
        return since_failure_s
