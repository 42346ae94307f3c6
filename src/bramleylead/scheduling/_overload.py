"""Early refusal: which calls are turned away before any work, and when they may come back."""

from __future__ import annotations

from typing import NamedTuple

from bramleylead.errors import ErrorKind
from bramleylead.errors import Failure
from bramleylead.scheduling._fairness import FairQueue
from bramleylead.scheduling._view import Waiting

MIN_RETRY_AFTER_S = 0.5
MAX_RETRY_AFTER_S = 60.0


class OverloadBounds(NamedTuple):
    """When calls are refused.

    :param queue: most queued calls of a pool.
    :param new_program_wait_s: expected wait above which a new program is not begun.
    :param always_queued: new programs that a branch may queue whatever the wait.
    :param deadline_share: part of a call's deadline that its expected wait may take.
    """

    queue: int
    new_program_wait_s: float
    always_queued: int
    deadline_share: float


def refusal_on_arrival(
    call: Waiting, own_queued: int, wait_s: float, bounds: OverloadBounds
) -> Failure | None:
    """Refuse a call that would wait too long, new programs first, or return ``None``.

    :param own_queued: new programs of its branch that are queued. A branch may always queue a few,
        whatever others have queued: their turn comes before those of a branch over its share.
    """
    request = call.request
    is_new = request.attained == 0 and own_queued >= bounds.always_queued
    if is_new and wait_s > bounds.new_program_wait_s:
        return overloaded(f"a new program would wait {wait_s:.1f} s", wait_s)
    if wait_s > bounds.deadline_share * request.deadline_s:
        return overloaded(f"the call would wait {wait_s:.1f} s, near its deadline", wait_s)
    return None


def youngest_to_shed(call: Waiting, queue: FairQueue) -> Waiting:
    """Return the call to refuse when the queue is full: the arriving one, or a younger program's.

    Only calls of the branch with the largest backlog are shed, so that a flood pays for itself.
    """
    branch = queue.largest()
    victim = call if call.request.branch == branch else None
    for queued in queue.calls():
        if queued.request.branch != branch:
            continue
        if victim is None or queued.request.attained < victim.request.attained:
            victim = queued
    return victim or call


def overloaded(detail: str, wait_s: float) -> Failure:
    """Return the refusal, with a retry hint from the time that the queue needs to drain."""
    hint_s = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))
    return Failure(ErrorKind.OVERLOADED, detail, hint_s)
