"""Messages of membership between nodes."""

from __future__ import annotations

from typing import NamedTuple

from bramleylead.connection import message
from bramleylead.process.membership._members import Member
from bramleylead.process.membership._members import MemberState


class News(NamedTuple):
    """What is believed of one member; the parts of its record that are agreed on."""

    node: str
    address: str
    http_address: str
    region: str
    data_centre: str
    state: MemberState
    incarnation: int
    boot_id: str


class Facts(NamedTuple):
    """What a node says of itself with each probe and answer.

    :param ticket: number in force on it.
    :param ticket_age_s: age of its proof that no later one exists; negative without one.
    :param store_ok: whether the store answered it lately; ``None`` when not known.
    """

    ticket: int = 0
    ticket_age_s: float = -1.0
    store_ok: bool | None = None


@message(60)
class Probe(NamedTuple):
    """Asks a member whether it lives, with news on the way.

    :param target: the node meant; another one at its address answers under its own name.
    :param digest: hash over the sender's whole view, see :class:`ViewAsked`.
    """

    target: str
    sender: News
    facts: Facts
    news: list[News]
    digest: int


@message(61)
class ProbeAnswer(NamedTuple):
    """Answers :class:`Probe`. Fields as there."""

    responder: News
    facts: Facts
    news: list[News]
    digest: int


@message(62)
class ProbeFor(NamedTuple):
    """Asks a member to probe another one, which did not answer the sender."""

    target: str
    address: str


@message(63)
class ProbedFor(NamedTuple):
    """Answers :class:`ProbeFor`."""

    reached: bool


@message(64)
class ViewAsked(NamedTuple):
    """Asks for the records in which two views differ: one hash for each bucket of names."""

    buckets: list[int]


@message(65)
class ViewGiven(NamedTuple):
    """Records of a view: the answer to :class:`ViewAsked`, or given unasked.

    :param buckets: the giver's hashes, for finding what it lacks.
    """

    records: list[News]
    buckets: list[int]


@message(66)
class StoreAsked(NamedTuple):
    """Asks whether the store answers the receiver."""


@message(67)
class StoreHeard(NamedTuple):
    """Answers :class:`StoreAsked`; ``None`` when the receiver can't tell."""

    ok: bool | None


def news_of(member: Member) -> News:
    """Return the agreed part of a record."""
    return News(
        member.node,
        member.address,
        member.http_address,
        member.region,
        member.data_centre,
        member.state,
        member.incarnation,
        member.boot_id,
    )
