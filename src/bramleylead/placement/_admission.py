"""Decides whether a turn may start while the model replicas are full.

Answers overload that lasts: if more programs are started than the replicas can run, every turn of
every program waits, and all programs finish late. Programs that have not started yet are therefore
refused while the replicas are full, and programs under way keep their pace. The order of return is
fair: a program that was refused before is admitted at a higher load than a new one, and each
further refusal raises that load.
"""

from __future__ import annotations

import random
from typing import NamedTuple

NEW_PROGRAM_MAX_LOAD = 1.0
"""Running requests for each slot, above which a new program of the least urgent route waits."""
URGENCY_STEP = 0.1
"""Added for each less urgent priority among the routes of the service."""
REFUSAL_STEP = 0.15
"""Added for each earlier refusal of the same program."""
MIN_RETRY_AFTER_S = 0.25
MAX_RETRY_AFTER_S = 1.5
RETRY_SPREAD = 0.5
"""Callers refused at the same moment return over this share of the delay, before and after it."""


class Progress(NamedTuple):
    """How far a program has come.

    :param turns: its turns that have generated tokens or are running.
    :param refusals: its turns that ended without a token.
    """

    turns: int
    refusals: int


class ServiceLoad(NamedTuple):
    """The load of a service's replicas: running requests of all gateways, and slots."""

    running: float
    slots: float

    @property
    def per_slot(self) -> float:
        """Running requests for each slot; 0 if the slots are unknown."""
        return self.running / self.slots if self.slots else 0.0


class Refusal(NamedTuple):
    """A turn that may not start now.

    :param retry_after_s: when the caller should return.
    """

    retry_after_s: float
    detail: str


def check_admission(
    load: ServiceLoad,
    progress: Progress,
    *,
    less_urgent_priorities: int,
    turn_s: float,
    rng: random.Random,
) -> Refusal | None:
    """Return a refusal if a turn should not start now.

    :param less_urgent_priorities: how many priorities of the service's routes are less urgent.
    :param turn_s: how long a turn takes on average.
    :param rng: spreads the times at which refused callers return.
    """
    if progress.turns:
        return None
    max_load = NEW_PROGRAM_MAX_LOAD + URGENCY_STEP * less_urgent_priorities
    max_load += REFUSAL_STEP * progress.refusals
    if load.per_slot < max_load:
        return None
    detail = (
        f"the replicas run {load.running:.0f} requests on {load.slots:.0f} slots; a program that "
        f"was refused {progress.refusals} times starts below {max_load:.2f} for each slot"
    )
    return Refusal(_retry_after_s(load.per_slot - max_load, turn_s, rng), detail)


def _retry_after_s(excess_per_slot: float, turn_s: float, rng: random.Random) -> float:
    """Return when room is expected: the excess leaves at one request a slot and turn."""
    expected_s = MIN_RETRY_AFTER_S + turn_s * (1 + excess_per_slot)
    spread = rng.uniform(1 - RETRY_SPREAD, 1 + RETRY_SPREAD)
    return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, expected_s * spread))
