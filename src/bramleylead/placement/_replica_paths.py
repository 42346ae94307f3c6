"""Whether a gateway's own network paths to the replicas work, as its connections show.

A connection that can't be opened tells nothing about whose fault it is: the replica may have
crashed, or this gateway may be cut off. Several replicas that can't be reached, and none that can,
make this gateway's paths suspect. Another gateway that reaches one of them proves them lost.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import final

import structlog

SUSPECT_REPLICAS = 2
"""A single unreachable replica has more often crashed."""
LOST_TOGETHER_S = 0.3
"""Connections to several replicas that end within this time may have a common cause."""
FAILURE_LIFETIME_S = 3.0
"""A failure tells nothing about replicas that fail this much later."""
REACHED_TO_RECOVER = 2
"""A single replica that can be reached again may be the only one."""

log = structlog.get_logger()


@final
class ReplicaPaths:
    """What one gateway knows of its direct network paths to the replicas."""

    def __init__(self) -> None:
        self._unreached_at: dict[str, float] = {}
        self._reached: set[str] = set()
        self._broken_at: dict[str, float] = {}
        self._heard_at = float("-inf")
        self._lost_since: float | None = None

    @property
    def is_lost(self) -> bool:
        """Whether the replicas can be reached through other gateways only."""
        return self._lost_since is not None

    @property
    def heard_at(self) -> float:
        """When any replica last sent something on a direct connection."""
        return self._heard_at

    def record_heard(self, *, now: float) -> None:
        """Record that a replica sent something on a direct connection."""
        self._heard_at = now

    def record_reached(self, name: str, *, now: float) -> None:
        """Record that a direct connection to a replica was opened."""
        if self._lost_since is None:
            self._unreached_at.clear()
            return
        self._unreached_at.pop(name, None)
        self._reached.add(name)
        if len(self._reached) >= REACHED_TO_RECOVER or not self._unreached_at:
            log.info(
                "replica_paths_regained",
                lost_s=round(now - self._lost_since, 3),
                reached=sorted(self._reached),
            )
            self._lost_since = None
            self._unreached_at.clear()
            self._reached.clear()

    def record_broken(self, name: str, *, now: float) -> None:
        """Record that an open connection to a replica ended in the middle of a request."""
        self._broken_at[name] = now

    def record_unreached(self, name: str, *, now: float) -> None:
        """Record that no direct connection to a replica could be opened."""
        self._unreached_at[name] = now
        self._reached.discard(name)

    def unreached(self, *, now: float) -> list[str]:
        """Return the replicas that could not be reached lately, while no other one could."""
        return [name for name, at in self._unreached_at.items() if now - at < FAILURE_LIFETIME_S]

    def is_suspect(self, *, now: float) -> bool:
        """Whether the paths rather than the replicas may be the cause of the failures."""
        return len(self.unreached(now=now)) >= SUSPECT_REPLICAS

    def broke_together(self, *, now: float) -> bool:
        """Whether connections to several replicas have ended at about the same time."""
        recent = [at for at in self._broken_at.values() if now - at < LOST_TOGETHER_S]
        return len(recent) >= SUSPECT_REPLICAS

    def needs_relay(self, name: str, *, now: float) -> bool:
        """Whether a new connection to a replica is best made through another gateway."""
        if self.is_lost:
            return name not in self._reached
        return name in self._unreached_at and self.is_suspect(now=now)

    def record_lost(self, *, confirmed_by: str, replica: str, now: float) -> None:
        """Record that another gateway has reached a replica that this one can't reach."""
        if self._lost_since is not None:
            return
        self._lost_since = now
        self._reached.clear()
        log.warning(
            "replica_paths_lost",
            unreached=sorted(self.unreached(now=now)),
            unheard_s=round(now - self._heard_at, 3),
            replica=replica,
            confirmed_by=confirmed_by,
        )

    def record_unreached_elsewhere(self, name: str) -> None:
        """Record that another gateway can't reach a replica either: the replica is the cause."""
        self._unreached_at.pop(name, None)

    def forget(self, names: Iterable[str]) -> None:
        """Drop the state of removed replicas."""
        for name in names:
            self._unreached_at.pop(name, None)
            self._broken_at.pop(name, None)
            self._reached.discard(name)

    def known_replicas(self) -> set[str]:
        """Return the replicas that have recorded state."""
        return {*self._unreached_at, *self._broken_at, *self._reached}
