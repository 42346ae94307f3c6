"""The default policy: fair shares, short programs first, caches used, engines kept just full."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Annotated
from typing import Any

from pydantic import Field

from bramleylead.errors import Failure
from bramleylead.scheduling._choice import ChoiceWeights
from bramleylead.scheduling._choice import Placement
from bramleylead.scheduling._choice import best_with_room
from bramleylead.scheduling._choice import is_ready
from bramleylead.scheduling._choice import wait_for_holder_s
from bramleylead.scheduling._chooser import ChooserParameters
from bramleylead.scheduling._decayed import ServedShares
from bramleylead.scheduling._fairness import NEW
from bramleylead.scheduling._fairness import TIERS
from bramleylead.scheduling._fairness import UNDER_WAY
from bramleylead.scheduling._fairness import FairQueue
from bramleylead.scheduling._fairness import tier_of
from bramleylead.scheduling._news import DrainEstimate
from bramleylead.scheduling._overload import OverloadBounds
from bramleylead.scheduling._overload import overloaded
from bramleylead.scheduling._overload import refusal_on_arrival
from bramleylead.scheduling._overload import youngest_to_shed
from bramleylead.scheduling._policy import Choice
from bramleylead.scheduling._policy import Endpoints
from bramleylead.scheduling._policy import policy
from bramleylead.scheduling._speed import learn_speed
from bramleylead.scheduling._types import SlotFinished
from bramleylead.scheduling._view import EndpointView
from bramleylead.scheduling._view import Waiting
from bramleylead.scheduling._view import usable
from bramleylead.version._schema import Strict

MIN_HOLD_S = 0.01
RECHECK_S = 0.5
"""Pause before a call that no ready engine takes is looked at again: use of memory fades."""
SHARE_WINDOW_S = 60.0
"""Time over which a branch's share of the served cost is averaged."""


class DefaultParameters(Strict):
    """Weights and limits of the policy; times in seconds, work in tokens.

    :param between_branches: share by branch.
    :param order: within a branch, ``attained``: the program that was served least goes first;
        ``arrival``: the oldest call.
    :param aging_tokens_per_s: attained service that a second of waiting makes up for.
    :param rebuild_weight: weight of recomputed prefixes against waiting and load.
    :param load_s: cost of each call that already runs at an engine.
    :param memory_s: cost of an engine whose cache is full, for a prefix that it does not hold.
    :param evict_weight: weight of prefixes that a call pushes out of an engine's memory.
    :param backlog_s: prefill that an engine is given ahead; the rest waits in the queue.
    :param working_set_s: a prefix counts as in use for so long after its last call.
    :param working_set_share: part of the memory that prefixes in use may take before a new program
        has to wait; 0: no bound.
    :param lent_load: prefill load of an engine up to which a branch over its share starts new
        programs there; the rest is kept for the others.
    :param lent_memory: part of the working set's bound for such a branch.
    :param over_share: times its share above which a branch counts as over it.
    :param wait_for_cache: longest wait for the engine that holds the prefix, in rebuild times.
    :param output_cost: work of an output token against a prefilled one.
    :param shed: refuse early when the expected wait is too long.
    :param max_queue: most queued calls.
    :param new_program_wait_s: expected wait above which a new program is refused.
    :param always_queued: new programs that a branch may queue whatever the wait.
    :param deadline_share: part of its deadline that a call's expected wait may take.
    :param pools: weights of the owner's choice between pools.
    """

    between_branches: bool = True
    order: Annotated[str, Field(pattern="^(attained|arrival)$")] = "attained"
    aging_tokens_per_s: Annotated[float, Field(ge=0)] = 2_000.0
    rebuild_weight: Annotated[float, Field(ge=0)] = 1.0
    load_s: Annotated[float, Field(ge=0)] = 0.05
    memory_s: Annotated[float, Field(ge=0)] = 3.0
    evict_weight: Annotated[float, Field(ge=0)] = 1.0
    backlog_s: Annotated[float, Field(ge=0)] = 1.0
    working_set_s: Annotated[float, Field(gt=0)] = 60.0
    working_set_share: Annotated[float, Field(ge=0)] = 0.9
    lent_load: Annotated[float, Field(ge=0)] = 0.3
    lent_memory: Annotated[float, Field(ge=0, le=1)] = 0.7
    over_share: Annotated[float, Field(ge=1)] = 3.0
    wait_for_cache: Annotated[float, Field(ge=0)] = 1.0
    output_cost: Annotated[float, Field(ge=0)] = 4.0
    shed: bool = True
    max_queue: Annotated[int, Field(ge=1)] = 512
    new_program_wait_s: Annotated[float, Field(gt=0)] = 10.0
    always_queued: Annotated[int, Field(ge=0)] = 1
    deadline_share: Annotated[float, Field(gt=0, le=1)] = 0.8
    pools: ChooserParameters = ChooserParameters()


@policy("bramleylead", DefaultParameters)
class DefaultPolicy:
    """Decides for one pool; each part is in its own module."""

    def __init__(self, parameters: DefaultParameters) -> None:
        self._parameters = parameters
        self._queue = FairQueue(
            between_branches=parameters.between_branches,
            order=parameters.order,
            aging_tokens_per_s=parameters.aging_tokens_per_s,
        )
        self._weights = ChoiceWeights(
            parameters.rebuild_weight,
            parameters.load_s,
            parameters.memory_s,
            parameters.evict_weight,
            parameters.wait_for_cache,
            parameters.backlog_s,
            parameters.working_set_s,
            parameters.working_set_share,
            parameters.lent_load,
            parameters.lent_memory,
        )
        self._bounds = OverloadBounds(
            parameters.max_queue,
            parameters.new_program_wait_s,
            parameters.always_queued,
            parameters.deadline_share,
        )
        self._drains = [DrainEstimate() for _ in TIERS]
        self._wake_at = float("inf")
        self._shares = ServedShares(tau_s=SHARE_WINDOW_S, over=parameters.over_share)

    def admit(self, call: Waiting, endpoints: Endpoints, now: float) -> Failure | None:
        """Refuse the call, or queue it; a full queue gives up its youngest program's call."""
        held = max((view.holds(call.request) for view in endpoints.values()), default=0)
        call.missing = call.request.prompt_tokens - held
        if self._parameters.shed:
            refusal = self._refuse(call)
            if refusal is not None:
                return refusal
        self._queue.add(call)
        self._drains[tier_of(call)].queued(now)
        return None

    def remove(self, call: Waiting) -> None:
        """Take a queued call out."""
        self._queue.remove(call)

    def next(self, endpoints: Endpoints, now: float) -> Choice | None:
        """Start the first call in order that does not do better by waiting for its cache."""
        self._wake_at = float("inf")
        ready = [view for view in endpoints.values() if is_ready(view, self._weights, now)]
        if not ready:
            self._look_again_after_backlog(endpoints.values(), now)
            return None
        for tier in TIERS:
            for call in self._queue.candidates(tier):
                choice = self._try(call, endpoints, ready, now)
                if choice is not None:
                    return choice
        return None

    def _try(
        self, call: Waiting, endpoints: Endpoints, ready: list[EndpointView], now: float
    ) -> Choice | None:
        is_new = tier_of(call) == NEW
        call.over_share = is_new and self._shares.is_over(call.request.branch, now)
        views = endpoints.values()
        if call.request.avoid:
            views = usable(views, call.request)
            ready = [view for view in ready if view in views]
        queued = self._queue.queued_tokens(UNDER_WAY) / max(1, len(views))
        placement = best_with_room(ready, call, self._weights, now, queued)
        if placement is None:
            self._look_again(RECHECK_S, now)
            return None
        wait_s = wait_for_holder_s(views, call, placement, self._weights, now)
        if wait_s > 0:
            self._look_again(wait_s, now)
            return None
        return self._choose(call, placement, now)

    def wake_at(self) -> float:
        """Return when an engine's backlog should be short enough for the next call."""
        return self._wake_at

    def finished(
        self, call: Waiting, endpoint: EndpointView, report: SlotFinished | None, now: float
    ) -> None:
        """Settle the branch's charge and learn the engine's speed and level."""
        if report is None or not report.ok:
            return
        prefilled = report.prompt_tokens - report.cached_tokens
        self._queue.settle(call, self._cost(prefilled, report.output_tokens))
        learn_speed(endpoint, call, report)

    def queued(self) -> int:
        """Return the number of queued calls."""
        return len(self._queue)

    def expected_wait_s(self, *, new: bool) -> float:
        """Return the wait behind the queue of the call's tier."""
        tier = NEW if new else UNDER_WAY
        return self._drains[tier].expected_wait_s(self._queue.queued(tier))

    def dump(self) -> dict[str, Any]:
        """Return each branch's lead over the virtual time, and the parameters."""
        return {"branch_lead": self._queue.tags(), "parameters": self._parameters.model_dump()}

    def _choose(self, call: Waiting, placement: Placement, now: float) -> Choice:
        view = placement.endpoint
        held = view.holds(call.request)
        missing = call.request.prompt_tokens - held
        self._queue.start(call, self._cost(missing, call.request.expected_output))
        self._shares.add(call.request.branch, call.request.weight, call.charged, now)
        tier = tier_of(call)
        self._drains[tier].started(now, left=self._queue.queued(tier))
        reason = (
            f"cost {placement.cost_s:.3f} s: {held} of {call.request.prompt_tokens} prompt tokens "
            f"cached, {view.outstanding} calls running of {int(view.limit)}"
        )
        return Choice(call, view, reason)

    def _look_again_after_backlog(self, views: Iterable[EndpointView], now: float) -> None:
        """Look again when the first backlog is short enough; slots and memory free by events."""
        ends = [view.prefill_until for view in views if view.has_room]
        if ends:
            self._look_again(min(ends) - self._weights.backlog_s - now, now)

    def _look_again(self, wait_s: float, now: float) -> None:
        self._wake_at = min(self._wake_at, now + max(MIN_HOLD_S, wait_s))

    def _refuse(self, call: Waiting) -> Failure | None:
        wait_s = self._drains[tier_of(call)].expected_wait_s(self._queue.ahead_of(call))
        refusal = refusal_on_arrival(call, self._queue.queued_new(call), wait_s, self._bounds)
        if refusal is not None or len(self._queue) < self._bounds.queue:
            return refusal
        victim = youngest_to_shed(call, self._queue)
        failure = overloaded(f"{len(self._queue)} calls are queued", wait_s)
        if victim is call:
            return failure
        self._queue.remove(victim)
        victim.refusal = failure
        victim.signal.set()
        return None

    def _cost(self, prefilled: int, output: int) -> float:
        return prefilled + self._parameters.output_cost * output
