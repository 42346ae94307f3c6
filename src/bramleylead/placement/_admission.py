"""Decides whether a turn may start while the replicas are full.

Answers overload that lasts: if more programs are started than the replicas can run, every turn of
every program waits, and all programs finish late. Programs that have not started yet are therefore
refused while the replicas are full, and programs under way keep their pace. The order of return is
fair: a program that was refused before is admitted at a higher load than a new one, and each
further refusal raises that load.

Where the deployment has customers, two more load patterns:

- One customer floods: its new programs are refused at a lower load than those of others, the lower
  the further it is beyond its share, so that the others find the replicas as without the flood.
- Programs that can no longer be of use: a new one whose time can't cover a turn is refused at once,
  and one in progress that is past twice its time gives way while the replicas are full.
"""

from __future__ import annotations

import random
from enum import StrEnum
from typing import NamedTuple

from bramleylead.placement._customer_use import USE_WINDOW_S
from bramleylead.placement._customer_use import Use

NEW_PROGRAM_MAX_LOAD = 1.0
"""Running requests for each slot, above which a new program of the least urgent route waits."""
URGENCY_STEP = 0.1
"""Added for each less urgent priority among the routes of the service."""
REFUSAL_STEP = 0.15
"""Added for each earlier refusal of the same program."""
MAX_URGENCY = 0.3
"""The most that is added for urgency, however many priorities there are."""
OVER_SHARE_MAX_LOAD = 0.6
"""Running requests for each slot, above which a customer far beyond its share starts no program. At
0.7 the worst tenth of the others was slower by 5.0 in 100 in the replay, here by 3.8, at 0.5 by
4.0."""
FULL_EXCESS = 0.25
"""A customer that exceeds its share by this multiple of it is far beyond it."""
OVER_SHARE_STEP = 0.02
"""Added for each earlier refusal and each less urgent priority there; at most five of each."""
OVER_SHARE_MAX_STEPS = 5
LATE_PROGRAM_MAX_LOAD = 0.95
"""Running requests for each slot, above which a program past twice its time is refused: below the
load at which new programs start, so that it is served last."""
SHORTEST_TURN = 0.5
"""A turn may take this part of the mean; only what can't be served for certain is refused."""
PLAIN_MAX_LOAD = 2.5
"""Running requests for each slot of plain replicas, above which calls outside programs wait."""
PLAIN_OVER_SHARE_MAX_LOAD = 1.0
MIN_RETRY_AFTER_S = 0.25
MAX_RETRY_AFTER_S = 1.5
MAX_OVER_SHARE_RETRY_AFTER_S = 3.0
RETRY_SPREAD = 0.5
"""Callers refused at the same moment return over this share of the delay, before and after it."""


class RefusalReason(StrEnum):
    """The rules by which a request is refused."""

    FULL = "full"
    OVER_SHARE = "over_share"
    TIME_TOO_SHORT = "time_too_short"
    PAST_ITS_TIME = "past_its_time"


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
    :param reason: which rule refused it.
    """

    retry_after_s: float
    detail: str
    reason: RefusalReason = RefusalReason.FULL


class Standing(NamedTuple):
    """What decides besides the load where the deployment has customers.

    :param use: the customer's use of its share.
    :param less_urgent_priorities: how many priorities of the service's requests are less urgent.
    :param begun: whether the program has run a turn, or continues a kept one.
    :param left_s: until the caller gives up or the program's end has no value.
    :param value_left_s: until the program's end has no value; infinite if unknown.
    """

    use: Use
    less_urgent_priorities: int
    begun: bool
    left_s: float
    value_left_s: float


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


def check_customer_admission(
    load: ServiceLoad,
    progress: Progress,
    standing: Standing,
    *,
    turn_s: float,
    rng: random.Random,
) -> Refusal | None:
    """Return a refusal if a turn should not start now, where the deployment has customers.

    :param turn_s: how long a turn takes on average.
    :param rng: spreads the times at which refused callers return.
    """
    if standing.begun:
        return _check_begun(load, standing, turn_s, rng)
    needed_s = turn_s * (SHORTEST_TURN + max(0.0, load.per_slot - 1.0))
    if standing.left_s < needed_s:
        detail = (
            f"{standing.left_s:.2f} s are left for the program; one turn takes at least "
            f"{needed_s:.2f} s at the present load"
        )
        return Refusal(MAX_RETRY_AFTER_S, detail, RefusalReason.TIME_TOO_SHORT)
    max_load = new_program_max_load(progress, standing)
    if load.per_slot < max_load:
        return None
    excess_per_slot = load.per_slot - max_load
    detail = (
        f"the replicas run {load.running:.0f} requests on {load.slots:.0f} slots; a program that "
        f"was refused {progress.refusals} times starts below {max_load:.2f} for each slot"
    )
    retry_after_s = _retry_after_s(excess_per_slot, turn_s, rng)
    if not standing.use.excess:
        return Refusal(_within(retry_after_s, standing, needed_s), detail)
    retry_after_s = max(retry_after_s, _back_in_share_s(standing.use, rng))
    detail += f", as its customer has used {standing.use.known:.2f} of its share"
    return Refusal(_within(retry_after_s, standing, needed_s), detail, RefusalReason.OVER_SHARE)


def new_program_max_load(progress: Progress, standing: Standing) -> float:
    """Return the running requests for each slot below which a new program starts.

    Between the share and ``FULL_EXCESS`` beyond it, the load falls in proportion. It never falls
    with a refusal or with urgency.
    """
    urgency = min(MAX_URGENCY, URGENCY_STEP * standing.less_urgent_priorities)
    within = NEW_PROGRAM_MAX_LOAD + urgency + REFUSAL_STEP * progress.refusals
    steps = min(OVER_SHARE_MAX_STEPS, progress.refusals)
    steps += min(OVER_SHARE_MAX_STEPS, standing.less_urgent_priorities)
    beyond = OVER_SHARE_MAX_LOAD + OVER_SHARE_STEP * steps
    part = min(1.0, standing.use.excess / FULL_EXCESS)
    return (1.0 - part) * within + part * beyond


def check_plain_admission(
    load: ServiceLoad, use: Use, *, in_program: bool, request_s: float, rng: random.Random
) -> Refusal | None:
    """Return a refusal if a plain call outside programs should leave room for those of programs.

    :param request_s: how long a plain call takes, about.
    """
    max_load = PLAIN_OVER_SHARE_MAX_LOAD if use.excess else PLAIN_MAX_LOAD
    if in_program or load.per_slot < max_load:
        return None
    detail = (
        f"the replicas run {load.running:.0f} requests on {load.slots:.0f} slots; calls outside "
        f"programs start below {max_load:.2f} for each slot"
    )
    reason = RefusalReason.OVER_SHARE if use.excess else RefusalReason.FULL
    return Refusal(_retry_after_s(load.per_slot - max_load, request_s, rng), detail, reason)


def _check_begun(
    load: ServiceLoad, standing: Standing, turn_s: float, rng: random.Random
) -> Refusal | None:
    """Return a refusal for a program in progress only if its end has no value any more."""
    if standing.value_left_s > 0 or load.per_slot < LATE_PROGRAM_MAX_LOAD:
        return None
    detail = (
        f"the program is {-standing.value_left_s:.2f} s past twice its time, and the replicas run "
        f"{load.running:.0f} requests on {load.slots:.0f} slots"
    )
    retry_after_s = _retry_after_s(load.per_slot - LATE_PROGRAM_MAX_LOAD, turn_s, rng)
    return Refusal(retry_after_s, detail, RefusalReason.PAST_ITS_TIME)


def _within(retry_after_s: float, standing: Standing, needed_s: float) -> float:
    """Return a delay after which the program's time still covers a turn, if there is one."""
    return max(MIN_RETRY_AFTER_S, min(retry_after_s, standing.left_s - needed_s))


def _back_in_share_s(use: Use, rng: random.Random) -> float:
    """Return when a customer that sends nothing more is within its share again, spread.

    0 if only the programs that it starts are beyond its share, and not the requests that it sent.
    """
    allowed = 1.0 + use.tolerance
    if use.known <= allowed:
        return 0.0
    expected_s = USE_WINDOW_S * (1.0 - allowed / use.known)
    spread = rng.uniform(1 - RETRY_SPREAD, 1 + RETRY_SPREAD)
    return min(MAX_OVER_SHARE_RETRY_AFTER_S, expected_s * spread)


def _retry_after_s(excess_per_slot: float, turn_s: float, rng: random.Random) -> float:
    """Return when room is expected: the excess leaves at one request a slot and turn."""
    expected_s = MIN_RETRY_AFTER_S + turn_s * (1 + excess_per_slot)
    spread = rng.uniform(1 - RETRY_SPREAD, 1 + RETRY_SPREAD)
    return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, expected_s * spread))
