"""Interfaces of the membership and of the configuration in force, for use by other modules."""

from __future__ import annotations

from collections.abc import Sequence
from enum import StrEnum
from typing import NamedTuple
from typing import Protocol

from bramleylead.version import Config


class MemberState(StrEnum):
    """State of a member as this node knows it."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    """Did not answer a recent probe; counts as alive until the suspicion timeout expires."""
    LEAVING = "leaving"
    """Stopping gracefully: gets no new work, but still serves what it has."""
    DEAD = "dead"


class Member(NamedTuple):
    """One node of the fleet, as this node knows it.

    :param address: ``host:port`` of its peer listener.
    :param http_address: ``host:port`` of its HTTP interfaces.
    :param incarnation: raised by the member itself to refute a wrong suspect or dead state.
    :param boot_id: differs for each start of the process.
    :param ticket: number in force at its last status report.
    :param store_ok: whether the store answered it at that time; ``None`` if unknown.
    :param ticket_age_s: age of its currency proof at that time; negative if unknown.
    """

    node: str
    address: str
    http_address: str
    region: str
    data_centre: str
    state: MemberState = MemberState.ALIVE
    incarnation: int = 0
    boot_id: str = ""
    ticket: int = 0
    store_ok: bool | None = None
    ticket_age_s: float = -1.0


class MemberList(Protocol):
    """The members of the fleet; every list is sorted by node name."""

    @property
    def self_name(self) -> str:
        """The name of this node."""
        ...

    def members(self) -> Sequence[Member]:
        """Return every member that is not dead, this node included."""
        ...

    def alive(self) -> Sequence[Member]:
        """Return members that are alive or suspect and not leaving, this node included."""
        ...

    def get(self, node: str) -> Member | None:
        """Return one member, also a dead one whose record is still kept."""
        ...

    async def wait_changed(self) -> None:
        """Wait until a member joins, leaves, dies, returns, restarts or changes its address."""
        ...

    async def store_reachable_by_peers(self) -> bool | None:
        """Ask a few peers of every data centre whether the store answers them.

        ``True``: it answers at least one of them, so this node is cut off from it.
        ``False``: peers of a majority of data centres report an outage. ``None``: too few answered.
        """
        ...


class ConfigSource(Protocol):
    """The configuration in force on this node."""

    @property
    def config(self) -> Config:
        """The configuration after the last ticket that was applied."""
        ...

    def is_current(self) -> bool:
        """Whether this node may act on its configuration.

        True if it holds a recent enough proof that it has the latest ticket, or while peers
        confirm that the store is out, since no new ticket can be accepted then.
        """
        ...

    async def wait_changed(self, after_number: int) -> None:
        """Wait until a ticket above ``after_number`` is in force."""
        ...
