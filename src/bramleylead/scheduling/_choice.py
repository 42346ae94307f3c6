"""Which engine of a pool a call goes to: its expected cost there, or waiting for the cache.

Waiting for the engine that holds a prefix is delay scheduling (Zaharia et al., "Delay Scheduling",
2010). The wait is bounded by the time that rebuilding the prefix takes, as in the ski-rental
problem: the call never loses more than twice what the better of the two would have cost.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from bramleylead.scheduling._speed import rebuild_s
from bramleylead.scheduling._types import SlotRequest
from bramleylead.scheduling._view import EndpointView
from bramleylead.scheduling._view import Waiting

REPORT_TRUST_S = 3.0
"""Age at which a load report counts half."""


class ChoiceWeights(NamedTuple):
    """Weights of the parts of a placement's cost.

    :param rebuild: on the prefill time of tokens that are not cached there.
    :param load_s: seconds a call that is already there.
    :param memory_s: seconds for a cache that is full.
    :param wait_for_cache: bound of the wait for the holder, in units of the rebuild time; 0: never.
    """

    rebuild: float
    load_s: float
    memory_s: float
    wait_for_cache: float


class Placement(NamedTuple):
    """What placing a call on an endpoint costs, in weighted seconds."""

    endpoint: EndpointView
    cost_s: float
    rebuild_s: float


def best_with_room(
    views: Iterable[EndpointView], request: SlotRequest, weights: ChoiceWeights, now: float
) -> Placement | None:
    """Return the cheapest endpoint that can start the call now."""
    best: Placement | None = None
    for view in views:
        if not view.has_room:
            continue
        placement = _placement(view, request, weights, now)
        if best is None or placement.cost_s < best.cost_s:
            best = placement
    return best


def holder_worth_waiting_for(
    views: Iterable[EndpointView],
    call: Waiting,
    instead: Placement,
    weights: ChoiceWeights,
    now: float,
) -> EndpointView | None:
    """Return a full endpoint that holds the prefix and should free soon enough, or ``None``."""
    bound_s = weights.wait_for_cache * instead.rebuild_s
    waited_s = now - call.enqueued_at
    if waited_s >= bound_s:
        return None
    best: EndpointView | None = None
    best_cost_s = instead.cost_s
    for view in views:
        if view.has_room or not view.open or view.holds(call.request) == 0:
            continue
        free_s = expected_free_s(view, now)
        if waited_s + free_s > bound_s:
            continue
        cost_s = free_s + _placement(view, call.request, weights, now).cost_s
        if cost_s < best_cost_s:
            best, best_cost_s = view, cost_s
    return best


def expected_free_s(view: EndpointView, now: float) -> float:
    """Return when the next of the endpoint's calls should end, from now."""
    ends = [call.expected_end for call in view.running.values()]
    return max(0.0, min(ends, default=now) - now)


def _placement(
    view: EndpointView, request: SlotRequest, weights: ChoiceWeights, now: float
) -> Placement:
    prefill_s = rebuild_s(view, request)
    busy = view.outstanding + _foreign(view, now)
    cost_s = weights.rebuild * prefill_s + weights.load_s * busy
    cost_s += weights.memory_s * _fullness(view, request)
    return Placement(view, cost_s, prefill_s)


def _foreign(view: EndpointView, now: float) -> float:
    """Return the calls of others, counted less the older the report is."""
    if view.report is None:
        return 0.0
    age_s = max(0.0, now - view.reported_at)
    return view.foreign * REPORT_TRUST_S / (REPORT_TRUST_S + age_s)


def _fullness(view: EndpointView, request: SlotRequest) -> float:
    """Return the share of cache memory in use, 0 where the call's prefix is held already."""
    report = view.report
    if report is None or report.kv_total_tokens == 0 or view.holds(request) > 0:
        return 0.0
    return min(1.0, report.kv_used_tokens / report.kv_total_tokens)
