"""Which engine of a pool a call goes to: its expected cost there, or waiting for the cache.

Prefill is what a model engine does one call after another, so the expected start at an engine is
the prefill that it has been given and not yet done. An engine takes a call while that backlog is
short and its memory holds the calls that run; what is over waits in the dispatcher's queue, where
its order can still be changed.

Waiting for the engine that holds a prefix is delay scheduling (Zaharia et al., "Delay Scheduling",
2010). The wait is bounded by the time that rebuilding the prefix takes, as in the ski-rental
problem: the call never loses more than twice what the better of the two would have cost.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from bramleylead.scheduling._types import SlotRequest
from bramleylead.scheduling._view import EndpointView
from bramleylead.scheduling._view import Waiting

WORTH_WAITING_S = 0.05
"""Rebuilds shorter than this are never waited for."""
REPORT_TRUST_S = 3.0
"""Age at which a load report counts half."""


class ChoiceWeights(NamedTuple):
    """Weights of the parts of a placement's cost.

    :param rebuild: on the prefill time of tokens that are not cached there.
    :param load_s: seconds a call that is already there.
    :param memory_s: seconds that memory full of prefixes in use is worth to a prefix that comes.
    :param evict: on the prefill time of tokens that the call pushes out of the cache.
    :param wait_for_cache: bound of the wait for the holder, in units of the rebuild time; 0: never.
    :param backlog_s: prefill that an engine is given ahead.
    :param working_set_s: a prefix counts as in use for so long after its last call.
    :param working_set_share: part of the memory that prefixes in use may take before a new program
        has to wait; 0: no bound.
    :param lent_load: prefill load of an engine up to which a branch over its share starts new
        programs there.
    :param lent_memory: part of the working set's bound for such a branch.
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
    """What placing a call on an endpoint costs, in weighted seconds."""

    endpoint: EndpointView
    cost_s: float
    rebuild_s: float


def is_ready(view: EndpointView, weights: ChoiceWeights, now: float) -> bool:
    """Whether an engine takes any call now; an idle one always does."""
    if not view.has_room:
        return False
    return not view.running or view.backlog_s(now) <= weights.backlog_s


def fits(
    view: EndpointView,
    call: Waiting,
    weights: ChoiceWeights,
    now: float,
    queued_tokens: float = 0.0,
) -> bool:
    """Whether an engine that is ready takes this call; an idle one always does.

    :param queued_tokens: the engine's part of the prompts of programs under way that are queued.
        Their caches may be gone, yet they will come back for the memory.
    """
    if not view.running:
        return True
    if _is_new(call) and _is_working_set_full(view, call, weights, now, queued_tokens):
        return False
    return not (call.over_share and view.prefill_load(now) > weights.lent_load)


def _is_new(call: Waiting) -> bool:
    return call.request.attained == 0


def _is_working_set_full(
    view: EndpointView, call: Waiting, weights: ChoiceWeights, now: float, queued_tokens: float
) -> bool:
    if weights.working_set_share == 0 or view.memory_tokens == 0:
        return False
    in_use = view.in_use.tokens(now, weights.working_set_s) + call.reserve + queued_tokens
    share = weights.working_set_share
    if call.over_share:
        share *= weights.lent_memory
    return in_use > share * view.memory_tokens


def best_with_room(
    views: Iterable[EndpointView],
    call: Waiting,
    weights: ChoiceWeights,
    now: float,
    queued_tokens: float = 0.0,
) -> Placement | None:
    """Return the cheapest of the ready endpoints that can start the call now."""
    best: Placement | None = None
    for view in views:
        if not fits(view, call, weights, now, queued_tokens):
            continue
        placement = _placement(view, call.request, weights, now)
        if best is None or placement.cost_s < best.cost_s:
            best = placement
    return best


def wait_for_holder_s(
    views: Iterable[EndpointView],
    call: Waiting,
    instead: Placement,
    weights: ChoiceWeights,
    now: float,
) -> float:
    """Return how long to wait for a busy endpoint that holds the prefix; 0: start now."""
    if instead.rebuild_s < WORTH_WAITING_S:
        return 0.0
    bound_s = weights.wait_for_cache * instead.rebuild_s
    waited_s = now - call.enqueued_at
    if waited_s >= bound_s:
        return 0.0
    best_s = 0.0
    best_cost_s = instead.cost_s
    for view in views:
        if view.holds(call.request) == 0:
            continue
        if is_ready(view, weights, now) and fits(view, call, weights, now):
            continue
        free_s = room_in_s(view, weights, now)
        if waited_s + free_s > bound_s:
            continue
        cost_s = free_s + _placement(view, call.request, weights, now).cost_s
        if cost_s < best_cost_s:
            best_s, best_cost_s = free_s, cost_s
    return best_s


def room_in_s(view: EndpointView, weights: ChoiceWeights, now: float) -> float:
    """Return when an engine that takes nothing now should take the next call, from now.

    Its backlog tells; when memory or its level is what is full, a running call has to end first.
    """
    over_s = view.backlog_s(now) - weights.backlog_s
    if over_s > 0:
        return over_s
    left = [call.request.expected_output * view.token_s for call in view.running.values()]
    return min(left, default=0.0)


def _placement(
    view: EndpointView, request: SlotRequest, weights: ChoiceWeights, now: float
) -> Placement:
    added = request.prompt_tokens - view.holds(request)
    prefill_s = added * view.prefill_s_per_token
    busy = len(view.running) + _foreign(view, now)
    cost_s = view.backlog_s(now) + weights.rebuild * prefill_s + weights.load_s * busy
    if added > 0 and view.memory_tokens > 0:
        cost_s += _memory_cost_s(view, request.prompt_tokens, added, weights, now)
    return Placement(view, cost_s, prefill_s)


def _foreign(view: EndpointView, now: float) -> float:
    """Return the calls of others, counted less the older the report is."""
    if view.report is None:
        return 0.0
    foreign = view.foreign
    if foreign == 0:
        return 0.0
    age_s = max(0.0, now - view.reported_at)
    return foreign * REPORT_TRUST_S / (REPORT_TRUST_S + age_s)


def _memory_cost_s(
    view: EndpointView, prompt: int, added: int, weights: ChoiceWeights, now: float
) -> float:
    """Return the cost of the memory that a prefix takes where it is not held, and pushes out.

    Memory in use tells engines apart when all of them are full of prefixes that may go.
    """
    total = view.memory_tokens
    pushed_out = min(added, max(0, view.held_tokens + added - total))
    cost_s = weights.evict * pushed_out * view.prefill_s_per_token
    in_use = view.in_use.tokens(now, weights.working_set_s) + added
    return cost_s + weights.memory_s * in_use / total * added / prompt
