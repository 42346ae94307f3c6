"""Which nodes hold the ledger, and how many of them make an entry certain.

The platform's store holds the list, and each change of it raises the epoch by one, by a conditional
write. A change adds or takes away one node, so that a majority before and one after have a node in
common.
"""

from __future__ import annotations

from typing import Any
from typing import NamedTuple

from bramleylead.connection import message


@message(162)
class LedgerMember(NamedTuple):
    """One node that holds the ledger.

    :param disk: names the disk's content; a node whose disk was lost comes back with another.
    """

    node: str
    address: str
    disk: str
    data_centre: str = ""


@message(163)
class LedgerView(NamedTuple):
    """The members of the ledger at an epoch; epoch 0 is before the first."""

    epoch: int
    members: tuple[LedgerMember, ...]

    def member(self, node: str) -> LedgerMember | None:
        """Return a node's entry."""
        return next((member for member in self.members if member.node == node), None)

    def without(self, node: str) -> LedgerView:
        """Return the next view, in which a node is no member."""
        left = tuple(member for member in self.members if member.node != node)
        return LedgerView(self.epoch + 1, left)

    def with_member(self, added: LedgerMember) -> LedgerView:
        """Return the next view, in which a node is a member too."""
        return LedgerView(self.epoch + 1, (*self.members, added))

    def replacing(self, changed: LedgerMember) -> LedgerView:
        """Return the next view, in which a member with the same disk is at another address."""
        members = tuple(
            changed if member.node == changed.node else member for member in self.members
        )
        return LedgerView(self.epoch + 1, members)

    def acks_needed(self, losses: int) -> int:
        """Return how many members must have an entry on disk before it counts.

        :param losses: how many members may lose their disks at once.
        """
        return max(len(self.members) // 2 + 1, losses + 1)


NO_VIEW = LedgerView(0, ())


def view_to_plain(view: LedgerView) -> dict[str, Any]:
    """Return a view as plain JSON values."""
    return {"epoch": view.epoch, "members": [member._asdict() for member in view.members]}


def view_from_plain(plain: Any) -> LedgerView:
    """Return the view that plain JSON values stand for.

    :raises ValueError: if they stand for none.
    """
    try:
        members = tuple(LedgerMember(**member) for member in plain["members"])
        return LedgerView(int(plain["epoch"]), members)
    except (KeyError, TypeError) as error:
        raise ValueError(f"ledger members: {type(error).__name__}: {error}") from error
