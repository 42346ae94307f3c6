"""The ledger's members at an epoch, and how many of them must acknowledge an entry.

The member list is stored in the platform's store. Each change is a conditional write that raises
the epoch by one and adds or removes one node, so that any majority before the change and any
majority after it have a node in common.
"""

from __future__ import annotations

from typing import Any
from typing import NamedTuple

from bramleylead.connection import message


@message(162)
class LedgerMember(NamedTuple):
    """One node that is a member of the ledger.

    :param disk: identifies the disk's content; a node that lost its disk returns with another one.
    """

    node: str
    address: str
    disk: str
    data_centre: str = ""


@message(163)
class LedgerView(NamedTuple):
    """The members of the ledger at an epoch; epoch 0 is before the first change."""

    epoch: int
    members: tuple[LedgerMember, ...]

    def member(self, node: str) -> LedgerMember | None:
        """Return a node's entry."""
        return next((member for member in self.members if member.node == node), None)

    def without(self, node: str) -> LedgerView:
        """Return the next view, with a node removed."""
        remaining = tuple(member for member in self.members if member.node != node)
        return LedgerView(self.epoch + 1, remaining)

    def with_member(self, added: LedgerMember) -> LedgerView:
        """Return the next view, with a node added."""
        return LedgerView(self.epoch + 1, (*self.members, added))

    def with_updated_member(self, changed: LedgerMember) -> LedgerView:
        """Return the next view, with another address for a member; its disk stays the same."""
        members = tuple(
            changed if member.node == changed.node else member for member in self.members
        )
        return LedgerView(self.epoch + 1, members)

    def acks_needed(self, losses: int) -> int:
        """Return how many members must have an entry on disk before it is committed.

        :param losses: how many members may lose their disks at once.
        """
        return _acks_needed(len(self.members), losses)

    def absences_needed(self, losses: int) -> int:
        """Return how many members must lack an entry before it is certain that it does not exist.

        The entry may have been committed in the epoch before, while a member joined that had copied
        the records already, or by a member that has been removed since.

        :param losses: how many members may lose their disks at once.
        """
        count = len(self.members)
        if count <= losses:
            return count + 1
        holders = min(_acks_needed(count, losses), _acks_needed(count + 1, losses) - 1)
        if count - 1 > losses:
            holders = min(holders, _acks_needed(count - 1, losses))
        return count - holders + 1

    def syncs_before_join(self, losses: int, *, has_settled: bool = False) -> int:
        """Return how many members must synchronise before a node is added.

        :param losses: how many members may lose their disks at once.
        :param has_settled: whether one of them has copied from all others since they adopted this
            epoch. It has the entries of earlier epochs, and where all members must acknowledge an
            entry, those of this epoch too.
        """
        if has_settled and self.acks_needed(losses) == len(self.members):
            return 1
        return self.acks_needed(0)

    def syncs_before_retirement(self, losses: int) -> int:
        """Return how many of the others must synchronise before a member leaves.

        Each entry committed in this epoch is held by at least one of any so many of them, and each
        one committed in the epoch before by one of them or by the member, from which they copy too.

        :param losses: how many members may lose their disks at once.
        """
        return max(1, len(self.members) - self.acks_needed(losses) + 1)

    def syncs_before_removal(self, losses: int, *, lost: int = 0, copied: int = 0) -> int:
        """Return how many of the others must synchronise before a member is removed for good.

        The member is silent or has lost its disk, so that the others can't copy from it. Any so
        many of them hold each entry committed in this epoch or the one before.

        :param losses: how many members may lose their disks at once.
        :param lost: if the member has lost its disk, how many of the others are known to have lost
            theirs too. Each may be removed only by itself, so waiting for them would never end.
        :param copied: from how many other members the one that removes has copied since they
            adopted this epoch: it holds what they acknowledged in the epoch before.
        """
        least = self.syncs_before_retirement(losses)
        count = len(self.members)
        if count <= losses:
            return least
        return max(least, min(self.absences_needed(losses) - copied, count - 1 - lost))

    def may_remove_silent(self, losses: int) -> bool:
        """Return whether enough members remain without a silent one."""
        return len(self.members) - 1 >= losses + 2


def _acks_needed(member_count: int, losses: int) -> int:
    return max(member_count // 2 + 1, losses + 1)


NO_VIEW = LedgerView(0, ())


def view_to_plain(view: LedgerView) -> dict[str, Any]:
    """Return a view as plain JSON values."""
    return {"epoch": view.epoch, "members": [member._asdict() for member in view.members]}


def view_from_plain(plain: Any) -> LedgerView:
    """Return the view that plain JSON values describe.

    :raises ValueError: if they don't describe a view.
    """
    try:
        members = tuple(LedgerMember(**member) for member in plain["members"])
        if not all(isinstance(field, str) for member in members for field in member):
            raise TypeError("a member's fields must be texts")
        return LedgerView(int(plain["epoch"]), members)
    except (KeyError, TypeError, OverflowError) as error:
        raise ValueError(f"invalid ledger members: {type(error).__name__}: {error}") from error
