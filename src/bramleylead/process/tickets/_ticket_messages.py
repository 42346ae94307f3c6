"""Messages between nodes that carry tickets and proofs of having the latest one."""

from __future__ import annotations

from typing import NamedTuple

from bramleylead.connection import message


class Proof(NamedTuple):
    """Proof that a ticket is the latest one, with ages by the sender's clock.

    :param number: latest ticket to which the proof applies.
    :param age_s: seconds since a store read that found no later ticket; negative without one.
    :param outage_age_s: seconds since nodes of other data centres confirmed a store outage;
        negative if they never did.
    """

    number: int
    age_s: float
    outage_age_s: float


@message(80)
class Pushed(NamedTuple):
    """Forwarded along a relay topology: the newest proof and the tickets the receiver lacks.

    :param push: random id of this push, the same at every level of the tree.
    :param root: the watcher that started it.
    :param echo: the tick from the receiver's last answer to the sender; 0 for none.
    :param held_s: time since that answer arrived, by the sender's clock.
    """

    push: int
    root: str
    proof: Proof
    echo: int
    held_s: float
    tickets: list[bytes]


@message(81)
class PushTaken(NamedTuple):
    """Answer to :class:`Pushed`: the number in force, and a tick for the next push to echo."""

    number: int
    tick: int


@message(82)
class TicketsAsked(NamedTuple):
    """Asks for the tickets after a number, and for the receiver's proof."""

    after: int


@message(83)
class TicketsGiven(NamedTuple):
    """Answer to :class:`TicketsAsked`.

    :param tickets: some of the requested tickets, in order.
    :param config: the whole configuration as JSON if the tickets are no longer kept; else empty.
    """

    number: int
    proof: Proof
    tickets: list[bytes]
    config: bytes


@message(84)
class NumberAsked(NamedTuple):
    """Asks which ticket is in force on the receiver."""


@message(85)
class NumberGiven(NamedTuple):
    """Answer to :class:`NumberAsked`.

    :param stuck: why the next ticket can't be applied; else empty.
    """

    number: int
    stuck: str
