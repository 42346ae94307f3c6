"""The nodes of a data centre that read the tickets from the store for the others."""

from __future__ import annotations

from typing import final

from bramleylead.fleet._members import Member
from bramleylead.fleet._rendezvous import store_watchers
from bramleylead.node_settings import NodeSettings
from bramleylead.process.membership._membership import Membership


@final
class Watchers:
    """The watchers of this node's data centre, by the present view of the fleet."""

    def __init__(self, settings: NodeSettings, membership: Membership) -> None:
        self._data_centre = settings.data_centre
        self._per_data_centre = settings.tickets.watchers_per_data_centre
        self._membership = membership

    def members(self) -> list[Member]:
        """Return the watchers, the one that writes snapshots first."""
        return store_watchers(self._membership.alive(), self._data_centre, self._per_data_centre)

    def includes_self(self) -> bool:
        """Whether this node is a watcher."""
        return self._membership.self_name in [member.node for member in self.members()]

    def is_self_first(self) -> bool:
        """Whether this node is the watcher that writes snapshots."""
        first = next(iter(self.members()), None)
        return first is not None and first.node == self._membership.self_name
