"""The interfaces of membership and of the configuration in force, as other modules see them."""

from __future__ import annotations

from collections.abc import Sequence
from enum import StrEnum
from typing import NamedTuple
from typing import Protocol

from bramleylead.version import Config


class MemberState(StrEnum):
    """What this node believes of a member."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    """Did not answer lately; counts as alive until its time to refute has run out."""
    LEAVING = "leaving"
    """Stops gracefully: must get nothing new, still serves what it has."""
    DEAD = "dead"


class Member(NamedTuple):
    """One node of the fleet as far as this node knows.

    :param address: ``host:port`` of its peer listener.
    :param http_address: ``host:port`` of its HTTP interfaces.
    :param incarnation: raised by the member itself to refute a suspicion or a false death.
    :param boot_id: differs for each start of the process.
    :param ticket: number in force when last heard.
    :param store_ok: whether the store answered it when last heard; ``None`` when not known.
    :param ticket_age_s: age of its proof of currency when last heard; negative when not known.
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
        """Return one member, also a dead one that is still remembered."""
        ...

    async def wait_changed(self) -> None:
        """Wait until a member joins, leaves, dies, returns or changes its place."""
        ...

    async def store_reachable_by_peers(self) -> bool | None:
        """Ask a few peers, first in other data centres, whether the store answers them.

        ``True``: it answers one of them, so this node is cut off from it. ``False``: those that
        know say that it is out. ``None``: no peer that knows could be asked.
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

        True with a proof, no older than the bound, that it has the latest ticket, or while peers
        confirm that the store, and with it every new ticket, is out.
        """
        ...

    async def wait_changed(self, after_number: int) -> None:
        """Wait until a ticket above ``after_number`` is in force."""
        ...
