"""Which replicas a gateway can reach itself, as its connections show.

A connection that can't be opened tells nothing about whose fault it is: the replica may have
crashed, or this gateway may be cut off.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import final

FAILURE_LIFETIME_S = 3.0
"""A failure tells nothing about replicas that fail this much later."""


@final
class ReplicaPaths:
    """What one gateway knows of its direct network paths to the replicas."""

    def __init__(self) -> None:
        self._unreached_at: dict[str, float] = {}
        self._heard_at = float("-inf")

    @property
    def heard_at(self) -> float:
        """When any replica last sent something on a direct connection."""
        return self._heard_at

    def record_heard(self, *, now: float) -> None:
        """Record that a replica sent something on a direct connection."""
        self._heard_at = now

    def record_reached(self, name: str, *, now: float) -> None:
        """Record that a direct connection to a replica was opened."""
        self._unreached_at.clear()

    def record_unreached(self, name: str, *, now: float) -> None:
        """Record that no direct connection to a replica could be opened."""
        self._unreached_at[name] = now

    def unreached(self, *, now: float) -> list[str]:
        """Return the replicas that could not be reached lately, while no other one could."""
        return [name for name, at in self._unreached_at.items() if now - at < FAILURE_LIFETIME_S]

    def forget(self, names: Iterable[str]) -> None:
        """Drop the state of removed replicas."""
        for name in names:
            self._unreached_at.pop(name, None)

    def known_replicas(self) -> set[str]:
        """Return the replicas that have recorded state."""
        return set(self._unreached_at)
