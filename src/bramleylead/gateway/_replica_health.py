"""Which replicas fail, judged by what becomes of the requests sent to them.

Health checks cost and may lie, so requests are the only evidence. A replica that fails is put
aside, the longer the more of its requests failed. After that one request at a time tries it, until
enough of them have gone well.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import final

import anyio
import structlog

FAILURE_GAIN = 0.3
"""How far one failure moves the share of failures towards all; a success moves it back by less,
so that a replica that fails two of five requests stays known for it."""
SUCCESS_GAIN = 0.15
TRUSTED_BELOW = 0.2
LONGEST_ASIDE_S = 5.0
ASIDE_SHARE_LIMIT = 0.5
"""If more of a service's replicas fail than this, the cause is elsewhere."""

log = structlog.get_logger()


class _Record:
    """What is known of one replica.

    :ivar failing: the share of its requests that fail, newer ones weighing more.
    :ivar aside_until: until then it is sent nothing while others can take the work.
    :ivar trials: requests under way that tell whether it works again.
    """

    def __init__(self) -> None:
        self.failing = 0.0
        self.aside_until = float("-inf")
        self.trials = 0


@final
class ReplicaHealth:
    """What one node has seen of the replicas' failures."""

    def __init__(self) -> None:
        self._records: dict[str, _Record] = {}

    def began(self, name: str) -> None:
        """Take in that a request is sent to a replica."""
        record = self._records.get(name)
        if record is not None:
            record.trials += 1

    def ended(self, name: str) -> None:
        """Take in that a request to a replica is over, however it ended."""
        record = self._records.get(name)
        if record is not None:
            record.trials = max(0, record.trials - 1)

    def succeeded(self, name: str) -> None:
        """Take in that a replica answered as it should."""
        record = self._records.get(name)
        if record is None:
            return
        before = record.failing
        record.failing -= SUCCESS_GAIN * record.failing
        if record.failing < TRUSTED_BELOW <= before:
            log.info("replica_trusted", replica=name, failing=round(record.failing, 2))

    def failed(self, name: str, *, reason: str) -> None:
        """Take in that a replica did not answer as it should."""
        record = self._records.setdefault(name, _Record())
        record.failing += FAILURE_GAIN * (1.0 - record.failing)
        aside_s = LONGEST_ASIDE_S * record.failing**2
        record.aside_until = max(record.aside_until, anyio.current_time() + aside_s)
        log.info(
            "replica_put_aside",
            replica=name,
            failing=round(record.failing, 2),
            aside_s=round(aside_s, 2),
            reason=reason,
        )

    def unreached(self, name: str, *, reason: str) -> None:
        """Take in that no connection to a replica opened: it fails all its requests."""
        self._records.setdefault(name, _Record()).failing = 1.0
        self.failed(name, reason=reason)

    def put_aside(self, names: Sequence[str]) -> set[str]:
        """Return those of a service's replicas that are sent nothing while others can take it."""
        doubted = [name for name in names if self._is_doubted(name)]
        doubted.sort(key=lambda name: self._records[name].failing, reverse=True)
        return set(doubted[: int(len(names) * ASIDE_SHARE_LIMIT)])

    def forget(self, name: str) -> None:
        """Drop what is known of a replica that is gone."""
        self._records.pop(name, None)

    def known(self) -> set[str]:
        """Return the replicas that have failed."""
        return set(self._records)

    def _is_doubted(self, name: str) -> bool:
        record = self._records.get(name)
        if record is None or record.failing < TRUSTED_BELOW:
            return False
        return anyio.current_time() < record.aside_until or record.trials > 0
