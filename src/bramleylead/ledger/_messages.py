"""Messages that gateways and ledger nodes send to ledger nodes."""

from __future__ import annotations

from typing import NamedTuple

from bramleylead.connection import message
from bramleylead.ledger._customer_usage import CustomerCount
from bramleylead.ledger._customer_usage import HeardGateway
from bramleylead.ledger._members import LedgerView
from bramleylead.ledger._records import KeptTurn
from bramleylead.ledger._records import Spending
from bramleylead.placement._crash_table import CrashEvidence
from bramleylead.placement._fleet_table import NO_FLEET_LOAD
from bramleylead.placement._fleet_table import NO_REPORT
from bramleylead.placement._fleet_table import FleetLoad
from bramleylead.placement._fleet_table import GatewayLoad
from bramleylead.placement._fleet_table import LoadReport


@message(164)
class Reserve(NamedTuple):
    """Reserves the most that a turn may spend; answered by :class:`Reserved`.

    :param report: the gateway's own load.
    :param prompt_parts: the parts of the turn's prompt, to learn where they are cached.
    :param crashes: what the gateway knows of crashes at which this turn was running, for each
        digest that it is recognised by.
    """

    epoch: int
    spending: Spending
    report: LoadReport = NO_REPORT
    prompt_parts: tuple[str, ...] = ()
    crashes: tuple[CrashEvidence, ...] = ()


@message(165)
class Reserved(NamedTuple):
    """The reservation is on disk; ``spendings`` are all that the node holds for the program.

    :param fleet: what the node knows of the load of the other gateways.
    :param crashes: what the node knows of crashes at which this turn was running.
    """

    node: str
    disk: str
    epoch: int
    spendings: tuple[Spending, ...]
    fleet: FleetLoad = NO_FLEET_LOAD
    crashes: tuple[CrashEvidence, ...] = ()


@message(166)
class Settle(NamedTuple):
    """Records what a turn has spent; answered by :class:`OnDisk`."""

    epoch: int
    spending: Spending
    report: LoadReport = NO_REPORT


@message(167)
class Keep(NamedTuple):
    """Stores a completely answered turn; answered by :class:`OnDisk`."""

    epoch: int
    turn: KeptTurn
    report: LoadReport = NO_REPORT


@message(168)
class OnDisk(NamedTuple):
    """The record is on the node's disk."""

    node: str
    disk: str
    epoch: int


@message(169)
class FindChain(NamedTuple):
    """Asks for a turn and its predecessors; answered by :class:`Chain`.

    Whoever misses the predecessor of the last turn of an answer asks for that one next.
    """

    epoch: int
    turn: str


@message(170)
class Chain(NamedTuple):
    """The turns that the node has, newest first; each continues the one after it in the tuple.

    As many as fit into a page. Nodes of earlier versions send the whole chain, or fail.
    """

    node: str
    disk: str
    epoch: int
    turns: tuple[KeptTurn, ...]


@message(171)
class StaleEpoch(NamedTuple):
    """The request is for another epoch than the node's, or the node is not a member.

    :param view: the node's view, which may be earlier or later than the sender's.
    """

    view: LedgerView


@message(172)
class AskState(NamedTuple):
    """Asks a ledger node for its :class:`NodeState`."""


@message(173)
class NodeState(NamedTuple):
    """A node's identity and its view of the members.

    :param run_id: identifies the node's process; record numbers are valid only within it.
    :param leaving: whether the node is about to leave and waits for a replacement.
    :param vacancies: how many members the node finds silent or about to leave.
    :param settled: whether the node has copied from all other members since they adopted its view.
    """

    node: str
    disk: str
    run_id: str
    view: LedgerView
    leaving: bool = False
    vacancies: int = 0
    settled: bool = False


@message(174)
class AskKeys(NamedTuple):
    """Asks for the keys of the records added after a number; answered by :class:`Keys`."""

    run_id: str
    after: int


@message(175)
class Keys(NamedTuple):
    """Keys in order of their numbers, and the last number; ``more`` is set if others follow."""

    run_id: str
    last: int
    keys: tuple[str, ...]
    more: bool


@message(176)
class AskRecords(NamedTuple):
    """Asks for records by key; answered by :class:`Records`."""

    keys: tuple[str, ...]


@message(177)
class Records(NamedTuple):
    """The requested records that the node has, as many as fit into one message."""

    turns: tuple[KeptTurn, ...]
    spendings: tuple[Spending, ...]


@message(178)
class CatchUp(NamedTuple):
    """Asks a member to adopt a view and to copy all records of the named nodes.

    Answered by ``Done``, or by the failure to copy from one of the nodes.
    """

    view: LedgerView
    sources: tuple[str, ...]


@message(182)
class ShareLoads(NamedTuple):
    """Passes on what gateways have reported to the sending node; answered by ``Done``.

    :param member: the sending node.
    :param demand_per_s: the requests a second of all gateways that report to it.
    :param crashes: the crashes that were reported, and the requests that were cleared of them.
    :param usage: the requests of customers with a quota, at all gateways that report to it.
    :param gateways: the gateways that report to it.
    :param grants_permits: whether it can be a quota owner; nodes of earlier versions can't.
    """

    loads: tuple[GatewayLoad, ...]
    member: str = ""
    demand_per_s: float = 0.0
    crashes: tuple[CrashEvidence, ...] = ()
    usage: tuple[CustomerCount, ...] = ()
    gateways: tuple[HeardGateway, ...] = ()
    grants_permits: bool = False


@message(183)
class ReportLoad(NamedTuple):
    """Reports a gateway's load right after it has placed a turn; answered by ``Done``."""

    report: LoadReport


@message(184)
class ReportCrash(NamedTuple):
    """Reports that a request was running when a replica crashed, or that it has been answered.

    Answered by :class:`KnownCrashes`.
    """

    crashes: tuple[CrashEvidence, ...]


@message(185)
class KnownCrashes(NamedTuple):
    """What the node knows of the reported request, from this report and others."""

    crashes: tuple[CrashEvidence, ...]


@message(205)
class DrawPermits(NamedTuple):
    """Asks a customer's quota owner for permits; answered by :class:`Permits`.

    :param rate_per_s: the customer's quota, as the gateway's configuration has it.
    :param count: the permits asked for.
    :param under_way: how many of them are for programs in progress.
    :param recent: the customer's requests of the last 5 s at this gateway.
    :param unreported: those of them that were admitted without a permit and that no other node
        can know yet.
    :param returned: permits drawn before that were not used.
    """

    customer: str
    rate_per_s: float
    burst: float
    count: int
    under_way: int
    gateway: str
    recent: int = 0
    unreported: int = 0
    returned: int = 0


@message(206)
class Permits(NamedTuple):
    """The permits granted, each for one request within 0.5 s.

    :param retry_after_s: when the next one is expected; 0 if all were granted.
    :param contended: whether the customer is near its limit.
    """

    granted: int
    retry_after_s: float
    contended: bool = True
