"""A bounded log of scheduling decisions, so that a dump can explain any recent call."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple
from typing import final

MAX_LOGGED_DECISIONS = 2_000


class Decision(NamedTuple):
    """One scheduling decision on a call or an endpoint, and its reason."""

    at_s: float
    call: str
    action: str
    endpoint: str
    waited_s: float
    reason: str


@final
class DecisionLog:
    """A bounded list of decisions, newest last."""

    def __init__(self, max_logged: int = MAX_LOGGED_DECISIONS) -> None:
        self._decisions: deque[Decision] = deque(maxlen=max_logged)

    def add(self, decision: Decision) -> None:
        """Add a decision; the oldest is dropped when the log is full."""
        self._decisions.append(decision)

    def for_call(self, call: str) -> list[Decision]:
        """Return the logged decisions on one call, oldest first."""
        return [decision for decision in self._decisions if decision.call == call]

    def latest(self, count: int) -> list[Decision]:
        """Return the newest decisions, in order of time."""
        return list(self._decisions)[-count:]
