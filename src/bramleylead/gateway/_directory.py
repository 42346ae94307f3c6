"""What a gateway believes: the configuration in force and the replicas, with their age.

Both follow the platform's store by a watch. While the store is silent, the last known state stays
in use. A version once seen is never replaced by an earlier one.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any
from typing import final

import anyio
import structlog

from bramleylead.gateway._types import Configuration
from bramleylead.gateway._types import Replica

LAPSE_WINDOW_S = 6.0
"""An entry that goes this soon after trouble at the store may only have expired meanwhile."""
LAPSE_GRACE_S = 2.2

log = structlog.get_logger()


@final
class Directory:
    """The configuration and the replicas as one gateway knows them."""

    def __init__(self) -> None:
        self._configuration: Configuration | None = None
        self._replicas: dict[str, Replica] = {}
        self._missing_since: dict[str, float] = {}
        self._trouble_at = float("-inf")
        self._listed = False
        self.changed = anyio.Event()

    @property
    def configuration(self) -> Configuration | None:
        """The configuration in force; ``None`` before the first was read."""
        return self._configuration

    @property
    def is_complete(self) -> bool:
        """Whether both the configuration and the list of replicas have been read."""
        return self._configuration is not None and self._listed

    def replicas(self, service: str) -> Sequence[Replica]:
        """Return the replicas of a service that may be sent new work."""
        now = anyio.current_time()
        return [
            replica
            for replica in self._replicas.values()
            if replica.service == service
            and not replica.leaving
            and now - self._missing_since.get(replica.name, now) < LAPSE_GRACE_S
        ]

    def names(self) -> set[str]:
        """Return the names of all replicas that are known, leaving ones too."""
        return set(self._replicas)

    def dump(self) -> list[dict[str, Any]]:
        """Return every known replica, and since when its entry is missing."""
        now = anyio.current_time()
        return [
            {
                **replica._asdict(),
                "missing_s": round(now - self._missing_since.get(replica.name, now), 3),
            }
            for replica in self._replicas.values()
        ]

    def note_trouble(self, ago_s: float = 0.0) -> None:
        """Take in that the store did not answer some time ago."""
        self._trouble_at = max(self._trouble_at, anyio.current_time() - ago_s)

    def adopt(self, configuration: Configuration, *, source: str) -> bool:
        """Put a configuration in force unless a later one is; returns whether it now is."""
        current = self._configuration
        if current is not None and configuration.version <= current.version:
            return False
        self._configuration = configuration
        log.info(
            "configuration_in_force",
            version=configuration.version,
            former=None if current is None else current.version,
            routes=len(configuration.routes),
            source=source,
        )
        self._tell()
        return True

    def put(self, replica: Replica) -> None:
        """Take in an entry of the list of replicas."""
        before = self._replicas.get(replica.name)
        self._missing_since.pop(replica.name, None)
        if before == replica:
            return
        self._replicas[replica.name] = replica
        log.info(
            "replica_changed" if before else "replica_added",
            replica=replica.name,
            service=replica.service,
            address=replica.address,
            leaving=replica.leaving,
        )
        self._tell()

    def remove(self, name: str) -> None:
        """Take in that an entry is gone."""
        if name not in self._replicas:
            return
        now = anyio.current_time()
        trouble_s = now - self._trouble_at
        if trouble_s < LAPSE_WINDOW_S:
            if name not in self._missing_since:
                self._missing_since[name] = now
                log.info("replica_missing", replica=name, trouble_s=round(trouble_s, 3))
            return
        self._drop(name, "removed")

    def replace_all(self, replicas: Sequence[Replica]) -> None:
        """Take in the whole list."""
        self._listed = True
        for replica in replicas:
            self.put(replica)
        listed = {replica.name for replica in replicas}
        for name in [name for name in self._replicas if name not in listed]:
            self.remove(name)

    def drop_lapsed(self) -> None:
        """Forget the replicas whose entries have not come back in time."""
        now = anyio.current_time()
        for name, since in list(self._missing_since.items()):
            if now - since >= LAPSE_GRACE_S:
                self._drop(name, "lapsed")

    def _drop(self, name: str, reason: str) -> None:
        self._missing_since.pop(name, None)
        self._replicas.pop(name, None)
        log.info("replica_gone", replica=name, reason=reason)
        self._tell()

    def _tell(self) -> None:
        self.changed.set()
        self.changed = anyio.Event()
