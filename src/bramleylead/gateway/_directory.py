"""A gateway's cached state: the configuration in force and the list of replicas.

Both are updated by watching the platform's store. While the store is unavailable, the last known
state stays in use. A configuration is never replaced by an older version.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any
from typing import NamedTuple
from typing import final

import anyio
import structlog

from bramleylead.platform import _names as names
from bramleylead.platform._follow import COALESCE_DELAY_S
from bramleylead.platform._follow import MAX_BACKOFF_S
from bramleylead.platform._follow import ConfirmingSource
from bramleylead.platform._types import Configuration
from bramleylead.platform._types import Replica

STORE_RETRY_S = MAX_BACKOFF_S
"""The store was back at the latest so long after the last call that failed."""
ENTRY_RETURN_S = 2.0
"""The platform's bound on the time from the store's return until a live replica's entry is back."""
LEARNING_S = 2 * COALESCE_DELAY_S + 0.1
"""A change may wait behind another one at a ledger node, and again at the gateway."""
EXPIRY_GRACE_S = STORE_RETRY_S + ENTRY_RETURN_S + LEARNING_S
"""An entry that is missing this long after the store last failed is gone. It doesn't count from
when this gateway learns of it: a replica that leaves after an outage would be used for too long."""

log = structlog.get_logger()


class _MissingEntry(NamedTuple):
    """When this gateway learned that an entry is missing, and until when its replica is used."""

    since: float
    used_until: float


@final
class Directory:
    """The configuration and the replicas that one gateway knows."""

    def __init__(self) -> None:
        self._configuration: Configuration | None = None
        self._replicas: dict[str, Replica] = {}
        self._missing: dict[str, _MissingEntry] = {}
        self._announced_leaving: set[str] = set()
        self._store_failed_at = float("-inf")
        self._replicas_listed = False
        self._source: ConfirmingSource | None = None
        self.changed = anyio.Event()

    @property
    def configuration(self) -> Configuration | None:
        """The configuration in force; ``None`` until the first is read."""
        return self._configuration

    @property
    def is_complete(self) -> bool:
        """Whether both the configuration and the list of replicas have been read."""
        return self._configuration is not None and self._replicas_listed

    @property
    def replica_list_age_s(self) -> float:
        """Seconds since the time up to which all changes of the replicas are known."""
        return self._age_s(names.REPLICA_KIND)

    @property
    def configuration_age_s(self) -> float:
        """Seconds since the time up to which all versions of the configuration are known."""
        return self._age_s(names.CONFIGURATION_KIND)

    def may_have_quotas(self) -> bool:
        """Return whether a customer has a quota, or no configuration is known yet."""
        if self._configuration is None:
            return True
        return any(customer.quota is not None for customer in self._configuration.customers.all)

    def set_source(self, source: ConfirmingSource) -> None:
        """Set the source that all is read from, which tells the age of what is known."""
        self._source = source

    def replicas(self, service: str) -> Sequence[Replica]:
        """Return the replicas of a service that may be sent new requests."""
        return [
            replica
            for replica in self._replicas.values()
            if replica.service == service and self.is_usable(replica.name)
        ]

    def usable(self) -> Sequence[Replica]:
        """Return all replicas that may be sent new requests."""
        return [replica for replica in self._replicas.values() if self.is_usable(replica.name)]

    def find(self, name: str) -> Replica | None:
        """Return a replica's entry as it is now."""
        return self._replicas.get(name)

    def is_usable(self, name: str) -> bool:
        """Return whether a replica may be sent new requests."""
        replica = self._replicas.get(name)
        if replica is None or replica.leaving or name in self._announced_leaving:
            return False
        missing = self._missing.get(name)
        return missing is None or anyio.current_time() < missing.used_until

    def is_current(self, replica: Replica) -> bool:
        """Return whether a replica that was chosen before may still be sent that request."""
        listed = self._replicas.get(replica.name)
        if listed is None or listed.software != replica.software:
            return False
        return listed.address == replica.address and self.is_usable(replica.name)

    def replica_names(self) -> set[str]:
        """Return the names of all known replicas, including leaving ones."""
        return set(self._replicas)

    def dump(self) -> list[dict[str, Any]]:
        """Return every known replica, and for how long its entry has been missing."""
        now = anyio.current_time()
        present = _MissingEntry(now, now)
        return [
            {
                **replica._asdict(),
                "missing_s": round(now - self._missing.get(replica.name, present).since, 3),
            }
            for replica in self._replicas.values()
        ]

    def record_store_failure(self, ago_s: float = 0.0) -> None:
        """Record that the store failed to answer ``ago_s`` seconds ago."""
        self._store_failed_at = max(self._store_failed_at, anyio.current_time() - ago_s)

    def apply_configuration(self, configuration: Configuration, *, source: str) -> bool:
        """Put a configuration in force if it is newer; return whether it was."""
        current = self._configuration
        if current is not None and configuration.version <= current.version:
            return False
        self._configuration = configuration
        log.info(
            "configuration_in_force",
            version=configuration.version,
            former=None if current is None else current.version,
            routes=len(configuration.routes),
            customers=len(configuration.customers.all),
            source=source,
        )
        self._notify_changed()
        return True

    def record_leaving(self, replica: Replica) -> None:
        """Record that a replica has announced in a response that it leaves.

        It gets no further request, whatever the list says, until the list has a new replica under
        its name.
        """
        if replica.name in self._announced_leaving or replica.name not in self._replicas:
            return
        self._announced_leaving.add(replica.name)
        log.info("replica_leaving", replica=replica.name, address=replica.address)

    def put_replica(self, replica: Replica) -> None:
        """Add or update a replica."""
        previous = self._replicas.get(replica.name)
        if previous is not None and previous.address != replica.address:
            self._announced_leaving.discard(replica.name)
        self._missing.pop(replica.name, None)
        if previous == replica:
            return
        self._replicas[replica.name] = replica
        log.info(
            "replica_changed" if previous else "replica_added",
            replica=replica.name,
            service=replica.service,
            address=replica.address,
            software=replica.software_version,
            leaving=replica.leaving,
        )
        self._notify_changed()

    def remove_replica(self, name: str) -> None:
        """Remove a replica; after a recent store failure, only mark its entry as missing."""
        if name not in self._replicas or name in self._missing:
            return
        now = anyio.current_time()
        since_failure_s = now - self._store_failed_at
        if since_failure_s >= EXPIRY_GRACE_S:
            self._drop_replica(name, "removed")
            return
        self._missing[name] = _MissingEntry(now, self._store_failed_at + EXPIRY_GRACE_S)
        log.info(
            "replica_missing",
            replica=name,
            trouble_s=round(since_failure_s, 3),
            used_for_s=round(EXPIRY_GRACE_S - since_failure_s, 3),
        )

    def replace_replicas(self, replicas: Sequence[Replica]) -> None:
        """Replace the list of replicas."""
        self._replicas_listed = True
        for replica in replicas:
            self.put_replica(replica)
        listed = {replica.name for replica in replicas}
        for name in [name for name in self._replicas if name not in listed]:
            self.remove_replica(name)

    def drop_expired(self) -> None:
        """Drop the replicas whose missing entries did not return within the grace period."""
        now = anyio.current_time()
        for name, missing in list(self._missing.items()):
            if now >= missing.used_until:
                self._drop_replica(name, "lapsed")

    def _age_s(self, kind: str) -> float:
        if self._source is None:
            return float("inf")
        return anyio.current_time() - self._source.confirmed_at(kind)

    def _drop_replica(self, name: str, reason: str) -> None:
        self._missing.pop(name, None)
        self._announced_leaving.discard(name)
        self._replicas.pop(name, None)
        log.info("replica_gone", replica=name, reason=reason)
        self._notify_changed()

    def _notify_changed(self) -> None:
        self.changed.set()
        self.changed = anyio.Event()
