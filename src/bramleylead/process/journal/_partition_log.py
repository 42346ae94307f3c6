"""Interfaces between the owner of programs and the journals of their partitions."""

from __future__ import annotations

from typing import Protocol

from result import Result

from bramleylead.errors import Failure
from bramleylead.process.journal._entries import Entry
from bramleylead.process.journal._state import PartitionState


class PartitionLog(Protocol):
    """One partition that this node owns: its state and its replicated journal."""

    number: int

    @property
    def epoch(self) -> int:
        """Fencing token of this owner; it can increase while this node owns the partition."""
        ...

    @property
    def state(self) -> PartitionState:
        """State after all acknowledged entries; only journal entries change it."""
        ...

    async def append(self, *entries: Entry) -> Result[bool, Failure]:
        """Journal entries and apply them to the state, all or none.

        Without entries this is a barrier: the second copy confirms that this node is still the
        owner.

        ``Ok(True)``: both copies hold the entries. ``Ok(False)``: only this node holds them, since
        the second copy is lost and peers confirm an outage of the store, or since there is no other
        node; only entries whose loss is tolerable get this result.

        ``Err``: the entries are not in this node's state and never will be, but the next owner may
        have them. The caller must not act as if they were journaled. ``NOT_DURABLE``: no second
        copy confirmed in time. ``OWNER_UNAVAILABLE``: another node owns the partition now.
        """
        ...

    def has_valid_lease(self) -> bool:
        """Whether this owner's lease is valid, so that it may start an irreversible action.

        The lease is valid for a while after each confirmation by the second copy.
        """
        ...


class PartitionDirectory(Protocol):
    """Finds the owner of a partition."""

    def log(self, partition: int) -> PartitionLog | None:
        """Return the partition's journal if this node owns and serves the partition."""
        ...

    def owner_address(self, partition: int) -> str | None:
        """Return the peer address of the owner that this node last learned of."""
        ...

    def forget_owner(self, partition: int, address: str) -> None:
        """Discard the cached owner if it has this address; the next lookup reads it again."""
        ...
