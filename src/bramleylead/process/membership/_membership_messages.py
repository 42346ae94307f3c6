"""Membership messages between nodes."""

from __future__ import annotations

from typing import NamedTuple

from bramleylead.connection import message
from bramleylead.fleet._members import Member
from bramleylead.fleet._members import MemberState


class MemberUpdate(NamedTuple):
    """The fields of a member's record on which all nodes converge by gossip."""

    node: str
    address: str
    http_address: str
    region: str
    data_centre: str
    state: MemberState
    incarnation: int
    boot_id: str


class NodeStatus(NamedTuple):
    """Status that a node reports about itself in each probe and answer.

    :param ticket: number of the ticket in force on it.
    :param ticket_age_s: age of its proof that no later ticket exists; negative without one.
    :param store_ok: whether the store answered its last recent call; ``None`` if unknown.
    """

    ticket: int = 0
    ticket_age_s: float = -1.0
    store_ok: bool | None = None


@message(60)
class Probe(NamedTuple):
    """Liveness probe that piggybacks membership updates.

    :param target: the intended node; another node at its address answers under its own name.
    :param digest: hash of the sender's whole view, see :class:`ViewAsked`.
    """

    target: str
    sender: MemberUpdate
    status: NodeStatus
    updates: list[MemberUpdate]
    digest: int


@message(61)
class ProbeAnswer(NamedTuple):
    """Answer to :class:`Probe`, with the same fields except for the target."""

    responder: MemberUpdate
    status: NodeStatus
    updates: list[MemberUpdate]
    digest: int


@message(62)
class ProbeFor(NamedTuple):
    """Asks a member to probe another one that did not answer the sender."""

    target: str
    address: str


@message(63)
class ProbedFor(NamedTuple):
    """Answer to :class:`ProbeFor`."""

    reached: bool


@message(64)
class ViewAsked(NamedTuple):
    """Asks for the records that differ; carries one hash per bucket of node names."""

    buckets: list[int]


@message(65)
class ViewGiven(NamedTuple):
    """Records of a view, sent as the answer to :class:`ViewAsked` or unsolicited.

    :param buckets: the sender's bucket hashes, which show the records it lacks.
    """

    records: list[MemberUpdate]
    buckets: list[int]


@message(66)
class StoreAsked(NamedTuple):
    """Asks whether the store answers the receiver."""


@message(67)
class StoreHeard(NamedTuple):
    """Answer to :class:`StoreAsked`; ``None`` if the receiver does not know."""

    ok: bool | None


def update_of(member: Member) -> MemberUpdate:
    """Return the gossiped fields of a record."""
    return MemberUpdate(
        member.node,
        member.address,
        member.http_address,
        member.region,
        member.data_centre,
        member.state,
        member.incarnation,
        member.boot_id,
    )
