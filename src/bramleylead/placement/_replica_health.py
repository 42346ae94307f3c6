"""Passive health checks: ejects replicas by the outcomes of the requests sent to them.

Active health checks cost resources and may be wrong, so only requests count. A failing replica is
ejected for longer the more of its requests failed. After that, it receives one probe request at a
time until enough of them have succeeded.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from collections.abc import Sequence
from typing import final

import anyio
import structlog

FAILURE_WEIGHT = 0.3
"""Weight of a failure in the moving average of failures. A success weighs less, so that a replica
that fails two of five requests stays unhealthy."""
SUCCESS_WEIGHT = 0.15
HEALTHY_BELOW = 0.2
MAX_EJECTION_S = 5.0
MAX_EJECTED_SHARE = 0.5
"""If a larger share of a service's replicas fails, the cause is elsewhere."""

log = structlog.get_logger()


class _ReplicaRecord:
    """The failures of one replica.

    :ivar failure_rate: moving average of the share of its requests that fail.
    :ivar ejected_until: until then it is sent no request while others can take it.
    """

    def __init__(self) -> None:
        self.failure_rate = 0.0
        self.ejected_until = float("-inf")


@final
class ReplicaHealth:
    """The failures of replicas that one node has observed."""

    def __init__(self) -> None:
        self._records: dict[str, _ReplicaRecord] = {}
        self._in_flight: Counter[str] = Counter()

    def start_request(self, name: str) -> None:
        """Record that a request is sent to a replica."""
        self._in_flight[name] += 1

    def end_request(self, name: str) -> None:
        """Record that a request to a replica has ended, with any outcome."""
        self._in_flight[name] -= 1
        if self._in_flight[name] <= 0:
            del self._in_flight[name]

    def record_success(self, name: str) -> None:
        """Record that a replica answered correctly."""
        record = self._records.get(name)
        if record is None:
            return
        previous = record.failure_rate
        record.failure_rate -= SUCCESS_WEIGHT * record.failure_rate
        if record.failure_rate < HEALTHY_BELOW <= previous:
            log.info("replica_trusted", replica=name, failing=round(record.failure_rate, 2))

    def record_failure(self, name: str, *, reason: str) -> None:
        """Record that a replica did not answer correctly."""
        record = self._records.setdefault(name, _ReplicaRecord())
        record.failure_rate += FAILURE_WEIGHT * (1.0 - record.failure_rate)
        ejection_s = MAX_EJECTION_S * record.failure_rate**2
        record.ejected_until = max(record.ejected_until, anyio.current_time() + ejection_s)
        log.info(
            "replica_put_aside",
            replica=name,
            failing=round(record.failure_rate, 2),
            aside_s=round(ejection_s, 2),
            reason=reason,
        )

    def record_connect_failure(self, name: str, *, reason: str) -> None:
        """Record that no connection to a replica could be opened: all its requests fail."""
        self._records.setdefault(name, _ReplicaRecord()).failure_rate = 1.0
        self.record_failure(name, reason=reason)

    def ejected(self, names: Sequence[str]) -> set[str]:
        """Return those of a service's replicas that get no request while others can take it."""
        ejected = [name for name in names if self._is_ejected(name)]
        ejected.sort(key=lambda name: self._records[name].failure_rate, reverse=True)
        return set(ejected[: int(len(names) * MAX_EJECTED_SHARE)])

    def forget(self, name: str) -> None:
        """Drop the state of a removed replica."""
        self._records.pop(name, None)

    def forget_failures(self, names: Iterable[str]) -> None:
        """Drop the failures of replicas that were not their cause."""
        for name in names:
            self.forget(name)

    def known_replicas(self) -> set[str]:
        """Return the replicas that have failed."""
        return set(self._records)

    def _is_ejected(self, name: str) -> bool:
        record = self._records.get(name)
        if record is None or record.failure_rate < HEALTHY_BELOW:
            return False
        return anyio.current_time() < record.ejected_until or self._in_flight[name] > 0
