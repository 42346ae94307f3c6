"""Messages of the ledger, from gateways and between its nodes."""

from __future__ import annotations

from typing import NamedTuple

from bramleylead.connection import message
from bramleylead.ledger._members import LedgerView
from bramleylead.ledger._records import KeptTurn
from bramleylead.ledger._records import Spending


@message(164)
class Reserve(NamedTuple):
    """Reserves a turn's most; answered by :class:`Reserved`."""

    epoch: int
    spending: Spending


@message(165)
class Reserved(NamedTuple):
    """The reservation is on disk; ``known`` is all that the node knows of the program."""

    node: str
    disk: str
    epoch: int
    known: tuple[Spending, ...]


@message(166)
class Settle(NamedTuple):
    """Says what a turn has spent; answered by :class:`OnDisk`."""

    epoch: int
    spending: Spending


@message(167)
class Keep(NamedTuple):
    """Keeps a turn that was answered whole; answered by :class:`OnDisk`."""

    epoch: int
    turn: KeptTurn


@message(168)
class OnDisk(NamedTuple):
    """The record is on the node's disk."""

    node: str
    disk: str
    epoch: int


@message(169)
class FindChain(NamedTuple):
    """Asks for a turn and those before it; answered by :class:`Chain`."""

    epoch: int
    turn: str


@message(170)
class Chain(NamedTuple):
    """The turns that the node holds, newest first, each continuing the next one."""

    node: str
    disk: str
    epoch: int
    turns: tuple[KeptTurn, ...]


@message(171)
class StaleEpoch(NamedTuple):
    """The entry is for other members than the node knows, or for another node.

    :param view: the members as the node knows them, earlier or later than the asker.
    """

    view: LedgerView


@message(172)
class AskState(NamedTuple):
    """Asks a node of the ledger for its :class:`NodeState`."""


@message(173)
class NodeState(NamedTuple):
    """Who a node is, and how it knows the members.

    :param run: names the process; numbers of records hold only within it.
    :param leaving: whether it waits for another node to take its place.
    """

    node: str
    disk: str
    run: str
    view: LedgerView
    leaving: bool = False


@message(174)
class AskKeys(NamedTuple):
    """Asks for the keys of the records taken in after a number; answered by :class:`Keys`."""

    run: str
    after: int


@message(175)
class Keys(NamedTuple):
    """Keys in order, and the number of the last; ``more`` says whether others follow."""

    run: str
    last: int
    keys: tuple[str, ...]
    more: bool


@message(176)
class AskRecords(NamedTuple):
    """Asks for records by key; answered by :class:`Records`."""

    keys: tuple[str, ...]


@message(177)
class Records(NamedTuple):
    """The records that the node holds of those asked for, as many as fit a message."""

    turns: tuple[KeptTurn, ...]
    spendings: tuple[Spending, ...]


@message(178)
class CatchUp(NamedTuple):
    """Asks a member to take a view for known and to copy all that the named nodes hold.

    Answered by ``Done``, or a failure that names the node that could not be read.
    """

    view: LedgerView
    among: tuple[str, ...]
