"""Selects the engine of a pool for a call by expected cost, or lets the call wait for its cache.

An engine runs the prefill of one call after the other, so the expected start of a call is when the
prefill backlog of the engine is done. An engine gets new calls while this backlog is short and the
running calls fit into its memory. Other calls wait in the dispatcher's queue, where their order can
still change.

Waiting for the engine that has a prefix in its cache is delay scheduling (Zaharia et al., "Delay
Scheduling", 2010). The wait is bounded by the time to rebuild the prefix, as in the ski-rental
problem: the call never costs more than twice as much as with the better of the two decisions.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from bramleylead.scheduling._endpoint_view import EndpointView
from bramleylead.scheduling._endpoint_view import ScheduledCall
from bramleylead.scheduling._types import SlotRequest

MIN_REBUILD_WAIT_S = 0.05
"""Rebuild time below which a call never waits for its cached prefix."""
REPORT_HALF_WEIGHT_AGE_S = 3.0
"""Age at which a load report has half its weight."""


class PlacementWeights(NamedTuple):
    """Weights of the terms in the cost of a placement.

    :param rebuild: weight of the prefill time of tokens that are not cached there.
    :param load_s: cost of each call that already runs there.
    :param memory_s: cost of an engine whose memory is full of prefixes in use, for a new prefix.
    :param evict: weight of the prefill time of tokens that the call evicts from the cache.
    :param wait_for_cache: maximum wait for a cached prefix, as a multiple of its rebuild time;
        0: no wait.
    :param backlog_s: prefill backlog up to which an engine gets new calls.
    :param working_set_s: how long a prefix counts as in use after its last call.
    :param working_set_share: share of the memory that prefixes in use may take before a new program
        has to wait; 0: no limit.
    :param lent_load: prefill load of an engine up to which a branch over its share may start new
        programs there.
    :param lent_memory: factor on ``working_set_share`` for such a branch.
    """

    rebuild: float
    load_s: float
    memory_s: float
    evict: float
    wait_for_cache: float
    backlog_s: float
    working_set_s: float
    working_set_share: float
    lent_load: float
    lent_memory: float


class Placement(NamedTuple):
    """A possible placement of a call on an endpoint, with its cost in weighted seconds."""

    endpoint: EndpointView
    cost_s: float
    rebuild_s: float


def is_ready(view: EndpointView, weights: PlacementWeights, now: float) -> bool:
    """Whether an engine can get a new call now; an idle one always can."""
    if not view.has_free_slot:
        return False
    return not view.running or view.backlog_s(now) <= weights.backlog_s


def can_start(
    view: EndpointView,
    call: ScheduledCall,
    weights: PlacementWeights,
    now: float,
    queued_tokens: float = 0.0,
) -> bool:
    """Whether an engine that is ready can get this call; an idle one always can.

    :param queued_tokens: the engine's share of the prompt tokens of queued calls of started
        programs. They will need memory again, even if their caches have been evicted.
    """
    if not view.running:
        return True
    if _is_new_program(call) and _is_working_set_full(view, call, weights, now, queued_tokens):
        return False
    return not (call.over_share and view.prefill_load(now) > weights.lent_load)


def _is_new_program(call: ScheduledCall) -> bool:
    return call.request.attained == 0


def _is_working_set_full(
    view: EndpointView,
    call: ScheduledCall,
    weights: PlacementWeights,
    now: float,
    queued_tokens: float,
) -> bool:
    if weights.working_set_share == 0 or view.memory_tokens == 0:
        return False
    in_use = (
        view.working_set.tokens(now, weights.working_set_s) + call.needed_tokens + queued_tokens
    )
    share = weights.working_set_share
    if call.over_share:
        share *= weights.lent_memory
    return in_use > share * view.memory_tokens


def cheapest_placement(
    views: Iterable[EndpointView],
    call: ScheduledCall,
    weights: PlacementWeights,
    now: float,
    queued_tokens: float = 0.0,
) -> Placement | None:
    """Return the cheapest placement on the ready endpoints that can start the call now."""
    best: Placement | None = None
    for view in views:
        if not can_start(view, call, weights, now, queued_tokens):
            continue
        placement = _placement(view, call.request, weights, now)
        if best is None or placement.cost_s < best.cost_s:
            best = placement
    return best


def wait_for_cached_prefix_s(
    views: Iterable[EndpointView],
    call: ScheduledCall,
    alternative: Placement,
    weights: PlacementWeights,
    now: float,
) -> float:
    """Return how long to wait for a busy endpoint with the prefix in its cache; 0: start now.

    :param alternative: the cheapest placement that can start now.
    """
    if alternative.rebuild_s < MIN_REBUILD_WAIT_S:
        return 0.0
    max_wait_s = weights.wait_for_cache * alternative.rebuild_s
    waited_s = now - call.enqueued_at
    if waited_s >= max_wait_s:
        return 0.0
    best_wait_s = 0.0
    best_cost_s = alternative.cost_s
    for view in views:
        if view.cached_prefix_tokens(call.request) == 0:
            continue
        if is_ready(view, weights, now) and can_start(view, call, weights, now):
            continue
        ready_in_s = time_until_ready_s(view, weights, now)
        if waited_s + ready_in_s > max_wait_s:
            continue
        cost_s = ready_in_s + _placement(view, call.request, weights, now).cost_s
        if cost_s < best_cost_s:
            best_wait_s, best_cost_s = ready_in_s, cost_s
    return best_wait_s


def time_until_ready_s(view: EndpointView, weights: PlacementWeights, now: float) -> float:
    """Return the expected time until an engine that can't get a call now can get the next one.

    This is when its backlog is short enough. If its memory or slots are full instead, a running
    call has to end first.
    """
    excess_backlog_s = view.backlog_s(now) - weights.backlog_s
    if excess_backlog_s > 0:
        return excess_backlog_s
    remaining_s = [
        call.request.expected_output_tokens * view.token_s for call in view.running.values()
    ]
    return min(remaining_s, default=0.0)


def _placement(
    view: EndpointView, request: SlotRequest, weights: PlacementWeights, now: float
) -> Placement:
    missing_tokens = request.prompt_tokens - view.cached_prefix_tokens(request)
    prefill_s = missing_tokens * view.prefill_s_per_token
    running_calls = len(view.running) + _weighted_external_calls(view, now)
    cost_s = view.backlog_s(now) + weights.rebuild * prefill_s + weights.load_s * running_calls
    if missing_tokens > 0 and view.memory_tokens > 0:
        cost_s += _memory_cost_s(view, request.prompt_tokens, missing_tokens, weights, now)
    return Placement(view, cost_s, prefill_s)


def _weighted_external_calls(view: EndpointView, now: float) -> float:
    """Return the number of calls of other users, weighted less the older the report is."""
    if view.report is None:
        return 0.0
    external_calls = view.external_calls
    if external_calls == 0:
        return 0.0
    age_s = max(0.0, now - view.reported_at)
    return external_calls * REPORT_HALF_WEIGHT_AGE_S / (REPORT_HALF_WEIGHT_AGE_S + age_s)


def _memory_cost_s(
    view: EndpointView,
    prompt_tokens: int,
    missing_tokens: int,
    weights: PlacementWeights,
    now: float,
) -> float:
    """Return the cost of the memory for a prefix that is not cached, and of what it evicts.

    The memory in use distinguishes engines that are all full of prefixes that may be evicted.
    """
    total = view.memory_tokens
    evicted_tokens = min(missing_tokens, max(0, view.total_cached_tokens + missing_tokens - total))
    cost_s = weights.evict * evicted_tokens * view.prefill_s_per_token
    in_use = view.working_set.tokens(now, weights.working_set_s) + missing_tokens
    return cost_s + weights.memory_s * in_use / total * missing_tokens / prompt_tokens
