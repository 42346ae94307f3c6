"""The rules, limits and states of the model of the ledger's quorum."""

from __future__ import annotations

from typing import NamedTuple

from bramleylead.ledger._members import LedgerView


class Rules(NamedTuple):
    """Switches for mechanisms; the last one is a proposal, which the ledger does not have.

    :param removal_covers_former_epochs: before a member is removed that can't be copied from, as
        many synchronise as must lack an entry that does not exist.
    :param sources_checked: a change ends if a node copies from a member that has lost its disk.
    :param disk_checked_after_copies: after the copies, a join ends if a member that synchronised
        has lost its disk.
    :param settled_holder_joins: where all members must acknowledge an entry, one that has copied
        from all others since they adopted the epoch suffices for a join.
    :param settled_members_count: before the removal of a silent member, those count too that the
        one that makes the change has copied from since they adopted the epoch.
    :param settled_sources_adopted: a copy counts for these two only if its source has adopted the
        epoch.
    :param one_holder_joins: where all members must acknowledge an entry, one that synchronises
        suffices for a join.
    """

    second_epoch_check: bool = True
    members_copy: bool = True
    second_pass: bool = True
    full_sync_before_join: bool = True
    absences_of_former_epochs: bool = True
    leaver_is_source: bool = True
    removal_covers_former_epochs: bool = True
    sources_checked: bool = True
    disk_checked_after_copies: bool = True
    settled_holder_joins: bool = True
    settled_members_count: bool = True
    settled_sources_adopted: bool = True
    one_holder_joins: bool = False


class Limits(NamedTuple):
    """Bounds on the explored state space.

    :param losses: how many members may lose their disks at once, as configured.
    :param wipes: how many disks are lost.
    """

    members: int = 3
    nodes: int = 4
    losses: int = 1
    changes: int = 2
    records: int = 1
    wipes: int = 0
    leaves: int = 1


class Node(NamedTuple):
    """One node and its disk.

    :param disk: counts the disks that it lost.
    :param settled: the members that it has copied from while both were in its epoch.
    """

    epoch: int
    records: frozenset[int] = frozenset()
    disk: int = 0
    settled: frozenset[int] = frozenset()

    def at_epoch(self, epoch: int) -> Node:
        """Return the node after it has adopted an epoch, unless it is in a later one."""
        if epoch <= self.epoch:
            return self
        return self._replace(epoch=epoch, settled=frozenset())


class Entry(NamedTuple):
    """One record, as its gateway writes it.

    :param epoch: at which it is sent, 0 before.
    :param writing: the nodes that have begun to write it; empty while they check the epoch again.
    :param absent: for each epoch, the nodes that said since the acknowledgement that they lack it.
    """

    epoch: int = 0
    writing: frozenset[int] = frozenset()
    acks: frozenset[int] = frozenset()
    is_acked: bool = False
    absent: tuple[frozenset[int], ...] = ()


class Change(NamedTuple):
    """A change of members under way.

    :param initiator: the node that makes it; it ends if this node loses its disk.
    :param live: the members that synchronise.
    :param also_from: a member that leaves, from which they copy too.
    :param step: how many of the copies from one node to another are done.
    :param is_checked: whether the members have been asked for their disks after the copies.
    """

    initiator: int
    subject: int
    joins: bool
    live: tuple[int, ...]
    also_from: tuple[int, ...] = ()
    step: int = 0
    is_checked: bool = False


class State(NamedTuple):
    """A state of the model; ``views`` holds the views of all epochs, the latest is stored."""

    views: tuple[LedgerView, ...]
    nodes: tuple[Node, ...]
    entries: tuple[Entry, ...]
    change: Change | None = None
    wipes: int = 0
    leaves: int = 0
    violation: str = ""


class Explored(NamedTuple):
    """How many states were visited, and the steps to the first violation, if any."""

    state_count: int
    violation: str
    path: tuple[State, ...]
