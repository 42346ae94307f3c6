"""The last decisions of a dispatcher, bounded, so that a dump can explain any recent call."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple
from typing import final

KEPT_DECISIONS = 2_000


class Decision(NamedTuple):
    """One decision on a call: what was decided, when, and why."""

    at_s: float
    call: str
    action: str
    endpoint: str
    waited_s: float
    reason: str


@final
class Decisions:
    """A bounded list of decisions, newest last."""

    def __init__(self, kept: int = KEPT_DECISIONS) -> None:
        self._decisions: deque[Decision] = deque(maxlen=kept)

    def add(self, decision: Decision) -> None:
        """Keep a decision; the oldest goes when there are too many."""
        self._decisions.append(decision)

    def of(self, call: str) -> list[Decision]:
        """Return what is remembered of one call, oldest first."""
        return [decision for decision in self._decisions if decision.call == call]

    def last(self, count: int) -> list[Decision]:
        """Return the newest decisions, oldest of them first."""
        return list(self._decisions)[-count:]
