"""Messages by which tickets, and proofs of having the latest one, travel between nodes."""

from __future__ import annotations

from typing import NamedTuple

from bramleylead.connection import message


class Proof(NamedTuple):
    """What a node can show about the latest ticket, by its own clock.

    :param number: latest ticket that the proof is about.
    :param age_s: seconds since the store was asked and had no later ticket; negative without one.
    :param outage_age_s: seconds since nodes of other data centres agreed that the store is out;
        negative when they did not.
    """

    number: int
    age_s: float
    outage_age_s: float


@message(80)
class Pushed(NamedTuple):
    """Goes down a relay tree: the newest proof and the tickets that the receiver lacks.

    :param push: random number of this push, the same at every level of the tree.
    :param root: the watcher that began it.
    :param echo: the receiver's tick in its last answer to the sender; 0 for none.
    :param held_s: how long ago, by the sender's clock, that answer came.
    """

    push: int
    root: str
    proof: Proof
    echo: int
    held_s: float
    tickets: list[bytes]


@message(81)
class PushTaken(NamedTuple):
    """Answers :class:`Pushed`: the number in force here, and a tick for the next push to echo."""

    number: int
    tick: int


@message(82)
class TicketsAsked(NamedTuple):
    """Asks for the tickets after a number, and for the receiver's proof."""

    after: int


@message(83)
class TicketsGiven(NamedTuple):
    """Answers :class:`TicketsAsked`.

    :param tickets: some of the tickets asked for, in order.
    :param config: the whole configuration as JSON where the tickets are no longer kept; or empty.
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
    """Answers :class:`NumberAsked`.

    :param stuck: why the next ticket can't be applied; empty when nothing is stuck.
    """

    number: int
    stuck: str
