"""The default policy: fair shares, short programs first, cache-aware placement, load limits."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Annotated
from typing import Any

from pydantic import Field

from bramleylead.errors import Failure
from bramleylead.scheduling._admission import OverloadBounds
from bramleylead.scheduling._admission import admission_failure
from bramleylead.scheduling._admission import call_to_shed
from bramleylead.scheduling._admission import overload_failure
from bramleylead.scheduling._endpoint_view import EndpointView
from bramleylead.scheduling._endpoint_view import ScheduledCall
from bramleylead.scheduling._endpoint_view import usable_endpoints
from bramleylead.scheduling._fair_queue import NEW_PROGRAM
from bramleylead.scheduling._fair_queue import STARTED_PROGRAM
from bramleylead.scheduling._fair_queue import TIERS
from bramleylead.scheduling._fair_queue import FairQueue
from bramleylead.scheduling._fair_queue import tier_of
from bramleylead.scheduling._placement import Placement
from bramleylead.scheduling._placement import PlacementWeights
from bramleylead.scheduling._placement import cheapest_placement
from bramleylead.scheduling._placement import is_ready
from bramleylead.scheduling._placement import wait_for_cached_prefix_s
from bramleylead.scheduling._policy import Choice
from bramleylead.scheduling._policy import Endpoints
from bramleylead.scheduling._policy import policy
from bramleylead.scheduling._pool_chooser import ChooserParameters
from bramleylead.scheduling._pool_load import DrainEstimate
from bramleylead.scheduling._served_shares import ServedShares
from bramleylead.scheduling._speed import update_speed
from bramleylead.scheduling._types import SlotFinished
from bramleylead.validation import Strict

MIN_RECHECK_S = 0.01
RECHECK_S = 0.5
"""Time until a call that no ready engine can take is reconsidered, as memory use decays."""
SHARE_WINDOW_S = 60.0
"""Time constant over which a branch's share of the served cost is averaged."""


class DefaultParameters(Strict):
    """Weights and limits of the policy; times in seconds, work in tokens.

    :param between_branches: whether branches share by served cost.
    :param order: order within a branch, ``attained`` (the program with the least attained service
        first) or ``arrival`` (the oldest call first).
    :param aging_tokens_per_s: attained service offset by a second of waiting.
    :param rebuild_weight: weight of the recomputation of prefixes against waiting and load.
    :param load_s: cost of each call that already runs on an engine.
    :param memory_s: cost of an engine whose memory is full of prefixes in use, for a new prefix.
    :param evict_weight: weight of prefixes that a call evicts from an engine's memory.
    :param backlog_s: prefill backlog up to which an engine gets new calls; others stay queued.
    :param working_set_s: how long a prefix counts as in use after its last call.
    :param working_set_share: share of the memory that prefixes in use may take before a new program
        has to wait; 0: no limit.
    :param lent_load: prefill load of an engine up to which a branch over its share may start new
        programs there; the remaining capacity is reserved for other branches.
    :param lent_memory: factor on ``working_set_share`` for such a branch.
    :param over_share: multiple of its share above which a branch is over its share.
    :param wait_for_cache: maximum wait for a cached prefix, as a multiple of its rebuild time.
    :param output_cost: work of an output token relative to a prefilled_tokens one.
    :param shed: whether calls are refused early when the expected wait is too long.
    :param max_queue: maximum number of queued calls.
    :param new_program_wait_s: expected wait above which a new program is refused.
    :param always_queued: number of new programs that a branch may queue regardless of the wait.
    :param deadline_share: maximum expected wait of a call as a share of the time to its deadline.
    :param pools: weights for the choice of a pool by an owner.
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
    """Schedules the calls of one pool."""

    def __init__(self, parameters: DefaultParameters) -> None:
        self._parameters = parameters
        self._queue = FairQueue(
            between_branches=parameters.between_branches,
            order=parameters.order,
            aging_tokens_per_s=parameters.aging_tokens_per_s,
        )
        self._weights = PlacementWeights(
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
        self._drain_estimates = [DrainEstimate() for _ in TIERS]
        self._wake_at = float("inf")
        self._shares = ServedShares(tau_s=SHARE_WINDOW_S, over_factor=parameters.over_share)

    def admit(self, call: ScheduledCall, endpoints: Endpoints, now: float) -> Failure | None:
        """Queue the call and return ``None``, or return why it is refused.

        If the queue is full, another queued call may be refused instead.
        """
        cached_tokens = max(
            (view.cached_prefix_tokens(call.request) for view in endpoints.values()), default=0
        )
        call.missing_tokens = call.request.prompt_tokens - cached_tokens
        if self._parameters.shed:
            refusal = self._admission_failure(call)
            if refusal is not None:
                return refusal
        self._queue.add(call)
        self._drain_estimates[tier_of(call)].call_queued(now)
        return None

    def remove(self, call: ScheduledCall) -> None:
        """Remove a queued call."""
        self._queue.remove(call)

    def next_choice(self, endpoints: Endpoints, now: float) -> Choice | None:
        """Start the first call in order that should not wait for its cached prefix."""
        self._wake_at = float("inf")
        ready = [view for view in endpoints.values() if is_ready(view, self._weights, now)]
        if not ready:
            self._schedule_backlog_recheck(endpoints.values(), now)
            return None
        for tier in TIERS:
            for call in self._queue.candidates(tier):
                choice = self._try_to_start(call, endpoints, ready, now)
                if choice is not None:
                    return choice
        return None

    def _try_to_start(
        self, call: ScheduledCall, endpoints: Endpoints, ready: list[EndpointView], now: float
    ) -> Choice | None:
        is_new = tier_of(call) == NEW_PROGRAM
        call.over_share = is_new and self._shares.is_over(call.request.branch, now)
        views = endpoints.values()
        if call.request.avoid:
            views = usable_endpoints(views, call.request)
            ready = [view for view in ready if view in views]
        queued_tokens = self._queue.queued_tokens(STARTED_PROGRAM) / max(1, len(views))
        placement = cheapest_placement(ready, call, self._weights, now, queued_tokens)
        if placement is None:
            self._schedule_recheck(RECHECK_S, now)
            return None
        wait_s = wait_for_cached_prefix_s(views, call, placement, self._weights, now)
        if wait_s > 0:
            self._schedule_recheck(wait_s, now)
            return None
        return self._start(call, placement, now)

    def wake_at(self) -> float:
        """Return when a queued call should be reconsidered."""
        return self._wake_at

    def call_finished(
        self, call: ScheduledCall, endpoint: EndpointView, report: SlotFinished | None, now: float
    ) -> None:
        """Correct the branch's charge and update the estimate of the engine's speed."""
        if report is None or not report.ok:
            return
        prefilled_tokens = report.prompt_tokens - report.cached_tokens
        self._queue.settle(call, self._cost(prefilled_tokens, report.output_tokens))
        update_speed(endpoint, call, report)

    def queued(self) -> int:
        """Return the number of queued calls."""
        return len(self._queue)

    def expected_wait_s(self, *, new_program: bool) -> float:
        """Return the expected wait behind the queued calls of the same tier."""
        tier = NEW_PROGRAM if new_program else STARTED_PROGRAM
        return self._drain_estimates[tier].expected_wait_s(self._queue.queued(tier))

    def dump(self) -> dict[str, Any]:
        """Return each branch's lead over the virtual time, and the parameters."""
        return {
            "branch_lead": self._queue.branch_leads(),
            "parameters": self._parameters.model_dump(),
        }

    def _start(self, call: ScheduledCall, placement: Placement, now: float) -> Choice:
        view = placement.endpoint
        cached = view.cached_prefix_tokens(call.request)
        missing_tokens = call.request.prompt_tokens - cached
        self._queue.start(call, self._cost(missing_tokens, call.request.expected_output_tokens))
        self._shares.add(call.request.branch, call.request.weight, call.charged_cost, now)
        tier = tier_of(call)
        self._drain_estimates[tier].call_started(now, still_queued=self._queue.queued(tier))
        reason = (
            f"cost {placement.cost_s:.3f} s: {cached} of {call.request.prompt_tokens} prompt "
            f"tokens cached, {view.outstanding} calls running of {int(view.limit)}"
        )
        return Choice(call, view, reason)

    def _schedule_backlog_recheck(self, views: Iterable[EndpointView], now: float) -> None:
        """Schedule a recheck for when the first backlog is short enough.

        When a slot or memory becomes free, an event triggers the check.
        """
        backlog_ends = [view.prefill_until for view in views if view.has_free_slot]
        if backlog_ends:
            self._schedule_recheck(min(backlog_ends) - self._weights.backlog_s - now, now)

    def _schedule_recheck(self, wait_s: float, now: float) -> None:
        self._wake_at = min(self._wake_at, now + max(MIN_RECHECK_S, wait_s))

    def _admission_failure(self, call: ScheduledCall) -> Failure | None:
        wait_s = self._drain_estimates[tier_of(call)].expected_wait_s(
            self._queue.calls_ahead_of(call)
        )
        refusal = admission_failure(
            call, self._queue.queued_new_programs(call), wait_s, self._bounds
        )
        if refusal is not None or len(self._queue) < self._bounds.max_queue:
            return refusal
        shed_call = call_to_shed(call, self._queue)
        failure = overload_failure(f"{len(self._queue)} calls are queued", wait_s)
        if shed_call is call:
            return failure
        self._queue.remove(shed_call)
        shed_call.refusal = failure
        shed_call.signal.set()
        return None

    def _cost(self, prefilled_tokens: int, output_tokens: int) -> float:
        return prefilled_tokens + self._parameters.output_cost * output_tokens
