"""Admission control: refuses calls early under overload, with a hint when to retry."""

from __future__ import annotations

from typing import NamedTuple

from bramleylead.errors import ErrorKind
from bramleylead.errors import Failure
from bramleylead.scheduling._endpoint_view import ScheduledCall
from bramleylead.scheduling._fair_queue import FairQueue

MIN_RETRY_AFTER_S = 0.5
MAX_RETRY_AFTER_S = 60.0


class OverloadBounds(NamedTuple):
    """Limits above which calls are refused.

    :param max_queue: maximum number of queued calls of a pool.
    :param new_program_wait_s: expected wait above which a new program is refused.
    :param always_queued: number of new programs that a branch may queue regardless of the wait.
    :param deadline_share: maximum expected wait of a call as a share of the time to its deadline.
    """

    max_queue: int
    new_program_wait_s: float
    always_queued: int
    deadline_share: float


def admission_failure(
    call: ScheduledCall, queued_new_programs: int, wait_s: float, bounds: OverloadBounds
) -> Failure | None:
    """Return the failure if the call would wait too long, else ``None``.

    New programs are refused first.

    :param queued_new_programs: number of queued new programs of the call's branch. A branch may
        always queue a few, regardless of the other branches, because they start before those of a
        branch over its share.
    """
    request = call.request
    may_refuse_new_program = request.attained == 0 and queued_new_programs >= bounds.always_queued
    if may_refuse_new_program and wait_s > bounds.new_program_wait_s:
        return overload_failure(f"a new program would wait {wait_s:.1f} s", wait_s)
    if wait_s > bounds.deadline_share * request.deadline_s:
        return overload_failure(f"the call would wait {wait_s:.1f} s, near its deadline", wait_s)
    return None


def call_to_shed(call: ScheduledCall, queue: FairQueue) -> ScheduledCall:
    """Return the call to refuse when the queue is full.

    It is the call with the least attained service in the branch with the largest backlog, so that
    the branch that causes the overload bears it. If there is none, it is the arriving call.
    """
    branch = queue.largest_branch()
    victim = call if call.request.branch == branch else None
    for queued in queue.calls():
        if queued.request.branch != branch:
            continue
        if victim is None or queued.request.attained < victim.request.attained:
            victim = queued
    return victim or call


def overload_failure(detail: str, wait_s: float) -> Failure:
    """Return the failure with a retry hint, derived from the expected wait in the queue."""
    retry_after_s = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))
    return Failure(ErrorKind.OVERLOADED, detail, retry_after_s)
