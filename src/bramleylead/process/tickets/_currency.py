"""How a node knows, without synchronised clocks, that it has the latest ticket.

The proof is a read of the next ticket's key that found nothing; it is as old as the moment before
that read was sent. It travels as an age. A receiver bounds the moment at which an age was stated
from below: by its own clock, an answer was stated after its question was sent; and a push that
echoes a tick was stated ``held_s`` after that tick was sent. So a delayed message makes a proof
look older than it is, never younger.
"""

from __future__ import annotations

from typing import final

import anyio

from bramleylead.process.tickets._ticket_messages import Proof

KEPT_TICKS = 256


@final
class Currency:
    """The newest proof that this node holds, for the tickets that it has applied."""

    def __init__(self) -> None:
        self._applied = 0
        self._proved_at = float("-inf")
        self._pending: tuple[int, float] = (0, float("-inf"))
        self._outage_at = float("-inf")

    def take(self, proof: Proof, *, stated_at: float) -> None:
        """Take in a proof whose ages were stated not before a moment of this node's clock."""
        if proof.age_s >= 0:
            self.prove(proof.number, stated_at - proof.age_s)
        if proof.outage_age_s >= 0:
            self.note_outage(stated_at - proof.outage_age_s)

    def prove(self, number: int, at: float) -> None:
        """Take in that no ticket after ``number`` existed at a moment of this node's clock."""
        if number <= self._applied:
            self._proved_at = max(self._proved_at, at)
        elif at > self._pending[1]:
            self._pending = (number, at)

    def note_outage(self, at: float) -> None:
        """Take in that peers agreed at a moment that the store is out."""
        self._outage_at = max(self._outage_at, at)

    def note_applied(self, number: int) -> None:
        """Take in that the tickets up to a number are in force here."""
        self._applied = number
        waiting, at = self._pending
        if waiting <= number:
            self._proved_at = max(self._proved_at, at)

    @property
    def age_s(self) -> float:
        """Age of the newest proof; infinite without one."""
        return anyio.current_time() - self._proved_at

    @property
    def outage_age_s(self) -> float:
        """Time since the store's outage was last confirmed; infinite if it never was."""
        return anyio.current_time() - self._outage_at

    def state(self) -> Proof:
        """Return the proof as it can be stated now."""
        return Proof(self._applied, _finite(self.age_s), _finite(self.outage_age_s))


def _finite(age_s: float) -> float:
    return -1.0 if age_s == float("inf") else age_s


@final
class Ticks:
    """Numbers whose sending times are remembered, so that an echo can be dated.

    :param first: random, or an echo of a tick from before a restart would be mistaken.
    """

    def __init__(self, *, first: int) -> None:
        self._next = first
        self._sent_at: dict[int, float] = {}

    def send(self) -> int:
        """Return a fresh tick, sent now."""
        self._next += 1
        self._sent_at[self._next] = anyio.current_time()
        self._sent_at.pop(self._next - KEPT_TICKS, None)
        return self._next

    def stated_at(self, echo: int, held_s: float) -> float | None:
        """Return the earliest moment at which a message with this echo can have been stated."""
        sent_at = self._sent_at.get(echo)
        if sent_at is None or held_s < 0:
            return None
        return sent_at + held_s
