"""The interface between a program's owner and the journal of its partition."""

from __future__ import annotations

from typing import Protocol

from result import Result

from bramleylead.errors import Failure
from bramleylead.process.journal._entries import Entry
from bramleylead.process.journal._state import PartitionState


class PartitionLog(Protocol):
    """One partition that this node owns: its state, and the journal that both copies keep."""

    number: int

    @property
    def epoch(self) -> int:
        """The fencing number of this owner's orders; it can rise while the partition is owned."""
        ...

    @property
    def state(self) -> PartitionState:
        """The state after every acknowledged entry. Only entries change it."""
        ...

    async def append(self, *entries: Entry) -> Result[bool, Failure]:
        """Journal entries and apply them to the state, all or none.

        With no entries it is a barrier: it confirms with the second copy that this node is still
        the owner.

        ``Ok(True)`` when both copies hold them. ``Ok(False)`` when this node alone does, since the
        second copy is lost and peers confirm the store's outage, or since there is no other node;
        only entries that may be lost get this answer.

        ``Err``: the entries are not in this node's state and never will be, but a successor's may
        hold them. Nothing that depends on them may be done. ``NOT_DURABLE``: no second copy
        confirmed in time. ``OWNER_UNAVAILABLE``: another node owns the partition now.
        """
        ...

    def may_act(self) -> bool:
        """Whether an irreversible act may start: the second copy confirmed us recently."""
        ...


class PartitionDirectory(Protocol):
    """Finds the owner of a partition."""

    def log(self, partition: int) -> PartitionLog | None:
        """Return the partition's journal when this node owns it and serves it."""
        ...

    def owner_address(self, partition: int) -> str | None:
        """Return the peer address of the owner as far as this node knows."""
        ...

    def forget_owner(self, partition: int, address: str) -> None:
        """Take in that this address is not the owner; the next look-up reads again."""
        ...
