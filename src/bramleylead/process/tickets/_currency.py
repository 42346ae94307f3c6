"""Proof, without synchronised clocks, that a node has the latest ticket.

The proof is a read of the next ticket's key that found nothing. Its age counts from the moment
before that read was sent, and messages carry the age instead of a time. The receiver computes, on
its own clock, the earliest moment at which the age can have been measured: an answer after its
request was sent, and a push that echoes a tick ``held_s`` after that tick was sent. A delayed
message therefore makes a proof look older than it is, never younger.
"""

from __future__ import annotations

from typing import final

import anyio

from bramleylead.process.tickets._ticket_messages import Proof

MAX_REMEMBERED_TICKS = 256


@final
class Currency:
    """The newest proof that the tickets applied on this node are the latest ones."""

    def __init__(self) -> None:
        self._applied = 0
        self._proved_at = float("-inf")
        self._pending: tuple[int, float] = (0, float("-inf"))
        self._outage_at = float("-inf")

    def apply_proof(self, proof: Proof, *, measured_at: float) -> None:
        """Apply a proof whose ages were measured at ``measured_at`` or later, locally."""
        if proof.age_s >= 0:
            self.record_proof(proof.number, measured_at - proof.age_s)
        if proof.outage_age_s >= 0:
            self.record_outage(measured_at - proof.outage_age_s)

    def record_proof(self, number: int, at: float) -> None:
        """Record that no ticket after ``number`` existed at time ``at`` of this node's clock."""
        if number <= self._applied:
            self._proved_at = max(self._proved_at, at)
        elif at > self._pending[1]:
            self._pending = (number, at)

    def record_outage(self, at: float) -> None:
        """Record that peers confirmed a store outage at time ``at``."""
        self._outage_at = max(self._outage_at, at)

    def set_applied(self, number: int) -> None:
        """Record that the tickets up to a number are in force on this node."""
        self._applied = number
        pending_number, at = self._pending
        if pending_number <= number:
            self._proved_at = max(self._proved_at, at)

    @property
    def age_s(self) -> float:
        """Age of the newest proof; infinite without one."""
        return anyio.current_time() - self._proved_at

    @property
    def outage_age_s(self) -> float:
        """Time since peers last confirmed a store outage; infinite if they never did."""
        return anyio.current_time() - self._outage_at

    def to_proof(self) -> Proof:
        """Return the current proof, with its ages as of now."""
        return Proof(self._applied, _encode_age(self.age_s), _encode_age(self.outage_age_s))


def _encode_age(age_s: float) -> float:
    return -1.0 if age_s == float("inf") else age_s


@final
class Ticks:
    """Records when each tick was sent, to compute the age of a message that echoes it.

    :param first: random, so that an echo of a tick sent before a restart is not recognized.
    """

    def __init__(self, *, first: int) -> None:
        self._next = first
        self._sent_at: dict[int, float] = {}

    def send(self) -> int:
        """Return a new tick and record the current time as its send time."""
        self._next += 1
        self._sent_at[self._next] = anyio.current_time()
        self._sent_at.pop(self._next - MAX_REMEMBERED_TICKS, None)
        return self._next

    def measured_at(self, echo: int, held_s: float) -> float | None:
        """Return the earliest time at which the echoing message's ages can have been measured.

        ``None`` if the tick is unknown.
        """
        sent_at = self._sent_at.get(echo)
        if sent_at is None or held_s < 0:
            return None
        return sent_at + held_s
